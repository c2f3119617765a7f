/* Starts that no report has confirmed, whose endpoint and agent restart: the
   present incarnation may still carry them out. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"

struct fixture
{
  struct memory_store store;
  struct hk_coord *c;
  struct agent agent;
};

/* Two tasks are ordered; no report shows them yet. */
static void
fixture_init (struct fixture *f)
{
  g_autofree char *address = NULL;
  struct request_result a;

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  f->c = coord_start (&f->store, "e1", &address);
  test_run_until (is_leading, f->c);
  agent_init (&f->agent, "a1", address);
  report (&f->agent);
  send_request (f->c, HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (two_started, &f->agent);
}

static void
fixture_finish (struct fixture *f)
{
  agent_finish (&f->agent);
  hk_coord_free (f->c);
  memory_store_finish (&f->store);
}

/* The tasks are started again only after the agent has reported that its
   endpoint refuses the first starts. */
static void
check_stopped_first (struct fixture *f)
{
  f->agent.starts = 0;
  f->agent.stops = 0;
  for (int i = 0; i < 4; i++)
    report (&f->agent);
  g_assert_cmpint (f->agent.stops, >=, 2);
  g_assert_cmpint (f->agent.starts, ==, 0);
}

/* Guards against two runs of a task at once: the run was written off because
   the order to start it was given by a predecessor. */
static void
starts_ordered_by_a_predecessor_are_stopped (void)
{
  g_autofree char *next = NULL;
  struct fixture f;

  fixture_init (&f);
  hk_coord_free (f.c);
  f.c = coord_start (&f.store, "e2", &next);
  test_run_until (is_leading, f.c);
  agent_reconnect (&f.agent, next);
  f.agent.n_runs = 0;
  f.agent.endpoint_started_ms++;
  check_stopped_first (&f);
  fixture_finish (&f);
}

/* Guards against the same when the first agent of the new incarnation had the
   stops in flight and was restarted. */
static void
starts_whose_stops_a_former_agent_sent_are_stopped (void)
{
  struct fixture f;

  fixture_init (&f);
  f.agent.endpoint_started_ms++;
  for (unsigned i = 0; i < f.agent.n_runs; i++)
    {
      f.agent.runs[i].started = FALSE;
      f.agent.runs[i].known = FALSE;
    }
  report (&f.agent);
  test_run_for (5);
  f.agent.n_runs = 0;
  check_stopped_first (&f);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/unconfirmed/" #name, name)
  ADD (starts_ordered_by_a_predecessor_are_stopped);
  ADD (starts_whose_stops_a_former_agent_sent_are_stopped);
  return g_test_run ();
}

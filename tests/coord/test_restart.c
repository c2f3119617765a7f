/* Runs of agents that restart while the coordinator wants a run stopped. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"

struct fixture
{
  struct memory_store store;
  struct hk_coord *c;
  struct agent leaving;
  struct agent other;
};

static gboolean
stops_ordered (void *user)
{
  struct fixture *f = user;

  report (&f->other);
  report (&f->leaving);
  return f->leaving.stops >= 2;
}

/* Two service tasks are ordered on an instance; no report shows them yet. */
static void
fixture_start (struct fixture *f)
{
  g_autofree char *address = NULL;
  struct request_result a;

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  f->c = coord_start (&f->store, "e1", &address);
  test_run_until (is_leading, f->c);
  agent_init (&f->leaving, "a1", address);
  agent_init (&f->other, "a2", address);
  report (&f->leaving);
  send_request_with_flags (f->c, HK_JOB_REQUEST_SUBMIT, JOB, HK_STEP_SERVICE,
                           &a);
  test_run_until (two_started, &f->leaving);
}

/* The tasks run, the instance drains and another one has room for them, so the
   coordinator wants them stopped. */
static void
fixture_init (struct fixture *f)
{
  fixture_start (f);
  report (&f->leaving);
  f->leaving.draining = TRUE;
  test_run_until (stops_ordered, f);
  g_assert_cmpint (f->other.starts, ==, 0);
}

static void
fixture_finish (struct fixture *f)
{
  agent_finish (&f->leaving);
  agent_finish (&f->other);
  hk_coord_free (f->c);
  memory_store_finish (&f->store);
}

static void
report_ends (struct fixture *f, hk_end_how how)
{
  for (unsigned i = 0; i < f->leaving.n_runs; i++)
    f->leaving.ends[i] = (hk_run_end){ .task = f->leaving.runs[i].task,
                                       .run = f->leaving.runs[i].run,
                                       .how = how,
                                       .checkpoint = (char *)"" };
  f->leaving.n_ends = f->leaving.n_runs;
  f->leaving.n_runs = 0;
  report (&f->leaving);
}

static gboolean
both_started_elsewhere (void *user)
{
  struct fixture *f = user;

  report (&f->leaving);
  report (&f->other);
  return f->other.starts >= 2;
}

/* Guards against two runs of a task at once: the agent was restarted and no
   longer knew its runs, and the coordinator took them for never ordered. */
static void
runs_of_a_restarted_agent_are_stopped_before_they_are_placed_again (void)
{
  struct fixture f;

  fixture_init (&f);
  f.leaving.stops = 0;
  for (unsigned i = 0; i < f.leaving.n_runs; i++)
    f.leaving.runs[i].known = FALSE;
  for (int i = 0; i < 4; i++)
    {
      report (&f.leaving);
      report (&f.other);
    }
  g_assert_cmpint (f.leaving.stops, >=, 2);
  g_assert_cmpint (f.other.starts, ==, 0);
  report_ends (&f, HK_END_STOPPED);
  test_run_until (both_started_elsewhere, &f);
  fixture_finish (&f);
}

/* Guards against the same after an agent lost a run from its reports: the
   order was to be repeated, and the instance began to drain. */
static void
runs_missing_on_a_draining_instance_are_stopped_first (void)
{
  struct fixture f;

  fixture_init (&f);
  f.leaving.stops = 0;
  f.leaving.n_runs = 0;
  for (int i = 0; i < 12; i++)
    {
      report (&f.leaving);
      report (&f.other);
    }
  g_assert_cmpint (f.leaving.stops, >=, 2);
  g_assert_cmpint (f.other.starts, ==, 0);
  fixture_finish (&f);
}

static gboolean
replaced (void *user)
{
  struct fixture *f = user;

  report (&f->leaving);
  return f->leaving.starts >= 2;
}

/* Guards against two runs of a task at once: agent and endpoint restarted, and
   a start that the former agent may have sent was written off. */
static void
unconfirmed_starts_are_stopped_at_the_next_incarnation (void)
{
  struct fixture f;

  fixture_start (&f);
  f.leaving.n_runs = 0;
  f.leaving.endpoint_started_ms++;
  f.leaving.starts = 0;
  for (int i = 0; i < 4; i++)
    report (&f.leaving);
  g_assert_cmpint (f.leaving.stops, >=, 2);
  g_assert_cmpint (f.leaving.starts, ==, 0);
  f.leaving.n_runs = 2;
  report_ends (&f, HK_END_REFUSED);
  f.leaving.n_ends = 0;
  test_run_until (replaced, &f);
  fixture_finish (&f);
}

/* Guards against tails that stay over their targets: a restarted agent
   throttles nothing until it knows which of its runs serve, and was not told
   where nothing may start. */
static void
agents_learn_their_runs_where_nothing_may_start (void)
{
  const struct hk_evacuation evacuated = { "d", 7 };

  for (int draining = 0; draining <= 1; draining++)
    {
      struct fixture f;

      fixture_start (&f);
      report (&f.leaving);
      f.leaving.draining = draining;
      hk_coord_set_evacuations (f.c, &evacuated, !draining, 9);
      f.leaving.starts = 0;
      for (unsigned i = 0; i < f.leaving.n_runs; i++)
        f.leaving.runs[i].known = FALSE;
      report (&f.leaving);
      g_assert_cmpint (f.leaving.starts, ==, 2);
      /* Runs that a report no longer shows might start with the order. */
      f.leaving.n_runs = 0;
      for (int i = 0; i < 4; i++)
        report (&f.leaving);
      g_assert_cmpint (f.leaving.starts, ==, 2);
      fixture_finish (&f);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/restart/" #name, name)
  ADD (runs_of_a_restarted_agent_are_stopped_before_they_are_placed_again);
  ADD (runs_missing_on_a_draining_instance_are_stopped_first);
  ADD (unconfirmed_starts_are_stopped_at_the_next_incarnation);
  ADD (agents_learn_their_runs_where_nothing_may_start);
  return g_test_run ();
}

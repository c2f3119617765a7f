/* A takeover while a task waits for the rack of its data. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"

/* Tasks that fit on an agent at a time. */
#define SLOTS 4
#define FACTOR 3.0

/* One agent on rack r1, which is full, and one on rack r2. */
struct site
{
  struct memory_store store;
  struct hk_coord *c;
  struct agent near;
  struct agent far;
  double waits;
};

/* Replaces the leader by a process that remembers nothing. */
static void
site_take_over (struct site *s, const char *name)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *address = NULL;

  options.remote_factor = FACTOR;
  if (s->c)
    hk_coord_free (s->c);
  s->c = coord_start_with (&s->store.base, options, name, &address);
  test_run_until (is_leading, s->c);
  if (s->near.name)
    {
      agent_reconnect (&s->near, address);
      agent_reconnect (&s->far, address);
      return;
    }
  agent_init (&s->near, "a1", address);
  agent_init (&s->far, "a2", address);
  s->near.rack = "r1";
  s->far.rack = "r2";
}

static void
site_submit (struct site *s, const char *id, unsigned n_tasks)
{
  const unsigned counts[] = { n_tasks, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = (char *)id,
                               .queue = (char *)"short",
                               .job = { 1, spec } };
  struct request_result a = { 0 };

  free (spec->steps.steps_val[0].rack);
  spec->steps.steps_val[0].rack = strdup ("r1");
  hk_coord_request (s->c, &args, 5000, on_request_reply, &a);
  test_run_until (has_reply, &a);
  test_job_spec_free (spec);
}

static double
count_waits (void)
{
  return hk_metric_get ("hyssopkeel_locality_waits_total", "")->value;
}

static gboolean
near_is_full (void *user)
{
  struct site *s = user;

  report (&s->near);
  report (&s->far);
  return s->near.starts == SLOTS;
}

static gboolean
task_waits (void *user)
{
  struct site *s = user;

  report (&s->near);
  report (&s->far);
  return count_waits () > s->waits;
}

static gboolean
far_started (void *user)
{
  struct site *s = user;

  report (&s->near);
  report (&s->far);
  return s->far.starts > 0;
}

/* Guards against waits that add up over takeovers: how long a task has waited
   is known to the process that let it wait only. */
static void
takeovers_end_waits (void)
{
  struct site s = { .waits = count_waits () };

  memory_store_init (&s.store);
  site_take_over (&s, "e1");
  report (&s.near);
  report (&s.far);
  site_submit (&s, "1111111111111111", SLOTS);
  test_run_until (near_is_full, &s);
  g_assert_cmpint (s.far.starts, ==, 0);
  /* They are about to end all the time. */
  for (unsigned i = 0; i < s.near.n_runs; i++)
    s.near.runs[i].percent = 100;
  report (&s.near);
  site_submit (&s, "2222222222222222", 1);
  test_run_until (task_waits, &s);
  site_take_over (&s, "e2");
  test_run_until (far_started, &s);
  g_assert_cmpfloat (count_waits (), ==, s.waits + 1);
  agent_finish (&s.near);
  agent_finish (&s.far);
  hk_coord_free (s.c);
  memory_store_finish (&s.store);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
  g_test_add_func ("/locality_takeover/takeovers_end_waits",
                   takeovers_end_waits);
  return g_test_run ();
}

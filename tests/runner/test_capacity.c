/* Agents with a coordinator and a fake endpoint whose capacity shrinks, grows
   or is unknown. Tests that no start exceeds it, that what is free is used at
   once, and that refused starts are not repeated in a loop. */
#include <glib.h>
#include <string.h>

#include "../support/jobs.h"
#include "../support/memory_runtime.h"
#include "../support/memory_store.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/coord.h"
#include "hyssopkeel/job_placement.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"
#include "hyssopkeel/runner.h"

#define JOB "1111111111111111"
#define ORPHAN_JOB "9999999999999999"
/* Each task takes one CPU. */
#define TASK_CPU_MILLI 1000
#define FOREVER_MS 100000

struct fixture
{
  struct memory_store store;
  struct hk_coord *coord;
  struct memory_runtime rt;
  struct hk_runner *runner;
  int n_replies;
  unsigned state;
  int n_expected; /* for has_expected() */
};

static gboolean
is_leading (void *user)
{
  return hk_coord_leading (user);
}

static gboolean
has_reply (void *user)
{
  return ((struct fixture *)user)->n_replies > 0;
}

static gboolean
has_expected (void *user)
{
  struct fixture *f = user;

  return memory_runtime_n_running (&f->rt) == f->n_expected;
}

static void
wait_running (struct fixture *f, int n)
{
  f->n_expected = n;
  test_run_until (has_expected, f);
}

static void
runner_start (struct fixture *f)
{
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };

  f->runner = hk_runner_new (&f->store.base, &f->rt.base, &options);
  hk_runner_start (f->runner);
}

static void
fixture_init (struct fixture *f)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *address = test_address ();
  struct hk_error err;

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  memory_runtime_init (&f->rt);
  f->rt.work_ms = FOREVER_MS;
  options.name = "e1";
  options.address = address;
  options.authority.grant_ms = 1000;
  options.authority.hold_ms = 600;
  f->coord = hk_coord_new (&f->store.base, &options);
  g_assert_cmpint (hk_coord_start (f->coord, &err), ==, HK_OK);
  test_run_until (is_leading, f->coord);
  runner_start (f);
}

static void
fixture_finish (struct fixture *f)
{
  hk_runner_free (f->runner);
  hk_coord_free (f->coord);
  test_run_for (120);
  memory_runtime_finish (&f->rt);
  memory_store_finish (&f->store);
}

/* The endpoint reports that it has room for so many tasks. */
static void
report_capacity_with_label (struct fixture *f, unsigned n_tasks,
                            const char *label)
{
  static int64_t sequence;
  char *labels[] = { (char *)label, NULL };
  struct hk_endpoint_report r = { .start_time_ms = f->rt.start_time_ms,
                                  .sequence = ++sequence,
                                  .pool = "pool",
                                  .labels = labels,
                                  .cpu_milli = n_tasks * TASK_CPU_MILLI,
                                  .memory_mb = 4000 };

  hk_runner_report (f->runner, &r);
}

static void
report_capacity (struct fixture *f, unsigned n_tasks)
{
  report_capacity_with_label (f, n_tasks, "a");
}

static void
set_capacity (struct fixture *f, unsigned n_tasks)
{
  f->rt.capacity = (int)n_tasks;
  report_capacity (f, n_tasks);
}

static void
on_reply (const hk_job_request_reply *reply, void *user)
{
  struct fixture *f = user;

  g_assert_cmpint (reply->outcome, ==, HK_JOB_REQUEST_DONE);
  f->state = reply->state;
  f->n_replies++;
}

static void
send_request (struct fixture *f, hk_job_request_kind kind, hk_job_spec *spec)
{
  hk_job_request_args args
      = { .kind = kind, .id = (char *)JOB, .queue = (char *)"batch" };

  if (spec)
    {
      args.job.job_len = 1;
      args.job.job_val = spec;
    }
  f->n_replies = 0;
  hk_coord_request (f->coord, &args, 5000, on_reply, f);
  test_run_until (has_reply, f);
}

static void
submit_with_label (struct fixture *f, unsigned n_tasks, const char *label)
{
  const unsigned counts[] = { n_tasks, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, 0);

  free (spec->steps.steps_val[0].label);
  spec->steps.steps_val[0].label = strdup (label);
  send_request (f, HK_JOB_REQUEST_SUBMIT, spec);
  test_job_spec_free (spec);
}

static void
submit (struct fixture *f, unsigned n_tasks)
{
  submit_with_label (f, n_tasks, "");
}

static void
wait_job_done (struct fixture *f)
{
  int64_t limit = hk_clock_ms () + TEST_LIMIT_MS;

  for (;;)
    {
      send_request (f, HK_JOB_REQUEST_STATE, NULL);
      if (f->state == 2)
        return;
      g_assert_cmpint (hk_clock_ms (), <, limit);
      test_run_for (25);
    }
}

static double
count_commits (void)
{
  return hk_metric_get ("hyssopkeel_commits_total", "")->value;
}

/* Room that appears at an endpoint is used before the next tick of the
   coordinator and before its delayed reply. */
static void
growth_is_used_at_once (void)
{
  struct fixture f;
  int64_t began_ms;

  fixture_init (&f);
  set_capacity (&f, 0);
  submit (&f, 12);
  test_run_for (400);
  began_ms = hk_clock_ms ();
  for (unsigned n = 1; n <= 12; n++)
    {
      set_capacity (&f, n);
      wait_running (&f, (int)n);
    }
  g_assert_cmpint (hk_clock_ms () - began_ms, <, 12 * 50);
  g_assert_cmpint (f.rt.n_excess_starts, ==, 0);
  fixture_finish (&f);
}

static void
nothing_starts_beyond_a_shrunk_capacity (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 300;
  set_capacity (&f, 4);
  submit (&f, 12);
  wait_running (&f, 4);
  set_capacity (&f, 2);
  g_assert_cmpint (memory_runtime_n_running (&f.rt), ==, 4);
  wait_job_done (&f);
  g_assert_cmpint (f.rt.n_started, ==, 12);
  g_assert_cmpint (f.rt.n_excess_starts, ==, 0);
  fixture_finish (&f);
}

static gboolean
two_starts_delayed (void *user)
{
  return ((struct fixture *)user)->rt.delayed->len >= 2;
}

/* A start without a reply is not tried again once there is no room for it. */
static void
retried_starts_respect_a_shrunk_capacity (void)
{
  struct fixture f;

  fixture_init (&f);
  set_capacity (&f, 3);
  f.rt.delay_starts = 2;
  submit (&f, 2);
  test_run_until (two_starts_delayed, &f);
  set_capacity (&f, 1);
  test_run_for (400);
  g_assert_cmpint (f.rt.n_excess_starts, ==, 0);
  g_assert_cmpint (memory_runtime_n_running (&f.rt), <=, 1);
  fixture_finish (&f);
}

/* Guards against a loop of start, refusal and placement on the same endpoint,
   with a commit each, while the endpoint has less room than it reported. */
static void
refused_starts_are_not_repeated_in_a_loop (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.capacity = 1;
  f.rt.rejects_excess = TRUE;
  report_capacity (&f, 4);
  submit (&f, 2);
  wait_running (&f, 1);
  test_run_for (1500);
  /* Attempts at 0, 100, 300 and 700 ms. */
  g_assert_cmpint (f.rt.n_start_calls, <=, 1 + 5);
  g_assert_cmpint (f.rt.n_started, ==, 1);
  /* A report of more room ends the pause. */
  set_capacity (&f, 2);
  wait_running (&f, 2);
  fixture_finish (&f);
}

/* Guards against the same loop after the agent restarted, until its endpoint
   reports its capacity. The runs go on meanwhile. */
static void
agents_without_a_capacity_get_nothing (void)
{
  struct fixture f;
  double before;

  fixture_init (&f);
  set_capacity (&f, 2);
  submit (&f, 4);
  wait_running (&f, 2);
  test_run_for (400);
  hk_runner_free (f.runner);
  runner_start (&f);
  f.rt.work_ms = 50;
  test_run_for (200);
  memory_runtime_end_all (&f.rt);
  before = count_commits ();
  test_run_for (800);
  g_assert_cmpfloat (count_commits () - before, <=, 8);
  g_assert_cmpint (f.rt.n_started, ==, 2);
  set_capacity (&f, 2);
  wait_job_done (&f);
  g_assert_cmpint (f.rt.n_started, ==, 4);
  g_assert_cmpint (f.rt.n_excess_starts, ==, 0);
  fixture_finish (&f);
}

static void
ignore_reply (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
              const struct hk_error *err, void *user)
{
  (void)rc;
  (void)list;
  (void)clock_ms;
  (void)err;
  (void)user;
}

/* Guards against a start beside a run of unknown size, which counted as none:
   a new agent found a run that no job wants any more. */
static void
nothing_starts_beside_runs_of_unknown_size (void)
{
  struct fixture f;
  struct hk_runtime_start order = { .task = { .job = (char *)ORPHAN_JOB },
                                    .run = 1,
                                    .deadline_ms = hk_clock_ms () + 3000,
                                    .checkpoint = "",
                                    .payload = "" };

  fixture_init (&f);
  f.rt.stop_ms = 500;
  f.rt.base.ops->start (&f.rt.base, &order, ignore_reply, NULL);
  wait_running (&f, 1);
  set_capacity (&f, 1);
  f.rt.work_ms = 50;
  submit (&f, 1);
  wait_job_done (&f);
  g_assert_cmpint (f.rt.n_started, ==, 2);
  g_assert_cmpint (f.rt.n_excess_starts, ==, 0);
  g_assert_cmpint (f.rt.n_start_calls, ==, 2);
  fixture_finish (&f);
}

static gboolean
one_start_delayed (void *user)
{
  return ((struct fixture *)user)->rt.delayed->len >= 1;
}

/* Guards against two runs of one task: an agent restarted with a start in
   flight, and its successor refused the repeated order without a stop. */
static void
starts_of_a_former_agent_run_once (void)
{
  struct fixture f;

  fixture_init (&f);
  set_capacity (&f, 2);
  f.rt.delay_starts = 1;
  submit (&f, 1);
  test_run_until (one_start_delayed, &f);
  hk_runner_free (f.runner);
  runner_start (&f);
  test_run_for (700);
  set_capacity (&f, 2);
  wait_running (&f, 1);
  memory_runtime_apply_delayed (&f.rt);
  g_assert_cmpint (f.rt.n_refused, ==, 1);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  fixture_finish (&f);
}

/* A new incarnation may be smaller. Until it says so, the size of the one
   before does not count. */
static void
restarted_endpoints_may_be_smaller (void)
{
  struct fixture f;

  fixture_init (&f);
  set_capacity (&f, 4);
  submit (&f, 4);
  wait_running (&f, 4);
  memory_runtime_restart (&f.rt);
  f.rt.capacity = 1;
  test_run_for (500);
  g_assert_cmpint (memory_runtime_n_running (&f.rt), ==, 0);
  report_capacity (&f, 1);
  wait_running (&f, 1);
  test_run_for (300);
  g_assert_cmpint (f.rt.n_excess_starts, ==, 0);
  fixture_finish (&f);
}

/* Guards against placement by the labels of an earlier incarnation: a new list
   of the same length was ignored. */
static void
restarted_endpoints_may_have_other_labels (void)
{
  struct fixture f;

  fixture_init (&f);
  report_capacity_with_label (&f, 4, "a");
  test_run_for (400);
  memory_runtime_restart (&f.rt);
  report_capacity_with_label (&f, 4, "b");
  submit_with_label (&f, 1, "b");
  wait_running (&f, 1);
  fixture_finish (&f);
}

/* Guards against a best-effort task that is placed, for want of any run of its
   job, where its agent refuses every start. */
static void
nothing_fits_where_capacity_is_exceeded (void)
{
  struct hk_job_place_view v = { .usable = TRUE,
                                 .cpu_milli = 4000,
                                 .cpu_free_milli = -1000,
                                 .memory_free_mb = 4000,
                                 .best_effort_free_milli = 1000,
                                 .expected_speed = 1,
                                 .run_time_ratio = 1 };
  struct hk_job_place_need need = {
    .cpu_milli = 1000, .memory_mb = 100, .best_effort = TRUE, .starving = TRUE
  };

  g_assert_cmpint (hk_job_place_choose (&v, 1, &need), ==, -1);
  need.starving = FALSE;
  g_assert_cmpint (hk_job_place_choose (&v, 1, &need), ==, -1);
  v.cpu_free_milli = 0;
  g_assert_cmpint (hk_job_place_choose (&v, 1, &need), ==, 0);
  v.accelerators_free = -1;
  g_assert_cmpint (hk_job_place_choose (&v, 1, &need), ==, -1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/capacity/" #name, name)
  ADD (growth_is_used_at_once);
  ADD (nothing_starts_beyond_a_shrunk_capacity);
  ADD (retried_starts_respect_a_shrunk_capacity);
  ADD (refused_starts_are_not_repeated_in_a_loop);
  ADD (agents_without_a_capacity_get_nothing);
  ADD (nothing_starts_beside_runs_of_unknown_size);
  ADD (starts_of_a_former_agent_run_once);
  ADD (restarted_endpoints_may_be_smaller);
  ADD (restarted_endpoints_may_have_other_labels);
  ADD (nothing_fits_where_capacity_is_exceeded);
  return g_test_run ();
}

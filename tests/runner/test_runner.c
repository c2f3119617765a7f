/* Agents with a coordinator, a store and fake endpoints in one process. Tests
   that each task runs once, and that it continues or moves to another endpoint
   after crashes, lost replies, partitions and store outages. */
#include <glib.h>
#include <string.h>

#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"
#include "runner_support.h"

static void
jobs_complete_and_ends_are_acknowledged (void)
{
  struct fixture f;

  fixture_init (&f);
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  wait_job_done (&f, 0);
  test_run_for (500);
  g_assert_cmpint (f.rt.n_started, ==, 3);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  g_assert_cmpuint (f.rt.acked_seq, ==, 3);
  fixture_finish (&f);
}

static void
unanswered_starts_run_once (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.drop_start_replies = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.n_started, ==, 3);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  fixture_finish (&f);
}

/* Guards against a duplicate run: a list made before a start arrived after the
   reply to it, the run counted as ended, and a second one was started. */
static void
runs_missing_from_a_list_are_stopped_first (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 600;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  f.rt.stale_lists = 1;
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.stale_lists, ==, 0);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  fixture_finish (&f);
}

static gboolean
six_starts_delayed (void *user)
{
  return ((struct memory_runtime *)user)->delayed->len >= 6;
}

/* A start that takes effect after the agent gave up on it must be refused. */
static void
late_starts_are_refused (void)
{
  struct fixture f;

  fixture_init (&f);
  /* All three attempts of both tasks. */
  f.rt.delay_starts = 6;
  f.rt.work_ms = 600;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (six_starts_delayed, &f.rt);
  test_run_for (300);
  memory_runtime_apply_delayed (&f.rt);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  fixture_finish (&f);
}

/* Guards against counting failed renewals as lease extensions: the runs of a
   crashed endpoint were then never started elsewhere. */
static void
runs_of_a_crashed_endpoint_restart_elsewhere (void)
{
  struct fixture f;
  struct memory_runtime other;
  struct hk_runner *runner;
  struct hk_runner_options options = { .name = "a2",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };

  fixture_init (&f);
  f.rt.work_ms = 100000;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  memory_runtime_init (&other);
  runner = hk_runner_new (&f.store.base, &other.base, &options);
  hk_runner_start (runner);
  report_ready_to (runner, &other);
  f.rt.unreachable = TRUE;
  wait_job_done (&f, 0);
  g_assert_cmpint (other.n_started, ==, 3);
  hk_runner_free (runner);
  test_run_for (120);
  memory_runtime_finish (&other);
  fixture_finish (&f);
}

/* Guards against service tasks that stay on a draining endpoint: when an
   instance left during a store outage, its service tasks were moved only after
   all leases had expired. */
static void
service_tasks_leave_a_draining_endpoint (void)
{
  struct fixture f;
  struct memory_runtime other;
  struct hk_runner *runner;
  struct hk_runner_options options = { .name = "a2",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };

  fixture_init (&f);
  f.rt.work_ms = 100000;
  send_request_with_flags (&f, 0, HK_JOB_REQUEST_SUBMIT, HK_STEP_SERVICE);
  test_run_until (two_running, &f.rt);
  memory_runtime_init (&other);
  other.work_ms = 100000;
  runner = hk_runner_new (&f.store.base, &other.base, &options);
  hk_runner_start (runner);
  report_ready_to (runner, &other);
  /* Wait until the coordinator knows that they run. The endpoint itself never
     stops, so only the drain notice can move them. */
  test_run_for (500);
  report_status (f.runner, &f.rt, 10000);
  test_run_until (two_running, &other);
  g_assert_cmpint (memory_runtime_n_running (&f.rt), ==, 0);
  hk_runner_free (runner);
  test_run_for (120);
  memory_runtime_finish (&other);
  fixture_finish (&f);
}

static void
endpoint_restart_ends_its_runs (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 100000;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  memory_runtime_restart (&f.rt);
  f.rt.work_ms = 50;
  report_ready (&f);
  wait_job_done (&f, 0);
  fixture_finish (&f);
}

static gboolean
two_starts_delayed (void *user)
{
  return ((struct memory_runtime *)user)->delayed->len >= 2;
}

/* Guards against a duplicate run: the endpoint crashed with a start in flight,
   and its next incarnation executed that start beside the replacement run. */
static void
starts_in_flight_at_a_crash_run_once (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 500;
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_starts_delayed, &f.rt);
  memory_runtime_restart (&f.rt);
  report_ready (&f);
  test_run_until (two_running, &f.rt);
  memory_runtime_apply_delayed (&f.rt);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  fixture_finish (&f);
}

static void
failed_runs_are_retried (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.fail_next = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.n_started, ==, 5);
  fixture_finish (&f);
}

static void
restarted_agents_adopt_running_tasks (void)
{
  struct fixture f;
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };

  fixture_init (&f);
  f.rt.work_ms = 700;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  hk_runner_free (f.runner);
  f.runner = hk_runner_new (&f.store.base, &f.rt.base, &options);
  hk_runner_start (f.runner);
  report_ready (&f);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.n_started, ==, 3);
  fixture_finish (&f);
}

/* Guards against a leader that keeps its agents after losing the store and its
   peers, so that its successor has none. */
static void
agents_leave_a_partitioned_leader (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 300;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  f.coords[1] = coord_start (&f.views[1], "e2");
  test_run_for (300);
  f.views[0].partitioned = TRUE;
  test_run_until (is_leading, f.coords[1]);
  wait_job_done (&f, 1);
  g_assert_cmpint (f.rt.n_started, ==, 3);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  fixture_finish (&f);
}

/* During a store outage running tasks continue and no new ones start. */
static void
running_tasks_survive_a_store_outage (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 2500;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  f.store.unavailable = TRUE;
  test_run_for (2000);
  g_assert_cmpint (memory_runtime_n_running (&f.rt), ==, 2);
  f.store.unavailable = FALSE;
  f.rt.work_ms = 50;
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.n_started, ==, 3);
  fixture_finish (&f);
}

static gboolean
crash_counted (void *user)
{
  (void)user;
  return hk_metric_get ("hyssopkeel_endpoint_crashes_total", "")->value > 0;
}

/* Guards against a task that crashes endpoint after endpoint without being
   counted: where connections are not refused, an agent learns of a crash only
   from leases that end without an answer. */
static void
endpoints_silent_beyond_their_leases_count_as_crashed (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 100000;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  test_run_for (200);
  hk_metric_get ("hyssopkeel_endpoint_crashes_total", "")->value = 0;
  f.rt.silent = TRUE;
  test_run_until (crash_counted, &f);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/runner/" #name, name)
  ADD (jobs_complete_and_ends_are_acknowledged);
  ADD (unanswered_starts_run_once);
  ADD (late_starts_are_refused);
  ADD (runs_missing_from_a_list_are_stopped_first);
  ADD (runs_of_a_crashed_endpoint_restart_elsewhere);
  ADD (endpoints_silent_beyond_their_leases_count_as_crashed);
  ADD (service_tasks_leave_a_draining_endpoint);
  ADD (endpoint_restart_ends_its_runs);
  ADD (starts_in_flight_at_a_crash_run_once);
  ADD (failed_runs_are_retried);
  ADD (restarted_agents_adopt_running_tasks);
  ADD (agents_leave_a_partitioned_leader);
  ADD (running_tasks_survive_a_store_outage);
  return g_test_run ();
}

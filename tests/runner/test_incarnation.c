/* Starts that reach another incarnation of the endpoint than the one they were
   sent to. */
#include <glib.h>

#include "hyssopkeel/log.h"
#include "runner_support.h"

static struct hk_runner *
agent_new (struct fixture *f)
{
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };
  struct hk_runner *r = hk_runner_new (&f->store.base, &f->rt.base, &options);

  hk_runner_start (r);
  report_ready_to (r, &f->rt);
  return r;
}

static void
agent_restart (struct fixture *f)
{
  hk_runner_free (f->runner);
  test_run_for (300);
  f->runner = agent_new (f);
}

static void
endpoint_crash (struct fixture *f, int64_t start_time_ms)
{
  f->rt.unreachable = TRUE;
  test_run_for (500);
  memory_runtime_restart (&f->rt);
  f->rt.start_time_ms = start_time_ms;
  f->rt.unreachable = FALSE;
  report_ready (f);
}

static gboolean
two_starts_delayed (void *user)
{
  return ((struct memory_runtime *)user)->delayed->len >= 2;
}

/* Guards against two runs of a task (review/1): a start without a reply was
   forgotten with its agent, and the next incarnation carried it out beside the
   run that replaced it. */
static void
check_starts_of_a_former_agent (gboolean ignore_fence)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.delayed_ignore_fence = ignore_fence;
  f.rt.work_ms = 3000;
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_starts_delayed, &f.rt);
  test_run_until (two_running, &f.rt);
  agent_restart (&f);
  test_run_for (500);
  endpoint_crash (&f, f.rt.start_time_ms + 1);
  test_run_until (two_running, &f.rt);
  f.rt.n_refused = 0;
  memory_runtime_apply_delayed (&f.rt);
  g_assert_cmpint (f.rt.n_refused, ==, 2);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  fixture_finish (&f);
}

static void
starts_of_a_former_agent_are_rejected_by_the_next_incarnation (void)
{
  check_starts_of_a_former_agent (FALSE);
}

/* The same at an endpoint that checked the fence of a start as it came. */
static void
starts_that_pass_the_fence_are_stopped_by_the_next_incarnation (void)
{
  check_starts_of_a_former_agent (TRUE);
}

/* Guards against a task that runs again after it was done: its end was
   acknowledged before agent and endpoint restarted. */
static void
starts_of_tasks_that_are_done_are_rejected (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 50;
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  wait_job_done (&f, 0);
  test_run_for (200);
  agent_restart (&f);
  test_run_for (300);
  endpoint_crash (&f, f.rt.start_time_ms + 1);
  test_run_for (300);
  f.rt.n_refused = 0;
  memory_runtime_apply_delayed (&f.rt);
  g_assert_cmpint (f.rt.n_refused, ==, 2);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  fixture_finish (&f);
}

/* A start that the next incarnation carries out before its agent calls it is
   taken over instead of started again. */
static void
starts_before_the_first_call_are_adopted (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 1500;
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_starts_delayed, &f.rt);
  test_run_until (two_running, &f.rt);
  f.rt.unreachable = TRUE;
  test_run_for (500);
  memory_runtime_restart (&f.rt);
  memory_runtime_apply_delayed (&f.rt);
  f.rt.unreachable = FALSE;
  report_ready (&f);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  fixture_finish (&f);
}

/* Guards against an instance that is lost after its time of day was stepped
   back, and against runs of the incarnation before that are kept. */
static void
incarnations_may_start_at_an_earlier_time (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 300;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  endpoint_crash (&f, f.rt.start_time_ms - 500);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/incarnation/" #name, name)
  ADD (starts_of_a_former_agent_are_rejected_by_the_next_incarnation);
  ADD (starts_that_pass_the_fence_are_stopped_by_the_next_incarnation);
  ADD (starts_of_tasks_that_are_done_are_rejected);
  ADD (starts_before_the_first_call_are_adopted);
  ADD (incarnations_may_start_at_an_earlier_time);
  return g_test_run ();
}

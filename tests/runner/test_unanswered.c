/* Starts without a reply that the next incarnation of the endpoint carries
   out: it knows neither the run nor that the task has ended. */
#include <glib.h>

#include "hyssopkeel/log.h"
#include "runner_support.h"

static gboolean
two_starts_delayed (void *user)
{
  return ((struct memory_runtime *)user)->delayed->len >= 2;
}

static void
endpoint_crash (struct fixture *f)
{
  f->rt.unreachable = TRUE;
  test_run_for (500);
  memory_runtime_restart (&f->rt);
  f->rt.unreachable = FALSE;
  report_ready (f);
}

static void
check_once (struct fixture *f)
{
  test_run_for (300);
  memory_runtime_apply_delayed (&f->rt);
  wait_job_done (f, 0);
  g_assert_cmpint (f->rt.max_concurrent_runs, ==, 1);
  g_assert_cmpint (f->rt.started_after_done, ==, 0);
}

/* Guards against a duplicate run: refused connections ended the run as lost,
   and its unanswered start was carried out beside the run that replaced it. */
static void
unanswered_starts_are_stopped_after_a_crash (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 900;
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_starts_delayed, &f.rt);
  endpoint_crash (&f);
  test_run_until (two_running, &f.rt);
  check_once (&f);
  fixture_finish (&f);
}

static gboolean
any_running (void *user)
{
  return memory_runtime_n_running (user) > 0;
}

/* Guards against the same at the incarnation after the next, which knows
   nothing of the stop. */
static void
unanswered_starts_are_stopped_at_each_incarnation (void)
{
  struct fixture f;

  fixture_init (&f);
  /* An agent that has just started doubts all its starts. */
  test_run_for (3100);
  f.rt.work_ms = 900;
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_starts_delayed, &f.rt);
  for (int i = 0; i < 2; i++)
    {
      endpoint_crash (&f);
      test_run_until (any_running, &f.rt);
      test_run_for (50);
    }
  check_once (&f);
  fixture_finish (&f);
}

static gboolean
two_acknowledged (void *user)
{
  return ((struct memory_runtime *)user)->acked_seq >= 2;
}

/* Guards against a task that runs again after it was done: the first attempt
   to start it had no reply, the second one worked. */
static void
unanswered_attempts_are_stopped_after_the_end (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  f.rt.work_ms = 50;
  test_run_until (two_acknowledged, &f.rt);
  f.rt.work_ms = 900;
  endpoint_crash (&f);
  test_run_for (300);
  f.rt.n_refused = 0;
  memory_runtime_apply_delayed (&f.rt);
  g_assert_cmpint (f.rt.n_refused, ==, 2);
  wait_job_done (&f, 0);
  fixture_finish (&f);
}

/* Guards against two runs of one task: an agent restarted with starts in
   flight, and its successor refused the repeated orders without a stop. */
static void
starts_of_a_former_agent_run_once (void)
{
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 900;
  f.rt.delay_starts = 2;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_starts_delayed, &f.rt);
  hk_runner_free (f.runner);
  f.runner = hk_runner_new (&f.store.base, &f.rt.base, &options);
  hk_runner_start (f.runner);
  /* The agent does not know the capacity yet and refuses what it is ordered.
   */
  test_run_for (500);
  report_ready (&f);
  test_run_until (two_running, &f.rt);
  check_once (&f);
  fixture_finish (&f);
}

/* Time-out of a start call without an answer. */
#define START_TIMEOUT_MS 450
/* How far the deadlines may differ, as the endpoint's clock is estimated. */
#define DEADLINE_ERROR_MS 150

/* Deadlines of the attempts to start the first run of the first task. */
struct attempts
{
  struct hk_runtime_ops ops;
  unsigned n;
  int64_t first_deadline_ms;
  int64_t last_deadline_ms;
};

static struct attempts attempts;

struct start_call
{
  hk_runtime_done done;
  void *user;
};

static gboolean
start_time_out (gpointer data)
{
  g_autofree struct start_call *call = data;
  struct hk_runtime_list none = { 0 };
  struct hk_error err;

  hk_error_set (&err, HK_ERR_TIMEOUT, "runtime", "memory", "no answer");
  call->done (HK_ERR_TIMEOUT, &none, 0, &err, call->user);
  return G_SOURCE_REMOVE;
}

static void
unanswered_start (struct hk_runtime *rt, const struct hk_runtime_start *order,
                  hk_runtime_done done, void *user)
{
  struct start_call *call = g_new0 (struct start_call, 1);

  (void)rt;
  if (order->task.step == 0 && order->task.index == 0 && order->run == 1)
    {
      if (attempts.n++ == 0)
        attempts.first_deadline_ms = order->deadline_ms;
      attempts.last_deadline_ms = order->deadline_ms;
    }
  call->done = done;
  call->user = user;
  g_timeout_add (START_TIMEOUT_MS, start_time_out, call);
}

static gboolean
three_attempted (void *user)
{
  (void)user;
  return attempts.n == 3;
}

/* Guards against a start that is carried out long after its order, when
   nothing may start there any more: each attempt had a deadline of its own. */
static void
attempts_to_start_share_a_deadline (void)
{
  const struct hk_runtime_ops *answered;
  struct fixture f;

  fixture_init (&f);
  answered = f.rt.base.ops;
  attempts.ops = *answered;
  attempts.ops.start = unanswered_start;
  f.rt.base.ops = &attempts.ops;
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (three_attempted, NULL);
  g_assert_cmpint (attempts.last_deadline_ms - attempts.first_deadline_ms, <,
                   DEADLINE_ERROR_MS);
  /* Lets the open calls end. */
  f.rt.base.ops = answered;
  test_run_for (2 * START_TIMEOUT_MS);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/unanswered/" #name, name)
  ADD (unanswered_starts_are_stopped_after_a_crash);
  ADD (unanswered_starts_are_stopped_at_each_incarnation);
  ADD (unanswered_attempts_are_stopped_after_the_end);
  ADD (starts_of_a_former_agent_run_once);
  ADD (attempts_to_start_share_a_deadline);
  return g_test_run ();
}

/* Speeds that the endpoint keeps while the agent believes another one: lost
   answers of throttle calls, calls carried out late, restarted agents. */
#include <glib.h>

#include "../../src/runner/runner.h"
#include "hyssopkeel/log.h"
#include "runner_support.h"

/* Simulated time between two lists of the endpoint. */
#define LIST_INTERVAL_MS 300
/* The runs outlast each test. */
#define WORK_MS 60000

/**
 * struct beside - a service task and a best-effort task on one endpoint,
 * without coordinator and lists.
 * @rt: endpoint.
 * @r: agent, of which only the throttle runs.
 * @service: its tail latency is set by update().
 * @best_effort: is throttled.
 * @now: simulated time of the last update.
 */
struct beside
{
  struct memory_runtime rt;
  struct hk_runner r;
  struct runner_run *service;
  struct runner_run *best_effort;
  int64_t now;
};

static void
on_started (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
            const struct hk_error *err, void *user)
{
  (void)list;
  (void)clock_ms;
  (void)err;
  g_assert_cmpint (rc, ==, HK_OK);
  *(gboolean *)user = TRUE;
}

static gboolean
is_true (void *user)
{
  return *(gboolean *)user;
}

static struct runner_run *
add_run (struct beside *b, unsigned number, unsigned flags, unsigned target_ms)
{
  hk_task_id task = { .job = (char *)JOB, .index = number };
  struct hk_runtime_start order = { .task = task,
                                    .run = number,
                                    .deadline_ms = hk_clock_ms () + WORK_MS,
                                    .checkpoint = "" };
  struct runner_run *run = runner_run_add (&b->r, &task, number);
  gboolean started = FALSE;

  b->rt.base.ops->start (&b->rt.base, &order, on_started, &started);
  test_run_until (is_true, &started);
  run->state = RUN_RUNNING;
  run->flags = flags;
  run->target_ms = target_ms;
  run->cpu_milli = 2000;
  return run;
}

static void
beside_init (struct beside *b)
{
  memset (b, 0, sizeof *b);
  memory_runtime_init (&b->rt);
  b->rt.work_ms = WORK_MS;
  b->now = 100000;
  b->r.runtime = &b->rt.base;
  b->r.cpu_milli = 4000;
  TAILQ_INIT (&b->r.runs);
  hk_interference_model_init (&b->r.interference);
  b->service = add_run (b, 1, HK_STEP_SERVICE, 100);
  b->best_effort = add_run (b, 2, HK_STEP_BEST_EFFORT, 0);
}

static void
beside_finish (struct beside *b)
{
  runner_run_remove (b->service);
  runner_run_remove (b->best_effort);
  hk_interference_model_finish (&b->r.interference);
  memory_runtime_finish (&b->rt);
}

static gboolean
no_call_open (void *user)
{
  return ((struct runner_run *)user)->open_calls == 0;
}

/* A list, after which the answer to a throttle call is awaited. */
static void
update (struct beside *b, gboolean saturated)
{
  b->now += LIST_INTERVAL_MS;
  b->service->load_sample = saturated ? 1000 : 5;
  b->best_effort->load_sample = saturated ? 2000 : 0;
  runner_throttle_update (&b->r, b->now);
  test_run_until (no_call_open, b->best_effort);
}

static void
update_for (struct beside *b, int64_t ms)
{
  for (int64_t end = b->now + ms; b->now < end;)
    update (b, FALSE);
}

/* Guards against a run that stands still for good: it was stopped by a call
   whose answer was lost, and the agent believed it at full speed. */
static void
unanswered_speeds_are_ordered_again (void)
{
  struct beside b;
  int calls;

  beside_init (&b);
  b.rt.drop_throttle_replies = 3;
  update (&b, TRUE);
  g_assert_cmpuint (memory_runtime_least_speed (&b.rt), ==, 0);
  update_for (&b, 3000);
  g_assert_cmpuint (memory_runtime_least_speed (&b.rt), ==, 100);
  update_for (&b, 60000);
  calls = b.rt.n_throttle_calls;
  update_for (&b, 60000);
  g_assert_cmpint (b.rt.n_throttle_calls, ==, calls);
  g_assert_cmpint (calls, <=, 15);
  beside_finish (&b);
}

/* Lists come every few milliseconds while runs end. */
static void
unanswered_calls_are_repeated_at_a_bounded_rate (void)
{
  struct beside b;

  beside_init (&b);
  update (&b, TRUE);
  b.rt.n_throttle_calls = 0;
  b.rt.drop_throttle_replies = G_MAXINT;
  for (int64_t end = b.now + 3000; b.now < end; b.now += 15 - LIST_INTERVAL_MS)
    update (&b, FALSE);
  g_assert_cmpint (b.rt.n_throttle_calls, >=, 3);
  g_assert_cmpint (b.rt.n_throttle_calls, <=, 11);
  beside_finish (&b);
}

/* Guards against a run that stands still for good: a call without an answer
   was carried out after the newer one that had been confirmed. */
static void
calls_that_arrive_late_are_corrected (void)
{
  struct beside b;
  int calls;

  beside_init (&b);
  b.rt.delay_throttles = 1;
  update (&b, TRUE);
  update_for (&b, 5000);
  g_assert_cmpuint (memory_runtime_least_speed (&b.rt), ==, 100);
  memory_runtime_apply_delayed (&b.rt);
  g_assert_cmpuint (memory_runtime_least_speed (&b.rt), ==, 0);
  update_for (&b, 6000);
  g_assert_cmpuint (memory_runtime_least_speed (&b.rt), ==, 100);
  update_for (&b, 60000);
  calls = b.rt.n_throttle_calls;
  update_for (&b, 60000);
  g_assert_cmpint (b.rt.n_throttle_calls, ==, calls);
  g_assert_cmpint (calls, <=, 15);
  beside_finish (&b);
}

/* Guards against runs that stand still for good: their former agent had
   stopped them, and its successor believed them at full speed. */
static void
adopted_runs_are_ordered_their_speed (void)
{
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = WORK_MS;
  send_request_with_flags (&f, 0, HK_JOB_REQUEST_SUBMIT, HK_STEP_BEST_EFFORT);
  test_run_until (two_running, &f.rt);
  memory_runtime_set_speed (&f.rt, 0);
  hk_runner_free (f.runner);
  f.rt.n_throttle_calls = 0;
  f.runner = hk_runner_new (&f.store.base, &f.rt.base, &options);
  hk_runner_start (f.runner);
  report_ready (&f);
  test_run_for (3000);
  g_assert_cmpint (memory_runtime_n_running (&f.rt), ==, 2);
  g_assert_cmpuint (memory_runtime_least_speed (&f.rt), ==, 100);
  g_assert_cmpint (f.rt.n_throttle_calls, ==, 2);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/throttle/" #name, name)
  ADD (unanswered_speeds_are_ordered_again);
  ADD (unanswered_calls_are_repeated_at_a_bounded_rate);
  ADD (calls_that_arrive_late_are_corrected);
  ADD (adopted_runs_are_ordered_their_speed);
  return g_test_run ();
}

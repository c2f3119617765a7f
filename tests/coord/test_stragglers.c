/* Best-effort runs that make no progress at their speed, beside others that
   are only throttled. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
/* Too long to be relocated once half of it is done. */
#define ESTIMATE_MS 20000
#define REPORT_INTERVAL_MS 100
#define PERCENT_INTERVAL_MS 500
/* Longer than a run may stand still at full speed. */
#define WATCHED_MS 8000

/**
 * struct fixture - two runs on one agent, and another agent with room.
 * @store: store of the coordinator.
 * @c: coordinator.
 * @agent: agent of the runs.
 * @other: agent without runs.
 */
struct fixture
{
  struct memory_store store;
  struct hk_coord *c;
  struct agent agent;
  struct agent other;
};

static void
submit (struct hk_coord *c)
{
  const unsigned counts[] = { 2, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, HK_STEP_BEST_EFFORT);
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = (char *)JOB,
                               .queue = (char *)"batch",
                               .job = { 1, spec } };
  struct request_result a = { 0 };

  spec->steps.steps_val[0].estimate_ms = ESTIMATE_MS;
  hk_coord_request (c, &args, 5000, on_request_reply, &a);
  test_run_until (has_reply, &a);
  test_job_spec_free (spec);
}

static void
fixture_init (struct fixture *f)
{
  g_autofree char *address = NULL;

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  f->c = coord_start (&f->store, "e1", &address);
  test_run_until (is_leading, f->c);
  agent_init (&f->agent, "a1", address);
  agent_init (&f->other, "a2", address);
  report (&f->agent);
  submit (f->c);
  test_run_until (two_started, &f->agent);
}

static void
fixture_finish (struct fixture *f)
{
  agent_finish (&f->other);
  agent_finish (&f->agent);
  hk_coord_free (f->c);
  memory_store_finish (&f->store);
}

/* Run 0 stands still at @speed_percent, run 1 works at full speed. Returns
   when a stop is ordered, at the latest after WATCHED_MS. */
static void
watch (struct fixture *f, unsigned speed_percent)
{
  int64_t begin = hk_clock_ms ();
  unsigned before = f->agent.runs[1].percent;

  f->agent.runs[0].percent = 50;
  f->agent.runs[0].pace = speed_percent;
  f->agent.runs[1].pace = 100;
  for (int64_t ms = 0; ms < WATCHED_MS && f->agent.stops == 0;
       ms = hk_clock_ms () - begin)
    {
      f->agent.runs[1].percent = before + (unsigned)(ms / PERCENT_INTERVAL_MS);
      report (&f->agent);
      report (&f->other);
      test_run_for (REPORT_INTERVAL_MS);
    }
}

/* Guards against work that stands still for good: a best-effort run that hung
   was left alone as one that is throttled. */
static void
best_effort_runs_that_hang_are_stopped (void)
{
  struct fixture f;

  fixture_init (&f);
  watch (&f, 0);
  g_assert_cmpint (f.agent.stops, ==, 0);
  watch (&f, 100);
  g_assert_cmpint (f.agent.stops, ==, 1);
  g_assert_cmpuint (f.agent.stopped_index, ==, f.agent.runs[0].task.index);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
  g_test_add_func ("/stragglers/best_effort_runs_that_hang_are_stopped",
                   best_effort_runs_that_hang_are_stopped);
  return g_test_run ();
}

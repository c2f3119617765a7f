/* Texts of any length on the way from an endpoint to the coordinator and back:
   what is over a limit costs only itself. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "hyssopkeel/log.h"
#include "runner_support.h"

#define WIDE_TASKS 60

/* Runs a job whose first run ends as failed, so that its task resumes. */
static void
run_with_checkpoints (struct fixture *f, size_t bytes)
{
  fixture_init (f);
  f->rt.checkpoint_bytes = bytes;
  f->rt.work_ms = 300;
  f->rt.fail_next = 1;
  send_request (f, 0, HK_JOB_REQUEST_SUBMIT);
  wait_job_done (f, 0);
  g_assert_cmpint (f->rt.n_started, ==, 4);
}

/* Guards against an agent that is cut off for good: its report held a
   checkpoint that did not encode, and was repeated for ever. */
static void
long_checkpoints_are_carried (void)
{
  struct fixture f;

  run_with_checkpoints (&f, 256);
  g_assert_cmpuint (f.rt.resumed_bytes, ==, 256);
  fixture_finish (&f);
  run_with_checkpoints (&f, HK_JOB_TEXT_MAX);
  g_assert_cmpuint (f.rt.resumed_bytes, ==, HK_JOB_TEXT_MAX);
  fixture_finish (&f);
}

/* Guards against the same with a checkpoint over any limit: its task starts
   from the beginning, and nothing else changes. */
static void
checkpoints_over_the_limit_cost_only_themselves (void)
{
  struct fixture f;

  run_with_checkpoints (&f, HK_JOB_TEXT_MAX + 1);
  g_assert_cmpuint (f.rt.resumed_bytes, ==, 0);
  fixture_finish (&f);
}

/* Guards against reports and orders that are each over the size of a message,
   although every checkpoint in them is within its limit. */
static void
wide_jobs_with_long_checkpoints_complete (void)
{
  const unsigned counts[] = { WIDE_TASKS, WIDE_TASKS, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, 0);
  struct fixture f;

  for (int i = 0; i < 2; i++)
    {
      spec->steps.steps_val[i].cpu_milli = 10;
      spec->steps.steps_val[i].memory_mb = 1;
    }
  spec->max_attempts = 2;
  fixture_init (&f);
  f.rt.checkpoint_bytes = HK_JOB_TEXT_MAX;
  f.rt.work_ms = 1500;
  f.rt.fail_next = WIDE_TASKS;
  submit_spec (&f, 0, spec);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.n_started, ==, 3 * WIDE_TASKS);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  test_job_spec_free (spec);
  fixture_finish (&f);
}

/* Guards against a job that is accepted and never runs: the start orders for
   one endpoint were over the size of a message. */
static void
wide_jobs_with_long_specs_run (void)
{
  const unsigned counts[] = { 1200, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, 0);
  struct fixture f;

  spec->steps.steps_val[0].cpu_milli = 3;
  spec->steps.steps_val[0].memory_mb = 1;
  free (spec->payload.payload_val);
  spec->payload.payload_len = 3900;
  spec->payload.payload_val = calloc (1, spec->payload.payload_len);
  fixture_init (&f);
  f.rt.work_ms = 500;
  submit_spec (&f, 0, spec);
  wait_job_done (&f, 0);
  g_assert_cmpint (f.rt.max_concurrent_runs, ==, 1);
  g_assert_cmpint (f.rt.started_after_done, ==, 0);
  test_job_spec_free (spec);
  fixture_finish (&f);
}

static void
set_image (hk_step_spec *step, char letter, size_t bytes)
{
  free (step->image);
  step->image = malloc (bytes + 1);
  memset (step->image, letter, bytes);
  step->image[bytes] = 0;
}

/* Guards against agents that a new coordinator never hears of: they hand it
   the interference table, and image names over 200 bytes did not encode. */
static void
long_image_names_reach_a_new_coordinator (void)
{
  const unsigned counts[] = { 1, 1, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, 0);
  struct fixture f;

  spec->steps.steps_val[0].flags = HK_STEP_SERVICE;
  spec->steps.steps_val[0].target_ms = 100;
  spec->steps.steps_val[1].flags = HK_STEP_BEST_EFFORT;
  spec->steps.steps_val[1].after.after_len = 0;
  set_image (&spec->steps.steps_val[0], 's', 300);
  set_image (&spec->steps.steps_val[1], 'b', HK_JOB_TEXT_MAX);
  fixture_init (&f);
  f.rt.work_ms = 60000;
  submit_spec (&f, 0, spec);
  test_run_until (two_running, &f.rt);
  /* Time for the table to reach the agent. */
  test_run_for (1500);
  hk_coord_free (f.coords[0]);
  f.coords[0] = NULL;
  f.coords[1] = coord_start (&f.views[1], "e2");
  test_run_until (is_leading, f.coords[1]);
  /* Longer than the leases last without a grant of the new coordinator. */
  test_run_for (4000);
  g_assert_cmpint (memory_runtime_n_running (&f.rt), ==, 2);
  g_assert_cmpint (f.rt.n_started, ==, 2);
  test_job_spec_free (spec);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/limits/" #name, name)
  ADD (long_checkpoints_are_carried);
  ADD (checkpoints_over_the_limit_cost_only_themselves);
  ADD (wide_jobs_with_long_checkpoints_complete);
  ADD (wide_jobs_with_long_specs_run);
  ADD (long_image_names_reach_a_new_coordinator);
  return g_test_run ();
}

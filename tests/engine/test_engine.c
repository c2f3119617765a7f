/* The job engine: order of steps, attempts, copies, cancels and records. */
#include <glib.h>
#include <string.h>

#include "../support/jobs.h"
#include "hyssopkeel/engine.h"

struct world
{
  struct hk_engine e;
  struct hk_instance *in;
};

static void
world_init (struct world *w)
{
  hk_engine_init (&w->e);
  w->in = hk_engine_instance (&w->e, "agent-1");
  w->in->cpu_milli = 8000;
  w->in->memory_mb = 8000;
  w->in->born_ms = 7;
}

static struct hk_engine_job *
submit (struct world *w, const char *id, const unsigned *counts,
        unsigned flags)
{
  hk_job_spec *spec = test_job (id, counts, flags);
  struct hk_engine_job *job = hk_engine_submit (&w->e, spec, 100, 1000);

  test_job_free (spec);
  return job;
}

static void
end (struct hk_engine_task *task, hk_end_how how)
{
  hk_engine_end (task->runs[0], how, NULL, 200, 2000);
}

static void
later_steps_wait_for_all_tasks (void)
{
  struct world w;
  struct hk_engine_job *job;
  const unsigned counts[] = { 2, 1, 0 };

  world_init (&w);
  job = submit (&w, "a", counts, 0);
  g_assert_true (hk_engine_step_ready (&job->steps[0]));
  g_assert_false (hk_engine_step_ready (&job->steps[1]));
  hk_engine_place (&job->steps[0].tasks[0], w.in, 100);
  hk_engine_place (&job->steps[0].tasks[1], w.in, 100);
  end (&job->steps[0].tasks[0], HK_END_DONE);
  g_assert_false (hk_engine_step_ready (&job->steps[1]));
  end (&job->steps[0].tasks[1], HK_END_DONE);
  g_assert_true (hk_engine_step_ready (&job->steps[1]));
  hk_engine_place (&job->steps[1].tasks[0], w.in, 100);
  end (&job->steps[1].tasks[0], HK_END_DONE);
  g_assert_cmpint (job->state, ==, HK_JOB_STATE_COMPLETED);
  g_assert_cmpuint (w.in->used_cpu_milli, ==, 0);
  hk_engine_finish (&w.e);
}

static void
only_failures_cost_attempts (void)
{
  struct world w;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  const hk_end_how free_ends[] = { HK_END_STOPPED, HK_END_LAPSED, HK_END_LOST,
                                   HK_END_REFUSED, HK_END_BROKEN };
  const unsigned counts[] = { 1, 0 };

  world_init (&w);
  job = submit (&w, "a", counts, 0);
  task = &job->steps[0].tasks[0];
  for (guint i = 0; i < G_N_ELEMENTS (free_ends); i++)
    {
      hk_engine_place (task, w.in, 100);
      end (task, free_ends[i]);
      g_assert_cmpint (task->state, ==, HK_TASK_WAITING);
    }
  for (unsigned i = 0; i < 3; i++)
    {
      g_assert_cmpint (job->state, ==, HK_JOB_STATE_QUEUED);
      hk_engine_place (task, w.in, 100);
      end (task, HK_END_FAILED);
    }
  g_assert_cmpint (job->state, ==, HK_JOB_STATE_FAILED);
  g_assert_cmpuint (task->last_run, ==, G_N_ELEMENTS (free_ends) + 3);
  hk_engine_finish (&w.e);
}

static void
lasting_tasks_start_again_however_they_end (void)
{
  struct world w;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  const unsigned counts[] = { 1, 0 };

  world_init (&w);
  job = submit (&w, "a", counts, HK_STEP_LASTS);
  task = &job->steps[0].tasks[0];
  for (int i = 0; i < 10; i++)
    {
      hk_engine_place (task, w.in, 100);
      end (task, i % 2 ? HK_END_FAILED : HK_END_DONE);
      g_assert_cmpint (task->state, ==, HK_TASK_WAITING);
    }
  g_assert_true (hk_engine_wants (job));
  hk_engine_finish (&w.e);
}

static void
cancelled_runs_hold_their_room_until_they_end (void)
{
  struct world w;
  struct hk_engine_job *job;
  const unsigned counts[] = { 2, 0 };

  world_init (&w);
  job = submit (&w, "a", counts, 0);
  hk_engine_place (&job->steps[0].tasks[0], w.in, 100);
  hk_engine_cancel (job, 150, 1500);
  g_assert_true (job->steps[0].tasks[0].runs[0]->unwanted);
  g_assert_cmpuint (w.in->used_cpu_milli, ==, 1000);
  end (&job->steps[0].tasks[0], HK_END_STOPPED);
  g_assert_cmpuint (w.in->used_cpu_milli, ==, 0);
  g_assert_cmpint (job->state, ==, HK_JOB_STATE_CANCELLED);
  hk_engine_finish (&w.e);
}

static void
first_copy_to_finish_counts (void)
{
  struct world w;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  const unsigned counts[] = { 1, 1, 0 };

  world_init (&w);
  job = submit (&w, "a", counts, HK_STEP_SPECULATIVE);
  task = &job->steps[0].tasks[0];
  hk_engine_place (task, w.in, 100);
  hk_engine_place (task, w.in, 110);
  g_assert_cmpuint (task->runs[0]->number, ==, 1);
  g_assert_cmpuint (task->runs[1]->number, ==, 2);
  hk_engine_end (task->runs[1], HK_END_DONE, NULL, 200, 2000);
  g_assert_cmpint (task->state, ==, HK_TASK_DONE);
  g_assert_true (task->runs[0]->unwanted);
  /* Its own end changes nothing any more. */
  hk_engine_end (task->runs[0], HK_END_DONE, NULL, 210, 2100);
  g_assert_cmpuint (job->steps[0].done, ==, 1);
  hk_engine_finish (&w.e);
}

static void
records_bring_back_what_was_committed (void)
{
  struct world w;
  struct world other;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  struct hk_error err;
  g_autofree char *spec = NULL;
  g_autofree char *progress = NULL;
  size_t spec_len = 0;
  size_t progress_len = 0;
  const unsigned counts[] = { 2, 3, 0 };

  world_init (&w);
  job = submit (&w, "0123456789abcdef", counts, HK_STEP_CHECKPOINTS);
  hk_engine_place (&job->steps[0].tasks[0], w.in, 100);
  hk_engine_place (&job->steps[0].tasks[1], w.in, 100);
  hk_engine_end (job->steps[0].tasks[0].runs[0], HK_END_STOPPED, "cp-1", 150,
                 1500);
  hk_engine_encode_spec (&spec, &spec_len, job);
  hk_engine_encode_progress (&progress, &progress_len, job);
  world_init (&other);
  g_assert_cmpint (hk_engine_load (&other.e, "0123456789abcdef", spec,
                                   spec_len, progress, progress_len, 500, 2000,
                                   &err),
                   ==, HK_OK);
  job = hk_engine_find (&other.e, "0123456789abcdef");
  task = &job->steps[0].tasks[0];
  g_assert_cmpstr (task->checkpoint, ==, "cp-1");
  g_assert_cmpuint (task->last_run, ==, 1);
  g_assert_cmpint (task->state, ==, HK_TASK_WAITING);
  task = &job->steps[0].tasks[1];
  g_assert_cmpstr (task->runs[0]->instance->name, ==, "agent-1");
  g_assert_cmpint (task->runs[0]->born_ms, ==, 7);
  g_assert_true (task->runs[0]->inherited);
  g_assert_cmpuint (other.in->used_cpu_milli, ==, 1000);
  g_assert_cmpuint (job->steps[1].waiting, ==, 3);
  hk_engine_finish (&w.e);
  hk_engine_finish (&other.e);
}

static void
broken_records_are_refused (void)
{
  struct world w;
  struct hk_error err = { 0 };

  world_init (&w);
  g_assert_cmpint (
      hk_engine_load (&w.e, "x", "junk", 4, "junk", 4, 0, 0, &err), ==,
      HK_ERR_PROTOCOL);
  g_assert_null (hk_engine_find (&w.e, "x"));
  hk_engine_finish (&w.e);
}

static void
bad_submissions_name_their_rule (void)
{
  const unsigned counts[] = { 1, 1, 0 };
  hk_job_spec *spec = test_job ("a", counts, 0);
  struct hk_error err = { 0 };

  g_assert_cmpint (hk_engine_check (spec, &err), ==, HK_OK);
  spec->steps.steps_val[1].after.after_val[0] = 1;
  g_assert_cmpint (hk_engine_check (spec, &err), ==, HK_ERR_INVALID);
  g_assert_nonnull (strstr (err.text, "step 1"));
  spec->steps.steps_val[1].after.after_val[0] = 0;
  spec->steps.steps_val[0].count = 0;
  g_assert_cmpint (hk_engine_check (spec, &err), ==, HK_ERR_INVALID);
  spec->steps.steps_val[0].count = 1000000;
  g_assert_cmpint (hk_engine_check (spec, &err), ==, HK_ERR_INVALID);
  test_job_free (spec);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/engine/later_steps_wait_for_all_tasks",
                   later_steps_wait_for_all_tasks);
  g_test_add_func ("/engine/only_failures_cost_attempts",
                   only_failures_cost_attempts);
  g_test_add_func ("/engine/lasting_tasks_start_again_however_they_end",
                   lasting_tasks_start_again_however_they_end);
  g_test_add_func ("/engine/cancelled_runs_hold_their_room_until_they_end",
                   cancelled_runs_hold_their_room_until_they_end);
  g_test_add_func ("/engine/first_copy_to_finish_counts",
                   first_copy_to_finish_counts);
  g_test_add_func ("/engine/records_bring_back_what_was_committed",
                   records_bring_back_what_was_committed);
  g_test_add_func ("/engine/broken_records_are_refused",
                   broken_records_are_refused);
  g_test_add_func ("/engine/bad_submissions_name_their_rule",
                   bad_submissions_name_their_rule);
  return g_test_run ();
}

/* Job engine: order of steps, failed attempts, speculative attempts,
   cancellation, records, and validation of submissions. */
#include <glib.h>
#include <string.h>

#include "../support/jobs.h"
#include "hyssopkeel/engine.h"

struct fixture
{
  struct hk_engine e;
  struct hk_instance *in;
};

static void
fixture_init (struct fixture *f)
{
  hk_engine_init (&f->e);
  f->in = hk_engine_instance_get (&f->e, "agent-1");
  f->in->cpu_milli = 8000;
  f->in->memory_mb = 8000;
  f->in->start_time_ms = 7;
}

static struct hk_engine_job *
submit (struct fixture *f, const char *id, const unsigned *counts,
        unsigned flags)
{
  hk_job_spec *spec = test_job_spec_new (id, counts, flags);
  struct hk_engine_job *job = hk_engine_submit (&f->e, spec, 100, 1000);

  test_job_spec_free (spec);
  return job;
}

static void
end_run (struct hk_engine_task *task, hk_end_how how)
{
  hk_engine_run_end (task->runs[0], how, NULL, 200, 2000);
}

static void
later_steps_wait_for_all_tasks (void)
{
  struct fixture f;
  struct hk_engine_job *job;
  const unsigned counts[] = { 2, 1, 0 };

  fixture_init (&f);
  job = submit (&f, "a", counts, 0);
  g_assert_true (hk_engine_step_ready (&job->steps[0]));
  g_assert_false (hk_engine_step_ready (&job->steps[1]));
  hk_engine_task_place (&job->steps[0].tasks[0], f.in, 100);
  hk_engine_task_place (&job->steps[0].tasks[1], f.in, 100);
  end_run (&job->steps[0].tasks[0], HK_END_DONE);
  g_assert_false (hk_engine_step_ready (&job->steps[1]));
  end_run (&job->steps[0].tasks[1], HK_END_DONE);
  g_assert_true (hk_engine_step_ready (&job->steps[1]));
  hk_engine_task_place (&job->steps[1].tasks[0], f.in, 100);
  end_run (&job->steps[1].tasks[0], HK_END_DONE);
  g_assert_cmpint (job->state, ==, HK_JOB_STATE_COMPLETED);
  g_assert_cmpuint (f.in->used_cpu_milli, ==, 0);
  hk_engine_finish (&f.e);
}

static void
only_failures_cost_attempts (void)
{
  struct fixture f;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  const hk_end_how uncounted_ends[]
      = { HK_END_STOPPED, HK_END_LEASE_EXPIRED, HK_END_LOST, HK_END_REFUSED,
          HK_END_BROKEN };
  const unsigned counts[] = { 1, 0 };

  fixture_init (&f);
  job = submit (&f, "a", counts, 0);
  task = &job->steps[0].tasks[0];
  for (guint i = 0; i < G_N_ELEMENTS (uncounted_ends); i++)
    {
      hk_engine_task_place (task, f.in, 100);
      end_run (task, uncounted_ends[i]);
      g_assert_cmpint (task->state, ==, HK_TASK_WAITING);
    }
  for (unsigned i = 0; i < 3; i++)
    {
      g_assert_cmpint (job->state, ==, HK_JOB_STATE_QUEUED);
      hk_engine_task_place (task, f.in, 100);
      end_run (task, HK_END_FAILED);
    }
  g_assert_cmpint (job->state, ==, HK_JOB_STATE_FAILED);
  g_assert_cmpuint (task->last_run, ==, G_N_ELEMENTS (uncounted_ends) + 3);
  hk_engine_finish (&f.e);
}

static void
service_tasks_restart_however_they_end (void)
{
  struct fixture f;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  const unsigned counts[] = { 1, 0 };

  fixture_init (&f);
  job = submit (&f, "a", counts, HK_STEP_SERVICE);
  task = &job->steps[0].tasks[0];
  for (int i = 0; i < 10; i++)
    {
      hk_engine_task_place (task, f.in, 100);
      end_run (task, i % 2 ? HK_END_FAILED : HK_END_DONE);
      g_assert_cmpint (task->state, ==, HK_TASK_WAITING);
    }
  g_assert_true (hk_engine_job_active (job));
  hk_engine_finish (&f.e);
}

static void
cancelled_runs_keep_capacity_until_they_end (void)
{
  struct fixture f;
  struct hk_engine_job *job;
  const unsigned counts[] = { 2, 0 };

  fixture_init (&f);
  job = submit (&f, "a", counts, 0);
  hk_engine_task_place (&job->steps[0].tasks[0], f.in, 100);
  hk_engine_job_cancel (job, 150, 1500);
  g_assert_true (job->steps[0].tasks[0].runs[0]->to_stop);
  g_assert_cmpuint (f.in->used_cpu_milli, ==, 1000);
  end_run (&job->steps[0].tasks[0], HK_END_STOPPED);
  g_assert_cmpuint (f.in->used_cpu_milli, ==, 0);
  g_assert_cmpint (job->state, ==, HK_JOB_STATE_CANCELLED);
  hk_engine_finish (&f.e);
}

static void
first_attempt_to_finish_completes_the_task (void)
{
  struct fixture f;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  const unsigned counts[] = { 1, 1, 0 };

  fixture_init (&f);
  job = submit (&f, "a", counts, HK_STEP_SPECULATIVE);
  task = &job->steps[0].tasks[0];
  hk_engine_task_place (task, f.in, 100);
  hk_engine_task_place (task, f.in, 110);
  g_assert_cmpuint (task->runs[0]->number, ==, 1);
  g_assert_cmpuint (task->runs[1]->number, ==, 2);
  hk_engine_run_end (task->runs[1], HK_END_DONE, NULL, 200, 2000);
  g_assert_cmpint (task->state, ==, HK_TASK_DONE);
  g_assert_true (task->runs[0]->to_stop);
  /* The end of the other run changes nothing. */
  hk_engine_run_end (task->runs[0], HK_END_DONE, NULL, 210, 2100);
  g_assert_cmpuint (job->steps[0].done, ==, 1);
  hk_engine_finish (&f.e);
}

static void
records_restore_a_job (void)
{
  struct fixture f;
  struct fixture restored;
  struct hk_engine_job *job;
  struct hk_engine_task *task;
  struct hk_error err;
  g_autofree char *spec = NULL;
  g_autofree char *progress = NULL;
  size_t spec_len = 0;
  size_t progress_len = 0;
  const unsigned counts[] = { 2, 3, 0 };

  fixture_init (&f);
  job = submit (&f, "0123456789abcdef", counts, HK_STEP_CHECKPOINTS);
  hk_engine_task_place (&job->steps[0].tasks[0], f.in, 100);
  hk_engine_task_place (&job->steps[0].tasks[1], f.in, 100);
  hk_engine_run_end (job->steps[0].tasks[0].runs[0], HK_END_STOPPED, "cp-1",
                     150, 1500);
  hk_engine_encode_spec (&spec, &spec_len, job);
  hk_engine_encode_progress (&progress, &progress_len, job);
  fixture_init (&restored);
  g_assert_cmpint (hk_engine_job_load (&restored.e, "0123456789abcdef", spec,
                                       spec_len, progress, progress_len, 500,
                                       2000, &err),
                   ==, HK_OK);
  job = hk_engine_job_find (&restored.e, "0123456789abcdef");
  task = &job->steps[0].tasks[0];
  g_assert_cmpstr (task->checkpoint, ==, "cp-1");
  g_assert_cmpuint (task->last_run, ==, 1);
  g_assert_cmpint (task->state, ==, HK_TASK_WAITING);
  task = &job->steps[0].tasks[1];
  g_assert_cmpstr (task->runs[0]->instance->name, ==, "agent-1");
  g_assert_cmpint (task->runs[0]->instance_start_time_ms, ==, 7);
  g_assert_true (task->runs[0]->may_execute);
  g_assert_cmpuint (restored.in->used_cpu_milli, ==, 1000);
  g_assert_cmpuint (job->steps[1].waiting, ==, 3);
  hk_engine_finish (&f.e);
  hk_engine_finish (&restored.e);
}

/* Guards against a job whose progress is no longer stored: the checkpoints of
   all its tasks share one record, which did not fit. */
static void
checkpoints_beyond_a_record_are_left_out (void)
{
  g_autofree char *checkpoint = g_strnfill (HK_JOB_TEXT_MAX, 'c');
  g_autofree char *progress = NULL;
  const unsigned counts[] = { 40, 0 };
  struct hk_engine_job *job;
  struct fixture f;
  size_t len = 0;

  fixture_init (&f);
  job = submit (&f, "0123456789abcdef", counts, HK_STEP_CHECKPOINTS);
  for (unsigned i = 0; i < 40; i++)
    {
      hk_engine_task_place (&job->steps[0].tasks[i], f.in, 100);
      hk_engine_run_end (job->steps[0].tasks[i].runs[0], HK_END_STOPPED,
                         checkpoint, 150, 1500);
    }
  g_assert_cmpint (hk_engine_encode_progress (&progress, &len, job), ==,
                   HK_OK);
  g_assert_cmpuint (len, <=, HK_ENGINE_RECORD_MAX_BYTES);
  g_assert_cmpuint (len, >, HK_ENGINE_RECORD_MAX_BYTES - HK_JOB_TEXT_MAX);
  g_assert_cmpuint (job->n_checkpoints_left_out, ==, 29);
  g_assert_cmpuint (strlen (job->steps[0].tasks[39].checkpoint), ==,
                    HK_JOB_TEXT_MAX);
  hk_engine_finish (&f.e);
}

static void
malformed_records_are_rejected (void)
{
  struct fixture f;
  struct hk_error err = { 0 };

  fixture_init (&f);
  g_assert_cmpint (
      hk_engine_job_load (&f.e, "x", "junk", 4, "junk", 4, 0, 0, &err), ==,
      HK_ERR_PROTOCOL);
  g_assert_null (hk_engine_job_find (&f.e, "x"));
  hk_engine_finish (&f.e);
}

static void
invalid_submissions_name_the_violated_rule (void)
{
  const unsigned counts[] = { 1, 1, 0 };
  hk_job_spec *spec = test_job_spec_new ("a", counts, 0);
  struct hk_error err = { 0 };

  g_assert_cmpint (
      hk_engine_spec_check (spec, HK_ENGINE_RECORD_MAX_BYTES, &err), ==,
      HK_OK);
  spec->steps.steps_val[1].after.after_val[0] = 1;
  g_assert_cmpint (
      hk_engine_spec_check (spec, HK_ENGINE_RECORD_MAX_BYTES, &err), ==,
      HK_ERR_INVALID);
  g_assert_nonnull (strstr (err.text, "step 1"));
  spec->steps.steps_val[1].after.after_val[0] = 0;
  spec->steps.steps_val[0].count = 0;
  g_assert_cmpint (
      hk_engine_spec_check (spec, HK_ENGINE_RECORD_MAX_BYTES, &err), ==,
      HK_ERR_INVALID);
  spec->steps.steps_val[0].count = 1000000;
  g_assert_cmpint (
      hk_engine_spec_check (spec, HK_ENGINE_RECORD_MAX_BYTES, &err), ==,
      HK_ERR_INVALID);
  test_job_spec_free (spec);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/engine/later_steps_wait_for_all_tasks",
                   later_steps_wait_for_all_tasks);
  g_test_add_func ("/engine/only_failures_cost_attempts",
                   only_failures_cost_attempts);
  g_test_add_func ("/engine/service_tasks_restart_however_they_end",
                   service_tasks_restart_however_they_end);
  g_test_add_func ("/engine/cancelled_runs_keep_capacity_until_they_end",
                   cancelled_runs_keep_capacity_until_they_end);
  g_test_add_func ("/engine/first_attempt_to_finish_completes_the_task",
                   first_attempt_to_finish_completes_the_task);
  g_test_add_func ("/engine/records_restore_a_job", records_restore_a_job);
  g_test_add_func ("/engine/checkpoints_beyond_a_record_are_left_out",
                   checkpoints_beyond_a_record_are_left_out);
  g_test_add_func ("/engine/malformed_records_are_rejected",
                   malformed_records_are_rejected);
  g_test_add_func ("/engine/invalid_submissions_name_the_violated_rule",
                   invalid_submissions_name_the_violated_rule);
  return g_test_run ();
}

/* Waits of suspects and ages of their runs in the records of jobs. The time of
   day outlives the process that saw a wait begin; a clock that is wrong ends a
   wait early or begins it anew. */
#include "engine_priv.h"

/* A record with a larger age is malformed. */
#define AGE_MAX_MS 31536000000

unsigned
engine_waits_collect (const struct hk_engine_job *job, hk_task_wait *out)
{
  unsigned n = 0;

  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    for (unsigned t = 0; t < job->steps[i].spec->count; t++)
      {
        const struct hk_engine_task *task = &job->steps[i].tasks[t];

        if (task->crash.crashes > 0 && task->state == HK_TASK_WAITING
            && task->ready_wall_ms > 0)
          out[n++] = (hk_task_wait){ .step = i,
                                     .index = t,
                                     .ready_ms = task->ready_wall_ms };
      }
  return n;
}

unsigned
engine_ages_collect (const struct hk_engine_job *job, hk_run_age *out)
{
  unsigned n = 0;

  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    for (unsigned t = 0; t < job->steps[i].spec->count; t++)
      {
        const struct hk_engine_task *task = &job->steps[i].tasks[t];
        const struct hk_run *run = task->runs[0];

        if (task->crash.crashes > 0 && run && run->age_stored_ms > 0)
          out[n++] = (hk_run_age){ .step = i,
                                   .index = t,
                                   .run = run->number,
                                   .age_ms = run->age_stored_ms };
      }
  return n;
}

static void
ages_load (struct hk_engine_job *job, const hk_job_waits *list)
{
  for (u_int k = 0; k < list->runs.runs_len; k++)
    {
      const hk_run_age *in = &list->runs.runs_val[k];
      struct hk_run *run;

      if (in->step >= job->spec.steps.steps_len
          || in->index >= job->steps[in->step].spec->count || in->age_ms <= 0
          || in->age_ms > AGE_MAX_MS)
        continue;
      run = hk_engine_run_find (&job->steps[in->step].tasks[in->index],
                                in->run);
      if (run)
        run->age_stored_ms = run->age_before_ms = in->age_ms;
    }
}

void
engine_waits_load (struct hk_engine_job *job, const hk_job_waits *list,
                   int64_t now_ms, int64_t wall_ms)
{
  for (u_int k = 0; k < list->tasks.tasks_len; k++)
    {
      const hk_task_wait *in = &list->tasks.tasks_val[k];
      struct hk_engine_task *task;

      if (in->step >= job->spec.steps.steps_len
          || in->index >= job->steps[in->step].spec->count
          || in->ready_ms <= 0)
        continue;
      task = &job->steps[in->step].tasks[in->index];
      task->ready_wall_ms = in->ready_ms;
      task->ready_ms = now_ms - MAX (wall_ms - in->ready_ms, 0);
    }
  ages_load (job, list);
}

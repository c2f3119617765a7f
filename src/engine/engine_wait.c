/* Waits of suspects in the records of jobs. The time of day outlives the
   process that saw a wait begin; a clock that is wrong ends a wait early or
   begins it anew. */
#include "engine_priv.h"

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
}

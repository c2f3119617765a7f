/* Crashes of endpoints in the engine: runs that are watched, and the records
   of tasks that endpoints crashed under. */
#include <stdlib.h>
#include <string.h>

#include "engine_priv.h"

void
hk_engine_run_watch (struct hk_run *run, enum hk_crash_watch watch)
{
  struct hk_instance *in = run->instance;
  struct hk_engine_job *job = run->task->step->job;
  unsigned watched = (watch != HK_CRASH_UNWATCHED)
                     - (unsigned)(run->watch != HK_CRASH_UNWATCHED);

  in->n_watched += watched;
  job->n_watched += watched;
  job->engine->n_watched += watched;
  in->n_exclusive += (watch == HK_CRASH_EXCLUSIVE)
                     - (unsigned)(run->watch == HK_CRASH_EXCLUSIVE);
  run->watch = watch;
}

unsigned
engine_crashes_collect (const struct hk_engine_job *job, hk_task_crashes *out)
{
  unsigned n = 0;

  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    for (unsigned t = 0; t < job->steps[i].spec->count; t++)
      {
        const struct hk_crash_history *h = &job->steps[i].tasks[t].crash;

        if (h->crashes > 0)
          out[n++] = (hk_task_crashes){ .step = i,
                                        .index = t,
                                        .crashes = h->crashes,
                                        .age_ms = (u_int)h->age_ms };
      }
  return n;
}

void
engine_crashes_load (struct hk_engine_job *job, const hk_job_crashes *list)
{
  for (u_int k = 0; k < list->tasks.tasks_len; k++)
    {
      const hk_task_crashes *in = &list->tasks.tasks_val[k];
      struct hk_crash_history *h;

      if (in->step >= job->spec.steps.steps_len
          || in->index >= job->steps[in->step].spec->count)
        continue;
      h = &job->steps[in->step].tasks[in->index].crash;
      h->crashes = in->crashes;
      h->age_ms = in->age_ms;
    }
}

/* Evacuates runs from draining instances before these stop. A run that is left
   there ends with the instance, and its task restarts late. The delay is
   longest if the agent terminates without reporting the end. */
#include "coord.h"

#include "hyssopkeel/job_placement.h"

/* A run with checkpoints that would not finish is stopped this long before the
   instance may stop: the longest time a stop takes, and one report. */
#define CHECKPOINT_STOP_MS 700

static gboolean
fits_elsewhere (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_job_place_view v = { 0 };

    if (in != run->instance && coord_task_fits (c, &v, in, run->task, now))
      return TRUE;
  }
  return FALSE;
}

static gboolean
finishes_in_time (struct hk_coord *c, const struct hk_run *run,
                  int64_t remaining_ms)
{
  double needed_ms = (double)coord_estimate_run_ms (c, run)
                     * (100.0 - run->progress_percent)
                     / MAX (run->speed_percent, 1);

  return needed_ms <= (double)remaining_ms;
}

/* Service tasks move as soon as another instance has the capacity. Others run
   on; one with checkpoints that cannot finish is stopped while its progress
   can still be saved. */
static gboolean
should_evacuate (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  unsigned flags = run->task->step->spec->flags;
  int64_t remaining_ms = run->instance->drain_until_ms - now;

  if (!run->started_ms || run->to_stop)
    return FALSE;
  if (flags & HK_STEP_SERVICE)
    return fits_elsewhere (c, run, now);
  return (flags & HK_STEP_CHECKPOINTS) && remaining_ms < CHECKPOINT_STOP_MS
         && remaining_ms > 0 && !finishes_in_time (c, run, remaining_ms);
}

void
coord_drain (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;

  /* Nothing can start elsewhere while commits to the store fail. */
  if (coord_store_failing (c, now))
    return;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    if (!in->draining)
      continue;
    LIST_FOREACH (run, &in->runs, link)
    if (should_evacuate (c, run, now))
      {
        hk_log (HK_LOG_INFO, "drain", in->name, run->task->step->job->spec.id,
                "event=evacuated step=%u index=%u run=%u percent=%u "
                "left_ms=%" G_GINT64_FORMAT,
                run->task->step->index, run->task->index, run->number,
                run->progress_percent, in->drain_until_ms - now);
        hk_engine_run_stop (run);
      }
    if (in->link)
      coord_link_reply (in->link, FALSE);
  }
}

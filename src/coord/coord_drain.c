/* Runs of instances that drain: they end with the instance, and whoever waits
   for that loses time, most of all if the agent goes with it unheard. */
#include "coord.h"

#include "hyssopkeel/slots.h"

/* A run with checkpoints that would not be done is stopped this long before
   the instance may go: the longest stop and one report. */
#define LAST_CALL_MS 700

static gboolean
has_room_elsewhere (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_slots_view v = { 0 };

    if (in != run->instance && coord_fits (c, &v, in, run->task, now))
      return TRUE;
  }
  return FALSE;
}

static gboolean
ends_in_time (struct hk_coord *c, const struct hk_run *run, int64_t left_ms)
{
  double todo = (double)coord_estimate_ms (c, run->task->step)
                * (100.0 - run->percent) / MAX (run->pace, 1);

  return todo <= (double)left_ms;
}

/* Tasks that last go at once; others while their progress can be saved. */
static gboolean
should_leave (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  unsigned flags = run->task->step->spec->flags;
  int64_t left = run->instance->drain_until_ms - now;

  if (!run->started_ms || run->unwanted)
    return FALSE;
  if (flags & HK_STEP_LASTS)
    return has_room_elsewhere (c, run, now);
  return (flags & HK_STEP_CHECKPOINTS) && left < LAST_CALL_MS && left > 0
         && !ends_in_time (c, run, left);
}

void
coord_drain (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;

  /* Without the store nothing could start elsewhere. */
  if (coord_store_failing (c, now))
    return;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    if (!in->draining)
      continue;
    LIST_FOREACH (run, &in->runs, link)
    if (should_leave (c, run, now))
      {
        hk_log (HK_LOG_INFO, "drain", in->name, run->task->step->job->spec.id,
                "event=evacuated step=%u index=%u run=%u percent=%u "
                "left_ms=%" G_GINT64_FORMAT,
                run->task->step->index, run->task->index, run->number,
                run->percent, in->drain_until_ms - now);
        run->unwanted = TRUE;
        run->ordered_ms = 0;
      }
    if (in->link)
      coord_link_answer (in->link, FALSE);
  }
}

/* Runs that stand still or lag: a speculative task gets a copy elsewhere, any
   other is stopped and started elsewhere. Answers instances that turn slow,
   and such whose tasks hang while they report themselves healthy. */
#include "coord.h"

/* A copy is made of a run that takes this share of what was expected, and at
   least COPY_MIN_MS more. */
#define COPY_FACTOR 1.5
#define COPY_MIN_MS 250
/* A run this near its end gets no copy, percent. */
#define COPY_PERCENT_MAX 85
/* A run without progress for this long stands still; progress is reported
   some three times a second. A long task may take a fifth of its time for a
   step of its percentage. */
#define STUCK_MS 1000
#define STUCK_SHARE 0.2
/* An instance whose runs stand still counts as this slow for SUSPECT_MS. */
#define STUCK_SLOWNESS 8.0
#define SUSPECT_MS 4000

static gboolean
stands_still (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  int64_t limit = MAX (
      STUCK_MS,
      (int64_t)(STUCK_SHARE * (double)coord_estimate_ms (c, run->task->step)));

  return now - run->progress_ms > limit && now - run->started_ms > limit;
}

static gboolean
lags (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  double expected = (double)coord_estimate_ms (c, run->task->step);

  return run->percent < COPY_PERCENT_MAX
         && (double)(now - run->started_ms)
                > COPY_FACTOR * expected + COPY_MIN_MS;
}

static void
look_at (struct hk_coord *c, struct hk_run *run, int64_t now)
{
  struct hk_engine_task *task = run->task;
  const hk_step_spec *spec = task->step->spec;
  gboolean alone = !task->runs[0] || !task->runs[1];

  /* Fillers stand still by their pace; see coord_share.c. */
  if (!run->started_ms || run->unwanted
      || (spec->flags & (HK_STEP_LASTS | HK_STEP_FILLS))
      || now - run->reported_ms > STUCK_MS)
    return;
  if (stands_still (c, run, now))
    {
      run->instance->slowness = MAX (run->instance->slowness, STUCK_SLOWNESS);
      run->instance->suspect_until_ms = now + SUSPECT_MS;
    }
  if (spec->flags & HK_STEP_SPECULATIVE)
    {
      if (alone && (lags (c, run, now) || stands_still (c, run, now))
          && coord_place_copy (c, task, now))
        hk_log (HK_LOG_INFO, "straggle", run->instance->name,
                task->step->job->spec.id,
                "event=copied step=%u index=%u run=%u ran_ms=%" G_GINT64_FORMAT
                " expected_ms=%" G_GINT64_FORMAT " percent=%u",
                task->step->index, task->index, run->number,
                now - run->started_ms, coord_estimate_ms (c, task->step),
                run->percent);
      return;
    }
  if (!stands_still (c, run, now)
      || !coord_better_place (c, task, run->instance, now))
    return;
  hk_log (HK_LOG_WARN, "straggle", run->instance->name,
          task->step->job->spec.id,
          "event=stuck step=%u index=%u run=%u percent=%u "
          "still_ms=%" G_GINT64_FORMAT,
          task->step->index, task->index, run->number, run->percent,
          now - run->progress_ms);
  run->unwanted = TRUE;
  run->ordered_ms = 0;
}

void
coord_straggle (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;
  struct hk_run *next;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  for (run = LIST_FIRST (&in->runs); run; run = next)
    {
      next = LIST_NEXT (run, link);
      look_at (c, run, now);
    }
}

/* Stragglers: a run that lags or makes no progress gets a speculative attempt
   on another instance if its step allows that; other runs without progress are
   stopped and started on another. Handles instances that turn slow, and
   instances whose tasks hang while they report themselves healthy. */
#include "coord.h"

/* A run lags when it has taken more than the expected run time times
   LAG_FACTOR, plus LAG_MARGIN_MS. */
#define LAG_FACTOR 1.5
#define LAG_MARGIN_MS 250
/* A run at or above this progress does not count as lagging. */
#define LAG_PROGRESS_MAX_PERCENT 85
/* A run is stalled after this time without progress, which is reported about
   three times a second. A long task may report a higher percentage only every
   fifth of its run time, so the limit is at least that share. */
#define STALL_MIN_MS 1000
#define STALL_RUN_TIME_SHARE 0.2
/* For best-effort runs, of time weighted by speed. Longer, as a reported speed
   may be wrong for seconds after a throttle call without an answer. */
#define BEST_EFFORT_STALL_MIN_MS 5000
/* Run time ratio that is assumed for an instance with a stalled run, for
   SUSPECT_MS (the same value as in coord_estimate.c). */
#define STALL_RUN_TIME_RATIO 8.0
#define SUSPECT_MS 4000

static gboolean
is_best_effort (const struct hk_run *run)
{
  return (run->task->step->spec->flags & HK_STEP_BEST_EFFORT) != 0;
}

static gboolean
is_stalled (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  int64_t limit
      = MAX (is_best_effort (run) ? BEST_EFFORT_STALL_MIN_MS : STALL_MIN_MS,
             (int64_t)(STALL_RUN_TIME_SHARE
                       * (double)coord_estimate_run_ms (c, run)));

  if (is_best_effort (run))
    return run->full_speed_ms - run->progress_full_speed_ms > (double)limit;
  return now - run->progress_ms > limit && now - run->started_ms > limit;
}

static gboolean
is_lagging (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  double expected = (double)coord_estimate_run_ms (c, run);

  /* How long a run away from its data may take is not known. */
  if (coord_run_slowdown (c, run) <= 0)
    return FALSE;
  return run->progress_percent < LAG_PROGRESS_MAX_PERCENT
         && (double)(now - run->started_ms)
                > LAG_FACTOR * expected + LAG_MARGIN_MS;
}

static void
check_run (struct hk_coord *c, struct hk_run *run, int64_t now)
{
  struct hk_engine_task *task = run->task;
  const hk_step_spec *spec = task->step->spec;
  gboolean single = !task->runs[0] || !task->runs[1];

  if (!run->started_ms || run->to_stop || spec->flags & HK_STEP_SERVICE
      || now - run->reported_ms > STALL_MIN_MS)
    return;
  if (is_stalled (c, run, now))
    {
      run->instance->run_time_ratio
          = MAX (run->instance->run_time_ratio, STALL_RUN_TIME_RATIO);
      run->instance->suspect_until_ms = now + SUSPECT_MS;
    }
  /* A throttled run lags; a second one would not help it. */
  if (spec->flags & HK_STEP_SPECULATIVE && !is_best_effort (run))
    {
      if (single && !hk_crash_watch_of (&task->crash)
          && (is_lagging (c, run, now) || is_stalled (c, run, now))
          && coord_place_speculative (c, task, now))
        hk_log (HK_LOG_INFO, "straggle", run->instance->name,
                task->step->job->spec.id,
                "event=speculative_attempt step=%u index=%u run=%u "
                "ran_ms=%" G_GINT64_FORMAT " expected_ms=%" G_GINT64_FORMAT
                " percent=%u",
                task->step->index, task->index, run->number,
                now - run->started_ms, coord_estimate_run_ms (c, run),
                run->progress_percent);
      return;
    }
  if (!is_stalled (c, run, now)
      || !coord_has_better_instance (c, task, run->instance, now))
    return;
  hk_log (HK_LOG_WARN, "straggle", run->instance->name,
          task->step->job->spec.id,
          "event=stalled step=%u index=%u run=%u percent=%u "
          "still_ms=%" G_GINT64_FORMAT,
          task->step->index, task->index, run->number, run->progress_percent,
          now - run->progress_ms);
  hk_engine_run_stop (run);
}

void
coord_stragglers_check (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;
  struct hk_run *next;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  for (run = LIST_FIRST (&in->runs); run; run = next)
    {
      next = LIST_NEXT (run, link);
      check_run (c, run, now);
    }
}

/* Relocates best-effort runs that are throttled where they are, if another
   instance would run them faster. Their tasks are queued again and resume from
   their checkpoints. */
#include "coord.h"

#include "hyssopkeel/relocation.h"

/* Runs stopped in one tick. Bounds the cost of the tick and the burst of
   commits that the restarts need. */
#define RELOCATIONS_MAX 24
/* Least expected speed on the other instance, as a share of full speed. */
#define SPEED_MIN 0.7

static double
remaining_ms (struct hk_coord *c, const struct hk_run *run)
{
  return (double)coord_estimate_run_ms (c, run)
         * (100.0 - MIN (run->progress_percent, 100)) / 100.0;
}

/* Finds the instance on which the task of a run would be placed, among those
   that no other run of this tick is to move to. */
static struct hk_instance *
find_target (struct hk_coord *c, const struct hk_run *run, double *speed,
             int64_t now)
{
  struct hk_job_place_need need = coord_place_need (run->task->step);
  struct hk_instance *best = NULL;
  struct hk_instance *in;
  double best_score = 0;

  *speed = 0;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_job_place_view v = { 0 };
    const struct coord_link *l = in->link;
    double score;

    if (in == run->instance || !l || l->target_ms == now
        || !coord_task_fits (c, &v, in, run->task, now))
      continue;
    v.expected_speed *= coord_move_speedup (c, run, in);
    if (v.expected_speed < SPEED_MIN || !hk_job_place_score (&v, &need, &score)
        || (best && score <= best_score))
      continue;
    *speed = v.expected_speed;
    best_score = score;
    best = in;
  }
  return best;
}

static gboolean
try_relocate (struct hk_coord *c, struct hk_run *run, int64_t now)
{
  const hk_step_spec *spec = run->task->step->spec;
  struct hk_relocation_view v = { .speed = run->speed_percent / 100.0,
                                  .slow_ms = now - run->throttled_since_ms,
                                  .remaining_ms = remaining_ms (c, run) };
  struct hk_job_place_view here = { 0 };
  struct hk_instance *to;

  if (!(spec->flags & HK_STEP_CHECKPOINTS))
    v.lost_ms = (double)coord_estimate_run_ms (c, run) * run->progress_percent
                / 100.0;
  v.expected_speed = 1.0;
  /* The cheap bounds first: a forecast looks at all runs of the instance. */
  if (!hk_relocation_pays (&v))
    return FALSE;
  coord_best_effort_expect_run (c, run, &here);
  v.expected_here = here.expected_speed;
  if (!hk_relocation_pays (&v))
    return FALSE;
  to = find_target (c, run, &v.expected_speed, now);
  if (!to || !hk_relocation_pays (&v))
    return FALSE;
  ((struct coord_link *)to->link)->target_ms = now;
  hk_log (HK_LOG_INFO, "share", run->instance->name,
          run->task->step->job->spec.id,
          "event=moved step=%u index=%u run=%u pace=%u percent=%u "
          "slow_ms=%" G_GINT64_FORMAT " expected=%.2f here=%.2f placed=%.2f",
          run->task->step->index, run->task->index, run->number,
          run->speed_percent, run->progress_percent, v.slow_ms,
          v.expected_speed, v.expected_here, run->expected_speed);
  hk_engine_run_stop (run);
  return TRUE;
}

void
coord_best_effort_relocate (struct hk_coord *c, int64_t now)
{
  unsigned n = 0;
  struct hk_instance *in;
  struct hk_run *run;

  if (coord_store_failing (c, now))
    return;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  LIST_FOREACH (run, &in->runs, link)
  {
    if (!coord_is_best_effort_run (run) || run->to_stop
        || run->speed_percent > 100 * HK_RELOCATION_SPEED_MAX)
      {
        run->throttled_since_ms = 0;
        continue;
      }
    if (!run->throttled_since_ms)
      run->throttled_since_ms = now;
    if (n < RELOCATIONS_MAX && try_relocate (c, run, now))
      n++;
  }
}

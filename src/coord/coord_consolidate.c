/* Consolidates service tasks by image, one move at a time, so that best-effort
   tasks find instances where they interfere with nothing. Handles clusters
   that start full with a mix of images, and restarts that scatter them. */
#include "coord.h"

#include "hyssopkeel/job_placement.h"

/* Least time between two moves. They are spread because the tail latency of a
   task that starts is over its target for about 1.5 s. */
#define MOVE_INTERVAL_MS 250
/* A task is not moved for this long after its start. */
#define MOVE_AFTER_START_MS 3000
/* Progress that a service task reports once it serves. */
#define SERVING_PERCENT 100

/* Whether all tasks of the step serve, so that a move makes only one of them
   unavailable. */
gboolean
coord_step_serves (const struct hk_engine_step *step, int64_t now)
{
  for (unsigned i = 0; i < step->spec->count; i++)
    {
      const struct hk_run *run = step->tasks[i].runs[0];

      if (!run || run->to_stop || !run->started_ms
          || now - run->started_ms < MOVE_AFTER_START_MS
          || run->progress_percent < SERVING_PERCENT)
        return FALSE;
    }
  return TRUE;
}

/* Counts the images on @in as if @run were not there. */
static void
count_images (struct hk_coord *c, struct hk_job_place_view *v,
              const struct hk_instance *in, const struct hk_run *run)
{
  coord_count_service_images (c, in, coord_step_image (c, run->task->step),
                              &v->same_image, &v->other_images);
  if (run->instance == in)
    v->same_image--;
}

static gboolean
has_better_instance (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  struct hk_job_place_view from = { 0 };
  struct hk_instance *in;

  count_images (c, &from, run->instance, run);
  if (from.other_images == 0)
    return FALSE;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_job_place_view to = { 0 };

    if (in == run->instance || !coord_task_fits (c, &to, in, run->task, now))
      continue;
    count_images (c, &to, in, run);
    if (hk_job_place_should_move (&from, &to))
      return TRUE;
  }
  return FALSE;
}

static gboolean
may_move (const struct hk_run *run, int64_t now)
{
  const struct hk_engine_step *step = run->task->step;

  return (step->spec->flags & HK_STEP_SERVICE) && step->spec->target_ms > 0
         && !run->instance->draining && hk_engine_job_active (step->job)
         && coord_step_serves (step, now);
}

gboolean
coord_move_due (struct hk_coord *c, int64_t now)
{
  return now - c->moved_ms >= MOVE_INTERVAL_MS && c->engine.n_dirty == 0
         && coord_leadership_proven (c, now);
}

void
coord_move_begin (struct hk_coord *c, struct hk_run *run, int64_t now)
{
  c->moved_ms = now;
  hk_engine_run_stop (run);
  if (run->instance->link)
    coord_link_reply (run->instance->link, FALSE);
}

void
coord_consolidate (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;

  /* The search looks at all pairs of runs and instances. */
  if (now - c->consolidated_ms < MOVE_INTERVAL_MS || !coord_move_due (c, now))
    return;
  c->consolidated_ms = now;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  LIST_FOREACH (run, &in->runs, link)
  {
    if (!may_move (run, now) || !has_better_instance (c, run, now))
      continue;
    hk_log (HK_LOG_INFO, "pack", in->name, run->task->step->job->spec.id,
            "event=consolidated step=%u index=%u run=%u image=%s",
            run->task->step->index, run->task->index, run->number,
            run->task->step->spec->image);
    coord_move_begin (c, run, now);
    return;
  }
}

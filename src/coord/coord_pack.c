/* Serving tasks gather by image, one at a time, so that fillers find instances
   where they disturb nothing. Answers a day that begins with a full house of
   mixed images, and restarts that scatter them. */
#include "coord.h"

#include "hyssopkeel/slots.h"

/* Pause between two moves: a task that starts is over its target for some
   1.5 s, so they are spread. */
#define PACK_EVERY_MS 250
/* A task is left alone for this long after its start. */
#define SETTLED_MS 3000
/* Progress of a lasting task that is at work, percent. */
#define AT_WORK 100

/* All tasks of the step are at work: none else is missed meanwhile. */
static gboolean
step_is_whole (const struct hk_engine_step *step, int64_t now)
{
  for (unsigned i = 0; i < step->spec->count; i++)
    {
      const struct hk_run *run = step->tasks[i].runs[0];

      if (!run || run->unwanted || !run->started_ms
          || now - run->started_ms < SETTLED_MS || run->percent < AT_WORK)
        return FALSE;
    }
  return TRUE;
}

static void
view_images (struct hk_slots_view *v, const struct hk_instance *in,
             const struct hk_run *run)
{
  coord_share_images (in, run->task->step->spec->image, &v->same_image,
                      &v->other_images);
  if (run->instance == in)
    v->same_image--;
}

static gboolean
has_better_home (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  struct hk_slots_view from = { 0 };
  struct hk_instance *in;

  view_images (&from, run->instance, run);
  if (from.other_images == 0)
    return FALSE;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_slots_view to = { 0 };

    if (in == run->instance || !coord_fits (c, &to, in, run->task, now))
      continue;
    view_images (&to, in, run);
    if (hk_slots_regroup (&from, &to))
      return TRUE;
  }
  return FALSE;
}

static gboolean
may_move (const struct hk_run *run, int64_t now)
{
  const struct hk_engine_step *step = run->task->step;

  return (step->spec->flags & HK_STEP_LASTS) && step->spec->target_ms > 0
         && !run->instance->draining && hk_engine_wants (step->job)
         && step_is_whole (step, now);
}

void
coord_pack (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;

  if (now - c->packed_ms < PACK_EVERY_MS || c->engine.n_dirty > 0
      || !coord_commit_proven (c, now))
    return;
  c->packed_ms = now;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  LIST_FOREACH (run, &in->runs, link)
  {
    if (!may_move (run, now) || !has_better_home (c, run, now))
      continue;
    hk_log (HK_LOG_INFO, "pack", in->name, run->task->step->job->spec.id,
            "event=regrouped step=%u index=%u run=%u image=%s",
            run->task->step->index, run->task->index, run->number,
            run->task->step->spec->image);
    run->unwanted = TRUE;
    run->ordered_ms = 0;
    coord_link_answer (in->link, FALSE);
    return;
  }
}

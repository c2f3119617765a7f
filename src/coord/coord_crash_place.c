/* Placement of suspects, that is of tasks that may have crashed endpoints.
   Each runs apart from other suspects, so that the next crash tells the cause
   from a bystander, and on a part of the instances, so that several causes do
   not crash all of them at once. */
#include "coord.h"

#include <math.h>

/* An instance is kept free of other starts for this long before an exclusive
   run; also covers the commit of that run. */
#define RESERVE_MS (HK_CRASH_QUICK_MS + 300)
/* Time between two reservations of an instance, in which others may start. */
#define OPEN_MS 500
/* Share of the instances that suspects may take at a time. */
#define SUSPECT_INSTANCES_DIVISOR 2
/* A task that is no suspect waits no longer than this for an instance without
   suspects. The platform allows 3 s, with commit and start. */
#define BYSTANDER_WAIT_MAX_MS 2000
/* A suspect that has waited for this long may take one more. */
#define SUSPECT_WAIT_MAX_MS 5000

/* How the next run of a task has to be separated. */
enum hk_crash_watch
coord_crash_watch (const struct hk_engine_task *task, int64_t now)
{
  int64_t waited_ms
      = task->state == HK_TASK_WAITING ? now - task->ready_ms : 0;

  return hk_crash_watch_waiting (&task->crash, waited_ms);
}

static int64_t
last_start_ms (const struct hk_instance *in, int64_t now)
{
  const struct hk_run *run;
  int64_t last = 0;

  LIST_FOREACH (run, &in->runs, link)
  last = MAX (last, run->started_ms ? run->started_ms : now);
  return last;
}

/* Suspects cannot be kept apart on the only instance; there they start
   together, and after another crash one by one. */
static gboolean
is_only_instance (const struct hk_engine_task *task)
{
  return g_hash_table_size (task->step->job->engine->instances) == 1;
}

static gboolean
is_taken (const struct hk_instance *in, int64_t now)
{
  return in->n_watched > 0 || in->reserved_until_ms > now;
}

gboolean
coord_crash_admits (const struct hk_instance *in,
                    const struct hk_engine_task *task, int64_t now)
{
  switch (coord_crash_watch (task, now))
    {
    case HK_CRASH_EXCLUSIVE:
      return in->n_watched == 0
             && now - last_start_ms (in, now) > HK_CRASH_QUICK_MS;
    case HK_CRASH_SHARED:
      return !is_taken (in, now)
             || (in->n_exclusive == 0 && is_only_instance (task));
    case HK_CRASH_UNWATCHED:
    default:
      return (in->n_exclusive == 0 && in->reserved_until_ms <= now)
             || (task->state == HK_TASK_WAITING
                 && now - task->ready_ms >= BYSTANDER_WAIT_MAX_MS);
    }
}

/* Whether a task that is to last has to pause before it starts again, or
   another is about to be given up. */
gboolean
coord_crash_pauses (const struct hk_engine_task *task, int64_t now)
{
  if (task->give_up_at_ms)
    return TRUE;
  return (task->step->spec->flags & HK_STEP_SERVICE)
         && now - task->ready_ms < hk_crash_restart_delay_ms (&task->crash);
}

static gboolean
may_take_instance (struct coord_pass *p, const struct hk_engine_task *task)
{
  const struct hk_instance *in;
  unsigned n = 0;
  unsigned n_taken = 0;
  unsigned n_more = p->now - task->ready_ms > SUSPECT_WAIT_MAX_MS;

  if (is_only_instance (task))
    return TRUE;
  TAILQ_FOREACH (in, &p->c->engine.instance_list, next)
  {
    if (!coord_accepts_runs (in, task->step, p->now))
      continue;
    n++;
    n_taken += is_taken (in, p->now);
  }
  return n_taken < MAX (n / SUSPECT_INSTANCES_DIVISOR, 1) + n_more;
}

/* Keeps the instance with the fewest runs free of other starts. */
static void
instance_reserve (struct coord_pass *p, struct hk_engine_task *task)
{
  struct hk_instance *best = NULL;
  struct hk_instance *in;

  TAILQ_FOREACH (in, &p->c->engine.instance_list, next)
  {
    if (!is_taken (in, p->now) && in->reservable_from_ms <= p->now
        && coord_pass_fits (p, task, in)
        && (!best || in->n_runs < best->n_runs))
      best = in;
  }
  if (!best)
    return;
  best->reserved_until_ms = p->now + RESERVE_MS;
  best->reservable_from_ms = best->reserved_until_ms + OPEN_MS;
  task->reserved_until_ms = best->reserved_until_ms;
}

/* Little is lost with an instance that runs little. */
static void
prefer_fewest_runs (struct coord_pass *p)
{
  for (unsigned i = 0; i < p->n; i++)
    if (!isinf (p->scores[i]))
      p->scores[i] = -(double)p->instances[i]->n_runs;
}

/* Places a suspect, or reserves an instance for it. Returns whether it was
   placed. */
gboolean
coord_crash_place (struct coord_pass *p, struct hk_engine_task *task)
{
  enum hk_crash_watch watch = coord_crash_watch (task, p->now);
  gboolean reserved = task->reserved_until_ms > p->now;
  struct hk_run *run;

  /* Giving one suspect up ends the job, so its others wait. */
  if (watch == HK_CRASH_EXCLUSIVE && task->step->job->n_watched > 0)
    return FALSE;
  if (!reserved && !may_take_instance (p, task))
    return FALSE;
  coord_pass_begin_step (p, task);
  prefer_fewest_runs (p);
  if (!coord_pass_place (p, task))
    {
      if (watch == HK_CRASH_EXCLUSIVE && !reserved)
        instance_reserve (p, task);
      return FALSE;
    }
  run = hk_engine_run_find (task, task->last_run);
  hk_engine_run_watch (run, watch);
  run->instance->reserved_until_ms = 0;
  if (watch == HK_CRASH_EXCLUSIVE)
    run->instance->reservable_from_ms
        = p->now + hk_crash_probation_ms (task->crash.age_ms) + OPEN_MS;
  return TRUE;
}

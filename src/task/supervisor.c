/* Supervision of tasks. Restarts tasks that fail, passes the failure on when
   restarts become too frequent, and stops tasks in reverse order of start. */
#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/task.h"

#define TASK_RESTART_DELAY_MS 200

static void
stop_child (struct hk_task *child)
{
  if (!child->running)
    return;
  child->running = FALSE;
  child->ops->stop (child);
}

static int
start_child (struct hk_task *child, struct hk_error *err)
{
  int rc = child->ops->start (child, err);

  child->running = rc == HK_OK;
  child->failed = FALSE;
  return rc;
}

static int
start_children (struct hk_task *task, struct hk_error *err)
{
  struct hk_supervisor *sup = (struct hk_supervisor *)task;
  struct hk_task *child;

  TAILQ_FOREACH (child, &sup->children, link)
  {
    int rc = start_child (child, err);

    if (rc < 0)
      {
        hk_supervisor_stop (sup);
        return rc;
      }
  }
  return HK_OK;
}

void
hk_supervisor_stop (struct hk_supervisor *sup)
{
  struct hk_task *child;

  hk_timer_clear (&sup->restart);
  TAILQ_FOREACH_REVERSE (child, &sup->children, hk_task_list, link)
  stop_child (child);
}

static void
stop_supervisor_task (struct hk_task *task)
{
  hk_supervisor_stop ((struct hk_supervisor *)task);
}

static void
finish_drain (struct hk_supervisor *sup)
{
  sup->draining = NULL;
  if (sup->task.parent)
    hk_task_drained (&sup->task);
  else if (sup->on_finish)
    sup->on_finish (HK_OK, sup->user);
}

/* Drains or stops @child and all children started before it, one at a time. */
static void
drain_children_from (struct hk_supervisor *sup, struct hk_task *child)
{
  while (child)
    {
      sup->draining = child;
      if (child->running && child->ops->drain)
        {
          child->ops->drain (child);
          return;
        }
      stop_child (child);
      child = TAILQ_PREV (child, hk_task_list, link);
    }
  finish_drain (sup);
}

void
hk_supervisor_drain (struct hk_supervisor *sup)
{
  hk_timer_clear (&sup->restart);
  drain_children_from (sup, TAILQ_LAST (&sup->children, hk_task_list));
}

static void
drain_supervisor_task (struct hk_task *task)
{
  hk_supervisor_drain ((struct hk_supervisor *)task);
}

void
hk_task_drained (struct hk_task *task)
{
  struct hk_supervisor *sup = task->parent;

  if (sup->draining != task)
    return;
  stop_child (task);
  drain_children_from (sup, TAILQ_PREV (task, hk_task_list, link));
}

static void
escalate_failure (struct hk_supervisor *sup, const struct hk_error *err)
{
  hk_log (HK_LOG_ERROR, sup->ops.name, err->peer, NULL,
          "restart limit of %d in %d ms exceeded step=%s %s",
          sup->max_restarts, (int)sup->period_ms, err->step, err->text);
  if (sup->task.parent)
    hk_task_fail (&sup->task, err);
  else if (sup->on_finish)
    sup->on_finish (err->code, sup->user);
}

/* Counts a restart. Returns whether it is within the limit. */
static gboolean
count_restart (struct hk_supervisor *sup)
{
  int64_t now = hk_clock_ms ();

  if (now - sup->window_start_ms > sup->period_ms)
    {
      sup->window_start_ms = now;
      sup->restarts = 0;
    }
  return ++sup->restarts <= sup->max_restarts;
}

static void
restart_failed_children (void *user)
{
  struct hk_supervisor *sup = user;
  struct hk_task *child;

  TAILQ_FOREACH (child, &sup->children, link)
  {
    struct hk_error err = { 0 };

    if (!child->failed)
      continue;
    stop_child (child);
    if (start_child (child, &err) < 0)
      {
        hk_task_fail (child, &err);
        return;
      }
    hk_log (HK_LOG_INFO, child->ops->name, NULL, NULL, "task restarted");
  }
}

void
hk_task_fail (struct hk_task *task, const struct hk_error *err)
{
  struct hk_supervisor *sup = task->parent;

  hk_log_error (task->ops->name, NULL, err);
  task->failed = TRUE;
  if (!sup)
    return;
  if (sup->draining)
    {
      hk_task_drained (task);
      return;
    }
  if (count_restart (sup))
    hk_timer_set (&sup->restart, TASK_RESTART_DELAY_MS,
                  restart_failed_children, sup);
  else
    escalate_failure (sup, err);
}

void
hk_supervisor_init (struct hk_supervisor *sup, const char *name,
                    int max_restarts, int64_t period_ms)
{
  memset (sup, 0, sizeof *sup);
  sup->ops = (struct hk_task_ops){ .name = name,
                                   .start = start_children,
                                   .drain = drain_supervisor_task,
                                   .stop = stop_supervisor_task };
  hk_task_init (&sup->task, &sup->ops);
  sup->max_restarts = max_restarts;
  sup->period_ms = period_ms;
  TAILQ_INIT (&sup->children);
}

void
hk_supervisor_add (struct hk_supervisor *sup, struct hk_task *child)
{
  child->parent = sup;
  TAILQ_INSERT_TAIL (&sup->children, child, link);
}

int
hk_supervisor_start (struct hk_supervisor *sup, struct hk_error *err)
{
  return start_children (&sup->task, err);
}

/* One run at the endpoint: started at most once, stopped for certain. A start
   without an answer is tried again under its number, which the endpoint
   takes once; a run is called refused only after a stop of it was answered,
   since the endpoint then refuses it for good. */
#include "runner.h"

/* A start that arrives later than this is refused by the endpoint. */
#define START_DEADLINE_MS 1500
/* Tries of a start; calls have a time-out of their own. */
#define START_TRIES 3
#define START_RETRY_MS 60
#define STOP_RETRY_MS 150

static void start (struct runner_run *run);
static void stop (struct runner_run *run);

static gboolean
same_task (const hk_task_id *a, const hk_task_id *b)
{
  return a->step == b->step && a->index == b->index
         && a->occurrence == b->occurrence && strcmp (a->job, b->job) == 0;
}

struct runner_run *
runner_run_find (struct hk_runner *r, const hk_task_id *task, unsigned number)
{
  struct runner_run *run;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->number == number && same_task (&run->task, task))
    return run;
  return NULL;
}

struct runner_run *
runner_run_add (struct hk_runner *r, const hk_task_id *task, unsigned number)
{
  struct runner_run *run = g_new0 (struct runner_run, 1);

  run->r = r;
  run->task = *task;
  run->task.job = g_strdup (task->job);
  run->number = number;
  run->pace = 100;
  run->checkpoint = g_strdup ("");
  run->image = g_strdup ("");
  TAILQ_INSERT_TAIL (&r->runs, run, link);
  r->n_runs++;
  return run;
}

void
runner_run_release (struct runner_run *run)
{
  g_free (run->task.job);
  g_free (run->checkpoint);
  g_free (run->image);
  g_free (run->payload);
  g_free (run);
}

void
runner_run_free (struct runner_run *run)
{
  hk_timer_clear (&run->timer);
  TAILQ_REMOVE (&run->r->runs, run, link);
  run->r->n_runs--;
  run->gone = TRUE;
  if (run->calls == 0)
    runner_run_release (run);
}

/* Returns TRUE if the run was freed while a call was open. */
static gboolean
call_over (struct runner_run *run)
{
  run->calls--;
  if (!run->gone)
    return FALSE;
  if (run->calls == 0)
    runner_run_release (run);
  return TRUE;
}

void
runner_run_end (struct runner_run *run, hk_end_how how, uint64_t seq,
                const char *checkpoint)
{
  if (run->state != RUN_ENDED)
    {
      hk_log (HK_LOG_INFO, "runner", NULL, run->task.job,
              "event=run_ended step=%u index=%u run=%u how=%d "
              "seq=%" G_GUINT64_FORMAT " tries=%u age_ms=%" G_GINT64_FORMAT,
              run->task.step, run->task.index, run->number, how, seq,
              run->tries,
              run->ordered_ms ? hk_clock_ms () - run->ordered_ms : -1);
      run->how = how;
      runner_news (run->r);
    }
  else if (seq > 0)
    run->how = how;
  run->state = RUN_ENDED;
  if (seq > 0)
    run->end_seq = seq;
  hk_timer_clear (&run->timer);
  if (checkpoint && *checkpoint)
    {
      g_free (run->checkpoint);
      run->checkpoint = g_strdup (checkpoint);
    }
  g_clear_pointer (&run->payload, g_free);
}

void
runner_runs_lost (struct hk_runner *r, hk_end_how how, const char *why)
{
  struct runner_run *run;
  unsigned n = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state != RUN_ENDED)
    {
      n++;
      runner_run_end (run, how, 0, NULL);
    }
  if (n > 0)
    hk_log (HK_LOG_WARN, "runner", NULL, NULL,
            "event=runs_lost why=\"%s\" runs=%u", why, n);
}

/* Stops */

static void
on_stop_timer (void *user)
{
  stop (user);
}

static void
on_stopped (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
            const struct hk_error *err, void *user)
{
  struct runner_run *run = user;

  (void)list;
  (void)clock_ms;
  if (call_over (run) || run->state == RUN_ENDED)
    return;
  if (rc == HK_OK)
    {
      run->stop_answered_at = ++run->r->calls;
      runner_hold_now (run->r);
      return;
    }
  hk_log (HK_LOG_WARN, "runner", err->peer, run->task.job,
          "event=stop_failed step=%u index=%u run=%u cause=\"%s\"",
          run->task.step, run->task.index, run->number, err->text);
  hk_timer_set (&run->timer, STOP_RETRY_MS, on_stop_timer, run);
}

static void
stop (struct runner_run *run)
{
  struct hk_runner *r = run->r;

  run->state = RUN_STOPPING;
  run->calls++;
  r->runtime->ops->stop (r->runtime, &run->task, run->number, r->term,
                         on_stopped, run);
}

void
runner_run_stop (struct hk_runner *r, const hk_task_id *task, unsigned number)
{
  struct runner_run *run = runner_run_find (r, task, number);

  if (!run)
    run = runner_run_add (r, task, number);
  if (run->state == RUN_ENDED || run->state == RUN_STOPPING)
    return;
  hk_log (HK_LOG_INFO, "runner", NULL, task->job,
          "event=stopping step=%u index=%u run=%u state=%d", task->step,
          task->index, number, run->state);
  hk_timer_clear (&run->timer);
  stop (run);
}

/* A list lacks a run that was confirmed. Answers on different connections
   overtake each other, so it may run all the same: a stop settles that. */
void
runner_run_missing (struct runner_run *run)
{
  hk_log (HK_LOG_WARN, "runner", NULL, run->task.job,
          "event=run_missing step=%u index=%u run=%u", run->task.step,
          run->task.index, run->number);
  stop (run);
}

/* Starts */

/* By this agent's own count, the run that is to start included. */
static gboolean
has_room (const struct hk_runner *r)
{
  const struct runner_run *run;
  uint64_t cpu = 0;
  uint64_t memory = 0;
  uint64_t accelerators = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state != RUN_ENDED)
    {
      if (!(run->flags & HK_STEP_FILLS))
        cpu += run->cpu_milli;
      memory += run->memory_mb;
      accelerators += run->accelerators;
    }
  return cpu <= r->cpu_milli && memory <= r->memory_mb
         && accelerators <= r->accelerators;
}

static void
on_start_timer (void *user)
{
  struct runner_run *run = user;

  if (run->state == RUN_STARTING)
    start (run);
}

static void
refused (struct runner_run *run, const char *why)
{
  hk_log (HK_LOG_WARN, "runner", NULL, run->task.job,
          "event=start_refused step=%u index=%u run=%u why=\"%s\" "
          "unanswered=%d",
          run->task.step, run->task.index, run->number, why, run->unanswered);
  /* An earlier try may still arrive: a stop settles it. */
  if (run->unanswered)
    stop (run);
  else
    runner_run_end (run, HK_END_REFUSED, 0, NULL);
}

static void
on_started (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
            const struct hk_error *err, void *user)
{
  struct runner_run *run = user;
  gboolean again;

  (void)list;
  (void)clock_ms;
  if (call_over (run) || run->state != RUN_STARTING)
    return;
  if (rc == HK_OK)
    {
      run->state = RUN_ALIVE;
      run->alive_at = ++run->r->calls;
      g_clear_pointer (&run->payload, g_free);
      runner_news (run->r);
      runner_hold_soon (run->r);
      return;
    }
  again = run->tries < START_TRIES;
  if (rc == HK_ERR_CONFLICT || rc == HK_ERR_NOT_FOUND || rc == HK_ERR_INVALID)
    again = FALSE;
  else if (rc != HK_ERR_FULL && rc != HK_ERR_UNAVAILABLE)
    run->unanswered = TRUE;
  if (again)
    hk_timer_set (&run->timer, START_RETRY_MS, on_start_timer, run);
  else
    refused (run, err->text);
}

static void
start (struct runner_run *run)
{
  struct hk_runner *r = run->r;
  int64_t now = hk_clock_ms ();
  struct hk_runtime_start order = { .task = run->task,
                                    .run = run->number,
                                    .fence = r->term,
                                    .checkpoint = run->checkpoint,
                                    .payload = run->payload,
                                    .payload_len = run->payload_len };

  if (!runner_granted (r, now) || r->draining || r->leaving || !has_room (r))
    {
      refused (run, r->draining || r->leaving  ? "this agent drains"
                    : !runner_granted (r, now) ? "no grant"
                                               : "no room");
      return;
    }
  order.deadline_ms = runner_clock (r, now) + START_DEADLINE_MS;
  runner_lease (r, order.deadline_ms, now);
  run->tries++;
  run->calls++;
  r->runtime->ops->start (r->runtime, &order, on_started, run);
}

static void
describe (struct runner_run *run, const hk_start_order *order)
{
  run->known = TRUE;
  run->cpu_milli = order->cpu_milli;
  run->memory_mb = order->memory_mb;
  run->accelerators = order->accelerators;
  run->flags = order->flags;
  run->target_ms = order->target_ms;
  g_free (run->image);
  run->image = g_strdup (order->image);
}

void
runner_run_order (struct hk_runner *r, const hk_start_order *order)
{
  struct runner_run *run = runner_run_find (r, &order->task, order->run);

  if (run)
    {
      if (!run->known)
        describe (run, order);
      return;
    }
  if (!r->clock_at_ms)
    return; /* repeated by the coordinator once the endpoint answers */
  run = runner_run_add (r, &order->task, order->run);
  describe (run, order);
  run->ordered_ms = hk_clock_ms ();
  g_free (run->checkpoint);
  run->checkpoint = g_strdup (order->checkpoint);
  run->payload_len = order->payload.payload_len;
  run->payload = g_malloc (run->payload_len + 1);
  memcpy (run->payload, order->payload.payload_val, run->payload_len);
  run->payload[run->payload_len] = 0;
  hk_log (HK_LOG_INFO, "runner", NULL, order->task.job,
          "event=starting step=%u index=%u run=%u term=%" G_GUINT64_FORMAT
          " grant_ms=%" G_GINT64_FORMAT,
          order->task.step, order->task.index, order->run, r->term,
          r->grant_until_ms - run->ordered_ms);
  start (run);
}

/* State machine of one run at the endpoint: it starts at most once, because a
   start without a reply is retried under the same run number, which the
   endpoint accepts once. A run whose start may still arrive is reported as
   refused only after the reply to a stop, since the endpoint rejects any start
   of that run from then on. */
#include "runner.h"

/* The endpoint refuses a start that arrives later than this after the order,
   whichever attempt it is: the coordinator may have found a reason since for
   which nothing may start there, and cannot tell the agent. */
#define START_DEADLINE_MS 1500
/* A start that a former agent of the endpoint sent arrives no later than this
   after the start of this agent; twice its deadline, as clocks differ. */
#define FORMER_START_MAX_MS (2 * START_DEADLINE_MS)
/* Each attempt also has the time-out of its call. */
#define START_ATTEMPTS_MAX 3
#define START_RETRY_MS 60
#define STOP_RETRY_MS 150

static void send_start (struct runner_run *run);
static void send_stop (struct runner_run *run);

/* Whether a call that failed may have been carried out, or may still be. */
gboolean
runner_call_in_doubt (int rc)
{
  return rc != HK_ERR_CONFLICT && rc != HK_ERR_NOT_FOUND
         && rc != HK_ERR_INVALID && rc != HK_ERR_FULL
         && rc != HK_ERR_UNAVAILABLE;
}

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
  run->speed_percent = 100;
  run->speed_requested_percent = 100;
  run->checkpoint = g_strdup ("");
  run->image = g_strdup ("");
  TAILQ_INSERT_TAIL (&r->runs, run, link);
  r->n_runs++;
  return run;
}

void
runner_run_free (struct runner_run *run)
{
  g_free (run->task.job);
  g_free (run->checkpoint);
  g_free (run->image);
  g_free (run->payload);
  g_free (run);
}

void
runner_run_remove (struct runner_run *run)
{
  hk_timer_clear (&run->timer);
  TAILQ_REMOVE (&run->r->runs, run, link);
  run->r->n_runs--;
  run->unlinked = TRUE;
  if (run->open_calls == 0)
    runner_run_free (run);
}

/* Returns TRUE if the run was removed while the call was in flight. */
static gboolean
call_finished (struct runner_run *run)
{
  run->open_calls--;
  if (!run->unlinked)
    return FALSE;
  if (run->open_calls == 0)
    runner_run_free (run);
  return TRUE;
}

/* A restart then resumes from the last checkpoint that was kept: one that is
   too long costs the work since, not the run. */
void
runner_run_set_checkpoint (struct runner_run *run, const char *text)
{
  size_t len = text ? strlen (text) : 0;

  if (!text || strcmp (text, run->checkpoint) == 0)
    return;
  if (len <= HK_JOB_TEXT_MAX)
    {
      g_free (run->checkpoint);
      run->checkpoint = g_strdup (text);
    }
  else if (!run->checkpoint_rejected)
    {
      run->checkpoint_rejected = TRUE;
      hk_log (HK_LOG_WARN, "runner", NULL, run->task.job,
              "event=checkpoint_rejected step=%u index=%u run=%u bytes=%zu "
              "limit=%d kept_bytes=%zu; the task resumes from what was kept",
              run->task.step, run->task.index, run->number, len,
              HK_JOB_TEXT_MAX, strlen (run->checkpoint));
    }
}

/* A start call that is open may be carried out after its run was given up. */
static void
mark_open_start (struct runner_run *run)
{
  if (run->state == RUN_STARTING && run->open_calls > 0)
    run->start_in_doubt = TRUE;
}

void
runner_run_set_ended (struct runner_run *run, hk_end_how how, uint64_t seq,
                      const char *checkpoint)
{
  mark_open_start (run);
  if (run->state != RUN_ENDED)
    {
      hk_log (HK_LOG_INFO, "runner", NULL, run->task.job,
              "event=run_ended step=%u index=%u run=%u how=%d "
              "seq=%" G_GUINT64_FORMAT " tries=%u age_ms=%" G_GINT64_FORMAT,
              run->task.step, run->task.index, run->number, how, seq,
              run->start_attempts,
              run->ordered_ms ? hk_clock_ms () - run->ordered_ms : -1);
      run->how = how;
      runner_report_schedule (run->r);
    }
  else if (seq > 0)
    run->how = how;
  run->state = RUN_ENDED;
  if (seq > 0)
    run->end_seq = seq;
  hk_timer_clear (&run->timer);
  if (checkpoint && *checkpoint)
    runner_run_set_checkpoint (run, checkpoint);
  g_clear_pointer (&run->payload, g_free);
}

void
runner_runs_end_all (struct hk_runner *r, hk_end_how how, const char *cause)
{
  struct runner_run *run;
  unsigned n = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state != RUN_ENDED)
    {
      n++;
      runner_run_set_ended (run, how, 0, NULL);
    }
  if (n > 0)
    hk_log (HK_LOG_WARN, "runner", NULL, NULL,
            "event=runs_terminated why=\"%s\" runs=%u", cause, n);
}

/* Stops */

static void
on_stop_timer (void *user)
{
  send_stop (user);
}

static void
on_stopped (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
            const struct hk_error *err, void *user)
{
  struct runner_run *run = user;

  (void)list;
  (void)clock_ms;
  if (call_finished (run) || run->state == RUN_ENDED)
    return;
  if (rc == HK_OK)
    {
      run->stop_reply_seq = ++run->r->call_seq;
      runner_renew_now (run->r);
      return;
    }
  hk_log (HK_LOG_WARN, "runner", err->peer, run->task.job,
          "event=stop_failed step=%u index=%u run=%u cause=\"%s\"",
          run->task.step, run->task.index, run->number, err->text);
  hk_timer_set (&run->timer, STOP_RETRY_MS, on_stop_timer, run);
}

static void
send_stop (struct runner_run *run)
{
  struct hk_runner *r = run->r;

  mark_open_start (run);
  run->state = RUN_STOPPING;
  run->open_calls++;
  r->runtime->ops->stop (r->runtime, &run->task, run->number, runner_fence (r),
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
          "event=run_stopping step=%u index=%u run=%u state=%d unanswered=%d",
          task->step, task->index, number, run->state, run->start_in_doubt);
  hk_timer_clear (&run->timer);
  send_stop (run);
}

/* Handles a confirmed run that is absent from a list. Replies on different
   connections can overtake each other, so the run may still be running: stop
   it before it counts as ended. */
void
runner_run_handle_missing (struct runner_run *run)
{
  hk_log (HK_LOG_WARN, "runner", NULL, run->task.job,
          "event=run_missing step=%u index=%u run=%u", run->task.step,
          run->task.index, run->number);
  send_stop (run);
}

/* Starts */

/* A restarted agent learns from orders what the runs are that it found. A run
   that the endpoint has never listed, as one that is only to be stopped, takes
   nothing there. */
gboolean
runner_run_known (const struct runner_run *run)
{
  return run->spec_known || run->last_list == 0;
}

static gboolean
sizes_known (const struct hk_runner *r)
{
  const struct runner_run *run;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state != RUN_ENDED && !runner_run_known (run))
    return FALSE;
  return TRUE;
}

/* Sums up this agent's own runs, including the one about to start. A
   best-effort task books no CPUs. */
static gboolean
capacity_suffices (const struct hk_runner *r)
{
  const struct runner_run *run;
  uint64_t cpu = 0;
  uint64_t memory = 0;
  uint64_t accelerators = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state != RUN_ENDED)
    {
      if (!(run->flags & HK_STEP_BEST_EFFORT))
        cpu += run->cpu_milli;
      memory += run->memory_mb;
      accelerators += run->accelerators;
    }
  return cpu <= r->cpu_milli && memory <= r->memory_mb
         && accelerators <= r->accelerators;
}

/* Returns the reason why nothing may start now, or NULL if a start is
   allowed. */
static const char *
start_obstacle (const struct hk_runner *r, int64_t now)
{
  if (r->draining || r->leaving)
    return "agent is draining";
  if (!runner_grant_valid (r, now))
    return "no valid lease grant";
  if (!r->described)
    return "capacity of the endpoint is unknown";
  if (!sizes_known (r))
    return "size of a run is unknown";
  if (!capacity_suffices (r))
    return "insufficient capacity";
  return NULL;
}

static void
on_start_timer (void *user)
{
  struct runner_run *run = user;

  if (run->state == RUN_STARTING)
    send_start (run);
}

static void
handle_refusal (struct runner_run *run, const char *cause)
{
  hk_log (HK_LOG_WARN, "runner", NULL, run->task.job,
          "event=start_refused step=%u index=%u run=%u why=\"%s\" "
          "unanswered=%d",
          run->task.step, run->task.index, run->number, cause,
          run->start_in_doubt);
  /* An earlier attempt may still arrive: stop the run before it counts as
     refused. */
  if (run->start_in_doubt)
    send_stop (run);
  else
    runner_run_set_ended (run, HK_END_REFUSED, 0, NULL);
}

static void
on_started (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
            const struct hk_error *err, void *user)
{
  struct runner_run *run = user;
  gboolean retry;

  (void)list;
  (void)clock_ms;
  if (call_finished (run) || run->state != RUN_STARTING)
    return;
  if (rc == HK_OK)
    {
      run->state = RUN_RUNNING;
      run->start_reply_seq = ++run->r->call_seq;
      g_clear_pointer (&run->payload, g_free);
      runner_report_schedule (run->r);
      runner_renew_soon (run->r);
      return;
    }
  retry = run->start_attempts < START_ATTEMPTS_MAX;
  if (rc == HK_ERR_CONFLICT || rc == HK_ERR_NOT_FOUND || rc == HK_ERR_INVALID)
    retry = FALSE;
  if (runner_call_in_doubt (rc))
    run->start_in_doubt = TRUE;
  if (retry)
    hk_timer_set (&run->timer, START_RETRY_MS, on_start_timer, run);
  else
    handle_refusal (run, err->text);
}

static void
send_start (struct runner_run *run)
{
  struct hk_runner *r = run->r;
  int64_t now = hk_clock_ms ();
  int64_t left_ms = run->ordered_ms + START_DEADLINE_MS - now;
  const char *obstacle
      = left_ms > 0 ? start_obstacle (r, now) : "start deadline exceeded";
  struct hk_runtime_start order = { .task = run->task,
                                    .run = run->number,
                                    .fence = runner_fence (r),
                                    .checkpoint = run->checkpoint,
                                    .payload = run->payload,
                                    .payload_len = run->payload_len };

  if (obstacle)
    {
      handle_refusal (run, obstacle);
      return;
    }
  order.deadline_ms = runner_endpoint_clock_ms (r, now) + left_ms;
  runner_lease_extend (r, order.deadline_ms, now);
  run->start_attempts++;
  run->open_calls++;
  r->runtime->ops->start (r->runtime, &order, on_started, run);
}

static void
set_spec (struct runner_run *run, const hk_start_order *order)
{
  run->spec_known = TRUE;
  run->cpu_milli = order->cpu_milli;
  run->memory_mb = order->memory_mb;
  run->accelerators = order->accelerators;
  run->flags = order->flags;
  run->target_ms = order->target_ms;
  g_free (run->image);
  run->image = g_strdup (order->image);
}

void
runner_run_accept (struct hk_runner *r, const hk_start_order *order)
{
  struct runner_run *run = runner_run_find (r, &order->task, order->run);

  if (run)
    {
      if (!run->spec_known)
        set_spec (run, order);
      return;
    }
  if (!r->clock_read_ms)
    return; /* no endpoint clock yet; the coordinator repeats the order */
  run = runner_run_add (r, &order->task, order->run);
  set_spec (run, order);
  run->ordered_ms = hk_clock_ms ();
  /* The order may repeat one that a former agent has carried out. */
  run->start_in_doubt = run->ordered_ms - r->created_ms < FORMER_START_MAX_MS;
  g_free (run->checkpoint);
  run->checkpoint = g_strdup (order->checkpoint);
  run->payload_len = order->payload.payload_len;
  run->payload = g_malloc (run->payload_len + 1);
  memcpy (run->payload, order->payload.payload_val, run->payload_len);
  run->payload[run->payload_len] = 0;
  hk_log (HK_LOG_INFO, "runner", NULL, order->task.job,
          "event=run_starting step=%u index=%u run=%u term=%" G_GUINT64_FORMAT
          " grant_ms=%" G_GINT64_FORMAT,
          order->task.step, order->task.index, order->run, r->term,
          r->grant_until_ms - run->ordered_ms);
  send_start (run);
}

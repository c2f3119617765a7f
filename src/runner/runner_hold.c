/* The hold loop: extends leases while granted, and learns what runs and what
   ended from the same calls. */
#include "runner.h"

/* A hold waits this long for an end; leases reach some ten times as far. */
#define WAIT_MS 400
/* Pause while an end is not noted: a hold would list it again at once. */
#define NOTING_MS 15
/* Pause between holds while nothing runs. */
#define IDLE_MS 300
/* Pause after a hold that failed. */
#define RETRY_MS 100
/* Connections refused one after another that prove a crash. */
#define REFUSALS_MAX 2
/* A last hold is sent a moment after the grant it rests on. */
#define LEAVE_MARGIN_MS 300
/* Ends that one answer can list. */
#define ENDS_MAX 500

struct hold
{
  struct hk_runner *r;
  unsigned generation;
  uint64_t sent_at; /* place among the calls; milliseconds are too coarse */
  void (*last) (void *user);
};

static void hold (struct hk_runner *r, int64_t reach_ms, int64_t wait_ms,
                  void (*last) (void *user));

/* A start that a new lifetime may still get. */
static gboolean
may_still_come (const struct runner_run *run)
{
  return run->state != RUN_ENDED
         && (run->unanswered
             || (run->state == RUN_STARTING && run->calls > 0));
}

/* A new lifetime knows nothing; a start that was not answered may still
   reach it, so it is told to refuse it. */
void
runner_hold_life (struct hk_runner *r, int64_t born_ms)
{
  struct runner_run *run;
  struct runner_run *next;

  if (born_ms <= r->born_ms)
    return;
  if (r->born_ms)
    hk_log (HK_LOG_WARN, "runner", NULL, NULL,
            "event=endpoint_reborn born=%" G_GINT64_FORMAT
            " before=%" G_GINT64_FORMAT " runs=%u",
            born_ms, r->born_ms, r->n_runs);
  for (run = TAILQ_FIRST (&r->runs); run && r->born_ms; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (may_still_come (run))
        {
          hk_task_id task = run->task;
          unsigned number = run->number;

          task.job = g_strdup (task.job);
          runner_run_free (run);
          runner_run_stop (r, &task, number);
          g_free (task.job);
        }
      else
        runner_run_free (run);
    }
  r->born_ms = born_ms;
  r->described = FALSE;
  r->listed = FALSE;
  r->draining = FALSE;
  r->seen = 0;
  r->max_seq = 0;
  r->clock_at_ms = 0;
  r->lease_until_ms = 0;
  r->lease_clock_ms = 0;
  runner_news (r);
}

/* Everything that was asked for counts, answered or not. */
void
runner_lease (struct hk_runner *r, int64_t deadline_clock_ms, int64_t now)
{
  if (deadline_clock_ms <= r->lease_clock_ms)
    return;
  r->lease_clock_ms = deadline_clock_ms;
  r->lease_until_ms = hk_authority_lease_end (
      deadline_clock_ms - runner_clock (r, now), now);
}

static void
take_alive (struct hk_runner *r, const struct hk_runtime_run *seen)
{
  struct runner_run *run = runner_run_find (r, &seen->task, seen->run);

  if (!run)
    {
      run = runner_run_add (r, &seen->task, seen->run);
      hk_log (HK_LOG_INFO, "runner", NULL, seen->task.job,
              "event=adopted step=%u index=%u run=%u percent=%u",
              seen->task.step, seen->task.index, seen->run, seen->percent);
      run->state = RUN_ALIVE;
      runner_news (r);
    }
  if (run->state == RUN_ENDED && run->end_seq == 0
      && run->how == HK_END_LAPSED)
    hk_log (HK_LOG_ERROR, "runner", NULL, seen->task.job,
            "event=run_outlived_lease step=%u index=%u run=%u",
            seen->task.step, seen->task.index, seen->run);
  if (run->state == RUN_STARTING)
    {
      run->state = RUN_ALIVE;
      runner_news (r);
    }
  run->listed = r->list_count;
  run->figure = seen->figure;
  run->percent = seen->percent;
  if (seen->checkpoint && strcmp (seen->checkpoint, run->checkpoint) != 0)
    {
      g_free (run->checkpoint);
      run->checkpoint = g_strdup (seen->checkpoint);
    }
}

static void
take_end (struct hk_runner *r, const struct hk_runtime_end *end)
{
  struct runner_run *run;

  if (end->seq <= r->seen)
    return;
  run = runner_run_find (r, &end->task, end->run);
  if (!run)
    run = runner_run_add (r, &end->task, end->run);
  run->listed = r->list_count;
  r->max_seq = MAX (r->max_seq, end->seq);
  if (run->state != RUN_ENDED || run->end_seq == 0)
    runner_run_end (run, end->how, end->seq, end->checkpoint);
}

/* Runs that a list asked for later than their last news does not show. */
static void
take_absent (struct hk_runner *r, uint64_t sent_at)
{
  struct runner_run *run;

  TAILQ_FOREACH (run, &r->runs, link)
  {
    if (run->listed == r->list_count)
      continue;
    if (run->state == RUN_STOPPING && run->stop_answered_at
        && run->stop_answered_at < sent_at)
      runner_run_end (run, HK_END_REFUSED, 0, NULL);
    else if (run->state == RUN_ALIVE && run->alive_at < sent_at)
      runner_run_missing (run);
  }
}

void
runner_ends_advance (struct hk_runner *r)
{
  const struct runner_run *run;
  uint64_t seen = r->max_seq;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state == RUN_ENDED && run->end_seq > 0)
    seen = MIN (seen, run->end_seq - 1);
  r->seen = MAX (r->seen, seen);
}

/* The loop */

static void
take_list (struct hk_runner *r, const struct hk_runtime_list *list,
           uint64_t sent_at, int64_t now)
{
  runner_hold_life (r, list->born_ms);
  if (list->born_ms < r->born_ms)
    return;
  r->clock_ms = list->clock_ms;
  r->clock_at_ms = now;
  r->list_count++;
  if (!r->listed && list->n_ends > 0)
    r->seen = list->ends[0].seq - 1;
  for (size_t i = 0; i < list->n_runs; i++)
    take_alive (r, &list->runs[i]);
  for (size_t i = 0; i < list->n_ends; i++)
    take_end (r, &list->ends[i]);
  if (list->n_ends < ENDS_MAX)
    take_absent (r, sent_at);
  runner_ends_advance (r);
  if (!r->listed)
    runner_news (r);
  r->listed = TRUE;
  runner_pace (r, now);
}

static void
on_hold_timer (void *user)
{
  struct hk_runner *r = user;
  int64_t now = hk_clock_ms ();

  if (r->lease_until_ms && now > r->lease_until_ms && r->n_runs > 0)
    {
      runner_runs_lost (r, HK_END_LAPSED, "leases are over");
      r->lease_until_ms = 0;
    }
  if (!r->holding && !r->leaving)
    hold (r, r->authority.hold_ms, WAIT_MS, NULL);
}

/* A refused connection means that no process listens: the endpoint crashed,
   and with it all that it ran. */
static void
hold_failed (struct hk_runner *r, int rc, const struct hk_error *err)
{
  r->refusals = rc == HK_ERR_UNAVAILABLE ? r->refusals + 1 : 0;
  if (r->hold_failures++ == 0)
    hk_log (HK_LOG_WARN, "runner", err->peer, NULL,
            "event=endpoint_lost cause=\"%s\" runs=%u", err->text, r->n_runs);
  if (r->refusals == REFUSALS_MAX)
    runner_runs_lost (r, HK_END_LOST, "nothing listens at the endpoint");
  if (r->hold_failures == RUNNER_FAILURES_MAX)
    runner_news (r);
}

static void
on_held (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
         const struct hk_error *err, void *user)
{
  struct hold *h = user;
  struct hk_runner *r = h->r;
  void (*last) (void *user) = h->last;
  gboolean current = h->generation == r->hold_generation;
  uint64_t sent = h->sent_at;

  (void)clock_ms;
  g_free (h);
  if (!current)
    return;
  r->holding = FALSE;
  if (rc == HK_OK)
    {
      if (r->hold_failures > 0)
        hk_log (HK_LOG_INFO, "runner", NULL, NULL,
                "event=endpoint_regained failures=%u", r->hold_failures);
      r->hold_failures = 0;
      r->refusals = 0;
      take_list (r, list, sent, hk_clock_ms ());
    }
  else
    hold_failed (r, rc, err);
  if (last)
    last (r);
  else if (rc != HK_OK)
    hk_timer_set (&r->hold_timer, RETRY_MS, on_hold_timer, r);
  else if (r->n_runs == 0)
    hk_timer_set (&r->hold_timer, IDLE_MS, on_hold_timer, r);
  else
    hk_timer_set (&r->hold_timer, r->max_seq > r->seen ? NOTING_MS : 0,
                  on_hold_timer, r);
}

static void
hold (struct hk_runner *r, int64_t reach_ms, int64_t wait_ms,
      void (*last) (void *user))
{
  struct hold *h = g_new0 (struct hold, 1);
  int64_t now = hk_clock_ms ();
  int64_t deadline = 0;

  /* After a failure nothing is extended until an answer shows that the
     endpoint lives; else a dead one would never be found. */
  if (runner_granted (r, now) && r->clock_at_ms && r->hold_failures == 0)
    {
      deadline = runner_clock (r, now) + reach_ms;
      runner_lease (r, deadline, now);
    }
  h->r = r;
  h->generation = ++r->hold_generation;
  h->sent_at = ++r->calls;
  h->last = last;
  r->holding = TRUE;
  /* A first list is wanted at once. */
  r->runtime->ops->hold (r->runtime, deadline, r->term, r->seen,
                         r->listed && r->n_runs > 0 ? wait_ms : 0, on_held, h);
}

/* Supersedes the hold that waits, whose list will be older. */
void
runner_hold_now (struct hk_runner *r)
{
  hold (r, r->authority.hold_ms, 0, NULL);
}

/* Starts the loop again early if it pauses. */
void
runner_hold_soon (struct hk_runner *r)
{
  if (!r->holding && !r->leaving)
    hk_timer_set (&r->hold_timer, 0, on_hold_timer, r);
}

void
runner_hold_last (struct hk_runner *r, void (*last) (void *user))
{
  hk_timer_clear (&r->hold_timer);
  /* Inside what a successor waits for after a last grant. */
  hold (r,
        MIN (r->hold_max_ms,
             r->authority.grant_ms + r->authority.hold_ms - LEAVE_MARGIN_MS),
        0, last);
}

void
runner_hold_start (struct hk_runner *r)
{
  hk_timer_set (&r->hold_timer, 0, on_hold_timer, r);
}

void
runner_hold_stop (struct hk_runner *r)
{
  hk_timer_clear (&r->hold_timer);
  r->hold_generation++;
}

/* Renewal loop: extends the leases of all runs at the endpoint while the
   coordinator's grant is valid. The same calls list running and ended runs, so
   the loop also detects endpoint crashes, restarts and missing runs. */
#include "runner.h"

/* A renewal waits this long for a run to end; leases last about ten times as
   long. */
#define RENEW_WAIT_MS 400
/* Pause while an end is not committed: a renewal would return with the same
   end at once. */
#define COMMIT_PAUSE_MS 15
/* Interval between renewals while nothing runs. */
#define RENEW_IDLE_MS 300
/* Pause after a failed renewal. */
#define RENEW_RETRY_MS 100
/* Consecutive refused connections after which the endpoint counts as
   crashed. */
#define REFUSALS_MAX 2
/* The last renewal is sent slightly later than the grant that covers it. */
#define LEAVE_MARGIN_MS 300
/* Most ends in one list; a list with so many may be truncated. */
#define LIST_ENDS_MAX 500

struct renewal
{
  struct hk_runner *r;
  unsigned generation;
  uint64_t sent_seq; /* call_seq when sent; milliseconds are too coarse for
                        ordering */
  void (*on_done) (void *user);
};

static void send_renewal (struct hk_runner *r, int64_t extend_ms,
                          int64_t wait_ms, void (*on_done) (void *user));

/* Handles a restart of the endpoint, which ends all runs. An unanswered start
   may still reach the new incarnation; a stop makes it refuse that start. */
void
runner_incarnation_update (struct hk_runner *r, int64_t endpoint_start_ms)
{
  struct runner_run *run;

  if (endpoint_start_ms == r->endpoint_start_ms)
    return;
  if (r->endpoint_start_ms)
    {
      runner_fence_raise (r);
      hk_log (HK_LOG_WARN, "runner", NULL, NULL,
              "event=endpoint_restarted born=%" G_GINT64_FORMAT
              " before=%" G_GINT64_FORMAT " runs=%u fence=%" G_GUINT64_FORMAT,
              endpoint_start_ms, r->endpoint_start_ms, r->n_runs,
              runner_fence (r));
    }
  while (r->endpoint_start_ms && (run = TAILQ_FIRST (&r->runs)))
    {
      runner_unanswered_keep (run);
      runner_run_remove (run);
    }
  r->endpoint_start_ms = endpoint_start_ms;
  r->incarnation_seq = ++r->call_seq;
  r->described = FALSE;
  r->list_received = FALSE;
  r->draining = FALSE;
  r->acked_seq = 0;
  r->max_end_seq = 0;
  r->clock_read_ms = 0;
  r->lease_end_ms = 0;
  r->lease_deadline_clock_ms = 0;
  runner_unanswered_stop (r);
  runner_report_schedule (r);
}

/* Counts every extension that was sent: an unanswered one may have taken
   effect. */
void
runner_lease_extend (struct hk_runner *r, int64_t deadline_clock_ms,
                     int64_t now)
{
  if (deadline_clock_ms <= r->lease_deadline_clock_ms)
    return;
  r->lease_deadline_clock_ms = deadline_clock_ms;
  r->lease_end_ms = hk_authority_lease_end (
      deadline_clock_ms - runner_endpoint_clock_ms (r, now), now);
}

static void
process_running (struct hk_runner *r, const struct hk_runtime_run *row)
{
  struct runner_run *run = runner_run_find (r, &row->task, row->run);

  if (!run)
    {
      run = runner_run_add (r, &row->task, row->run);
      hk_log (HK_LOG_INFO, "runner", NULL, row->task.job,
              "event=run_adopted step=%u index=%u run=%u percent=%u",
              row->task.step, row->task.index, row->run, row->percent);
      run->state = RUN_RUNNING;
      /* The former agent may have sent other attempts to start it. */
      run->start_in_doubt = TRUE;
      run->speed_unknown = TRUE;
      runner_report_schedule (r);
    }
  if (run->state == RUN_ENDED && run->end_seq == 0 && run->how == HK_END_LOST)
    hk_log (HK_LOG_ERROR, "runner", NULL, row->task.job,
            "event=run_outlived_lease step=%u index=%u run=%u", row->task.step,
            row->task.index, row->run);
  if (run->state == RUN_STARTING)
    {
      run->state = RUN_RUNNING;
      runner_report_schedule (r);
    }
  run->last_list = r->list_count;
  run->load_sample = row->load_sample;
  run->percent = row->percent;
  runner_run_set_checkpoint (run, row->checkpoint);
}

static void
process_end (struct hk_runner *r, const struct hk_runtime_end *end)
{
  struct runner_run *run;

  if (end->seq <= r->acked_seq)
    return;
  run = runner_run_find (r, &end->task, end->run);
  if (!run)
    run = runner_run_add (r, &end->task, end->run);
  run->last_list = r->list_count;
  r->max_end_seq = MAX (r->max_end_seq, end->seq);
  if (run->state != RUN_ENDED || run->end_seq == 0)
    runner_run_set_ended (run, end->how, end->seq, end->checkpoint);
}

/* Handles runs absent from a list that was requested after the last reply
   about them. An older list says nothing about them. */
static void
process_missing (struct hk_runner *r, uint64_t sent_seq)
{
  struct runner_run *run;

  TAILQ_FOREACH (run, &r->runs, link)
  {
    if (run->last_list == r->list_count)
      continue;
    if (run->state == RUN_STOPPING && run->stop_reply_seq
        && run->stop_reply_seq < sent_seq)
      runner_run_set_ended (run, HK_END_REFUSED, 0, NULL);
    else if (run->state == RUN_RUNNING && run->start_reply_seq < sent_seq)
      runner_run_handle_missing (run);
  }
}

void
runner_ends_acknowledge (struct hk_runner *r)
{
  const struct runner_run *run;
  uint64_t acked_seq = r->max_end_seq;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state == RUN_ENDED && run->end_seq > 0)
    acked_seq = MIN (acked_seq, run->end_seq - 1);
  r->acked_seq = MAX (r->acked_seq, acked_seq);
}

/* Renewal loop */

/* The longest lease that an agent which leaves asks for. */
static int64_t
final_lease_ms (const struct hk_runner *r)
{
  return MIN (r->lease_max_ms,
              r->authority.grant_ms + r->authority.hold_ms - LEAVE_MARGIN_MS);
}

static void
process_list (struct hk_runner *r, const struct hk_runtime_list *list,
              uint64_t sent_seq, int64_t now)
{
  gboolean first = r->endpoint_start_ms == 0;

  /* Of an earlier incarnation, or of a call with a lower fence: a start of
     before may arrive until the endpoint has seen the raised one, and the list
     of that call shows whether one did. */
  if (sent_seq < r->incarnation_seq)
    return;
  if (list->start_time_ms != r->endpoint_start_ms)
    {
      runner_incarnation_update (r, list->start_time_ms);
      if (!first)
        return;
    }
  r->endpoint_clock_ms = list->clock_ms;
  r->clock_read_ms = now;
  r->list_count++;
  /* A former agent of the endpoint may have renewed these leases as it left.
   */
  if (!r->list_received && list->n_runs > 0)
    runner_lease_extend (r, list->clock_ms + final_lease_ms (r), now);
  /* Earlier ends were acknowledged before this process started. */
  if (!r->list_received && list->n_ends > 0)
    r->acked_seq = list->ends[0].seq - 1;
  for (size_t i = 0; i < list->n_runs; i++)
    process_running (r, &list->runs[i]);
  for (size_t i = 0; i < list->n_ends; i++)
    process_end (r, &list->ends[i]);
  if (list->n_ends < LIST_ENDS_MAX)
    process_missing (r, sent_seq);
  runner_ends_acknowledge (r);
  if (!r->list_received)
    runner_report_schedule (r);
  r->list_received = TRUE;
  runner_throttle_update (r, now);
}

static void
on_renew_timer (void *user)
{
  struct hk_runner *r = user;
  int64_t now = hk_clock_ms ();

  if (r->lease_end_ms && now > r->lease_end_ms && r->n_runs > 0)
    {
      /* While the endpoint answers, it lists such ends itself. */
      runner_runs_end_all (r, HK_END_LOST, "leases expired");
      r->lease_end_ms = 0;
    }
  if (!r->renewing && !r->leaving)
    send_renewal (r, r->authority.hold_ms, RENEW_WAIT_MS, NULL);
}

/* A refused connection means that no process listens: the endpoint has
   crashed, and all its runs with it. */
static void
handle_renew_failure (struct hk_runner *r, int rc, const struct hk_error *err)
{
  r->refusals = rc == HK_ERR_UNAVAILABLE ? r->refusals + 1 : 0;
  if (r->renew_failures++ == 0)
    hk_log (HK_LOG_WARN, "runner", err->peer, NULL,
            "event=endpoint_unreachable cause=\"%s\" runs=%u", err->text,
            r->n_runs);
  if (r->refusals == REFUSALS_MAX)
    runner_runs_end_all (r, HK_END_LOST, "endpoint refuses connections");
  if (r->renew_failures == RUNNER_RENEW_FAILURES_MAX)
    runner_report_schedule (r);
}

static void
on_renewed (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
            const struct hk_error *err, void *user)
{
  struct renewal *req = user;
  struct hk_runner *r = req->r;
  void (*on_done) (void *user) = req->on_done;
  gboolean current = req->generation == r->renew_generation;
  uint64_t sent_seq = req->sent_seq;

  (void)clock_ms;
  g_free (req);
  if (!current)
    return;
  r->renewing = FALSE;
  if (rc == HK_OK)
    {
      if (r->renew_failures > 0)
        hk_log (HK_LOG_INFO, "runner", NULL, NULL,
                "event=endpoint_reachable failures=%u", r->renew_failures);
      r->renew_failures = 0;
      r->refusals = 0;
      process_list (r, list, sent_seq, hk_clock_ms ());
    }
  else
    handle_renew_failure (r, rc, err);
  if (on_done)
    on_done (r);
  else if (rc != HK_OK)
    hk_timer_set (&r->renew_timer, RENEW_RETRY_MS, on_renew_timer, r);
  else if (r->n_runs == 0 && r->list_received)
    hk_timer_set (&r->renew_timer, RENEW_IDLE_MS, on_renew_timer, r);
  else
    hk_timer_set (&r->renew_timer,
                  r->max_end_seq > r->acked_seq ? COMMIT_PAUSE_MS : 0,
                  on_renew_timer, r);
}

static void
send_renewal (struct hk_runner *r, int64_t extend_ms, int64_t wait_ms,
              void (*on_done) (void *user))
{
  struct renewal *req = g_new0 (struct renewal, 1);
  int64_t now = hk_clock_ms ();
  int64_t deadline = 0;

  /* After a failure no lease is extended until the endpoint answers; otherwise
     lease_end_ms would keep moving and a crash would go undetected. */
  if (runner_grant_valid (r, now) && r->clock_read_ms
      && r->renew_failures == 0)
    {
      deadline = runner_endpoint_clock_ms (r, now) + extend_ms;
      runner_lease_extend (r, deadline, now);
    }
  req->r = r;
  req->generation = ++r->renew_generation;
  req->sent_seq = ++r->call_seq;
  req->on_done = on_done;
  r->renewing = TRUE;
  /* The first list is needed at once, so don't wait for an end. */
  r->runtime->ops->renew (r->runtime, deadline, runner_fence (r), r->acked_seq,
                          r->list_received && r->n_runs > 0 ? wait_ms : 0,
                          on_renewed, req);
}

/* Supersedes the renewal in progress, whose list would be older. */
void
runner_renew_now (struct hk_runner *r)
{
  send_renewal (r, r->authority.hold_ms, 0, NULL);
}

/* Renews at once if the loop is in a pause. */
void
runner_renew_soon (struct hk_runner *r)
{
  if (!r->renewing && !r->leaving)
    hk_timer_set (&r->renew_timer, 0, on_renew_timer, r);
}

void
runner_renew_last (struct hk_runner *r, void (*on_done) (void *user))
{
  hk_timer_clear (&r->renew_timer);
  /* The lease must end within the time that a successor coordinator waits
     after the last grant. */
  send_renewal (r, final_lease_ms (r), 0, on_done);
}

void
runner_renew_start (struct hk_runner *r)
{
  hk_timer_set (&r->renew_timer, 0, on_renew_timer, r);
}

void
runner_renew_stop (struct hk_runner *r)
{
  hk_timer_clear (&r->renew_timer);
  r->renew_generation++;
}

/* One attempt at a request: the EXECUTE call, and how its outcome is found out
   when the reply is lost. A request that must not run twice has one attempt at
   a time; the next one starts only after it is certain that the previous one
   did not run. */
#include "attempt.h"

#include "hyssopkeel/clock.h"

/* EXECUTE calls time out this long after the deadline of the request. */
#define DEADLINE_SLACK_MS 20
#define CANCEL_TIMEOUT_MS 200
#define QUERY_INTERVAL_MS 100
/* An attempt is queried for this long after the deadline. */
#define QUERY_GRACE_MS 2000
/* Consecutive connection failures that set an instance aside. */
#define CONNECTION_FAILURE_LIMIT 3

static const struct hk_rpc_method execute_method
    = { HK_AGENT_EXECUTE, (xdrproc_t)xdr_hk_rpc_execute_args,
        (xdrproc_t)xdr_hk_rpc_execute_reply, sizeof (hk_rpc_execute_reply) };
static const struct hk_rpc_method cancel_method
    = { HK_AGENT_CANCEL, (xdrproc_t)xdr_hk_rpc_cancel_args,
        (xdrproc_t)xdr_hk_rpc_execute_reply, sizeof (hk_rpc_execute_reply) };
static const struct hk_rpc_method query_method
    = { HK_AGENT_QUERY, (xdrproc_t)xdr_hk_rpc_cancel_args,
        (xdrproc_t)xdr_hk_rpc_execute_reply, sizeof (hk_rpc_execute_reply) };

static void query_attempt (void *user);

void
hk_attempt_end (struct hk_attempt *a)
{
  struct hk_dispatch *d = a->d;

  hk_timer_clear (&a->query_timer);
  hk_member_unref (a->member);
  g_free (a->id);
  g_free (a);
  d->outstanding--;
}

/* The attempt certainly did not run, so a retry is safe. */
static void
attempt_not_run (struct hk_attempt *a, const char *reason,
                 gboolean charge_budget)
{
  struct hk_dispatch *d = a->d;

  g_free (d->last_refusal);
  d->last_refusal = g_strdup (reason);
  charge_budget = charge_budget && !a->from_earlier_call;
  hk_attempt_end (a);
  if (d->outstanding > 0)
    return; /* the hedged attempt decides */
  if (hk_dispatch_may_retry (d, charge_budget))
    hk_dispatch_next_attempt (d);
  else
    hk_dispatch_finish_no_result (d, HK_OUTCOME_NOT_RUN, d->last_refusal);
  hk_dispatch_free_if_finished (d);
}

/* The attempt may have run, so only an idempotent request is retried. */
static void
attempt_outcome_unknown (struct hk_attempt *a, const char *reason)
{
  struct hk_dispatch *d = a->d;
  g_autofree char *reason_copy = g_strdup (reason);

  d->n_unknown++;
  hk_attempt_end (a);
  if (d->outstanding > 0)
    return;
  if (d->idempotent && hk_dispatch_may_retry (d, TRUE))
    hk_dispatch_next_attempt (d);
  else
    hk_dispatch_finish_no_result (d, HK_OUTCOME_UNKNOWN, reason_copy);
  hk_dispatch_free_if_finished (d);
}

static void
handle_reply (struct hk_attempt *a, const hk_rpc_execute_reply *reply)
{
  struct hk_dispatch *d = a->d;

  hk_member_load_update (a->member, &reply->load);
  switch (reply->outcome)
    {
    case HK_OUTCOME_DONE:
      hk_dispatch_finish_result (a, reply);
      hk_attempt_end (a);
      hk_dispatch_free_if_finished (d);
      break;
    case HK_OUTCOME_NOT_RUN:
      attempt_not_run (a, reply->reason, TRUE);
      break;
    case HK_OUTCOME_UNKNOWN:
    case HK_OUTCOME_RUNNING:
      attempt_outcome_unknown (a, reply->reason);
      break;
    }
}

static void
fill_cancel_args (hk_rpc_cancel_args *args, const struct hk_attempt *a)
{
  args->incarnation = a->member->incarnation;
  args->request_id = a->id;
}

static void
on_cancel_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_attempt *a = user;

  (void)err;
  if (rc == HK_OK)
    {
      handle_reply (a, result);
      return;
    }
  hk_member_record_failure (a->member, CONNECTION_FAILURE_LIMIT);
  attempt_outcome_unknown (a, "no answer at the deadline");
}

/* Cancels at the deadline. A request that is still queued at the agent is
   dequeued, so that the client learns that it did not run. */
static void
cancel_attempt (struct hk_attempt *a)
{
  hk_rpc_cancel_args args;

  fill_cancel_args (&args, a);
  hk_rpc_call (&a->member->channel, &cancel_method, &args, CANCEL_TIMEOUT_MS,
               on_cancel_reply, a);
}

static void
on_query_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_attempt *a = user;

  (void)err;
  if (rc == HK_OK)
    handle_reply (a, result);
  else if (a->member->removed || hk_clock_ms () >= a->query_until_ms)
    attempt_outcome_unknown (
        a, "the instance that may have run it cannot be asked");
  else
    hk_timer_set (&a->query_timer, QUERY_INTERVAL_MS, query_attempt, a);
}

/* Only the incarnation that received the attempt knows its outcome. */
static void
query_attempt (void *user)
{
  struct hk_attempt *a = user;
  int64_t remaining_ms = a->query_until_ms - hk_clock_ms ();
  hk_rpc_cancel_args args;

  if (a->member->removed)
    {
      attempt_outcome_unknown (a, "the instance that may have run it is gone");
      return;
    }
  fill_cancel_args (&args, a);
  hk_rpc_call (&a->member->channel, &query_method, &args,
               MAX (remaining_ms, QUERY_INTERVAL_MS), on_query_reply, a);
}

void
hk_attempt_query (struct hk_attempt *a)
{
  a->query_until_ms = MAX (a->d->deadline_ms, hk_clock_ms ()) + QUERY_GRACE_MS;
  query_attempt (a);
}

static void
on_execute_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_attempt *a = user;
  struct hk_dispatch *d = a->d;

  if (rc == HK_OK)
    handle_reply (a, result);
  else if (rc == HK_ERR_UNAVAILABLE)
    {
      /* The request was never sent: the instance is set aside at once, and a
         retry is not charged to the budget. */
      hk_member_record_failure (a->member, 1);
      attempt_not_run (a, err->text, FALSE);
    }
  else if (rc == HK_ERR_TIMEOUT)
    {
      if (hk_dispatch_remaining_ms (d) <= 0)
        cancel_attempt (a);
      else
        attempt_outcome_unknown (a, err->text);
    }
  else
    {
      hk_member_record_failure (a->member, CONNECTION_FAILURE_LIMIT);
      if (d->idempotent)
        attempt_outcome_unknown (a, err->text);
      else
        hk_attempt_query (a);
    }
}

void
hk_attempt_execute (struct hk_attempt *a)
{
  struct hk_dispatch *d = a->d;
  hk_rpc_execute_args args = { 0 };
  gsize len;

  args.incarnation = a->member->incarnation;
  args.request_id = a->id;
  args.route = d->route;
  args.method = d->method;
  args.path = d->path;
  args.content_type = d->content_type;
  args.key = d->key;
  args.team = d->team;
  args.deadline_ms = (u_int)MAX (hk_dispatch_remaining_ms (d), 1);
  args.body.body_val = (char *)g_bytes_get_data (d->body, &len);
  args.body.body_len = (u_int)len;
  a->member->sent_since_report++;
  a->member->candidate.busy++;
  hk_rpc_call (&a->member->channel, &execute_method, &args,
               MAX (hk_dispatch_remaining_ms (d), 0) + DEADLINE_SLACK_MS,
               on_execute_reply, a);
}

struct hk_attempt *
hk_attempt_new (struct hk_dispatch *d, struct hk_member *member,
                const char *id)
{
  struct hk_attempt *a = g_new0 (struct hk_attempt, 1);

  a->d = d;
  a->member = hk_member_ref (member);
  if (id)
    a->id = g_strdup (id);
  else
    a->id = g_strdup_printf ("%s.%zu", d->id, d->n_tried);
  if (d->n_tried < HK_ATTEMPTS_MAX)
    d->tried[d->n_tried++] = member->candidate.id;
  d->outstanding++;
  return a;
}

/* Requests of this process about jobs: handled here while it leads, else
   forwarded to the leader, and again to its successor after a takeover. */
#include "coord.h"

/* A request that reached no coordinator fails after this time, so that the
   client is told early when to retry. */
#define UNDELIVERED_TIMEOUT_MS 900
/* Pause between attempts while no process leads; a leader that answers a ping
   triggers one at once. */
#define RETRY_MS 60
/* Time limit of one forwarded attempt; an unresponsive connection is detected
   by then. */
#define ATTEMPT_TIMEOUT_MS 1500

/* Reason of the refusal of a submission that may have waited for too long. */
#define READ_AFTER_SUSPENSION                                                 \
  "this process was suspended and the job may have been cancelled meanwhile"

/* A request made by this process, tried until it is answered or times out. */
struct coord_request
{
  struct hk_coord *c;
  hk_job_request_args args;
  int64_t received_ms;
  int64_t sent_ms; /* by the client, or earlier */
  int64_t deadline_ms;
  int64_t attempted_ms; /* the last attempt began */
  gboolean encodable;   /* @args could be copied */
  gboolean stale;       /* may have been cancelled before it was read */
  gboolean reached;     /* a coordinator, by an attempt, or perhaps */
  gboolean in_doubt;    /* an attempt may have been carried out */
  gboolean in_flight;   /* an attempt is */
  gboolean answered;    /* by a coordinator */
  gboolean finished;    /* released when the attempt in flight ends */
  struct hk_timer timer;
  hk_coord_request_done done;
  void *user;
  LIST_ENTRY (coord_request) link;
};

static const struct hk_rpc_method request_method
    = { HK_COORD_REQUEST, (xdrproc_t)xdr_hk_job_request_args,
        (xdrproc_t)xdr_hk_job_request_reply, sizeof (hk_job_request_reply) };

static void request_attempt (struct coord_request *q);

/* Remembers, for later requests of the same id, whether this one was or may
   have been carried out. A refusal of the leader binds the earlier ones too.
 */
static void
remember_outcome (struct coord_request *q, hk_job_request_outcome outcome)
{
  g_autofree char *key = coord_request_key (q->args.kind, q->args.id);

  if (!coord_request_changes (&q->args) || q->args.attempt.number == 0)
    return;
  if (outcome != HK_JOB_REQUEST_REFUSED)
    hk_recent_ids_add (&q->c->sent_on, key, hk_clock_ms ());
  else if (q->answered)
    hk_recent_ids_remove (&q->c->sent_on, key);
}

static void
request_finish (struct coord_request *q, const hk_job_request_reply *reply)
{
  hk_timer_clear (&q->timer);
  LIST_REMOVE (q, link);
  q->finished = TRUE;
  remember_outcome (q, reply->outcome);
  q->done (reply, q->user);
  xdr_free ((xdrproc_t)xdr_hk_job_request_args, (char *)&q->args);
  if (!q->in_flight)
    g_free (q);
}

static gboolean
is_in_doubt (const struct coord_request *q)
{
  return q->in_doubt || q->in_flight;
}

/* Whether an earlier request of this process for the same id was, or may have
   been, carried out. */
static gboolean
earlier_in_doubt (const struct coord_request *q)
{
  g_autofree char *key = coord_request_key (q->args.kind, q->args.id);
  const struct coord_request *other;

  if (!q->encodable || !coord_request_changes (&q->args))
    return FALSE;
  LIST_FOREACH (other, &q->c->requests, link)
  if (other != q && other->args.kind == q->args.kind && is_in_doubt (other)
      && strcmp (other->args.id, q->args.id) == 0)
    return TRUE;
  return hk_recent_ids_has (&q->c->sent_on, key);
}

/* Ends a request without an answer of a coordinator: refuses it, unless it or
   an earlier request of this process for the same id may be carried out. */
static void
request_end (struct coord_request *q, const char *refusal,
             unsigned retry_after_s)
{
  gboolean own = is_in_doubt (q);
  gboolean earlier = earlier_in_doubt (q);
  hk_job_request_reply reply = { .outcome = HK_JOB_REQUEST_REFUSED,
                                 .retry_after_s = retry_after_s,
                                 .reason = (char *)refusal };

  if (own || earlier)
    {
      reply.outcome = HK_JOB_REQUEST_UNKNOWN;
      reply.retry_after_s = 0;
      reply.reason
          = own ? (char *)"the coordinator did not answer in time"
                : (char *)"an earlier request for this id may be carried out";
    }
  if (q->c->ends_requests)
    reply.reason = (char *)"this process stops";
  hk_log (HK_LOG_WARN, "ask", q->c->leader.address, q->args.id,
          "event=request_abandoned kind=%d refused=%d why=\"%s\" in_doubt=%d "
          "earlier_in_doubt=%d attempts=%u after_ms=%" G_GINT64_FORMAT,
          q->args.kind, reply.outcome == HK_JOB_REQUEST_REFUSED, refusal, own,
          earlier, q->args.attempt.number, hk_clock_ms () - q->received_ms);
  request_finish (q, &reply);
}

static void
request_abandon (struct coord_request *q)
{
  request_end (q, "no coordinator can be reached",
               COORD_ELSEWHERE_RETRY_AFTER_S);
}

static void
on_request_timer (void *user)
{
  struct coord_request *q = user;
  int64_t now = hk_clock_ms ();

  if (!q->encodable)
    request_end (q, COORD_NOT_ENCODABLE, 0);
  else if (q->stale)
    {
      hk_log (HK_LOG_INFO, "ask", NULL, q->args.id,
              "event=refused queue=%s why=\"" READ_AFTER_SUSPENSION "\" "
              "resumed_ms_ago=%" G_GINT64_FORMAT,
              q->args.queue, now - q->c->resumed_ms);
      request_end (q, READ_AFTER_SUSPENSION, COORD_ELSEWHERE_RETRY_AFTER_S);
    }
  else if (now >= q->deadline_ms || q->c->ends_requests
           || (!q->reached && !q->in_flight
               && (now - q->received_ms >= UNDELIVERED_TIMEOUT_MS
                   || coord_isolated (q->c, now))))
    request_abandon (q);
  else
    request_attempt (q);
}

static void
request_timer_set (struct coord_request *q, int64_t delay)
{
  int64_t left = q->deadline_ms - hk_clock_ms ();

  hk_timer_set (&q->timer, MAX (MIN (delay, left), 0), on_request_timer, q);
}

static void
on_reply (const hk_job_request_reply *reply, void *user)
{
  struct coord_request *q = user;

  q->in_flight = FALSE;
  if (q->finished)
    {
      g_free (q);
      return;
    }
  if (reply->outcome == HK_JOB_REQUEST_NOT_LEADING
      || reply->outcome == HK_JOB_REQUEST_NOT_TAKEN)
    {
      /* A former leader may have stored it without a confirmation. */
      q->in_doubt |= reply->outcome == HK_JOB_REQUEST_NOT_LEADING;
      request_timer_set (q, RETRY_MS);
      return;
    }
  q->answered = TRUE;
  request_finish (q, reply);
}

/* Only of requests that change something; the others may be repeated freely.
 */
static void
log_unanswered (const struct coord_request *q, int rc,
                const struct hk_error *err)
{
  if (q->args.kind != HK_JOB_REQUEST_SUBMIT
      && q->args.kind != HK_JOB_REQUEST_CANCEL)
    return;
  hk_log (HK_LOG_WARN, "ask", err->peer, q->args.id,
          "event=attempt_unanswered kind=%d attempt=%u sent=%d cause=\"%s\" "
          "after_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
          q->args.kind, q->args.attempt.number, rc != HK_ERR_UNAVAILABLE,
          err->text, hk_clock_ms () - q->attempted_ms,
          hk_clock_ms () - q->received_ms);
}

static void
on_rpc_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct coord_request *q = user;

  if (rc == HK_OK)
    {
      q->reached = TRUE;
      on_reply (result, q);
      return;
    }
  q->in_flight = FALSE;
  if (q->finished)
    {
      g_free (q);
      return;
    }
  if (rc != HK_ERR_UNAVAILABLE)
    q->reached = q->in_doubt = TRUE;
  log_unanswered (q, rc, err);
  request_timer_set (q, RETRY_MS);
}

static void
attempt_begin (struct coord_request *q)
{
  hk_request_attempt *a = &q->args.attempt;

  q->in_flight = TRUE;
  q->attempted_ms = hk_clock_ms ();
  a->number++;
  a->age_ms = (u_int)(q->attempted_ms - q->received_ms);
  a->delayed = q->sent_ms < q->received_ms;
}

static void
request_handle (struct coord_request *q)
{
  struct hk_coord *c = q->c;

  attempt_begin (q);
  q->reached = TRUE;
  q->args.attempt.term = c->term;
  q->args.attempt.received_ms = q->sent_ms;
  q->args.attempt.expires_ms = q->deadline_ms;
  request_timer_set (q, q->deadline_ms - q->attempted_ms);
  coord_request_handle (c, &q->args, on_reply, q);
}

static void
request_forward (struct coord_request *q)
{
  struct coord_leader *l = &q->c->leader;
  int64_t left;

  attempt_begin (q);
  left = q->deadline_ms - q->attempted_ms;
  q->args.attempt.term = l->clock_term;
  q->args.attempt.received_ms = coord_leader_clock (l, q->sent_ms);
  q->args.attempt.expires_ms = coord_leader_clock (
      l, q->attempted_ms + MIN (left, ATTEMPT_TIMEOUT_MS));
  request_timer_set (q, left);
  hk_rpc_call (&l->channel, &request_method, &q->args,
               MIN (left, ATTEMPT_TIMEOUT_MS), on_rpc_reply, q);
}

static void
request_attempt (struct coord_request *q)
{
  struct hk_coord *c = q->c;

  if (q->in_flight)
    request_timer_set (q, q->deadline_ms - hk_clock_ms ());
  else if (c->state == COORD_LEADING)
    request_handle (q);
  else if (c->state == COORD_FOLLOWING && c->leader.connected
           && c->leader.channel.address)
    request_forward (q);
  else
    request_timer_set (q, RETRY_MS);
}

/* Returns FALSE, with @out zeroed, if a field is over its limit. */
static gboolean
request_args_copy (hk_job_request_args *out, const hk_job_request_args *in)
{
  size_t size = xdr_sizeof ((xdrproc_t)xdr_hk_job_request_args, (void *)in);
  g_autofree char *bytes = g_malloc (size + 1);
  XDR xdr;

  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  if (!xdr_hk_job_request_args (&xdr, (hk_job_request_args *)in))
    {
      hk_log (HK_LOG_ERROR, "ask", NULL, in->id,
              "event=request_rejected kind=%d bytes=%zu why=\"%s\"; a check "
              "where jobs enter is missing",
              in->kind, size, COORD_NOT_ENCODABLE);
      return FALSE;
    }
  xdrmem_create (&xdr, bytes, xdr_getpos (&xdr), XDR_DECODE);
  return xdr_hk_job_request_args (&xdr, out);
}

void
hk_coord_request (struct hk_coord *c, const hk_job_request_args *args,
                  int64_t timeout_ms, hk_coord_request_done done, void *user)
{
  struct coord_request *q = g_new0 (struct coord_request, 1);

  q->c = c;
  q->received_ms = hk_clock_ms ();
  q->deadline_ms = q->received_ms + timeout_ms;
  q->done = done;
  q->user = user;
  q->encodable = request_args_copy (&q->args, args);
  q->stale = args->kind == HK_JOB_REQUEST_SUBMIT
             && coord_submission_may_be_stale (c, q->received_ms);
  q->sent_ms = args->kind == HK_JOB_REQUEST_SUBMIT ? hk_suspension_sent_ms (
                   &c->suspension, q->received_ms, timeout_ms)
                                                   : q->received_ms;
  LIST_INSERT_HEAD (&c->requests, q, link);
  hk_timer_set (&q->timer, 0, on_request_timer, q);
}

void
coord_requests_retry (struct hk_coord *c)
{
  struct coord_request *q;

  LIST_FOREACH (q, &c->requests, link)
  if (!q->in_flight)
    request_timer_set (q, 0);
}

void
coord_requests_drop (struct hk_coord *c)
{
  while (!LIST_EMPTY (&c->requests))
    request_abandon (LIST_FIRST (&c->requests));
}

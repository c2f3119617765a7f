/* Requests about jobs: handled here while this process leads, else forwarded
   to the leader, and again to its successor after a takeover. */
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
/* Retry-After when another process can serve the request, once the load
   balancer has detected this one; sooner retries would all come back here. */
#define ELSEWHERE_RETRY_AFTER_S 1

/* Reason of a refusal: a field is over its limit in hk_job.x. */
#define NOT_ENCODABLE "a field of the job is over its limit"

/* Reason of the refusal of a submission that its cancellation overtook. */
#define CANCELLED_BEFORE "the job was cancelled before it arrived"

/* A request made by this process, tried until it is answered or times out. */
struct coord_request
{
  struct hk_coord *c;
  hk_job_request_args args;
  int64_t received_ms;
  int64_t deadline_ms;
  gboolean encodable; /* @args could be copied */
  gboolean delivered; /* may have reached a coordinator */
  gboolean in_flight; /* an attempt is */
  gboolean finished;  /* answered; released when the attempt in flight ends */
  struct hk_timer timer;
  hk_coord_request_done done;
  void *user;
  LIST_ENTRY (coord_request) link;
};

static const struct hk_rpc_method request_method
    = { HK_COORD_REQUEST, (xdrproc_t)xdr_hk_job_request_args,
        (xdrproc_t)xdr_hk_job_request_reply, sizeof (hk_job_request_reply) };

/* Requests to the leader */

static void
reply_now (hk_coord_request_done done, void *user,
           hk_job_request_outcome outcome, const char *reason,
           unsigned retry_after_s)
{
  hk_job_request_reply reply = { .outcome = outcome,
                                 .retry_after_s = retry_after_s,
                                 .reason = (char *)reason };

  done (&reply, user);
}

static void
reply_store_failing (struct hk_coord *c, hk_coord_request_done done,
                     void *user)
{
  reply_now (done, user, HK_JOB_REQUEST_REFUSED, "the store does not answer",
             coord_isolated (c, hk_clock_ms ()) ? ELSEWHERE_RETRY_AFTER_S
                                                : COORD_STORE_RETRY_AFTER_S);
}

static void
handle_submit (struct hk_coord *c, const hk_job_request_args *args,
               hk_coord_request_done done, void *user)
{
  hk_job_request_reply stored
      = { .outcome = HK_JOB_REQUEST_DONE, .reason = "" };
  struct hk_engine_job *job = hk_engine_job_find (&c->engine, args->id);
  const hk_job_spec *spec;
  const char *reason = NULL;
  unsigned retry_after_s = 0;
  int64_t now = hk_clock_ms ();

  if (job && job->is_tombstone)
    {
      hk_log (HK_LOG_INFO, "coord", NULL, args->id,
              "event=refused queue=%s why=\"" CANCELLED_BEFORE "\" "
              "cancelled_ms_ago=%" G_GINT64_FORMAT,
              args->queue, now - job->ended_ms);
      reply_now (done, user, HK_JOB_REQUEST_REFUSED, CANCELLED_BEFORE, 0);
      return;
    }
  if (job && job->committed_version > 0)
    {
      done (&stored, user);
      return;
    }
  if (!job)
    {
      if (args->job.job_len != 1)
        {
          reply_now (done, user, HK_JOB_REQUEST_REFUSED,
                     "no job in the question", 0);
          return;
        }
      spec = args->job.job_val;
      if (coord_store_failing (c, now))
        {
          reason = "the store does not answer";
          retry_after_s = coord_isolated (c, now) ? ELSEWHERE_RETRY_AFTER_S
                                                  : COORD_STORE_RETRY_AFTER_S;
        }
      if (reason || !coord_admit (c, spec, &retry_after_s, &reason))
        {
          hk_log (HK_LOG_INFO, "coord", NULL, args->id,
                  "event=refused queue=%s why=\"%s\" retry_after_s=%u",
                  args->queue, reason, retry_after_s);
          reply_now (done, user, HK_JOB_REQUEST_REFUSED, reason,
                     retry_after_s);
          return;
        }
      job = hk_engine_submit (&c->engine, spec, now, coord_wall_ms ());
      if (!job)
        {
          hk_log (HK_LOG_ERROR, "coord", NULL, args->id,
                  "event=refused queue=%s why=\"%s\"; a check where jobs "
                  "enter is missing",
                  args->queue, NOT_ENCODABLE);
          reply_now (done, user, HK_JOB_REQUEST_REFUSED, NOT_ENCODABLE, 0);
          return;
        }
      hk_log (HK_LOG_INFO, "coord", NULL, args->id,
              "event=accepted queue=%s urgency=%u steps=%u tasks=%u",
              spec->queue, spec->urgency, spec->steps.steps_len, job->n_tasks);
    }
  coord_waiter_add (job, &stored, done, user);
  coord_pass_schedule (c);
}

/* A successor may know the job, so only a process that certainly leads may
   deny that it exists. */
static void
reply_not_found (struct hk_coord *c, hk_coord_request_done done, void *user)
{
  if (coord_leadership_proven (c, hk_clock_ms ()))
    reply_now (done, user, HK_JOB_REQUEST_NOT_FOUND, "no such job", 0);
  else
    reply_now (done, user, HK_JOB_REQUEST_NOT_LEADING, "is not sure to lead",
               0);
}

/* A submission under this id may still be on its way. The caller is told that
   there is no such job once a tombstone, which refuses it, is stored. */
static void
cancel_unknown (struct hk_coord *c, const hk_job_request_args *args,
                hk_coord_request_done done, void *user)
{
  hk_job_request_reply reply
      = { .outcome = HK_JOB_REQUEST_NOT_FOUND, .reason = "no such job" };
  int64_t now = hk_clock_ms ();
  struct hk_engine_job *job;

  if (coord_store_failing (c, now))
    {
      reply_store_failing (c, done, user);
      return;
    }
  job = hk_engine_tombstone_add (&c->engine, args->id, args->queue, now,
                                 coord_wall_ms ());
  if (!job)
    {
      hk_log (HK_LOG_WARN, "coord", NULL, args->id,
              "event=cancel_refused queue=%s tombstones=%u; each is kept for "
              "%" G_GINT64_FORMAT " ms",
              args->queue, c->engine.n_tombstones, c->keep_ended_ms);
      reply_now (done, user, HK_JOB_REQUEST_REFUSED,
                 "too many unknown ids were cancelled",
                 COORD_STORE_RETRY_AFTER_S);
      return;
    }
  hk_log (HK_LOG_INFO, "coord", NULL, args->id,
          "event=cancelled_unknown queue=%s tombstones=%u", args->queue,
          c->engine.n_tombstones);
  coord_waiter_add (job, &reply, done, user);
  coord_pass_schedule (c);
}

static void
handle_cancel (struct hk_coord *c, const hk_job_request_args *args,
               hk_coord_request_done done, void *user)
{
  struct hk_engine_job *job = hk_engine_job_find (&c->engine, args->id);
  hk_job_request_reply reply
      = { .outcome = HK_JOB_REQUEST_DONE, .reason = "" };

  if (!job)
    {
      cancel_unknown (c, args, done, user);
      return;
    }
  if (job->is_tombstone)
    reply.outcome = HK_JOB_REQUEST_NOT_FOUND;
  if (hk_engine_job_active (job) && coord_store_failing (c, hk_clock_ms ()))
    {
      reply_store_failing (c, done, user);
      return;
    }
  if (hk_engine_job_active (job))
    {
      hk_log (HK_LOG_INFO, "coord", NULL, args->id,
              "event=cancelled runs=%u state=%d", job->n_runs, job->state);
      hk_engine_job_cancel (job, hk_clock_ms (), coord_wall_ms ());
      coord_links_reply (c);
    }
  reply.state = job->state;
  if (job->committed_version >= job->version)
    done (&reply, user);
  else
    coord_waiter_add (job, &reply, done, user);
  coord_pass_schedule (c);
}

static void
handle_pending (struct hk_coord *c, const hk_job_request_args *args,
                hk_coord_request_done done, void *user)
{
  hk_job_request_reply reply
      = { .outcome = HK_JOB_REQUEST_DONE, .reason = "" };
  const struct hk_engine_job *job;

  TAILQ_FOREACH (job, &c->engine.active, link)
  if (!job->started && job->committed_version > 0
      && strcmp (job->spec.queue, args->queue) == 0)
    reply.pending++;
  done (&reply, user);
}

void
coord_request_handle (struct hk_coord *c, const hk_job_request_args *args,
                      hk_coord_request_done done, void *user)
{
  hk_job_request_reply reply
      = { .outcome = HK_JOB_REQUEST_DONE, .reason = "" };
  const struct hk_engine_job *job;

  if (c->state != COORD_LEADING)
    {
      reply_now (done, user, HK_JOB_REQUEST_NOT_LEADING, "does not lead", 0);
      return;
    }
  /* A successor may lead already: do not answer from stale state. */
  if (args->kind != HK_JOB_REQUEST_SUBMIT
      && coord_isolated (c, hk_clock_ms ()))
    {
      reply_now (done, user, HK_JOB_REQUEST_REFUSED, "this process is cut off",
                 ELSEWHERE_RETRY_AFTER_S);
      return;
    }
  switch (args->kind)
    {
    case HK_JOB_REQUEST_SUBMIT:
      handle_submit (c, args, done, user);
      return;
    case HK_JOB_REQUEST_CANCEL:
      handle_cancel (c, args, done, user);
      return;
    case HK_JOB_REQUEST_PENDING:
      handle_pending (c, args, done, user);
      return;
    case HK_JOB_REQUEST_STATE:
    default:
      break;
    }
  job = hk_engine_job_find (&c->engine, args->id);
  if (!job || job->committed_version == 0 || job->is_tombstone)
    {
      reply_not_found (c, done, user);
      return;
    }
  reply.state = job->visible_state == HK_JOB_STATE_QUEUED && job->started
                    ? HK_JOB_STATE_RUNNING
                    : job->visible_state;
  done (&reply, user);
}

static void
reply_rpc (const hk_job_request_reply *reply, void *user)
{
  hk_rpc_reply (user, reply);
}

void
coord_on_request (struct hk_rpc_request *req, void *args, void *user)
{
  coord_request_handle (user, args, reply_rpc, req);
}

/* Requests of this process */

static void request_attempt (struct coord_request *q);

static void
request_finish (struct coord_request *q, const hk_job_request_reply *reply)
{
  hk_timer_clear (&q->timer);
  LIST_REMOVE (q, link);
  q->finished = TRUE;
  q->done (reply, q->user);
  xdr_free ((xdrproc_t)xdr_hk_job_request_args, (char *)&q->args);
  if (!q->in_flight)
    g_free (q);
}

static void
request_abandon (struct coord_request *q)
{
  hk_job_request_reply reply
      = { .outcome = HK_JOB_REQUEST_UNKNOWN, .reason = "" };

  /* An attempt in flight may have been stored by now. */
  if (!q->delivered && !q->in_flight)
    {
      reply.outcome = HK_JOB_REQUEST_REFUSED;
      reply.reason = "no coordinator can be reached";
      reply.retry_after_s = ELSEWHERE_RETRY_AFTER_S;
    }
  else
    reply.reason = "the coordinator did not answer in time";
  if (q->c->ends_requests)
    reply.reason = "this process stops";
  hk_log (HK_LOG_WARN, "ask", q->c->leader.address, q->args.id,
          "event=request_abandoned kind=%d delivered=%d "
          "after_ms=%" G_GINT64_FORMAT,
          q->args.kind, q->delivered, hk_clock_ms () - q->received_ms);
  request_finish (q, &reply);
}

static void
request_refuse (struct coord_request *q, const char *reason)
{
  hk_job_request_reply reply
      = { .outcome = HK_JOB_REQUEST_REFUSED, .reason = (char *)reason };

  request_finish (q, &reply);
}

static void
on_request_timer (void *user)
{
  struct coord_request *q = user;
  int64_t now = hk_clock_ms ();

  if (!q->encodable)
    request_refuse (q, NOT_ENCODABLE);
  else if (now >= q->deadline_ms || q->c->ends_requests
           || (!q->delivered && !q->in_flight
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
  if (reply->outcome == HK_JOB_REQUEST_NOT_LEADING)
    {
      request_timer_set (q, RETRY_MS);
      return;
    }
  request_finish (q, reply);
}

static void
on_rpc_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct coord_request *q = user;

  (void)err;
  if (rc == HK_OK)
    {
      const hk_job_request_reply *reply = result;

      /* A former leader may have stored it without a confirmation. */
      if (reply->outcome == HK_JOB_REQUEST_NOT_LEADING)
        q->delivered = TRUE;
      on_reply (reply, q);
      return;
    }
  q->in_flight = FALSE;
  if (q->finished)
    {
      g_free (q);
      return;
    }
  if (rc != HK_ERR_UNAVAILABLE)
    q->delivered = TRUE;
  request_timer_set (q, RETRY_MS);
}

static void
request_attempt (struct coord_request *q)
{
  struct hk_coord *c = q->c;
  int64_t left = q->deadline_ms - hk_clock_ms ();

  if (q->in_flight)
    {
      request_timer_set (q, left);
      return;
    }
  if (c->state == COORD_LEADING)
    {
      q->in_flight = TRUE;
      q->delivered = TRUE;
      request_timer_set (q, left);
      coord_request_handle (c, &q->args, on_reply, q);
    }
  else if (c->state == COORD_FOLLOWING && c->leader.connected
           && c->leader.channel.address)
    {
      q->in_flight = TRUE;
      request_timer_set (q, left);
      hk_rpc_call (&c->leader.channel, &request_method, &q->args,
                   MIN (left, ATTEMPT_TIMEOUT_MS), on_rpc_reply, q);
    }
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
              in->kind, size, NOT_ENCODABLE);
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

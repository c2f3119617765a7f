/* Requests about jobs, as the leader answers them. */
#include "coord.h"

/* Reason of the refusal of a submission that its cancellation overtook. */
#define CANCELLED_BEFORE "the job was cancelled before it arrived"

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

gboolean
coord_request_changes (const hk_job_request_args *args)
{
  return args->kind == HK_JOB_REQUEST_SUBMIT
         || args->kind == HK_JOB_REQUEST_CANCEL;
}

char *
coord_request_key (hk_job_request_kind kind, const char *id)
{
  return g_strconcat (kind == HK_JOB_REQUEST_CANCEL ? "cancel:" : "", id,
                      NULL);
}

void
coord_refusal_add (struct hk_coord *c, hk_job_request_kind kind,
                   const char *id)
{
  g_autofree char *key = coord_request_key (kind, id);

  hk_recent_ids_add (&c->refusals, key, hk_clock_ms ());
}

static void
refuse (struct hk_coord *c, const hk_job_request_args *args,
        hk_coord_request_done done, void *user, const char *reason,
        unsigned retry_after_s)
{
  if (coord_request_changes (args))
    coord_refusal_add (c, args->kind, args->id);
  reply_now (done, user, HK_JOB_REQUEST_REFUSED, reason, retry_after_s);
}

static void
refuse_store_failing (struct hk_coord *c, const hk_job_request_args *args,
                      hk_coord_request_done done, void *user)
{
  refuse (c, args, done, user, "the store does not answer",
          coord_isolated (c, hk_clock_ms ()) ? COORD_ELSEWHERE_RETRY_AFTER_S
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
      refuse (c, args, done, user, CANCELLED_BEFORE, 0);
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
          refuse (c, args, done, user, "no job in the question", 0);
          return;
        }
      spec = args->job.job_val;
      if (coord_store_failing (c, now))
        {
          reason = "the store does not answer";
          retry_after_s = coord_isolated (c, now)
                              ? COORD_ELSEWHERE_RETRY_AFTER_S
                              : COORD_STORE_RETRY_AFTER_S;
        }
      if (reason || !coord_admit (c, spec, &retry_after_s, &reason))
        {
          hk_log (HK_LOG_INFO, "coord", NULL, args->id,
                  "event=refused queue=%s why=\"%s\" retry_after_s=%u "
                  "attempt=%u attempt_age_ms=%u",
                  args->queue, reason, retry_after_s, args->attempt.number,
                  args->attempt.age_ms);
          refuse (c, args, done, user, reason, retry_after_s);
          return;
        }
      job = hk_engine_submit (&c->engine, spec, now, coord_wall_ms ());
      if (!job)
        {
          hk_log (HK_LOG_ERROR, "coord", NULL, args->id,
                  "event=refused queue=%s why=\"%s\"; a check where jobs "
                  "enter is missing",
                  args->queue, COORD_NOT_ENCODABLE);
          refuse (c, args, done, user, COORD_NOT_ENCODABLE, 0);
          return;
        }
      hk_log (HK_LOG_INFO, "coord", NULL, args->id,
              "event=accepted queue=%s urgency=%u steps=%u tasks=%u "
              "attempt=%u attempt_age_ms=%u",
              spec->queue, spec->urgency, spec->steps.steps_len, job->n_tasks,
              args->attempt.number, args->attempt.age_ms);
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
      refuse_store_failing (c, args, done, user);
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
      refuse (c, args, done, user, "too many unknown ids were cancelled",
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
      refuse_store_failing (c, args, done, user);
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

/* Whether a request was carried out by an earlier attempt, so that a further
   one changes nothing. */
static gboolean
is_carried_out (struct hk_coord *c, const hk_job_request_args *args)
{
  const struct hk_engine_job *job = hk_engine_job_find (&c->engine, args->id);

  return job
         && (args->kind == HK_JOB_REQUEST_SUBMIT
             || !hk_engine_job_active (job));
}

/* Whether an attempt may be carried out; if not, replies to it. Attempts may
   arrive after their sender has given them up and its client, or that of
   another process, got a refusal.

   A delayed request is older than its client waits, so another one may have
   been refused before this process led. One that is not delayed is still the
   only one that its client has open. */
static gboolean
attempt_is_due (struct hk_coord *c, const hk_job_request_args *args,
                hk_coord_request_done done, void *user)
{
  const hk_request_attempt *a = &args->attempt;
  g_autofree char *key = coord_request_key (args->kind, args->id);
  int64_t now = hk_clock_ms ();
  const char *why = NULL;

  if (a->term != c->term)
    why = "sent to the leader of another term";
  else if (now > a->expires_ms)
    why = "expired";
  else if (is_carried_out (c, args))
    return TRUE;
  else if (hk_recent_ids_added_since (&c->refusals, key, a->received_ms))
    why = "refused meanwhile";
  else if (a->delayed && a->received_ms <= c->taken_over_ms)
    why = "may have been refused by a predecessor meanwhile";
  if (!why)
    return TRUE;
  hk_metric_get ("hyssopkeel_attempts_rejected_total", "")->value++;
  hk_log (HK_LOG_INFO, "coord", NULL, args->id,
          "event=attempt_rejected kind=%d why=\"%s\" attempt=%u "
          "attempt_term=%" G_GUINT64_FORMAT " term=%" G_GUINT64_FORMAT
          " received_ms_ago=%" G_GINT64_FORMAT
          " expired_ms_ago=%" G_GINT64_FORMAT " delayed=%d",
          args->kind, why, a->number, a->term, c->term, now - a->received_ms,
          now - a->expires_ms, a->delayed);
  if (a->term == c->term && now <= a->expires_ms)
    reply_now (done, user, HK_JOB_REQUEST_REFUSED, why,
               COORD_ELSEWHERE_RETRY_AFTER_S);
  else
    reply_now (done, user, HK_JOB_REQUEST_NOT_TAKEN, why, 0);
  return FALSE;
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
      reply_now (done, user, HK_JOB_REQUEST_NOT_TAKEN, "does not lead", 0);
      return;
    }
  if (coord_request_changes (args) && !attempt_is_due (c, args, done, user))
    return;
  /* A successor may lead already: do not answer from stale state. */
  if (args->kind != HK_JOB_REQUEST_SUBMIT
      && coord_isolated (c, hk_clock_ms ()))
    {
      refuse (c, args, done, user, "this process is cut off",
              COORD_ELSEWHERE_RETRY_AFTER_S);
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

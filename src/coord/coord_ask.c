/* Questions about jobs: answered here while leading, else sent to the leader,
   and again to its successor. */
#include "coord.h"

/* A question that reached nobody is given up after this time, so that the
   caller can be told early when to come back. */
#define UNDELIVERED_MS 900
#define RETRY_MS 60
/* Longest time one try may take; a silent connection is found by then. */
#define TRY_MS 1500
/* Outages of the store take seconds. */
#define STORE_RETRY_AFTER_S 2
/* Another process can serve once the balancer has found this one out; sooner,
   the tries of a caller would all end here. */
#define ELSEWHERE_RETRY_AFTER_S 1

struct coord_question
{
  struct hk_coord *c;
  hk_ask_args args;
  int64_t asked_ms;
  int64_t deadline_ms;
  gboolean delivered;
  gboolean busy;
  gboolean over;
  struct hk_timer timer;
  hk_ask_done done;
  void *user;
  LIST_ENTRY (coord_question) link;
};

static const struct hk_rpc_method ask_method
    = { HK_COORD_ASK, (xdrproc_t)xdr_hk_ask_args, (xdrproc_t)xdr_hk_ask_reply,
        sizeof (hk_ask_reply) };

/* Waiting for commits */

static void
waiter_end (struct coord_waiter *w)
{
  LIST_REMOVE (w, link);
  w->done (&w->reply, w->user);
  g_free (w);
}

static void
release_empty (struct hk_engine_job *job)
{
  struct coord_waiters *list = job->user;

  if (list && LIST_EMPTY (list))
    {
      job->user = NULL;
      g_free (list);
    }
}

void
coord_waiters_fire (struct hk_engine_job *job)
{
  struct coord_waiters *list = job->user;
  struct coord_waiter *w;
  struct coord_waiter *next;

  if (!list)
    return;
  for (w = LIST_FIRST (list); w; w = next)
    {
      next = LIST_NEXT (w, link);
      if (w->version <= job->committed)
        waiter_end (w);
    }
  release_empty (job);
}

static void
end_all (struct hk_engine_job *job, const hk_ask_reply *reply)
{
  struct coord_waiters *list = job->user;

  if (!list)
    return;
  while (!LIST_EMPTY (list))
    {
      struct coord_waiter *w = LIST_FIRST (list);

      w->reply = *reply;
      waiter_end (w);
    }
  release_empty (job);
}

void
coord_waiters_drop (struct hk_engine_job *job)
{
  hk_ask_reply reply = { .outcome = HK_ASK_NOT_LEADING, .reason = "" };

  end_all (job, &reply);
}

/* For jobs that nobody can have stored. */
void
coord_waiters_refuse (struct hk_engine_job *job)
{
  hk_ask_reply reply = { .outcome = HK_ASK_REFUSED,
                         .reason = "the store does not answer",
                         .retry_after_s = STORE_RETRY_AFTER_S };

  end_all (job, &reply);
}

static void
wait_commit (struct hk_engine_job *job, const hk_ask_reply *reply,
             hk_ask_done done, void *user)
{
  struct coord_waiters *list = job->user;
  struct coord_waiter *w = g_new0 (struct coord_waiter, 1);

  if (!list)
    {
      list = g_new0 (struct coord_waiters, 1);
      LIST_INIT (list);
      job->user = list;
    }
  w->version = job->version;
  w->reply = *reply;
  w->done = done;
  w->user = user;
  LIST_INSERT_HEAD (list, w, link);
}

/* Answers while leading */

static void
reply_now (hk_ask_done done, void *user, hk_ask_outcome outcome,
           const char *reason, unsigned retry_after_s)
{
  hk_ask_reply reply = { .outcome = outcome,
                         .retry_after_s = retry_after_s,
                         .reason = (char *)reason };

  done (&reply, user);
}

static void
answer_submit (struct hk_coord *c, const hk_ask_args *args, hk_ask_done done,
               void *user)
{
  hk_ask_reply stored = { .outcome = HK_ASK_DONE, .reason = "" };
  struct hk_engine_job *job = hk_engine_find (&c->engine, args->id);
  const hk_job_spec *spec;
  const char *reason = NULL;
  unsigned retry_after_s = 0;
  int64_t now = hk_clock_ms ();

  if (job && job->committed > 0)
    {
      done (&stored, user);
      return;
    }
  if (!job)
    {
      if (args->job.job_len != 1)
        {
          reply_now (done, user, HK_ASK_REFUSED, "no job in the question", 0);
          return;
        }
      spec = args->job.job_val;
      if (coord_store_failing (c, now))
        {
          reason = "the store does not answer";
          retry_after_s = coord_cut_off (c, now) ? ELSEWHERE_RETRY_AFTER_S
                                                 : STORE_RETRY_AFTER_S;
        }
      if (reason || !coord_admit (c, spec, &retry_after_s, &reason))
        {
          hk_log (HK_LOG_INFO, "coord", NULL, args->id,
                  "event=refused queue=%s why=\"%s\" retry_after_s=%u",
                  args->queue, reason, retry_after_s);
          reply_now (done, user, HK_ASK_REFUSED, reason, retry_after_s);
          return;
        }
      job = hk_engine_submit (&c->engine, spec, now, coord_wall_ms ());
      hk_log (HK_LOG_INFO, "coord", NULL, args->id,
              "event=accepted queue=%s urgency=%u steps=%u tasks=%u",
              spec->queue, spec->urgency, spec->steps.steps_len, job->n_tasks);
    }
  wait_commit (job, &stored, done, user);
  coord_kick (c);
}

/* A successor may know the job: only one that certainly leads may deny it. */
static void
answer_unknown (struct hk_coord *c, hk_ask_done done, void *user)
{
  if (coord_commit_proven (c, hk_clock_ms ()))
    reply_now (done, user, HK_ASK_NOT_FOUND, "no such job", 0);
  else
    reply_now (done, user, HK_ASK_NOT_LEADING, "is not sure to lead", 0);
}

static void
answer_cancel (struct hk_coord *c, const hk_ask_args *args, hk_ask_done done,
               void *user)
{
  struct hk_engine_job *job = hk_engine_find (&c->engine, args->id);
  hk_ask_reply reply = { .outcome = HK_ASK_DONE, .reason = "" };

  if (!job)
    {
      answer_unknown (c, done, user);
      return;
    }
  if (hk_engine_wants (job) && coord_store_failing (c, hk_clock_ms ()))
    {
      reply_now (done, user, HK_ASK_REFUSED, "the store does not answer",
                 coord_cut_off (c, hk_clock_ms ()) ? ELSEWHERE_RETRY_AFTER_S
                                                   : STORE_RETRY_AFTER_S);
      return;
    }
  if (hk_engine_wants (job))
    {
      hk_log (HK_LOG_INFO, "coord", NULL, args->id,
              "event=cancelled runs=%u state=%d", job->n_runs, job->state);
      hk_engine_cancel (job, hk_clock_ms (), coord_wall_ms ());
      coord_links_answer (c);
    }
  reply.state = job->state;
  if (job->committed >= job->version)
    done (&reply, user);
  else
    wait_commit (job, &reply, done, user);
  coord_kick (c);
}

static void
answer_pending (struct hk_coord *c, const hk_ask_args *args, hk_ask_done done,
                void *user)
{
  hk_ask_reply reply = { .outcome = HK_ASK_DONE, .reason = "" };
  const struct hk_engine_job *job;

  TAILQ_FOREACH (job, &c->engine.active, link)
  if (!job->started && job->committed > 0
      && strcmp (job->spec.queue, args->queue) == 0)
    reply.pending++;
  done (&reply, user);
}

void
coord_answer_ask (struct hk_coord *c, const hk_ask_args *args,
                  hk_ask_done done, void *user)
{
  hk_ask_reply reply = { .outcome = HK_ASK_DONE, .reason = "" };
  const struct hk_engine_job *job;

  if (c->state != COORD_LEADING)
    {
      reply_now (done, user, HK_ASK_NOT_LEADING, "does not lead", 0);
      return;
    }
  /* A successor may lead by now: what is known here is not shown. */
  if (args->kind != HK_ASK_SUBMIT && coord_cut_off (c, hk_clock_ms ()))
    {
      reply_now (done, user, HK_ASK_REFUSED, "this process is cut off",
                 ELSEWHERE_RETRY_AFTER_S);
      return;
    }
  switch (args->kind)
    {
    case HK_ASK_SUBMIT:
      answer_submit (c, args, done, user);
      return;
    case HK_ASK_CANCEL:
      answer_cancel (c, args, done, user);
      return;
    case HK_ASK_PENDING:
      answer_pending (c, args, done, user);
      return;
    case HK_ASK_STATE:
    default:
      break;
    }
  job = hk_engine_find (&c->engine, args->id);
  if (!job || job->committed == 0)
    {
      answer_unknown (c, done, user);
      return;
    }
  reply.state = job->shown == HK_JOB_STATE_QUEUED && job->started
                    ? HK_JOB_STATE_RUNNING
                    : job->shown;
  done (&reply, user);
}

static void
reply_rpc (const hk_ask_reply *reply, void *user)
{
  hk_rpc_reply (user, reply);
}

void
coord_on_ask (struct hk_rpc_request *req, void *args, void *user)
{
  coord_answer_ask (user, args, reply_rpc, req);
}

/* Questions of this process */

static void try_question (struct coord_question *q);

static void
question_end (struct coord_question *q, const hk_ask_reply *reply)
{
  hk_timer_clear (&q->timer);
  LIST_REMOVE (q, link);
  q->over = TRUE;
  q->done (reply, q->user);
  xdr_free ((xdrproc_t)xdr_hk_ask_args, (char *)&q->args);
  if (!q->busy)
    g_free (q);
}

static void
give_up (struct coord_question *q)
{
  hk_ask_reply reply = { .outcome = HK_ASK_UNKNOWN, .reason = "" };

  /* A try that is still open may be stored by now. */
  if (!q->delivered && !q->busy)
    {
      reply.outcome = HK_ASK_REFUSED;
      reply.reason = "no coordinator can be reached";
      reply.retry_after_s = ELSEWHERE_RETRY_AFTER_S;
    }
  else
    reply.reason = "the coordinator did not answer in time";
  hk_log (HK_LOG_WARN, "ask", q->c->leader.address, q->args.id,
          "event=given_up kind=%d delivered=%d after_ms=%" G_GINT64_FORMAT,
          q->args.kind, q->delivered, hk_clock_ms () - q->asked_ms);
  question_end (q, &reply);
}

static void
on_timer (void *user)
{
  struct coord_question *q = user;
  int64_t now = hk_clock_ms ();

  if (now >= q->deadline_ms
      || (!q->delivered && !q->busy
          && (now - q->asked_ms >= UNDELIVERED_MS
              || coord_cut_off (q->c, now))))
    give_up (q);
  else
    try_question (q);
}

static void
arm (struct coord_question *q, int64_t delay)
{
  int64_t left = q->deadline_ms - hk_clock_ms ();

  hk_timer_set (&q->timer, MAX (MIN (delay, left), 0), on_timer, q);
}

static void
on_answer (const hk_ask_reply *reply, void *user)
{
  struct coord_question *q = user;

  q->busy = FALSE;
  if (q->over)
    {
      g_free (q);
      return;
    }
  if (reply->outcome == HK_ASK_NOT_LEADING)
    {
      arm (q, RETRY_MS);
      return;
    }
  question_end (q, reply);
}

static void
on_rpc_answer (int rc, void *result, const struct hk_error *err, void *user)
{
  struct coord_question *q = user;

  (void)err;
  if (rc == HK_OK)
    {
      const hk_ask_reply *reply = result;

      /* A predecessor may have stored what it could not confirm. */
      if (reply->outcome == HK_ASK_NOT_LEADING)
        q->delivered = TRUE;
      on_answer (reply, q);
      return;
    }
  q->busy = FALSE;
  if (q->over)
    {
      g_free (q);
      return;
    }
  if (rc != HK_ERR_UNAVAILABLE)
    q->delivered = TRUE;
  arm (q, RETRY_MS);
}

static void
try_question (struct coord_question *q)
{
  struct hk_coord *c = q->c;
  int64_t left = q->deadline_ms - hk_clock_ms ();

  if (q->busy)
    {
      arm (q, left);
      return;
    }
  if (c->state == COORD_LEADING)
    {
      q->busy = TRUE;
      q->delivered = TRUE;
      arm (q, left);
      coord_answer_ask (c, &q->args, on_answer, q);
    }
  else if (c->state == COORD_FOLLOWING && c->leader.connected
           && c->leader.channel.address)
    {
      q->busy = TRUE;
      arm (q, left);
      hk_rpc_call (&c->leader.channel, &ask_method, &q->args,
                   MIN (left, TRY_MS), on_rpc_answer, q);
    }
  else
    arm (q, RETRY_MS);
}

static void
copy_args (hk_ask_args *out, const hk_ask_args *in)
{
  size_t size = xdr_sizeof ((xdrproc_t)xdr_hk_ask_args, (void *)in);
  g_autofree char *bytes = g_malloc (size + 1);
  XDR xdr;

  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  if (!xdr_hk_ask_args (&xdr, (hk_ask_args *)in))
    return;
  xdrmem_create (&xdr, bytes, xdr_getpos (&xdr), XDR_DECODE);
  if (!xdr_hk_ask_args (&xdr, out))
    hk_log (HK_LOG_ERROR, "ask", NULL, in->id, "question does not copy");
}

static void
on_first_try (void *user)
{
  on_timer (user);
}

void
hk_coord_ask (struct hk_coord *c, const hk_ask_args *args, int64_t timeout_ms,
              hk_ask_done done, void *user)
{
  struct coord_question *q = g_new0 (struct coord_question, 1);

  q->c = c;
  q->asked_ms = hk_clock_ms ();
  q->deadline_ms = q->asked_ms + timeout_ms;
  q->done = done;
  q->user = user;
  copy_args (&q->args, args);
  LIST_INSERT_HEAD (&c->questions, q, link);
  hk_timer_set (&q->timer, 0, on_first_try, q);
}

void
coord_questions_retry (struct hk_coord *c)
{
  struct coord_question *q;

  LIST_FOREACH (q, &c->questions, link)
  if (!q->busy)
    arm (q, 0);
}

void
coord_questions_drop (struct hk_coord *c)
{
  while (!LIST_EMPTY (&c->questions))
    give_up (LIST_FIRST (&c->questions));
}

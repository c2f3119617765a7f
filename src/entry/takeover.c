/* Recovers running jobs whose holder, the agent that runs them, has failed. To
   run no task twice, a job is requeued only if its task has certainly ended:
   - the holder stopped it and wrote that to the record; or
   - a new agent attached to the same boot of the worker and took the job over.
     The worker then rejects the earlier agent, and the new one has either
     adopted the task or found that the worker does not list it; or
   - the holder's session in the store has expired, and so has the lease at the
     worker, which the holder never renews beyond its session. */
#include <string.h>

#include "job_sched.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

/* Allowance for the drift between clocks while the worker's lease runs out. */
#define CLOCK_DRIFT_MARGIN_MS 2000
/* Assumed if the duration of the holder's worker lease is not known. */
#define WORKER_LEASE_DEFAULT_MS 60000
/* An entry of the next rank waits this much longer before it requeues. */
#define RANK_DELAY_MS 1000
#define CANCEL_RESEND_MS 1000
#define CALL_TIMEOUT_MS 1500
#define REQUEUE_RETRY_MS 2000

static const struct hk_rpc_method session_gone_method
    = { HK_AGENT_SESSION_GONE, (xdrproc_t)xdr_hk_rpc_session_args,
        (xdrproc_t)xdr_hk_rpc_status_reply, sizeof (hk_rpc_status_reply) };

static const struct hk_rpc_method cancel_method
    = { HK_AGENT_CANCEL_JOB, (xdrproc_t)xdr_hk_rpc_offer_args,
        (xdrproc_t)xdr_hk_rpc_status_reply, sizeof (hk_rpc_status_reply) };

/* An expired session whose jobs are not yet requeued. */
struct expired_session
{
  struct hk_sched *sched;
  char *session;
  struct hk_timer timer;
};

/* Whether the instance of a running job is back with another boot of its
   worker. An instance that is only out of reach tells nothing of the job. */
static gboolean
worker_restarted (const struct hk_sched_job *j)
{
  GHashTableIter iter;
  gpointer value;
  gboolean restarted = FALSE;

  g_hash_table_iter_init (&iter, j->sched->entry->members.by_incarnation);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct hk_member *m = value;

      if (g_strcmp0 (m->name, j->job.instance) != 0 || !*m->boot)
        continue;
      if (g_strcmp0 (m->boot, j->job.boot) == 0)
        return FALSE;
      restarted = TRUE;
    }
  return restarted;
}

/* Other jobs of a lost worker are not suspects: a loss of power would make
   every job one. */
static void
requeue_job (struct hk_sched_job *j)
{
  gboolean crashed = j->ran_alone && worker_restarted (j);
  struct hk_job next = { 0 };
  g_autofree char *text = hk_job_write (&j->job);

  if (hk_job_parse (&next, text, strlen (text), NULL) < 0)
    return;
  hk_log (HK_LOG_WARN, "takeover", NULL, j->job.id,
          "requeueing job: holder session=%s expired, epoch=%" PRId64 "%s",
          j->job.holder, j->job.epoch,
          crashed ? ", its worker restarted and had no other job" : "");
  if (crashed)
    hk_job_add_crash (&next, j->job.instance, TRUE);
  else
    hk_job_requeue (&next);
  g_free (next.reason);
  next.reason = g_strdup (crashed ? "its holder and its worker crashed"
                                  : "its holder is gone");
  hk_sched_job_write (j, &next);
  hk_job_finish (&next);
}

static void
requeue_jobs_of_session (void *user)
{
  struct expired_session *expired = user;
  struct hk_sched *sched = expired->sched;
  g_autoptr (GList) all = g_hash_table_get_values (sched->jobs);
  gboolean jobs_remain = FALSE;

  for (GList *i = all; i; i = i->next)
    {
      struct hk_sched_job *j = i->data;

      if (j->job.state != HK_JOB_RUNNING
          || g_strcmp0 (j->job.holder, expired->session) != 0)
        continue;
      jobs_remain = TRUE;
      if (!j->call_in_flight)
        requeue_job (j);
    }
  if (jobs_remain)
    {
      hk_timer_set (&expired->timer, REQUEUE_RETRY_MS, requeue_jobs_of_session,
                    expired);
      return;
    }
  g_hash_table_remove (sched->expired_sessions, expired->session);
  g_free (expired->session);
  g_free (expired);
}

static void
on_session_gone_reply (int rc, void *result, const struct hk_error *err,
                       void *user)
{
  (void)rc;
  (void)result;
  (void)err;
  hk_member_unref (user);
}

/* Lets a holder that is still reachable drop the session at once. */
static void
notify_holder (struct hk_sched *sched, const char *session)
{
  struct hk_member *m
      = hk_members_find_by_session (&sched->entry->members, session);
  hk_rpc_session_args args = { (char *)session };

  if (m)
    hk_rpc_call (&m->channel, &session_gone_method, &args, CALL_TIMEOUT_MS,
                 on_session_gone_reply, hk_member_ref (m));
}

/* Notes it before the first of the jobs is requeued. */
static void
note_jobs_that_ran_alone (struct hk_sched *sched, const char *session)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct hk_sched_job *j = value;

      if (j->boot && g_strcmp0 (j->job.holder, session) == 0)
        j->ran_alone
            = g_hash_table_size (g_hash_table_lookup (sched->by_boot, j->boot))
              == 1;
    }
}

void
hk_sched_session_expired (struct hk_sched *sched, const char *id,
                          int64_t worker_lease_ms)
{
  int rank = hk_entry_rank (sched->entry, id);
  struct expired_session *expired;

  if (g_hash_table_contains (sched->expired_sessions, id))
    return;
  notify_holder (sched, id);
  note_jobs_that_ran_alone (sched, id);
  expired = g_new0 (struct expired_session, 1);
  expired->sched = sched;
  expired->session = g_strdup (id);
  g_hash_table_insert (sched->expired_sessions, g_strdup (id), expired);
  if (worker_lease_ms <= 0)
    worker_lease_ms = WORKER_LEASE_DEFAULT_MS;
  hk_timer_set (&expired->timer,
                worker_lease_ms + CLOCK_DRIFT_MARGIN_MS + rank * RANK_DELAY_MS,
                requeue_jobs_of_session, expired);
}

/* Cancellation */

static void send_cancel (void *user);

static void
on_cancel_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_sched_job *j = user;

  (void)rc;
  (void)result;
  (void)err;
  if (!j->deleted && j->job.state == HK_JOB_RUNNING && j->job.cancel)
    hk_timer_set (&j->cancel_timer, CANCEL_RESEND_MS, send_cancel, j);
  hk_sched_job_unref (j);
}

static void
send_cancel (void *user)
{
  struct hk_sched_job *j = user;
  struct hk_member *m
      = hk_members_find_by_session (&j->sched->entry->members, j->job.holder);
  g_autofree char *text = NULL;
  hk_rpc_offer_args args = { 0 };

  if (!m)
    {
      hk_timer_set (&j->cancel_timer, CANCEL_RESEND_MS, send_cancel, j);
      return;
    }
  text = hk_job_write (&j->job);
  args.incarnation = m->incarnation;
  args.record.record_val = text;
  args.record.record_len = (u_int)strlen (text);
  hk_rpc_call (&m->channel, &cancel_method, &args, CALL_TIMEOUT_MS,
               on_cancel_reply, hk_sched_job_ref (j));
}

void
hk_sched_forward_cancel (struct hk_sched_job *j)
{
  int rank = hk_entry_rank (j->sched->entry, j->job.id);

  hk_timer_set (&j->cancel_timer, rank * CANCEL_RESEND_MS, send_cancel, j);
}

void
hk_sched_offer_takeover (struct hk_sched *sched, struct hk_member *m)
{
  GHashTable *set = g_hash_table_lookup (sched->by_boot, m->boot);
  GHashTableIter iter;
  gpointer key;

  if (!set || !*m->session || m->load.refusing)
    return;
  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct hk_sched_job *j = key;

      if (j->call_in_flight || j->not_before_ms > hk_clock_ms ()
          || g_strcmp0 (j->job.holder, m->session) == 0)
        continue;
      hk_sched_job_offer (j, m);
    }
}

/* Claim of a job for the session of this agent, at first and again for a new
   session, and the take-over of a task that the worker already has. */
#include "job_run.h"

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "job_record.h"
#include "job_run_priv.h"

static void write_claim (struct hk_agent_job *j);

static void
reply_to_offer (struct hk_agent_job *j, int status, const char *reason)
{
  hk_rpc_status_reply reply = { .status = status, .reason = (char *)reason };

  if (!j->offer_call)
    return;
  hk_agent_load_get (hk_job_run_agent (j), &reply.load);
  hk_rpc_reply (j->offer_call, &reply);
  j->offer_call = NULL;
}

void
hk_job_run_abandon (struct hk_agent_job *j)
{
  hk_log (HK_LOG_WARN, "jobs", NULL, j->job.id,
          "claim superseded in the store, removing the task from the worker "
          "epoch=%" PRId64,
          j->job.epoch);
  hk_job_run_discard (j);
}

gboolean
hk_job_run_held (const struct hk_agent_job *j)
{
  const struct hk_session *s = &hk_job_run_agent (j)->session;

  return s->id && g_strcmp0 (j->job.holder, s->id) == 0
         && hk_session_valid_until (s) > hk_clock_ms ();
}

int64_t
hk_job_run_lease_expiry (const struct hk_agent *agent)
{
  return MIN (hk_clock_ms () + agent->settings->worker_lease_ms,
              hk_session_valid_until (&agent->session));
}

static void
on_adopted (int rc, json_object *reply, const struct hk_error *err, void *user)
{
  struct hk_agent_job *j = user;

  (void)reply;
  if (!hk_job_run_finish_call (j, HK_PHASE_START))
    return;
  if (rc == HK_ERR_NOT_FOUND)
    {
      hk_job_run_start (j);
      return;
    }
  if (rc < 0)
    hk_log_error ("jobs", j->job.id, err);
  j->phase = HK_PHASE_RUN;
}

static void
adopt_task (struct hk_agent_job *j, int64_t previous_epoch)
{
  g_autofree char *path = g_strdup_printf ("/tasks/%s/adopt", j->job.id);
  json_object *body = json_object_new_object ();

  json_object_object_add (body, "epoch",
                          json_object_new_int64 (previous_epoch));
  json_object_object_add (body, "new_epoch",
                          json_object_new_int64 (j->job.epoch));
  json_object_object_add (
      body, "expires_ms",
      json_object_new_int64 (hk_job_run_lease_expiry (hk_job_run_agent (j))));
  j->phase = HK_PHASE_START;
  hk_job_run_call_worker (j, path, body, on_adopted);
}

static void
continue_after_claim (struct hk_agent_job *j, int64_t previous_epoch)
{
  if (!hk_job_run_held (j))
    j->phase = HK_PHASE_RUN; /* the next renewal claims it again */
  else if (j->owner->draining || j->job.cancel)
    {
      j->phase = HK_PHASE_RUN;
      hk_job_run_stop (j, "instance is leaving", FALSE);
    }
  else if (j->on_worker)
    adopt_task (j, previous_epoch);
  else
    hk_job_run_start (j);
}

static void
retry_claim (void *user)
{
  write_claim (user);
}

static void
on_claimed (int rc, const struct hk_store_kv *current,
            const struct hk_error *err, void *user)
{
  struct hk_agent_job *j = user;
  int64_t previous_epoch = j->job.epoch;
  gboolean first_claim = j->phase == HK_PHASE_CLAIM;

  if (rc == HK_OK
      || (rc == HK_ERR_CONFLICT && hk_job_claim_committed (j, current)))
    {
      hk_job_commit_next (j, current->mod_revision);
      reply_to_offer (j, HK_OK, "");
      continue_after_claim (j, previous_epoch);
      return;
    }
  reply_to_offer (j, rc, err->text);
  if (rc == HK_ERR_CONFLICT && !first_claim && hk_job_claim_valid (j, current))
    write_claim (j);
  else if (rc == HK_ERR_CONFLICT && !first_claim)
    hk_job_run_abandon (j);
  else if (rc == HK_ERR_CONFLICT || (rc == HK_ERR_UNAVAILABLE && first_claim))
    hk_job_run_free (j);
  else
    {
      /* The outcome is unknown; the same write is repeated until it is
         known. */
      hk_log_error ("jobs", j->job.id, err);
      hk_timer_set (&j->retry_timer, HK_JOB_RETRY_MS, retry_claim, j);
    }
}

static void
write_claim (struct hk_agent_job *j)
{
  struct hk_agent *agent = hk_job_run_agent (j);

  if (!j->write_id)
    {
      if (!agent->session.id)
        {
          hk_timer_set (&j->retry_timer, HK_JOB_RETRY_MS, retry_claim, j);
          return;
        }
      hk_job_copy (&j->next, &j->job);
      hk_job_set_state (&j->next, HK_JOB_RUNNING);
      j->next.epoch = j->job.epoch + 1;
      hk_job_run_set_text (&j->next.holder, agent->session.id);
      hk_job_run_set_text (&j->next.instance, agent->settings->name);
      hk_job_run_set_text (&j->next.boot, agent->link.boot);
      j->next.worker_lease_ms = agent->settings->worker_lease_ms;
      if (j->next.started_ms == 0)
        j->next.started_ms = g_get_real_time () / 1000;
    }
  hk_job_store_next (j, on_claimed);
}

void
hk_job_run_claim (struct hk_agent_job *j)
{
  j->phase = HK_PHASE_CLAIM;
  write_claim (j);
}

void
hk_job_run_claim_again (struct hk_agent_job *j)
{
  const struct hk_session *s = &hk_job_run_agent (j)->session;

  if (j->write_id || !s->id || hk_session_valid_until (s) <= hk_clock_ms ())
    return;
  hk_log (HK_LOG_INFO, "jobs", NULL, j->job.id,
          "claiming the job again for the new session=%s", s->id);
  j->phase = HK_PHASE_RECLAIM;
  write_claim (j);
}

void
hk_job_run_adopt (struct hk_agent_job *j, json_object *task)
{
  j->on_worker = TRUE;
  j->may_have_run = TRUE;
  j->phase = HK_PHASE_RUN;
  hk_job_run_state_update (j, task);
}

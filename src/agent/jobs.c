/* Jobs held by this instance: offers from entries, renewal of the worker
   leases and the task states that each renewal returns.

   A lease is never renewed past the session in the store, so that no task runs
   on while another agent may already claim its job. */
#include <string.h>

#include "agent.h"
#include "eviction.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "job_run.h"

/* Renewal interval while nothing runs; it still detects a worker restart. */
#define RENEW_IDLE_MS 1000
#define RENEWALS_PER_LEASE 4
#define RENEW_MAX_MS 500
/* Time allowed for writing a claim: offers are refused if the session is
   certain to be valid for less than this. */
#define CLAIM_MARGIN_MS 2000

static void on_renew_timer (void *user);

struct hk_agent_job *
hk_agent_jobs_find (struct hk_agent_jobs *j, const char *id)
{
  struct hk_agent_job *job;

  TAILQ_FOREACH (job, &j->list, link)
  if (strcmp (job->job.id, id) == 0)
    return job;
  return NULL;
}

static struct hk_size
job_size (const struct hk_job *job)
{
  return (struct hk_size){ 1, job->cpu_milli, job->memory_mb,
                           job->accelerators };
}

/* Renewal */

static json_object *
find_listed_task (json_object *list, const char *id)
{
  for (size_t i = 0; list && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);

      if (g_strcmp0 (hk_json_str (item, "id"), id) == 0)
        return item;
    }
  return NULL;
}

static void
update_listed_jobs (struct hk_agent_jobs *j, json_object *list)
{
  struct hk_agent_job *job;
  struct hk_agent_job *next;

  for (job = TAILQ_FIRST (&j->list); job; job = next)
    {
      next = TAILQ_NEXT (job, link);
      hk_job_run_state_update (job, find_listed_task (list, job->job.id));
    }
}

/* Removes tasks that the worker lists and no held job or adoption covers. */
static void
remove_orphans (struct hk_agent_jobs *j, json_object *list)
{
  for (size_t i = 0; list && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      const char *id = hk_json_str (item, "id");

      if (id && !hk_agent_jobs_find (j, id)
          && !g_hash_table_contains (j->adopting_ids, id))
        hk_job_run_orphan_remove (j, id, hk_json_int (item, "epoch"));
    }
}

static void
on_renewed (int rc, json_object *reply, const struct hk_error *err, void *user)
{
  struct hk_agent_jobs *j = user;
  json_object *list = NULL;

  j->renewal_in_flight = FALSE;
  if (!j->task.running || !j->agent->link.ready)
    return;
  if (rc == HK_ERR_CONFLICT || rc == HK_ERR_NOT_FOUND)
    {
      hk_agent_worker_detached (j->agent, rc);
      return;
    }
  if (rc < 0)
    {
      hk_log_error ("jobs", NULL, err);
      return;
    }
  json_object_object_get_ex (reply, "tasks", &list);
  hk_agent_link_total_update (&j->agent->link, reply);
  hk_agent_link_requests_update (&j->agent->link, reply);
  remove_orphans (j, list);
  update_listed_jobs (j, list);
}

/* Renews only tasks claimed under the current session, and never past the time
   until which that session is certain to be valid. */
static json_object *
new_renewal_body (struct hk_agent_jobs *j)
{
  const struct hk_session *s = &j->agent->session;
  json_object *body = json_object_new_object ();
  json_object *list = json_object_new_array ();
  const struct hk_agent_job *job;
  int64_t now = hk_clock_ms ();
  int64_t until = hk_session_valid_until (s);

  TAILQ_FOREACH (job, &j->list, link)
  {
    json_object *item;

    if (job->phase != HK_PHASE_RUN || until <= now
        || g_strcmp0 (job->job.holder, s->id) != 0)
      continue;
    item = json_object_new_object ();
    json_object_object_add (item, "id", json_object_new_string (job->job.id));
    json_object_object_add (item, "epoch",
                            json_object_new_int64 (job->job.epoch));
    json_object_array_add (list, item);
  }
  json_object_object_add (
      body, "expires_ms",
      json_object_new_int64 (
          MIN (now + j->agent->settings->worker_lease_ms, until)));
  json_object_object_add (body, "tasks", list);
  return body;
}

static void
send_renewal (struct hk_agent_jobs *j)
{
  if (j->renewal_in_flight || !j->agent->link.ready)
    return;
  j->renewal_in_flight = TRUE;
  j->agent->worker->ops->call (j->agent->worker, "/renew",
                               new_renewal_body (j), on_renewed, j);
}

static void
on_renew_timer (void *user)
{
  struct hk_agent_jobs *j = user;
  int64_t active_interval_ms = MIN (
      j->agent->settings->worker_lease_ms / RENEWALS_PER_LEASE, RENEW_MAX_MS);
  gboolean active
      = j->n_jobs > 0
        || g_hash_table_size (j->agent->link.predecessor_requests) > 0;

  hk_timer_set (&j->renew_timer, active ? active_interval_ms : RENEW_IDLE_MS,
                on_renew_timer, j);
  send_renewal (j);
  hk_eviction_relieve_interactive (j);
  if (j->agent->draining)
    hk_eviction_stop_all (j);
  else if (hk_eviction_needed (j))
    hk_eviction_evict_one (j, "its slot belongs to another route");
}

/* Offers */

static void
reply_status (struct hk_agent_jobs *j, struct hk_rpc_request *rpc, int status,
              const char *reason)
{
  hk_rpc_status_reply reply = { .status = status, .reason = (char *)reason };

  hk_agent_load_get (j->agent, &reply.load);
  hk_rpc_reply (rpc, &reply);
}

/* A running job of a predecessor session on the same worker boot may be
   claimed if the worker did not list its task: the listing was made after the
   worker had detached the predecessor, so the task cannot be running. */
static gboolean
claim_allowed (const struct hk_agent_jobs *j, const struct hk_job *job)
{
  if (job->state == HK_JOB_QUEUED)
    return TRUE;
  return job->state == HK_JOB_RUNNING
         && g_strcmp0 (job->boot, j->agent->link.boot) == 0
         && g_strcmp0 (job->holder, j->agent->session.id) != 0;
}

static const char *
offer_refusal_reason (struct hk_agent_jobs *j, const hk_rpc_offer_args *args)
{
  const struct hk_session *s = &j->agent->session;

  if (strcmp (args->incarnation, j->agent->incarnation) != 0)
    return "meant for an earlier incarnation";
  if (j->agent->draining)
    return "instance is leaving";
  if (!j->agent->link.ready)
    return "worker is not ready";
  if (hk_session_valid_until (s) < hk_clock_ms () + CLAIM_MARGIN_MS)
    return "no session in the store";
  return NULL;
}

gboolean
hk_agent_jobs_suspect_held (const struct hk_agent_jobs *j)
{
  const struct hk_agent_job *held;

  TAILQ_FOREACH (held, &j->list, link)
  if (hk_job_is_suspect (&held->job))
    return TRUE;
  return FALSE;
}

/* Whether the job, or one that is held, must not run beside others. */
static gboolean
must_run_apart (const struct hk_agent_jobs *j, const struct hk_job *job)
{
  return hk_agent_jobs_suspect_held (j)
         || (hk_job_is_suspect (job)
             && (j->n_jobs > 0 || g_hash_table_size (j->adopting_ids) > 0));
}

static void
accept_offer (struct hk_agent_jobs *j, struct hk_rpc_request *rpc,
              struct hk_job *job)
{
  struct hk_size size = job_size (job);
  struct hk_route_limit *row
      = hk_capacity_route_limit (&j->agent->capacity, job->route);
  struct hk_agent_job *held;

  if (must_run_apart (j, job))
    {
      reply_status (j, rpc, HK_ERR_FULL,
                    "a worker crashed under the job or "
                    "under one that is held here");
      return;
    }
  if (hk_capacity_book (&j->agent->capacity, job->route, &size, hk_clock_ms ())
      < 0)
    {
      if (row && row->running < row->floor)
        hk_eviction_evict_one (j, "its slot belongs to another route");
      reply_status (j, rpc, HK_ERR_FULL, "does not fit now");
      return;
    }
  held = hk_job_run_new (j, job, &size);
  held->offer_call = rpc;
  hk_job_run_claim (held);
}

void
hk_agent_jobs_offer (struct hk_agent_jobs *j, struct hk_rpc_request *rpc,
                     hk_rpc_offer_args *args)
{
  const char *refusal = offer_refusal_reason (j, args);
  struct hk_error err = { 0 };
  struct hk_job job = { 0 };

  if (refusal)
    {
      reply_status (j, rpc, HK_ERR_STOPPED, refusal);
      return;
    }
  if (hk_job_parse (&job, args->record.record_val, args->record.record_len,
                    &err)
      < 0)
    {
      reply_status (j, rpc, HK_ERR_INVALID, err.text);
      return;
    }
  job.mod_revision = args->mod_revision;
  if (hk_agent_jobs_find (j, job.id)
      || g_hash_table_contains (j->adopting_ids, job.id)
      || !claim_allowed (j, &job))
    reply_status (j, rpc, HK_ERR_CONFLICT, "already held");
  else
    accept_offer (j, rpc, &job);
  hk_job_finish (&job);
}

void
hk_agent_jobs_cancel (struct hk_agent_jobs *j, struct hk_rpc_request *rpc,
                      hk_rpc_offer_args *args)
{
  struct hk_job job = { 0 };
  struct hk_agent_job *held = NULL;

  if (hk_job_parse (&job, args->record.record_val, args->record.record_len,
                    NULL)
      == HK_OK)
    held = hk_agent_jobs_find (j, job.id);
  if (!held)
    reply_status (j, rpc, HK_ERR_NOT_FOUND, "not held here");
  else
    {
      held->job.cancel = TRUE;
      hk_job_run_stop (held, "cancelled", FALSE);
      reply_status (j, rpc, HK_OK, "");
    }
  hk_job_finish (&job);
}

void
hk_agent_jobs_worker_restarted (struct hk_agent_jobs *j)
{
  struct hk_agent_job *job;
  struct hk_agent_job *next;
  int n_on_worker = 0;

  TAILQ_FOREACH (job, &j->list, link)
  n_on_worker
      += job->on_worker && job->may_have_run && job->phase <= HK_PHASE_STOP;
  for (job = TAILQ_FIRST (&j->list); job; job = next)
    {
      next = TAILQ_NEXT (job, link);
      hk_job_run_worker_crashed (job, n_on_worker == 1);
    }
}

/* Task */

static void
jobs_receive (struct hk_task *task, struct hk_msg *msg)
{
  struct hk_agent_jobs *j = (struct hk_agent_jobs *)task;

  if (msg->type == HK_MSG_EVICTION_NEEDED && hk_eviction_needed (j))
    hk_eviction_evict_one (j, "its slot belongs to another route");
  if (j->task.running)
    hk_timer_set (&j->renew_timer, 0, on_renew_timer, j);
  g_free (msg);
}

static int
jobs_start (struct hk_task *task, struct hk_error *err)
{
  struct hk_agent_jobs *j = (struct hk_agent_jobs *)task;

  (void)err;
  hk_timer_set (&j->renew_timer, 0, on_renew_timer, j);
  return HK_OK;
}

static void
jobs_drain (struct hk_task *task)
{
  struct hk_agent_jobs *j = (struct hk_agent_jobs *)task;

  j->draining = TRUE;
  if (j->n_jobs == 0)
    hk_task_drained (task);
  else
    hk_eviction_stop_all (j);
}

static void
jobs_stop (struct hk_task *task)
{
  struct hk_agent_jobs *j = (struct hk_agent_jobs *)task;

  hk_timer_clear (&j->renew_timer);
}

static const struct hk_task_ops jobs_ops = { .name = "jobs",
                                             .start = jobs_start,
                                             .drain = jobs_drain,
                                             .stop = jobs_stop,
                                             .receive = jobs_receive };

void
hk_agent_jobs_init (struct hk_agent_jobs *j, struct hk_agent *agent)
{
  hk_task_init (&j->task, &jobs_ops);
  j->agent = agent;
  j->throttle_percent = 100;
  j->adopting_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  TAILQ_INIT (&j->list);
}

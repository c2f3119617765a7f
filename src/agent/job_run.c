/* Run of a claimed job on this instance, from the start of its task to the
   record of its outcome.

   Every write to the record is conditional on the revision last seen, so an
   agent that was paused or partitioned cannot overwrite a newer claim. The
   worker lease of a task is renewed only in HK_PHASE_RUN; in every other phase
   it expires by itself. */
#include "job_run.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "job_record.h"
#include "job_run_priv.h"

/* Consecutive listings without the task after which it counts as lost. */
#define MISSED_LISTINGS_MAX 2

static void stop_task (void *user);

struct hk_agent *
hk_job_run_agent (const struct hk_agent_job *j)
{
  return j->owner->agent;
}

void
hk_job_run_set_text (char **slot, const char *text)
{
  g_free (*slot);
  *slot = g_strdup (text);
}

struct hk_agent_job *
hk_job_run_new (struct hk_agent_jobs *owner, struct hk_job *job,
                const struct hk_size *size)
{
  struct hk_agent_job *j = g_new0 (struct hk_agent_job, 1);

  j->owner = owner;
  j->job = *job;
  memset (job, 0, sizeof *job);
  j->route = g_intern_string (j->job.route);
  j->size = *size;
  j->started_ms = hk_clock_ms ();
  j->checkpoint_at_ms = j->started_ms + owner->agent->settings->checkpoint_ms;
  TAILQ_INSERT_TAIL (&owner->list, j, link);
  owner->n_jobs++;
  return j;
}

static void
release_booking (struct hk_agent_job *j)
{
  if (j->size.slots == 0)
    return;
  hk_capacity_release (&hk_job_run_agent (j)->capacity, j->route, &j->size,
                       hk_clock_ms ());
  j->size = (struct hk_size){ 0 };
  hk_agent_notify (&hk_job_run_agent (j)->requests.task,
                   HK_MSG_CAPACITY_FREED);
}

void
hk_job_run_free (struct hk_agent_job *j)
{
  struct hk_agent_jobs *owner = j->owner;

  release_booking (j);
  hk_timer_clear (&j->retry_timer);
  TAILQ_REMOVE (&owner->list, j, link);
  owner->n_jobs--;
  hk_job_finish (&j->job);
  hk_job_finish (&j->next);
  g_free (j->write_id);
  g_free (j);
  if (owner->draining && owner->n_jobs == 0)
    hk_task_drained (&owner->task);
}

void
hk_job_run_call_worker (struct hk_agent_job *j, const char *path,
                        json_object *body, hk_worker_call_done done)
{
  struct hk_worker *worker = hk_job_run_agent (j)->worker;

  j->call_in_flight = TRUE;
  worker->ops->call (worker, path, body, done, j);
}

gboolean
hk_job_run_finish_call (struct hk_agent_job *j, enum hk_job_phase phase)
{
  j->call_in_flight = FALSE;
  if (j->discard_pending)
    {
      hk_job_run_discard (j);
      return FALSE;
    }
  return j->phase == phase;
}

/* Outcome */

static void
on_outcome_written (int rc, const struct hk_store_kv *current,
                    const struct hk_error *err, void *user)
{
  struct hk_agent_job *j = user;

  if (rc == HK_OK)
    {
      hk_log (HK_LOG_INFO, "jobs", NULL, j->job.id,
              "outcome recorded state=%s epoch=%" PRId64, j->next.state_name,
              j->next.epoch);
      hk_job_commit_next (j, current->mod_revision);
      hk_job_run_discard (j);
    }
  else if (rc == HK_ERR_CONFLICT && hk_job_claim_valid (j, current))
    hk_job_run_write_outcome (j);
  else if (rc == HK_ERR_CONFLICT)
    hk_job_run_abandon (j);
  else
    {
      hk_log_error ("jobs", j->job.id, err);
      hk_timer_set (&j->retry_timer, HK_JOB_RETRY_MS, hk_job_run_write_outcome,
                    j);
    }
}

void
hk_job_run_write_outcome (void *user)
{
  struct hk_agent_job *j = user;

  if (!j->write_id)
    hk_job_next_from_outcome (j);
  hk_job_store_next (j, on_outcome_written);
}

/* Records the outcome of a task that no longer runs. A checkpoint write in
   flight completes first and then triggers the write of the outcome. */
static void
record_task_end (struct hk_agent_job *j, enum hk_job_outcome outcome)
{
  j->outcome = outcome;
  j->phase = HK_PHASE_RECORD;
  release_booking (j);
  if (!j->write_id)
    hk_job_run_write_outcome (j);
}

/* Start */

static void
on_started (int rc, json_object *reply, const struct hk_error *err, void *user)
{
  struct hk_agent_job *j = user;

  (void)reply;
  if (!hk_job_run_finish_call (j, HK_PHASE_START))
    return;
  j->phase = HK_PHASE_RUN;
  if (rc == HK_ERR_STOPPED)
    {
      /* The lease had expired on arrival, e.g. as this agent was paused; the
         next renewal claims the job again. */
      j->on_worker = FALSE;
      return;
    }
  if (rc == HK_ERR_INVALID)
    {
      hk_log_error ("jobs", j->job.id, err);
      hk_job_run_set_text (&j->job.reason, err->text);
      record_task_end (j, HK_JOB_OUTCOME_FAILED);
      return;
    }
  j->may_have_run = rc != HK_ERR_UNAVAILABLE;
  if (rc < 0)
    hk_log_error ("jobs", j->job.id, err);
  hk_log (HK_LOG_INFO, "jobs", NULL, j->job.id,
          "task sent to the worker epoch=%" PRId64, j->job.epoch);
  if (j->owner->draining || j->job.cancel)
    hk_job_run_stop (j, "instance is leaving", FALSE);
  else if (j->owner->throttle_percent < 100)
    hk_job_run_throttle (j, j->owner->throttle_percent);
}

void
hk_job_run_start (struct hk_agent_job *j)
{
  struct hk_agent *agent = hk_job_run_agent (j);
  json_object *body = json_object_new_object ();

#define ADD_INT(name, value)                                                  \
  json_object_object_add (body, name, json_object_new_int64 (value))
#define ADD_STR(name, value)                                                  \
  json_object_object_add (body, name,                                         \
                          json_object_new_string ((value) ? (value) : ""))
  ADD_STR ("id", j->job.id);
  ADD_STR ("route", j->job.route);
  ADD_STR ("payload", j->job.payload);
  ADD_STR ("checkpoint", j->job.checkpoint);
  ADD_INT ("epoch", j->job.epoch);
  ADD_INT ("expires_ms", hk_job_run_lease_expiry (agent));
  ADD_INT ("cpu_milli", j->size.cpu_milli);
  ADD_INT ("memory_mb", j->size.memory_mb);
  ADD_INT ("accelerators", j->size.accelerators);
#undef ADD_INT
#undef ADD_STR
  j->phase = HK_PHASE_START;
  j->on_worker = TRUE;
  j->may_have_run = TRUE;
  j->missed_listings = 0;
  hk_job_run_call_worker (j, "/tasks", body, on_started);
}

/* Stop */

static json_object *
new_epoch_body (int64_t epoch)
{
  json_object *body = json_object_new_object ();

  json_object_object_add (body, "epoch", json_object_new_int64 (epoch));
  return body;
}

static void
copy_checkpoint (struct hk_agent_job *j, json_object *task)
{
  const char *checkpoint = hk_json_str (task, "checkpoint");

  if (checkpoint)
    hk_job_run_set_text (&j->job.checkpoint, checkpoint);
}

static void
record_end_by_state (struct hk_agent_job *j, json_object *task)
{
  const char *state = hk_json_str (task, "state");

  copy_checkpoint (j, task);
  if (g_strcmp0 (state, "done") == 0)
    {
      hk_job_run_set_text (&j->job.result, hk_json_str (task, "result"));
      record_task_end (j, HK_JOB_OUTCOME_DONE);
    }
  else if (g_strcmp0 (state, "failed") == 0)
    {
      hk_job_run_set_text (&j->job.reason, "task failed");
      record_task_end (j, HK_JOB_OUTCOME_FAILED);
    }
  else
    record_task_end (j, HK_JOB_OUTCOME_REQUEUE);
}

static void
on_stopped (int rc, json_object *reply, const struct hk_error *err, void *user)
{
  struct hk_agent_job *j = user;

  if (!hk_job_run_finish_call (j, HK_PHASE_STOP))
    return;
  if (rc == HK_OK)
    record_end_by_state (j, reply);
  else if (rc == HK_ERR_NOT_FOUND)
    record_task_end (j, HK_JOB_OUTCOME_REQUEUE);
  else
    {
      hk_log_error ("jobs", j->job.id, err);
      hk_timer_set (&j->retry_timer, HK_JOB_RETRY_MS, stop_task, j);
    }
}

static void
stop_task (void *user)
{
  struct hk_agent_job *j = user;
  g_autofree char *path = g_strdup_printf ("/tasks/%s/stop", j->job.id);

  hk_job_run_call_worker (j, path, new_epoch_body (j->job.epoch), on_stopped);
}

void
hk_job_run_stop (struct hk_agent_job *j, const char *reason, gboolean evicted)
{
  if (j->phase != HK_PHASE_RUN)
    return; /* a claim or start in flight checks for a stop when it ends */
  hk_job_run_set_text (&j->job.reason, reason);
  j->evicted = evicted;
  j->phase = HK_PHASE_STOP;
  hk_log (HK_LOG_INFO, "jobs", NULL, j->job.id, "stopping the task: %s",
          reason);
  if (j->on_worker)
    stop_task (j);
  else
    record_task_end (j, HK_JOB_OUTCOME_REQUEUE);
}

/* Removal from the worker */

static void
on_discarded (int rc, json_object *reply, const struct hk_error *err,
              void *user)
{
  struct hk_agent_job *j = user;

  (void)reply;
  (void)err;
  j->call_in_flight = FALSE;
  if (rc == HK_OK || rc == HK_ERR_NOT_FOUND || rc == HK_ERR_INVALID)
    hk_job_run_free (j);
  else
    hk_timer_set (&j->retry_timer, HK_JOB_RETRY_MS, hk_job_run_discard, j);
}

void
hk_job_run_discard (void *user)
{
  struct hk_agent_job *j = user;
  g_autofree char *path = g_strdup_printf ("/tasks/%s/forget", j->job.id);

  j->phase = HK_PHASE_DISCARD;
  if (j->call_in_flight)
    j->discard_pending = TRUE;
  else if (j->on_worker)
    hk_job_run_call_worker (j, path, new_epoch_body (j->job.epoch),
                            on_discarded);
  else
    hk_job_run_free (j);
}

static void
ignore_reply (int rc, json_object *reply, const struct hk_error *err,
              void *user)
{
  (void)rc;
  (void)reply;
  (void)err;
  (void)user;
}

void
hk_job_run_orphan_remove (struct hk_agent_jobs *owner, const char *id,
                          int64_t epoch)
{
  g_autofree char *path = g_strdup_printf ("/tasks/%s/forget", id);
  struct hk_worker *worker = owner->agent->worker;

  worker->ops->call (worker, path, new_epoch_body (epoch), ignore_reply, NULL);
}

void
hk_job_run_throttle (struct hk_agent_job *j, int64_t percent)
{
  g_autofree char *path = g_strdup_printf ("/tasks/%s/throttle", j->job.id);
  struct hk_worker *worker = hk_job_run_agent (j)->worker;
  json_object *body = new_epoch_body (j->job.epoch);

  if (j->phase != HK_PHASE_RUN || !j->on_worker)
    {
      json_object_put (body);
      return;
    }
  json_object_object_add (body, "percent", json_object_new_int64 (percent));
  worker->ops->call (worker, path, body, ignore_reply, NULL);
}

/* Task states reported by the worker */

/* Books the memory that the task uses beyond its declared size. If it does not
   fit, the task is evicted and the job requeued with the measured size. */
static void
book_excess_memory (struct hk_agent_job *j, json_object *task)
{
  struct hk_ledger *ledger = &hk_job_run_agent (j)->capacity.ledger;
  int64_t used = hk_json_int (task, "used_memory_mb");
  struct hk_size extra = { .memory_mb = used - j->size.memory_mb };

  if (extra.memory_mb <= 0)
    return;
  j->job.memory_mb = hk_size_learned_memory (used, ledger->total.memory_mb);
  if (hk_ledger_book (ledger, &extra) == HK_OK)
    j->size.memory_mb = used;
  else
    hk_job_run_stop (j, "uses more memory than was declared", TRUE);
}

void
hk_job_run_state_update (struct hk_agent_job *j, json_object *task)
{
  const char *state = hk_json_str (task, "state");

  if (j->phase != HK_PHASE_RUN)
    return;
  if (!j->on_worker)
    {
      hk_job_run_claim_again (j);
      return;
    }
  if (!task)
    {
      if (++j->missed_listings >= MISSED_LISTINGS_MAX)
        hk_job_run_task_lost (j);
      return;
    }
  j->missed_listings = 0;
  if (g_strcmp0 (state, "running") == 0 && hk_job_run_held (j))
    {
      copy_checkpoint (j, task);
      book_excess_memory (j, task);
      if (j->phase == HK_PHASE_RUN)
        hk_job_run_write_checkpoint (j);
    }
  else if (g_strcmp0 (state, "suspended") == 0
           || g_strcmp0 (state, "running") == 0)
    hk_job_run_claim_again (j);
  else
    record_end_by_state (j, task);
}

void
hk_job_run_task_lost (struct hk_agent_job *j)
{
  /* The next boot of the worker may still carry out a start in flight. */
  j->on_worker = j->phase == HK_PHASE_START && j->call_in_flight;
  if (j->phase != HK_PHASE_RUN && j->phase != HK_PHASE_STOP)
    return;
  hk_job_run_set_text (&j->job.reason, "worker lost the task");
  record_task_end (j, HK_JOB_OUTCOME_REQUEUE);
}

void
hk_job_run_worker_crashed (struct hk_agent_job *j, gboolean alone)
{
  if (!j->may_have_run
      || (j->phase != HK_PHASE_RUN && j->phase != HK_PHASE_STOP))
    {
      hk_job_run_task_lost (j);
      return;
    }
  hk_log (HK_LOG_WARN, "jobs", NULL, j->job.id,
          "worker crashed while it had the task epoch=%" PRId64 " %s",
          j->job.epoch,
          alone ? "and no other: counted as a failure of the job"
                : "and others: the job is to run alone");
  j->on_worker = FALSE;
  j->crashed_alone = alone;
  hk_job_run_set_text (&j->job.reason, "worker crashed while it had the task");
  record_task_end (j, HK_JOB_OUTCOME_CRASHED);
}

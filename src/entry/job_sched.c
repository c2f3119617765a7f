/* Job scheduler of an entry: an index of all job records in the store, by
   state. It changes a job only by an offer or a conditional write, so several
   entries may act on the same job at once; delays by rank keep that rare. */
#include "job_sched.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

#define SWEEP_INTERVAL_MS 60000
#define ENDED_JOB_RETENTION_MS (24 * 3600 * 1000LL)

struct hk_sched_queue *
hk_sched_queue_get (struct hk_sched *sched, const char *route)
{
  struct hk_sched_queue *q = g_hash_table_lookup (sched->queues, route);

  if (q)
    return q;
  q = g_new0 (struct hk_sched_queue, 1);
  q->route = g_strdup (route);
  TAILQ_INIT (&q->jobs);
  g_hash_table_insert (sched->queues, q->route, q);
  return q;
}

static char *
team_key (const struct hk_sched *sched, const struct hk_job *job)
{
  const struct hk_route *route
      = hk_tables_route (&sched->entry->tables, job->route);

  if (!job->team || !route)
    return NULL;
  return g_strconcat (route->pool, "/", job->team, NULL);
}

int64_t
hk_sched_running_count (const struct hk_sched *sched, const struct hk_job *job)
{
  g_autofree char *key = team_key (sched, job);

  return key ? GPOINTER_TO_INT (
             g_hash_table_lookup (sched->running_by_team, key))
             : 0;
}

/* The key is stored in the job, since the route's pool may change before the
   job leaves the count. */
static void
add_to_team_count (struct hk_sched *sched, struct hk_sched_job *j)
{
  int n;

  j->team_key = team_key (sched, &j->job);
  if (!j->team_key)
    return;
  n = GPOINTER_TO_INT (
      g_hash_table_lookup (sched->running_by_team, j->team_key));
  g_hash_table_replace (sched->running_by_team, g_strdup (j->team_key),
                        GINT_TO_POINTER (n + 1));
}

static void
remove_from_team_count (struct hk_sched *sched, struct hk_sched_job *j)
{
  int n;

  if (!j->team_key)
    return;
  n = GPOINTER_TO_INT (
      g_hash_table_lookup (sched->running_by_team, j->team_key));
  if (n > 1)
    g_hash_table_replace (sched->running_by_team, g_strdup (j->team_key),
                          GINT_TO_POINTER (n - 1));
  else
    g_hash_table_remove (sched->running_by_team, j->team_key);
  g_clear_pointer (&j->team_key, g_free);
}

static GHashTable *
boot_set (struct hk_sched *sched, const char *boot)
{
  GHashTable *set = g_hash_table_lookup (sched->by_boot, boot);

  if (!set)
    {
      set = g_hash_table_new (NULL, NULL);
      g_hash_table_insert (sched->by_boot, g_strdup (boot), set);
    }
  return set;
}

/* Removes a job from the index of its current state. */
static void
unindex_job (struct hk_sched *sched, struct hk_sched_job *j)
{
  if (j->queue)
    {
      TAILQ_REMOVE (&j->queue->jobs, j, link);
      j->queue->n--;
      j->queue = NULL;
    }
  if (j->boot)
    {
      GHashTable *set = boot_set (sched, j->boot);

      g_hash_table_remove (set, j);
      if (g_hash_table_size (set) == 0)
        g_hash_table_remove (sched->by_boot, j->boot);
      g_clear_pointer (&j->boot, g_free);
    }
  remove_from_team_count (sched, j);
  g_hash_table_remove (sched->parked, j);
}

static void
index_queued (struct hk_sched *sched, struct hk_sched_job *j)
{
  int rank = hk_entry_rank (sched->entry, j->job.id);

  j->queue = hk_sched_queue_get (sched, j->job.route);
  j->not_before_ms = hk_clock_ms () + rank * HK_SCHED_RANK_DELAY_MS;
  j->queued_ms = hk_clock_ms ();
  TAILQ_INSERT_TAIL (&j->queue->jobs, j, link);
  j->queue->n++;
  hk_sched_schedule_pass (sched, 0);
}

static void
index_running (struct hk_sched *sched, struct hk_sched_job *j)
{
  add_to_team_count (sched, j);
  j->boot = g_strdup (j->job.boot ? j->job.boot : "");
  g_hash_table_add (boot_set (sched, j->boot), j);
  if (j->job.cancel)
    hk_sched_forward_cancel (j);
  if (sched->synced && j->job.holder
      && !g_hash_table_contains (sched->session_lease_ms, j->job.holder))
    hk_sched_session_expired (sched, j->job.holder, j->job.worker_lease_ms);
}

static void
index_job (struct hk_sched *sched, struct hk_sched_job *j)
{
  if (j->job.state == HK_JOB_QUEUED)
    index_queued (sched, j);
  else if (j->job.state == HK_JOB_RUNNING)
    index_running (sched, j);
  else if (j->job.state == HK_JOB_PARKED)
    g_hash_table_add (sched->parked, j);
  else
    j->ended_ms = hk_clock_ms ();
}

static void
remove_job (struct hk_sched *sched, struct hk_sched_job *j)
{
  unindex_job (sched, j);
  hk_timer_clear (&j->cancel_timer);
  g_hash_table_steal (sched->jobs, j->job.id);
  j->deleted = TRUE;
  hk_sched_job_unref (j);
}

struct hk_sched_job *
hk_sched_job_ref (struct hk_sched_job *j)
{
  j->refs++;
  return j;
}

void
hk_sched_job_unref (struct hk_sched_job *j)
{
  if (--j->refs > 0)
    return;
  hk_job_finish (&j->job);
  g_free (j);
}

/* Drops the payload and the checkpoint of an ended job; a request for the job
   reads its record from the store. */
static void
drop_payload (struct hk_job *job)
{
  if (!hk_job_ended (job))
    return;
  g_clear_pointer (&job->payload, g_free);
  g_clear_pointer (&job->checkpoint, g_free);
}

void
hk_sched_job_changed (struct hk_sched *sched, const char *id,
                      const char *value, size_t len, int64_t mod_revision)
{
  struct hk_sched_job *j = g_hash_table_lookup (sched->jobs, id);
  struct hk_job updated = { 0 };
  struct hk_error err = { 0 };

  if (!value)
    {
      if (j)
        remove_job (sched, j);
      return;
    }
  if (hk_job_parse (&updated, value, len, &err) < 0
      || strcmp (updated.id, id) != 0)
    {
      hk_log_error ("board", id, &err);
      hk_job_finish (&updated);
      return;
    }
  updated.mod_revision = mod_revision;
  drop_payload (&updated);
  if (j)
    {
      hk_sched_update_health (sched, &j->job, &updated);
      unindex_job (sched, j);
      hk_timer_clear (&j->cancel_timer);
      g_hash_table_steal (sched->jobs, id);
      hk_job_finish (&j->job);
    }
  else
    {
      j = g_new0 (struct hk_sched_job, 1);
      j->refs = 1;
      j->sched = sched;
    }
  j->job = updated;
  g_hash_table_insert (sched->jobs, j->job.id, j);
  index_job (sched, j);
}

void
hk_sched_session_changed (struct hk_sched *sched, const char *id,
                          const char *value, size_t len)
{
  g_autoptr (json_object) obj = NULL;
  int64_t *lease;

  if (value)
    {
      if (hk_json_parse (&obj, value, len, id, NULL) < 0)
        return;
      lease = g_new (int64_t, 1);
      *lease = hk_json_int (obj, "worker_lease_ms");
      g_hash_table_replace (sched->session_lease_ms, g_strdup (id), lease);
      return;
    }
  lease = g_hash_table_lookup (sched->session_lease_ms, id);
  hk_sched_session_expired (sched, id, lease ? *lease : 0);
  g_hash_table_remove (sched->session_lease_ms, id);
}

/* Finds holders whose session expired before this entry's copy was complete,
   which no watch event reports. */
static void
find_expired_holders (struct hk_sched *sched)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct hk_sched_job *j = value;

      if (j->job.state == HK_JOB_RUNNING && j->job.holder
          && !g_hash_table_contains (sched->session_lease_ms, j->job.holder))
        hk_sched_session_expired (sched, j->job.holder,
                                  j->job.worker_lease_ms);
    }
}

void
hk_sched_synced (struct hk_sched *sched)
{
  if (!sched->synced)
    sched->synced_ms = hk_clock_ms ();
  sched->synced = TRUE;
  find_expired_holders (sched);
  hk_sched_schedule_pass (sched, 0);
}

const struct hk_job *
hk_sched_job_find (const struct hk_sched *sched, const char *id)
{
  const struct hk_sched_job *j = g_hash_table_lookup (sched->jobs, id);

  return j ? &j->job : NULL;
}

GList *
hk_sched_job_list (const struct hk_sched *sched)
{
  GList *list = g_hash_table_get_values (sched->jobs);

  for (GList *l = list; l; l = l->next)
    l->data = &((struct hk_sched_job *)l->data)->job;
  return list;
}

static void
ignore_delete_result (int rc, const struct hk_store_result *results,
                      const struct hk_error *err, void *user)
{
  (void)rc;
  (void)results;
  (void)err;
  (void)user;
}

static void
delete_record (struct hk_sched *sched, const struct hk_job *job)
{
  struct hk_store *store = &sched->entry->store.base;
  struct hk_store_txn txn = { .n_compares = 1, .n_then = 1 };
  g_autofree char *key = hk_job_key (job->id);

  txn.compares[0] = (struct hk_store_compare){ key, job->mod_revision };
  txn.then[0] = (struct hk_store_op){ .type = HK_STORE_DELETE, .key = key };
  store->ops->batch (store, &txn, 1, ignore_delete_result, NULL);
}

/* An entry of the next rank deletes records that the one before it left. */
static int64_t
retention_ms (const struct hk_sched *sched, const struct hk_job *job)
{
  return ENDED_JOB_RETENTION_MS
         + hk_entry_rank (sched->entry, job->id) * 2 * SWEEP_INTERVAL_MS;
}

/* Deletes the records of jobs that ended long ago. */
static void
delete_old_records (void *user)
{
  struct hk_sched *sched = user;
  int64_t now = hk_clock_ms ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct hk_sched_job *j = value;

      if (hk_job_ended (&j->job)
          && now - j->ended_ms > retention_ms (sched, &j->job))
        delete_record (sched, &j->job);
    }
  hk_timer_set (&sched->sweep_timer, SWEEP_INTERVAL_MS, delete_old_records,
                sched);
}

static int
start (struct hk_task *task, struct hk_error *err)
{
  struct hk_sched *sched = (struct hk_sched *)task;

  (void)err;
  hk_timer_set (&sched->sweep_timer, SWEEP_INTERVAL_MS, delete_old_records,
                sched);
  hk_sched_schedule_pass (sched, 0);
  return HK_OK;
}

static void
stop (struct hk_task *task)
{
  struct hk_sched *sched = (struct hk_sched *)task;

  hk_timer_clear (&sched->sweep_timer);
  hk_timer_clear (&sched->pass_timer);
}

static const struct hk_task_ops ops
    = { .name = "board", .start = start, .stop = stop };

static void
free_set (gpointer set)
{
  g_hash_table_unref (set);
}

void
hk_sched_init (struct hk_sched *sched, struct hk_entry *entry)
{
  hk_task_init (&sched->task, &ops);
  sched->entry = entry;
  sched->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  sched->queues = g_hash_table_new (g_str_hash, g_str_equal);
  sched->by_boot
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_set);
  sched->parked = g_hash_table_new (NULL, NULL);
  sched->running_by_team
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sched->session_lease_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  sched->expired_sessions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

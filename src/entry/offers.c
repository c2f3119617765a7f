/* Offers queued jobs to instances: routes by urgency, the jobs of one route
   round-robin. A pass examines a bounded number of jobs per route. */
#include <string.h>

#include "job_sched.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/record.h"

#define PASS_INTERVAL_MS 200
#define OFFERS_IN_FLIGHT_MAX 64
#define LOOK_AHEAD_JOBS 32
#define OFFER_TIMEOUT_MS 4000
#define FAILED_CALL_BACKOFF_MS 300
#define PARK_DELAY_MS 5000
#define WRITE_GIVE_UP_MS 3000
#define EXCLUDED_MEMBERS_MAX 8

static const struct hk_rpc_method offer_method
    = { HK_AGENT_OFFER, (xdrproc_t)xdr_hk_rpc_offer_args,
        (xdrproc_t)xdr_hk_rpc_status_reply, sizeof (hk_rpc_status_reply) };

struct offer
{
  struct hk_sched_job *j;
  struct hk_member *m;
};

static void
on_offered (int rc, void *result, const struct hk_error *err, void *user)
{
  struct offer *o = user;
  struct hk_sched *sched = o->j->sched;
  const hk_rpc_status_reply *reply = result;
  int status = rc == HK_OK ? reply->status : rc;

  sched->offers_in_flight--;
  o->j->call_in_flight = FALSE;
  if (rc == HK_OK)
    hk_member_load_update (o->m, &reply->load);
  else
    hk_log_error ("offers", o->j->job.id, err);
  if (rc == HK_ERR_UNAVAILABLE)
    hk_member_record_failure (o->m, 1);
  if (status < 0)
    o->j->not_before_ms = hk_clock_ms () + FAILED_CALL_BACKOFF_MS;
  hk_sched_schedule_pass (sched, status < 0 ? FAILED_CALL_BACKOFF_MS : 0);
  hk_member_unref (o->m);
  hk_sched_job_unref (o->j);
  g_free (o);
}

void
hk_sched_job_offer (struct hk_sched_job *j, struct hk_member *m)
{
  struct offer *o = g_new0 (struct offer, 1);
  g_autofree char *text = hk_job_write (&j->job);
  hk_rpc_offer_args args = { 0 };

  o->j = hk_sched_job_ref (j);
  o->m = hk_member_ref (m);
  j->call_in_flight = TRUE;
  j->sched->offers_in_flight++;
  m->sent_since_report++;
  m->candidate.busy++;
  m->candidate.free.slots--;
  m->candidate.free.cpu_milli -= j->job.cpu_milli;
  m->candidate.free.memory_mb -= j->job.memory_mb;
  m->candidate.free.accelerators -= j->job.accelerators;
  args.incarnation = m->incarnation;
  args.mod_revision = j->job.mod_revision;
  args.record.record_val = text;
  args.record.record_len = (u_int)strlen (text);
  hk_rpc_call (&m->channel, &offer_method, &args, OFFER_TIMEOUT_MS, on_offered,
               o);
}

/* Conditional writes of job records */

static void
on_written (int rc, const struct hk_store_kv *current,
            const struct hk_error *err, void *user)
{
  struct hk_sched_job *j = user;

  (void)current;
  /* On a conflict another process changed the job; the watch reports it. */
  if (rc < 0 && rc != HK_ERR_CONFLICT)
    hk_log_error ("board", j->job.id, err);
  j->call_in_flight = FALSE;
  if (rc < 0 && !j->deleted)
    j->not_before_ms = hk_clock_ms () + FAILED_CALL_BACKOFF_MS;
  hk_sched_job_unref (j);
}

void
hk_sched_job_write (struct hk_sched_job *j, struct hk_job *next)
{
  g_autofree char *key = hk_job_key (j->job.id);
  g_autofree char *write_id = hk_id_new ("w");
  g_autofree char *value = NULL;

  g_free (next->write_id);
  next->write_id = g_strdup (write_id);
  value = hk_job_write (next);
  j->call_in_flight = TRUE;
  hk_record_put (&j->sched->entry->store.base, key, j->job.mod_revision, value,
                 write_id, WRITE_GIVE_UP_MS, on_written, hk_sched_job_ref (j));
}

static void
change_state (struct hk_sched_job *j, enum hk_job_state state,
              const char *reason)
{
  struct hk_job next = { 0 };
  g_autofree char *text = hk_job_write (&j->job);

  if (hk_job_parse (&next, text, strlen (text), NULL) < 0)
    return;
  hk_log (HK_LOG_INFO, "board", NULL, j->job.id,
          "changing job to state=%s: %s", hk_job_state_name (state), reason);
  hk_job_set_state (&next, state);
  g_free (next.reason);
  next.reason = g_strdup (reason);
  hk_sched_job_write (j, &next);
  hk_job_finish (&next);
}

/* Choice of jobs and instances */

static struct hk_size
job_size (const struct hk_job *job)
{
  return (struct hk_size){ 1, job->cpu_milli, job->memory_mb,
                           job->accelerators };
}

static gboolean
fits_any_instance (const GPtrArray *pool, const struct hk_size *need)
{
  for (guint i = 0; pool && i < pool->len; i++)
    {
      const struct hk_candidate *c = g_ptr_array_index (pool, i);

      if (hk_size_fits (need, &c->total))
        return TRUE;
    }
  return FALSE;
}

static gboolean
names_contain (char **names, const char *name)
{
  return names && g_strv_contains ((const char *const *)names, name);
}

/* Returns the candidates on which the job failed before, at most
   EXCLUDED_MEMBERS_MAX. */
static size_t
failed_instances (const GPtrArray *pool, const struct hk_job *job, guint *ids)
{
  size_t n = 0;

  for (guint i = 0;
       job->failed_on && i < pool->len && n < EXCLUDED_MEMBERS_MAX; i++)
    {
      const struct hk_candidate *c = g_ptr_array_index (pool, i);

      if (names_contain (job->failed_on, hk_member_from_candidate (c)->name))
        ids[n++] = c->id;
    }
  return n;
}

static struct hk_member *
choose_member_except (struct hk_sched *sched, const struct hk_job *job,
                      const struct hk_route *route, const GPtrArray *pool,
                      const guint *ids, size_t n)
{
  struct hk_place_query q = { .need = job_size (job),
                              .now_ms = hk_clock_ms (),
                              .tried = ids,
                              .n_tried = n };
  const struct hk_candidate *const *view
      = (const struct hk_candidate *const *)pool->pdata;
  int i;

  i = hk_place (view, pool->len, &q, sched->entry->random);
  if (i < 0 && route->share > 0)
    {
      /* The slots reserved for this route may be lent to other routes; an
         offer makes the agent reclaim them. */
      q.need.slots = 0;
      i = hk_place (view, pool->len, &q, sched->entry->random);
    }
  return i < 0 ? NULL : hk_member_from_candidate (view[i]);
}

/* Whether an instance that is not excluded could hold the job. */
static gboolean
fits_other_instance (const GPtrArray *pool, const struct hk_size *need,
                     const guint *ids, size_t n)
{
  for (guint i = 0; i < pool->len; i++)
    {
      const struct hk_candidate *c = g_ptr_array_index (pool, i);
      size_t k = 0;

      while (k < n && ids[k] != c->id)
        k++;
      if (k == n && c->available && hk_size_fits (need, &c->total))
        return TRUE;
    }
  return FALSE;
}

/* Where a job failed it is tried again if no other instance could hold it. */
static struct hk_member *
choose_member (struct hk_sched *sched, const struct hk_sched_job *j,
               const struct hk_route *route, const GPtrArray *pool)
{
  guint ids[EXCLUDED_MEMBERS_MAX];
  size_t n = failed_instances (pool, &j->job, ids);
  struct hk_size need = job_size (&j->job);

  if (!fits_other_instance (pool, &need, ids, n))
    n = 0;
  return choose_member_except (sched, &j->job, route, pool, ids, n);
}

static gboolean
over_quota (struct hk_sched *sched, const struct hk_job *job,
            const struct hk_route *route)
{
  const struct hk_pool *pool
      = hk_tables_pool (&sched->entry->tables, route->pool);
  int64_t quota = hk_pool_quota (pool, job->team);

  return quota >= 0 && hk_sched_running_count (sched, job) >= quota;
}

/* Whether a job that fits no instance of its pool has waited long enough to be
   parked. The delay grows with the rank of this entry for the job. */
static gboolean
may_park (const struct hk_sched *sched, const struct hk_sched_job *j)
{
  int64_t now = hk_clock_ms ();
  int64_t wait_ms
      = PARK_DELAY_MS
        + hk_entry_rank (sched->entry, j->job.id) * HK_SCHED_RANK_DELAY_MS;

  return sched->synced && now - sched->synced_ms > wait_ms
         && now - j->queued_ms > wait_ms;
}

/* Returns FALSE if no instance can take the job now, so that the route waits
   for free capacity. */
static gboolean
offer_job (struct hk_sched *sched, struct hk_sched_job *j,
           const struct hk_route *route, const GPtrArray *pool)
{
  struct hk_size need = job_size (&j->job);
  struct hk_member *m;

  if (over_quota (sched, &j->job, route))
    return TRUE;
  if (pool && pool->len > 0 && !fits_any_instance (pool, &need))
    {
      if (may_park (sched, j))
        change_state (j, HK_JOB_PARKED, "fits no instance of its pool");
      return TRUE;
    }
  m = pool ? choose_member (sched, j, route, pool) : NULL;
  if (!m)
    return j->job.failed_on != NULL; /* others may still find an instance */
  hk_sched_job_offer (j, m);
  return TRUE;
}

static void
offer_queue (struct hk_sched *sched, struct hk_sched_queue *q)
{
  const struct hk_route *route
      = hk_tables_route (&sched->entry->tables, q->route);
  GPtrArray *pool;
  struct hk_sched_job *j;
  struct hk_sched_job *next;
  gint64 n = q->n;
  int examined = 0;

  if (!route)
    return;
  pool = hk_members_pool (&sched->entry->members, route->pool);
  for (j = TAILQ_FIRST (&q->jobs);
       j && examined < MIN (LOOK_AHEAD_JOBS, n)
       && sched->offers_in_flight < OFFERS_IN_FLIGHT_MAX;
       j = next)
    {
      next = TAILQ_NEXT (j, link);
      examined++;
      if (!j->call_in_flight && j->not_before_ms <= hk_clock_ms ()
          && !offer_job (sched, j, route, pool))
        break;
      /* Moved to the tail, so that a job that can't start doesn't block the
         others. */
      TAILQ_REMOVE (&q->jobs, j, link);
      TAILQ_INSERT_TAIL (&q->jobs, j, link);
    }
}

static int
compare_urgency (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct hk_sched *sched = user;
  const struct hk_sched_queue *x = a;
  const struct hk_sched_queue *y = b;
  const struct hk_route *rx
      = hk_tables_route (&sched->entry->tables, x->route);
  const struct hk_route *ry
      = hk_tables_route (&sched->entry->tables, y->route);

  return (int)((ry ? ry->urgency : -1) - (rx ? rx->urgency : -1));
}

static void
run_pass (void *user)
{
  struct hk_sched *sched = user;
  g_autoptr (GList) queues = g_hash_table_get_values (sched->queues);
  gboolean jobs_queued = FALSE;

  if (sched->entry->draining)
    return;
  queues = g_list_sort_with_data (queues, compare_urgency, sched);
  for (GList *l = queues; l; l = l->next)
    {
      struct hk_sched_queue *q = l->data;

      if (q->n > 0)
        offer_queue (sched, q);
      jobs_queued = jobs_queued || q->n > 0;
    }
  if (jobs_queued)
    hk_sched_schedule_pass (sched, PASS_INTERVAL_MS);
}

void
hk_sched_schedule_pass (struct hk_sched *sched, int64_t delay_ms)
{
  if (sched->pass_timer.iter
      && sched->pass_timer.due_ms <= hk_clock_ms () + delay_ms)
    return;
  hk_timer_set (&sched->pass_timer, delay_ms, run_pass, sched);
}

/* The holder's health follows the outcome of the run that has just ended. */
void
hk_sched_update_health (struct hk_sched *sched, const struct hk_job *old,
                        const struct hk_job *updated)
{
  struct hk_member *m;
  const struct hk_route *route
      = hk_tables_route (&sched->entry->tables, updated->route);
  const struct hk_pool *pool
      = route ? hk_tables_pool (&sched->entry->tables, route->pool) : NULL;

  if (updated->evictions > old->evictions)
    hk_metric_get ("hyssopkeel_evictions_total", "")->value++;
  if (old->state != HK_JOB_RUNNING || updated->state == HK_JOB_RUNNING
      || !pool)
    return;
  m = hk_members_find_by_session (&sched->entry->members, old->holder);
  if (!m)
    return;
  if (updated->attempts > old->attempts)
    hk_member_record_failure (m, pool->set_aside_failures);
  else if (updated->state == HK_JOB_DONE)
    hk_member_record_success (m);
}

static void
unpark_fitting_jobs (struct hk_sched *sched, const struct hk_member *m)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sched->parked);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct hk_sched_job *j = key;
      struct hk_size need = job_size (&j->job);
      const struct hk_route *route
          = hk_tables_route (&sched->entry->tables, j->job.route);

      if (!j->call_in_flight && route && strcmp (route->pool, m->pool) == 0
          && hk_size_fits (&need, &m->candidate.total))
        change_state (j, HK_JOB_QUEUED, "an instance that fits has joined");
    }
}

void
hk_sched_capacity_changed (struct hk_sched *sched, struct hk_member *m)
{
  unpark_fitting_jobs (sched, m);
  hk_sched_offer_takeover (sched, m);
  hk_sched_schedule_pass (sched, 0);
}

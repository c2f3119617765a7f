/* Group commit: one transaction at a time carries all changes since the last.
   Each compares the revision of the fence key and updates the key, so at most
   one transaction per revision can take effect. The next transaction therefore
   also resolves one whose answer was lost. */
#include "coord.h"

#include "hyssopkeel/json.h"

/* Rows that a transaction can hold beside the two operations on the fence key
   and the list of silent agents. */
#define TXN_ROWS_MAX 28
/* Bytes of a transaction before encoding; bounds its time on a slow link. */
#define TXN_BYTES_MAX 262144
/* An idle coordinator commits this often to prove that it still leads: about a
   third of the smallest sum of own_ms, grant_ms and hold_ms that the settings
   allow (2000 ms). */
#define IDLE_COMMIT_INTERVAL_MS 700
/* A successor cannot take over and accept a job within this time after the
   leader sent its last confirmed commit, as it first waits for the answer to a
   ping. */
#define LEADERSHIP_PROOF_MS 450
/* Pause after a failed commit, doubled each time up to the maximum. */
#define RETRY_MIN_MS 15
#define RETRY_MAX_MS 240
/* After commits have failed for this long, new work is refused at once: it
   could not be stored before its client gives up. */
#define STORE_FAILING_MS 700

/* A transaction under construction; @texts owns the keys and values. */
struct txn_builder
{
  struct hk_store_txn *txn;
  GPtrArray *texts;
  size_t rows;
  size_t bytes;
};

/* A commit in flight; @term and @seq identify answers that come too late. */
struct commit_attempt
{
  struct hk_coord *c;
  uint64_t term;
  uint64_t seq;
};

void
coord_commit_init (struct hk_coord *c)
{
  memset (&c->commit, 0, sizeof c->commit);
  c->commit.jobs = g_ptr_array_new ();
  c->commit.expired = g_ptr_array_new_with_free_func (g_free);
}

void
coord_commit_finish (struct hk_coord *c)
{
  hk_timer_clear (&c->commit.retry);
  g_clear_pointer (&c->commit.jobs, g_ptr_array_unref);
  g_clear_pointer (&c->commit.expired, g_ptr_array_unref);
}

gboolean
coord_store_failing (const struct hk_coord *c, int64_t now)
{
  const struct coord_commit *k = &c->commit;

  if (k->failing_since_ms && now - k->failing_since_ms > STORE_FAILING_MS)
    return TRUE;
  return k->in_flight && now - k->sent_ms > STORE_FAILING_MS;
}

/* Whether this process certainly led within the last LEADERSHIP_PROOF_MS,
   which a process that was suspended cannot know by itself. If not, schedules
   a commit to prove it. */
gboolean
coord_leadership_proven (struct hk_coord *c, int64_t now)
{
  if (now - c->commit.confirmed_ms < LEADERSHIP_PROOF_MS)
    return TRUE;
  c->commit.leadership_proof_due = TRUE;
  coord_pass_schedule (c);
  return FALSE;
}

static void
builder_add (struct txn_builder *b, enum hk_store_op_type type, char *key,
             char *value, size_t len)
{
  g_ptr_array_add (b->texts, key);
  if (value)
    g_ptr_array_add (b->texts, value);
  b->txn->then[b->txn->n_then++]
      = (struct hk_store_op){ type, key, value, len, 0 };
  b->rows++;
  b->bytes += len;
}

/* Returns a negative code, and adds nothing, if a record of the job is over
   its limit. */
static int
builder_add_job (struct txn_builder *b, struct hk_engine_job *job)
{
  gboolean live = hk_engine_job_active (job) || job->n_runs > 0;
  unsigned left_out = job->n_checkpoints_left_out;
  g_autofree char *spec = NULL;
  char *progress = NULL;
  size_t spec_len = 0;
  size_t len = 0;
  int rc = HK_OK;

  if (live && !job->spec_stored)
    rc = hk_engine_encode_spec (&spec, &spec_len, job);
  if (rc == HK_OK)
    rc = hk_engine_encode_progress (&progress, &len, job);
  if (rc < 0)
    return rc;
  if (left_out == 0 && job->n_checkpoints_left_out > 0)
    hk_log (HK_LOG_WARN, "coord", NULL, job->spec.id,
            "event=checkpoints_not_stored tasks=%u bytes=%zu limit=%zu; a "
            "successor starts these tasks from the beginning",
            job->n_checkpoints_left_out, len, job->engine->record_max_bytes);
  if (spec)
    builder_add (b, HK_STORE_PUT,
                 g_strconcat (HK_KEY_SPECS, job->spec.id, NULL),
                 g_steal_pointer (&spec), spec_len);
  else if (!live && job->spec_stored)
    builder_add (b, HK_STORE_DELETE,
                 g_strconcat (HK_KEY_SPECS, job->spec.id, NULL), NULL, 0);
  builder_add (b, HK_STORE_PUT,
               g_strconcat (HK_KEY_PROGRESS, job->spec.id, NULL), progress,
               len);
  job->sent_version = job->version;
  job->sent_state = job->state;
  job->sent_keeps_spec = live;
  return HK_OK;
}

/* A job that was never stored is refused. One that was keeps its last record,
   and places nothing more until a record fits again. */
static void
job_too_big (struct hk_coord *c, struct hk_engine_job *job)
{
  if (!job->records_too_big)
    hk_log (HK_LOG_ERROR, "coord", NULL, job->spec.id,
            "event=record_too_big key=" HK_KEY_PROGRESS "%s limit=%zu "
            "stored=%d; the commit goes on without it",
            job->spec.id, job->engine->record_max_bytes,
            job->committed_version > 0);
  job->records_too_big = TRUE;
  if (job->sent_version > 0 || job->committed_version > 0)
    return;
  coord_waiters_refuse (c, job, "the job is over the limit of a record", 0);
  hk_engine_job_remove (job);
}

/* While commits fail, jobs that no commit has contained yet are held back:
   they cannot have been stored, so their clients can still be told that the
   jobs were not accepted. */
static void
builder_add_dirty (struct hk_coord *c, struct txn_builder *b)
{
  struct hk_engine *e = &c->engine;
  struct hk_engine_job *job;
  struct hk_engine_job *next;

  for (job = TAILQ_FIRST (&e->dirty);
       job && b->rows + 2 <= TXN_ROWS_MAX && b->bytes < TXN_BYTES_MAX;
       job = next)
    {
      next = TAILQ_NEXT (job, dirty_link);
      if (c->commit.failures > 0 && job->sent_version == 0)
        continue;
      TAILQ_REMOVE (&e->dirty, job, dirty_link);
      job->dirty = FALSE;
      e->n_dirty--;
      if (builder_add_job (b, job) < 0)
        {
          job_too_big (c, job);
          continue;
        }
      job->records_too_big = FALSE;
      g_ptr_array_add (c->commit.jobs, job);
    }
}

/* Deletes the records of jobs that ended longer ago than they are kept, as
   many as there is room for. */
static void
builder_add_expired (struct hk_coord *c, struct txn_builder *b)
{
  int64_t limit = coord_wall_ms () - c->keep_ended_ms;
  const struct hk_engine_job *job;

  TAILQ_FOREACH (job, &c->engine.ended, link)
  {
    if (job->ended_wall_ms >= limit || b->rows >= TXN_ROWS_MAX)
      return;
    if (job->n_runs > 0 || job->dirty
        || job->sent_version != job->committed_version)
      continue;
    builder_add (b, HK_STORE_DELETE,
                 g_strconcat (HK_KEY_PROGRESS, job->spec.id, NULL), NULL, 0);
    g_ptr_array_add (c->commit.expired, g_strdup (job->spec.id));
  }
}

static void
drop_if_unsent (struct hk_coord *c, struct hk_engine_job *job)
{
  if (job->sent_version > 0 || job->committed_version > 0)
    return;
  hk_log (HK_LOG_INFO, "coord", NULL, job->spec.id,
          "event=job_dropped why=\"the store does not answer\" "
          "age_ms=%" G_GINT64_FORMAT " tombstone=%d",
          hk_clock_ms ()
              - (job->is_tombstone ? job->ended_ms : job->accepted_ms),
          job->is_tombstone);
  coord_waiters_refuse (c, job, "the store does not answer",
                        COORD_STORE_RETRY_AFTER_S);
  hk_engine_job_remove (job);
}

void
coord_commit_drop_unsent (struct hk_coord *c)
{
  struct hk_engine_job *job;
  struct hk_engine_job *next;

  for (job = TAILQ_FIRST (&c->engine.dirty); job; job = next)
    {
      next = TAILQ_NEXT (job, dirty_link);
      drop_if_unsent (c, job);
    }
}

/* Puts the jobs of a failed commit back to the head of the dirty list. */
static void
commit_requeue (struct hk_coord *c)
{
  for (guint i = c->commit.jobs->len; i > 0; i--)
    {
      struct hk_engine_job *job = c->commit.jobs->pdata[i - 1];

      if (job->dirty)
        TAILQ_REMOVE (&c->engine.dirty, job, dirty_link);
      else
        c->engine.n_dirty++;
      job->dirty = TRUE;
      TAILQ_INSERT_HEAD (&c->engine.dirty, job, dirty_link);
    }
  g_ptr_array_set_size (c->commit.jobs, 0);
  g_ptr_array_set_size (c->commit.expired, 0);
}

static void
commit_apply (struct hk_coord *c)
{
  for (guint i = 0; i < c->commit.jobs->len; i++)
    {
      struct hk_engine_job *job = c->commit.jobs->pdata[i];

      job->committed_version = job->sent_version;
      job->visible_state = job->sent_state;
      job->spec_stored = job->sent_keeps_spec;
      coord_waiters_notify (job);
    }
  g_ptr_array_set_size (c->commit.jobs, 0);
  for (guint i = 0; i < c->commit.expired->len; i++)
    {
      struct hk_engine_job *job
          = hk_engine_job_find (&c->engine, c->commit.expired->pdata[i]);

      if (job && !job->dirty && job->sent_version == job->committed_version)
        hk_engine_job_remove (job);
    }
  g_ptr_array_set_size (c->commit.expired, 0);
}

static void
on_retry_timer (void *user)
{
  coord_commit_next (user);
}

static void
commit_failed (struct hk_coord *c, const struct hk_error *err, int64_t now)
{
  struct coord_commit *k = &c->commit;
  int64_t pause = RETRY_MIN_MS << MIN (k->failures, 4);

  k->failures++;
  if (!k->failing_since_ms)
    {
      k->failing_since_ms = now;
      hk_log (HK_LOG_WARN, "coord", err->peer, NULL,
              "event=store_failing step=%s cause=\"%s\" dirty=%u", err->step,
              err->text, c->engine.n_dirty);
    }
  commit_requeue (c);
  hk_timer_set (&k->retry, MIN (pause, RETRY_MAX_MS), on_retry_timer, c);
}

/* Another transaction updated the fence: one of this process whose answer was
   lost, or a successor's. */
static void
on_fence_conflict (struct hk_coord *c, const struct hk_store_result *result)
{
  g_autoptr (json_object) obj = NULL;
  struct hk_error err;

  for (size_t i = 0; i < result->n_kvs; i++)
    if (strcmp (result->kvs[i].key, HK_KEY_FENCE) == 0
        && hk_json_parse (&obj, result->kvs[i].value, result->kvs[i].len,
                          HK_KEY_FENCE, &err)
               == HK_OK
        && (uint64_t)hk_json_int (obj, "term") == c->term)
      {
        hk_log (HK_LOG_INFO, "coord", NULL, NULL,
                "event=lost_commit_confirmed seq=%" G_GINT64_FORMAT
                " revision=%" G_GINT64_FORMAT,
                hk_json_int (obj, "seq"), result->kvs[i].mod_revision);
        c->commit.fence_rev = result->kvs[i].mod_revision;
        commit_requeue (c);
        coord_commit_next (c);
        return;
      }
  coord_step_down (c, "fence was updated by another coordinator");
}

static void
on_commit (int rc, const struct hk_store_result *results,
           const struct hk_error *err, void *user)
{
  struct commit_attempt *a = user;
  struct hk_coord *c = a->c;
  struct coord_commit *k = &c->commit;
  gboolean current
      = c->state == COORD_LEADING && a->term == c->term && a->seq == k->seq;
  int64_t now = hk_clock_ms ();

  g_free (a);
  if (!current)
    return;
  k->in_flight = FALSE;
  if (rc < 0)
    {
      commit_failed (c, err, now);
      return;
    }
  if (!results->succeeded)
    {
      on_fence_conflict (c, results);
      return;
    }
  hk_histogram_add (hk_histogram_get ("hyssopkeel_commit_seconds", ""),
                    (now - k->sent_ms) * 1000);
  if (k->failing_since_ms)
    hk_log (HK_LOG_INFO, "coord", NULL, NULL,
            "event=store_recovered after_ms=%" G_GINT64_FORMAT,
            now - k->failing_since_ms);
  k->failing_since_ms = 0;
  k->failures = 0;
  k->fence_rev = results->revision;
  k->confirmed_ms = k->sent_ms;
  commit_apply (c);
  coord_silent_committed (c);
  coord_links_reply (c);
  coord_pass_schedule (c);
}

void
coord_commit_next (struct hk_coord *c)
{
  struct coord_commit *k = &c->commit;
  g_autoptr (GPtrArray) texts = NULL;
  struct hk_store_txn txn = { .n_compares = 1 };
  struct txn_builder b = { .txn = &txn };
  struct commit_attempt *a;
  char *silent;
  int64_t now = hk_clock_ms ();

  if (c->state != COORD_LEADING || k->in_flight || k->retry.iter)
    return;
  if (c->engine.n_dirty == 0 && !k->leadership_proof_due
      && now - k->confirmed_ms < IDLE_COMMIT_INTERVAL_MS
      && !coord_silent_due (c, now))
    return;
  k->leadership_proof_due = FALSE;
  texts = g_ptr_array_new_with_free_func (g_free);
  b.texts = texts;
  k->seq++;
  txn.compares[0] = (struct hk_store_compare){ HK_KEY_FENCE, k->fence_rev };
  builder_add (&b, HK_STORE_PUT, g_strdup (HK_KEY_FENCE),
               g_strdup_printf ("{\"term\":%" G_GUINT64_FORMAT
                                ",\"seq\":%" G_GUINT64_FORMAT "}",
                                c->term, k->seq),
               0);
  /* Reads the fence if the compare fails, for stores that do not return it
     unasked. */
  txn.otherwise[txn.n_otherwise++]
      = (struct hk_store_op){ HK_STORE_GET, HK_KEY_FENCE, NULL, 0, 0 };
  silent = coord_silent_next (c, now);
  if (silent)
    builder_add (&b, HK_STORE_PUT, g_strdup (HK_KEY_SILENT), silent, 0);
  b.rows = 0;
  builder_add_dirty (c, &b);
  builder_add_expired (c, &b);
  a = g_new0 (struct commit_attempt, 1);
  a->c = c;
  a->term = c->term;
  a->seq = k->seq;
  k->in_flight = TRUE;
  k->sent_ms = now;
  hk_metric_get ("hyssopkeel_commits_total", "")->value++;
  hk_metric_get ("hyssopkeel_commit_rows_total", "")->value += (double)b.rows;
  c->store_calls++;
  c->store->ops->batch (c->store, &txn, 1, on_commit, a);
}

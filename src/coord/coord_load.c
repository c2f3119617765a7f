/* Recovery: a new coordinator reads all job records before it schedules
   anything. A run that is not in the store was never started. */
#include "coord.h"

/* Pause before a failed read is repeated. */
#define LOAD_RETRY_MS 100

/* One recovery. An answer that arrives after leadership was lost and acquired
   again belongs to an earlier recovery and may be stale. */
struct load
{
  struct hk_coord *c;
  uint64_t term;
};

static void specs_read (void *user);

static void
spec_free (gpointer data)
{
  g_bytes_unref (data);
}

static struct load *
load_new (struct hk_coord *c)
{
  struct load *l = g_new0 (struct load, 1);

  l->c = c;
  l->term = c->term;
  c->store_calls++;
  return l;
}

static gboolean
load_is_current (const struct load *l)
{
  return !coord_store_call_end (l->c) && l->c->state == COORD_LOADING
         && l->term == l->c->term;
}

static void
load_retry (struct hk_coord *c, const struct hk_error *err)
{
  hk_log_error ("coord", NULL, err);
  hk_timer_set (&c->takeover_timer, LOAD_RETRY_MS, specs_read, c);
}

static void
load_job (struct hk_coord *c, const struct hk_store_kv *kv, int64_t now)
{
  const char *id = kv->key + strlen (HK_KEY_PROGRESS);
  GBytes *spec = g_hash_table_lookup (c->loaded_specs, id);
  gsize len = 0;
  const char *text = spec ? g_bytes_get_data (spec, &len) : NULL;
  struct hk_error err;

  if (hk_engine_job_load (&c->engine, id, text, len, kv->value, kv->len, now,
                          coord_wall_ms (), &err)
      < 0)
    hk_log_error ("coord", id, &err);
}

static void
on_progress_read (int rc, const struct hk_store_result *results,
                  const struct hk_error *err, void *user)
{
  g_autofree struct load *l = user;
  struct hk_coord *c = l->c;
  int64_t now = hk_clock_ms ();
  struct hk_instance *in;

  if (!load_is_current (l))
    return;
  if (rc < 0)
    {
      load_retry (c, err);
      return;
    }
  for (size_t i = 0; i < results->n_kvs; i++)
    load_job (c, &results->kvs[i], now);
  g_clear_pointer (&c->loaded_specs, g_hash_table_unref);
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  in->inherited_until_ms = coord_predecessors_grant_until (c, now);
  if (c->loaded_silent)
    coord_silent_apply (c, c->loaded_silent, c->loaded_silent_ms);
  g_clear_pointer (&c->loaded_silent, g_free);
  coord_crash_adopt (c);
  c->state = COORD_LEADING;
  c->leading_since_ms = now;
  hk_log (HK_LOG_INFO, "coord", NULL, NULL,
          "event=recovered term=%" G_GUINT64_FORMAT
          " jobs=%u records=%zu took_ms=%" G_GINT64_FORMAT,
          c->term, g_hash_table_size (c->engine.jobs), results->n_kvs,
          now - c->taken_over_ms);
  coord_predecessors_ping (c);
  coord_requests_retry (c);
  coord_pass_schedule (c);
}

static void
on_silent_read (int rc, const struct hk_store_result *results,
                const struct hk_error *err, void *user)
{
  g_autofree struct load *l = user;
  struct hk_coord *c = l->c;

  if (!load_is_current (l))
    return;
  if (rc < 0)
    {
      load_retry (c, err);
      return;
    }
  g_clear_pointer (&c->loaded_silent, g_free);
  if (results->n_kvs > 0 && results->kvs[0].value)
    c->loaded_silent = g_strdup (results->kvs[0].value);
  c->loaded_silent_ms = hk_clock_ms ();
  c->store->ops->range (c->store, HK_KEY_PROGRESS, TRUE, on_progress_read,
                        load_new (c));
}

static void
on_specs_read (int rc, const struct hk_store_result *results,
               const struct hk_error *err, void *user)
{
  g_autofree struct load *l = user;
  struct hk_coord *c = l->c;

  if (!load_is_current (l))
    return;
  if (rc < 0)
    {
      load_retry (c, err);
      return;
    }
  g_clear_pointer (&c->loaded_specs, g_hash_table_unref);
  c->loaded_specs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, spec_free);
  for (size_t i = 0; i < results->n_kvs; i++)
    g_hash_table_insert (
        c->loaded_specs,
        g_strdup (results->kvs[i].key + strlen (HK_KEY_SPECS)),
        g_bytes_new (results->kvs[i].value, results->kvs[i].len));
  c->store->ops->range (c->store, HK_KEY_SILENT, FALSE, on_silent_read,
                        load_new (c));
}

static void
specs_read (void *user)
{
  struct hk_coord *c = user;

  if (c->state == COORD_LOADING)
    c->store->ops->range (c->store, HK_KEY_SPECS, TRUE, on_specs_read,
                          load_new (c));
}

void
coord_load (struct hk_coord *c)
{
  specs_read (c);
}

/* Recovery: a new coordinator reads all records before it decides anything.
   What is not in the store was never started by anyone. */
#include "coord.h"

/* Pause before a failed read is tried again, milliseconds. */
#define LOAD_RETRY_MS 100

/* One load; an answer that comes after the lead was lost and taken again
   belongs to no load any more and may be old. */
struct load
{
  struct hk_coord *c;
  uint64_t term;
};

static void read_specs (void *user);

static void
free_bytes (gpointer data)
{
  g_bytes_unref (data);
}

static struct load *
load_new (struct hk_coord *c)
{
  struct load *l = g_new0 (struct load, 1);

  l->c = c;
  l->term = c->term;
  c->calls++;
  return l;
}

static gboolean
load_current (const struct load *l)
{
  return !coord_call_over (l->c) && l->c->state == COORD_LOADING
         && l->term == l->c->term;
}

static void
retry (struct hk_coord *c, const struct hk_error *err)
{
  hk_log_error ("coord", NULL, err);
  hk_timer_set (&c->take_timer, LOAD_RETRY_MS, read_specs, c);
}

static void
load_job (struct hk_coord *c, const struct hk_store_kv *kv, int64_t now)
{
  const char *id = kv->key + strlen (HK_KEY_PROGRESS);
  GBytes *spec = g_hash_table_lookup (c->loading, id);
  gsize len = 0;
  const char *text = spec ? g_bytes_get_data (spec, &len) : NULL;
  struct hk_error err;

  if (hk_engine_load (&c->engine, id, text, len, kv->value, kv->len, now,
                      coord_wall_ms (), &err)
      < 0)
    hk_log_error ("coord", id, &err);
}

static void
on_progress (int rc, const struct hk_store_result *results,
             const struct hk_error *err, void *user)
{
  g_autofree struct load *l = user;
  struct hk_coord *c = l->c;
  int64_t now = hk_clock_ms ();
  struct hk_instance *in;

  if (!load_current (l))
    return;
  if (rc < 0)
    {
      retry (c, err);
      return;
    }
  for (size_t i = 0; i < results->n_kvs; i++)
    load_job (c, &results->kvs[i], now);
  g_clear_pointer (&c->loading, g_hash_table_unref);
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  in->inherited_until_ms = coord_past_until (c, now);
  c->state = COORD_LEADING;
  hk_log (HK_LOG_INFO, "coord", NULL, NULL,
          "event=leading term=%" G_GUINT64_FORMAT
          " jobs=%u records=%zu took_ms=%" G_GINT64_FORMAT,
          c->term, g_hash_table_size (c->engine.jobs), results->n_kvs,
          now - c->taken_over_ms);
  coord_past_ask (c);
  coord_questions_retry (c);
  coord_kick (c);
}

static void
on_specs (int rc, const struct hk_store_result *results,
          const struct hk_error *err, void *user)
{
  g_autofree struct load *l = user;
  struct hk_coord *c = l->c;

  if (!load_current (l))
    return;
  if (rc < 0)
    {
      retry (c, err);
      return;
    }
  g_clear_pointer (&c->loading, g_hash_table_unref);
  c->loading
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_bytes);
  for (size_t i = 0; i < results->n_kvs; i++)
    g_hash_table_insert (
        c->loading, g_strdup (results->kvs[i].key + strlen (HK_KEY_SPECS)),
        g_bytes_new (results->kvs[i].value, results->kvs[i].len));
  c->store->ops->range (c->store, HK_KEY_PROGRESS, TRUE, on_progress,
                        load_new (c));
}

static void
read_specs (void *user)
{
  struct hk_coord *c = user;

  if (c->state == COORD_LOADING)
    c->store->ops->range (c->store, HK_KEY_SPECS, TRUE, on_specs,
                          load_new (c));
}

void
coord_load (struct hk_coord *c)
{
  read_specs (c);
}

/* Follows the keys under a prefix: a full read, then a watch that is resumed
   from the last revision seen. */
#include "hyssopkeel/mirror.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

#define MIRROR_RETRY_MS 500
/* One poll of this many reads the newest key of the prefix, the others read
   the probe key. */
#define POLLS_PER_NEWEST_READ 4

static void open_watch (struct hk_mirror *m);
static void read_prefix (struct hk_mirror *m);

static void
note_call_result (struct hk_mirror *m, int rc)
{
  gboolean ok = rc == HK_OK;

  if (ok)
    m->last_contact_ms = hk_clock_ms ();
  if (ok != m->connected)
    hk_log (ok ? HK_LOG_INFO : HK_LOG_WARN, "mirror", NULL, NULL,
            ok ? "store is reachable again"
               : "store call failed; changes may arrive late until a retry "
                 "succeeds");
  m->connected = ok;
}

/* Calls back unless @kv is no newer than what was reported for its key. */
static void
report_key (struct hk_mirror *m, const struct hk_store_kv *kv)
{
  int64_t *known = g_hash_table_lookup (m->revisions, kv->key);

  if (known && *known >= kv->mod_revision)
    return;
  if (kv->value)
    g_hash_table_replace (m->revisions, g_strdup (kv->key),
                          g_memdup2 (&kv->mod_revision, sizeof (int64_t)));
  else
    g_hash_table_remove (m->revisions, kv->key);
  m->ops->changed (kv->key, kv->value, kv->len, kv->mod_revision, m->user);
}

static void
on_event (const struct hk_store_kv *kv, void *user)
{
  report_key (user, kv);
}

static void
on_progress (int64_t revision, void *user)
{
  struct hk_mirror *m = user;

  note_call_result (m, HK_OK);
  m->revision = MAX (m->revision, revision);
}

static void
on_retry_timer (void *user)
{
  struct hk_mirror *m = user;

  if (m->loaded)
    open_watch (m);
  else
    read_prefix (m);
}

static void
on_lost (gboolean compacted, const struct hk_error *err, void *user)
{
  struct hk_mirror *m = user;

  m->watch = NULL;
  hk_log_error ("mirror", NULL, err);
  if (compacted)
    m->loaded = FALSE;
  hk_timer_set (&m->retry_timer, MIRROR_RETRY_MS, on_retry_timer, m);
}

static const struct hk_store_watch_ops watch_ops
    = { .event = on_event, .progress = on_progress, .lost = on_lost };

static void
open_watch (struct hk_mirror *m)
{
  if (m->watch)
    m->store->ops->unwatch (m->watch);
  m->watch = m->store->ops->watch (m->store, m->prefix, m->revision + 1,
                                   &watch_ops, m);
}

/* Reports keys that were deleted while no watch was open. */
static void
report_deleted_keys (struct hk_mirror *m, const struct hk_store_result *res)
{
  g_autoptr (GHashTable) existing = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GList) known = g_hash_table_get_keys (m->revisions);

  for (size_t i = 0; i < res->n_kvs; i++)
    g_hash_table_add (existing, res->kvs[i].key);
  for (GList *l = known; l; l = l->next)
    {
      struct hk_store_kv deleted = { .key = l->data };

      deleted.mod_revision = res->revision;
      if (!g_hash_table_contains (existing, l->data))
        {
          g_autofree char *key = g_strdup (l->data);

          deleted.key = key;
          report_key (m, &deleted);
        }
    }
}

static void
on_prefix_read (int rc, const struct hk_store_result *res,
                const struct hk_error *err, void *user)
{
  struct hk_mirror *m = user;

  if (m->stopped)
    return;
  note_call_result (m, rc);
  if (rc < 0 || res->revision < m->revision)
    {
      if (rc < 0)
        hk_log_error ("mirror", NULL, err);
      hk_timer_set (&m->retry_timer, MIRROR_RETRY_MS, on_retry_timer, m);
      return;
    }
  report_deleted_keys (m, res);
  for (size_t i = 0; i < res->n_kvs; i++)
    report_key (m, &res->kvs[i]);
  m->revision = res->revision;
  m->loaded = TRUE;
  open_watch (m);
  m->ops->synced (m->user);
}

static void
read_prefix (struct hk_mirror *m)
{
  m->store->ops->range (m->store, m->prefix, TRUE, on_prefix_read, m);
}

/* Opens a new watch. If the next poll finds that one behind too, all keys are
   read first, as the new watch may hang as well. */
static void
replace_watch (struct hk_mirror *m)
{
  hk_log (HK_LOG_WARN, "mirror", NULL, NULL,
          "watch is behind the store; opening a new one");
  if (m->stale_polls++ == 0)
    open_watch (m);
  else
    read_prefix (m);
}

/* The watch is behind if it has not delivered the revision that the previous
   poll saw. Events for the revision that this poll sees may be in flight. */
static void
on_poll (int rc, const struct hk_store_result *res, const struct hk_error *err,
         void *user)
{
  struct hk_mirror *m = user;

  (void)err;
  m->poll_in_flight = FALSE;
  if (m->stopped)
    return;
  note_call_result (m, rc);
  if (rc < 0 || !m->loaded)
    return;
  if (m->polled_revision > m->revision)
    replace_watch (m);
  else
    m->stale_polls = 0;
  if (res->n_kvs == 0)
    return;
  m->polled_revision = res->kvs[0].mod_revision;
  if (strcmp (res->kvs[0].key, m->probe_key) == 0)
    report_key (m, &res->kvs[0]);
}

static void
poll_store (void *user)
{
  struct hk_mirror *m = user;

  hk_timer_set (&m->poll_timer, m->poll_ms, poll_store, m);
  if (m->poll_in_flight)
    return;
  m->poll_in_flight = TRUE;
  if (++m->n_polls % POLLS_PER_NEWEST_READ == 0)
    m->store->ops->newest (m->store, m->prefix, on_poll, m);
  else
    m->store->ops->range (m->store, m->probe_key, FALSE, on_poll, m);
}

void
hk_mirror_start (struct hk_mirror *m)
{
  m->revisions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->connected = TRUE;
  m->stopped = FALSE;
  read_prefix (m);
  hk_timer_set (&m->poll_timer, m->poll_ms, poll_store, m);
}

void
hk_mirror_stop (struct hk_mirror *m)
{
  m->stopped = TRUE;
  hk_timer_clear (&m->retry_timer);
  hk_timer_clear (&m->poll_timer);
  if (m->watch)
    m->store->ops->unwatch (m->watch);
  m->watch = NULL;
  g_clear_pointer (&m->revisions, g_hash_table_unref);
}

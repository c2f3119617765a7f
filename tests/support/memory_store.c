/* In-process fake of the store that replies from the main loop. Injects
   outages, lost replies, delayed writes, deferred reads and partitions. */
#include "memory_store.h"

#include <string.h>

struct item
{
  char *value;
  size_t len;
  int64_t revision;
};

/* A call with a pending reply. */
struct memory_call
{
  struct memory_store *s;
  int rc;
  gboolean succeeded;
  int64_t revision;
  GArray *kvs;
  hk_store_done done;
  void *user;
};

struct delayed_txn
{
  struct hk_store_txn txn;
  GPtrArray *texts;
};

static void
free_item (gpointer data)
{
  struct item *item = data;

  g_free (item->value);
  g_free (item);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  return strcmp (a, b);
}

static void
clear_kv (gpointer data)
{
  struct hk_store_kv *kv = data;

  g_free (kv->key);
  g_free (kv->value);
}

static struct memory_call *
new_call (struct memory_store *s, hk_store_done done, void *user)
{
  struct memory_call *call = g_new0 (struct memory_call, 1);

  call->s = s;
  call->done = done;
  call->user = user;
  call->kvs = g_array_new (FALSE, TRUE, sizeof (struct hk_store_kv));
  g_array_set_clear_func (call->kvs, clear_kv);
  return call;
}

static gboolean
deliver_reply (gpointer data)
{
  struct memory_call *call = data;
  struct hk_store_result result
      = { .revision = call->revision,
          .succeeded = call->succeeded,
          .kvs = (struct hk_store_kv *)call->kvs->data,
          .n_kvs = call->kvs->len };
  struct hk_error err = { 0 };

  if (call->rc < 0)
    hk_error_set (&err, call->rc, "store", "memory", "fault on command");
  call->done (call->rc, &result, &err, call->user);
  g_array_unref (call->kvs);
  g_free (call);
  return G_SOURCE_REMOVE;
}

static void
append_kv (struct memory_call *call, const char *key, const struct item *item)
{
  struct hk_store_kv kv = { .key = g_strdup (key),
                            .len = item->len,
                            .mod_revision = item->revision };

  kv.value = g_malloc0 (item->len + 1);
  memcpy (kv.value, item->value, item->len);
  g_array_append_val (call->kvs, kv);
}

struct scan
{
  struct memory_call *call;
  const char *prefix;
};

static gboolean
append_if_prefixed (gpointer key, gpointer value, gpointer data)
{
  struct scan *scan = data;

  if (g_str_has_prefix (key, scan->prefix))
    append_kv (scan->call, key, value);
  return FALSE;
}

static void
store_range (struct hk_store *base, const char *key, gboolean prefix,
             hk_store_done done, void *user)
{
  struct memory_store *s = (struct memory_store *)base;
  struct memory_call *call = new_call (s, done, user);
  struct scan scan = { call, key };
  const struct item *item;

  call->revision = s->revision;
  if (s->unavailable)
    call->rc = HK_ERR_UNAVAILABLE;
  else if (prefix)
    g_tree_foreach (s->keys, append_if_prefixed, &scan);
  else if ((item = g_tree_lookup (s->keys, key)))
    append_kv (call, key, item);
  if (s->defer_reads)
    g_queue_push_tail (s->deferred_reads, call);
  else
    g_idle_add (deliver_reply, call);
}

/* Interval of progress notifications of an idle watch. */
#define PROGRESS_INTERVAL_MS 300

/* A watch delivers its events from the main loop. */
struct hk_store_watch
{
  struct memory_store *s;
  const struct memory_view *view; /* NULL if the store itself is watched */
  guint progress;
  char *prefix;
  const struct hk_store_watch_ops *ops;
  void *user;
  LIST_ENTRY (hk_store_watch) link;
};

static gboolean
send_progress (gpointer data)
{
  struct hk_store_watch *w = data;

  if (!w->s->unavailable && !(w->view && w->view->partitioned))
    w->ops->progress (w->s->revision, w->user);
  return G_SOURCE_CONTINUE;
}

static struct hk_store_watch *
store_watch (struct hk_store *base, const char *prefix, int64_t from,
             const struct hk_store_watch_ops *ops, void *user)
{
  struct memory_store *s = (struct memory_store *)base;
  struct hk_store_watch *w = g_new0 (struct hk_store_watch, 1);

  (void)from;
  w->s = s;
  w->prefix = g_strdup (prefix);
  w->ops = ops;
  w->user = user;
  w->progress = g_timeout_add (PROGRESS_INTERVAL_MS, send_progress, w);
  LIST_INSERT_HEAD (&s->watches, w, link);
  return w;
}

static void
store_unwatch (struct hk_store_watch *w)
{
  LIST_REMOVE (w, link);
  g_source_remove (w->progress);
  g_free (w->prefix);
  g_free (w);
}

struct watch_event
{
  struct memory_store *s;
  char *key;
  guint source;
  LIST_ENTRY (watch_event) link;
};

static void
free_event (struct watch_event *event)
{
  LIST_REMOVE (event, link);
  g_free (event->key);
  g_free (event);
}

static gboolean
deliver_event (gpointer data)
{
  struct watch_event *event = data;
  const struct item *item = g_tree_lookup (event->s->keys, event->key);
  struct hk_store_watch *w;
  struct hk_store_kv kv = { .key = event->key };

  if (item)
    kv = (struct hk_store_kv){ event->key, item->value, item->len,
                               item->revision };
  LIST_FOREACH (w, &event->s->watches, link)
  if (g_str_has_prefix (event->key, w->prefix))
    w->ops->event (&kv, w->user);
  free_event (event);
  return G_SOURCE_REMOVE;
}

static void
schedule_event (struct memory_store *s, const char *key)
{
  struct watch_event *event;

  if (LIST_EMPTY (&s->watches))
    return;
  event = g_new0 (struct watch_event, 1);
  event->s = s;
  event->key = g_strdup (key);
  event->source = g_idle_add (deliver_event, event);
  LIST_INSERT_HEAD (&s->events, event, link);
}

static gboolean
compare_matches (const struct memory_store *s,
                 const struct hk_store_compare *c)
{
  const struct item *item = g_tree_lookup (s->keys, c->key);

  return (item ? item->revision : 0) == c->mod_revision;
}

static gboolean
apply_txn (struct memory_store *s, const struct hk_store_txn *txn)
{
  for (size_t i = 0; i < txn->n_compares; i++)
    if (!compare_matches (s, &txn->compares[i]))
      return FALSE;
  s->revision++;
  s->txns++;
  for (size_t i = 0; i < txn->n_then; i++)
    {
      const struct hk_store_op *op = &txn->then[i];
      struct item *item;

      if (op->type == HK_STORE_DELETE)
        {
          g_tree_remove (s->keys, op->key);
          continue;
        }
      item = g_new0 (struct item, 1);
      item->len = op->len ? op->len : strlen (op->value);
      item->value = g_malloc0 (item->len + 1);
      memcpy (item->value, op->value, item->len);
      item->revision = s->revision;
      g_tree_replace (s->keys, g_strdup (op->key), item);
      schedule_event (s, op->key);
    }
  return TRUE;
}

static const char *
copy_bytes (struct delayed_txn *d, const char *bytes, size_t len)
{
  char *copy;

  if (!bytes)
    return NULL;
  copy = g_malloc0 (len + 1);
  memcpy (copy, bytes, len);
  g_ptr_array_add (d->texts, copy);
  return copy;
}

static void
delay_txn (struct memory_store *s, const struct hk_store_txn *txn)
{
  struct delayed_txn *d = g_new0 (struct delayed_txn, 1);

  d->txn = *txn;
  d->texts = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < txn->n_compares; i++)
    d->txn.compares[i].key
        = copy_bytes (d, txn->compares[i].key, strlen (txn->compares[i].key));
  for (size_t i = 0; i < txn->n_then; i++)
    {
      const struct hk_store_op *op = &txn->then[i];

      d->txn.then[i].key = copy_bytes (d, op->key, strlen (op->key));
      d->txn.then[i].value = copy_bytes (
          d, op->value, op->len || !op->value ? op->len : strlen (op->value));
    }
  g_queue_push_tail (s->delayed, d);
}

static void
store_batch (struct hk_store *base, const struct hk_store_txn *txns, size_t n,
             hk_store_done done, void *user)
{
  struct memory_store *s = (struct memory_store *)base;
  struct memory_call *call = new_call (s, done, user);

  g_assert_cmpuint (n, ==, 1);
  if (s->unavailable)
    call->rc = HK_ERR_UNAVAILABLE;
  else if (s->delay_writes > 0)
    {
      s->delay_writes--;
      delay_txn (s, &txns[0]);
      call->rc = HK_ERR_TIMEOUT;
    }
  else
    {
      call->succeeded = apply_txn (s, &txns[0]);
      call->revision = s->revision;
      if (!call->succeeded)
        for (size_t i = 0; i < txns[0].n_compares; i++)
          {
            const struct item *item
                = g_tree_lookup (s->keys, txns[0].compares[i].key);

            if (item)
              append_kv (call, txns[0].compares[i].key, item);
          }
      if (s->drop_replies > 0)
        {
          s->drop_replies--;
          call->rc = HK_ERR_TIMEOUT;
        }
    }
  g_idle_add (deliver_reply, call);
}

static const struct hk_store_ops ops = { .range = store_range,
                                         .batch = store_batch,
                                         .watch = store_watch,
                                         .unwatch = store_unwatch };

void
memory_store_init (struct memory_store *s)
{
  memset (s, 0, sizeof *s);
  s->base.ops = &ops;
  s->keys = g_tree_new_full (compare_keys, NULL, g_free, free_item);
  s->deferred_reads = g_queue_new ();
  s->delayed = g_queue_new ();
}

static void
free_delayed_txn (gpointer data)
{
  struct delayed_txn *d = data;

  g_ptr_array_unref (d->texts);
  g_free (d);
}

void
memory_store_finish (struct memory_store *s)
{
  struct watch_event *event;

  while ((event = LIST_FIRST (&s->events)))
    {
      g_source_remove (event->source);
      free_event (event);
    }
  while (memory_store_answer_read (s))
    continue;
  g_queue_free (s->deferred_reads);
  g_queue_free_full (s->delayed, free_delayed_txn);
  g_tree_unref (s->keys);
}

gboolean
memory_store_answer_read (struct memory_store *s)
{
  struct memory_call *call = g_queue_pop_head (s->deferred_reads);

  if (!call)
    return FALSE;
  deliver_reply (call);
  return TRUE;
}

void
memory_store_apply_delayed (struct memory_store *s)
{
  struct delayed_txn *d;

  while ((d = g_queue_pop_head (s->delayed)))
    {
      apply_txn (s, &d->txn);
      free_delayed_txn (d);
    }
}

gboolean
memory_store_has (const struct memory_store *s, const char *key)
{
  return g_tree_lookup (s->keys, key) != NULL;
}

/* Views */

static gboolean
fail_if_partitioned (struct memory_view *v, hk_store_done done, void *user)
{
  struct memory_call *call;

  if (!v->partitioned)
    return FALSE;
  call = new_call (v->s, done, user);
  call->rc = HK_ERR_TIMEOUT;
  g_timeout_add (100, deliver_reply, call);
  return TRUE;
}

static void
view_range (struct hk_store *base, const char *key, gboolean prefix,
            hk_store_done done, void *user)
{
  struct memory_view *v = (struct memory_view *)base;

  if (!fail_if_partitioned (v, done, user))
    store_range (&v->s->base, key, prefix, done, user);
}

static void
view_batch (struct hk_store *base, const struct hk_store_txn *txns, size_t n,
            hk_store_done done, void *user)
{
  struct memory_view *v = (struct memory_view *)base;

  if (!fail_if_partitioned (v, done, user))
    store_batch (&v->s->base, txns, n, done, user);
}

/* A watch of a view gets no events, only progress: changes must be found by
   reads and pings. */
static struct hk_store_watch *
view_watch (struct hk_store *base, const char *prefix, int64_t from,
            const struct hk_store_watch_ops *watch_ops, void *user)
{
  struct memory_view *v = (struct memory_view *)base;
  g_autofree char *unmatched_prefix = g_strconcat ("none/", prefix, NULL);
  struct hk_store_watch *w
      = store_watch (&v->s->base, unmatched_prefix, from, watch_ops, user);

  w->view = v;
  return w;
}

static const struct hk_store_ops view_ops = { .range = view_range,
                                              .batch = view_batch,
                                              .watch = view_watch,
                                              .unwatch = store_unwatch };

void
memory_view_init (struct memory_view *v, struct memory_store *s)
{
  v->base.ops = &view_ops;
  v->s = s;
  v->partitioned = FALSE;
}

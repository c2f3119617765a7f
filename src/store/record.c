/* Conditional writes to the store whose outcome is determined even if a
   response is lost. */
#include "hyssopkeel/record.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/json.h"
#include "hyssopkeel/timer.h"

#define RECORD_RETRY_MS 200

/* A write whose outcome is not known yet. @strings owns copies of the keys and
   values in @txn. */
struct pending_write
{
  struct hk_store *store;
  struct hk_store_txn txn;
  GStringChunk *strings;
  char *write_id;
  int64_t deadline_ms;
  gboolean maybe_applied;
  struct hk_timer retry_timer;
  hk_record_done done;
  void *user;
};

static void
complete_write (struct pending_write *w, int rc,
                const struct hk_store_kv *current, const struct hk_error *err)
{
  hk_timer_clear (&w->retry_timer);
  w->done (rc, current, err, w->user);
  g_string_chunk_free (w->strings);
  g_free (w->write_id);
  g_free (w);
}

static gboolean
has_write_id (const struct hk_store_kv *kv, const char *write_id)
{
  g_autoptr (json_object) obj = NULL;
  const char *id;

  if (hk_json_parse (&obj, kv->value, kv->len, kv->key, NULL) < 0)
    return FALSE;
  id = hk_json_str (obj, "write_id");
  return id && strcmp (id, write_id) == 0;
}

static void send_txn (void *user);

static void
on_txn_done (int rc, const struct hk_store_result *res,
             const struct hk_error *err, void *user)
{
  struct pending_write *w = user;
  const struct hk_store_kv *current;
  struct hk_error conflict;

  if (rc < 0)
    {
      w->maybe_applied |= rc != HK_ERR_UNAVAILABLE;
      if (hk_clock_ms () < w->deadline_ms)
        hk_timer_set (&w->retry_timer, RECORD_RETRY_MS, send_txn, w);
      else
        complete_write (w,
                        w->maybe_applied ? HK_ERR_TIMEOUT : HK_ERR_UNAVAILABLE,
                        NULL, err);
      return;
    }
  if (res->succeeded)
    {
      struct hk_store_kv written = { .mod_revision = res->revision };

      complete_write (w, HK_OK, &written, NULL);
      return;
    }
  current = res->n_kvs > 0 ? &res->kvs[0] : NULL;
  if (current && has_write_id (current, w->write_id))
    {
      complete_write (w, HK_OK, current, NULL);
      return;
    }
  hk_error_set (&conflict, HK_ERR_CONFLICT, "record.write",
                w->txn.compares[0].key, "changed by somebody else");
  complete_write (w, HK_ERR_CONFLICT, current, &conflict);
}

static void
send_txn (void *user)
{
  struct pending_write *w = user;

  w->store->ops->batch (w->store, &w->txn, 1, on_txn_done, w);
}

static void
copy_ops (struct pending_write *w, struct hk_store_op *ops, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      ops[i].key = g_string_chunk_insert (w->strings, ops[i].key);
      if (ops[i].value)
        ops[i].value = g_string_chunk_insert (w->strings, ops[i].value);
    }
}

void
hk_record_write (struct hk_store *store, const struct hk_store_txn *txn,
                 const char *write_id, int64_t timeout_ms, hk_record_done done,
                 void *user)
{
  struct pending_write *w = g_new0 (struct pending_write, 1);

  w->store = store;
  w->txn = *txn;
  w->strings = g_string_chunk_new (1024);
  for (size_t i = 0; i < txn->n_compares; i++)
    w->txn.compares[i].key
        = g_string_chunk_insert (w->strings, txn->compares[i].key);
  copy_ops (w, w->txn.then, txn->n_then);
  copy_ops (w, w->txn.otherwise, txn->n_otherwise);
  w->write_id = g_strdup (write_id);
  w->deadline_ms = hk_clock_ms () + timeout_ms;
  w->done = done;
  w->user = user;
  send_txn (w);
}

void
hk_record_put (struct hk_store *store, const char *key, int64_t mod_revision,
               const char *value, const char *write_id, int64_t timeout_ms,
               hk_record_done done, void *user)
{
  struct hk_store_txn txn;

  hk_store_txn_init_cas (&txn, key, mod_revision, value, 0);
  hk_record_write (store, &txn, write_id, timeout_ms, done, user);
}

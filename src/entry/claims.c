/* Claims on idempotency keys in the platform's store. Claims that arrive
   while a transaction is in flight are written together in the next one. */
#include "entry.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/log.h"

#define BATCH_MAX_CLAIMS 60
#define SWEEP_INTERVAL_MS 10000
#define RETENTION_WINDOWS 2

static const struct hk_json_field fields[] = {
  { "attempt", HK_JSON_STRING, offsetof (struct hk_claim, attempt), TRUE, 1,
    0 },
  { "incarnation", HK_JSON_STRING, offsetof (struct hk_claim, incarnation),
    TRUE, 1, 0 },
  { "instance", HK_JSON_STRING, offsetof (struct hk_claim, instance), TRUE, 1,
    0 },
  { "at_ms", HK_JSON_INT, offsetof (struct hk_claim, at_ms), TRUE, 0, 0 },
  { "write_id", HK_JSON_STRING, offsetof (struct hk_claim, write_id), TRUE, 1,
    0 },
};

struct pending_claim
{
  char *key;
  char *value;
  char *write_id;
  int64_t mod_revision;
  hk_claim_done done;
  void *user;
};

/* A claim in the store, to be deleted after the retention time. */
struct stored_claim
{
  char *key;
  int64_t mod_revision;
  int64_t at_ms;
};

static void send_pending_claims (struct hk_claims *c);
static void track_stored_claim (struct hk_claims *c, const char *key,
                                int64_t mod_revision, int64_t at_ms);

static void
free_pending_claim (gpointer data)
{
  struct pending_claim *pending = data;

  g_free (pending->key);
  g_free (pending->value);
  g_free (pending->write_id);
  g_free (pending);
}

static void
complete_conflict (const struct pending_claim *pending,
                   const struct hk_store_result *res)
{
  struct hk_claim holder = { 0 };
  g_autoptr (json_object) obj = NULL;

  if (res->n_kvs == 0
      || hk_json_parse (&obj, res->kvs[0].value, res->kvs[0].len, pending->key,
                        NULL)
             < 0
      || hk_json_read (obj, fields, G_N_ELEMENTS (fields), &holder,
                       pending->key, "", NULL)
             < 0)
    pending->done (HK_ERR_CONFLICT, NULL, pending->user);
  else
    {
      gboolean own = strcmp (holder.write_id, pending->write_id) == 0;

      holder.mod_revision = res->kvs[0].mod_revision;
      pending->done (own ? HK_OK : HK_ERR_CONFLICT, &holder, pending->user);
    }
  hk_json_clear (fields, G_N_ELEMENTS (fields), &holder);
}

static void
complete_claim (struct hk_claims *c, const struct pending_claim *pending,
                int rc, const struct hk_store_result *res)
{
  struct hk_claim own = { 0 };

  if (rc < 0)
    pending->done (rc, NULL, pending->user);
  else if (res->succeeded)
    {
      own.mod_revision = res->revision;
      track_stored_claim (c, pending->key, res->revision,
                          g_get_real_time () / 1000);
      pending->done (HK_OK, &own, pending->user);
    }
  else
    complete_conflict (pending, res);
}

struct claim_batch
{
  struct hk_claims *owner;
  GPtrArray *items;
};

static void
on_batch_written (int rc, const struct hk_store_result *results,
                  const struct hk_error *err, void *user)
{
  struct claim_batch *b = user;

  b->owner->txn_in_flight = FALSE;
  if (rc < 0)
    hk_log_error ("claims", NULL, err);
  for (guint i = 0; i < b->items->len; i++)
    complete_claim (b->owner, g_ptr_array_index (b->items, i), rc,
                    &results[i]);
  g_ptr_array_unref (b->items);
  send_pending_claims (b->owner);
  g_free (b);
}

static void
send_pending_claims (struct hk_claims *c)
{
  guint n = MIN (c->pending->len, BATCH_MAX_CLAIMS);
  struct hk_store *store = &c->entry->store.base;
  g_autofree struct hk_store_txn *txns = NULL;
  struct claim_batch *b;

  if (n == 0 || c->txn_in_flight)
    return;
  b = g_new0 (struct claim_batch, 1);
  b->owner = c;
  b->items = g_ptr_array_new_with_free_func (free_pending_claim);
  txns = g_new0 (struct hk_store_txn, n);
  for (guint i = 0; i < n; i++)
    {
      struct pending_claim *pending = g_ptr_array_index (c->pending, i);

      hk_store_txn_init_cas (&txns[i], pending->key, pending->mod_revision,
                             pending->value, 0);
      g_ptr_array_add (b->items, pending);
    }
  g_ptr_array_remove_range (c->pending, 0, n);
  c->txn_in_flight = TRUE;
  store->ops->batch (store, txns, n, on_batch_written, b);
}

void
hk_claims_acquire (struct hk_claims *c, const char *name,
                   const struct hk_claim *claim, int64_t mod_revision,
                   hk_claim_done done, void *user)
{
  struct pending_claim *pending = g_new0 (struct pending_claim, 1);
  struct hk_claim record = *claim;
  g_autoptr (json_object) obj = NULL;

  pending->write_id = hk_id_new ("w");
  record.write_id = pending->write_id;
  obj = hk_json_write (fields, G_N_ELEMENTS (fields), &record);
  pending->key = g_strconcat (HK_KEY_CLAIMS, name, NULL);
  pending->value = g_strdup (
      json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
  pending->mod_revision = mod_revision;
  pending->done = done;
  pending->user = user;
  g_ptr_array_add (c->pending, pending);
  send_pending_claims (c);
}

/* Old claims are deleted in batches. A claim is kept for RETENTION_WINDOWS
   times as long as it is honored, so that the clocks of two entries may differ
   by one claim window. */

static void
track_stored_claim (struct hk_claims *c, const char *key, int64_t mod_revision,
                    int64_t at_ms)
{
  struct stored_claim *claim = g_new0 (struct stored_claim, 1);

  claim->key = g_strdup (key);
  claim->mod_revision = mod_revision;
  claim->at_ms = at_ms;
  g_queue_push_tail (c->stored, claim);
}

static void
on_old_claims_deleted (int rc, const struct hk_store_result *results,
                       const struct hk_error *err, void *user)
{
  (void)results;
  (void)user;
  if (rc < 0)
    hk_log_error ("claims", NULL, err);
}

static gboolean
is_past_retention (const struct hk_claims *c, const struct stored_claim *claim)
{
  int64_t retention_ms
      = c->entry->settings->claim_window_s * 1000 * RETENTION_WINDOWS;

  return g_get_real_time () / 1000 - claim->at_ms > retention_ms;
}

static void
delete_old_claims (void *user)
{
  struct hk_claims *c = user;
  struct hk_store *store = &c->entry->store.base;
  struct hk_store_txn txns[BATCH_MAX_CLAIMS] = { 0 };
  struct stored_claim *batch[BATCH_MAX_CLAIMS];
  guint n = 0;

  while (n < BATCH_MAX_CLAIMS && !g_queue_is_empty (c->stored)
         && is_past_retention (c, g_queue_peek_head (c->stored)))
    {
      struct stored_claim *claim = g_queue_pop_head (c->stored);

      batch[n] = claim;
      txns[n].n_compares = 1;
      txns[n].compares[0]
          = (struct hk_store_compare){ claim->key, claim->mod_revision };
      txns[n].n_then = 1;
      txns[n].then[0]
          = (struct hk_store_op){ .type = HK_STORE_DELETE, .key = claim->key };
      n++;
    }
  if (n > 0)
    store->ops->batch (store, txns, n, on_old_claims_deleted, c);
  for (guint i = 0; i < n; i++)
    {
      g_free (batch[i]->key);
      g_free (batch[i]);
    }
  hk_timer_set (&c->sweep_timer,
                n == BATCH_MAX_CLAIMS ? SWEEP_INTERVAL_MS / 10
                                      : SWEEP_INTERVAL_MS,
                delete_old_claims, c);
}

/* All claims found at the start are tracked for deletion, so that those of
   replaced entries are deleted too. Their retention time starts again. */
static void
on_existing_claims (int rc, const struct hk_store_result *res,
                    const struct hk_error *err, void *user)
{
  struct hk_claims *c = user;

  if (rc < 0)
    {
      hk_log_error ("claims", NULL, err);
      return;
    }
  for (size_t i = 0; i < res->n_kvs; i++)
    track_stored_claim (c, res->kvs[i].key, res->kvs[i].mod_revision,
                        g_get_real_time () / 1000);
}

static int
start (struct hk_task *task, struct hk_error *err)
{
  struct hk_claims *c = (struct hk_claims *)task;
  struct hk_store *store = &c->entry->store.base;

  (void)err;
  store->ops->range (store, HK_KEY_CLAIMS, TRUE, on_existing_claims, c);
  hk_timer_set (&c->sweep_timer, SWEEP_INTERVAL_MS, delete_old_claims, c);
  return HK_OK;
}

static void
stop (struct hk_task *task)
{
  struct hk_claims *c = (struct hk_claims *)task;

  hk_timer_clear (&c->sweep_timer);
}

static const struct hk_task_ops ops
    = { .name = "claims", .start = start, .stop = stop };

void
hk_claims_init (struct hk_claims *c, struct hk_entry *entry)
{
  hk_task_init (&c->task, &ops);
  c->entry = entry;
  c->pending = g_ptr_array_new ();
  c->stored = g_queue_new ();
}

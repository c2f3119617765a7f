/* Applies edited tables: three-way merge by row, then one transaction. */
#include "hyssopkeel/table_apply.h"

#include <string.h>

#include "hyssopkeel/id.h"
#include "hyssopkeel/record.h"
#include "hyssopkeel/tables.h"

#define GIVE_UP_MS 10000
#define ROUNDS_MAX 20
#define AUDITS_MAX 60

/* One apply. Each round reads the tables and the audit records since the
   base, merges, and writes under the condition that nothing changed. */
struct apply
{
  struct hk_store *store;
  json_object *edited;
  char *who;
  gboolean dry_run;
  hk_apply_done done;
  void *user;
  int rounds;
  gboolean based; /* base and mine are set */
  int64_t base_revision;
  GPtrArray *mine;
  json_object *current;
  int64_t current_revision;
  int64_t mod_revision;
  GPtrArray *audits; /* json_object since the base, oldest first */
  GPtrArray *merged;
  char *write_id;
  int64_t written_revision;
  struct hk_apply_result result;
};

static void read_tables (struct apply *a);

char *
hk_audit_key (int64_t revision)
{
  return g_strdup_printf (HK_KEY_AUDIT "%012" PRId64, revision);
}

static void
end (struct apply *a, int rc, const struct hk_error *err)
{
  a->result.changes = a->mine;
  a->result.merged = a->merged;
  a->done (rc, &a->result, err, a->user);
  json_object_put (a->edited);
  json_object_put (a->current);
  g_clear_pointer (&a->mine, g_ptr_array_unref);
  g_clear_pointer (&a->audits, g_ptr_array_unref);
  g_clear_pointer (&a->merged, g_ptr_array_unref);
  g_free (a->who);
  g_free (a->write_id);
  g_free (a);
}

static json_object *
copy (json_object *obj)
{
  json_object *out = NULL;

  json_object_deep_copy (obj, &out, NULL);
  return out;
}

static GPtrArray *
changes_of (json_object *audit)
{
  json_object *array = NULL;

  json_object_object_get_ex (audit, "changes", &array);
  return hk_changes_read (array);
}

/* The tables at the base are those in force with all later changes undone. */
static void
find_own_changes (struct apply *a)
{
  gboolean whole = json_object_object_get_ex (a->edited, "revision", NULL);
  g_autoptr (json_object) base = copy (a->current);

  for (guint i = a->audits->len; i > 0; i--)
    {
      g_autoptr (GPtrArray) later
          = changes_of (g_ptr_array_index (a->audits, i - 1));
      hk_changes_undo (base, later);
    }
  a->mine = hk_changes_between (base, a->edited, !whole);
  a->based = TRUE;
}

static gboolean
same_row (json_object *a, json_object *b)
{
  if (!a || !b)
    return a == b;
  return json_object_equal (a, b);
}

static int
check_conflict (struct apply *a, json_object *audit,
                const struct hk_change *theirs, struct hk_error *err)
{
  const struct hk_change *own
      = hk_changes_find (a->mine, theirs->table, theirs->row);
  const char *who = hk_json_str (audit, "who");

  if (!own || same_row (own->after, theirs->after))
    return HK_OK;
  a->result.conflict = own;
  a->result.other = theirs;
  a->result.other_who = who;
  a->result.other_revision = hk_json_int (audit, "revision");
  return hk_error_set (err, HK_ERR_CONFLICT, "tables.apply", theirs->row,
                       "%s/%s was changed by %s in revision %" PRId64,
                       theirs->table, theirs->row, who ? who : "somebody",
                       a->result.other_revision);
}

/* Collects what others changed since the base; clashes end the apply. */
static int
merge_others (struct apply *a, struct hk_error *err)
{
  g_clear_pointer (&a->merged, g_ptr_array_unref);
  a->merged = hk_changes_new ();
  for (guint i = 0; i < a->audits->len; i++)
    {
      json_object *audit = g_ptr_array_index (a->audits, i);
      g_autoptr (GPtrArray) theirs = changes_of (audit);

      for (guint k = 0; k < theirs->len; k++)
        {
          int rc
              = check_conflict (a, audit, g_ptr_array_index (theirs, k), err);
          if (rc < 0)
            {
              /* The result points into this list. */
              g_ptr_array_extend_and_steal (a->merged,
                                            g_steal_pointer (&theirs));
              return rc;
            }
        }
      g_ptr_array_extend_and_steal (a->merged, g_steal_pointer (&theirs));
    }
  return HK_OK;
}

static char *
audit_value (const struct apply *a, int64_t revision)
{
  g_autoptr (json_object) obj = json_object_new_object ();
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *when = g_date_time_format_iso8601 (now);

  json_object_object_add (obj, "revision", json_object_new_int64 (revision));
  json_object_object_add (obj, "who", json_object_new_string (a->who));
  json_object_object_add (obj, "when", json_object_new_string (when));
  json_object_object_add (obj, "write_id",
                          json_object_new_string (a->write_id));
  json_object_object_add (obj, "changes", hk_changes_write (a->mine));
  return g_strdup (
      json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
}

static void
on_written (int rc, const struct hk_store_kv *current,
            const struct hk_error *err, void *user)
{
  struct apply *a = user;
  struct hk_error own;

  (void)current;
  if (rc == HK_OK)
    {
      a->result.revision = a->written_revision;
      end (a, HK_OK, NULL);
    }
  else if (rc == HK_ERR_CONFLICT && ++a->rounds < ROUNDS_MAX)
    read_tables (a); /* also finds out if it was written and then followed */
  else if (rc == HK_ERR_CONFLICT)
    {
      hk_error_set (&own, HK_ERR_UNAVAILABLE, "tables.apply", "",
                    "tables change too fast; nothing was written");
      end (a, HK_ERR_UNAVAILABLE, &own);
    }
  else
    end (a, rc, err);
}

static void
write_tables (struct apply *a, json_object *merged)
{
  int64_t revision = a->current_revision + 1;
  g_autofree char *audit_key = hk_audit_key (revision);
  g_autofree char *audit = NULL;
  struct hk_store_txn txn;

  if (!a->write_id)
    a->write_id = hk_id_new ("w");
  a->written_revision = revision;
  json_object_object_add (merged, "revision",
                          json_object_new_int64 (revision));
  json_object_object_add (merged, "write_id",
                          json_object_new_string (a->write_id));
  audit = audit_value (a, revision);
  hk_store_txn_init_cas (
      &txn, HK_KEY_TABLES, a->mod_revision,
      json_object_to_json_string_ext (merged, JSON_C_TO_STRING_PLAIN), 0);
  txn.n_then = 2;
  txn.then[1] = (struct hk_store_op){ HK_STORE_PUT, audit_key, audit, 0, 0 };
  hk_record_write (a->store, &txn, a->write_id, GIVE_UP_MS, on_written, a);
}

/* An earlier round may have taken effect although its answer was lost and
   somebody else wrote since. */
static gboolean
already_written (struct apply *a)
{
  for (guint i = 0; a->write_id && i < a->audits->len; i++)
    {
      json_object *audit = g_ptr_array_index (a->audits, i);

      if (g_strcmp0 (hk_json_str (audit, "write_id"), a->write_id) == 0)
        {
          a->result.revision = hk_json_int (audit, "revision");
          return TRUE;
        }
    }
  return FALSE;
}

static void
merge (struct apply *a)
{
  g_autoptr (json_object) merged = NULL;
  struct hk_tables checked;
  struct hk_error err = { 0 };
  int rc;

  if (!a->based)
    find_own_changes (a);
  if (already_written (a))
    {
      end (a, HK_OK, NULL);
      return;
    }
  rc = merge_others (a, &err);
  merged = copy (a->current);
  hk_changes_apply (merged, a->mine);
  hk_tables_init (&checked);
  if (rc == HK_OK)
    rc = hk_tables_read (&checked, merged, "tables", &err);
  hk_tables_finish (&checked);
  a->result.revision = a->current_revision;
  if (rc < 0 || a->mine->len == 0 || a->dry_run)
    end (a, rc, &err);
  else
    write_tables (a, merged);
}

static int
take_audits (struct apply *a, const struct hk_store_result *results, size_t n,
             struct hk_error *err)
{
  for (size_t i = 0; i < n; i++)
    {
      json_object *audit = NULL;

      if (results[i].n_kvs == 0)
        return hk_error_set (err, HK_ERR_NOT_FOUND, "tables.apply", "",
                             "the audit trail has a gap; show the tables "
                             "again and redo the edit");
      if (hk_json_parse (&audit, results[i].kvs[0].value,
                         results[i].kvs[0].len, results[i].kvs[0].key, err)
          < 0)
        return HK_ERR_INVALID;
      g_ptr_array_add (a->audits, audit);
    }
  return HK_OK;
}

static void
on_audits (int rc, const struct hk_store_result *results,
           const struct hk_error *err, void *user)
{
  struct apply *a = user;
  struct hk_error own = { 0 };
  size_t n = (size_t)(a->current_revision - a->base_revision);

  if (rc == HK_OK)
    {
      rc = take_audits (a, results, n, &own);
      err = &own;
    }
  if (rc < 0)
    end (a, rc, err);
  else
    merge (a);
}

static void
read_audits (struct apply *a)
{
  int64_t n = a->current_revision - a->base_revision;
  g_autofree struct hk_store_txn *txns = NULL;
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  struct hk_error err;

  g_ptr_array_set_size (a->audits, 0);
  if (n == 0)
    {
      merge (a);
      return;
    }
  if (n < 0 || n > AUDITS_MAX)
    {
      hk_error_set (&err, HK_ERR_INVALID, "tables.apply", "",
                    "the edit is based on revision %" PRId64
                    ", in force is %" PRId64
                    "; show the tables again and redo the edit",
                    a->base_revision, a->current_revision);
      end (a, HK_ERR_INVALID, &err);
      return;
    }
  txns = g_new0 (struct hk_store_txn, (gsize)n);
  for (int64_t i = 0; i < n; i++)
    {
      char *key = hk_audit_key (a->base_revision + 1 + i);

      g_ptr_array_add (keys, key);
      txns[i].n_then = 1;
      txns[i].then[0]
          = (struct hk_store_op){ .type = HK_STORE_GET, .key = key };
    }
  a->store->ops->batch (a->store, txns, (size_t)n, on_audits, a);
}

static int
take_tables (struct apply *a, const struct hk_store_result *res,
             struct hk_error *err)
{
  json_object_put (a->current);
  a->current = NULL;
  a->mod_revision = 0;
  if (res->n_kvs == 0)
    a->current = json_object_new_object ();
  else
    {
      const struct hk_store_kv *kv = &res->kvs[0];
      int rc = hk_json_parse (&a->current, kv->value, kv->len, kv->key, err);

      if (rc < 0)
        return rc;
      a->mod_revision = kv->mod_revision;
    }
  a->current_revision = hk_json_int (a->current, "revision");
  return HK_OK;
}

static void
on_tables (int rc, const struct hk_store_result *res,
           const struct hk_error *err, void *user)
{
  struct apply *a = user;
  struct hk_error own = { 0 };

  if (rc == HK_OK)
    {
      rc = take_tables (a, res, &own);
      err = &own;
    }
  if (rc < 0)
    {
      /* Without an answer to an earlier round, its effect is not known. */
      end (a, a->write_id ? HK_ERR_TIMEOUT : rc, err);
      return;
    }
  if (!a->based)
    a->base_revision = json_object_object_get_ex (a->edited, "revision", NULL)
                           ? hk_json_int (a->edited, "revision")
                           : a->current_revision;
  read_audits (a);
}

static void
read_tables (struct apply *a)
{
  a->store->ops->range (a->store, HK_KEY_TABLES, FALSE, on_tables, a);
}

static void
free_audit (gpointer audit)
{
  json_object_put (audit);
}

void
hk_table_apply (struct hk_store *store, json_object *edited,
                const struct hk_apply_options *options, hk_apply_done done,
                void *user)
{
  struct apply *a = g_new0 (struct apply, 1);

  a->store = store;
  a->edited = json_object_get (edited);
  a->who = g_strdup (options->who);
  a->dry_run = options->dry_run;
  a->audits = g_ptr_array_new_with_free_func (free_audit);
  a->done = done;
  a->user = user;
  read_tables (a);
}

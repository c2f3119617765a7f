/* Applies edited tables: three-way merge by row, then a single conditional
   transaction. Handles concurrent edits by other operators and writes whose
   replies are lost. */
#include "hyssopkeel/table_apply.h"

#include <string.h>

#include "hyssopkeel/id.h"
#include "hyssopkeel/record.h"
#include "hyssopkeel/tables.h"

#define WRITE_TIMEOUT_MS 10000
#define APPLY_ROUNDS_MAX 20
/* Revisions that an edit's base may be behind the current one. */
#define AUDIT_RECORDS_MAX 60

/* State of one apply. Each round reads the tables and the audit records since
   the base revision, merges, and writes on the condition that the tables have
   not changed since the read. */
struct apply
{
  struct hk_store *store;
  json_object *edited;
  char *who;
  gboolean dry_run;
  hk_apply_done done;
  void *user;
  int rounds;
  gboolean base_known; /* base_revision and own_changes are set */
  int64_t base_revision;
  GPtrArray *own_changes;
  json_object *current;
  int64_t current_revision;
  int64_t mod_revision;
  GPtrArray *audits; /* audit records since the base, oldest first */
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
finish_apply (struct apply *a, int rc, const struct hk_error *err)
{
  a->result.changes = a->own_changes;
  a->result.merged = a->merged;
  a->done (rc, &a->result, err, a->user);
  json_object_put (a->edited);
  json_object_put (a->current);
  g_clear_pointer (&a->own_changes, g_ptr_array_unref);
  g_clear_pointer (&a->audits, g_ptr_array_unref);
  g_clear_pointer (&a->merged, g_ptr_array_unref);
  g_free (a->who);
  g_free (a->write_id);
  g_free (a);
}

static json_object *
deep_copy (json_object *obj)
{
  json_object *out = NULL;

  json_object_deep_copy (obj, &out, NULL);
  return out;
}

static GPtrArray *
audit_changes (json_object *audit)
{
  json_object *array = NULL;

  json_object_object_get_ex (audit, "changes", &array);
  return hk_changes_read (array);
}

/* Reconstructs the base by reverting all later changes in the current tables,
   then compares it with the edited tables. */
static void
compute_own_changes (struct apply *a)
{
  gboolean full_edit = json_object_object_get_ex (a->edited, "revision", NULL);
  g_autoptr (json_object) base = deep_copy (a->current);

  for (guint i = a->audits->len; i > 0; i--)
    {
      g_autoptr (GPtrArray) later
          = audit_changes (g_ptr_array_index (a->audits, i - 1));
      hk_changes_undo (base, later);
    }
  a->own_changes = hk_changes_between (base, a->edited, !full_edit);
  a->base_known = TRUE;
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
      = hk_changes_find (a->own_changes, theirs->table, theirs->row);
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

/* Collects the changes that others made since the base. A conflict with an
   own change fails the apply. */
static int
collect_other_changes (struct apply *a, struct hk_error *err)
{
  g_clear_pointer (&a->merged, g_ptr_array_unref);
  a->merged = hk_changes_new ();
  for (guint i = 0; i < a->audits->len; i++)
    {
      json_object *audit = g_ptr_array_index (a->audits, i);
      g_autoptr (GPtrArray) theirs = audit_changes (audit);

      for (guint k = 0; k < theirs->len; k++)
        {
          int rc
              = check_conflict (a, audit, g_ptr_array_index (theirs, k), err);
          if (rc < 0)
            {
              /* result.other points into this list. */
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
format_audit (const struct apply *a, int64_t revision)
{
  g_autoptr (json_object) obj = json_object_new_object ();
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *when = g_date_time_format_iso8601 (now);

  json_object_object_add (obj, "revision", json_object_new_int64 (revision));
  json_object_object_add (obj, "who", json_object_new_string (a->who));
  json_object_object_add (obj, "when", json_object_new_string (when));
  json_object_object_add (obj, "write_id",
                          json_object_new_string (a->write_id));
  json_object_object_add (obj, "changes", hk_changes_write (a->own_changes));
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
      finish_apply (a, HK_OK, NULL);
    }
  else if (rc == HK_ERR_CONFLICT && ++a->rounds < APPLY_ROUNDS_MAX)
    read_tables (a); /* may show that this write did take effect */
  else if (rc == HK_ERR_CONFLICT)
    {
      hk_error_set (&own, HK_ERR_UNAVAILABLE, "tables.apply", "",
                    "the tables were changed by others during each attempt; "
                    "nothing was written");
      finish_apply (a, HK_ERR_UNAVAILABLE, &own);
    }
  else
    finish_apply (a, rc, err);
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
  audit = format_audit (a, revision);
  hk_store_txn_init_cas (
      &txn, HK_KEY_TABLES, a->mod_revision,
      json_object_to_json_string_ext (merged, JSON_C_TO_STRING_PLAIN), 0);
  txn.n_then = 2;
  txn.then[1] = (struct hk_store_op){ HK_STORE_PUT, audit_key, audit, 0, 0 };
  hk_record_write (a->store, &txn, a->write_id, WRITE_TIMEOUT_MS, on_written,
                   a);
}

/* Detects a write of an earlier round that took effect although its reply was
   lost, and that others have since written over. */
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
merge_and_write (struct apply *a)
{
  g_autoptr (json_object) merged = NULL;
  struct hk_tables checked;
  struct hk_error err = { 0 };
  int rc;

  if (!a->base_known)
    compute_own_changes (a);
  if (already_written (a))
    {
      finish_apply (a, HK_OK, NULL);
      return;
    }
  rc = collect_other_changes (a, &err);
  merged = deep_copy (a->current);
  hk_changes_apply (merged, a->own_changes);
  hk_tables_init (&checked);
  if (rc == HK_OK)
    rc = hk_tables_read (&checked, merged, "tables", &err);
  hk_tables_finish (&checked);
  a->result.revision = a->current_revision;
  if (rc < 0 || a->own_changes->len == 0 || a->dry_run)
    finish_apply (a, rc, &err);
  else
    write_tables (a, merged);
}

static int
parse_audits (struct apply *a, const struct hk_store_result *results, size_t n,
              struct hk_error *err)
{
  for (size_t i = 0; i < n; i++)
    {
      json_object *audit = NULL;

      if (results[i].n_kvs == 0)
        return hk_error_set (err, HK_ERR_NOT_FOUND, "tables.apply", "",
                             "an audit record since the base revision is "
                             "missing; show the tables again and redo the "
                             "edit");
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
      rc = parse_audits (a, results, n, &own);
      err = &own;
    }
  if (rc < 0)
    finish_apply (a, rc, err);
  else
    merge_and_write (a);
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
      merge_and_write (a);
      return;
    }
  if (n < 0 || n > AUDIT_RECORDS_MAX)
    {
      hk_error_set (&err, HK_ERR_INVALID, "tables.apply", "",
                    "the edit is based on revision %" PRId64
                    ", but the current revision is %" PRId64
                    "; show the tables again and redo the edit",
                    a->base_revision, a->current_revision);
      finish_apply (a, HK_ERR_INVALID, &err);
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
parse_tables (struct apply *a, const struct hk_store_result *res,
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
      rc = parse_tables (a, res, &own);
      err = &own;
    }
  if (rc < 0)
    {
      /* An earlier round may have written; without this read its outcome is
         unknown. */
      finish_apply (a, a->write_id ? HK_ERR_TIMEOUT : rc, err);
      return;
    }
  if (!a->base_known)
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

/* Keys, revisions, leases and transactions of the store stand-in; requests
   and responses are those of the etcd v3 JSON gateway. */
#include "store_data.h"

#include <string.h>

#include "../src/store/etcd_codec.h"
#include "hyssopkeel/clock.h"

struct kv_entry
{
  char *value;
  int64_t create_revision;
  int64_t mod_revision;
  int64_t version;
  int64_t lease;
};

struct lease
{
  int64_t id;
  int64_t ttl_s;
  int64_t expires_ms;
};

static void
free_kv_entry (gpointer data)
{
  struct kv_entry *e = data;

  g_free (e->value);
  g_free (e);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  return strcmp (a, b);
}

void
store_data_init (struct store_data *d)
{
  memset (d, 0, sizeof *d);
  d->revision = 1;
  d->next_lease = 1000;
  d->keys = g_tree_new_full (compare_keys, NULL, g_free, free_kv_entry);
  d->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  d->events = g_ptr_array_new ();
}

char *
store_data_decode (json_object *obj, const char *name)
{
  const char *base64 = hk_json_str (obj, name);
  g_autofree guchar *raw = NULL;
  gsize n = 0;

  if (base64 && *base64)
    raw = g_base64_decode (base64, &n);
  return g_strndup (raw ? (char *)raw : "", n);
}

json_object *
store_data_header (const struct store_data *d)
{
  json_object *obj = json_object_new_object ();

  etcd_add_int64 (obj, "revision", d->revision);
  return obj;
}

static json_object *
new_response (const struct store_data *d)
{
  json_object *obj = json_object_new_object ();

  json_object_object_add (obj, "header", store_data_header (d));
  return obj;
}

static void
append_event (struct store_data *d, gboolean deleted, const char *key,
              const char *value)
{
  struct store_event *ev = g_new0 (struct store_event, 1);

  ev->deleted = deleted;
  ev->key = g_strdup (key);
  ev->value = g_strdup (value);
  ev->revision = d->revision;
  g_ptr_array_add (d->events, ev);
}

static json_object *
encode_kv (const char *key, const struct kv_entry *e)
{
  json_object *kv = json_object_new_object ();

  etcd_add_bytes (kv, "key", key);
  etcd_add_int64 (kv, "create_revision", e->create_revision);
  etcd_add_int64 (kv, "mod_revision", e->mod_revision);
  etcd_add_int64 (kv, "version", e->version);
  etcd_add_bytes (kv, "value", e->value);
  if (e->lease)
    etcd_add_int64 (kv, "lease", e->lease);
  return kv;
}

/* The one sorted query that the scheduler sends: highest mod_revision first,
   limited to one key. */
static json_object *
range_newest (struct store_data *d, const char *key, const char *end)
{
  json_object *list = json_object_new_array ();
  GTreeNode *node = g_tree_lower_bound (d->keys, key);
  GTreeNode *newest = NULL;

  for (; node && strcmp (g_tree_node_key (node), end) < 0;
       node = g_tree_node_next (node))
    {
      const struct kv_entry *e = g_tree_node_value (node);
      const struct kv_entry *newest_entry
          = newest ? g_tree_node_value (newest) : NULL;

      if (!newest_entry || e->mod_revision > newest_entry->mod_revision)
        newest = node;
    }
  if (newest)
    json_object_array_add (list, encode_kv (g_tree_node_key (newest),
                                            g_tree_node_value (newest)));
  return list;
}

json_object *
store_data_range (struct store_data *d, json_object *req)
{
  g_autofree char *key = store_data_decode (req, "key");
  g_autofree char *end = store_data_decode (req, "range_end");
  json_object *list = json_object_new_array ();
  json_object *obj = new_response (d);
  GTreeNode *node = g_tree_lower_bound (d->keys, key);

  if (hk_json_str (req, "sort_order"))
    {
      json_object_object_add (obj, "kvs", range_newest (d, key, end));
      json_object_put (list);
      return obj;
    }
  for (; node; node = g_tree_node_next (node))
    {
      const char *name = g_tree_node_key (node);

      if (*end ? strcmp (name, end) >= 0 : strcmp (name, key) != 0)
        break;
      json_object_array_add (list, encode_kv (name, g_tree_node_value (node)));
    }
  etcd_add_int64 (obj, "count", (int64_t)json_object_array_length (list));
  json_object_object_add (obj, "kvs", list);
  return obj;
}

/* The caller has incremented the revision: all writes of one transaction
   share it. Fails if the named lease does not exist. */
static gboolean
put_key (struct store_data *d, json_object *req)
{
  g_autofree char *key = store_data_decode (req, "key");
  int64_t lease = hk_json_int (req, "lease");
  struct kv_entry *old = g_tree_lookup (d->keys, key);
  struct kv_entry *e;

  if (lease && !g_hash_table_contains (d->leases, &lease))
    return FALSE;
  e = g_new0 (struct kv_entry, 1);
  e->value = store_data_decode (req, "value");
  e->create_revision = old ? old->create_revision : d->revision;
  e->version = old ? old->version + 1 : 1;
  e->mod_revision = d->revision;
  e->lease = lease;
  append_event (d, FALSE, key, e->value);
  g_tree_replace (d->keys, g_strdup (key), e);
  return TRUE;
}

static void
delete_key (struct store_data *d, const char *key)
{
  if (g_tree_remove (d->keys, key))
    append_event (d, TRUE, key, "");
}

json_object *
store_data_put (struct store_data *d, json_object *req)
{
  d->revision++;
  if (!put_key (d, req))
    {
      d->revision--;
      return NULL;
    }
  return new_response (d);
}

static gboolean
compare_succeeds (struct store_data *d, json_object *cmp)
{
  g_autofree char *key = store_data_decode (cmp, "key");
  const char *target = hk_json_str (cmp, "target");
  const struct kv_entry *e = g_tree_lookup (d->keys, key);

  if (g_strcmp0 (target, "CREATE") == 0)
    return (e ? e->create_revision : 0)
           == hk_json_int (cmp, "create_revision");
  return (e ? e->mod_revision : 0) == hk_json_int (cmp, "mod_revision");
}

static gboolean
all_compares_succeed (struct store_data *d, json_object *req)
{
  json_object *list = NULL;

  if (!json_object_object_get_ex (req, "compare", &list))
    return TRUE;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    if (!compare_succeeds (d, json_object_array_get_idx (list, i)))
      return FALSE;
  return TRUE;
}

static json_object *run_txn (struct store_data *d, json_object *req,
                             gboolean *failed);

static json_object *
run_op (struct store_data *d, json_object *op, gboolean *failed)
{
  json_object *out = json_object_new_object ();
  json_object *req = NULL;

  if (json_object_object_get_ex (op, "request_put", &req))
    {
      if (!put_key (d, req))
        *failed = TRUE;
      json_object_object_add (out, "response_put", new_response (d));
    }
  else if (json_object_object_get_ex (op, "request_delete_range", &req))
    {
      g_autofree char *key = store_data_decode (req, "key");

      delete_key (d, key);
      json_object_object_add (out, "response_delete_range", new_response (d));
    }
  else if (json_object_object_get_ex (op, "request_range", &req))
    json_object_object_add (out, "response_range", store_data_range (d, req));
  else if (json_object_object_get_ex (op, "request_txn", &req))
    json_object_object_add (out, "response_txn", run_txn (d, req, failed));
  return out;
}

static json_object *
run_txn (struct store_data *d, json_object *req, gboolean *failed)
{
  gboolean succeeded = all_compares_succeed (d, req);
  json_object *responses = json_object_new_array ();
  json_object *ops = NULL;
  json_object *obj;

  if (json_object_object_get_ex (req, succeeded ? "success" : "failure", &ops))
    for (size_t i = 0; i < json_object_array_length (ops); i++)
      json_object_array_add (
          responses, run_op (d, json_object_array_get_idx (ops, i), failed));
  obj = new_response (d);
  json_object_object_add (obj, "succeeded",
                          json_object_new_boolean (succeeded));
  json_object_object_add (obj, "responses", responses);
  return obj;
}

json_object *
store_data_txn (struct store_data *d, json_object *req)
{
  guint events = d->events->len;
  gboolean failed = FALSE;
  json_object *obj;

  d->revision++;
  obj = run_txn (d, req, &failed);
  /* As in etcd, a transaction without writes has no revision of its own. */
  if (d->events->len == events)
    {
      d->revision--;
      json_object_object_add (obj, "header", store_data_header (d));
    }
  if (failed)
    g_clear_pointer (&obj, json_object_put);
  return obj;
}

json_object *
store_data_grant (struct store_data *d, int64_t ttl_s)
{
  struct lease *lease = g_new0 (struct lease, 1);
  json_object *obj = new_response (d);

  lease->id = d->next_lease++;
  lease->ttl_s = ttl_s;
  lease->expires_ms = hk_clock_ms () + ttl_s * 1000;
  g_hash_table_insert (d->leases, &lease->id, lease);
  etcd_add_int64 (obj, "ID", lease->id);
  etcd_add_int64 (obj, "TTL", ttl_s);
  return obj;
}

json_object *
store_data_keepalive (struct store_data *d, int64_t id)
{
  struct lease *lease = g_hash_table_lookup (d->leases, &id);
  json_object *outer = json_object_new_object ();
  json_object *obj = new_response (d);

  if (lease)
    lease->expires_ms = hk_clock_ms () + lease->ttl_s * 1000;
  etcd_add_int64 (obj, "ID", id);
  etcd_add_int64 (obj, "TTL", lease ? lease->ttl_s : 0);
  json_object_object_add (outer, "result", obj);
  return outer;
}

struct lease_keys
{
  int64_t lease;
  GPtrArray *keys;
};

static gboolean
collect_lease_key (gpointer key, gpointer value, gpointer user)
{
  const struct kv_entry *e = value;
  struct lease_keys *c = user;

  if (e->lease == c->lease)
    g_ptr_array_add (c->keys, g_strdup (key));
  return FALSE;
}

static void
revoke_lease (struct store_data *d, int64_t id)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  struct lease_keys c = { id, keys };

  if (!g_hash_table_remove (d->leases, &id))
    return;
  g_tree_foreach (d->keys, collect_lease_key, &c);
  if (keys->len > 0)
    d->revision++;
  for (guint i = 0; i < keys->len; i++)
    delete_key (d, g_ptr_array_index (keys, i));
}

void
store_data_revoke (struct store_data *d, int64_t id)
{
  g_autoptr (GList) all = NULL;

  if (id)
    {
      revoke_lease (d, id);
      return;
    }
  all = g_hash_table_get_values (d->leases);
  for (GList *l = all; l; l = l->next)
    {
      const struct lease *lease = l->data;
      revoke_lease (d, lease->id);
    }
}

void
store_data_expire (struct store_data *d)
{
  g_autoptr (GList) all = g_hash_table_get_values (d->leases);
  int64_t now = hk_clock_ms ();

  for (GList *l = all; l; l = l->next)
    {
      const struct lease *lease = l->data;
      if (lease->expires_ms <= now)
        revoke_lease (d, lease->id);
    }
}

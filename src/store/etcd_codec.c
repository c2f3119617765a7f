/* Encodes and decodes the JSON messages of the etcd v3 gateway, as defined in
   etcd's rpc.proto. */
#include "etcd_codec.h"

#include <string.h>

static void
add_base64 (json_object *obj, const char *name, const char *data, size_t len)
{
  g_autofree char *coded = g_base64_encode ((const guchar *)data, len);

  json_object_object_add (obj, name, json_object_new_string (coded));
}

void
etcd_add_bytes (json_object *obj, const char *name, const char *text)
{
  add_base64 (obj, name, text, strlen (text));
}

void
etcd_add_int64 (json_object *obj, const char *name, int64_t value)
{
  char digits[24];

  g_snprintf (digits, sizeof digits, "%" PRId64, value);
  json_object_object_add (obj, name, json_object_new_string (digits));
}

void
etcd_add_prefix (json_object *obj, const char *prefix)
{
  g_autofree char *end = g_strdup (prefix);

  end[strlen (end) - 1]++;
  etcd_add_bytes (obj, "range_end", end);
}

static json_object *
encode_op (const struct hk_store_op *op)
{
  static const char *const names[]
      = { "request_put", "request_delete_range", "request_range" };
  json_object *outer = json_object_new_object ();
  json_object *inner = json_object_new_object ();

  etcd_add_bytes (inner, "key", op->key);
  if (op->type == HK_STORE_PUT)
    add_base64 (inner, "value", op->value,
                op->len ? op->len : strlen (op->value));
  if (op->lease)
    etcd_add_int64 (inner, "lease", op->lease);
  json_object_object_add (outer, names[op->type], inner);
  return outer;
}

static json_object *
encode_compare (const struct hk_store_compare *cmp)
{
  json_object *obj = json_object_new_object ();

  etcd_add_bytes (obj, "key", cmp->key);
  json_object_object_add (obj, "result", json_object_new_string ("EQUAL"));
  json_object_object_add (obj, "target", json_object_new_string ("MOD"));
  etcd_add_int64 (obj, "mod_revision", cmp->mod_revision);
  return obj;
}

static json_object *
encode_ops (const struct hk_store_op *ops, size_t n)
{
  json_object *list = json_object_new_array ();

  for (size_t i = 0; i < n; i++)
    json_object_array_add (list, encode_op (&ops[i]));
  return list;
}

static json_object *
encode_txn (const struct hk_store_txn *txn)
{
  json_object *obj = json_object_new_object ();
  json_object *compares = json_object_new_array ();

  for (size_t i = 0; i < txn->n_compares; i++)
    json_object_array_add (compares, encode_compare (&txn->compares[i]));
  json_object_object_add (obj, "compare", compares);
  json_object_object_add (obj, "success", encode_ops (txn->then, txn->n_then));
  json_object_object_add (obj, "failure",
                          encode_ops (txn->otherwise, txn->n_otherwise));
  return obj;
}

json_object *
etcd_encode_batch (const struct hk_store_txn *txns, size_t n)
{
  json_object *obj = json_object_new_object ();
  json_object *list = json_object_new_array ();

  if (n == 1)
    {
      json_object_put (list);
      json_object_put (obj);
      return encode_txn (&txns[0]);
    }
  for (size_t i = 0; i < n; i++)
    {
      json_object *op = json_object_new_object ();

      json_object_object_add (op, "request_txn", encode_txn (&txns[i]));
      json_object_array_add (list, op);
    }
  json_object_object_add (obj, "success", list);
  return obj;
}

static char *
decode_bytes (json_object *obj, const char *name, size_t *len)
{
  const char *coded = hk_json_str (obj, name);
  g_autofree guchar *raw = NULL;
  gsize n = 0;
  char *bytes;

  if (coded && *coded)
    raw = g_base64_decode (coded, &n);
  bytes = g_malloc0 (n + 1);
  if (n > 0)
    memcpy (bytes, raw, n);
  *len = n;
  return bytes;
}

int
etcd_decode_kv (struct hk_store_kv *kv, json_object *obj)
{
  size_t len;

  if (!json_object_is_type (obj, json_type_object))
    return HK_ERR_PROTOCOL;
  kv->key = decode_bytes (obj, "key", &len);
  kv->value = decode_bytes (obj, "value", &kv->len);
  kv->mod_revision = hk_json_int (obj, "mod_revision");
  return *kv->key ? HK_OK : HK_ERR_PROTOCOL;
}

void
etcd_clear_kv (struct hk_store_kv *kv)
{
  g_clear_pointer (&kv->key, g_free);
  g_clear_pointer (&kv->value, g_free);
}

static json_object *
get_member (json_object *obj, const char *name, json_type type)
{
  json_object *value = NULL;

  if (!json_object_is_type (obj, json_type_object))
    return NULL;
  json_object_object_get_ex (obj, name, &value);
  return json_object_is_type (value, type) ? value : NULL;
}

static int
append_kvs (struct hk_store_result *res, json_object *range)
{
  json_object *list = get_member (range, "kvs", json_type_array);
  size_t n = list ? json_object_array_length (list) : 0;

  if (n == 0)
    return HK_OK;
  res->kvs = g_renew (struct hk_store_kv, res->kvs, res->n_kvs + n);
  for (size_t i = 0; i < n; i++)
    {
      struct hk_store_kv *kv = &res->kvs[res->n_kvs++];

      memset (kv, 0, sizeof *kv);
      if (etcd_decode_kv (kv, json_object_array_get_idx (list, i)) < 0)
        return HK_ERR_PROTOCOL;
    }
  return HK_OK;
}

static int
decode_txn (struct hk_store_result *res, json_object *obj)
{
  json_object *list = get_member (obj, "responses", json_type_array);
  size_t n = list ? json_object_array_length (list) : 0;
  json_object *flag = get_member (obj, "succeeded", json_type_boolean);

  res->succeeded = flag && json_object_get_boolean (flag);
  for (size_t i = 0; i < n; i++)
    {
      json_object *response = json_object_array_get_idx (list, i);
      json_object *range
          = get_member (response, "response_range", json_type_object);

      if (range && append_kvs (res, range) < 0)
        return HK_ERR_PROTOCOL;
    }
  return HK_OK;
}

static int
decode_batch (struct hk_store_result *results, size_t n, json_object *obj)
{
  json_object *list = get_member (obj, "responses", json_type_array);

  if (!list || json_object_array_length (list) != n)
    return HK_ERR_PROTOCOL;
  for (size_t i = 0; i < n; i++)
    {
      json_object *inner = get_member (json_object_array_get_idx (list, i),
                                       "response_txn", json_type_object);

      if (!inner || decode_txn (&results[i], inner) < 0)
        return HK_ERR_PROTOCOL;
      results[i].revision = results[0].revision;
    }
  return HK_OK;
}

int
etcd_decode_result (struct hk_store_result *results, size_t n,
                    json_object *obj, gboolean batch)
{
  json_object *header = get_member (obj, "header", json_type_object);

  if (!json_object_is_type (obj, json_type_object))
    return HK_ERR_PROTOCOL;
  results[0].revision = hk_json_int (header, "revision");
  results[0].lease = hk_json_int (obj, "ID");
  results[0].ttl_s = hk_json_int (obj, "TTL");
  if (batch && n > 1)
    return decode_batch (results, n, obj);
  if (batch)
    return decode_txn (&results[0], obj);
  return append_kvs (&results[0], obj);
}

void
etcd_clear_results (struct hk_store_result *results, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      for (size_t k = 0; k < results[i].n_kvs; k++)
        etcd_clear_kv (&results[i].kvs[k]);
      g_clear_pointer (&results[i].kvs, g_free);
    }
}

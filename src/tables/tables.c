/* Parses and validates the two tables that operators edit: routes and
   pools. */
#include "hyssopkeel/tables.h"

#include <string.h>

#include "hyssopkeel/id.h"

#define ROW_NAME_MAX_BYTES 64
#define DEADLINE_MAX_MS 3600000

static const struct hk_json_field route_fields[] = {
  { "pool", HK_JSON_STRING, offsetof (struct hk_route, pool), TRUE, 1, 64 },
  { "kind", HK_JSON_STRING, offsetof (struct hk_route, kind_name), TRUE, 1,
    16 },
  { "urgency", HK_JSON_INT, offsetof (struct hk_route, urgency), FALSE, 0, 9 },
  { "share", HK_JSON_INT, offsetof (struct hk_route, share), FALSE, 0, 100 },
  { "deadline_ms", HK_JSON_INT, offsetof (struct hk_route, deadline_ms), FALSE,
    1, DEADLINE_MAX_MS },
  { "idempotent", HK_JSON_BOOL, offsetof (struct hk_route, idempotent), FALSE,
    0, 0 },
  { "hedge", HK_JSON_BOOL, offsetof (struct hk_route, hedge), FALSE, 0, 0 },
  { "cpu_milli", HK_JSON_INT, offsetof (struct hk_route, cpu_milli), FALSE, 0,
    1024000 },
  { "memory_mb", HK_JSON_INT, offsetof (struct hk_route, memory_mb), FALSE, 0,
    16777216 },
  { "accelerators", HK_JSON_INT, offsetof (struct hk_route, accelerators),
    FALSE, 0, 64 },
  { "queue", HK_JSON_INT, offsetof (struct hk_route, queue), FALSE, 0,
    100000 },
};

static const struct hk_json_field pool_fields[] = {
  { "description", HK_JSON_STRING, offsetof (struct hk_pool, description),
    FALSE, 0, 200 },
  { "retry_percent", HK_JSON_INT, offsetof (struct hk_pool, retry_percent),
    FALSE, 0, 100 },
  { "set_aside_failures", HK_JSON_INT,
    offsetof (struct hk_pool, set_aside_failures), FALSE, 1, 1000 },
  { "evict", HK_JSON_BOOL, offsetof (struct hk_pool, evict), FALSE, 0, 0 },
  { "slowdown_percent", HK_JSON_INT,
    offsetof (struct hk_pool, slowdown_percent), FALSE, 101, 10000 },
  { "quotas", HK_JSON_STRV, offsetof (struct hk_pool, quotas), FALSE, 0,
    10000 },
};

static const char *const kind_names[] = { "interactive", "batch", "service" };

static void
free_route (gpointer data)
{
  struct hk_route *route = data;

  hk_json_clear (route_fields, G_N_ELEMENTS (route_fields), route);
  g_free (route->name);
  g_free (route);
}

static void
free_pool (gpointer data)
{
  struct hk_pool *pool = data;

  hk_json_clear (pool_fields, G_N_ELEMENTS (pool_fields), pool);
  g_free (pool->name);
  g_free (pool);
}

void
hk_tables_init (struct hk_tables *t)
{
  memset (t, 0, sizeof *t);
  t->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_route);
  t->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_pool);
}

void
hk_tables_finish (struct hk_tables *t)
{
  g_clear_pointer (&t->routes, g_hash_table_unref);
  g_clear_pointer (&t->pools, g_hash_table_unref);
  g_clear_pointer (&t->write_id, g_free);
  g_clear_pointer (&t->source, json_object_put);
  t->revision = 0;
}

static int
set_check_error (struct hk_error *err, const char *name, const char *path,
                 const char *rule)
{
  return hk_error_set (err, HK_ERR_INVALID, "tables.check", name, "%s: %s",
                       path, rule);
}

static int
check_quotas (char **quotas, const char *name, const char *path,
              struct hk_error *err)
{
  for (; quotas && *quotas; quotas++)
    {
      const char *separator = strchr (*quotas, '=');

      if (!separator || separator == *quotas
          || !g_ascii_string_to_unsigned (separator + 1, 10, 0, 1000000, NULL,
                                          NULL))
        return set_check_error (err, name, path,
                                "quotas must look like \"team=12\"");
    }
  return HK_OK;
}

static int
read_pool (struct hk_tables *t, const char *key, json_object *value,
           const char *name, const char *path, struct hk_error *err)
{
  struct hk_pool *pool = g_new0 (struct hk_pool, 1);
  int rc;

  pool->name = g_strdup (key);
  pool->retry_percent = 10;
  pool->set_aside_failures = 10;
  pool->slowdown_percent = 120;
  pool->evict = TRUE;
  g_hash_table_replace (t->pools, pool->name, pool);
  rc = hk_json_read (value, pool_fields, G_N_ELEMENTS (pool_fields), pool,
                     name, path, err);
  if (rc < 0)
    return rc;
  return check_quotas (pool->quotas, name, path, err);
}

static int
check_kind (struct hk_route *route, const char *name, const char *path,
            struct hk_error *err)
{
  for (guint i = 0; i < G_N_ELEMENTS (kind_names); i++)
    if (strcmp (route->kind_name, kind_names[i]) == 0)
      {
        route->kind = i;
        return HK_OK;
      }
  return set_check_error (err, name, path,
                          "kind must be interactive, batch or service");
}

static int
read_route (struct hk_tables *t, const char *key, json_object *value,
            const char *name, const char *path, struct hk_error *err)
{
  struct hk_route *route = g_new0 (struct hk_route, 1);
  int rc;

  route->name = g_strdup (key);
  route->urgency = 5;
  route->deadline_ms = 1000;
  route->cpu_milli = 1000;
  route->memory_mb = 256;
  route->queue = 64;
  g_hash_table_replace (t->routes, route->name, route);
  rc = hk_json_read (value, route_fields, G_N_ELEMENTS (route_fields), route,
                     name, path, err);
  if (rc < 0)
    return rc;
  if (route->hedge && !route->idempotent)
    return set_check_error (err, name, path,
                            "only idempotent routes may hedge");
  return check_kind (route, name, path, err);
}

typedef int (*row_reader) (struct hk_tables *t, const char *key,
                           json_object *value, const char *name,
                           const char *path, struct hk_error *err);

static int
read_rows (struct hk_tables *t, json_object *obj, const char *table,
           row_reader read_row, const char *name, struct hk_error *err)
{
  json_object *rows = NULL;

  if (!json_object_object_get_ex (obj, table, &rows))
    return HK_OK;
  json_object_object_foreach (rows, key, value)
  {
    g_autofree char *path = g_strdup_printf ("/%s/%s", table, key);
    int rc;

    if (!hk_id_valid (key, ROW_NAME_MAX_BYTES))
      return set_check_error (
          err, name, path, "a name has letters, digits, '.', '_', '-' only");
    rc = read_row (t, key, value, name, path, err);
    if (rc < 0)
      return rc;
  }
  return HK_OK;
}

/* Each route must name an existing pool, and the shares that the routes of a
   pool reserve must not exceed 100 per cent. */
static int
check_pool_references (const struct hk_tables *t, const char *name,
                       struct hk_error *err)
{
  g_autoptr (GHashTable) sums = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, t->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct hk_route *route = value;
      g_autofree char *path = g_strdup_printf ("/routes/%s", route->name);
      gint64 sum;

      if (!g_hash_table_contains (t->pools, route->pool))
        {
          g_autofree char *rule
              = g_strdup_printf ("pool \"%s\" does not exist", route->pool);
          return set_check_error (err, name, path, rule);
        }
      sum = GPOINTER_TO_INT (g_hash_table_lookup (sums, route->pool))
            + route->share;
      if (sum > 100)
        return set_check_error (err, name, path,
                                "shares of its pool add up to more than 100");
      g_hash_table_insert (sums, route->pool, GINT_TO_POINTER ((int)sum));
    }
  return HK_OK;
}

int
hk_tables_check_keys (json_object *obj, const char *name, struct hk_error *err)
{
  static const char *const known[]
      = { "revision", "write_id", "routes", "pools", NULL };

  if (!json_object_is_type (obj, json_type_object))
    return set_check_error (err, name, "/", "must be an object");
  json_object_object_foreach (obj, key, value)
  {
    gboolean table = strcmp (key, "routes") == 0 || strcmp (key, "pools") == 0;

    if (!g_strv_contains (known, key))
      return set_check_error (err, name, key, "unknown key");
    if (table && !json_object_is_type (value, json_type_object))
      return set_check_error (err, name, key, "must be an object of rows");
  }
  return HK_OK;
}

int
hk_tables_read (struct hk_tables *t, json_object *obj, const char *name,
                struct hk_error *err)
{
  struct hk_tables parsed;
  int rc;

  hk_tables_init (&parsed);
  rc = hk_tables_check_keys (obj, name, err);
  if (rc == HK_OK)
    rc = read_rows (&parsed, obj, "pools", read_pool, name, err);
  if (rc == HK_OK)
    rc = read_rows (&parsed, obj, "routes", read_route, name, err);
  if (rc == HK_OK)
    rc = check_pool_references (&parsed, name, err);
  if (rc < 0)
    {
      hk_tables_finish (&parsed);
      return rc;
    }
  parsed.revision = hk_json_int (obj, "revision");
  parsed.write_id = g_strdup (hk_json_str (obj, "write_id"));
  parsed.source = json_object_get (obj);
  hk_tables_finish (t);
  *t = parsed;
  return HK_OK;
}

int
hk_tables_parse (struct hk_tables *t, const char *text, size_t len,
                 const char *name, struct hk_error *err)
{
  g_autoptr (json_object) obj = NULL;
  int rc = hk_json_parse (&obj, text, len, name, err);

  return rc < 0 ? rc : hk_tables_read (t, obj, name, err);
}

const struct hk_route *
hk_tables_route (const struct hk_tables *t, const char *name)
{
  return g_hash_table_lookup (t->routes, name);
}

const struct hk_pool *
hk_tables_pool (const struct hk_tables *t, const char *name)
{
  return g_hash_table_lookup (t->pools, name);
}

int64_t
hk_pool_quota (const struct hk_pool *pool, const char *team)
{
  size_t len = team ? strlen (team) : 0;

  for (char **q = len ? pool->quotas : NULL; q && *q; q++)
    if (strncmp (*q, team, len) == 0 && (*q)[len] == '=')
      return g_ascii_strtoll (*q + len + 1, NULL, 10);
  return -1;
}

/* Reads and validates the settings file of hyssopkeeld, which is JSON with
   comments. */
#include "hyssopkeel/settings.h"

#include <string.h>

#include "hyssopkeel/id.h"
#include "hyssopkeel/json.h"
#include "hyssopkeel/rpc_conn.h"

#define OFFSET(member) offsetof (struct hk_settings, member)

static const struct hk_json_field common_fields[] = {
  { "role", HK_JSON_STRING, OFFSET (role_name), TRUE, 1, 16 },
  { "name", HK_JSON_STRING, OFFSET (name), TRUE, 1, 64 },
  { "domain", HK_JSON_STRING, OFFSET (domain), TRUE, 1, 64 },
  { "log", HK_JSON_STRING, OFFSET (log), FALSE, 1, 8 },
  { "rpc", HK_JSON_STRING, OFFSET (rpc), TRUE, 1, 64 },
  { "announce", HK_JSON_STRING, OFFSET (announce), FALSE, 1, 64 },
  { "store", HK_JSON_STRV, OFFSET (store), TRUE, 1, 16 },
  { "store_timeout_ms", HK_JSON_INT, OFFSET (store_timeout_ms), FALSE, 50,
    60000 },
  { "stop_limit_ms", HK_JSON_INT, OFFSET (stop_limit_ms), FALSE, 100,
    3600000 },
  { "memory_mb", HK_JSON_INT, OFFSET (memory_mb), FALSE, 0, 16777216 },
  { "max_fds", HK_JSON_INT, OFFSET (max_fds), FALSE, 0, 16777216 },
};

static const struct hk_json_field entry_fields[] = {
  { "http", HK_JSON_STRING, OFFSET (http), TRUE, 1, 64 },
  { "peers", HK_JSON_STRV, OFFSET (peers), FALSE, 0, 64 },
  { "body_limit", HK_JSON_INT, OFFSET (body_limit), FALSE, 1, 2000000 },
  { "request_read_ms", HK_JSON_INT, OFFSET (request_read_ms), FALSE, 100,
    600000 },
  { "header_limit", HK_JSON_INT, OFFSET (header_limit), FALSE, 1024, 65535 },
  { "empty_line_limit", HK_JSON_INT, OFFSET (empty_line_limit), FALSE, 2,
    65535 },
  { "idle_ms", HK_JSON_INT, OFFSET (idle_ms), FALSE, 0, 86400000 },
  { "announce_budget_bytes_s", HK_JSON_INT, OFFSET (announce_budget_bytes_s),
    FALSE, 200, 100000000 },
  { "random_placement", HK_JSON_BOOL, OFFSET (random_placement), FALSE, 0, 0 },
  { "leave_ms", HK_JSON_INT, OFFSET (leave_ms), FALSE, 0, 600000 },
  { "distance_us", HK_JSON_INT, OFFSET (distance_us), FALSE, 0, 1000000 },
  { "claim_window_s", HK_JSON_INT, OFFSET (claim_window_s), FALSE, 10, 86400 },
};

static const struct hk_json_field agent_fields[] = {
  { "pool", HK_JSON_STRING, OFFSET (pool), TRUE, 1, 64 },
  { "worker", HK_JSON_STRING, OFFSET (worker), TRUE, 1, 128 },
  { "entries", HK_JSON_STRV, OFFSET (entries), TRUE, 1, 64 },
  { "session_ttl_s", HK_JSON_INT, OFFSET (session_ttl_s), FALSE, 5, 86400 },
  { "worker_lease_ms", HK_JSON_INT, OFFSET (worker_lease_ms), FALSE, 200,
    600000 },
  { "checkpoint_ms", HK_JSON_INT, OFFSET (checkpoint_ms), FALSE, 100,
    86400000 },
  { "fifo", HK_JSON_BOOL, OFFSET (fifo), FALSE, 0, 0 },
  { "announce_ms", HK_JSON_INT, OFFSET (announce_ms), FALSE, 100, 600000 },
};

#define N_COMMON_FIELDS G_N_ELEMENTS (common_fields)
#define N_FIELDS_MAX 24

static void
set_defaults (struct hk_settings *s)
{
  s->log = g_strdup ("info");
  s->store_timeout_ms = 2000;
  s->stop_limit_ms = 30000;
  s->body_limit = 1 << 20;
  s->request_read_ms = 10000;
  s->header_limit = 65535;
  s->empty_line_limit = 1024;
  s->idle_ms = 60000;
  s->announce_budget_bytes_s = 2500;
  s->leave_ms = 1000;
  s->distance_us = 1500;
  s->claim_window_s = 600;
  s->session_ttl_s = 60;
  s->worker_lease_ms = 3000;
  s->checkpoint_ms = 60000;
  s->announce_ms = 1000;
}

static int
set_setting_error (struct hk_error *err, const char *name, const char *path,
                   const char *rule)
{
  return hk_error_set (err, HK_ERR_INVALID, "settings.check", name, "%s: %s",
                       path, rule);
}

static int
check_address (const char *text, const char *name, const char *path,
               struct hk_error *err)
{
  g_autoptr (GSocketAddress) addr = hk_address_parse (text, NULL);

  if (addr)
    return HK_OK;
  return set_setting_error (
      err, name, path,
      "must be an IP number and port, such as 127.0.0.1:7000");
}

static int
check_url (const char *text, const char *name, const char *path,
           struct hk_error *err)
{
  if (!g_str_has_prefix (text, "http://"))
    return set_setting_error (err, name, path, "must begin with http://");
  if (g_str_has_suffix (text, "/"))
    return set_setting_error (err, name, path, "must not end in a slash");
  return check_address (text + strlen ("http://"), name, path, err);
}

/* Each address may appear only once in a settings file. */
static int
check_unique (GHashTable *used_addresses, const char *text, const char *name,
              const char *path, struct hk_error *err)
{
  if (g_hash_table_add (used_addresses, (gpointer)text))
    return HK_OK;
  return set_setting_error (err, name, path, "address is used twice");
}

static int
check_addresses (GHashTable *used_addresses, char **list, gboolean urls,
                 const char *name, const char *path, struct hk_error *err)
{
  for (; list && *list; list++)
    {
      int rc = urls ? check_url (*list, name, path, err)
                    : check_address (*list, name, path, err);

      if (rc == HK_OK)
        rc = check_unique (used_addresses,
                           urls ? *list + strlen ("http://") : *list, name,
                           path, err);
      if (rc < 0)
        return rc;
    }
  return HK_OK;
}

static int
check_entry (const struct hk_settings *s, GHashTable *used_addresses,
             const char *name, struct hk_error *err)
{
  int rc = check_address (s->http, name, "/http", err);

  if (rc == HK_OK)
    rc = check_unique (used_addresses, s->http, name, "/http", err);
  if (rc == HK_OK)
    rc = check_addresses (used_addresses, s->peers, FALSE, name, "/peers",
                          err);
  return rc;
}

static int
check_agent (const struct hk_settings *s, GHashTable *used_addresses,
             const char *name, struct hk_error *err)
{
  int rc = check_url (s->worker, name, "/worker", err);

  if (rc == HK_OK)
    rc = check_unique (used_addresses, s->worker + strlen ("http://"), name,
                       "/worker", err);
  if (rc == HK_OK)
    rc = check_addresses (used_addresses, s->entries, FALSE, name, "/entries",
                          err);
  if (rc == HK_OK && s->session_ttl_s * 1000 < s->worker_lease_ms * 3)
    rc = set_setting_error (err, name, "/session_ttl_s",
                            "must be at least three times worker_lease_ms");
  return rc;
}

static int
check_values (struct hk_settings *s, const char *name, struct hk_error *err)
{
  g_autoptr (GHashTable) used_addresses
      = g_hash_table_new (g_str_hash, g_str_equal);
  static const char *const levels[]
      = { "error", "warn", "info", "debug", NULL };
  int rc;

  if (!hk_id_valid (s->name, 64))
    return set_setting_error (err, name, "/name",
                              "letters, digits, '.', '_' and '-' only");
  if (!g_strv_contains (levels, s->log))
    return set_setting_error (err, name, "/log",
                              "must be error, warn, info or debug");
  rc = check_address (s->rpc, name, "/rpc", err);
  if (rc == HK_OK)
    rc = check_unique (used_addresses, s->rpc, name, "/rpc", err);
  if (rc == HK_OK && s->announce)
    rc = check_address (s->announce, name, "/announce", err);
  if (rc == HK_OK)
    rc = check_addresses (used_addresses, s->store, TRUE, name, "/store", err);
  if (rc < 0)
    return rc;
  return s->role == HK_ROLE_ENTRY ? check_entry (s, used_addresses, name, err)
                                  : check_agent (s, used_addresses, name, err);
}

static int
read_role (struct hk_settings *s, json_object *obj, const char *name,
           struct hk_error *err)
{
  const char *role = hk_json_str (obj, "role");

  if (g_strcmp0 (role, "entry") == 0)
    s->role = HK_ROLE_ENTRY;
  else if (g_strcmp0 (role, "agent") == 0)
    s->role = HK_ROLE_AGENT;
  else
    return set_setting_error (err, name, "/role",
                              "must be \"entry\" or \"agent\"");
  return HK_OK;
}

static size_t
collect_fields (enum hk_role role, struct hk_json_field *out)
{
  const struct hk_json_field *role_fields
      = role == HK_ROLE_ENTRY ? entry_fields : agent_fields;
  size_t n = role == HK_ROLE_ENTRY ? G_N_ELEMENTS (entry_fields)
                                   : G_N_ELEMENTS (agent_fields);

  memcpy (out, common_fields, sizeof common_fields);
  memcpy (out + N_COMMON_FIELDS, role_fields, n * sizeof *role_fields);
  return N_COMMON_FIELDS + n;
}

int
hk_settings_parse (struct hk_settings *s, const char *text, gsize len,
                   const char *name, struct hk_error *err)
{
  g_autoptr (json_object) obj = NULL;
  struct hk_json_field fields[N_FIELDS_MAX];
  int rc = hk_json_parse (&obj, text, len, name, err);

  if (rc < 0)
    return rc;
  set_defaults (s);
  rc = read_role (s, obj, name, err);
  if (rc == HK_OK)
    rc = hk_json_read (obj, fields, collect_fields (s->role, fields), s, name,
                       "", err);
  if (rc == HK_OK)
    rc = check_values (s, name, err);
  if (rc < 0)
    hk_settings_finish (s);
  return rc;
}

int
hk_settings_load (struct hk_settings *s, const char *file,
                  struct hk_error *err)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) gerr = NULL;
  gsize len = 0;

  if (!g_file_get_contents (file, &text, &len, &gerr))
    return hk_error_set (err, HK_ERR_NOT_FOUND, "settings.read", file, "%s",
                         gerr->message);
  return hk_settings_parse (s, text, len, file, err);
}

void
hk_settings_finish (struct hk_settings *s)
{
  hk_json_clear (common_fields, N_COMMON_FIELDS, s);
  hk_json_clear (entry_fields, G_N_ELEMENTS (entry_fields), s);
  hk_json_clear (agent_fields, G_N_ELEMENTS (agent_fields), s);
  memset (s, 0, sizeof *s);
}

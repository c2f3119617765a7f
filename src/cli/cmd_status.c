/* Verbs on instances: status and drain. */
#include <string.h>

#include "cli.h"
#include "hyssopkeel/hk_rpc_xdr.h"
#include "hyssopkeel/rpc_channel.h"

#define DRAIN_TIMEOUT_MS 3000

static json_object *
count_states (const GPtrArray *jobs)
{
  json_object *counts = json_object_new_object ();

  for (guint i = 0; jobs && i < jobs->len; i++)
    {
      const char *state = hk_json_str (g_ptr_array_index (jobs, i), "state");
      int64_t n = state ? hk_json_int (counts, state) : 0;

      if (state)
        json_object_object_add (counts, state, json_object_new_int64 (n + 1));
    }
  return counts;
}

static json_object *
values_to_list (const GPtrArray *values)
{
  json_object *list = json_object_new_array ();

  for (guint i = 0; values && i < values->len; i++)
    json_object_array_add (list,
                           json_object_get (g_ptr_array_index (values, i)));
  return list;
}

/* Returns the status with live load that an entry reports, or NULL after
   printing a message to standard error. */
static json_object *
fetch_entry_status (const char *entry)
{
  g_autofree char *url = g_strconcat (entry, "/status", NULL);
  g_autoptr (SoupSession) session
      = soup_session_new_with_options ("proxy-resolver", NULL, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new (SOUP_METHOD_GET, url);
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GBytes) body = NULL;
  json_object *obj = NULL;
  gsize len = 0;
  const char *text;

  if (msg)
    body = soup_session_send_and_read (session, msg, NULL, &gerr);
  if (!body)
    {
      g_printerr ("hyssopkeel: cannot read live load from entry %s: %s\n",
                  entry, gerr ? gerr->message : "bad URL");
      return NULL;
    }
  text = g_bytes_get_data (body, &len);
  hk_json_parse (&obj, text, len, entry, NULL);
  return obj;
}

static gboolean
refuses (json_object *instance)
{
  json_object *flag = NULL;

  return json_object_object_get_ex (instance, "refusing", &flag)
         && json_object_get_boolean (flag);
}

static void
print_instances (json_object *list, gboolean live)
{
  for (size_t i = 0; list && i < json_object_array_length (list); i++)
    {
      json_object *m = json_object_array_get_idx (list, i);
      json_object *flag = NULL;

      g_print ("  %-16s pool=%s domain=%s address=%s", hk_json_str (m, "name"),
               hk_json_str (m, "pool"), hk_json_str (m, "domain"),
               hk_json_str (m, "address"));
      if (live)
        g_print (" running=%" PRId64 "/%" PRId64 " queued=%" PRId64
                 " revision=%" PRId64,
                 hk_json_int (m, "running"), hk_json_int (m, "slots"),
                 hk_json_int (m, "queued"), hk_json_int (m, "table_revision"));
      if (refuses (m))
        g_print (" refusing");
      if (json_object_object_get_ex (m, "set_aside", &flag)
          && json_object_get_boolean (flag))
        g_print (" set-aside");
      g_print ("\n");
    }
}

/* Prints a line for each failure domain with instances that refuse new work.
 */
static void
print_refusing_domains (json_object *list)
{
  g_autoptr (GHashTable) printed = g_hash_table_new (g_str_hash, g_str_equal);
  size_t n = list ? json_object_array_length (list) : 0;

  for (size_t i = 0; i < n; i++)
    {
      json_object *m = json_object_array_get_idx (list, i);
      const char *domain = hk_json_str (m, "domain");
      unsigned total = 0;
      unsigned refusing = 0;

      if (!refuses (m) || !domain
          || !g_hash_table_add (printed, (char *)domain))
        continue;
      for (size_t k = 0; k < n; k++)
        {
          json_object *other = json_object_array_get_idx (list, k);

          if (g_strcmp0 (hk_json_str (other, "domain"), domain) != 0)
            continue;
          total++;
          refusing += refuses (other);
        }
      g_print ("domain %s: %u of %u instances refuse new work\n", domain,
               refusing, total);
    }
}

static void
print_status (json_object *status)
{
  json_object *counts = NULL;
  json_object *sessions = NULL;
  json_object *live = NULL;
  json_object *instances = NULL;

  json_object_object_get_ex (status, "jobs", &counts);
  json_object_object_get_ex (status, "sessions", &sessions);
  g_print ("tables: revision %" PRId64 "\n", hk_json_int (status, "revision"));
  g_print ("jobs:");
  json_object_object_foreach (counts, state, n)
      g_print (" %s=%s", state, json_object_get_string (n));
  g_print ("\n");
  if (json_object_object_get_ex (status, "entry", &live))
    {
      json_object_object_get_ex (live, "instances", &instances);
      g_print ("instances as %s sees them:\n", hk_json_str (live, "entry"));
      print_instances (instances, TRUE);
      print_refusing_domains (instances);
      return;
    }
  g_print ("instances with a session in the store (give --entry URL for "
           "their load):\n");
  print_instances (sessions, FALSE);
}

static int
read_status (struct cli *cli, json_object *status, struct hk_error *err)
{
  g_autoptr (GPtrArray) tables = NULL;
  g_autoptr (GPtrArray) jobs = NULL;
  g_autoptr (GPtrArray) sessions = NULL;
  int rc = cli_read (cli, HK_KEY_TABLES, FALSE, &tables, err);

  if (rc == HK_OK)
    rc = cli_read (cli, HK_KEY_JOBS, TRUE, &jobs, err);
  if (rc == HK_OK)
    rc = cli_read (cli, HK_KEY_SESSIONS, TRUE, &sessions, err);
  if (rc < 0)
    return rc;
  json_object_object_add (
      status, "revision",
      json_object_new_int64 (tables->len > 0 ? hk_json_int (
                                 g_ptr_array_index (tables, 0), "revision")
                                             : 0));
  json_object_object_add (status, "jobs", count_states (jobs));
  json_object_object_add (status, "sessions", values_to_list (sessions));
  return HK_OK;
}

int
cli_status (struct cli *cli, int argc, char **argv)
{
  json_object *status;
  json_object *live = NULL;
  struct hk_error err = { 0 };

  if (!cli_parse (&argc, &argv, NULL, "",
                  "Print instances, jobs and the current revision. --entry "
                  "URL before the verb adds live load.",
                  0, 0))
    return CLI_USAGE;
  status = json_object_new_object ();
  if (read_status (cli, status, &err) < 0)
    {
      json_object_put (status);
      return cli_fail (&err);
    }
  if (cli->entry)
    live = fetch_entry_status (cli->entry);
  if (live)
    json_object_object_add (status, "entry", live);
  if (cli->json)
    cli_print_json (status);
  else
    {
      print_status (status);
      json_object_put (status);
    }
  return CLI_OK;
}

static const struct hk_rpc_method drain_method
    = { HK_AGENT_DRAIN, (xdrproc_t)xdr_hk_rpc_drain_args,
        (xdrproc_t)xdr_hk_rpc_status_reply, sizeof (hk_rpc_status_reply) };

/* A drain request that is in progress. */
struct drain_call
{
  struct cli *cli;
  int rc;
  struct hk_error err;
};

static void
on_drained (int rc, void *result, const struct hk_error *err, void *user)
{
  struct drain_call *d = user;
  const hk_rpc_status_reply *reply = result;

  d->rc = rc;
  if (rc < 0)
    d->err = *err;
  else if (reply->status < 0)
    d->rc = hk_error_set (&d->err, reply->status, "drain", "", "%s",
                          reply->reason);
  cli_wake (d->cli);
}

static int
drain_instance (struct cli *cli, const char *name, const char *address,
                gboolean on)
{
  struct drain_call d = { .cli = cli };
  hk_rpc_drain_args args = { .name = (char *)name, .on = on };
  struct hk_rpc_channel channel;

  hk_rpc_channel_init (&channel, address, HK_AGENT_PROGRAM, HK_AGENT_V1);
  hk_rpc_call (&channel, &drain_method, &args, DRAIN_TIMEOUT_MS, on_drained,
               &d);
  cli_wait (cli);
  hk_rpc_channel_finish (&channel);
  if (d.rc < 0)
    return cli_fail (&d.err);
  g_print ("%s: %s\n", name,
           on ? "accepts no new work and requeues its jobs"
              : "accepts new work again");
  return CLI_OK;
}

static int
look_up_address (struct cli *cli, const char *name, char **address)
{
  g_autoptr (GPtrArray) sessions = NULL;
  struct hk_error err = { 0 };

  if (cli_read (cli, HK_KEY_SESSIONS, TRUE, &sessions, &err) < 0)
    {
      g_printerr ("With --address the store is not needed.\n");
      return cli_fail (&err);
    }
  for (guint i = 0; i < sessions->len; i++)
    {
      json_object *obj = g_ptr_array_index (sessions, i);

      if (g_strcmp0 (hk_json_str (obj, "name"), name) == 0)
        *address = g_strdup (hk_json_str (obj, "address"));
    }
  if (*address)
    return CLI_OK;
  g_printerr ("hyssopkeel: instance \"%s\" has no session in the store; see "
              "hyssopkeel status\n",
              name);
  return CLI_NOT_FOUND;
}

/* A session of an agent that was replaced stays until it expires; the last one
   counts. */
static gboolean
has_later_session (const GPtrArray *sessions, guint i)
{
  const char *name = hk_json_str (g_ptr_array_index (sessions, i), "name");

  while (++i < sessions->len)
    if (g_strcmp0 (hk_json_str (g_ptr_array_index (sessions, i), "name"), name)
        == 0)
      return TRUE;
  return FALSE;
}

/* Drains the instances one after the other. Goes on after a failure, so that
   an agent that cannot be reached does not keep the others from draining, and
   returns the last failure. */
static int
drain_domain (struct cli *cli, const char *domain, gboolean on)
{
  g_autoptr (GPtrArray) sessions = NULL;
  struct hk_error err = { 0 };
  int code = CLI_OK;
  unsigned n = 0;

  if (cli_read (cli, HK_KEY_SESSIONS, TRUE, &sessions, &err) < 0)
    return cli_fail (&err);
  for (guint i = 0; i < sessions->len; i++)
    {
      json_object *obj = g_ptr_array_index (sessions, i);
      const char *name = hk_json_str (obj, "name");
      const char *address = hk_json_str (obj, "address");
      int rc;

      if (!name || !address || has_later_session (sessions, i)
          || g_strcmp0 (hk_json_str (obj, "domain"), domain) != 0)
        continue;
      n++;
      rc = drain_instance (cli, name, address, on);
      code = rc == CLI_OK ? code : rc;
    }
  if (n > 0)
    return code;
  g_printerr ("hyssopkeel: no instance of domain \"%s\" has a session in the "
              "store; see hyssopkeel status\n",
              domain);
  return CLI_NOT_FOUND;
}

int
cli_drain (struct cli *cli, int argc, char **argv)
{
  g_autofree char *address = NULL;
  g_autofree char *domain = NULL;
  gboolean undo = FALSE;
  GOptionEntry options[]
      = { { "address", 0, 0, G_OPTION_ARG_STRING, &address,
            "RPC address of its agent; by default looked up in the store",
            "IP:PORT" },
          { "domain", 0, 0, G_OPTION_ARG_STRING, &domain,
            "Drain all instances of a failure domain that have a session in "
            "the store now",
            "DOMAIN" },
          { "undo", 0, 0, G_OPTION_ARG_NONE, &undo,
            "Let the instance accept work again", NULL },
          { NULL } };
  int code = CLI_OK;

  if (!cli_parse (&argc, &argv, options, "[INSTANCE]",
                  "Drain an instance, or with --domain all of a failure "
                  "domain: each finishes its requests, requeues its jobs and "
                  "accepts no new work.",
                  0, 1))
    return CLI_USAGE;
  if ((argc > 1) == (domain != NULL) || (domain && address))
    {
      g_printerr ("hyssopkeel: give either INSTANCE or --domain\n");
      return CLI_USAGE;
    }
  if (domain)
    return drain_domain (cli, domain, !undo);
  if (!address)
    code = look_up_address (cli, argv[1], &address);
  if (code != CLI_OK)
    return code;
  return drain_instance (cli, argv[1], address, !undo);
}

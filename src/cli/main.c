/* hyssopkeel: command-line tool for operators. */
#include <locale.h>
#include <string.h>

#include "cli.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/version.h"

#define CLI_STORE_TIMEOUT_MS 3000

static const struct cli_verb verbs[] = {
  { "apply", "FILE", "Apply tables from a file", cli_apply },
  { "diff", "FILE", "Show what apply would change", cli_diff },
  { "edit", "TABLE/ROW [KEY=VALUE...]", "Change or remove one row", cli_edit },
  { "show", "", "Print the current tables", cli_show },
  { "audit", "", "Print the audit trail of changes", cli_audit },
  { "status", "", "Print instances, jobs and revisions", cli_status },
  { "drain", "INSTANCE | --domain DOMAIN", "Stop giving new work to instances",
    cli_drain },
  { "where", "PATH --node ADDRESS --host HOST",
    "Tell where a submission would be placed now", cli_where },
  { "jobs", "submit|show|list|cancel ...", "Submit, show, list or cancel jobs",
    cli_jobs },
};

void
cli_wait (struct cli *cli)
{
  g_main_loop_run (cli->loop);
}

void
cli_wake (struct cli *cli)
{
  g_main_loop_quit (cli->loop);
}

/* A read of the store that is in progress. */
struct read_call
{
  struct cli *cli;
  GPtrArray *values;
  int rc;
  struct hk_error *err;
};

static void
free_value (gpointer value)
{
  json_object_put (value);
}

static void
on_read (int rc, const struct hk_store_result *res, const struct hk_error *err,
         void *user)
{
  struct read_call *r = user;

  r->rc = rc;
  if (rc < 0)
    *r->err = *err;
  for (size_t i = 0; rc == HK_OK && i < res->n_kvs; i++)
    {
      json_object *obj = NULL;

      if (hk_json_parse (&obj, res->kvs[i].value, res->kvs[i].len,
                         res->kvs[i].key, NULL)
          == HK_OK)
        g_ptr_array_add (r->values, obj);
    }
  cli_wake (r->cli);
}

int
cli_read (struct cli *cli, const char *key, gboolean prefix,
          GPtrArray **values, struct hk_error *err)
{
  struct hk_store *store = &cli->store.base;
  struct read_call r = { .cli = cli, .err = err };

  r.values = g_ptr_array_new_with_free_func (free_value);
  store->ops->range (store, key, prefix, on_read, &r);
  cli_wait (cli);
  *values = r.values;
  return r.rc;
}

static int
exit_code_for (int code)
{
  switch (code)
    {
    case HK_ERR_INVALID:
      return CLI_USAGE;
    case HK_ERR_CONFLICT:
      return CLI_CONFLICT;
    case HK_ERR_TIMEOUT:
      return CLI_UNKNOWN;
    case HK_ERR_NOT_FOUND:
      return CLI_NOT_FOUND;
    case HK_ERR_UNAVAILABLE:
    case HK_ERR_IO:
      return CLI_UNAVAILABLE;
    default:
      return CLI_FAILED;
    }
}

static const char *
recovery_hint (int code)
{
  switch (code)
    {
    case HK_ERR_CONFLICT:
      return "Run `hyssopkeel show`, redo the edit on its output and try "
             "again.";
    case HK_ERR_TIMEOUT:
      return "The operation may or may not have taken effect; check before "
             "you repeat it.";
    case HK_ERR_UNAVAILABLE:
    case HK_ERR_IO:
      return "Nothing was changed. Check --store, or --node, and that the "
             "service is reachable.";
    default:
      return NULL;
    }
}

int
cli_fail (const struct hk_error *err)
{
  const char *next = recovery_hint (err->code);

  g_printerr ("hyssopkeel: %s%s%s\n", err->peer, *err->peer ? ": " : "",
              err->text);
  if (next)
    g_printerr ("%s\n", next);
  return exit_code_for (err->code);
}

void
cli_print_json (json_object *obj)
{
  g_print ("%s\n",
           json_object_to_json_string_ext (
               obj, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (obj);
}

gboolean
cli_parse (int *argc, char ***argv, const GOptionEntry *entries,
           const char *usage, const char *summary, int min, int max)
{
  g_autoptr (GOptionContext) context = g_option_context_new (usage);
  g_autoptr (GError) gerr = NULL;

  g_option_context_set_summary (context, summary);
  if (entries)
    g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, argc, argv, &gerr))
    {
      g_printerr ("hyssopkeel: %s\n", gerr->message);
      return FALSE;
    }
  if (*argc - 1 < min || *argc - 1 > max)
    {
      g_autofree char *help = g_option_context_get_help (context, TRUE, NULL);

      g_printerr ("hyssopkeel: wrong number of arguments\n%s", help);
      return FALSE;
    }
  return TRUE;
}

static char *
verb_list (void)
{
  GString *text = g_string_new ("Verbs:\n");

  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    g_string_append_printf (text, "  %-8s %-30s %s\n", verbs[i].name,
                            verbs[i].usage, verbs[i].summary);
  g_string_append (text,
                   "\nEach verb has --help. Exit codes: 0 success, 1 failure, "
                   "2 invalid input,\n3 conflict, 4 effect unknown, 5 not "
                   "found, 6 store or peer unavailable,\n7 differences.");
  return g_string_free (text, FALSE);
}

static const struct cli_verb *
find_verb (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, name) == 0)
      return &verbs[i];
  return NULL;
}

static int
run_verb (struct cli *cli, char **urls, int argc, char **argv)
{
  const struct cli_verb *verb = find_verb (argv[0]);
  int code;

  if (!verb)
    {
      g_printerr ("hyssopkeel: unknown verb \"%s\"; see hyssopkeel --help\n",
                  argv[0]);
      return CLI_USAGE;
    }
  hk_store_etcd_init (&cli->store, urls, CLI_STORE_TIMEOUT_MS);
  cli->loop = g_main_loop_new (NULL, FALSE);
  g_set_prgname (verb->name);
  code = verb->run (cli, argc, argv);
  g_main_loop_unref (cli->loop);
  hk_store_etcd_finish (&cli->store);
  return code;
}

int
main (int argc, char **argv)
{
  g_auto (GStrv) urls = NULL;
  g_autofree char *summary = verb_list ();
  struct cli cli = { 0 };
  gboolean version = FALSE;
  GOptionEntry options[]
      = { { "store", 0, 0, G_OPTION_ARG_STRING_ARRAY, &urls,
            "Store of the platform; may be repeated (HYSSOPKEEL_STORE)",
            "URL" },
          { "entry", 0, 0, G_OPTION_ARG_STRING, &cli.entry,
            "Entry to query for live load (HYSSOPKEEL_ENTRY)", "URL" },
          { "who", 0, 0, G_OPTION_ARG_STRING, &cli.who,
            "Name in the audit trail; the login name by default", "NAME" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &cli.json, "Print JSON", NULL },
          { "version", 0, 0, G_OPTION_ARG_NONE, &version,
            "Print the version and exit", NULL },
          { NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("VERB [ARGUMENT...]");
  g_autoptr (GError) gerr = NULL;
  const char *from_env = g_getenv ("HYSSOPKEEL_STORE");

  setlocale (LC_ALL, "C.UTF-8");
  g_option_context_set_summary (context, summary);
  g_option_context_set_strict_posix (context, TRUE);
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &gerr))
    {
      g_printerr ("hyssopkeel: %s; see hyssopkeel --help\n", gerr->message);
      return CLI_USAGE;
    }
  if (version)
    {
      g_print ("hyssopkeel " HK_VERSION "\n");
      return CLI_OK;
    }
  if (argc < 2)
    {
      g_printerr ("hyssopkeel: missing verb; see hyssopkeel --help\n");
      return CLI_USAGE;
    }
  if (!urls)
    urls = g_strsplit (from_env ? from_env : "http://127.0.0.1:2379", ",", 0);
  if (!cli.entry)
    cli.entry = g_strdup (g_getenv ("HYSSOPKEEL_ENTRY"));
  if (!cli.who)
    cli.who = g_strdup (g_get_user_name ());
  return run_verb (&cli, urls, argc - 1, argv + 1);
}

/* Verbs on the tables: apply, diff, edit, show, audit. */
#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "hyssopkeel/table_apply.h"
#include "hyssopkeel/tables.h"

/* A call of hk_table_apply() that is in progress. */
struct apply_call
{
  struct cli *cli;
  gboolean dry_run;
  int code;
};

static const char *
format_compact (json_object *obj)
{
  return obj ? json_object_to_json_string_ext (
             obj, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)
             : "(none)";
}

static void
print_changes (const GPtrArray *changes, const char *indent)
{
  for (guint i = 0; changes && i < changes->len; i++)
    {
      const struct hk_change *c = g_ptr_array_index (changes, i);
      char sign = !c->before ? '+' : !c->after ? '-' : '~';

      g_print ("%s%c %s/%s\n", indent, sign, c->table, c->row);
      if (c->before)
        g_print ("%s    was %s\n", indent, format_compact (c->before));
      if (c->after)
        g_print ("%s    now %s\n", indent, format_compact (c->after));
    }
}

static void
print_json (int rc, const struct hk_apply_result *result, gboolean dry_run)
{
  json_object *obj = json_object_new_object ();

  json_object_object_add (obj, "revision",
                          json_object_new_int64 (result->revision));
  json_object_object_add (obj, "applied",
                          json_object_new_boolean (rc == HK_OK && !dry_run));
  if (result->changes)
    json_object_object_add (obj, "changes",
                            hk_changes_write (result->changes));
  if (result->merged)
    json_object_object_add (obj, "merged", hk_changes_write (result->merged));
  cli_print_json (obj);
}

static void
print_conflict (const struct hk_apply_result *result)
{
  const struct hk_change *own = result->conflict;

  g_printerr ("%s/%s\n  yours:  %s\n  theirs: %s (%s, revision %" PRId64 ")\n",
              own->table, own->row, format_compact (own->after),
              format_compact (result->other->after),
              result->other_who ? result->other_who : "somebody",
              result->other_revision);
}

static void
print_text (const struct hk_apply_result *result, gboolean dry_run)
{
  if (result->changes->len == 0)
    g_print ("no changes, revision %" PRId64 "\n", result->revision);
  else if (dry_run)
    g_print ("would change revision %" PRId64 ":\n", result->revision);
  else
    g_print ("revision %" PRId64 " is accepted:\n", result->revision);
  print_changes (result->changes, "  ");
  if (result->merged->len > 0)
    {
      g_print ("changes by others since the base revision, kept:\n");
      print_changes (result->merged, "  ");
    }
}

static void
on_applied (int rc, const struct hk_apply_result *result,
            const struct hk_error *err, void *user)
{
  struct apply_call *a = user;

  if (rc < 0)
    {
      a->code = cli_fail (err);
      if (result->conflict)
        print_conflict (result);
    }
  else
    {
      a->code = CLI_OK;
      if (a->dry_run && result->changes->len > 0)
        a->code = CLI_DIFFERS;
      if (!a->cli->json)
        print_text (result, a->dry_run);
    }
  if (a->cli->json)
    print_json (rc, result, a->dry_run);
  cli_wake (a->cli);
}

static int
apply_tables (struct cli *cli, json_object *edited, gboolean dry_run)
{
  struct hk_apply_options options = HK_APPLY_OPTIONS_INIT;
  struct apply_call a = { .cli = cli, .dry_run = dry_run };

  options.who = cli->who;
  options.dry_run = dry_run;
  hk_table_apply (&cli->store.base, edited, &options, on_applied, &a);
  cli_wait (cli);
  return a.code;
}

static int
apply_file (struct cli *cli, const char *file, gboolean dry_run)
{
  g_autoptr (json_object) edited = NULL;
  struct hk_error err = { 0 };

  if (hk_json_parse_file (&edited, file, &err) < 0)
    return cli_fail (&err);
  if (hk_tables_check_keys (edited, file, &err) < 0)
    return cli_fail (&err);
  return apply_tables (cli, edited, dry_run);
}

int
cli_apply (struct cli *cli, int argc, char **argv)
{
  gboolean dry_run = FALSE;
  GOptionEntry options[] = { { "dry-run", 'n', 0, G_OPTION_ARG_NONE, &dry_run,
                               "Check and show, but write nothing", NULL },
                             { NULL } };
  int code;

  if (!cli_parse (&argc, &argv, options, "FILE",
                  "Apply tables from a JSON file with comments.\n"
                  "With a \"revision\" (as printed by show) the file replaces "
                  "that revision;\nwithout one, only the given rows are set.",
                  1, 1))
    return CLI_USAGE;
  code = apply_file (cli, argv[1], dry_run);
  return code == CLI_DIFFERS ? CLI_OK : code;
}

int
cli_diff (struct cli *cli, int argc, char **argv)
{
  if (!cli_parse (&argc, &argv, NULL, "FILE",
                  "Show what apply would change; exits with 7 if there are "
                  "changes.",
                  1, 1))
    return CLI_USAGE;
  return apply_file (cli, argv[1], TRUE);
}

/* Reads the current tables; sets *out to an empty object if none have been
   applied yet. */
static int
read_tables (struct cli *cli, json_object **out)
{
  g_autoptr (GPtrArray) values = NULL;
  struct hk_error err = { 0 };

  if (cli_read (cli, HK_KEY_TABLES, FALSE, &values, &err) < 0)
    return cli_fail (&err);
  *out = values->len > 0 ? json_object_get (g_ptr_array_index (values, 0))
                         : json_object_new_object ();
  return CLI_OK;
}

static json_object *
get_or_add_object (json_object *obj, const char *key)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (obj, key, &value))
    {
      value = json_object_new_object ();
      json_object_object_add (obj, key, value);
    }
  return value;
}

/* Sets a member from KEY=VALUE. A value that is not JSON becomes a string. */
static int
set_member (json_object *row, const char *text)
{
  const char *eq = strchr (text, '=');
  g_autofree char *key = NULL;
  json_object *value = NULL;

  if (!eq || eq == text)
    {
      g_printerr ("hyssopkeel: \"%s\" must look like KEY=VALUE\n", text);
      return CLI_USAGE;
    }
  key = g_strndup (text, (gsize)(eq - text));
  if (hk_json_parse (&value, eq + 1, strlen (eq + 1), key, NULL) < 0)
    value = json_object_new_string (eq + 1);
  json_object_object_add (row, key, value);
  return CLI_OK;
}

static int
edit_row (json_object *tables, const char *target, gboolean remove, int argc,
          char **argv)
{
  g_auto (GStrv) parts = g_strsplit (target, "/", 2);
  json_object *rows;
  json_object *row;

  if (g_strv_length (parts) != 2
      || (strcmp (parts[0], "routes") != 0 && strcmp (parts[0], "pools") != 0))
    {
      g_printerr ("hyssopkeel: \"%s\" must be routes/NAME or pools/NAME\n",
                  target);
      return CLI_USAGE;
    }
  rows = get_or_add_object (tables, parts[0]);
  if (remove)
    {
      json_object_object_del (rows, parts[1]);
      return CLI_OK;
    }
  row = get_or_add_object (rows, parts[1]);
  for (int i = 0; i < argc; i++)
    if (set_member (row, argv[i]) != CLI_OK)
      return CLI_USAGE;
  return CLI_OK;
}

int
cli_edit (struct cli *cli, int argc, char **argv)
{
  gboolean remove = FALSE;
  gboolean dry_run = FALSE;
  GOptionEntry options[] = { { "remove", 0, 0, G_OPTION_ARG_NONE, &remove,
                               "Remove the row", NULL },
                             { "dry-run", 'n', 0, G_OPTION_ARG_NONE, &dry_run,
                               "Check and show, but write nothing", NULL },
                             { NULL } };
  g_autoptr (json_object) tables = NULL;
  int code;

  if (!cli_parse (&argc, &argv, options, "routes/NAME|pools/NAME [KEY=VALUE]",
                  "Change, add or remove one row of the current tables.", 1,
                  32))
    return CLI_USAGE;
  code = read_tables (cli, &tables);
  if (code != CLI_OK)
    return code;
  json_object_object_add (
      tables, "revision",
      json_object_new_int64 (hk_json_int (tables, "revision")));
  code = edit_row (tables, argv[1], remove, argc - 2, argv + 2);
  if (code != CLI_OK)
    return code;
  code = apply_tables (cli, tables, dry_run);
  return code == CLI_DIFFERS ? CLI_OK : code;
}

int
cli_show (struct cli *cli, int argc, char **argv)
{
  json_object *tables = NULL;
  int code;

  if (!cli_parse (&argc, &argv, NULL, "",
                  "Print the current tables, ready to be edited and applied.",
                  0, 0))
    return CLI_USAGE;
  code = read_tables (cli, &tables);
  if (code != CLI_OK)
    return code;
  json_object_object_del (tables, "write_id");
  cli_print_json (tables);
  return CLI_OK;
}

static void
print_audit (json_object *audit)
{
  g_autoptr (GPtrArray) changes = NULL;
  json_object *array = NULL;

  json_object_object_get_ex (audit, "changes", &array);
  changes = hk_changes_read (array);
  g_print ("revision %" PRId64 "  %s  by %s\n",
           hk_json_int (audit, "revision"), hk_json_str (audit, "when"),
           hk_json_str (audit, "who"));
  print_changes (changes, "  ");
}

int
cli_audit (struct cli *cli, int argc, char **argv)
{
  g_autoptr (GPtrArray) values = NULL;
  struct hk_error err = { 0 };
  json_object *list;
  int limit = 20;
  GOptionEntry options[] = { { "last", 'l', 0, G_OPTION_ARG_INT, &limit,
                               "Print the last N changes; 0 for all", "N" },
                             { NULL } };
  guint first;

  if (!cli_parse (&argc, &argv, options, "",
                  "Print who changed what and when, oldest change first.", 0,
                  0))
    return CLI_USAGE;
  if (cli_read (cli, HK_KEY_AUDIT, TRUE, &values, &err) < 0)
    return cli_fail (&err);
  first = limit > 0 && values->len > (guint)limit ? values->len - (guint)limit
                                                  : 0;
  if (!cli->json)
    {
      for (guint i = first; i < values->len; i++)
        print_audit (g_ptr_array_index (values, i));
      return CLI_OK;
    }
  list = json_object_new_array ();
  for (guint i = first; i < values->len; i++)
    json_object_array_add (list,
                           json_object_get (g_ptr_array_index (values, i)));
  cli_print_json (list);
  return CLI_OK;
}

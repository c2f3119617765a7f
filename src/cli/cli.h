#ifndef HYSSOPKEEL_CLI_H
#define HYSSOPKEEL_CLI_H

#include "hyssopkeel/json.h"
#include "hyssopkeel/store_etcd.h"

/**
 * enum cli_exit - exit codes, documented in docs/OPERATORS.md.
 */
enum cli_exit
{
  CLI_OK = 0,
  CLI_FAILED = 1,
  CLI_USAGE = 2,
  CLI_CONFLICT = 3,
  CLI_UNKNOWN = 4,
  CLI_NOT_FOUND = 5,
  CLI_UNAVAILABLE = 6,
  CLI_DIFFERS = 7
};

/**
 * struct cli - context of a verb.
 * @store: store of the platform.
 * @entry: URL of an entry to query for live load, or NULL.
 * @who: operator named in the audit trail.
 * @json: TRUE to print JSON.
 * @loop: main loop that runs while a call is in progress.
 */
struct cli
{
  struct hk_store_etcd store;
  char *entry;
  char *who;
  gboolean json;
  GMainLoop *loop;
};

/**
 * cli_wait() - run the main loop until cli_wake() is called.
 * @cli: context.
 */
void cli_wait (struct cli *cli);

/**
 * cli_wake() - make cli_wait() return; called by completions.
 * @cli: context.
 */
void cli_wake (struct cli *cli);

/**
 * cli_read() - read JSON values from the store.
 * @cli: context.
 * @key: key, or prefix of keys.
 * @prefix: TRUE if @key is a prefix.
 * @values: set to a new GPtrArray that owns the json_object values; values
 *          that do not parse are skipped.
 * @err: filled on failure.
 *
 * Return: 0 or a negative code.
 */
int cli_read (struct cli *cli, const char *key, gboolean prefix,
              GPtrArray **values, struct hk_error *err);

/**
 * cli_fail() - print an error, and advice where there is some.
 * @err: error.
 *
 * Return: exit code that corresponds to the error.
 */
int cli_fail (const struct hk_error *err);

/**
 * cli_print_json() - print a JSON value.
 * @obj: value; the reference is released.
 */
void cli_print_json (json_object *obj);

/**
 * struct cli_verb - verb of the command line.
 * @name: verb.
 * @usage: arguments, as shown in the help.
 * @summary: one line of description, as shown in the help.
 * @run: implementation; returns an enum cli_exit.
 */
struct cli_verb
{
  const char *name;
  const char *usage;
  const char *summary;
  int (*run) (struct cli *cli, int argc, char **argv);
};

int cli_apply (struct cli *cli, int argc, char **argv);
int cli_diff (struct cli *cli, int argc, char **argv);
int cli_edit (struct cli *cli, int argc, char **argv);
int cli_show (struct cli *cli, int argc, char **argv);
int cli_audit (struct cli *cli, int argc, char **argv);
int cli_status (struct cli *cli, int argc, char **argv);
int cli_drain (struct cli *cli, int argc, char **argv);
int cli_where (struct cli *cli, int argc, char **argv);
int cli_jobs (struct cli *cli, int argc, char **argv);

/**
 * cli_parse() - parse the options of a verb.
 * @argc: number of arguments, the verb first; updated.
 * @argv: arguments; updated.
 * @entries: options, or NULL.
 * @usage: arguments, as shown in the help.
 * @summary: description, as shown in the help.
 * @min: minimum number of arguments after the verb.
 * @max: maximum number of arguments after the verb.
 *
 * Return: TRUE, or FALSE with a message printed.
 */
gboolean cli_parse (int *argc, char ***argv, const GOptionEntry *entries,
                    const char *usage, const char *summary, int min, int max);

#endif

#ifndef COMMANDS_H
#define COMMANDS_H

#include "oracle.h"

/**
 * struct scenario - state of a running script.
 * @where: "file:line" for messages.
 * @started: whether the cluster was started.
 * @last_drain_ms: time of the last drain.
 * @max_revision: highest table revision seen at each entry since its start, to
 *                detect a revision that goes back.
 */
struct scenario
{
  struct cluster cluster;
  struct traffic traffic;
  char *where;
  gboolean started;
  int64_t last_drain_ms;
  int64_t max_revision[CLUSTER_MAX];
};

/**
 * scenario_command() - run one line of a script.
 * @s: scenario.
 * @words: words of the line.
 *
 * The test fails if an expectation does not hold or a wait exceeds its time
 * limit.
 */
void scenario_command (struct scenario *s, char **words);

/**
 * scenario_finish() - stop all processes gracefully and check all guarantees.
 * @s: scenario.
 */
void scenario_finish (struct scenario *s);

/**
 * scenario_fail() - report a failure with its line in the script, and exit.
 * @s: scenario.
 * @format: printf format.
 *
 * Keeps the folder of the cluster.
 */
void scenario_fail (struct scenario *s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * scenario_option() - get the value of a KEY=VALUE word.
 * @words: words of the line.
 * @key: key.
 * @fallback: value if no word has the key.
 *
 * Return: text owned by @words, or @fallback.
 */
const char *scenario_option (char **words, const char *key,
                             const char *fallback);

/**
 * scenario_number() - get the number of a KEY=VALUE word.
 * @words: words of the line.
 * @key: key.
 * @fallback: value if no word has the key.
 *
 * Return: number.
 */
int scenario_number (char **words, const char *key, int fallback);

/**
 * scenario_chaos() - apply random load and faults.
 * @s: scenario with a running cluster.
 * @words: words of the line: seed=N steps=N; HK_SEED overrides the seed.
 */
void scenario_chaos (struct scenario *s, char **words);

/**
 * scenario_run() - format and run one line of the scenario language.
 * @s: scenario.
 * @format: printf format of the line.
 */
void scenario_run (struct scenario *s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * scenario_check_revisions() - check that no table revision went back.
 * @s: scenario.
 */
void scenario_check_revisions (struct scenario *s);

#endif

#ifndef REVIEW_CLUSTER_3_H
#define REVIEW_CLUSTER_3_H

#include <stdio.h>

#include "../tests/soak/store.h"
#include "worker-3.h"

#define CLUSTER3_ENTRIES_MAX 4
#define CLUSTER3_AGENTS_MAX 16

/* How a script ends. */
#define CLUSTER3_HELD 0
#define CLUSTER3_BROKEN 1
#define CLUSTER3_NOT_RUN 2

/**
 * struct cluster3 - entries and agents as processes, with a store and workers
 * in this process.
 * @trouble: FALSE if the environment says TROUBLE=0.
 * @n_entries: entries, set by the caller.
 * @n_agents: agents, each with a worker; set by the caller.
 * @workers: the caller sets kind, rack and cpu_milli.
 * @pids: processes, entries first; 0 for one that was ended.
 * @record: what was sent, answered and run.
 */
struct cluster3
{
  gboolean trouble;
  unsigned n_entries;
  unsigned n_agents;
  struct worker3 workers[CLUSTER3_AGENTS_MAX];
  GPid pids[CLUSTER3_ENTRIES_MAX + CLUSTER3_AGENTS_MAX];
  FILE *record;
  struct soak_store store;
  char *dir;
  char *clients[CLUSTER3_ENTRIES_MAX];
  char *settings[CLUSTER3_ENTRIES_MAX + CLUSTER3_AGENTS_MAX];
  SoupSession *session;
  int64_t began_ms;
};

/** cluster3_start() - start all; the settings files go to a temporary folder.
 * @record: file to write to. Ends the process with 2 if that fails. */
void cluster3_start (struct cluster3 *c, const char *record);

/** cluster3_stop() - end all processes and stand-ins. */
void cluster3_stop (struct cluster3 *c);

/** cluster3_log() - write a line with the time to the record. */
void cluster3_log (struct cluster3 *c, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** cluster3_run() - let the stand-ins work for @ms milliseconds. */
void cluster3_run (struct cluster3 *c, int64_t ms);

/** cluster3_spawn() - start process @i again. */
void cluster3_spawn (struct cluster3 *c, unsigned i);

/** cluster3_kill() - SIGKILL process @i and wait for its end. */
void cluster3_kill (struct cluster3 *c, unsigned i);

/** cluster3_leader() - the entry that last took the lead, or -1. */
int cluster3_leader (struct cluster3 *c);

/**
 * cluster3_call() - one request of a client, and its answer.
 * @entry: number of the entry that gets it.
 * @method: HTTP method.
 * @path: path on host "h".
 * @body: JSON text, or NULL.
 * @answer: set to the JSON of the answer, to be released, if not NULL.
 *
 * Return: status, or 0 without an answer within 3 s.
 */
unsigned cluster3_call (struct cluster3 *c, unsigned entry, const char *method,
                        const char *path, const char *body,
                        json_object **answer);

/** cluster3_ready() - wait until each entry has answered and each worker has
 * run a task; FALSE after 20 s. */
gboolean cluster3_ready (struct cluster3 *c);

#endif

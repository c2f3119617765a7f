#ifndef REVIEW_CLUSTER_2_H
#define REVIEW_CLUSTER_2_H

#include <stdio.h>

#include "../platform/http_client.h"
#include "../platform/http_server.h"
#include "store-2.h"

/** RV_HEARTBEAT_MS - interval of a worker's liveness reports. */
#define RV_HEARTBEAT_MS 1100

struct rv_cluster;

/**
 * struct rv_worker - stand-in for a worker of the platform.
 * @c: cluster that it belongs to.
 * @id: id in its liveness reports.
 * @address: "ip:port" that it listens on.
 * @reports: address of its agent for liveness reports.
 * @label: kind, the first of its labels.
 * @cpu_milli: capacity, in thousandths of a core.
 * @born_ms: start of this lifetime, time of day; 0 while it is down.
 * @clock_start_ms: hk_clock_ms() at its start.
 * @fence: highest fencing token seen.
 * @lease_end_ms: end of all leases, on its own clock.
 * @last_end: number of the last end.
 * @acked_end: ends up to this number are forgotten.
 * @sequence: number of liveness reports sent.
 * @runs: struct rv_run, ended ones included until they are forgotten.
 * @waiting: renewals without a response.
 * @unanswered: number of coming starts that are left unanswered.
 * @late: the last of these; it is carried out at @late_ms, unless the worker
 *        is down then or refuses it.
 */
struct rv_worker
{
  struct rv_cluster *c;
  char *id;
  char *address;
  char *reports;
  const char *label;
  unsigned cpu_milli;
  int64_t born_ms;
  int64_t clock_start_ms;
  int64_t fence;
  int64_t lease_end_ms;
  int64_t last_end;
  int64_t acked_end;
  int64_t sequence;
  int64_t next_report_ms;
  GPtrArray *runs;
  GPtrArray *waiting;
  unsigned unanswered;
  json_object *late;
  int64_t late_ms;
  SoupServer *server;
  SoupSession *session;
};

/**
 * struct rv_node - process under test, an entry or an agent.
 * @clients: address for clients; NULL for an agent.
 * @pid: 0 while it does not run.
 */
struct rv_node
{
  char *name;
  char *settings;
  char *clients;
  const char *memory_mb;
  GPid pid;
};

/**
 * struct rv_cluster - stand-ins and processes of a case.
 * @trouble: whether the case brings its disruption about.
 * @record: what was sent, answered and run.
 * @starts: starts at all workers.
 * @ends_done: runs that ended "done".
 * @ends_failed: runs that ended "failed".
 * @on_end: called for each end that a worker lists, or NULL.
 * @user: for @on_end.
 */
struct rv_cluster
{
  gboolean trouble;
  char *dir;
  FILE *record;
  int64_t started_ms;
  struct rv_store store;
  struct rv_worker *workers;
  struct rv_node *nodes;
  unsigned n_workers;
  unsigned n_entries;
  unsigned starts;
  unsigned ends_done;
  unsigned ends_failed;
  void (*on_end) (struct rv_worker *w, const char *task, const char *how);
  void *user;
  guint timer;
};

/** rv_note() - write a line with the time since the start to the record. */
void rv_note (struct rv_cluster *c, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * rv_start() - start store, workers, entries and agents, and wait until an
 *              entry is ready; ends the program with status 2 on failure.
 * @config: "op/config" as JSON text.
 */
void rv_start (struct rv_cluster *c, unsigned n_entries, unsigned n_workers,
               const char *config);

/** rv_node_start() - start a process under test that does not run. */
void rv_node_start (struct rv_cluster *c, struct rv_node *n);

/** rv_node_kill() - kill a process under test, if it runs. */
void rv_node_kill (struct rv_node *n);

/** rv_stop() - end all processes and stand-ins. */
void rv_stop (struct rv_cluster *c);

/** rv_pass() - let @ms pass. */
void rv_pass (int64_t ms);

/**
 * rv_call() - request of a client at an entry; waits for the response.
 * @body: JSON text, or NULL.
 * @reply: body of the response, newly allocated; may be NULL.
 *
 * Return: status of the response, 0 if there was none.
 */
unsigned rv_call (struct rv_cluster *c, unsigned entry, const char *method,
                  const char *host, const char *path, const char *body,
                  char **reply);

/** rv_worker_down() - crash a worker: it drops all runs and connections. */
void rv_worker_down (struct rv_worker *w);

/** rv_worker_runs() - whether a run of a task goes on at a worker. */
gboolean rv_worker_runs (const struct rv_worker *w, const char *task);

/** rv_worker_up() - start the next lifetime of a worker that is down, under
 * the id that it had. */
void rv_worker_up (struct rv_worker *w);

#endif

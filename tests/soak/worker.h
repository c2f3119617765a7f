#ifndef SOAK_WORKER_H
#define SOAK_WORKER_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/** Tasks in the first step of each job; the second step has one task. */
#define SOAK_FIRST_STEP_TASKS 3

/**
 * struct soak_oracle - ground truth collected from all workers and clients.
 * @running: tasks that run now, by name, with the name of their worker.
 * @finished: tasks with a run that succeeded, by name.
 * @acked: tasks of @finished whose end was acknowledged to the worker.
 * @cancelled: jobs that may start nothing any more, by id: their cancel was
 *             acknowledged and its grace period is over.
 * @refused: jobs for which every attempt to submit was refused, by id.
 * @starts: runs started.
 * @violations: broken guarantees; each was printed.
 */
struct soak_oracle
{
  GHashTable *running;
  GHashTable *finished;
  GHashTable *acked;
  GHashTable *cancelled;
  GHashTable *refused;
  unsigned starts;
  unsigned violations;
};

/** soak_oracle_init() - start with an empty record. */
void soak_oracle_init (struct soak_oracle *o);

/** soak_oracle_finish() - release all memory held. */
void soak_oracle_finish (struct soak_oracle *o);

/** soak_violation() - count and print a broken guarantee. */
void soak_violation (struct soak_oracle *o, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * struct soak_worker - simulated worker that speaks the platform's published
 * protocol.
 * @name: name it reports under.
 * @address: "ip:port" it listens on.
 * @reports: address that it reports to.
 * @lost_replies: number of coming requests, renewals excepted, that are
 *                carried out but get no reply.
 * @task_ms: run time of each task.
 * @runs: struct run, ended ones included.
 * @start_time_ms: time of the last start or crash; tells incarnations apart.
 * @lease_expiry_ms: time at which the lease of all runs expires.
 * @fencing_token: highest fencing token seen; requests with a lower one are
 *                 refused.
 * @acked_end: sequence number of the last end that was acknowledged.
 * @last_end: sequence number of the last end.
 * @report_count: number of reports sent by this incarnation.
 */
struct soak_worker
{
  char *name;
  char *address;
  char *reports;
  int lost_replies;
  int64_t task_ms;
  struct soak_oracle *oracle;
  SoupServer *server;
  SoupSession *session;
  GPtrArray *runs;
  int64_t start_time_ms;
  int64_t lease_expiry_ms;
  int64_t fencing_token;
  int64_t acked_end;
  int64_t last_end;
  int64_t report_count;
  guint timer;
};

/** soak_worker_start() - start a worker without runs. */
void soak_worker_start (struct soak_worker *w, const char *name,
                        const char *reports, struct soak_oracle *oracle);

/** soak_worker_crash() - drop all runs and begin a new incarnation. */
void soak_worker_crash (struct soak_worker *w);

/** soak_worker_stop() - stop listening and release all memory held. */
void soak_worker_stop (struct soak_worker *w);

#endif

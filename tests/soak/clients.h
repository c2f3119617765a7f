#ifndef SOAK_CLIENTS_H
#define SOAK_CLIENTS_H

#include "standing.h"
#include "store.h"
#include "worker.h"

/**
 * struct soak_entry - an entry as clients see it.
 * @address: "ip:port" for clients.
 * @disrupted_ms: end of its last kill or freeze.
 * @stopping: it received SIGTERM.
 */
struct soak_entry
{
  struct soak_clients *clients;
  char *address;
  int64_t disrupted_ms;
  gboolean stopping;
};

/**
 * struct soak_job - a job that was submitted.
 * @attempts: requests to submit it.
 * @attempts_max: the client gives up after so many.
 * @may_be_accepted: an attempt without a clear answer may have been carried
 *                   out.
 * @cancel_after_ms: it is cancelled this long after it was accepted; 0 if not.
 * @failed: it was shown as failed.
 * @over: all its tasks were seen to be done.
 * @shown_ms: when a query of soak_job_query() last showed that it goes on.
 * @waits: of the job, or of each task of one that lasts.
 */
struct soak_job
{
  struct soak_clients *c;
  char *id;
  enum soak_job_kind kind;
  unsigned attempts;
  unsigned attempts_max;
  gboolean may_be_accepted;
  gboolean accepted;
  gboolean cancelled;
  guint cancel_after_ms;
  unsigned cancel_attempts;
  gboolean failed;
  gboolean over;
  int64_t shown_ms;
  struct soak_wait waits[SOAK_FIRST_STEP_TASKS];
};

/**
 * struct soak_clients - clients that submit, cancel and query jobs over
 * connections that they keep.
 * @entries: struct soak_entry; each request goes to a random one.
 * @jobs: all jobs submitted.
 * @open_requests: requests without a response yet.
 * @submitted: jobs submitted; each is counted in one of the next three.
 * @accepted: some attempt succeeded.
 * @refused: every attempt was refused.
 * @unknown: no attempt succeeded, but one may have been carried out.
 * @cancelled: accepted jobs whose cancel was acknowledged.
 * @failed: jobs shown as failed.
 * @harmless_failed: those of @failed that have no task that crashes its
 * workers.
 * @responses: whole responses.
 * @responses_stopping: those of an entry after SIGTERM.
 * @cut_exempt: connections closed under a request around a kill or freeze,
 *              just after it was sent, or not seen in time.
 * @stalled_ms: when this process last fell behind, so that times measured
 *              before are wrong.
 * @submit_deadly: whether some jobs have such a task.
 * @submit_lasting: some jobs last, and some are best-effort work.
 * @impatient: half of the clients give up a job after one attempt.
 * @odd: jobs have specs and images that are odd, and not deadly.
 * @racks: jobs have their data on a rack.
 */
struct soak_clients
{
  struct soak_oracle *oracle;
  SoupSession *session;
  GPtrArray *entries;
  GPtrArray *jobs;
  GRand *rand;
  GRand *job_rand;
  guint timer;
  unsigned open_requests;
  unsigned submitted;
  unsigned accepted;
  unsigned refused;
  unsigned unknown;
  unsigned cancelled;
  unsigned failed;
  unsigned harmless_failed;
  unsigned responses;
  unsigned responses_stopping;
  unsigned cut_exempt;
  int64_t stalled_ms;
  gboolean submit_deadly;
  gboolean submit_lasting;
  gboolean impatient;
  gboolean odd;
  gboolean racks;
};

/** soak_clients_init() - prepare clients that know no entry yet. */
void soak_clients_init (struct soak_clients *c, struct soak_oracle *oracle,
                        unsigned seed);

/** soak_clients_add_entry() - add the address of an entry; copied. */
struct soak_entry *soak_clients_add_entry (struct soak_clients *c,
                                           const char *address);

/** soak_clients_start() - begin to submit a job each @interval_ms, and to use
 * connections to every entry without a break. */
void soak_clients_start (struct soak_clients *c, unsigned interval_ms);

/** soak_clients_set_interval() - submit a job each @interval_ms from now on.
 */
void soak_clients_set_interval (struct soak_clients *c, unsigned interval_ms);

/** soak_job_query() - ask for the state of a job. */
void soak_job_query (struct soak_job *job);

/** soak_clients_pause() - submit and repeat nothing; open requests and
 * retries go on. */
void soak_clients_pause (struct soak_clients *c);

/** soak_clients_check() - query every accepted job; each must be completed,
 * cancelled or failed with cause. In a chain of takeovers, which goes on, it
 * must be known; soak_standing_check() requires that it runs. */
void soak_clients_check (struct soak_clients *c);

/** soak_clients_finish() - abort open requests and release all memory held. */
void soak_clients_finish (struct soak_clients *c);

#endif

#ifndef SOAK_CLIENTS_H
#define SOAK_CLIENTS_H

#include "store.h"
#include "worker.h"

/**
 * struct soak_clients - clients that submit, cancel and query jobs over
 * persistent connections.
 * @entries: addresses of the entries; each request goes to a random one.
 * @jobs: all jobs submitted.
 * @open_requests: requests without a response yet.
 * @submitted: jobs submitted; each is counted in one of the next three.
 * @accepted: some attempt succeeded.
 * @refused: every attempt was refused.
 * @unknown: no attempt succeeded, but one may have been carried out.
 * @cancelled: accepted jobs whose cancel was acknowledged.
 */
struct soak_clients
{
  struct soak_oracle *oracle;
  SoupSession *session;
  GPtrArray *entries;
  GPtrArray *jobs;
  GRand *rand;
  guint timer;
  unsigned open_requests;
  unsigned submitted;
  unsigned accepted;
  unsigned refused;
  unsigned unknown;
  unsigned cancelled;
};

/** soak_clients_init() - prepare clients that know no entry yet. */
void soak_clients_init (struct soak_clients *c, struct soak_oracle *oracle,
                        unsigned seed);

/** soak_clients_add_entry() - add the address of an entry; copied. */
void soak_clients_add_entry (struct soak_clients *c, const char *address);

/** soak_clients_start() - begin to submit jobs. */
void soak_clients_start (struct soak_clients *c);

/** soak_clients_pause() - submit no new jobs; open requests and retries go
 * on. */
void soak_clients_pause (struct soak_clients *c);

/** soak_clients_check() - query every accepted job; each must be completed or
 * cancelled. */
void soak_clients_check (struct soak_clients *c);

/** soak_clients_finish() - abort open requests and release all memory held. */
void soak_clients_finish (struct soak_clients *c);

#endif

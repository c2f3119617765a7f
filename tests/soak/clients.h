#ifndef SOAK_CLIENTS_H
#define SOAK_CLIENTS_H

#include "store.h"
#include "worker.h"

/**
 * struct soak_clients - clients that hand jobs in, ask and cancel, over
 * connections that they keep open.
 * @sent: jobs handed in; each ends up in one of the next three.
 * @accepted: some try was answered with success.
 * @refused: every try was refused.
 * @unknown: some try had no answer, and none success.
 * @cancelled: of the accepted, those whose cancel was acknowledged.
 */
struct soak_clients
{
  struct soak_world *world;
  SoupSession *session;
  GPtrArray *entries;
  GPtrArray *jobs;
  GRand *rand;
  guint timer;
  unsigned open;
  unsigned sent;
  unsigned accepted;
  unsigned refused;
  unsigned unknown;
  unsigned cancelled;
};

/** soak_clients_init() - clients of no entry yet. */
void soak_clients_init (struct soak_clients *c, struct soak_world *world,
                        unsigned seed);

/** soak_clients_add() - an entry's address; copied. */
void soak_clients_add (struct soak_clients *c, const char *address);

/** soak_clients_start() - begin to hand jobs in. */
void soak_clients_start (struct soak_clients *c);

/** soak_clients_pause() - hand in nothing new; open tries go on. */
void soak_clients_pause (struct soak_clients *c);

/** soak_clients_check() - ask for every accepted job; all must be over. */
void soak_clients_check (struct soak_clients *c);

/** soak_clients_finish() - release. */
void soak_clients_finish (struct soak_clients *c);

#endif

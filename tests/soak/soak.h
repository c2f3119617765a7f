#ifndef SOAK_H
#define SOAK_H

#include <sys/queue.h>

#include "../scenario/relay.h"
#include "chain.h"
#include "clients.h"
#include "evacuate.h"
#include "standing.h"

/**
 * struct soak_node - a process under test.
 * @entry: what clients see of it; NULL for an agent.
 * @worker: the worker of an agent; NULL for an entry.
 * @store_link: its link to the store.
 * @worker_link: link to its worker; NULL for an entry, and for an agent that
 *               connects directly.
 * @peer_link: link over which agents and other entries reach an entry; NULL if
 *             they connect directly.
 * @pid: 0 while it does not run.
 * @start_at_ms: when it is started again.
 * @thaw_at_ms: when it continues; 0 unless it is frozen.
 * @heal_at_ms: when its links are healed; 0 unless one is disturbed.
 * @silent_until_ms: end of the last silence of an agent in a chain.
 * @disrupted_ms: last time at which it, its links or its worker were seen
 *                disrupted.
 * @away_ms: total time in which it did not answer.
 */
struct soak_node
{
  char *name;
  char *settings;
  struct soak_entry *entry;
  struct soak_worker *worker;
  struct relay *store_link;
  struct relay *worker_link;
  struct relay *peer_link;
  GPid pid;
  int64_t started_ms;
  int64_t start_at_ms;
  int64_t thaw_at_ms;
  int64_t heal_at_ms;
  int64_t silent_until_ms;
  int64_t disrupted_ms;
  int64_t away_ms;
};

/**
 * struct soak - all processes, stand-ins and clients of a run.
 * @nodes: entries first, then agents.
 * @late: orders may be carried out late.
 * @peers: links between entries hold back what was sent, and deliver it after
 *         the sender has given up.
 * @seed: every choice of a fault follows from it and the fault's number.
 * @interval_ms: mean time between two faults.
 * @peers_held: links between entries hold back what is sent.
 * @actions: parts of a series of faults that are still to come.
 */
struct soak
{
  struct soak_store store;
  struct soak_oracle oracle;
  struct soak_clients clients;
  struct soak_chain chain;
  struct soak_standing standing;
  struct soak_evacuations evacuations;
  struct soak_worker *workers;
  struct soak_node *nodes;
  unsigned n_entries;
  unsigned n_agents;
  gboolean late;
  gboolean peers;
  unsigned seed;
  unsigned interval_ms;
  GRand *rand;
  char *dir;
  TAILQ_HEAD (, soak_action) actions;
  int64_t store_heal_at_ms;
  gboolean peers_held;
  unsigned config_version;
  unsigned faults;
};

/** soak_config_put() - write the next version of the operator's config. */
void soak_config_put (struct soak *s);

/** soak_inject_fault() - begin a random fault or series of faults. */
void soak_inject_fault (struct soak *s);

/** soak_recover_due() - carry out the due parts of series, start and continue
 * processes and heal links, the store and workers where it is due; with @all,
 * recover everything at once. */
void soak_recover_due (struct soak *s, gboolean all);

/** soak_node_end() - send a signal that ends a process, which is started again
 * @down_ms later. */
void soak_node_end (struct soak_node *n, int sig, int64_t down_ms);

/** soak_node_freeze() - stop a process for @ms. */
void soak_node_freeze (struct soak_node *n, int64_t ms);

/** soak_node_cut() - cut a process off from the store for @ms. */
void soak_node_cut (struct soak_node *n, int64_t ms);

#endif

#ifndef SOAK_STANDING_H
#define SOAK_STANDING_H

#include <glib.h>

struct soak;
struct soak_node;

/**
 * struct soak_hold - a disruption during which runs may have been placed that
 * hold their tasks until their leases are over.
 * @from_ms: when an agent, a worker or a leader stopped answering; 0 for none.
 * @leader: who led then; NULL if nobody did.
 * @away_ms: @away_ms of that process then.
 */
struct soak_hold
{
  int64_t from_ms;
  const struct soak_node *leader;
  int64_t away_ms;
};

/**
 * struct soak_wait - how long work that could run has not run.
 * @since_ms: it has neither run nor been excused since then; may lie ahead.
 * @hold: the only disruption that prolongs the wait.
 * @asked_ms: when the state was asked for; 0 if it was not.
 */
struct soak_wait
{
  int64_t since_ms;
  struct soak_hold hold;
  int64_t asked_ms;
};

/**
 * struct soak_standing - what excuses work that stands still.
 * @leader: who leads by the stored lead record; NULL if nobody does.
 * @store_ms: last time at which the store failed.
 * @watched_ms: last time at which a process watched the store.
 * @hold: the last disruption.
 * @updated_ms: last update of these times.
 * @checked_ms: last check of the jobs.
 * @longest_ms: longest time without excuse that work stood still.
 */
struct soak_standing
{
  struct soak_node *leader;
  int64_t store_ms;
  int64_t watched_ms;
  struct soak_hold hold;
  int64_t updated_ms;
  int64_t checked_ms;
  int64_t longest_ms;
};

/** soak_standing_check() - report accepted work that stands still although
 * workers in touch have room for it; call it often. */
void soak_standing_check (struct soak *s);

#endif

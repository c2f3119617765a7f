#ifndef SOAK_STANDING_H
#define SOAK_STANDING_H

#include <glib.h>

struct soak;
struct soak_node;

/**
 * struct soak_wait - how long work that could run has not run.
 * @since_ms: it has neither run nor been excused since then; may lie ahead.
 * @held_from_ms: when a disruption began during the wait; 0 if none did.
 * @held_leader: who led at that time; NULL if nobody did.
 * @leader_away_ms: its @away_ms at that time.
 */
struct soak_wait
{
  int64_t since_ms;
  int64_t held_from_ms;
  const struct soak_node *held_leader;
  int64_t leader_away_ms;
};

/**
 * struct soak_standing - what excuses work that stands still.
 * @leader: who leads by the stored lead record; NULL if nobody does.
 * @store_ms: last time at which the store failed.
 * @disrupted_ms: when an agent or its worker last stopped answering.
 * @disrupted_leader: who led at that time.
 * @updated_ms: last update of these times.
 * @checked_ms: last check of the jobs.
 * @longest_ms: longest time without excuse that work stood still.
 */
struct soak_standing
{
  struct soak_node *leader;
  int64_t store_ms;
  int64_t disrupted_ms;
  struct soak_node *disrupted_leader;
  int64_t updated_ms;
  int64_t checked_ms;
  int64_t longest_ms;
};

/** soak_standing_check() - report accepted work that stands still although
 * workers in touch have room for it; call it often. */
void soak_standing_check (struct soak *s);

#endif

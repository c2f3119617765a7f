#ifndef SOAK_CHAIN_H
#define SOAK_CHAIN_H

#include <glib.h>

struct soak;
struct soak_node;

/**
 * struct soak_chain - a leader killed again and again while agents are silent.
 * @interval_ms: time between kills; 0 for no chain.
 * @next_kill_ms: time of the next kill; 0 before the chain begins.
 * @next_silence_ms: when the next agents fall silent.
 * @events: kills and silences so far; their number determines the choices.
 */
struct soak_chain
{
  int interval_ms;
  int64_t next_kill_ms;
  int64_t next_silence_ms;
  unsigned events;
};

/** soak_chain_start() - begin to kill leaders and silence agents. */
void soak_chain_start (struct soak *s);

/** soak_chain_run_due() - kill the leader and silence agents where it is due.
 */
void soak_chain_run_due (struct soak *s);

/** soak_leader() - the entry that the stored lead record names, or NULL. */
struct soak_node *soak_leader (struct soak *s);

#endif

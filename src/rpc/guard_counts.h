#ifndef GUARD_COUNTS_H
#define GUARD_COUNTS_H

#include "hyssopkeel/guard.h"

/** guard_counts_init() - create the counters of limited connections. */
void guard_counts_init (void);

/** guard_counts_add() - count a limited connection. */
void guard_counts_add (enum hk_guard_cause cause);

/** guard_counts_due() - whether something is to be logged now. */
gboolean guard_counts_due (void);

/**
 * guard_counts_log() - log what was counted since the last time.
 * @state: what is held and open, as NAME=VALUE.
 */
void guard_counts_log (const char *state);

#endif

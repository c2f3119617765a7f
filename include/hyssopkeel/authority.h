#ifndef HYSSOPKEEL_AUTHORITY_H
#define HYSSOPKEEL_AUTHORITY_H

#include <stdint.h>

/**
 * struct hk_authority - durations of lease grants and leases.
 * @own_ms: a coordinator gives lease grants for this long after it sent its
 *          last confirmed commit; long enough to bridge a store outage.
 * @grant_ms: an agent renews leases until its lease grant ends. That is this
 *            long after the reply that gives it, or when the authority of the
 *            coordinator ends, if that is earlier.
 * @hold_ms: a renewal extends the lease of a run by this long.
 *
 * The times add up: commit confirmed -> own_ms -> grant_ms -> hold_ms -> run
 * terminated. All are on hk_clock_ms(), which also advances while a machine is
 * suspended.
 */
struct hk_authority
{
  int64_t own_ms;
  int64_t grant_ms;
  int64_t hold_ms;
};

/**
 * hk_authority_grant_until() - end of a lease grant that is given now.
 * @a: durations.
 * @now_ms: current time.
 * @confirmed_ms: time at which the last confirmed commit was sent.
 *
 * Return: end of the grant; @now_ms or earlier if none may be given.
 */
int64_t hk_authority_grant_until (const struct hk_authority *a, int64_t now_ms,
                                  int64_t confirmed_ms);

/**
 * hk_authority_terminated_at() - when the runs of an unreachable agent have
 * certainly terminated.
 * @a: durations.
 * @granted_until_ms: latest end of any lease grant to that agent.
 *
 * Allows for the slowest worker clock and for a renewal that is in transit
 * when the grant ends.
 *
 * Return: time from which the runs may be placed again.
 */
int64_t hk_authority_terminated_at (const struct hk_authority *a,
                                    int64_t granted_until_ms);

/**
 * hk_authority_predecessor_until() - latest end of the predecessor's grants.
 * @a: durations.
 * @taken_over_ms: time at which the takeover was confirmed; no commit of the
 *                 predecessor was confirmed after it.
 *
 * Return: time after which no lease grant of the predecessor is valid.
 */
int64_t hk_authority_predecessor_until (const struct hk_authority *a,
                                        int64_t taken_over_ms);

/**
 * hk_authority_left_until() - latest end of a lease grant, by what another
 *                             process said of it.
 * @left_ms: time that was left when the other process said so; negative if the
 *           grant had ended before.
 * @at_ms: local time, no earlier than that.
 *
 * Return: local time after which the grant is certainly not valid.
 */
int64_t hk_authority_left_until (int64_t left_ms, int64_t at_ms);

/**
 * hk_authority_lease_end() - local end of a lease that a worker's clock times.
 * @left_ms: time left on the worker's clock.
 * @at_ms: local time at which the worker was asked for @left_ms.
 *
 * Return: local time at which the lease has ended even on the slowest clock.
 */
int64_t hk_authority_lease_end (int64_t left_ms, int64_t at_ms);

#endif

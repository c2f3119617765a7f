#ifndef HYSSOPKEEL_AUTHORITY_H
#define HYSSOPKEEL_AUTHORITY_H

#include <stdint.h>

/**
 * struct hk_authority - how long what may be believed after a last contact.
 * @own_ms: a coordinator grants for this long after the send of its last
 *          confirmed commit; long enough to ride out an outage of the store.
 * @grant_ms: an agent extends leases for this long after a coordinator heard
 *            from it.
 * @hold_ms: each extension reaches this far.
 *
 * Chain: commit confirmed -> own_ms -> grant_ms -> hold_ms -> run is gone.
 * All times are on hk_clock_ms(), which also runs while a machine is
 * suspended.
 */
struct hk_authority
{
  int64_t own_ms;
  int64_t grant_ms;
  int64_t hold_ms;
};

/**
 * hk_authority_grant_until() - how far a grant may reach.
 * @a: durations.
 * @now_ms: present time.
 * @confirmed_ms: when the last confirmed commit was sent.
 *
 * Return: end of the grant; at most @now_ms if none may be given.
 */
int64_t hk_authority_grant_until (const struct hk_authority *a, int64_t now_ms,
                                  int64_t confirmed_ms);

/**
 * hk_authority_gone_at() - when a silent agent's runs are certainly over.
 * @a: durations.
 * @granted_until_ms: latest end of a grant that anyone can have given.
 *
 * Counts the slowest worker clock and the time of a last extension.
 *
 * Return: time from which the runs may be placed again.
 */
int64_t hk_authority_gone_at (const struct hk_authority *a,
                              int64_t granted_until_ms);

/**
 * hk_authority_inherited_until() - grants of a predecessor.
 * @a: durations.
 * @taken_over_ms: when the takeover was confirmed; no commit of the
 *                 predecessor was confirmed after it.
 *
 * Return: latest end of a grant the predecessor can have given.
 */
int64_t hk_authority_inherited_until (const struct hk_authority *a,
                                      int64_t taken_over_ms);

/**
 * hk_authority_lease_end() - when a lease on a worker's clock is over here.
 * @left_ms: time left on the worker's clock.
 * @at_ms: time here at which the worker was asked for that reading.
 *
 * Return: time here at which the lease is over even on the slowest clock.
 */
int64_t hk_authority_lease_end (int64_t left_ms, int64_t at_ms);

#endif

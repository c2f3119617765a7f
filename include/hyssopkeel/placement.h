#ifndef HYSSOPKEEL_PLACEMENT_H
#define HYSSOPKEEL_PLACEMENT_H

#include "hyssopkeel/ledger.h"

/**
 * struct hk_candidate - state of one instance as known to an entry.
 * @id: stable number of the instance, for the list of those already tried.
 * @free: free capacity in its last report.
 * @total: its whole capacity.
 * @slots: requests that it runs at a time.
 * @busy: number of requests running, queued there or in transit to it.
 * @slowdown_percent: service time there, per cent of that without
 *                    interference.
 * @distance_us: one-way network delay to it, less that of a local instance,
 *               microseconds.
 * @set_aside_until_ms: avoided until this time because of failures; used
 *                      earlier only if no other instance is left.
 * @available: whether it accepts work at all.
 */
struct hk_candidate
{
  guint id;
  struct hk_size free;
  struct hk_size total;
  int64_t slots;
  int64_t busy;
  int64_t slowdown_percent;
  double distance_us;
  int64_t set_aside_until_ms;
  gboolean available;
};

/**
 * struct hk_place_query - a request to be placed.
 * @need: capacity that it needs; with 0 slots, free capacity is not checked.
 * @service_us: usual service time of the route, microseconds; 0 if unknown.
 * @now_ms: current time.
 * @tried: ids of instances that were tried and are not chosen again.
 * @n_tried: number of @tried.
 */
struct hk_place_query
{
  struct hk_size need;
  double service_us;
  int64_t now_ms;
  const guint *tried;
  size_t n_tried;
};

/**
 * hk_place_fn - a placement policy: hk_place() or hk_place_random().
 */
typedef int (*hk_place_fn) (const struct hk_candidate *const *view, size_t n,
                            const struct hk_place_query *query, GRand *random);

/**
 * hk_place() - choose the instance with the shortest expected response time.
 * @view: @n candidates of the pool.
 * @n: number of candidates.
 * @query: request to be placed.
 * @random: random number generator.
 *
 * Compares a random sample whose size grows with the logarithm of @n. Scans
 * all candidates if they are few or none of the sample is usable.
 *
 * Return: index into @view, or -1.
 */
int hk_place (const struct hk_candidate *const *view, size_t n,
              const struct hk_place_query *query, GRand *random);

/**
 * hk_place_random() - choose any available instance, as a baseline.
 * @view: @n candidates of the pool.
 * @n: number of candidates.
 * @query: request to be placed; only @tried is used.
 * @random: random number generator.
 *
 * Return: index into @view, or -1.
 */
int hk_place_random (const struct hk_candidate *const *view, size_t n,
                     const struct hk_place_query *query, GRand *random);

#endif

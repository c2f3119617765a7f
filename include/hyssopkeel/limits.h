#ifndef HYSSOPKEEL_LIMITS_H
#define HYSSOPKEEL_LIMITS_H

#include <glib.h>
#include <stdint.h>

#define HK_LIMITS_ROUTES_MAX 64

/**
 * struct hk_route_limit - concurrency of one route on one instance.
 * @name: route; owned by the tables.
 * @floor: slots that are guaranteed to the route.
 * @urgency: 0 (least) to 9 (most urgent); jobs count the other way, see
 *           order.h.
 * @running: slots in use.
 * @queued: requests that wait for a slot.
 * @head_arrival_us: arrival time of the oldest queued request.
 * @peak_demand: decaying peak of running plus queued requests, from which the
 *               reserve of the route is computed.
 * @peak_updated_ms: time at which @peak_demand held.
 * @service_us: smoothed service time, microseconds; 0 if unknown.
 */
struct hk_route_limit
{
  const char *name;
  int64_t floor;
  int64_t urgency;
  int64_t running;
  int64_t queued;
  int64_t head_arrival_us;
  double peak_demand;
  int64_t peak_updated_ms;
  double service_us;
};

struct hk_limits;

/**
 * struct hk_limits_ops - policy that assigns slots to routes.
 * @may_start: whether a route may take one more slot now.
 * @goes_before: whether queued route @a is served before @b.
 */
struct hk_limits_ops
{
  gboolean (*may_start) (const struct hk_limits *l,
                         const struct hk_route_limit *row, int64_t now_ms);
  gboolean (*goes_before) (const struct hk_route_limit *a,
                           const struct hk_route_limit *b);
};

/** hk_limits_floor_policy - guaranteed floors; idle slots are lent out. */
extern const struct hk_limits_ops hk_limits_floor_policy;
/** hk_limits_fifo_policy - order of arrival, as a baseline to compare with. */
extern const struct hk_limits_ops hk_limits_fifo_policy;

/**
 * struct hk_limits - concurrency limits of the routes of an instance.
 * @ops: policy; NULL for hk_limits_floor_policy.
 * @slots: slots of the instance.
 * @rows: @n routes.
 * @n: number of routes.
 *
 * A route below its floor may always take a free slot. Above its floor it may
 * borrow free slots, except those that other routes used recently within
 * their own floors: a flood on one route then doesn't make the others wait for
 * their guaranteed slots.
 */
struct hk_limits
{
  const struct hk_limits_ops *ops;
  int64_t slots;
  struct hk_route_limit rows[HK_LIMITS_ROUTES_MAX];
  size_t n;
};

/**
 * hk_limits_find() - look up a route.
 * @l: limits.
 * @name: route.
 *
 * Return: row inside @l, or NULL.
 */
struct hk_route_limit *hk_limits_find (struct hk_limits *l, const char *name);

/**
 * hk_limits_floor_slots() - floor of a route from its configured share.
 * @slots: slots of the instance.
 * @share: guaranteed share of the route, per cent.
 *
 * Return: rounded number of slots, at least 1 for a positive share.
 */
int64_t hk_limits_floor_slots (int64_t slots, int64_t share);

/**
 * hk_limits_record_demand() - update the peak demand of a route.
 * @row: route.
 * @now_ms: current time.
 *
 * To be called after each change of @running or @queued.
 */
void hk_limits_record_demand (struct hk_route_limit *row, int64_t now_ms);

/**
 * hk_limits_may_start() - whether a route may take one more slot now.
 * @l: limits.
 * @row: route.
 * @now_ms: current time.
 *
 * Return: TRUE if the policy grants it a free slot.
 */
gboolean hk_limits_may_start (const struct hk_limits *l,
                              const struct hk_route_limit *row,
                              int64_t now_ms);

/**
 * hk_limits_next_route() - choose the queued route that gets the next free
 * slot.
 * @l: limits.
 * @now_ms: current time.
 *
 * Under hk_limits_floor_policy, routes below their floor go first, then those
 * of higher urgency, then those that use the smaller fraction of their floor.
 *
 * Return: row with queued requests that may start, or NULL.
 */
struct hk_route_limit *hk_limits_next_route (struct hk_limits *l,
                                             int64_t now_ms);

/**
 * hk_limits_meets_deadline() - whether a request that is queued now is likely
 * to be answered in time.
 * @l: limits.
 * @row: route.
 * @deadline_ms: time left to answer, milliseconds.
 * @now_ms: current time.
 *
 * Return: FALSE if it should be rejected at once rather than time out in the
 * queue.
 */
gboolean hk_limits_meets_deadline (const struct hk_limits *l,
                                   const struct hk_route_limit *row,
                                   int64_t deadline_ms, int64_t now_ms);

#endif

#ifndef HYSSOPKEEL_CAPACITY_H
#define HYSSOPKEEL_CAPACITY_H

#include "hyssopkeel/ledger.h"
#include "hyssopkeel/limits.h"
#include "hyssopkeel/tables.h"

/**
 * struct hk_capacity - sole account of the capacity of an instance.
 * @ledger: total and booked size.
 * @limits: floors and slot counts of the routes of the instance's pool.
 */
struct hk_capacity
{
  struct hk_ledger ledger;
  struct hk_limits limits;
};

/**
 * hk_capacity_set_total() - set the total that the worker reports.
 * @c: capacity.
 * @total: total size of the instance, slots included.
 */
void hk_capacity_set_total (struct hk_capacity *c,
                            const struct hk_size *total);

/**
 * hk_capacity_set_tables() - apply new floors and keep the slot counts.
 * @c: capacity.
 * @tables: tables.
 * @pool: pool of this instance.
 */
void hk_capacity_set_tables (struct hk_capacity *c,
                             const struct hk_tables *tables, const char *pool);

/**
 * hk_capacity_route_limit() - get or add the limits of a route.
 * @c: capacity.
 * @route: route name.
 *
 * Return: row, valid until the next change of tables; NULL if there are
 * HK_LIMITS_ROUTES_MAX rows already.
 */
struct hk_route_limit *hk_capacity_route_limit (struct hk_capacity *c,
                                                const char *route);

/**
 * hk_capacity_book() - check the limits and book in one step.
 * @c: capacity.
 * @route: route name.
 * @size: size to book, slots included.
 * @now_ms: current time, on hk_clock_ms().
 *
 * Return: 0, or HK_ERR_FULL with nothing booked.
 */
int hk_capacity_book (struct hk_capacity *c, const char *route,
                      const struct hk_size *size, int64_t now_ms);

/**
 * hk_capacity_force() - book running work, even beyond the total.
 * @c: capacity.
 * @route: route name, or "" if it is not known.
 * @size: size of the work.
 * @now_ms: current time, on hk_clock_ms().
 */
void hk_capacity_force (struct hk_capacity *c, const char *route,
                        const struct hk_size *size, int64_t now_ms);

/**
 * hk_capacity_release() - release a booking.
 * @c: capacity.
 * @route: route under which it was booked.
 * @size: size that was booked.
 * @now_ms: current time, on hk_clock_ms().
 */
void hk_capacity_release (struct hk_capacity *c, const char *route,
                          const struct hk_size *size, int64_t now_ms);

#endif

/* Capacity of this instance. The ledger books sizes and the limits count slots
   by route; both change in one step. */
#include "capacity.h"

#include <string.h>

#include "hyssopkeel/error.h"

void
hk_capacity_set_total (struct hk_capacity *c, const struct hk_size *total)
{
  c->ledger.total = *total;
  c->limits.slots = total->slots;
}

struct hk_route_limit *
hk_capacity_route_limit (struct hk_capacity *c, const char *route)
{
  struct hk_route_limit *row = hk_limits_find (&c->limits, route);

  if (row || c->limits.n == HK_LIMITS_ROUTES_MAX)
    return row;
  row = &c->limits.rows[c->limits.n++];
  *row = (struct hk_route_limit){ .name = g_intern_string (route) };
  return row;
}

void
hk_capacity_set_tables (struct hk_capacity *c, const struct hk_tables *tables,
                        const char *pool)
{
  struct hk_limits old = c->limits;
  GHashTableIter iter;
  gpointer value;

  c->limits.n = 0;
  g_hash_table_iter_init (&iter, tables->routes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct hk_route *route = value;
      struct hk_route_limit *row;

      if (strcmp (route->pool, pool) != 0)
        continue;
      row = hk_capacity_route_limit (c, route->name);
      if (!row)
        break;
      row->floor = hk_limits_floor_slots (c->limits.slots, route->share);
      row->urgency = route->urgency;
    }
  for (size_t i = 0; i < old.n; i++)
    {
      const struct hk_route_limit *previous = &old.rows[i];
      struct hk_route_limit *row = hk_limits_find (&c->limits, previous->name);

      if (!row && previous->running + previous->queued > 0)
        row = hk_capacity_route_limit (c, previous->name);
      if (!row)
        continue;
      row->running = previous->running;
      row->queued = previous->queued;
      row->peak_demand = previous->peak_demand;
      row->peak_updated_ms = previous->peak_updated_ms;
      row->service_us = previous->service_us;
    }
}

static void
add_running (struct hk_capacity *c, const char *route, int64_t delta,
             int64_t now_ms)
{
  struct hk_route_limit *row = hk_capacity_route_limit (c, route);

  if (!row)
    return;
  row->running += delta;
  hk_limits_record_demand (row, now_ms);
}

int
hk_capacity_book (struct hk_capacity *c, const char *route,
                  const struct hk_size *size, int64_t now_ms)
{
  struct hk_route_limit *row = hk_capacity_route_limit (c, route);

  if (!row || !hk_limits_may_start (&c->limits, row, now_ms))
    return HK_ERR_FULL;
  if (hk_ledger_book (&c->ledger, size) < 0)
    return HK_ERR_FULL;
  add_running (c, route, size->slots, now_ms);
  return HK_OK;
}

void
hk_capacity_force (struct hk_capacity *c, const char *route,
                   const struct hk_size *size, int64_t now_ms)
{
  hk_ledger_force (&c->ledger, size);
  add_running (c, route, size->slots, now_ms);
}

void
hk_capacity_release (struct hk_capacity *c, const char *route,
                     const struct hk_size *size, int64_t now_ms)
{
  hk_ledger_release (&c->ledger, size);
  add_running (c, route, -size->slots, now_ms);
}

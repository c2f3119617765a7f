/* Concurrency limits of the routes on one instance. Load pattern: a flood of
   requests on one route beside requests of others. Each route has a guaranteed
   number of slots, its floor, and lends those it doesn't use. */
#include "hyssopkeel/limits.h"

#include <math.h>
#include <string.h>

/* Half-life of the peak demand of a route. */
#define PEAK_HALF_LIFE_MS 2000.0
/* Peak demand, in requests, below which a route keeps no slots reserved. */
#define PEAK_NEGLIGIBLE 0.25
/* Queue limit, in requests, of a route that has neither a floor nor a borrowed
   slot. */
#define QUEUE_WITHOUT_SLOTS_MAX 1
/* Until a service time is measured, it is assumed to be the deadline over
   this. */
#define ASSUMED_SERVICES_PER_DEADLINE 16

struct hk_route_limit *
hk_limits_find (struct hk_limits *l, const char *name)
{
  for (size_t i = 0; i < l->n; i++)
    if (strcmp (l->rows[i].name, name) == 0)
      return &l->rows[i];
  return NULL;
}

int64_t
hk_limits_floor_slots (int64_t slots, int64_t share)
{
  if (share <= 0)
    return 0;
  return MAX ((slots * share + 50) / 100, 1);
}

static double
decayed_peak (const struct hk_route_limit *row, int64_t now_ms)
{
  double age = (double)(now_ms - row->peak_updated_ms);

  return row->peak_demand * exp2 (-age / PEAK_HALF_LIFE_MS);
}

void
hk_limits_record_demand (struct hk_route_limit *row, int64_t now_ms)
{
  double demand = (double)(row->running + row->queued);

  row->peak_demand = MAX (demand, decayed_peak (row, now_ms));
  row->peak_updated_ms = now_ms;
}

/* Free slots that others may not borrow from a route: its recent demand plus
   one, up to its floor. Without the extra slot a request would wait for a
   whole request of another route to end. */
static int64_t
reserved_slots (const struct hk_route_limit *row, int64_t now_ms)
{
  double peak = decayed_peak (row, now_ms);
  int64_t wanted = peak < PEAK_NEGLIGIBLE ? 0 : (int64_t)ceil (peak) + 1;
  int64_t reserve = MIN (wanted, row->floor) - row->running;

  return MAX (reserve, 0);
}

static int64_t
free_slots (const struct hk_limits *l)
{
  int64_t used = 0;

  for (size_t i = 0; i < l->n; i++)
    used += l->rows[i].running;
  return l->slots - used;
}

static int64_t
slots_reserved_for_others (const struct hk_limits *l,
                           const struct hk_route_limit *row, int64_t now_ms)
{
  int64_t sum = 0;

  for (size_t i = 0; i < l->n; i++)
    if (&l->rows[i] != row)
      sum += reserved_slots (&l->rows[i], now_ms);
  return sum;
}

static gboolean
floors_may_start (const struct hk_limits *l, const struct hk_route_limit *row,
                  int64_t now_ms)
{
  int64_t available = free_slots (l);

  if (available <= 0)
    return FALSE;
  if (row->running < row->floor)
    return TRUE;
  return available > slots_reserved_for_others (l, row, now_ms);
}

static gboolean
floors_go_before (const struct hk_route_limit *a,
                  const struct hk_route_limit *b)
{
  gboolean a_owns = a->running < a->floor;
  gboolean b_owns = b->running < b->floor;

  if (a_owns != b_owns)
    return a_owns;
  if (a->urgency != b->urgency)
    return a->urgency > b->urgency;
  return a->running * MAX (b->floor, 1) < b->running * MAX (a->floor, 1);
}

static gboolean
fifo_may_start (const struct hk_limits *l, const struct hk_route_limit *row,
                int64_t now_ms)
{
  (void)row;
  (void)now_ms;
  return free_slots (l) > 0;
}

static gboolean
fifo_goes_before (const struct hk_route_limit *a,
                  const struct hk_route_limit *b)
{
  return a->head_arrival_us < b->head_arrival_us;
}

const struct hk_limits_ops hk_limits_floor_policy
    = { floors_may_start, floors_go_before };
const struct hk_limits_ops hk_limits_fifo_policy
    = { fifo_may_start, fifo_goes_before };

static const struct hk_limits_ops *
policy_of (const struct hk_limits *l)
{
  return l->ops ? l->ops : &hk_limits_floor_policy;
}

gboolean
hk_limits_may_start (const struct hk_limits *l,
                     const struct hk_route_limit *row, int64_t now_ms)
{
  return policy_of (l)->may_start (l, row, now_ms);
}

struct hk_route_limit *
hk_limits_next_route (struct hk_limits *l, int64_t now_ms)
{
  struct hk_route_limit *best = NULL;

  for (size_t i = 0; i < l->n; i++)
    {
      struct hk_route_limit *row = &l->rows[i];

      if (row->queued == 0 || !hk_limits_may_start (l, row, now_ms))
        continue;
      if (!best || policy_of (l)->goes_before (row, best))
        best = row;
    }
  return best;
}

gboolean
hk_limits_meets_deadline (const struct hk_limits *l,
                          const struct hk_route_limit *row,
                          int64_t deadline_ms, int64_t now_ms)
{
  double deadline_us = (double)deadline_ms * 1000;
  double service_us = row->service_us;
  /* Of a route with a floor only the floor counts: borrowed slots may be
     reclaimed while the request waits. */
  int64_t dependable_slots = row->floor > 0 ? row->floor : row->running;

  if (row->queued == 0 && hk_limits_may_start (l, row, now_ms))
    return TRUE;
  if (dependable_slots == 0)
    return row->queued < QUEUE_WITHOUT_SLOTS_MAX;
  if (service_us <= 0)
    service_us = deadline_us / ASSUMED_SERVICES_PER_DEADLINE;
  return (double)(row->queued + 1) * service_us / (double)dependable_slots
             + service_us
         <= deadline_us;
}

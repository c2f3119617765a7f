/* Placement of requests: the best instance of a small random sample. Sampling
   a few instances instead of scanning all follows Mitzenmacher, "The Power of
   Two Choices in Randomized Load Balancing", IEEE TPDS 2001. */
#include "hyssopkeel/placement.h"

/* Service time of a route that has none measured yet. */
#define DEFAULT_SERVICE_US 1000.0
/* Up to this many candidates all are compared. */
#define SCAN_ALL_MAX 16

static gboolean
was_tried (const struct hk_place_query *query, guint id)
{
  for (size_t i = 0; i < query->n_tried; i++)
    if (query->tried[i] == id)
      return TRUE;
  return FALSE;
}

static gboolean
is_usable (const struct hk_candidate *c, const struct hk_place_query *query,
           gboolean allow_set_aside)
{
  if (!c->available)
    return FALSE;
  if (c->set_aside_until_ms > query->now_ms && !allow_set_aside)
    return FALSE;
  if (query->need.slots > 0 && !hk_size_fits (&query->need, &c->free))
    return FALSE;
  return !was_tried (query, c->id);
}

/* Expected response time, microseconds. */
static double
expected_response_us (const struct hk_candidate *c,
                      const struct hk_place_query *query)
{
  double usual_us
      = query->service_us > 0 ? query->service_us : DEFAULT_SERVICE_US;
  double service_us = usual_us * (double)c->slowdown_percent / 100;
  double slots = (double)MAX (c->slots, 1);
  double load = (double)(c->busy + 1) / slots;

  return service_us * (1 + load) + 2 * c->distance_us;
}

static size_t
sample_size (size_t n)
{
  size_t n_samples = 2;

  while (n > 1)
    {
      n /= 2;
      n_samples++;
    }
  return n_samples;
}

static int
best_of_all (const struct hk_candidate *const *view, size_t n,
             const struct hk_place_query *query, size_t start,
             gboolean allow_set_aside)
{
  int best = -1;

  for (size_t k = 0; k < n; k++)
    {
      size_t i = (start + k) % n;

      if (!is_usable (view[i], query, allow_set_aside))
        continue;
      if (best < 0
          || expected_response_us (view[i], query)
                 < expected_response_us (view[best], query))
        best = (int)i;
    }
  return best;
}

/* If no other instance is usable, one that is set aside is better than
   none. */
static int
best_of_all_or_set_aside (const struct hk_candidate *const *view, size_t n,
                          const struct hk_place_query *query, GRand *random)
{
  size_t start = (size_t)g_rand_int_range (random, 0, (gint32)n);
  int best = best_of_all (view, n, query, start, FALSE);

  return best >= 0 ? best : best_of_all (view, n, query, start, TRUE);
}

int
hk_place (const struct hk_candidate *const *view, size_t n,
          const struct hk_place_query *query, GRand *random)
{
  size_t n_samples = sample_size (n);
  int best = -1;

  if (n == 0)
    return -1;
  if (n <= SCAN_ALL_MAX)
    return best_of_all_or_set_aside (view, n, query, random);
  for (size_t k = 0; k < n_samples; k++)
    {
      int i = g_rand_int_range (random, 0, (gint32)n);

      if (!is_usable (view[i], query, FALSE))
        continue;
      if (best < 0
          || expected_response_us (view[i], query)
                 < expected_response_us (view[best], query))
        best = i;
    }
  return best >= 0 ? best : best_of_all_or_set_aside (view, n, query, random);
}

int
hk_place_random (const struct hk_candidate *const *view, size_t n,
                 const struct hk_place_query *query, GRand *random)
{
  size_t start;

  if (n == 0)
    return -1;
  start = (size_t)g_rand_int_range (random, 0, (gint32)n);
  for (size_t k = 0; k < n; k++)
    {
      size_t i = (start + k) % n;

      if (view[i]->available && !was_tried (query, view[i]->id))
        return (int)i;
    }
  return -1;
}

/* How long a task waits for a slot near its data. Load pattern: short tasks
   with data on a few racks, of which one has more demand than slots. Placing
   tasks anywhere multiplies their run time; waiting without a bound leaves the
   other racks idle while the queue of the hot one grows. */
#include "hyssopkeel/locality.h"

#include <math.h>

/* Weight of an observed factor in the moving average. */
#define FACTOR_WEIGHT 0.05
/* Observed factors are limited to this, as a run may stall. */
#define FACTOR_MAX 10.0
/* Without a configured factor, these many must have been observed. */
#define FACTOR_SAMPLES_MIN 8
/* Shortest expected time until a run ends. */
#define LEFT_MIN_MS 20.0
/* Reported progress below this is too coarse to extrapolate from. */
#define PERCENT_MIN 20
/* A task waits for up to this share of what a slot near its data saves: while
   it queues, those behind it wait longer. The replay of the unit test takes
   1,466 ms on a hot rack with all of it, and 1,347 ms with this share. */
#define WAIT_GAIN_SHARE 0.6
/* Where tasks have queued for QUEUED_MS the rack has more demand than slots,
   and each wait is passed on to all who follow: 1,190 ms with this share. */
#define QUEUED_GAIN_SHARE 0.3
#define QUEUED_MS 3000
/* A queue without a task for longer than two passes has ended. */
#define QUEUE_BREAK_MS 250
/* Shortest pause until a decision is due again. */
#define RECHECK_MIN_MS 10

void
hk_locality_factor_init (struct hk_locality_factor *f, double prior)
{
  *f = (struct hk_locality_factor){ .prior = prior, .value = prior };
}

void
hk_locality_factor_learn (struct hk_locality_factor *f, double sample)
{
  double weight = FACTOR_WEIGHT;

  if (!isfinite (sample) || sample <= 0)
    return;
  f->samples++;
  if (f->prior <= 0)
    weight = MAX (weight, 1.0 / f->samples);
  f->value += weight * (CLAMP (sample, 1.0, FACTOR_MAX) - f->value);
}

double
hk_locality_factor_value (const struct hk_locality_factor *f)
{
  return f->prior > 0 || f->samples >= FACTOR_SAMPLES_MIN ? f->value : 0;
}

double
hk_locality_left_ms (double expected_ms, double elapsed_ms, unsigned percent)
{
  double left = expected_ms - elapsed_ms;

  if (percent >= PERCENT_MIN)
    left = elapsed_ms * (100.0 - MIN (percent, 100)) / percent;
  else if (left < 0)
    /* Of an overdue run nothing is known but that its estimate was wrong, by
       at least this much. */
    left = -left;
  return MAX (left, LEFT_MIN_MS);
}

static void
swap (double *a, double *b)
{
  double t = *a;

  *a = *b;
  *b = t;
}

static void
sift_down (struct hk_locality_slots *s)
{
  unsigned i = 0;

  for (;;)
    {
      unsigned least = i;

      for (unsigned child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < s->n && s->free_ms[child] < s->free_ms[least])
          least = child;
      if (least == i)
        return;
      swap (&s->free_ms[i], &s->free_ms[least]);
      i = least;
    }
}

void
hk_locality_slots_add (struct hk_locality_slots *s, double at_ms,
                       unsigned count)
{
  while (count-- > 0 && s->n < HK_LOCALITY_SLOTS_MAX)
    {
      unsigned i = s->n++;

      s->free_ms[i] = at_ms;
      for (; i > 0 && s->free_ms[(i - 1) / 2] > s->free_ms[i]; i = (i - 1) / 2)
        swap (&s->free_ms[i], &s->free_ms[(i - 1) / 2]);
    }
}

double
hk_locality_slots_wait (const struct hk_locality_slots *s)
{
  return s->n > 0 ? s->free_ms[0] : INFINITY;
}

void
hk_locality_slots_take (struct hk_locality_slots *s, double run_ms)
{
  if (s->n == 0)
    return;
  s->free_ms[0] += run_ms;
  sift_down (s);
}

void
hk_locality_queue_note (struct hk_locality_queue *q, int64_t now_ms)
{
  if (!q->last_ms || now_ms - q->last_ms > QUEUE_BREAK_MS)
    q->since_ms = now_ms;
  q->last_ms = now_ms;
}

int64_t
hk_locality_queue_age_ms (const struct hk_locality_queue *q, int64_t now_ms)
{
  if (!q->last_ms || now_ms - q->last_ms > QUEUE_BREAK_MS)
    return 0;
  return now_ms - q->since_ms;
}

struct hk_locality_decision
hk_locality_decide (const struct hk_locality_view *v)
{
  struct hk_locality_decision d = { 0 };
  double near_ms = v->expected_wait_ms + v->run_ms;
  double limit_ms;
  double share
      = v->queued_ms < QUEUED_MS ? WAIT_GAIN_SHARE : QUEUED_GAIN_SHARE;

  if (v->factor <= 1.0)
    return d;
  d.gain_ms = (v->factor - 1.0) * v->run_ms;
  if (near_ms <= (double)v->left_ms
      && v->factor * v->run_ms > (double)v->left_ms)
    share = 1.0;
  /* A task that has waited for as long as it could gain stops waiting, so
     that wrong estimates cost no more than a run elsewhere does. */
  limit_ms = MIN (d.gain_ms, (double)v->limit_ms) - (double)v->waited_ms;
  if (v->expected_wait_ms >= share * d.gain_ms
      || v->expected_wait_ms > limit_ms)
    return d;
  d.wait = TRUE;
  d.wait_ms = (int64_t)MAX (v->expected_wait_ms, RECHECK_MIN_MS);
  return d;
}

/* Order of work, and what is not taken on. Answers a load that is higher than
   the capacity for a while: whatever is still in time goes first, what is
   late already goes after it, what is worth nothing goes last; and what could
   not be done in time is refused before it makes others late. */
#include "hyssopkeel/order.h"

/* Distance between classes, above any due time in milliseconds. */
#define CLASS_STEP 1e10
#define URGENCY_STEP 1e12
#define HOPELESS 1e15
/* A job is admitted if it should be done within this many times its
   objective: before it is worth nothing, less the error of estimates. */
#define ADMIT_FACTOR 2.5
#define RETRY_MAX_S 8

gboolean
hk_order_hopeless (const struct hk_order_view *v)
{
  return !v->lasts
         && v->age_ms + v->remaining_ms
                > HK_ORDER_LATE_FACTOR * v->objective_ms;
}

double
hk_order_key (const struct hk_order_view *v)
{
  double key = (double)v->urgency * URGENCY_STEP;
  double due = (double)(v->objective_ms - v->age_ms);

  if (v->lasts)
    return key - (double)v->age_ms;
  if (hk_order_hopeless (v))
    return HOPELESS + due;
  if (v->age_ms + v->remaining_ms > v->objective_ms)
    return key + CLASS_STEP
           + (double)((HK_ORDER_LATE_FACTOR - 1) * v->objective_ms) + due;
  return key + due;
}

gboolean
hk_admission_decide (const struct hk_admission_view *v,
                     unsigned *retry_after_s)
{
  double rate = MAX (v->rate_cores, 1.0);
  double wait_ms = (v->backlog_core_ms + v->work_core_ms) / rate;
  double limit = ADMIT_FACTOR * (double)v->objective_ms;
  double over;

  *retry_after_s = 0;
  wait_ms = MAX (wait_ms, (double)v->chain_ms);
  if (wait_ms <= limit)
    return TRUE;
  over = (wait_ms - limit) / 1000.0;
  *retry_after_s = (unsigned)CLAMP (over + 0.5, 1.0, (double)RETRY_MAX_S);
  return FALSE;
}

/* Order of work, and what is not taken on. Answers a load that is higher than
   the capacity for a while: whatever is still in time goes first, what is
   late already goes after it, what is worth nothing goes last; and what could
   not be done in time is refused before it makes others late. */
#include "hyssopkeel/order.h"

/* Run times are this much longer beside others than alone. */
#define SLOWDOWN 1.25
/* A job is worth a fixed part, and a part by its work. */
#define WORTH_FIXED 0.3
#define WORTH_BY_WORK 0.7
/* Older jobs than this count as equally old. */
#define AGE_MAX_MS 86400000
/* Distance between classes, above any density. */
#define CLASS_STEP 1e3
#define URGENCY_STEP 1e6
#define HOPELESS 1e9
/* A job is admitted if it should be done within this many times its
   objective: before it is worth nothing, less the error of estimates. */
#define ADMIT_FACTOR 2.5
#define RETRY_MAX_S 8

enum hk_order_class
hk_order_class (const struct hk_order_view *v)
{
  double left = SLOWDOWN * (double)v->remaining_ms;
  double done = (double)v->age_ms + left;

  if (v->lasts || done <= (double)v->objective_ms)
    return HK_ORDER_IN_TIME;
  if ((double)(v->age_ms + v->remaining_ms)
      <= (double)(HK_ORDER_LATE_FACTOR * v->objective_ms))
    return HK_ORDER_LATE;
  return HK_ORDER_HOPELESS;
}

/* Work that is left for what the job is worth. A job comes forward as it
   nears its end, so that jobs are finished rather than begun; large ones are
   worth more, and stand back only a little. */
static double
density (const struct hk_order_view *v)
{
  double worth = WORTH_FIXED * v->mean_work + WORTH_BY_WORK * v->work;

  return worth > 0 ? v->remaining_work / worth : 0;
}

double
hk_order_key (const struct hk_order_view *v)
{
  enum hk_order_class class = hk_order_class (v);
  double key = (double)v->urgency * URGENCY_STEP;

  /* Lasting tasks of one urgency come first, the oldest before the others. */
  if (v->lasts)
    return key - (double)MIN (v->age_ms, AGE_MAX_MS) / AGE_MAX_MS;
  if (class == HK_ORDER_HOPELESS)
    key = HOPELESS;
  return key + (double)class * CLASS_STEP + density (v);
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

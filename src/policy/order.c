/* Job order and admission control. Load pattern: demand above capacity for a
   while. Jobs that can still meet their objective go first, late ones next,
   those past the cut-off last; a new job that could not finish before the
   cut-off is rejected, so that it doesn't delay others. */
#include "hyssopkeel/order.h"

/* Run time beside other tasks over run time alone. */
#define COLOCATION_SLOWDOWN 1.25
/* Value of a job: a fixed part in units of the queue's mean work, and a part
   proportional to its own work. */
#define VALUE_FIXED_WEIGHT 0.3
#define VALUE_WORK_WEIGHT 0.7
/* Older service jobs are ordered as if they had this age: 24 hours. */
#define AGE_MAX_MS 86400000
/* Distance between the keys of two classes, above any remaining work per
   value. */
#define CLASS_KEY_STEP 1e3
/* Distance between the keys of two urgencies, above any class. */
#define URGENCY_KEY_STEP 1e6
/* Key of jobs past the cut-off, whatever their urgency. */
#define EXPIRED_KEY 1e9
/* A job is admitted if it should be done within this many times its objective:
   the cut-off, HK_ORDER_CUTOFF_FACTOR, less a margin for estimation errors. */
#define ADMIT_FACTOR 2.5
#define RETRY_MAX_S 8

enum hk_order_class
hk_order_class (const struct hk_order_view *v)
{
  double remaining_ms = COLOCATION_SLOWDOWN * (double)v->critical_path_ms;
  double done_ms = (double)v->age_ms + remaining_ms;

  if (v->is_service || done_ms <= (double)v->objective_ms)
    return HK_ORDER_IN_TIME;
  if ((double)(v->age_ms + v->critical_path_ms)
      <= (double)(HK_ORDER_CUTOFF_FACTOR * v->objective_ms))
    return HK_ORDER_LATE;
  return HK_ORDER_EXPIRED;
}

/* Remaining work per value of the job. It falls as the job progresses, so that
   started jobs are finished before new ones start; large jobs have more value
   and yield only a little to small ones. */
static double
remaining_work_per_value (const struct hk_order_view *v)
{
  double value = VALUE_FIXED_WEIGHT * v->mean_core_ms
                 + VALUE_WORK_WEIGHT * v->work_core_ms;

  return value > 0 ? v->remaining_core_ms / value : 0;
}

double
hk_order_key (const struct hk_order_view *v)
{
  enum hk_order_class class = hk_order_class (v);
  double key = (double)v->urgency * URGENCY_KEY_STEP;

  /* Within an urgency, service tasks precede the others, the oldest first. */
  if (v->is_service)
    return key - (double)MIN (v->age_ms, AGE_MAX_MS) / AGE_MAX_MS;
  if (class == HK_ORDER_EXPIRED)
    key = EXPIRED_KEY;
  return key + (double)class * CLASS_KEY_STEP + remaining_work_per_value (v);
}

gboolean
hk_admission_decide (const struct hk_admission_view *v,
                     unsigned *retry_after_s)
{
  double cores = MAX (v->rate_cores, 1.0);
  double finish_ms = (v->backlog_core_ms + v->work_core_ms) / cores;
  double limit_ms = ADMIT_FACTOR * (double)v->objective_ms;
  double excess_s;

  *retry_after_s = 0;
  finish_ms = MAX (finish_ms, (double)v->critical_path_ms);
  if (finish_ms <= limit_ms)
    return TRUE;
  excess_s = (finish_ms - limit_ms) / 1000.0;
  *retry_after_s = (unsigned)CLAMP (excess_s + 0.5, 1.0, (double)RETRY_MAX_S);
  return FALSE;
}

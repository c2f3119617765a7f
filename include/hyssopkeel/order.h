#ifndef HYSSOPKEEL_ORDER_H
#define HYSSOPKEEL_ORDER_H

#include <glib.h>
#include <stdint.h>

/** HK_ORDER_CUTOFF_FACTOR - ratio of the cut-off of a job to its objective; a
 * result after the cut-off has no value. */
#define HK_ORDER_CUTOFF_FACTOR 3

/**
 * struct hk_order_view - a job as input to the job order.
 * @urgency: 0 is the most urgent (unlike the urgency of a route, see
 *           limits.h).
 * @is_service: its tasks run until it is cancelled.
 * @age_ms: time since it was accepted.
 * @objective_ms: time from acceptance in which it should be done.
 * @critical_path_ms: run time of the critical path that remains.
 * @work_core_ms: CPU time of the whole job, in core milliseconds.
 * @remaining_core_ms: part of @work_core_ms that is not done.
 * @mean_core_ms: mean @work_core_ms of the jobs of its queue.
 */
struct hk_order_view
{
  unsigned urgency;
  gboolean is_service;
  int64_t age_ms;
  int64_t objective_ms;
  int64_t critical_path_ms;
  double work_core_ms;
  double remaining_core_ms;
  double mean_core_ms;
};

/**
 * enum hk_order_class - when a job is expected to be done.
 * @HK_ORDER_IN_TIME: within its objective.
 * @HK_ORDER_LATE: after the objective, before the cut-off.
 * @HK_ORDER_EXPIRED: past the cut-off; its result has no value any more.
 */
enum hk_order_class
{
  HK_ORDER_IN_TIME,
  HK_ORDER_LATE,
  HK_ORDER_EXPIRED
};

/** hk_order_class() - predict when a job will be done. */
enum hk_order_class hk_order_class (const struct hk_order_view *v);

/**
 * hk_order_key() - sort key of a job in the job order.
 * @v: job.
 *
 * Return: key; jobs with lower keys are scheduled first.
 */
double hk_order_key (const struct hk_order_view *v);

/**
 * struct hk_admission_view - a new job and the load ahead of it.
 * @backlog_core_ms: remaining work of the jobs that go before it.
 * @rate_cores: cores that work on jobs of its kind.
 * @objective_ms: time in which it should be done.
 * @critical_path_ms: run time of its critical path.
 * @work_core_ms: its own work.
 */
struct hk_admission_view
{
  double backlog_core_ms;
  double rate_cores;
  int64_t objective_ms;
  int64_t critical_path_ms;
  double work_core_ms;
};

/**
 * hk_admission_decide() - admit a new job or ask the client to retry later.
 * @v: job and load.
 * @retry_after_s: set to 0 if admitted, else to seconds until a retry.
 *
 * Return: TRUE to admit it.
 */
gboolean hk_admission_decide (const struct hk_admission_view *v,
                              unsigned *retry_after_s);

#endif

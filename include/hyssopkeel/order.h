#ifndef HYSSOPKEEL_ORDER_H
#define HYSSOPKEEL_ORDER_H

#include <glib.h>
#include <stdint.h>

/** A job is worth something until this many times its objective. */
#define HK_ORDER_LATE_FACTOR 3

/**
 * struct hk_order_view - a job as the order of work sees it.
 * @urgency: 0 comes first.
 * @lasts: its tasks run until it is cancelled.
 * @age_ms: time since it was accepted.
 * @objective_ms: time in which it should be done.
 * @remaining_ms: longest chain of run time that is left.
 * @work: whole work of the job, processors times milliseconds.
 * @remaining_work: what is left of it.
 * @mean_work: of the jobs of its queue.
 */
struct hk_order_view
{
  unsigned urgency;
  gboolean lasts;
  int64_t age_ms;
  int64_t objective_ms;
  int64_t remaining_ms;
  double work;
  double remaining_work;
  double mean_work;
};

enum hk_order_class
{
  HK_ORDER_IN_TIME,
  HK_ORDER_LATE,
  HK_ORDER_HOPELESS
};

/** hk_order_class() - what can still be made of a job. */
enum hk_order_class hk_order_class (const struct hk_order_view *v);

/**
 * hk_order_key() - place of a job in the order of work.
 * @v: job.
 *
 * Return: key; lower comes first.
 */
double hk_order_key (const struct hk_order_view *v);

/**
 * struct hk_admission_view - load that a new job meets.
 * @backlog_core_ms: work that is left of jobs that come before it.
 * @rate_cores: processors that work on jobs of its kind.
 * @objective_ms: time in which it should be done.
 * @chain_ms: its longest chain of run time.
 * @work_core_ms: its own work.
 */
struct hk_admission_view
{
  double backlog_core_ms;
  double rate_cores;
  int64_t objective_ms;
  int64_t chain_ms;
  double work_core_ms;
};

/**
 * hk_admission_decide() - take a job now, or say when to come back.
 * @v: load.
 * @retry_after_s: when to come back, if refused.
 *
 * Return: TRUE to take it.
 */
gboolean hk_admission_decide (const struct hk_admission_view *v,
                              unsigned *retry_after_s);

#endif

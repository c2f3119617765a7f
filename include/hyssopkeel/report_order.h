#ifndef HYSSOPKEEL_REPORT_ORDER_H
#define HYSSOPKEEL_REPORT_ORDER_H

#include <glib.h>
#include <stdint.h>

/**
 * enum hk_report_verdict - what to do with a report of an endpoint.
 * @HK_REPORT_ACCEPTED: it is newer than those before.
 * @HK_REPORT_LATE: a newer one was accepted before.
 * @HK_REPORT_IMPLAUSIBLE: its number cannot have been reached yet.
 */
enum hk_report_verdict
{
  HK_REPORT_ACCEPTED,
  HK_REPORT_LATE,
  HK_REPORT_IMPLAUSIBLE
};

/**
 * struct hk_report_order - order of the reports of one incarnation.
 * @last: number of the last report accepted; -1 before the first.
 * @accepted_ms: time of that report.
 * @unused_last: number of the last report that was not accepted.
 * @unused_since_ms: time of the first of those whose numbers rise since.
 * @n_unused: number of these; 0 after a report that was accepted.
 *
 * Reports are numbered from small numbers upwards and may overtake each other.
 * Guards against a number that lies: an endpoint would be ignored until its
 * own numbers reach it, which may be never.
 */
struct hk_report_order
{
  int64_t last;
  int64_t accepted_ms;
  int64_t unused_last;
  int64_t unused_since_ms;
  unsigned n_unused;
};

/** hk_report_order_init() - before the first report of an incarnation. */
void hk_report_order_init (struct hk_report_order *order);

/**
 * hk_report_order_check() - judge a report, and remember its number.
 * @order: order of the incarnation.
 * @sequence: number of the report.
 * @now_ms: time of its arrival, hk_clock_ms().
 *
 * Return: whether to use the report.
 */
enum hk_report_verdict hk_report_order_check (struct hk_report_order *order,
                                              int64_t sequence,
                                              int64_t now_ms);

#endif

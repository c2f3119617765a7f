#ifndef HYSSOPKEEL_METRICS_H
#define HYSSOPKEEL_METRICS_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_metric - a counter or gauge of this process.
 * @value: current value; written only by the code that owns the metric.
 */
struct hk_metric
{
  double value;
};

/**
 * hk_metric_get() - look up a metric, or create it with value 0.
 * @name: Prometheus metric name.
 * @labels: Prometheus labels such as "outcome=\"done\"", or "".
 *
 * Return: metric that is valid until the process exits.
 */
struct hk_metric *hk_metric_get (const char *name, const char *labels);

/**
 * struct hk_histogram - latency histogram with power-of-two buckets.
 * @buckets: number of samples up to 64 us, up to 128 us, and so on; the last
 *           bucket has no upper bound.
 * @count: number of samples.
 * @sum_us: sum of samples, microseconds.
 */
struct hk_histogram
{
  uint64_t buckets[24];
  uint64_t count;
  uint64_t sum_us;
};

/**
 * hk_histogram_get() - look up a histogram, or create an empty one.
 * @name: Prometheus metric name.
 * @labels: Prometheus labels, or "".
 *
 * Return: histogram that is valid until the process exits.
 */
struct hk_histogram *hk_histogram_get (const char *name, const char *labels);

/**
 * hk_histogram_add() - add a sample.
 * @h: histogram.
 * @us: latency, microseconds.
 */
void hk_histogram_add (struct hk_histogram *h, int64_t us);

/**
 * hk_metrics_text() - format all metrics in the Prometheus text format.
 *
 * Return: newly allocated text.
 */
char *hk_metrics_text (void);

#endif

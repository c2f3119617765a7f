#ifndef HYSSOPKEEL_LOAD_TREND_H
#define HYSSOPKEEL_LOAD_TREND_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_load_trend - headroom of the service tasks of one step without
 * best-effort tasks beside them, and how it changes. Their load varies
 * together, so the samples of all tasks describe one curve.
 * @level: estimated headroom.
 * @slope: its change per second.
 * @variance: variance of @level; @slope_variance and @covariance complete the
 *            matrix.
 * @low: its recent minimum, rising slowly.
 * @high: its recent maximum, falling slowly.
 * @updated_ms: time of @level; 0 without samples.
 */
struct hk_load_trend
{
  double level;
  double slope;
  double variance;
  double slope_variance;
  double covariance;
  double low;
  double high;
  int64_t updated_ms;
};

/**
 * hk_load_trend_observe() - learn from a sample.
 * @t: zeroed, or with earlier samples.
 * @headroom: headroom of one task without best-effort tasks.
 * @variance: variance of @headroom.
 * @now_ms: time of the sample.
 */
void hk_load_trend_observe (struct hk_load_trend *t, double headroom,
                            double variance, int64_t now_ms);

/**
 * hk_load_trend_predict() - headroom expected at a time.
 * @t: with samples.
 * @at_ms: time, in the same clock.
 *
 * Return: headroom, between the recent extremes.
 */
double hk_load_trend_predict (const struct hk_load_trend *t, int64_t at_ms);

#endif

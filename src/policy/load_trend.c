/* Predicts the load of service tasks some seconds ahead: a Kalman filter of
   level and slope. Load pattern: load that swings by half within about ten
   seconds, out of phase between jobs, so that a best-effort task of a few
   seconds fits where the load is about to fall and stands still where it is
   about to rise. */
#include "hyssopkeel/load_trend.h"

/* Variance that the slope gains per second: a swing of 1.0 with a period of
   ten seconds changes its slope by up to 0.4 a second. */
#define SLOPE_NOISE_PER_S 0.12
/* Variance of the first slope. */
#define SLOPE_VARIANCE 0.2
/* How fast the recent extremes are forgotten, headroom per second. */
#define EXTREMES_FADE_PER_S 0.1
/* After a longer gap the samples start anew. */
#define GAP_MAX_MS 5000
/* Slopes do not last longer than a fraction of the period. */
#define SLOPE_LASTS_MS 2500

static void
start (struct hk_load_trend *t, double headroom, double variance,
       int64_t now_ms)
{
  *t = (struct hk_load_trend){ .level = headroom,
                               .variance = variance,
                               .slope_variance = SLOPE_VARIANCE,
                               .low = headroom,
                               .high = headroom,
                               .updated_ms = now_ms };
}

static void
advance (struct hk_load_trend *t, int64_t now_ms)
{
  double s = (double)(now_ms - t->updated_ms) / 1000.0;

  t->level += t->slope * s;
  t->variance += 2 * s * t->covariance + s * s * t->slope_variance
                 + SLOPE_NOISE_PER_S * s * s * s / 3;
  t->covariance += s * t->slope_variance + SLOPE_NOISE_PER_S * s * s / 2;
  t->slope_variance += SLOPE_NOISE_PER_S * s;
  t->low += EXTREMES_FADE_PER_S * s;
  t->high -= EXTREMES_FADE_PER_S * s;
  t->updated_ms = now_ms;
}

void
hk_load_trend_observe (struct hk_load_trend *t, double headroom,
                       double variance, int64_t now_ms)
{
  double gain;
  double slope_gain;
  double residual;

  if (!t->updated_ms || now_ms - t->updated_ms > GAP_MAX_MS)
    {
      start (t, headroom, variance, now_ms);
      return;
    }
  advance (t, now_ms);
  residual = headroom - t->level;
  gain = t->variance / (t->variance + variance);
  slope_gain = t->covariance / (t->variance + variance);
  t->level += gain * residual;
  t->slope += slope_gain * residual;
  t->slope_variance -= slope_gain * t->covariance;
  t->covariance *= 1 - gain;
  t->variance *= 1 - gain;
  t->low = MIN (t->low, t->level);
  t->high = MAX (t->high, t->level);
}

double
hk_load_trend_predict (const struct hk_load_trend *t, int64_t at_ms)
{
  int64_t ahead_ms = CLAMP (at_ms - t->updated_ms, 0, SLOPE_LASTS_MS);
  double headroom = t->level + t->slope * (double)ahead_ms / 1000.0;

  return CLAMP (headroom, t->low, t->high);
}

#ifndef HYSSOPKEEL_INTERFERENCE_H
#define HYSSOPKEEL_INTERFERENCE_H

#include <glib.h>
#include <stdint.h>

/**
 * enum hk_interference_action - what to do about batch tasks on an instance.
 * @HK_INTERFERENCE_NONE: nothing.
 * @HK_INTERFERENCE_THROTTLE: throttle them.
 * @HK_INTERFERENCE_EVICT: evict one of them, as throttling didn't help.
 * @HK_INTERFERENCE_UNTHROTTLE: lift the throttle.
 */
enum hk_interference_action
{
  HK_INTERFERENCE_NONE,
  HK_INTERFERENCE_THROTTLE,
  HK_INTERFERENCE_EVICT,
  HK_INTERFERENCE_UNTHROTTLE
};

/**
 * struct hk_interference - slowdown of interactive requests by batch tasks on
 * one instance.
 * @baseline_us: estimated service time without batch tasks, microseconds.
 * @window_sum_us: sum of the service times in the open window.
 * @window_n: number of samples in the open window.
 * @window_start_ms: start of the open window.
 * @slow_windows: consecutive windows over the tolerated slowdown.
 * @calm_windows: consecutive windows within it.
 * @throttled: whether batch tasks are throttled now.
 * @cooldown_until_ms: no action is taken before this time.
 * @slowdown_percent: mean service time of the last window that had enough
 *                    samples, per cent of the baseline; decays to 100 (none)
 *                    in windows without.
 */
struct hk_interference
{
  double baseline_us;
  double window_sum_us;
  int64_t window_n;
  int64_t window_start_ms;
  int slow_windows;
  int calm_windows;
  gboolean throttled;
  int64_t cooldown_until_ms;
  int64_t slowdown_percent;
};

/**
 * hk_interference_sample() - record the service time of an interactive
 * request.
 * @f: state.
 * @service_us: service time, microseconds.
 * @contended: whether batch tasks ran beside it.
 */
void hk_interference_sample (struct hk_interference *f, double service_us,
                             gboolean contended);

/**
 * hk_interference_decide() - close the window when it is due, and choose an
 * action.
 * @f: state.
 * @limit_percent: tolerated service time, per cent of the baseline.
 * @now_ms: current time.
 *
 * Consecutive slow windows throttle batch tasks; if they are throttled
 * already, one is evicted. A cooldown follows either action; consecutive calm
 * windows lift the throttle.
 *
 * Return: action to take now.
 */
enum hk_interference_action hk_interference_decide (struct hk_interference *f,
                                                    int64_t limit_percent,
                                                    int64_t now_ms);

#endif

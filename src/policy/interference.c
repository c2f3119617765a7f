/* Protects interactive requests from batch tasks that slow them down on the
   same instance: throttles batch tasks first, evicts one if that doesn't help,
   and pauses after each action. */
#include "hyssopkeel/interference.h"

#define WINDOW_MS 500
#define WINDOW_SAMPLES_MIN 5
/* Consecutive windows that are needed for an action. */
#define SLOW_WINDOWS_TO_ACT 2
#define CALM_WINDOWS_TO_UNTHROTTLE 6
/* Pause after each action. */
#define COOLDOWN_MS 2000
/* Part of the slowdown that remains after each window without enough samples,
   per cent. */
#define SLOWDOWN_DECAY_PERCENT 70
/* Weight of a sample in the baseline. Faster samples pull it down quickly;
   slower ones, used only if no batch task ran, raise it slowly. */
#define BASELINE_RISE_WEIGHT 0.002
#define BASELINE_FALL_WEIGHT 0.2

void
hk_interference_sample (struct hk_interference *f, double service_us,
                        gboolean contended)
{
  f->window_sum_us += service_us;
  f->window_n++;
  if (f->baseline_us <= 0)
    f->baseline_us = service_us;
  else if (service_us < f->baseline_us)
    f->baseline_us += (service_us - f->baseline_us) * BASELINE_FALL_WEIGHT;
  else if (!contended)
    f->baseline_us += (service_us - f->baseline_us) * BASELINE_RISE_WEIGHT;
}

static gboolean
window_is_slow (struct hk_interference *f, int64_t limit_percent)
{
  double mean = f->window_sum_us / (double)f->window_n;

  f->slowdown_percent = (int64_t)(mean * 100 / f->baseline_us);
  return f->slowdown_percent > limit_percent;
}

static enum hk_interference_action
escalate (struct hk_interference *f, int64_t now_ms)
{
  f->slow_windows = 0;
  f->cooldown_until_ms = now_ms + COOLDOWN_MS;
  if (f->throttled)
    return HK_INTERFERENCE_EVICT;
  f->throttled = TRUE;
  return HK_INTERFERENCE_THROTTLE;
}

/* Without samples the slowdown is unknown. If the old figure stayed, placement
   would avoid the instance, and no sample could correct it. */
static void
decay_slowdown (struct hk_interference *f)
{
  int64_t above = MAX (f->slowdown_percent - 100, 0);

  f->slowdown_percent = 100 + above * SLOWDOWN_DECAY_PERCENT / 100;
}

enum hk_interference_action
hk_interference_decide (struct hk_interference *f, int64_t limit_percent,
                        int64_t now_ms)
{
  gboolean slow;

  if (now_ms - f->window_start_ms < WINDOW_MS)
    return HK_INTERFERENCE_NONE;
  f->window_start_ms = now_ms;
  if (f->window_n < WINDOW_SAMPLES_MIN)
    {
      decay_slowdown (f);
      return HK_INTERFERENCE_NONE;
    }
  slow = window_is_slow (f, limit_percent);
  f->window_sum_us = 0;
  f->window_n = 0;
  f->slow_windows = slow ? f->slow_windows + 1 : 0;
  f->calm_windows = slow ? 0 : f->calm_windows + 1;
  if (now_ms < f->cooldown_until_ms)
    return HK_INTERFERENCE_NONE;
  if (f->slow_windows >= SLOW_WINDOWS_TO_ACT)
    return escalate (f, now_ms);
  if (f->throttled && f->calm_windows >= CALM_WINDOWS_TO_UNTHROTTLE)
    {
      f->throttled = FALSE;
      f->calm_windows = 0;
      return HK_INTERFERENCE_UNTHROTTLE;
    }
  return HK_INTERFERENCE_NONE;
}

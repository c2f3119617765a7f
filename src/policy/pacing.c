/* Pace of fillers beside serving tasks. The figure lags by half a second and
   the interference changes within seconds, so speed falls fast, and rises
   slowly below the share that went wrong last. */
#include "hyssopkeel/pacing.h"

/* The tail is steered to stay below this share of its target. */
#define HIGH 0.85
/* Below this share fillers may work faster. */
#define LOW 0.7
/* A change shows in the figure after this time: pace delay and half a
   second of measuring. */
#define SETTLE_MS 600
#define STEP_UP 10
/* A share that was too much is tried again after this time. */
#define CEILING_MS 5000
/* Pace while the tail is over its target. */
#define STOPPED 0

void
hk_pacing_init (struct hk_pacing *p)
{
  p->percent = 100;
  p->changed_ms = 0;
  p->ceiling = 100;
  p->ceiling_ms = 0;
}

unsigned
hk_pacing_update (struct hk_pacing *p, double worst, int64_t now_ms)
{
  unsigned next = p->percent;

  if (worst <= 0)
    next = 100;
  else if (worst >= 1.0)
    next = now_ms - p->changed_ms < SETTLE_MS && p->percent < 100
               ? p->percent / 2
               : MIN (p->percent / 3, 25);
  else if (worst >= HIGH)
    next = now_ms - p->changed_ms < SETTLE_MS ? p->percent
                                              : p->percent * 7 / 10;
  else if (worst < LOW && now_ms - p->changed_ms >= SETTLE_MS)
    {
      unsigned limit = now_ms - p->ceiling_ms < CEILING_MS ? p->ceiling : 100;

      next = MAX (MIN (p->percent + STEP_UP, limit), p->percent);
    }
  if (worst >= HIGH && next < p->percent)
    {
      p->ceiling = p->percent > STEP_UP ? p->percent - STEP_UP : STOPPED;
      p->ceiling_ms = now_ms;
    }
  if (worst >= 1.0 && next < 5)
    next = STOPPED;
  if (next != p->percent)
    {
      p->percent = next;
      p->changed_ms = now_ms;
    }
  return p->percent;
}

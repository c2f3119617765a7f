/* Pace of fillers beside serving tasks. The tail is steered to a share of its
   target: what it can bear is given to the fillers that press least first.
   Answers interference that differs by image and changes within seconds. */
#include "hyssopkeel/pacing.h"

/* Share of its target that the tail may reach by the fillers' doing. */
#define AIM 0.82
/* Share of the distance that a rise takes in one step; falls take all of it,
   since the figure lags. */
#define RISE_GAIN 0.5
/* Over the target, what was predicted to be enough was not. */
#define OVER_FACTOR 0.5
/* Least pressure that is reckoned with. */
#define PRESS_MIN 0.02
/* A slower pace than this is not worth its disturbance, percent. */
#define PERCENT_MIN 4

static void
share_out (struct hk_pacing_filler *fillers, unsigned n, double bearable)
{
  g_autofree gboolean *served = g_new0 (gboolean, n + 1);

  for (unsigned k = 0; k < n; k++)
    {
      struct hk_pacing_filler *f;
      unsigned lightest = n;
      double cost;

      for (unsigned i = 0; i < n; i++)
        if (!served[i]
            && (lightest == n || fillers[i].press < fillers[lightest].press))
          lightest = i;
      f = &fillers[lightest];
      served[lightest] = TRUE;
      cost = MAX (f->press, PRESS_MIN) * MAX (f->share, 0.001);
      f->percent = (unsigned)(100 * CLAMP (bearable / cost, 0.0, 1.0));
      if (f->percent < PERCENT_MIN)
        f->percent = 0;
      bearable = MAX (bearable - cost * f->percent / 100, 0);
    }
}

void
hk_pacing_decide (struct hk_pacing_filler *fillers, unsigned n, double worst,
                  gboolean settled)
{
  double caused = 0;
  double given = 0;
  double room = AIM - worst;
  double bearable;

  for (unsigned i = 0; i < n; i++)
    {
      double press = MAX (fillers[i].press, PRESS_MIN);

      caused += press * fillers[i].used;
      given += press * fillers[i].share * fillers[i].percent / 100;
    }
  if (worst <= 0)
    {
      for (unsigned i = 0; i < n; i++)
        fillers[i].percent = 100;
      return;
    }
  if (room >= 0)
    {
      if (!settled)
        return;
      bearable = MAX (caused, given) + RISE_GAIN * room;
    }
  else
    bearable = MIN (caused, given) + room;
  if (worst >= 1.0)
    bearable = MIN (bearable, OVER_FACTOR * MIN (caused, given));
  share_out (fillers, n, MAX (bearable, 0));
}

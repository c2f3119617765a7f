/* Pace of fillers beside serving tasks. Each headroom is steered to an aim:
   what it can bear is given to the fillers that press least first.
   Answers interference that differs by pair of images and changes within
   seconds. */
#include "hyssopkeel/pacing.h"

/* Share of the distance that a rise of pace takes in one step; falls take all
   of it, since the figures lag. */
#define RISE_GAIN 0.5
/* Over the target, what was predicted to be enough was not. */
#define OVER_FACTOR 0.5
/* Least pressure that is reckoned with. */
#define PRESS_MIN 0.02
/* A slower pace than this is not worth its disturbance, percent. */
#define PERCENT_MIN 4
/* A filler that takes less than this from every headroom is left alone: the
   noise of tails in whole milliseconds is larger. */
#define LIGHT 0.06
/* Unless something stays over its target for this long, milliseconds. */
#define OVER_MAX_MS 1500
#define TINY 1e-6

static double
press_at (const struct hk_pacing_view *v, unsigned filler, unsigned serving)
{
  return MAX (v->press[filler * v->n_serving + serving], PRESS_MIN);
}

/* Fall of a headroom that all fillers together may cause. */
static double
bearable (const struct hk_pacing_view *v, unsigned serving)
{
  double caused = 0;
  double given = 0;
  double room = v->headroom[serving] - HK_PACING_AIM;
  double fall;

  for (unsigned i = 0; i < v->n_fillers; i++)
    {
      const struct hk_pacing_filler *f = &v->fillers[i];

      caused += press_at (v, i, serving) * f->used;
      given += press_at (v, i, serving) * f->share * f->percent / 100;
    }
  if (room < 0)
    fall = MIN (caused, given) + room;
  else if (v->settled)
    fall = MAX (caused, given) + RISE_GAIN * room;
  else
    fall = caused + room;
  if (v->headroom[serving] <= 1.0)
    fall = MIN (fall, OVER_FACTOR * MIN (caused, given));
  return MAX (fall, 0);
}

/* Largest part of what some headroom has left that the filler would use up. */
static double
weight (const struct hk_pacing_view *v, unsigned filler, const double *left)
{
  double most = 0;

  for (unsigned t = 0; t < v->n_serving; t++)
    most = MAX (most, press_at (v, filler, t) * v->fillers[filler].share
                          / (left[t] + TINY));
  return most;
}

static gboolean
light (const struct hk_pacing_view *v, unsigned filler)
{
  for (unsigned t = 0; t < v->n_serving; t++)
    if (press_at (v, filler, t) * v->fillers[filler].share > LIGHT)
      return FALSE;
  return v->over_ms < OVER_MAX_MS;
}

static void
give (const struct hk_pacing_view *v, unsigned filler, double *left)
{
  struct hk_pacing_filler *f = &v->fillers[filler];
  double heaviest = weight (v, filler, left);
  unsigned percent = (unsigned)(100 * MIN (1.0 / MAX (heaviest, TINY), 1.0));

  if (light (v, filler))
    percent = 100;
  if (percent < PERCENT_MIN)
    percent = 0;
  /* What is on its way is not known yet: only less may be given. */
  f->percent = v->settled ? percent : MIN (percent, f->percent);
  for (unsigned t = 0; t < v->n_serving; t++)
    left[t] = MAX (
        left[t] - press_at (v, filler, t) * f->share * f->percent / 100, 0);
}

void
hk_pacing_decide (const struct hk_pacing_view *v)
{
  g_autofree double *left = g_new0 (double, v->n_serving + 1);
  g_autofree double *weights = g_new0 (double, v->n_fillers + 1);
  g_autofree gboolean *served = g_new0 (gboolean, v->n_fillers + 1);

  for (unsigned t = 0; t < v->n_serving; t++)
    left[t] = bearable (v, t);
  for (unsigned i = 0; i < v->n_fillers; i++)
    weights[i] = weight (v, i, left);
  for (unsigned k = 0; k < v->n_fillers; k++)
    {
      unsigned next = v->n_fillers;

      for (unsigned i = 0; i < v->n_fillers; i++)
        if (!served[i] && (next == v->n_fillers || weights[i] < weights[next]))
          next = i;
      served[next] = TRUE;
      give (v, next, left);
    }
}

double
hk_pacing_expect (double headroom, double before, double fall)
{
  if (fall <= LIGHT)
    return 1.0;
  return CLAMP ((headroom - HK_PACING_AIM - before) / fall, 0.0, 1.0);
}

#ifndef HYSSOPKEEL_PACING_H
#define HYSSOPKEEL_PACING_H

#include <glib.h>
#include <stdint.h>

/** Headroom (target over tail) that fillers leave to what serves beside them:
    the tail at 0.78 of its target. */
#define HK_PACING_AIM 1.28

/**
 * struct hk_pacing_filler - a task that fills, beside serving tasks.
 * @share: of the instance's processors that it would use at full speed.
 * @used: of the instance's processors that it used in the last report.
 * @percent: share of its speed it may have; set by hk_pacing_decide().
 */
struct hk_pacing_filler
{
  double share;
  double used;
  unsigned percent;
};

/**
 * struct hk_pacing_view - what runs on one instance.
 * @fillers: @n_fillers tasks that fill; their @percent is set.
 * @headroom: @n_serving serving images: least headroom.
 * @press: @n_fillers rows of @n_serving: fall of the headroom if the filler
 *         used all processors.
 * @settled: the last change has had time to show in @headroom.
 * @over_ms: time for which a tail has been over its target without a break.
 */
struct hk_pacing_view
{
  struct hk_pacing_filler *fillers;
  unsigned n_fillers;
  const double *headroom;
  unsigned n_serving;
  const double *press;
  gboolean settled;
  int64_t over_ms;
};

/** hk_pacing_decide() - share out what the serving tasks can bear. */
void hk_pacing_decide (const struct hk_pacing_view *v);

/**
 * hk_pacing_expect() - share of its speed that one more filler would have.
 * @headroom: of the serving task beside it, if nothing filled there.
 * @before: fall by the fillers there that press no more than it does.
 * @fall: fall of the headroom that it would cause at full speed.
 *
 * Return: 0 to 1.
 */
double hk_pacing_expect (double headroom, double before, double fall);

#endif

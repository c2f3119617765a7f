#ifndef HYSSOPKEEL_PACING_H
#define HYSSOPKEEL_PACING_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_pacing_filler - a task that fills, beside serving tasks.
 * @share: of the instance's processors that it would use at full speed.
 * @used: of the instance's processors that it used in the last report.
 * @press: rise of the worst tail, as a share of its target, if it used all
 *         processors.
 * @percent: share of its speed it may have; set by hk_pacing_decide().
 */
struct hk_pacing_filler
{
  double share;
  double used;
  double press;
  unsigned percent;
};

/**
 * hk_pacing_decide() - share out what the serving tasks can bear.
 * @fillers: @n fillers; their @percent is set.
 * @n: their number.
 * @worst: largest share of its target that a serving task's tail is at; 0 if
 *         nothing serves.
 * @settled: the last change has had time to show in @worst.
 */
void hk_pacing_decide (struct hk_pacing_filler *fillers, unsigned n,
                       double worst, gboolean settled);

#endif

#ifndef HYSSOPKEEL_PACING_H
#define HYSSOPKEEL_PACING_H

#include <glib.h>
#include <stdint.h>

/** Share of its target that a tail may reach by the fillers' doing. */
#define HK_PACING_AIM 0.78

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
 * @tails: @n_tails serving images: worst tail as a share of its target.
 * @press: @n_fillers rows of @n_tails: rise of the tail, as a share of its
 *         target, if the filler used all processors.
 * @settled: the last change has had time to show in @tails.
 * @over_ms: time for which a tail has been over its target without a break.
 */
struct hk_pacing_view
{
  struct hk_pacing_filler *fillers;
  unsigned n_fillers;
  const double *tails;
  unsigned n_tails;
  const double *press;
  gboolean settled;
  int64_t over_ms;
};

/** hk_pacing_decide() - share out what the serving tasks can bear. */
void hk_pacing_decide (const struct hk_pacing_view *v);

/**
 * hk_pacing_expect() - share of its speed that one more filler would have.
 * @tails: @n serving images: worst tail as a share of its target.
 * @press: rise of each tail if the filler used all processors.
 * @n: number of serving images.
 * @share: of the processors that the filler would use.
 */
double hk_pacing_expect (const double *tails, const double *press, unsigned n,
                         double share);

#endif

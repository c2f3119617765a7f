#ifndef HYSSOPKEEL_RELOCATION_H
#define HYSSOPKEEL_RELOCATION_H

#include <glib.h>
#include <stdint.h>

/** HK_RELOCATION_SPEED_MAX - faster runs are never relocated; fraction of full
 * speed. */
#define HK_RELOCATION_SPEED_MAX 0.5

/**
 * struct hk_relocation_view - a best-effort run and its best alternative.
 * @speed: present speed, fraction of full speed.
 * @slow_ms: time since which its speed has been at most
 *           HK_RELOCATION_SPEED_MAX, milliseconds.
 * @remaining_ms: run time that remains, at full speed, milliseconds.
 * @lost_ms: finished part of the run time that a restart would repeat.
 * @expected_speed: fraction of full speed on the other instance.
 * @expected_here: fraction of full speed forecast for the next seconds where
 * it is, 0 without a forecast.
 */
struct hk_relocation_view
{
  double speed;
  int64_t slow_ms;
  double remaining_ms;
  double lost_ms;
  double expected_speed;
  double expected_here;
};

/**
 * hk_relocation_pays() - whether to stop a run and start its task again on the
 * other instance, because it would then be done clearly sooner.
 */
gboolean hk_relocation_pays (const struct hk_relocation_view *v);

#endif

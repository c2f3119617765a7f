/* Whether a slow best-effort run starts again on another instance. Load
   pattern: pairs of images that turn out to interfere only once they share an
   instance, and service load that swings within about ten seconds, so that a
   run that stands still recovers after some seconds if nothing is done. */
#include "hyssopkeel/relocation.h"

/* Least time at low speed: samples of tail latency cover half a second. */
#define SLOW_MIN_MS 500
/* From the stop order until the run works again: stop, commit, start,
   restoring. */
#define RESTART_MS 700
/* Half of the period in which service load swings. */
#define RECOVERY_MS 5000
/* Gain that is needed, since both predictions have errors. */
#define GAIN_MIN_MS 400

gboolean
hk_relocation_pays (const struct hk_relocation_view *v)
{
  double stay_ms = v->remaining_ms + (1.0 - v->speed) * RECOVERY_MS;
  double move_ms;

  if (v->slow_ms < SLOW_MIN_MS || v->expected_speed <= 0)
    return FALSE;
  if (v->speed > 0)
    stay_ms = MIN (stay_ms, v->remaining_ms / v->speed);
  move_ms = RESTART_MS + (v->remaining_ms + v->lost_ms) / v->expected_speed;
  return stay_ms >= move_ms + GAIN_MIN_MS;
}

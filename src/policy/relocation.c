/* Whether a slow best-effort run starts again on another instance. Load
   pattern: pairs of images that turn out to interfere only once they share an
   instance, and service load that swings within about ten seconds, so that a
   run that stands still recovers after some seconds if nothing is done. A
   sample of tail latency is so noisy that one alone may stop a run, and the
   agent raises no speed within 600 ms of a change: a run that is forecast to
   recover where it is waits, the less the longer the forecast has been wrong.
 */
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

/* Time until the run is done where it is. */
static double
time_to_stay_ms (const struct hk_relocation_view *v)
{
  double trust = MAX (1.0 - (double)v->slow_ms / RECOVERY_MS, 0);
  double speed = MAX (v->speed, v->expected_here * trust);
  double stay_ms = v->remaining_ms + (1.0 - v->speed) * RECOVERY_MS;

  return speed > 0 ? MIN (stay_ms, v->remaining_ms / speed) : stay_ms;
}

gboolean
hk_relocation_pays (const struct hk_relocation_view *v)
{
  double stay_ms = time_to_stay_ms (v);
  double move_ms;

  if (v->slow_ms < SLOW_MIN_MS || v->expected_speed <= 0)
    return FALSE;
  move_ms = RESTART_MS + (v->remaining_ms + v->lost_ms) / v->expected_speed;
  return stay_ms >= move_ms + GAIN_MIN_MS;
}

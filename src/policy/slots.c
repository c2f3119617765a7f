/* Placement of the tasks of jobs. Answers these loads: a burst of wide jobs
   beside serving tasks (spread by what is left over), instances that turn
   slow, and instances that fail all they start. */
#include "hyssopkeel/slots.h"

/* An instance that fails more than this share is used only if no other fits.
 */
#define FAILING_MAX 0.5
/* One that takes this many times as long counts as bad too. */
#define SLOWNESS_MAX 2.0
/* Score of a bad instance, below every good one. */
#define BAD_PENALTY 1e6
/* Weight of having had a run of the same task. */
#define AVOID_PENALTY 1e5
/* Slowness weighs like this share of an instance's processors. */
#define SLOWNESS_WEIGHT 0.5

static gboolean
fits (const struct hk_slots_view *v, const struct hk_slots_need *need)
{
  int64_t left = v->cpu_free_milli;

  if (!v->usable)
    return FALSE;
  if (need->per_instance_max > 0 && v->same_step >= need->per_instance_max)
    return FALSE;
  if (v->memory_free_mb < (int64_t)need->memory_mb
      || v->accelerators_free < (int64_t)need->accelerators)
    return FALSE;
  if (need->fills)
    left -= v->fill_cpu_milli;
  return left >= (int64_t)need->cpu_milli;
}

static double
score (const struct hk_slots_view *v)
{
  double left = (double)(v->cpu_free_milli - v->fill_cpu_milli);
  double total = (double)MAX (v->cpu_milli, 1);
  double s = left / total - SLOWNESS_WEIGHT * (v->slowness - 1.0);

  if (v->failing > FAILING_MAX || v->slowness > SLOWNESS_MAX)
    s -= BAD_PENALTY;
  if (v->avoid)
    s -= AVOID_PENALTY;
  return s - v->failing;
}

int
hk_slots_choose (const struct hk_slots_view *views, unsigned n,
                 const struct hk_slots_need *need)
{
  double best_score = 0;
  int best = -1;

  for (unsigned i = 0; i < n; i++)
    {
      double s;

      if (!fits (&views[i], need))
        continue;
      s = score (&views[i]);
      if (best < 0 || s > best_score)
        {
          best = (int)i;
          best_score = s;
        }
    }
  return best;
}

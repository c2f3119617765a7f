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
/* A filler goes where it may go fastest, then where it costs least. Instances
   without serving tasks are kept for fillers that press hard elsewhere. */
#define PACE_WEIGHT 3.0
#define FREE_COST 0.3
#define ROOM_WEIGHT 0.2
/* A filler waits rather than go slower than this. */
#define PACE_MIN 0.5
/* Other tasks prefer an instance with serving tasks by this much. */
#define APART_BONUS 2.0
/* Serving tasks of one image bear the same fillers: an instance with a mix of
   images is one where nearly every filler disturbs something. */
#define SAME_IMAGE_BONUS 3.0
#define OTHER_IMAGE_COST 1.0
/* Slowness weighs like this share of an instance's processors. */
#define SLOWNESS_WEIGHT 0.5

static gboolean
fits (const struct hk_slots_view *v, const struct hk_slots_need *need)
{
  int64_t left = need->fills ? v->fill_room_milli : v->cpu_free_milli;

  if (!v->usable)
    return FALSE;
  if (need->per_instance_max > 0 && v->same_step >= need->per_instance_max)
    return FALSE;
  if (v->memory_free_mb < (int64_t)need->memory_mb
      || v->accelerators_free < (int64_t)need->accelerators)
    return FALSE;
  if (need->fills && need->starving)
    return TRUE;
  if (need->fills && (v->failing > FAILING_MAX || v->pace < PACE_MIN))
    return FALSE;
  return left >= (int64_t)need->cpu_milli;
}

/* Fillers and serving tasks disturb each other, so they are kept apart as far
   as room allows: serving tasks are packed by image, everything that does not
   fill joins them, and fillers go where nothing serves. */
static double
score (const struct hk_slots_view *v, const struct hk_slots_need *need)
{
  double left = (double)(v->cpu_free_milli - v->fill_cpu_milli);
  double total = (double)MAX (v->cpu_milli, 1);
  double s = left / total - SLOWNESS_WEIGHT * (v->slowness - 1.0);

  if (need->fills)
    s = ROOM_WEIGHT * (double)v->fill_room_milli / total
        + PACE_WEIGHT * v->pace - (v->serving > 0 ? v->burden : FREE_COST)
        - SLOWNESS_WEIGHT * (v->slowness - 1.0);
  else if (need->lasts)
    s = (v->same_image > 0 ? SAME_IMAGE_BONUS : 0)
        - OTHER_IMAGE_COST * v->other_images
        - (double)v->cpu_free_milli / total
        - SLOWNESS_WEIGHT * (v->slowness - 1.0);
  else if (v->serving > 0)
    s += APART_BONUS;

  if (v->failing > FAILING_MAX || v->slowness > SLOWNESS_MAX)
    s -= BAD_PENALTY;
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
      s = score (&views[i], need);
      if (best < 0 || s > best_score)
        {
          best = (int)i;
          best_score = s;
        }
    }
  return best;
}

gboolean
hk_slots_regroup (const struct hk_slots_view *from,
                  const struct hk_slots_view *to)
{
  return to->usable && from->other_images > 0
         && to->same_image > from->same_image
         && to->other_images <= from->other_images
         && to->slowness < SLOWNESS_MAX && to->failing < FAILING_MAX;
}

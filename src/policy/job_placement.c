/* Placement of the tasks of jobs. Load patterns: a burst of wide jobs beside
   service tasks, where tasks are spread by the free capacity they leave;
   instances that become slow; and instances that fail every task they start.
 */
#include "hyssopkeel/job_placement.h"

/* An instance with a higher failure rate is used only if no other fits. */
#define FAILURE_RATE_MAX 0.5
/* So is one whose run times are more than this many times the usual. */
#define RUN_TIME_RATIO_MAX 2.0
/* Keeps the score of such an instance below that of every other. */
#define UNRELIABLE_PENALTY 1e6
/* Likewise of one on which a run may crash the endpoint. */
#define SUSPECT_PENALTY 1e3
/* A best-effort task stays queued rather than raise what such tasks take above
   this share of what they may take: it, or others, would be throttled. The
   rest is a reserve, as the load ahead is known with errors. */
#define HEADROOM_USAGE_MAX 0.75
/* Keeps instances without service tasks for tasks that interfere strongly
   elsewhere. */
#define NO_SERVICE_COST 0.3
/* A best-effort task stays queued rather than run below this fraction of its
   full speed. */
#define SPEED_MIN 0.5
/* Preference of the other short tasks for an instance with service tasks,
   which leaves the rest to best-effort tasks. */
#define WITH_SERVICE_BONUS 2.0
/* Service tasks of one image tolerate the same best-effort tasks, while nearly
   every best-effort task interferes with some image of a mix. */
#define SAME_IMAGE_BONUS 3.0
#define OTHER_IMAGE_COST 1.0
/* A run time twice the usual costs as much as this fraction of the CPUs of the
   instance. */
#define RUN_TIME_WEIGHT 0.5
/* Preference for the rack of the data, above all others except reliability. A
   service task runs until it is stopped and has no run time to save, so its
   preference is below that for its image. */
#define NEAR_BONUS 10.0
#define NEAR_SERVICE_BONUS 0.5
/* Tasks without data on a rack avoid the slots that others wait for where
   another slot is as good: it may leave this much less of its CPUs free. A
   best-effort task gives up this much of its speed. */
#define CONTESTED_COST 0.5
#define CONTESTED_BEST_EFFORT_COST 0.1

static double
locality_score (const struct hk_job_place_view *v,
                const struct hk_job_place_need *need)
{
  if (v->near)
    return need->is_service ? NEAR_SERVICE_BONUS : NEAR_BONUS;
  if (v->contested)
    return need->best_effort ? -CONTESTED_BEST_EFFORT_COST : -CONTESTED_COST;
  return 0;
}

enum hk_job_place_obstacle
hk_job_place_obstacle (const struct hk_job_place_view *v,
                       const struct hk_job_place_need *need)
{
  int64_t free_milli
      = need->best_effort ? v->best_effort_free_milli : v->cpu_free_milli;

  /* Where the capacity has shrunk beneath what runs, agents start nothing. */
  if (!v->usable || v->cpu_free_milli < 0)
    return HK_JOB_PLACE_UNUSABLE;
  if (need->per_instance_max > 0 && v->same_step >= need->per_instance_max)
    return HK_JOB_PLACE_SAME_STEP;
  if (v->memory_free_mb < (int64_t)need->memory_mb
      || v->accelerators_free < (int64_t)need->accelerators)
    return HK_JOB_PLACE_MEMORY;
  if (need->best_effort && need->starving)
    return HK_JOB_PLACE_FITS;
  if (need->best_effort && v->failure_rate > FAILURE_RATE_MAX)
    return HK_JOB_PLACE_UNRELIABLE;
  if (need->best_effort && v->expected_speed < SPEED_MIN)
    return HK_JOB_PLACE_SLOW;
  if (need->best_effort && v->headroom_usage > HEADROOM_USAGE_MAX)
    return HK_JOB_PLACE_HEADROOM;
  return free_milli >= (int64_t)need->cpu_milli ? HK_JOB_PLACE_FITS
                                                : HK_JOB_PLACE_CPU;
}

/* Best-effort and service tasks interfere, so they are kept apart while free
   capacity allows it. Service tasks are consolidated by image, short tasks
   that aren't best-effort join them, and best-effort tasks get the rest. */
static double
placement_score (const struct hk_job_place_view *v,
                 const struct hk_job_place_need *need)
{
  double free_milli = (double)(v->cpu_free_milli - v->best_effort_cpu_milli);
  double total_milli = (double)MAX (v->cpu_milli, 1);
  double score
      = free_milli / total_milli - RUN_TIME_WEIGHT * (v->run_time_ratio - 1.0);

  if (need->best_effort)
    score = v->expected_speed - v->headroom_cost
            - (v->has_service > 0 ? 0 : NO_SERVICE_COST)
            - RUN_TIME_WEIGHT * (v->run_time_ratio - 1.0);
  else if (need->is_service)
    score = (v->same_image > 0 ? SAME_IMAGE_BONUS : 0)
            - OTHER_IMAGE_COST * v->other_images
            - (double)v->cpu_free_milli / total_milli
            - RUN_TIME_WEIGHT * (v->run_time_ratio - 1.0);
  else if (v->has_service > 0)
    score += WITH_SERVICE_BONUS;

  if (v->failure_rate > FAILURE_RATE_MAX
      || v->run_time_ratio > RUN_TIME_RATIO_MAX)
    score -= UNRELIABLE_PENALTY;
  if (v->has_suspect)
    score -= SUSPECT_PENALTY;
  return score + locality_score (v, need) - v->failure_rate;
}

gboolean
hk_job_place_score (const struct hk_job_place_view *v,
                    const struct hk_job_place_need *need, double *score)
{
  if (hk_job_place_obstacle (v, need) != HK_JOB_PLACE_FITS)
    return FALSE;
  *score = placement_score (v, need);
  return TRUE;
}

int
hk_job_place_choose (const struct hk_job_place_view *views, unsigned n,
                     const struct hk_job_place_need *need)
{
  double best_score = 0;
  int best = -1;

  for (unsigned i = 0; i < n; i++)
    {
      double score;

      if (!hk_job_place_score (&views[i], need, &score))
        continue;
      if (best < 0 || score > best_score)
        {
          best = (int)i;
          best_score = score;
        }
    }
  return best;
}

gboolean
hk_job_place_should_move (const struct hk_job_place_view *from,
                          const struct hk_job_place_view *to)
{
  return to->usable && from->other_images > 0
         && to->same_image > from->same_image
         && to->other_images <= from->other_images
         && to->run_time_ratio < RUN_TIME_RATIO_MAX
         && to->failure_rate < FAILURE_RATE_MAX;
}

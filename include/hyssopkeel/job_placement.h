#ifndef HYSSOPKEEL_JOB_PLACEMENT_H
#define HYSSOPKEEL_JOB_PLACEMENT_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_job_place_need - a task of a job that is to be placed.
 * @cpu_milli: CPUs, thousandths.
 * @memory_mb: memory, megabytes.
 * @accelerators: accelerators.
 * @best_effort: whether it runs on CPU that others leave unused and counts
 *               against no CPU capacity.
 * @is_service: whether it is a service task, which runs until it is stopped.
 * @starving: whether its job has waited long without a running task: a
 *            best-effort task is then placed wherever its memory and
 *            accelerators fit, however slow it will be.
 * @per_instance_max: limit of runs of its step on one instance; 0 for none.
 */
struct hk_job_place_need
{
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  gboolean best_effort;
  gboolean is_service;
  gboolean starving;
  unsigned per_instance_max;
};

/**
 * struct hk_job_place_view - an instance as a candidate for one task.
 * @cpu_free_milli: CPU that no task except best-effort ones has reserved;
 *                  thousandths, as all CPU figures here.
 * @memory_free_mb: free memory, megabytes.
 * @accelerators_free: free accelerators.
 * @best_effort_cpu_milli: CPU that the best-effort tasks there ask for.
 * @cpu_milli: CPUs of the instance.
 * @same_step: runs of the same step there.
 * @has_service: nonzero if service tasks run there.
 * @same_image: service tasks (with a latency target) there of the image of the
 *              task.
 * @other_images: number of different images of the other service tasks there.
 * @expected_speed: fraction of its full speed that the task would have there,
 *                  if best-effort, 0 to 1.
 * @first_speed: the same shortly after its start.
 * @unknown_pairs: service images there whose interference with the image of
 *                 the task has not been observed.
 * @headroom_usage: what best-effort tasks would take there with the task, over
 *                  what they may take: of the scarcest resource; above 1 some
 *                  of them are throttled.
 * @headroom_cost: sum of hk_headroom_cost() of the resources there.
 * @best_effort_free_milli: CPU that further best-effort tasks could use.
 * @run_time_ratio: learned run times there over the usual ones; 1 is usual.
 * @failure_rate: fraction of recent runs there that failed, 0 to 1.
 * @has_suspect: a run there may crash the endpoint.
 * @near: it is on the rack that holds the data of the task.
 * @contested: tasks wait for slots there that are near their data, and the
 *             task has no data there.
 * @usable: in service, and with the pool and labels that the task requires.
 */
struct hk_job_place_view
{
  int64_t cpu_free_milli;
  int64_t memory_free_mb;
  int64_t accelerators_free;
  int64_t best_effort_cpu_milli;
  int64_t cpu_milli;
  unsigned same_step;
  unsigned has_service;
  unsigned same_image;
  unsigned other_images;
  double expected_speed;
  double first_speed;
  unsigned unknown_pairs;
  double headroom_usage;
  double headroom_cost;
  int64_t best_effort_free_milli;
  double run_time_ratio;
  double failure_rate;
  gboolean has_suspect;
  gboolean near;
  gboolean contested;
  gboolean usable;
};

/**
 * enum hk_job_place_obstacle - why a task does not fit an instance.
 * @HK_JOB_PLACE_FITS: it fits.
 * @HK_JOB_PLACE_UNUSABLE: the instance is not in service, or its capacity has
 *                         shrunk beneath what runs there.
 * @HK_JOB_PLACE_SAME_STEP: it runs as many tasks of the step as are allowed.
 * @HK_JOB_PLACE_MEMORY: free memory or accelerators are too few.
 * @HK_JOB_PLACE_CPU: free CPUs are too few.
 * @HK_JOB_PLACE_UNRELIABLE: most recent runs there failed.
 * @HK_JOB_PLACE_SLOW: a best-effort task would have too little of its speed.
 * @HK_JOB_PLACE_HEADROOM: a best-effort task would take too much of what
 *                         service tasks leave.
 */
enum hk_job_place_obstacle
{
  HK_JOB_PLACE_FITS,
  HK_JOB_PLACE_UNUSABLE,
  HK_JOB_PLACE_SAME_STEP,
  HK_JOB_PLACE_MEMORY,
  HK_JOB_PLACE_CPU,
  HK_JOB_PLACE_UNRELIABLE,
  HK_JOB_PLACE_SLOW,
  HK_JOB_PLACE_HEADROOM
};

/**
 * hk_job_place_obstacle() - why a task does not fit an instance.
 * @v: instance.
 * @need: task.
 *
 * Return: the first obstacle, or HK_JOB_PLACE_FITS.
 */
enum hk_job_place_obstacle
hk_job_place_obstacle (const struct hk_job_place_view *v,
                       const struct hk_job_place_need *need);

/**
 * hk_job_place_score() - rate an instance for a task.
 * @v: instance.
 * @need: task.
 * @score: set if the task fits; higher is better.
 *
 * Return: TRUE if the task fits.
 */
gboolean hk_job_place_score (const struct hk_job_place_view *v,
                             const struct hk_job_place_need *need,
                             double *score);

/**
 * hk_job_place_choose() - choose an instance for a task.
 * @views: @n instances.
 * @n: number of instances.
 * @need: task.
 *
 * Return: index into @views, or -1 if the task fits nowhere now.
 */
int hk_job_place_choose (const struct hk_job_place_view *views, unsigned n,
                         const struct hk_job_place_need *need);

/**
 * hk_job_place_should_move() - whether to move a service task in order to
 * consolidate its image.
 * @from: its present instance, without the task itself.
 * @to: an instance with enough free capacity for it.
 *
 * The target must have more tasks of the image and no more other images than
 * the present instance, so that a series of moves ends.
 *
 * Return: TRUE if it should move.
 */
gboolean hk_job_place_should_move (const struct hk_job_place_view *from,
                                   const struct hk_job_place_view *to);

#endif

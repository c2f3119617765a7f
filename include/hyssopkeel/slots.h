#ifndef HYSSOPKEEL_SLOTS_H
#define HYSSOPKEEL_SLOTS_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_slots_need - what a task needs.
 * @fills: it takes what others leave, and counts against no capacity.
 * @lasts: it serves users of its own until it is stopped.
 * @starving: its job has waited long with nothing running; it is placed
 *            wherever its memory fits, however slow it will be.
 * @per_instance_max: runs of its step on one instance; 0 for no limit.
 */
struct hk_slots_need
{
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  gboolean fills;
  gboolean lasts;
  gboolean starving;
  unsigned per_instance_max;
};

/**
 * struct hk_slots_view - an instance as far as it is known.
 * @cpu_free_milli: capacity that no counted run takes.
 * @fill_cpu_milli: asked for by runs that fill.
 * @same_step: runs of the same step there.
 * @serving: tasks there whose tail latency has a target.
 * @same_image: of the serving tasks, those of the image of the task.
 * @other_images: images of the other serving tasks.
 * @pace: share of its speed that the task, if it fills, would have there.
 * @burden: share of what the serving tasks there can bear that it would use.
 * @fill_room_milli: processors that fillers could use.
 * @slowness: learned run time against the mean; 1 is usual.
 * @failing: share of recent runs that failed, 0 to 1.
 * @usable: in service, right pool and labels.
 */
struct hk_slots_view
{
  int64_t cpu_free_milli;
  int64_t memory_free_mb;
  int64_t accelerators_free;
  int64_t fill_cpu_milli;
  int64_t cpu_milli;
  unsigned same_step;
  unsigned serving;
  unsigned same_image;
  unsigned other_images;
  double pace;
  double burden;
  int64_t fill_room_milli;
  double slowness;
  double failing;
  gboolean usable;
};

/**
 * hk_slots_choose() - instance for a task.
 * @views: @n instances.
 * @n: their number.
 * @need: what the task needs.
 *
 * Return: index, or -1 if it fits nowhere now.
 */
int hk_slots_choose (const struct hk_slots_view *views, unsigned n,
                     const struct hk_slots_need *need);

/**
 * hk_slots_regroup() - whether a serving task should move.
 * @from: where it runs, as if it did not.
 * @to: where it would go, with room for it.
 *
 * Moves go only where more tasks of its image are and no more other images, so
 * that a series of them ends.
 */
gboolean hk_slots_regroup (const struct hk_slots_view *from,
                           const struct hk_slots_view *to);

#endif

#ifndef HYSSOPKEEL_THROTTLE_H
#define HYSSOPKEEL_THROTTLE_H

#include <glib.h>
#include <stdint.h>

/** HK_THROTTLE_HEADROOM_TARGET - headroom (target over tail latency) to which
 * best-effort tasks are throttled: the tail is at 0.78 of its target. */
#define HK_THROTTLE_HEADROOM_TARGET 1.28

/** HK_THROTTLE_NEGLIGIBLE_LOSS - a task that costs no image more headroom than
 * this isn't throttled: the noise of tail latencies in whole milliseconds is
 * larger. */
#define HK_THROTTLE_NEGLIGIBLE_LOSS 0.06

/**
 * struct hk_throttle_task - a best-effort task beside service tasks.
 * @full_cpu_share: share of the instance's CPUs that it would use unthrottled,
 *                  0 to 1.
 * @used_cpu_share: share of them that it used in the last report.
 * @speed_percent: its throttle level, per cent of full speed; input is the
 *                 current level, hk_throttle_decide() sets the new one.
 * @settled: whether its last change of level is visible in the samples; until
 *           then its level may only drop.
 * @changed_recently: whether its level has changed so recently that the
 * samples are mostly those of before; until then it drops only if a tail is
 * over its target.
 */
struct hk_throttle_task
{
  double full_cpu_share;
  double used_cpu_share;
  unsigned speed_percent;
  gboolean settled;
  gboolean changed_recently;
};

/**
 * struct hk_throttle_view - best-effort and service tasks of one instance.
 * @tasks: @n_tasks best-effort tasks; their @speed_percent is updated.
 * @n_tasks: number of best-effort tasks.
 * @headroom: least headroom of the tasks of each of @n_serving images.
 * @n_serving: number of images with service tasks.
 * @interference: matrix of @n_tasks rows and @n_serving columns: headroom that
 *                the image would lose if the task used all CPUs.
 * @settled: whether the last change of any level is visible in @headroom.
 * @over_target_ms: time for which some tail latency has been over its target
 *                  without a break.
 */
struct hk_throttle_view
{
  struct hk_throttle_task *tasks;
  unsigned n_tasks;
  const double *headroom;
  unsigned n_serving;
  const double *interference;
  gboolean settled;
  int64_t over_target_ms;
};

/** hk_throttle_decide() - set the throttle levels of all best-effort tasks of
 * an instance. */
void hk_throttle_decide (const struct hk_throttle_view *v);

/**
 * hk_throttle_expected_speed() - speed of a further best-effort task.
 * @headroom: headroom of the service task without best-effort tasks.
 * @loss_before: headroom lost to those best-effort tasks on the instance that
 *               interfere no more than the new one would.
 * @loss: headroom that would be lost to the new task at full speed.
 *
 * Return: fraction of its full speed, 0 to 1.
 */
double hk_throttle_expected_speed (double headroom, double loss_before,
                                   double loss);

#endif

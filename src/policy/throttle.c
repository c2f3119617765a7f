/* Throttling of best-effort tasks beside service tasks. The headroom of each
   serving image is steered towards a target by allowing best-effort tasks a
   certain loss of it, those that interfere least first. Load pattern:
   interference that differs by pair of images and changes within seconds, and
   samples of tail latency whose noise is as large as the distance between the
   target headroom and the latency target. */
#include "hyssopkeel/throttle.h"

/* Fraction of the distance to the target headroom by which the allowed loss is
   raised in a step. Reductions take the whole distance, since measurements
   lag. */
#define RAISE_FRACTION 0.5
/* Over the latency target the model has underestimated the interference: at
   most this fraction of the present loss is allowed. */
#define OVER_TARGET_FACTOR 0.5
/* Lower bound of interference, in headroom lost at full CPU use. */
#define INTERFERENCE_MIN 0.02
/* Below this speed a task is stopped: the progress isn't worth the
   interference. */
#define SPEED_MIN_PERCENT 4
/* While all tails are within their targets, a list leaves a task at least this
   fraction of its speed. A sample alone has an error of about 0.2, as much as
   lies between the target headroom and 1, and stopped all tasks for the 600 ms
   in which none is raised. Five such lists stop a task. */
#define KEPT_WITHIN_TARGET 0.5
/* After a tail has been over its target for this long, no loss counts as
   negligible. */
#define NEGLIGIBLE_OVER_TARGET_MAX_MS 1500
/* Avoids division by 0. */
#define EPSILON 1e-6

static double
interference_at (const struct hk_throttle_view *v, unsigned i, unsigned image)
{
  return MAX (v->interference[i * v->n_serving + image], INTERFERENCE_MIN);
}

/* Headroom that an image may lose to all best-effort tasks together. */
static double
allowed_loss (const struct hk_throttle_view *v, unsigned image)
{
  double measured_loss = 0; /* at the CPU use of the last report */
  double level_loss = 0;    /* at the throttle levels in force */
  double distance = v->headroom[image] - HK_THROTTLE_HEADROOM_TARGET;
  double loss;

  for (unsigned i = 0; i < v->n_tasks; i++)
    {
      const struct hk_throttle_task *task = &v->tasks[i];

      measured_loss += interference_at (v, i, image) * task->used_cpu_share;
      level_loss += interference_at (v, i, image) * task->full_cpu_share
                    * task->speed_percent / 100;
    }
  if (distance < 0)
    loss = MIN (measured_loss, level_loss) + distance;
  else if (v->settled)
    loss = MAX (measured_loss, level_loss) + RAISE_FRACTION * distance;
  else
    loss = measured_loss + distance;
  if (v->headroom[image] <= 1.0)
    loss = MIN (loss, OVER_TARGET_FACTOR * MIN (measured_loss, level_loss));
  return MAX (loss, 0);
}

/* Loss that the task would cause at full speed over the allowed loss that
   remains, for the image where this is largest. */
static double
largest_loss_ratio (const struct hk_throttle_view *v, unsigned i,
                    const double *remaining)
{
  double largest = 0;

  for (unsigned t = 0; t < v->n_serving; t++)
    largest
        = MAX (largest, interference_at (v, i, t) * v->tasks[i].full_cpu_share
                            / (remaining[t] + EPSILON));
  return largest;
}

static gboolean
is_negligible (const struct hk_throttle_view *v, unsigned i)
{
  for (unsigned t = 0; t < v->n_serving; t++)
    if (interference_at (v, i, t) * v->tasks[i].full_cpu_share
        > HK_THROTTLE_NEGLIGIBLE_LOSS)
      return FALSE;
  return v->over_target_ms < NEGLIGIBLE_OVER_TARGET_MAX_MS;
}

static gboolean
tails_are_within_target (const struct hk_throttle_view *v)
{
  for (unsigned t = 0; t < v->n_serving; t++)
    if (v->headroom[t] <= 1.0)
      return FALSE;
  return TRUE;
}

static void
set_speed (const struct hk_throttle_view *v, unsigned i, double *remaining)
{
  struct hk_throttle_task *task = &v->tasks[i];
  double ratio = largest_loss_ratio (v, i, remaining);
  unsigned percent = (unsigned)(100 * MIN (1.0 / MAX (ratio, EPSILON), 1.0));

  if (is_negligible (v, i))
    percent = 100;
  if (tails_are_within_target (v))
    percent = MAX (percent,
                   task->changed_recently
                       ? task->speed_percent
                       : (unsigned)(KEPT_WITHIN_TARGET * task->speed_percent));
  if (percent < SPEED_MIN_PERCENT)
    percent = 0;
  /* Changes of other tasks do not hold it: where some task changes all the
     time, those that interfere little would never rise again. */
  task->speed_percent
      = task->settled ? percent : MIN (percent, task->speed_percent);
  for (unsigned t = 0; t < v->n_serving; t++)
    remaining[t] = MAX (remaining[t]
                            - interference_at (v, i, t) * task->full_cpu_share
                                  * task->speed_percent / 100,
                        0);
}

void
hk_throttle_decide (const struct hk_throttle_view *v)
{
  g_autofree double *remaining = g_new0 (double, v->n_serving + 1);
  g_autofree double *ratios = g_new0 (double, v->n_tasks + 1);
  g_autofree gboolean *done = g_new0 (gboolean, v->n_tasks + 1);

  for (unsigned t = 0; t < v->n_serving; t++)
    remaining[t] = allowed_loss (v, t);
  for (unsigned i = 0; i < v->n_tasks; i++)
    ratios[i] = largest_loss_ratio (v, i, remaining);
  for (unsigned k = 0; k < v->n_tasks; k++)
    {
      unsigned next = v->n_tasks;

      for (unsigned i = 0; i < v->n_tasks; i++)
        if (!done[i] && (next == v->n_tasks || ratios[i] < ratios[next]))
          next = i;
      done[next] = TRUE;
      set_speed (v, next, remaining);
    }
}

double
hk_throttle_expected_speed (double headroom, double loss_before, double loss)
{
  if (loss <= HK_THROTTLE_NEGLIGIBLE_LOSS)
    return 1.0;
  return CLAMP ((headroom - HK_THROTTLE_HEADROOM_TARGET - loss_before) / loss,
                0.0, 1.0);
}

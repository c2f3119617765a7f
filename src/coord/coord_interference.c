/* Interference between best-effort and service tasks on one instance: learned
   from the agents' reports, sent to the agents, and used for placement.
   Handles service load that swings within about ten seconds, and pairs of
   images that interfere far more than others. */
#include "coord.h"

#include "hyssopkeel/throttle.h"

/* Least time between two sendings of the interference table to an agent. */
#define INTERFERENCE_SEND_MS 1000
/* A best-effort run is moved once its speed has been at or below
   MOVE_SPEED_MAX_PERCENT of full speed for MOVE_AFTER_MS, longer than
   noise of the tail latency lasts. A run without checkpoints stays if its
   progress, which would be lost, is above MOVE_PROGRESS_MAX_PERCENT. */
#define MOVE_SPEED_MAX_PERCENT 25
#define MOVE_AFTER_MS 1000
#define MOVE_PROGRESS_MAX_PERCENT 12
/* Upper bound of a sample: tails are whole milliseconds, and a tail of a few
   milliseconds makes larger headrooms meaningless. */
#define HEADROOM_MAX 5.0
/* Variance of one headroom sample, which has no unit; see
   docs/MEASUREMENTS.md. */
#define HEADROOM_VARIANCE 0.05
/* Below this headroom the request queue of a service task is saturated. */
#define HEADROOM_SATURATED 0.85
/* Older samples of other tasks do not describe the present load. The limit
   allows for about one and a half reports. */
#define SAMPLE_AGE_MAX_MS 700
/* The recent minimum of the baseline headroom rises by at most this much per
   second: the load returns to its peak within about ten seconds. */
#define BASELINE_LOW_RISE_PER_S 0.15
/* Share of its declared CPUs that a service task uses on average. The load
   peaks of the tasks on one instance come at different times, so the average
   is reserved instead of the peak. */
#define SERVICE_CPU_SHARE 0.45

/* CPUs that further best-effort tasks could use beside what runs, in
   milli. */
int64_t
coord_best_effort_free_milli (const struct hk_instance *in)
{
  return (int64_t)in->cpu_milli
         - (int64_t)(in->used_cpu_milli - in->service_cpu_milli)
         - (int64_t)(SERVICE_CPU_SHARE * in->service_cpu_milli)
         - in->best_effort_cpu_milli;
}

/* Whether a run has started and its step has a latency target and is not
   best-effort. */
static gboolean
is_service_run (const struct hk_run *run)
{
  const hk_step_spec *spec = run->task->step->spec;

  return run->started_ms && spec->target_ms > 0
         && !(spec->flags & HK_STEP_BEST_EFFORT);
}

static gboolean
is_best_effort_run (const struct hk_run *run)
{
  return run->started_ms
         && (run->task->step->spec->flags & HK_STEP_BEST_EFFORT);
}

static void
add_cpu_share (GArray *sources, const char *image, double share)
{
  struct hk_interference_source source
      = { .image = image, .cpu_share = share };

  for (guint i = 0; i < sources->len; i++)
    if (strcmp (
            g_array_index (sources, struct hk_interference_source, i).image,
            image)
        == 0)
      {
        g_array_index (sources, struct hk_interference_source, i).cpu_share
            += share;
        return;
      }
  g_array_append_val (sources, source);
}

static void
collect_cpu_shares (const struct hk_instance *in, GArray *sources)
{
  double total = (double)MAX (in->cpu_milli, 1);
  const struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  if (is_best_effort_run (run) && run->load_sample > 0)
    add_cpu_share (sources, run->task->step->spec->image,
                   (double)run->load_sample / total);
}

static double
sample_headroom (const struct hk_run *run)
{
  double target = run->task->step->spec->target_ms;

  return MIN (target / MAX (run->load_sample, 1), HEADROOM_MAX);
}

/* Estimates the headroom that @of would have without best-effort runs beside
   it, weighted by inverse variance: from the other tasks of its step, whose
   load varies together, and from the run itself if @include_self.

   Returns FALSE if no such task has a recent sample outside saturation. */
static gboolean
estimate_baseline (const struct hk_run *of, gboolean include_self, int64_t now,
                   double *mean, double *variance)
{
  const struct hk_engine_step *step = of->task->step;
  double sum = 0;
  double weights = 0;

  for (unsigned i = 0; i < step->spec->count; i++)
    {
      const struct hk_run *run = step->tasks[i].runs[0];
      double weight;

      if (!run || (run == of && !include_self)
          || now - run->sampled_ms > SAMPLE_AGE_MAX_MS
          || run->headroom < HEADROOM_SATURATED)
        continue;
      weight = 1.0 / (HEADROOM_VARIANCE + run->headroom_loss_variance);
      sum += weight * (run->headroom + run->headroom_loss);
      weights += weight;
    }
  if (weights <= 0)
    return FALSE;
  *mean = sum / weights;
  *variance = 1.0 / weights;
  return TRUE;
}

static void
update_baseline (struct hk_run *run, int64_t previous_ms, int64_t now)
{
  double variance;
  double rise = BASELINE_LOW_RISE_PER_S * (double)(now - previous_ms) / 1000.0;

  if (!estimate_baseline (run, TRUE, now, &run->baseline_headroom, &variance))
    run->baseline_headroom = run->headroom;
  if (!previous_ms
      || run->baseline_headroom < run->baseline_headroom_low + rise)
    run->baseline_headroom_low = run->baseline_headroom;
  else
    run->baseline_headroom_low += rise;
}

/* A saturated queue shows that there is interference but not how much, and
   takes time to drain. Its sample counts only if the queue has just become
   saturated and the loss is no smaller than predicted. */
static void
learn_sample (struct hk_coord *c, const struct hk_run *run, double previous,
              const GArray *sources, int64_t now)
{
  double baseline;
  double variance;
  double loss;

  if (sources->len == 0
      || !estimate_baseline (run, FALSE, now, &baseline, &variance))
    return;
  loss = baseline - run->headroom;
  if (run->headroom < HEADROOM_SATURATED
      && (previous < HEADROOM_SATURATED || loss < run->headroom_loss))
    return;
  hk_interference_model_update (
      &c->interference_model, run->task->step->spec->image, loss,
      HEADROOM_VARIANCE + variance,
      (const struct hk_interference_source *)sources->data, sources->len);
}

void
coord_interference_learn (struct hk_coord *c, struct hk_instance *in,
                          int64_t now)
{
  g_autoptr (GArray) sources
      = g_array_new (FALSE, TRUE, sizeof (struct hk_interference_source));
  struct hk_run *run;

  collect_cpu_shares (in, sources);
  LIST_FOREACH (run, &in->runs, link)
  if (is_service_run (run) && run->load_sample > 0)
    {
      double previous = run->headroom;
      int64_t previous_ms = run->sampled_ms;

      run->headroom = sample_headroom (run);
      run->headroom_loss = hk_interference_model_predict (
          &c->interference_model, run->task->step->spec->image,
          (const struct hk_interference_source *)sources->data, sources->len,
          &run->headroom_loss_variance);
      run->sampled_ms = now;
      learn_sample (c, run, previous, sources, now);
      update_baseline (run, previous_ms, now);
    }
}

static gboolean
has_row (const GArray *rows, const char *service_image,
         const char *best_effort_image)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const hk_interference_row *row
          = &g_array_index (rows, hk_interference_row, i);

      if (strcmp (row->serving, service_image) == 0
          && strcmp (row->interfering_image, best_effort_image) == 0)
        return TRUE;
    }
  return FALSE;
}

void
coord_interference_send (struct hk_coord *c, struct coord_link *l,
                         GArray *rows, int64_t now)
{
  struct hk_run *s;
  struct hk_run *f;

  if (now - l->interference_sent_ms < INTERFERENCE_SEND_MS)
    return;
  l->interference_sent_ms = now;
  LIST_FOREACH (s, &l->in->runs, link)
  {
    if (!is_service_run (s))
      continue;
    LIST_FOREACH (f, &l->in->runs, link)
    {
      hk_interference_row row
          = { .serving = s->task->step->spec->image,
              .interfering_image = f->task->step->spec->image };

      if (!(f->task->step->spec->flags & HK_STEP_BEST_EFFORT)
          || has_row (rows, row.serving, row.interfering_image))
        continue;
      row.milli = (u_int)(1000
                          * hk_interference_model_get (&c->interference_model,
                                                       row.serving,
                                                       row.interfering_image));
      g_array_append_val (rows, row);
    }
  }
}

/* Whether a service run of the same image comes earlier in the instance's
   list, so that each image is counted once. */
static gboolean
image_counted_before (const struct hk_run *run)
{
  const char *image = run->task->step->spec->image;
  const struct hk_run *earlier;

  LIST_FOREACH (earlier, &run->instance->runs, link)
  {
    if (earlier == run)
      return FALSE;
    if (earlier->task->step->spec->target_ms > 0
        && strcmp (earlier->task->step->spec->image, image) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Counts the service runs of @image on an instance, and the other images that
   have service runs there. Runs that have not started yet are included. */
void
coord_count_service_images (const struct hk_instance *in, const char *image,
                            unsigned *same, unsigned *others)
{
  const struct hk_run *run;

  *same = 0;
  *others = 0;
  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;

    if (spec->target_ms == 0 || spec->flags & HK_STEP_BEST_EFFORT)
      continue;
    if (strcmp (spec->image, image) == 0)
      ++*same;
    else if (!image_counted_before (run))
      ++*others;
  }
}

/* Headroom that a service run loses to the best-effort runs that interfere no
   more than a new one with @loss, those not started yet included: the agent
   throttles these last. */
static double
loss_of_less_interfering_runs (struct hk_coord *c,
                               const struct hk_run *service_run, double loss)
{
  const struct hk_instance *in = service_run->instance;
  const struct hk_run *run;
  double sum = 0;

  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;
    double other_loss;

    if (!(spec->flags & HK_STEP_BEST_EFFORT) || run->to_stop)
      continue;
    other_loss = hk_interference_model_get (
                     &c->interference_model,
                     service_run->task->step->spec->image, spec->image)
                 * spec->cpu_milli / MAX (in->cpu_milli, 1);
    if (other_loss <= loss)
      sum += other_loss;
  }
  return sum;
}

/* Predicts what share of its full speed a best-effort task would have on an
   instance: the mean of the shares at the present load and at load peaks.
   @headroom_fraction is the largest share of a service run's headroom that it
   would use up. */
void
coord_best_effort_expect (struct hk_coord *c, const struct hk_instance *in,
                          const hk_step_spec *spec, double *speed_share,
                          double *headroom_fraction)
{
  const struct hk_run *run;
  double share = (double)spec->cpu_milli / (double)MAX (in->cpu_milli, 1);
  double speed_now = 1.0;
  double speed_at_peak = 1.0;

  *headroom_fraction = 0;
  LIST_FOREACH (run, &in->runs, link)
  if (is_service_run (run) && run->sampled_ms)
    {
      double loss = share
                    * hk_interference_model_get (&c->interference_model,
                                                 run->task->step->spec->image,
                                                 spec->image);
      double loss_before = loss_of_less_interfering_runs (c, run, loss);

      speed_now
          = MIN (speed_now, hk_throttle_expected_speed (run->baseline_headroom,
                                                        loss_before, loss));
      speed_at_peak = MIN (speed_at_peak,
                           hk_throttle_expected_speed (
                               run->baseline_headroom_low, loss_before, loss));
      *headroom_fraction
          = MAX (*headroom_fraction, MIN (loss / run->baseline_headroom, 1.0));
    }
  *speed_share = (speed_now + speed_at_peak) / 2;
}

/* Stops at most one best-effort run whose speed has stayed at or below
   MOVE_SPEED_MAX_PERCENT, if another instance would allow it more speed.
   Its task is queued again and resumes from its checkpoint. */
void
coord_best_effort_requeue (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;

    if (!is_best_effort_run (run) || run->to_stop
        || run->speed_percent > MOVE_SPEED_MAX_PERCENT)
      {
        run->throttled_since_ms = 0;
        continue;
      }
    if (!run->throttled_since_ms)
      run->throttled_since_ms = now;
    if (now - run->throttled_since_ms < MOVE_AFTER_MS
        || (!(spec->flags & HK_STEP_CHECKPOINTS)
            && run->progress_percent > MOVE_PROGRESS_MAX_PERCENT)
        || !coord_has_better_instance (c, run->task, in, now))
      continue;
    hk_log (HK_LOG_INFO, "share", in->name, run->task->step->job->spec.id,
            "event=moved step=%u index=%u run=%u pace=%u percent=%u "
            "slow_ms=%" G_GINT64_FORMAT,
            run->task->step->index, run->task->index, run->number,
            run->speed_percent, run->progress_percent,
            now - run->throttled_since_ms);
    run->to_stop = TRUE;
    run->ordered_ms = 0;
    return;
  }
}

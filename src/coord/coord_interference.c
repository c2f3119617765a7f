/* Interference between best-effort and service tasks on one instance: learned
   from the agents' reports, sent to the agents, and used for placement.
   Handles service load that swings within about ten seconds, and pairs of
   images that interfere far more than others. */
#include "coord.h"

/* Least time between two sendings of the interference table to an agent. */
#define INTERFERENCE_SEND_MS 1000
/* Upper bound of a sample: tails are whole milliseconds, and a tail of a few
   milliseconds makes larger headrooms meaningless. */
#define HEADROOM_MAX 5.0
/* Variance of one headroom sample, which has no unit; see
   docs/MEASUREMENTS.md. */
#define HEADROOM_VARIANCE 0.05
/* Older samples of other tasks do not describe the present load. The limit
   allows for about one and a half reports. */
#define SAMPLE_AGE_MAX_MS 700
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

gboolean
coord_is_service_run (const struct hk_run *run)
{
  const hk_step_spec *spec = run->task->step->spec;

  return run->started_ms && spec->target_ms > 0
         && !(spec->flags & HK_STEP_BEST_EFFORT);
}

gboolean
coord_is_best_effort_run (const struct hk_run *run)
{
  return run->started_ms
         && (run->task->step->spec->flags & HK_STEP_BEST_EFFORT);
}

static void
add_cpu_share (GArray *sources, unsigned image, double share)
{
  struct hk_interference_source source
      = { .image = image, .cpu_share = share };

  for (guint i = 0; i < sources->len; i++)
    {
      struct hk_interference_source *known
          = &g_array_index (sources, struct hk_interference_source, i);

      if (known->image == image)
        {
          known->cpu_share += share;
          return;
        }
    }
  g_array_append_val (sources, source);
}

static void
collect_cpu_shares (struct hk_coord *c, const struct hk_instance *in,
                    GArray *sources)
{
  double total = (double)MAX (in->cpu_milli, 1);
  const struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  if (coord_is_best_effort_run (run) && run->load_sample > 0)
    add_cpu_share (sources, coord_step_image (c, run->task->step),
                   (double)run->load_sample / total);
}

static double
sample_headroom (const struct hk_run *run)
{
  double target = run->task->step->spec->target_ms;

  return MIN (target / MAX (run->load_sample, 1), HEADROOM_MAX);
}

/* Estimates the headroom that @of would have without best-effort runs beside
   it, weighted by inverse variance, from the other tasks of its step, whose
   load varies together.

   Returns FALSE if no such task has a recent sample outside saturation. */
static gboolean
estimate_baseline (const struct hk_run *of, int64_t now, double *mean,
                   double *variance)
{
  const struct hk_engine_step *step = of->task->step;
  double sum = 0;
  double weights = 0;

  for (unsigned i = 0; i < step->spec->count; i++)
    {
      const struct hk_run *run = step->tasks[i].runs[0];
      double weight;

      if (!run || run == of || now - run->sampled_ms > SAMPLE_AGE_MAX_MS
          || run->headroom < COORD_HEADROOM_SATURATED)
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

  if (sources->len == 0 || !estimate_baseline (run, now, &baseline, &variance))
    return;
  loss = baseline - run->headroom;
  if (run->headroom < COORD_HEADROOM_SATURATED
      && (previous < COORD_HEADROOM_SATURATED || loss < run->headroom_loss))
    return;
  hk_interference_model_update (
      &c->interference_model, coord_step_image (c, run->task->step), loss,
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

  /* Shares of an unknown number of CPUs would say that nothing interferes. */
  if (!in->capacity_known || in->cpu_milli == 0)
    {
      in->changes++;
      return;
    }
  collect_cpu_shares (c, in, sources);
  LIST_FOREACH (run, &in->runs, link)
  if (coord_is_service_run (run) && run->load_sample > 0)
    {
      double previous = run->headroom;

      run->headroom = sample_headroom (run);
      run->headroom_loss = hk_interference_model_predict (
          &c->interference_model, coord_step_image (c, run->task->step),
          (const struct hk_interference_source *)sources->data, sources->len,
          &run->headroom_loss_variance);
      run->sampled_ms = now;
      learn_sample (c, run, previous, sources, now);
      if (run->headroom < COORD_HEADROOM_SATURATED)
        run->saturated_since_ms
            = run->saturated_since_ms ? run->saturated_since_ms : now;
      else
        run->saturated_since_ms = 0;
      if (!run->saturated_since_ms)
        hk_load_trend_observe (
            &run->task->step->load, run->headroom + run->headroom_loss,
            HEADROOM_VARIANCE + run->headroom_loss_variance, now);
    }
  in->changes++;
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
  size_t bytes = 0;
  struct hk_run *s;
  struct hk_run *f;

  if (now - l->interference_sent_ms < INTERFERENCE_SEND_MS)
    return;
  l->interference_sent_ms = now;
  LIST_FOREACH (s, &l->in->runs, link)
  {
    if (!coord_is_service_run (s))
      continue;
    LIST_FOREACH (f, &l->in->runs, link)
    {
      hk_interference_row row
          = { .serving = s->task->step->spec->image,
              .interfering_image = f->task->step->spec->image };

      if (!(f->task->step->spec->flags & HK_STEP_BEST_EFFORT)
          || has_row (rows, row.serving, row.interfering_image))
        continue;
      bytes += strlen (row.serving) + strlen (row.interfering_image);
      if (bytes > HK_JOB_INTERFERENCE_MAX_BYTES)
        return;
      row.milli = (u_int)(1000
                          * hk_interference_model_get (&c->interference_model,
                                                       row.serving,
                                                       row.interfering_image));
      g_array_append_val (rows, row);
    }
  }
}

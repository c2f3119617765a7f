/* What shares each instance, by image. It is kept until the runs or samples of
   the instance change, so that a pass costs little where nothing has changed.
   Handles bursts in which many steps wait at hundreds of instances. */
#include "coord.h"

#include "hyssopkeel/throttle.h"

unsigned
coord_step_image (struct hk_coord *c, struct hk_engine_step *step)
{
  struct hk_interference_model *model = &c->interference_model;

  if (step->image_generation != model->generation)
    {
      step->image = hk_interference_model_image (model, step->spec->image);
      step->image_generation = model->generation;
    }
  return step->image;
}

void
coord_sharing_init (struct coord_sharing *s)
{
  memset (s, 0, sizeof *s);
  s->services = g_array_new (FALSE, TRUE, sizeof (struct coord_service_image));
  s->best_effort
      = g_array_new (FALSE, TRUE, sizeof (struct coord_best_effort_load));
}

void
coord_sharing_finish (struct coord_sharing *s)
{
  g_clear_pointer (&s->services, g_array_unref);
  g_clear_pointer (&s->best_effort, g_array_unref);
}

static void
add_service (struct hk_coord *c, struct coord_sharing *s,
             const struct hk_run *run)
{
  unsigned image = coord_step_image (c, run->task->step);
  struct coord_service_image *row = NULL;

  for (guint i = 0; i < s->services->len; i++)
    {
      row = &g_array_index (s->services, struct coord_service_image, i);
      if (row->image == image)
        break;
      row = NULL;
    }
  if (!row)
    {
      g_array_set_size (s->services, s->services->len + 1);
      row = &g_array_index (s->services, struct coord_service_image,
                            s->services->len - 1);
      row->image = image;
    }
  row->n_runs++;
  if (!coord_is_service_run (run) || !run->sampled_ms)
    return;
  if (!row->sampled || run->baseline_headroom < row->headroom)
    row->headroom = run->baseline_headroom;
  if (!row->sampled || run->baseline_headroom_low < row->headroom_low)
    row->headroom_low = run->baseline_headroom_low;
  row->sampled = TRUE;
}

static void
add_best_effort (struct hk_coord *c, struct coord_sharing *s,
                 const struct hk_run *run)
{
  struct coord_best_effort_load row
      = { .image = coord_step_image (c, run->task->step),
          .cpu_milli = run->task->step->spec->cpu_milli };

  s->requested_milli += row.cpu_milli;
  s->effective_milli += row.cpu_milli * run->speed_percent / 100.0;
  if (!run->to_stop)
    g_array_append_val (s->best_effort, row);
}

static void
sharing_rebuild (struct hk_coord *c, struct coord_sharing *s,
                 const struct hk_instance *in)
{
  const struct hk_run *run;

  g_array_set_size (s->services, 0);
  g_array_set_size (s->best_effort, 0);
  s->requested_milli = 0;
  s->effective_milli = 0;
  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;

    if (spec->flags & HK_STEP_BEST_EFFORT)
      add_best_effort (c, s, run);
    else if (spec->target_ms > 0)
      add_service (c, s, run);
  }
}

const struct coord_sharing *
coord_sharing_of (struct hk_coord *c, const struct hk_instance *in)
{
  static const struct coord_sharing none;
  struct coord_link *l = in->link;
  struct coord_sharing *s;

  if (!l)
    return &none;
  s = &l->sharing;
  /* A rebuild may raise the generation, which calls for another one. */
  while (!s->valid || s->changes != in->changes
         || s->generation != c->interference_model.generation)
    {
      s->valid = TRUE;
      s->changes = in->changes;
      s->generation = c->interference_model.generation;
      sharing_rebuild (c, s, in);
    }
  return s;
}

/* Counts the service runs of @image on an instance, and the other images that
   have service runs there. Runs that have not started yet are included. */
void
coord_count_service_images (struct hk_coord *c, const struct hk_instance *in,
                            unsigned image, unsigned *same, unsigned *others)
{
  const struct coord_sharing *s = coord_sharing_of (c, in);

  *same = 0;
  *others = 0;
  for (guint i = 0; s->services && i < s->services->len; i++)
    {
      const struct coord_service_image *row
          = &g_array_index (s->services, struct coord_service_image, i);

      if (row->image == image)
        *same = row->n_runs;
      else
        ++*others;
    }
}

/* Headroom that a service image loses to the best-effort runs that interfere
   no more than a new one with @loss, those not started yet included: the agent
   throttles these last. */
static double
loss_of_less_interfering_runs (const struct hk_coord *c,
                               const struct coord_sharing *s, unsigned service,
                               double total_milli, double loss)
{
  double sum = 0;

  for (guint i = 0; i < s->best_effort->len; i++)
    {
      const struct coord_best_effort_load *row
          = &g_array_index (s->best_effort, struct coord_best_effort_load, i);
      double other_loss = hk_interference_model_at (&c->interference_model,
                                                    service, row->image)
                          * row->cpu_milli / total_milli;

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
                          struct hk_engine_step *step, double *speed_share,
                          double *headroom_fraction)
{
  unsigned image = coord_step_image (c, step);
  const struct coord_sharing *s = coord_sharing_of (c, in);
  double total_milli = (double)MAX (in->cpu_milli, 1);
  double share = (double)step->spec->cpu_milli / total_milli;
  double speed_now = 1.0;
  double speed_at_peak = 1.0;

  *headroom_fraction = 0;
  for (guint i = 0; s->services && i < s->services->len; i++)
    {
      const struct coord_service_image *row
          = &g_array_index (s->services, struct coord_service_image, i);
      double loss;
      double before;

      if (!row->sampled)
        continue;
      loss = share
             * hk_interference_model_at (&c->interference_model, row->image,
                                         image);
      before = loss_of_less_interfering_runs (c, s, row->image, total_milli,
                                              loss);
      speed_now = MIN (
          speed_now, hk_throttle_expected_speed (row->headroom, before, loss));
      speed_at_peak
          = MIN (speed_at_peak,
                 hk_throttle_expected_speed (row->headroom_low, before, loss));
      *headroom_fraction
          = MAX (*headroom_fraction, MIN (loss / row->headroom, 1.0));
    }
  *speed_share = (speed_now + speed_at_peak) / 2;
}

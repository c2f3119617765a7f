/* What shares each instance, by image. It is kept until the runs or samples of
   the instance change, so that a pass costs little where nothing has changed.
   Handles bursts in which many steps wait at hundreds of instances. */
#include "coord.h"

#include "hyssopkeel/headroom.h"
#include "hyssopkeel/throttle.h"

static const int64_t horizons_ms[COORD_HORIZONS] = { 300, 1500, 2700 };
/* A queue that has been saturated for this long does not drain soon; its agent
   stops all best-effort runs. */
#define SATURATED_MS 700
#define REBUILDS_MAX 2

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

static double
expected_headroom (const struct hk_run *run, int horizon)
{
  const struct hk_load_trend *load = &run->task->step->load;

  return load->updated_ms ? hk_load_trend_predict (
             load, run->sampled_ms + horizons_ms[horizon])
                          : run->headroom;
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
  for (int k = 0; k < COORD_HORIZONS; k++)
    {
      double headroom = expected_headroom (run, k);

      if (!row->sampled || headroom < row->headroom[k])
        row->headroom[k] = headroom;
    }
  row->sampled = TRUE;
  if (run->saturated_since_ms
      && run->sampled_ms - run->saturated_since_ms > SATURATED_MS)
    s->saturated = TRUE;
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
  s->saturated = FALSE;
  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;

    if (spec->flags & HK_STEP_BEST_EFFORT)
      add_best_effort (c, s, run);
    else if (spec->target_ms > 0)
      add_service (c, s, run);
  }
}

static gboolean
sharing_is_current (const struct hk_coord *c, const struct coord_sharing *s,
                    const struct hk_instance *in)
{
  return s->valid && s->changes == in->changes
         && s->generation == c->interference_model.generation;
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
  /* A rebuild may raise the generation, which calls for another one. An
     instance with more images than the model holds would never settle. */
  for (int i = 0; i < REBUILDS_MAX && !sharing_is_current (c, s, in); i++)
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

/* A best-effort task on an instance, for which a speed is predicted. */
struct subject
{
  struct coord_best_effort_load load;
  gboolean counted; /* it is one of the runs there */
  double total_milli;
};

static gboolean
is_subject (const struct subject *subject,
            const struct coord_best_effort_load *row)
{
  return row->image == subject->load.image
         && row->cpu_milli == subject->load.cpu_milli;
}

/* Sums the headroom that a service image loses to the other best-effort runs,
   those not started yet included. @before is the part of those that interfere
   no more than the subject with @loss: the agent throttles these last. */
static void
sum_losses (const struct hk_coord *c, const struct coord_sharing *s,
            unsigned service, const struct subject *subject, double loss,
            double *before, double *all)
{
  gboolean skip = subject->counted;

  *before = 0;
  *all = 0;
  for (guint i = 0; i < s->best_effort->len; i++)
    {
      const struct coord_best_effort_load *row
          = &g_array_index (s->best_effort, struct coord_best_effort_load, i);
      double other_loss = hk_interference_model_at (&c->interference_model,
                                                    service, row->image)
                          * row->cpu_milli / subject->total_milli;

      if (skip && is_subject (subject, row))
        {
          skip = FALSE;
          continue;
        }
      *all += other_loss;
      if (other_loss <= loss)
        *before += other_loss;
    }
}

/* Headroom that best-effort runs may take of a service image, the mean over
   the horizons. */
static double
headroom_limit (const struct coord_service_image *row)
{
  double sum = 0;

  for (int k = 0; k < COORD_HORIZONS; k++)
    sum += MAX (row->headroom[k] - HK_THROTTLE_HEADROOM_TARGET, 0);
  return sum / COORD_HORIZONS;
}

static void
view_use (struct hk_job_place_view *v, const struct hk_headroom_use *use)
{
  v->headroom_usage = MAX (v->headroom_usage, hk_headroom_usage (use));
  v->headroom_cost += hk_headroom_cost (use);
}

static void
view_service_image (const struct hk_coord *c, const struct coord_sharing *s,
                    const struct coord_service_image *row,
                    const struct subject *subject, double *speed,
                    struct hk_job_place_view *v)
{
  struct hk_headroom_use use = { .limit = headroom_limit (row) };
  unsigned image = subject->load.image;
  double before;

  if (!hk_interference_model_observed (&c->interference_model, row->image,
                                       image))
    v->unknown_pairs++;
  use.added
      = hk_interference_model_at (&c->interference_model, row->image, image)
        * subject->load.cpu_milli / subject->total_milli;
  sum_losses (c, s, row->image, subject, use.added, &before, &use.taken);
  for (int k = 0; k < COORD_HORIZONS; k++)
    speed[k] = MIN (speed[k], hk_throttle_expected_speed (row->headroom[k],
                                                          before, use.added));
  if (use.added > HK_THROTTLE_NEGLIGIBLE_LOSS)
    view_use (v, &use);
}

static void
expect_speed (struct hk_coord *c, const struct hk_instance *in,
              struct subject subject, struct hk_job_place_view *v)
{
  const struct coord_sharing *s = coord_sharing_of (c, in);
  double speed[COORD_HORIZONS];

  subject.total_milli = (double)MAX (in->cpu_milli, 1);
  for (int k = 0; k < COORD_HORIZONS; k++)
    speed[k] = 1.0;
  for (guint i = 0; s->services && i < s->services->len; i++)
    {
      const struct coord_service_image *row
          = &g_array_index (s->services, struct coord_service_image, i);

      if (row->sampled)
        view_service_image (c, s, row, &subject, speed, v);
    }
  v->expected_speed = 0;
  v->first_speed = s->saturated ? 0 : speed[0];
  if (s->saturated)
    return;
  for (int k = 0; k < COORD_HORIZONS; k++)
    v->expected_speed += speed[k] / COORD_HORIZONS;
}

/* Predicts what a best-effort task would take on an instance, and what share
   of its full speed it would have: the mean over the horizons. */
void
coord_best_effort_expect (struct hk_coord *c, const struct hk_instance *in,
                          struct hk_engine_step *step,
                          struct hk_job_place_view *v)
{
  unsigned cpu_milli = step->spec->cpu_milli;
  struct subject subject = { .load = { .image = coord_step_image (c, step),
                                       .cpu_milli = cpu_milli } };
  struct hk_headroom_use cpus
      = { .limit
          = (double)(v->best_effort_free_milli + in->best_effort_cpu_milli),
          .taken = (double)in->best_effort_cpu_milli,
          .added = (double)cpu_milli };

  v->headroom_usage = 0;
  v->unknown_pairs = 0;
  v->headroom_cost = hk_headroom_cost (&cpus);
  expect_speed (c, in, subject, v);
}

void
coord_best_effort_expect_run (struct hk_coord *c, const struct hk_run *run,
                              struct hk_job_place_view *v)
{
  struct hk_engine_step *step = run->task->step;
  struct subject subject = { .load = { .image = coord_step_image (c, step),
                                       .cpu_milli = step->spec->cpu_milli },
                             .counted = !run->to_stop };

  expect_speed (c, run->instance, subject, v);
}

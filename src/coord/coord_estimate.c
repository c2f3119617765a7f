/* Run times and instance health learned from finished runs, and the views of
   jobs and load on which src/policy decides order and admission. Handles
   declared run times that are wrong, instances that turn slow or fail all
   runs, and best-effort backlogs that could not finish in time. */
#include "coord.h"

#include "hyssopkeel/order.h"

/* Weight of a new sample in the moving averages of run time per queue and of
   work per job, 0 to 1. */
#define QUEUE_SAMPLE_WEIGHT 0.2
/* Weight of a new sample in the moving averages of an instance's failure rate
   and run time ratio, 0 to 1. */
#define INSTANCE_SAMPLE_WEIGHT 0.25
/* Failure rate and run time ratio of an instance expire this long after the
   last sample, so that the instance is tried again. */
#define SUSPECT_MS 4000
/* Speed assumed for best-effort tasks while none has been observed, as a share
   of full speed. */
#define PRIOR_SPEED_SHARE 0.75
/* A new coordinator knows the backlog before it knows the instances. It admits
   all jobs for this long, until the agents have reported. */
#define ADMIT_ALL_AFTER_TAKEOVER_MS 1500
/* Weight of PRIOR_SPEED_SHARE, as a share of the CPUs that best-effort
   tasks can use. */
#define PRIOR_WEIGHT 0.3
/* The order's input of an unchanged job is computed again after this time:
   tasks report progress about three times a second, and learned run times
   change slowly. */
#define ORDER_VIEW_AGE_MAX_MS 250
#define ORDER_VIEW_IDLE_AGE_MAX_MS 2000

/* Run times near the data of a queue are compared with others after this many
   samples. */
#define NEAR_SAMPLES_MIN 5

/* Measured over declared run time, as if near the data. */
struct estimate
{
  double ratio;
  double near_ratio; /* of runs that were near their data, if they have any */
  unsigned near_samples;
};

void
coord_estimates_init (struct hk_coord *c)
{
  c->estimates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->mean_work
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Declared run times are wrong by a factor that is similar for the jobs of a
   queue and nearly equal for the tasks of one job. So the samples of the job
   itself take precedence over those of its queue. */
int64_t
coord_estimate_ms (struct hk_coord *c, const struct hk_engine_step *step)
{
  const struct hk_engine_job *job = step->job;
  const struct estimate *e
      = g_hash_table_lookup (c->estimates, job->spec.queue);
  double declared = (double)step->spec->estimate_ms;

  if (job->run_time_samples > 0)
    return (int64_t)(declared * job->run_time_ratio_sum
                     / job->run_time_samples);
  return e ? (int64_t)(declared * e->ratio) : step->spec->estimate_ms;
}

int64_t
coord_estimate_run_ms (struct hk_coord *c, const struct hk_run *run)
{
  double slowdown = coord_run_slowdown (c, run);

  return (int64_t)((double)coord_estimate_ms (c, run->task->step)
                   * (slowdown > 0 ? slowdown : 1.0));
}

static void
learn_near_ratio (struct hk_coord *c, struct hk_engine_job *job, double ratio)
{
  struct estimate *e = g_hash_table_lookup (c->estimates, job->spec.queue);

  job->near_ratio_sum += ratio;
  job->near_samples++;
  if (!e)
    return;
  if (e->near_samples++ == 0)
    e->near_ratio = ratio;
  e->near_ratio += QUEUE_SAMPLE_WEIGHT * (ratio - e->near_ratio);
}

/* A run away from its data shows the factor if the run times of others near
   theirs are known: of the same job, or else of its queue. */
static void
learn_factor (struct hk_coord *c, const struct hk_engine_job *job,
              double ratio)
{
  const struct estimate *e
      = g_hash_table_lookup (c->estimates, job->spec.queue);

  if (job->near_samples > 0)
    coord_locality_learn (c, ratio * job->near_samples / job->near_ratio_sum);
  else if (e && e->near_samples >= NEAR_SAMPLES_MIN)
    coord_locality_learn (c, ratio / e->near_ratio);
}

static void
learn_ratio (struct hk_coord *c, struct hk_engine_job *job, double ratio)
{
  struct estimate *e = g_hash_table_lookup (c->estimates, job->spec.queue);

  job->run_time_ratio_sum += ratio;
  job->run_time_samples++;
  if (!e)
    {
      e = g_new0 (struct estimate, 1);
      e->ratio = ratio;
      g_hash_table_insert (c->estimates, g_strdup (job->spec.queue), e);
    }
  e->ratio += QUEUE_SAMPLE_WEIGHT * (ratio - e->ratio);
}

void
coord_estimate_learn (struct hk_coord *c, const struct hk_run *run,
                      hk_end_how how, int64_t now)
{
  const struct hk_engine_step *step = run->task->step;
  struct hk_instance *in = run->instance;
  double worked;
  double expected;
  double slowdown;

  if (step->spec->flags & HK_STEP_SERVICE || !run->started_ms)
    return;
  if (how != HK_END_DONE && how != HK_END_FAILED)
    return;
  in->failure_rate
      += INSTANCE_SAMPLE_WEIGHT
         * ((how == HK_END_FAILED ? 1.0 : 0.0) - in->failure_rate);
  in->suspect_until_ms = now + SUSPECT_MS;
  /* A run resumed from a checkpoint covers only part of the run time. */
  if (how != HK_END_DONE || run->number > 1 || step->spec->estimate_ms == 0)
    return;
  worked = coord_speed_full_ms (run, now);
  expected = (double)coord_estimate_ms (c, step);
  slowdown = coord_run_slowdown (c, run);
  if (coord_run_is_remote (c, run))
    learn_factor (c, step->job, worked / step->spec->estimate_ms);
  if (slowdown <= 0)
    return;
  worked /= slowdown;
  if (step->job->run_time_samples > 0 && expected > 0)
    in->run_time_ratio
        += INSTANCE_SAMPLE_WEIGHT
           * (MIN (worked / expected, 10.0) - in->run_time_ratio);
  learn_ratio (c, step->job, worked / step->spec->estimate_ms);
  if (coord_rack_of (c, step) && !coord_run_is_remote (c, run))
    learn_near_ratio (c, step->job, worked / step->spec->estimate_ms);
}

/* Longest expected run time of a task of the step, as far as they are placed.
 */
static int64_t
placed_estimate_ms (struct hk_coord *c, const struct hk_engine_step *step)
{
  int64_t longest = coord_estimate_ms (c, step);

  if (!coord_rack_of (c, step))
    return longest;
  for (unsigned t = 0; t < step->spec->count; t++)
    if (step->tasks[t].state == HK_TASK_PLACED && step->tasks[t].runs[0])
      longest
          = MAX (longest, coord_estimate_run_ms (c, step->tasks[t].runs[0]));
  return longest;
}

/* Critical path of the job in milliseconds: over all steps, or only over those
   that are not done yet. */
static int64_t
critical_path_ms (struct hk_coord *c, const struct hk_engine_job *job,
                  gboolean pending_only)
{
  unsigned n = job->spec.steps.steps_len;
  g_autofree int64_t *path_ms = g_new0 (int64_t, n + 1);
  int64_t longest = 0;

  for (unsigned i = 0; i < n; i++)
    {
      const struct hk_engine_step *step = &job->steps[i];

      for (unsigned k = 0; k < step->spec->after.after_len; k++)
        path_ms[i] = MAX (path_ms[i], path_ms[step->spec->after.after_val[k]]);
      if (!pending_only)
        path_ms[i] += coord_estimate_ms (c, step);
      else if (step->done < step->spec->count)
        path_ms[i] += placed_estimate_ms (c, step);
      longest = MAX (longest, path_ms[i]);
    }
  return longest;
}

static gboolean
is_service_job (const struct hk_engine_job *job)
{
  return (job->steps[0].spec->flags & HK_STEP_SERVICE) != 0;
}

static int64_t
compute_objective_ms (const hk_job_spec *spec, int64_t chain_ms)
{
  return chain_ms * MAX (spec->stretch_milli, 1000) / 1000 + spec->target_ms;
}

/* Remaining work of a job, in core milliseconds. */
static double
compute_remaining_work (struct hk_coord *c, const struct hk_engine_job *job)
{
  double work = 0;

  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    {
      const struct hk_engine_step *step = &job->steps[i];
      double remaining = (double)(step->spec->count - step->done);

      for (unsigned t = 0; t < step->spec->count; t++)
        if (step->tasks[t].state == HK_TASK_PLACED && step->tasks[t].runs[0])
          remaining
              -= (double)step->tasks[t].runs[0]->progress_percent / 100.0;
      work += MAX (remaining, 0) * step->spec->cpu_milli / 1000.0
              * (double)coord_estimate_ms (c, step);
    }
  return work;
}

static double
total_work (struct hk_coord *c, const hk_job_spec *spec)
{
  struct hk_engine_job probe = { .spec = *spec };
  struct hk_engine_step step = { .job = &probe };
  double work = 0;

  for (unsigned i = 0; i < spec->steps.steps_len; i++)
    {
      step.spec = &spec->steps.steps_val[i];
      work += (double)coord_estimate_ms (c, &step) * step.spec->count
              * step.spec->cpu_milli / 1000.0;
    }
  return work;
}

static double
mean_work (struct hk_coord *c, const char *queue)
{
  const double *mean = g_hash_table_lookup (c->mean_work, queue);

  return mean ? *mean : 0;
}

/* Every submitted job is a sample, whether it is admitted or not. */
static void
learn_mean_work (struct hk_coord *c, const char *queue, double work)
{
  double *mean = g_hash_table_lookup (c->mean_work, queue);

  if (!mean)
    {
      mean = g_new0 (double, 1);
      *mean = work;
      g_hash_table_insert (c->mean_work, g_strdup (queue), mean);
    }
  *mean += QUEUE_SAMPLE_WEIGHT * (work - *mean);
}

/* Only the age changes between two calls for the same version of a job, but
   for its progress and the learned run times. */
void
coord_order_update (struct hk_coord *c, struct hk_engine_job *job, int64_t now)
{
  struct hk_order_view *v = &job->order;
  int64_t age_max_ms
      = job->n_runs > 0 ? ORDER_VIEW_AGE_MAX_MS : ORDER_VIEW_IDLE_AGE_MAX_MS;

  if (job->order_version != job->version || now - job->order_ms > age_max_ms)
    {
      job->order_version = job->version;
      job->order_ms = now;
      v->urgency = job->spec.urgency;
      v->is_service = is_service_job (job);
      v->objective_ms = compute_objective_ms (
          &job->spec, critical_path_ms (c, job, FALSE));
      v->critical_path_ms = critical_path_ms (c, job, TRUE);
      v->work_core_ms = total_work (c, &job->spec);
      v->remaining_core_ms = compute_remaining_work (c, job);
      v->mean_core_ms = mean_work (c, job->spec.queue);
    }
  v->age_ms = now - job->accepted_ms;
}

static gboolean
is_best_effort_job (const hk_job_spec *spec)
{
  return (spec->steps.steps_val[0].flags & HK_STEP_BEST_EFFORT) != 0;
}

/* CPUs that best-effort tasks can use now, scaled by the mean speed of
   those that run. */
double
coord_best_effort_cores (struct hk_coord *c)
{
  const struct hk_instance *in;
  double available_milli = 0;
  double requested = 0;
  double effective = 0;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    const struct coord_sharing *s;

    if (!in->capacity_known || in->draining || in->evacuated)
      continue;
    s = coord_sharing_of (c, in);
    available_milli += MAX ((double)coord_best_effort_free_milli (in)
                                + in->best_effort_cpu_milli,
                            0);
    requested += s->requested_milli;
    effective += s->effective_milli;
  }
  /* The speeds of a few runs say little about those of more runs. */
  requested += available_milli * PRIOR_WEIGHT;
  effective += available_milli * PRIOR_WEIGHT * PRIOR_SPEED_SHARE;
  return requested > 0 ? available_milli / 1000.0 * effective / requested : 0;
}

/* Whether a job is admitted, without effects. Fills in @v, zeroed by the
   caller, and @reason, if that depends on the backlog. */
gboolean
coord_admission (struct hk_coord *c, const hk_job_spec *spec,
                 struct hk_admission_view *v, unsigned *retry_after_s,
                 const char **reason)
{
  struct hk_engine_job *job;
  struct hk_engine_step step = { 0 };
  struct hk_engine_job probe = { .spec = *spec };
  int64_t now = hk_clock_ms ();

  v->work_core_ms = total_work (c, spec);
  if (!is_best_effort_job (spec)
      || now - c->taken_over_ms < ADMIT_ALL_AFTER_TAKEOVER_MS)
    return TRUE;
  step.job = &probe;
  for (unsigned i = 0; i < spec->steps.steps_len; i++)
    {
      step.spec = &spec->steps.steps_val[i];
      v->critical_path_ms += coord_estimate_ms (c, &step);
    }
  TAILQ_FOREACH (job, &c->engine.active, link)
  {
    if (!is_best_effort_job (&job->spec))
      continue;
    coord_order_update (c, job, now);
    if (hk_order_class (&job->order) != HK_ORDER_EXPIRED)
      v->backlog_core_ms += job->order.remaining_core_ms;
  }
  v->rate_cores = coord_best_effort_cores (c);
  v->objective_ms = compute_objective_ms (spec, v->critical_path_ms);
  *reason = "the backlog would make it late";
  return hk_admission_decide (v, retry_after_s);
}

gboolean
coord_admit (struct hk_coord *c, const hk_job_spec *spec,
             unsigned *retry_after_s, const char **reason)
{
  struct hk_admission_view v = { 0 };

  learn_mean_work (c, spec->queue, total_work (c, spec));
  if (coord_admission (c, spec, &v, retry_after_s, reason))
    return TRUE;
  hk_log (HK_LOG_INFO, "coord", NULL, spec->id,
          "event=too_late backlog_core_ms=%.0f rate_cores=%.0f "
          "work_core_ms=%.0f chain_ms=%" G_GINT64_FORMAT
          " objective_ms=%" G_GINT64_FORMAT,
          v.backlog_core_ms, v.rate_cores, v.work_core_ms, v.critical_path_ms,
          v.objective_ms);
  return FALSE;
}

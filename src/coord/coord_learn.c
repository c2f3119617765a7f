/* What is learned from runs, and the views of load that src/policy decides
   on. */
#include "coord.h"

#include "hyssopkeel/order.h"

/* Weight of a new sample of a run time. */
#define LEARN_WEIGHT 0.2
/* Weight of a new sample of an instance's failures and speed. */
#define INSTANCE_WEIGHT 0.25
/* A bad instance is tried again after this time. */
#define SUSPECT_MS 4000
/* Pace of fillers that is reckoned with before any is known, and the share of
   the room that this guess weighs. */
#define RATE_GUESS 0.75
/* A new coordinator knows the backlog before it knows the instances: until
   their agents have reported, it refuses nothing. */
#define ADMIT_AFTER_MS 1500
#define RATE_PRIOR 0.3

struct estimate
{
  double ratio; /* of run time to declared run time */
};

void
coord_estimates_init (struct hk_coord *c)
{
  c->estimates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->mean_work
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Declared run times are off by a factor that a queue's jobs share in part,
   and the tasks of one job nearly wholly: what a job has shown goes first. */
int64_t
coord_estimate_ms (struct hk_coord *c, const struct hk_engine_step *step)
{
  const struct hk_engine_job *job = step->job;
  const struct estimate *e
      = g_hash_table_lookup (c->estimates, job->spec.queue);
  double declared = (double)step->spec->estimate_ms;

  if (job->samples > 0)
    return (int64_t)(declared * job->ratio_sum / job->samples);
  return e ? (int64_t)(declared * e->ratio) : step->spec->estimate_ms;
}

static void
learn_ratio (struct hk_coord *c, struct hk_engine_job *job, double ratio)
{
  struct estimate *e = g_hash_table_lookup (c->estimates, job->spec.queue);

  job->ratio_sum += ratio;
  job->samples++;
  if (!e)
    {
      e = g_new0 (struct estimate, 1);
      e->ratio = ratio;
      g_hash_table_insert (c->estimates, g_strdup (job->spec.queue), e);
    }
  e->ratio += LEARN_WEIGHT * (ratio - e->ratio);
}

/* Time that a run took, less what it stood still by its pace. */
static double
worked_ms (const struct hk_run *run, int64_t now)
{
  return run->worked_ms + (double)(now - run->reported_ms) * run->pace / 100.0;
}

void
coord_learn (struct hk_coord *c, const struct hk_run *run, hk_end_how how,
             int64_t now)
{
  const struct hk_engine_step *step = run->task->step;
  struct hk_instance *in = run->instance;
  double worked;
  double expected;

  if (step->spec->flags & HK_STEP_LASTS || !run->started_ms)
    return;
  if (how != HK_END_DONE && how != HK_END_FAILED)
    return;
  in->failure_score
      += INSTANCE_WEIGHT
         * ((how == HK_END_FAILED ? 1.0 : 0.0) - in->failure_score);
  in->suspect_until_ms = now + SUSPECT_MS;
  /* A run that went on from a checkpoint tells less than the whole. */
  if (how != HK_END_DONE || run->number > 1 || step->spec->estimate_ms == 0)
    return;
  worked = worked_ms (run, now);
  expected = (double)coord_estimate_ms (c, step);
  if (step->job->samples > 0 && expected > 0)
    in->slowness
        += INSTANCE_WEIGHT * (MIN (worked / expected, 10.0) - in->slowness);
  learn_ratio (c, step->job, worked / step->spec->estimate_ms);
}

/* Longest chain of run time over the steps in order: of all steps, or only of
   those that are not done. */
static int64_t
longest_chain (struct hk_coord *c, const struct hk_engine_job *job,
               gboolean left_only)
{
  unsigned n = job->spec.steps.steps_len;
  g_autofree int64_t *until = g_new0 (int64_t, n + 1);
  int64_t longest = 0;

  for (unsigned i = 0; i < n; i++)
    {
      const struct hk_engine_step *step = &job->steps[i];

      for (unsigned k = 0; k < step->spec->after.after_len; k++)
        until[i] = MAX (until[i], until[step->spec->after.after_val[k]]);
      if (!left_only || step->done < step->spec->count)
        until[i] += coord_estimate_ms (c, step);
      longest = MAX (longest, until[i]);
    }
  return longest;
}

static gboolean
lasts (const struct hk_engine_job *job)
{
  return (job->steps[0].spec->flags & HK_STEP_LASTS) != 0;
}

static int64_t
objective (const hk_job_spec *spec, int64_t chain_ms)
{
  return chain_ms * MAX (spec->stretch_milli, 1000) / 1000 + spec->target_ms;
}

/* Work that is left, processors times milliseconds. */
static double
work_left (struct hk_coord *c, const struct hk_engine_job *job)
{
  double work = 0;

  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    {
      const struct hk_engine_step *step = &job->steps[i];
      double left = (double)(step->spec->count - step->done);

      for (unsigned t = 0; t < step->spec->count; t++)
        if (step->tasks[t].state == HK_TASK_PLACED && step->tasks[t].runs[0])
          left -= (double)step->tasks[t].runs[0]->percent / 100.0;
      work += MAX (left, 0) * step->spec->cpu_milli / 1000.0
              * (double)coord_estimate_ms (c, step);
    }
  return work;
}

static double
whole_work (struct hk_coord *c, const hk_job_spec *spec)
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

/* Every job that comes is a sample, whether it is taken or not. */
static void
learn_work (struct hk_coord *c, const char *queue, double work)
{
  double *mean = g_hash_table_lookup (c->mean_work, queue);

  if (!mean)
    {
      mean = g_new0 (double, 1);
      *mean = work;
      g_hash_table_insert (c->mean_work, g_strdup (queue), mean);
    }
  *mean += LEARN_WEIGHT * (work - *mean);
}

void
coord_order_view (struct hk_coord *c, const struct hk_engine_job *job,
                  int64_t now, struct hk_order_view *out)
{
  out->urgency = job->spec.urgency;
  out->lasts = lasts (job);
  out->age_ms = now - job->accepted_ms;
  out->objective_ms = objective (&job->spec, longest_chain (c, job, FALSE));
  out->remaining_ms = longest_chain (c, job, TRUE);
  out->work = whole_work (c, &job->spec);
  out->remaining_work = work_left (c, job);
  out->mean_work = mean_work (c, job->spec.queue);
}

static gboolean
fills (const hk_job_spec *spec)
{
  return (spec->steps.steps_val[0].flags & HK_STEP_FILLS) != 0;
}

/* Processors that fillers can use now, at the pace that those that run have.
 */
double
coord_fill_rate (const struct hk_coord *c)
{
  const struct hk_instance *in;
  const struct hk_run *run;
  double room = 0;
  double asked = 0;
  double paced = 0;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    if (!in->described || in->draining)
      continue;
    room += (double)coord_fill_room (in) + in->fill_cpu_milli;
    LIST_FOREACH (run, &in->runs, link)
    if (run->task->step->spec->flags & HK_STEP_FILLS)
      {
        asked += run->task->step->spec->cpu_milli;
        paced += run->task->step->spec->cpu_milli * run->pace / 100.0;
      }
  }
  /* Few runs tell little about the pace of more. */
  asked += room * RATE_PRIOR;
  paced += room * RATE_PRIOR * RATE_GUESS;
  return asked > 0 ? room / 1000.0 * paced / asked : 0;
}

gboolean
coord_admit (struct hk_coord *c, const hk_job_spec *spec,
             unsigned *retry_after_s, const char **reason)
{
  struct hk_admission_view v = { 0 };
  const struct hk_engine_job *job;
  struct hk_order_view order;
  struct hk_engine_step step = { 0 };
  struct hk_engine_job probe = { .spec = *spec };
  int64_t now = hk_clock_ms ();

  v.work_core_ms = whole_work (c, spec);
  learn_work (c, spec->queue, v.work_core_ms);
  if (!fills (spec) || now - c->taken_over_ms < ADMIT_AFTER_MS)
    return TRUE;
  step.job = &probe;
  for (unsigned i = 0; i < spec->steps.steps_len; i++)
    {
      int64_t ms;

      step.spec = &spec->steps.steps_val[i];
      ms = coord_estimate_ms (c, &step);
      v.chain_ms += ms;
      v.work_core_ms
          += (double)ms * step.spec->count * step.spec->cpu_milli / 1000.0;
    }
  TAILQ_FOREACH (job, &c->engine.active, link)
  {
    if (!fills (&job->spec))
      continue;
    coord_order_view (c, job, now, &order);
    if (hk_order_class (&order) != HK_ORDER_HOPELESS)
      v.backlog_core_ms += work_left (c, job);
  }
  v.rate_cores = coord_fill_rate (c);
  v.objective_ms = objective (spec, v.chain_ms);
  *reason = "the backlog would make it late";
  if (hk_admission_decide (&v, retry_after_s))
    return TRUE;
  hk_log (HK_LOG_INFO, "coord", NULL, spec->id,
          "event=too_late backlog_core_ms=%.0f rate_cores=%.0f "
          "work_core_ms=%.0f chain_ms=%" G_GINT64_FORMAT
          " objective_ms=%" G_GINT64_FORMAT,
          v.backlog_core_ms, v.rate_cores, v.work_core_ms, v.chain_ms,
          v.objective_ms);
  return FALSE;
}

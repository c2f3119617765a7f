/* A scheduling pass: orders the jobs and places their tasks on instances by
   the rules of src/policy. Handles backlogs that exceed the capacity,
   instances that stop reporting, and best-effort tasks that share instances
   with service tasks. */
#include "coord.h"

#include "hyssopkeel/job_placement.h"
#include "hyssopkeel/pass_budget.h"

/* A pass that takes longer is logged: it delays all other work here. */
#define PASS_SLOW_MS 20

struct candidate
{
  struct hk_engine_job *job;
  double order_key;
  unsigned class;
  gboolean best_effort;
  gboolean waiting;
};

static gboolean
is_waiting (const struct hk_engine_task *task)
{
  return task->state == HK_TASK_WAITING && !task->runs[0] && !task->runs[1];
}

/* Returns FALSE if a task fitted nowhere, suspects aside: these also wait for
   each other. */
static gboolean
place_step (struct coord_pass *p, struct hk_engine_step *step)
{
  gboolean begun = FALSE;

  for (unsigned t = 0; t < step->spec->count; t++)
    {
      struct hk_engine_task *task = &step->tasks[t];

      if (!is_waiting (task) || coord_crash_watch (task, p->now))
        continue;
      if (!begun)
        coord_pass_begin_step (p, task);
      begun = TRUE;
      if (coord_locality_defer (p, task))
        continue;
      if (!coord_pass_place (p, task))
        return FALSE;
      p->n_placed++;
    }
  return TRUE;
}

static void
place_suspects (struct coord_pass *p, struct hk_engine_step *step)
{
  gboolean waits[HK_CRASH_EXCLUSIVE + 1] = { TRUE, FALSE, FALSE };

  for (unsigned t = 0; t < step->spec->count; t++)
    {
      struct hk_engine_task *task = &step->tasks[t];
      enum hk_crash_watch watch = coord_crash_watch (task, p->now);

      if (waits[watch] || !is_waiting (task)
          || coord_crash_pauses (task, p->now))
        continue;
      waits[watch] = !coord_crash_place (p, task);
      p->n_placed += !waits[watch];
    }
}

static void
schedule_suspects (struct coord_pass *p, struct hk_engine_job *job)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    if (job->steps[i].waiting > 0 && hk_engine_step_ready (&job->steps[i]))
      place_suspects (p, &job->steps[i]);
}

static struct hk_pass_failure
step_need (const struct hk_engine_step *step)
{
  const hk_step_spec *spec = step->spec;

  return (struct hk_pass_failure){ .pool = step->job->spec.pool,
                                   .label = spec->label ? spec->label : "",
                                   .cpu_milli = spec->cpu_milli,
                                   .memory_mb = spec->memory_mb,
                                   .accelerators = spec->accelerators };
}

/* Remembers that a task of the step fitted nowhere. */
void
coord_pass_failed (struct coord_pass *p, struct hk_engine_step *step)
{
  struct hk_pass_failure need = step_need (step);

  if (step->spec->flags & HK_STEP_BEST_EFFORT)
    step->placement_failed_ms = p->now;
  else if (step->spec->per_instance_max == 0)
    hk_pass_failures_add (&p->failures, &need);
}

/* Whether tasks of the step fit nowhere, as one with a smaller need did not.
 */
gboolean
coord_pass_covers (const struct coord_pass *p,
                   const struct hk_engine_step *step)
{
  struct hk_pass_failure need = step_need (step);

  return !(step->spec->flags & HK_STEP_BEST_EFFORT)
         && hk_pass_failures_cover (&p->failures, &need);
}

static void
schedule_best_effort (struct coord_pass *p, struct hk_engine_step *step)
{
  if (p->now - step->placement_failed_ms < p->retry_ms
      || step->placement_failed_ms >= p->c->round_began_ms)
    return;
  if (p->n_steps == HK_PASS_STEPS_MAX)
    {
      p->exhausted = TRUE;
      return;
    }
  p->n_steps++;
  if (!place_step (p, step))
    coord_pass_failed (p, step);
}

static void
schedule_step (struct coord_pass *p, struct hk_engine_step *step)
{
  if (step->spec->flags & HK_STEP_BEST_EFFORT)
    schedule_best_effort (p, step);
  else if (!coord_pass_covers (p, step) && !place_step (p, step))
    coord_pass_failed (p, step);
}

static void
schedule_job (struct coord_pass *p, struct hk_engine_job *job)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    {
      struct hk_engine_step *step = &job->steps[i];

      if (step->waiting > 0 && hk_engine_step_ready (step))
        schedule_step (p, step);
    }
}

/* Tasks that were put off are decided before those of the next urgency, so
   that only tasks of the same urgency are exchanged. */
static void
schedule_jobs (struct coord_pass *p, const GArray *list)
{
  const struct candidate *previous = NULL;

  for (guint i = 0; i < list->len; i++)
    {
      const struct candidate *cand
          = &g_array_index (list, struct candidate, i);

      if (!cand->waiting)
        continue;
      if (previous
          && (previous->job->spec.urgency != cand->job->spec.urgency
              || previous->class != cand->class))
        coord_locality_flush (p);
      schedule_job (p, cand->job);
      previous = cand;
    }
  coord_locality_flush (p);
}

static int
compare_order_keys (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  return x->order_key < y->order_key ? -1 : x->order_key > y->order_key;
}

static unsigned
count_waiting_steps (const struct hk_engine_job *job)
{
  unsigned n = 0;

  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    if (job->steps[i].waiting > 0 && hk_engine_step_ready (&job->steps[i]))
      n++;
  return n;
}

/* Best-effort jobs share the remaining capacity of the instances: a job is in
   time only if the work ordered before it leaves enough for it. The others are
   ordered after those in time, so that under overload some jobs finish in time
   rather than all late. */
static void
rank_best_effort (struct hk_coord *c, GArray *list)
{
  double rate = MAX (coord_best_effort_cores (c), 1.0);
  double work_before = 0;

  for (guint i = 0; i < list->len; i++)
    {
      struct candidate *cand = &g_array_index (list, struct candidate, i);
      struct hk_order_view v;

      if (!cand->best_effort || cand->class != HK_ORDER_IN_TIME)
        continue;
      v = cand->job->order;
      v.critical_path_ms
          = MAX (v.critical_path_ms,
                 (int64_t)((work_before + v.remaining_core_ms) / rate));
      if (hk_order_class (&v) == HK_ORDER_IN_TIME)
        work_before += v.remaining_core_ms;
      else
        cand->order_key = hk_order_key (&v);
    }
}

/* Collects the jobs with waiting tasks and, for the ranking, all best-effort
   jobs. Returns the number of best-effort steps that wait. */
static unsigned
collect_jobs (struct hk_coord *c, GArray *list, int64_t now)
{
  struct hk_engine_job *job;
  unsigned n_waiting = 0;

  TAILQ_FOREACH (job, &c->engine.active, link)
  {
    unsigned waiting = count_waiting_steps (job);
    struct candidate cand = { .job = job, .waiting = waiting > 0 };

    cand.best_effort = (job->steps[0].spec->flags & HK_STEP_BEST_EFFORT) != 0;
    if (!cand.waiting && !cand.best_effort)
      continue;
    if (coord_job_runs_in_touch (job, now))
      job->ran_ms = now;
    if (cand.best_effort)
      n_waiting += waiting;
    coord_order_update (c, job, now);
    cand.class = hk_order_class (&job->order);
    cand.order_key = hk_order_key (&job->order);
    g_array_append_val (list, cand);
  }
  return n_waiting;
}

static void
log_pass (const struct coord_pass *p, const GArray *list, int64_t began_us)
{
  int64_t took_us = hk_clock_us () - began_us;

  hk_histogram_add (hk_histogram_get ("hyssopkeel_pass_seconds", ""), took_us);
  if (took_us >= PASS_SLOW_MS * 1000)
    hk_log (HK_LOG_WARN, "coord", NULL, NULL,
            "event=pass_slow took_ms=%" G_GINT64_FORMAT
            " jobs=%u steps=%u placed=%u instances=%u",
            took_us / 1000, list->len, p->n_steps, p->n_placed,
            g_hash_table_size (p->c->engine.instances));
}

void
coord_schedule (struct hk_coord *c, int64_t now)
{
  g_autoptr (GArray) list
      = g_array_new (FALSE, TRUE, sizeof (struct candidate));
  int64_t began_us = hk_clock_us ();
  struct coord_pass pass;

  if (!c->round_open)
    c->round_began_ms = now;
  coord_pass_init (&pass, c, now);
  c->locality.pass++;
  pass.n_waiting = collect_jobs (c, list, now);
  pass.retry_ms = hk_pass_retry_ms (pass.n_waiting);
  qsort (list->data, list->len, sizeof (struct candidate), compare_order_keys);
  rank_best_effort (c, list);
  qsort (list->data, list->len, sizeof (struct candidate), compare_order_keys);
  for (guint i = 0; i < list->len; i++)
    {
      const struct candidate *cand
          = &g_array_index (list, struct candidate, i);

      if (cand->waiting)
        schedule_suspects (&pass, cand->job);
    }
  schedule_jobs (&pass, list);
  c->round_open = pass.exhausted;
  if (pass.exhausted)
    coord_pass_schedule_in (c, HK_PASS_CONTINUE_MS);
  log_pass (&pass, list, began_us);
}

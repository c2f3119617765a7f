/* A scheduling pass: orders the jobs and places their tasks on instances by
   the rules of src/policy. Handles backlogs that exceed the capacity,
   instances that stop reporting, and best-effort tasks that share instances
   with service tasks. */
#include "coord.h"

#include "hyssopkeel/order.h"
#include "hyssopkeel/job_placement.h"

/* An instance whose last report is older than this gets no new runs. */
#define REPORT_AGE_MAX_MS 900
/* A task that has been ready for this long, of a job without any run, counts
   as starving and is placed however slow it will be, while less than
   STARVING_CPU_SHARE_MAX of all CPUs are allocated to tasks that are not
   best-effort. */
#define STARVING_AFTER_MS 900
#define STARVING_CPU_SHARE_MAX 0.55
/* Best-effort tasks that fitted nowhere are retried after this time. The
   decision depends on tail latencies, which are reported about three times a
   second. */
#define BEST_EFFORT_RETRY_MS 100
/* A best-effort task is moved only to an instance that allows it at least this
   share of its full speed. */
#define MOVE_SPEED_SHARE_MIN 0.85

struct candidate
{
  struct hk_engine_job *job;
  struct hk_order_view view;
  gboolean best_effort;
  double order_key;
};

static gboolean
has_label (const struct hk_instance *in, const char *label)
{
  return !label || !*label
         || (in->labels
             && g_strv_contains ((const char *const *)in->labels, label));
}

static unsigned
count_step_runs (const struct hk_instance *in,
                 const struct hk_engine_step *step)
{
  const struct hk_run *run;
  unsigned n = 0;

  LIST_FOREACH (run, &in->runs, link)
  if (run->task->step == step)
    n++;
  return n;
}

/* Fills in what runs on the instance already, and for a best-effort task the
   expected interference with it. */
static void
view_interference (struct hk_coord *c, struct hk_job_place_view *v,
                   const struct hk_instance *in, const hk_step_spec *spec)
{
  v->has_service = in->service_cpu_milli > 0;
  v->best_effort_free_milli = coord_best_effort_free_milli (in);
  v->expected_speed = 1.0;
  if (spec->flags & HK_STEP_BEST_EFFORT && v->has_service)
    coord_best_effort_expect (c, in, spec, &v->expected_speed,
                              &v->headroom_fraction);
  if (spec->flags & HK_STEP_SERVICE)
    coord_count_service_images (in, spec->image, &v->same_image,
                                &v->other_images);
}

/* A speculative attempt on the instance of the first one would be slowed by
   the same cause. */
static gboolean
has_run_on (const struct hk_engine_task *task, const struct hk_instance *in)
{
  for (int i = 0; i < HK_RUNS_PER_TASK; i++)
    if (task->runs[i] && task->runs[i]->instance == in)
      return TRUE;
  return FALSE;
}

static gboolean
accepts_runs (const struct hk_instance *in, const struct hk_engine_step *step,
              int64_t now)
{
  return in->capacity_known && !in->draining && !in->leaving && in->link
         && now - in->last_report_ms < REPORT_AGE_MAX_MS
         && strcmp (in->pool, step->job->spec.pool) == 0
         && has_label (in, step->spec->label);
}

static void
view_instance (struct hk_coord *c, struct hk_job_place_view *v,
               struct hk_instance *in, const struct hk_engine_task *task,
               int64_t now)
{
  const hk_step_spec *spec = task->step->spec;

  v->usable = !has_run_on (task, in) && accepts_runs (in, task->step, now);
  v->cpu_milli = in->cpu_milli;
  v->cpu_free_milli = (int64_t)in->cpu_milli - in->used_cpu_milli;
  v->memory_free_mb = (int64_t)in->memory_mb - in->used_memory_mb;
  v->accelerators_free = (int64_t)in->accelerators - in->used_accelerators;
  v->best_effort_cpu_milli = in->best_effort_cpu_milli;
  if (in->suspect_until_ms < now)
    {
      /* The observations have expired, so the instance is tried again. */
      in->failure_rate = 0;
      in->run_time_ratio = 1.0;
    }
  v->run_time_ratio = in->run_time_ratio;
  v->failure_rate = in->failure_rate;
  view_interference (c, v, in, spec);
  if (spec->per_instance_max > 0)
    v->same_step = count_step_runs (in, task->step);
}

static gboolean
is_starving (struct hk_coord *c, const struct hk_engine_task *task,
             int64_t now)
{
  const struct hk_instance *in;
  double used_milli = 0;
  double total_milli = 0;

  if (task->step->job->n_runs > 0 || now - task->ready_ms < STARVING_AFTER_MS)
    return FALSE;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->capacity_known)
    {
      used_milli += in->used_cpu_milli;
      total_milli += in->cpu_milli;
    }
  return used_milli < STARVING_CPU_SHARE_MAX * total_milli;
}

/* Whether the free capacity of an instance is enough for a task now. Fills in
   @v, which the caller has zeroed, in either case. */
gboolean
coord_task_fits (struct hk_coord *c, struct hk_job_place_view *v,
                 struct hk_instance *in, const struct hk_engine_task *task,
                 int64_t now)
{
  const hk_step_spec *spec = task->step->spec;
  int64_t free_milli;

  view_instance (c, v, in, task, now);
  free_milli = spec->flags & HK_STEP_BEST_EFFORT ? v->best_effort_free_milli
                                                 : v->cpu_free_milli;
  return v->usable && free_milli >= (int64_t)spec->cpu_milli
         && v->memory_free_mb >= (int64_t)spec->memory_mb
         && v->accelerators_free >= (int64_t)spec->accelerators
         && (spec->per_instance_max == 0
             || v->same_step < spec->per_instance_max);
}

gboolean
coord_has_better_instance (struct hk_coord *c,
                           const struct hk_engine_task *task,
                           const struct hk_instance *current, int64_t now)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_job_place_view v = { 0 };

    if (in != current && coord_task_fits (c, &v, in, task, now)
        && v.expected_speed >= MOVE_SPEED_SHARE_MIN)
      return TRUE;
  }
  return FALSE;
}

/* Views of all instances for the tasks of one step. */
struct step_views
{
  struct hk_job_place_view *views;
  struct hk_instance **instances;
  unsigned n;
};

static void
step_views_init (struct step_views *f, struct hk_coord *c,
                 const struct hk_engine_task *task, int64_t now)
{
  unsigned n = g_hash_table_size (c->engine.instances);
  struct hk_instance *in;

  f->views = g_new0 (struct hk_job_place_view, n);
  f->instances = g_new0 (struct hk_instance *, n);
  f->n = 0;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    view_instance (c, &f->views[f->n], in, task, now);
    f->instances[f->n++] = in;
  }
}

static void
step_views_finish (struct step_views *f)
{
  g_free (f->views);
  g_free (f->instances);
}

/* Places the task on the best instance and updates its view there. Returns
   FALSE if the task fits nowhere now. */
static gboolean
place_task (struct hk_coord *c, struct step_views *f,
            struct hk_engine_task *task, int64_t now)
{
  const hk_step_spec *spec = task->step->spec;
  struct hk_job_place_need need
      = { .cpu_milli = spec->cpu_milli,
          .memory_mb = spec->memory_mb,
          .accelerators = spec->accelerators,
          .best_effort = (spec->flags & HK_STEP_BEST_EFFORT) != 0,
          .is_service = (spec->flags & HK_STEP_SERVICE) != 0,
          .per_instance_max = spec->per_instance_max,
          .starving = is_starving (c, task, now) };
  int best = hk_job_place_choose (f->views, f->n, &need);

  if (best < 0)
    return FALSE;
  hk_engine_task_place (task, f->instances[best], now);
  f->views[best] = (struct hk_job_place_view){ 0 };
  view_instance (c, &f->views[best], f->instances[best], task, now);
  /* Other tasks of the step may share the instance with this one. */
  f->views[best].usable = accepts_runs (f->instances[best], task->step, now);
  return TRUE;
}

gboolean
coord_place_speculative (struct hk_coord *c, struct hk_engine_task *task,
                         int64_t now)
{
  struct step_views f;
  gboolean placed;

  step_views_init (&f, c, task, now);
  placed = place_task (c, &f, task, now);
  step_views_finish (&f);
  return placed;
}

static void
schedule_step (struct hk_coord *c, struct hk_engine_step *step, int64_t now)
{
  gboolean best_effort = (step->spec->flags & HK_STEP_BEST_EFFORT) != 0;
  struct step_views f = { 0 };

  if (best_effort && now - step->placement_failed_ms < BEST_EFFORT_RETRY_MS)
    return;
  for (unsigned t = 0; t < step->spec->count; t++)
    {
      struct hk_engine_task *task = &step->tasks[t];

      if (task->state != HK_TASK_WAITING || task->runs[0] || task->runs[1])
        continue;
      if (!f.views)
        step_views_init (&f, c, task, now);
      if (!place_task (c, &f, task, now))
        {
          step->placement_failed_ms = now;
          break;
        }
    }
  step_views_finish (&f);
}

static void
schedule_job (struct hk_coord *c, struct hk_engine_job *job, int64_t now)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    {
      struct hk_engine_step *step = &job->steps[i];

      if (step->waiting > 0 && hk_engine_step_ready (step))
        schedule_step (c, step, now);
    }
}

static int
compare_order_keys (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  return x->order_key < y->order_key ? -1 : x->order_key > y->order_key;
}

static gboolean
has_waiting_task (const struct hk_engine_job *job)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    if (job->steps[i].waiting > 0)
      return TRUE;
  return FALSE;
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
      struct hk_order_view *v = &cand->view;

      if (!cand->best_effort || hk_order_class (v) != HK_ORDER_IN_TIME)
        continue;
      v->critical_path_ms
          = MAX (v->critical_path_ms,
                 (int64_t)((work_before + v->remaining_core_ms) / rate));
      if (hk_order_class (v) == HK_ORDER_IN_TIME)
        work_before += v->remaining_core_ms;
      cand->order_key = hk_order_key (v);
    }
}

void
coord_schedule (struct hk_coord *c, int64_t now)
{
  g_autoptr (GArray) list
      = g_array_new (FALSE, TRUE, sizeof (struct candidate));
  struct hk_engine_job *job;

  TAILQ_FOREACH (job, &c->engine.active, link)
  {
    struct candidate cand = { .job = job };

    coord_order_view (c, job, now, &cand.view);
    cand.order_key = hk_order_key (&cand.view);
    cand.best_effort = (job->steps[0].spec->flags & HK_STEP_BEST_EFFORT) != 0;
    g_array_append_val (list, cand);
  }
  qsort (list->data, list->len, sizeof (struct candidate), compare_order_keys);
  rank_best_effort (c, list);
  qsort (list->data, list->len, sizeof (struct candidate), compare_order_keys);
  for (guint i = 0; i < list->len; i++)
    {
      const struct candidate *cand
          = &g_array_index (list, struct candidate, i);

      cand->job->order_class = hk_order_class (&cand->view);
      cand->job->order_key = cand->order_key;
      if (has_waiting_task (cand->job))
        schedule_job (c, cand->job, now);
    }
}

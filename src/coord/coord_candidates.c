/* The instances that may take a task, as src/policy sees them, and the choice
   among them. */
#include "coord.h"

#include <math.h>

#include "hyssopkeel/job_placement.h"
#include "hyssopkeel/pass_budget.h"

/* An instance whose last report is older than this gets no new runs. */
#define REPORT_AGE_MAX_MS 900
/* A task that has been ready for this long, of a job with nothing running,
   counts as starving and is placed however slow it will be, while less than
   STARVING_CPU_SHARE_MAX of all CPUs are known to be in use by tasks that are
   not best-effort. */
#define STARVING_AFTER_MS 900
#define STARVING_CPU_SHARE_MAX 0.55
/* Once nothing of the job has run for IDLE_MAX_MS, the limit is
   IDLE_CPU_SHARE_MAX. The commit and the start follow within a second. */
#define IDLE_MAX_MS 2000
#define IDLE_CPU_SHARE_MAX 0.7
/* Candidates near the data of a task. The rest is left to other instances, in
   case the rack is full. */
#define NEAR_CANDIDATES_MAX (HK_PASS_CANDIDATES_MAX * 3 / 4)
/* A best-effort task is moved only to an instance that allows it at least this
   share of its full speed. */
#define MOVE_SPEED_SHARE_MIN 0.85

gboolean
coord_has_label (const struct hk_instance *in, const char *label)
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
                   const struct hk_instance *in, struct hk_engine_step *step)
{
  unsigned flags = step->spec->flags;

  v->has_service = in->service_cpu_milli > 0;
  v->best_effort_free_milli = coord_best_effort_free_milli (in);
  v->expected_speed = 1.0;
  if (flags & HK_STEP_BEST_EFFORT)
    coord_best_effort_expect (c, in, step, v);
  if (flags & HK_STEP_SERVICE)
    coord_count_service_images (c, in, coord_step_image (c, step),
                                &v->same_image, &v->other_images);
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
is_in_touch (const struct hk_instance *in, int64_t now)
{
  return in->link && now - in->last_report_ms < REPORT_AGE_MAX_MS;
}

enum coord_wait_reason
coord_instance_obstacle (const struct hk_instance *in,
                         const struct hk_engine_step *step, int64_t now)
{
  const struct coord_link *l = in->link;

  if (!is_in_touch (in, now))
    return COORD_WAIT_SILENT;
  if (in->listed_silent)
    return COORD_WAIT_LISTED;
  if (!in->capacity_known || !l->described || l->n_unknown_runs > 0)
    return COORD_WAIT_UNKNOWN;
  if (in->draining || in->leaving)
    return COORD_WAIT_DRAINING;
  if (in->evacuated)
    return COORD_WAIT_EVACUATED;
  if (!coord_evacuations_known (l->c))
    return COORD_WAIT_UNREAD;
  if (strcmp (in->pool, step->job->spec.pool) != 0
      || !coord_has_label (in, step->spec->label))
    return COORD_WAIT_MISMATCH;
  if (coord_evacuation_ramps (in, now))
    return COORD_WAIT_RAMP;
  return in->refused_until_ms > now ? COORD_WAIT_PAUSED : COORD_WAIT_NONE;
}

gboolean
coord_accepts_runs (const struct hk_instance *in,
                    const struct hk_engine_step *step, int64_t now)
{
  return coord_instance_obstacle (in, step, now) == COORD_WAIT_NONE;
}

/* The caller has zeroed @v and knows that the instance accepts runs. */
static void
view_instance (struct hk_coord *c, struct hk_job_place_view *v,
               struct hk_instance *in, struct hk_engine_step *step,
               int64_t now)
{
  v->usable = !coord_evacuation_ramps (in, now);
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
  v->has_suspect = in->n_watched > 0;
  coord_view_locality (v, in, step, now);
  view_interference (c, v, in, step);
  if (step->spec->per_instance_max > 0)
    v->same_step = count_step_runs (in, step);
}

/* Whether the free capacity of an instance is enough for a task now. Fills in
   @v, which the caller has zeroed, if the instance accepts runs at all. */
gboolean
coord_task_fits (struct hk_coord *c, struct hk_job_place_view *v,
                 struct hk_instance *in, const struct hk_engine_task *task,
                 int64_t now)
{
  const hk_step_spec *spec = task->step->spec;
  int64_t free_milli;

  if (has_run_on (task, in) || !coord_accepts_runs (in, task->step, now)
      || !coord_crash_admits (in, task, now))
    return FALSE;
  view_instance (c, v, in, task->step, now);
  free_milli = spec->flags & HK_STEP_BEST_EFFORT ? v->best_effort_free_milli
                                                 : v->cpu_free_milli;
  return v->cpu_free_milli >= 0 && free_milli >= (int64_t)spec->cpu_milli
         && v->memory_free_mb >= (int64_t)spec->memory_mb
         && v->accelerators_free >= (int64_t)spec->accelerators
         && (spec->per_instance_max == 0
             || v->same_step < spec->per_instance_max);
}

enum coord_wait_reason
coord_task_obstacle (struct coord_pass *p, const struct hk_engine_task *task,
                     struct hk_instance *in)
{
  enum coord_wait_reason reason
      = coord_instance_obstacle (in, task->step, p->now);
  struct hk_job_place_view v = { 0 };

  if (reason != COORD_WAIT_NONE)
    return reason;
  if (has_run_on (task, in))
    return COORD_WAIT_UNKNOWN;
  if (!coord_crash_admits (in, task, p->now))
    return COORD_WAIT_APART;
  view_instance (p->c, &v, in, task->step, p->now);
  switch (hk_job_place_obstacle (&v, &p->need))
    {
    case HK_JOB_PLACE_FITS:
      return COORD_WAIT_NONE;
    case HK_JOB_PLACE_UNUSABLE:
    case HK_JOB_PLACE_SAME_STEP:
    case HK_JOB_PLACE_MEMORY:
    case HK_JOB_PLACE_CPU:
      return COORD_WAIT_FULL;
    case HK_JOB_PLACE_UNRELIABLE:
      return COORD_WAIT_UNRELIABLE;
    case HK_JOB_PLACE_HEADROOM:
      return COORD_WAIT_HEADROOM;
    case HK_JOB_PLACE_SLOW:
    default:
      return coord_sharing_of (p->c, in)->saturated ? COORD_WAIT_SATURATED
                                                    : COORD_WAIT_SLOW;
    }
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

void
coord_pass_init (struct coord_pass *p, struct hk_coord *c, int64_t now)
{
  const struct hk_instance *in;

  memset (p, 0, sizeof *p);
  p->c = c;
  p->now = now;
  p->views = c->candidate_views;
  p->instances = c->candidate_instances;
  p->scores = c->candidate_scores;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->capacity_known && !in->evacuated)
    {
      p->cpu_milli += in->cpu_milli;
      if (is_in_touch (in, now))
        p->used_cpu_milli += in->used_cpu_milli;
    }
}

static gboolean
step_runs_in_touch (const struct hk_engine_step *step, int64_t now)
{
  unsigned n_placed = step->spec->count - step->waiting - step->done;

  for (unsigned t = 0; t < step->spec->count && n_placed > 0; t++)
    {
      const struct hk_engine_task *task = &step->tasks[t];

      n_placed -= task->state == HK_TASK_PLACED;
      for (int i = 0; i < HK_RUNS_PER_TASK; i++)
        if (task->runs[i] && is_in_touch (task->runs[i]->instance, now))
          return TRUE;
    }
  return FALSE;
}

/* Nobody knows whether runs on silent instances still run. */
gboolean
coord_job_runs_in_touch (const struct hk_engine_job *job, int64_t now)
{
  for (unsigned i = 0; job->n_runs > 0 && i < job->spec.steps.steps_len; i++)
    if (step_runs_in_touch (&job->steps[i], now))
      return TRUE;
  return FALSE;
}

/* The wait of the step, not of the task: one that has just become ready does
   not hide those that wait. */
static int64_t
waiting_since_ms (const struct hk_engine_step *step)
{
  int64_t since_ms = INT64_MAX;

  for (unsigned t = 0; t < step->spec->count; t++)
    if (step->tasks[t].state == HK_TASK_WAITING)
      since_ms = MIN (since_ms, step->tasks[t].ready_ms);
  return since_ms;
}

static gboolean
is_starving (const struct coord_pass *p, const struct hk_engine_task *task)
{
  const struct hk_engine_job *job = task->step->job;
  double share = p->used_cpu_milli / MAX (p->cpu_milli, 1);
  int64_t since_ms;

  if (!p->need.best_effort || share >= IDLE_CPU_SHARE_MAX
      || coord_job_runs_in_touch (job, p->now))
    return FALSE;
  since_ms = waiting_since_ms (task->step);
  if (p->now - MAX (since_ms, job->ran_ms) >= IDLE_MAX_MS)
    return TRUE;
  return p->now - since_ms >= STARVING_AFTER_MS
         && share < STARVING_CPU_SHARE_MAX;
}

static void
add_candidate (struct coord_pass *p, const struct hk_engine_task *task,
               struct hk_instance *in)
{
  if (has_run_on (task, in) || !coord_accepts_runs (in, task->step, p->now)
      || !coord_crash_admits (in, task, p->now))
    return;
  p->views[p->n] = (struct hk_job_place_view){ 0 };
  view_instance (p->c, &p->views[p->n], in, task->step, p->now);
  p->instances[p->n++] = in;
}

/* Instances of a rack are taken in turn if there are more of them. */
static void
collect_near (struct coord_pass *p, const struct hk_engine_task *task)
{
  struct coord_rack *rack = p->rack;
  guint n = rack ? rack->instances->len : 0;
  guint i;

  for (i = 0; i < n && p->n < NEAR_CANDIDATES_MAX; i++)
    add_candidate (p, task, rack->instances->pdata[(rack->first + i) % n]);
  if (i < n)
    rack->first = (rack->first + i) % n;
}

/* Candidates are those near the data first. The others are taken in turn if
   there are more than a pass may look at. */
static void
collect_candidates (struct coord_pass *p, const struct hk_engine_task *task)
{
  struct hk_engine *e = &p->c->engine;
  struct hk_instance *first
      = e->cursor ? e->cursor : TAILQ_FIRST (&e->instance_list);
  struct hk_instance *in = first;

  p->n = 0;
  collect_near (p, task);
  while (in && p->n < HK_PASS_CANDIDATES_MAX)
    {
      if (!p->rack || !coord_is_near (in, task->step))
        add_candidate (p, task, in);
      in = TAILQ_NEXT (in, next);
      if (!in)
        in = TAILQ_FIRST (&e->instance_list);
      if (in == first)
        return;
    }
  e->cursor = in;
}

static void
score_candidate (struct coord_pass *p, unsigned i)
{
  if (!hk_job_place_score (&p->views[i], &p->need, &p->scores[i]))
    p->scores[i] = -INFINITY;
}

struct hk_job_place_need
coord_place_need (const struct hk_engine_step *step)
{
  const hk_step_spec *spec = step->spec;

  return (struct hk_job_place_need){
    .cpu_milli = spec->cpu_milli,
    .memory_mb = spec->memory_mb,
    .accelerators = spec->accelerators,
    .best_effort = (spec->flags & HK_STEP_BEST_EFFORT) != 0,
    .is_service = (spec->flags & HK_STEP_SERVICE) != 0,
    .per_instance_max = spec->per_instance_max,
  };
}

/* Prepares the candidates for the tasks of one step that wait. */
void
coord_pass_begin_step (struct coord_pass *p, const struct hk_engine_task *task)
{
  p->need = coord_place_need (task->step);
  p->need.starving = is_starving (p, task);
  p->rack = coord_rack_of (p->c, task->step);
  collect_candidates (p, task);
  for (unsigned i = 0; i < p->n; i++)
    score_candidate (p, i);
}

/* Index of the best candidate for a task of the step, or -1 if the task fits
   nowhere now. */
int
coord_pass_best (struct coord_pass *p, const struct hk_engine_task *task)
{
  gboolean starving = is_starving (p, task);
  unsigned best = 0;

  if (starving != p->need.starving)
    {
      p->need.starving = starving;
      for (unsigned i = 0; i < p->n; i++)
        score_candidate (p, i);
    }
  for (unsigned i = 1; i < p->n; i++)
    if (p->scores[i] > p->scores[best])
      best = i;
  return p->n == 0 || isinf (p->scores[best]) ? -1 : (int)best;
}

/* Places a task of the step on the best candidate. Returns FALSE if the task
   fits nowhere now. */
gboolean
coord_pass_place (struct coord_pass *p, struct hk_engine_task *task)
{
  int best = coord_pass_best (p, task);

  if (best < 0)
    return FALSE;
  coord_locality_placed (p, task, p->instances[best]);
  coord_speed_expect (hk_engine_task_place (task, p->instances[best], p->now),
                      &p->views[best], p->now);
  if (!p->need.best_effort)
    p->used_cpu_milli += p->need.cpu_milli;
  p->views[best] = (struct hk_job_place_view){ 0 };
  view_instance (p->c, &p->views[best], p->instances[best], task->step,
                 p->now);
  score_candidate (p, (unsigned)best);
  return TRUE;
}

gboolean
coord_pass_fits (struct coord_pass *p, const struct hk_engine_task *task,
                 struct hk_instance *in)
{
  struct hk_job_place_view v = { 0 };
  double score;

  if (has_run_on (task, in) || !coord_accepts_runs (in, task->step, p->now))
    return FALSE;
  view_instance (p->c, &v, in, task->step, p->now);
  return hk_job_place_score (&v, &p->need, &score);
}

gboolean
coord_place_speculative (struct hk_coord *c, struct hk_engine_task *task,
                         int64_t now)
{
  struct coord_pass p;

  coord_pass_init (&p, c, now);
  coord_pass_begin_step (&p, task);
  return coord_pass_place (&p, task);
}

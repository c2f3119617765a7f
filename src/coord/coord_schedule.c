/* What the engine's state asks for, decided by src/policy and carried out on
   the engine: order, placement, and what is learned from ends. */
#include "coord.h"

#include "hyssopkeel/order.h"
#include "hyssopkeel/slots.h"

/* An instance that is not heard from for this long gets no new work. */
#define SILENT_MS 900
/* A job that may run and has nothing running for this long is given a place
   while less than STARVING_USE of the processors are taken. */
#define STARVING_MS 900
#define STARVING_USE 0.55
/* Fillers that found no place are tried again after this time: what decides,
   the tails, is reported some three times a second. */
#define FILL_RETRY_MS 100
/* A filler is moved to where it would go at least this fast. */
#define BETTER_PACE 0.85

struct candidate
{
  struct hk_engine_job *job;
  struct hk_order_view view;
  gboolean fills;
  double key;
};

static gboolean
has_label (const struct hk_instance *in, const char *label)
{
  return !label || !*label
         || (in->labels
             && g_strv_contains ((const char *const *)in->labels, label));
}

static unsigned
runs_of_step (const struct hk_instance *in, const struct hk_engine_step *step)
{
  const struct hk_run *run;
  unsigned n = 0;

  LIST_FOREACH (run, &in->runs, link)
  if (run->task->step == step)
    n++;
  return n;
}

/* What serves there, and how a filler would disturb it. */
static void
view_sharing (struct hk_coord *c, struct hk_slots_view *v,
              const struct hk_instance *in, const hk_step_spec *spec)
{
  v->serving = in->last_cpu_milli > 0;
  v->fill_room_milli = coord_fill_room (in);
  v->pace = 1.0;
  if (spec->flags & HK_STEP_FILLS && v->serving)
    coord_share_expect (c, in, spec, &v->pace, &v->burden);
  if (spec->flags & HK_STEP_LASTS)
    coord_share_images (in, spec->image, &v->same_image, &v->other_images);
}

/* A copy beside the run that it is to help would suffer the same. */
static gboolean
runs_there (const struct hk_engine_task *task, const struct hk_instance *in)
{
  for (int i = 0; i < HK_RUNS_PER_TASK; i++)
    if (task->runs[i] && task->runs[i]->instance == in)
      return TRUE;
  return FALSE;
}

static gboolean
usable (const struct hk_instance *in, const struct hk_engine_step *step,
        int64_t now)
{
  return in->described && !in->draining && !in->leaving && in->link
         && now - in->heard_ms < SILENT_MS
         && strcmp (in->pool, step->job->spec.pool) == 0
         && has_label (in, step->spec->label);
}

static void
view_of (struct hk_coord *c, struct hk_slots_view *v, struct hk_instance *in,
         const struct hk_engine_task *task, int64_t now)
{
  const hk_step_spec *spec = task->step->spec;

  v->usable = !runs_there (task, in) && usable (in, task->step, now);
  v->cpu_milli = in->cpu_milli;
  v->cpu_free_milli = (int64_t)in->cpu_milli - in->used_cpu_milli;
  v->memory_free_mb = (int64_t)in->memory_mb - in->used_memory_mb;
  v->accelerators_free = (int64_t)in->accelerators - in->used_accelerators;
  v->fill_cpu_milli = in->fill_cpu_milli;
  if (in->suspect_until_ms < now)
    {
      /* What was learned is old: give it a chance. */
      in->failure_score = 0;
      in->slowness = 1.0;
    }
  v->slowness = in->slowness;
  v->failing = in->failure_score;
  view_sharing (c, v, in, spec);
  if (spec->per_instance_max > 0)
    v->same_step = runs_of_step (in, task->step);
}

static gboolean
starving (struct hk_coord *c, const struct hk_engine_task *task, int64_t now)
{
  const struct hk_instance *in;
  double used = 0;
  double total = 0;

  if (task->step->job->n_runs > 0 || now - task->ready_ms < STARVING_MS)
    return FALSE;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->described)
    {
      used += in->used_cpu_milli;
      total += in->cpu_milli;
    }
  return used < STARVING_USE * total;
}

/* Whether a task has room on an instance now; fills its view in. */
gboolean
coord_fits (struct hk_coord *c, struct hk_slots_view *v,
            struct hk_instance *in, const struct hk_engine_task *task,
            int64_t now)
{
  const hk_step_spec *spec = task->step->spec;
  int64_t room;

  view_of (c, v, in, task, now);
  room = spec->flags & HK_STEP_FILLS ? v->fill_room_milli : v->cpu_free_milli;
  return v->usable && room >= (int64_t)spec->cpu_milli
         && v->memory_free_mb >= (int64_t)spec->memory_mb
         && v->accelerators_free >= (int64_t)spec->accelerators
         && (spec->per_instance_max == 0
             || v->same_step < spec->per_instance_max);
}

gboolean
coord_better_place (struct hk_coord *c, const struct hk_engine_task *task,
                    const struct hk_instance *than, int64_t now)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_slots_view v = { 0 };

    if (in != than && coord_fits (c, &v, in, task, now)
        && v.pace >= BETTER_PACE)
      return TRUE;
  }
  return FALSE;
}

/* All instances as the tasks of one step see them. */
struct field
{
  struct hk_slots_view *views;
  struct hk_instance **instances;
  unsigned n;
};

static void
field_init (struct field *f, struct hk_coord *c,
            const struct hk_engine_task *task, int64_t now)
{
  unsigned n = g_hash_table_size (c->engine.instances);
  struct hk_instance *in;

  f->views = g_new0 (struct hk_slots_view, n);
  f->instances = g_new0 (struct hk_instance *, n);
  f->n = 0;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    view_of (c, &f->views[f->n], in, task, now);
    f->instances[f->n++] = in;
  }
}

static void
field_finish (struct field *f)
{
  g_free (f->views);
  g_free (f->instances);
}

/* Returns FALSE if the task fits nowhere now. */
static gboolean
place (struct hk_coord *c, struct field *f, struct hk_engine_task *task,
       int64_t now)
{
  const hk_step_spec *spec = task->step->spec;
  struct hk_slots_need need = { .cpu_milli = spec->cpu_milli,
                                .memory_mb = spec->memory_mb,
                                .accelerators = spec->accelerators,
                                .fills = (spec->flags & HK_STEP_FILLS) != 0,
                                .lasts = (spec->flags & HK_STEP_LASTS) != 0,
                                .per_instance_max = spec->per_instance_max,
                                .starving = starving (c, task, now) };
  int best = hk_slots_choose (f->views, f->n, &need);

  if (best < 0)
    return FALSE;
  hk_engine_place (task, f->instances[best], now);
  f->views[best] = (struct hk_slots_view){ 0 };
  view_of (c, &f->views[best], f->instances[best], task, now);
  /* Another task of the step may join it there. */
  f->views[best].usable = usable (f->instances[best], task->step, now);
  return TRUE;
}

gboolean
coord_place_copy (struct hk_coord *c, struct hk_engine_task *task, int64_t now)
{
  struct field f;
  gboolean placed;

  field_init (&f, c, task, now);
  placed = place (c, &f, task, now);
  field_finish (&f);
  return placed;
}

static void
schedule_step (struct hk_coord *c, struct hk_engine_step *step, int64_t now)
{
  gboolean fills = (step->spec->flags & HK_STEP_FILLS) != 0;
  struct field f = { 0 };

  if (fills && now - step->tried_ms < FILL_RETRY_MS)
    return;
  for (unsigned t = 0; t < step->spec->count; t++)
    {
      struct hk_engine_task *task = &step->tasks[t];

      if (task->state != HK_TASK_WAITING || task->runs[0] || task->runs[1])
        continue;
      if (!f.views)
        field_init (&f, c, task, now);
      if (!place (c, &f, task, now))
        {
          step->tried_ms = now;
          break;
        }
    }
  field_finish (&f);
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
by_key (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  return x->key < y->key ? -1 : x->key > y->key;
}

static gboolean
has_waiting (const struct hk_engine_job *job)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    if (job->steps[i].waiting > 0)
      return TRUE;
  return FALSE;
}

/* Fillers share what is left of the instances: in their order, each job is in
   time only if the work before it leaves enough for it. The others stand
   back, so that some are done in time rather than all late. */
static void
rank_fillers (struct hk_coord *c, GArray *list)
{
  double rate = MAX (coord_fill_rate (c), 1.0);
  double before = 0;

  for (guint i = 0; i < list->len; i++)
    {
      struct candidate *cand = &g_array_index (list, struct candidate, i);
      struct hk_order_view *v = &cand->view;

      if (!cand->fills || hk_order_class (v) != HK_ORDER_IN_TIME)
        continue;
      v->remaining_ms = MAX (v->remaining_ms,
                             (int64_t)((before + v->remaining_work) / rate));
      if (hk_order_class (v) == HK_ORDER_IN_TIME)
        before += v->remaining_work;
      cand->key = hk_order_key (v);
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
    cand.key = hk_order_key (&cand.view);
    cand.fills = (job->steps[0].spec->flags & HK_STEP_FILLS) != 0;
    g_array_append_val (list, cand);
  }
  qsort (list->data, list->len, sizeof (struct candidate), by_key);
  rank_fillers (c, list);
  qsort (list->data, list->len, sizeof (struct candidate), by_key);
  for (guint i = 0; i < list->len; i++)
    {
      const struct candidate *cand
          = &g_array_index (list, struct candidate, i);

      cand->job->order_class = hk_order_class (&cand->view);
      cand->job->order_key = cand->key;
      if (has_waiting (cand->job))
        schedule_job (c, cand->job, now);
    }
}

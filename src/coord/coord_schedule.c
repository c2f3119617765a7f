/* What the engine's state asks for, decided by src/policy and carried out on
   the engine: order, placement, and what is learned from ends. */
#include "coord.h"

#include "hyssopkeel/slots.h"

/* Weight of a new sample of a run time. */
#define LEARN_WEIGHT 0.2
/* Weight of a new sample of an instance's failures and speed. */
#define INSTANCE_WEIGHT 0.25
/* An instance that is not heard from for this long gets no new work. */
#define SILENT_MS 900
/* A bad instance is tried again after this time. */
#define SUSPECT_MS 4000

struct candidate
{
  struct hk_engine_job *job;
  double key;
};

struct estimate
{
  double mean_ms;
  unsigned samples;
};

void
coord_estimates_init (struct hk_coord *c)
{
  c->estimates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Tasks of one image behave alike; without an image, those of one queue. */
static const char *
estimate_key (const struct hk_engine_step *step)
{
  return step->spec->image && *step->spec->image ? step->spec->image
                                                 : step->job->spec.queue;
}

int64_t
coord_estimate_ms (struct hk_coord *c, const struct hk_engine_step *step)
{
  const struct estimate *e
      = g_hash_table_lookup (c->estimates, estimate_key (step));

  return e && e->samples > 0 ? (int64_t)e->mean_ms : step->spec->estimate_ms;
}

void
coord_learn (struct hk_coord *c, const struct hk_run *run, hk_end_how how,
             int64_t now)
{
  const struct hk_engine_step *step = run->task->step;
  struct hk_instance *in = run->instance;
  struct estimate *e;
  double ran = (double)(now - run->started_ms);

  if (step->spec->flags & HK_STEP_LASTS || !run->started_ms)
    return;
  if (how != HK_END_DONE && how != HK_END_FAILED)
    return;
  in->failure_score
      += INSTANCE_WEIGHT
         * ((how == HK_END_FAILED ? 1.0 : 0.0) - in->failure_score);
  in->suspect_until_ms = now + SUSPECT_MS;
  if (how != HK_END_DONE)
    return;
  e = g_hash_table_lookup (c->estimates, estimate_key (step));
  if (!e)
    {
      e = g_new0 (struct estimate, 1);
      e->mean_ms = ran;
      g_hash_table_insert (c->estimates, g_strdup (estimate_key (step)), e);
    }
  if (e->mean_ms > 0 && e->samples > 2)
    in->slowness
        += INSTANCE_WEIGHT * (MIN (ran / e->mean_ms, 10.0) - in->slowness);
  e->mean_ms += LEARN_WEIGHT * (ran - e->mean_ms);
  e->samples++;
}

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

static void
view_of (struct hk_slots_view *v, struct hk_instance *in,
         const struct hk_engine_task *task, int64_t now)
{
  const hk_step_spec *spec = task->step->spec;

  v->usable = in->described && !in->draining && !in->leaving && in->link
              && now - in->heard_ms < SILENT_MS
              && strcmp (in->pool, task->step->job->spec.pool) == 0
              && has_label (in, spec->label);
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
  if (spec->per_instance_max > 0)
    v->same_step = runs_of_step (in, task->step);
}

/* Returns FALSE if the task fits nowhere now. */
static gboolean
place (struct hk_coord *c, struct hk_engine_task *task, int64_t now)
{
  const hk_step_spec *spec = task->step->spec;
  struct hk_slots_need need = { .cpu_milli = spec->cpu_milli,
                                .memory_mb = spec->memory_mb,
                                .accelerators = spec->accelerators,
                                .fills = (spec->flags & HK_STEP_FILLS) != 0,
                                .per_instance_max = spec->per_instance_max };
  unsigned n = g_hash_table_size (c->engine.instances);
  g_autofree struct hk_slots_view *views = g_new0 (struct hk_slots_view, n);
  g_autofree struct hk_instance **list = g_new0 (struct hk_instance *, n);
  struct hk_instance *in;
  unsigned i = 0;
  int best;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    view_of (&views[i], in, task, now);
    list[i++] = in;
  }
  best = hk_slots_choose (views, n, &need);
  if (best < 0)
    return FALSE;
  hk_engine_place (task, list[best], now);
  return TRUE;
}

static void
schedule_job (struct hk_coord *c, struct hk_engine_job *job, int64_t now)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    {
      struct hk_engine_step *step = &job->steps[i];

      if (step->waiting == 0 || !hk_engine_step_ready (step))
        continue;
      for (unsigned t = 0; t < step->spec->count; t++)
        if (step->tasks[t].state == HK_TASK_WAITING && !step->tasks[t].runs[0]
            && !step->tasks[t].runs[1] && !place (c, &step->tasks[t], now))
          break;
    }
}

static int
by_key (const void *a, const void *b)
{
  const struct candidate *x = a;
  const struct candidate *y = b;

  return x->key < y->key ? -1 : x->key > y->key;
}

void
coord_schedule (struct hk_coord *c, int64_t now)
{
  g_autoptr (GArray) list
      = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  struct hk_engine_job *job;

  TAILQ_FOREACH (job, &c->engine.active, link)
  {
    struct candidate cand = { .job = job };
    gboolean waiting = FALSE;

    for (unsigned i = 0; i < job->spec.steps.steps_len && !waiting; i++)
      waiting = job->steps[i].waiting > 0;
    if (!waiting)
      continue;
    cand.key = (double)job->spec.urgency * 1e12 + (double)job->accepted_ms;
    g_array_append_val (list, cand);
  }
  qsort (list->data, list->len, sizeof (struct candidate), by_key);
  for (guint i = 0; i < list->len; i++)
    schedule_job (c, g_array_index (list, struct candidate, i).job, now);
}

gboolean
coord_admit (struct hk_coord *c, const hk_job_spec *spec,
             unsigned *retry_after_s, const char **reason)
{
  (void)c;
  (void)spec;
  (void)retry_after_s;
  (void)reason;
  return TRUE;
}

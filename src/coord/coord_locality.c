/* Slots near the data of tasks. Load pattern: many short tasks with data on
   one rack, beside racks with free slots. Tasks for which no slot near their
   data is free are decided together, after those of the same urgency that have
   one: those that gain most queue for the slots, the others are placed
   elsewhere. */
#include "coord.h"

#include <math.h>

/* Tasks without data on a rack avoid it for this long after a task has waited
   for it: two passes and a report. */
#define WANTED_MS 250
/* Longest part of the name of a rack in a log line. */
#define LOG_RACK_MAX 64

/* A task that waits, or is placed elsewhere. */
struct deferred
{
  struct hk_engine_task *task;
  double gain_ms;
  guint order;
  struct hk_locality_decision decision;
};

static void
rack_free (gpointer data)
{
  struct coord_rack *rack = data;

  g_ptr_array_unref (rack->instances);
  g_free (rack);
}

void
coord_locality_init (struct coord_locality *l, double remote_factor)
{
  memset (l, 0, sizeof *l);
  l->racks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, rack_free);
  l->stale = TRUE;
  hk_locality_factor_init (&l->factor, MAX (remote_factor, 0));
}

void
coord_locality_finish (struct coord_locality *l)
{
  g_clear_pointer (&l->racks, g_hash_table_unref);
}

/* Forgets the instances; the factor does not depend on them. */
void
coord_locality_clear (struct coord_locality *l)
{
  g_hash_table_remove_all (l->racks);
  l->stale = TRUE;
}

void
coord_locality_labels_changed (struct hk_coord *c)
{
  c->locality.stale = TRUE;
}

/* An instance may have the label twice, and is then still one candidate. */
static void
rack_add (struct coord_locality *l, const char *label, struct hk_instance *in)
{
  struct coord_rack *rack = g_hash_table_lookup (l->racks, label);

  if (!rack)
    {
      rack = g_new0 (struct coord_rack, 1);
      rack->instances = g_ptr_array_new ();
      g_hash_table_insert (l->racks, g_strdup (label), rack);
    }
  if (rack->instances->len == 0
      || rack->instances->pdata[rack->instances->len - 1] != in)
    g_ptr_array_add (rack->instances, in);
}

/* Racks are kept when their instances change, for the age of their queue. */
static void
racks_refresh (struct hk_coord *c)
{
  struct coord_locality *l = &c->locality;
  struct hk_instance *in;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, l->racks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_set_size (((struct coord_rack *)value)->instances, 0);
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  for (char **label = in->labels; label && *label; label++)
    rack_add (l, *label, in);
  l->stale = FALSE;
}

struct coord_rack *
coord_rack_of (struct hk_coord *c, const struct hk_engine_step *step)
{
  const char *name = step->spec->rack;
  struct coord_rack *rack;

  if (!name || !*name)
    return NULL;
  if (c->locality.stale)
    racks_refresh (c);
  rack = g_hash_table_lookup (c->locality.racks, name);
  return rack && rack->instances->len > 0 ? rack : NULL;
}

gboolean
coord_is_near (const struct hk_instance *in, const struct hk_engine_step *step)
{
  const char *name = step->spec->rack;

  return name && *name && coord_has_label (in, name);
}

gboolean
coord_run_is_remote (struct hk_coord *c, const struct hk_run *run)
{
  const struct hk_engine_step *step = run->task->step;

  return run->instance->labels && coord_rack_of (c, step)
         && !coord_is_near (run->instance, step);
}

static double
remote_factor (const struct hk_coord *c)
{
  return hk_locality_factor_value (&c->locality.factor);
}

double
coord_run_slowdown (struct hk_coord *c, const struct hk_run *run)
{
  return coord_run_is_remote (c, run) ? remote_factor (c) : 1.0;
}

double
coord_move_speedup (struct hk_coord *c, const struct hk_run *run,
                    const struct hk_instance *in)
{
  double factor = remote_factor (c);
  gboolean near = coord_is_near (in, run->task->step);

  if (factor <= 0 || !coord_rack_of (c, run->task->step)
      || near != coord_run_is_remote (c, run))
    return 1.0;
  return near ? factor : 1.0 / factor;
}

void
coord_view_locality (struct hk_job_place_view *v, const struct hk_instance *in,
                     const struct hk_engine_step *step, int64_t now)
{
  v->near = coord_is_near (in, step);
  v->contested = !v->near && in->near_wanted_until_ms > now;
}

void
coord_locality_learn (struct hk_coord *c, double factor)
{
  hk_locality_factor_learn (&c->locality.factor, factor);
  hk_metric_get ("hyssopkeel_remote_factor", "")->value = remote_factor (c);
}

static void
note_demand (struct coord_rack *rack, int64_t now)
{
  if (rack->queue.last_ms == now)
    return;
  hk_locality_queue_note (&rack->queue, now);
  for (guint i = 0; i < rack->instances->len; i++)
    ((struct hk_instance *)rack->instances->pdata[i])->near_wanted_until_ms
        = now + WANTED_MS;
}

static int64_t
wait_began_ms (const struct hk_engine_task *task, int64_t now)
{
  return task->near_wait_since_ms > 0
                 && task->near_wait_since_ms >= task->ready_ms
             ? task->near_wait_since_ms
             : now;
}

/* Limit of the wait of a task. While nothing of its job runs, the time before
   the wait counts too. */
static int64_t
wait_limit_ms (const struct coord_pass *p, const struct hk_engine_task *task)
{
  if (task->step->job->ran_ms == p->now)
    return HK_LOCALITY_WAIT_MAX_MS;
  return HK_LOCALITY_WAIT_MAX_MS
         - (wait_began_ms (task, p->now) - task->ready_ms);
}

/* A task waits before its first run only, so that the waits of a task whose
   starts fail do not add up. How long one from before a takeover has waited is
   not known. A best-effort task whose turn comes in one of several passes only
   would wait for longer than it is to. */
static gboolean
may_wait (const struct coord_pass *p, const struct hk_engine_task *task)
{
  const struct hk_coord *c = p->c;

  return remote_factor (c) > 1.0
         && !(task->step->spec->flags & HK_STEP_SERVICE) && task->last_run == 0
         && task->ready_ms > c->leading_since_ms && !p->need.starving
         && !coord_store_failing (c, p->now)
         && (!p->need.best_effort || p->n_waiting <= HK_PASS_STEPS_MAX)
         && p->now - wait_began_ms (task, p->now) < wait_limit_ms (p, task);
}

gboolean
coord_locality_defer (struct coord_pass *p, struct hk_engine_task *task)
{
  struct deferred d = { .task = task };
  int best = p->rack ? coord_pass_best (p, task) : -1;

  if (!p->rack || (best >= 0 && p->views[best].near))
    return FALSE;
  note_demand (p->rack, p->now);
  if (best < 0 || !may_wait (p, task))
    return FALSE;
  if (!p->deferred)
    p->deferred = g_array_new (FALSE, FALSE, sizeof (struct deferred));
  d.gain_ms = (remote_factor (p->c) - 1.0)
              * (double)coord_estimate_ms (p->c, task->step);
  d.order = p->deferred->len;
  g_array_append_val (p->deferred, d);
  return TRUE;
}

static int
compare_gains (gconstpointer a, gconstpointer b)
{
  const struct deferred *x = a;
  const struct deferred *y = b;

  if (x->gain_ms != y->gain_ms)
    return x->gain_ms > y->gain_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
wait_begin (struct coord_pass *p, struct hk_engine_task *task,
            const struct hk_locality_view *v, double gain_ms)
{
  if (wait_began_ms (task, p->now) == task->near_wait_since_ms)
    return;
  task->near_wait_since_ms = p->now;
  task->near_wait_expected_ms = (int64_t)v->expected_wait_ms;
  hk_metric_get ("hyssopkeel_locality_waits_total", "")->value++;
  hk_log (HK_LOG_INFO, "locality", NULL, task->step->job->spec.id,
          "event=near_wait step=%u index=%u rack=%.*s "
          "expected_wait_ms=%" G_GINT64_FORMAT " gain_ms=%.0f factor=%.2f "
          "left_ms=%" G_GINT64_FORMAT " limit_ms=%" G_GINT64_FORMAT
          " queued_ms=%" G_GINT64_FORMAT,
          task->step->index, task->index, LOG_RACK_MAX, task->step->spec->rack,
          task->near_wait_expected_ms, gain_ms, v->factor, v->left_ms,
          v->limit_ms, v->queued_ms);
}

static struct hk_locality_view
view_wait (const struct coord_pass *p, const struct hk_engine_task *task,
           const struct coord_rack *rack,
           const struct hk_locality_slots *slots)
{
  const struct hk_order_view *order = &task->step->job->order;
  struct hk_locality_view v = {
    .expected_wait_ms = hk_locality_slots_wait (slots),
    .run_ms = (double)coord_estimate_ms (p->c, task->step),
    .factor = remote_factor (p->c),
    .waited_ms = p->now - wait_began_ms (task, p->now),
    .limit_ms = wait_limit_ms (p, task),
    .queued_ms = hk_locality_queue_age_ms (&rack->queue, p->now),
  };

  v.left_ms = order->objective_ms - order->age_ms
              - MAX (order->critical_path_ms - (int64_t)v.run_ms, 0);
  return v;
}

/* Tasks of a step that wait for a slot on their rack. */
static unsigned
count_near_waiting (const struct hk_engine_step *step)
{
  unsigned n = 0;

  for (unsigned t = 0; step->waiting > 0 && t < step->spec->count; t++)
    {
      const struct hk_engine_task *task = &step->tasks[t];

      n += task->state == HK_TASK_WAITING && task->near_wait_since_ms > 0
           && task->near_wait_since_ms >= task->ready_ms;
    }
  return MIN (n, HK_LOCALITY_SLOTS_MAX);
}

/* Whether tasks of @other queue for slots before one of @step: they are more
   urgent, or gain as much at the same urgency. */
static gboolean
queues_before (struct hk_coord *c, const struct hk_engine_step *other,
               const struct hk_engine_step *step)
{
  const hk_step_spec *spec = other->spec;

  if (other->waiting == 0 || g_strcmp0 (spec->rack, step->spec->rack) != 0
      || (spec->flags & HK_STEP_BEST_EFFORT)
             != (step->spec->flags & HK_STEP_BEST_EFFORT))
    return FALSE;
  if (other->job->spec.urgency != step->job->spec.urgency)
    return other->job->spec.urgency > step->job->spec.urgency;
  return coord_estimate_ms (c, other) >= coord_estimate_ms (c, step);
}

static void
take_slots_of_waiting (struct coord_pass *p, struct hk_locality_slots *slots,
                       const struct hk_engine_step *step)
{
  const struct hk_engine_job *job;

  TAILQ_FOREACH (job, &p->c->engine.active, link)
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    if (queues_before (p->c, &job->steps[i], step))
      for (unsigned n = count_near_waiting (&job->steps[i]); n > 0; n--)
        hk_locality_slots_take (
            slots, (double)coord_estimate_ms (p->c, &job->steps[i]));
}

gboolean
coord_locality_explain (struct coord_pass *p, struct hk_engine_task *task,
                        struct hk_locality_view *v,
                        struct hk_locality_decision *d)
{
  int best = p->rack ? coord_pass_best (p, task) : -1;
  struct hk_locality_slots *slots;

  *d = (struct hk_locality_decision){ 0 };
  if (!p->rack || (best >= 0 && p->views[best].near))
    return FALSE;
  /* Slots that were computed before have been taken by other tasks. */
  p->c->locality.pass++;
  slots = coord_rack_slots (p, p->rack, task->step);
  take_slots_of_waiting (p, slots, task->step);
  *v = view_wait (p, task, p->rack, slots);
  if (best >= 0 && may_wait (p, task))
    *d = hk_locality_decide (v);
  return TRUE;
}

/* Lets the task queue for a slot near its data, or has it placed elsewhere. */
static void
decide (struct coord_pass *p, struct deferred *d)
{
  struct hk_engine_task *task = d->task;
  struct coord_rack *rack = coord_rack_of (p->c, task->step);
  struct hk_locality_slots *slots = coord_rack_slots (p, rack, task->step);
  struct hk_locality_view v = view_wait (p, task, rack, slots);

  d->decision = hk_locality_decide (&v);
  if (!d->decision.wait)
    {
      if (!isinf (v.expected_wait_ms))
        task->near_wait_expected_ms = (int64_t)v.expected_wait_ms;
      else
        task->near_wait_expected_ms = -1;
      return;
    }
  /* Retried like one that fitted nowhere, within the budget of a pass. */
  if (task->step->spec->flags & HK_STEP_BEST_EFFORT)
    task->step->placement_failed_ms = p->now;
  hk_locality_slots_take (slots, v.run_ms);
  wait_begin (p, task, &v, d->decision.gain_ms);
  coord_pass_schedule_in (p->c, d->decision.wait_ms);
}

/* Places the tasks that do not wait, those that gain least first. */
static void
place_elsewhere (struct coord_pass *p)
{
  const struct hk_engine_step *begun = NULL;
  const struct hk_engine_step *failed = NULL;

  for (guint i = p->deferred->len; i > 0; i--)
    {
      struct deferred *d
          = &g_array_index (p->deferred, struct deferred, i - 1);
      struct hk_engine_step *step = d->task->step;

      if (d->decision.wait || step == failed || coord_pass_covers (p, step))
        continue;
      if (step != begun)
        coord_pass_begin_step (p, d->task);
      begun = step;
      if (coord_pass_place (p, d->task))
        {
          p->n_placed++;
          continue;
        }
      coord_pass_failed (p, step);
      failed = step;
    }
}

void
coord_locality_flush (struct coord_pass *p)
{
  if (!p->deferred)
    return;
  g_array_sort (p->deferred, compare_gains);
  for (guint i = 0; i < p->deferred->len; i++)
    decide (p, &g_array_index (p->deferred, struct deferred, i));
  place_elsewhere (p);
  g_clear_pointer (&p->deferred, g_array_unref);
}

void
coord_locality_placed (struct coord_pass *p, const struct hk_engine_task *task,
                       const struct hk_instance *in)
{
  const struct hk_engine_step *step = task->step;
  int64_t waited_ms = p->now - wait_began_ms (task, p->now);
  double factor = remote_factor (p->c);
  gboolean near = coord_is_near (in, step);

  if (!p->rack)
    return;
  hk_metric_get ("hyssopkeel_locality_placed_total",
                 near ? "place=\"near\"" : "place=\"remote\"")
      ->value++;
  hk_histogram_add (hk_histogram_get ("hyssopkeel_locality_wait_seconds", ""),
                    waited_ms * 1000);
  hk_log (HK_LOG_INFO, "locality", in->name, step->job->spec.id,
          "event=near_decided step=%u index=%u rack=%.*s place=%s "
          "waited_ms=%" G_GINT64_FORMAT " expected_wait_ms=%" G_GINT64_FORMAT
          " gain_ms=%.0f factor=%.2f",
          step->index, task->index, LOG_RACK_MAX, step->spec->rack,
          near ? "near" : "remote", waited_ms, task->near_wait_expected_ms,
          factor > 0 ? (factor - 1.0) * (double)coord_estimate_ms (p->c, step)
                     : 0,
          factor);
}

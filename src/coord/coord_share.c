/* Learns from the agents' reports which fillers disturb which serving tasks,
   and tells the agents. */
#include "coord.h"

#include "hyssopkeel/pacing.h"

/* Agents are told what was learned this often. */
#define TELL_MS 1000
/* A filler at this pace or less, percent, ... */
#define MOVE_PACE 25
/* ... for this long is moved, longer than a swing of a tail's noise, ... */
#define MOVE_AFTER_MS 1000
/* ... unless this much work would be lost, percent. */
#define MOVE_LOSS 12
/* Headroom above this tells no more: a tail of few milliseconds is rounded. */
#define HEADROOM_MAX 5.0
/* Variance of one sample of a headroom; measured, docs/MEASUREMENTS.md. */
#define HEADROOM_NOISE 0.05
/* Below this headroom the queue is overfull. */
#define HEADROOM_CROWDED 0.85
/* Older samples of other tasks tell nothing of the load now: a report and a
   half. */
#define SAMPLE_AGE_MAX_MS 700
/* The least headroom of the last seconds is forgotten at this rate, per
   second: loads swing back within some ten. */
#define LOW_RISE 0.15
/* Share of its processors that a serving task uses: the mean of its swings,
   which the tasks of one instance take in turn. */
#define LASTING_USE 0.45

/* Processors that more fillers could use beside what runs, milli. */
int64_t
coord_fill_room (const struct hk_instance *in)
{
  return (int64_t)in->cpu_milli
         - (int64_t)(in->used_cpu_milli - in->last_cpu_milli)
         - (int64_t)(LASTING_USE * in->last_cpu_milli) - in->fill_cpu_milli;
}

static gboolean
serves (const struct hk_run *run)
{
  const hk_step_spec *spec = run->task->step->spec;

  return run->started_ms && spec->target_ms > 0
         && !(spec->flags & HK_STEP_FILLS);
}

static gboolean
fills (const struct hk_run *run)
{
  return run->started_ms && (run->task->step->spec->flags & HK_STEP_FILLS);
}

static void
add_use (GArray *uses, const char *image, double share)
{
  struct hk_pressure_use use = { .image = image, .share = share };

  for (guint i = 0; i < uses->len; i++)
    if (strcmp (g_array_index (uses, struct hk_pressure_use, i).image, image)
        == 0)
      {
        g_array_index (uses, struct hk_pressure_use, i).share += share;
        return;
      }
  g_array_append_val (uses, use);
}

static void
collect_uses (const struct hk_instance *in, GArray *uses)
{
  double total = (double)MAX (in->cpu_milli, 1);
  const struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  if (fills (run) && run->figure > 0)
    add_use (uses, run->task->step->spec->image, (double)run->figure / total);
}

static double
headroom (const struct hk_run *run)
{
  double target = run->task->step->spec->target_ms;

  return MIN (target / MAX (run->figure, 1), HEADROOM_MAX);
}

/* Headroom that a task of the step would have without fillers beside it, from
   its other tasks, since the load of all of them swings together; and from the
   run itself if @own.

   Returns FALSE if no such task has been heard from lately. */
static gboolean
headroom_alone (const struct hk_run *of, gboolean own, int64_t now,
                double *mean, double *variance)
{
  const struct hk_engine_step *step = of->task->step;
  double sum = 0;
  double weights = 0;

  for (unsigned i = 0; i < step->spec->count; i++)
    {
      const struct hk_run *run = step->tasks[i].runs[0];
      double weight;

      if (!run || (run == of && !own)
          || now - run->sampled_ms > SAMPLE_AGE_MAX_MS
          || run->headroom < HEADROOM_CROWDED)
        continue;
      weight = 1.0 / (HEADROOM_NOISE + run->fall_variance);
      sum += weight * (run->headroom + run->fall);
      weights += weight;
    }
  if (weights <= 0)
    return FALSE;
  *mean = sum / weights;
  *variance = 1.0 / weights;
  return TRUE;
}

static void
keep_alone (struct hk_run *run, int64_t before_ms, int64_t now)
{
  double variance;
  double rise = LOW_RISE * (double)(now - before_ms) / 1000.0;

  if (!headroom_alone (run, TRUE, now, &run->alone, &variance))
    run->alone = run->headroom;
  if (!before_ms || run->alone < run->alone_low + rise)
    run->alone_low = run->alone;
  else
    run->alone_low += rise;
}

/* A queue that is overfull tells that something presses, though not how much;
   and it takes its time to empty. */
static void
learn_from (struct hk_coord *c, const struct hk_run *run, double before,
            const GArray *uses, int64_t now)
{
  double alone;
  double variance;
  double fall;

  if (uses->len == 0 || !headroom_alone (run, FALSE, now, &alone, &variance))
    return;
  fall = alone - run->headroom;
  if (run->headroom < HEADROOM_CROWDED
      && (before < HEADROOM_CROWDED || fall < run->fall))
    return;
  hk_pressure_learn (&c->pressure, run->task->step->spec->image, fall,
                     HEADROOM_NOISE + variance,
                     (const struct hk_pressure_use *)uses->data, uses->len);
}

void
coord_share_learn (struct hk_coord *c, struct hk_instance *in, int64_t now)
{
  g_autoptr (GArray) uses
      = g_array_new (FALSE, TRUE, sizeof (struct hk_pressure_use));
  struct hk_run *run;

  collect_uses (in, uses);
  LIST_FOREACH (run, &in->runs, link)
  if (serves (run) && run->figure > 0)
    {
      double before = run->headroom;
      int64_t before_ms = run->sampled_ms;

      run->headroom = headroom (run);
      run->fall = hk_pressure_fall (&c->pressure, run->task->step->spec->image,
                                    (const struct hk_pressure_use *)uses->data,
                                    uses->len, &run->fall_variance);
      run->sampled_ms = now;
      learn_from (c, run, before, uses, now);
      keep_alone (run, before_ms, now);
    }
}

static gboolean
listed (const GArray *rows, const char *serving, const char *filler)
{
  for (guint i = 0; i < rows->len; i++)
    {
      const hk_press_row *row = &g_array_index (rows, hk_press_row, i);

      if (strcmp (row->serving, serving) == 0
          && strcmp (row->filler, filler) == 0)
        return TRUE;
    }
  return FALSE;
}

void
coord_share_tell (struct hk_coord *c, struct coord_link *l, GArray *rows,
                  int64_t now)
{
  struct hk_run *s;
  struct hk_run *f;

  if (now - l->told_press_ms < TELL_MS)
    return;
  l->told_press_ms = now;
  LIST_FOREACH (s, &l->in->runs, link)
  {
    if (!serves (s))
      continue;
    LIST_FOREACH (f, &l->in->runs, link)
    {
      hk_press_row row = { .serving = s->task->step->spec->image,
                           .filler = f->task->step->spec->image };

      if (!(f->task->step->spec->flags & HK_STEP_FILLS)
          || listed (rows, row.serving, row.filler))
        continue;
      row.milli
          = (u_int)(1000
                    * hk_pressure_get (&c->pressure, row.serving, row.filler));
      g_array_append_val (rows, row);
    }
  }
}

/* Whether another serving run of the same image comes earlier in the list. */
static gboolean
counted (const struct hk_run *run)
{
  const char *image = run->task->step->spec->image;
  const struct hk_run *earlier;

  LIST_FOREACH (earlier, &run->instance->runs, link)
  {
    if (earlier == run)
      return FALSE;
    if (earlier->task->step->spec->target_ms > 0
        && strcmp (earlier->task->step->spec->image, image) == 0)
      return TRUE;
  }
  return FALSE;
}

/* What a task that lasts would serve beside, those on their way included. */
void
coord_share_images (const struct hk_instance *in, const char *image,
                    unsigned *same, unsigned *others)
{
  const struct hk_run *run;

  *same = 0;
  *others = 0;
  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;

    if (spec->target_ms == 0 || spec->flags & HK_STEP_FILLS)
      continue;
    if (strcmp (spec->image, image) == 0)
      ++*same;
    else if (!counted (run))
      ++*others;
  }
}

/* Fall of a serving run's headroom by the fillers beside it that press less
   than a new one, those on their way included. */
static double
fall_before (struct hk_coord *c, const struct hk_run *serving, double fall)
{
  const struct hk_instance *in = serving->instance;
  const struct hk_run *run;
  double sum = 0;

  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;
    double own;

    if (!(spec->flags & HK_STEP_FILLS) || run->unwanted)
      continue;
    own = hk_pressure_get (&c->pressure, serving->task->step->spec->image,
                           spec->image)
          * spec->cpu_milli / MAX (in->cpu_milli, 1);
    if (own <= fall)
      sum += own;
  }
  return sum;
}

/* How a filler would fare on an instance, at the load of now and at that of
   the peaks, and what it would cost there. */
void
coord_share_expect (struct hk_coord *c, const struct hk_instance *in,
                    const hk_step_spec *filler, double *pace, double *burden)
{
  const struct hk_run *run;
  double share = (double)filler->cpu_milli / (double)MAX (in->cpu_milli, 1);
  double now = 1.0;
  double later = 1.0;

  *burden = 0;
  LIST_FOREACH (run, &in->runs, link)
  if (serves (run) && run->sampled_ms)
    {
      double fall
          = share
            * hk_pressure_get (&c->pressure, run->task->step->spec->image,
                               filler->image);
      double before = fall_before (c, run, fall);

      now = MIN (now, hk_pacing_expect (run->alone, before, fall));
      later = MIN (later, hk_pacing_expect (run->alone_low, before, fall));
      *burden = MAX (*burden, MIN (fall / run->alone, 1.0));
    }
  *pace = (now + later) / 2;
}

/* A filler that hardly moves goes back to the queue when another instance
   would let it run; its checkpoint goes with it. */
void
coord_share_move (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;

    if (!fills (run) || run->unwanted || run->pace > MOVE_PACE)
      {
        run->slow_since_ms = 0;
        continue;
      }
    if (!run->slow_since_ms)
      run->slow_since_ms = now;
    if (now - run->slow_since_ms < MOVE_AFTER_MS
        || (!(spec->flags & HK_STEP_CHECKPOINTS) && run->percent > MOVE_LOSS)
        || !coord_better_place (c, run->task, in, now))
      continue;
    hk_log (HK_LOG_INFO, "share", in->name, run->task->step->job->spec.id,
            "event=moved step=%u index=%u run=%u pace=%u percent=%u "
            "slow_ms=%" G_GINT64_FORMAT,
            run->task->step->index, run->task->index, run->number, run->pace,
            run->percent, now - run->slow_since_ms);
    run->unwanted = TRUE;
    run->ordered_ms = 0;
    return;
  }
}

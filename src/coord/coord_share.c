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
/* Share of its processors that a serving task uses at its peaks. */
#define LASTING_USE 0.65

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

/* Runs hold the figures of the last report and of the one before. */
void
coord_share_learn (struct hk_coord *c, struct hk_instance *in)
{
  g_autoptr (GArray) uses
      = g_array_new (FALSE, TRUE, sizeof (struct hk_pressure_use));
  double total = (double)MAX (in->cpu_milli, 1);
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  if (fills (run))
    add_use (uses, run->task->step->spec->image,
             ((double)run->figure - run->figure_before) / total);
  LIST_FOREACH (run, &in->runs, link)
  if (serves (run))
    {
      double target = run->task->step->spec->target_ms;

      if (run->figure_before > 0)
        hk_pressure_learn (&c->pressure, run->task->step->spec->image,
                           ((double)run->figure - run->figure_before) / target,
                           (struct hk_pressure_use *)uses->data, uses->len);
    }
  LIST_FOREACH (run, &in->runs, link)
  run->figure_before = run->figure;
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

/* How a filler would fare on an instance, and what it would cost there. */
void
coord_share_expect (struct hk_coord *c, const struct hk_instance *in,
                    const hk_step_spec *filler, double *pace, double *burden)
{
  const struct hk_run *run;
  double share = (double)filler->cpu_milli / (double)MAX (in->cpu_milli, 1);

  *pace = 1.0;
  *burden = 0;
  LIST_FOREACH (run, &in->runs, link)
  if (serves (run))
    {
      double tail
          = (double)run->figure / (double)run->task->step->spec->target_ms;
      double press = hk_pressure_get (
          &c->pressure, run->task->step->spec->image, filler->image);
      double left = MAX (HK_PACING_AIM - tail, 0.01);

      *pace = MIN (*pace, hk_pacing_expect (&tail, &press, 1, share));
      *burden = MAX (*burden, MIN (press * share / left, 1.0));
    }
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

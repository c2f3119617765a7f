/* Learns from the agents' reports which fillers disturb which serving tasks,
   and tells the agents. */
#include "coord.h"

/* Agents are told what was learned this often. */
#define TELL_MS 1000
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

  in->worst_tail = 0;
  LIST_FOREACH (run, &in->runs, link)
  if (fills (run))
    add_use (uses, run->task->step->spec->image,
             ((double)run->figure - run->figure_before) / total);
  LIST_FOREACH (run, &in->runs, link)
  if (serves (run))
    {
      double target = run->task->step->spec->target_ms;

      in->worst_tail = MAX (in->worst_tail, run->figure / target);
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

double
coord_share_press (struct hk_coord *c, const struct hk_instance *in,
                   const char *filler)
{
  const struct hk_run *run;
  double press = 0;

  LIST_FOREACH (run, &in->runs, link)
  if (serves (run))
    press
        = MAX (press, hk_pressure_get (&c->pressure,
                                       run->task->step->spec->image, filler));
  return press;
}

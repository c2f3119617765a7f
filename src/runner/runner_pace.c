/* Paces fillers by the tails of what serves beside them. */
#include "runner.h"

/* Changes of pace smaller than this are not worth a call, percent. */
#define PACE_STEP 4
/* A change shows in the figures after this time: the delay of the order and
   half a second of measuring. */
#define SETTLE_MS 600

static void
on_paced (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
          const struct hk_error *err, void *user)
{
  struct runner_run *run = user;

  (void)list;
  (void)clock_ms;
  run->calls--;
  run->pacing = FALSE;
  if (run->gone)
    {
      if (run->calls == 0)
        runner_run_release (run);
      return;
    }
  if (rc == HK_OK)
    run->pace = run->pace_wanted;
  else
    hk_log (HK_LOG_WARN, "runner", err->peer, run->task.job,
            "event=pace_failed cause=\"%s\"", err->text);
}

static gboolean
serves (const struct runner_run *run)
{
  return run->state == RUN_ALIVE && run->target_ms > 0
         && !(run->flags & HK_STEP_FILLS);
}

static gboolean
fills (const struct runner_run *run)
{
  return run->state == RUN_ALIVE && (run->flags & HK_STEP_FILLS);
}

/* Serving tasks by image, with the least headroom of each. */
static void
collect_serving (const struct hk_runner *r, GPtrArray *images, GArray *rooms)
{
  const struct runner_run *run;

  TAILQ_FOREACH (run, &r->runs, link)
  if (serves (run))
    {
      double room = (double)run->target_ms / MAX (run->figure, 1);
      guint i = 0;

      while (i < images->len && strcmp (images->pdata[i], run->image) != 0)
        i++;
      if (i == images->len)
        {
          g_ptr_array_add (images, run->image);
          g_array_append_val (rooms, room);
        }
      else if (room < g_array_index (rooms, double, i))
        g_array_index (rooms, double, i) = room;
    }
}

static void
order_pace (struct hk_runner *r, struct runner_run *run, unsigned percent,
            int64_t now)
{
  unsigned change
      = run->pace > percent ? run->pace - percent : percent - run->pace;

  if (run->pacing || change == 0
      || (change < PACE_STEP && percent > 0 && percent < 100))
    return;
  run->pacing = TRUE;
  run->calls++;
  run->pace_wanted = percent;
  r->paced_ms = now;
  r->runtime->ops->pace (r->runtime, &run->task, run->number, percent, r->term,
                         on_paced, run);
}

/* One line a run and report, for finding out what presses on what. */
static void
log_sharing (const struct hk_runner *r)
{
  const struct runner_run *run;

  if (!hk_log_enabled (HK_LOG_DEBUG))
    return;
  TAILQ_FOREACH (run, &r->runs, link)
  if (serves (run) || fills (run))
    hk_log (HK_LOG_DEBUG, "pace", NULL, run->task.job,
            "event=sharing image=%s fills=%d figure=%u target=%u pace=%u "
            "cpu=%u",
            run->image, fills (run), run->figure, run->target_ms, run->pace,
            run->cpu_milli);
}

static unsigned
collect_fillers (const struct hk_runner *r, const GPtrArray *images,
                 struct hk_pacing_filler *fillers, double *press)
{
  const struct runner_run *run;
  double total = (double)MAX (r->cpu_milli, 1);
  unsigned n = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (fills (run))
    {
      fillers[n].share = run->cpu_milli / total;
      fillers[n].used = run->figure / total;
      fillers[n].percent = run->pace;
      for (guint t = 0; t < images->len; t++)
        press[n * images->len + t]
            = hk_pressure_get (&r->pressure, images->pdata[t], run->image);
      n++;
    }
  return n;
}

static int64_t
time_over (struct hk_runner *r, const GArray *rooms, int64_t now)
{
  gboolean over = FALSE;

  for (guint t = 0; t < rooms->len; t++)
    over = over || g_array_index (rooms, double, t) <= 1.0;
  if (!over)
    r->over_since_ms = 0;
  else if (!r->over_since_ms)
    r->over_since_ms = now;
  return over ? now - r->over_since_ms : 0;
}

void
runner_pace (struct hk_runner *r, int64_t now)
{
  g_autoptr (GPtrArray) images = g_ptr_array_new ();
  g_autoptr (GArray) rooms = g_array_new (FALSE, FALSE, sizeof (double));
  g_autofree struct hk_pacing_filler *fillers
      = g_new0 (struct hk_pacing_filler, r->n_runs + 1);
  g_autofree double *press = NULL;
  struct hk_pacing_view v = { .fillers = fillers };
  struct runner_run *run;
  unsigned n = 0;

  collect_serving (r, images, rooms);
  v.over_ms = time_over (r, rooms, now);
  press = g_new0 (double, (gsize)(r->n_runs + 1) * (images->len + 1));
  v.n_fillers = collect_fillers (r, images, fillers, press);
  if (v.n_fillers == 0)
    return;
  log_sharing (r);
  v.press = press;
  v.headroom = (const double *)rooms->data;
  v.n_serving = rooms->len;
  v.settled = now - r->paced_ms >= SETTLE_MS;
  hk_pacing_decide (&v);
  TAILQ_FOREACH (run, &r->runs, link)
  if (fills (run))
    order_pace (r, run, fillers[n++].percent, now);
}

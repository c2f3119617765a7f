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

/* Pressure on the serving task that it disturbs most. */
static double
press_of (const struct hk_runner *r, const struct runner_run *filler)
{
  const struct runner_run *run;
  double press = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (serves (run))
    press = MAX (press,
                 hk_pressure_get (&r->pressure, run->image, filler->image));
  return press;
}

static double
worst_tail (const struct hk_runner *r)
{
  const struct runner_run *run;
  double worst = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (serves (run))
    worst = MAX (worst, (double)MAX (run->figure, 1) / run->target_ms);
  return worst;
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

void
runner_pace (struct hk_runner *r, int64_t now)
{
  g_autofree struct hk_pacing_filler *fillers
      = g_new0 (struct hk_pacing_filler, r->n_runs + 1);
  double worst = worst_tail (r);
  double total = (double)MAX (r->cpu_milli, 1);
  struct runner_run *run;
  unsigned n = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (fills (run))
    {
      struct hk_pacing_filler *f = &fillers[n++];

      f->share = run->cpu_milli / total;
      f->used = run->figure / total;
      f->percent = run->pace;
      f->press = press_of (r, run);
    }
  if (n == 0)
    return;
  hk_pacing_decide (fillers, n, worst, now - r->paced_ms >= SETTLE_MS);
  n = 0;
  TAILQ_FOREACH (run, &r->runs, link)
  if (fills (run))
    order_pace (r, run, fillers[n++].percent, now);
}

/* Crashes of endpoints: counts them against the tasks that may have caused
   them, clears the tasks that prove harmless and gives up the others. */
#include "coord.h"

/* The age of a watched run is stored again when it has grown by this much. */
#define AGE_STORE_STEP_MS 500

/* A run that a predecessor placed was not ordered after the takeover. */
static int64_t
run_start_ms (const struct hk_coord *c, const struct hk_run *run)
{
  int64_t start = run->started_ms ? run->started_ms : run->ordered_ms;

  return run->inherited && start ? MIN (start, c->taken_over_ms) : start;
}

/* Age at the last sign of life. A run that a predecessor placed is older than
   it has been known here, and it may be much older. */
static int64_t
run_age_ms (const struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  int64_t start = run_start_ms (c, run);
  int64_t age;

  if (!start)
    return HK_CRASH_AGE_UNKNOWN;
  age = run->started_ms ? MAX (run->alive_ms - start, 0) : now - start;
  return run->inherited && age <= HK_CRASH_QUICK_MS ? HK_CRASH_AGE_UNKNOWN
                                                    : age;
}

/* Time for which a run is known to have lived: until its last sign of life, or
   until a crash after its last report would have been noticed. The first
   report of a run that a predecessor placed may be of before a crash. */
static int64_t
run_alive_ms (const struct hk_coord *c, const struct hk_run *run)
{
  int64_t noticed_ms = hk_authority_terminated_at (&c->authority, 0);
  gboolean is_sign = !run->inherited || run->alive_ms > run->started_ms;
  int64_t last
      = MAX (is_sign ? run->alive_ms : 0, run->reported_ms - noticed_ms);

  return run->started_ms
             ? MAX (last - run_start_ms (c, run) + run->age_before_ms, 0)
             : 0;
}

/* Lets the record of the job tell a successor how old a watched run is. */
static void
age_store (struct hk_coord *c, struct hk_run *run, int64_t now)
{
  int64_t age = now - run_start_ms (c, run) + run->age_before_ms;

  if (!run->started_ms || age < run->age_stored_ms + AGE_STORE_STEP_MS)
    return;
  run->age_stored_ms = age;
  hk_engine_job_mark_dirty (run->task->step->job);
}

static gboolean
is_likely_cause (const struct hk_coord *c, const struct hk_run *run,
                 int64_t now)
{
  int64_t age = run_age_ms (c, run, now);

  return run->watch
         || (age != HK_CRASH_AGE_UNKNOWN && age <= HK_CRASH_QUICK_MS);
}

static void
log_crash (const struct hk_coord *c, const struct hk_instance *in,
           const GPtrArray *runs, unsigned n_causes, const char *why,
           int64_t now)
{
  const struct hk_run *youngest = NULL;

  for (guint i = 0; i < runs->len; i++)
    {
      const struct hk_run *run = runs->pdata[i];

      if (run->may_execute
          && (!youngest
              || run_age_ms (c, run, now) < run_age_ms (c, youngest, now)))
        youngest = run;
    }
  if (!youngest)
    return;
  hk_metric_get ("hyssopkeel_endpoint_crashes_total", "")->value++;
  hk_log (HK_LOG_WARN, "crash", in->name, youngest->task->step->job->spec.id,
          "event=endpoint_crashed why=\"%s\" runs=%u causes=%u step=%u "
          "index=%u run=%u age_ms=%" G_GINT64_FORMAT " crashes=%u",
          why, runs->len, n_causes, youngest->task->step->index,
          youngest->task->index, youngest->number,
          run_age_ms (c, youngest, now), youngest->task->crash.crashes);
}

static void
task_give_up (const struct hk_instance *in, struct hk_run *run, gboolean alone,
              int64_t now)
{
  struct hk_engine_task *task = run->task;

  hk_metric_get ("hyssopkeel_tasks_given_up_total", "")->value++;
  hk_log (HK_LOG_ERROR, "crash", in->name, task->step->job->spec.id,
          "event=task_given_up step=%u index=%u run=%u crashes=%u alone=%d "
          "why=\"endpoints crash under it; its job fails\"",
          task->step->index, task->index, run->number, task->crash.crashes,
          alone);
  hk_engine_task_give_up (task, now, coord_wall_ms ());
}

/* Tasks that last start again however they end. */
static gboolean
may_be_given_up (const struct hk_engine_task *task)
{
  return !(task->step->spec->flags & HK_STEP_SERVICE);
}

static void
log_restart_delay (const struct hk_instance *in, const struct hk_run *run)
{
  const struct hk_engine_task *task = run->task;
  int64_t delay_ms = hk_crash_restart_delay_ms (&task->crash);

  if (delay_ms > 0)
    hk_log (HK_LOG_WARN, "crash", in->name, task->step->job->spec.id,
            "event=restart_delayed step=%u index=%u run=%u crashes=%u "
            "delay_ms=%" G_GINT64_FORMAT "; endpoints crash under the task",
            task->step->index, task->index, run->number, task->crash.crashes,
            delay_ms);
}

/* A speculative attempt may still run elsewhere. */
static void
task_watch (struct hk_engine_task *task)
{
  for (int r = 0; r < HK_RUNS_PER_TASK; r++)
    if (task->runs[r])
      hk_engine_run_watch (task->runs[r], hk_crash_watch_of (&task->crash));
}

/* Records that the endpoint of an instance has crashed under @runs, which have
   not been ended yet. Their tasks may be given up. */
void
coord_crash_apply (struct hk_coord *c, const struct hk_instance *in,
                   const GPtrArray *runs, const char *why, int64_t now)
{
  g_autoptr (GPtrArray) counted = g_ptr_array_new ();
  unsigned n_causes = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      struct hk_run *run = runs->pdata[i];

      if (!run->may_execute || !hk_engine_job_active (run->task->step->job)
          || !hk_crash_count (&run->task->crash, run_age_ms (c, run, now),
                              run_alive_ms (c, run)))
        continue;
      g_ptr_array_add (counted, run);
      if (is_likely_cause (c, run, now))
        n_causes++;
    }
  log_crash (c, in, runs, n_causes, why, now);
  for (guint i = 0; i < counted->len; i++)
    {
      struct hk_run *run = counted->pdata[i];
      gboolean alone = run->watch == HK_CRASH_EXCLUSIVE && n_causes == 1;

      if (!hk_engine_job_active (run->task->step->job))
        continue;
      if (may_be_given_up (run->task)
          && hk_crash_gives_up (&run->task->crash, alone))
        {
          task_give_up (in, run, alone, now);
          continue;
        }
      if (!may_be_given_up (run->task))
        log_restart_delay (in, run);
      task_watch (run->task);
    }
}

static void
clear_if_harmless (const struct hk_coord *c, const struct hk_run *run)
{
  struct hk_engine_task *task = run->task;
  struct hk_crash_history *h = &task->crash;
  int64_t alive = run_alive_ms (c, run);

  if (alive < hk_crash_probation_ms (h->age_ms))
    return;
  hk_log (HK_LOG_INFO, "crash", run->instance->name, task->step->job->spec.id,
          "event=suspect_cleared step=%u index=%u run=%u crashes=%u "
          "alive_ms=%" G_GINT64_FORMAT,
          task->step->index, task->index, run->number, h->crashes, alive);
  h->crashes = 0;
  h->survived_ms = MAX (h->survived_ms, alive);
  task_watch (task);
  hk_engine_job_mark_dirty (task->step->job);
}

/* Clears the suspects whose runs outlived the age at which their endpoints
   crashed. */
void
coord_crash_check (struct hk_coord *c)
{
  struct hk_instance *in;
  struct hk_run *run;

  if (c->engine.n_watched == 0)
    return;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->n_watched > 0)
    LIST_FOREACH (run, &in->runs, link)
  if (run->watch)
    {
      age_store (c, run, hk_clock_ms ());
      clear_if_harmless (c, run);
    }
}

/* Watches the runs of suspects that a predecessor placed. */
void
coord_crash_adopt (struct hk_coord *c)
{
  struct hk_instance *in;
  struct hk_run *run;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  LIST_FOREACH (run, &in->runs, link)
  hk_engine_run_watch (run, hk_crash_watch_of (&run->task->crash));
}

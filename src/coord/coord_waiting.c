/* Reports tasks that wait although there is room, with the reasons for which
   instances do not take them, and runs that no agent reports. */
#include "coord.h"

/* A task is reported once it has waited for this long, and again as often. */
#define REPORT_INTERVAL_MS 1000
/* Steps reported at a time; the others are only counted. */
#define STEPS_MAX 8

static const char *const reason_names[COORD_WAIT_REASONS] = {
  [COORD_WAIT_NONE] = "fits",           [COORD_WAIT_SILENT] = "silent",
  [COORD_WAIT_UNKNOWN] = "unknown",     [COORD_WAIT_LISTED] = "listed",
  [COORD_WAIT_DRAINING] = "draining",   [COORD_WAIT_MISMATCH] = "mismatch",
  [COORD_WAIT_PAUSED] = "paused",       [COORD_WAIT_APART] = "apart",
  [COORD_WAIT_FULL] = "full",           [COORD_WAIT_UNRELIABLE] = "unreliable",
  [COORD_WAIT_HEADROOM] = "headroom",   [COORD_WAIT_SLOW] = "slow",
  [COORD_WAIT_SATURATED] = "saturated", [COORD_WAIT_EVACUATED] = "evacuated",
  [COORD_WAIT_UNREAD] = "unread",       [COORD_WAIT_RAMP] = "ramp",
};

/* What one report has found so far. */
struct report
{
  struct hk_coord *c;
  int64_t now;
  struct coord_pass pass;
  unsigned n_steps;       /* reported */
  unsigned n_waiting;     /* tasks that waited for longer than the interval */
  unsigned n_unconfirmed; /* runs that no report has shown for as long */
};

/* Whether the instance is in service and has the declared resources of the
   step, best-effort runs counted like others. */
static gboolean
has_room (const struct hk_instance *in, const struct hk_engine_step *step,
          int64_t now)
{
  const hk_step_spec *spec = step->spec;

  return coord_instance_obstacle (in, step, now) == COORD_WAIT_NONE
         && (int64_t)in->cpu_milli - in->used_cpu_milli
                    - in->best_effort_cpu_milli
                >= (int64_t)spec->cpu_milli
         && (int64_t)in->memory_mb - in->used_memory_mb
                >= (int64_t)spec->memory_mb
         && (int64_t)in->accelerators - in->used_accelerators
                >= (int64_t)spec->accelerators;
}

const char *
coord_wait_reason_name (enum coord_wait_reason reason)
{
  return reason_names[reason];
}

static void
append_reasons (GString *text, const unsigned *counts)
{
  for (int i = 0; i < COORD_WAIT_REASONS; i++)
    if (counts[i] > 0)
      g_string_append_printf (text, " %s=%u", reason_names[i], counts[i]);
}

static void
report_step (struct report *r, const struct hk_engine_step *step,
             const struct hk_engine_task *oldest)
{
  unsigned counts[COORD_WAIT_REASONS] = { 0 };
  g_autoptr (GString) reasons = NULL;
  struct hk_instance *in;
  unsigned n_room = 0;

  coord_pass_begin_step (&r->pass, oldest);
  TAILQ_FOREACH (in, &r->c->engine.instance_list, next)
  {
    counts[coord_task_obstacle (&r->pass, oldest, in)]++;
    n_room += has_room (in, step, r->now);
  }
  if (n_room == 0)
    return;
  r->n_steps++;
  reasons = g_string_new (NULL);
  append_reasons (reasons, counts);
  hk_log (HK_LOG_INFO, "wait", NULL, step->job->spec.id,
          "event=task_passed_over step=%u index=%u waiting=%u "
          "waited_ms=%" G_GINT64_FORMAT " runs_of_job=%u crashes=%u "
          "tried_ms_ago=%" G_GINT64_FORMAT " starving=%d room=%u%s",
          step->index, oldest->index, step->waiting, r->now - oldest->ready_ms,
          step->job->n_runs, oldest->crash.crashes,
          step->placement_failed_ms ? r->now - step->placement_failed_ms : -1,
          r->pass.need.starving, n_room, reasons->str);
}

static void
check_run (struct report *r, const struct hk_run *run)
{
  const struct hk_instance *in = run->instance;
  int64_t seen_ms = MAX (run->placed_ms, run->reported_ms);
  int64_t until = MAX (in->granted_until_ms, in->inherited_until_ms);

  if (run->to_stop || r->now - seen_ms < REPORT_INTERVAL_MS)
    return;
  if (r->n_unconfirmed++ >= STEPS_MAX)
    return;
  hk_log (HK_LOG_INFO, "wait", in->name, run->task->step->job->spec.id,
          "event=run_unconfirmed step=%u index=%u run=%u "
          "placed_ms_ago=%" G_GINT64_FORMAT " ordered=%d committed=%d "
          "agent_heard_ms_ago=%" G_GINT64_FORMAT
          " released_in_ms=%" G_GINT64_FORMAT,
          run->task->step->index, run->task->index, run->number,
          r->now - run->placed_ms, run->may_execute,
          run->version <= run->task->step->job->committed_version,
          in->last_report_ms ? r->now - in->last_report_ms : -1,
          hk_authority_terminated_at (&r->c->authority, until) - r->now);
}

static void
check_step (struct report *r, const struct hk_engine_step *step)
{
  const struct hk_engine_task *oldest = NULL;

  for (unsigned t = 0; t < step->spec->count; t++)
    {
      const struct hk_engine_task *task = &step->tasks[t];

      for (int i = 0; i < HK_RUNS_PER_TASK; i++)
        if (task->runs[i])
          check_run (r, task->runs[i]);
      if (task->state != HK_TASK_WAITING
          || r->now - task->ready_ms < REPORT_INTERVAL_MS)
        continue;
      r->n_waiting++;
      if (!oldest || task->ready_ms < oldest->ready_ms)
        oldest = task;
    }
  if (oldest && r->n_steps < STEPS_MAX)
    report_step (r, step, oldest);
}

void
coord_waiting_report (struct hk_coord *c, int64_t now)
{
  struct report r = { .c = c, .now = now };
  const struct hk_engine_job *job;

  if (now - c->waiting_reported_ms < REPORT_INTERVAL_MS)
    return;
  c->waiting_reported_ms = now;
  coord_pass_init (&r.pass, c, now);
  TAILQ_FOREACH (job, &c->engine.active, link)
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    if (hk_engine_step_ready (&job->steps[i]))
      check_step (&r, &job->steps[i]);
  hk_metric_get ("hyssopkeel_tasks_waiting", "")->value = r.n_waiting;
  hk_metric_get ("hyssopkeel_runs_unconfirmed", "")->value = r.n_unconfirmed;
  if (r.n_steps == STEPS_MAX || r.n_unconfirmed > STEPS_MAX)
    hk_log (HK_LOG_INFO, "wait", NULL, NULL,
            "event=tasks_waiting tasks=%u runs_unconfirmed=%u steps_logged=%u",
            r.n_waiting, r.n_unconfirmed, r.n_steps);
}

/* State machine of jobs, tasks and runs, and the capacity that runs take on
   their instances. It does no I/O, so that tests can replay any order of
   events. */
#include "hyssopkeel/engine.h"

#include <string.h>

#include "engine_priv.h"

void
hk_engine_init (struct hk_engine *e)
{
  memset (e, 0, sizeof *e);
  e->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  e->instances = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&e->active);
  TAILQ_INIT (&e->ended);
  TAILQ_INIT (&e->dirty);
  TAILQ_INIT (&e->instance_list);
  e->record_max_bytes = HK_ENGINE_RECORD_MAX_BYTES;
}

static const hk_step_spec *
run_spec (const struct hk_run *run)
{
  return run->task->step->spec;
}

/* Adds a run to the resources in use on its instance, or removes it if @sign
   is -1. */
static void
account_resources (struct hk_run *run, int sign)
{
  struct hk_instance *in = run->instance;
  const hk_step_spec *spec = run_spec (run);
  unsigned cpu = (unsigned)sign * spec->cpu_milli;

  if (spec->flags & HK_STEP_BEST_EFFORT)
    in->best_effort_cpu_milli += cpu;
  else
    in->used_cpu_milli += cpu;
  if (spec->flags & HK_STEP_SERVICE)
    in->service_cpu_milli += cpu;
  in->used_memory_mb += (unsigned)sign * spec->memory_mb;
  in->used_accelerators += (unsigned)sign * spec->accelerators;
  in->n_runs += (unsigned)sign;
  in->changes++;
}

struct hk_run *
engine_run_new (struct hk_engine_task *task, struct hk_instance *in,
                unsigned number)
{
  struct hk_run *run = g_new0 (struct hk_run, 1);

  for (int i = 0; i < HK_RUNS_PER_TASK; i++)
    if (!task->runs[i])
      {
        task->runs[i] = run;
        break;
      }
  run->task = task;
  run->instance = in;
  run->number = number;
  run->speed_percent = 100;
  LIST_INSERT_HEAD (&in->runs, run, link);
  task->step->job->n_runs++;
  account_resources (run, 1);
  return run;
}

static void
run_free (struct hk_run *run)
{
  struct hk_engine_task *task = run->task;

  hk_engine_run_watch (run, HK_CRASH_UNWATCHED);
  account_resources (run, -1);
  for (int i = 0; i < HK_RUNS_PER_TASK; i++)
    if (task->runs[i] == run)
      task->runs[i] = NULL;
  LIST_REMOVE (run, link);
  task->step->job->n_runs--;
  g_free (run);
}

struct hk_engine_job *
engine_job_new (struct hk_engine *e, hk_job_spec *spec)
{
  struct hk_engine_job *job = g_new0 (struct hk_engine_job, 1);

  job->engine = e;
  job->spec = *spec;
  memset (spec, 0, sizeof *spec);
  job->steps = g_new0 (struct hk_engine_step, job->spec.steps.steps_len);
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    {
      struct hk_engine_step *step = &job->steps[i];

      step->job = job;
      step->index = i;
      step->spec = &job->spec.steps.steps_val[i];
      step->tasks = g_new0 (struct hk_engine_task, step->spec->count);
      step->waiting = step->spec->count;
      job->n_tasks += step->spec->count;
      for (unsigned t = 0; t < step->spec->count; t++)
        {
          step->tasks[t].step = step;
          step->tasks[t].index = t;
        }
    }
  g_hash_table_insert (e->jobs, job->spec.id, job);
  return job;
}

static void
job_free (struct hk_engine_job *job)
{
  g_hash_table_remove (job->engine->jobs, job->spec.id);
  job->engine->n_tombstones -= job->is_tombstone;
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    {
      struct hk_engine_step *step = &job->steps[i];

      for (unsigned t = 0; t < step->spec->count; t++)
        {
          for (int r = 0; r < HK_RUNS_PER_TASK; r++)
            if (step->tasks[t].runs[r])
              run_free (step->tasks[t].runs[r]);
          g_free (step->tasks[t].checkpoint);
        }
      g_free (step->tasks);
    }
  g_free (job->steps);
  xdr_free ((xdrproc_t)xdr_hk_job_spec, (char *)&job->spec);
  g_free (job);
}

static void
instance_free (struct hk_instance *in)
{
  g_free (in->name);
  g_free (in->domain);
  g_free (in->pool);
  g_free (in->rack);
  g_strfreev (in->labels);
  g_free (in);
}

void
hk_engine_finish (struct hk_engine *e)
{
  struct hk_engine_job *job;
  struct hk_instance *in;

  if (!e->jobs)
    return;
  while ((job = TAILQ_FIRST (&e->active)))
    {
      TAILQ_REMOVE (&e->active, job, link);
      job_free (job);
    }
  while ((job = TAILQ_FIRST (&e->ended)))
    {
      TAILQ_REMOVE (&e->ended, job, link);
      job_free (job);
    }
  while ((in = TAILQ_FIRST (&e->instance_list)))
    {
      TAILQ_REMOVE (&e->instance_list, in, next);
      instance_free (in);
    }
  g_clear_pointer (&e->jobs, g_hash_table_unref);
  g_clear_pointer (&e->instances, g_hash_table_unref);
}

void
hk_engine_job_mark_dirty (struct hk_engine_job *job)
{
  struct hk_engine *e = job->engine;

  job->version++;
  if (job->dirty)
    return;
  job->dirty = TRUE;
  e->n_dirty++;
  TAILQ_INSERT_TAIL (&e->dirty, job, dirty_link);
}

static void
task_ready (struct hk_engine_task *task, int64_t now_ms, int64_t wall_ms)
{
  task->ready_ms = now_ms;
  task->ready_wall_ms = wall_ms;
}

struct hk_engine_job *
hk_engine_submit (struct hk_engine *e, const hk_job_spec *spec, int64_t now_ms,
                  int64_t wall_ms)
{
  hk_job_spec copy = { 0 };
  struct hk_engine_job *job;

  if (engine_copy_spec (&copy, spec) < 0)
    return NULL;
  job = engine_job_new (e, &copy);
  job->accepted_ms = now_ms;
  job->accepted_wall_ms = wall_ms;
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    for (unsigned t = 0; t < job->steps[i].spec->count; t++)
      task_ready (&job->steps[i].tasks[t], now_ms, wall_ms);
  TAILQ_INSERT_TAIL (&e->active, job, link);
  hk_engine_job_mark_dirty (job);
  return job;
}

struct hk_engine_job *
hk_engine_job_find (struct hk_engine *e, const char *id)
{
  return g_hash_table_lookup (e->jobs, id);
}

struct hk_engine_task *
hk_engine_task (struct hk_engine *e, const hk_task_id *id)
{
  struct hk_engine_job *job = hk_engine_job_find (e, id->job);

  if (!job || id->occurrence != 0 || id->step >= job->spec.steps.steps_len
      || id->index >= job->steps[id->step].spec->count)
    return NULL;
  return &job->steps[id->step].tasks[id->index];
}

struct hk_run *
hk_engine_run_find (struct hk_engine_task *task, unsigned number)
{
  for (int i = 0; i < HK_RUNS_PER_TASK; i++)
    if (task->runs[i] && task->runs[i]->number == number)
      return task->runs[i];
  return NULL;
}

void
hk_engine_task_id (hk_task_id *out, const struct hk_engine_task *task)
{
  out->job = task->step->job->spec.id;
  out->occurrence = 0;
  out->step = task->step->index;
  out->index = task->index;
}

gboolean
hk_engine_job_active (const struct hk_engine_job *job)
{
  return job->state == HK_JOB_STATE_QUEUED
         || job->state == HK_JOB_STATE_RUNNING;
}

gboolean
hk_engine_step_ready (const struct hk_engine_step *step)
{
  const hk_step_spec *spec = step->spec;

  for (unsigned i = 0; i < spec->after.after_len; i++)
    {
      const struct hk_engine_step *dependency
          = &step->job->steps[spec->after.after_val[i]];

      if (dependency->done < dependency->spec->count)
        return FALSE;
    }
  return TRUE;
}

static void
mark_to_stop (struct hk_run *run)
{
  run->to_stop = TRUE;
  run->instance->changes++;
}

void
hk_engine_run_stop (struct hk_run *run)
{
  mark_to_stop (run);
  run->ordered_ms = 0;
}

/* The runs keep their capacity until their end is seen. */
static void
mark_runs_to_stop (struct hk_engine_job *job)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    for (unsigned t = 0; t < job->steps[i].spec->count; t++)
      for (int r = 0; r < HK_RUNS_PER_TASK; r++)
        if (job->steps[i].tasks[t].runs[r])
          mark_to_stop (job->steps[i].tasks[t].runs[r]);
}

static void
job_end (struct hk_engine_job *job, enum hk_job_state state, int64_t now_ms,
         int64_t wall_ms)
{
  struct hk_engine *e = job->engine;

  if (!hk_engine_job_active (job))
    return;
  job->state = state;
  job->ended_ms = now_ms;
  job->ended_wall_ms = wall_ms;
  mark_runs_to_stop (job);
  TAILQ_REMOVE (&e->active, job, link);
  TAILQ_INSERT_TAIL (&e->ended, job, link);
  hk_engine_job_mark_dirty (job);
}

void
hk_engine_job_cancel (struct hk_engine_job *job, int64_t now_ms,
                      int64_t wall_ms)
{
  job_end (job, HK_JOB_STATE_CANCELLED, now_ms, wall_ms);
}

struct hk_run *
hk_engine_task_place (struct hk_engine_task *task, struct hk_instance *in,
                      int64_t now_ms)
{
  struct hk_engine_job *job = task->step->job;
  struct hk_run *run = engine_run_new (task, in, ++task->last_run);

  run->placed_ms = now_ms;
  in->placed_ms = now_ms;
  run->instance_start_time_ms = in->start_time_ms;
  if (task->state == HK_TASK_WAITING)
    {
      task->state = HK_TASK_PLACED;
      task->step->waiting--;
    }
  hk_engine_job_mark_dirty (job);
  run->version = job->version;
  return run;
}

static gboolean
all_done (const struct hk_engine_job *job)
{
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    if (job->steps[i].done < job->steps[i].spec->count)
      return FALSE;
  return TRUE;
}

static gboolean
has_active_run (const struct hk_engine_task *task)
{
  for (int i = 0; i < HK_RUNS_PER_TASK; i++)
    if (task->runs[i] && !task->runs[i]->to_stop)
      return TRUE;
  return FALSE;
}

static void
task_complete (struct hk_engine_task *task, int64_t now_ms, int64_t wall_ms)
{
  struct hk_engine_step *step = task->step;

  if (task->state == HK_TASK_WAITING)
    step->waiting--;
  task->state = HK_TASK_DONE;
  step->done++;
  g_clear_pointer (&task->checkpoint, g_free);
  for (int i = 0; i < HK_RUNS_PER_TASK; i++)
    if (task->runs[i])
      mark_to_stop (task->runs[i]);
  if (all_done (step->job))
    job_end (step->job, HK_JOB_STATE_COMPLETED, now_ms, wall_ms);
  else
    for (unsigned i = step->index + 1; i < step->job->spec.steps.steps_len;
         i++)
      for (unsigned t = 0; t < step->job->steps[i].spec->count; t++)
        if (step->job->steps[i].tasks[t].state == HK_TASK_WAITING)
          task_ready (&step->job->steps[i].tasks[t], now_ms, wall_ms);
}

static void
task_fail (struct hk_engine_task *task, int64_t now_ms, int64_t wall_ms)
{
  struct hk_engine_job *job = task->step->job;

  task->failures++;
  if (task->failures < job->spec.max_attempts)
    return;
  task->state = HK_TASK_FAILED;
  job_end (job, HK_JOB_STATE_FAILED, now_ms, wall_ms);
}

void
hk_engine_task_give_up (struct hk_engine_task *task, int64_t now_ms,
                        int64_t wall_ms)
{
  if (task->state == HK_TASK_WAITING)
    task->step->waiting--;
  task->state = HK_TASK_FAILED;
  job_end (task->step->job, HK_JOB_STATE_FAILED, now_ms, wall_ms);
}

/* Only HK_END_FAILED costs an attempt: all other ends are caused by the
   instance, by an order of the coordinator, or count as crashes (see
   crash_blame.h). Service tasks start again however they end. */
void
hk_engine_run_end (struct hk_run *run, hk_end_how how, const char *checkpoint,
                   int64_t now_ms, int64_t wall_ms)
{
  struct hk_engine_task *task = run->task;
  struct hk_engine_job *job = task->step->job;
  gboolean is_service = (task->step->spec->flags & HK_STEP_SERVICE) != 0;

  run_free (run);
  if (how == HK_END_DONE || how == HK_END_FAILED)
    hk_crash_clear (&task->crash);
  if (checkpoint && *checkpoint && task->state != HK_TASK_DONE)
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (checkpoint);
    }
  if (hk_engine_job_active (job) && task->state != HK_TASK_DONE)
    {
      if (how == HK_END_DONE && !is_service)
        task_complete (task, now_ms, wall_ms);
      else if (how == HK_END_FAILED && !is_service)
        task_fail (task, now_ms, wall_ms);
      if (task->state == HK_TASK_PLACED && !has_active_run (task))
        {
          task->state = HK_TASK_WAITING;
          task->step->waiting++;
          task_ready (task, now_ms, wall_ms);
        }
    }
  hk_engine_job_mark_dirty (job);
}

void
hk_engine_job_remove (struct hk_engine_job *job)
{
  struct hk_engine *e = job->engine;

  if (hk_engine_job_active (job))
    TAILQ_REMOVE (&e->active, job, link);
  else
    TAILQ_REMOVE (&e->ended, job, link);
  if (job->dirty)
    {
      TAILQ_REMOVE (&e->dirty, job, dirty_link);
      e->n_dirty--;
    }
  job_free (job);
}

struct hk_instance *
hk_engine_instance_get (struct hk_engine *e, const char *name)
{
  struct hk_instance *in = g_hash_table_lookup (e->instances, name);

  if (in)
    return in;
  in = g_new0 (struct hk_instance, 1);
  in->name = g_strdup (name);
  in->run_time_ratio = 1.0;
  LIST_INIT (&in->runs);
  g_hash_table_insert (e->instances, in->name, in);
  TAILQ_INSERT_TAIL (&e->instance_list, in, next);
  return in;
}

void
hk_engine_instance_remove (struct hk_engine *e, struct hk_instance *in)
{
  g_assert (LIST_EMPTY (&in->runs));
  g_hash_table_remove (e->instances, in->name);
  if (e->cursor == in)
    e->cursor = NULL;
  TAILQ_REMOVE (&e->instance_list, in, next);
  instance_free (in);
}

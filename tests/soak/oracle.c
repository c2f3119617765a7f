/* Checks each start: a task runs in one place at a time, in step order, never
   again once it is done, and not without end if it crashes its workers. */
#include "oracle.h"

#include <string.h>

#include "hyssopkeel/clock.h"

/* After this many crashes under a task that crashes its workers, it may be
   started fewer than STARTS_AFTER_CRASHES more times. */
#define CRASHES_MAX 3
#define STARTS_AFTER_CRASHES 3

void
soak_oracle_init (struct soak_oracle *o)
{
  memset (o, 0, sizeof *o);
  o->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  o->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
soak_oracle_finish (struct soak_oracle *o)
{
  g_hash_table_unref (o->tasks);
  g_hash_table_unref (o->cancelled);
  g_hash_table_unref (o->refused);
}

void
soak_violation (struct soak_oracle *o, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_print ("VIOLATION at %" G_GINT64_FORMAT ": %s\n", hk_clock_ms (), text);
  o->violations++;
}

struct soak_task *
soak_oracle_task (struct soak_oracle *o, const char *name)
{
  struct soak_task *task = g_hash_table_lookup (o->tasks, name);

  if (!task)
    {
      task = g_new0 (struct soak_task, 1);
      g_hash_table_insert (o->tasks, g_strdup (name), task);
    }
  return task;
}

struct soak_task *
soak_oracle_job_task (struct soak_oracle *o, const char *job, int i)
{
  gboolean last = i == SOAK_FIRST_STEP_TASKS;
  g_autofree char *name
      = g_strdup_printf ("%s.0.%d.%d", job, last, last ? 0 : i);

  return soak_oracle_task (o, name);
}

gboolean
soak_oracle_job_started (struct soak_oracle *o, const char *job)
{
  for (int i = 0; i < SOAK_FIRST_STEP_TASKS; i++)
    if (soak_oracle_job_task (o, job, i)->started_ms)
      return TRUE;
  return FALSE;
}

void
soak_oracle_start (struct soak_oracle *o, const char *name, const char *where,
                   gboolean crashes_worker, gboolean late)
{
  struct soak_task *task = soak_oracle_task (o, name);
  g_autofree char *job = g_strndup (name, strcspn (name, "."));

  for (int i = 0; i < SOAK_FIRST_STEP_TASKS; i++)
    if (strstr (name, ".0.1.") && !soak_oracle_job_task (o, job, i)->done)
      soak_violation (o, "%s starts before task %d of step 0 has finished",
                      name, i);
  if (g_hash_table_contains (o->refused, job))
    soak_violation (o, "%s starts on %s though its job was refused", name,
                    where);
  if (task->where)
    soak_violation (o, "%s starts on %s while it runs on %s", name, where,
                    task->where);
  if (task->acked)
    soak_violation (o, "%s starts on %s after it was done", name, where);
  if (!late && g_hash_table_contains (o->cancelled, job))
    soak_violation (o, "%s starts on %s after its job was cancelled", name,
                    where);
  if (crashes_worker && !late && task->crashes >= CRASHES_MAX
      && ++task->starts_after_crashes == STARTS_AFTER_CRASHES)
    soak_violation (o,
                    "%s starts on %s, %d starts after it crashed %d workers",
                    name, where, STARTS_AFTER_CRASHES, CRASHES_MAX);
  task->where = where;
  task->started_ms = hk_clock_ms ();
  o->starts++;
  o->late_starts += late;
}

void
soak_oracle_ack (struct soak_oracle *o, const char *name, int64_t ended_ms)
{
  struct soak_task *task = soak_oracle_task (o, name);

  if (!task->acked && task->started_ms > ended_ms)
    soak_violation (o,
                    "%s was started %" G_GINT64_FORMAT
                    " ms after an end that is acknowledged now",
                    name, task->started_ms - ended_ms);
  task->acked = TRUE;
}

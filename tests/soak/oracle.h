#ifndef SOAK_ORACLE_H
#define SOAK_ORACLE_H

#include <glib.h>

/** Tasks in the first step of each job; the second step has one task. */
#define SOAK_FIRST_STEP_TASKS 3

/** A job may be given up after this many crashes under one of its tasks. */
#define SOAK_CRASHES_FOR_FAILURE 2

/**
 * struct soak_task - what the workers saw of one task.
 * @where: worker that runs it now, or NULL.
 * @started_ms: time of the last start.
 * @done: a run succeeded.
 * @acked: such an end was acknowledged to the worker.
 * @crashes: crashes of workers while they ran it.
 * @starts_after_crashes: starts since the crashes that the rule allows.
 */
struct soak_task
{
  const char *where;
  int64_t started_ms;
  gboolean done;
  gboolean acked;
  unsigned crashes;
  unsigned starts_after_crashes;
};

/**
 * struct soak_oracle - ground truth collected from all workers and clients.
 * @tasks: struct soak_task, by name; names have the form JOB.0.STEP.INDEX.
 * @cancelled: jobs that may start nothing any more, by id: their cancel was
 *             acknowledged and its grace period is over.
 * @refused: jobs for which every attempt to submit was refused so far and none
 *           is open, by id.
 * @starts: runs started.
 * @late_starts: those of @starts that were ordered seconds before.
 * @violations: broken guarantees; each was printed.
 */
struct soak_oracle
{
  GHashTable *tasks;
  GHashTable *cancelled;
  GHashTable *refused;
  unsigned starts;
  unsigned late_starts;
  unsigned violations;
};

/** soak_oracle_init() - start with an empty record. */
void soak_oracle_init (struct soak_oracle *o);

/** soak_oracle_finish() - release all memory held. */
void soak_oracle_finish (struct soak_oracle *o);

/** soak_violation() - count and print a broken guarantee. */
void soak_violation (struct soak_oracle *o, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/** soak_oracle_task() - record of a task, made if there is none. */
struct soak_task *soak_oracle_task (struct soak_oracle *o, const char *name);

/** soak_oracle_job_task() - record of task @i of a job; the task of the second
 * step is number SOAK_FIRST_STEP_TASKS. */
struct soak_task *soak_oracle_job_task (struct soak_oracle *o, const char *job,
                                        int i);

/** soak_oracle_job_started() - whether a task of the first step has started.
 */
gboolean soak_oracle_job_started (struct soak_oracle *o, const char *job);

/**
 * soak_oracle_start() - check and record a start.
 * @name: task.
 * @where: name of the worker; must outlive the oracle.
 * @crashes_worker: the task crashes each worker that starts it.
 * @late: it was ordered seconds before; rules with a time bound don't count.
 */
void soak_oracle_start (struct soak_oracle *o, const char *name,
                        const char *where, gboolean crashes_worker,
                        gboolean late);

/** soak_oracle_ack() - check and record that the end of a successful run, at
 * @ended_ms, was acknowledged. */
void soak_oracle_ack (struct soak_oracle *o, const char *name,
                      int64_t ended_ms);

#endif

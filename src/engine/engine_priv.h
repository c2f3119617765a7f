#ifndef ENGINE_PRIV_H
#define ENGINE_PRIV_H

#include "hyssopkeel/engine.h"

/* Adds a job without runs. Takes the contents of @spec and leaves it zeroed.
 */
struct hk_engine_job *engine_job_new (struct hk_engine *e, hk_job_spec *spec);

/* Makes an ended job a tombstone. */
void engine_tombstone_mark (struct hk_engine_job *job);

/* Adds a run to a free entry of @task->runs, and its resources to @in. */
struct hk_run *engine_run_new (struct hk_engine_task *task,
                               struct hk_instance *in, unsigned number);

/* Fills in the tasks of the job that endpoints crashed under; @out has room
   for all tasks. Returns their number. */
unsigned engine_crashes_collect (const struct hk_engine_job *job,
                                 hk_task_crashes *out);

void engine_crashes_load (struct hk_engine_job *job,
                          const hk_job_crashes *list);

/* Fills in the suspects that wait; @out has room for all tasks. Returns their
   number. */
unsigned engine_waits_collect (const struct hk_engine_job *job,
                               hk_task_wait *out);

/* The same for the ages of their first runs. */
unsigned engine_ages_collect (const struct hk_engine_job *job,
                              hk_run_age *out);

/* Lets the tasks wait since the stored times, and the runs have their ages. */
void engine_waits_load (struct hk_engine_job *job, const hk_job_waits *list,
                        int64_t now_ms, int64_t wall_ms);

/* Deep copy, to be released with xdr_free(). Returns HK_ERR_TOO_BIG and leaves
   @out zeroed if a field is over its limit. */
int engine_copy_spec (hk_job_spec *out, const hk_job_spec *spec);

#endif

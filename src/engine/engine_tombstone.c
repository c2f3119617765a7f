/* Tombstones: ids that were cancelled before a job with them was submitted.
   The record is that of a cancelled job that was never accepted. */
#include <stdlib.h>
#include <string.h>

#include "engine_priv.h"

/* Bounds the memory of ids that clients make up, some 500 bytes each. */
#define TOMBSTONES_MAX 20000

struct hk_engine_job *
hk_engine_tombstone_add (struct hk_engine *e, const char *id,
                         const char *queue, int64_t now_ms, int64_t wall_ms)
{
  hk_job_spec spec = { 0 };
  struct hk_engine_job *job;

  if (e->n_tombstones >= TOMBSTONES_MAX)
    return NULL;
  spec.id = strdup (id);
  spec.queue = strdup (queue);
  spec.pool = strdup ("");
  job = engine_job_new (e, &spec);
  job->state = HK_JOB_STATE_CANCELLED;
  job->ended_ms = now_ms;
  job->ended_wall_ms = wall_ms;
  engine_tombstone_mark (job);
  TAILQ_INSERT_TAIL (&e->ended, job, link);
  hk_engine_job_mark_dirty (job);
  return job;
}

void
engine_tombstone_mark (struct hk_engine_job *job)
{
  job->is_tombstone = TRUE;
  job->engine->n_tombstones++;
}

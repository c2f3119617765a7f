#ifndef MEMORY_RUNTIME_H
#define MEMORY_RUNTIME_H

#include "hyssopkeel/runtime.h"

/**
 * struct memory_runtime - an endpoint in this process, with faults.
 * @base: table of operations.
 * @born_ms: birth time of its lifetime.
 * @work_ms: time that a task takes.
 * @fail_next: so many runs end as failed.
 * @lose_starts: so many starts are carried out without an answer.
 * @delay_starts: so many starts get no answer and are carried out by
 *                memory_runtime_late().
 * @hide_runs: so many lists lack what is alive, as if they were made before it
 *             and overtaken on their way.
 * @dead: every call finds no listener.
 * @started: runs that have begun.
 * @most: most runs of one task that were alive at once.
 * @after_done: runs that began after one of the same task had ended well.
 * @seen: ends that were noted.
 */
struct memory_runtime
{
  struct hk_runtime base;
  int64_t born_ms;
  int64_t work_ms;
  int fail_next;
  int lose_starts;
  int delay_starts;
  int hide_runs;
  gboolean dead;
  int started;
  int most;
  int after_done;
  int refused;
  uint64_t seen;
  uint64_t next_seq;
  uint64_t fence;
  int64_t lease_ms;
  GPtrArray *runs;
  GPtrArray *late;
};

/** memory_runtime_init() - an endpoint that runs nothing. */
void memory_runtime_init (struct memory_runtime *rt);

/** memory_runtime_finish() - release. */
void memory_runtime_finish (struct memory_runtime *rt);

/** memory_runtime_late() - carry out the delayed starts now. */
void memory_runtime_late (struct memory_runtime *rt);

/** memory_runtime_reborn() - crash and start again as a new lifetime. */
void memory_runtime_reborn (struct memory_runtime *rt);

/** memory_runtime_alive() - number of runs alive. */
int memory_runtime_alive (struct memory_runtime *rt);

#endif

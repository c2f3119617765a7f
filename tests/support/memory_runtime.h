#ifndef MEMORY_RUNTIME_H
#define MEMORY_RUNTIME_H

#include "hyssopkeel/runtime.h"

/**
 * struct memory_runtime - in-process fake of an endpoint, with fault
 * injection.
 * @base: table of operations.
 * @start_time_ms: start time of its incarnation.
 * @instance: name of its incarnation.
 * @addressed: incarnation that calls are addressed to; NULL for any.
 * @work_ms: duration of a task.
 * @fail_next: number of next runs that end as failed.
 * @drop_start_replies: number of next starts that take effect but time out.
 * @delay_starts: number of next starts that time out and take effect only in
 *                memory_runtime_apply_delayed().
 * @delayed_ignore_fence: delayed starts are carried out whatever the fence
 * says, as if the endpoint had checked it when they came.
 * @drop_throttle_replies: number of next throttle calls that take effect but
 *                         time out.
 * @delay_throttles: number of next throttle calls that time out and take
 *                   effect only in memory_runtime_apply_delayed().
 * @stale_lists: number of next lists without running tasks, as if made before
 *               these started and overtaken by the replies to the starts.
 * @unreachable: every call fails as if no process listened.
 * @silent: calls time out and have no effect.
 * @capacity: runs that it has room for.
 * @rejects_excess: starts beyond @capacity are refused.
 * @stop_ms: duration of a stop.
 * @checkpoint_bytes: length of the checkpoints that its runs make; 0: none.
 * @resumed_bytes: longest checkpoint that a start carried.
 * @n_start_calls: starts received.
 * @n_throttle_calls: throttle calls received.
 * @n_started: runs that started.
 * @n_excess_starts: runs that started beyond @capacity.
 * @max_concurrent_runs: most runs of one task that ran at the same time.
 * @started_after_done: runs that started after one of the same task succeeded.
 * @n_refused: delayed starts that were refused.
 * @acked_seq: ends up to this one were acknowledged.
 * @next_seq: sequence number of the next end.
 * @fence: highest coordinator term seen.
 * @lease_end_ms: end of the leases of all runs.
 * @runs: running and ended runs.
 * @delayed: starts that wait for memory_runtime_apply_delayed().
 * @delayed_throttles: throttle calls that wait for it.
 */
struct memory_runtime
{
  struct hk_runtime base;
  int64_t start_time_ms;
  const char *instance;
  char *addressed;
  int64_t work_ms;
  int fail_next;
  int drop_start_replies;
  int delay_starts;
  gboolean delayed_ignore_fence;
  int drop_throttle_replies;
  int delay_throttles;
  int stale_lists;
  gboolean unreachable;
  gboolean silent;
  int capacity;
  gboolean rejects_excess;
  int64_t stop_ms;
  size_t checkpoint_bytes;
  size_t resumed_bytes;
  int n_start_calls;
  int n_throttle_calls;
  int n_started;
  int n_excess_starts;
  int max_concurrent_runs;
  int started_after_done;
  int n_refused;
  uint64_t acked_seq;
  uint64_t next_seq;
  uint64_t fence;
  int64_t lease_end_ms;
  GPtrArray *runs;
  GPtrArray *delayed;
  GPtrArray *delayed_throttles;
};

/** memory_runtime_init() - endpoint without runs. */
void memory_runtime_init (struct memory_runtime *rt);

/** memory_runtime_finish() - release. */
void memory_runtime_finish (struct memory_runtime *rt);

/** memory_runtime_apply_delayed() - carry out the delayed calls now. */
void memory_runtime_apply_delayed (struct memory_runtime *rt);

/** memory_runtime_restart() - crash and restart as a new incarnation. */
void memory_runtime_restart (struct memory_runtime *rt);

/** memory_runtime_end_all() - end all running tasks as done. */
void memory_runtime_end_all (struct memory_runtime *rt);

/** memory_runtime_n_running() - number of running tasks. */
int memory_runtime_n_running (struct memory_runtime *rt);

/** memory_runtime_set_speed() - set the speed of all runs, percent of full
 * speed. */
void memory_runtime_set_speed (struct memory_runtime *rt, unsigned percent);

/** memory_runtime_least_speed() - speed of the slowest running task, percent
 * of full speed; 100 without one. */
unsigned memory_runtime_least_speed (struct memory_runtime *rt);

#endif

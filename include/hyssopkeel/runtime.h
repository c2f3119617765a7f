#ifndef HYSSOPKEEL_RUNTIME_H
#define HYSSOPKEEL_RUNTIME_H

#include "hyssopkeel/error.h"
#include "hyssopkeel/hk_job_xdr.h"

/**
 * struct hk_runtime_run - a run that the endpoint lists as running.
 * @task: task; @task.job is owned by the list.
 * @run: number of the run.
 * @checkpoint: newest checkpoint, "" if there is none, or NULL if it cannot be
 *              represented; of any length.
 * @percent: progress.
 * @load_sample: tail latency in ms of a service task, else milli-CPUs in use.
 */
struct hk_runtime_run
{
  hk_task_id task;
  unsigned run;
  char *checkpoint;
  unsigned percent;
  unsigned load_sample;
};

/**
 * struct hk_runtime_end - a run that the endpoint lists as ended.
 * @task: task; @task.job is owned by the list.
 * @run: number of the run.
 * @seq: sequence number of the end; starts from 1 in each incarnation.
 * @how: how it ended.
 * @checkpoint: as in struct hk_runtime_run.
 */
struct hk_runtime_end
{
  hk_task_id task;
  unsigned run;
  uint64_t seq;
  hk_end_how how;
  char *checkpoint;
};

/**
 * struct hk_runtime_list - running and ended runs of an endpoint.
 * @clock_ms: its monotonic clock.
 * @start_time_ms: start time of the incarnation that replied; 0 if unknown.
 * @runs: @n_runs running runs.
 * @ends: @n_ends ended runs that are not acknowledged, by @seq.
 */
struct hk_runtime_list
{
  int64_t clock_ms;
  int64_t start_time_ms;
  struct hk_runtime_run *runs;
  size_t n_runs;
  struct hk_runtime_end *ends;
  size_t n_ends;
};

/**
 * struct hk_runtime_start - order to start a run.
 * @task: task to start.
 * @run: number of the run.
 * @deadline_ms: on the endpoint's clock; the order is void afterwards. Also
 *               extends the leases of all runs there to that time.
 * @fence: term of the coordinator; the endpoint refuses older terms.
 * @checkpoint: checkpoint to resume from, or "".
 * @payload: text of the job, @payload_len bytes.
 */
struct hk_runtime_start
{
  hk_task_id task;
  unsigned run;
  int64_t deadline_ms;
  uint64_t fence;
  const char *checkpoint;
  const char *payload;
  size_t payload_len;
};

/**
 * hk_runtime_done - reply to a call.
 * @rc: 0; HK_ERR_CONFLICT if refused permanently; HK_ERR_FULL if refused for
 *      now; HK_ERR_UNAVAILABLE if not sent or not carried out;
 *      HK_ERR_NOT_FOUND if another incarnation replied; another negative code
 *      if the effect is unknown.
 * @list: start time, of any reply that has one; runs and ends, of a renewal
 *        only; valid during the callback.
 * @clock_ms: the endpoint's clock, 0 if unknown.
 * @err: cause on failure; @err->text holds the reason of a refusal.
 * @user: argument given with the call.
 */
typedef void (*hk_runtime_done) (int rc, const struct hk_runtime_list *list,
                                 int64_t clock_ms, const struct hk_error *err,
                                 void *user);

struct hk_runtime;

/**
 * struct hk_runtime_ops - operations of an endpoint that runs tasks.
 * @start: start a run; repeating it with the same run number has no effect.
 * @stop: stop a run, and refuse a start of it that arrives later.
 * @renew: extend the leases of all runs to @deadline_ms (0: do not extend),
 *         drop ends up to @acked_seq, and list runs and ends; waits up to
 *         @wait_ms for a run to end.
 * @throttle: limit a run to @percent of its full speed.
 * @identify: ask the incarnation @instance for its start time, and change
 *            nothing there; HK_ERR_NOT_FOUND if it does not live any more.
 * @address: send later calls to the incarnation @instance only, so that others
 *           reject them.
 */
struct hk_runtime_ops
{
  void (*start) (struct hk_runtime *rt, const struct hk_runtime_start *order,
                 hk_runtime_done done, void *user);
  void (*stop) (struct hk_runtime *rt, const hk_task_id *task, unsigned run,
                uint64_t fence, hk_runtime_done done, void *user);
  void (*renew) (struct hk_runtime *rt, int64_t deadline_ms, uint64_t fence,
                 uint64_t acked_seq, int64_t wait_ms, hk_runtime_done done,
                 void *user);
  void (*throttle) (struct hk_runtime *rt, const hk_task_id *task,
                    unsigned run, unsigned percent, uint64_t fence,
                    hk_runtime_done done, void *user);
  void (*identify) (struct hk_runtime *rt, const char *instance,
                    uint64_t fence, hk_runtime_done done, void *user);
  void (*address) (struct hk_runtime *rt, const char *instance);
};

/**
 * struct hk_runtime - connection to the endpoint of an agent.
 * @ops: operations of its kind.
 */
struct hk_runtime
{
  const struct hk_runtime_ops *ops;
};

#endif

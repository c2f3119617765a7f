#ifndef HYSSOPKEEL_RUNTIME_H
#define HYSSOPKEEL_RUNTIME_H

#include "hyssopkeel/error.h"
#include "hyssopkeel/hk_job_xdr.h"

/**
 * struct hk_runtime_run - a run that the endpoint says is alive.
 * @task: task; @task.job is owned.
 * @run: number of the run.
 * @checkpoint: newest checkpoint, or "".
 * @percent: progress.
 * @figure: tail latency in ms of a serving task, else processor in use, milli.
 */
struct hk_runtime_run
{
  hk_task_id task;
  unsigned run;
  char *checkpoint;
  unsigned percent;
  unsigned figure;
};

/**
 * struct hk_runtime_end - a run that the endpoint says is over.
 * @seq: number of the end; counts from 1 in each lifetime.
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
 * struct hk_runtime_list - what an endpoint runs.
 * @clock_ms: its steady clock.
 * @born_ms: birth time of the lifetime that answered; 0 if not told.
 */
struct hk_runtime_list
{
  int64_t clock_ms;
  int64_t born_ms;
  struct hk_runtime_run *runs;
  size_t n_runs;
  struct hk_runtime_end *ends;
  size_t n_ends;
};

/**
 * struct hk_runtime_start - order to begin a run.
 * @deadline_ms: on the endpoint's clock; the order is void afterwards, and
 *               everything there may run until then.
 * @fence: term of the coordinator.
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
 * hk_runtime_done - answer to a call.
 * @rc: 0; HK_ERR_CONFLICT if it was refused for good; HK_ERR_FULL if it was
 *      refused for now; HK_ERR_UNAVAILABLE if it was not sent or not carried
 *      out; HK_ERR_NOT_FOUND if another lifetime answered; another negative
 *      code if its effect is unknown.
 * @list: what runs, of a hold only.
 * @clock_ms: the endpoint's clock, 0 if not told.
 * @err: cause on failure; @err->text holds the refusal.
 * @user: argument given with the call.
 */
typedef void (*hk_runtime_done) (int rc, const struct hk_runtime_list *list,
                                 int64_t clock_ms, const struct hk_error *err,
                                 void *user);

struct hk_runtime;

/**
 * struct hk_runtime_ops - a kind of endpoint that runs tasks.
 * @start: begin a run.
 * @stop: end a run, and refuse it should it still arrive.
 * @hold: extend what runs to @deadline_ms (0: do not extend), forget ends up
 *        to @seen, and list; waits up to @wait_ms for an end.
 * @pace: let a run work at @percent of its speed.
 */
struct hk_runtime_ops
{
  void (*start) (struct hk_runtime *rt, const struct hk_runtime_start *order,
                 hk_runtime_done done, void *user);
  void (*stop) (struct hk_runtime *rt, const hk_task_id *task, unsigned run,
                uint64_t fence, hk_runtime_done done, void *user);
  void (*hold) (struct hk_runtime *rt, int64_t deadline_ms, uint64_t fence,
                uint64_t seen, int64_t wait_ms, hk_runtime_done done,
                void *user);
  void (*pace) (struct hk_runtime *rt, const hk_task_id *task, unsigned run,
                unsigned percent, uint64_t fence, hk_runtime_done done,
                void *user);
};

/** struct hk_runtime - connection to the endpoint beside an agent. */
struct hk_runtime
{
  const struct hk_runtime_ops *ops;
};

#endif

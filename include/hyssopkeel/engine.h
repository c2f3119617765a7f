#ifndef HYSSOPKEEL_ENGINE_H
#define HYSSOPKEEL_ENGINE_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

#include "hyssopkeel/crash_blame.h"
#include "hyssopkeel/error.h"
#include "hyssopkeel/hk_job_xdr.h"
#include "hyssopkeel/load_trend.h"
#include "hyssopkeel/order.h"

enum hk_job_state
{
  HK_JOB_STATE_QUEUED,
  HK_JOB_STATE_RUNNING,
  HK_JOB_STATE_COMPLETED,
  HK_JOB_STATE_FAILED,
  HK_JOB_STATE_CANCELLED
};

enum hk_task_state
{
  HK_TASK_WAITING,
  HK_TASK_PLACED,
  HK_TASK_DONE,
  HK_TASK_FAILED
};

struct hk_engine;
struct hk_engine_job;
struct hk_engine_step;
struct hk_engine_task;
struct hk_instance;

/**
 * struct hk_run - one execution of a task on one instance, kept until its end
 *                 is reported or certain.
 * @task: task that it executes.
 * @instance: instance on which it was placed.
 * @instance_start_time_ms: start time of the incarnation of the instance on
 *                          which it was placed.
 * @number: run number, rising within the task.
 * @version: version of the job that must be committed before the run may be
 *           ordered.
 * @placed_ms: time of the placement, hk_clock_ms().
 * @started_ms: time of the first report that shows it running; 0 before.
 * @ordered_ms: time of the last order sent for it, or of the first report that
 *              shows it; 0 if the agent is to get an order. Says nothing about
 *              earlier orders: see @may_execute.
 * @progress_percent: progress last reported, 0 to 100.
 * @load_sample: last reported tail latency in ms if the step has a latency
 *               target, else CPUs in use, milli.
 * @headroom: of a service run, its target over its tail latency.
 * @headroom_loss: estimated part of @headroom that the best-effort runs on the
 *                 instance take; @headroom_loss_variance is its variance.
 * @saturated_since_ms: time since which the queue of a service run has been
 *                      saturated; 0 if it is not.
 * @sampled_ms: time of the report from which the headrooms were computed.
 * @speed_percent: speed, percent of full speed.
 * @to_stop: the run is to be stopped; it takes capacity until its end.
 * @inherited: placed by a predecessor.
 * @may_execute: a start order was sent, by this process or perhaps by a
 *               predecessor, or a report showed it; it ends only by a report
 *               or with proof that it has terminated. Never reset.
 * @spec_requested: the agent does not know what the run is and needs the start
 *                  order again.
 * @reported_ms: time of the last report that shows it.
 * @full_speed_ms: run time up to @reported_ms, weighted by speed.
 * @progress_ms: time of the last report with more progress, or of the first.
 * @progress_full_speed_ms: @full_speed_ms at @progress_ms.
 * @alive_ms: time of the last report that shows a sign of life since the one
 *            before: other progress or another load sample. Reports repeat
 *            the last list until the agent notices a crash of the endpoint.
 * @throttled_since_ms: time since which its speed has been so low that it
 *                      may be moved; 0 if it is not.
 * @expected_speed: of a best-effort run, the fraction of its full speed that
 *                  was expected when it was placed; owned by the coordinator,
 *                  as the next ones.
 * @expected_first: the same for the first horizon alone.
 * @expected_usage: share of the headroom that best-effort runs were expected
 *                  to take with it.
 * @unknown_pairs: service images beside it, then, whose interference with its
 *                 image had not been observed.
 * @sample_age_ms: age of the instance's last report then.
 * @still_ms: time for which reports showed it at speed 0.
 * @stills: periods of speed 0.
 * @age_stored_ms: age for the record of its job, if it is watched.
 * @age_before_ms: the same, as a predecessor stored it; no more than its age
 *                 at the takeover.
 * @watch: how it is separated from other runs; see hk_engine_run_watch().
 */
struct hk_run
{
  struct hk_engine_task *task;
  struct hk_instance *instance;
  int64_t instance_start_time_ms;
  unsigned number;
  uint64_t version;
  int64_t placed_ms;
  int64_t started_ms;
  int64_t ordered_ms;
  unsigned progress_percent;
  unsigned load_sample;
  double headroom;
  double headroom_loss;
  double headroom_loss_variance;
  int64_t saturated_since_ms;
  int64_t sampled_ms;
  unsigned speed_percent;
  gboolean to_stop;
  gboolean inherited;
  gboolean may_execute;
  gboolean spec_requested;
  int64_t reported_ms;
  double full_speed_ms;
  int64_t progress_ms;
  double progress_full_speed_ms;
  int64_t alive_ms;
  int64_t throttled_since_ms;
  double expected_speed;
  double expected_first;
  double expected_usage;
  unsigned unknown_pairs;
  int64_t sample_age_ms;
  int64_t still_ms;
  unsigned stills;
  int64_t age_stored_ms;
  int64_t age_before_ms;
  enum hk_crash_watch watch;
  LIST_ENTRY (hk_run) link;
};

/** HK_RUNS_PER_TASK - the first run of a task and one speculative attempt. */
#define HK_RUNS_PER_TASK 2

/**
 * struct hk_engine_task - one task of a step.
 * @step: step that owns it.
 * @index: index in @tasks of the step.
 * @state: state; HK_TASK_PLACED while a run may execute it.
 * @last_run: highest run number used.
 * @failures: runs that failed.
 * @ready_ms: time of the last event that could make it ready: submission, the
 *            end of a task of an earlier step, or the end of its own run.
 * @ready_wall_ms: the same, time of day; 0 if unknown.
 * @checkpoint: newest checkpoint, or NULL.
 * @crash: crashes of endpoints that it may have caused.
 * @give_up_at_ms: it is given up then, unless its last crash turns out to have
 *                 another cause; 0 if it is not.
 * @reserved_until_ms: it waits until then for an instance that is kept free of
 *                     other starts.
 * @near_wait_since_ms: time at which it was first kept waiting for a slot near
 *                      its data; of an earlier wait if before @ready_ms. Owned
 *                      by the coordinator, like @near_wait_expected_ms.
 * @near_wait_expected_ms: wait that was expected then.
 * @runs: runs that may be executing; more than one only if the step is
 *        speculative.
 */
struct hk_engine_task
{
  struct hk_engine_step *step;
  unsigned index;
  enum hk_task_state state;
  unsigned last_run;
  unsigned failures;
  int64_t ready_ms;
  int64_t ready_wall_ms;
  char *checkpoint;
  struct hk_crash_history crash;
  int64_t give_up_at_ms;
  int64_t reserved_until_ms;
  int64_t near_wait_since_ms;
  int64_t near_wait_expected_ms;
  struct hk_run *runs[HK_RUNS_PER_TASK];
};

/**
 * struct hk_engine_step - one step of a job.
 * @job: job that owns it.
 * @index: index in @steps of the job.
 * @spec: part of the submission; owned by the job.
 * @tasks: @spec->count tasks.
 * @waiting: tasks that wait for placement.
 * @done: tasks that completed.
 * @placement_failed_ms: time at which a task last fitted nowhere.
 * @image: number of @spec->image in the coordinator's interference model.
 * @image_generation: generation of the model in which @image is valid.
 * @load: of service tasks, their load; owned by the coordinator.
 */
struct hk_engine_step
{
  struct hk_engine_job *job;
  unsigned index;
  const hk_step_spec *spec;
  struct hk_engine_task *tasks;
  unsigned waiting;
  unsigned done;
  int64_t placement_failed_ms;
  unsigned image;
  unsigned image_generation;
  struct hk_load_trend load;
};

/**
 * struct hk_engine_job - a job with its steps.
 * @engine: engine that owns it.
 * @spec: submission.
 * @state: state by the events so far, committed or not.
 * @sent_state: state in the last commit that was sent.
 * @visible_state: state in the last successful commit; clients see this one.
 * @version: rises with each change.
 * @sent_version: version in the last commit that was sent; 0 if none.
 * @committed_version: version in the store; 0 if none.
 * @spec_stored: the store has the submission.
 * @sent_keeps_spec: the store has it after the last commit that was sent.
 * @started: a run of the job has started; of a loaded job, one was placed.
 * @accepted_ms: time of acceptance, hk_clock_ms().
 * @accepted_wall_ms: the same as time of day, milliseconds since 1970.
 * @ended_ms: time of the end, hk_clock_ms(); valid only once it has ended.
 * @ended_wall_ms: the same as time of day, milliseconds since 1970.
 * @n_tasks: tasks of all steps.
 * @n_runs: runs whose end has not been seen.
 * @ran_ms: last time at which one was seen to run; 0 if never, owned by the
 *          coordinator.
 * @n_watched: those that are watched.
 * @steps: one for each step of @spec.
 * @run_time_ratio_sum: sum of measured over declared run time, of
 *                      @run_time_samples finished runs.
 * @near_ratio_sum: the same of runs near their data, of @near_samples runs.
 * @near_samples: finished runs in @near_ratio_sum.
 * @order: input of the job order, as computed at @order_ms for
 *         @order_version; owned by the coordinator.
 * @order_ms: time at which @order was computed.
 * @order_version: @version for which @order was computed.
 * @is_tombstone: no such job was ever accepted, and none may be: its id was
 *                cancelled before.
 * @dirty: it has changes that no commit carries yet.
 * @n_checkpoints_left_out: checkpoints that its last record had no room for; a
 *                          successor starts these tasks from the beginning.
 * @records_too_big: its last records were over the limit and were not sent.
 * @user: list of callers that wait for a commit; owned by the coordinator.
 */
struct hk_engine_job
{
  struct hk_engine *engine;
  hk_job_spec spec;
  enum hk_job_state state;
  enum hk_job_state sent_state;
  enum hk_job_state visible_state;
  uint64_t version;
  uint64_t sent_version;
  uint64_t committed_version;
  gboolean spec_stored;
  gboolean sent_keeps_spec;
  gboolean started;
  int64_t accepted_ms;
  int64_t accepted_wall_ms;
  int64_t ended_ms;
  int64_t ended_wall_ms;
  unsigned n_tasks;
  unsigned n_runs;
  int64_t ran_ms;
  unsigned n_watched;
  unsigned n_checkpoints_left_out;
  gboolean records_too_big;
  gboolean is_tombstone;
  struct hk_engine_step *steps;
  double run_time_ratio_sum;
  unsigned run_time_samples;
  double near_ratio_sum;
  unsigned near_samples;
  struct hk_order_view order;
  int64_t order_ms;
  uint64_t order_version;
  gboolean dirty;
  void *user;
  TAILQ_ENTRY (hk_engine_job) dirty_link;
  TAILQ_ENTRY (hk_engine_job) link;
};

/**
 * struct hk_instance - an agent and its endpoint.
 * @name: name of the agent.
 * @domain: failure domain.
 * @pool: pool that it belongs to.
 * @rack: unused.
 * @labels: NULL-terminated list, or NULL.
 * @start_time_ms: start time of the present incarnation; 0 if not known.
 * @capacity_known: the agent has reported pool, labels and capacity.
 * @draining: no new runs may start.
 * @evacuated: its failure domain is evacuated: no new runs may start.
 * @ramp_until_ms: its domain was restored; starts are spread until then.
 * @placed_ms: time at which a run was last placed here; 0 if never.
 * @leaving: the agent or its endpoint is about to stop.
 * @drain_until_ms: deadline of the drain; its runs end with the instance.
 * @cpu_milli: CPUs, milli.
 * @memory_mb: memory, megabytes.
 * @accelerators: number of accelerators.
 * @last_report_ms: time of the last report; 0 if none.
 * @granted_until_ms: no lease grant of this process to the agent lasts longer.
 * @inherited_until_ms: no lease grant of a predecessor lasts longer.
 * @listed_silent: the store may list it as silent, so it gets no lease grant.
 * @in_last_list: the last list of silent agents that was sent names it.
 * @used_cpu_milli: CPUs declared by all runs except best-effort ones, milli.
 * @best_effort_cpu_milli: CPUs declared by best-effort runs, milli.
 * @service_cpu_milli: part of @used_cpu_milli declared by service runs.
 * @used_memory_mb: memory declared by all runs, megabytes.
 * @used_accelerators: accelerators declared by all runs.
 * @orphaned_cpu_milli: unused.
 * @orphaned_memory_mb: unused.
 * @n_runs: number of @runs.
 * @n_watched: watched runs.
 * @n_exclusive: part of @n_watched beside which nothing may start.
 * @reserved_until_ms: until then only an exclusive run may start.
 * @reservable_from_ms: not reserved again before this time.
 * @crashed_start_time_ms: start time of the last incarnation of which a crash
 *                         was reported; 0 if none.
 * @failure_rate: moving average of the share of runs that failed, 0 to 1.
 * @run_time_ratio: moving average of measured over expected run time; 1 is
 *                  normal.
 * @suspect_until_ms: time at which @failure_rate and @run_time_ratio expire.
 * @refusals: starts refused in a row, those within a pause counted once.
 * @refused_until_ms: no new runs before this time, as a start was refused.
 * @near_wanted_until_ms: until then tasks with data on its rack are taken to
 *                        wait for its slots; owned by the coordinator.
 * @runs: runs placed here whose end has not been seen.
 * @changes: rises with each change of @runs and each report.
 * @link: connection state, owned by the coordinator.
 */
struct hk_instance
{
  char *name;
  char *domain;
  char *pool;
  char *rack;
  char **labels;
  int64_t start_time_ms;
  gboolean capacity_known;
  gboolean draining;
  gboolean evacuated;
  int64_t ramp_until_ms;
  int64_t placed_ms;
  gboolean leaving;
  int64_t drain_until_ms;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  int64_t last_report_ms;
  int64_t granted_until_ms;
  int64_t inherited_until_ms;
  gboolean listed_silent;
  gboolean in_last_list;
  unsigned used_cpu_milli;
  unsigned best_effort_cpu_milli;
  unsigned service_cpu_milli;
  unsigned used_memory_mb;
  unsigned used_accelerators;
  unsigned orphaned_cpu_milli;
  unsigned orphaned_memory_mb;
  unsigned n_runs;
  unsigned n_watched;
  unsigned n_exclusive;
  int64_t reserved_until_ms;
  int64_t reservable_from_ms;
  int64_t crashed_start_time_ms;
  double failure_rate;
  double run_time_ratio;
  int64_t suspect_until_ms;
  unsigned refusals;
  int64_t refused_until_ms;
  int64_t near_wanted_until_ms;
  LIST_HEAD (, hk_run) runs;
  uint64_t changes;
  void *link;
  TAILQ_ENTRY (hk_instance) next;
};

/** HK_ENGINE_RECORD_MAX_BYTES - default limit of a record, bytes. Fits the 1
 * MiB of the platform's store also where that counts the base64 text. */
#define HK_ENGINE_RECORD_MAX_BYTES 786432

/**
 * struct hk_engine - jobs, their runs and the instances they run on.
 *
 * A state machine without I/O: callers pass in times and events, and commit
 * the records of dirty jobs. A change makes a job dirty; it is clean while a
 * commit carries it, and dirty again if that commit fails.
 *
 * @jobs: by id.
 * @instances: by name.
 * @active: jobs that have not ended.
 * @ended: jobs that have ended and are still kept.
 * @dirty: @n_dirty jobs with changes to commit, oldest change first.
 * @instance_list: the same as @instances, in order of creation.
 * @cursor: next instance in turn as a candidate; NULL for the first one.
 * @n_watched: watched runs on all instances.
 * @n_tombstones: tombstones among @ended.
 * @record_max_bytes: limit of each record of a job in the store.
 */
struct hk_engine
{
  GHashTable *jobs;
  GHashTable *instances;
  TAILQ_HEAD (, hk_engine_job) active;
  TAILQ_HEAD (, hk_engine_job) ended;
  TAILQ_HEAD (, hk_engine_job) dirty;
  TAILQ_HEAD (hk_instance_list, hk_instance) instance_list;
  struct hk_instance *cursor;
  unsigned n_watched;
  unsigned n_dirty;
  unsigned n_tombstones;
  size_t record_max_bytes;
};

/** hk_engine_init() - initialize an engine that the caller has allocated. */
void hk_engine_init (struct hk_engine *e);

/** hk_engine_finish() - free all jobs and instances. */
void hk_engine_finish (struct hk_engine *e);

/**
 * hk_engine_spec_check() - validate a submission.
 * @spec: submission.
 * @record_max_bytes: limit of its record in the store.
 * @err: filled with the violated rule on failure.
 *
 * Return: 0 or HK_ERR_INVALID.
 */
int hk_engine_spec_check (const hk_job_spec *spec, size_t record_max_bytes,
                          struct hk_error *err);

/**
 * hk_engine_submit() - add a new job, which is dirty afterwards.
 * @e: engine.
 * @spec: submission validated by hk_engine_spec_check(); its contents are
 * copied.
 * @now_ms: current time, hk_clock_ms().
 * @wall_ms: current time of day, milliseconds since 1970.
 *
 * Return: the job, owned by the engine; NULL if a field is over its limit in
 * hk_job.x.
 */
struct hk_engine_job *hk_engine_submit (struct hk_engine *e,
                                        const hk_job_spec *spec,
                                        int64_t now_ms, int64_t wall_ms);

/** hk_engine_job_find() - look a job up by id; NULL if there is none. */
struct hk_engine_job *hk_engine_job_find (struct hk_engine *e, const char *id);

/** hk_engine_task() - look a task up by id; NULL if there is none. */
struct hk_engine_task *hk_engine_task (struct hk_engine *e,
                                       const hk_task_id *id);

/**
 * hk_engine_job_cancel() - end a job as cancelled and mark its runs to be
 * stopped.
 * @job: job; nothing happens if it has ended already.
 * @now_ms: current time, hk_clock_ms().
 * @wall_ms: current time of day, milliseconds since 1970.
 */
void hk_engine_job_cancel (struct hk_engine_job *job, int64_t now_ms,
                           int64_t wall_ms);

/**
 * hk_engine_tombstone_add() - remember that no job may be submitted under an
 * id.
 * @e: engine.
 * @id: id that no job has.
 * @queue: queue that the cancellation named.
 * @now_ms: current time, hk_clock_ms().
 * @wall_ms: current time of day, milliseconds since 1970.
 *
 * It is kept as long as jobs that ended at the same time.
 *
 * Return: the tombstone, dirty and owned by the engine; NULL if there are too
 * many.
 */
struct hk_engine_job *
hk_engine_tombstone_add (struct hk_engine *e, const char *id,
                         const char *queue, int64_t now_ms, int64_t wall_ms);

/** hk_engine_step_ready() - whether all steps that it depends on are done. */
gboolean hk_engine_step_ready (const struct hk_engine_step *step);

/**
 * hk_engine_task_place() - create a run of a task on an instance.
 * @task: task without a run, or with one run if its step is speculative.
 * @in: instance; its capacity is not checked.
 * @now_ms: current time, hk_clock_ms().
 *
 * Return: the run; it may be ordered once its @version is committed.
 */
struct hk_run *hk_engine_task_place (struct hk_engine_task *task,
                                     struct hk_instance *in, int64_t now_ms);

/**
 * hk_engine_run_end() - record the end of a run and update its task and job.
 * @run: run; freed.
 * @how: how it ended; only HK_END_FAILED counts as a failed attempt.
 * @checkpoint: checkpoint reported with the end, or "".
 * @now_ms: current time, hk_clock_ms().
 * @wall_ms: current time of day, milliseconds since 1970.
 */
void hk_engine_run_end (struct hk_run *run, hk_end_how how,
                        const char *checkpoint, int64_t now_ms,
                        int64_t wall_ms);

/**
 * hk_engine_run_watch() - separate a run from others, or end that.
 * @run: run of a task that may crash its endpoint.
 * @watch: level.
 */
void hk_engine_run_watch (struct hk_run *run, enum hk_crash_watch watch);

/** hk_engine_task_give_up() - fail a task, and its job, however it may be
 * retried otherwise; its runs are marked to be stopped. */
void hk_engine_task_give_up (struct hk_engine_task *task, int64_t now_ms,
                             int64_t wall_ms);

/** hk_engine_run_stop() - mark a run to be stopped; the order is sent anew. */
void hk_engine_run_stop (struct hk_run *run);

/** hk_engine_run_find() - look a run up by number; NULL if there is none. */
struct hk_run *hk_engine_run_find (struct hk_engine_task *task,
                                   unsigned number);

/** hk_engine_job_mark_dirty() - raise the version of a changed job and mark it
 * dirty.
 */
void hk_engine_job_mark_dirty (struct hk_engine_job *job);

/** hk_engine_job_remove() - remove a job and its runs from the engine and free
 * it.
 */
void hk_engine_job_remove (struct hk_engine_job *job);

/** hk_engine_instance_get() - look an instance up by name, or create it. */
struct hk_instance *hk_engine_instance_get (struct hk_engine *e,
                                            const char *name);

/** hk_engine_instance_remove() - remove and free an instance without runs. */
void hk_engine_instance_remove (struct hk_engine *e, struct hk_instance *in);

/** hk_engine_task_id() - id of a task for messages; its strings stay owned by
 * the job. */
void hk_engine_task_id (hk_task_id *out, const struct hk_engine_task *task);

/** hk_engine_job_active() - whether the job has not ended, so that more runs
 * may start. */
gboolean hk_engine_job_active (const struct hk_engine_job *job);

/**
 * hk_engine_encode_spec() - encode the submission of a job for the store.
 * @out: encoded bytes, to be released with g_free().
 * @len: length of @out.
 * @job: job.
 *
 * Return: 0 or HK_ERR_TOO_BIG.
 */
int hk_engine_encode_spec (char **out, size_t *len,
                           const struct hk_engine_job *job);

/** hk_engine_encode_progress() - like hk_engine_encode_spec(), for the
 * progress of the job. Checkpoints beyond the limit of a record are left out
 * and counted in @n_checkpoints_left_out of the job. */
int hk_engine_encode_progress (char **out, size_t *len,
                               struct hk_engine_job *job);

/**
 * hk_engine_job_load() - restore a job from its records in the store.
 * @e: engine.
 * @id: job id.
 * @spec: encoded submission; NULL if the job has ended.
 * @spec_len: length of @spec.
 * @progress: encoded progress.
 * @progress_len: length of @progress.
 * @now_ms: current time, hk_clock_ms().
 * @wall_ms: current time of day, milliseconds since 1970.
 * @err: filled on failure.
 *
 * Return: 0 or HK_ERR_PROTOCOL.
 */
int hk_engine_job_load (struct hk_engine *e, const char *id, const char *spec,
                        size_t spec_len, const char *progress,
                        size_t progress_len, int64_t now_ms, int64_t wall_ms,
                        struct hk_error *err);

#endif

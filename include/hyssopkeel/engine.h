#ifndef HYSSOPKEEL_ENGINE_H
#define HYSSOPKEEL_ENGINE_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

#include "hyssopkeel/error.h"
#include "hyssopkeel/hk_job_xdr.h"

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
 * struct hk_run - one start of a task on one instance, until its end is seen.
 * @task: task it is a run of.
 * @instance: where it was placed.
 * @born_ms: lifetime of the instance it was placed on, as its birth time.
 * @number: rises with each run of the task.
 * @version: version of the job whose commit makes it valid.
 * @placed_ms: time of the decision, hk_clock_ms().
 * @started_ms: time of the first report that it runs; 0 before.
 * @percent: progress that was last reported.
 * @figure: load or tail latency that was last reported.
 * @headroom: of a serving run, its target over its tail latency.
 * @fall: what the fillers beside it take from that, by what is known;
 *        @fall_variance tells how surely.
 * @alone: headroom it would have without them, by its step's other runs too;
 *         @alone_low is the least of the last seconds.
 * @sampled_ms: time of the report that these come from.
 * @pace: share of its speed it is allowed, percent.
 * @unwanted: it is to be stopped, and holds its room until its end is seen.
 * @ordered_ms: time of the last order about it; 0 if it is known to nobody.
 * @undescribed: its agent has asked what the run is.
 * @reported_ms: time of the last report that showed it.
 * @progress_ms: time at which @percent last rose.
 * @worked_ms: time it has run until then, weighted by its pace.
 * @slow_since_ms: time since which its pace has been too low; 0 if it is not.
 * @inherited: placed by an earlier coordinator, which may have ordered it.
 */
struct hk_run
{
  struct hk_engine_task *task;
  struct hk_instance *instance;
  int64_t born_ms;
  unsigned number;
  uint64_t version;
  int64_t placed_ms;
  int64_t started_ms;
  int64_t ordered_ms;
  unsigned percent;
  unsigned figure;
  double headroom;
  double headroom_loss;
  double headroom_loss_variance;
  double baseline_headroom;
  double baseline_headroom_low;
  int64_t sampled_ms;
  unsigned pace;
  gboolean unwanted;
  gboolean inherited;
  gboolean undescribed;
  int64_t reported_ms;
  double worked_ms;
  int64_t progress_ms;
  int64_t throttled_since_ms;
  LIST_ENTRY (hk_run) link;
};

#define HK_RUNS_PER_TASK 2

/**
 * struct hk_engine_task - one task of a step.
 * @runs: runs that may be alive; more than one only for speculative steps.
 * @last_run: highest run number given out.
 * @failures: runs that ended by failure.
 * @checkpoint: newest checkpoint, or NULL.
 */
struct hk_engine_task
{
  struct hk_engine_step *step;
  unsigned index;
  enum hk_task_state state;
  unsigned last_run;
  unsigned failures;
  int64_t ready_ms;
  char *checkpoint;
  struct hk_run *runs[HK_RUNS_PER_TASK];
};

/**
 * struct hk_engine_step - one step of a job.
 * @waiting: tasks without a run that may still be needed.
 * @done: tasks that ended well.
 */
struct hk_engine_step
{
  struct hk_engine_job *job;
  unsigned index;
  const hk_step_spec *spec;
  struct hk_engine_task *tasks;
  unsigned waiting;
  unsigned done;
  int64_t tried_ms;
};

/**
 * struct hk_engine_job - a job with its steps.
 * @spec: what the caller submitted.
 * @version: counts changes.
 * @sent: version in the commit on its way.
 * @committed: version in the store; 0 if none.
 * @stored_spec: the text is in the store.
 * @sent_live: the commit on its way keeps the text.
 * @shown: state by the last commit, which callers are shown.
 * @n_runs: runs alive.
 * @ratio_sum: of run times to declared ones, over @samples ended tasks.
 * @order_class: what can still be made of it; see hk_order_class().
 * @order_key: its place in the order of work at the last pass.
 * @user: list of callers that wait for a commit; owned by the coordinator.
 */
struct hk_engine_job
{
  struct hk_engine *engine;
  hk_job_spec spec;
  enum hk_job_state state;
  enum hk_job_state sent_state;
  enum hk_job_state shown;
  uint64_t version;
  uint64_t sent;
  uint64_t committed;
  gboolean stored_spec;
  gboolean sent_live;
  gboolean started;
  int64_t accepted_ms;
  int64_t accepted_wall_ms;
  int64_t ended_ms;
  int64_t ended_wall_ms;
  unsigned n_tasks;
  unsigned n_runs;
  struct hk_engine_step *steps;
  double ratio_sum;
  unsigned samples;
  unsigned order_class;
  double order_key;
  gboolean dirty;
  void *user;
  TAILQ_ENTRY (hk_engine_job) dirty_link;
  TAILQ_ENTRY (hk_engine_job) link;
};

/**
 * struct hk_instance - an agent with the endpoint beside it.
 * @name: the agent's name.
 * @born_ms: birth time of the lifetime in use; 0 if not known.
 * @described: the capacity and labels are known.
 * @heard_ms: time of the last report; 0 if none.
 * @granted_until_ms: no grant of this process to the agent reaches past this.
 * @inherited_until_ms: nor does one of an earlier coordinator past this.
 * @used_cpu_milli: of runs that count against the capacity.
 * @fill_cpu_milli: of runs that take what is left.
 * @last_cpu_milli: of the counted runs, those that last.
 * @link: connection state, owned by the coordinator.
 */
struct hk_instance
{
  char *name;
  char *domain;
  char *pool;
  char *rack;
  char **labels;
  int64_t born_ms;
  gboolean described;
  gboolean draining;
  gboolean leaving;
  int64_t drain_until_ms;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  int64_t heard_ms;
  int64_t granted_until_ms;
  int64_t inherited_until_ms;
  unsigned used_cpu_milli;
  unsigned fill_cpu_milli;
  unsigned last_cpu_milli;
  unsigned used_memory_mb;
  unsigned used_accelerators;
  unsigned stray_cpu_milli;
  unsigned stray_memory_mb;
  unsigned n_runs;
  double failure_score;
  double slowness;
  int64_t suspect_until_ms;
  LIST_HEAD (, hk_run) runs;
  void *link;
  TAILQ_ENTRY (hk_instance) next;
};

/**
 * struct hk_engine - jobs, their runs and the instances they run on.
 *
 * A state machine without I/O: times and events come in, records to commit
 * go out. A change of a job makes it dirty until a commit has stored it.
 */
struct hk_engine
{
  GHashTable *jobs;
  GHashTable *instances;
  TAILQ_HEAD (, hk_engine_job) active;
  TAILQ_HEAD (, hk_engine_job) ended;
  TAILQ_HEAD (, hk_engine_job) dirty;
  TAILQ_HEAD (hk_instance_list, hk_instance) instance_list;
  unsigned n_dirty;
};

/** hk_engine_init() - prepare an empty engine in memory of the caller. */
void hk_engine_init (struct hk_engine *e);

/** hk_engine_finish() - release all jobs and instances. */
void hk_engine_finish (struct hk_engine *e);

/**
 * hk_engine_check() - whether a submission makes sense.
 * @spec: submission.
 * @err: filled with the rule that is broken.
 *
 * Return: 0 or HK_ERR_INVALID.
 */
int hk_engine_check (const hk_job_spec *spec, struct hk_error *err);

/**
 * hk_engine_submit() - take a new job; it is dirty afterwards.
 * @e: engine.
 * @spec: submission that was checked; its contents are copied.
 * @now_ms: hk_clock_ms().
 * @wall_ms: time of day, milliseconds since 1970.
 *
 * Return: the job.
 */
struct hk_engine_job *hk_engine_submit (struct hk_engine *e,
                                        const hk_job_spec *spec,
                                        int64_t now_ms, int64_t wall_ms);

/** hk_engine_find() - job by id, or NULL. */
struct hk_engine_job *hk_engine_find (struct hk_engine *e, const char *id);

/** hk_engine_task() - task by its id, or NULL. */
struct hk_engine_task *hk_engine_task (struct hk_engine *e,
                                       const hk_task_id *id);

/** hk_engine_cancel() - end a job; its runs become unwanted. */
void hk_engine_cancel (struct hk_engine_job *job, int64_t now_ms,
                       int64_t wall_ms);

/** hk_engine_step_ready() - whether all steps before it are done. */
gboolean hk_engine_step_ready (const struct hk_engine_step *step);

/**
 * hk_engine_place() - give a task a run on an instance.
 * @task: task without a run, or a speculative one with a free place.
 * @in: instance; room is not checked here.
 * @now_ms: hk_clock_ms().
 *
 * Return: the run; it may be ordered once its version is committed.
 */
struct hk_run *hk_engine_place (struct hk_engine_task *task,
                                struct hk_instance *in, int64_t now_ms);

/**
 * hk_engine_end() - take note of the end of a run; the run is freed.
 * @run: run.
 * @how: how it ended.
 * @checkpoint: checkpoint reported with the end, or "".
 * @now_ms: hk_clock_ms().
 * @wall_ms: time of day, milliseconds since 1970.
 */
void hk_engine_end (struct hk_run *run, hk_end_how how, const char *checkpoint,
                    int64_t now_ms, int64_t wall_ms);

/** hk_engine_find_run() - run of a task by its number, or NULL. */
struct hk_run *hk_engine_find_run (struct hk_engine_task *task,
                                   unsigned number);

/** hk_engine_touch() - make a job dirty after a change. */
void hk_engine_touch (struct hk_engine_job *job);

/** hk_engine_forget() - drop an ended job from memory. */
void hk_engine_forget (struct hk_engine_job *job);

/** hk_engine_instance() - instance by its agent's name; made if missing. */
struct hk_instance *hk_engine_instance (struct hk_engine *e, const char *name);

/** hk_engine_instance_drop() - forget an instance without runs. */
void hk_engine_instance_drop (struct hk_engine *e, struct hk_instance *in);

/** hk_engine_task_id() - name of a task for messages; texts stay shared. */
void hk_engine_task_id (hk_task_id *out, const struct hk_engine_task *task);

/** hk_engine_wants() - whether more runs of this job may start. */
gboolean hk_engine_wants (const struct hk_engine_job *job);

/**
 * hk_engine_encode_spec() - bytes of a submission for the store.
 * @out: bytes, to be released with g_free().
 * @len: their number.
 * @job: job.
 *
 * Return: 0 or HK_ERR_TOO_BIG.
 */
int hk_engine_encode_spec (char **out, size_t *len,
                           const struct hk_engine_job *job);

/** hk_engine_encode_progress() - like hk_engine_encode_spec(), of progress. */
int hk_engine_encode_progress (char **out, size_t *len,
                               const struct hk_engine_job *job);

/**
 * hk_engine_load() - take a job from its records.
 * @e: engine.
 * @id: job id.
 * @spec: bytes of the submission; NULL for a job that ended.
 * @spec_len: their number.
 * @progress: bytes of the progress.
 * @progress_len: their number.
 * @now_ms: hk_clock_ms().
 * @wall_ms: time of day.
 * @err: filled on failure.
 *
 * Return: 0 or HK_ERR_PROTOCOL.
 */
int hk_engine_load (struct hk_engine *e, const char *id, const char *spec,
                    size_t spec_len, const char *progress, size_t progress_len,
                    int64_t now_ms, int64_t wall_ms, struct hk_error *err);

#endif

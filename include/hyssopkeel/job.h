#ifndef HYSSOPKEEL_JOB_H
#define HYSSOPKEEL_JOB_H

#include "hyssopkeel/json.h"

enum hk_job_state
{
  HK_JOB_QUEUED,
  HK_JOB_RUNNING,
  HK_JOB_PARKED,
  HK_JOB_DONE,
  HK_JOB_FAILED,
  HK_JOB_CANCELLED
};

/**
 * struct hk_job - job record in the store.
 * @id: identifier, also the last part of its key.
 * @route: route that it was submitted to.
 * @team: team whose quota it counts against, may be NULL.
 * @payload: text passed to the worker, may be NULL.
 * @work_ms: declared run time, milliseconds; 0 if unknown.
 * @cpu_milli: CPUs to reserve, thousandths.
 * @memory_mb: memory to reserve, megabytes.
 * @accelerators: accelerators to reserve.
 * @state_name: name of @state in the record.
 * @state: current state.
 * @epoch: number of claims so far; only the newest epoch may change the job.
 * @holder: session ID of the agent that runs it, NULL unless running.
 * @instance: name of the instance that runs it.
 * @boot: boot ID of the worker that runs it.
 * @worker_lease_ms: duration of its lease at the worker, milliseconds.
 * @checkpoint: progress to resume from, may be NULL.
 * @result: result of a completed job, may be NULL.
 * @reason: why it is parked, failed or was last evicted, may be NULL.
 * @attempts: runs that failed, or crashed a worker that ran no other job.
 * @evictions: runs that were evicted.
 * @failed_on: instances where it failed, may be NULL. The entry
 *             "crashed:INSTANCE" marks a suspect, see hk_job_is_suspect().
 * @cancel: cancellation was requested.
 * @submitted_ms: wall-clock time of submission, milliseconds since 1970.
 * @started_ms: wall-clock time of the first start, 0 if none; milliseconds
 *              since 1970.
 * @write_id: unique ID of the last write.
 * @mod_revision: store revision of the record; not part of the value.
 */
struct hk_job
{
  char *id;
  char *route;
  char *team;
  char *payload;
  int64_t work_ms;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  char *state_name;
  enum hk_job_state state;
  int64_t epoch;
  char *holder;
  char *instance;
  char *boot;
  int64_t worker_lease_ms;
  char *checkpoint;
  char *result;
  char *reason;
  int64_t attempts;
  int64_t evictions;
  char **failed_on;
  gboolean cancel;
  int64_t submitted_ms;
  int64_t started_ms;
  char *write_id;
  int64_t mod_revision;
};

/**
 * hk_job_finish() - free the fields of a record.
 * @job: record, zeroed on return.
 */
void hk_job_finish (struct hk_job *job);

/**
 * hk_job_parse() - parse the JSON text of a record.
 * @job: zeroed record to fill.
 * @text: value of the key.
 * @len: length of @text in bytes.
 * @err: filled on failure.
 *
 * Return: 0 or HK_ERR_INVALID; @job is left zeroed on failure.
 */
int hk_job_parse (struct hk_job *job, const char *text, size_t len,
                  struct hk_error *err);

/**
 * hk_job_write() - format a record as JSON.
 * @job: record.
 *
 * Return: newly allocated JSON text.
 */
char *hk_job_write (const struct hk_job *job);

/**
 * hk_job_set_state() - set the state and its name.
 * @job: record.
 * @state: new state.
 */
void hk_job_set_state (struct hk_job *job, enum hk_job_state state);

/**
 * hk_job_state_name() - name of a state in records.
 * @state: state.
 *
 * Return: static string.
 */
const char *hk_job_state_name (enum hk_job_state state);

/**
 * hk_job_ended() - whether a job is in a final state.
 * @job: record.
 *
 * Return: TRUE if done, failed or cancelled.
 */
gboolean hk_job_ended (const struct hk_job *job);

/**
 * hk_job_requeue() - return a running job to the queue, or cancel it if that
 * was requested.
 * @job: record; holder, instance and boot ID are cleared, the checkpoint is
 *       kept.
 */
void hk_job_requeue (struct hk_job *job);

/**
 * hk_job_add_failure() - end a run that failed.
 * @job: record; requeued, or failed for good after several such runs.
 * @instance: name of the instance.
 */
void hk_job_add_failure (struct hk_job *job, const char *instance);

/**
 * hk_job_is_suspect() - whether a worker crashed while it ran the job.
 * @job: record.
 *
 * Return: TRUE if the job must not run beside other jobs, so that a further
 * crash shows whether it is the cause.
 */
gboolean hk_job_is_suspect (const struct hk_job *job);

/**
 * hk_job_add_crash() - end a run during which the worker crashed.
 * @job: record; a suspect from now on, and requeued or failed for good.
 * @instance: name of the instance.
 * @alone: whether the worker ran no other job, so that the crash counts as a
 *         failure of this one.
 */
void hk_job_add_crash (struct hk_job *job, const char *instance,
                       gboolean alone);

/**
 * hk_job_key() - store key of a job.
 * @id: job ID.
 *
 * Return: newly allocated key.
 */
char *hk_job_key (const char *id);

#endif

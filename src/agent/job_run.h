#ifndef HYSSOPKEEL_JOB_RUN_H
#define HYSSOPKEEL_JOB_RUN_H

#include "agent.h"

enum hk_job_phase
{
  HK_PHASE_CLAIM,   /* the claim is being written */
  HK_PHASE_START,   /* the worker was asked to start the task */
  HK_PHASE_RUN,     /* the task runs, or is suspended as its lease expired */
  HK_PHASE_RECLAIM, /* a claim under a new session is being written */
  HK_PHASE_STOP,    /* the worker was asked to stop the task */
  HK_PHASE_RECORD,  /* the task has ended; its outcome is being written */
  HK_PHASE_DISCARD  /* recorded or superseded; the task is being removed */
};

enum hk_job_outcome
{
  HK_JOB_OUTCOME_REQUEUE, /* requeued, or cancelled on request */
  HK_JOB_OUTCOME_DONE,
  HK_JOB_OUTCOME_FAILED,
  HK_JOB_OUTCOME_CRASHED /* the worker crashed while it had the task */
};

/**
 * struct hk_agent_job - a job that this agent claims or holds.
 * @owner: jobs task whose list has this job.
 * @job: record as last committed to the store, with the checkpoint, result,
 *       memory use and reason reported since.
 * @phase: step of the life cycle.
 * @route: interned route name.
 * @size: capacity booked for it; zero slots once released.
 * @offer_call: offer RPC to reply to after the claim, or NULL.
 * @on_worker: whether the worker may have the task.
 * @may_have_run: whether the task may have run on the worker; FALSE if the
 *                connection for its start was refused.
 * @call_in_flight: whether a call to the worker is in flight.
 * @discard_pending: whether the task must be discarded once that call ends.
 * @missed_listings: consecutive listings without the task.
 * @write_id: id of the write in flight, or NULL.
 * @next: record that is being written.
 * @outcome: how the task ended, valid in HK_PHASE_RECORD.
 * @crashed_alone: whether a worker that crashed ran no other job, valid for
 *                 HK_JOB_OUTCOME_CRASHED.
 * @evicted: whether a requeue counts as an eviction.
 * @checkpoint_at_ms: next time at which the checkpoint is stored, on
 *                    hk_clock_ms().
 * @started_ms: when this agent took the job, on hk_clock_ms(); the newest of
 *              equally urgent tasks is evicted first.
 * @retry_timer: delay before a failed call or write is repeated.
 * @link: entry of the list of jobs.
 */
struct hk_agent_job
{
  struct hk_agent_jobs *owner;
  struct hk_job job;
  enum hk_job_phase phase;
  const char *route;
  struct hk_size size;
  struct hk_rpc_request *offer_call;
  gboolean on_worker;
  gboolean may_have_run;
  gboolean call_in_flight;
  gboolean discard_pending;
  int missed_listings;
  char *write_id;
  struct hk_job next;
  enum hk_job_outcome outcome;
  gboolean crashed_alone;
  gboolean evicted;
  int64_t checkpoint_at_ms;
  int64_t started_ms;
  struct hk_timer retry_timer;
  TAILQ_ENTRY (hk_agent_job) link;
};

/**
 * hk_agent_jobs_find() - find a job that is claimed or held.
 * @j: jobs task.
 * @id: job id.
 *
 * Return: job, or NULL.
 */
struct hk_agent_job *hk_agent_jobs_find (struct hk_agent_jobs *j,
                                         const char *id);

/**
 * hk_job_run_new() - add a job whose size is already booked to the list.
 * @owner: jobs task.
 * @job: record; its members move to the new job and @job is zeroed.
 * @size: booked size, released when the task ends or the job is freed.
 *
 * Return: job in HK_PHASE_CLAIM, owned by @owner.
 */
struct hk_agent_job *hk_job_run_new (struct hk_agent_jobs *owner,
                                     struct hk_job *job,
                                     const struct hk_size *size);

/**
 * hk_job_run_claim() - write the claim, then start the task.
 * @j: new job.
 */
void hk_job_run_claim (struct hk_agent_job *j);

/**
 * hk_job_run_adopt() - take over a task that the worker already runs.
 * @j: new job.
 * @task: its entry in the worker's listing.
 */
void hk_job_run_adopt (struct hk_agent_job *j, json_object *task);

/**
 * hk_job_run_stop() - stop the task and requeue the job.
 * @j: job; ignored unless it is in HK_PHASE_RUN.
 * @reason: reason stored in the record.
 * @evicted: whether the stop counts as an eviction.
 */
void hk_job_run_stop (struct hk_agent_job *j, const char *reason,
                      gboolean evicted);

/**
 * hk_job_run_throttle() - limit the speed of a running task.
 * @j: job; ignored unless its task is on the worker in HK_PHASE_RUN.
 * @percent: per cent of full speed; 100 lifts the limit.
 */
void hk_job_run_throttle (struct hk_agent_job *j, int64_t percent);

/**
 * hk_job_run_state_update() - process the reported state of a task.
 * @j: job; may be freed.
 * @task: its entry in the worker's listing, or NULL if it is not listed.
 */
void hk_job_run_state_update (struct hk_agent_job *j, json_object *task);

/**
 * hk_job_run_worker_crashed() - end the run of a job whose worker restarted.
 * @j: job.
 * @alone: whether no other job may have run on the worker.
 */
void hk_job_run_worker_crashed (struct hk_agent_job *j, gboolean alone);

/**
 * hk_job_run_task_lost() - requeue a job whose task the worker no longer has.
 * @j: job; its worker stopped listing the task, or never had it.
 */
void hk_job_run_task_lost (struct hk_agent_job *j);

/**
 * hk_job_run_orphan_remove() - remove a task that no held job stands for.
 * @owner: jobs task.
 * @id: job id.
 * @epoch: epoch of the task.
 */
void hk_job_run_orphan_remove (struct hk_agent_jobs *owner, const char *id,
                               int64_t epoch);

/**
 * hk_job_run_free() - release the booking and the memory of a job.
 * @j: job.
 */
void hk_job_run_free (struct hk_agent_job *j);

#endif

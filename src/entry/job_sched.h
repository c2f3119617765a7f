#ifndef HYSSOPKEEL_JOB_SCHED_H
#define HYSSOPKEEL_JOB_SCHED_H

#include "entry.h"

/* An entry of the next rank waits this much longer before it acts on a job. */
#define HK_SCHED_RANK_DELAY_MS 2000

/**
 * struct hk_sched_queue - queued jobs of one route.
 * @route: name of the route.
 * @n: number of queued jobs.
 * @jobs: jobs, in the order in which they are considered.
 */
struct hk_sched_queue
{
  char *route;
  gint64 n;
  TAILQ_HEAD (hk_sched_job_list, hk_sched_job) jobs;
};

/**
 * struct hk_sched_job - a job in the scheduler's index.
 * @job: latest record known.
 * @queue: queue that the job waits in, or NULL.
 * @boot: boot id that the job is indexed by while running, or NULL.
 * @team_key: "pool/team" that the job is counted in while running, or NULL.
 * @not_before_ms: earliest time of the next offer, on hk_clock_ms().
 * @queued_ms: when this entry saw the job queued, on hk_clock_ms().
 * @ended_ms: when this entry saw the job ended, on hk_clock_ms().
 * @ran_alone: whether its worker had no other job when the session of its
 *             holder expired.
 * @call_in_flight: whether an offer or a write of the record is in flight.
 * @deleted: whether the record was deleted.
 * @refs: reference count: one of the index and one per operation in flight.
 * @cancel_timer: next cancel request to the holder.
 */
struct hk_sched_job
{
  struct hk_sched *sched;
  struct hk_job job;
  struct hk_sched_queue *queue;
  char *boot;
  char *team_key;
  int64_t not_before_ms;
  int64_t queued_ms;
  int64_t ended_ms;
  gboolean ran_alone;
  gboolean call_in_flight;
  gboolean deleted;
  int refs;
  struct hk_timer cancel_timer;
  TAILQ_ENTRY (hk_sched_job) link;
};

/* job_sched.c */

/**
 * hk_sched_job_ref() - take a reference, for an operation in flight.
 * @j: job.
 *
 * Return: @j.
 */
struct hk_sched_job *hk_sched_job_ref (struct hk_sched_job *j);

/**
 * hk_sched_job_unref() - drop a reference.
 * @j: job; freed with the last reference.
 */
void hk_sched_job_unref (struct hk_sched_job *j);

/**
 * hk_sched_queue_get() - get the queue of a route.
 * @sched: scheduler.
 * @route: name of the route.
 *
 * Return: queue owned by the scheduler; created on first use.
 */
struct hk_sched_queue *hk_sched_queue_get (struct hk_sched *sched,
                                           const char *route);

/**
 * hk_sched_running_count() - count running jobs of a job's team and pool.
 * @sched: scheduler.
 * @job: job.
 *
 * Return: number of running jobs that share the quota of @job; 0 if it has no
 * team.
 */
int64_t hk_sched_running_count (const struct hk_sched *sched,
                                const struct hk_job *job);

/* offers.c */

/**
 * hk_sched_schedule_pass() - schedule a pass that offers queued jobs.
 * @sched: scheduler.
 * @delay_ms: delay in milliseconds; a pass that is due earlier stays.
 */
void hk_sched_schedule_pass (struct hk_sched *sched, int64_t delay_ms);

/**
 * hk_sched_update_health() - update an instance's health from a run's outcome.
 * @sched: scheduler.
 * @old: record before the change.
 * @updated: record after the change.
 */
void hk_sched_update_health (struct hk_sched *sched, const struct hk_job *old,
                             const struct hk_job *updated);

/* takeover.c */

/**
 * hk_sched_session_expired() - requeue a holder's jobs after its session.
 * @sched: scheduler.
 * @id: id of the expired session.
 * @worker_lease_ms: duration of the holder's lease at its worker,
 *                   milliseconds; 0 if not known.
 *
 * The jobs are requeued once that lease has run out too.
 */
void hk_sched_session_expired (struct hk_sched *sched, const char *id,
                               int64_t worker_lease_ms);

/**
 * hk_sched_forward_cancel() - request that a job's holder stop it.
 * @j: running job with its cancel flag set.
 */
void hk_sched_forward_cancel (struct hk_sched_job *j);

/**
 * hk_sched_offer_takeover() - offer a new agent the jobs of its predecessors.
 * @sched: scheduler.
 * @m: member that is attached to the worker of those jobs now.
 */
void hk_sched_offer_takeover (struct hk_sched *sched, struct hk_member *m);

/**
 * hk_sched_job_offer() - offer a job to a member.
 * @j: job.
 * @m: member.
 */
void hk_sched_job_offer (struct hk_sched_job *j, struct hk_member *m);

/**
 * hk_sched_job_write() - write a changed record if the job is unchanged.
 * @j: job; its known revision is the condition.
 * @next: record to write; its write id is set here.
 */
void hk_sched_job_write (struct hk_sched_job *j, struct hk_job *next);

#endif

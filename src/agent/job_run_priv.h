#ifndef JOB_RUN_PRIV_H
#define JOB_RUN_PRIV_H

#include "job_run.h"

/* Delay before a failed call to the worker or the store is repeated. */
#define HK_JOB_RETRY_MS 500

struct hk_agent *hk_job_run_agent (const struct hk_agent_job *j);

/* Replaces the string in @slot by a copy of @text. */
void hk_job_run_set_text (char **slot, const char *text);

/* Sends a control call for the task; at most one may be in flight. */
void hk_job_run_call_worker (struct hk_agent_job *j, const char *path,
                             json_object *body, hk_worker_call_done done);

/* Clears the call in flight. Returns FALSE if the job has left @phase or is to
   be discarded, so that the reply must be ignored. */
gboolean hk_job_run_finish_call (struct hk_agent_job *j,
                                 enum hk_job_phase phase);

/* Whether the record names the present session of the agent as its holder and
   that session is valid. */
gboolean hk_job_run_held (const struct hk_agent_job *j);

/* Expiry of a worker lease granted now, on hk_clock_ms(). */
int64_t hk_job_run_lease_expiry (const struct hk_agent *agent);

/* Claims the job for the present session, unless that session is not valid or
   a write is in flight. */
void hk_job_run_claim_again (struct hk_agent_job *j);

/* Removes the task from the worker after another claim superseded this one.
   May free @j. */
void hk_job_run_abandon (struct hk_agent_job *j);

/* Asks the worker to start the task of a claimed job. */
void hk_job_run_start (struct hk_agent_job *j);

/* Stores the checkpoint if it is due and no write is in flight. */
void hk_job_run_write_checkpoint (struct hk_agent_job *j);

/* Stores the outcome. @user is the job, as for a timer. */
void hk_job_run_write_outcome (void *user);

/* Removes the task from the worker and frees the job. @user is the job, as for
   a timer. */
void hk_job_run_discard (void *user);

#endif

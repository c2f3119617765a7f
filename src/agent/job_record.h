#ifndef HYSSOPKEEL_JOB_RECORD_H
#define HYSSOPKEEL_JOB_RECORD_H

#include "hyssopkeel/record.h"
#include "job_run.h"

/**
 * hk_job_copy() - copy a record.
 * @dst: zeroed or valid record; its members are released first.
 * @src: record to copy.
 */
void hk_job_copy (struct hk_job *dst, const struct hk_job *src);

/**
 * hk_job_store_next() - replace the stored record by @j->next.
 * @j: job; a repeated write keeps its write id.
 * @done: completion, called with @j.
 */
void hk_job_store_next (struct hk_agent_job *j, hk_record_done done);

/**
 * hk_job_commit_next() - make @j->next the current record after its write.
 * @j: job; @j->next is left zeroed.
 * @mod_revision: store revision of the write.
 */
void hk_job_commit_next (struct hk_agent_job *j, int64_t mod_revision);

/**
 * hk_job_claim_valid() - after a conflict, whether the claim is still valid.
 * @j: job; gets the cancel flag and the revision of @current if so.
 * @current: current record in the store, or NULL if it does not exist.
 *
 * Return: TRUE if only the cancel flag can have changed.
 */
gboolean hk_job_claim_valid (struct hk_agent_job *j,
                             const struct hk_store_kv *current);

/**
 * hk_job_claim_committed() - after a conflict, whether the claim was written.
 * @j: job; @j->next gets the cancel flag of @current if so.
 * @current: current record in the store, or NULL if it does not exist.
 *
 * Guards against a claim whose reply was lost before a cancel changed the
 * record.
 *
 * Return: TRUE if the record has the claim that was being written.
 */
gboolean hk_job_claim_committed (struct hk_agent_job *j,
                                 const struct hk_store_kv *current);

/**
 * hk_job_next_from_outcome() - set @j->next to the record of the outcome.
 * @j: job with its outcome set.
 */
void hk_job_next_from_outcome (struct hk_agent_job *j);

#endif

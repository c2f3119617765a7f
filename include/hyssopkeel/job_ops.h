#ifndef HYSSOPKEEL_JOB_OPS_H
#define HYSSOPKEEL_JOB_OPS_H

#include "hyssopkeel/job.h"
#include "hyssopkeel/recent_ids.h"
#include "hyssopkeel/store.h"
#include "hyssopkeel/tables.h"

/**
 * hk_job_done - completion of an operation on a job.
 * @rc: 0; HK_ERR_TIMEOUT if the outcome is unknown; or another negative code.
 * @job: record after the operation, valid during the callback; NULL unless
 *       @rc is 0.
 * @err: cause on failure.
 * @user: argument given with the call.
 */
typedef void (*hk_job_done) (int rc, const struct hk_job *job,
                             const struct hk_error *err, void *user);

/**
 * hk_job_read_request() - validate a submission and fill in a record.
 * @job: zeroed record to fill; set to state queued with a new write ID.
 * @obj: object with "route" and optionally id, team, payload, work_ms,
 *       cpu_milli, memory_mb, accelerators.
 * @tables: tables with the route's default resources.
 * @err: filled on failure.
 *
 * Return: 0 or HK_ERR_INVALID; @job is zeroed on failure.
 */
int hk_job_read_request (struct hk_job *job, json_object *obj,
                         const struct hk_tables *tables, struct hk_error *err);

/**
 * hk_job_submit() - write a new job record to the store.
 * @store: store.
 * @job: record from hk_job_read_request(), copied.
 * @in_doubt: ids of submissions whose outcome the caller does not know, kept
 *            up to date; NULL if it submits no id twice. Must outlive the
 * call.
 * @done: completion; HK_ERR_CONFLICT if the id exists already;
 *        HK_ERR_TIMEOUT if this or an earlier submission of the id may still
 * be stored.
 * @user: argument of @done.
 */
void hk_job_submit (struct hk_store *store, const struct hk_job *job,
                    struct hk_recent_ids *in_doubt, hk_job_done done,
                    void *user);

/**
 * hk_job_fetch() - read a job record from the store.
 * @store: store.
 * @id: job ID.
 * @done: completion; HK_ERR_NOT_FOUND if there is none.
 * @user: argument of @done.
 */
void hk_job_fetch (struct hk_store *store, const char *id, hk_job_done done,
                   void *user);

/**
 * hk_job_cancel() - cancel a job, or request its holder to stop a running one.
 * @store: store.
 * @id: job ID.
 * @done: completion; HK_ERR_CONFLICT if it has ended already, or if other
 *        writes conflicted too often.
 * @user: argument of @done.
 */
void hk_job_cancel (struct hk_store *store, const char *id, hk_job_done done,
                    void *user);

/**
 * hk_job_describe() - public view of a job, without internal fields.
 * @job: record.
 *
 * Return: new JSON object, owned by the caller.
 */
json_object *hk_job_describe (const struct hk_job *job);

#endif

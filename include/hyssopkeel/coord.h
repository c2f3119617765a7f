#ifndef HYSSOPKEEL_COORD_H
#define HYSSOPKEEL_COORD_H

#include "hyssopkeel/authority.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/hk_job_xdr.h"
#include "hyssopkeel/store.h"

struct hk_coord;

/**
 * struct hk_coord_options - settings of a coordinator.
 * @name: name of this process, unique in the installation.
 * @address: "ip:port" at which the others reach its RPC server.
 * @listen: "ip:port" that the server listens on; NULL for @address.
 * @authority: durations of its own authority, lease grants and leases.
 * @keep_ended_ms: retention period of the state of an ended job.
 * @record_max_bytes: limit of each record of a job in the store.
 * @capacity_score_percent: capacity score: processor and bandwidth of this
 * machine relative to what a coordinator should have, percent; values above
 * 100 count as 100. The machine with the higher score leads.
 * @awaits_evacuations: as coordinator, place nothing before
 * hk_coord_set_evacuations() was called.
 * @remote_factor: run time of a task away from the rack of its data over its
 * run time there; 0 if unknown: it is learned then, and until it is known no
 * task waits for that rack.
 */
struct hk_coord_options
{
  const char *name;
  const char *address;
  const char *listen;
  struct hk_authority authority;
  int64_t keep_ended_ms;
  size_t record_max_bytes;
  unsigned capacity_score_percent;
  gboolean awaits_evacuations;
  double remote_factor;
};

#define HK_COORD_OPTIONS_INIT                                                 \
  {                                                                           \
    .authority = { .own_ms = 12000, .grant_ms = 2500, .hold_ms = 4000 },      \
    .keep_ended_ms = 150000, .record_max_bytes = HK_ENGINE_RECORD_MAX_BYTES,  \
    .capacity_score_percent = 100                                             \
  }

/**
 * struct hk_evacuation - a failure domain in which nothing may start.
 * @domain: name.
 * @revision: of the operator's write that evacuated it.
 */
struct hk_evacuation
{
  const char *domain;
  int64_t revision;
};

/**
 * hk_coord_request_done - called with the reply to a request about jobs.
 * @reply: reply, valid during the call.
 * @user: argument passed with the request.
 */
typedef void (*hk_coord_request_done) (const hk_job_request_reply *reply,
                                       void *user);

/**
 * hk_coord_new() - create a coordinator, which does not run yet.
 * @store: store of jobs; owned by the caller, must outlive the coordinator.
 * @options: settings, copied.
 *
 * Return: coordinator, to be released with hk_coord_free().
 */
struct hk_coord *hk_coord_new (struct hk_store *store,
                               const struct hk_coord_options *options);

/**
 * hk_coord_start() - listen for RPCs, and follow the leader or take over.
 * @c: coordinator.
 * @err: filled on failure.
 *
 * Return: 0, or the error of listening on the address.
 */
int hk_coord_start (struct hk_coord *c, struct hk_error *err);

/** hk_coord_resign() - step down if leading, and never take over again. */
void hk_coord_resign (struct hk_coord *c);

/** hk_coord_end_requests() - reply to all pending requests before the return,
 * and from now on to each new one without an attempt. */
void hk_coord_end_requests (struct hk_coord *c);

/** hk_coord_free() - stop at once; pending requests get their reply before the
 * return. */
void hk_coord_free (struct hk_coord *c);

/**
 * hk_coord_set_evacuations() - replace the set of evacuated failure domains.
 * @c: coordinator, whether it leads or not.
 * @list: all evacuated domains; copied.
 * @n: number of @list.
 * @revision: revision of the store up to which this is known.
 *
 * To be called whenever the set was confirmed, also if it is the same: the
 * last set stays in force until the next, and its age is logged. Nothing is
 * placed on instances of these domains; runs there that are not known to have
 * started are stopped, and their tasks placed elsewhere.
 */
void hk_coord_set_evacuations (struct hk_coord *c,
                               const struct hk_evacuation *list, size_t n,
                               int64_t revision);

/** hk_coord_record_max_bytes() - limit of each record of a job. */
size_t hk_coord_record_max_bytes (const struct hk_coord *c);

/** hk_coord_leading() - whether this process leads and has loaded all jobs. */
gboolean hk_coord_leading (const struct hk_coord *c);

/** hk_coord_available() - whether requests can be served: this process leads,
 * or is connected to the leader, or lost it only moments ago. */
gboolean hk_coord_available (const struct hk_coord *c);

/**
 * hk_coord_request() - send a request to the leader, which may be this
 * process.
 * @c: coordinator.
 * @args: request; copied.
 * @timeout_ms: time limit of the request, all attempts included.
 * @done: called exactly once, never before the return.
 * @user: argument of @done.
 *
 * Requests are idempotent by job id, so they are sent again after a takeover.
 * HK_JOB_REQUEST_REFUSED means that nothing was stored and nothing will run,
 * whatever attempts of this process are still on their way;
 * HK_JOB_REQUEST_UNKNOWN that the request may have been carried out.
 */
void hk_coord_request (struct hk_coord *c, const hk_job_request_args *args,
                       int64_t timeout_ms, hk_coord_request_done done,
                       void *user);

/**
 * hk_coord_where_done - called with the answer of hk_coord_where().
 * @reply: answer, valid during the call.
 * @user: argument passed with the question.
 */
typedef void (*hk_coord_where_done) (const hk_where_reply *reply, void *user);

/**
 * hk_coord_where() - ask the leader, which may be this process, where the
 * tasks of a job would be placed now; nothing is submitted or changed.
 * @c: coordinator.
 * @spec: job, checked by hk_engine_spec_check(); used until the return only.
 * @timeout_ms: time limit.
 * @done: called exactly once, perhaps before the return.
 * @user: argument of @done.
 *
 * The outcome is HK_JOB_REQUEST_DONE with an answer; HK_JOB_REQUEST_REFUSED if
 * no process leads, or the leader is overloaded or cut off;
 * HK_JOB_REQUEST_NOT_FOUND if the leader runs a build that can't answer; or
 * HK_JOB_REQUEST_UNKNOWN if it does not reply.
 */
void hk_coord_where (struct hk_coord *c, const hk_job_spec *spec,
                     int64_t timeout_ms, hk_coord_where_done done, void *user);

#endif

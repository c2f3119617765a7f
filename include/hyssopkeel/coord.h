#ifndef HYSSOPKEEL_COORD_H
#define HYSSOPKEEL_COORD_H

#include "hyssopkeel/authority.h"
#include "hyssopkeel/hk_job_xdr.h"
#include "hyssopkeel/store.h"

struct hk_coord;

/**
 * struct hk_coord_options - settings of a coordinator.
 * @name: name of this process, unique in the installation.
 * @address: "ip:port" at which the others reach its RPC server.
 * @authority: durations of grants and holds.
 * @keep_ended_ms: how long the state of an ended job is kept.
 * @strength: processor and bandwidth of this machine, as a share of what a
 *            coordinator should have, percent; the stronger leads.
 */
struct hk_coord_options
{
  const char *name;
  const char *address;
  struct hk_authority authority;
  int64_t keep_ended_ms;
  unsigned strength;
};

#define HK_COORD_OPTIONS_INIT                                                 \
  {                                                                           \
    .authority = { .own_ms = 12000, .grant_ms = 2500, .hold_ms = 4000 },      \
    .keep_ended_ms = 150000, .strength = 100                                  \
  }

/**
 * hk_ask_done - answer to a question about jobs.
 * @reply: answer, valid during the call.
 * @user: argument given with the question.
 */
typedef void (*hk_ask_done) (const hk_ask_reply *reply, void *user);

/**
 * hk_coord_new() - a process that may become coordinator.
 * @store: store of jobs; stays owned by the caller.
 * @options: settings, copied.
 */
struct hk_coord *hk_coord_new (struct hk_store *store,
                               const struct hk_coord_options *options);

/** hk_coord_start() - listen, follow or take the lead. */
int hk_coord_start (struct hk_coord *c, struct hk_error *err);

/** hk_coord_resign() - give the lead up and take it no more. */
void hk_coord_resign (struct hk_coord *c);

/** hk_coord_free() - stop at once. */
void hk_coord_free (struct hk_coord *c);

/** hk_coord_leading() - whether this process leads and has all jobs loaded. */
gboolean hk_coord_leading (const struct hk_coord *c);

/** hk_coord_known() - whether a coordinator other than a dead one is known. */
gboolean hk_coord_known (const struct hk_coord *c);

/**
 * hk_coord_ask() - ask this process or the coordinator it follows.
 * @c: coordinator.
 * @args: question; copied.
 * @timeout_ms: time limit of the whole question.
 * @done: called exactly once, never before the return.
 * @user: argument of @done.
 *
 * Questions are idempotent by job id, so they are asked again after a
 * takeover. HK_ASK_REFUSED means that nothing was stored and nothing will run;
 * HK_ASK_UNKNOWN that it may have been.
 */
void hk_coord_ask (struct hk_coord *c, const hk_ask_args *args,
                   int64_t timeout_ms, hk_ask_done done, void *user);

#endif

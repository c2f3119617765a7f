#ifndef HYSSOPKEEL_ATTEMPT_H
#define HYSSOPKEEL_ATTEMPT_H

#include "dispatch.h"

#define HK_ATTEMPTS_MAX 4
/* Attempts without a known outcome, each of which may have crashed its
   instance, that end a request. */
#define HK_UNKNOWN_ATTEMPTS_MAX 2
#define HK_TICKET_PREFIX "hk1:"

struct hk_dispatch;

/**
 * struct hk_attempt - one EXECUTE call to one agent, with its own request id.
 * @d: request that the attempt belongs to.
 * @member: agent; a reference is held.
 * @id: request id at the agent.
 * @from_earlier_call: whether an earlier call with the same key made this
 *                     attempt. If it did not run, the next attempt is the
 *                     first of this call and is not charged to the budget.
 * @query_until_ms: when to stop querying the outcome, on hk_clock_ms().
 * @query_timer: delay before the next query.
 */
struct hk_attempt
{
  struct hk_dispatch *d;
  struct hk_member *member;
  char *id;
  gboolean from_earlier_call;
  int64_t query_until_ms;
  struct hk_timer query_timer;
};

/**
 * struct hk_dispatch - one client request in progress.
 * @id: request id.
 * @idempotent: whether the route allows a request to run more than once.
 * @may_hedge: whether the route allows a hedged attempt.
 * @claim_conflicts: claims of other calls found so far.
 * @claim_name: name of the request's claim in the store, or NULL if the
 *              request needs no claim.
 * @claim_revision: last known revision of the claim, 0 if none.
 * @claim_attempt: attempt whose claim is being written, or NULL.
 * @start_us: arrival of the request, on hk_clock_us().
 * @deadline_ms: deadline of the response, on hk_clock_ms().
 * @retry_percent: retries allowed per hundred successes.
 * @set_aside_failures: consecutive failures after which placement avoids an
 *                      instance.
 * @tried: ids of the @n_tried instances that are not tried again.
 * @outstanding: attempts in progress.
 * @finished: whether the completion callback was called.
 * @n_unknown: attempts that ended without a known outcome.
 * @last_refusal: reason of the last attempt that did not run, or NULL.
 * @hedge_timer: delay before the hedged attempt.
 */
struct hk_dispatch
{
  struct hk_entry *entry;
  char *id;
  char *route;
  char *pool;
  gboolean idempotent;
  gboolean may_hedge;
  int claim_conflicts;
  char *claim_name;
  int64_t claim_revision;
  struct hk_attempt *claim_attempt;
  char *method;
  char *path;
  char *content_type;
  char *key;
  char *team;
  GBytes *body;
  int64_t start_us;
  int64_t deadline_ms;
  int64_t retry_percent;
  int64_t set_aside_failures;
  guint tried[HK_ATTEMPTS_MAX];
  size_t n_tried;
  int outstanding;
  gboolean finished;
  int n_unknown;
  char *last_refusal;
  struct hk_timer hedge_timer;
  hk_dispatch_done done;
  void *user;
};

/* dispatch.c */

/**
 * hk_dispatch_remaining_ms() - time until the deadline.
 * @d: request.
 *
 * Return: milliseconds, negative when the deadline has passed.
 */
int64_t hk_dispatch_remaining_ms (const struct hk_dispatch *d);

/**
 * hk_dispatch_choose_member() - choose an instance for the next attempt.
 * @d: request.
 *
 * Return: member, or NULL if no instance is available.
 */
struct hk_member *hk_dispatch_choose_member (struct hk_dispatch *d);

/**
 * hk_dispatch_next_attempt() - start the next attempt.
 * @d: request; finished as not run if no instance is available.
 */
void hk_dispatch_next_attempt (struct hk_dispatch *d);

/**
 * hk_dispatch_may_retry() - check the limits on retries and count a retry.
 * @d: request.
 * @charge_budget: whether the retry is charged to the route's retry budget.
 *
 * Return: TRUE if one more attempt may be made.
 */
gboolean hk_dispatch_may_retry (struct hk_dispatch *d, gboolean charge_budget);

/**
 * hk_dispatch_finish_no_result() - complete a request without a result.
 * @d: request.
 * @outcome: not run or unknown; not run is changed to unknown if an earlier
 *           attempt may have run.
 * @reason: reason to report to the client.
 */
void hk_dispatch_finish_no_result (struct hk_dispatch *d,
                                   hk_rpc_outcome outcome, const char *reason);

/**
 * hk_dispatch_finish_result() - complete a request with a worker's response.
 * @a: attempt that ran.
 * @reply: the agent's reply.
 */
void hk_dispatch_finish_result (struct hk_attempt *a,
                                const hk_rpc_execute_reply *reply);

/**
 * hk_dispatch_free_if_finished() - free a request that has finished.
 * @d: request; kept while an attempt is in progress.
 */
void hk_dispatch_free_if_finished (struct hk_dispatch *d);

/* attempt.c */

/**
 * hk_attempt_new() - create an attempt and count it as outstanding.
 * @d: request.
 * @member: agent; a reference is taken.
 * @id: request id at the agent, or NULL for a new one.
 *
 * Return: attempt, to be freed with hk_attempt_end().
 */
struct hk_attempt *hk_attempt_new (struct hk_dispatch *d,
                                   struct hk_member *member, const char *id);

/**
 * hk_attempt_end() - free an attempt, which is no longer outstanding.
 * @a: attempt.
 */
void hk_attempt_end (struct hk_attempt *a);

/**
 * hk_attempt_execute() - send the request to the agent.
 * @a: attempt.
 */
void hk_attempt_execute (struct hk_attempt *a);

/**
 * hk_attempt_query() - query the agent for the outcome of an attempt.
 * @a: attempt; only the incarnation that it was sent to is queried.
 */
void hk_attempt_query (struct hk_attempt *a);

/* idempotency.c */

/**
 * hk_claim_name_new() - build the name of a request's claim in the store.
 * @request: request with an idempotency key.
 *
 * Return: newly allocated "ROUTE/TEAM/KEY", escaped.
 */
char *hk_claim_name_new (const struct hk_dispatch_request *request);

/**
 * hk_idempotency_claim() - claim a request's key, then execute the attempt.
 * @d: request.
 * @a: attempt; ended unsent if another call holds the claim.
 */
void hk_idempotency_claim (struct hk_dispatch *d, struct hk_attempt *a);

/**
 * hk_ticket_execute() - send a request to the agent that its ticket names.
 * @d: request with a ticket as its key.
 */
void hk_ticket_execute (struct hk_dispatch *d);

#endif

#ifndef HYSSOPKEEL_OUTCOME_H
#define HYSSOPKEEL_OUTCOME_H

#include "agent.h"

enum hk_agent_request_state
{
  HK_REQUEST_QUEUED,
  HK_REQUEST_RUNNING,
  HK_REQUEST_ENDED /* its outcome or a tombstone is kept */
};

/**
 * struct hk_agent_request - request or tombstone known to this incarnation.
 * @owner: requests task whose table owns this request.
 * @id: request id, also its key in the table.
 * @route: interned route name.
 * @state: queued, running or ended.
 * @keep_outcome: whether its outcome is kept for repeated calls.
 * @idempotent: whether the request may run more than once.
 * @interactive: whether its service time is a sample for interference.
 * @size: size booked while it runs.
 * @deadline_ms: latest start, on hk_clock_ms().
 * @state_since_us: arrival while queued, then start, on hk_clock_us().
 * @waiters: struct hk_rpc_request calls to reply to when it ends.
 * @args: arguments of the first call; valid until its reply, then NULL.
 * @outcome: how it ended.
 * @status: HTTP status if done.
 * @content_type: content type if done, else NULL.
 * @reason: why it was not run or its outcome is unknown, else "".
 * @body: response body if done and kept, else NULL.
 * @timer: deadline in the queue, then end of retention.
 * @link: entry of the queue of its route.
 */
struct hk_agent_request
{
  struct hk_agent_requests *owner;
  char *id;
  const char *route;
  enum hk_agent_request_state state;
  gboolean keep_outcome;
  gboolean idempotent;
  gboolean interactive;
  struct hk_size size;
  int64_t deadline_ms;
  int64_t state_since_us;
  GPtrArray *waiters;
  hk_rpc_execute_args *args;
  hk_rpc_outcome outcome;
  guint status;
  char *content_type;
  char *reason;
  GBytes *body;
  struct hk_timer timer;
  TAILQ_ENTRY (hk_agent_request) link;
};

/**
 * hk_outcome_reply_empty() - reply to one call with an outcome and no body.
 * @agent: agent whose load is reported.
 * @rpc: call.
 * @outcome: outcome.
 * @reason: explanation, copied into the reply.
 */
void hk_outcome_reply_empty (const struct hk_agent *agent,
                             struct hk_rpc_request *rpc,
                             hk_rpc_outcome outcome, const char *reason);

/**
 * hk_outcome_reply_stored() - reply to one call with the stored outcome.
 * @req: request that has ended.
 * @rpc: call.
 */
void hk_outcome_reply_stored (const struct hk_agent_request *req,
                              struct hk_rpc_request *rpc);

/**
 * hk_outcome_complete() - end a request and reply to all waiting calls.
 * @req: request; freed by a timer when its retention ends.
 * @outcome: how it ended.
 * @reason: explanation, or "".
 */
void hk_outcome_complete (struct hk_agent_request *req, hk_rpc_outcome outcome,
                          const char *reason);

/**
 * hk_agent_request_new() - add a request to the table.
 * @owner: requests task.
 * @id: request id.
 *
 * Return: request in HK_REQUEST_QUEUED with no waiters, owned by the table.
 */
struct hk_agent_request *hk_agent_request_new (struct hk_agent_requests *owner,
                                               const char *id);

/**
 * hk_outcome_tombstone_add() - bar a request that has not arrived.
 * @owner: requests task.
 * @id: request id.
 */
void hk_outcome_tombstone_add (struct hk_agent_requests *owner,
                               const char *id);

/**
 * hk_outcome_limit_reached() - whether no more outcomes can be kept.
 * @owner: requests task.
 *
 * Return: TRUE at the limit of entries or bytes; new requests must be refused.
 */
gboolean hk_outcome_limit_reached (const struct hk_agent_requests *owner);

/**
 * hk_agent_request_free() - free a request; destroy function of the table.
 * @data: struct hk_agent_request.
 */
void hk_agent_request_free (gpointer data);

#endif

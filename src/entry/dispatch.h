#ifndef HYSSOPKEEL_DISPATCH_H
#define HYSSOPKEEL_DISPATCH_H

#include "entry.h"

/**
 * struct hk_dispatch_request - one request of a client.
 * @route: route.
 * @method: HTTP method.
 * @path: escaped path from the route's name on, with the query.
 * @content_type: media type of the body, or "".
 * @key: idempotency key or ticket, or "".
 * @team: team, or "".
 * @deadline_ms: time until the deadline, milliseconds.
 * @body: body; a reference is taken.
 */
struct hk_dispatch_request
{
  const struct hk_route *route;
  const char *method;
  const char *path;
  const char *content_type;
  const char *key;
  const char *team;
  int64_t deadline_ms;
  GBytes *body;
};

/**
 * struct hk_dispatch_result - outcome of a request.
 * @outcome: done, not run or unknown.
 * @status: HTTP status returned by the worker, if done.
 * @content_type: media type of the body, if done.
 * @body: body of @len bytes, if done; valid during the callback.
 * @reason: why the request was not run, or why its outcome is unknown.
 * @request_id: id of the request.
 * @instance: instance that ran the request, or "".
 */
struct hk_dispatch_result
{
  hk_rpc_outcome outcome;
  guint status;
  const char *content_type;
  const char *body;
  gsize len;
  const char *reason;
  const char *request_id;
  const char *instance;
};

/**
 * hk_dispatch_done - completion callback, called exactly once per request.
 * @result: result, valid during the callback.
 * @user: argument given to hk_dispatch_start().
 */
typedef void (*hk_dispatch_done) (const struct hk_dispatch_result *result,
                                  void *user);

/**
 * hk_dispatch_start() - run a request, with retries, until its outcome.
 * @entry: entry.
 * @request: request; copied.
 * @done: completion callback; may be called before this function returns.
 * @user: argument of @done.
 */
void hk_dispatch_start (struct hk_entry *entry,
                        const struct hk_dispatch_request *request,
                        hk_dispatch_done done, void *user);

/**
 * hk_ticket_new() - create an idempotency key that names its agent.
 * @entry: entry.
 * @route: route that the ticket is for.
 *
 * A request with a ticket needs no claim in the store, because only the agent
 * incarnation that the ticket names ever runs it.
 *
 * Return: newly allocated ticket, or NULL if no instance is available.
 */
char *hk_ticket_new (struct hk_entry *entry, const struct hk_route *route);

#endif

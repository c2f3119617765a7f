#ifndef TRAFFIC_H
#define TRAFFIC_H

#include <libsoup/soup.h>

#include "cluster.h"

/**
 * struct traffic_request - one request and its outcome.
 * @group: name of the group it belongs to.
 * @key: idempotency key, or NULL.
 * @route: route.
 * @body: body sent.
 * @outcome: "done", "not-run" or "unknown" from the response, "refused" if the
 *           connection was refused, "lost" if there was no response or none
 *           with a known outcome; NULL while it is open.
 * @request_id: id from the response, or NULL.
 * @status: HTTP status, 0 without a response.
 * @body_as_expected: FALSE if a response with status 200 should have echoed
 *                    @body and did not.
 * @error_body: body of a response with a status other than 200, or why there
 *              was no response, or NULL.
 */
struct traffic_request
{
  char *group;
  char *key;
  char *route;
  char *body;
  const char *outcome;
  char *request_id;
  guint status;
  gboolean body_as_expected;
  char *error_body;
};

/**
 * struct traffic - all requests of a scenario.
 * @requests: struct traffic_request.
 * @open_requests: requests without an outcome yet, plus groups with requests
 *                 still to be sent.
 */
struct traffic
{
  struct cluster *cluster;
  SoupSession *session;
  GPtrArray *requests;
  int open_requests;
};

/**
 * struct send_options - a group of requests.
 * @group: name.
 * @n: number of requests.
 * @gap_ms: time between two requests.
 * @route: route.
 * @query: query passed to the worker, or "".
 * @via: entry, or "any" to take the entries in turn.
 * @key: idempotency key, or NULL; "%" is replaced by the index of the request.
 * @deadline_ms: deadline, 0 for that of the route.
 * @size: size of each body, bytes.
 * @check_body: whether the worker echoes the body.
 */
struct send_options
{
  const char *group;
  int n;
  int gap_ms;
  const char *route;
  const char *query;
  const char *via;
  const char *key;
  int deadline_ms;
  int size;
  gboolean check_body;
};

/**
 * traffic_init() - prepare to send requests.
 * @t: zeroed memory owned by the caller.
 * @c: cluster.
 */
void traffic_init (struct traffic *t, struct cluster *c);

/**
 * traffic_finish() - wait for open requests and release all memory held.
 * @t: traffic.
 */
void traffic_finish (struct traffic *t);

/**
 * traffic_send_group() - start to send a group of requests.
 * @t: traffic.
 * @o: group; copied.
 */
void traffic_send_group (struct traffic *t, const struct send_options *o);

/**
 * traffic_count() - count the requests of a group that have an outcome.
 * @t: traffic.
 * @group: group, or NULL for all.
 * @outcome: outcome, or NULL for those still open.
 *
 * Return: number of requests.
 */
int traffic_count (const struct traffic *t, const char *group,
                   const char *outcome);

#endif

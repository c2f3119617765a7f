#ifndef HYSSOPKEEL_WORKER_H
#define HYSSOPKEEL_WORKER_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/**
 * hk_worker_call_done - completion of a control call.
 * @rc: 0 on success; HK_ERR_CONFLICT if another agent is attached;
 *      HK_ERR_NOT_FOUND if no agent is attached (the worker restarted) or the
 *      task does not exist; HK_ERR_STOPPED if the lease in the call had
 *      expired; HK_ERR_INVALID if the worker refused the call; after other
 *      codes its effect is unknown.
 * @reply: JSON reply, owned by the caller of this function; may be NULL on
 *         failure.
 * @err: cause on failure.
 * @user: argument given with the call.
 */
typedef void (*hk_worker_call_done) (int rc, json_object *reply,
                                     const struct hk_error *err, void *user);

/**
 * struct hk_worker_run - one request for the worker.
 * @request_id: id for the logs of the worker.
 * @method: HTTP method.
 * @path: route name, rest of the path and query.
 * @content_type: content type of the body, or "".
 * @key: idempotency key, or "".
 * @cpu_milli: CPUs booked, thousandths.
 * @memory_mb: memory booked, megabytes.
 * @idempotent: whether the transport may repeat the request.
 * @body: request body.
 */
struct hk_worker_run
{
  const char *request_id;
  const char *method;
  const char *path;
  const char *content_type;
  const char *key;
  int64_t cpu_milli;
  int64_t memory_mb;
  gboolean idempotent;
  GBytes *body;
};

/**
 * hk_worker_run_done - completion of a request.
 * @rc: 0 after a complete response; HK_ERR_UNAVAILABLE or HK_ERR_CONFLICT if
 *      the request certainly did not run; after other codes that is unknown.
 * @status: HTTP status on success.
 * @content_type: content type of the response on success, else "".
 * @body: response body on success, owned by the caller of this function.
 * @err: cause on failure.
 * @user: argument given with the call.
 */
typedef void (*hk_worker_run_done) (int rc, guint status,
                                    const char *content_type, GBytes *body,
                                    const struct hk_error *err, void *user);

struct hk_worker;

/**
 * struct hk_worker_ops - transport to a worker.
 * @call: POST a control call, described in docs/WORKER-API.md. Takes ownership
 *        of the body.
 * @run: send a request.
 */
struct hk_worker_ops
{
  void (*call) (struct hk_worker *w, const char *path, json_object *body,
                hk_worker_call_done done, void *user);
  void (*run) (struct hk_worker *w, const struct hk_worker_run *run,
               hk_worker_run_done done, void *user);
};

/**
 * struct hk_worker - server of the workload on this instance.
 * @ops: transport.
 * @agent: incarnation of the agent, sent with each call.
 */
struct hk_worker
{
  const struct hk_worker_ops *ops;
  const char *agent;
};

/**
 * struct hk_worker_http - worker reached over HTTP.
 * @base: generic worker.
 * @url: base URL.
 * @session: HTTP session with its connections.
 */
struct hk_worker_http
{
  struct hk_worker base;
  char *url;
  SoupSession *session;
};

/**
 * hk_worker_http_init() - set up a client that connects on demand.
 * @w: memory of the caller.
 * @url: base URL such as "http://127.0.0.1:7100".
 * @agent: incarnation of this agent; must outlive @w.
 */
void hk_worker_http_init (struct hk_worker_http *w, const char *url,
                          const char *agent);

/**
 * hk_worker_http_finish() - abort open calls and release the client.
 * @w: worker; not freed itself.
 */
void hk_worker_http_finish (struct hk_worker_http *w);

#endif

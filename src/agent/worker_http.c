/* HTTP client for the worker, the server of the workload on the same instance.
   Control calls time out and may be repeated; a request has no time-out here,
   and one that is not idempotent is sent at most once. */
#include <string.h>

#include "hyssopkeel/timer.h"
#include "hyssopkeel/worker.h"

#define CONTROL_TIMEOUT_MS 2000
#define CONNECTIONS_MAX 60

struct control_call
{
  struct hk_worker_http *worker;
  SoupMessage *message;
  GCancellable *cancellable;
  struct hk_timer timer;
  hk_worker_call_done done;
  void *user;
};

struct request_call
{
  struct hk_worker_http *worker;
  SoupMessage *message;
  gboolean sent_before;
  hk_worker_run_done done;
  void *user;
};

static void
on_timeout (void *user)
{
  struct control_call *c = user;

  g_cancellable_cancel (c->cancellable);
}

static int
error_from_status (guint status, json_object *reply)
{
  if (status == SOUP_STATUS_OK)
    return HK_OK;
  if (status == SOUP_STATUS_NOT_FOUND)
    return HK_ERR_NOT_FOUND;
  if (status == SOUP_STATUS_GONE)
    return HK_ERR_STOPPED;
  if (status == SOUP_STATUS_CONFLICT && hk_json_str (reply, "agent"))
    return HK_ERR_CONFLICT;
  if (status == SOUP_STATUS_CONFLICT
      && g_strcmp0 (hk_json_str (reply, "error"), "agent is not attached")
             == 0)
    return HK_ERR_NOT_FOUND;
  return HK_ERR_INVALID;
}

static int
parse_reply (struct control_call *c, GBytes *body, json_object **reply,
             struct hk_error *err)
{
  gsize len;
  const char *text = g_bytes_get_data (body, &len);
  int rc = hk_json_parse (reply, text ? text : "", len, c->worker->url, err);

  if (rc < 0)
    return hk_error_set (err, HK_ERR_PROTOCOL, "worker.call", c->worker->url,
                         "answer does not parse");
  rc = error_from_status (soup_message_get_status (c->message), *reply);
  if (rc < 0)
    hk_error_set (err, rc, "worker.call", c->worker->url, "%s",
                  hk_json_str (*reply, "error") ? hk_json_str (*reply, "error")
                                                : "refused");
  return rc;
}

static void
on_control_reply (GObject *source, GAsyncResult *res, gpointer user)
{
  struct control_call *c = user;
  g_autoptr (json_object) reply = NULL;
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, &gerr);
  struct hk_error err = { 0 };
  int rc;

  if (body)
    rc = parse_reply (c, body, &reply, &err);
  else
    rc = hk_error_from_gerror (&err, "worker.call", c->worker->url, gerr);
  hk_timer_clear (&c->timer);
  c->done (rc, reply, &err, c->user);
  g_object_unref (c->message);
  g_object_unref (c->cancellable);
  g_free (c);
}

static SoupMessage *
message_new (struct hk_worker_http *w, const char *method, const char *prefix,
             const char *path)
{
  g_autofree char *url = g_strconcat (w->url, prefix, path, NULL);
  SoupMessage *msg = soup_message_new (method, url);

  if (msg)
    soup_message_headers_append (soup_message_get_request_headers (msg),
                                 "Hyssopkeel-Agent", w->base.agent);
  return msg;
}

static void
http_call (struct hk_worker *base, const char *path, json_object *body,
           hk_worker_call_done done, void *user)
{
  struct hk_worker_http *w = (struct hk_worker_http *)base;
  struct control_call *c = g_new0 (struct control_call, 1);
  const char *text
      = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));

  json_object_put (body);
  c->worker = w;
  c->message = message_new (w, SOUP_METHOD_POST, "", path);
  c->cancellable = g_cancellable_new ();
  c->done = done;
  c->user = user;
  soup_message_set_request_body_from_bytes (c->message, "application/json",
                                            bytes);
  /* libsoup may repeat control calls: they carry an epoch, so a repeat has no
     further effect. */
  soup_message_add_flags (c->message, SOUP_MESSAGE_IDEMPOTENT);
  hk_timer_set (&c->timer, CONTROL_TIMEOUT_MS, on_timeout, c);
  soup_session_send_and_read_async (w->session, c->message, G_PRIORITY_DEFAULT,
                                    c->cancellable, on_control_reply, c);
}

/* libsoup repeats a request on a new connection if one that was used before
   closes without a response. */
static void
on_restarted (SoupMessage *message, gpointer user)
{
  struct request_call *r = user;

  (void)message;
  r->sent_before = TRUE;
}

static void
on_run_reply (GObject *source, GAsyncResult *res, gpointer user)
{
  struct request_call *r = user;
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, &gerr);
  guint status = soup_message_get_status (r->message);
  const char *type = soup_message_headers_get_one (
      soup_message_get_response_headers (r->message), "Content-Type");
  const char *refused = soup_message_headers_get_one (
      soup_message_get_response_headers (r->message), "Hyssopkeel-Refused");
  struct hk_error err = { 0 };
  int rc = HK_OK;

  if (!body)
    rc = hk_error_from_gerror (&err, "worker.run", r->worker->url, gerr);
  else if (refused)
    rc = hk_error_set (&err, HK_ERR_CONFLICT, "worker.run", r->worker->url,
                       "worker is attached to another agent");
  if (r->sent_before && (rc == HK_ERR_UNAVAILABLE || rc == HK_ERR_CONFLICT))
    rc = hk_error_set (&err, HK_ERR_IO, "worker.run", r->worker->url,
                       "connection closed without an answer, and the worker "
                       "refused a repeat");
  r->done (rc, status, type ? type : "", body, &err, r->user);
  g_object_unref (r->message);
  g_free (r);
}

static void
append_integer_header (SoupMessageHeaders *headers, const char *name,
                       int64_t value)
{
  char digits[24];

  g_snprintf (digits, sizeof digits, "%" PRId64, value);
  soup_message_headers_append (headers, name, digits);
}

static void
http_run (struct hk_worker *base, const struct hk_worker_run *run,
          hk_worker_run_done done, void *user)
{
  struct hk_worker_http *w = (struct hk_worker_http *)base;
  struct request_call *r = g_new0 (struct request_call, 1);
  SoupMessageHeaders *headers;

  r->worker = w;
  r->message = message_new (w, run->method, "/run/", run->path);
  r->done = done;
  r->user = user;
  g_signal_connect (r->message, "restarted", G_CALLBACK (on_restarted), r);
  headers = soup_message_get_request_headers (r->message);
  soup_message_headers_append (headers, "Hyssopkeel-Request-Id",
                               run->request_id);
  if (*run->key)
    soup_message_headers_append (headers, "Idempotency-Key", run->key);
  append_integer_header (headers, "Hyssopkeel-Cpu-Milli", run->cpu_milli);
  append_integer_header (headers, "Hyssopkeel-Memory-Mb", run->memory_mb);
  if (g_bytes_get_size (run->body) > 0)
    soup_message_set_request_body_from_bytes (
        r->message,
        *run->content_type ? run->content_type : "application/octet-stream",
        run->body);
  /* libsoup never repeats a request on a new connection, so one that is not
     idempotent cannot run twice. */
  if (run->idempotent)
    soup_message_add_flags (r->message, SOUP_MESSAGE_IDEMPOTENT);
  else
    soup_message_add_flags (r->message, SOUP_MESSAGE_NEW_CONNECTION);
  soup_session_send_and_read_async (w->session, r->message, G_PRIORITY_DEFAULT,
                                    NULL, on_run_reply, r);
}

static const struct hk_worker_ops http_ops
    = { .call = http_call, .run = http_run };

void
hk_worker_http_init (struct hk_worker_http *w, const char *url,
                     const char *agent)
{
  memset (w, 0, sizeof *w);
  w->base.ops = &http_ops;
  w->base.agent = agent;
  w->url = g_strdup (url);
  w->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "max-conns", CONNECTIONS_MAX,
      "max-conns-per-host", CONNECTIONS_MAX, NULL);
}

void
hk_worker_http_finish (struct hk_worker_http *w)
{
  if (!w->session)
    return;
  soup_session_abort (w->session);
  g_clear_object (&w->session);
  g_clear_pointer (&w->url, g_free);
}

/* HTTP server for clients, based on libsoup: requests by route, tickets, jobs
   and status pages. */
#include <string.h>

#include "dispatch.h"
#include "entry.h"
#include "http_response.h"
#include "http_limits.h"
#include "http_jobs.h"
#include "http_status.h"
#include "hyssopkeel/http_listener.h"
#include "hyssopkeel/listener.h"

#define RESPONSE_FLUSH_MS 300
/* Time for a connection that has begun to be established. */
#define HANDSHAKE_MS 100
#define ACCEPT_CHECK_MS 10
#define DEADLINE_MAX_MS 3600000
#define KEY_MAX_BYTES 200
#define TEAM_MAX_BYTES 64

/* A request to a route that has no response yet. */
struct call
{
  struct hk_entry *entry;
  SoupServerMessage *msg;
};

void
hk_entry_http_request_begin (struct hk_entry_http *h)
{
  h->open_requests++;
}

/* Runs after a delay that lets the last responses leave their sockets. */
static void
finish_drain (void *user)
{
  struct hk_entry_http *h = user;

  if (h->listener_closed && h->open_requests == 0)
    hk_task_drained (&h->task);
}

void
hk_entry_http_request_end (struct hk_entry_http *h)
{
  h->open_requests--;
  if (h->listener_closed && h->open_requests == 0)
    hk_timer_set (&h->drain_timer, RESPONSE_FLUSH_MS, finish_drain, h);
}

static void
set_header (SoupServerMessage *msg, const char *name, const char *value)
{
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                name, value);
}

static const char *
get_header (SoupServerMessage *msg, const char *name)
{
  return soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), name);
}

/* Requests to a route */

static void
respond_done (SoupServerMessage *msg, const struct hk_dispatch_result *result)
{
  soup_server_message_set_status (msg, result->status, NULL);
  set_header (msg, "Hyssopkeel-Outcome", "done");
  set_header (msg, "Hyssopkeel-Request-Id", result->request_id);
  set_header (msg, "Hyssopkeel-Instance", result->instance);
  if (result->len > 0)
    soup_server_message_set_response (
        msg,
        *result->content_type ? result->content_type
                              : "application/octet-stream",
        SOUP_MEMORY_COPY, result->body, result->len);
}

static void
on_dispatched (const struct hk_dispatch_result *result, void *user)
{
  struct call *call = user;
  SoupServerMessage *msg = call->msg;

  if (result->outcome == HK_OUTCOME_DONE)
    respond_done (msg, result);
  else if (result->outcome == HK_OUTCOME_NOT_RUN)
    hk_http_respond_problem (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "not-run",
                             result->request_id, result->reason);
  else
    hk_http_respond_problem (msg, SOUP_STATUS_GATEWAY_TIMEOUT, "unknown",
                             result->request_id, result->reason);
  if (call->entry->draining)
    set_header (msg, "Connection", "close");
  soup_server_message_unpause (msg);
  hk_entry_http_request_end (&call->entry->http);
  g_object_unref (msg);
  g_free (call);
}

/* Returns NULL, or the error to report if a header is invalid. */
static const char *
read_headers (SoupServerMessage *msg, const struct hk_route *route,
              struct hk_dispatch_request *req)
{
  const char *deadline = get_header (msg, "Hyssopkeel-Deadline-Ms");
  const char *key = get_header (msg, "Idempotency-Key");
  const char *team = get_header (msg, "Hyssopkeel-Team");
  const char *type = get_header (msg, "Content-Type");
  guint64 ms = (guint64)route->deadline_ms;

  if (deadline
      && !g_ascii_string_to_unsigned (deadline, 10, 1, DEADLINE_MAX_MS, &ms,
                                      NULL))
    return "Hyssopkeel-Deadline-Ms must be a number from 1 to 3600000";
  if (key && (!*key || strlen (key) > KEY_MAX_BYTES))
    return "Idempotency-Key must have 1 to 200 characters";
  if (team && strlen (team) > TEAM_MAX_BYTES)
    return "Hyssopkeel-Team must have at most 64 characters";
  if (type && strlen (type) > HK_RPC_MAX_NAME)
    return "Content-Type must have at most 256 characters";
  req->deadline_ms = (int64_t)ms;
  req->key = key ? key : "";
  req->team = team ? team : "";
  req->content_type = type ? type : "";
  return NULL;
}

static const struct hk_route *
find_route (struct hk_entry *entry, const char *rest)
{
  g_autofree char *name = g_strndup (rest, strcspn (rest, "/"));

  return hk_tables_route (&entry->tables, name);
}

static char *
escaped_target (SoupServerMessage *msg, const char *rest)
{
  const char *query = g_uri_get_query (soup_server_message_get_uri (msg));
  g_autofree char *escaped = g_uri_escape_string (rest, "/", FALSE);

  return query ? g_strconcat (escaped, "?", query, NULL)
               : g_steal_pointer (&escaped);
}

static void
start_dispatch (struct hk_entry *entry, SoupServerMessage *msg,
                struct hk_dispatch_request *req)
{
  struct call *call = g_new0 (struct call, 1);

  call->entry = entry;
  call->msg = g_object_ref (msg);
  soup_server_message_pause (msg);
  hk_entry_http_request_begin (&entry->http);
  hk_dispatch_start (entry, req, on_dispatched, call);
}

static void
handle_route (struct hk_entry *entry, SoupServerMessage *msg, const char *rest)
{
  g_autoptr (GBytes) body
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  g_autofree char *target = escaped_target (msg, rest);
  struct hk_dispatch_request req = { 0 };
  const char *error;

  req.route = find_route (entry, rest);
  if (!req.route)
    {
      hk_http_respond_problem (msg,
                               entry->tables.revision == 0
                                   ? SOUP_STATUS_SERVICE_UNAVAILABLE
                                   : SOUP_STATUS_NOT_FOUND,
                               "not-run", NULL, "no such route");
      return;
    }
  error = read_headers (msg, req.route, &req);
  if (req.route->kind != HK_ROUTE_INTERACTIVE)
    error = "this route takes jobs; submit them to /jobs";
  if (strlen (target) > HK_RPC_MAX_TEXT)
    error = "the path and query must have at most 1024 characters";
  if (error)
    {
      hk_http_respond_problem (msg, SOUP_STATUS_BAD_REQUEST, "not-run", NULL,
                               error);
      return;
    }
  req.method = soup_server_message_get_method (msg);
  req.path = target;
  req.body = body;
  start_dispatch (entry, msg, &req);
}

static void
handle_ticket (struct hk_entry *entry, SoupServerMessage *msg,
               const char *rest)
{
  const struct hk_route *route = find_route (entry, rest);
  g_autofree char *ticket = NULL;
  json_object *obj;

  if (!route || route->kind != HK_ROUTE_INTERACTIVE)
    {
      hk_http_respond_problem (msg, SOUP_STATUS_NOT_FOUND, "not-run", NULL,
                               "no such interactive route");
      return;
    }
  ticket = hk_ticket_new (entry, route);
  if (!ticket)
    {
      hk_http_respond_problem (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "not-run",
                               NULL, "no instance is available");
      return;
    }
  obj = json_object_new_object ();
  json_object_object_add (obj, "ticket", json_object_new_string (ticket));
  hk_http_respond_json (msg, SOUP_STATUS_CREATED, obj);
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  struct hk_entry_http *h = user;
  struct hk_entry *entry = h->entry;

  (void)server;
  (void)query;
  if (soup_server_message_get_status (msg) != 0)
    return; /* rejected before its body was complete */
  if (entry->draining)
    set_header (msg, "Connection", "close");
  if (g_str_has_prefix (path, "/r/"))
    handle_route (entry, msg, path + strlen ("/r/"));
  else if (g_str_has_prefix (path, "/tickets/"))
    handle_ticket (entry, msg, path + strlen ("/tickets/"));
  else if (strcmp (path, "/jobs") == 0 || g_str_has_prefix (path, "/jobs/"))
    hk_http_jobs (entry, msg, path);
  else if (strcmp (path, "/status") == 0)
    hk_http_status (entry, msg);
  else if (strcmp (path, "/metrics") == 0)
    hk_http_metrics (entry, msg);
  else if (strcmp (path, "/healthz") == 0)
    hk_http_respond_text (msg, SOUP_STATUS_OK, "ok\n");
  else if (strcmp (path, "/readyz") == 0)
    hk_http_ready (entry, msg);
  else
    hk_http_respond_problem (msg, SOUP_STATUS_NOT_FOUND, "not-run", NULL,
                             "no such page; requests go to /r/ROUTE");
}

static void
on_request_started (SoupServer *server, SoupServerMessage *msg, gpointer user)
{
  struct hk_entry_http *h = user;

  (void)server;
  hk_http_limits_attach (h->entry, msg);
}

static int
start (struct hk_task *task, struct hk_error *err)
{
  struct hk_entry_http *h = (struct hk_entry_http *)task;
  const char *address = h->entry->settings->http;
  struct hk_guard_limits limits = HK_GUARD_LIMITS_INIT;
  g_autoptr (GSocket) socket = NULL;
  int rc = hk_listener_new (&socket, "http.listen", address, err);

  if (rc < 0)
    return rc;
  limits.header_bytes = h->entry->settings->header_limit;
  limits.empty_bytes = h->entry->settings->empty_line_limit;
  limits.body_bytes = h->entry->settings->body_limit;
  limits.header_ms = h->entry->settings->request_read_ms;
  limits.body_ms = h->entry->settings->request_read_ms;
  limits.idle_ms = h->entry->settings->idle_ms;
  h->server = soup_server_new ("server-header", "hyssopkeel", NULL);
  soup_server_add_handler (h->server, NULL, on_request, h, NULL);
  g_signal_connect (h->server, "request-started",
                    G_CALLBACK (on_request_started), h);
  hk_http_listener_add (h->server, socket, HK_CONN_CLIENT, &limits,
                        "Hyssopkeel-Outcome: not-run\r\n");
  return HK_OK;
}

static void
close_listener (void *user)
{
  struct hk_entry_http *h = user;

  if (hk_http_listener_pending (h->server))
    {
      hk_timer_set (&h->drain_timer, ACCEPT_CHECK_MS, close_listener, h);
      return;
    }
  hk_http_listener_close (h->server);
  h->listener_closed = TRUE;
  if (h->open_requests == 0)
    hk_timer_set (&h->drain_timer, RESPONSE_FLUSH_MS, finish_drain, h);
}

static void
block_listener (void *user)
{
  struct hk_entry_http *h = user;

  hk_http_listener_block (h->server);
  hk_timer_set (&h->drain_timer, HANDSHAKE_MS, close_listener, h);
}

/* Waits first, so that the load balancer can see that this entry is not
   ready. */
static void
drain (struct hk_task *task)
{
  struct hk_entry_http *h = (struct hk_entry_http *)task;

  hk_timer_set (&h->drain_timer, h->entry->settings->leave_ms, block_listener,
                h);
}

static void
stop (struct hk_task *task)
{
  struct hk_entry_http *h = (struct hk_entry_http *)task;

  hk_timer_clear (&h->drain_timer);
  if (h->server)
    hk_http_listener_stop (h->server);
  g_clear_object (&h->server);
}

static const struct hk_task_ops ops
    = { .name = "http", .start = start, .drain = drain, .stop = stop };

void
hk_entry_http_init (struct hk_entry_http *h, struct hk_entry *entry)
{
  hk_task_init (&h->task, &ops);
  h->entry = entry;
}

/* Limits on the size of a request and on the time it takes to arrive. */
#include "http_limits.h"

#include <string.h>

#include "http_response.h"
#include "hyssopkeel/log.h"

#define IDLE_TIMEOUT_MS 60000
#define CLOSE_HEADERS                                                         \
  "\r\nHyssopkeel-Outcome: not-run\r\nConnection: close\r\n"                  \
  "Content-Length: 0\r\n\r\n"
#define TOO_LARGE_RESPONSE                                                    \
  "HTTP/1.1 413 Request Entity Too Large" CLOSE_HEADERS
#define TOO_SLOW_RESPONSE "HTTP/1.1 408 Request Timeout" CLOSE_HEADERS

struct request_limits
{
  struct hk_entry *entry;
  SoupServerMessage *msg;
  gsize body_bytes;
  struct hk_timer timer;
};

static void
free_request_limits (gpointer data)
{
  struct request_limits *r = data;

  hk_timer_clear (&r->timer);
  g_free (r);
}

static void
reject_body (struct request_limits *r)
{
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (r->msg), FALSE);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (r->msg), "Connection",
      "close");
  hk_http_respond_problem (r->msg, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                           "not-run", NULL,
                           "the body is larger than the limit of this entry");
}

/* libsoup responds only to a complete request, so the response to one that
   does not arrive in time is written directly to its socket. */
static void
on_read_timeout (void *user)
{
  struct request_limits *r = user;
  GSocket *socket = soup_server_message_get_socket (r->msg);
  gboolean body_too_large = soup_server_message_get_status (r->msg)
                            == SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
  const char *response
      = body_too_large ? TOO_LARGE_RESPONSE : TOO_SLOW_RESPONSE;

  hk_log (HK_LOG_DEBUG, "http", soup_server_message_get_remote_host (r->msg),
          NULL, "connection was idle or slow for too long");
  if (!socket)
    return;
  g_socket_send_with_blocking (socket, response, strlen (response), FALSE,
                               NULL, NULL);
  g_socket_shutdown (socket, TRUE, TRUE, NULL);
}

static void
on_got_headers (SoupServerMessage *msg, gpointer user)
{
  struct request_limits *r = user;
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);

  hk_timer_set (&r->timer, r->entry->settings->request_read_ms,
                on_read_timeout, r);
  if (soup_message_headers_get_encoding (headers)
          == SOUP_ENCODING_CONTENT_LENGTH
      && soup_message_headers_get_content_length (headers)
             > r->entry->settings->body_limit)
    reject_body (r);
}

static void
on_got_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer user)
{
  struct request_limits *r = user;
  gsize limit = (gsize)r->entry->settings->body_limit;
  gboolean was_within_limit = r->body_bytes <= limit;

  (void)msg;
  r->body_bytes += g_bytes_get_size (chunk);
  if (was_within_limit && r->body_bytes > limit
      && soup_server_message_get_status (r->msg) == 0)
    reject_body (r);
}

static void
on_got_body (SoupServerMessage *msg, gpointer user)
{
  struct request_limits *r = user;

  (void)msg;
  hk_timer_clear (&r->timer);
}

void
hk_http_limits_attach (struct hk_entry *entry, SoupServerMessage *msg)
{
  struct request_limits *r = g_new0 (struct request_limits, 1);

  r->entry = entry;
  r->msg = msg;
  hk_timer_set (&r->timer, IDLE_TIMEOUT_MS, on_read_timeout, r);
  g_object_set_data_full (G_OBJECT (msg), "hk-reading", r,
                          free_request_limits);
  g_signal_connect (msg, "got-headers", G_CALLBACK (on_got_headers), r);
  g_signal_connect (msg, "got-chunk", G_CALLBACK (on_got_chunk), r);
  g_signal_connect (msg, "got-body", G_CALLBACK (on_got_body), r);
}

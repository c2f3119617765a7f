/* Limits on the size of the body of a request. */
#include "http_limits.h"

#include "http_response.h"
#include "hyssopkeel/http_conn.h"

struct request_limits
{
  struct hk_entry *entry;
  SoupServerMessage *msg;
  gsize body_bytes;
};

static void
reject_body (struct request_limits *r)
{
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (r->msg), FALSE);
  hk_http_conn_body_discarded (r->msg);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (r->msg), "Connection",
      "close");
  hk_http_respond_problem (r->msg, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                           "not-run", NULL,
                           "the body is larger than the limit of this entry");
}

static void
on_got_headers (SoupServerMessage *msg, gpointer user)
{
  struct request_limits *r = user;
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);

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

void
hk_http_limits_attach (struct hk_entry *entry, SoupServerMessage *msg)
{
  struct request_limits *r = g_new0 (struct request_limits, 1);

  r->entry = entry;
  r->msg = msg;
  g_object_set_data_full (G_OBJECT (msg), "hk-reading", r, g_free);
  g_signal_connect (msg, "got-headers", G_CALLBACK (on_got_headers), r);
  g_signal_connect (msg, "got-chunk", G_CALLBACK (on_got_chunk), r);
}

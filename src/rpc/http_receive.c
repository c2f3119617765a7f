/* Receiving of requests: decides how much of what arrives libsoup may get. */
#include <gio/gio.h>

#include "http_conn_priv.h"

#define RECEIVE_BYTES 16384
/* Reads on one connection before others are served. */
#define READS_PER_TURN_MAX 4
/* libsoup gets a streamed body in pieces of this size: it allocates more for a
   small piece than the piece has bytes. */
#define BODY_PIECE_BYTES 8192
/* A client that goes on to send after its rejection is read up to here, since
   closing a socket with unread bytes may discard the response. */
#define LINGER_MAX_BYTES (1 << 20)

static uint8_t buf[RECEIVE_BYTES];

/* Receives up to @max bytes into @buf. Returns their number, or 0 if none have
   arrived or the connection is at its end. */
static size_t
receive_some (struct hk_http_conn *conn, size_t max)
{
  g_autoptr (GError) gerr = NULL;
  gssize n;

  if (conn->eof)
    return 0;
  n = g_socket_receive_with_blocking (
      conn->socket, (char *)buf, MIN (max, sizeof buf), FALSE, NULL, &gerr);
  if (n > 0)
    return (size_t)n;
  if (n == 0 || !g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      conn->eof = TRUE;
      hk_watch_clear (&conn->watch);
    }
  return 0;
}

/* Appends up to @max bytes to the buffer of the connection. */
static gboolean
receive_bytes (struct hk_http_conn *conn, size_t max)
{
  size_t n = receive_some (conn, max);

  if (n == 0)
    return FALSE;
  if (!conn->in)
    conn->in = g_byte_array_new ();
  g_byte_array_append (conn->in, buf, (guint)n);
  return TRUE;
}

/* libsoup may get the received bytes of the request. */
static void
release_request (struct hk_http_conn *conn)
{
  conn->ready = conn->request_bytes;
  if (conn->framing.done)
    hk_guard_enter (&conn->guard, HK_GUARD_BUSY);
  hk_http_conn_update_held (conn);
  hk_watch_clear (&conn->watch);
  if (conn->stream)
    hk_http_stream_wake (conn->stream);
  else if (!conn->handed_over)
    hk_http_conn_hand_over (conn);
}

static gboolean
reject_invalid (struct hk_http_conn *conn)
{
  gboolean invalid = conn->framing.invalid;

  if (invalid)
    hk_http_conn_reject (conn, "400 Bad Request");
  return invalid;
}

static void
wait_for_more (struct hk_http_conn *conn)
{
  if (!conn->eof)
    hk_http_conn_watch (conn);
  else
    hk_http_conn_end (conn);
}

/* A body over the limit is streamed: libsoup reads it to its end before it
   responds with status 413. */
static void
receive_buffered (struct hk_http_conn *conn)
{
  size_t limit = (size_t)conn->guard.group->limits.body_bytes
                 + (size_t)conn->guard.group->limits.header_bytes;

  for (int i = 0; i < READS_PER_TURN_MAX; i++)
    {
      uint64_t left = conn->framing.body_left;

      if (!receive_bytes (conn, conn->framing.chunked
                                    ? BODY_PIECE_BYTES
                                    : (size_t)MIN (left, RECEIVE_BYTES)))
        break;
      conn->request_bytes += hk_http_framing_body (
          &conn->framing, conn->in->data + conn->request_bytes,
          conn->in->len - conn->request_bytes);
      if (reject_invalid (conn))
        return;
      conn->streamed = conn->request_bytes > limit;
      if (conn->framing.done || conn->streamed)
        {
          release_request (conn);
          return;
        }
    }
  hk_http_conn_update_held (conn);
  wait_for_more (conn);
}

static void
begin_body (struct hk_http_conn *conn, size_t header_bytes)
{
  struct hk_http_framing *f = &conn->framing;

  if (reject_invalid (conn))
    return;
  conn->request_bytes = header_bytes;
  conn->discarded
      = !f->chunked
        && f->body_left > (uint64_t)hk_http_stream_body_limit (conn);
  conn->streamed = conn->discarded || f->expects_continue;
  hk_guard_enter (&conn->guard, HK_GUARD_BODY);
  if (!conn->streamed && !f->done)
    conn->request_bytes += hk_http_framing_body (
        f, conn->in->data + header_bytes, conn->in->len - header_bytes);
  if (reject_invalid (conn))
    return;
  if (conn->streamed || f->done)
    release_request (conn);
  else
    receive_buffered (conn);
}

static void
receive_header (struct hk_http_conn *conn)
{
  const struct hk_guard_limits *limits = &conn->guard.group->limits;
  size_t max = (size_t)limits->header_bytes;
  size_t len;

  do
    {
      size_t n = 0;
      size_t skip;

      if (!conn->in || conn->in->len == 0)
        continue;
      hk_guard_enter (&conn->guard, HK_GUARD_HEADER);
      if (conn->framing.scanned == 0)
        {
          skip = hk_http_framing_empty (&conn->framing, conn->in->data,
                                        conn->in->len);
          g_byte_array_remove_range (conn->in, 0, (guint)skip);
        }
      if (conn->framing.empty_bytes > (size_t)limits->empty_bytes)
        {
          hk_guard_count (HK_GUARD_EMPTY_LINES);
          hk_http_conn_end (conn);
          return;
        }
      if (conn->in->len > 0)
        n = hk_http_framing_header (&conn->framing, conn->in->data,
                                    conn->in->len);
      len = n > 0 ? n : conn->in->len;
      if (len > max)
        {
          hk_guard_count (HK_GUARD_HEADER_SIZE);
          hk_http_conn_reject (conn, "431 Request Header Fields Too Large");
          return;
        }
      hk_http_conn_update_held (conn);
      if (n > 0)
        {
          begin_body (conn, n);
          return;
        }
    }
  while (receive_bytes (conn, max + 1));
  wait_for_more (conn);
}

/* A chunk may be followed by the next request. */
static void
receive_chunks (struct hk_http_conn *conn)
{
  size_t pending;

  if (conn->in->len == conn->ready)
    receive_bytes (conn, BODY_PIECE_BYTES);
  pending = conn->in->len - conn->ready;
  conn->ready += hk_http_framing_body (&conn->framing,
                                       conn->in->data + conn->ready, pending);
}

static void
receive_sized (struct hk_http_conn *conn)
{
  uint64_t left = conn->framing.body_left;
  size_t piece = (size_t)MIN (left, BODY_PIECE_BYTES);
  size_t have;

  while (conn->in->len - conn->ready < piece
         && receive_bytes (conn, piece - (conn->in->len - conn->ready)))
    ;
  have = conn->in->len - conn->ready;
  if (have >= piece || conn->eof)
    conn->ready += hk_http_framing_body (&conn->framing,
                                         conn->in->data + conn->ready, have);
}

static void
receive_streamed (struct hk_http_conn *conn)
{
  if (!conn->in)
    conn->in = g_byte_array_new ();
  if (conn->framing.chunked)
    receive_chunks (conn);
  else
    receive_sized (conn);
  if (reject_invalid (conn))
    return;
  hk_http_conn_update_held (conn);
  if (conn->framing.done)
    hk_guard_enter (&conn->guard, HK_GUARD_BUSY);
  if (conn->ready == 0 && !conn->eof)
    {
      hk_http_conn_watch (conn);
      return;
    }
  hk_watch_clear (&conn->watch);
  if (conn->stream)
    hk_http_stream_wake (conn->stream);
}

static void
receive_lingering (struct hk_http_conn *conn)
{
  size_t n;

  while (conn->lingered <= LINGER_MAX_BYTES
         && (n = receive_some (conn, RECEIVE_BYTES)) > 0)
    conn->lingered += n;
  if (conn->eof || conn->lingered > LINGER_MAX_BYTES)
    hk_http_conn_end (conn);
}

void
hk_http_conn_receive (struct hk_http_conn *conn)
{
  if (!conn->guard.group)
    return;
  if (conn->guard.phase == HK_GUARD_LINGER)
    receive_lingering (conn);
  else if (conn->guard.phase == HK_GUARD_BODY && conn->ready > 0)
    return;
  else if (conn->guard.phase == HK_GUARD_BODY && conn->streamed)
    receive_streamed (conn);
  else if (conn->guard.phase == HK_GUARD_BODY)
    receive_buffered (conn);
  else if (conn->guard.phase == HK_GUARD_IDLE
           || conn->guard.phase == HK_GUARD_HEADER)
    receive_header (conn);
}

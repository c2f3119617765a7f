/* Accepted HTTP connections. Each receives a request header into a buffer of
   its own; libsoup gets the stream once the first header is complete, and no
   byte beyond the end of a request. Sockets are polled with epoll, so open
   connections cost nothing in an iteration of the main loop. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "http_conn_priv.h"

/* What libsoup allocates for a request whose body it reads: 28 KB measured
   with libsoup 3.2.3. */
#define REQUEST_BYTES 28672
/* What it allocates for a chunk beside the bytes of the chunk. */
#define CHUNK_BYTES 256
#define ADDRESS_KEY "hk-http-conn"

static void
on_ready (uint32_t events, void *user)
{
  (void)events;
  hk_http_conn_receive (user);
}

void
hk_http_conn_update_held (struct hk_http_conn *conn)
{
  size_t bytes = conn->in ? conn->in->len - conn->at : 0;

  if (!conn->discarded)
    bytes += conn->taken;
  if (conn->streamed && conn->guard.phase == HK_GUARD_BODY)
    bytes += REQUEST_BYTES + (size_t)conn->framing.chunks * CHUNK_BYTES;
  hk_guard_hold (&conn->guard, bytes);
}

static void
close_socket (struct hk_http_conn *conn)
{
  hk_guard_remove (&conn->guard);
  hk_watch_clear (&conn->watch);
  g_socket_close (conn->socket, NULL);
  conn->eof = TRUE;
}

static void
free_conn (struct hk_http_conn *conn)
{
  close_socket (conn);
  if (conn->remote)
    g_object_set_data (G_OBJECT (conn->remote), ADDRESS_KEY, NULL);
  g_clear_object (&conn->remote);
  g_clear_object (&conn->socket);
  if (conn->in)
    g_byte_array_unref (conn->in);
  g_free (conn);
}

void
hk_http_conn_watch (struct hk_http_conn *conn)
{
  if (!conn->eof && !conn->watch.events)
    hk_watch_set (&conn->watch, g_socket_get_fd (conn->socket), EPOLLIN,
                  on_ready, conn);
}

/* Rejections. libsoup responds only to complete requests, so these responses
   are written directly to the socket. */

static void
write_response (struct hk_http_conn *conn, const char *status)
{
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 %s\r\n%sConnection: close\r\n"
                         "Content-Length: 0\r\n\r\n",
                         status, conn->fields);

  g_socket_send_with_blocking (conn->socket, text, strlen (text), FALSE, NULL,
                               NULL);
}

/* libsoup 3.2.3 never closes a connection that ends or fails before a request
   is complete. It closes one after a malformed request, to which it can't
   respond any more. */
static void
feed_malformed (struct hk_http_conn *conn)
{
  static const char text[] = "-\r\n\r\n";

  g_clear_pointer (&conn->in, g_byte_array_unref);
  conn->in = g_byte_array_new ();
  g_byte_array_append (conn->in, (const guint8 *)text, strlen (text));
  conn->at = 0;
  conn->ready = strlen (text);
}

/* Lets libsoup close its stream. */
static void
end_stream (struct hk_http_conn *conn, enum hk_guard_phase phase)
{
  conn->ready = 0;
  if (phase == HK_GUARD_IDLE || phase == HK_GUARD_HEADER
      || (phase == HK_GUARD_BODY && !conn->streamed))
    feed_malformed (conn);
  hk_http_stream_wake (conn->stream);
}

void
hk_http_conn_reject (struct hk_http_conn *conn, const char *status)
{
  enum hk_guard_phase phase = conn->guard.phase;

  write_response (conn, status);
  shutdown (g_socket_get_fd (conn->socket), SHUT_WR);
  conn->eof = FALSE;
  conn->ready = 0;
  conn->at = 0;
  g_clear_pointer (&conn->in, g_byte_array_unref);
  hk_guard_hold (&conn->guard, 0);
  hk_guard_enter (&conn->guard, HK_GUARD_LINGER);
  hk_http_conn_watch (conn);
  if (conn->stream)
    end_stream (conn, phase);
}

void
hk_http_conn_end (struct hk_http_conn *conn)
{
  if (conn->stream)
    {
      close_socket (conn);
      if (conn->guard.phase != HK_GUARD_LINGER)
        end_stream (conn, conn->guard.phase);
    }
  else
    free_conn (conn);
}

static gboolean
is_blocked (const struct hk_guard_conn *base)
{
  const struct hk_http_conn *conn = (const struct hk_http_conn *)base;

  return g_socket_condition_check (conn->socket, G_IO_OUT) == 0;
}

/* libsoup fails to write the response and closes the stream. What the client
   has not read is discarded, or the kernel would keep it for minutes. */
static void
abort_response (struct hk_http_conn *conn)
{
  const struct linger discard = { .l_onoff = 1 };
  int fd = g_socket_get_fd (conn->socket);

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  shutdown (fd, SHUT_RDWR);
}

static const char *
late_status (const struct hk_http_conn *conn)
{
  return conn->discarded ? "413 Request Entity Too Large"
                         : "408 Request Timeout";
}

static void
close_conn (struct hk_guard_conn *base, enum hk_guard_cause cause)
{
  struct hk_http_conn *conn = (struct hk_http_conn *)base;
  gboolean begun
      = base->phase == HK_GUARD_HEADER || base->phase == HK_GUARD_BODY;

  if (base->phase == HK_GUARD_BUSY)
    {
      abort_response (conn);
      return;
    }
  if (cause == HK_GUARD_HEADER_TIMEOUT || cause == HK_GUARD_BODY_TIMEOUT)
    {
      hk_http_conn_reject (conn, late_status (conn));
      return;
    }
  if (begun)
    write_response (conn, "503 Service Unavailable");
  hk_http_conn_end (conn);
}

static void
receive_waiting (struct hk_guard_conn *base)
{
  hk_http_conn_receive ((struct hk_http_conn *)base);
}

static const struct hk_guard_conn_ops guard_ops = { .receive = receive_waiting,
                                                    .is_blocked = is_blocked,
                                                    .close = close_conn };

void
hk_http_conn_hand_over (struct hk_http_conn *conn)
{
  g_autoptr (GSocketAddress) local
      = g_socket_get_local_address (conn->socket, NULL);
  g_autoptr (GIOStream) stream = NULL;

  conn->remote = g_socket_get_remote_address (conn->socket, NULL);
  if (!local || !conn->remote)
    {
      free_conn (conn);
      return;
    }
  g_object_set_data (G_OBJECT (conn->remote), ADDRESS_KEY, conn);
  conn->handed_over = TRUE;
  stream = hk_http_stream_new (&conn->stream, conn, conn->socket);
  hk_http_conn_update_held (conn);
  soup_server_accept_iostream (conn->server, stream, local, conn->remote,
                               NULL);
}

/* The end of libsoup */

static void
begin_request (struct hk_http_conn *conn)
{
  memset (&conn->framing, 0, sizeof conn->framing);
  conn->taken = 0;
  conn->discarded = FALSE;
  conn->streamed = FALSE;
  hk_guard_enter (&conn->guard, HK_GUARD_IDLE);
  hk_http_conn_update_held (conn);
}

/* libsoup reads or polls a connection again once its response is written. */
gboolean
hk_http_conn_prepare (struct hk_http_conn *conn)
{
  if (conn->ready == 0 && conn->guard.phase == HK_GUARD_BUSY)
    begin_request (conn);
  if (conn->ready == 0 && conn->guard.phase != HK_GUARD_LINGER)
    hk_http_conn_receive (conn);
  return conn->ready > 0 || conn->eof || conn->guard.phase == HK_GUARD_LINGER;
}

gssize
hk_http_conn_take (struct hk_http_conn *conn, void *buf, size_t max)
{
  size_t n;

  if (!hk_http_conn_prepare (conn))
    return -1;
  if (conn->ready == 0)
    return 0;
  n = MIN (max, conn->ready);
  memcpy (buf, conn->in->data + conn->at, n);
  conn->at += n;
  conn->ready -= n;
  conn->taken += n;
  if (conn->at == conn->in->len)
    {
      g_clear_pointer (&conn->in, g_byte_array_unref);
      conn->at = 0;
    }
  else if (conn->ready == 0)
    {
      g_byte_array_remove_range (conn->in, 0, (guint)conn->at);
      conn->at = 0;
    }
  hk_http_conn_update_held (conn);
  return (gssize)n;
}

int64_t
hk_http_stream_body_limit (const struct hk_http_conn *conn)
{
  return conn->guard.group ? conn->guard.group->limits.body_bytes : G_MAXINT64;
}

void
hk_http_conn_stream_closed (struct hk_http_conn *conn)
{
  conn->stream = NULL;
  if (conn->guard.group && conn->guard.phase == HK_GUARD_LINGER && !conn->eof)
    return;
  free_conn (conn);
}

static struct hk_http_conn *
find_conn (SoupServerMessage *msg)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (msg);

  return remote ? g_object_get_data (G_OBJECT (remote), ADDRESS_KEY) : NULL;
}

int64_t
hk_http_conn_body_limit (SoupServerMessage *msg)
{
  const struct hk_http_conn *conn = find_conn (msg);

  return conn ? hk_http_stream_body_limit (conn) : G_MAXINT64;
}

void
hk_http_conn_body_discarded (SoupServerMessage *msg)
{
  struct hk_http_conn *conn = find_conn (msg);

  if (!conn)
    return;
  conn->discarded = TRUE;
  hk_http_conn_update_held (conn);
}

/* Connections of a listener */

void
hk_http_conn_accept (GSocket *socket, SoupServer *server,
                     struct hk_guard_group *group, const char *fields)
{
  struct hk_http_conn *conn = g_new0 (struct hk_http_conn, 1);

  conn->guard.ops = &guard_ops;
  conn->server = server;
  conn->fields = fields;
  conn->socket = g_object_ref (socket);
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  hk_guard_add (&conn->guard, group);
  hk_http_conn_receive (conn);
}

gboolean
hk_http_conn_receive_all (struct hk_guard_group *group)
{
  static const enum hk_guard_phase phases[]
      = { HK_GUARD_BODY, HK_GUARD_HEADER, HK_GUARD_IDLE };
  gboolean complete = FALSE;

  for (guint i = 0; i < G_N_ELEMENTS (phases); i++)
    {
      struct hk_guard_conn *conn = TAILQ_FIRST (&group->conns[phases[i]]);

      while (conn)
        {
          struct hk_guard_conn *next = TAILQ_NEXT (conn, link);
          unsigned open = group->n_connections;

          conn->ops->receive (conn);
          complete = complete
                     || (group->n_connections == open
                         && conn->phase == HK_GUARD_BUSY);
          conn = next;
        }
    }
  return complete;
}

void
hk_http_conn_close_all (struct hk_guard_group *group)
{
  for (int phase = 0; phase < HK_GUARD_N_PHASES; phase++)
    {
      struct hk_guard_conn *conn;

      while ((conn = TAILQ_FIRST (&group->conns[phase])))
        hk_http_conn_end ((struct hk_http_conn *)conn);
    }
}

/* Record marking (RFC 5531, section 11) on one TCP connection. Accepts only
   records of a single fragment and of limited size. */
#include "hyssopkeel/rpc_conn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>

#define READ_CHUNK_BYTES 65536
#define LAST_FRAGMENT_BIT 0x80000000u

GSocketAddress *
hk_address_parse (const char *text, struct hk_error *err)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *ip = NULL;
  GSocketAddress *address = NULL;
  guint64 port = 0;

  if (colon
      && g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    {
      ip = g_strndup (text, (gsize)(colon - text));
      address = g_inet_socket_address_new_from_string (ip, (guint)port);
    }
  if (!address)
    hk_error_set (err, HK_ERR_INVALID, "address.parse", text,
                  "must be an IP number and port, such as 127.0.0.1:7000");
  return address;
}

void
hk_rpc_conn_finish (struct hk_rpc_conn *conn)
{
  if (!conn->socket)
    return;
  hk_watch_clear (&conn->watch);
  g_socket_close (conn->socket, NULL);
  g_clear_object (&conn->socket);
  g_clear_pointer (&conn->in, g_byte_array_unref);
  g_clear_pointer (&conn->out, g_byte_array_unref);
  if (conn->destroyed)
    *conn->destroyed = TRUE;
  conn->destroyed = NULL;
}

static void
fail_connection (struct hk_rpc_conn *conn, int code, const char *step,
                 const char *text)
{
  struct hk_error err;

  hk_error_set (&err, code, step, conn->peer, "%s", text);
  hk_rpc_conn_finish (conn);
  conn->ops->closed (conn, &err);
}

static void
fail_connection_gerror (struct hk_rpc_conn *conn, const char *step,
                        const GError *gerr)
{
  struct hk_error err;

  hk_error_from_gerror (&err, step, conn->peer, gerr);
  fail_connection (conn, err.code, step, err.text);
}

static void
report_pending (struct hk_rpc_conn *conn)
{
  if (conn->ops->pending)
    conn->ops->pending (conn, conn->in->len, conn->out->len);
}

/* Passes each complete record to the owner; stops if the callback closes the
   connection. */
static void
deliver_records (struct hk_rpc_conn *conn)
{
  gboolean destroyed = FALSE;
  gsize consumed = 0;

  conn->destroyed = &destroyed;
  while (conn->in->len - consumed >= 4)
    {
      uint32_t mark;
      uint32_t len;

      memcpy (&mark, conn->in->data + consumed, 4);
      mark = GUINT32_FROM_BE (mark);
      len = mark & ~LAST_FRAGMENT_BIT;
      if (!(mark & LAST_FRAGMENT_BIT) || len > HK_RPC_MESSAGE_MAX_BYTES)
        {
          fail_connection (conn, HK_ERR_TOO_BIG, "rpc.read",
                           "record is fragmented or over the size limit");
          return;
        }
      if (conn->in->len - consumed - 4 < len)
        break;
      if (conn->ops->record (conn, conn->in->data + consumed + 4, len) < 0)
        {
          if (!destroyed)
            fail_connection (conn, HK_ERR_PROTOCOL, "rpc.read",
                             "message does not parse");
          return;
        }
      if (destroyed)
        return;
      consumed += 4 + len;
    }
  conn->destroyed = NULL;
  /* A connection that is idle keeps no memory for the next record. */
  if (consumed == conn->in->len)
    {
      g_byte_array_unref (conn->in);
      conn->in = g_byte_array_new ();
    }
  else if (consumed > 0)
    g_byte_array_remove_range (conn->in, 0, (guint)consumed);
  report_pending (conn);
}

static void on_ready (uint32_t events, void *user);

static void
watch_socket (struct hk_rpc_conn *conn, uint32_t events)
{
  hk_watch_set (&conn->watch, g_socket_get_fd (conn->socket), events, on_ready,
                conn);
}

static void
read_available (struct hk_rpc_conn *conn)
{
  static uint8_t chunk[READ_CHUNK_BYTES];
  g_autoptr (GError) gerr = NULL;
  gssize n = g_socket_receive_with_blocking (conn->socket, (char *)chunk,
                                             sizeof chunk, FALSE, NULL, &gerr);

  if (n > 0)
    {
      g_byte_array_append (conn->in, chunk, (guint)n);
      conn->bytes_in += (uint64_t)n;
      deliver_records (conn);
    }
  else if (n == 0)
    fail_connection (conn, HK_ERR_IO, "rpc.read",
                     "peer closed the connection");
  else if (!g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    fail_connection_gerror (conn, "rpc.read", gerr);
}

void
hk_rpc_conn_receive (struct hk_rpc_conn *conn)
{
  read_available (conn);
}

/* A peer that always leaves some bytes unread must not make the buffer grow by
   all that it reads. */
static void
discard_sent (struct hk_rpc_conn *conn)
{
  if (conn->out_offset == conn->out->len)
    {
      g_byte_array_unref (conn->out);
      conn->out = g_byte_array_new ();
    }
  else if (conn->out_offset >= conn->out->len / 2)
    g_byte_array_remove_range (conn->out, 0, (guint)conn->out_offset);
  else
    return;
  conn->out_offset = 0;
}

/* Ignores write errors: the next read fails as well and reports them. */
static void
flush_output (struct hk_rpc_conn *conn)
{
  gboolean blocked;

  while (conn->out_offset < conn->out->len)
    {
      gssize n = g_socket_send_with_blocking (
          conn->socket, (char *)conn->out->data + conn->out_offset,
          conn->out->len - conn->out_offset, FALSE, NULL, NULL);

      if (n <= 0)
        break;
      conn->bytes_out += (uint64_t)n;
      conn->out_offset += (gsize)n;
    }
  blocked = conn->out_offset < conn->out->len;
  discard_sent (conn);
  if (blocked != conn->write_blocked)
    watch_socket (conn, blocked ? EPOLLIN | EPOLLOUT : EPOLLIN);
  conn->write_blocked = blocked;
  report_pending (conn);
}

static void
finish_connect (struct hk_rpc_conn *conn)
{
  g_autoptr (GError) gerr = NULL;

  if (!g_socket_check_connect_result (conn->socket, &gerr))
    {
      fail_connection (conn, HK_ERR_UNAVAILABLE, "rpc.connect", gerr->message);
      return;
    }
  conn->connecting = FALSE;
  watch_socket (conn, EPOLLIN);
  conn->ops->opened (conn);
}

static void
on_ready (uint32_t events, void *user)
{
  struct hk_rpc_conn *conn = user;

  if (conn->connecting)
    {
      finish_connect (conn);
      return;
    }
  /* Writes first, since reading may close the connection. */
  if (events & EPOLLOUT)
    flush_output (conn);
  if (events & ~(uint32_t)EPOLLOUT)
    read_available (conn);
}

void
hk_rpc_conn_send (struct hk_rpc_conn *conn, const uint8_t *data, uint32_t len)
{
  uint32_t mark = GUINT32_TO_BE (len | LAST_FRAGMENT_BIT);

  if (!conn->socket)
    return;
  g_byte_array_append (conn->out, (const guint8 *)&mark, 4);
  g_byte_array_append (conn->out, data, len);
  if (!conn->write_blocked)
    flush_output (conn);
  else
    report_pending (conn);
}

static void
init_connection (struct hk_rpc_conn *conn, GSocket *socket,
                 const struct hk_rpc_conn_ops *ops, void *user)
{
  conn->socket = socket;
  conn->ops = ops;
  conn->user = user;
  conn->in = g_byte_array_new ();
  conn->out = g_byte_array_new ();
  conn->out_offset = 0;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  conn->write_blocked = FALSE;
}

void
hk_rpc_conn_accept (struct hk_rpc_conn *conn, GSocket *socket,
                    const struct hk_rpc_conn_ops *ops, void *user)
{
  g_autoptr (GSocketAddress) remote = NULL;

  init_connection (conn, g_object_ref (socket), ops, user);
  remote = g_socket_get_remote_address (socket, NULL);
  if (G_IS_INET_SOCKET_ADDRESS (remote))
    {
      GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS (remote);
      g_autofree char *ip = g_inet_address_to_string (
          g_inet_socket_address_get_address (inet));

      g_snprintf (conn->peer, sizeof conn->peer, "%s:%u", ip,
                  g_inet_socket_address_get_port (inet));
    }
  watch_socket (conn, EPOLLIN);
}

int
hk_rpc_conn_connect (struct hk_rpc_conn *conn, const char *address,
                     const struct hk_rpc_conn_ops *ops, void *user,
                     struct hk_error *err)
{
  g_autoptr (GSocketAddress) addr = hk_address_parse (address, err);
  g_autoptr (GError) gerr = NULL;
  GSocket *socket;

  if (!addr)
    return HK_ERR_INVALID;
  socket = g_socket_new (g_socket_address_get_family (addr),
                         G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &gerr);
  if (!socket)
    return hk_error_from_gerror (err, "rpc.connect", address, gerr);
  g_strlcpy (conn->peer, address, sizeof conn->peer);
  init_connection (conn, socket, ops, user);
  if (!g_socket_connect (socket, addr, NULL, &gerr)
      && !g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_PENDING))
    {
      hk_rpc_conn_finish (conn);
      return hk_error_set (err, HK_ERR_UNAVAILABLE, "rpc.connect", address,
                           "%s", gerr->message);
    }
  conn->connecting = TRUE;
  watch_socket (conn, EPOLLOUT);
  return HK_OK;
}

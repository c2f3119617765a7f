/* Listening sockets of all servers. */
#include "hyssopkeel/listener.h"

#include "hyssopkeel/rpc_conn.h"

/* Connections that may wait to be accepted. With a full queue the kernel drops
   SYN packets, which are repeated after a second, and falls back to SYN
   cookies, with which it may reset a connection after its request was sent. */
#define LISTEN_BACKLOG_CONNECTIONS 1024

int
hk_listener_new (GSocket **out, const char *step, const char *address,
                 struct hk_error *err)
{
  g_autoptr (GSocketAddress) addr = hk_address_parse (address, err);
  g_autoptr (GSocket) socket = NULL;
  g_autoptr (GError) gerr = NULL;

  *out = NULL;
  if (!addr)
    return HK_ERR_INVALID;
  socket = g_socket_new (g_socket_address_get_family (addr),
                         G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &gerr);
  if (!socket)
    return hk_error_from_gerror (err, step, address, gerr);
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG_CONNECTIONS);
  if (!g_socket_bind (socket, addr, TRUE, &gerr)
      || !g_socket_listen (socket, &gerr))
    return hk_error_from_gerror (err, step, address, gerr);
  *out = g_steal_pointer (&socket);
  return HK_OK;
}

/* Listening sockets of an HTTP server. The kernel resets the connections that
   wait to be accepted when their socket is shut down, so it must let no more
   of them begin before. */
#include "hyssopkeel/http_listener.h"

#include <errno.h>
#include <linux/filter.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "hyssopkeel/http_conn.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/poller.h"

#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN 0x02
#define WHOLE_SEGMENT 0xffffffff
#define LISTENERS_KEY "hk-http-listeners"
/* Connections accepted before other work continues. */
#define ACCEPTED_PER_TURN_MAX 16
/* The kernel takes twice as much for a client's connection that is not read.
   It may count as memory of the process. */
#define CLIENT_RECEIVE_BUFFER_BYTES 32768

struct listener
{
  struct hk_guard_group group;
  SoupServer *server;
  GSocket *socket;
  struct hk_watch watch;
  const char *fields;
};

static void
for_each_listener (SoupServer *server,
                   void (*visit) (struct listener *, void *), void *user)
{
  GPtrArray *listeners = g_object_get_data (G_OBJECT (server), LISTENERS_KEY);

  for (guint i = 0; listeners && i < listeners->len; i++)
    visit (listeners->pdata[i], user);
}

static void on_acceptable (uint32_t events, void *user);

static void
resume (struct hk_guard_group *group)
{
  struct listener *l = (struct listener *)group;

  hk_watch_set (&l->watch, g_socket_get_fd (l->socket), EPOLLIN, on_acceptable,
                l);
}

/* A listener that can't accept is not watched until the guard resumes it, as
   its socket stays readable. */
static void
on_acceptable (uint32_t events, void *user)
{
  struct listener *l = user;

  (void)events;
  for (int i = 0; i < ACCEPTED_PER_TURN_MAX; i++)
    {
      g_autoptr (GError) gerr = NULL;
      g_autoptr (GSocket) socket = NULL;

      if (g_socket_condition_check (l->socket, G_IO_IN) == 0)
        return;
      if (!hk_guard_admit (&l->group))
        {
          hk_watch_clear (&l->watch);
          return;
        }
      socket = g_socket_accept (l->socket, NULL, &gerr);
      if (socket)
        hk_http_conn_accept (socket, l->server, &l->group, l->fields);
      else if (!g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          /* After hk_http_listener_close(), and for lack of descriptors or
             memory. */
          hk_watch_clear (&l->watch);
          if (!g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT))
            hk_guard_accept_failed (&l->group);
          return;
        }
    }
}

static void
free_listener (gpointer data)
{
  struct listener *l = data;

  hk_watch_clear (&l->watch);
  hk_http_conn_close_all (&l->group);
  hk_guard_group_finish (&l->group);
  g_object_unref (l->socket);
  g_free (l);
}

static void
free_listeners (gpointer data)
{
  g_ptr_array_unref (data);
}

/* libsoup closes each connection after its response if the server has no
   listener. This one is shut down at once, so no connection ever begins. */
static void
add_placeholder (SoupServer *server)
{
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GInetAddress) loopback
      = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new (loopback, 0);
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                      G_SOCKET_PROTOCOL_TCP, &gerr);

  if (!socket || !g_socket_bind (socket, address, FALSE, &gerr)
      || !g_socket_listen (socket, &gerr)
      || !soup_server_listen_socket (server, socket, 0, &gerr))
    hk_log (HK_LOG_WARN, "http", NULL, NULL,
            "connections are closed after each response: %s", gerr->message);
  else
    shutdown (g_socket_get_fd (socket), SHUT_RD);
}

struct hk_guard_group *
hk_http_listener_add (SoupServer *server, GSocket *socket,
                      enum hk_conn_origin origin,
                      const struct hk_guard_limits *limits, const char *fields)
{
  GPtrArray *listeners = g_object_get_data (G_OBJECT (server), LISTENERS_KEY);
  struct listener *l = g_new0 (struct listener, 1);

  if (!listeners)
    {
      listeners = g_ptr_array_new_with_free_func (free_listener);
      g_object_set_data_full (G_OBJECT (server), LISTENERS_KEY, listeners,
                              free_listeners);
      add_placeholder (server);
    }
  l->group.origin = origin;
  l->group.limits = *limits;
  l->group.resume = resume;
  l->server = server;
  l->socket = g_object_ref (socket);
  l->fields = fields;
  /* Accepted sockets inherit it. */
  if (origin == HK_CONN_CLIENT)
    g_socket_set_option (socket, SOL_SOCKET, SO_RCVBUF,
                         CLIENT_RECEIVE_BUFFER_BYTES, NULL);
  hk_guard_group_init (&l->group);
  g_ptr_array_add (listeners, l);
  resume (&l->group);
  return &l->group;
}

/* Accepted sockets inherit the filter, and receive no SYN segment anyway. */
static void
block (struct listener *l, void *user)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, WHOLE_SEGMENT),
  };
  struct sock_fprog program = { G_N_ELEMENTS (code), code };

  (void)user;
  if (setsockopt (g_socket_get_fd (l->socket), SOL_SOCKET, SO_ATTACH_FILTER,
                  &program, sizeof program)
      < 0)
    hk_log (HK_LOG_WARN, "http", NULL, NULL,
            "listener takes no filter: %s; connections that begin while it "
            "closes may be reset",
            g_strerror (errno));
}

void
hk_http_listener_block (SoupServer *server)
{
  for_each_listener (server, block, NULL);
}

static void
check_pending (struct listener *l, void *user)
{
  gboolean *pending = user;

  *pending = hk_http_conn_receive_all (&l->group) || *pending
             || g_socket_condition_check (l->socket, G_IO_IN) != 0;
}

gboolean
hk_http_listener_pending (SoupServer *server)
{
  gboolean pending = FALSE;

  for_each_listener (server, check_pending, &pending);
  return pending;
}

static void
close_socket (struct listener *l, void *user)
{
  (void)user;
  hk_watch_clear (&l->watch);
  l->group.resume = NULL;
  shutdown (g_socket_get_fd (l->socket), SHUT_RD);
}

void
hk_http_listener_close (SoupServer *server)
{
  for_each_listener (server, close_socket, NULL);
}

void
hk_http_listener_stop (SoupServer *server)
{
  soup_server_disconnect (server);
  g_object_set_data (G_OBJECT (server), LISTENERS_KEY, NULL);
}

/* End of the listening sockets of an HTTP server. The kernel resets the
   connections that wait to be accepted when their socket is shut down, so it
   must let no more of them begin before. */
#include "hyssopkeel/http_listener.h"

#include <errno.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include "hyssopkeel/log.h"

#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN 0x02
#define WHOLE_SEGMENT 0xffffffff

static void
for_each_listener (SoupServer *server, void (*visit) (GSocket *, gpointer),
                   gpointer user)
{
  GSList *listeners = soup_server_get_listeners (server);

  for (GSList *l = listeners; l; l = l->next)
    visit (l->data, user);
  g_slist_free (listeners);
}

/* Accepted sockets inherit the filter, and receive no SYN segment anyway. */
static void
block (GSocket *socket, gpointer user)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, WHOLE_SEGMENT),
  };
  struct sock_fprog program = { G_N_ELEMENTS (code), code };

  (void)user;
  if (setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_ATTACH_FILTER,
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
check_pending (GSocket *socket, gpointer user)
{
  gboolean *pending = user;

  *pending = *pending || g_socket_condition_check (socket, G_IO_IN) != 0;
}

gboolean
hk_http_listener_pending (SoupServer *server)
{
  gboolean pending = FALSE;

  for_each_listener (server, check_pending, &pending);
  return pending;
}

static void
close_socket (GSocket *socket, gpointer user)
{
  (void)user;
  shutdown (g_socket_get_fd (socket), SHUT_RD);
}

/* libsoup can only close listeners and connections together, so the listening
   sockets are shut down directly. */
void
hk_http_listener_close (SoupServer *server)
{
  for_each_listener (server, close_socket, NULL);
}

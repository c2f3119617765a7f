/* Connections that send what a test tells them to. */
#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hyssopkeel/clock.h"

/* Sent by each connection in a turn, so that all of them grow together. */
#define TURN_BYTES 8192
/* RPC calls sent at once. */
#define CALLS 1400
/* With these the kernel keeps few unread bytes of a loopback connection. */
#define SMALL_SEGMENT 536
#define SMALL_RECEIVE 2048

struct crowd_buffers
{
  int segment;
  int receive;
};

static int
connect_with (const char *address, const struct crowd_buffers *buffers)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  const char *port = strchr (address, ':') + 1;
  g_autofree char *ip = g_strndup (address, (gsize)(port - 1 - address));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  g_assert_cmpint (fd, >=, 0);
  if (buffers)
    {
      g_assert_cmpint (setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG,
                                   &buffers->segment, sizeof (int)),
                       ==, 0);
      g_assert_cmpint (setsockopt (fd, SOL_SOCKET, SO_RCVBUF,
                                   &buffers->receive, sizeof (int)),
                       ==, 0);
    }
  sa.sin_port = htons ((uint16_t)g_ascii_strtoull (port, NULL, 10));
  g_assert_cmpint (inet_pton (AF_INET, ip, &sa.sin_addr), ==, 1);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) < 0)
    g_assert_cmpint (errno, ==, EINPROGRESS);
  return fd;
}

int
crowd_connect (const char *address)
{
  return connect_with (address, NULL);
}

int
crowd_connect_small (const char *address)
{
  const struct crowd_buffers small = { SMALL_SEGMENT, SMALL_RECEIVE };

  return connect_with (address, &small);
}

void
crowd_run_loop (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    ;
  g_usleep (1000);
}

char *
crowd_send_request (const char *address, const char *request, int64_t limit_ms)
{
  g_autoptr (GString) response = g_string_new (NULL);
  int64_t end = hk_clock_ms () + limit_ms;
  size_t sent = 0;
  int fd = crowd_connect (address);

  while (hk_clock_ms () < end && !strstr (response->str, "\r\n\r\n"))
    {
      char buf[4096];
      ssize_t n = send (fd, request + sent, strlen (request + sent),
                        MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n > 0)
        sent += (size_t)n;
      n = recv (fd, buf, sizeof buf, MSG_DONTWAIT);
      if (n > 0)
        g_string_append_len (response, buf, n);
      else if (n == 0 || (errno != EAGAIN && errno != ENOTCONN))
        break;
      crowd_run_loop ();
    }
  close (fd);
  return g_strdup (response->str);
}

/* Text of about 64 KiB: @head, then @repeat again and again. */
static GString *
block_of (const char *repeat)
{
  GString *text = g_string_new (NULL);

  while (text->len < 65536)
    g_string_append (text, repeat);
  return text;
}

/* Sends the bytes of one turn, or as many as the connection takes now. Returns
   whether there are more. */
static gboolean
member_send (struct crowd_member *m, const struct crowd *c, size_t bytes,
             const GString *block)
{
  size_t head = strlen (c->head);
  size_t repeat = strlen (c->repeat);
  size_t end = MIN (bytes, m->sent + TURN_BYTES);
  gboolean full = FALSE;

  while (!m->closed && m->sent < end && !full)
    {
      size_t offset = m->sent < head ? 0 : (m->sent - head) % repeat;
      const char *text
          = m->sent < head ? c->head + m->sent : block->str + offset;
      size_t len = m->sent < head ? head - m->sent : block->len - offset;
      ssize_t n = send (m->fd, text, MIN (len, end - m->sent),
                        MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n > 0)
        m->sent += (size_t)n;
      else if (errno != EAGAIN)
        m->closed = TRUE;
      else
        full = TRUE;
    }
  return !m->closed && m->sent < bytes;
}

void
crowd_send (struct crowd_member *members, const struct crowd *c, size_t bytes,
            void (*turn) (void *user), void *user)
{
  int64_t end = hk_clock_ms () + CROWD_LIMIT_MS;
  GString *block = block_of (c->repeat);
  gboolean more = TRUE;

  while (more && hk_clock_ms () < end)
    {
      more = FALSE;
      for (unsigned i = 0; i < c->connections; i++)
        more = member_send (&members[i], c, bytes, block) || more;
      turn (user);
      crowd_run_loop ();
    }
  g_string_free (block, TRUE);
}

gboolean
crowd_send_calls (int fd, size_t *sent, size_t bytes)
{
  static const uint8_t call[] = {
    0x80, 0, 0, 40, 0, 0, 0, 7, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 1, 0, 0,
    0,    1, 0, 0,  0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
  };
  static uint8_t calls[CALLS * sizeof call];
  size_t offset = *sent % sizeof calls;
  ssize_t n;

  for (size_t i = 0; i < CALLS; i++)
    memcpy (calls + i * sizeof call, call, sizeof call);
  n = send (fd, calls + offset, sizeof calls - offset,
            MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n > 0)
    *sent += (size_t)n;
  return n > 0 ? *sent < bytes : errno == EAGAIN || errno == ENOTCONN;
}

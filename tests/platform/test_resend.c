/* Calls whose connection closes after they were read. */
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <arpa/inet.h>

#include "../../platform/worker_client.h"
#include "../support/jobs.h"

struct server
{
  int fd;
  int n_read;
  gboolean resets;
  gboolean crashes;
};

static int
read_request (int fd)
{
  char buf[4096];
  size_t n = 0;
  ssize_t k;

  while (n < sizeof buf - 1
         && (k = read (fd, buf + n, sizeof buf - 1 - n)) > 0)
    {
      char *end;

      n += (size_t)k;
      buf[n] = 0;
      end = strstr (buf, "\r\n\r\n");
      if (end && strchr (end, '}'))
        return 1;
    }
  return 0;
}

/* Responds to the first request, and closes the connection after it has read
   the second one. */
static gpointer
serve (gpointer data)
{
  struct server *s = data;
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  const char *ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  const char *busy = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}";
  int fd = accept (s->fd, NULL, NULL);

  s->n_read += read_request (fd);
  g_assert_cmpint (write (fd, ok, strlen (ok)), >, 0);
  s->n_read += read_request (fd);
  if (s->resets)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  if (s->crashes)
    shutdown (s->fd, SHUT_RDWR);
  close (fd);
  fd = accept (s->fd, NULL, NULL);
  if (fd < 0)
    return NULL;
  s->n_read += read_request (fd);
  g_assert_cmpint (write (fd, busy, strlen (busy)), >, 0);
  close (fd);
  return NULL;
}

struct reply
{
  int done;
  int rc;
};

static gboolean
arrived (void *user)
{
  return ((struct reply *)user)->done > 0;
}

static void
on_reply (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
          const struct hk_error *err, void *user)
{
  struct reply *r = user;

  (void)list;
  (void)clock_ms;
  r->done++;
  r->rc = rc;
  g_test_message ("rc=%d %s", rc, err ? err->text : "");
}

static void
check_unknown (gboolean resets, gboolean crashes)
{
  struct server s = { .resets = resets, .crashes = crashes };
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  g_autofree char *address = NULL;
  struct worker_client w;
  struct reply reply = { 0 };
  GThread *thread;
  struct hk_runtime_start order = { .task = { .job = (char *)"aa" },
                                    .run = 1,
                                    .deadline_ms = 77,
                                    .fence = 4,
                                    .payload = "text",
                                    .payload_len = 4 };

  s.fd = socket (AF_INET, SOCK_STREAM, 0);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (s.fd, (struct sockaddr *)&sa, sizeof sa), ==, 0);
  g_assert_cmpint (listen (s.fd, 8), ==, 0);
  getsockname (s.fd, (struct sockaddr *)&sa, &len);
  address = g_strdup_printf ("127.0.0.1:%d", ntohs (sa.sin_port));
  thread = g_thread_new ("server", serve, &s);
  worker_client_init (&w, address);
  w.base.ops->start (&w.base, &order, on_reply, &reply);
  test_run_until (arrived, &reply);
  g_assert_cmpint (reply.rc, ==, HK_OK);
  reply.done = 0;
  order.run = 2;
  w.base.ops->start (&w.base, &order, on_reply, &reply);
  test_run_until (arrived, &reply);
  test_run_for (100);
  g_assert_cmpint (reply.rc, ==, HK_ERR_IO);
  g_assert_cmpint (s.n_read, ==, 2);
  shutdown (s.fd, SHUT_RDWR);
  g_thread_join (thread);
  close (s.fd);
  worker_client_finish (&w);
}

/* libsoup repeats calls of some methods when a used connection closes. The
   result of the repeat would hide that the first copy may be carried out. */
static void
starts_that_were_read_are_not_sent_again (void)
{
  for (int i = 0; i < 4; i++)
    check_unknown ((i & 1) != 0, (i & 2) != 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/resend/" #name, name)
  ADD (starts_that_were_read_are_not_sent_again);
  return g_test_run ();
}

/* Limits on the requests of one client, and requests within the limits. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../platform/config_watch.h"
#include "api_support.h"
#include "crowd.h"
#include "hyssopkeel/clock.h"

#define REQUEST "GET /p/ HTTP/1.1\r\nHost: h.example\r\n"
#define FROZEN_US 2000000

struct client
{
  int fd;
  GString *received;
  gboolean closed;
};

static void
client_init (struct client *c, const struct api_fixture *f)
{
  c->fd = crowd_connect (f->clients);
  c->received = g_string_new (NULL);
  c->closed = FALSE;
  test_run_for (50);
}

static void
client_send (struct client *c, const char *text)
{
  g_assert_cmpint (send (c->fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (ssize_t)strlen (text));
}

static void
client_receive (struct client *c)
{
  char buf[4096];
  ssize_t n;

  while ((n = recv (c->fd, buf, sizeof buf, MSG_DONTWAIT)) > 0)
    g_string_append_len (c->received, buf, n);
  c->closed = c->closed || n == 0;
}

static void
client_finish (struct client *c)
{
  close (c->fd);
  g_string_free (c->received, TRUE);
}

static unsigned
count_responses (const struct client *c, const char *status)
{
  g_autofree char *line = g_strdup_printf ("HTTP/1.1 %s ", status);
  g_auto (GStrv) parts = g_strsplit (c->received->str, line, -1);

  return MAX (g_strv_length (parts), 1) - 1;
}

/* Waits for @n responses with @status. */
static void
expect_responses (struct client *c, const char *status, unsigned n)
{
  int64_t end = hk_clock_ms () + TEST_LIMIT_MS;

  while (count_responses (c, status) < n && hk_clock_ms () < end)
    {
      client_receive (c);
      test_run_for (5);
    }
  g_test_message ("%s", c->received->str);
  g_assert_cmpuint (count_responses (c, status), ==, n);
}

static void
expect_closed (struct client *c)
{
  int64_t end = hk_clock_ms () + TEST_LIMIT_MS;

  while (!c->closed && hk_clock_ms () < end)
    {
      client_receive (c);
      test_run_for (5);
    }
  g_assert_true (c->closed);
}

/* Guards against requests that are lost or merged where one ends and the next
   begins: the guard finds these ends by itself. */
static void
requests_may_be_pipelined_and_split (void)
{
  static const char text[]
      = "\r\n" REQUEST "\r\n" REQUEST "\r\n"
        "POST " API_JOB_PATH " HTTP/1.1\r\nHost: h.example\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
        "3;x=1\r\n{\"s\r\n4\r\nteps\r\n5\r\n\":[]}\r\n0\r\nT: 1\r\n\r\n"
        "POST " API_JOB_PATH " HTTP/1.1\r\nHost: h.example\r\n"
        "Content-Length: 2\r\n\r\n{}" REQUEST "\r\n";
  struct api_fixture f;

  api_fixture_init (&f);
  for (size_t piece = 1; piece <= sizeof text; piece *= 3)
    {
      struct client c;

      client_init (&c, &f);
      for (size_t at = 0; at < sizeof text - 1; at += piece)
        {
          g_autofree char *part = g_strndup (text + at, piece);

          client_send (&c, part);
          g_main_context_iteration (NULL, FALSE);
        }
      expect_responses (&c, "200", 3);
      expect_responses (&c, "400", 2);
      g_assert_false (c.closed);
      client_finish (&c);
    }
  api_fixture_finish (&f);
}

/* Guards against a client that can't tell why its request failed: libsoup
   closed the connection. */
static void
long_headers_get_431 (void)
{
  g_autofree char *field = g_strnfill (20000, 'x');
  struct api_fixture f;

  api_fixture_init (&f);
  f.api.clients->limits.header_bytes = 16384;
  for (int reused = 0; reused < 2; reused++)
    {
      struct client c;

      client_init (&c, &f);
      if (reused)
        {
          client_send (&c, REQUEST "\r\n");
          expect_responses (&c, "200", 1);
        }
      client_send (&c, REQUEST "X: ");
      client_send (&c, field);
      expect_responses (&c, "431", 1);
      expect_closed (&c);
      g_assert_cmpuint (count_responses (&c, "400"), ==, 0);
      client_finish (&c);
    }
  api_fixture_finish (&f);
}

static void
large_bodies_get_413 (void)
{
  g_autofree char *body = g_strnfill (3000, ' ');
  struct api_fixture f;
  struct client c;

  api_fixture_init (&f);
  f.api.clients->limits.body_bytes = 2000;
  client_init (&c, &f);
  client_send (&c, "POST " API_JOB_PATH " HTTP/1.1\r\nHost: h.example\r\n"
                   "Content-Length: 3000\r\n\r\n");
  client_send (&c, body);
  expect_responses (&c, "413", 1);
  client_finish (&c);
  api_fixture_finish (&f);
}

static void
slow_requests_get_408 (void)
{
  struct api_fixture f;
  struct client header;
  struct client body;

  api_fixture_init (&f);
  f.api.clients->limits.header_ms = 300;
  f.api.clients->limits.body_ms = 300;
  client_init (&header, &f);
  client_init (&body, &f);
  client_send (&header, REQUEST);
  client_send (&body, "POST " API_JOB_PATH " HTTP/1.1\r\nHost: h.example\r\n"
                      "Content-Length: 30\r\n\r\n{");
  expect_responses (&header, "408", 1);
  expect_responses (&body, "408", 1);
  expect_closed (&header);
  expect_closed (&body);
  client_finish (&header);
  client_finish (&body);
  api_fixture_finish (&f);
}

/* Guards against a process that was frozen and closes a connection for a delay
   of its own: what a client has sent meanwhile is in the socket. */
static void
requests_that_wait_in_the_socket_are_not_late (void)
{
  struct api_fixture f;
  struct client begun;
  struct client idle;
  struct client slow;

  api_fixture_init (&f);
  f.api.clients->limits.header_ms = 1000;
  f.api.clients->limits.idle_ms = 100;
  client_init (&begun, &f);
  client_init (&idle, &f);
  client_init (&slow, &f);
  client_send (&begun, REQUEST);
  client_send (&slow, REQUEST);
  test_run_for (100);
  client_send (&begun, "\r\n");
  client_send (&idle, REQUEST "\r\n");
  g_usleep (FROZEN_US);
  expect_responses (&begun, "200", 1);
  expect_responses (&idle, "200", 1);
  /* This one has the rest of its time. */
  client_send (&slow, "\r\n");
  expect_responses (&slow, "200", 1);
  client_finish (&begun);
  client_finish (&idle);
  client_finish (&slow);
  api_fixture_finish (&f);
}

static void
idle_connections_are_closed_after_their_limit (void)
{
  struct api_fixture f;
  struct client fresh;
  struct client used;

  api_fixture_init (&f);
  client_init (&fresh, &f);
  client_init (&used, &f);
  client_send (&used, REQUEST "\r\n");
  expect_responses (&used, "200", 1);
  f.api.clients->limits.idle_ms = 100;
  expect_closed (&fresh);
  expect_closed (&used);
  g_assert_cmpuint (count_responses (&used, "400"), ==, 0);
  client_finish (&fresh);
  client_finish (&used);
  api_fixture_finish (&f);
}

/* Guards against a stop that loses a request which had arrived on an open
   connection: after a freeze the drain may be checked before the sockets. */
static void
requests_that_arrived_are_found_by_a_drain (void)
{
  struct api_fixture f;
  struct client c;

  api_fixture_init (&f);
  client_init (&c, &f);
  client_send (&c, REQUEST "\r\n");
  expect_responses (&c, "200", 1);
  client_send (&c, REQUEST "\r\n");
  g_usleep (10000);
  g_assert_true (hk_http_listener_pending (f.api.server));
  g_assert_false (hk_http_listener_pending (f.api.server));
  expect_responses (&c, "200", 2);
  client_finish (&c);
  api_fixture_finish (&f);
}

/* A store that only has a configuration. */
struct config_store
{
  struct hk_store base;
  const struct hk_store_watch_ops *ops;
  void *user;
};

static struct hk_store_watch *
watch_config (struct hk_store *base, const char *prefix, int64_t after,
              const struct hk_store_watch_ops *ops, void *user)
{
  struct config_store *store = (struct config_store *)base;

  (void)prefix;
  (void)after;
  store->ops = ops;
  store->user = user;
  return NULL;
}

static void
write_config (struct config_store *store, const char *text)
{
  struct hk_store_kv kv = { .key = (char *)"op/config",
                            .value = (char *)text,
                            .len = strlen (text) };

  store->ops->event (&kv, store->user);
}

static void
ignore_evacuations (const struct hk_evacuation *list, size_t n,
                    int64_t revision, void *user)
{
  (void)list;
  (void)n;
  (void)revision;
  (void)user;
}

/* Guards against limits that are not read, that outlive the version that had
   them, or that exceed what the program can take. */
static void
limits_of_the_configuration_apply (void)
{
  static const struct hk_store_ops ops = { .watch = watch_config };
  const struct hk_guard_limits defaults = HK_GUARD_LIMITS_INIT;
  struct config_store store = { .base = { .ops = &ops } };
  struct hk_guard_group group = { .limits = HK_GUARD_LIMITS_INIT };
  struct hk_queues queues;
  struct config_watch w = { .clients = &group };

  w.default_limits = defaults;
  hk_queues_init (&queues);
  config_watch_start (&w, &store.base, &queues, ignore_evacuations, NULL);
  write_config (&store, "{\"version\":2,\"routes\":[],\"limits\":{"
                        "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  g_assert_cmpint (group.limits.header_bytes, ==, 16384);
  g_assert_cmpint (group.limits.body_bytes, ==, 262144);
  g_assert_cmpint (group.limits.header_ms, ==, 3000);
  g_assert_cmpint (group.limits.idle_ms, ==, 15000);
  g_assert_cmpint (group.limits.body_ms, ==, defaults.body_ms);
  write_config (&store, "{\"version\":1,\"routes\":[],\"limits\":{"
                        "\"maxHeaderBytes\":2000}}");
  g_assert_cmpint (group.limits.header_bytes, ==, 16384);
  write_config (&store, "{\"version\":3,\"routes\":[],\"limits\":{"
                        "\"maxHeaderBytes\":999999,\"maxBodyBytes\":-1,"
                        "\"headerTimeoutMs\":\"x\"}}");
  g_assert_cmpint (group.limits.header_bytes, ==, defaults.header_bytes);
  g_assert_cmpint (group.limits.body_bytes, ==, defaults.body_bytes);
  g_assert_cmpint (group.limits.header_ms, ==, defaults.header_ms);
  write_config (&store, "{\"version\":4,\"routes\":[],\"limits\":7}");
  g_assert_cmpint (group.limits.idle_ms, ==, defaults.idle_ms);
  hk_queues_finish (&queues);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/guard/" #name, name)
  ADD (requests_may_be_pipelined_and_split);
  ADD (long_headers_get_431);
  ADD (large_bodies_get_413);
  ADD (slow_requests_get_408);
  ADD (requests_that_wait_in_the_socket_are_not_late);
  ADD (idle_connections_are_closed_after_their_limit);
  ADD (requests_that_arrived_are_found_by_a_drain);
  ADD (limits_of_the_configuration_apply);
  return g_test_run ();
}

/* Responses to clients while the process stops. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../platform/entry_drain.h"
#include "../support/jobs.h"
#include "../support/memory_store.h"

#define READ_LIMIT_S 5
/* The time limit of a request is then 300 ms. */
#define SHORT "Deadline-Ms: 300\r\n"
#define LONG "Deadline-Ms: 60000\r\n"

struct fixture
{
  struct memory_store store;
  struct hk_queues queues;
  struct submission_api api;
  char *rpc;
  char *clients;
};

static void
add_queue (struct hk_queues *queues)
{
  GPtrArray *list = g_ptr_array_new ();
  struct hk_queue *q = g_new0 (struct hk_queue, 1);

  q->name = g_strdup ("r");
  q->host = g_strdup ("h.example");
  q->prefix = g_strdup ("/p/");
  q->pool = g_strdup ("pool");
  q->max_attempts = 3;
  g_ptr_array_add (list, q);
  hk_queues_replace (queues, 1, list);
}

/* The coordinator does not run yet, so requests wait. */
static void
fixture_init (struct fixture *f)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *ready = test_address ();
  g_autofree char *metrics = test_address ();
  struct hk_error err;

  memset (f, 0, sizeof *f);
  f->rpc = test_address ();
  f->clients = test_address ();
  memory_store_init (&f->store);
  options.name = "e1";
  options.address = f->rpc;
  hk_queues_init (&f->queues);
  add_queue (&f->queues);
  f->api.coord = hk_coord_new (&f->store.base, &options);
  f->api.queues = &f->queues;
  g_assert_cmpint (
      submission_api_start (&f->api, f->clients, ready, metrics, &err), ==,
      HK_OK);
}

static void
fixture_finish (struct fixture *f)
{
  submission_api_stop (&f->api);
  hk_coord_free (f->api.coord);
  test_run_for (50);
  hk_queues_finish (&f->queues);
  memory_store_finish (&f->store);
  g_free (f->rpc);
  g_free (f->clients);
}

/* Begins a connection; with SOCK_NONBLOCK, it may not be established yet. */
static int
connect_to (const struct fixture *f, int flags)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  const char *port = strchr (f->clients, ':') + 1;
  g_autofree char *ip = g_strndup (f->clients, (gsize)(port - 1 - f->clients));
  int fd = socket (AF_INET, SOCK_STREAM | flags, 0);

  sa.sin_port = htons ((uint16_t)g_ascii_strtoull (port, NULL, 10));
  g_assert_cmpint (inet_pton (AF_INET, ip, &sa.sin_addr), ==, 1);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) < 0)
    g_assert_cmpint (errno, ==, EINPROGRESS);
  return fd;
}

/* Sends a submission on a connection of its own. */
static int
submit (const struct fixture *f, const char *id, const char *header)
{
  const struct timeval limit = { .tv_sec = READ_LIMIT_S };
  const char *body = "{\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":10}]}";
  g_autofree char *text = g_strdup_printf (
      "POST /p/%s HTTP/1.1\r\nHost: h.example\r\n%sContent-Length: %zu\r\n"
      "\r\n%s",
      id, header, strlen (body), body);
  int fd = connect_to (f, 0);

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  g_assert_cmpint (write (fd, text, strlen (text)), ==,
                   (ssize_t)strlen (text));
  return fd;
}

/* Reads until the server has closed the connection. */
static char *
read_response (int fd)
{
  GString *text = g_string_new (NULL);
  char buf[4096];
  ssize_t n;

  while ((n = read (fd, buf, sizeof buf)) > 0)
    g_string_append_len (text, buf, n);
  close (fd);
  return g_string_free (text, FALSE);
}

static void
wait_for_open (struct fixture *f, unsigned n)
{
  gint64 end_us = g_get_monotonic_time () + TEST_LIMIT_MS * (gint64)1000;

  while (f->api.open_requests != n)
    {
      g_assert_cmpint (g_get_monotonic_time (), <, end_us);
      g_main_context_iteration (NULL, TRUE);
    }
}

/* The server is closed as soon as no request is open. */
static void
requests_are_open_until_their_response_is_written (void)
{
  struct fixture f;
  g_autofree char *response = NULL;
  int fd;

  fixture_init (&f);
  f.api.draining = TRUE;
  fd = submit (&f, "0123456789abcdef", SHORT);
  wait_for_open (&f, 1);
  wait_for_open (&f, 0);
  submission_api_stop (&f.api);
  response = read_response (fd);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (response, "\"error\""));
  fixture_finish (&f);
}

/* The reply of the coordinator then has no connection to go to. */
static void
replies_to_closed_connections_are_discarded (void)
{
  struct fixture f;
  g_autofree char *response = NULL;
  int fd;

  fixture_init (&f);
  fd = submit (&f, "0123456789abcdef", SHORT);
  wait_for_open (&f, 1);
  submission_api_stop (&f.api);
  g_assert_cmpuint (f.api.open_requests, ==, 0);
  test_run_for (400);
  response = read_response (fd);
  g_assert_cmpstr (response, ==, "");
  fixture_finish (&f);
}

static void
clients_that_hang_up_leave_no_open_request (void)
{
  struct fixture f;

  fixture_init (&f);
  for (int i = 0; i < 2; i++)
    {
      int fd = submit (&f, "0123456789abcdef", SHORT);

      if (i == 1)
        shutdown (fd, SHUT_WR);
      wait_for_open (&f, 1);
      close (fd);
      wait_for_open (&f, 0);
    }
  fixture_finish (&f);
}

static gboolean
is_leading (void *user)
{
  return hk_coord_leading (user);
}

static void
set_flag (void *user)
{
  *(gboolean *)user = TRUE;
}

static gboolean
is_set (void *user)
{
  return *(gboolean *)user;
}

/* One request is being stored as the drain begins, and one has no leader to go
   to; both have more time left than the process. */
static void
open_requests_are_answered_at_the_stop_limit (void)
{
  struct fixture f;
  struct entry_drain drain = { 0 };
  struct hk_error err;
  gboolean done = FALSE;
  g_autofree char *unknown = NULL;
  g_autofree char *refused = NULL;
  int stored, unsent;

  fixture_init (&f);
  g_assert_cmpint (hk_coord_start (f.api.coord, &err), ==, HK_OK);
  test_run_until (is_leading, f.api.coord);
  f.store.delay_writes = G_MAXINT;
  stored = submit (&f, "0123456789abcdef", LONG);
  wait_for_open (&f, 1);
  test_run_for (50);
  entry_drain_start (&drain, &f.api, 400, set_flag, &done);
  unsent = submit (&f, "0123456789abcdee", LONG);
  wait_for_open (&f, 2);
  g_assert_false (done);
  test_run_until (is_set, &done);
  g_assert_cmpuint (f.api.open_requests, ==, 0);
  submission_api_stop (&f.api);
  unknown = read_response (stored);
  refused = read_response (unsent);
  g_assert_true (g_str_has_prefix (unknown, "HTTP/1.1 504 "));
  g_assert_true (g_str_has_prefix (refused, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (refused, "Retry-After: "));
  entry_drain_finish (&drain);
  fixture_finish (&f);
}

/* The process was suspended from before its limit until long after it. */
static void
open_requests_are_answered_by_a_late_check (void)
{
  struct fixture f;
  struct entry_drain drain = { 0 };
  gboolean done = FALSE;
  g_autofree char *response = NULL;
  int fd;

  fixture_init (&f);
  fd = submit (&f, "0123456789abcdef", LONG);
  wait_for_open (&f, 1);
  entry_drain_start (&drain, &f.api, 100, set_flag, &done);
  g_usleep (800000);
  test_run_until (is_set, &done);
  submission_api_stop (&f.api);
  response = read_response (fd);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 503 "));
  entry_drain_finish (&drain);
  fixture_finish (&f);
}

/* A request that arrives while the last responses are written. */
static void
requests_after_the_stop_limit_are_refused_at_once (void)
{
  struct fixture f;
  g_autofree char *response = NULL;
  gint64 sent_us;
  int fd;

  fixture_init (&f);
  f.api.draining = TRUE;
  hk_coord_end_requests (f.api.coord);
  sent_us = g_get_monotonic_time ();
  fd = submit (&f, "0123456789abcdef", LONG);
  wait_for_open (&f, 1);
  wait_for_open (&f, 0);
  g_assert_cmpint (g_get_monotonic_time () - sent_us, <, 300000);
  submission_api_stop (&f.api);
  response = read_response (fd);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (response, "Retry-After: "));
  fixture_finish (&f);
}

/* A client connects and sends while the main loop is busy, and is accepted
   only when the drain could end. */
static void
connections_that_wait_to_be_accepted_are_answered (void)
{
  struct fixture f;
  struct entry_drain drain = { 0 };
  gboolean done = FALSE;
  g_autofree char *response = NULL;
  int fd;

  fixture_init (&f);
  entry_drain_start (&drain, &f.api, 5000, set_flag, &done);
  test_run_for (2200);
  g_assert_false (done);
  fd = submit (&f, "0123456789abcdef", SHORT);
  g_usleep (200000);
  test_run_until (is_set, &done);
  submission_api_stop (&f.api);
  response = read_response (fd);
  g_assert_true (g_str_has_prefix (response, "HTTP/1.1 503 "));
  entry_drain_finish (&drain);
  fixture_finish (&f);
}

struct late_client
{
  const struct fixture *f;
  gboolean done;
  gboolean connected;
};

static void
connect_late (void *user)
{
  struct late_client *late = user;
  struct pollfd p = { .events = POLLOUT };

  p.fd = connect_to (late->f, SOCK_NONBLOCK);
  late->connected = poll (&p, 1, 100) > 0;
  late->done = TRUE;
  close (p.fd);
}

static gboolean
is_late_done (void *user)
{
  return ((struct late_client *)user)->done;
}

/* It would be reset when the listener is closed. */
static void
no_connection_begins_when_the_process_can_stop (void)
{
  struct fixture f;
  struct entry_drain drain = { 0 };
  struct late_client late = { .f = &f };

  fixture_init (&f);
  entry_drain_start (&drain, &f.api, 200, connect_late, &late);
  test_run_until (is_late_done, &late);
  g_assert_false (late.connected);
  entry_drain_finish (&drain);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/stop/" #name, name)
  ADD (requests_are_open_until_their_response_is_written);
  ADD (replies_to_closed_connections_are_discarded);
  ADD (clients_that_hang_up_leave_no_open_request);
  ADD (open_requests_are_answered_at_the_stop_limit);
  ADD (open_requests_are_answered_by_a_late_check);
  ADD (requests_after_the_stop_limit_are_refused_at_once);
  ADD (connections_that_wait_to_be_accepted_are_answered);
  ADD (no_connection_begins_when_the_process_can_stop);
  return g_test_run ();
}

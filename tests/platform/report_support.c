/* Fixture of an agent whose endpoint reports over HTTP. */
#include "report_support.h"

#include <string.h>

#include "hyssopkeel/clock.h"

#define REPORT_INTERVAL_MS 100

static gboolean
is_leading (void *user)
{
  return hk_coord_leading (user);
}

void
report_fixture_init (struct report_fixture *f)
{
  struct hk_coord_options coord = HK_COORD_OPTIONS_INIT;
  struct hk_runner_options runner = { .name = "a1",
                                      .domain = "d",
                                      .authority = { 12000, 1000, 600 },
                                      .lease_max_ms = 6000 };
  g_autofree char *rpc = test_address ();
  g_autofree char *metrics = test_address ();
  struct hk_error err;

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  memory_runtime_init (&f->rt);
  f->rt.instance = "i-1";
  coord.name = "e1";
  coord.address = rpc;
  coord.authority = runner.authority;
  f->coord = hk_coord_new (&f->store.base, &coord);
  g_assert_cmpint (hk_coord_start (f->coord, &err), ==, HK_OK);
  test_run_until (is_leading, f->coord);
  f->runner = hk_runner_new (&f->store.base, &f->rt.base, &runner);
  f->hs.runner = f->runner;
  f->hs.pool = "pool";
  f->hs.drain_ms = 2000;
  f->address = test_address ();
  f->labels = g_strdup ("[\"a\"]");
  f->session = soup_session_new ();
  g_assert_cmpint (heartbeat_server_start (&f->hs, f->address, metrics, &err),
                   ==, HK_OK);
  hk_runner_start (f->runner);
}

void
report_fixture_finish (struct report_fixture *f)
{
  heartbeat_server_stop (&f->hs);
  hk_runner_free (f->runner);
  hk_coord_free (f->coord);
  test_run_for (120);
  g_object_unref (f->session);
  g_free (f->address);
  g_free (f->labels);
  memory_runtime_finish (&f->rt);
  memory_store_finish (&f->store);
}

static void
on_response (GObject *source, GAsyncResult *res, gpointer user)
{
  struct report_fixture *f = user;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, NULL);

  f->status
      = bytes ? soup_message_get_status (
            soup_session_get_async_result_message (SOUP_SESSION (source), res))
              : 599;
}

static gboolean
has_status (void *user)
{
  return ((struct report_fixture *)user)->status != 0;
}

unsigned
report_send (struct report_fixture *f, const char *id, const char *body)
{
  g_autofree char *url = g_strconcat ("http://", f->address,
                                      "/api/Instances.Heartbeat/", id, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

  f->status = 0;
  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_and_read_async (f->session, msg, G_PRIORITY_DEFAULT, NULL,
                                    on_response, f);
  test_run_until (has_status, f);
  return f->status;
}

unsigned
report_ready (struct report_fixture *f)
{
  g_autofree char *body = g_strdup_printf (
      "{\"service\":\"pool\",\"state\":\"ready\",\"sequence\":%" PRId64
      ",\"capacity\":{\"cpu\":4000,\"memMb\":4000},\"labels\":%s,"
      "\"born\":%" PRId64 "}",
      ++f->sequence, f->labels, f->rt.start_time_ms);

  return report_send (f, f->rt.instance, body);
}

static void
on_reply (const hk_job_request_reply *reply, void *user)
{
  struct report_fixture *f = user;

  f->outcome = (int)reply->outcome;
  f->state = reply->state;
}

static gboolean
has_reply (void *user)
{
  return ((struct report_fixture *)user)->outcome >= 0;
}

static void
request (struct report_fixture *f, hk_job_request_kind kind, const char *id,
         hk_job_spec *spec)
{
  hk_job_request_args args
      = { .kind = kind, .id = (char *)id, .queue = (char *)"batch" };

  if (spec)
    {
      args.job.job_len = 1;
      args.job.job_val = spec;
    }
  f->outcome = -1;
  hk_coord_request (f->coord, &args, 5000, on_reply, f);
  test_run_until (has_reply, f);
  g_assert_cmpint (f->outcome, ==, HK_JOB_REQUEST_DONE);
}

gboolean
report_job_runs (struct report_fixture *f, const char *id, int64_t ms)
{
  const unsigned counts[] = { 2, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);
  int64_t limit_ms = hk_clock_ms () + ms;

  request (f, HK_JOB_REQUEST_SUBMIT, id, spec);
  test_job_spec_free (spec);
  do
    {
      g_assert_cmpuint (report_ready (f), ==, 200);
      test_run_for (REPORT_INTERVAL_MS);
      request (f, HK_JOB_REQUEST_STATE, id, NULL);
    }
  while (f->state != 2 && hk_clock_ms () < limit_ms);
  return f->state == 2;
}

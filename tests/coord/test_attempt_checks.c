/* What the leader checks of an attempt before it carries it out. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
#define OTHER "2222222222222222"

/* A process that speaks to the leader as a front end does. */
struct sender
{
  struct hk_rpc_channel channel;
  struct request_result result;
  hk_ping_reply ping;
};

static const struct hk_rpc_method ping_method
    = { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args,
        (xdrproc_t)xdr_hk_ping_reply, sizeof (hk_ping_reply) };
static const struct hk_rpc_method request_method
    = { HK_COORD_REQUEST, (xdrproc_t)xdr_hk_job_request_args,
        (xdrproc_t)xdr_hk_job_request_reply, sizeof (hk_job_request_reply) };

static void
on_pinged (int rc, void *result, const struct hk_error *err, void *user)
{
  struct sender *s = user;

  (void)err;
  g_assert_cmpint (rc, ==, HK_OK);
  s->ping = *(const hk_ping_reply *)result;
  s->result.n_replies++;
}

static void
on_answered (int rc, void *result, const struct hk_error *err, void *user)
{
  struct sender *s = user;

  (void)err;
  g_assert_cmpint (rc, ==, HK_OK);
  on_request_reply (result, &s->result);
}

static void
sender_ping (struct sender *s)
{
  hk_ping_args args = { .name = (char *)"e9" };

  memset (&s->result, 0, sizeof s->result);
  hk_rpc_call (&s->channel, &ping_method, &args, 1000, on_pinged, s);
  test_run_until (has_reply, &s->result);
}

static void
sender_init (struct sender *s, const char *address)
{
  memset (s, 0, sizeof *s);
  hk_rpc_channel_init (&s->channel, address, HK_COORD_PROGRAM, HK_COORD_V1);
  sender_ping (s);
}

/* Sends an attempt for a request that was received @age_ms ago. */
static int
sender_submit_delayed (struct sender *s, const char *id, uint64_t term,
                       int64_t age_ms, int64_t timeout_ms, gboolean delayed)
{
  const unsigned counts[] = { 2, 1, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);
  int64_t now = hk_clock_ms ();
  hk_job_request_args args = {
    .kind = HK_JOB_REQUEST_SUBMIT,
    .id = (char *)id,
    .queue = (char *)"batch",
    .job = { 1, spec },
    .attempt = { .number = 1,
                 .term = term,
                 .received_ms = now - age_ms,
                 .expires_ms = now + timeout_ms,
                 .delayed = delayed },
  };

  memset (&s->result, 0, sizeof s->result);
  hk_rpc_call (&s->channel, &request_method, &args, 1000, on_answered, s);
  test_run_until (has_reply, &s->result);
  test_job_spec_free (spec);
  return (int)s->result.outcome;
}

static int
sender_submit (struct sender *s, const char *id, uint64_t term, int64_t age_ms,
               int64_t timeout_ms)
{
  return sender_submit_delayed (s, id, term, age_ms, timeout_ms, FALSE);
}

/* Guards against an attempt that is carried out when its sender, which knows
   no refusal of it, may refuse the request itself. */
static void
expired_attempts_are_not_carried_out (void)
{
  struct memory_store store;
  struct sender s;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&store);
  c = coord_start (&store, "e1", &address);
  test_run_until (is_leading, c);
  sender_init (&s, address);
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term, 0, -1), ==,
                   HK_JOB_REQUEST_NOT_TAKEN);
  g_assert_false (memory_store_has (&store, HK_KEY_SPECS JOB));
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term, 0, 1000), ==,
                   HK_JOB_REQUEST_DONE);
  hk_rpc_channel_finish (&s.channel);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* Guards against an attempt that waits on the way to a process while another
   one leads and refuses the request, and arrives when the first leads again.
 */
static void
attempts_of_another_term_are_not_carried_out (void)
{
  struct memory_store store;
  struct sender s;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&store);
  c = coord_start (&store, "e1", &address);
  test_run_until (is_leading, c);
  sender_init (&s, address);
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term - 1, 0, 1000), ==,
                   HK_JOB_REQUEST_NOT_TAKEN);
  g_assert_false (memory_store_has (&store, HK_KEY_SPECS JOB));
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term, 0, 1000), ==,
                   HK_JOB_REQUEST_DONE);
  hk_rpc_channel_finish (&s.channel);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* Guards against a fix that refuses too much: a refusal binds earlier requests
   only, and not one whose job was accepted since. */
static void
refusals_bind_earlier_requests_only (void)
{
  struct memory_store store;
  struct request_result a;
  struct sender s;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&store);
  c = coord_start (&store, "e1", &address);
  test_run_until (is_leading, c);
  sender_init (&s, address);
  store.unavailable = TRUE;
  test_run_for (COORD_TEST_STORE_FAILING_MS);
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term, 0, 1000), ==,
                   HK_JOB_REQUEST_REFUSED);
  store.unavailable = FALSE;
  test_run_until (store_works, c);
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term, 2000, 1000), ==,
                   HK_JOB_REQUEST_REFUSED);
  /* A request that is refused as superseded refuses nothing else. */
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term, 0, 1000), ==,
                   HK_JOB_REQUEST_DONE);
  g_assert_cmpint (sender_submit (&s, JOB, s.ping.term, 2000, 1000), ==,
                   HK_JOB_REQUEST_DONE);
  g_assert_cmpint (sender_submit (&s, OTHER, s.ping.term, 2000, 1000), ==,
                   HK_JOB_REQUEST_DONE);
  send_request (c, HK_JOB_REQUEST_STATE, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  hk_rpc_channel_finish (&s.channel);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* Guards against a job that runs after its client was refused by a leader that
   is gone: a suspended process had the client's first request, unread. */
static void
delayed_requests_from_before_the_takeover_are_refused (void)
{
  struct memory_store store;
  struct sender s;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&store);
  c = coord_start (&store, "e1", &address);
  test_run_until (is_leading, c);
  sender_init (&s, address);
  g_assert_cmpint (
      sender_submit_delayed (&s, JOB, s.ping.term, 5000, 1000, TRUE), ==,
      HK_JOB_REQUEST_REFUSED);
  test_run_for (20);
  g_assert_cmpint (sender_submit_delayed (&s, JOB, s.ping.term, 1, 1000, TRUE),
                   ==, HK_JOB_REQUEST_DONE);
  g_assert_cmpint (
      sender_submit_delayed (&s, JOB, s.ping.term, 5000, 1000, TRUE), ==,
      HK_JOB_REQUEST_DONE);
  g_assert_cmpint (sender_submit (&s, OTHER, s.ping.term, 5000, 1000), ==,
                   HK_JOB_REQUEST_DONE);
  hk_rpc_channel_finish (&s.channel);
  hk_coord_free (c);
  memory_store_finish (&store);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/attempt_checks/" #name, name)
  ADD (expired_attempts_are_not_carried_out);
  ADD (attempts_of_another_term_are_not_carried_out);
  ADD (refusals_bind_earlier_requests_only);
  ADD (delayed_requests_from_before_the_takeover_are_refused);
  return g_test_run ();
}

/* Attempts to forward a request that reach the leader after their sender has
   given them up. */
#include <glib.h>
#include <string.h>

#include "../scenario/relay.h"
#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
#define OTHER "2222222222222222"
/* Time in which an attempt that was delivered is carried out or rejected. */
#define DELIVERY_MS 300
/* Longer than commits fail before new jobs are refused. */
#define STORE_FAILING_MS 800

/* Processes that reach the leader through a link. */
struct fixture
{
  struct memory_store store;
  struct relay *link;
  struct hk_coord *leader;
  struct hk_coord *followers[2];
};

static gboolean
follows (void *user)
{
  struct request_result a;

  /* An answer shows that the leader is connected. */
  send_request (user, HK_JOB_REQUEST_PENDING, "", &a);
  test_run_until (has_reply, &a);
  return a.outcome == HK_JOB_REQUEST_DONE;
}

static void
fixture_init (struct fixture *f)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *address = test_address ();
  g_autofree char *listen = test_address ();

  memory_store_init (&f->store);
  f->link = relay_new ("leader", address, listen);
  options.address = address;
  options.listen = listen;
  f->leader = coord_start_with (&f->store.base, options, "e1", NULL);
  test_run_until (is_leading, f->leader);
  /* Followers wait for a second before they replace a leader. */
  options.address = options.listen = NULL;
  options.capacity_score_percent = 1;
  f->followers[0] = coord_start_with (&f->store.base, options, "e2", NULL);
  f->followers[1] = coord_start_with (&f->store.base, options, "e3", NULL);
  test_run_until (follows, f->followers[0]);
  test_run_until (follows, f->followers[1]);
}

static void
fixture_finish (struct fixture *f)
{
  for (size_t i = 0; i < G_N_ELEMENTS (f->followers); i++)
    hk_coord_free (f->followers[i]);
  hk_coord_free (f->leader);
  relay_free (f->link);
  memory_store_finish (&f->store);
}

/* Holds back all that is sent to the leader and by it. */
static void
link_cut (struct fixture *f, gboolean cut)
{
  f->link->cut_to = f->link->cut_from = cut;
}

static gboolean
has_job (const struct fixture *f, const char *id)
{
  g_autofree char *key = g_strconcat (HK_KEY_SPECS, id, NULL);

  return memory_store_has (&f->store, key);
}

static gboolean
store_works (void *user)
{
  struct request_result a;
  static unsigned n;
  g_autofree char *id = g_strdup_printf ("3%015x", n++);

  send_request (user, HK_JOB_REQUEST_SUBMIT, id, &a);
  test_run_until (has_reply, &a);
  return a.outcome == HK_JOB_REQUEST_DONE;
}

static void
store_fail (struct fixture *f)
{
  struct request_result a;

  f->store.unavailable = TRUE;
  test_run_for (STORE_FAILING_MS);
  send_request (f->leader, HK_JOB_REQUEST_SUBMIT, OTHER, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
}

static void
store_recover (struct fixture *f)
{
  f->store.unavailable = FALSE;
  test_run_until (store_works, f->leader);
}

/* Guards against a job that runs after its client was refused: the second
   attempt was refused while the store was away, and the first arrived on the
   connection that its sender had closed. */
static void
refusals_of_later_attempts_hold (void)
{
  struct fixture f;
  struct request_result a;

  fixture_init (&f);
  store_fail (&f);
  relay_hold (f.link);
  send_request (f.followers[0], HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
  store_recover (&f);
  relay_release (f.link);
  test_run_for (DELIVERY_MS);
  g_assert_false (has_job (&f, JOB));
  /* A new request is accepted. */
  send_request (f.followers[0], HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  fixture_finish (&f);
}

/* The same for a client that sent its request again at another process. */
static void
refusals_hold_for_attempts_of_other_processes (void)
{
  struct fixture f;
  struct request_result a;
  struct request_result b;

  fixture_init (&f);
  store_fail (&f);
  test_run_until (follows, f.followers[0]);
  link_cut (&f, TRUE);
  send_request (f.followers[0], HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_for (20);
  hk_coord_end_requests (f.followers[0]);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_UNKNOWN);
  send_request (f.leader, HK_JOB_REQUEST_SUBMIT, JOB, &b);
  test_run_until (has_reply, &b);
  g_assert_cmpint (b.outcome, ==, HK_JOB_REQUEST_REFUSED);
  store_recover (&f);
  link_cut (&f, FALSE);
  test_run_for (DELIVERY_MS);
  g_assert_false (has_job (&f, JOB));
  fixture_finish (&f);
}

/* The same for a cancellation: the job would end although its client was told
   that it was not cancelled. */
static void
refusals_of_cancellations_hold (void)
{
  struct fixture f;
  struct request_result a;

  fixture_init (&f);
  send_request (f.leader, HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (has_reply, &a);
  store_fail (&f);
  relay_hold (f.link);
  send_request (f.followers[0], HK_JOB_REQUEST_CANCEL, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
  store_recover (&f);
  relay_release (f.link);
  test_run_for (DELIVERY_MS);
  send_request (f.leader, HK_JOB_REQUEST_STATE, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.state, ==, HK_JOB_STATE_QUEUED);
  fixture_finish (&f);
}

static void
submit_within (struct hk_coord *c, const char *id, int64_t timeout_ms,
               struct request_result *a)
{
  const unsigned counts[] = { 2, 1, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = (char *)id,
                               .queue = (char *)"batch",
                               .job = { 1, spec } };

  memset (a, 0, sizeof *a);
  hk_coord_request (c, &args, timeout_ms, on_request_reply, a);
  test_job_spec_free (spec);
}

/* Guards against a process that reaches no leader and refuses a request of
   which it has sent on an earlier one, which is carried out. */
static void
requests_after_one_in_doubt_are_not_refused (void)
{
  struct fixture f;
  struct request_result a;

  fixture_init (&f);
  link_cut (&f, TRUE);
  submit_within (f.followers[0], JOB, 200, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_UNKNOWN);
  f.store.unavailable = TRUE;
  /* Until the follower has closed its connection. */
  test_run_for (1500);
  send_request (f.followers[0], HK_JOB_REQUEST_SUBMIT, OTHER, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
  send_request (f.followers[0], HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_UNKNOWN);
  /* The leader's refusal ends the doubt. */
  link_cut (&f, FALSE);
  test_run_until (follows, f.followers[0]);
  send_request (f.followers[0], HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
  link_cut (&f, TRUE);
  test_run_for (1500);
  send_request (f.followers[0], HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
  fixture_finish (&f);
}

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
  test_run_for (STORE_FAILING_MS);
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
#define ADD(name) g_test_add_func ("/late_attempts/" #name, name)
  ADD (refusals_of_later_attempts_hold);
  ADD (refusals_hold_for_attempts_of_other_processes);
  ADD (refusals_of_cancellations_hold);
  ADD (requests_after_one_in_doubt_are_not_refused);
  ADD (expired_attempts_are_not_carried_out);
  ADD (attempts_of_another_term_are_not_carried_out);
  ADD (refusals_bind_earlier_requests_only);
  ADD (delayed_requests_from_before_the_takeover_are_refused);
  return g_test_run ();
}

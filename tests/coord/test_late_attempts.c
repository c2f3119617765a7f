/* Attempts to forward a request that reach the leader after their sender has
   given them up. */
#include <glib.h>
#include <string.h>

#include "../scenario/relay.h"
#include "coord_support.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
#define OTHER "2222222222222222"
/* Time in which an attempt that was delivered is carried out or rejected. */
#define DELIVERY_MS 300

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

static void
store_fail (struct fixture *f)
{
  struct request_result a;

  f->store.unavailable = TRUE;
  test_run_for (COORD_TEST_STORE_FAILING_MS);
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

static gboolean
write_delayed (void *user)
{
  return !g_queue_is_empty (((struct fixture *)user)->store.delayed);
}

/* Guards against a commit that takes effect after the successor of its sender
   has refused the job: the sender led, stepped down and forwarded the request.
 */
static void
refusals_of_a_successor_hold_for_commits_of_its_predecessor (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct fixture f = { 0 };
  struct request_result a;
  g_autofree char *address = test_address ();
  g_autofree char *listen = test_address ();

  memory_store_init (&f.store);
  f.leader = coord_start (&f.store, "e1", NULL);
  test_run_until (is_leading, f.leader);
  f.store.delay_writes = 1;
  send_request (f.leader, HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (write_delayed, &f);
  f.link = relay_new ("successor", address, listen);
  link_cut (&f, TRUE);
  hk_coord_resign (f.leader);
  options.address = address;
  options.listen = listen;
  f.followers[0] = coord_start_with (&f.store.base, options, "e2", NULL);
  test_run_until (is_leading, f.followers[0]);
  f.store.unavailable = TRUE;
  test_run_for (COORD_TEST_STORE_FAILING_MS);
  link_cut (&f, FALSE);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
  f.store.unavailable = FALSE;
  memory_store_apply_delayed (&f.store);
  test_run_for (DELIVERY_MS);
  g_assert_false (has_job (&f, JOB));
  hk_coord_free (f.followers[0]);
  hk_coord_free (f.leader);
  relay_free (f.link);
  memory_store_finish (&f.store);
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

/* Guards against a crash: the id of a request that can't be encoded is not
   known when it is compared with those in doubt. */
static void
requests_that_cannot_be_encoded_are_refused (void)
{
  struct memory_store s;
  struct request_result a;
  struct request_result b;
  g_autofree char *id = g_strnfill (HK_JOB_NAME_MAX + 1, '1');
  struct hk_coord *c;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  s.unavailable = TRUE;
  send_request (c, HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_for (20);
  g_assert_cmpint (a.n_replies, ==, 0);
  send_request (c, HK_JOB_REQUEST_SUBMIT, id, &b);
  test_run_until (has_reply, &b);
  g_assert_cmpint (b.outcome, ==, HK_JOB_REQUEST_REFUSED);
  hk_coord_free (c);
  memory_store_finish (&s);
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
  ADD (refusals_of_a_successor_hold_for_commits_of_its_predecessor);
  ADD (requests_after_one_in_doubt_are_not_refused);
  ADD (requests_that_cannot_be_encoded_are_refused);
  return g_test_run ();
}

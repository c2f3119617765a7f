/* Commits and replies of a coordinator, against a store in memory that loses
   replies and delays, reorders or refuses transactions. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/log.h"

static void
accepted_jobs_are_stored (void)
{
  struct memory_store s;
  struct hk_coord *c;
  struct request_result a;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  g_assert_true (memory_store_has (&s, HK_KEY_SPECS "1111111111111111"));
  g_assert_true (memory_store_has (&s, HK_KEY_PROGRESS "1111111111111111"));
  send_request (c, HK_JOB_REQUEST_STATE, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpuint (a.state, ==, 0);
  send_request (c, HK_JOB_REQUEST_STATE, "2222222222222222", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_NOT_FOUND);
  hk_coord_free (c);
  memory_store_finish (&s);
}

static void
commits_with_lost_replies_are_detected (void)
{
  struct memory_store s;
  struct hk_coord *c;
  struct request_result a;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  s.drop_replies = 2;
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  g_assert_true (hk_coord_leading (c));
  hk_coord_free (c);
  memory_store_finish (&s);
}

static void
runs_start_only_after_their_commit (void)
{
  struct memory_store s;
  struct agent agent;
  struct request_result a;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&agent, "a1", address);
  report (&agent);
  g_assert_true (agent.leading);
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  s.unavailable = TRUE;
  send_request (c, HK_JOB_REQUEST_SUBMIT, "2222222222222222", &a);
  report (&agent);
  report (&agent);
  for (unsigned i = 0; i < agent.n_runs; i++)
    g_assert_cmpstr (agent.runs[i].task.job, ==, "1111111111111111");
  s.unavailable = FALSE;
  test_run_until (has_reply, &a);
  agent_finish (&agent);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a task that starts long after its cancel was acknowledged: a
   coordinator cut off from the store, but not from its agents, kept repeating
   the start order. */
static void
starts_require_a_recent_commit (void)
{
  struct memory_store s;
  struct memory_view view = { 0 };
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct agent agent;
  struct request_result a;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&s);
  memory_view_init (&view, &s);
  c = coord_start_with (&view.base, options, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&agent, "a1", address);
  report (&agent);
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (two_started, &agent);
  /* The start orders are lost in transit: no report shows the runs. */
  view.partitioned = TRUE;
  test_run_for (1500);
  agent.n_runs = 0;
  agent.starts = 0;
  for (int i = 0; i < 5; i++)
    report (&agent);
  g_assert_cmpint (agent.starts, ==, 0);
  view.partitioned = FALSE;
  test_run_until (two_started, &agent);
  agent_finish (&agent);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a client being told that its job will not run while the
   commit that stores it is still in flight. */
static void
jobs_in_flight_are_not_refused (void)
{
  struct memory_store s;
  struct request_result a;
  g_autofree char *address = NULL;
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = (char *)"1111111111111111",
                               .queue = (char *)"batch" };
  const unsigned counts[] = { 1, 0 };
  hk_job_spec *spec = test_job_spec_new ("1111111111111111", counts, 0);
  struct hk_coord *c;
  struct hk_coord *follower;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &address);
  test_run_until (is_leading, c);
  follower = coord_start (&s, "e2", NULL);
  while (!hk_coord_available (follower))
    g_main_context_iteration (NULL, TRUE);
  /* The commit gets no reply before the time limit of the client. */
  s.delay_writes = 1000;
  args.job.job_len = 1;
  args.job.job_val = spec;
  memset (&a, 0, sizeof a);
  hk_coord_request (follower, &args, 200, on_request_reply, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_UNKNOWN);
  test_job_spec_free (spec);
  hk_coord_free (follower);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against jobs being held until their clients time out while the store
   does not answer, although no commit has included them. */
static void
jobs_not_in_flight_are_refused_early (void)
{
  struct memory_store s;
  struct request_result a;
  struct request_result first;
  struct hk_coord *c;
  int64_t submitted_ms;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  s.delay_writes = 1000;
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &first);
  test_run_for (100);
  submitted_ms = hk_clock_ms ();
  send_request (c, HK_JOB_REQUEST_SUBMIT, "2222222222222222", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_REFUSED);
  g_assert_cmpint (hk_clock_ms () - submitted_ms, <, 1500);
  g_assert_cmpint (first.n_replies, ==, 0);
  /* The delayed commit takes effect now; it contains only the first job. */
  memory_store_apply_delayed (&s);
  s.delay_writes = 0;
  test_run_until (has_reply, &first);
  g_assert_cmpint (first.outcome, ==, HK_JOB_REQUEST_DONE);
  g_assert_false (memory_store_has (&s, HK_KEY_SPECS "2222222222222222"));
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a coordinator that was frozen and then reports a job as
   unknown which its successor has accepted meanwhile (soak seed 2). */
static void
not_found_requires_proven_leadership (void)
{
  struct memory_store s;
  struct memory_view view = { 0 };
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct request_result a;
  struct hk_coord *c;

  memory_store_init (&s);
  memory_view_init (&view, &s);
  c = coord_start_with (&view.base, options, "e1", NULL);
  test_run_until (is_leading, c);
  /* As after a freeze: since the last commit there was time for a takeover. */
  view.partitioned = TRUE;
  test_run_for (600);
  send_request (c, HK_JOB_REQUEST_STATE, "1111111111111111", &a);
  test_run_for (150);
  g_assert_cmpint (a.n_replies, ==, 0);
  view.partitioned = FALSE;
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_NOT_FOUND);
  hk_coord_free (c);
  memory_store_finish (&s);
}

static void
cancel_stops_runs (void)
{
  struct memory_store s;
  struct agent agent;
  struct request_result a;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&agent, "a1", address);
  report (&agent);
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (two_started, &agent);
  send_request (c, HK_JOB_REQUEST_CANCEL, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  agent.stops = 0;
  for (int i = 0; i < 5 && agent.stops < 2; i++)
    report (&agent);
  g_assert_cmpint (agent.stops, >=, 2);
  send_request (c, HK_JOB_REQUEST_STATE, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpuint (a.state, ==, 4);
  agent_finish (&agent);
  hk_coord_free (c);
  memory_store_finish (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/coord/" #name, name)
  ADD (accepted_jobs_are_stored);
  ADD (commits_with_lost_replies_are_detected);
  ADD (runs_start_only_after_their_commit);
  ADD (starts_require_a_recent_commit);
  ADD (jobs_in_flight_are_not_refused);
  ADD (not_found_requires_proven_leadership);
  ADD (cancel_stops_runs);
  ADD (jobs_not_in_flight_are_refused_early);
  return g_test_run ();
}

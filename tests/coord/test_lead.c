/* Takeover and recovery, against a store in memory that loses, delays and
   reorders calls. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/listener.h"
#include "hyssopkeel/log.h"

/* A commit that reaches the store after a takeover must have no effect. */
static gboolean
write_delayed (void *user)
{
  return !g_queue_is_empty (((struct memory_store *)user)->delayed);
}

static void
late_commits_of_a_predecessor_fail (void)
{
  struct memory_store s;
  struct hk_coord *old;
  struct hk_coord *new;
  struct request_result a;
  struct request_result b;
  int txns;

  memory_store_init (&s);
  old = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, old);
  s.delay_writes = 1;
  send_request (old, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (write_delayed, &s);
  hk_coord_resign (old);
  new = coord_start (&s, "e2", NULL);
  test_run_until (is_leading, new);
  txns = s.txns;
  memory_store_apply_delayed (&s);
  g_assert_cmpint (s.txns, ==, txns);
  /* The request is forwarded to the successor, which stores the job. */
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  g_assert_true (memory_store_has (&s, HK_KEY_SPECS "1111111111111111"));
  send_request (new, HK_JOB_REQUEST_STATE, "1111111111111111", &b);
  test_run_until (has_reply, &b);
  g_assert_cmpint (b.outcome, ==, HK_JOB_REQUEST_DONE);
  hk_coord_free (old);
  hk_coord_free (new);
  memory_store_finish (&s);
}

static void
successors_inherit_runs_and_ends (void)
{
  struct memory_store s;
  struct agent agent;
  struct request_result a;
  g_autofree char *address = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *c;
  struct hk_coord *successor;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&agent, "a1", address);
  report (&agent);
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (two_started, &agent);
  hk_coord_free (c);
  successor = coord_start (&s, "e2", &next);
  test_run_until (is_leading, successor);
  agent_reconnect (&agent, next);
  agent.starts = 0;
  agent.stops = 0;
  report (&agent);
  report (&agent);
  g_assert_cmpuint (agent.term, ==, 2);
  g_assert_cmpint (agent.starts, ==, 0);
  g_assert_cmpint (agent.stops, ==, 0);
  /* One task ends, the other keeps running. */
  agent.ends[0] = (hk_run_end){ .task = agent.runs[0].task,
                                .run = agent.runs[0].run,
                                .how = HK_END_DONE,
                                .checkpoint = (char *)"" };
  agent.n_ends = 1;
  agent.runs[0] = agent.runs[1];
  agent.n_runs = 1;
  agent.acknowledged = 0;
  while (agent.acknowledged == 0)
    report (&agent);
  g_assert_cmpint (agent.starts, ==, 0);
  agent_finish (&agent);
  hk_coord_free (successor);
  memory_store_finish (&s);
}

static void
on_put (int rc, const struct hk_store_result *results,
        const struct hk_error *err, void *user)
{
  (void)err;
  (void)user;
  g_assert_cmpint (rc, ==, HK_OK);
  g_assert_true (results->succeeded);
}

static void
put (struct memory_store *s, const char *key, const char *value, size_t len)
{
  struct hk_store_txn txn = { .n_then = 1 };

  txn.then[0] = (struct hk_store_op){ HK_STORE_PUT, key, value, len, 0 };
  s->base.ops->batch (&s->base, &txn, 1, on_put, NULL);
}

/* Stores a job as another coordinator would have done. */
static void
put_job (struct memory_store *s, const char *id)
{
  const unsigned counts[] = { 2, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);
  g_autofree char *spec_key = g_strconcat (HK_KEY_SPECS, id, NULL);
  g_autofree char *progress_key = g_strconcat (HK_KEY_PROGRESS, id, NULL);
  g_autofree char *bytes = NULL;
  g_autofree char *progress = NULL;
  struct hk_engine e;
  struct hk_engine_job *job;
  size_t len = 0;

  hk_engine_init (&e);
  job = hk_engine_submit (&e, spec, 1, 1);
  hk_engine_encode_spec (&bytes, &len, job);
  put (s, spec_key, bytes, len);
  hk_engine_encode_progress (&progress, &len, job);
  put (s, progress_key, progress, len);
  hk_engine_finish (&e);
  test_job_spec_free (spec);
}

/* Guards against a completed task that starts again: a read begun in an
   earlier term was answered in a later one, and its stale records were used.
 */
static void
reads_of_an_earlier_load_are_dropped (void)
{
  struct memory_store s;
  struct request_result a;
  struct hk_coord *c;
  int txns;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  while (s.txns < 1)
    g_main_context_iteration (NULL, TRUE);
  s.defer_reads = TRUE;
  while (g_queue_get_length (s.deferred_reads) < 1)
    g_main_context_iteration (NULL, TRUE);
  s.defer_reads = FALSE;
  /* Another process takes over, stores a job and terminates. */
  put_job (&s, "1111111111111111");
  put (&s, HK_KEY_FENCE, "{\"term\":9,\"seq\":1}", 0);
  put (&s, HK_KEY_LEAD,
       "{\"term\":9,\"name\":\"x\",\"address\":\"127.0.0.1:9\"}", 0);
  txns = s.txns;
  while (s.txns == txns)
    g_main_context_iteration (NULL, TRUE);
  /* The next load waits for its own read; the stale one is answered first. */
  s.defer_reads = TRUE;
  while (g_queue_get_length (s.deferred_reads) < 2)
    g_main_context_iteration (NULL, TRUE);
  s.defer_reads = FALSE;
  memory_store_answer_read (&s);
  test_run_for (30);
  g_assert_false (hk_coord_leading (c));
  memory_store_answer_read (&s);
  test_run_until (is_leading, c);
  send_request (c, HK_JOB_REQUEST_STATE, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  hk_coord_free (c);
  memory_store_finish (&s);
}

static gboolean
two_restarted (void *user)
{
  struct agent *a = user;

  if (a->starts < 2)
    report (a);
  return a->starts >= 2;
}

/* Guards against a needless wait: after a takeover, runs of a terminated agent
   were not placed again for the whole authority of a predecessor, although
   that one had stepped down. */
static void
predecessors_that_stepped_down_are_not_waited_for (void)
{
  struct memory_store s;
  struct agent terminated;
  struct agent other;
  struct request_result a;
  g_autofree char *address = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *c;
  struct hk_coord *successor;
  int64_t began;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&terminated, "a1", address);
  report (&terminated);
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (two_started, &terminated);
  agent_finish (&terminated);
  hk_coord_resign (c);
  successor = coord_start (&s, "e2", &next);
  test_run_until (is_leading, successor);
  began = hk_clock_ms ();
  agent_init (&other, "a2", next);
  test_run_until (two_restarted, &other);
  /* Not before a lease grant and a lease have expired: 2.5 and 4 seconds. */
  g_assert_cmpint (hk_clock_ms () - began, >=, 6300);
  g_assert_cmpint (hk_clock_ms () - began, <, 9000);
  g_assert_cmpuint (other.last_run, ==, 2);
  agent_finish (&other);
  hk_coord_free (c);
  hk_coord_free (successor);
  memory_store_finish (&s);
}

/* A predecessor that does not answer may still give lease grants. */
static void
unreachable_predecessors_are_waited_for (void)
{
  struct memory_store s;
  struct agent terminated;
  struct agent other;
  struct request_result a;
  g_autofree char *address = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *c;
  struct hk_coord *successor;
  int64_t began;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&terminated, "a1", address);
  report (&terminated);
  send_request (c, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (two_started, &terminated);
  agent_finish (&terminated);
  hk_coord_free (c);
  successor = coord_start (&s, "e2", &next);
  test_run_until (is_leading, successor);
  began = hk_clock_ms ();
  agent_init (&other, "a2", next);
  while (hk_clock_ms () - began < 9000)
    {
      report (&other);
      g_assert_cmpint (other.starts, ==, 0);
    }
  agent_finish (&other);
  hk_coord_free (successor);
  memory_store_finish (&s);
}

/* Guards against waits that add up: in a chain of takeovers, each one
   restarted the wait for a predecessor that could not be pinged. */
static void
takeovers_do_not_restart_the_wait (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct agent terminated;
  struct agent other;
  struct request_result a;
  g_autofree char *address = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *first;
  struct hk_coord *second;
  struct hk_coord *third;
  int64_t began;

  options.authority = (struct hk_authority){ .own_ms = 4000,
                                             .grant_ms = 300,
                                             .hold_ms = 500 };
  memory_store_init (&s);
  first = coord_start_with (&s.base, options, "e1", &address);
  test_run_until (is_leading, first);
  agent_init (&terminated, "a1", address);
  report (&terminated);
  send_request (first, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (two_started, &terminated);
  agent_finish (&terminated);
  /* Its authority may last for 4 seconds; it cannot be pinged. */
  hk_coord_free (first);
  second = coord_start_with (&s.base, options, "e2", NULL);
  test_run_until (is_leading, second);
  began = hk_clock_ms ();
  third = coord_start_with (&s.base, options, "e3", &next);
  test_run_for (2500);
  hk_coord_resign (second);
  test_run_until (is_leading, third);
  agent_init (&other, "a2", next);
  test_run_until (two_restarted, &other);
  /* Authority, lease and their margins, from the first takeover. */
  g_assert_cmpint (hk_clock_ms () - began, >=, 4500);
  g_assert_cmpint (hk_clock_ms () - began, <, 6000);
  agent_finish (&other);
  hk_coord_free (second);
  hk_coord_free (third);
  memory_store_finish (&s);
}

/* Guards against a needless takeover: after a store outage for all processes,
   a follower with a low capacity score noticed the recovery first and replaced
   a healthy leader. */
static void
store_outages_for_all_keep_the_leader (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct request_result a;
  struct hk_coord *leader;
  struct hk_coord *low_score;

  memory_store_init (&s);
  leader = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, leader);
  options.capacity_score_percent = 20;
  low_score = coord_start_with (&s.base, options, "e2", NULL);
  /* Longer than a new leader is exempt from replacement for its store path. */
  test_run_for (3500);
  s.unavailable = TRUE;
  test_run_for (2500);
  s.unavailable = FALSE;
  test_run_for (2000);
  g_assert_true (hk_coord_leading (leader));
  send_request (low_score, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
  g_assert_true (hk_coord_leading (leader));
  hk_coord_free (low_score);
  hk_coord_free (leader);
  memory_store_finish (&s);
}

/* Guards against a takeover in a wait: a leader with a low capacity score was
   replaced while it waited for its predecessor's agents, and the successor
   restarted that wait. */
static void
low_score_leaders_settle_before_replacement (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct agent terminated;
  struct request_result a;
  g_autofree char *address = NULL;
  struct hk_coord *first;
  struct hk_coord *low_score;
  struct hk_coord *high_score;

  memory_store_init (&s);
  first = coord_start (&s, "e1", &address);
  test_run_until (is_leading, first);
  agent_init (&terminated, "a1", address);
  report (&terminated);
  send_request (first, HK_JOB_REQUEST_SUBMIT, "1111111111111111", &a);
  test_run_until (two_started, &terminated);
  agent_finish (&terminated);
  hk_coord_free (first);
  options.capacity_score_percent = 20;
  low_score = coord_start_with (&s.base, options, "e2", NULL);
  test_run_until (is_leading, low_score);
  high_score = coord_start (&s, "e3", NULL);
  /* Longer than a new leader is exempt from replacement for its score. */
  test_run_for (7000);
  g_assert_true (hk_coord_leading (low_score));
  /* No agent is waited for any more: the higher score takes over. */
  test_run_until (is_leading, high_score);
  hk_coord_free (low_score);
  hk_coord_free (high_score);
  memory_store_finish (&s);
}

/* Guards against jobs refused right after a takeover: the coordinator knew the
   backlog but no instances yet. */
static void
new_coordinators_admit_before_agents_report (void)
{
  const unsigned counts[] = { 200, 0 };
  struct memory_store s;
  struct hk_coord *c;
  struct request_result a;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016d", i);
      hk_job_spec *spec = test_job_spec_new (id, counts, HK_STEP_BEST_EFFORT);
      hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                                   .id = id,
                                   .queue = (char *)"batch" };

      args.job.job_len = 1;
      args.job.job_val = spec;
      memset (&a, 0, sizeof a);
      hk_coord_request (c, &args, 5000, on_request_reply, &a);
      test_run_until (has_reply, &a);
      g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
      test_job_spec_free (spec);
    }
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a healthy leader that is replaced at once: the ping that was
   still to be sent to its predecessor failed as the channel was closed. Within
   so short a time a leader may deny that a job exists. */
static void
pings_to_a_former_leader_do_not_count_against_its_successor (void)
{
  struct memory_store s;
  struct hk_error err;
  struct hk_coord *c = NULL;
  GSocket *silent[2];
  char *address[2] = { test_address (), test_address () };

  memory_store_init (&s);
  for (int i = 0; i < 2; i++)
    g_assert_cmpint (hk_listener_new (&silent[i], "test", address[i], &err),
                     ==, HK_OK);
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *lead = g_strdup_printf ("{\"term\":%d,\"name\":\"x%d\","
                                               "\"address\":\"%s\"}",
                                               i + 1, i, address[i]);

      put (&s, HK_KEY_LEAD, lead, 0);
      if (i == 0)
        c = coord_start (&s, "e1", NULL);
      /* Shorter than the time limit of a ping. */
      test_run_for (300);
      g_assert_false (hk_coord_leading (c));
    }
  test_run_until (is_leading, c);
  hk_coord_free (c);
  for (int i = 0; i < 2; i++)
    {
      g_object_unref (silent[i]);
      g_free (address[i]);
    }
  memory_store_finish (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/coord/" #name, name)
  ADD (late_commits_of_a_predecessor_fail);
  ADD (successors_inherit_runs_and_ends);
  ADD (reads_of_an_earlier_load_are_dropped);
  ADD (new_coordinators_admit_before_agents_report);
  ADD (predecessors_that_stepped_down_are_not_waited_for);
  ADD (unreachable_predecessors_are_waited_for);
  ADD (takeovers_do_not_restart_the_wait);
  ADD (store_outages_for_all_keep_the_leader);
  ADD (low_score_leaders_settle_before_replacement);
  ADD (pings_to_a_former_leader_do_not_count_against_its_successor);
  return g_test_run ();
}

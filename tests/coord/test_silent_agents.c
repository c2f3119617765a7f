/* Agents that fall silent while leaders are replaced every few seconds. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
/* Longest wait for a silent agent after a takeover: own_ms, hold_ms and their
   margins. */
#define WAIT_MS 2300
/* Shortest time from the last grant to the end of the last lease. */
#define GRANT_AND_LEASE_MS 1750
/* The platform counts a job as lost if nothing of it runs for this long. */
#define STANDING_MAX_MS 3000
/* Between two takeovers; shorter than the wait. */
#define TENURE_MS 1800

struct site
{
  struct memory_store store;
  struct hk_coord *c;
  unsigned terms;
  struct agent silent;
  struct agent other;
};

/* Replaces the leader by a process that remembers nothing. */
static void
site_take_over (struct site *s)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *name = g_strdup_printf ("e%u", ++s->terms);
  g_autofree char *address = NULL;

  options.authority = (struct hk_authority){ .own_ms = 1000,
                                             .grant_ms = 500,
                                             .hold_ms = 1000 };
  if (s->c)
    hk_coord_free (s->c);
  s->c = coord_start_with (&s->store.base, options, name, &address);
  test_run_until (is_leading, s->c);
  if (s->terms == 1)
    agent_init (&s->silent, "a1", address);
  if (s->terms == 1)
    agent_init (&s->other, "a2", address);
  else
    agent_reconnect (&s->other, address);
}

/* Two tasks run on an agent; the other one joins later. */
static void
site_init (struct site *s)
{
  struct request_result a;

  memset (s, 0, sizeof *s);
  memory_store_init (&s->store);
  site_take_over (s);
  report (&s->silent);
  send_request (s->c, HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (two_started, &s->silent);
}

static void
site_finish (struct site *s)
{
  agent_finish (&s->silent);
  agent_finish (&s->other);
  hk_coord_free (s->c);
  memory_store_finish (&s->store);
}

/* Reports of the other agent until both tasks were started there. */
static void
report_until_started (struct site *s, int64_t until_ms)
{
  while (s->other.starts < 2 && hk_clock_ms () < until_ms)
    report (&s->other);
}

/* Guards against work that stands still for as long as leaders are replaced:
   each successor waited for a silent agent from the beginning. */
static void
chains_of_takeovers_do_not_restart_the_wait (void)
{
  struct site s;
  int64_t silent_ms;

  site_init (&s);
  silent_ms = hk_clock_ms ();
  while (s.other.starts < 2 && hk_clock_ms () - silent_ms < 5 * WAIT_MS)
    {
      site_take_over (&s);
      report_until_started (&s, hk_clock_ms () + TENURE_MS);
    }
  g_assert_cmpint (s.other.starts, ==, 2);
  g_assert_cmpint (hk_clock_ms () - silent_ms, >=, GRANT_AND_LEASE_MS);
  g_assert_cmpint (hk_clock_ms () - silent_ms, <, 3 * WAIT_MS);
  site_finish (&s);
}

static gboolean
has_grant (void *user)
{
  struct agent *a = user;

  report (a);
  return a->grant_ms > 0;
}

/* An agent that was silent and reports again: its successor must not trust
   what the store says of the time before. */
static void
grants_after_a_silence_are_waited_for (void)
{
  struct site s;
  int64_t granted_ms;

  site_init (&s);
  test_run_for (1600);
  s.store.delay_writes = 1000;
  report (&s.silent);
  g_assert_cmpuint (s.silent.grant_ms, ==, 0);
  s.store.delay_writes = 0;
  test_run_until (has_grant, &s.silent);
  granted_ms = hk_clock_ms ();
  site_take_over (&s);
  report_until_started (&s, granted_ms + 3 * WAIT_MS);
  g_assert_cmpint (s.other.starts, ==, 2);
  g_assert_cmpint (hk_clock_ms () - granted_ms, >=, GRANT_AND_LEASE_MS);
  site_finish (&s);
}

/* Guards against a wait for nothing: a run whose order had never been sent was
   kept on an agent that had fallen silent until leases there had expired. */
static void
runs_that_were_never_ordered_are_placed_elsewhere (void)
{
  struct memory_store store;
  struct request_result a;
  struct agent silent;
  struct agent other;
  g_autofree char *address = NULL;
  struct hk_coord *c;
  int64_t silent_ms;

  memory_store_init (&store);
  c = coord_start (&store, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&silent, "a1", address);
  report (&silent);
  silent_ms = hk_clock_ms ();
  send_request (c, HK_JOB_REQUEST_SUBMIT, JOB, &a);
  test_run_until (has_reply, &a);
  agent_init (&other, "a2", address);
  while (other.starts < 2 && hk_clock_ms () - silent_ms < 3 * WAIT_MS)
    report (&other);
  g_assert_cmpint (other.starts, ==, 2);
  g_assert_cmpint (hk_clock_ms () - silent_ms, <, STANDING_MAX_MS);
  agent_finish (&silent);
  agent_finish (&other);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* A leader, and an agent that it has granted leases for two runs. */
static struct hk_coord *
leader_start (struct memory_store *store, struct agent *a)
{
  g_autofree char *address = NULL;
  struct hk_coord *c = coord_start (store, "e1", &address);
  struct request_result r;

  test_run_until (is_leading, c);
  agent_init (a, "a1", address);
  report (a);
  send_request (c, HK_JOB_REQUEST_SUBMIT, JOB, &r);
  test_run_until (two_started, a);
  report (a);
  return c;
}

/* Guards against two runs of a task: the answer to an agent that leaves lets
   it extend its leases beyond what the list of silent agents says. */
static void
listed_agents_are_not_let_go (void)
{
  struct memory_store store;
  struct agent a;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  memory_store_init (&store);
  c = leader_start (&store, &a);
  hk_coord_free (c);
  c = coord_start (&store, "e2", &address);
  test_run_until (is_leading, c);
  test_run_for (1200);
  store.delay_writes = 1000;
  agent_reconnect (&a, address);
  a.final_lease_ms = 6200;
  report (&a);
  g_assert_false (a.leading);
  store.delay_writes = 0;
  test_run_until (has_grant, &a);
  agent_finish (&a);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* Guards against the same where the authority of a leader ends: a successor
   waits for its last grant and a lease. */
static void
agents_are_not_let_go_as_authority_ends (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store store;
  struct agent a;
  g_autofree char *address = NULL;
  struct hk_coord *c;

  options.authority = (struct hk_authority){ .own_ms = 1500,
                                             .grant_ms = 1000,
                                             .hold_ms = 1000 };
  memory_store_init (&store);
  c = coord_start_with (&store.base, options, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&a, "a1", address);
  report (&a);
  store.delay_writes = 1000;
  test_run_for (800);
  report (&a);
  g_assert_cmpuint (a.grant_ms, >, 0);
  a.final_lease_ms = 1700;
  report (&a);
  g_assert_false (a.leading);
  agent_finish (&a);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* Guards against leases that end in an outage of the store which their leader
   could bridge: an agent that had been silent for a moment got no grants. */
static void
outages_after_a_short_silence_are_bridged (void)
{
  struct memory_store store;
  struct agent a;
  struct hk_coord *c;

  memory_store_init (&store);
  c = leader_start (&store, &a);
  test_run_for (1300);
  store.delay_writes = 100000;
  report (&a);
  report (&a);
  g_assert_cmpuint (a.grant_ms, >, 0);
  agent_finish (&a);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* The same after a load for which the store took long: nobody was heard
   meanwhile. */
static void
outages_after_a_slow_load_are_bridged (void)
{
  struct memory_store store;
  struct agent a;
  g_autofree char *address = NULL;
  struct hk_coord *c;
  int txns;

  memory_store_init (&store);
  c = leader_start (&store, &a);
  hk_coord_free (c);
  store.defer_reads = TRUE;
  txns = store.txns;
  c = coord_start (&store, "e2", &address);
  while (store.txns == txns)
    {
      test_run_for (5);
      memory_store_answer_read (&store);
    }
  test_run_for (1200);
  store.delay_writes = 100000;
  while (!hk_coord_leading (c))
    {
      memory_store_answer_read (&store);
      test_run_for (1);
    }
  store.defer_reads = FALSE;
  agent_reconnect (&a, address);
  report (&a);
  report (&a);
  g_assert_cmpuint (a.grant_ms, >, 0);
  agent_finish (&a);
  hk_coord_free (c);
  memory_store_finish (&store);
}

/* Clocks may differ by two percent, in either direction. */
static void
times_that_others_measured_include_their_skew (void)
{
  g_assert_cmpint (hk_authority_left_until (10000, 500), >=, 10700);
  g_assert_cmpint (hk_authority_left_until (0, 500), ==, 500);
  g_assert_cmpint (hk_authority_left_until (-10000, 500), >=, -9300);
  g_assert_cmpint (hk_authority_left_until (-10000, 500), <, -9000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/silent_agents/" #name, name)
  ADD (chains_of_takeovers_do_not_restart_the_wait);
  ADD (grants_after_a_silence_are_waited_for);
  ADD (runs_that_were_never_ordered_are_placed_elsewhere);
  ADD (listed_agents_are_not_let_go);
  ADD (agents_are_not_let_go_as_authority_ends);
  ADD (outages_after_a_short_silence_are_bridged);
  ADD (outages_after_a_slow_load_are_bridged);
  ADD (times_that_others_measured_include_their_skew);
  return g_test_run ();
}

/* Chains of takeovers by coordinators that restart and so remember nothing. */
#include <glib.h>
#include <string.h>

#include "../../src/coord/coord.h"
#include "coord_support.h"

#define JOB "1111111111111111"
/* Time between two takeovers, and until the former leader is back. */
#define TENURE_MS 2500
#define RESTART_MS 300

static const struct hk_authority authority
    = { .own_ms = 6000, .grant_ms = 300, .hold_ms = 500 };

/* Two entries that lead in turn. */
struct site
{
  struct memory_store store;
  struct hk_coord *entries[2];
  char *addresses[2];
  unsigned leader;
  struct agent agent;
};

static void
entry_start (struct site *s, unsigned i)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  options.authority = authority;
  options.address = s->addresses[i];
  s->entries[i]
      = coord_start_with (&s->store.base, options, i ? "e3" : "e2", NULL);
}

static void
site_init (struct site *s)
{
  memset (s, 0, sizeof *s);
  memory_store_init (&s->store);
  for (unsigned i = 0; i < 2; i++)
    s->addresses[i] = test_address ();
}

/* A job is submitted, and two of its tasks are ordered, by an entry and an
   agent that are then gone for good. */
static void
predecessor_run (struct site *s)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *address = NULL;
  struct request_result r;
  struct agent gone;
  struct hk_coord *c;

  options.authority = authority;
  c = coord_start_with (&s->store.base, options, "e1", &address);
  test_run_until (is_leading, c);
  agent_init (&gone, "a1", address);
  report (&gone);
  send_request (c, HK_JOB_REQUEST_SUBMIT, JOB, &r);
  test_run_until (two_started, &gone);
  agent_finish (&gone);
  hk_coord_free (c);
}

static void
leader_begin (struct site *s, unsigned i)
{
  s->leader = i;
  test_run_until (is_leading, s->entries[i]);
  agent_reconnect (&s->agent, s->addresses[i]);
}

/* Reports until @done or until @ms have passed. */
static void
reports_run (struct site *s, gboolean (*done) (const struct site *s),
             int64_t ms)
{
  int64_t until = hk_clock_ms () + ms;

  while (!done (s) && hk_clock_ms () < until)
    report (&s->agent);
}

/* Kills the leader again and again, each time TENURE_MS after its takeover,
   and restarts it as a new process at its address. */
static void
chain_run (struct site *s, gboolean (*done) (const struct site *s), int64_t ms)
{
  int64_t until = hk_clock_ms () + ms;

  while (!done (s) && hk_clock_ms () < until)
    {
      unsigned former = s->leader;

      reports_run (s, done, TENURE_MS - RESTART_MS);
      hk_coord_free (s->entries[former]);
      leader_begin (s, !former);
      reports_run (s, done, RESTART_MS);
      entry_start (s, former);
    }
}

static void
site_finish (struct site *s)
{
  agent_finish (&s->agent);
  for (unsigned i = 0; i < 2; i++)
    {
      hk_coord_free (s->entries[i]);
      g_free (s->addresses[i]);
    }
  memory_store_finish (&s->store);
}

static gboolean
two_placed (const struct site *s)
{
  return s->agent.starts >= 2;
}

/* Guards against a wait without end: with each takeover the authority of an
   entry that is gone counted from the restart of the new leader. */
static void
restarted_entries_do_not_restart_the_wait (void)
{
  struct site s;
  int64_t began_ms;
  int64_t took_ms;

  site_init (&s);
  predecessor_run (&s);
  entry_start (&s, 0);
  agent_init (&s.agent, "a2", s.addresses[0]);
  leader_begin (&s, 0);
  began_ms = hk_clock_ms ();
  entry_start (&s, 1);
  chain_run (&s, two_placed, 15000);
  took_ms = hk_clock_ms () - began_ms;
  g_assert_true (two_placed (&s));
  /* Authority and lease of the first entry, whose last commit was earlier. */
  g_assert_cmpint (took_ms, >=, authority.own_ms + authority.hold_ms);
  /* Twice the wait with its margins; a restarted entry may count from its
     start. */
  g_assert_cmpint (took_ms, <, 2 * 7000);
  site_finish (&s);
}

static void
on_put (int rc, const struct hk_store_result *results,
        const struct hk_error *err, void *user)
{
  (void)err;
  (void)user;
  g_assert_true (rc == HK_OK && results->succeeded);
}

/* Stores a service task that endpoints have crashed under, the last time now.
 */
static void
crashed_task_put (struct memory_store *s, unsigned crashes, int64_t age_ms)
{
  const unsigned counts[] = { 1, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, HK_STEP_SERVICE);
  struct hk_store_txn txn = { .n_then = 2 };
  g_autofree char *bytes = NULL;
  g_autofree char *progress = NULL;
  struct hk_engine e;
  struct hk_engine_job *job;
  size_t len = 0;
  size_t progress_len = 0;

  hk_engine_init (&e);
  job = hk_engine_submit (&e, spec, hk_clock_ms (), coord_wall_ms ());
  job->steps[0].tasks[0].last_run = crashes;
  job->steps[0].tasks[0].crash
      = (struct hk_crash_history){ .crashes = crashes, .age_ms = age_ms };
  hk_engine_encode_spec (&bytes, &len, job);
  hk_engine_encode_progress (&progress, &progress_len, job);
  txn.then[0]
      = (struct hk_store_op){ HK_STORE_PUT, HK_KEY_SPECS JOB, bytes, len, 0 };
  txn.then[1] = (struct hk_store_op){ HK_STORE_PUT, HK_KEY_PROGRESS JOB,
                                      progress, progress_len, 0 };
  s->base.ops->batch (&s->base, &txn, 1, on_put, NULL);
  hk_engine_finish (&e);
  test_job_spec_free (spec);
}

static gboolean
one_placed (const struct site *s)
{
  return s->agent.starts > 0;
}

/* Guards against a pause without end: it began anew with each takeover. */
static void
takeovers_do_not_restart_pauses_after_crashes (void)
{
  struct site s;
  int64_t began_ms;
  int64_t took_ms;

  site_init (&s);
  began_ms = hk_clock_ms ();
  /* After six crashes it is to pause for 4 s. */
  crashed_task_put (&s.store, 6, 210);
  entry_start (&s, 0);
  agent_init (&s.agent, "a2", s.addresses[0]);
  leader_begin (&s, 0);
  entry_start (&s, 1);
  chain_run (&s, one_placed, 12000);
  took_ms = hk_clock_ms () - began_ms;
  g_assert_true (one_placed (&s));
  g_assert_cmpint (took_ms, >=, 3900);
  g_assert_cmpint (took_ms, <, 4000 + TENURE_MS);
  site_finish (&s);
}

/* Guards against an instance that is closed without end: the probation of the
   suspect that runs there began anew with each takeover. */
static void
takeovers_do_not_restart_probation (void)
{
  struct request_result r;
  struct site s;

  site_init (&s);
  crashed_task_put (&s.store, 3, 2000);
  entry_start (&s, 0);
  agent_init (&s.agent, "a2", s.addresses[0]);
  leader_begin (&s, 0);
  entry_start (&s, 1);
  reports_run (&s, one_placed, 5000);
  g_assert_true (one_placed (&s));
  send_request (s.entries[0], HK_JOB_REQUEST_SUBMIT, "2222222222222222", &r);
  test_run_until (has_reply, &r);
  /* A probation of 3.3 s, and a lease until a life without a sign counts. */
  chain_run (&s, two_placed, 15000);
  g_assert_true (two_placed (&s));
  site_finish (&s);
}

/* Other builds write records without waits, and read those with them. A time
   of day that lies ahead, or is none, begins the wait anew. */
static void
records_with_waits_extend_those_without (void)
{
  const unsigned counts[] = { 2, 0 };
  const int64_t stored[] = { 0, 7000, 9001, -1, G_MININT64, G_MAXINT64 };
  const int64_t loaded[] = { 100, -1900, 100, 100, 100, 100 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, HK_STEP_SERVICE);
  g_autofree char *bytes = NULL;
  g_autofree char *old = NULL;
  size_t len = 0;
  size_t old_len = 0;
  struct hk_error err;
  struct hk_engine e;
  struct hk_engine_job *job;

  hk_engine_init (&e);
  job = hk_engine_submit (&e, spec, 0, 0);
  job->steps[0].tasks[1].crash.crashes = 1;
  hk_engine_encode_spec (&bytes, &len, job);
  hk_engine_encode_progress (&old, &old_len, job);
  for (gsize i = 0; i < G_N_ELEMENTS (stored); i++)
    {
      g_autofree char *new = NULL;
      size_t new_len = 0;

      job->steps[0].tasks[1].ready_wall_ms = stored[i];
      hk_engine_encode_progress (&new, &new_len, job);
      g_assert_cmpuint (new_len, >=, old_len);
      g_assert_cmpmem (new, old_len, old, old_len);
      g_assert_cmpint (new_len > old_len, ==, stored[i] > 0);
      hk_engine_job_remove (job);
      g_assert_cmpint (hk_engine_job_load (&e, JOB, bytes, len, new, new_len,
                                           100, 9000, &err),
                       ==, HK_OK);
      job = hk_engine_job_find (&e, JOB);
      g_assert_cmpint (job->steps[0].tasks[0].ready_ms, ==, 100);
      g_assert_cmpint (job->steps[0].tasks[1].ready_ms, ==, loaded[i]);
    }
  test_job_spec_free (spec);
  hk_engine_finish (&e);
}

#define LEADER "127.0.0.1:2"
#define PREDECESSOR "127.0.0.1:3"

/* Applies the lead record of the term after @missed others. */
static void
record_apply (struct hk_coord *c, unsigned missed, const char *leader,
              const char *before, const char *ages)
{
  g_autofree char *text = g_strdup_printf (
      "{\"term\":%" G_GUINT64_FORMAT ",\"name\":\"%s\",\"address\":\"%s\","
      "\"before\":[\"%s\"]%s%s}",
      c->leader.term + 1 + missed, leader, leader, before,
      ages ? ",\"before_ages_ms\":" : "", ages ? ages : "");
  struct hk_store_kv kv = { .key = HK_KEY_LEAD,
                            .value = text,
                            .len = strlen (text),
                            .mod_revision = c->leader.lead_rev + 1 };

  g_assert_true (coord_lead_record_apply (c, &kv));
}

/* -1 if the lead record names it as leader. */
static int64_t
known_age_ms (const struct hk_coord *c, const char *address)
{
  const struct coord_predecessor *p;

  TAILQ_FOREACH (p, &c->predecessors, link)
  if (strcmp (p->address, address) == 0)
    return p->superseded_ms ? hk_clock_ms () - p->superseded_ms : -1;
  g_assert_not_reached ();
}

static struct hk_coord *
reader_new (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  options.name = "e4";
  options.address = "127.0.0.1:4";
  options.authority = authority;
  return hk_coord_new (NULL, &options);
}

/* Guards against runs placed too early: an age of a lead record is believed
   only if its writer can have measured it. */
static void
malformed_ages_shorten_no_wait (void)
{
  static const char *const malformed[] = {
    NULL,     "[]",     "[2000,1]", "[-1]",     "[\"2000\"]",
    "[null]", "{}",     "2000",     "[2000.5]", "[[2000]]",
    "[6151]", "[1e30]", "[999999]", "[true]",   "[9223372036854775807]"
  };

  for (gsize i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      struct hk_coord *c = reader_new ();

      record_apply (c, 0, LEADER, PREDECESSOR, malformed[i]);
      g_assert_cmpint (known_age_ms (c, PREDECESSOR), >=, 0);
      g_assert_cmpint (known_age_ms (c, PREDECESSOR), <, 1000);
      hk_coord_free (c);
    }
}

/* Guards against runs placed too early: a predecessor led again in a term
   whose record this process has not seen. */
static void
predecessors_may_have_led_in_missed_terms (void)
{
  struct hk_coord *c = reader_new ();

  record_apply (c, 0, LEADER, PREDECESSOR, "[2000]");
  record_apply (c, 1, LEADER, PREDECESSOR, "[500]");
  g_assert_cmpint (known_age_ms (c, PREDECESSOR), >=, 500);
  g_assert_cmpint (known_age_ms (c, PREDECESSOR), <, 1500);
  hk_coord_free (c);
}

/* The oldest of all readings counts, until the predecessor leads again. */
static void
ages_are_carried_on (void)
{
  struct hk_coord *c = reader_new ();
  g_autofree char *json = NULL;

  record_apply (c, 0, LEADER, PREDECESSOR, "[2000]");
  g_assert_cmpint (known_age_ms (c, LEADER), ==, -1);
  record_apply (c, 0, LEADER, PREDECESSOR, "[0]");
  g_assert_cmpint (known_age_ms (c, PREDECESSOR), >=, 2000);
  json = coord_predecessors_to_json (c);
  g_assert_true (g_str_has_prefix (json,
                                   "\"before\":[\"" LEADER "\",\"" PREDECESSOR
                                   "\"],\"before_ages_ms\":[0,2"));
  record_apply (c, 0, PREDECESSOR, LEADER, "[0]");
  record_apply (c, 0, LEADER, PREDECESSOR, "[0]");
  g_assert_cmpint (known_age_ms (c, PREDECESSOR), <, 1000);
  hk_coord_free (c);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/takeover_chain/" #name, name)
  ADD (malformed_ages_shorten_no_wait);
  ADD (predecessors_may_have_led_in_missed_terms);
  ADD (ages_are_carried_on);
  ADD (records_with_waits_extend_those_without);
  ADD (takeovers_do_not_restart_probation);
  ADD (takeovers_do_not_restart_pauses_after_crashes);
  ADD (restarted_entries_do_not_restart_the_wait);
  return g_test_run ();
}

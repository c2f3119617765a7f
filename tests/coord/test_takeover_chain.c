/* Chains of takeovers by coordinators that restart and so remember nothing. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/takeover_chain/" #name, name)
  ADD (restarted_entries_do_not_restart_the_wait);
  return g_test_run ();
}

/* Taking the lead and recovering, against a store in memory that loses, delays
   and reorders. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/log.h"

/* A commit that is carried out after a successor took over must not count. */
static void
late_commits_of_a_predecessor_fail (void)
{
  struct memory_store s;
  struct hk_coord *old;
  struct hk_coord *new;
  struct asked a;
  struct asked b;

  memory_store_init (&s);
  old = coord_start (&s, "e1", NULL);
  test_spin (leads, old);
  s.delay_writes = 1;
  ask (old, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin_for (10);
  hk_coord_resign (old);
  new = coord_start (&s, "e2", NULL);
  test_spin (leads, new);
  memory_store_late (&s);
  g_assert_false (memory_store_has (&s, HK_KEY_SPECS "1111111111111111"));
  /* The question goes on to the successor, which stores it. */
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_DONE);
  g_assert_true (memory_store_has (&s, HK_KEY_SPECS "1111111111111111"));
  ask (new, HK_ASK_STATE, "1111111111111111", &b);
  test_spin (is_over, &b);
  g_assert_cmpint (b.outcome, ==, HK_ASK_DONE);
  hk_coord_free (old);
  hk_coord_free (new);
  memory_store_finish (&s);
}

static void
successors_take_runs_and_ends_over (void)
{
  struct memory_store s;
  struct agent agent;
  struct asked a;
  g_autofree char *where = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *c;
  struct hk_coord *successor;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&agent, "a1", where);
  report (&agent);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &agent);
  hk_coord_free (c);
  successor = coord_start (&s, "e2", &next);
  test_spin (leads, successor);
  agent_move (&agent, next);
  agent.starts = 0;
  agent.stops = 0;
  report (&agent);
  report (&agent);
  g_assert_cmpuint (agent.term, ==, 2);
  g_assert_cmpint (agent.starts, ==, 0);
  g_assert_cmpint (agent.stops, ==, 0);
  /* One task ends; the other goes on. */
  agent.ends[0] = (hk_run_end){ .task = agent.runs[0].task,
                                .run = agent.runs[0].run,
                                .how = HK_END_DONE,
                                .checkpoint = (char *)"" };
  agent.n_ends = 1;
  agent.runs[0] = agent.runs[1];
  agent.n_runs = 1;
  agent.noted = 0;
  while (agent.noted == 0)
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

/* What another coordinator would have stored of a job. */
static void
put_job (struct memory_store *s, const char *id)
{
  const unsigned counts[] = { 2, 0 };
  hk_job_spec *spec = test_job (id, counts, 0);
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
  test_job_free (spec);
}

/* Found by a hunt: a read that belonged to an earlier lead brought back old
   records, and a task that was done was started again. */
static void
answers_of_an_earlier_load_are_dropped (void)
{
  struct memory_store s;
  struct asked a;
  struct hk_coord *c;
  int txns;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  while (s.txns < 1)
    g_main_context_iteration (NULL, TRUE);
  s.hold_reads = TRUE;
  while (g_queue_get_length (s.held) < 1)
    g_main_context_iteration (NULL, TRUE);
  s.hold_reads = FALSE;
  /* Another process leads for a moment, stores a job and is gone. */
  put_job (&s, "1111111111111111");
  put (&s, HK_KEY_FENCE, "{\"term\":9,\"seq\":1}", 0);
  put (&s, HK_KEY_LEAD,
       "{\"term\":9,\"name\":\"x\",\"address\":\"127.0.0.1:9\"}", 0);
  txns = s.txns;
  while (s.txns == txns)
    g_main_context_iteration (NULL, TRUE);
  /* The next load waits for its own read; the old one is answered first. */
  s.hold_reads = TRUE;
  while (g_queue_get_length (s.held) < 2)
    g_main_context_iteration (NULL, TRUE);
  s.hold_reads = FALSE;
  memory_store_release (&s);
  test_spin_for (30);
  g_assert_false (hk_coord_leading (c));
  memory_store_release (&s);
  test_spin (leads, c);
  ask (c, HK_ASK_STATE, "1111111111111111", &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_DONE);
  hk_coord_free (c);
  memory_store_finish (&s);
}

static gboolean
two_more (void *user)
{
  struct agent *a = user;

  if (a->starts < 2)
    report (a);
  return a->starts >= 2;
}

/* Found by a hunt on a grown site: after each takeover, runs of an agent that
   was gone were waited for as long as a predecessor's whole authority. */
static void
predecessors_that_ceased_are_not_waited_for (void)
{
  struct memory_store s;
  struct agent gone;
  struct agent other;
  struct asked a;
  g_autofree char *where = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *c;
  struct hk_coord *successor;
  int64_t began;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  hk_coord_resign (c);
  successor = coord_start (&s, "e2", &next);
  test_spin (leads, successor);
  began = hk_clock_ms ();
  agent_init (&other, "a2", next);
  test_spin (two_more, &other);
  /* A grant and a hold, and not before: 2.5 and 4 seconds. */
  g_assert_cmpint (hk_clock_ms () - began, >=, 6300);
  g_assert_cmpint (hk_clock_ms () - began, <, 9000);
  g_assert_cmpuint (other.last_run, ==, 2);
  agent_finish (&other);
  hk_coord_free (c);
  hk_coord_free (successor);
  memory_store_finish (&s);
}

/* One that does not answer may still give grants. */
static void
silent_predecessors_are_waited_for (void)
{
  struct memory_store s;
  struct agent gone;
  struct agent other;
  struct asked a;
  g_autofree char *where = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *c;
  struct hk_coord *successor;
  int64_t began;

  memory_store_init (&s);
  c = coord_start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  hk_coord_free (c);
  successor = coord_start (&s, "e2", &next);
  test_spin (leads, successor);
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

/* Found by a hunt on a grown site: each of a chain of takeovers began the wait
   for a predecessor that could not be asked anew. */
static void
takeovers_do_not_begin_the_wait_anew (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct agent gone;
  struct agent other;
  struct asked a;
  g_autofree char *where = NULL;
  g_autofree char *next = NULL;
  struct hk_coord *first;
  struct hk_coord *second;
  struct hk_coord *third;
  int64_t began;

  options.authority = (struct hk_authority){ .own_ms = 4000,
                                             .grant_ms = 300,
                                             .hold_ms = 500 };
  memory_store_init (&s);
  first = coord_start_with (&s.base, options, "e1", &where);
  test_spin (leads, first);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (first, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  /* Its authority may last for 4 seconds; nobody can ask it. */
  hk_coord_free (first);
  second = coord_start_with (&s.base, options, "e2", NULL);
  test_spin (leads, second);
  began = hk_clock_ms ();
  third = coord_start_with (&s.base, options, "e3", &next);
  test_spin_for (2500);
  hk_coord_resign (second);
  test_spin (leads, third);
  agent_init (&other, "a2", next);
  test_spin (two_more, &other);
  /* Authority, hold and their margins, from the first takeover. */
  g_assert_cmpint (hk_clock_ms () - began, >=, 4500);
  g_assert_cmpint (hk_clock_ms () - began, <, 6000);
  agent_finish (&other);
  hk_coord_free (second);
  hk_coord_free (third);
  memory_store_finish (&s);
}

/* Found by a hunt on a grown site: when the store came back for all, a weak
   entry was the first to find it so and replaced a leader that was well. */
static void
outages_for_all_change_no_leader (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct asked a;
  struct hk_coord *leader;
  struct hk_coord *weak;

  memory_store_init (&s);
  leader = coord_start (&s, "e1", NULL);
  test_spin (leads, leader);
  options.strength = 20;
  weak = coord_start_with (&s.base, options, "e2", NULL);
  /* Longer than a new leader is left alone. */
  test_spin_for (3500);
  s.down = TRUE;
  test_spin_for (2500);
  s.down = FALSE;
  test_spin_for (2000);
  g_assert_true (hk_coord_leading (leader));
  ask (weak, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_DONE);
  g_assert_true (hk_coord_leading (leader));
  hk_coord_free (weak);
  hk_coord_free (leader);
  memory_store_finish (&s);
}

/* Found by the same hunt: a weak leader was replaced while it waited for the
   agents of an earlier one, and the successor began that wait anew. */
static void
weak_leaders_settle_before_they_are_replaced (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct agent gone;
  struct asked a;
  g_autofree char *where = NULL;
  struct hk_coord *first;
  struct hk_coord *weak;
  struct hk_coord *strong;

  memory_store_init (&s);
  first = coord_start (&s, "e1", &where);
  test_spin (leads, first);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (first, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  hk_coord_free (first);
  options.strength = 20;
  weak = coord_start_with (&s.base, options, "e2", NULL);
  test_spin (leads, weak);
  strong = coord_start (&s, "e3", NULL);
  /* Past the time for which a new leader is kept in any case. */
  test_spin_for (7000);
  g_assert_true (hk_coord_leading (weak));
  /* Nothing to wait for: the stronger one leads soon. */
  test_spin (leads, strong);
  hk_coord_free (weak);
  hk_coord_free (strong);
  memory_store_finish (&s);
}

/* Found in the logs of an incident: a coordinator refused work right after a
   takeover, since it knew the backlog and no instances yet. */
static void
new_coordinators_refuse_nothing_yet (void)
{
  const unsigned counts[] = { 200, 0 };
  struct memory_store s;
  struct hk_coord *c;
  struct asked a;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_spin (leads, c);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016d", i);
      hk_job_spec *spec = test_job (id, counts, HK_STEP_FILLS);
      hk_ask_args args
          = { .kind = HK_ASK_SUBMIT, .id = id, .queue = (char *)"batch" };

      args.job.job_len = 1;
      args.job.job_val = spec;
      memset (&a, 0, sizeof a);
      hk_coord_ask (c, &args, 5000, on_asked, &a);
      test_spin (is_over, &a);
      g_assert_cmpint (a.outcome, ==, HK_ASK_DONE);
      test_job_free (spec);
    }
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
  ADD (late_commits_of_a_predecessor_fail);
  ADD (successors_take_runs_and_ends_over);
  ADD (answers_of_an_earlier_load_are_dropped);
  ADD (new_coordinators_refuse_nothing_yet);
  ADD (predecessors_that_ceased_are_not_waited_for);
  ADD (silent_predecessors_are_waited_for);
  ADD (takeovers_do_not_begin_the_wait_anew);
  ADD (outages_for_all_change_no_leader);
  ADD (weak_leaders_settle_before_they_are_replaced);
  return g_test_run ();
}

/* Taking the lead, committing and recovering, against a store in memory that
   loses, delays and reorders. */
#include <glib.h>
#include <string.h>

#include "../support/jobs.h"
#include "../support/memory_store.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/coord.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/rpc_channel.h"

/* An agent that is played by the test. */
struct agent
{
  struct hk_rpc_channel channel;
  const char *name;
  hk_run_report runs[8];
  unsigned n_runs;
  hk_run_end ends[8];
  unsigned n_ends;
  int answers;
  gboolean leading;
  uint64_t term;
  unsigned grant_ms;
  int starts;
  int stops;
  int noted;
  unsigned last_run;
};

struct asked
{
  int over;
  hk_ask_outcome outcome;
  unsigned state;
};

static const struct hk_rpc_method sync_method
    = { HK_COORD_SYNC, (xdrproc_t)xdr_hk_sync_args,
        (xdrproc_t)xdr_hk_sync_reply, sizeof (hk_sync_reply) };

static struct hk_coord *
start_with (struct hk_store *store, struct hk_coord_options options,
            const char *name, char **where)
{
  g_autofree char *addr = test_address ();
  struct hk_error err;
  struct hk_coord *c;

  options.name = name;
  options.address = addr;
  c = hk_coord_new (store, &options);
  g_assert_cmpint (hk_coord_start (c, &err), ==, HK_OK);
  if (where)
    *where = g_steal_pointer (&addr);
  return c;
}

static struct hk_coord *
start (struct memory_store *s, const char *name, char **where)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  return start_with (&s->base, options, name, where);
}

static gboolean
leads (void *user)
{
  return hk_coord_leading (user);
}

static void
on_asked (const hk_ask_reply *reply, void *user)
{
  struct asked *a = user;

  a->over++;
  a->outcome = reply->outcome;
  a->state = reply->state;
}

static gboolean
is_over (void *user)
{
  return ((struct asked *)user)->over > 0;
}

static void
ask (struct hk_coord *c, hk_ask_kind kind, const char *id, struct asked *a)
{
  const unsigned counts[] = { 2, 1, 0 };
  hk_job_spec *spec = test_job (id, counts, 0);
  hk_ask_args args
      = { .kind = kind, .id = (char *)id, .queue = (char *)"batch" };

  memset (a, 0, sizeof *a);
  if (kind == HK_ASK_SUBMIT)
    {
      args.job.job_len = 1;
      args.job.job_val = spec;
    }
  hk_coord_ask (c, &args, 5000, on_asked, a);
  test_job_free (spec);
}

static void
on_synced (int rc, void *result, const struct hk_error *err, void *user)
{
  struct agent *a = user;
  const hk_sync_reply *reply = result;

  (void)err;
  if (rc == HK_ERR_STOPPED)
    return;
  g_assert_cmpint (rc, ==, HK_OK);
  a->answers++;
  a->leading = reply->leading;
  a->term = reply->term;
  a->grant_ms = reply->grant_ms;
  a->starts += (int)reply->starts.starts_len;
  a->stops += (int)reply->stops.stops_len;
  a->noted += (int)reply->noted.noted_len;
  for (u_int i = 0; i < reply->starts.starts_len; i++)
    {
      hk_run_report *run = &a->runs[a->n_runs++];

      run->task = reply->starts.starts_val[i].task;
      run->task.job = g_strdup (run->task.job);
      run->run = reply->starts.starts_val[i].run;
      run->started = TRUE;
      run->known = TRUE;
      run->checkpoint = g_strdup ("");
      a->last_run = run->run;
    }
}

static gboolean
answered (void *user)
{
  return ((struct agent *)user)->answers > 0;
}

static void
report (struct agent *a)
{
  hk_sync_args args = { .agent = (char *)a->name,
                        .domain = (char *)"d",
                        .born_ms = 5,
                        .described = TRUE,
                        .pool = (char *)"pool",
                        .cpu_milli = 4000,
                        .memory_mb = 4000 };

  args.runs.runs_len = a->n_runs;
  args.runs.runs_val = a->runs;
  args.ends.ends_len = a->n_ends;
  args.ends.ends_val = a->ends;
  a->answers = 0;
  hk_rpc_call (&a->channel, &sync_method, &args, 3000, on_synced, a);
  test_spin (answered, a);
}

static gboolean
two_started (void *user)
{
  struct agent *a = user;

  if (a->starts >= 2)
    return TRUE;
  report (a);
  return a->starts >= 2;
}

static void
agent_init (struct agent *a, const char *name, const char *where)
{
  memset (a, 0, sizeof *a);
  a->name = name;
  hk_rpc_channel_init (&a->channel, where, HK_COORD_PROGRAM, HK_COORD_V1);
}

static void
agent_move (struct agent *a, const char *where)
{
  hk_rpc_channel_finish (&a->channel);
  hk_rpc_channel_init (&a->channel, where, HK_COORD_PROGRAM, HK_COORD_V1);
}

static void
agent_finish (struct agent *a)
{
  hk_rpc_channel_finish (&a->channel);
}

static void
accepted_means_stored (void)
{
  struct memory_store s;
  struct hk_coord *c;
  struct asked a;

  memory_store_init (&s);
  c = start (&s, "e1", NULL);
  test_spin (leads, c);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_DONE);
  g_assert_true (memory_store_has (&s, HK_KEY_SPECS "1111111111111111"));
  g_assert_true (memory_store_has (&s, HK_KEY_PROGRESS "1111111111111111"));
  ask (c, HK_ASK_STATE, "1111111111111111", &a);
  test_spin (is_over, &a);
  g_assert_cmpuint (a.state, ==, 0);
  ask (c, HK_ASK_STATE, "2222222222222222", &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_NOT_FOUND);
  hk_coord_free (c);
  memory_store_finish (&s);
}

static void
lost_answers_of_commits_are_found (void)
{
  struct memory_store s;
  struct hk_coord *c;
  struct asked a;

  memory_store_init (&s);
  c = start (&s, "e1", NULL);
  test_spin (leads, c);
  s.lose_answers = 2;
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_DONE);
  g_assert_true (hk_coord_leading (c));
  hk_coord_free (c);
  memory_store_finish (&s);
}

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
  old = start (&s, "e1", NULL);
  test_spin (leads, old);
  s.delay_writes = 1;
  ask (old, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin_for (10);
  hk_coord_resign (old);
  new = start (&s, "e2", NULL);
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
nothing_starts_before_its_commit (void)
{
  struct memory_store s;
  struct agent agent;
  struct asked a;
  g_autofree char *where = NULL;
  struct hk_coord *c;

  memory_store_init (&s);
  c = start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&agent, "a1", where);
  report (&agent);
  g_assert_true (agent.leading);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (is_over, &a);
  s.down = TRUE;
  ask (c, HK_ASK_SUBMIT, "2222222222222222", &a);
  report (&agent);
  report (&agent);
  for (unsigned i = 0; i < agent.n_runs; i++)
    g_assert_cmpstr (agent.runs[i].task.job, ==, "1111111111111111");
  s.down = FALSE;
  test_spin (is_over, &a);
  agent_finish (&agent);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Found by a hunt: a task began long after its cancel was acknowledged. A
   coordinator that was cut from the store, though not from its agents, went on
   repeating the order for it. */
static void
nothing_starts_on_the_word_of_an_old_commit (void)
{
  struct memory_store s;
  struct memory_view view = { 0 };
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct agent agent;
  struct asked a;
  g_autofree char *where = NULL;
  struct hk_coord *c;

  memory_store_init (&s);
  memory_view_init (&view, &s);
  c = start_with (&view.base, options, "e1", &where);
  test_spin (leads, c);
  agent_init (&agent, "a1", where);
  report (&agent);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &agent);
  /* The orders got lost on their way; the reports do not show the runs. */
  view.cut = TRUE;
  test_spin_for (1500);
  agent.n_runs = 0;
  agent.starts = 0;
  for (int i = 0; i < 5; i++)
    report (&agent);
  g_assert_cmpint (agent.starts, ==, 0);
  view.cut = FALSE;
  test_spin (two_started, &agent);
  agent_finish (&agent);
  hk_coord_free (c);
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
  c = start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&agent, "a1", where);
  report (&agent);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &agent);
  hk_coord_free (c);
  successor = start (&s, "e2", &next);
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
  c = start (&s, "e1", NULL);
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

/* Found on a day drawn by the bench: a caller was told that its job would not
   run while the try that stored it was still open. */
static void
open_tries_are_never_called_refused (void)
{
  struct memory_store s;
  struct asked a;
  g_autofree char *where = NULL;
  hk_ask_args args = { .kind = HK_ASK_SUBMIT,
                       .id = (char *)"1111111111111111",
                       .queue = (char *)"batch" };
  const unsigned counts[] = { 1, 0 };
  hk_job_spec *spec = test_job ("1111111111111111", counts, 0);
  struct hk_coord *c;
  struct hk_coord *follower;

  memory_store_init (&s);
  c = start (&s, "e1", &where);
  test_spin (leads, c);
  follower = start (&s, "e2", NULL);
  while (!hk_coord_known (follower))
    g_main_context_iteration (NULL, TRUE);
  /* The commit gets no answer until after the caller has given up. */
  s.delay_writes = 1000;
  args.job.job_len = 1;
  args.job.job_val = spec;
  memset (&a, 0, sizeof a);
  hk_coord_ask (follower, &args, 200, on_asked, &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_UNKNOWN);
  test_job_free (spec);
  hk_coord_free (follower);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Found in an incident: jobs that came while the store was silent were held
   until their callers gave up, though no commit had named them. */
static void
jobs_that_no_commit_named_are_refused_soon (void)
{
  struct memory_store s;
  struct asked a;
  struct asked first;
  struct hk_coord *c;
  int64_t began;

  memory_store_init (&s);
  c = start (&s, "e1", NULL);
  test_spin (leads, c);
  s.delay_writes = 1000;
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &first);
  test_spin_for (100);
  began = hk_clock_ms ();
  ask (c, HK_ASK_SUBMIT, "2222222222222222", &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_REFUSED);
  g_assert_cmpint (hk_clock_ms () - began, <, 1500);
  g_assert_cmpint (first.over, ==, 0);
  /* What the store does late with the first is true of it alone. */
  memory_store_late (&s);
  s.delay_writes = 0;
  test_spin (is_over, &first);
  g_assert_cmpint (first.outcome, ==, HK_ASK_DONE);
  g_assert_false (memory_store_has (&s, HK_KEY_SPECS "2222222222222222"));
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
  c = start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  hk_coord_resign (c);
  successor = start (&s, "e2", &next);
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
  c = start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  hk_coord_free (c);
  successor = start (&s, "e2", &next);
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
  first = start_with (&s.base, options, "e1", &where);
  test_spin (leads, first);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (first, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  /* Its authority may last for 4 seconds; nobody can ask it. */
  hk_coord_free (first);
  second = start_with (&s.base, options, "e2", NULL);
  test_spin (leads, second);
  began = hk_clock_ms ();
  third = start_with (&s.base, options, "e3", &next);
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
  leader = start (&s, "e1", NULL);
  test_spin (leads, leader);
  options.strength = 20;
  weak = start_with (&s.base, options, "e2", NULL);
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
  first = start (&s, "e1", &where);
  test_spin (leads, first);
  agent_init (&gone, "a1", where);
  report (&gone);
  ask (first, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &gone);
  agent_finish (&gone);
  hk_coord_free (first);
  options.strength = 20;
  weak = start_with (&s.base, options, "e2", NULL);
  test_spin (leads, weak);
  strong = start (&s, "e3", NULL);
  /* Past the time for which a new leader is kept in any case. */
  test_spin_for (7000);
  g_assert_true (hk_coord_leading (weak));
  /* Nothing to wait for: the stronger one leads soon. */
  test_spin (leads, strong);
  hk_coord_free (weak);
  hk_coord_free (strong);
  memory_store_finish (&s);
}

/* Found by the soak (seed 2): a coordinator that had been frozen denied a job
   that its successor had accepted meanwhile. */
static void
jobs_are_denied_only_by_who_surely_leads (void)
{
  struct memory_store s;
  struct memory_view view = { 0 };
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct asked a;
  struct hk_coord *c;

  memory_store_init (&s);
  memory_view_init (&view, &s);
  c = start_with (&view.base, options, "e1", NULL);
  test_spin (leads, c);
  /* As after a freeze: the last commit is older than a takeover takes. */
  view.cut = TRUE;
  test_spin_for (600);
  ask (c, HK_ASK_STATE, "1111111111111111", &a);
  test_spin_for (150);
  g_assert_cmpint (a.over, ==, 0);
  view.cut = FALSE;
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_NOT_FOUND);
  hk_coord_free (c);
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
  c = start (&s, "e1", NULL);
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

static void
cancels_stop_what_runs (void)
{
  struct memory_store s;
  struct agent agent;
  struct asked a;
  g_autofree char *where = NULL;
  struct hk_coord *c;

  memory_store_init (&s);
  c = start (&s, "e1", &where);
  test_spin (leads, c);
  agent_init (&agent, "a1", where);
  report (&agent);
  ask (c, HK_ASK_SUBMIT, "1111111111111111", &a);
  test_spin (two_started, &agent);
  ask (c, HK_ASK_CANCEL, "1111111111111111", &a);
  test_spin (is_over, &a);
  g_assert_cmpint (a.outcome, ==, HK_ASK_DONE);
  agent.stops = 0;
  for (int i = 0; i < 5 && agent.stops < 2; i++)
    report (&agent);
  g_assert_cmpint (agent.stops, >=, 2);
  ask (c, HK_ASK_STATE, "1111111111111111", &a);
  test_spin (is_over, &a);
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
  g_test_add_func ("/coord/accepted_means_stored", accepted_means_stored);
  g_test_add_func ("/coord/lost_answers_of_commits_are_found",
                   lost_answers_of_commits_are_found);
  g_test_add_func ("/coord/late_commits_of_a_predecessor_fail",
                   late_commits_of_a_predecessor_fail);
  g_test_add_func ("/coord/nothing_starts_before_its_commit",
                   nothing_starts_before_its_commit);
  g_test_add_func ("/coord/nothing_starts_on_the_word_of_an_old_commit",
                   nothing_starts_on_the_word_of_an_old_commit);
  g_test_add_func ("/coord/successors_take_runs_and_ends_over",
                   successors_take_runs_and_ends_over);
  g_test_add_func ("/coord/answers_of_an_earlier_load_are_dropped",
                   answers_of_an_earlier_load_are_dropped);
  g_test_add_func ("/coord/open_tries_are_never_called_refused",
                   open_tries_are_never_called_refused);
  g_test_add_func ("/coord/new_coordinators_refuse_nothing_yet",
                   new_coordinators_refuse_nothing_yet);
  g_test_add_func ("/coord/predecessors_that_ceased_are_not_waited_for",
                   predecessors_that_ceased_are_not_waited_for);
  g_test_add_func ("/coord/silent_predecessors_are_waited_for",
                   silent_predecessors_are_waited_for);
  g_test_add_func ("/coord/takeovers_do_not_begin_the_wait_anew",
                   takeovers_do_not_begin_the_wait_anew);
  g_test_add_func ("/coord/outages_for_all_change_no_leader",
                   outages_for_all_change_no_leader);
  g_test_add_func ("/coord/weak_leaders_settle_before_they_are_replaced",
                   weak_leaders_settle_before_they_are_replaced);
  g_test_add_func ("/coord/jobs_are_denied_only_by_who_surely_leads",
                   jobs_are_denied_only_by_who_surely_leads);
  g_test_add_func ("/coord/cancels_stop_what_runs", cancels_stop_what_runs);
  g_test_add_func ("/coord/jobs_that_no_commit_named_are_refused_soon",
                   jobs_that_no_commit_named_are_refused_soon);
  return g_test_run ();
}

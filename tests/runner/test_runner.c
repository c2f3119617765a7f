/* Agents with a coordinator and a store, all in this process: what runs, runs
   once, and goes on or is given away when something breaks. */
#include <glib.h>
#include <string.h>

#include "../support/jobs.h"
#include "../support/memory_runtime.h"
#include "../support/memory_store.h"
#include "hyssopkeel/coord.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/runner.h"

#define JOB "1111111111111111"

struct asked
{
  int over;
  hk_ask_outcome outcome;
  unsigned state;
};

struct world
{
  struct memory_store store;
  struct memory_view views[2];
  struct hk_coord *coords[2];
  struct memory_runtime rt;
  struct hk_runner *runner;
  struct asked asked;
};

static struct hk_coord *
coord_start (struct memory_view *view, const char *name)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *address = test_address ();
  struct hk_error err;
  struct hk_coord *c;

  options.name = name;
  options.address = address;
  options.authority.grant_ms = 1000;
  options.authority.hold_ms = 600;
  c = hk_coord_new (&view->base, &options);
  g_assert_cmpint (hk_coord_start (c, &err), ==, HK_OK);
  return c;
}

static gboolean
leads (void *user)
{
  return hk_coord_leading (user);
}

static void
report_drain (struct hk_runner *runner, const struct memory_runtime *rt,
              int64_t drain_left_ms)
{
  char *labels[] = { (char *)"a", NULL };
  struct hk_endpoint_report r = { .born_ms = rt->born_ms,
                                  .pool = "pool",
                                  .labels = labels,
                                  .cpu_milli = 4000,
                                  .memory_mb = 4000 };

  r.draining = drain_left_ms > 0;
  r.drain_left_ms = drain_left_ms;
  hk_runner_report (runner, &r);
}

static void
report_to (struct hk_runner *runner, const struct memory_runtime *rt)
{
  report_drain (runner, rt, 0);
}

static void
report (struct world *w)
{
  report_to (w->runner, &w->rt);
}

static void
world_init (struct world *w)
{
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .hold_max_ms = 6000 };

  memset (w, 0, sizeof *w);
  memory_store_init (&w->store);
  memory_view_init (&w->views[0], &w->store);
  memory_view_init (&w->views[1], &w->store);
  memory_runtime_init (&w->rt);
  w->coords[0] = coord_start (&w->views[0], "e1");
  test_spin (leads, w->coords[0]);
  w->runner = hk_runner_new (&w->store.base, &w->rt.base, &options);
  hk_runner_start (w->runner);
  report (w);
}

static void
world_finish (struct world *w)
{
  hk_runner_free (w->runner);
  for (int i = 0; i < 2; i++)
    if (w->coords[i])
      hk_coord_free (w->coords[i]);
  test_spin_for (120);
  memory_runtime_finish (&w->rt);
  memory_store_finish (&w->store);
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
ask_for (struct world *w, int who, hk_ask_kind kind, unsigned flags)
{
  const unsigned counts[] = { 2, 1, 0 };
  hk_job_spec *spec = test_job (JOB, counts, flags);
  hk_ask_args args
      = { .kind = kind, .id = (char *)JOB, .queue = (char *)"batch" };

  memset (&w->asked, 0, sizeof w->asked);
  if (kind == HK_ASK_SUBMIT)
    {
      args.job.job_len = 1;
      args.job.job_val = spec;
    }
  hk_coord_ask (w->coords[who], &args, 5000, on_asked, &w->asked);
  test_spin (is_over, &w->asked);
  test_job_free (spec);
}

static void
ask (struct world *w, int who, hk_ask_kind kind)
{
  ask_for (w, who, kind, 0);
}

static void
finish_job (struct world *w, int who)
{
  for (int i = 0; i < 400; i++)
    {
      ask (w, who, HK_ASK_STATE);
      if (w->asked.outcome == HK_ASK_DONE && w->asked.state == 2)
        return;
      test_spin_for (25);
    }
  g_assert_not_reached ();
}

static void
jobs_run_to_their_end_and_ends_are_noted (void)
{
  struct world w;

  world_init (&w);
  ask (&w, 0, HK_ASK_SUBMIT);
  finish_job (&w, 0);
  test_spin_for (500);
  g_assert_cmpint (w.rt.started, ==, 3);
  g_assert_cmpint (w.rt.most, ==, 1);
  g_assert_cmpuint (w.rt.seen, ==, 3);
  world_finish (&w);
}

static void
starts_without_an_answer_run_once (void)
{
  struct world w;

  world_init (&w);
  w.rt.lose_starts = 2;
  ask (&w, 0, HK_ASK_SUBMIT);
  finish_job (&w, 0);
  g_assert_cmpint (w.rt.started, ==, 3);
  g_assert_cmpint (w.rt.after_done, ==, 0);
  world_finish (&w);
}

static gboolean
two_alive (void *user)
{
  return memory_runtime_alive (user) == 2;
}

/* Found on a standard day of a grown site: a list that was made before a start
   came after its answer; the run counted as lost and a second one began. */
static void
runs_that_a_list_lacks_are_stopped_first (void)
{
  struct world w;

  world_init (&w);
  w.rt.work_ms = 600;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (two_alive, &w.rt);
  w.rt.hide_runs = 1;
  finish_job (&w, 0);
  g_assert_cmpint (w.rt.hide_runs, ==, 0);
  g_assert_cmpint (w.rt.most, ==, 1);
  g_assert_cmpint (w.rt.after_done, ==, 0);
  world_finish (&w);
}

static gboolean
is_late (void *user)
{
  return ((struct memory_runtime *)user)->late->len >= 6;
}

/* Orders that are carried out late find that they were given up. */
static void
late_starts_are_refused (void)
{
  struct world w;

  world_init (&w);
  /* All tries of both tasks. */
  w.rt.delay_starts = 6;
  w.rt.work_ms = 600;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (is_late, &w.rt);
  test_spin_for (300);
  memory_runtime_late (&w.rt);
  finish_job (&w, 0);
  g_assert_cmpint (w.rt.most, ==, 1);
  g_assert_cmpint (w.rt.after_done, ==, 0);
  world_finish (&w);
}

/* Found by a hunt: each failed hold counted as an extension, and the runs of
   a dead endpoint were never started elsewhere. */
static void
runs_of_a_dead_endpoint_go_elsewhere (void)
{
  struct world w;
  struct memory_runtime other;
  struct hk_runner *runner;
  struct hk_runner_options options = { .name = "a2",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .hold_max_ms = 6000 };

  world_init (&w);
  w.rt.work_ms = 100000;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (two_alive, &w.rt);
  memory_runtime_init (&other);
  runner = hk_runner_new (&w.store.base, &other.base, &options);
  hk_runner_start (runner);
  report_to (runner, &other);
  w.rt.dead = TRUE;
  finish_job (&w, 0);
  g_assert_cmpint (other.started, ==, 3);
  hk_runner_free (runner);
  test_spin_for (120);
  memory_runtime_finish (&other);
  world_finish (&w);
}

/* Found by a hunt on a grown site: instances left while the store was away,
   and their lasting tasks were waited for until all leases were over. */
static void
lasting_tasks_leave_what_drains (void)
{
  struct world w;
  struct memory_runtime other;
  struct hk_runner *runner;
  struct hk_runner_options options = { .name = "a2",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .hold_max_ms = 6000 };

  world_init (&w);
  w.rt.work_ms = 100000;
  ask_for (&w, 0, HK_ASK_SUBMIT, HK_STEP_LASTS);
  test_spin (two_alive, &w.rt);
  memory_runtime_init (&other);
  other.work_ms = 100000;
  runner = hk_runner_new (&w.store.base, &other.base, &options);
  hk_runner_start (runner);
  report_to (runner, &other);
  /* The coordinator has heard that they run; the endpoint stays as it is, so
     that nothing but the notice moves them. */
  test_spin_for (500);
  report_drain (w.runner, &w.rt, 10000);
  test_spin (two_alive, &other);
  g_assert_cmpint (memory_runtime_alive (&w.rt), ==, 0);
  hk_runner_free (runner);
  test_spin_for (120);
  memory_runtime_finish (&other);
  world_finish (&w);
}

static void
a_new_lifetime_loses_what_ran (void)
{
  struct world w;

  world_init (&w);
  w.rt.work_ms = 100000;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (two_alive, &w.rt);
  memory_runtime_reborn (&w.rt);
  w.rt.work_ms = 50;
  report (&w);
  finish_job (&w, 0);
  world_finish (&w);
}

static gboolean
two_late (void *user)
{
  return ((struct memory_runtime *)user)->late->len >= 2;
}

/* Found by the soak: the endpoint crashed while a start was on its way, and
   its next lifetime carried it out beside the run that replaced it. */
static void
starts_on_their_way_at_a_crash_run_once (void)
{
  struct world w;

  world_init (&w);
  w.rt.work_ms = 500;
  w.rt.delay_starts = 2;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (two_late, &w.rt);
  memory_runtime_reborn (&w.rt);
  report (&w);
  test_spin (two_alive, &w.rt);
  memory_runtime_late (&w.rt);
  finish_job (&w, 0);
  g_assert_cmpint (w.rt.most, ==, 1);
  g_assert_cmpint (w.rt.after_done, ==, 0);
  world_finish (&w);
}

static void
failures_are_tried_again (void)
{
  struct world w;

  world_init (&w);
  w.rt.fail_next = 2;
  ask (&w, 0, HK_ASK_SUBMIT);
  finish_job (&w, 0);
  g_assert_cmpint (w.rt.started, ==, 5);
  world_finish (&w);
}

static void
agents_that_restart_adopt_what_runs (void)
{
  struct world w;
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .hold_max_ms = 6000 };

  world_init (&w);
  w.rt.work_ms = 700;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (two_alive, &w.rt);
  hk_runner_free (w.runner);
  w.runner = hk_runner_new (&w.store.base, &w.rt.base, &options);
  hk_runner_start (w.runner);
  report (&w);
  finish_job (&w, 0);
  g_assert_cmpint (w.rt.started, ==, 3);
  world_finish (&w);
}

/* Found on a standard day with another seed: a leader that was cut from the
   store and its peers kept its agents, and its successor had none. */
static void
agents_leave_a_leader_that_is_cut_off (void)
{
  struct world w;

  world_init (&w);
  w.rt.work_ms = 300;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (two_alive, &w.rt);
  w.coords[1] = coord_start (&w.views[1], "e2");
  test_spin_for (300);
  w.views[0].cut = TRUE;
  test_spin (leads, w.coords[1]);
  finish_job (&w, 1);
  g_assert_cmpint (w.rt.started, ==, 3);
  g_assert_cmpint (w.rt.after_done, ==, 0);
  world_finish (&w);
}

/* Work goes on while the store is away; nothing new begins. */
static void
runs_outlive_an_outage_of_the_store (void)
{
  struct world w;

  world_init (&w);
  w.rt.work_ms = 2500;
  ask (&w, 0, HK_ASK_SUBMIT);
  test_spin (two_alive, &w.rt);
  w.store.down = TRUE;
  test_spin_for (2000);
  g_assert_cmpint (memory_runtime_alive (&w.rt), ==, 2);
  w.store.down = FALSE;
  w.rt.work_ms = 50;
  finish_job (&w, 0);
  g_assert_cmpint (w.rt.started, ==, 3);
  world_finish (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/runner/" #name, name)
  ADD (jobs_run_to_their_end_and_ends_are_noted);
  ADD (starts_without_an_answer_run_once);
  ADD (late_starts_are_refused);
  ADD (runs_that_a_list_lacks_are_stopped_first);
  ADD (runs_of_a_dead_endpoint_go_elsewhere);
  ADD (lasting_tasks_leave_what_drains);
  ADD (a_new_lifetime_loses_what_ran);
  ADD (starts_on_their_way_at_a_crash_run_once);
  ADD (failures_are_tried_again);
  ADD (agents_that_restart_adopt_what_runs);
  ADD (agents_leave_a_leader_that_is_cut_off);
  ADD (runs_outlive_an_outage_of_the_store);
  return g_test_run ();
}

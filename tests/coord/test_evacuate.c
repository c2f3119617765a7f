/* Evacuation of failure domains: nothing may start there from the moment the
   coordinator knows of it, and what is lost must start elsewhere. */
#include <glib.h>
#include <string.h>

#include "../../src/coord/coord.h"
#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
#define JOB_2 "2222222222222222"
#define REPORTS 6
/* Reports of the one agent, 300 ms apart, after which the other is silent. */
#define LOST_REPORTS 4
/* Longer than a set that was confirmed before a takeover counts. */
#define STALE_MS 2300
#define COMMIT_WAIT_MS 50
/* Longer than a service task is left alone after its start. */
#define SERVED_MS 3600

struct fixture
{
  struct memory_store store;
  struct hk_coord *c;
  struct agent a; /* of domain A */
  struct agent b; /* of domain B */
};

static void
evacuate (struct hk_coord *c, const char *first, const char *second)
{
  struct hk_evacuation list[2] = { { first, 7 }, { second, 8 } };

  hk_coord_set_evacuations (c, list, (first != NULL) + (second != NULL), 9);
}

static void
fixture_init (struct fixture *f)
{
  g_autofree char *address = NULL;

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  f->c = coord_start (&f->store, "e1", &address);
  test_run_until (is_leading, f->c);
  agent_init (&f->a, "a1", address);
  f->a.domain = "A";
  agent_init (&f->b, "b1", address);
  f->b.domain = "B";
}

static void
fixture_finish (struct fixture *f)
{
  agent_finish (&f->a);
  agent_finish (&f->b);
  hk_coord_free (f->c);
  memory_store_finish (&f->store);
}

static void
report_both (struct fixture *f)
{
  report_send (&f->a);
  report_send (&f->b);
  test_run_until (report_has_reply, &f->a);
  test_run_until (report_has_reply, &f->b);
}

static void
submit (struct fixture *f, const char *id, unsigned flags)
{
  struct request_result r;

  send_request_with_flags (f->c, HK_JOB_REQUEST_SUBMIT, id, flags, &r);
  test_run_until (has_reply, &r);
  g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_DONE);
}

static gboolean
one_started_at_b (void *user)
{
  struct fixture *f = user;

  report_both (f);
  return f->b.starts >= 1;
}

static gboolean
two_started_at_b (void *user)
{
  struct fixture *f = user;

  report_both (f);
  return f->b.starts >= 2;
}

static gboolean
two_stopped_at_a (void *user)
{
  struct fixture *f = user;

  report_both (f);
  return f->a.stops >= 2;
}

/* The runs of the agent end as the orders to stop them say. */
static void
report_stopped (struct agent *a)
{
  for (unsigned i = 0; i < a->n_runs; i++)
    a->ends[i] = (hk_run_end){ .task = a->runs[i].task,
                               .run = a->runs[i].run,
                               .how = HK_END_REFUSED,
                               .checkpoint = (char *)"" };
  a->n_ends = a->n_runs;
  a->n_runs = 0;
  report (a);
  a->n_ends = 0;
}

static void
mark_unstarted (struct agent *a)
{
  for (unsigned i = 0; i < a->n_runs; i++)
    a->runs[i].started = FALSE;
}

/* Guards against starts in a domain that the operator has evacuated. */
static void
nothing_is_placed_in_an_evacuated_domain (void)
{
  struct fixture f;

  fixture_init (&f);
  evacuate (f.c, "A", NULL);
  report_both (&f);
  submit (&f, JOB, 0);
  test_run_until (two_started_at_b, &f);
  g_assert_cmpint (f.a.starts, ==, 0);
  fixture_finish (&f);
}

/* Guards against an evacuation that ends the others, or never ends. */
static void
domains_are_evacuated_and_restored_independently (void)
{
  struct fixture f;

  fixture_init (&f);
  evacuate (f.c, "A", "B");
  report_both (&f);
  submit (&f, JOB, 0);
  for (int i = 0; i < REPORTS; i++)
    report_both (&f);
  g_assert_cmpint (f.a.starts + f.b.starts, ==, 0);
  evacuate (f.c, "A", NULL);
  test_run_until (two_started_at_b, &f);
  g_assert_cmpint (f.a.starts, ==, 0);
  evacuate (f.c, NULL, NULL);
  f.b.draining = TRUE;
  submit (&f, JOB_2, 0);
  test_run_until (two_started, &f.a);
  fixture_finish (&f);
}

/* Guards against a start that was ordered shortly before the evacuation and is
   carried out, or tried again, long after it. */
static void
starts_not_known_to_have_happened_are_stopped (void)
{
  struct fixture f;

  fixture_init (&f);
  report (&f.a);
  submit (&f, JOB, 0);
  test_run_until (two_started, &f.a);
  mark_unstarted (&f.a);
  report_both (&f);
  evacuate (f.c, "A", NULL);
  test_run_until (two_stopped_at_a, &f);
  g_assert_cmpint (f.b.starts, ==, 0);
  report_stopped (&f.a);
  test_run_until (two_started_at_b, &f);
  g_assert_cmpint (f.a.starts, ==, 2);
  fixture_finish (&f);
}

/* Guards against an order that waits for its commit while the domain is
   evacuated and restored again. */
static void
runs_placed_but_not_ordered_are_withdrawn (void)
{
  struct fixture f;
  struct request_result r;

  fixture_init (&f);
  report_both (&f);
  f.b.draining = TRUE;
  report_both (&f);
  f.store.unavailable = TRUE;
  send_request (f.c, HK_JOB_REQUEST_SUBMIT, JOB, &r);
  test_run_for (COMMIT_WAIT_MS);
  evacuate (f.c, "A", NULL);
  f.store.unavailable = FALSE;
  f.b.draining = FALSE;
  test_run_until (two_started_at_b, &f);
  evacuate (f.c, NULL, NULL);
  for (int i = 0; i < REPORTS; i++)
    report_both (&f);
  g_assert_cmpint (f.a.starts, ==, 0);
  fixture_finish (&f);
}

/* Guards against work that is lost: tasks that run there are not stopped. */
static void
running_tasks_run_to_completion (void)
{
  struct fixture f;

  fixture_init (&f);
  report (&f.a);
  submit (&f, JOB, 0);
  test_run_until (two_started, &f.a);
  report_both (&f);
  evacuate (f.c, "A", NULL);
  for (int i = 0; i < REPORTS; i++)
    {
      /* Otherwise they count as stalled. */
      f.a.runs[0].percent++;
      f.a.runs[1].percent++;
      report_both (&f);
    }
  g_assert_cmpint (f.a.stops, ==, 0);
  g_assert_cmpint (f.b.starts, ==, 0);
  fixture_finish (&f);
}

/* Guards against the repeated start order of a run that no report shows any
   more. */
static void
missing_runs_are_not_started_again (void)
{
  struct fixture f;
  int starts;

  fixture_init (&f);
  report (&f.a);
  submit (&f, JOB, 0);
  test_run_until (two_started, &f.a);
  report_both (&f);
  evacuate (f.c, "A", NULL);
  starts = f.a.starts;
  f.a.n_runs = 0;
  test_run_until (two_stopped_at_a, &f);
  g_assert_cmpint (f.a.starts, ==, starts);
  fixture_finish (&f);
}

/* Starts a successor of the coordinator that has to know the evacuated domains
   before it places anything; @age_ms after it has been told that there are
   none, or without having been told anything if @age_ms is negative. */
static void
take_over (struct fixture *f, int64_t age_ms)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct hk_coord *next;
  g_autofree char *address = NULL;

  options.awaits_evacuations = TRUE;
  next = coord_start_with (&f->store.base, options, "e2", &address);
  if (age_ms >= 0)
    {
      evacuate (next, NULL, NULL);
      for (int64_t t = 0; t < age_ms; t += 100)
        {
          report_both (f);
          test_run_for (100);
        }
    }
  hk_coord_free (f->c);
  f->c = next;
  agent_reconnect (&f->a, address);
  agent_reconnect (&f->b, address);
  test_run_until (is_leading, f->c);
}

/* A successor that knows nothing yet neither places tasks nor repeats orders
   of its predecessor. */
static void
check_waits (struct fixture *f)
{
  int starts = f->a.starts;

  submit (f, JOB_2, 0);
  for (int i = 0; i < REPORTS; i++)
    report_both (f);
  g_assert_cmpint (f->a.starts, ==, starts);
  g_assert_cmpint (f->b.starts, ==, 0);
  g_assert_cmpuint (hk_engine_job_find (&f->c->engine, JOB_2)->n_runs, ==, 0);
}

/* Guards against starts by a new coordinator that has not read the evacuated
   domains, among them those that its predecessor had ordered. */
static void
successors_wait_until_they_know_the_domains (void)
{
  struct fixture f;

  fixture_init (&f);
  report (&f.a);
  submit (&f, JOB, 0);
  test_run_until (two_started, &f.a);
  f.a.n_runs = 0;
  take_over (&f, -1);
  check_waits (&f);
  evacuate (f.c, "A", NULL);
  test_run_until (two_stopped_at_a, &f);
  test_run_until (two_started_at_b, &f);
  g_assert_cmpint (f.a.starts, ==, 2);
  fixture_finish (&f);
}

/* Guards against a successor that was suspended, or cut off from the store,
   and trusts what it knew before. */
static void
successors_confirm_an_old_set (void)
{
  struct fixture f;

  fixture_init (&f);
  report (&f.a);
  take_over (&f, STALE_MS);
  check_waits (&f);
  evacuate (f.c, "A", NULL);
  test_run_until (two_started_at_b, &f);
  g_assert_cmpint (f.a.starts, ==, 0);
  fixture_finish (&f);
}

/* Guards against a takeover that stands still although the set was confirmed
   shortly before it. */
static void
successors_use_a_recent_set (void)
{
  struct fixture f;

  fixture_init (&f);
  report (&f.a);
  take_over (&f, 0);
  f.a.draining = TRUE;
  report_both (&f);
  submit (&f, JOB_2, 0);
  test_run_until (two_started_at_b, &f);
  fixture_finish (&f);
}

/* Guards against jobs that are admitted, and tasks that wait, because of
   capacity in a domain where nothing may start. */
static void
evacuated_capacity_does_not_count (void)
{
  struct fixture f;
  struct coord_pass all;
  struct coord_pass rest;
  double cores;

  fixture_init (&f);
  report (&f.a);
  submit (&f, JOB, 0);
  test_run_until (two_started, &f.a);
  report_both (&f);
  cores = coord_best_effort_cores (f.c);
  coord_pass_init (&all, f.c, hk_clock_ms ());
  g_assert_cmpfloat (all.used_cpu_milli, >, 0);
  evacuate (f.c, "A", NULL);
  coord_pass_init (&rest, f.c, hk_clock_ms ());
  g_assert_cmpfloat (rest.cpu_milli, ==, all.cpu_milli / 2);
  g_assert_cmpfloat (rest.used_cpu_milli, ==, 0);
  g_assert_cmpfloat (coord_best_effort_cores (f.c), <, cores);
  evacuate (f.c, "A", "B");
  g_assert_cmpfloat (coord_best_effort_cores (f.c), ==, 0);
  evacuate (f.c, NULL, NULL);
  g_assert_cmpfloat (coord_best_effort_cores (f.c), ==, cores);
  fixture_finish (&f);
}

/* Guards against a job that is lost or refused while nothing can run: it
   waits, and starts once the domain is restored. */
static void
work_that_fits_nowhere_waits (void)
{
  struct fixture f;

  fixture_init (&f);
  report_both (&f);
  evacuate (f.c, "A", "B");
  submit (&f, JOB, 0);
  for (int i = 0; i < REPORTS; i++)
    report_both (&f);
  g_assert_cmpint (f.a.starts + f.b.starts, ==, 0);
  evacuate (f.c, "A", NULL);
  test_run_until (two_started_at_b, &f);
  fixture_finish (&f);
}

/* Guards against starts in the evacuated domain because the other one is lost
   meanwhile: the job is accepted, waits, and starts where it may. */
static void
another_domain_is_lost_meanwhile (void)
{
  struct fixture f;

  fixture_init (&f);
  report_both (&f);
  evacuate (f.c, "A", NULL);
  for (int i = 0; i < LOST_REPORTS; i++)
    report (&f.a);
  submit (&f, JOB, 0);
  for (int i = 0; i < LOST_REPORTS; i++)
    report (&f.a);
  g_assert_cmpint (f.a.starts, ==, 0);
  g_assert_cmpuint (hk_engine_job_find (&f.c->engine, JOB)->n_runs, ==, 0);
  test_run_until (two_started_at_b, &f);
  g_assert_cmpint (f.a.starts, ==, 0);
  fixture_finish (&f);
}

/* Guards against a burst of starts on endpoints that are cold. */
static void
starts_in_a_restored_domain_are_spread (void)
{
  struct fixture f;

  fixture_init (&f);
  evacuate (f.c, "A", "B");
  report_both (&f);
  submit (&f, JOB, 0);
  evacuate (f.c, "A", NULL);
  test_run_until (one_started_at_b, &f);
  g_assert_cmpint (f.b.starts, ==, 1);
  test_run_until (two_started_at_b, &f);
  fixture_finish (&f);
}

/* The service tasks of an agent serve from its next report on. */
static void
mark_serving (struct agent *a)
{
  for (unsigned i = 0; i < a->n_runs; i++)
    a->runs[i].percent = 100;
}

/* The runs serve for longer than a task is left alone after its start. */
static void
let_serve (struct fixture *f)
{
  int64_t until = hk_clock_ms () + SERVED_MS;

  while (hk_clock_ms () < until)
    {
      mark_serving (&f->a);
      mark_serving (&f->b);
      report_both (f);
    }
}

static gboolean
one_stopped_at_a (void *user)
{
  struct fixture *f = user;

  report_both (f);
  return f->a.stops >= 1;
}

/* Runs the service of the job in domain A, as B drains at first. */
static void
serve_at_a (struct fixture *f)
{
  fixture_init (f);
  f->b.draining = TRUE;
  report_both (f);
  submit (f, JOB, HK_STEP_SERVICE);
  test_run_until (two_started, &f->a);
}

static void
end_stopped (struct agent *a)
{
  unsigned kept = a->runs[0].task.index == a->stopped_index;

  a->ends[0] = (hk_run_end){ .task = a->runs[1 - kept].task,
                             .run = a->runs[1 - kept].run,
                             .how = HK_END_STOPPED,
                             .checkpoint = (char *)"" };
  a->n_ends = 1;
  a->runs[0] = a->runs[kept];
  a->n_runs = 1;
  report (a);
  a->n_ends = 0;
}

/* Guards against service tasks that stay in the domain, or that are all
   stopped at once: one moves, and the next only when all tasks serve again. */
static void
service_tasks_move_one_at_a_time (void)
{
  struct fixture f;

  serve_at_a (&f);
  f.b.draining = FALSE;
  let_serve (&f);
  g_assert_cmpint (f.a.stops, ==, 0);
  evacuate (f.c, "A", NULL);
  test_run_until (one_stopped_at_a, &f);
  end_stopped (&f.a);
  f.a.stops = 0;
  test_run_until (one_started_at_b, &f);
  for (int i = 0; i < REPORTS; i++)
    report_both (&f);
  g_assert_cmpint (f.a.stops, ==, 0);
  let_serve (&f);
  test_run_until (one_stopped_at_a, &f);
  fixture_finish (&f);
}

/* Guards against a service task that is stopped although no other instance has
   room for it. */
static void
service_tasks_stay_without_room_elsewhere (void)
{
  struct fixture f;

  serve_at_a (&f);
  report_both (&f);
  evacuate (f.c, "A", "B");
  f.b.draining = FALSE;
  let_serve (&f);
  g_assert_cmpint (f.a.stops, ==, 0);
  g_assert_cmpint (f.b.starts, ==, 0);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/evacuate/" #name, name)
  ADD (nothing_is_placed_in_an_evacuated_domain);
  ADD (domains_are_evacuated_and_restored_independently);
  ADD (starts_not_known_to_have_happened_are_stopped);
  ADD (runs_placed_but_not_ordered_are_withdrawn);
  ADD (running_tasks_run_to_completion);
  ADD (missing_runs_are_not_started_again);
  ADD (successors_wait_until_they_know_the_domains);
  ADD (successors_confirm_an_old_set);
  ADD (successors_use_a_recent_set);
  ADD (evacuated_capacity_does_not_count);
  ADD (work_that_fits_nowhere_waits);
  ADD (another_domain_is_lost_meanwhile);
  ADD (starts_in_a_restored_domain_are_spread);
  ADD (service_tasks_move_one_at_a_time);
  ADD (service_tasks_stay_without_room_elsewhere);
  return g_test_run ();
}

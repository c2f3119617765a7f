/* Tasks with data on a rack: replays passes of two racks of two instances,
   and one takeover with simulated agents. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/coord/coord.h"
#include "coord_support.h"

#define INSTANCES 4 /* two on rack r1, two on r2 */
#define CPU_MILLI 4000
#define TASK_MILLI 1000
#define RUN_MS 800
#define PASS_MS 100
#define FACTOR 3.0

struct fixture
{
  struct hk_coord *c;
  struct hk_instance *instances[INSTANCES];
  int64_t now;
  unsigned n_jobs;
};

static struct hk_instance *
instance_new (struct hk_coord *c, const char *name, const char *rack)
{
  struct hk_instance *in = hk_engine_instance_get (&c->engine, name);
  struct coord_link *l = g_new0 (struct coord_link, 1);

  l->c = c;
  l->in = in;
  l->described = TRUE;
  coord_sharing_init (&l->sharing);
  in->link = l;
  in->pool = g_strdup ("pool");
  in->labels = g_strsplit (rack, ",", 0);
  in->cpu_milli = CPU_MILLI;
  in->memory_mb = 100000;
  in->capacity_known = TRUE;
  in->run_time_ratio = 1.0;
  return in;
}

static void
fixture_init (struct fixture *f, double factor)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  options.name = "e1";
  options.address = "127.0.0.1:1";
  options.remote_factor = factor;
  *f = (struct fixture){ .c = hk_coord_new (NULL, &options), .now = 100000 };
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      g_autofree char *name = g_strdup_printf ("a%u", i);

      f->instances[i] = instance_new (f->c, name, i < 2 ? "a,r1" : "a,r2");
    }
}

static void
fixture_finish (struct fixture *f)
{
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      struct coord_link *l = f->instances[i]->link;

      coord_sharing_finish (&l->sharing);
      g_free (l);
      f->instances[i]->link = NULL;
    }
  hk_coord_free (f->c);
}

/* Time passes, and the agents report. */
static void
advance (struct fixture *f, int64_t ms)
{
  f->now += ms;
  for (unsigned i = 0; i < INSTANCES; i++)
    f->instances[i]->last_report_ms = f->now;
}

static void
pass (struct fixture *f)
{
  advance (f, PASS_MS);
  coord_schedule (f->c, f->now);
}

/* A job of one task. */
static struct hk_engine_task *
submit_with_flags (struct fixture *f, const char *rack, unsigned cpu_milli,
                   unsigned run_ms, unsigned urgency, unsigned flags)
{
  g_autofree char *id = g_strdup_printf ("%016x", ++f->n_jobs);
  hk_step_spec step = { .count = 1,
                        .cpu_milli = cpu_milli,
                        .memory_mb = 100,
                        .estimate_ms = run_ms,
                        .flags = flags,
                        .label = (char *)"",
                        .rack = (char *)rack,
                        .image = (char *)"" };
  hk_job_spec spec = { .id = id,
                       .queue = (char *)"short",
                       .pool = (char *)"pool",
                       .urgency = urgency,
                       .max_attempts = 3,
                       .stretch_milli = 2000,
                       .target_ms = 5000,
                       .steps = { 1, &step } };

  return &hk_engine_submit (&f->c->engine, &spec, f->now, f->now)
              ->steps[0]
              .tasks[0];
}

static struct hk_engine_task *
submit (struct fixture *f, const char *rack, unsigned cpu_milli,
        unsigned run_ms, unsigned urgency)
{
  return submit_with_flags (f, rack, cpu_milli, run_ms, urgency,
                            HK_STEP_SPECULATIVE);
}

static struct hk_engine_task *
submit_near (struct fixture *f)
{
  return submit (f, "r1", TASK_MILLI, RUN_MS, 1);
}

static struct hk_run *
run_on (struct fixture *f, unsigned instance, unsigned cpu_milli,
        unsigned run_ms)
{
  struct hk_run *run = hk_engine_task_place (
      submit (f, "", cpu_milli, run_ms, 1), f->instances[instance], f->now);

  run->started_ms = run->reported_ms = run->progress_ms = f->now;
  return run;
}

/* Fills the instances of rack r1; the run on the first one is returned. */
static struct hk_run *
fill_rack (struct fixture *f, unsigned first_ms, unsigned second_ms)
{
  struct hk_run *run = run_on (f, 0, CPU_MILLI, first_ms);

  run_on (f, 1, CPU_MILLI, second_ms);
  return run;
}

static void
end_run (struct fixture *f, struct hk_run *run, hk_end_how how)
{
  coord_estimate_learn (f->c, run, how, f->now);
  hk_engine_run_end (run, how, NULL, f->now, f->now);
}

/* Index of the instance of the task, or -1 while it waits. */
static int
place_of (const struct fixture *f, const struct hk_engine_task *task)
{
  for (int i = 0; task->runs[0] && i < INSTANCES; i++)
    if (task->runs[0]->instance == f->instances[i])
      return i;
  return -1;
}

static gboolean
is_remote (const struct fixture *f, const struct hk_engine_task *task)
{
  return place_of (f, task) >= 2;
}

/* Guards against slots that are chosen by free capacity alone. */
static void
free_slots_near_the_data_are_preferred (void)
{
  const double factors[] = { FACTOR, 0 };

  for (unsigned i = 0; i < G_N_ELEMENTS (factors); i++)
    {
      struct fixture f;
      struct hk_engine_task *task;

      fixture_init (&f, factors[i]);
      run_on (&f, 0, 2000, 10000);
      run_on (&f, 1, CPU_MILLI, 10000);
      task = submit_near (&f);
      pass (&f);
      g_assert_cmpint (place_of (&f, task), ==, 0);
      fixture_finish (&f);
    }
}

/* Guards against a run three times as long where a slot is free in 0.3 s. */
static void
tasks_wait_where_a_run_ends_soon (void)
{
  struct fixture f;
  struct hk_engine_task *task;
  struct hk_run *run;

  fixture_init (&f, FACTOR);
  run = fill_rack (&f, RUN_MS, 10000);
  advance (&f, 500);
  task = submit_near (&f);
  pass (&f);
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, -1);
  end_run (&f, run, HK_END_DONE);
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, 0);
  fixture_finish (&f);
}

/* Guards against waits for runs that take longer than a run elsewhere, and
   without a known factor. */
static void
tasks_do_not_wait_where_no_run_ends_soon (void)
{
  struct fixture f;
  struct hk_engine_task *task;

  fixture_init (&f, FACTOR);
  fill_rack (&f, 10000, 10000);
  task = submit_near (&f);
  pass (&f);
  g_assert_true (is_remote (&f, task));
  fixture_finish (&f);

  fixture_init (&f, 0);
  fill_rack (&f, RUN_MS, RUN_MS);
  advance (&f, 500);
  task = submit_near (&f);
  pass (&f);
  g_assert_true (is_remote (&f, task));
  fixture_finish (&f);
}

/* Guards against a job with nothing running for 3 s: runs end far later than
   their estimates say. */
static void
waits_are_limited (void)
{
  struct fixture f;
  struct hk_engine_task *task;
  int64_t began_ms;

  fixture_init (&f, FACTOR);
  fill_rack (&f, RUN_MS, RUN_MS);
  advance (&f, 500);
  task = submit_near (&f);
  began_ms = f.now;
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, -1);
  while (!task->runs[0] && f.now - began_ms < 5000)
    pass (&f);
  g_assert_true (is_remote (&f, task));
  g_assert_cmpint (f.now - began_ms, <=, HK_LOCALITY_WAIT_MAX_MS + PASS_MS);
  fixture_finish (&f);
}

/* Guards against waits that add up: a refused start makes a task ready anew.
 */
static void
restarted_tasks_do_not_wait (void)
{
  struct fixture f;
  struct hk_engine_task *task;
  struct hk_run *run;

  fixture_init (&f, FACTOR);
  run = fill_rack (&f, RUN_MS, 10000);
  advance (&f, 500);
  task = submit_near (&f);
  pass (&f);
  end_run (&f, run, HK_END_DONE);
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, 0);
  end_run (&f, task->runs[0], HK_END_REFUSED);
  run_on (&f, 0, CPU_MILLI, 400);
  pass (&f);
  g_assert_true (is_remote (&f, task));
  fixture_finish (&f);
}

/* Guards against waits for a rack that is gone. */
static void
waits_end_with_the_rack (void)
{
  struct fixture f;
  struct hk_engine_task *task;

  fixture_init (&f, FACTOR);
  fill_rack (&f, RUN_MS, RUN_MS);
  advance (&f, 500);
  task = submit_near (&f);
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, -1);
  advance (&f, PASS_MS);
  for (unsigned i = 0; i < 2; i++)
    f.instances[i]->last_report_ms = f.now - 5000;
  coord_schedule (f.c, f.now);
  g_assert_true (is_remote (&f, task));
  fixture_finish (&f);
}

/* The slot of an instance that is lost does not count, that of the other one
   does. */
static void
waits_go_on_with_part_of_the_rack (void)
{
  struct fixture f;
  struct hk_engine_task *task;
  struct hk_run *run;

  fixture_init (&f, FACTOR);
  run_on (&f, 0, CPU_MILLI, RUN_MS);
  run = run_on (&f, 1, CPU_MILLI, RUN_MS);
  advance (&f, 500);
  task = submit_near (&f);
  pass (&f);
  advance (&f, PASS_MS);
  f.instances[0]->last_report_ms = f.now - 5000;
  coord_schedule (f.c, f.now);
  g_assert_cmpint (place_of (&f, task), ==, -1);
  end_run (&f, run, HK_END_DONE);
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, 1);
  fixture_finish (&f);
}

/* Guards against waits for slots that no run may use. */
static void
draining_instances_have_no_slots (void)
{
  struct fixture f;
  struct hk_engine_task *task;

  fixture_init (&f, FACTOR);
  fill_rack (&f, RUN_MS, 10000);
  f.instances[0]->draining = TRUE;
  f.instances[0]->drain_until_ms = f.now + 60000;
  advance (&f, 500);
  task = submit_near (&f);
  pass (&f);
  g_assert_true (is_remote (&f, task));
  fixture_finish (&f);
}

/* Guards against a change where no instance is on the rack. */
static void
unknown_racks_change_nothing (void)
{
  const char *const racks[] = { "", "r9" };
  int places[2];

  for (unsigned i = 0; i < G_N_ELEMENTS (racks); i++)
    {
      struct fixture f;
      struct hk_engine_task *task;

      fixture_init (&f, FACTOR);
      for (unsigned k = 0; k < INSTANCES; k++)
        run_on (&f, k, 2000 + 100 * ((k + 1) % INSTANCES), RUN_MS);
      task = submit (&f, racks[i], TASK_MILLI, RUN_MS, 1);
      pass (&f);
      places[i] = place_of (&f, task);
      g_assert_cmpuint (f.instances[0]->near_wanted_until_ms, ==, 0);
      fixture_finish (&f);
    }
  g_assert_cmpint (places[0], ==, 3);
  g_assert_cmpint (places[1], ==, 3);
}

static void
urgent_tasks_take_near_slots_first (void)
{
  struct fixture f;
  struct hk_engine_task *later;
  struct hk_engine_task *urgent;

  fixture_init (&f, FACTOR);
  run_on (&f, 0, CPU_MILLI - TASK_MILLI, 10000);
  run_on (&f, 1, CPU_MILLI, 10000);
  later = submit (&f, "r1", TASK_MILLI, RUN_MS, 2);
  urgent = submit (&f, "r1", TASK_MILLI, RUN_MS, 0);
  pass (&f);
  g_assert_cmpint (place_of (&f, urgent), ==, 0);
  g_assert_cmpint (place_of (&f, later), !=, 0);
  fixture_finish (&f);
}

/* Guards against a queue in order of arrival: the long task would lose more
   than the short one elsewhere. */
static void
tasks_that_gain_least_are_placed_elsewhere (void)
{
  struct fixture f;
  struct hk_engine_task *small;
  struct hk_engine_task *large;

  fixture_init (&f, FACTOR);
  fill_rack (&f, RUN_MS, 10000);
  advance (&f, 500);
  small = submit (&f, "r1", CPU_MILLI, 400, 1);
  large = submit (&f, "r1", CPU_MILLI, 1000, 1);
  pass (&f);
  g_assert_true (is_remote (&f, small));
  g_assert_cmpint (place_of (&f, large), ==, -1);
  fixture_finish (&f);
}

/* Guards against tasks without data that take what others wait for. */
static void
tasks_without_data_avoid_contested_racks (void)
{
  for (unsigned contested = 0; contested < 2; contested++)
    {
      struct fixture f;
      struct hk_engine_task *task;

      fixture_init (&f, FACTOR);
      run_on (&f, 0, CPU_MILLI - 800, RUN_MS);
      run_on (&f, 1, CPU_MILLI, 10000);
      run_on (&f, 2, CPU_MILLI - 600, 10000);
      run_on (&f, 3, CPU_MILLI, 10000);
      if (contested)
        submit_near (&f);
      pass (&f);
      task = submit (&f, "", 500, RUN_MS, 1);
      pass (&f);
      g_assert_cmpint (place_of (&f, task), ==, contested ? 2 : 0);
      fixture_finish (&f);
    }
}

static struct hk_run *
run_best_effort (struct fixture *f, const char *rack, unsigned instance,
                 unsigned cpu_milli, unsigned run_ms)
{
  struct hk_engine_task *task
      = submit_with_flags (f, rack, cpu_milli, run_ms, 2,
                           HK_STEP_BEST_EFFORT | HK_STEP_CHECKPOINTS);
  struct hk_run *run
      = hk_engine_task_place (task, f->instances[instance], f->now);

  run->started_ms = run->reported_ms = run->progress_ms = f->now;
  return run;
}

/* Guards against best-effort tasks that are passed over for longer than their
   wait, as one that fitted nowhere. */
static void
best_effort_tasks_wait (void)
{
  struct fixture f;
  struct hk_engine_task *task;
  struct hk_run *run;

  fixture_init (&f, FACTOR);
  run = run_best_effort (&f, "", 0, CPU_MILLI, RUN_MS);
  run_best_effort (&f, "", 1, CPU_MILLI, 10000);
  advance (&f, 500);
  task = submit_with_flags (&f, "r1", TASK_MILLI, RUN_MS, 2,
                            HK_STEP_BEST_EFFORT);
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, -1);
  end_run (&f, run, HK_END_DONE);
  pass (&f);
  g_assert_cmpint (place_of (&f, task), ==, 0);
  fixture_finish (&f);
}

/* Guards against a wait of unknown length: steps beyond the budget of a pass
   have their turn in a later one. */
static void
best_effort_tasks_do_not_wait_in_a_backlog (void)
{
  struct fixture f;
  struct hk_engine_task *task;

  fixture_init (&f, FACTOR);
  run_best_effort (&f, "", 0, CPU_MILLI, RUN_MS);
  run_best_effort (&f, "", 1, CPU_MILLI, 10000);
  advance (&f, 500);
  for (unsigned i = 0; i < HK_PASS_STEPS_MAX; i++)
    submit_with_flags (&f, "", 2 * CPU_MILLI, RUN_MS, 3, HK_STEP_BEST_EFFORT);
  task = submit_with_flags (&f, "r1", TASK_MILLI, RUN_MS, 2,
                            HK_STEP_BEST_EFFORT);
  pass (&f);
  g_assert_true (is_remote (&f, task));
  fixture_finish (&f);
}

/* Guards against a relocation to an instance where the task is slower, as its
   data is elsewhere. */
static void
throttled_runs_stay_near_their_data (void)
{
  const char *const racks[] = { "r1", "r2" };

  for (unsigned i = 0; i < G_N_ELEMENTS (racks); i++)
    {
      struct fixture f;
      struct hk_run *run;

      fixture_init (&f, FACTOR);
      run_on (&f, 1, CPU_MILLI, 10000);
      run = run_best_effort (&f, racks[i], 0, TASK_MILLI, 10000);
      run->speed_percent = 40;
      for (unsigned k = 0; k < 50; k++)
        {
          advance (&f, PASS_MS);
          run->reported_ms = f.now;
          coord_best_effort_relocate (f.c, f.now);
        }
      g_assert_cmpint (run->to_stop, ==, i == 1);
      fixture_finish (&f);
    }
}

/* Guards against instances and queues that look slow because tasks ran away
   from their data, and against a second attempt of such a task. */
static void
remote_runs_do_not_look_slow (void)
{
  struct fixture f;
  struct hk_engine_task *task;
  struct hk_run *run;

  fixture_init (&f, FACTOR);
  for (unsigned i = 0; i < 20; i++)
    {
      task = submit_near (&f);
      run = hk_engine_task_place (task, f.instances[2], f.now);
      run->started_ms = run->reported_ms = run->progress_ms = f.now;
      advance (&f, 2 * RUN_MS);
      run->reported_ms = run->progress_ms = f.now;
      run->full_speed_ms = 2 * RUN_MS;
      run->progress_percent = 67;
      coord_stragglers_check (f.c, f.now);
      g_assert_null (task->runs[1]);
      advance (&f, RUN_MS);
      end_run (&f, run, HK_END_DONE);
    }
  g_assert_cmpfloat (f.instances[2]->run_time_ratio, <, 1.1);
  task = submit_near (&f);
  g_assert_cmpint (coord_estimate_ms (f.c, task->step), ==, RUN_MS);
  fixture_finish (&f);
}

/* Guards against a configured factor that is wrong, or missing. */
static void
factor_is_learned (void)
{
  const double configured[] = { 0, 3.0 };

  for (unsigned i = 0; i < G_N_ELEMENTS (configured); i++)
    {
      struct fixture f;

      fixture_init (&f, configured[i]);
      for (unsigned k = 0; k < 200; k++)
        {
          unsigned instance = k % 2 ? 2 : 0;
          struct hk_run *run = hk_engine_task_place (
              submit_near (&f), f.instances[instance], f.now);

          run->started_ms = run->reported_ms = f.now;
          advance (&f, instance == 0 ? 600 : 1200);
          end_run (&f, run, HK_END_DONE);
        }
      g_assert_cmpfloat_with_epsilon (
          hk_locality_factor_value (&f.c->locality.factor), 2.0, 0.1);
      fixture_finish (&f);
    }
}

/* One agent on rack r1, which is full, and one on rack r2. */
struct site
{
  struct memory_store store;
  struct hk_coord *c;
  struct agent near;
  struct agent far;
  double waits;
};

/* Replaces the leader by a process that remembers nothing. */
static void
site_take_over (struct site *s, const char *name)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *address = NULL;

  options.remote_factor = FACTOR;
  if (s->c)
    hk_coord_free (s->c);
  s->c = coord_start_with (&s->store.base, options, name, &address);
  test_run_until (is_leading, s->c);
  if (s->near.name)
    {
      agent_reconnect (&s->near, address);
      agent_reconnect (&s->far, address);
      return;
    }
  agent_init (&s->near, "a1", address);
  agent_init (&s->far, "a2", address);
  s->near.rack = "r1";
  s->far.rack = "r2";
}

static void
site_submit (struct site *s, const char *id, unsigned n_tasks)
{
  const unsigned counts[] = { n_tasks, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = (char *)id,
                               .queue = (char *)"short",
                               .job = { 1, spec } };
  struct request_result a = { 0 };

  free (spec->steps.steps_val[0].rack);
  spec->steps.steps_val[0].rack = strdup ("r1");
  hk_coord_request (s->c, &args, 5000, on_request_reply, &a);
  test_run_until (has_reply, &a);
  test_job_spec_free (spec);
}

static double
count_waits (void)
{
  return hk_metric_get ("hyssopkeel_locality_waits_total", "")->value;
}

static gboolean
near_is_full (void *user)
{
  struct site *s = user;

  report (&s->near);
  report (&s->far);
  return s->near.starts == CPU_MILLI / TASK_MILLI;
}

static gboolean
task_waits (void *user)
{
  struct site *s = user;

  report (&s->near);
  report (&s->far);
  return count_waits () > s->waits;
}

static gboolean
far_started (void *user)
{
  struct site *s = user;

  report (&s->near);
  report (&s->far);
  return s->far.starts > 0;
}

/* Guards against waits that add up over takeovers: how long a task has waited
   is known to the process that let it wait only. */
static void
takeovers_end_waits (void)
{
  struct site s = { .waits = count_waits () };

  memory_store_init (&s.store);
  site_take_over (&s, "e1");
  report (&s.near);
  report (&s.far);
  site_submit (&s, "1111111111111111", CPU_MILLI / TASK_MILLI);
  test_run_until (near_is_full, &s);
  g_assert_cmpint (s.far.starts, ==, 0);
  /* They are about to end all the time. */
  for (unsigned i = 0; i < s.near.n_runs; i++)
    s.near.runs[i].percent = 100;
  report (&s.near);
  site_submit (&s, "2222222222222222", 1);
  test_run_until (task_waits, &s);
  site_take_over (&s, "e2");
  test_run_until (far_started, &s);
  g_assert_cmpfloat (count_waits (), ==, s.waits + 1);
  agent_finish (&s.near);
  agent_finish (&s.far);
  hk_coord_free (s.c);
  memory_store_finish (&s.store);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
  g_test_add_func ("/locality/free_slots_near_the_data_are_preferred",
                   free_slots_near_the_data_are_preferred);
  g_test_add_func ("/locality/tasks_wait_where_a_run_ends_soon",
                   tasks_wait_where_a_run_ends_soon);
  g_test_add_func ("/locality/tasks_do_not_wait_where_no_run_ends_soon",
                   tasks_do_not_wait_where_no_run_ends_soon);
  g_test_add_func ("/locality/waits_are_limited", waits_are_limited);
  g_test_add_func ("/locality/restarted_tasks_do_not_wait",
                   restarted_tasks_do_not_wait);
  g_test_add_func ("/locality/waits_end_with_the_rack",
                   waits_end_with_the_rack);
  g_test_add_func ("/locality/waits_go_on_with_part_of_the_rack",
                   waits_go_on_with_part_of_the_rack);
  g_test_add_func ("/locality/draining_instances_have_no_slots",
                   draining_instances_have_no_slots);
  g_test_add_func ("/locality/unknown_racks_change_nothing",
                   unknown_racks_change_nothing);
  g_test_add_func ("/locality/urgent_tasks_take_near_slots_first",
                   urgent_tasks_take_near_slots_first);
  g_test_add_func ("/locality/tasks_that_gain_least_are_placed_elsewhere",
                   tasks_that_gain_least_are_placed_elsewhere);
  g_test_add_func ("/locality/tasks_without_data_avoid_contested_racks",
                   tasks_without_data_avoid_contested_racks);
  g_test_add_func ("/locality/best_effort_tasks_wait", best_effort_tasks_wait);
  g_test_add_func ("/locality/best_effort_tasks_do_not_wait_in_a_backlog",
                   best_effort_tasks_do_not_wait_in_a_backlog);
  g_test_add_func ("/locality/throttled_runs_stay_near_their_data",
                   throttled_runs_stay_near_their_data);
  g_test_add_func ("/locality/remote_runs_do_not_look_slow",
                   remote_runs_do_not_look_slow);
  g_test_add_func ("/locality/factor_is_learned", factor_is_learned);
  g_test_add_func ("/locality/takeovers_end_waits", takeovers_end_waits);
  return g_test_run ();
}

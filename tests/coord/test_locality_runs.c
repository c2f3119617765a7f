/* Best-effort tasks with data on a rack, and what is learned from runs away
   from it: replays passes of two racks of two instances. */
#include "locality_support.h"

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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
  g_test_add_func ("/locality_runs/best_effort_tasks_wait",
                   best_effort_tasks_wait);
  g_test_add_func ("/locality_runs/best_effort_tasks_do_not_wait_in_a_backlog",
                   best_effort_tasks_do_not_wait_in_a_backlog);
  g_test_add_func ("/locality_runs/throttled_runs_stay_near_their_data",
                   throttled_runs_stay_near_their_data);
  g_test_add_func ("/locality_runs/remote_runs_do_not_look_slow",
                   remote_runs_do_not_look_slow);
  g_test_add_func ("/locality_runs/factor_is_learned", factor_is_learned);
  return g_test_run ();
}

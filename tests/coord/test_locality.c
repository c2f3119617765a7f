/* Placement of tasks with data on a rack: replays passes of two racks of two
   instances. */
#include "locality_support.h"

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
  return g_test_run ();
}

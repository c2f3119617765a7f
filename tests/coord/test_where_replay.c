/* Answers where a job would be placed, in replayed passes: they change nothing
   and agree with the pass that follows. */
#include <glib.h>
#include <string.h>

#include "../support/jobs.h"
#include "locality_support.h"
#include "where_support.h"

#define REPLAYED_JOBS 24

/* Replayed passes: the time of the fixture starts with the clock, which the
   question reads. */

static void
replay_init (struct fixture *f)
{
  fixture_init (f, FACTOR);
  f->now = hk_clock_ms ();
  f->c->state = COORD_LEADING;
  f->c->commit.confirmed_ms = f->now;
  f->c->store_answered_ms = f->now;
  advance (f, 0);
}

static hk_job_spec *
replayed_spec (const char *rack, unsigned flags, const char *image)
{
  hk_job_spec *spec = one_task ("0000000000000001", TASK_MILLI);
  hk_step_spec *step = &spec->steps.steps_val[0];

  step->flags = flags;
  step->estimate_ms = RUN_MS;
  free (step->rack);
  step->rack = strdup (rack);
  free (step->image);
  step->image = strdup (image);
  return spec;
}

static void
ask_replay (struct fixture *f, const char *rack, unsigned flags,
            const char *image, struct result *r)
{
  hk_job_spec *spec = replayed_spec (rack, flags, image);

  spec->target_ms = 5000;
  where (f->c, spec, r);
  g_assert_cmpint (r->outcome, ==, HK_JOB_REQUEST_DONE);
  test_job_spec_free (spec);
}

/* Places of jobs of all kinds, in the order of their submission. */
static void
replay_places (gboolean ask, int *places)
{
  static const unsigned flags[]
      = { HK_STEP_SPECULATIVE, HK_STEP_BEST_EFFORT, HK_STEP_SERVICE };
  static const char *const racks[] = { "", "r1" };
  struct hk_engine_task *tasks[REPLAYED_JOBS];
  struct fixture f;

  replay_init (&f);
  for (unsigned i = 0; i < REPLAYED_JOBS; i++)
    {
      const char *rack = racks[i % G_N_ELEMENTS (racks)];
      unsigned kind = flags[i % G_N_ELEMENTS (flags)];

      for (int k = 0; ask && k < 3; k++)
        {
          struct result r;

          ask_replay (&f, rack, flags[k], "image", &r);
          json_object_put (r.answer);
        }
      tasks[i] = submit_with_flags (&f, rack, TASK_MILLI, RUN_MS, 1, kind);
      pass (&f);
    }
  for (unsigned i = 0; i < REPLAYED_JOBS; i++)
    places[i] = place_of (&f, tasks[i]);
  fixture_finish (&f);
}

static void
questions_change_no_placement (void)
{
  int with[REPLAYED_JOBS];
  int without[REPLAYED_JOBS];

  replay_places (TRUE, with);
  replay_places (FALSE, without);
  g_assert_cmpmem (with, sizeof with, without, sizeof without);
}

/* Guards against state that only later decisions show: rates that views of
   candidates expire, the turn of candidates, numbers of images, estimates. */
static void
questions_change_no_learned_state (void)
{
  const struct hk_instance *in;
  struct hk_instance *cursor;
  struct result r;
  struct fixture f;

  replay_init (&f);
  in = f.instances[1];
  f.instances[1]->failure_rate = 0.75;
  f.instances[1]->run_time_ratio = 2.5;
  f.instances[1]->suspect_until_ms = f.now - 1000;
  cursor = f.c->engine.cursor = f.instances[2];
  submit_with_flags (&f, "", TASK_MILLI, RUN_MS, 1, HK_STEP_BEST_EFFORT);
  ask_replay (&f, "r1", HK_STEP_BEST_EFFORT, "new", &r);
  json_object_put (r.answer);
  g_assert_cmpfloat (in->failure_rate, ==, 0.75);
  g_assert_cmpfloat (in->run_time_ratio, ==, 2.5);
  g_assert_true (f.c->engine.cursor == cursor);
  g_assert_cmpuint (g_hash_table_size (f.c->engine.jobs), ==, 1);
  g_assert_cmpuint (g_hash_table_size (f.c->mean_work), ==, 0);
  g_assert_cmpint (TAILQ_FIRST (&f.c->engine.active)->order_ms, ==, 0);
  g_assert_false (
      g_hash_table_contains (f.c->interference_model.images, "new"));
  fixture_finish (&f);
}

/* Guards against an unbounded look at the instances, and against one that
   takes the turn of candidates from the next pass. */
static void
the_look_at_instances_is_bounded (void)
{
  struct result r;
  struct fixture f;

  replay_init (&f);
  for (unsigned i = 0; i < HK_PASS_CANDIDATES_MAX; i++)
    add_instance (&f, "a")->last_report_ms = f.now;
  ask_replay (&f, "", HK_STEP_SPECULATIVE, "", &r);
  g_assert_null (f.c->engine.cursor);
  g_assert_cmpint (hk_json_int (first_step (&r), "not_examined"), ==,
                   INSTANCES);
  g_assert_cmpuint (
      json_object_array_length (member (first_step (&r), "best")), ==, 5);
  g_assert_cmpint (count_others (&r, "fits"), ==, HK_PASS_CANDIDATES_MAX - 5);
  json_object_put (r.answer);
  fixture_finish (&f);
}

/* Guards against an answer without the wait for a slot near the data. */
static void
the_wait_for_a_near_slot_is_told (void)
{
  const unsigned busy_ms[] = { 300, 60000 };

  for (guint i = 0; i < G_N_ELEMENTS (busy_ms); i++)
    {
      struct hk_engine_task *task;
      struct fixture f;
      struct result r;
      gboolean waits;

      replay_init (&f);
      fill_rack (&f, busy_ms[i], busy_ms[i]);
      ask_replay (&f, "r1", HK_STEP_SPECULATIVE, "", &r);
      g_assert_nonnull (member (first_step (&r), "near_wait"));
      waits = strcmp (hk_json_str (first_step (&r), "decision"), "wait_near")
              == 0;
      g_assert_true (waits == (i == 0));
      task = submit_near (&f);
      coord_schedule (f.c, f.now);
      g_assert_true (waits == (place_of (&f, task) == -1));
      if (!waits)
        g_assert_cmpstr (hk_json_str (first_step (&r), "instance"), ==,
                         f.instances[place_of (&f, task)]->name);
      json_object_put (r.answer);
      fixture_finish (&f);
    }
}

/* Guards against an answer that ignores the queue at the rack: one slot is
   free soon, and a task that gains more waits for it. */
static void
tasks_that_wait_already_come_first (void)
{
  struct hk_engine_task *first;
  struct hk_engine_task *task;
  struct fixture f;
  struct result r;

  replay_init (&f);
  run_on (&f, 0, TASK_MILLI, 300);
  run_on (&f, 0, CPU_MILLI - TASK_MILLI, 60000);
  run_on (&f, 1, CPU_MILLI, 60000);
  first = submit (&f, "r1", TASK_MILLI, 2 * RUN_MS, 1);
  coord_schedule (f.c, f.now);
  g_assert_cmpint (place_of (&f, first), ==, -1);
  ask_replay (&f, "r1", HK_STEP_SPECULATIVE, "", &r);
  g_assert_cmpstr (hk_json_str (first_step (&r), "decision"), ==, "place");
  task = submit_near (&f);
  coord_schedule (f.c, f.now);
  g_assert_cmpint (place_of (&f, first), ==, -1);
  g_assert_cmpint (place_of (&f, task), >=, 0);
  g_assert_cmpstr (hk_json_str (first_step (&r), "instance"), ==,
                   f.instances[place_of (&f, task)]->name);
  json_object_put (r.answer);
  fixture_finish (&f);
}

/* A question would delay the passes that the backlog needs. */
static void
overloaded_coordinators_refuse (void)
{
  hk_job_spec *spec = one_task ("0000000000000001", 1000);
  struct fixture f;
  struct result r;

  replay_init (&f);
  f.c->round_open = TRUE;
  where (f.c, spec, &r);
  g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_REFUSED);
  g_assert_cmpuint (r.retry_after_s, >, 0);
  test_job_spec_free (spec);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/where/" #name, name)
  ADD (questions_change_no_placement);
  ADD (questions_change_no_learned_state);
  ADD (the_look_at_instances_is_bounded);
  ADD (the_wait_for_a_near_slot_is_told);
  ADD (tasks_that_wait_already_come_first);
  ADD (overloaded_coordinators_refuse);
  return g_test_run ();
}

/* Cost of moving service tasks out of an evacuated domain that has no room
   elsewhere. */
#include "locality_support.h"

#define SERVED_MS 10000
#define SEARCH_MS 250

static struct hk_run *
serve_on (struct fixture *f, unsigned instance)
{
  struct hk_run *run = hk_engine_task_place (
      submit_with_flags (f, "", TASK_MILLI, 0, 1, HK_STEP_SERVICE),
      f->instances[instance], f->now - SERVED_MS);

  run->started_ms = f->now - SERVED_MS;
  run->progress_percent = 100;
  return run;
}

/* A tick, all that has changed being stored. */
static void
tick (struct fixture *f, int64_t ms)
{
  advance (f, ms);
  f->c->engine.n_dirty = 0;
  f->c->commit.confirmed_ms = f->now;
  coord_evacuate (f->c, f->now);
}

/* Guards against a coordinator that is busy with searches: each looks at all
   pairs of services in the domain and instances outside, and while there is no
   room, no move spaces them. */
static void
searches_without_result_are_spaced (void)
{
  const struct hk_evacuation evacuated = { "A", 7 };
  struct fixture f;
  struct hk_run *service;
  struct hk_run *other;

  fixture_init (&f, 0);
  hk_coord_set_evacuations (f.c, &evacuated, 1, 9);
  f.instances[0]->evacuated = TRUE;
  service = serve_on (&f, 0);
  other = run_on (&f, 1, CPU_MILLI, SERVED_MS);
  for (unsigned i = 2; i < INSTANCES; i++)
    run_on (&f, i, CPU_MILLI, SERVED_MS);
  tick (&f, SEARCH_MS);
  g_assert_false (service->to_stop);
  end_run (&f, other, HK_END_DONE);
  tick (&f, SEARCH_MS / 2);
  g_assert_false (service->to_stop);
  tick (&f, SEARCH_MS / 2);
  g_assert_true (service->to_stop);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/evacuate_cost/searches_without_result_are_spaced",
                   searches_without_result_are_spaced);
  return g_test_run ();
}

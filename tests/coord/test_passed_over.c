/* How long best-effort jobs wait while instances have room by declared size:
   replays passes of a loaded cluster of which some agents are silent. */
#include <glib.h>

#include "../../src/coord/coord.h"
#include "hyssopkeel/pass_budget.h"

#define INSTANCES 5
/* The others are silent in the cases with a cut. */
#define REACHABLE 3
#define INSTANCE_CPU_MILLI 64000
#define INSTANCE_MEMORY_MB 256000
/* CPUs that services declare on an instance. Beside the larger ones there is
   room for two tasks of the job. */
#define LIGHT_CPU_MILLI 30000
#define LOADED_CPU_MILLI 42000
#define TASK_CPU_MILLI 9000
#define PASS_INTERVAL_MS 100
/* Nothing of a job may run for 3 s while there is room; the commit and the
   start take part of that. */
#define WAIT_MAX_MS 2500
#define SHARE_WAIT_MAX_MS 1500
#define TARGET_MS 18
#define SLOW_COMMIT_MS 600
/* Two passes for those that fit nowhere, and one for the job that fits. The
   share of the CPUs lets it start after 0.9 s. */
#define PASSES_UNTIL_TURN 5
#define BEST_EFFORT_TASKS 6

/* A cluster whose services run near their targets, and a best-effort job. */
struct fixture
{
  struct hk_coord *c;
  struct hk_instance *instances[INSTANCES]; /* the reachable ones first */
  unsigned n_reachable;
  struct hk_engine_job *job;
  int64_t now;
};

static struct hk_instance *
instance_new (struct hk_coord *c, const char *name)
{
  struct hk_instance *in = hk_engine_instance_get (&c->engine, name);
  struct coord_link *l = g_new0 (struct coord_link, 1);

  l->c = c;
  l->in = in;
  l->described = TRUE;
  coord_sharing_init (&l->sharing);
  in->link = l;
  in->pool = g_strdup ("pool");
  in->cpu_milli = INSTANCE_CPU_MILLI;
  in->memory_mb = INSTANCE_MEMORY_MB;
  in->capacity_known = TRUE;
  return in;
}

static hk_step_spec
step_of (const char *image, unsigned count, unsigned cpu_milli, unsigned flags)
{
  return (hk_step_spec){ .count = count,
                         .cpu_milli = cpu_milli,
                         .memory_mb = 1000,
                         .estimate_ms = 1000,
                         .target_ms = flags & HK_STEP_SERVICE ? TARGET_MS : 0,
                         .flags = flags,
                         .label = (char *)"",
                         .rack = (char *)"",
                         .image = (char *)image };
}

static struct hk_engine_job *
submit (struct fixture *f, const char *id, hk_step_spec step)
{
  hk_job_spec spec = { .id = (char *)id,
                       .queue = (char *)"batch",
                       .pool = (char *)"pool",
                       .max_attempts = 3,
                       .steps = { 1, &step } };

  return hk_engine_submit (&f->c->engine, &spec, f->now, f->now);
}

/* The tail latency is at the target, so best-effort tasks have no headroom. */
static void
run_service (struct fixture *f, struct hk_engine_task *task,
             struct hk_instance *in)
{
  struct hk_run *run = hk_engine_task_place (task, in, f->now);

  run->started_ms = f->now;
  run->sampled_ms = f->now;
  run->headroom = 1.0;
}

static void
fixture_init (struct fixture *f, unsigned n_reachable,
              unsigned reachable_milli, unsigned silent_milli)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct hk_engine_job *services;

  options.name = "e1";
  options.address = "127.0.0.1:1";
  *f = (struct fixture){ .c = hk_coord_new (NULL, &options),
                         .n_reachable = n_reachable,
                         .now = 100000 };
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      g_autofree char *name = g_strdup_printf ("a%u", i);
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      gboolean silent = i >= n_reachable;

      f->instances[i] = instance_new (f->c, name);
      f->instances[i]->last_report_ms = silent ? f->now - 5000 : f->now;
      services = submit (f, id,
                         step_of ("service", 1,
                                  silent ? silent_milli : reachable_milli,
                                  HK_STEP_SERVICE));
      run_service (f, &services->steps[0].tasks[0], f->instances[i]);
    }
  f->job = submit (f, "3333333333333333",
                   step_of ("batch", BEST_EFFORT_TASKS, TASK_CPU_MILLI,
                            HK_STEP_BEST_EFFORT));
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

static void
pass (struct fixture *f)
{
  f->now += PASS_INTERVAL_MS;
  for (unsigned i = 0; i < f->n_reachable; i++)
    f->instances[i]->last_report_ms = f->now;
  coord_schedule (f->c, f->now);
}

static unsigned
count_reachable_runs (const struct fixture *f, const struct hk_engine_job *job)
{
  const struct hk_run *run;
  unsigned n = 0;

  for (unsigned i = 0; i < f->n_reachable; i++)
    {
      LIST_FOREACH (run, &f->instances[i]->runs, link)
      n += run->task->step->job == job;
    }
  return n;
}

/* Returns the time until a run of the job is placed on a reachable instance,
   or -1 if that takes longer than @limit_ms. */
static int64_t
time_until_placed (struct fixture *f, int64_t limit_ms)
{
  int64_t began_ms = f->now;

  while (f->now - began_ms < limit_ms)
    {
      pass (f);
      if (count_reachable_runs (f, f->job) > 0)
        return f->now - began_ms;
    }
  return -1;
}

static void
room_is_used_soon_where_services_use_little (void)
{
  struct fixture f;

  fixture_init (&f, REACHABLE, LIGHT_CPU_MILLI, LIGHT_CPU_MILLI);
  g_assert_cmpint (time_until_placed (&f, SHARE_WAIT_MAX_MS), >, 0);
  fixture_finish (&f);
}

/* Instances were passed over without a bound while services used most of the
   CPUs, as no best-effort task would have had half of its speed there. */
static void
room_is_withheld_for_a_bounded_time (void)
{
  struct fixture f;

  fixture_init (&f, INSTANCES, LOADED_CPU_MILLI, LOADED_CPU_MILLI);
  g_assert_cmpint (time_until_placed (&f, 900), ==, -1);
  g_assert_cmpint (time_until_placed (&f, WAIT_MAX_MS - 900), >, 0);
  fixture_finish (&f);
}

/* Runs behind a cut count until their leases have ended, but nobody knows
   whether they run. */
static void
silent_runs_do_not_count_as_running (void)
{
  struct fixture f;

  fixture_init (&f, REACHABLE, LOADED_CPU_MILLI, LOADED_CPU_MILLI);
  hk_engine_task_place (&f.job->steps[0].tasks[0], f.instances[REACHABLE],
                        f.now);
  g_assert_cmpint (time_until_placed (&f, WAIT_MAX_MS), >, 0);
  fixture_finish (&f);
}

static void
shares_count_only_runs_in_touch (void)
{
  struct fixture f;

  fixture_init (&f, REACHABLE, LIGHT_CPU_MILLI, INSTANCE_CPU_MILLI);
  g_assert_cmpint (time_until_placed (&f, SHARE_WAIT_MAX_MS), >, 0);
  fixture_finish (&f);
}

/* A task whose runs keep ending is ready anew each time; those after it in
   the step had to wait for it. */
static void
restarted_tasks_do_not_renew_the_wait_of_others (void)
{
  struct fixture f;
  int64_t began_ms;

  fixture_init (&f, REACHABLE, LIGHT_CPU_MILLI, LIGHT_CPU_MILLI);
  for (began_ms = f.now; f.now - began_ms < WAIT_MAX_MS;)
    {
      f.job->steps[0].tasks[0].ready_ms = f.now;
      pass (&f);
    }
  g_assert_cmpuint (count_reachable_runs (&f, f.job), >, 0);
  fixture_finish (&f);
}

/* The others of the job wait for headroom, as before. */
static void
one_run_of_a_job_ends_its_wait (void)
{
  struct fixture f;
  int64_t began_ms;

  fixture_init (&f, INSTANCES, LOADED_CPU_MILLI, LOADED_CPU_MILLI);
  for (began_ms = f.now; f.now - began_ms < 3 * WAIT_MAX_MS;)
    pass (&f);
  g_assert_cmpuint (count_reachable_runs (&f, f.job), ==, 1);
  fixture_finish (&f);
}

/* Passes that wait for slow commits come later than the pause after a failed
   placement, so the steps that come first were due again in each of them. */
static void
steps_beyond_the_budget_of_a_pass_have_their_turn (void)
{
  struct fixture f;
  hk_step_spec too_large = step_of ("batch", 1, 1000, HK_STEP_BEST_EFFORT);

  fixture_init (&f, INSTANCES, LIGHT_CPU_MILLI, LIGHT_CPU_MILLI);
  hk_engine_job_cancel (f.job, f.now, f.now);
  too_large.memory_mb = 2 * INSTANCE_MEMORY_MB;
  for (unsigned i = 0; i < 2 * HK_PASS_STEPS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", 100 + i);

      submit (&f, id, too_large);
    }
  f.job = submit (&f, "4444444444444444",
                  step_of ("batch", 1, TASK_CPU_MILLI, HK_STEP_BEST_EFFORT));
  for (int i = 0; i < PASSES_UNTIL_TURN; i++)
    {
      f.now += SLOW_COMMIT_MS;
      pass (&f);
    }
  g_assert_cmpuint (count_reachable_runs (&f, f.job), >, 0);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/passed_over/room_is_used_soon_where_services_use_little",
                   room_is_used_soon_where_services_use_little);
  g_test_add_func ("/passed_over/room_is_withheld_for_a_bounded_time",
                   room_is_withheld_for_a_bounded_time);
  g_test_add_func ("/passed_over/silent_runs_do_not_count_as_running",
                   silent_runs_do_not_count_as_running);
  g_test_add_func ("/passed_over/shares_count_only_runs_in_touch",
                   shares_count_only_runs_in_touch);
  g_test_add_func (
      "/passed_over/restarted_tasks_do_not_renew_the_wait_of_others",
      restarted_tasks_do_not_renew_the_wait_of_others);
  g_test_add_func ("/passed_over/one_run_of_a_job_ends_its_wait",
                   one_run_of_a_job_ends_its_wait);
  g_test_add_func (
      "/passed_over/steps_beyond_the_budget_of_a_pass_have_their_turn",
      steps_beyond_the_budget_of_a_pass_have_their_turn);
  return g_test_run ();
}

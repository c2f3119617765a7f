/* What shares an instance, as the coordinator keeps it for its passes, and
   admission by the load of all instances. */
#include <glib.h>

#include "../../src/coord/coord.h"

#define IMAGES 300
#define IMAGES_PER_JOB 150

static struct hk_coord *
coord_new (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  options.name = "e1";
  options.address = "127.0.0.1:1";
  return hk_coord_new (NULL, &options);
}

static struct hk_instance *
instance_new_named (struct hk_coord *c, const char *name)
{
  struct hk_instance *in = hk_engine_instance_get (&c->engine, name);
  struct coord_link *l = g_new0 (struct coord_link, 1);

  l->c = c;
  l->in = in;
  coord_sharing_init (&l->sharing);
  in->link = l;
  in->cpu_milli = 64000;
  in->capacity_known = TRUE;
  return in;
}

static struct hk_instance *
instance_new (struct hk_coord *c)
{
  return instance_new_named (c, "a1");
}

static void
instance_release (struct hk_instance *in)
{
  struct coord_link *l = in->link;

  coord_sharing_finish (&l->sharing);
  g_free (l);
  in->link = NULL;
}

static struct hk_engine_job *
submit (struct hk_coord *c, unsigned number)
{
  g_autofree char *id = g_strdup_printf ("%016x", number);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  hk_step_spec steps[IMAGES_PER_JOB];
  hk_job_spec spec = { .id = id,
                       .queue = (char *)"batch",
                       .pool = (char *)"pool",
                       .max_attempts = 1,
                       .steps = { IMAGES_PER_JOB, steps } };

  for (unsigned i = 0; i < IMAGES_PER_JOB; i++)
    {
      g_ptr_array_add (names, g_strdup_printf ("image-%u-%u", number, i));
      steps[i] = (hk_step_spec){ .count = 1,
                                 .cpu_milli = 10,
                                 .estimate_ms = 1000,
                                 .flags = HK_STEP_BEST_EFFORT,
                                 .label = (char *)"",
                                 .rack = (char *)"",
                                 .image = names->pdata[i] };
    }
  return hk_engine_submit (&c->engine, &spec, 1, 1);
}

/* Clients choose the names of images. More of them on one instance than the
   model can hold must not keep the coordinator busy for ever. */
static void
instances_may_run_more_images_than_the_model_holds (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  const struct coord_sharing *s;

  for (unsigned n = 0; n < IMAGES / IMAGES_PER_JOB; n++)
    {
      struct hk_engine_job *job = submit (c, n + 1);

      for (unsigned i = 0; i < IMAGES_PER_JOB; i++)
        hk_engine_task_place (&job->steps[i].tasks[0], in, 1);
    }
  s = coord_sharing_of (c, in);
  g_assert_cmpuint (s->best_effort->len, ==, IMAGES);
  g_assert_cmpfloat (s->requested_milli, ==, IMAGES * 10);
  instance_release (in);
  hk_coord_free (c);
}

/* A pass must see each change of the runs, though it keeps what has not
   changed. */
static void
changes_of_runs_are_seen (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  struct hk_engine_job *job = submit (c, 1);
  struct hk_run *run = hk_engine_task_place (&job->steps[0].tasks[0], in, 1);

  g_assert_cmpuint (coord_sharing_of (c, in)->best_effort->len, ==, 1);
  hk_engine_task_place (&job->steps[1].tasks[0], in, 1);
  g_assert_cmpuint (coord_sharing_of (c, in)->best_effort->len, ==, 2);
  hk_engine_run_stop (run);
  g_assert_cmpuint (coord_sharing_of (c, in)->best_effort->len, ==, 1);
  hk_engine_run_end (run, HK_END_STOPPED, NULL, 2, 2);
  g_assert_cmpfloat (coord_sharing_of (c, in)->requested_milli, ==, 10);
  instance_release (in);
  hk_coord_free (c);
}

/* 64 CPUs at the speed assumed without observations work 20 s on this job,
   which may take 25 s. Counted twice, its work made it look late. */
static void
jobs_that_fit_an_idle_site_are_admitted (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  hk_step_spec step = { .count = 96,
                        .cpu_milli = 1000,
                        .estimate_ms = 10000,
                        .flags = HK_STEP_BEST_EFFORT };
  hk_job_spec spec = { .id = (char *)"1111111111111111",
                       .queue = (char *)"batch",
                       .pool = (char *)"pool",
                       .steps = { 1, &step } };
  unsigned retry_after_s = 0;
  const char *reason = NULL;

  g_assert_true (coord_admit (c, &spec, &retry_after_s, &reason));
  step.count *= 2;
  g_assert_false (coord_admit (c, &spec, &retry_after_s, &reason));
  g_assert_cmpuint (retry_after_s, >, 0);
  instance_release (in);
  hk_coord_free (c);
}

/* Two service runs, one of them on @in beside a best-effort run. */
static struct hk_engine_job *
submit_services (struct hk_coord *c, struct hk_instance *in,
                 struct hk_instance *other)
{
  hk_step_spec steps[]
      = { { .count = 2, .target_ms = 18, .flags = HK_STEP_SERVICE },
          { .count = 1, .flags = HK_STEP_BEST_EFFORT } };
  hk_job_spec spec = { .id = (char *)"1111111111111111",
                       .queue = (char *)"batch",
                       .pool = (char *)"pool",
                       .steps = { 2, steps } };
  struct hk_engine_job *job;
  struct hk_run *runs[3];

  for (int i = 0; i < 2; i++)
    {
      steps[i].cpu_milli = 1000;
      steps[i].label = steps[i].rack = (char *)"";
    }
  steps[0].image = (char *)"service";
  steps[1].image = (char *)"best-effort";
  job = hk_engine_submit (&c->engine, &spec, 1, 1);
  runs[0] = hk_engine_task_place (&job->steps[0].tasks[0], in, 1);
  runs[1] = hk_engine_task_place (&job->steps[0].tasks[1], other, 1);
  runs[2] = hk_engine_task_place (&job->steps[1].tasks[0], in, 1);
  for (int i = 0; i < 3; i++)
    runs[i]->started_ms = 1;
  runs[0]->load_sample = 12;
  runs[1]->load_sample = 6;
  runs[2]->load_sample = 900;
  return job;
}

/* Guards against shares of an unknown number of CPUs: from a report of an
   endpoint without capacity the coordinator learned that nothing interferes,
   which then held on all instances. */
static void
nothing_is_learned_without_a_capacity (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  struct hk_instance *other = instance_new_named (c, "a2");
  struct hk_engine_job *job = submit_services (c, in, other);
  const struct hk_interference_model *model = &c->interference_model;
  double prior = hk_interference_model_get (model, "service", "best-effort");

  coord_interference_learn (c, other, 1000);
  in->cpu_milli = 0;
  coord_interference_learn (c, in, 1000);
  g_assert_cmpfloat (
      hk_interference_model_get (model, "service", "best-effort"), ==, prior);
  g_assert_cmpfloat (job->steps[0].tasks[0].runs[0]->headroom_loss, <, 5);
  in->cpu_milli = 64000;
  coord_interference_learn (c, in, 1100);
  g_assert_cmpfloat (
      hk_interference_model_get (model, "service", "best-effort"), !=, prior);
  instance_release (other);
  instance_release (in);
  hk_coord_free (c);
}

/* An instance that shrank beneath what runs there has no CPUs to give, and
   takes none from the others. */
static void
exceeded_instances_leave_the_others_their_cpus (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  double before = coord_best_effort_cores (c);
  struct hk_instance *shrunk = instance_new_named (c, "a2");

  shrunk->cpu_milli = 4000;
  shrunk->used_cpu_milli = 68000;
  g_assert_cmpfloat (before, >, 0);
  g_assert_cmpfloat (coord_best_effort_cores (c), ==, before);
  shrunk->used_cpu_milli = 0;
  instance_release (shrunk);
  instance_release (in);
  hk_coord_free (c);
}

/* A service queue that stays saturated, as on an instance that turned slow:
   light tasks were started there again and again, and stood still. */
static void
nothing_is_expected_to_run_beside_a_saturated_queue (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  struct hk_engine_job *job = submit (c, 1);
  struct hk_job_place_view v = { 0 };
  struct hk_run *run;

  job->spec.steps.steps_val[0].flags = HK_STEP_SERVICE;
  job->spec.steps.steps_val[0].target_ms = 18;
  run = hk_engine_task_place (&job->steps[0].tasks[0], in, 1);
  run->started_ms = 1;
  run->sampled_ms = 2000;
  run->headroom = 3.0;
  coord_best_effort_expect (c, in, &job->steps[1], &v);
  g_assert_cmpfloat (v.expected_speed, >, 0.9);
  run->saturated_since_ms = 1;
  in->changes++;
  coord_best_effort_expect (c, in, &job->steps[1], &v);
  g_assert_cmpfloat (v.expected_speed, ==, 0);
  instance_release (in);
  hk_coord_free (c);
}

/* The forecast for a run where it is must not count the run beside itself: it
   would look throttled by its own interference, and would be relocated. */
static void
runs_do_not_count_beside_themselves (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  struct hk_engine_job *job = submit (c, 1);
  struct hk_job_place_view v = { 0 };
  struct hk_run *service;
  struct hk_run *run;

  job->spec.steps.steps_val[0].flags = HK_STEP_SERVICE;
  job->spec.steps.steps_val[0].target_ms = 18;
  for (unsigned i = 1; i < 3; i++)
    job->spec.steps.steps_val[i].cpu_milli = 6400;
  service = hk_engine_task_place (&job->steps[0].tasks[0], in, 1);
  service->started_ms = 1;
  service->sampled_ms = 2000;
  service->headroom = 1.48;
  run = hk_engine_task_place (&job->steps[1].tasks[0], in, 1);
  /* Each costs 0.15 of the 0.2 above the throttling target. */
  coord_best_effort_expect_run (c, run, &v);
  g_assert_cmpfloat (v.expected_speed, >, 0.99);
  coord_best_effort_expect (c, in, &job->steps[1], &v);
  g_assert_cmpfloat (v.expected_speed, <, 0.5);
  hk_engine_task_place (&job->steps[2].tasks[0], in, 1);
  coord_best_effort_expect_run (c, run, &v);
  g_assert_cmpfloat (v.expected_speed, <, 0.5);
  instance_release (in);
  hk_coord_free (c);
}

/* The calibration of expected speeds compares them with these figures: time at
   each speed counts up to the end, and a period of speed 0 counts once however
   many reports show it. */
static void
speeds_over_the_life_of_a_run_are_described (void)
{
  struct hk_coord *c = coord_new ();
  struct hk_instance *in = instance_new (c);
  struct hk_engine_job *job = submit (c, 1);
  struct hk_run *run = hk_engine_task_place (&job->steps[0].tasks[0], in, 1);
  static const unsigned speeds[] = { 100, 0, 0, 50, 0 };
  struct hk_job_place_view v = { .expected_speed = 0.75,
                                 .first_speed = 0.5,
                                 .headroom_usage = 0.25,
                                 .unknown_pairs = 2 };
  char text[COORD_SPEED_TEXT_MAX];

  in->last_report_ms = 800;
  coord_speed_expect (run, &v, 1000);
  g_assert_cmpstr (coord_speed_describe_expected (run, text), ==,
                   " expected=0.75 first=0.50 usage=0.25 unknown=2 "
                   "sample_ms=200");
  g_assert_cmpstr (coord_speed_describe (run, text, 1000), ==, "");
  run->started_ms = 1000;
  for (unsigned i = 0; i < G_N_ELEMENTS (speeds); i++)
    {
      coord_speed_observe (run, speeds[i], 1000 + 400 * (int64_t)i);
      run->reported_ms = 1000 + 400 * (int64_t)i;
      run->speed_percent = speeds[i];
    }
  run->progress_percent = 60;
  g_assert_cmpstr (coord_speed_describe (run, text, 3000), ==,
                   " speed=0.30 percent=60 stills=2 still_ms=1200");
  instance_release (in);
  hk_coord_free (c);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func (
      "/sharing/instances_may_run_more_images_than_the_model_holds",
      instances_may_run_more_images_than_the_model_holds);
  g_test_add_func ("/sharing/changes_of_runs_are_seen",
                   changes_of_runs_are_seen);
  g_test_add_func ("/sharing/jobs_that_fit_an_idle_site_are_admitted",
                   jobs_that_fit_an_idle_site_are_admitted);
  g_test_add_func ("/sharing/nothing_is_learned_without_a_capacity",
                   nothing_is_learned_without_a_capacity);
  g_test_add_func ("/sharing/exceeded_instances_leave_the_others_their_cpus",
                   exceeded_instances_leave_the_others_their_cpus);
  g_test_add_func (
      "/sharing/nothing_is_expected_to_run_beside_a_saturated_queue",
      nothing_is_expected_to_run_beside_a_saturated_queue);
  g_test_add_func ("/sharing/runs_do_not_count_beside_themselves",
                   runs_do_not_count_beside_themselves);
  g_test_add_func ("/sharing/speeds_over_the_life_of_a_run_are_described",
                   speeds_over_the_life_of_a_run_are_described);
  return g_test_run ();
}

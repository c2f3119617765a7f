/* Unit tests of the policies for jobs: order and admission, placement,
   throttling of best-effort tasks, the interference model, lease grants. Each
   decision is tested under the load pattern that it handles. */
#include <glib.h>

#include "hyssopkeel/authority.h"
#include "hyssopkeel/order.h"
#include "hyssopkeel/throttle.h"
#include "hyssopkeel/interference_model.h"
#include "hyssopkeel/job_placement.h"

/* Job order and admission */

static struct hk_order_view
job_of_age (int64_t age_ms)
{
  return (struct hk_order_view){
    .urgency = 1,
    .age_ms = age_ms,
    .objective_ms = 10000,
    .critical_path_ms = 4000,
    .work_core_ms = 1000,
    .remaining_core_ms = 1000,
    .mean_core_ms = 1000,
  };
}

static void
jobs_in_time_precede_late_and_expired_jobs (void)
{
  struct hk_order_view new_job = job_of_age (1000);
  struct hk_order_view half_done = job_of_age (5000);
  struct hk_order_view late = job_of_age (9000);
  struct hk_order_view expired = job_of_age (29000);
  struct hk_order_view urgent = job_of_age (1000);
  struct hk_order_view service = job_of_age (100);

  urgent.urgency = 0;
  service.is_service = TRUE;
  service.urgency = 0;
  /* A job that is half done precedes one that has not started. */
  half_done.remaining_core_ms = 500;
  g_assert_cmpfloat (hk_order_key (&half_done), <, hk_order_key (&new_job));
  g_assert_cmpfloat (hk_order_key (&new_job), <, hk_order_key (&late));
  g_assert_cmpfloat (hk_order_key (&late), <, hk_order_key (&expired));
  g_assert_cmpfloat (hk_order_key (&urgent), <, hk_order_key (&half_done));
  g_assert_cmpfloat (hk_order_key (&service), <, hk_order_key (&urgent));
  g_assert_cmpint (hk_order_class (&expired), ==, HK_ORDER_EXPIRED);
  g_assert_cmpint (hk_order_class (&late), ==, HK_ORDER_LATE);
  g_assert_cmpint (hk_order_class (&new_job), ==, HK_ORDER_IN_TIME);
}

/* Demand of twice the capacity for a minute: in order of arrival (the
   baseline) nearly all jobs are late, with hk_order_key() about half are in
   time. */
struct replay_result
{
  unsigned in_time;
};

#define REPLAY_JOBS 120
#define REPLAY_RUN_TIME_MS 1000
#define REPLAY_INTERVAL_MS 500

static struct replay_result
replay_overload (gboolean baseline)
{
  int64_t arrived[REPLAY_JOBS];
  gboolean done[REPLAY_JOBS] = { FALSE };
  struct replay_result s = { 0 };
  int64_t now = 0;
  unsigned n = 0;

  while (now < REPLAY_JOBS * REPLAY_INTERVAL_MS * 2)
    {
      int best = -1;
      double best_key = 0;

      for (; n < REPLAY_JOBS && n * REPLAY_INTERVAL_MS <= now; n++)
        arrived[n] = n * REPLAY_INTERVAL_MS;
      for (unsigned i = 0; i < n; i++)
        {
          struct hk_order_view v = { .urgency = 1,
                                     .age_ms = now - arrived[i],
                                     .objective_ms = 4000,
                                     .critical_path_ms = REPLAY_RUN_TIME_MS,
                                     .work_core_ms = 1,
                                     .remaining_core_ms = 1,
                                     .mean_core_ms = 1 };
          double key = baseline ? (double)arrived[i] : hk_order_key (&v);

          if (!done[i] && (best < 0 || key < best_key))
            {
              best = (int)i;
              best_key = key;
            }
        }
      if (best >= 0)
        {
          done[best] = TRUE;
          if (now + REPLAY_RUN_TIME_MS - arrived[best] <= 4000)
            s.in_time++;
        }
      now += REPLAY_RUN_TIME_MS;
    }
  return s;
}

static void
overload_keeps_half_of_the_jobs_in_time (void)
{
  struct replay_result baseline = replay_overload (TRUE);
  struct replay_result ordered = replay_overload (FALSE);

  g_test_message ("in time: baseline %u, hk_order_key %u of %d",
                  baseline.in_time, ordered.in_time, REPLAY_JOBS);
  g_assert_cmpuint (baseline.in_time, <, REPLAY_JOBS / 8);
  g_assert_cmpuint (ordered.in_time, >=, REPLAY_JOBS * 2 / 5);
}

static void
jobs_past_the_cutoff_are_rejected_with_retry_after (void)
{
  struct hk_admission_view v = { .backlog_core_ms = 100000,
                                 .rate_cores = 10,
                                 .objective_ms = 10000,
                                 .critical_path_ms = 4000,
                                 .work_core_ms = 20000 };
  unsigned retry = 99;

  g_assert_true (hk_admission_decide (&v, &retry));
  g_assert_cmpuint (retry, ==, 0);
  v.backlog_core_ms = 300000;
  g_assert_false (hk_admission_decide (&v, &retry));
  g_assert_cmpuint (retry, >=, 1);
  v.backlog_core_ms = 1e9;
  g_assert_false (hk_admission_decide (&v, &retry));
  g_assert_cmpuint (retry, <=, 8);
}

/* Placement of tasks */

static struct hk_job_place_view
instance (int64_t cpu_free)
{
  return (struct hk_job_place_view){ .cpu_milli = 64000,
                                     .cpu_free_milli = cpu_free,
                                     .memory_free_mb = 100000,
                                     .best_effort_free_milli = cpu_free,
                                     .expected_speed = 1.0,
                                     .run_time_ratio = 1.0,
                                     .usable = TRUE };
}

static void
service_and_best_effort_tasks_are_kept_apart (void)
{
  struct hk_job_place_view v[2] = { instance (20000), instance (64000) };
  struct hk_job_place_need serving
      = { .cpu_milli = 13000, .is_service = TRUE };
  struct hk_job_place_need short_task = { .cpu_milli = 1000 };
  struct hk_job_place_need best_effort
      = { .cpu_milli = 7000, .best_effort = TRUE };

  v[0].has_service = 1;
  v[0].headroom_cost = 0.9;
  v[0].same_image = 1;
  g_assert_cmpint (hk_job_place_choose (v, 2, &serving), ==, 0);
  g_assert_cmpint (hk_job_place_choose (v, 2, &short_task), ==, 0);
  g_assert_cmpint (hk_job_place_choose (v, 2, &best_effort), ==, 1);
  /* A best-effort task that hardly interferes there leaves the empty instance
     to others. */
  v[0].headroom_cost = 0.05;
  v[0].best_effort_free_milli = 60000;
  g_assert_cmpint (hk_job_place_choose (v, 2, &best_effort), ==, 0);
}

/* On an instance with a mix of service images, nearly every best-effort task
   interferes with one of them. */
static void
service_tasks_are_consolidated_by_image (void)
{
  struct hk_job_place_view v[3]
      = { instance (30000), instance (40000), instance (64000) };
  struct hk_job_place_need serving
      = { .cpu_milli = 13000, .is_service = TRUE };

  v[0].has_service = v[1].has_service = 1;
  v[0].other_images = 1;
  v[1].same_image = 2;
  g_assert_cmpint (hk_job_place_choose (v, 3, &serving), ==, 1);
  /* An empty instance is preferred to one with another image. */
  v[1].usable = FALSE;
  g_assert_cmpint (hk_job_place_choose (v, 3, &serving), ==, 2);
  v[2].usable = FALSE;
  g_assert_cmpint (hk_job_place_choose (v, 3, &serving), ==, 0);
}

/* A task moves only to more tasks of its image and no more other images;
   otherwise tasks could move back and forth for ever. */
static void
consolidation_moves_end (void)
{
  struct hk_job_place_view from = instance (0);
  struct hk_job_place_view to = instance (20000);

  from.other_images = 1;
  to.same_image = 2;
  g_assert_true (hk_job_place_should_move (&from, &to));
  g_assert_false (hk_job_place_should_move (&to, &from));
  to.other_images = 2;
  g_assert_false (hk_job_place_should_move (&from, &to));
  to.other_images = 0;
  from.same_image = 2;
  g_assert_false (hk_job_place_should_move (&from, &to));
  from.same_image = 0;
  to.run_time_ratio = 4.0;
  g_assert_false (hk_job_place_should_move (&from, &to));
  to.run_time_ratio = 1.0;
  from.other_images = 0;
  g_assert_false (hk_job_place_should_move (&from, &to));
}

/* Tasks already placed count, whether tail latencies show them yet or not. */
static void
expected_speed_counts_tasks_already_placed (void)
{
  g_assert_cmpfloat (hk_throttle_expected_speed (2.5, 0, 0.8), ==, 1.0);
  g_assert_cmpfloat (hk_throttle_expected_speed (2.5, 0.8, 0.8), <, 0.6);
  g_assert_cmpfloat (hk_throttle_expected_speed (2.5, 1.6, 0.8), ==, 0.0);
  /* A task with negligible interference runs at full speed even at a load
     peak. */
  g_assert_cmpfloat (hk_throttle_expected_speed (1.1, 1.6, 0.03), ==, 1.0);
}

static void
best_effort_tasks_wait_rather_than_run_slowly (void)
{
  struct hk_job_place_view v[1] = { instance (64000) };
  struct hk_job_place_need best_effort
      = { .cpu_milli = 7000, .best_effort = TRUE };

  v[0].has_service = 1;
  v[0].expected_speed = 0.2;
  g_assert_cmpint (hk_job_place_choose (v, 1, &best_effort), ==, -1);
  /* Nor do they take the headroom of those that run. */
  v[0].expected_speed = 1.0;
  v[0].headroom_usage = 1.2;
  g_assert_cmpint (hk_job_place_choose (v, 1, &best_effort), ==, -1);
  best_effort.starving = TRUE;
  g_assert_cmpint (hk_job_place_choose (v, 1, &best_effort), ==, 0);
}

static void
slow_and_failing_instances_are_the_last_choice (void)
{
  struct hk_job_place_view v[3]
      = { instance (60000), instance (30000), instance (10000) };
  struct hk_job_place_need short_task = { .cpu_milli = 1000 };

  v[0].failure_rate = 0.9;
  v[1].run_time_ratio = 4.0;
  g_assert_cmpint (hk_job_place_choose (v, 3, &short_task), ==, 2);
  v[2].usable = FALSE;
  g_assert_cmpint (hk_job_place_choose (v, 3, &short_task), >=, 0);
}

static void
capacity_and_per_instance_limit_are_respected (void)
{
  struct hk_job_place_view v[1] = { instance (1000) };
  struct hk_job_place_need need = { .cpu_milli = 1001 };

  g_assert_cmpint (hk_job_place_choose (v, 1, &need), ==, -1);
  need.cpu_milli = 1000;
  need.per_instance_max = 2;
  v[0].same_step = 2;
  g_assert_cmpint (hk_job_place_choose (v, 1, &need), ==, -1);
  v[0].same_step = 1;
  g_assert_cmpint (hk_job_place_choose (v, 1, &need), ==, 0);
  need.memory_mb = 200000;
  g_assert_cmpint (hk_job_place_choose (v, 1, &need), ==, -1);
}

/* Throttling of best-effort tasks */

static void
only_interfering_tasks_are_throttled (void)
{
  struct hk_throttle_task f[2] = { { .full_cpu_share = 0.1,
                                     .used_cpu_share = 0.1,
                                     .speed_percent = 100,
                                     .settled = TRUE },
                                   { .full_cpu_share = 0.1,
                                     .used_cpu_share = 0.1,
                                     .speed_percent = 100,
                                     .settled = TRUE } };
  const double headroom[] = { 0.95, 2.5 };
  /* The first task interferes with the image that is over its target, the
     second one with the other image. */
  const double interference[] = { 5.0, 0.1, 0.1, 0.5 };
  struct hk_throttle_view v = { .tasks = f,
                                .n_tasks = 2,
                                .headroom = headroom,
                                .n_serving = 2,
                                .interference = interference,
                                .settled = TRUE };

  hk_throttle_decide (&v);
  g_assert_cmpuint (f[0].speed_percent, <, 60);
  g_assert_cmpuint (f[1].speed_percent, ==, 100);
}

static void
all_best_effort_tasks_stop_while_a_tail_stays_over_target (void)
{
  struct hk_throttle_task f[1] = { { .full_cpu_share = 0.1,
                                     .used_cpu_share = 0,
                                     .speed_percent = 100,
                                     .settled = TRUE } };
  const double headroom[] = { 0.83 };
  const double interference[] = { 0.05 };
  struct hk_throttle_view v = { .tasks = f,
                                .n_tasks = 1,
                                .headroom = headroom,
                                .n_serving = 1,
                                .interference = interference,
                                .settled = TRUE,
                                .over_target_ms = 2000 };

  hk_throttle_decide (&v);
  g_assert_cmpuint (f[0].speed_percent, ==, 0);
}

static unsigned
speed_after (struct hk_throttle_task task, double sample)
{
  const double headroom[] = { sample };
  const double interference[] = { 1.0 };
  struct hk_throttle_view v = { .tasks = &task,
                                .n_tasks = 1,
                                .headroom = headroom,
                                .n_serving = 1,
                                .interference = interference };

  task.full_cpu_share = 0.1;
  task.used_cpu_share = 0.1 * task.speed_percent / 100;
  hk_throttle_decide (&v);
  return task.speed_percent;
}

/* One noisy sample of a tail that was within its target stopped a task, which
   then stood still until the settling time had passed. */
static void
one_sample_within_target_stops_no_task (void)
{
  struct hk_throttle_task task = { .speed_percent = 100 };

  g_assert_cmpuint (speed_after (task, 1.05), ==, 50);
}

/* Lists that come when runs end show the same sample again. */
static void
repeated_sample_within_target_lowers_no_speed (void)
{
  struct hk_throttle_task task
      = { .speed_percent = 50, .changed_recently = TRUE };

  g_assert_cmpuint (speed_after (task, 1.05), ==, 50);
}

static void
low_headroom_that_persists_stops_a_task (void)
{
  struct hk_throttle_task task = { .speed_percent = 100 };

  for (int list = 0; list < 5; list++)
    task.speed_percent = speed_after (task, 1.05);
  g_assert_cmpuint (task.speed_percent, ==, 0);
}

/* A reduction by steps would add to the time over the target. */
static void
sample_over_target_stops_a_task_at_once (void)
{
  struct hk_throttle_task task
      = { .speed_percent = 100, .changed_recently = TRUE };

  g_assert_cmpuint (speed_after (task, 0.99), ==, 0);
}

static void
speed_rises_only_after_the_last_change_is_measured (void)
{
  struct hk_throttle_task f[1] = {
    { .full_cpu_share = 0.1, .used_cpu_share = 0.02, .speed_percent = 20 }
  };
  const double headroom[] = { 3.3 };
  const double interference[] = { 1.0 };
  struct hk_throttle_view v = { .tasks = f,
                                .n_tasks = 1,
                                .headroom = headroom,
                                .n_serving = 1,
                                .interference = interference };

  hk_throttle_decide (&v);
  g_assert_cmpuint (f[0].speed_percent, ==, 20);
  v.settled = TRUE;
  f[0].settled = TRUE;
  hk_throttle_decide (&v);
  g_assert_cmpuint (f[0].speed_percent, ==, 100);
}

/* Beside a task that changes with every report, one that hardly interferes and
   was stopped at a peak stood still until the other ended. */
static void
changes_of_other_tasks_do_not_hold_a_speed (void)
{
  struct hk_throttle_task f[2] = {
    { .full_cpu_share = 0.1, .speed_percent = 0, .settled = TRUE },
    { .full_cpu_share = 0.1, .used_cpu_share = 0.05, .speed_percent = 50 }
  };
  const double headroom[] = { 2.0 };
  const double interference[] = { 0.8, 6.0 };
  struct hk_throttle_view v = { .tasks = f,
                                .n_tasks = 2,
                                .headroom = headroom,
                                .n_serving = 1,
                                .interference = interference };

  hk_throttle_decide (&v);
  g_assert_cmpuint (f[0].speed_percent, ==, 100);
  g_assert_cmpuint (f[1].speed_percent, <=, 50);
}

/* The load of the service tasks of one job varies together and changes
   headroom by up to 0.4. The best-effort images beside them differ by instance
   and change over time. */
#define INSTANCES 6
#define IMAGES 4

static void
interference_is_learned_under_varying_load (void)
{
  static const char *const images[IMAGES] = { "heavy", "a", "b", "c" };
  static const double actual[IMAGES] = { 8.0, 0.0, 0.1, 3.0 };
  struct hk_interference_model model;
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  struct hk_interference_source heavy = { .cpu_share = 0.1 };
  unsigned serving;
  double variance;

  hk_interference_model_init (&model);
  serving = hk_interference_model_image (&model, "serving");
  for (int step = 0; step < 25; step++)
    for (int i = 0; i < INSTANCES; i++)
      {
        struct hk_interference_source sources[2];
        double loss = g_rand_double_range (rand, -0.4, 0.4);

        for (int k = 0; k < 2; k++)
          {
            int image = (step / 5 + i + k) % IMAGES;

            sources[k].image
                = hk_interference_model_image (&model, images[image]);
            sources[k].cpu_share = 0.08 + 0.04 * k;
            loss += actual[image] * sources[k].cpu_share;
          }
        hk_interference_model_update (&model, serving, loss, 0.06, sources, 2);
      }
  for (int k = 0; k < IMAGES; k++)
    g_assert_cmpfloat_with_epsilon (
        hk_interference_model_get (&model, "serving", images[k]), actual[k],
        1.0);
  g_assert_cmpfloat (hk_interference_model_get (&model, "other", "heavy"), >,
                     0.5);
  heavy.image = hk_interference_model_image (&model, "heavy");
  hk_interference_model_predict (&model, serving, &heavy, 1, &variance);
  g_assert_cmpfloat (variance, <, 0.01);
  hk_interference_model_finish (&model);
}

/* Strong interference must be recognized at the first observation, to keep the
   pair apart from then on. */
static void
one_observation_reveals_strong_interference (void)
{
  struct hk_interference_model model;
  struct hk_interference_source source = { .cpu_share = 0.1 };
  unsigned serving;
  unsigned quiet;
  double prior;

  hk_interference_model_init (&model);
  serving = hk_interference_model_image (&model, "serving");
  quiet = hk_interference_model_image (&model, "quiet");
  source.image = hk_interference_model_image (&model, "heavy");
  prior = hk_interference_model_get (&model, "serving", "heavy");
  hk_interference_model_update (&model, serving, 1.0, 0.06, &source, 1);
  g_assert_cmpfloat (hk_interference_model_get (&model, "serving", "heavy"), >,
                     3 * prior);
  hk_interference_model_update (&model, quiet, 0.0, 0.06, &source, 1);
  hk_interference_model_update (&model, quiet, 0.0, 0.06, &source, 1);
  g_assert_cmpfloat (hk_interference_model_get (&model, "quiet", "heavy"), <,
                     prior / 2);
  hk_interference_model_finish (&model);
}

static void
count_pair (const char *serving, const char *best_effort, double value,
            void *user)
{
  g_assert_cmpstr (serving, ==, "serving");
  g_assert_cmpstr (best_effort, ==, "heavy");
  g_assert_cmpfloat (value, ==, 8.0);
  ++*(int *)user;
}

/* A new coordinator starts from the estimates that agents keep, but prefers
   its own observations. */
static void
estimates_outlive_their_coordinator (void)
{
  struct hk_interference_model agent;
  struct hk_interference_model successor;
  struct hk_interference_source source = { .cpu_share = 0.1 };
  unsigned serving;
  int n = 0;

  hk_interference_model_init (&agent);
  hk_interference_model_init (&successor);
  hk_interference_model_set (&agent, "serving", "heavy", 8.0);
  hk_interference_model_foreach (&agent, count_pair, &n);
  g_assert_cmpint (n, ==, 1);
  hk_interference_model_seed (&successor, "serving", "heavy", 8.0);
  g_assert_cmpfloat (
      hk_interference_model_get (&successor, "serving", "heavy"), ==, 8.0);
  serving = hk_interference_model_image (&successor, "serving");
  source.image = hk_interference_model_image (&successor, "heavy");
  hk_interference_model_update (&successor, serving, 0.1, 0.06, &source, 1);
  hk_interference_model_seed (&successor, "serving", "heavy", 8.0);
  g_assert_cmpfloat (
      hk_interference_model_get (&successor, "serving", "heavy"), <, 8.0);
  hk_interference_model_finish (&agent);
  hk_interference_model_finish (&successor);
}

/* Memory is bounded, although new images appear for months, and an image that
   is in use keeps its estimate until all are dropped. */
static void
number_of_pairs_is_bounded (void)
{
  struct hk_interference_model model;

  hk_interference_model_init (&model);
  for (int i = 0; i < 20000; i++)
    {
      g_autofree char *image = g_strdup_printf ("%d", i);

      hk_interference_model_set (&model, image, "best-effort", 1.0);
    }
  g_assert_cmpuint ((guint64)model.capacity * model.capacity, <=, 65536);
  g_assert_cmpuint (model.generation, >, 1);
  g_assert_cmpfloat (
      hk_interference_model_get (&model, "19999", "best-effort"), ==, 1.0);
  hk_interference_model_finish (&model);
}

/* Lease grants */

static void
lease_grants_end_with_the_authority_of_the_coordinator (void)
{
  struct hk_authority a = { 12000, 2500, 4000 };

  g_assert_cmpint (hk_authority_grant_until (&a, 100000, 99000), ==, 102500);
  g_assert_cmpint (hk_authority_grant_until (&a, 100000, 89000), ==, 101000);
  g_assert_cmpint (hk_authority_grant_until (&a, 100000, 80000), <, 100000);
}

/* Runs are placed again only after they terminated, for all times of the last
   commit and of the last contact, and on the slowest worker clock. */
static void
runs_terminate_before_they_are_placed_again (void)
{
  struct hk_authority a = { 12000, 2500, 4000 };
  const double slowest_clock_rate = 0.98;

  for (int64_t confirmed = 0; confirmed < 20000; confirmed += 500)
    for (int64_t heard = confirmed; heard < confirmed + 15000; heard += 500)
      {
        int64_t grant = hk_authority_grant_until (&a, heard, confirmed);
        int64_t last_renewal = MAX (grant, heard);
        double terminated
            = (double)last_renewal + (double)a.hold_ms / slowest_clock_rate;

        g_assert_cmpfloat ((double)hk_authority_terminated_at (&a, grant)
                               + (grant < heard ? 1e9 : 0),
                           >, terminated);
        /* A successor knows only the time of its takeover. */
        g_assert_cmpint (hk_authority_predecessor_until (&a, confirmed), >=,
                         grant);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/share/" #name, name)
  ADD (jobs_in_time_precede_late_and_expired_jobs);
  ADD (overload_keeps_half_of_the_jobs_in_time);
  ADD (jobs_past_the_cutoff_are_rejected_with_retry_after);
  ADD (service_and_best_effort_tasks_are_kept_apart);
  ADD (service_tasks_are_consolidated_by_image);
  ADD (consolidation_moves_end);
  ADD (expected_speed_counts_tasks_already_placed);
  ADD (best_effort_tasks_wait_rather_than_run_slowly);
  ADD (slow_and_failing_instances_are_the_last_choice);
  ADD (capacity_and_per_instance_limit_are_respected);
  ADD (only_interfering_tasks_are_throttled);
  ADD (all_best_effort_tasks_stop_while_a_tail_stays_over_target);
  ADD (one_sample_within_target_stops_no_task);
  ADD (repeated_sample_within_target_lowers_no_speed);
  ADD (low_headroom_that_persists_stops_a_task);
  ADD (sample_over_target_stops_a_task_at_once);
  ADD (speed_rises_only_after_the_last_change_is_measured);
  ADD (changes_of_other_tasks_do_not_hold_a_speed);
  ADD (interference_is_learned_under_varying_load);
  ADD (one_observation_reveals_strong_interference);
  ADD (estimates_outlive_their_coordinator);
  ADD (number_of_pairs_is_bounded);
  ADD (lease_grants_end_with_the_authority_of_the_coordinator);
  ADD (runs_terminate_before_they_are_placed_again);
  return g_test_run ();
}

/* Decisions under load: order and admission, placement, pace of fillers,
   pressure, grants. Each test replays the load that the decision answers. */
#include <glib.h>

#include "hyssopkeel/authority.h"
#include "hyssopkeel/order.h"
#include "hyssopkeel/pacing.h"
#include "hyssopkeel/pressure.h"
#include "hyssopkeel/slots.h"

/* Order and admission */

static struct hk_order_view
aged (int64_t age_ms)
{
  return (struct hk_order_view){
    .urgency = 1,
    .age_ms = age_ms,
    .objective_ms = 10000,
    .remaining_ms = 4000,
    .work = 1000,
    .remaining_work = 1000,
    .mean_work = 1000,
  };
}

static void
work_in_time_goes_before_work_that_is_late (void)
{
  struct hk_order_view young = aged (1000);
  struct hk_order_view old = aged (5000);
  struct hk_order_view late = aged (9000);
  struct hk_order_view lost = aged (29000);
  struct hk_order_view urgent = aged (1000);
  struct hk_order_view lasting = aged (100);

  urgent.urgency = 0;
  lasting.lasts = TRUE;
  lasting.urgency = 0;
  /* What is nearly done comes first. */
  old.remaining_work = 500;
  g_assert_cmpfloat (hk_order_key (&old), <, hk_order_key (&young));
  g_assert_cmpfloat (hk_order_key (&young), <, hk_order_key (&late));
  g_assert_cmpfloat (hk_order_key (&late), <, hk_order_key (&lost));
  g_assert_cmpfloat (hk_order_key (&urgent), <, hk_order_key (&old));
  g_assert_cmpfloat (hk_order_key (&lasting), <, hk_order_key (&urgent));
  g_assert_cmpint (hk_order_class (&lost), ==, HK_ORDER_HOPELESS);
  g_assert_cmpint (hk_order_class (&late), ==, HK_ORDER_LATE);
  g_assert_cmpint (hk_order_class (&young), ==, HK_ORDER_IN_TIME);
}

/* Twice the load that can be served, for a minute; in the order of arrival
   (the plain way) all comes late, in the order of this project half is in
   time. */
struct served
{
  unsigned in_time;
};

#define REPLAY_JOBS 120
#define REPLAY_WORK_MS 1000
#define REPLAY_EVERY_MS 500

static struct served
replay (gboolean plain)
{
  int64_t arrived[REPLAY_JOBS];
  gboolean done[REPLAY_JOBS] = { FALSE };
  struct served s = { 0 };
  int64_t now = 0;
  unsigned n = 0;

  while (now < REPLAY_JOBS * REPLAY_EVERY_MS * 2)
    {
      int best = -1;
      double best_key = 0;

      for (; n < REPLAY_JOBS && n * REPLAY_EVERY_MS <= now; n++)
        arrived[n] = n * REPLAY_EVERY_MS;
      for (unsigned i = 0; i < n; i++)
        {
          struct hk_order_view v = { .urgency = 1,
                                     .age_ms = now - arrived[i],
                                     .objective_ms = 4000,
                                     .remaining_ms = REPLAY_WORK_MS,
                                     .work = 1,
                                     .remaining_work = 1,
                                     .mean_work = 1 };
          double key = plain ? (double)arrived[i] : hk_order_key (&v);

          if (!done[i] && (best < 0 || key < best_key))
            {
              best = (int)i;
              best_key = key;
            }
        }
      if (best >= 0)
        {
          done[best] = TRUE;
          if (now + REPLAY_WORK_MS - arrived[best] <= 4000)
            s.in_time++;
        }
      now += REPLAY_WORK_MS;
    }
  return s;
}

static void
overload_leaves_half_in_time (void)
{
  struct served plain = replay (TRUE);
  struct served ours = replay (FALSE);

  g_test_message ("in time: plain %u, ours %u of %d", plain.in_time,
                  ours.in_time, REPLAY_JOBS);
  g_assert_cmpuint (plain.in_time, <, REPLAY_JOBS / 8);
  g_assert_cmpuint (ours.in_time, >=, REPLAY_JOBS * 2 / 5);
}

static void
hopeless_work_is_refused_with_a_time_to_return (void)
{
  struct hk_admission_view v = { .backlog_core_ms = 100000,
                                 .rate_cores = 10,
                                 .objective_ms = 10000,
                                 .chain_ms = 4000,
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

/* Placement */

static struct hk_slots_view
instance (int64_t cpu_free)
{
  return (struct hk_slots_view){ .cpu_milli = 64000,
                                 .cpu_free_milli = cpu_free,
                                 .memory_free_mb = 100000,
                                 .fill_room_milli = cpu_free,
                                 .pace = 1.0,
                                 .slowness = 1.0,
                                 .usable = TRUE };
}

static void
serving_tasks_are_packed_and_fillers_kept_away (void)
{
  struct hk_slots_view v[2] = { instance (20000), instance (64000) };
  struct hk_slots_need serving = { .cpu_milli = 13000, .lasts = TRUE };
  struct hk_slots_need quick = { .cpu_milli = 1000 };
  struct hk_slots_need filler = { .cpu_milli = 7000, .fills = TRUE };

  v[0].serving = 1;
  v[0].burden = 0.9;
  v[0].same_image = 1;
  g_assert_cmpint (hk_slots_choose (v, 2, &serving), ==, 0);
  g_assert_cmpint (hk_slots_choose (v, 2, &quick), ==, 0);
  g_assert_cmpint (hk_slots_choose (v, 2, &filler), ==, 1);
  /* A filler that presses on nothing there leaves the free instance alone. */
  v[0].burden = 0.05;
  v[0].fill_room_milli = 60000;
  g_assert_cmpint (hk_slots_choose (v, 2, &filler), ==, 0);
}

/* A mix of serving images leaves no filler that disturbs none of them. */
static void
serving_tasks_of_one_image_go_together (void)
{
  struct hk_slots_view v[3]
      = { instance (30000), instance (40000), instance (64000) };
  struct hk_slots_need serving = { .cpu_milli = 13000, .lasts = TRUE };

  v[0].serving = v[1].serving = 1;
  v[0].other_images = 1;
  v[1].same_image = 2;
  g_assert_cmpint (hk_slots_choose (v, 3, &serving), ==, 1);
  /* Rather alone than beside others. */
  v[1].usable = FALSE;
  g_assert_cmpint (hk_slots_choose (v, 3, &serving), ==, 2);
  v[2].usable = FALSE;
  g_assert_cmpint (hk_slots_choose (v, 3, &serving), ==, 0);
}

/* Moves end: each goes to more of its own kind and to no more others. */
static void
serving_tasks_gather_and_stay (void)
{
  struct hk_slots_view from = instance (0);
  struct hk_slots_view to = instance (20000);

  from.other_images = 1;
  to.same_image = 2;
  g_assert_true (hk_slots_regroup (&from, &to));
  g_assert_false (hk_slots_regroup (&to, &from));
  to.other_images = 2;
  g_assert_false (hk_slots_regroup (&from, &to));
  to.other_images = 0;
  from.same_image = 2;
  g_assert_false (hk_slots_regroup (&from, &to));
  from.same_image = 0;
  to.slowness = 4.0;
  g_assert_false (hk_slots_regroup (&from, &to));
  to.slowness = 1.0;
  from.other_images = 0;
  g_assert_false (hk_slots_regroup (&from, &to));
}

/* What is already placed counts, whether the tails show it yet or not. */
static void
expected_pace_counts_what_is_on_its_way (void)
{
  g_assert_cmpfloat (hk_pacing_expect (2.5, 0, 0.8), ==, 1.0);
  g_assert_cmpfloat (hk_pacing_expect (2.5, 0.8, 0.8), <, 0.6);
  g_assert_cmpfloat (hk_pacing_expect (2.5, 1.6, 0.8), ==, 0.0);
  /* What hardly presses runs even at a peak. */
  g_assert_cmpfloat (hk_pacing_expect (1.1, 1.6, 0.03), ==, 1.0);
}

static void
fillers_wait_rather_than_crawl (void)
{
  struct hk_slots_view v[1] = { instance (64000) };
  struct hk_slots_need filler = { .cpu_milli = 7000, .fills = TRUE };

  v[0].serving = 1;
  v[0].pace = 0.2;
  g_assert_cmpint (hk_slots_choose (v, 1, &filler), ==, -1);
  filler.starving = TRUE;
  g_assert_cmpint (hk_slots_choose (v, 1, &filler), ==, 0);
}

static void
bad_instances_are_the_last_choice (void)
{
  struct hk_slots_view v[3]
      = { instance (60000), instance (30000), instance (10000) };
  struct hk_slots_need quick = { .cpu_milli = 1000 };

  v[0].failing = 0.9;
  v[1].slowness = 4.0;
  g_assert_cmpint (hk_slots_choose (v, 3, &quick), ==, 2);
  v[2].usable = FALSE;
  g_assert_cmpint (hk_slots_choose (v, 3, &quick), >=, 0);
}

static void
capacity_and_spread_are_kept (void)
{
  struct hk_slots_view v[1] = { instance (1000) };
  struct hk_slots_need need = { .cpu_milli = 1001 };

  g_assert_cmpint (hk_slots_choose (v, 1, &need), ==, -1);
  need.cpu_milli = 1000;
  need.per_instance_max = 2;
  v[0].same_step = 2;
  g_assert_cmpint (hk_slots_choose (v, 1, &need), ==, -1);
  v[0].same_step = 1;
  g_assert_cmpint (hk_slots_choose (v, 1, &need), ==, 0);
  need.memory_mb = 200000;
  g_assert_cmpint (hk_slots_choose (v, 1, &need), ==, -1);
}

/* Pace */

static void
only_what_presses_is_slowed (void)
{
  struct hk_pacing_filler f[2]
      = { { .share = 0.1, .used = 0.1, .percent = 100 },
          { .share = 0.1, .used = 0.1, .percent = 100 } };
  const double rooms[] = { 0.95, 2.5 };
  /* The first presses on the one that is over, the second on the other. */
  const double press[] = { 5.0, 0.1, 0.1, 0.5 };
  struct hk_pacing_view v = { .fillers = f,
                              .n_fillers = 2,
                              .headroom = rooms,
                              .n_serving = 2,
                              .press = press,
                              .settled = TRUE };

  hk_pacing_decide (&v);
  g_assert_cmpuint (f[0].percent, <, 60);
  g_assert_cmpuint (f[1].percent, ==, 100);
}

static void
everything_stops_while_a_tail_stays_over (void)
{
  struct hk_pacing_filler f[1]
      = { { .share = 0.1, .used = 0, .percent = 100 } };
  const double rooms[] = { 0.83 };
  const double press[] = { 0.05 };
  struct hk_pacing_view v = { .fillers = f,
                              .n_fillers = 1,
                              .headroom = rooms,
                              .n_serving = 1,
                              .press = press,
                              .settled = TRUE,
                              .over_ms = 2000 };

  hk_pacing_decide (&v);
  g_assert_cmpuint (f[0].percent, ==, 0);
}

static void
nothing_rises_before_the_figures_show_it (void)
{
  struct hk_pacing_filler f[1]
      = { { .share = 0.1, .used = 0.02, .percent = 20 } };
  const double rooms[] = { 3.3 };
  const double press[] = { 1.0 };
  struct hk_pacing_view v = { .fillers = f,
                              .n_fillers = 1,
                              .headroom = rooms,
                              .n_serving = 1,
                              .press = press };

  hk_pacing_decide (&v);
  g_assert_cmpuint (f[0].percent, ==, 20);
  v.settled = TRUE;
  hk_pacing_decide (&v);
  g_assert_cmpuint (f[0].percent, ==, 100);
}

/* Serving tasks of one job swing together; on each instance fillers of other
   images press on them. */
#define INSTANCES 6
#define IMAGES 4

static void
pressure_is_learned_under_a_swinging_load (void)
{
  static const char *const images[IMAGES] = { "heavy", "a", "b", "c" };
  static const double truth[IMAGES] = { 8.0, 0.0, 0.1, 3.0 };
  struct hk_pressure p;
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  double variance;

  hk_pressure_init (&p);
  for (int step = 0; step < 25; step++)
    for (int i = 0; i < INSTANCES; i++)
      {
        struct hk_pressure_use uses[2];
        double fall = g_rand_double_range (rand, -0.4, 0.4);

        for (int k = 0; k < 2; k++)
          {
            int which = (step / 5 + i + k) % IMAGES;

            uses[k].image = images[which];
            uses[k].share = 0.08 + 0.04 * k;
            fall += truth[which] * uses[k].share;
          }
        hk_pressure_learn (&p, "serving", fall, 0.06, uses, 2);
      }
  for (int k = 0; k < IMAGES; k++)
    g_assert_cmpfloat_with_epsilon (hk_pressure_get (&p, "serving", images[k]),
                                    truth[k], 1.0);
  g_assert_cmpfloat (hk_pressure_get (&p, "other", "heavy"), >, 0.5);
  hk_pressure_fall (&p, "serving", &(struct hk_pressure_use){ "heavy", 0.1 },
                    1, &variance);
  g_assert_cmpfloat (variance, <, 0.01);
  hk_pressure_finish (&p);
}

/* The first sight of a heavy pair is enough to keep it apart. */
static void
one_observation_tells_a_heavy_pair (void)
{
  struct hk_pressure p;
  struct hk_pressure_use use = { "heavy", 0.1 };
  double guess;

  hk_pressure_init (&p);
  guess = hk_pressure_get (&p, "serving", "heavy");
  hk_pressure_learn (&p, "serving", 1.0, 0.06, &use, 1);
  g_assert_cmpfloat (hk_pressure_get (&p, "serving", "heavy"), >, 3 * guess);
  hk_pressure_learn (&p, "quiet", 0.0, 0.06, &use, 1);
  hk_pressure_learn (&p, "quiet", 0.0, 0.06, &use, 1);
  g_assert_cmpfloat (hk_pressure_get (&p, "quiet", "heavy"), <, guess / 2);
  hk_pressure_finish (&p);
}

static void
count_pair (const char *serving, const char *filler, double value, void *user)
{
  g_assert_cmpstr (serving, ==, "serving");
  g_assert_cmpstr (filler, ==, "heavy");
  g_assert_cmpfloat (value, ==, 8.0);
  ++*(int *)user;
}

/* What agents kept of it is worth less than what was seen since. */
static void
pressure_outlives_its_coordinator (void)
{
  struct hk_pressure agent;
  struct hk_pressure next;
  struct hk_pressure_use use = { "heavy", 0.1 };
  int n = 0;

  hk_pressure_init (&agent);
  hk_pressure_init (&next);
  hk_pressure_set (&agent, "serving", "heavy", 8.0);
  hk_pressure_foreach (&agent, count_pair, &n);
  g_assert_cmpint (n, ==, 1);
  hk_pressure_seed (&next, "serving", "heavy", 8.0);
  g_assert_cmpfloat (hk_pressure_get (&next, "serving", "heavy"), ==, 8.0);
  hk_pressure_learn (&next, "serving", 0.1, 0.06, &use, 1);
  hk_pressure_seed (&next, "serving", "heavy", 8.0);
  g_assert_cmpfloat (hk_pressure_get (&next, "serving", "heavy"), <, 8.0);
  hk_pressure_finish (&agent);
  hk_pressure_finish (&next);
}

/* Images come and go for months. */
static void
pairs_are_bounded (void)
{
  struct hk_pressure p;

  hk_pressure_init (&p);
  for (int i = 0; i < 20000; i++)
    {
      g_autofree char *image = g_strdup_printf ("%d", i);

      hk_pressure_set (&p, image, "filler", 1.0);
    }
  g_assert_cmpuint (g_hash_table_size (p.pairs), <=, 4096);
  hk_pressure_finish (&p);
}

/* Grants */

static void
grants_end_with_the_coordinators_own_authority (void)
{
  struct hk_authority a = { 12000, 2500, 4000 };

  g_assert_cmpint (hk_authority_grant_until (&a, 100000, 99000), ==, 102500);
  g_assert_cmpint (hk_authority_grant_until (&a, 100000, 89000), ==, 101000);
  g_assert_cmpint (hk_authority_grant_until (&a, 100000, 80000), <, 100000);
}

/* Whatever order things happen in: a run is over before it is given away. */
static void
runs_are_over_before_they_are_given_away (void)
{
  struct hk_authority a = { 12000, 2500, 4000 };
  const double slowest = 0.98;

  for (int64_t confirmed = 0; confirmed < 20000; confirmed += 500)
    for (int64_t heard = confirmed; heard < confirmed + 15000; heard += 500)
      {
        int64_t grant = hk_authority_grant_until (&a, heard, confirmed);
        int64_t last_hold = MAX (grant, heard);
        double over = (double)last_hold + (double)a.hold_ms / slowest;

        g_assert_cmpfloat ((double)hk_authority_gone_at (&a, grant)
                               + (grant < heard ? 1e9 : 0),
                           >, over);
        /* A successor knows only when it took over. */
        g_assert_cmpint (hk_authority_inherited_until (&a, confirmed), >=,
                         grant);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/share/" #name, name)
  ADD (work_in_time_goes_before_work_that_is_late);
  ADD (overload_leaves_half_in_time);
  ADD (hopeless_work_is_refused_with_a_time_to_return);
  ADD (serving_tasks_are_packed_and_fillers_kept_away);
  ADD (serving_tasks_of_one_image_go_together);
  ADD (serving_tasks_gather_and_stay);
  ADD (expected_pace_counts_what_is_on_its_way);
  ADD (fillers_wait_rather_than_crawl);
  ADD (bad_instances_are_the_last_choice);
  ADD (capacity_and_spread_are_kept);
  ADD (only_what_presses_is_slowed);
  ADD (everything_stops_while_a_tail_stays_over);
  ADD (nothing_rises_before_the_figures_show_it);
  ADD (pressure_is_learned_under_a_swinging_load);
  ADD (one_observation_tells_a_heavy_pair);
  ADD (pressure_outlives_its_coordinator);
  ADD (pairs_are_bounded);
  ADD (grants_end_with_the_coordinators_own_authority);
  ADD (runs_are_over_before_they_are_given_away);
  return g_test_run ();
}

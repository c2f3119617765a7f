/* Unit tests of the policies that agents and entries use for requests: ledger,
   concurrency limits, placement, retry budget, health, interference. */
#include <glib.h>

#include "hyssopkeel/error.h"
#include "hyssopkeel/health.h"
#include "hyssopkeel/interference.h"
#include "hyssopkeel/ledger.h"
#include "hyssopkeel/limits.h"
#include "hyssopkeel/placement.h"
#include "hyssopkeel/report_order.h"
#include "hyssopkeel/retry.h"

static void
ledger_rejects_bookings_over_capacity (void)
{
  struct hk_ledger l = { .total = { 2, 4000, 1000, 1 } };
  struct hk_size big = { 1, 1000, 900, 0 };
  struct hk_size gpu = { 1, 1000, 50, 1 };

  g_assert_cmpint (hk_ledger_book (&l, &big), ==, HK_OK);
  g_assert_cmpint (hk_ledger_book (&l, &big), ==, HK_ERR_FULL);
  g_assert_cmpint (hk_ledger_book (&l, &gpu), ==, HK_OK);
  g_assert_cmpint (hk_ledger_book (&l, &gpu), ==, HK_ERR_FULL);
  hk_ledger_release (&l, &big);
  g_assert_cmpint (l.used.memory_mb, ==, 50);
  g_assert_cmpint (l.used.slots, ==, 1);
}

static void
learned_memory_fits_where_the_use_fits (void)
{
  g_assert_cmpint (hk_size_learned_memory (1000, 4000), ==, 1200);
  g_assert_cmpint (hk_size_learned_memory (3500, 4000), ==, 4000);
  /* A use above the memory of the instance needs a larger instance. */
  g_assert_cmpint (hk_size_learned_memory (4500, 4000), ==, 4500);
}

static void
init_limits (struct hk_limits *l)
{
  *l = (struct hk_limits){ .slots = 8, .n = 2 };
  l->rows[0]
      = (struct hk_route_limit){ .name = "check", .floor = 4, .urgency = 9 };
  l->rows[1]
      = (struct hk_route_limit){ .name = "batch", .floor = 2, .urgency = 1 };
}

static void
limits_lend_unused_slots (void)
{
  struct hk_limits l;

  init_limits (&l);
  l.rows[1].running = 7;
  g_assert_true (hk_limits_may_start (&l, &l.rows[1], 0));
  l.rows[1].running = 8;
  g_assert_false (hk_limits_may_start (&l, &l.rows[1], 0));
}

static void
limits_reserve_slots_for_recent_demand (void)
{
  struct hk_limits l;

  init_limits (&l);
  l.rows[0].running = 3;
  hk_limits_record_demand (&l.rows[0], 1000);
  l.rows[0].running = 0;
  l.rows[1].running = 5;
  /* Three slots are free, and the other route needed three 10 ms ago. */
  g_assert_false (hk_limits_may_start (&l, &l.rows[1], 1010));
  g_assert_true (hk_limits_may_start (&l, &l.rows[0], 1010));
  /* The peak demand has decayed, so the floor may be borrowed again. */
  g_assert_true (hk_limits_may_start (&l, &l.rows[1], 20000));
}

static void
limits_serve_floors_before_urgency (void)
{
  struct hk_limits l;

  init_limits (&l);
  l.rows[0].running = 7;
  l.rows[0].queued = 5;
  l.rows[1].queued = 1;
  g_assert_true (hk_limits_next_route (&l, 0) == &l.rows[1]);
  l.rows[1].running = 1;
  l.rows[0].running = 3;
  g_assert_true (hk_limits_next_route (&l, 0) == &l.rows[0]);
}

static void
limits_reject_requests_that_miss_the_deadline (void)
{
  struct hk_limits l;

  init_limits (&l);
  l.rows[0].running = 8;
  l.rows[0].queued = 7;
  l.rows[0].service_us = 1000;
  /* Eight requests of 1 ms, the new one included, take 2 ms on the four slots
     of the floor, and the service of the new one takes 1 ms more. The four
     borrowed slots do not count. */
  g_assert_true (hk_limits_meets_deadline (&l, &l.rows[0], 3, 0));
  g_assert_false (hk_limits_meets_deadline (&l, &l.rows[0], 2, 0));
  l.rows[0].running = 0;
  l.rows[0].queued = 0;
  g_assert_true (hk_limits_meets_deadline (&l, &l.rows[0], 1, 0));
  /* A route without a slot queues one request at most. */
  l.rows[0].floor = 0;
  l.rows[1].running = 8;
  l.rows[0].queued = 1;
  g_assert_false (hk_limits_meets_deadline (&l, &l.rows[0], 60000, 0));
}

static void
limits_round_small_shares_up_to_a_slot (void)
{
  g_assert_cmpint (hk_limits_floor_slots (8, 0), ==, 0);
  g_assert_cmpint (hk_limits_floor_slots (8, 1), ==, 1);
  g_assert_cmpint (hk_limits_floor_slots (8, 25), ==, 2);
  g_assert_cmpint (hk_limits_floor_slots (8, 100), ==, 8);
}

#define N_CANDIDATES 200

static void
init_candidates (struct hk_candidate *all, const struct hk_candidate **view,
                 size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      all[i] = (struct hk_candidate){ .id = (guint)i + 1,
                                      .slots = 8,
                                      .free = { 8, 8000, 8000, 0 },
                                      .total = { 8, 8000, 8000, 0 },
                                      .slowdown_percent = 100,
                                      .available = TRUE };
      view[i] = &all[i];
    }
}

static void
placement_prefers_idle_instance (void)
{
  struct hk_candidate all[5];
  const struct hk_candidate *view[5];
  struct hk_place_query q = { 0 };
  g_autoptr (GRand) random = g_rand_new_with_seed (1);

  init_candidates (all, view, 5);
  for (int i = 0; i < 5; i++)
    all[i].busy = i == 3 ? 0 : 6;
  for (int i = 0; i < 100; i++)
    g_assert_cmpint (hk_place (view, 5, &q, random), ==, 3);
}

static void
placement_avoids_slow_and_tried_instances (void)
{
  struct hk_candidate all[3];
  const struct hk_candidate *view[3];
  guint tried[] = { 3 };
  struct hk_place_query q = { .tried = tried, .n_tried = 1 };
  g_autoptr (GRand) random = g_rand_new_with_seed (1);

  init_candidates (all, view, 3);
  all[0].slowdown_percent = 300;
  for (int i = 0; i < 50; i++)
    g_assert_cmpint (hk_place (view, 3, &q, random), ==, 1);
}

static void
placement_uses_set_aside_instance_as_last_resort (void)
{
  struct hk_candidate all[2];
  const struct hk_candidate *view[2];
  struct hk_place_query q = { .now_ms = 10 };
  g_autoptr (GRand) random = g_rand_new_with_seed (1);

  init_candidates (all, view, 2);
  all[0].set_aside_until_ms = 20;
  g_assert_cmpint (hk_place (view, 2, &q, random), ==, 1);
  all[1].available = FALSE;
  g_assert_cmpint (hk_place (view, 2, &q, random), ==, 0);
  all[0].available = FALSE;
  g_assert_cmpint (hk_place (view, 2, &q, random), ==, -1);
}

static void
placement_finds_the_only_instance_that_fits (void)
{
  static struct hk_candidate all[N_CANDIDATES];
  static const struct hk_candidate *view[N_CANDIDATES];
  struct hk_place_query q = { .need = { 1, 1000, 9000, 0 } };
  g_autoptr (GRand) random = g_rand_new_with_seed (1);

  init_candidates (all, view, N_CANDIDATES);
  g_assert_cmpint (hk_place (view, N_CANDIDATES, &q, random), ==, -1);
  all[150].free.memory_mb = 9000;
  g_assert_cmpint (hk_place (view, N_CANDIDATES, &q, random), ==, 150);
}

static void
placement_balances_better_than_random (void)
{
  static struct hk_candidate all[N_CANDIDATES];
  static const struct hk_candidate *view[N_CANDIDATES];
  struct hk_place_query q = { 0 };
  g_autoptr (GRand) random = g_rand_new_with_seed (7);
  int64_t max_busy[2] = { 0, 0 };

  for (int baseline = 0; baseline < 2; baseline++)
    {
      init_candidates (all, view, N_CANDIDATES);
      for (int i = 0; i < N_CANDIDATES * 8; i++)
        all[baseline ? hk_place_random (view, N_CANDIDATES, &q, random)
                     : hk_place (view, N_CANDIDATES, &q, random)]
            .busy++;
      for (int i = 0; i < N_CANDIDATES; i++)
        max_busy[baseline] = MAX (max_busy[baseline], all[i].busy);
    }
  g_assert_cmpint (max_busy[0], <=, 10);
  g_assert_cmpint (max_busy[1], >, 12);
}

static void
retries_stay_within_budget (void)
{
  struct hk_retry_budget b;
  int taken = 0;

  hk_retry_init (&b);
  while (hk_retry_take (&b))
    taken++;
  for (int i = 0; i < 1000; i++)
    {
      hk_retry_success (&b, 10);
      taken += hk_retry_take (&b);
    }
  g_assert_cmpint (taken, >=, 100);
  g_assert_cmpint (taken, <=, 111);
}

static void
health_sets_aside_with_growing_backoff (void)
{
  struct hk_health h = { 0 };

  for (int i = 0; i < 4; i++)
    g_assert_false (hk_health_failure (&h, 5, 100));
  g_assert_true (hk_health_failure (&h, 5, 100));
  g_assert_cmpint (h.set_aside_until_ms, >, 100);
  /* The probe fails: the instance is set aside for twice as long. */
  int64_t first_backoff_ms = h.backoff_ms;
  g_assert_true (hk_health_failure (&h, 5, h.set_aside_until_ms));
  g_assert_cmpint (h.backoff_ms, ==, first_backoff_ms * 2);
  hk_health_success (&h);
  g_assert_cmpint (h.set_aside_until_ms, ==, 0);
}

static enum hk_interference_action
run_window (struct hk_interference *f, double us, int64_t *now)
{
  for (int i = 0; i < 10; i++)
    hk_interference_sample (f, us, TRUE);
  *now += 500;
  return hk_interference_decide (f, 120, *now);
}

static void
interference_throttles_then_evicts_then_cools_down (void)
{
  struct hk_interference f = { 0 };
  int64_t now = 1000;

  for (int i = 0; i < 4; i++)
    g_assert_cmpint (run_window (&f, 1000, &now), ==, HK_INTERFERENCE_NONE);
  /* One slow window is not enough to act. */
  g_assert_cmpint (run_window (&f, 2000, &now), ==, HK_INTERFERENCE_NONE);
  g_assert_cmpint (run_window (&f, 1000, &now), ==, HK_INTERFERENCE_NONE);
  g_assert_cmpint (run_window (&f, 2000, &now), ==, HK_INTERFERENCE_NONE);
  g_assert_cmpint (run_window (&f, 2000, &now), ==, HK_INTERFERENCE_THROTTLE);
  for (int i = 0; i < 3; i++)
    g_assert_cmpint (run_window (&f, 2000, &now), ==, HK_INTERFERENCE_NONE);
  g_assert_cmpint (run_window (&f, 2000, &now), ==, HK_INTERFERENCE_EVICT);
  for (int i = 0; i < 3; i++)
    g_assert_cmpint (run_window (&f, 1000, &now), ==, HK_INTERFERENCE_NONE);
}

static void
interference_decays_without_samples (void)
{
  struct hk_interference f = { 0 };
  int64_t now = 1000;

  run_window (&f, 1000, &now);
  run_window (&f, 3000, &now);
  g_assert_cmpint (f.slowdown_percent, >, 200);
  for (int i = 0; i < 10; i++)
    {
      now += 500;
      hk_interference_decide (&f, 120, now);
    }
  g_assert_cmpint (f.slowdown_percent, <, 120);
}

/* Reports */

static void
late_reports_are_told_from_a_series (void)
{
  struct hk_report_order o;

  hk_report_order_init (&o);
  g_assert_cmpint (hk_report_order_check (&o, 7, 1000), ==,
                   HK_REPORT_ACCEPTED);
  g_assert_cmpint (hk_report_order_check (&o, 9, 2000), ==,
                   HK_REPORT_ACCEPTED);
  /* Those that a partition had delayed arrive together. */
  g_assert_cmpint (hk_report_order_check (&o, 7, 2100), ==, HK_REPORT_LATE);
  g_assert_cmpint (hk_report_order_check (&o, 8, 2100), ==, HK_REPORT_LATE);
  g_assert_cmpint (hk_report_order_check (&o, 9, 2100), ==, HK_REPORT_LATE);
  g_assert_cmpint (hk_report_order_check (&o, 10, 3000), ==,
                   HK_REPORT_ACCEPTED);
  /* Repeated for long, but not rising. */
  for (int64_t now = 4000; now < 9000; now += 500)
    g_assert_cmpint (hk_report_order_check (&o, 6, now), ==, HK_REPORT_LATE);
}

static void
numbers_that_lie_are_recovered_from (void)
{
  struct hk_report_order o;
  int64_t now = 1000;
  int n = 1;

  hk_report_order_init (&o);
  g_assert_cmpint (hk_report_order_check (&o, G_MAXINT64, now), ==,
                   HK_REPORT_ACCEPTED);
  while (hk_report_order_check (&o, n, now) != HK_REPORT_ACCEPTED)
    {
      n++;
      now += 1100;
    }
  g_assert_cmpint (n, ==, 3);
  g_assert_cmpint (hk_report_order_check (&o, n + 1, now + 1100), ==,
                   HK_REPORT_ACCEPTED);
  g_assert_cmpint (hk_report_order_check (&o, G_MAXINT64, now + 1200), ==,
                   HK_REPORT_IMPLAUSIBLE);
  /* An endpoint that counts in large steps is heard after a while. */
  g_assert_cmpint (hk_report_order_check (&o, 1000000, now + 1300), ==,
                   HK_REPORT_IMPLAUSIBLE);
  g_assert_cmpint (hk_report_order_check (&o, 2000000, now + 2400), ==,
                   HK_REPORT_IMPLAUSIBLE);
  g_assert_cmpint (hk_report_order_check (&o, 3000000, now + 3500), ==,
                   HK_REPORT_ACCEPTED);
  hk_report_order_init (&o);
  hk_report_order_check (&o, n, now);
  /* An agent that was away for an hour. */
  g_assert_cmpint (hk_report_order_check (&o, 3000, now + 3600000), ==,
                   HK_REPORT_ACCEPTED);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(path, fn) g_test_add_func (path, fn)
  ADD ("/ledger/refuses", ledger_rejects_bookings_over_capacity);
  ADD ("/ledger/learned_sizes", learned_memory_fits_where_the_use_fits);
  ADD ("/limits/lend", limits_lend_unused_slots);
  ADD ("/limits/reserve", limits_reserve_slots_for_recent_demand);
  ADD ("/limits/order", limits_serve_floors_before_urgency);
  ADD ("/limits/wait", limits_reject_requests_that_miss_the_deadline);
  ADD ("/limits/floor", limits_round_small_shares_up_to_a_slot);
  ADD ("/placement/idle", placement_prefers_idle_instance);
  ADD ("/placement/avoid", placement_avoids_slow_and_tried_instances);
  ADD ("/placement/last-resort",
       placement_uses_set_aside_instance_as_last_resort);
  ADD ("/placement/fit", placement_finds_the_only_instance_that_fits);
  ADD ("/placement/spread", placement_balances_better_than_random);
  ADD ("/retry/share", retries_stay_within_budget);
  ADD ("/health/probe", health_sets_aside_with_growing_backoff);
  ADD ("/interference/steps",
       interference_throttles_then_evicts_then_cools_down);
  ADD ("/interference/forgotten", interference_decays_without_samples);
  ADD ("/report_order/late", late_reports_are_told_from_a_series);
  ADD ("/report_order/lies", numbers_that_lie_are_recovered_from);
#undef ADD
  return g_test_run ();
}

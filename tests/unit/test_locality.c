/* How long tasks wait for a slot near their data: replays tasks of 0.8 s with
   data on four racks, with an even load and with one hot rack, and compares
   the decision with placing anywhere, strict locality and a fixed wait. */
#include <glib.h>
#include <math.h>

#include "hyssopkeel/locality.h"

#define RACKS 4
#define SLOTS 8 /* of a rack */
#define TASKS 4000
#define SEEDS 4
#define RUN_MS 800.0
#define STEP_MS 10
/* Share of the slots that is used if every task runs near its data. */
#define BUSY 0.5
/* Share of the tasks that is added to the share of one rack, which has 0.6 of
   all tasks then. */
#define HOT_SHARE ((0.6 - 1.0 / RACKS) / (1.0 - 1.0 / RACKS))
#define FIXED_WAIT_MS 500.0

enum rule
{
  RULE_NONE,
  RULE_STRICT,
  RULE_FIXED,
  RULE_DECISION,
  RULES
};

struct task
{
  double came_ms;
  unsigned rack;
  gboolean placed;
};

struct replay
{
  enum rule rule;
  double factor;
  double now;
  double response_ms; /* sum */
  struct task tasks[TASKS];
  double free_at[RACKS][SLOTS];
  struct hk_locality_slots slots[RACKS];
  struct hk_locality_queue queues[RACKS];
};

static double
next_random (guint32 *seed)
{
  *seed = *seed * 1664525U + 1013904223U;
  return (double)(*seed >> 8) / (double)(1U << 24);
}

static gboolean
start (struct replay *r, struct task *t, unsigned rack)
{
  double run_ms = rack == t->rack ? RUN_MS : RUN_MS * r->factor;

  for (unsigned i = 0; i < SLOTS; i++)
    if (r->free_at[rack][i] <= r->now)
      {
        r->free_at[rack][i] = r->now + run_ms;
        r->response_ms += r->now + run_ms - t->came_ms;
        t->placed = TRUE;
        return TRUE;
      }
  return FALSE;
}

static gboolean
waits (struct replay *r, const struct task *t)
{
  struct hk_locality_view v = {
    .expected_wait_ms = hk_locality_slots_wait (&r->slots[t->rack]),
    .run_ms = RUN_MS,
    .factor = r->factor,
    .waited_ms = (int64_t)(r->now - t->came_ms),
    .left_ms = 5000,
    .limit_ms = HK_LOCALITY_WAIT_MAX_MS,
  };

  hk_locality_queue_note (&r->queues[t->rack], (int64_t)r->now);
  v.queued_ms
      = hk_locality_queue_age_ms (&r->queues[t->rack], (int64_t)r->now);
  if (r->rule == RULE_STRICT)
    return TRUE;
  if (r->rule == RULE_FIXED)
    return r->now - t->came_ms < FIXED_WAIT_MS;
  if (r->rule == RULE_NONE || !hk_locality_decide (&v).wait)
    return FALSE;
  hk_locality_slots_take (&r->slots[t->rack], RUN_MS);
  return TRUE;
}

static void
place (struct replay *r, struct task *t)
{
  if (r->rule != RULE_NONE && (start (r, t, t->rack) || waits (r, t)))
    return;
  for (unsigned i = 0; i < RACKS && !t->placed; i++)
    start (r, t, (unsigned)(t - r->tasks + i) % RACKS);
}

static void
observe_racks (struct replay *r)
{
  for (unsigned k = 0; k < RACKS; k++)
    {
      r->slots[k].n = 0;
      for (unsigned i = 0; i < SLOTS; i++)
        hk_locality_slots_add (&r->slots[k],
                               MAX (r->free_at[k][i] - r->now, 0), 1);
    }
}

/* Mean response time, milliseconds. */
static double
replay (enum rule rule, double factor, double hot_share, guint32 seed)
{
  g_autofree struct replay *r = g_new0 (struct replay, 1);
  double gap_ms = RUN_MS / (RACKS * SLOTS * BUSY);
  unsigned first = 0;

  r->rule = rule;
  r->factor = factor;
  for (unsigned i = 0; i < TASKS; i++)
    {
      r->tasks[i].came_ms = (i > 0 ? r->tasks[i - 1].came_ms : 0)
                            - gap_ms * log (1.0 - next_random (&seed));
      r->tasks[i].rack = next_random (&seed) < hot_share
                             ? 0
                             : (unsigned)(next_random (&seed) * RACKS);
    }
  for (; first < TASKS; r->now += STEP_MS)
    {
      observe_racks (r);
      for (unsigned i = first; i < TASKS && r->tasks[i].came_ms <= r->now; i++)
        if (!r->tasks[i].placed)
          place (r, &r->tasks[i]);
      while (first < TASKS && r->tasks[first].placed)
        first++;
    }
  return r->response_ms / TASKS;
}

/* Guards against waits that cost more than they gain, and against long runs
   that a short wait would have avoided: the decision must be no worse than
   any rule without it. */
static void
compare (double factor, gboolean hot, guint32 seed)
{
  double ms[RULES];

  for (unsigned rule = 0; rule < RULES; rule++)
    ms[rule] = replay (rule, factor, hot ? HOT_SHARE : 0, seed);
  g_test_message ("seed=%u hot=%d factor=%.1f none=%.1f strict=%.1f "
                  "fixed=%.1f decision=%.1f",
                  seed, hot, factor, ms[RULE_NONE], ms[RULE_STRICT],
                  ms[RULE_FIXED], ms[RULE_DECISION]);
  for (unsigned rule = 0; rule < RULE_DECISION; rule++)
    {
      g_assert_cmpfloat (ms[RULE_DECISION], <=, ms[rule]);
      if (hot)
        g_assert_cmpfloat (ms[RULE_DECISION], <, ms[rule]);
    }
}

static void
decision_is_no_worse_than_fixed_rules (void)
{
  const double factors[] = { 3.0, 2.0, 1.5 };

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    for (unsigned f = 0; f < G_N_ELEMENTS (factors); f++)
      {
        compare (factors[f], FALSE, seed);
        compare (factors[f], TRUE, seed);
      }
}

/* Guards against a wait without a bound, and without a known factor. */
static void
waits_are_bounded (void)
{
  struct hk_locality_view v = { .expected_wait_ms = 300,
                                .run_ms = 800,
                                .factor = 3,
                                .left_ms = 5000,
                                .limit_ms = HK_LOCALITY_WAIT_MAX_MS };

  g_assert_true (hk_locality_decide (&v).wait);
  g_assert_cmpfloat (hk_locality_decide (&v).gain_ms, ==, 1600);
  g_assert_cmpint (hk_locality_decide (&v).wait_ms, ==, 300);
  v.waited_ms = HK_LOCALITY_WAIT_MAX_MS - 200;
  g_assert_false (hk_locality_decide (&v).wait);
  v.waited_ms = 0;
  v.expected_wait_ms = INFINITY;
  g_assert_false (hk_locality_decide (&v).wait);
  v.expected_wait_ms = 300;
  v.factor = 0;
  g_assert_false (hk_locality_decide (&v).wait);
}

/* Guards against a late job where a wait would have kept it in time. */
static void
objective_extends_the_wait (void)
{
  struct hk_locality_view v = { .expected_wait_ms = 600,
                                .run_ms = 800,
                                .factor = 2,
                                .left_ms = 1500,
                                .limit_ms = HK_LOCALITY_WAIT_MAX_MS };

  g_assert_true (hk_locality_decide (&v).wait);
  v.left_ms = 1300;
  g_assert_false (hk_locality_decide (&v).wait);
  v.left_ms = 1700;
  g_assert_false (hk_locality_decide (&v).wait);
}

static void
queued_tasks_lengthen_the_wait (void)
{
  struct hk_locality_slots s = { .n = 0 };

  g_assert_true (isinf (hk_locality_slots_wait (&s)));
  hk_locality_slots_add (&s, 500, 1);
  hk_locality_slots_add (&s, 200, 2);
  for (int i = 0; i < 2; i++)
    {
      g_assert_cmpfloat (hk_locality_slots_wait (&s), ==, 200);
      hk_locality_slots_take (&s, 800);
    }
  g_assert_cmpfloat (hk_locality_slots_wait (&s), ==, 500);
  hk_locality_slots_take (&s, 800);
  g_assert_cmpfloat (hk_locality_slots_wait (&s), ==, 1000);
}

static void
overdue_runs_are_not_expected_to_end_at_once (void)
{
  g_assert_cmpfloat (hk_locality_left_ms (800, 300, 0), ==, 500);
  g_assert_cmpfloat (hk_locality_left_ms (800, 600, 30), ==, 1400);
  g_assert_cmpfloat (hk_locality_left_ms (800, 1200, 0), ==, 400);
  g_assert_cmpfloat (hk_locality_left_ms (800, 800, 100), >, 0);
}

/* Guards against runs of no length, whose ratio is no number. */
static void
factors_are_learned_from_numbers (void)
{
  struct hk_locality_factor f;

  hk_locality_factor_init (&f, 0);
  hk_locality_factor_learn (&f, NAN);
  hk_locality_factor_learn (&f, INFINITY);
  for (int i = 0; i < 7; i++)
    hk_locality_factor_learn (&f, 2.5);
  g_assert_cmpfloat (hk_locality_factor_value (&f), ==, 0);
  hk_locality_factor_learn (&f, 2.5);
  g_assert_cmpfloat (hk_locality_factor_value (&f), ==, 2.5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/locality/decision_is_no_worse_than_fixed_rules",
                   decision_is_no_worse_than_fixed_rules);
  g_test_add_func ("/locality/waits_are_bounded", waits_are_bounded);
  g_test_add_func ("/locality/objective_extends_the_wait",
                   objective_extends_the_wait);
  g_test_add_func ("/locality/queued_tasks_lengthen_the_wait",
                   queued_tasks_lengthen_the_wait);
  g_test_add_func ("/locality/overdue_runs_are_not_expected_to_end_at_once",
                   overdue_runs_are_not_expected_to_end_at_once);
  g_test_add_func ("/locality/factors_are_learned_from_numbers",
                   factors_are_learned_from_numbers);
  return g_test_run ();
}

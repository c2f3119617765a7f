#ifndef HYSSOPKEEL_LOCALITY_H
#define HYSSOPKEEL_LOCALITY_H

#include <glib.h>
#include <stdint.h>

/** HK_LOCALITY_WAIT_MAX_MS - longest total wait of a task for a slot near its
 * data, milliseconds. A job may have nothing running for 3 s at most while
 * there is room for it; the commit and the start take up to a second. */
#define HK_LOCALITY_WAIT_MAX_MS 1200

/** HK_LOCALITY_SLOTS_MAX - slots of a rack that the expected wait considers.
 */
#define HK_LOCALITY_SLOTS_MAX 512

/**
 * struct hk_locality_factor - run time away from the data over run time near
 *                             it, as configured and learned.
 * @prior: configured factor; 0 if unknown.
 * @value: moving average, starts with @prior.
 * @samples: observed factors.
 */
struct hk_locality_factor
{
  double prior;
  double value;
  unsigned samples;
};

/** hk_locality_factor_init() - no observations; @prior is 0 if unknown. */
void hk_locality_factor_init (struct hk_locality_factor *f, double prior);

/** hk_locality_factor_learn() - add an observed factor; without effect unless
 * it is a positive number. */
void hk_locality_factor_learn (struct hk_locality_factor *f, double sample);

/** hk_locality_factor_value() - the factor; 0 if it is unknown. */
double hk_locality_factor_value (const struct hk_locality_factor *f);

/**
 * struct hk_locality_slots - when the slots of a rack become free, as a
 * min-heap.
 * @free_ms: time from now until each of @n slots is free, milliseconds.
 * @n: number of slots.
 */
struct hk_locality_slots
{
  double free_ms[HK_LOCALITY_SLOTS_MAX];
  unsigned n;
};

/**
 * hk_locality_left_ms() - expected time until a run ends.
 * @expected_ms: expected run time.
 * @elapsed_ms: time that it has run.
 * @percent: progress of the run, 0 to 100.
 *
 * Return: milliseconds, above 0 also for a run that is overdue.
 */
double hk_locality_left_ms (double expected_ms, double elapsed_ms,
                            unsigned percent);

/** hk_locality_slots_add() - add @count slots that are free in @at_ms; without
 * effect when there is no room. */
void hk_locality_slots_add (struct hk_locality_slots *s, double at_ms,
                            unsigned count);

/** hk_locality_slots_wait() - time until a slot is free, milliseconds;
 * INFINITY if there is none. */
double hk_locality_slots_wait (const struct hk_locality_slots *s);

/** hk_locality_slots_take() - let a task queue for the first free slot, which
 * it occupies for @run_ms; later tasks queue behind it. */
void hk_locality_slots_take (struct hk_locality_slots *s, double run_ms);

/**
 * struct hk_locality_queue - for how long tasks have waited at a rack.
 * @since_ms: time since which there has always been a task that waited or was
 *            sent elsewhere; hk_clock_ms().
 * @last_ms: time at which there was one; 0 if never.
 */
struct hk_locality_queue
{
  int64_t since_ms;
  int64_t last_ms;
};

/** hk_locality_queue_note() - note that a task found no free slot at the rack.
 */
void hk_locality_queue_note (struct hk_locality_queue *q, int64_t now_ms);

/** hk_locality_queue_age_ms() - for how long tasks have waited there without
 * a break; 0 if none does. */
int64_t hk_locality_queue_age_ms (const struct hk_locality_queue *q,
                                  int64_t now_ms);

/**
 * struct hk_locality_view - a task for which no slot near its data is free.
 * @expected_wait_ms: expected wait for one; INFINITY if none is expected.
 * @run_ms: expected run time near the data.
 * @factor: run time elsewhere over @run_ms; 0 if unknown.
 * @waited_ms: time that it has waited for such a slot.
 * @left_ms: time until it has to end for its job to meet its objective;
 *           negative if that has passed.
 * @limit_ms: limit of the total wait.
 * @queued_ms: for how long tasks have waited at the rack without a break.
 */
struct hk_locality_view
{
  double expected_wait_ms;
  double run_ms;
  double factor;
  int64_t waited_ms;
  int64_t left_ms;
  int64_t limit_ms;
  int64_t queued_ms;
};

/**
 * struct hk_locality_decision - what to do with the task.
 * @wait: whether it waits; otherwise it is placed elsewhere.
 * @wait_ms: if so, time until the decision is due again.
 * @gain_ms: run time that a slot near the data saves.
 */
struct hk_locality_decision
{
  gboolean wait;
  int64_t wait_ms;
  double gain_ms;
};

/**
 * hk_locality_decide() - decide whether a task waits for a slot near its data.
 * @v: task.
 *
 * Return: decision.
 */
struct hk_locality_decision
hk_locality_decide (const struct hk_locality_view *v);

#endif

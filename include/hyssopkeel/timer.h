#ifndef HYSSOPKEEL_TIMER_H
#define HYSSOPKEEL_TIMER_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_timer - one-shot timer, embedded in the struct that owns it.
 * @due_ms: due time, on hk_clock_ms().
 * @iter: position in the queue, NULL while the timer is not set.
 * @fire: called once when the timer is due; it may set the timer again.
 * @user: argument of @fire.
 *
 * All timers share one event source, so that thousands cost no more per loop
 * iteration than one. Zero-initialized memory is a cleared timer.
 */
struct hk_timer
{
  int64_t due_ms;
  GSequenceIter *iter;
  void (*fire) (void *user);
  void *user;
};

/**
 * hk_timer_set() - start or restart a timer.
 * @t: timer; must stay at the same address until it fires or is cleared.
 * @delay_ms: delay, milliseconds; 0 to fire in the next loop iteration.
 * @fire: callback.
 * @user: argument of @fire.
 */
void hk_timer_set (struct hk_timer *t, int64_t delay_ms,
                   void (*fire) (void *user), void *user);

/**
 * hk_timer_clear() - stop a timer; does nothing if it is not set.
 * @t: timer.
 */
void hk_timer_clear (struct hk_timer *t);

#endif

#ifndef HYSSOPKEEL_CRASH_BLAME_H
#define HYSSOPKEEL_CRASH_BLAME_H

#include <glib.h>
#include <stdint.h>

/** HK_CRASH_QUICK_MS - a run that started within this time before the report
 * of a crash is a likely cause; includes the time until a crash is noticed. */
#define HK_CRASH_QUICK_MS 350

/** HK_CRASH_AGE_UNKNOWN - age of a run whose start was not seen. */
#define HK_CRASH_AGE_UNKNOWN (-1)

/**
 * struct hk_crash_history - endpoint crashes that a task may have caused.
 * @crashes: crashes of endpoints in a row under which the task ran, at about
 *           the same age, and that it may have caused.
 * @age_ms: least age of its runs at these crashes.
 * @survived_ms: longest time for which a run of the task is known to have
 *               lived.
 * @counted_ms: time of the last crash counted, set by the caller; 0 if none.
 * @crashes_before: @crashes before it.
 * @age_before_ms: @age_ms before it.
 * @excused: crashes in the same row that were not counted, as their ages were
 *           unknown or they had another cause.
 */
struct hk_crash_history
{
  unsigned crashes;
  int64_t age_ms;
  int64_t survived_ms;
  int64_t counted_ms;
  unsigned crashes_before;
  int64_t age_before_ms;
  unsigned excused;
};

/**
 * enum hk_crash_watch - how a run of a task is separated from others.
 * @HK_CRASH_UNWATCHED: not at all.
 * @HK_CRASH_SHARED: from other watched runs.
 * @HK_CRASH_EXCLUSIVE: also from all runs that start about the same time.
 */
enum hk_crash_watch
{
  HK_CRASH_UNWATCHED,
  HK_CRASH_SHARED,
  HK_CRASH_EXCLUSIVE
};

/**
 * hk_crash_probation_ms() - life of a run that clears its task.
 * @age_ms: age of a run of the task at a crash.
 *
 * Return: time in milliseconds; longer than any run of a task that crashes its
 * endpoint at about the same time after each start.
 */
int64_t hk_crash_probation_ms (int64_t age_ms);

/**
 * hk_crash_count() - record a crash of the endpoint under a run.
 * @h: history of the task; updated.
 * @age_ms: time from the start of the run to the report of the crash, or
 *          HK_CRASH_AGE_UNKNOWN.
 * @alive_ms: time from its start to the last report that showed it running.
 *
 * A task of which a run has lived clearly longer than @age_ms did not cause
 * the crash. A crash at an unknown age only counts against a suspect, as the
 * evidence is that the ages agree.
 *
 * Return: whether the crash counts against the task.
 */
gboolean hk_crash_count (struct hk_crash_history *h, int64_t age_ms,
                         int64_t alive_ms);

/**
 * hk_crash_retract() - take back the last crash counted, as another cause was
 *                      found.
 * @h: history of the task; updated.
 *
 * One crash in a row is taken back: where endpoints crash often, others crash
 * by chance beside those that the task does crash.
 *
 * Return: whether it was taken back.
 */
gboolean hk_crash_retract (struct hk_crash_history *h);

/**
 * hk_crash_clear() - forget the crashes of a task that proved harmless.
 * @h: history of the task; updated.
 */
void hk_crash_clear (struct hk_crash_history *h);

/**
 * hk_crash_watch_of() - how the next run of a task has to be separated.
 * @h: history of the task.
 *
 * Return: level; suspects, that is tasks with a level, get no speculative
 * attempts.
 */
enum hk_crash_watch hk_crash_watch_of (const struct hk_crash_history *h);

/**
 * hk_crash_watch_waiting() - the same for a task that waits for an instance.
 * @h: history of the task.
 * @waited_ms: time for which it has waited.
 *
 * Return: level; none for a suspect of one crash that has waited for too long.
 */
enum hk_crash_watch hk_crash_watch_waiting (const struct hk_crash_history *h,
                                            int64_t waited_ms);

/**
 * hk_crash_restart_delay_ms() - pause before a task that is never given up, as
 *                               it is to last, starts again.
 * @h: history of the task.
 *
 * Return: milliseconds since the end of its last run; 0 while the evidence
 * does not suffice to give a task up.
 */
int64_t hk_crash_restart_delay_ms (const struct hk_crash_history *h);

/**
 * hk_crash_gives_up() - whether a task is to be given up after a crash.
 * @h: history of the task, with the crash counted.
 * @alone: its run was exclusive and the only one that may have caused it.
 */
gboolean hk_crash_gives_up (const struct hk_crash_history *h, gboolean alone);

#endif

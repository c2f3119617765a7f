/* Which tasks may have caused the crash of an endpoint, and when the evidence
   suffices to give one up. A task that crashes its endpoints does so at about
   the same age in each run, while a bystander outlives that age once it runs
   apart from the cause. */
#include "hyssopkeel/crash_blame.h"

/* The ages at crashes of one cause differ by less than AGE_TOLERANCE_MS and
   1 / AGE_DIVISOR: the time until a crash is noticed varies, and so does the
   speed of a run. */
#define AGE_TOLERANCE_MS 1000
#define AGE_DIVISOR 4
/* Longest time until a crash is noticed, and the age of a report. */
#define PROBATION_MARGIN_MS 750
/* Two crashes by chance must not end a job. */
#define CRASHES_CONCLUSIVE 3
#define CRASHES_MAX 5
/* Crashes in a row that are taken back, so that a task that does crash its
   endpoints starts CRASHES_MAX times at most. */
#define RETRACTIONS_MAX 1
/* The platform allows a task to wait for 3 s while there is room for it; a
   suspect of one crash is probably a bystander. */
#define SHARED_WAIT_MAX_MS 2000
/* Pause of a task that is to last after its third crash, doubled with each up
   to the maximum. The platform counts such a task as lost 9 s after its last
   run. */
#define RESTART_DELAY_MIN_MS 500
#define RESTART_DELAY_MAX_MS 4000

int64_t
hk_crash_probation_ms (int64_t age_ms)
{
  return age_ms + age_ms / AGE_DIVISOR + PROBATION_MARGIN_MS;
}

void
hk_crash_clear (struct hk_crash_history *h)
{
  h->crashes = 0;
  h->excused = 0;
}

gboolean
hk_crash_count (struct hk_crash_history *h, int64_t age_ms, int64_t alive_ms)
{
  gboolean known = age_ms != HK_CRASH_AGE_UNKNOWN;
  gboolean counts = known ? h->survived_ms < hk_crash_probation_ms (age_ms)
                          : h->crashes > 0;

  h->survived_ms = MAX (h->survived_ms, alive_ms);
  if (!counts)
    {
      h->excused += !known;
      return FALSE;
    }
  if (!known)
    age_ms = h->age_ms;
  h->crashes_before = h->crashes;
  h->age_before_ms = h->age_ms;
  if (ABS (age_ms - h->age_ms) > AGE_TOLERANCE_MS + h->age_ms / AGE_DIVISOR)
    hk_crash_clear (h);
  h->age_ms = h->crashes > 0 ? MIN (h->age_ms, age_ms) : age_ms;
  h->crashes++;
  return TRUE;
}

gboolean
hk_crash_retract (struct hk_crash_history *h)
{
  h->counted_ms = 0;
  if (h->excused >= RETRACTIONS_MAX)
    return FALSE;
  h->excused++;
  h->crashes = h->crashes_before;
  h->age_ms = h->age_before_ms;
  return TRUE;
}

/* Older runs seldom cause a crash and take long to clear, so they are
   separated only before they might exceed the limit. */
enum hk_crash_watch
hk_crash_watch_of (const struct hk_crash_history *h)
{
  if (h->crashes > 0 && h->age_ms > HK_CRASH_QUICK_MS)
    return h->crashes < CRASHES_CONCLUSIVE ? HK_CRASH_UNWATCHED
                                           : HK_CRASH_EXCLUSIVE;
  return (enum hk_crash_watch)MIN (h->crashes, HK_CRASH_EXCLUSIVE);
}

/* Load pattern: many tasks are restarted at once, and some of their new
   instances crash as well, so that dozens of bystanders wait to run apart. */
enum hk_crash_watch
hk_crash_watch_waiting (const struct hk_crash_history *h, int64_t waited_ms)
{
  enum hk_crash_watch watch = hk_crash_watch_of (h);

  return watch == HK_CRASH_SHARED && waited_ms >= SHARED_WAIT_MAX_MS
             ? HK_CRASH_UNWATCHED
             : watch;
}

int64_t
hk_crash_restart_delay_ms (const struct hk_crash_history *h)
{
  if (h->crashes < CRASHES_CONCLUSIVE)
    return 0;
  return MIN (RESTART_DELAY_MIN_MS
                  << MIN (h->crashes - CRASHES_CONCLUSIVE, 10),
              RESTART_DELAY_MAX_MS);
}

gboolean
hk_crash_gives_up (const struct hk_crash_history *h, gboolean alone)
{
  return h->crashes >= CRASHES_CONCLUSIVE
         && (alone || h->crashes + h->excused >= CRASHES_MAX);
}

/* Suspensions of this process. Load pattern: a machine that is frozen for
   seconds, while clients give up and send their requests elsewhere. */
#include "hyssopkeel/suspension.h"

/* Longer than a loaded process takes between two notes. */
#define SUSPENSION_MIN_MS 500

int64_t
hk_suspension_note (struct hk_suspension *s, int64_t now_ms)
{
  int64_t gap_ms = s->awake_ms ? now_ms - s->awake_ms : 0;

  if (gap_ms >= SUSPENSION_MIN_MS)
    {
      s->began_ms = s->awake_ms;
      s->ended_ms = now_ms;
    }
  s->awake_ms = now_ms;
  return gap_ms;
}

int64_t
hk_suspension_sent_ms (const struct hk_suspension *s, int64_t now_ms,
                       int64_t limit_ms)
{
  if (s->ended_ms && now_ms - s->ended_ms < HK_SUSPENSION_READ_MS
      && s->ended_ms - s->began_ms >= limit_ms)
    return s->began_ms;
  return now_ms;
}

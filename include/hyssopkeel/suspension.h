#ifndef HYSSOPKEEL_SUSPENSION_H
#define HYSSOPKEEL_SUSPENSION_H

#include <glib.h>
#include <stdint.h>

/** Time in which a resumed process reads what arrived while it was suspended.
 */
#define HK_SUSPENSION_READ_MS 1000

/**
 * struct hk_suspension - the last time that a process did not run.
 * @awake_ms: last time at which it was noted to run; 0 before the first.
 * @began_ms: the same, before the last suspension.
 * @ended_ms: end of that; 0 if there was none.
 */
struct hk_suspension
{
  int64_t awake_ms;
  int64_t began_ms;
  int64_t ended_ms;
};

/**
 * hk_suspension_note() - note that the process runs.
 * @s: suspension.
 * @now_ms: time, which never decreases; to be noted several times a second.
 *
 * Return: time since the last note, 0 for the first one.
 */
int64_t hk_suspension_note (struct hk_suspension *s, int64_t now_ms);

/**
 * hk_suspension_sent_ms() - earliest time at which a request that is read now
 *                           was sent.
 * @s: suspension, noted at @now_ms.
 * @now_ms: time.
 * @limit_ms: how long the sender waits for a response.
 *
 * Return: @now_ms, unless the request may have waited, unread, for so long
 * that its sender has given up and sent another one.
 */
int64_t hk_suspension_sent_ms (const struct hk_suspension *s, int64_t now_ms,
                               int64_t limit_ms);

#endif

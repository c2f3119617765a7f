#ifndef HYSSOPKEEL_PACING_H
#define HYSSOPKEEL_PACING_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_pacing - how fast the fillers of one instance may work.
 * @percent: share of their speed.
 * @changed_ms: time of the last change.
 * @raised_ms: time of the last step up that was followed by trouble.
 * @ceiling: share at which the tail went over its target last.
 *
 * Zero-initialized memory is not valid; use hk_pacing_init().
 */
struct hk_pacing
{
  unsigned percent;
  int64_t changed_ms;
  unsigned ceiling;
  int64_t ceiling_ms;
};

/** hk_pacing_init() - fillers at full speed. */
void hk_pacing_init (struct hk_pacing *p);

/**
 * hk_pacing_update() - decide from the tail of what serves beside them.
 * @p: state.
 * @worst: largest share of its target that a serving task's tail is at; 0 if
 *         nothing serves.
 * @now_ms: present time.
 *
 * Return: share of their speed that fillers may have now, percent.
 */
unsigned hk_pacing_update (struct hk_pacing *p, double worst, int64_t now_ms);

#endif

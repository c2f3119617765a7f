#ifndef HYSSOPKEEL_HEALTH_H
#define HYSSOPKEEL_HEALTH_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_health - failures of one instance as observed by one entry.
 * @failures: consecutive failures.
 * @backoff_ms: how long the instance was last set aside, 0 while healthy.
 * @set_aside_until_ms: the instance is avoided before this time; afterwards
 *                      the result of one probe decides.
 */
struct hk_health
{
  int64_t failures;
  int64_t backoff_ms;
  int64_t set_aside_until_ms;
};

/**
 * hk_health_success() - record a success; clears all failures.
 * @h: health.
 */
void hk_health_success (struct hk_health *h);

/**
 * hk_health_failure() - record a failure.
 * @h: health.
 * @limit: consecutive failures after which the instance is set aside.
 * @now_ms: current time.
 *
 * Return: TRUE if this failure sets the instance aside.
 */
gboolean hk_health_failure (struct hk_health *h, int64_t limit,
                            int64_t now_ms);

#endif

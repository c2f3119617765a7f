/* Health of instances. Load pattern: an instance that fails every request. It
   is set aside after several consecutive failures and probed with exponential
   backoff. */
#include "hyssopkeel/health.h"

/* Doubled after each failed probe, up to the maximum. */
#define BACKOFF_FIRST_MS 1000
#define BACKOFF_MAX_MS 60000

void
hk_health_success (struct hk_health *h)
{
  *h = (struct hk_health){ 0 };
}

gboolean
hk_health_failure (struct hk_health *h, int64_t limit, int64_t now_ms)
{
  h->failures++;
  if (h->failures < limit || now_ms < h->set_aside_until_ms)
    return FALSE;
  h->backoff_ms = h->backoff_ms ? MIN (h->backoff_ms * 2, BACKOFF_MAX_MS)
                                : BACKOFF_FIRST_MS;
  h->set_aside_until_ms = now_ms + h->backoff_ms;
  return TRUE;
}

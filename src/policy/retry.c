/* Retry budget of a route: a token bucket that successes fill, so that retries
   stay a share of the successes. */
#include "hyssopkeel/retry.h"

/* Limit and initial value of the budget, in retries. */
#define TOKENS_MAX 20.0
#define TOKENS_INITIAL 10.0

void
hk_retry_init (struct hk_retry_budget *b)
{
  b->tokens = TOKENS_INITIAL;
}

void
hk_retry_success (struct hk_retry_budget *b, gint64 percent)
{
  b->tokens = MIN (b->tokens + (double)percent / 100, TOKENS_MAX);
}

gboolean
hk_retry_take (struct hk_retry_budget *b)
{
  if (b->tokens < 1)
    return FALSE;
  b->tokens -= 1;
  return TRUE;
}

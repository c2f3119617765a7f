/* Arithmetic of lease grants and leases. The guarantee that a task never runs
   in two places rests on it; tests/model checks the protocol around it. */
#include "hyssopkeel/authority.h"

/* Bound on how slowly a worker's clock may run, per mille, with a margin. */
#define CLOCK_SLOW_PERMILLE 25
/* Allows for the delivery of a last renewal to its worker and for rounding. */
#define RENEWAL_MARGIN_MS 250

static int64_t
add_clock_skew (int64_t ms)
{
  return ms + ms * CLOCK_SLOW_PERMILLE / 1000;
}

int64_t
hk_authority_grant_until (const struct hk_authority *a, int64_t now_ms,
                          int64_t confirmed_ms)
{
  int64_t authority_end = confirmed_ms + a->own_ms;
  int64_t full_end = now_ms + a->grant_ms;

  return authority_end < full_end ? authority_end : full_end;
}

int64_t
hk_authority_terminated_at (const struct hk_authority *a,
                            int64_t granted_until_ms)
{
  return granted_until_ms + add_clock_skew (a->hold_ms) + RENEWAL_MARGIN_MS;
}

int64_t
hk_authority_predecessor_until (const struct hk_authority *a,
                                int64_t taken_over_ms)
{
  return taken_over_ms + add_clock_skew (a->own_ms);
}

int64_t
hk_authority_left_until (int64_t left_ms, int64_t at_ms)
{
  return left_ms > 0 ? at_ms + add_clock_skew (left_ms)
                     : at_ms + left_ms - (add_clock_skew (left_ms) - left_ms);
}

int64_t
hk_authority_lease_end (int64_t left_ms, int64_t at_ms)
{
  return at_ms + add_clock_skew (left_ms > 0 ? left_ms : 0)
         + RENEWAL_MARGIN_MS;
}

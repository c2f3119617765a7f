/* Arithmetic of grants and leases. All promises that one task runs in one
   place rest on these few lines; tests/model checks the protocol around them.
 */
#include "hyssopkeel/authority.h"

/* A worker's clock may run this much slow, per mille, with some to spare. */
#define CLOCK_SLOW_PERMILLE 25
/* Way of a last extension to its worker, and rounding, milliseconds. */
#define MARGIN_MS 250

static int64_t
stretch (int64_t ms)
{
  return ms + ms * CLOCK_SLOW_PERMILLE / 1000;
}

int64_t
hk_authority_grant_until (const struct hk_authority *a, int64_t now_ms,
                          int64_t confirmed_ms)
{
  int64_t own = confirmed_ms + a->own_ms;
  int64_t until = now_ms + a->grant_ms;

  return own < until ? own : until;
}

int64_t
hk_authority_gone_at (const struct hk_authority *a, int64_t granted_until_ms)
{
  return granted_until_ms + stretch (a->hold_ms) + MARGIN_MS;
}

int64_t
hk_authority_inherited_until (const struct hk_authority *a,
                              int64_t taken_over_ms)
{
  return taken_over_ms + stretch (a->own_ms);
}

int64_t
hk_authority_lease_end (int64_t left_ms, int64_t at_ms)
{
  return at_ms + stretch (left_ms > 0 ? left_ms : 0) + MARGIN_MS;
}

/* Work that scheduling passes may do. Load pattern: a burst that leaves more
   steps waiting than fit, at hundreds of instances. Without a limit a longer
   backlog makes each pass dearer, and slower passes lengthen the backlog. */
#include "hyssopkeel/pass_budget.h"

#include <string.h>

/* Shortest pause. Whether a best-effort task fits depends on tail latencies,
   which are reported about three times a second. */
#define RETRY_MIN_MS 100
/* Attempts at best-effort steps that wait, per second. */
#define ATTEMPTS_PER_S_MAX 1000

void
hk_pass_failures_add (struct hk_pass_failures *f,
                      const struct hk_pass_failure *task)
{
  if (f->n < HK_PASS_FAILURES_MAX)
    f->rows[f->n++] = *task;
}

static gboolean
covers (const struct hk_pass_failure *failed,
        const struct hk_pass_failure *task)
{
  return task->cpu_milli >= failed->cpu_milli
         && task->memory_mb >= failed->memory_mb
         && task->accelerators >= failed->accelerators
         && strcmp (task->pool, failed->pool) == 0
         && (!*failed->label || strcmp (task->label, failed->label) == 0);
}

gboolean
hk_pass_failures_cover (const struct hk_pass_failures *f,
                        const struct hk_pass_failure *task)
{
  for (unsigned i = 0; i < f->n; i++)
    if (covers (&f->rows[i], task))
      return TRUE;
  return FALSE;
}

int64_t
hk_pass_retry_ms (unsigned n_waiting)
{
  return MAX (RETRY_MIN_MS, (int64_t)n_waiting * 1000 / ATTEMPTS_PER_S_MAX);
}

/* Crashes of endpoints that have a cause outside of their instances. */
#include "hyssopkeel/crash_domain.h"

gboolean
hk_crash_domain_add (struct hk_crash_domain *d, const void *source,
                     gboolean explained, int64_t now_ms)
{
  unsigned n = MIN (d->n, HK_CRASH_EVENTS_MAX);
  gboolean common = FALSE;

  for (unsigned i = 0; i < n; i++)
    {
      const struct hk_crash_event *other = &d->events[i];

      common = common
               || (other->source != source
                   && now_ms - other->at_ms <= HK_CRASH_COMMON_MS
                   && !(explained && other->explained));
    }
  d->events[d->n++ % HK_CRASH_EVENTS_MAX] = (struct hk_crash_event){
    .at_ms = now_ms, .source = source, .explained = explained
  };
  return common;
}

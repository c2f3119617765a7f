#ifndef HYSSOPKEEL_CRASH_DOMAIN_H
#define HYSSOPKEEL_CRASH_DOMAIN_H

#include <glib.h>
#include <stdint.h>

/** HK_CRASH_COMMON_MS - crashes of several endpoints within this time may have
 * one cause; includes the differences in the time until they are noticed. */
#define HK_CRASH_COMMON_MS 500

/** HK_CRASH_EVENTS_MAX - crashes that are remembered. */
#define HK_CRASH_EVENTS_MAX 32

/**
 * struct hk_crash_event - a crash of an endpoint.
 * @at_ms: time of its report.
 * @source: identifies the instance; never dereferenced.
 * @explained: a run there may have caused it.
 */
struct hk_crash_event
{
  int64_t at_ms;
  const void *source;
  gboolean explained;
};

/**
 * struct hk_crash_domain - the latest crashes of endpoints.
 * @events: ring of @n events; the next replaces the oldest.
 * @n: events recorded so far.
 */
struct hk_crash_domain
{
  struct hk_crash_event events[HK_CRASH_EVENTS_MAX];
  unsigned n;
};

/**
 * hk_crash_domain_add() - record a crash.
 * @d: domain; updated.
 * @source: instance.
 * @explained: whether a run there may have caused it.
 * @now_ms: time of its report.
 *
 * Tasks that crash their endpoints do so independently of each other. So a
 * crash that no run explains shows a cause outside of the instances, which
 * also explains the crashes of other instances at the same time.
 *
 * Return: whether no task is to be blamed for the crashes of the last
 * HK_CRASH_COMMON_MS, this one included.
 */
gboolean hk_crash_domain_add (struct hk_crash_domain *d, const void *source,
                              gboolean explained, int64_t now_ms);

#endif

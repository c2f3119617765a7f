#ifndef HYSSOPKEEL_EVICTION_H
#define HYSSOPKEEL_EVICTION_H

#include "agent.h"

/**
 * hk_eviction_evict_one() - evict one task of a route above its floor.
 * @j: jobs task.
 * @reason: reason stored in the job record.
 *
 * Does nothing while another task is being stopped, or if the pool does not
 * allow evictions.
 */
void hk_eviction_evict_one (struct hk_agent_jobs *j, const char *reason);

/**
 * hk_eviction_stop_all() - stop all tasks because the instance drains.
 * @j: jobs task.
 */
void hk_eviction_stop_all (struct hk_agent_jobs *j);

/**
 * hk_eviction_needed() - whether a route below its floor has queued requests.
 * @j: jobs task.
 *
 * Return: TRUE if a slot that another route borrowed must be reclaimed.
 */
gboolean hk_eviction_needed (struct hk_agent_jobs *j);

/**
 * hk_eviction_relieve_interactive() - throttle or evict batch tasks that slow
 * interactive requests down, or lift the throttle.
 * @j: jobs task.
 */
void hk_eviction_relieve_interactive (struct hk_agent_jobs *j);

#endif

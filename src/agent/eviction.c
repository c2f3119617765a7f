/* Eviction and throttling of batch tasks. A task is evicted if it occupies a
   slot that another route has queued requests for within its floor, or if
   batch work still slows interactive requests down after it was throttled. */
#include "eviction.h"

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "job_run.h"

/* Speed limit of batch tasks while they slow interactive requests down. */
#define THROTTLED_SPEED_PERCENT 30

static const struct hk_route_limit *
route_limit (const struct hk_agent_job *job)
{
  return hk_capacity_route_limit (&job->owner->agent->capacity, job->route);
}

/* Returns the least urgent and then newest task of a route above its floor, or
   NULL. */
static struct hk_agent_job *
choose_victim (struct hk_agent_jobs *j)
{
  struct hk_agent_job *victim = NULL;
  struct hk_agent_job *job;

  TAILQ_FOREACH (job, &j->list, link)
  {
    const struct hk_route_limit *row = route_limit (job);

    if (job->phase != HK_PHASE_RUN || !row || row->running <= row->floor)
      continue;
    if (!victim || row->urgency < route_limit (victim)->urgency
        || (row->urgency == route_limit (victim)->urgency
            && job->started_ms >= victim->started_ms))
      victim = job;
  }
  return victim;
}

static gboolean
task_stopping (const struct hk_agent_jobs *j)
{
  const struct hk_agent_job *job;

  TAILQ_FOREACH (job, &j->list, link)
  if (job->phase == HK_PHASE_STOP)
    return TRUE;
  return FALSE;
}

static gboolean
eviction_allowed (const struct hk_agent_jobs *j)
{
  const struct hk_agent *agent = j->agent;
  const struct hk_pool *pool
      = hk_tables_pool (&agent->tables, agent->settings->pool);

  return pool && pool->evict && !task_stopping (j);
}

void
hk_eviction_evict_one (struct hk_agent_jobs *j, const char *reason)
{
  struct hk_agent_job *victim;

  if (!eviction_allowed (j))
    return;
  victim = choose_victim (j);
  if (victim)
    hk_job_run_stop (victim, reason, TRUE);
}

gboolean
hk_eviction_needed (struct hk_agent_jobs *j)
{
  const struct hk_limits *l = &j->agent->capacity.limits;

  for (size_t i = 0; i < l->n; i++)
    if (l->rows[i].queued > 0 && l->rows[i].running < l->rows[i].floor)
      return TRUE;
  return FALSE;
}

void
hk_eviction_stop_all (struct hk_agent_jobs *j)
{
  struct hk_agent_job *job;
  struct hk_agent_job *next;

  for (job = TAILQ_FIRST (&j->list); job; job = next)
    {
      next = TAILQ_NEXT (job, link);
      hk_job_run_stop (job, "instance is leaving", FALSE);
    }
}

static void
throttle_batch (struct hk_agent_jobs *j, int64_t percent)
{
  struct hk_agent_job *job;

  j->throttle_percent = percent;
  hk_log (HK_LOG_INFO, "jobs", NULL, NULL,
          "batch tasks limited to %d%% of full speed", (int)percent);
  TAILQ_FOREACH (job, &j->list, link)
  hk_job_run_throttle (job, percent);
}

void
hk_eviction_relieve_interactive (struct hk_agent_jobs *j)
{
  struct hk_agent *agent = j->agent;
  const struct hk_pool *pool
      = hk_tables_pool (&agent->tables, agent->settings->pool);

  if (!pool || !pool->evict)
    return;
  switch (hk_interference_decide (&agent->requests.interference,
                                  pool->slowdown_percent, hk_clock_ms ()))
    {
    case HK_INTERFERENCE_THROTTLE:
      throttle_batch (j, THROTTLED_SPEED_PERCENT);
      break;
    case HK_INTERFERENCE_UNTHROTTLE:
      throttle_batch (j, 100);
      break;
    case HK_INTERFERENCE_EVICT:
      hk_eviction_evict_one (j, "slows interactive work");
      break;
    case HK_INTERFERENCE_NONE:
      break;
    }
}

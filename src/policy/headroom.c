/* Assignment of best-effort tasks to the headroom that service tasks leave.
   Load pattern: tasks of many images at once, each of which interferes with
   most service images and fits beside a few. A task costs more where less is
   left for others, so that tasks with few fitting instances find them free;
   and those that run already keep their speed. */
#include "hyssopkeel/headroom.h"

/* Avoids division by 0 where nothing may be taken. */
#define LIMIT_MIN 0.02

static double
potential (double usage)
{
  return usage + usage * usage * usage * usage;
}

double
hk_headroom_usage (const struct hk_headroom_use *use)
{
  return (use->taken + use->added) / MAX (use->limit, LIMIT_MIN);
}

double
hk_headroom_cost (const struct hk_headroom_use *use)
{
  return potential (hk_headroom_usage (use))
         - potential (use->taken / MAX (use->limit, LIMIT_MIN));
}

#ifndef REPLAY_SITE_H
#define REPLAY_SITE_H

#include <glib.h>

#include "../../src/coord/coord.h"

/** REPLAY_MS - length of a replay; the first REPLAY_WARM_MS are not counted.
 * SITE_IN_TIME_MS - a job that is done later is not in time. */
#define REPLAY_MS 60000
#define REPLAY_WARM_MS 10000
#define SITE_IN_TIME_MS 5000

#define SITE_INSTANCES 12
#define SITE_SERVICE_IMAGES 4
#define SITE_SERVICE_JOBS 8
#define SITE_BATCH_IMAGES 6
/* Samples of tail latency cover the last half second. */
#define SITE_WINDOW_STEPS 50

/**
 * struct site_load - load of the service jobs.
 * @mean: their mean headroom.
 * @swing: amplitude of their headroom, in periods of ten seconds.
 * @list_ms: time between two lists of an endpoint, a divisor of 400; 0 for
 * 400, as without runs that end.
 */
struct site_load
{
  double mean;
  double swing;
  int64_t list_ms;
};

/**
 * struct site_result - what a replay gave, without the first REPLAY_WARM_MS.
 * @n_starts: starts of best-effort runs.
 * @n_relocations: those that were relocated.
 * @n_jobs: best-effort jobs that arrived early enough to end in time.
 * @n_in_time: those that did.
 * @over_ms: time for which some tail of an instance was over its target,
 * summed over the instances.
 * @longest_over_ms: the longest such time without a break.
 * @n_fast: ended runs that were placed at an expected speed of 0.9 or more.
 * @n_still: those of them that stood still.
 * @fast_speed_sum: sum of the mean speeds of the @n_fast runs.
 */
struct site_result
{
  unsigned n_starts;
  unsigned n_relocations;
  unsigned n_jobs;
  unsigned n_in_time;
  double over_ms;
  int64_t longest_over_ms;
  unsigned n_fast;
  unsigned n_still;
  double fast_speed_sum;
};

/** site_play() - replay a load to a coordinator and to simulated agents, and
 * add the results to @sum. */
void site_play (struct site_load load, unsigned seed, struct site_result *sum);

#endif

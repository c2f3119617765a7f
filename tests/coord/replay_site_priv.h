/* Shared by the sources of the replay. */
#ifndef REPLAY_SITE_PRIV_H
#define REPLAY_SITE_PRIV_H

#include "replay_site.h"

#define INSTANCE_CPU_MILLI 64000
#define SERVICE_TARGET_MS 18
#define BATCH_CPU_MILLI 7000

struct sim_run
{
  struct hk_run *run;
  int64_t start_ms;
  int64_t works_ms; /* restored from then on */
  int64_t stop_ms;  /* time at which the stop takes effect; 0 for none */
  unsigned speed;
  int64_t throttled_ms;
  double used[SITE_WINDOW_STEPS]; /* CPU milli by step */
  unsigned progress;              /* percent at the last list */
  unsigned sample;                /* at the last list */
};

struct sim_instance
{
  struct hk_instance *in;
  int64_t throttle_set_ms;
  int64_t over_since_ms; /* true tail over its target */
  int64_t sampled_over_since_ms;
};

struct sim
{
  struct hk_coord *c;
  GRand *random;
  struct site_load load;
  int64_t now;
  unsigned step;
  unsigned n_submitted;
  struct sim_instance instances[SITE_INSTANCES];
  GHashTable *runs;     /* struct hk_run to struct sim_run */
  GHashTable *work_ms;  /* task to work that is done */
  GHashTable *arrivals; /* best-effort job to its arrival */
  double interference[SITE_SERVICE_IMAGES][SITE_BATCH_IMAGES];
  double history[SITE_SERVICE_JOBS][SITE_INSTANCES]
                [SITE_WINDOW_STEPS]; /* headroom by step */
  struct site_result result;
};

/** replay_image_number() - number of the image of a run, among the service or
 * the best-effort images. */
unsigned replay_image_number (const struct hk_run *run);

/** replay_is_service() - whether a run is one of a service task. */
gboolean replay_is_service (const struct hk_run *run);

/** replay_run_of() - state of a run at its simulated endpoint. */
struct sim_run *replay_run_of (struct sim *s, struct hk_run *run);

/** replay_throttle() - throttle the best-effort runs of instance @i by its
 * last list, as runner_throttle_update() does. */
void replay_throttle (struct sim *s, unsigned i);

#endif

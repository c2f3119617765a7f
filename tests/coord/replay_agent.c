/* The agents of a replayed site. */
#include "replay_site_priv.h"

#include "hyssopkeel/throttle.h"

/* As in src/runner/runner_throttle.c. */
#define SETTLE_MS 600
#define SAMPLE_MS 300

static int64_t
sampled_over_ms (struct sim *s, struct sim_instance *si,
                 const double *headroom)
{
  gboolean over = FALSE;

  for (unsigned k = 0; k < SITE_SERVICE_IMAGES; k++)
    over = over || headroom[k] <= 1.0;
  if (!over)
    si->sampled_over_since_ms = 0;
  else if (!si->sampled_over_since_ms)
    si->sampled_over_since_ms = s->now;
  return over ? s->now - si->sampled_over_since_ms : 0;
}

void
replay_throttle (struct sim *s, unsigned i)
{
  struct sim_instance *si = &s->instances[i];
  struct hk_throttle_task tasks[64];
  struct sim_run *rows[64];
  double interference[64 * SITE_SERVICE_IMAGES];
  double headroom[SITE_SERVICE_IMAGES] = { 9, 9, 9, 9 };
  struct hk_throttle_view v = { .tasks = tasks,
                                .headroom = headroom,
                                .n_serving = SITE_SERVICE_IMAGES,
                                .interference = interference };
  struct hk_run *run;

  LIST_FOREACH (run, &si->in->runs, link)
  {
    struct sim_run *r = replay_run_of (s, run);
    unsigned image = replay_image_number (run);

    if (replay_is_service (run))
      headroom[image]
          = MIN (headroom[image], SERVICE_TARGET_MS / (double)r->sample);
    else if (s->now >= r->start_ms && !r->stop_ms && v.n_tasks < 64)
      {
        for (unsigned k = 0; k < SITE_SERVICE_IMAGES; k++)
          {
            g_autofree char *name = g_strdup_printf ("s%u", k);

            interference[v.n_tasks * SITE_SERVICE_IMAGES + k]
                = hk_interference_model_get (&s->c->interference_model, name,
                                             run->task->step->spec->image);
          }
        rows[v.n_tasks] = r;
        tasks[v.n_tasks++] = (struct hk_throttle_task){
          .full_cpu_share = (double)BATCH_CPU_MILLI / INSTANCE_CPU_MILLI,
          .used_cpu_share = (double)r->sample / INSTANCE_CPU_MILLI,
          .speed_percent = r->speed,
          .settled = s->now - r->throttled_ms >= SETTLE_MS,
          .changed_recently = s->now - r->throttled_ms < SAMPLE_MS
        };
      }
  }
  v.over_target_ms = sampled_over_ms (s, si, headroom);
  v.settled = s->now - si->throttle_set_ms >= SETTLE_MS;
  hk_throttle_decide (&v);
  for (unsigned n = 0; n < v.n_tasks; n++)
    if (tasks[n].speed_percent != rows[n]->speed)
      {
        rows[n]->speed = tasks[n].speed_percent;
        rows[n]->throttled_ms = si->throttle_set_ms = s->now;
      }
}

/* A site of simulated agents, endpoints and clients around a coordinator
   without I/O. Forecast, placement, throttling and relocation are the
   product's; the times of lists, reports, stops and restores are those of a
   logged day (docs/design/best-effort-prediction.md). */
#include "replay_site_priv.h"

#include <math.h>

#define SERVICE_TASKS 6
#define SERVICE_CPU_MILLI 13000
#define BATCH_TASKS 16
#define BATCH_RUN_MS 1600
#define BATCH_INTERVAL_MS 900
#define STEP_MS 10
#define LIST_INTERVAL_MS 400
#define REPORT_AFTER_MS 100
#define TICK_MS 100
#define SWING_PERIOD_MS 10000
#define NOISE 0.22
#define START_MS 40
#define STOP_MIN_MS 350
#define STOP_MAX_MS 880
#define RESTORE_MS 600

unsigned
replay_image_number (const struct hk_run *run)
{
  return (unsigned)g_ascii_strtoull (run->task->step->spec->image + 1, NULL,
                                     10);
}

gboolean
replay_is_service (const struct hk_run *run)
{
  return (run->task->step->spec->flags & HK_STEP_SERVICE) != 0;
}

static struct hk_engine_job *
submit (struct sim *s, gboolean service, unsigned image)
{
  g_autofree char *id = g_strdup_printf ("%016x", ++s->n_submitted);
  g_autofree char *name = g_strdup_printf ("%c%u", service ? 's' : 'b', image);
  hk_step_spec step
      = { .count = service ? SERVICE_TASKS : BATCH_TASKS,
          .cpu_milli = service ? SERVICE_CPU_MILLI : BATCH_CPU_MILLI,
          .memory_mb = 1000,
          .estimate_ms = BATCH_RUN_MS,
          .flags = service ? HK_STEP_SERVICE
                           : HK_STEP_BEST_EFFORT | HK_STEP_CHECKPOINTS,
          .target_ms = service ? SERVICE_TARGET_MS : 0,
          .label = (char *)"",
          .rack = (char *)"",
          .image = name };
  hk_job_spec spec = { .id = id,
                       .queue = (char *)(service ? "watch" : "batch"),
                       .pool = (char *)"pool",
                       .urgency = service ? 0 : 2,
                       .max_attempts = 3,
                       .stretch_milli = 2000,
                       .target_ms = 4000,
                       .steps = { 1, &step } };

  return hk_engine_submit (&s->c->engine, &spec, s->now, s->now);
}

/* Services are submitted first. */
static unsigned
job_number (const struct hk_run *run)
{
  return (unsigned)g_ascii_strtoull (run->task->step->job->spec.id, NULL, 16)
         - 1;
}

/* The load of the tasks of one job varies together, that of different jobs out
   of phase. */
static double
base_headroom (const struct sim *s, unsigned job)
{
  double phase = 2 * G_PI * (job * 5 % SITE_SERVICE_JOBS) / SITE_SERVICE_JOBS;

  return s->load.mean
         + s->load.swing
               * sin (2 * G_PI * (double)s->now / SWING_PERIOD_MS + phase);
}

static double
true_headroom (const struct sim *s, const struct hk_instance *in, unsigned job)
{
  unsigned service = job % SITE_SERVICE_IMAGES;
  double headroom = base_headroom (s, job);
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  {
    const struct sim_run *r = g_hash_table_lookup (s->runs, run);

    if (r && !replay_is_service (run))
      headroom -= s->interference[service][replay_image_number (run)]
                  * r->used[s->step % SITE_WINDOW_STEPS] / INSTANCE_CPU_MILLI;
  }
  return MAX (headroom, 0.2);
}

static double
window_mean (const double *values)
{
  double sum = 0;

  for (int i = 0; i < SITE_WINDOW_STEPS; i++)
    sum += values[i];
  return sum / SITE_WINDOW_STEPS;
}

/* Normal, from uniform numbers. */
static double
noise (struct sim *s)
{
  double sum = 0;

  for (int i = 0; i < 12; i++)
    sum += g_rand_double (s->random);
  return NOISE * (sum - 6);
}

static gboolean
is_counted (int64_t arrival_ms)
{
  return arrival_ms > REPLAY_WARM_MS
         && arrival_ms <= REPLAY_MS - SITE_IN_TIME_MS;
}

static void
end_job (struct sim *s, struct hk_engine_job *job)
{
  int64_t *arrival_ms = g_hash_table_lookup (s->arrivals, job);

  if (hk_engine_job_active (job))
    return;
  if (arrival_ms && is_counted (*arrival_ms))
    s->result.n_in_time += s->now - *arrival_ms <= SITE_IN_TIME_MS;
  g_hash_table_remove (s->arrivals, job);
  hk_engine_job_remove (job);
}

static void
count_speed (struct sim *s, const struct hk_run *run)
{
  if (s->now <= REPLAY_WARM_MS || run->expected_speed < 0.9 || !run->started_ms
      || s->now <= run->started_ms)
    return;
  s->result.n_fast++;
  s->result.n_still += run->stills > 0;
  s->result.fast_speed_sum += MIN (coord_speed_full_ms (run, s->now)
                                       / (double)(s->now - run->started_ms),
                                   1.0);
}

static void
end_run (struct sim *s, struct sim_run *r, hk_end_how how)
{
  struct hk_engine_job *job = r->run->task->step->job;

  count_speed (s, r->run);

  coord_estimate_learn (s->c, r->run, how, s->now);
  hk_engine_run_end (r->run, how, NULL, s->now, s->now);
  g_hash_table_remove (s->runs, r->run);
  end_job (s, job);
}

struct sim_run *
replay_run_of (struct sim *s, struct hk_run *run)
{
  struct sim_run *r = g_hash_table_lookup (s->runs, run);

  if (r)
    return r;
  r = g_new0 (struct sim_run, 1);
  r->run = run;
  r->start_ms = s->now + START_MS;
  r->works_ms = r->start_ms;
  if (run->number > 1 && g_hash_table_contains (s->work_ms, run->task))
    r->works_ms += RESTORE_MS;
  r->speed = 100;
  g_hash_table_insert (s->runs, run, r);
  if (!replay_is_service (run) && s->now > REPLAY_WARM_MS)
    s->result.n_starts++;
  return r;
}

/* Lets one run work for a step. Returns whether it has ended. */
static gboolean
work (struct sim *s, struct sim_run *r)
{
  double *work_ms = g_hash_table_lookup (s->work_ms, r->run->task);
  gboolean works = s->now >= r->works_ms && !r->stop_ms;

  r->used[s->step % SITE_WINDOW_STEPS]
      = s->now >= r->start_ms && !r->stop_ms
            ? BATCH_CPU_MILLI * r->speed / 100.0
            : 0;
  if (r->run->to_stop && !r->stop_ms)
    {
      r->stop_ms
          = s->now + g_rand_int_range (s->random, STOP_MIN_MS, STOP_MAX_MS);
      s->result.n_relocations += s->now > REPLAY_WARM_MS;
    }
  if (r->stop_ms && s->now >= r->stop_ms)
    {
      end_run (s, r, HK_END_STOPPED);
      return TRUE;
    }
  if (!works)
    return FALSE;
  if (!work_ms)
    {
      work_ms = g_new0 (double, 1);
      g_hash_table_insert (s->work_ms, r->run->task, work_ms);
    }
  *work_ms += STEP_MS * r->speed / 100.0;
  if (*work_ms < BATCH_RUN_MS)
    return FALSE;
  g_hash_table_remove (s->work_ms, r->run->task);
  end_run (s, r, HK_END_DONE);
  return TRUE;
}

static void
instance_work (struct sim *s, unsigned i)
{
  struct hk_run *run;
  struct hk_run *next;

  for (run = LIST_FIRST (&s->instances[i].in->runs); run; run = next)
    {
      struct sim_run *r = replay_run_of (s, run);

      next = LIST_NEXT (run, link);
      if (!replay_is_service (run))
        work (s, r);
    }
}

/* Whether a tail is over its target, as its callers see it. */
static void
instance_measure (struct sim *s, unsigned i)
{
  struct sim_instance *si = &s->instances[i];
  gboolean over = FALSE;
  struct hk_run *run;

  for (unsigned k = 0; k < SITE_SERVICE_JOBS; k++)
    s->history[k][i][s->step % SITE_WINDOW_STEPS]
        = true_headroom (s, si->in, k);
  LIST_FOREACH (run, &si->in->runs, link)
  if (replay_is_service (run))
    over = over || window_mean (s->history[job_number (run)][i]) < 1.0;
  if (!over)
    si->over_since_ms = 0;
  else if (!si->over_since_ms)
    si->over_since_ms = s->now;
  if (over && s->now > REPLAY_WARM_MS)
    {
      s->result.over_ms += STEP_MS;
      s->result.longest_over_ms
          = MAX (s->result.longest_over_ms, s->now - si->over_since_ms);
    }
}

static void
sample (struct sim *s, unsigned i)
{
  struct hk_run *run;

  LIST_FOREACH (run, &s->instances[i].in->runs, link)
  {
    struct sim_run *r = replay_run_of (s, run);
    double *work_ms = g_hash_table_lookup (s->work_ms, run->task);

    if (replay_is_service (run))
      r->sample = (unsigned)MAX (
          SERVICE_TARGET_MS
                  / MAX (window_mean (s->history[job_number (run)][i])
                             + noise (s),
                         0.2)
              + 0.5,
          1);
    else
      r->sample = (unsigned)window_mean (r->used);
    r->progress = work_ms ? (unsigned)(100 * *work_ms / BATCH_RUN_MS) : 0;
  }
}

static void
report (struct sim *s, unsigned i)
{
  struct hk_instance *in = s->instances[i].in;
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  {
    struct sim_run *r = replay_run_of (s, run);

    if (s->now < r->start_ms)
      continue;
    if (!run->started_ms)
      run->started_ms = run->progress_ms = s->now;
    coord_speed_observe (run, r->speed, s->now);
    run->reported_ms = s->now;
    run->load_sample = r->sample;
    run->speed_percent = r->speed;
    if (r->progress > run->progress_percent)
      run->progress_ms = s->now;
    run->progress_percent = replay_is_service (run) ? 100 : r->progress;
    run->alive_ms = s->now;
  }
  in->last_report_ms = s->now;
  coord_interference_learn (s->c, in, s->now);
}

static void
add_instance (struct sim *s, unsigned i)
{
  g_autofree char *name = g_strdup_printf ("agent-%u", i);
  struct hk_instance *in = hk_engine_instance_get (&s->c->engine, name);
  struct coord_link *l = g_new0 (struct coord_link, 1);

  l->c = s->c;
  l->in = in;
  coord_sharing_init (&l->sharing);
  l->described = TRUE;
  in->link = l;
  in->pool = g_strdup ("pool");
  in->cpu_milli = INSTANCE_CPU_MILLI;
  in->memory_mb = 256000;
  in->capacity_known = TRUE;
  in->last_report_ms = s->now;
  s->instances[i].in = in;
}

static void
play_step (struct sim *s)
{
  s->now += STEP_MS;
  s->step++;
  if (s->now % BATCH_INTERVAL_MS == 0)
    {
      struct hk_engine_job *job
          = submit (s, FALSE, s->n_submitted % SITE_BATCH_IMAGES);
      int64_t *arrival_ms = g_new (int64_t, 1);

      *arrival_ms = s->now;
      g_hash_table_insert (s->arrivals, job, arrival_ms);
      s->result.n_jobs += is_counted (s->now);
    }
  for (unsigned i = 0; i < SITE_INSTANCES; i++)
    {
      int64_t list_ms = s->load.list_ms ? s->load.list_ms : LIST_INTERVAL_MS;
      int64_t phase = s->now - 30 * (int64_t)i;

      instance_work (s, i);
      instance_measure (s, i);
      if (phase % list_ms == 0)
        {
          sample (s, i);
          replay_throttle (s, i);
        }
      if (phase % list_ms == REPORT_AFTER_MS)
        report (s, i);
    }
  if (s->now % TICK_MS == 0)
    coord_best_effort_relocate (s->c, s->now);
  if (s->now % 50 == 0)
    coord_schedule (s->c, s->now);
}

static void
sim_init (struct sim *s, struct site_load load, unsigned seed)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  memset (s, 0, sizeof *s);
  options.name = "replay";
  options.address = "127.0.0.1:1";
  s->c = hk_coord_new (NULL, &options);
  s->c->state = COORD_LEADING;
  s->random = g_rand_new_with_seed (seed);
  s->load = load;
  s->runs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  s->work_ms = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  s->arrivals = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  /* A third of the pairs interfere strongly. */
  for (unsigned k = 0; k < SITE_SERVICE_IMAGES; k++)
    for (unsigned b = 0; b < SITE_BATCH_IMAGES; b++)
      s->interference[k][b] = (k + b) % 3 == 0 ? 4.0 : 0.1 + 0.2 * (b % 3);
  for (unsigned i = 0; i < SITE_INSTANCES; i++)
    add_instance (s, i);
  for (unsigned k = 0; k < SITE_SERVICE_JOBS; k++)
    submit (s, TRUE, k % SITE_SERVICE_IMAGES);
}

static void
sim_finish (struct sim *s)
{
  g_hash_table_unref (s->runs);
  g_hash_table_unref (s->work_ms);
  g_hash_table_unref (s->arrivals);
  g_rand_free (s->random);
  for (unsigned i = 0; i < SITE_INSTANCES; i++)
    {
      struct coord_link *l = s->instances[i].in->link;

      coord_sharing_finish (&l->sharing);
      g_free (l);
      s->instances[i].in->link = NULL;
    }
  hk_coord_free (s->c);
}

void
site_play (struct site_load load, unsigned seed, struct site_result *sum)
{
  struct sim s;

  sim_init (&s, load, seed);
  while (s.now < REPLAY_MS)
    play_step (&s);
  sum->n_starts += s.result.n_starts;
  sum->n_relocations += s.result.n_relocations;
  sum->n_jobs += s.result.n_jobs;
  sum->n_in_time += s.result.n_in_time;
  sum->over_ms += s.result.over_ms;
  sum->longest_over_ms = MAX (sum->longest_over_ms, s.result.longest_over_ms);
  sum->n_fast += s.result.n_fast;
  sum->n_still += s.result.n_still;
  sum->fast_speed_sum += s.result.fast_speed_sum;
  sim_finish (&s);
}

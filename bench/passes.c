/* Plays a burst of wide best-effort jobs to a coordinator without I/O, to be
   run under callgrind. In each round the same number of runs end, instances
   report and jobs are submitted, whatever the size of the site, so that the
   cost that depends on the size shows.
   With racks, every second best-effort job has its data on one of them, and
   runs away from it take twice as long.
   Usage: passes INSTANCES JOBS ROUNDS [RACKS] */
#include <stdio.h>
#include <stdlib.h>

#include "../src/coord/coord.h"

#define ROUND_MS 20
#define TICK_ROUNDS 5
#define ENDS_PER_ROUND 8
#define REPORTS_PER_ROUND 8
#define SUBMISSIONS_PER_ROUND 1
#define SERVICE_IMAGES 16
#define BEST_EFFORT_IMAGES 30
#define SERVICE_TASKS 24
#define BEST_EFFORT_TASKS 39
/* Declared CPUs of the service tasks over those of the instances. */
#define SERVICE_CPU_PERCENT 85

struct site
{
  struct hk_coord *c;
  GRand *random;
  int64_t now_ms;
  unsigned n_submitted;
  unsigned n_racks;
  GPtrArray *instances;
};

static struct hk_engine_job *
submit (struct site *s, gboolean service)
{
  g_autofree char *id = g_strdup_printf ("%016x", ++s->n_submitted);
  g_autofree char *image = g_strdup_printf (
      "%s%d", service ? "service" : "batch",
      g_rand_int_range (s->random, 0,
                        service ? SERVICE_IMAGES : BEST_EFFORT_IMAGES));
  g_autofree char *rack
      = s->n_racks > 0 && !service && s->n_submitted % 2
            ? g_strdup_printf ("r%u", s->n_submitted / 2 % s->n_racks)
            : g_strdup ("");
  u_int first = 0;
  hk_step_spec steps[2]
      = { { .count = service ? SERVICE_TASKS : BEST_EFFORT_TASKS,
            .cpu_milli = service ? 13000 : 7000,
            .memory_mb = service ? 26000 : 13000,
            .estimate_ms = 2700,
            .flags = service ? HK_STEP_SERVICE
                             : HK_STEP_BEST_EFFORT | HK_STEP_CHECKPOINTS,
            .target_ms = service ? 18 : 0,
            .label = (char *)"",
            .rack = rack,
            .image = image } };
  hk_job_spec spec = { .id = id,
                       .queue = (char *)(service ? "watch" : "batch"),
                       .pool = (char *)"pool",
                       .urgency = service ? 0 : 2,
                       .max_attempts = 3,
                       .stretch_milli = 2000,
                       .target_ms = 1000,
                       .steps = { service ? 1 : 2, steps } };
  unsigned retry_after_s;
  const char *reason;

  steps[1] = steps[0];
  steps[1].after.after_len = 1;
  steps[1].after.after_val = &first;
  coord_admit (s->c, &spec, &retry_after_s, &reason);
  return hk_engine_submit (&s->c->engine, &spec, s->now_ms, s->now_ms);
}

static void
start_runs (struct site *s, const struct hk_instance *in)
{
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  {
    if (!run->started_ms)
      run->started_ms = run->progress_ms = s->now_ms;
    run->reported_ms = s->now_ms;
    run->load_sample
        = run->task->step->spec->target_ms
              ? (unsigned)g_rand_int_range (s->random, 4, 16)
              : run->task->step->spec->cpu_milli * run->speed_percent / 100;
    if (run->task->step->spec->flags & HK_STEP_SERVICE)
      run->progress_percent = 100;
  }
}

static void
report (struct site *s, struct hk_instance *in)
{
  start_runs (s, in);
  in->last_report_ms = s->now_ms;
  coord_interference_learn (s->c, in, s->now_ms);
}

static void
add_instances (struct site *s, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("agent-%u", i);
      struct hk_instance *in = hk_engine_instance_get (&s->c->engine, name);
      struct coord_link *l = g_new0 (struct coord_link, 1);

      l->c = s->c;
      l->in = in;
      l->ends = g_array_new (FALSE, TRUE, sizeof (struct coord_end));
      l->orphans = g_array_new (FALSE, TRUE, sizeof (hk_run_id));
      coord_sharing_init (&l->sharing);
      l->described = TRUE;
      in->link = l;
      in->pool = g_strdup ("pool");
      if (s->n_racks > 0)
        {
          g_autofree char *labels = g_strdup_printf ("a,r%u", i % s->n_racks);

          in->labels = g_strsplit (labels, ",", 0);
        }
      in->cpu_milli = 64000;
      in->memory_mb = 256000;
      in->capacity_known = TRUE;
      in->last_report_ms = s->now_ms;
      g_ptr_array_add (s->instances, in);
    }
}

/* Ends a best-effort run of an instance drawn at random, if it has one. */
static void
end_one_run (struct site *s)
{
  guint i = (guint)g_rand_int_range (s->random, 0, (gint32)s->instances->len);
  const struct hk_instance *in = s->instances->pdata[i];
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  if (run->task->step->spec->flags & HK_STEP_BEST_EFFORT)
    {
      coord_estimate_learn (s->c, run, HK_END_DONE, s->now_ms);
      hk_engine_run_end (run, HK_END_DONE, NULL, s->now_ms, s->now_ms);
      return;
    }
}

static void
replace_oldest_job (struct site *s, unsigned n_jobs)
{
  struct hk_engine *e = &s->c->engine;
  struct hk_engine_job *job;
  struct hk_engine_job *next;
  unsigned n = 0;

  while ((job = TAILQ_FIRST (&e->ended)))
    hk_engine_job_remove (job);
  TAILQ_FOREACH (job, &e->active, link)
  n += job->spec.urgency > 0;
  for (job = TAILQ_FIRST (&e->active); job && n >= n_jobs; job = next)
    {
      next = TAILQ_NEXT (job, link);
      if (job->spec.urgency == 0)
        continue;
      hk_engine_job_remove (job);
      n--;
    }
  for (; n < n_jobs; n++)
    submit (s, FALSE);
}

static void
play_round (struct site *s, unsigned n_jobs, unsigned round)
{
  s->now_ms += ROUND_MS;
  for (guint i = 0; i < s->instances->len; i++)
    ((struct hk_instance *)s->instances->pdata[i])->last_report_ms = s->now_ms;
  for (unsigned i = 0; i < REPORTS_PER_ROUND; i++)
    report (s, s->instances->pdata[g_rand_int_range (
                   s->random, 0, (gint32)s->instances->len)]);
  for (unsigned i = 0; i < ENDS_PER_ROUND; i++)
    end_one_run (s);
  for (unsigned i = 0; i < SUBMISSIONS_PER_ROUND; i++)
    replace_oldest_job (s, n_jobs);
  if (round % TICK_ROUNDS == 0)
    {
      coord_stragglers_check (s->c, s->now_ms);
      coord_drain (s->c, s->now_ms);
      coord_best_effort_relocate (s->c, s->now_ms);
      coord_consolidate (s->c, s->now_ms);
    }
  coord_schedule (s->c, s->now_ms);
  coord_links_reply (s->c);
}

int
main (int argc, char **argv)
{
  unsigned n_instances = argc > 1 ? (unsigned)atoi (argv[1]) : 160;
  unsigned n_jobs = argc > 2 ? (unsigned)atoi (argv[2]) : 100;
  unsigned n_rounds = argc > 3 ? (unsigned)atoi (argv[3]) : 50;
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct site s = { .now_ms = hk_clock_ms () };
  int64_t started_us;

  options.name = "passes";
  options.address = "127.0.0.1:1";
  s.n_racks = argc > 4 ? (unsigned)atoi (argv[4]) : 0;
  options.remote_factor = s.n_racks > 0 ? 2 : 0;
  s.c = hk_coord_new (NULL, &options);
  s.c->state = COORD_LEADING;
  s.c->taken_over_ms = s.now_ms - 60000;
  s.random = g_rand_new_with_seed (1);
  s.instances = g_ptr_array_new ();
  add_instances (&s, n_instances);
  for (unsigned i = 0;
       i < n_instances * 64 * SERVICE_CPU_PERCENT / 100 / (SERVICE_TASKS * 13);
       i++)
    submit (&s, TRUE);
  coord_schedule (s.c, s.now_ms);
  for (guint i = 0; i < s.instances->len; i++)
    report (&s, s.instances->pdata[i]);
  for (unsigned i = 0; i < 5; i++)
    play_round (&s, n_jobs, i + 1);
  started_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < n_rounds; i++)
    play_round (&s, n_jobs, i);
  printf ("%u instances, %u jobs: %.0f us a round\n", n_instances, n_jobs,
          (double)(g_get_monotonic_time () - started_us) / MAX (n_rounds, 1));
  return 0;
}

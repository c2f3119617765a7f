/* A coordinator whose passes a test replays, with instances on two racks. */
#include "locality_support.h"

static struct hk_instance *
instance_new (struct hk_coord *c, const char *name, const char *rack)
{
  struct hk_instance *in = hk_engine_instance_get (&c->engine, name);
  struct coord_link *l = g_new0 (struct coord_link, 1);

  l->c = c;
  l->in = in;
  l->described = TRUE;
  coord_sharing_init (&l->sharing);
  in->link = l;
  in->pool = g_strdup ("pool");
  in->labels = g_strsplit (rack, ",", 0);
  in->cpu_milli = CPU_MILLI;
  in->memory_mb = 100000;
  in->capacity_known = TRUE;
  in->run_time_ratio = 1.0;
  return in;
}

void
fixture_init (struct fixture *f, double factor)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  options.name = "e1";
  options.address = "127.0.0.1:1";
  options.remote_factor = factor;
  *f = (struct fixture){ .c = hk_coord_new (NULL, &options), .now = 100000 };
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      g_autofree char *name = g_strdup_printf ("a%u", i);

      f->instances[i] = instance_new (f->c, name, i < 2 ? "a,r1" : "a,r2");
    }
}

struct hk_instance *
add_instance (struct fixture *f, const char *labels)
{
  g_autofree char *name
      = g_strdup_printf ("b%u", g_hash_table_size (f->c->engine.instances));

  coord_locality_labels_changed (f->c);
  return instance_new (f->c, name, labels);
}

void
fixture_finish (struct fixture *f)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &f->c->engine.instance_list, next)
  {
    struct coord_link *l = in->link;

    coord_sharing_finish (&l->sharing);
    g_free (l);
    in->link = NULL;
  }
  hk_coord_free (f->c);
}

void
advance (struct fixture *f, int64_t ms)
{
  struct hk_instance *in;

  f->now += ms;
  TAILQ_FOREACH (in, &f->c->engine.instance_list, next)
  in->last_report_ms = f->now;
}

void
pass (struct fixture *f)
{
  advance (f, PASS_MS);
  coord_schedule (f->c, f->now);
}

struct hk_engine_task *
submit_with_flags (struct fixture *f, const char *rack, unsigned cpu_milli,
                   unsigned run_ms, unsigned urgency, unsigned flags)
{
  g_autofree char *id = g_strdup_printf ("%016x", ++f->n_jobs);
  hk_step_spec step = { .count = 1,
                        .cpu_milli = cpu_milli,
                        .memory_mb = 100,
                        .estimate_ms = run_ms,
                        .flags = flags,
                        .label = (char *)"",
                        .rack = (char *)rack,
                        .image = (char *)"" };
  hk_job_spec spec = { .id = id,
                       .queue = (char *)"short",
                       .pool = (char *)"pool",
                       .urgency = urgency,
                       .max_attempts = 3,
                       .stretch_milli = 2000,
                       .target_ms = 5000,
                       .steps = { 1, &step } };

  return &hk_engine_submit (&f->c->engine, &spec, f->now, f->now)
              ->steps[0]
              .tasks[0];
}

struct hk_engine_task *
submit (struct fixture *f, const char *rack, unsigned cpu_milli,
        unsigned run_ms, unsigned urgency)
{
  return submit_with_flags (f, rack, cpu_milli, run_ms, urgency,
                            HK_STEP_SPECULATIVE);
}

struct hk_engine_task *
submit_near (struct fixture *f)
{
  return submit (f, "r1", TASK_MILLI, RUN_MS, 1);
}

struct hk_run *
run_on (struct fixture *f, unsigned instance, unsigned cpu_milli,
        unsigned run_ms)
{
  struct hk_run *run = hk_engine_task_place (
      submit (f, "", cpu_milli, run_ms, 1), f->instances[instance], f->now);

  run->started_ms = run->reported_ms = run->progress_ms = f->now;
  return run;
}

struct hk_run *
fill_rack (struct fixture *f, unsigned first_ms, unsigned second_ms)
{
  struct hk_run *run = run_on (f, 0, CPU_MILLI, first_ms);

  run_on (f, 1, CPU_MILLI, second_ms);
  return run;
}

void
end_run (struct fixture *f, struct hk_run *run, hk_end_how how)
{
  coord_estimate_learn (f->c, run, how, f->now);
  hk_engine_run_end (run, how, NULL, f->now, f->now);
}

int
place_of (const struct fixture *f, const struct hk_engine_task *task)
{
  for (int i = 0; task->runs[0] && i < INSTANCES; i++)
    if (task->runs[0]->instance == f->instances[i])
      return i;
  return -1;
}

gboolean
is_remote (const struct fixture *f, const struct hk_engine_task *task)
{
  return place_of (f, task) >= 2;
}

struct hk_run *
run_best_effort (struct fixture *f, const char *rack, unsigned instance,
                 unsigned cpu_milli, unsigned run_ms)
{
  struct hk_engine_task *task
      = submit_with_flags (f, rack, cpu_milli, run_ms, 2,
                           HK_STEP_BEST_EFFORT | HK_STEP_CHECKPOINTS);
  struct hk_run *run
      = hk_engine_task_place (task, f->instances[instance], f->now);

  run->started_ms = run->reported_ms = run->progress_ms = f->now;
  return run;
}

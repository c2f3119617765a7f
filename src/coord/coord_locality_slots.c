/* When slots near the data of tasks become free: the expected ends of the runs
   on a rack. */
#include "coord.h"

/* A run that is being stopped ends within this time. */
#define STOP_MS 300

/* What the end of a run releases. */
struct run_end
{
  double left_ms;
  int64_t cpu_milli;
  int64_t memory_mb;
};

/* An inherited run was already in progress at its first report. */
static double
run_left_ms (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  double expected = (double)coord_estimate_run_ms (c, run);

  if (run->to_stop)
    return STOP_MS;
  if (!run->started_ms)
    return expected;
  if (run->inherited)
    return hk_locality_left_ms (expected,
                                expected * MIN (run->progress_percent, 100)
                                        / 100.0
                                    + (double)(now - run->progress_ms),
                                0);
  return hk_locality_left_ms (expected, (double)(now - run->started_ms),
                              run->progress_percent);
}

static int
compare_ends (gconstpointer a, gconstpointer b)
{
  const struct run_end *x = a;
  const struct run_end *y = b;

  return x->left_ms < y->left_ms ? -1 : x->left_ms > y->left_ms;
}

static unsigned
count_fitting (const hk_step_spec *spec, int64_t cpu_milli, int64_t memory_mb)
{
  int64_t n = cpu_milli / MAX ((int64_t)spec->cpu_milli, 1);

  n = MIN (n, memory_mb / MAX ((int64_t)spec->memory_mb, 1));
  return (unsigned)CLAMP (n, 0, HK_LOCALITY_SLOTS_MAX);
}

static void
collect_ends (struct hk_coord *c, GArray *ends, const struct hk_instance *in,
              gboolean best_effort, int64_t now)
{
  const struct hk_run *run;

  g_array_set_size (ends, 0);
  LIST_FOREACH (run, &in->runs, link)
  {
    const hk_step_spec *spec = run->task->step->spec;
    struct run_end end = { .memory_mb = spec->memory_mb };

    if ((spec->flags & HK_STEP_SERVICE) && !run->to_stop)
      continue;
    if (((spec->flags & HK_STEP_BEST_EFFORT) != 0) == best_effort)
      end.cpu_milli = spec->cpu_milli;
    end.left_ms = run_left_ms (c, run, now);
    g_array_append_val (ends, end);
  }
  g_array_sort (ends, compare_ends);
}

/* Slots that ends of runs on an instance will free for tasks of a step. Of
   best-effort tasks these are the slots of other such tasks: how much CPU
   services leave is not known ahead. */
static void
add_slots (struct hk_locality_slots *s, GArray *ends,
           const struct hk_instance *in, const hk_step_spec *spec)
{
  int64_t memory_mb = (int64_t)in->memory_mb - in->used_memory_mb;
  int64_t cpu_milli = spec->flags & HK_STEP_BEST_EFFORT
                          ? 0
                          : (int64_t)in->cpu_milli - in->used_cpu_milli;
  unsigned n = count_fitting (spec, cpu_milli, memory_mb);

  for (guint i = 0; i < ends->len; i++)
    {
      const struct run_end *end = &g_array_index (ends, struct run_end, i);
      unsigned fitting;

      cpu_milli += end->cpu_milli;
      memory_mb += end->memory_mb;
      fitting = count_fitting (spec, cpu_milli, memory_mb);
      if (fitting > n)
        hk_locality_slots_add (s, end->left_ms, fitting - n);
      n = MAX (n, fitting);
    }
}

/* The slots are computed once a pass, for the first step that asks; others
   take them to be of the same size. */
struct hk_locality_slots *
coord_rack_slots (struct coord_pass *p, struct coord_rack *rack,
                  const struct hk_engine_step *step)
{
  gboolean best_effort = (step->spec->flags & HK_STEP_BEST_EFFORT) != 0;
  struct hk_locality_slots *s = &rack->slots[best_effort];
  g_autoptr (GArray) ends = NULL;

  if (rack->slots_pass[best_effort] == p->c->locality.pass)
    return s;
  rack->slots_pass[best_effort] = p->c->locality.pass;
  ends = g_array_new (FALSE, FALSE, sizeof (struct run_end));
  s->n = 0;
  for (guint i = 0; i < rack->instances->len; i++)
    {
      const struct hk_instance *in = rack->instances->pdata[i];

      if (!coord_accepts_runs (in, step, p->now))
        continue;
      collect_ends (p->c, ends, in, best_effort, p->now);
      add_slots (s, ends, in, step->spec);
    }
  return s;
}

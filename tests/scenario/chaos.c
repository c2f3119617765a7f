/* Random load and faults. All choices come from one seeded generator, so a
   seed reproduces the sequence of faults, but not their exact timing. */
#include <signal.h>
#include <string.h>

#include "commands.h"
#include "hyssopkeel/clock.h"

#define STEP_MIN_MS 50
#define STEP_MAX_MS 600
#define JOB_LIMIT_MS 90000

struct chaos
{
  struct scenario *s;
  GRand *random;
  int n_jobs;
  int n_groups;
  int faults;
};

static int
random_below (struct chaos *c, int n)
{
  return g_rand_int_range (c->random, 0, n);
}

static void
wait_random (struct chaos *c)
{
  int64_t until = hk_clock_ms ()
                  + g_rand_int_range (c->random, STEP_MIN_MS, STEP_MAX_MS);

  while (hk_clock_ms () < until)
    cluster_spin ();
}

static void
send_random_load (struct chaos *c)
{
  struct scenario *s = c->s;
  int g = c->n_groups++;

  switch (random_below (c, 5))
    {
    case 0:
      scenario_run (s, "send g%d n=20 gap=10 query=work_ms=%d", g,
                    random_below (c, 60));
      break;
    case 1:
      scenario_run (s,
                    "send g%d n=10 gap=15 route=order key=g%d-%% "
                    "query=work_ms=%d deadline=1500",
                    g, g, random_below (c, 80));
      break;
    case 2:
      /* Sends the same keys through both entries. */
      scenario_run (s, "send g%d n=5 gap=5 route=order key=k%d-%% via=e1", g,
                    g);
      scenario_run (s, "send g%d n=5 gap=5 route=order key=k%d-%% via=e2", g,
                    g);
      break;
    case 3:
      scenario_run (s, "send g%d n=10 gap=5 route=order query=work_ms=%d", g,
                    random_below (c, 40));
      break;
    default:
      scenario_run (s, "send g%d n=30 gap=2 deadline=150 query=work_ms=40", g);
      break;
    }
}

/* Submits a job by the command line, which writes it to the store, since an
   entry may be down. */
static void
submit_random_job (struct chaos *c)
{
  g_autofree char *id = g_strdup_printf ("--id=j%d", c->n_jobs++);
  g_autofree char *payload
      = g_strdup_printf ("--payload={\"work_ms\":%d,\"result\":\"ok\"}",
                         300 + random_below (c, 1500));
  const char *argv[] = { "jobs", "submit", id, payload, "tint", NULL };

  cluster_cli (&c->s->cluster, argv, NULL);
}

static gboolean
process_is_running (struct chaos *c, const char *name)
{
  const struct process *p = cluster_process (&c->s->cluster, name);

  return p->child && !p->frozen;
}

static char *
pick_process (struct chaos *c, const char *kind)
{
  int n = kind[0] == 'e' ? c->s->cluster.n_entries : c->s->cluster.n_workers;

  return g_strdup_printf ("%s%d", kind, 1 + random_below (c, n));
}

/* Ends the faults of the store and the links, then continues or restarts all
   processes. */
static void
heal_all (struct chaos *c)
{
  struct cluster *cl = &c->s->cluster;

  scenario_run (c->s, "store outage false");
  scenario_run (c->s, "store slow_ms 0");
  scenario_run (c->s, "store hang_watches false");
  for (guint i = 0; i < cl->relays->len; i++)
    relay_heal (g_ptr_array_index (cl->relays, i));
  for (guint i = 0; i < cl->processes->len; i++)
    {
      struct process *p = g_ptr_array_index (cl->processes, i);

      if (p->frozen)
        process_signal (p, SIGCONT);
      if (!p->child)
        process_start (cl, p);
    }
}

static void
inject_process_fault (struct chaos *c)
{
  static const char *const kinds[] = { "e", "a", "w", "a" };
  g_autofree char *name = pick_process (c, kinds[random_below (c, 4)]);
  int fault = random_below (c, 3);

  if (!process_is_running (c, name))
    {
      heal_all (c);
      return;
    }
  if (fault == 0)
    scenario_run (c->s, "kill %s", name);
  else if (fault == 1)
    scenario_run (c->s, "freeze %s", name);
  else if (name[0] == 'w')
    scenario_run (c->s, "worker %s fail_all=0", name);
  else
    process_kill (&c->s->cluster, cluster_process (&c->s->cluster, name));
}

static void
inject_link_fault (struct chaos *c)
{
  static const char *const directions[] = { "both", "to", "from" };
  const GPtrArray *relays = c->s->cluster.relays;
  struct relay *r
      = g_ptr_array_index (relays, random_below (c, (int)relays->len));

  if (random_below (c, 3) == 0)
    scenario_run (c->s, "reset %s", r->name);
  else if (random_below (c, 3) == 0)
    scenario_run (c->s, "delay %s %d", r->name, random_below (c, 300));
  else
    scenario_run (c->s, "cut %s %s", r->name, directions[random_below (c, 3)]);
}

static void
inject_store_fault (struct chaos *c)
{
  switch (random_below (c, 6))
    {
    case 0:
      scenario_run (c->s, "store outage true");
      break;
    case 1:
      scenario_run (c->s, "store slow_ms %d", random_below (c, 400));
      break;
    case 2:
      scenario_run (c->s, "store lose_answers %d", 1 + random_below (c, 3));
      break;
    case 3:
      scenario_run (c->s, "store cut_watches true");
      break;
    case 4:
      scenario_run (c->s, "store hang_watches true");
      break;
    default:
      scenario_run (c->s, "store compact true");
      break;
    }
}

static void
edit_route_deadline (struct chaos *c)
{
  const char *who = random_below (c, 2) ? "amy" : "bob";
  g_autofree char *row
      = g_strdup_printf ("deadline_ms=%d", 500 + random_below (c, 2000));
  const char *argv[] = { "--who", who, "edit", "routes/order", row, NULL };

  cluster_cli (&c->s->cluster, argv, NULL);
}

static void
run_step (struct chaos *c)
{
  send_random_load (c);
  if (random_below (c, 3) == 0)
    submit_random_job (c);
  switch (random_below (c, 7))
    {
    case 0:
    case 1:
      inject_process_fault (c);
      break;
    case 2:
      inject_link_fault (c);
      break;
    case 3:
      inject_store_fault (c);
      break;
    case 4:
      edit_route_deadline (c);
      break;
    default:
      heal_all (c);
      break;
    }
  c->faults++;
  wait_random (c);
  scenario_check_revisions (c->s);
}

static void
wait_for_jobs (struct chaos *c)
{
  for (int i = 0; i < c->n_jobs; i++)
    {
      g_autofree char *id = g_strdup_printf ("j%d", i);
      const char *argv[] = { "jobs", "show", id, NULL };

      /* The submission failed if the store was down. */
      if (cluster_cli (&c->s->cluster, argv, NULL) == 0)
        scenario_run (c->s, "wait-job %s state=done", id);
    }
}

void
scenario_chaos (struct scenario *s, char **words)
{
  const char *seed = g_getenv ("HK_SEED");
  struct chaos c = { .s = s };
  int steps = scenario_number (words, "steps", 20);
  guint32 seed_value = (guint32)(seed ? g_ascii_strtoll (seed, NULL, 10)
                                      : scenario_number (words, "seed", 1));

  c.random = g_rand_new_with_seed (seed_value);
  for (int i = 0; i < steps; i++)
    run_step (&c);
  heal_all (&c);
  scenario_run (s, "await");
  wait_for_jobs (&c);
  g_print ("# chaos seed=%u faults=%d requests=%u jobs=%d unknown=%d\n",
           seed_value, c.faults, s->traffic.requests->len, c.n_jobs,
           traffic_count (&s->traffic, NULL, "unknown"));
  g_rand_free (c.random);
}

/* Faults of the soak. Each is over by itself after some seconds; several are
   in progress at any time, and series hit the same or related processes. */
#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <sys/wait.h>

#include "hyssopkeel/clock.h"

#define FAULT_MAX_MS 4000
#define SERIES_STEP_MAX_MS 1200
#define STARTUP_MAX_MS 1000
#define ENDPOINT_DOWN_MAX_MS 3000
/* Entries give up an attempt and try again within this time. */
#define PEERS_OUTAGE_MS 1800
#define PEERS_STEP_MS 400

/* A part of a series that is still to come. */
struct soak_action
{
  TAILQ_ENTRY (soak_action) link;
  int64_t due_ms;
  void (*run) (struct soak *s, struct soak_node *n, int arg);
  struct soak_node *node;
  int arg;
};

static int
random_ms (struct soak *s, int low, int high)
{
  return g_rand_int_range (s->rand, low, high);
}

static void
schedule (struct soak *s, int64_t delay_ms,
          void (*run) (struct soak *s, struct soak_node *n, int arg),
          struct soak_node *n, int arg)
{
  struct soak_action *action = g_new0 (struct soak_action, 1);

  action->due_ms = hk_clock_ms () + delay_ms;
  action->run = run;
  action->node = n;
  action->arg = arg;
  TAILQ_INSERT_TAIL (&s->actions, action, link);
}

/* Faults of one process */

void
soak_node_end (struct soak_node *n, int sig, int64_t down_ms)
{
  if (!n->pid)
    return;
  if (n->entry && (sig == SIGKILL || n->thaw_at_ms))
    n->entry->disrupted_ms = hk_clock_ms ();
  if (n->entry)
    n->entry->stopping = TRUE;
  /* A frozen process handles a signal only once it continues. */
  kill (n->pid, SIGCONT);
  n->thaw_at_ms = 0;
  kill (n->pid, sig);
  n->start_at_ms = hk_clock_ms () + down_ms;
}

static void
node_signal (struct soak *s, struct soak_node *n, int sig)
{
  int64_t down_ms = random_ms (s, 100, 1500);

  if (sig != SIGHUP)
    soak_node_end (n, sig, down_ms);
  /* Before its handler is installed, the signal ends a process. */
  else if (n->pid && hk_clock_ms () - n->started_ms > STARTUP_MAX_MS)
    kill (n->pid, sig);
}

void
soak_node_freeze (struct soak_node *n, int64_t ms)
{
  int64_t until = hk_clock_ms () + ms;

  if (!n->pid)
    return;
  kill (n->pid, SIGSTOP);
  n->thaw_at_ms = until;
  if (n->entry)
    n->entry->disrupted_ms = until;
}

static void
node_freeze (struct soak *s, struct soak_node *n, int arg)
{
  (void)arg;
  soak_node_freeze (n, random_ms (s, 200, FAULT_MAX_MS));
}

void
soak_node_cut (struct soak_node *n, int64_t ms)
{
  n->store_link->cut_to = n->store_link->cut_from = TRUE;
  n->heal_at_ms = hk_clock_ms () + ms;
}

static void
link_disturb (struct soak *s, struct soak_node *n, int arg)
{
  int kind = g_rand_int_range (s->rand, 0, 4);
  struct relay *r = n->worker_link && g_rand_boolean (s->rand) ? n->worker_link
                                                               : n->store_link;

  (void)arg;
  if (kind <= 1)
    r->cut_from = TRUE;
  if (kind == 0)
    r->cut_to = TRUE;
  else if (kind == 2)
    r->delay_ms = random_ms (s, 20, 300);
  else if (kind == 3)
    relay_reset (r);
  n->heal_at_ms = hk_clock_ms () + random_ms (s, 200, FAULT_MAX_MS);
}

static void
endpoint_crash (struct soak *s, struct soak_node *n, int arg)
{
  int down_ms = random_ms (s, 20, ENDPOINT_DOWN_MAX_MS);

  (void)arg;
  soak_worker_crash (n->worker, down_ms, g_rand_boolean (s->rand));
}

static void
endpoint_mute (struct soak *s, struct soak_node *n, int arg)
{
  (void)arg;
  if (s->late)
    n->worker->late_orders = g_rand_int_range (s->rand, 1, 20);
  else
    n->worker->lost_replies = g_rand_int_range (s->rand, 1, 5);
}

static void
endpoint_resize (struct soak *s, struct soak_node *n, int cores)
{
  int full = SOAK_WORKER_CPU_MILLI / 1000;

  if (cores < full)
    schedule (s, random_ms (s, 1000, 8000), endpoint_resize, n, full);
  soak_worker_resize (n->worker, (unsigned)cores * 1000);
}

/* Faults of all */

static void
store_disturb (struct soak *s, struct soak_node *n, int arg)
{
  int kind = g_rand_int_range (s->rand, 0, 4);

  (void)n;
  (void)arg;
  if (kind == 0)
    s->store.down = TRUE;
  else if (kind == 1)
    s->store.unresponsive = TRUE;
  else if (kind == 2)
    s->store.lost_replies = g_rand_int_range (s->rand, 1, 6);
  else
    s->store.reply_delay_ms = (unsigned)random_ms (s, 20, 250);
  s->store_heal_at_ms = hk_clock_ms () + random_ms (s, 200, FAULT_MAX_MS);
}

static void
config_change (struct soak *s, struct soak_node *n, int arg)
{
  (void)n;
  (void)arg;
  soak_config_put (s);
}

static void
kill_all (struct soak *s, struct soak_node *n, int one_in)
{
  (void)n;
  if (g_rand_int_range (s->rand, 0, one_in) > 0)
    return;
  for (unsigned i = 0; i < s->n_entries + s->n_agents; i++)
    node_signal (s, &s->nodes[i], SIGKILL);
}

/* Links between entries */

static void
peers_release (struct soak *s, struct soak_node *n, int arg)
{
  (void)n;
  (void)arg;
  s->peers_held = FALSE;
  for (unsigned i = 0; i < s->n_entries; i++)
    relay_heal (s->nodes[i].peer_link);
}

static void
store_fail (struct soak *s, struct soak_node *n, int ms)
{
  (void)n;
  if (g_rand_boolean (s->rand))
    s->store.down = TRUE;
  else
    s->store.unresponsive = TRUE;
  s->store_heal_at_ms = hk_clock_ms () + ms;
}

/* Series */

/* Entries cannot reach each other over the connections that are open, or not
   at all, for longer than they wait for an answer. What was held back arrives
   shortly after an outage of the store, in which they refuse jobs. */
static void
series_peers (struct soak *s, struct soak_node *n, int cut)
{
  int begin_ms = random_ms (s, 0, PEERS_STEP_MS);
  int outage_ms = random_ms (s, PEERS_OUTAGE_MS, PEERS_OUTAGE_MS * 3 / 2);

  if (s->peers_held)
    return;
  s->peers_held = TRUE;
  for (unsigned i = 0; i < s->n_entries; i++)
    if (cut)
      s->nodes[i].peer_link->cut_to = s->nodes[i].peer_link->cut_from = TRUE;
    else
      relay_hold (s->nodes[i].peer_link);
  schedule (s, begin_ms, store_fail, NULL, outage_ms);
  if (g_rand_int_range (s->rand, 0, 4) == 0)
    schedule (s, begin_ms, node_signal, n, SIGKILL);
  schedule (s, begin_ms + outage_ms + random_ms (s, 0, PEERS_STEP_MS),
            peers_release, NULL, 0);
}

/* An endpoint crashes while orders are unanswered, with @sig shortly after its
   agent is restarted. */
static void
series_machine (struct soak *s, struct soak_node *n, int sig)
{
  int at_ms = random_ms (s, 50, SERIES_STEP_MAX_MS);

  endpoint_mute (s, n, 0);
  if (sig)
    schedule (s, at_ms, node_signal, n, sig);
  schedule (s, at_ms + random_ms (s, 0, SERIES_STEP_MAX_MS), endpoint_crash, n,
            0);
}

/* All entries stop and start, one after the other, while the operator changes
   the config. */
static void
series_rolling (struct soak *s, struct soak_node *n, int arg)
{
  int at_ms = 0;

  (void)n;
  (void)arg;
  for (unsigned i = 0; i < s->n_entries; i++)
    {
      schedule (s, at_ms, node_signal, &s->nodes[i], SIGTERM);
      schedule (s, at_ms, node_signal, &s->nodes[(i + 1) % s->n_entries],
                SIGHUP);
      at_ms += random_ms (s, 300, 4 * SERIES_STEP_MAX_MS);
      schedule (s, at_ms, config_change, NULL, 0);
    }
}

/* A process is stopped, frozen or killed while it stops, and killed again when
   it is back, while the store is disturbed. */
static void
series_process (struct soak *s, struct soak_node *n, int sig)
{
  int at_ms = random_ms (s, 50, SERIES_STEP_MAX_MS);

  node_signal (s, n, SIGTERM);
  schedule (s, at_ms, sig == SIGSTOP ? node_freeze : node_signal, n, sig);
  at_ms += random_ms (s, 100, 2 * SERIES_STEP_MAX_MS);
  schedule (s, at_ms, store_disturb, NULL, 0);
  schedule (s, at_ms, node_signal, n, SIGKILL);
}

struct fault
{
  int share;
  void (*run) (struct soak *s, struct soak_node *n, int arg);
  int arg;
  gboolean of_agent;
};

static const struct fault faults[] = {
  { 4, node_signal, SIGKILL, FALSE },    { 2, node_signal, SIGTERM, FALSE },
  { 1, node_signal, SIGHUP, FALSE },     { 3, node_freeze, 0, FALSE },
  { 3, link_disturb, 0, FALSE },         { 2, store_disturb, 0, FALSE },
  { 1, config_change, 0, FALSE },        { 1, kill_all, 6, FALSE },
  { 1, endpoint_crash, 0, TRUE },        { 1, endpoint_mute, 0, TRUE },
  { 1, endpoint_resize, 1, TRUE },       { 1, endpoint_resize, 3, TRUE },
  { 1, series_machine, SIGTERM, TRUE },  { 1, series_machine, SIGKILL, TRUE },
  { 1, series_rolling, 0, FALSE },       { 1, series_process, SIGSTOP, FALSE },
  { 1, series_process, SIGKILL, FALSE }, { 8, series_peers, 0, FALSE },
  { 2, series_peers, 1, FALSE },
};

/* With late orders, an endpoint that crashes is the fault of interest. */
static int
fault_share (const struct soak *s, const struct fault *f)
{
  if (f->run == series_peers && !s->peers)
    return 0;
  return s->late && f->run == series_machine ? 5 * f->share : f->share;
}

void
soak_inject_fault (struct soak *s)
{
  const struct fault *f = faults;
  int total = 0;
  int pick;
  unsigned first;

  /* The choices of a fault depend on the seed and its number alone. */
  g_rand_set_seed (s->rand, s->seed * 1000003U + s->faults++);
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    total += fault_share (s, &faults[i]);
  pick = g_rand_int_range (s->rand, 0, total);
  for (; pick >= fault_share (s, f); f++)
    pick -= fault_share (s, f);
  first = f->of_agent ? s->n_entries : 0;
  f->run (s,
          &s->nodes[g_rand_int_range (s->rand, (gint32)first,
                                      (gint32)(s->n_entries + s->n_agents))],
          f->arg);
}

/* Recovery */

static void
run_actions (struct soak *s, gboolean drop)
{
  struct soak_action *action;
  struct soak_action *next;

  for (action = TAILQ_FIRST (&s->actions); action; action = next)
    {
      next = TAILQ_NEXT (action, link);
      if (!drop && hk_clock_ms () < action->due_ms)
        continue;
      TAILQ_REMOVE (&s->actions, action, link);
      if (!drop)
        action->run (s, action->node, action->arg);
      g_free (action);
    }
}

static void
node_start (struct soak *s, struct soak_node *n)
{
  g_autofree char *program
      = g_build_filename (g_getenv ("HK_BUILD_DIR"), "hyssopkeel-node", NULL);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", s->dir, n->name);
  char *argv[] = { program, (char *)"--settings", n->settings, NULL };
  g_autoptr (GError) gerr = NULL;
  FILE *out = fopen (log, "a");

  g_assert_nonnull (out);
  g_spawn_async_with_fds (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
                          NULL, &n->pid, -1, fileno (out), fileno (out),
                          &gerr);
  g_assert_no_error (gerr);
  fclose (out);
  n->started_ms = hk_clock_ms ();
  if (n->entry)
    n->entry->stopping = FALSE;
}

static void
node_recover (struct soak *s, struct soak_node *n, gboolean all)
{
  int64_t now = hk_clock_ms ();
  int status;

  all = all && now >= n->silent_until_ms;
  if (n->pid && waitpid (n->pid, &status, WNOHANG) == n->pid)
    {
      if (!n->start_at_ms)
        soak_violation (&s->oracle, "%s exited unexpectedly, wait status %#x",
                        n->name, (unsigned)status);
      n->pid = 0;
    }
  if (n->pid && n->thaw_at_ms && (all || now >= n->thaw_at_ms))
    {
      kill (n->pid, SIGCONT);
      n->thaw_at_ms = 0;
    }
  if (!n->pid && (all || now >= n->start_at_ms))
    {
      n->start_at_ms = 0;
      node_start (s, n);
    }
  if (all || (n->heal_at_ms && now >= n->heal_at_ms))
    {
      n->heal_at_ms = 0;
      relay_heal (n->store_link);
      if (n->worker_link)
        relay_heal (n->worker_link);
      if (n->peer_link)
        relay_heal (n->peer_link);
    }
}

void
soak_recover_due (struct soak *s, gboolean all)
{
  run_actions (s, all);
  for (unsigned i = 0; i < s->n_entries + s->n_agents; i++)
    node_recover (s, &s->nodes[i], all);
  if (all)
    for (unsigned i = 0; i < s->n_agents; i++)
      {
        s->workers[i].lost_replies = s->workers[i].late_orders = 0;
        soak_worker_resize (&s->workers[i], SOAK_WORKER_CPU_MILLI);
      }
  if (all || hk_clock_ms () >= s->store_heal_at_ms)
    {
      s->store.down = s->store.unresponsive = FALSE;
      s->store.lost_replies = 0;
      s->store.reply_delay_ms = 0;
    }
}

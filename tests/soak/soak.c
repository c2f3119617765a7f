/* Randomized soak test. Entries and agents run as separate processes against
   a store and workers simulated in this process. Signals and relays inject
   faults; clients and workers check the guarantees from what they observe.

   soak [--seed N] [--seconds S]; the last line printed is the summary. */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "../scenario/relay.h"
#include "../support/jobs.h"
#include "clients.h"
#include "hyssopkeel/clock.h"

#define ENTRIES 3
#define AGENTS 4
#define NODES (ENTRIES + AGENTS)
/* Twice the longest lease grant or renewal under the settings below. */
#define SETTLE_MS 16000
#define STARTUP_MS 3000
#define FAULT_INTERVAL_MS 350
#define FAULT_MAX_MS 4000

struct node
{
  char *name;
  char *settings;
  struct relay *store_link;
  struct relay *worker_link; /* agents only */
  GPid pid;
  int64_t start_at_ms;
  int64_t thaw_at_ms;
  int64_t heal_at_ms;
};

struct soak
{
  struct soak_store store;
  struct soak_oracle oracle;
  struct soak_clients clients;
  struct soak_worker workers[AGENTS];
  struct node nodes[NODES];
  GRand *rand;
  char *dir;
  int64_t store_heal_at_ms;
  unsigned faults;
};

static void
write_settings (struct soak *s, struct node *n, const char *text)
{
  n->settings = g_strdup_printf ("%s/%s.json", s->dir, n->name);
  g_assert_true (g_file_set_contents (n->settings, text, -1, NULL));
}

static void
node_start (struct soak *s, struct node *n)
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
}

static void
entry_init (struct soak *s, int i)
{
  struct node *n = &s->nodes[i];
  g_autofree char *rpc = soak_address ();
  g_autofree char *clients = soak_address ();
  g_autofree char *ready = soak_address ();
  g_autofree char *metrics = soak_address ();
  g_autofree char *via = soak_address ();
  g_autofree char *text = NULL;

  n->name = g_strdup_printf ("entry-%d", i);
  n->store_link = relay_new (n->name, via, s->store.address);
  text = g_strdup_printf (
      "{\"role\":\"entry\",\"name\":\"%s\",\"domain\":\"d\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"rpc\":\"%s\",\"clients\":\"%s\","
      "\"readiness\":\"%s\",\"own_ms\":4000,\"grant_ms\":1000,"
      "\"hold_ms\":1500,\"stop_limit_s\":4}",
      n->name, via, metrics, rpc, clients, ready);
  write_settings (s, n, text);
  soak_clients_add_entry (&s->clients, clients);
}

static void
agent_init (struct soak *s, int i)
{
  struct node *n = &s->nodes[ENTRIES + i];
  g_autofree char *reports = soak_address ();
  g_autofree char *metrics = soak_address ();
  g_autofree char *via = soak_address ();
  g_autofree char *via_worker = soak_address ();
  g_autofree char *text = NULL;

  n->name = g_strdup_printf ("agent-%d", i);
  soak_worker_start (&s->workers[i], n->name, reports, &s->oracle);
  n->store_link = relay_new (n->name, via, s->store.address);
  n->worker_link = relay_new (n->name, via_worker, s->workers[i].address);
  text = g_strdup_printf (
      "{\"role\":\"agent\",\"name\":\"%s\",\"domain\":\"d\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"reports\":\"%s\",\"worker\":\"%s\","
      "\"pool\":\"pool\",\"own_ms\":4000,\"grant_ms\":1000,\"hold_ms\":1500}",
      n->name, via, metrics, reports, via_worker);
  write_settings (s, n, text);
}

/* Faults */

static void
node_terminate (struct soak *s, struct node *n, int sig, int64_t down_ms)
{
  if (!n->pid)
    return;
  /* A frozen process handles a signal only once it continues. */
  kill (n->pid, SIGCONT);
  n->thaw_at_ms = 0;
  kill (n->pid, sig);
  n->start_at_ms = hk_clock_ms () + down_ms;
  (void)s;
}

static void
inject_link_fault (struct soak *s, struct relay *r, struct node *n,
                   int64_t until)
{
  switch (g_rand_int_range (s->rand, 0, 4))
    {
    case 0:
      r->cut_to = r->cut_from = TRUE;
      break;
    case 1:
      r->cut_from = TRUE;
      break;
    case 2:
      r->delay_ms = g_rand_int_range (s->rand, 20, 300);
      break;
    default:
      relay_reset (r);
    }
  n->heal_at_ms = until;
}

static void
inject_store_fault (struct soak *s, int64_t until)
{
  switch (g_rand_int_range (s->rand, 0, 4))
    {
    case 0:
      s->store.down = TRUE;
      break;
    case 1:
      s->store.unresponsive = TRUE;
      break;
    case 2:
      s->store.lost_replies = g_rand_int_range (s->rand, 1, 6);
      break;
    default:
      s->store.reply_delay_ms = (unsigned)g_rand_int_range (s->rand, 20, 250);
    }
  s->store_heal_at_ms = until;
}

static void
inject_worker_fault (struct soak *s)
{
  struct soak_worker *w = &s->workers[g_rand_int_range (s->rand, 0, AGENTS)];

  if (g_rand_boolean (s->rand))
    soak_worker_crash (w);
  else
    w->lost_replies = g_rand_int_range (s->rand, 1, 5);
}

static void
inject_fault (struct soak *s)
{
  struct node *n = &s->nodes[g_rand_int_range (s->rand, 0, NODES)];
  int64_t now = hk_clock_ms ();
  int64_t until = now + g_rand_int_range (s->rand, 200, FAULT_MAX_MS);
  int kind = g_rand_int_range (s->rand, 0, 16);

  s->faults++;
  if (kind < 4)
    node_terminate (s, n, SIGKILL, g_rand_int_range (s->rand, 100, 1500));
  else if (kind < 6)
    node_terminate (s, n, SIGTERM, g_rand_int_range (s->rand, 100, 1500));
  else if (kind < 9 && n->pid)
    {
      kill (n->pid, SIGSTOP);
      n->thaw_at_ms = until;
    }
  else if (kind < 12)
    inject_link_fault (s,
                       n->worker_link && g_rand_boolean (s->rand)
                           ? n->worker_link
                           : n->store_link,
                       n, until);
  else if (kind < 14)
    inject_store_fault (s, until);
  else if (kind < 15)
    inject_worker_fault (s);
  else if (g_rand_int_range (s->rand, 0, 6) == 0)
    for (int i = 0; i < NODES; i++)
      node_terminate (s, &s->nodes[i], SIGKILL, 500);
}

/* Restarts and continues processes and heals links and the store, where it is
   due; with @all at once. */
static void
recover_due (struct soak *s, gboolean all)
{
  int64_t now = hk_clock_ms ();

  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &s->nodes[i];

      if (n->pid && waitpid (n->pid, NULL, WNOHANG) == n->pid)
        {
          if (!n->start_at_ms)
            soak_violation (&s->oracle, "%s exited unexpectedly", n->name);
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
        }
    }
  if (all || now >= s->store_heal_at_ms)
    {
      s->store.down = s->store.unresponsive = FALSE;
      s->store.lost_replies = 0;
      s->store.reply_delay_ms = 0;
    }
}

static void
soak_init (struct soak *s, unsigned seed)
{
  memset (s, 0, sizeof *s);
  s->dir = g_dir_make_tmp ("hyssopkeel-soak-XXXXXX", NULL);
  s->rand = g_rand_new_with_seed (seed);
  soak_oracle_init (&s->oracle);
  soak_store_start (&s->store);
  soak_clients_init (&s->clients, &s->oracle, seed);
  for (int i = 0; i < ENTRIES; i++)
    entry_init (s, i);
  for (int i = 0; i < AGENTS; i++)
    agent_init (s, i);
  soak_store_put (&s->store, "op/config",
                  "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
                  "\"prefix\":\"/q/\",\"service\":\"pool\",\"priority\":1,"
                  "\"maxAttempts\":1000,\"stretchFactor\":2,"
                  "\"targetCompletionMs\":1000}]}");
}

static void
soak_finish (struct soak *s)
{
  for (int i = 0; i < NODES; i++)
    if (s->nodes[i].pid)
      {
        kill (s->nodes[i].pid, SIGKILL);
        waitpid (s->nodes[i].pid, NULL, 0);
      }
  soak_clients_finish (&s->clients);
  for (int i = 0; i < AGENTS; i++)
    soak_worker_stop (&s->workers[i]);
  for (int i = 0; i < NODES; i++)
    {
      relay_free (s->nodes[i].store_link);
      if (s->nodes[i].worker_link)
        relay_free (s->nodes[i].worker_link);
      g_free (s->nodes[i].name);
      g_free (s->nodes[i].settings);
    }
  soak_store_stop (&s->store);
  soak_oracle_finish (&s->oracle);
  g_rand_free (s->rand);
  g_free (s->dir);
}

static void
run_for (struct soak *s, int64_t ms, gboolean faults)
{
  int64_t until = hk_clock_ms () + ms;
  int64_t next = hk_clock_ms ();

  while (hk_clock_ms () < until)
    {
      if (faults && hk_clock_ms () >= next)
        {
          inject_fault (s);
          next = hk_clock_ms ()
                 + g_rand_int_range (s->rand, 50, 2 * FAULT_INTERVAL_MS);
        }
      recover_due (s, FALSE);
      test_run_for (20);
    }
}

int
main (int argc, char **argv)
{
  int seed = 1;
  int seconds = 10;
  GOptionEntry options[]
      = { { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
          { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
            "Duration with faults", "S" },
          { NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("- fault soak");
  struct soak s;
  unsigned violations;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL)
      || !g_getenv ("HK_BUILD_DIR"))
    {
      g_printerr ("soak: set HK_BUILD_DIR; see --help\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  soak_init (&s, (unsigned)seed);
  recover_due (&s, TRUE);
  run_for (&s, STARTUP_MS, FALSE);
  soak_clients_start (&s.clients);
  run_for (&s, seconds * 1000, TRUE);
  recover_due (&s, TRUE);
  soak_clients_pause (&s.clients);
  run_for (&s, SETTLE_MS, FALSE);
  soak_clients_check (&s.clients);
  violations = s.oracle.violations;
  g_print ("seed=%d faults=%u jobs=%u accepted=%u refused=%u unknown=%u "
           "cancelled=%u starts=%u violations=%u%s%s\n",
           seed, s.faults, s.clients.submitted, s.clients.accepted,
           s.clients.refused, s.clients.unknown, s.clients.cancelled,
           s.oracle.starts, violations, violations ? " logs=" : "",
           violations ? s.dir : "");
  soak_finish (&s);
  return violations ? 1 : 0;
}

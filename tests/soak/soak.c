/* Randomized soak test. Entries and agents run as separate processes against
   a store and workers simulated in this process. Signals, relays and the
   stand-ins inject faults; clients and workers check the guarantees from what
   they observe. The last line printed is the summary; see --help. */
#include "soak.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include "../support/jobs.h"
#include "hyssopkeel/clock.h"

/* Twice the longest lease grant or renewal under the settings below. */
#define SETTLE_MS 16000
/* In a chain, fewer jobs are submitted, as half of the agents are silent;
   fewer still at first after the other faults. */
#define CHAIN_SUBMIT_FACTOR 2
#define CHAIN_CALM_SUBMIT_FACTOR 2
#define CHAIN_CALM_MS 8000
/* With evacuations, faults are rarer: a start in an evacuated domain counts
   only on a machine that was not disrupted for seconds. */
#define EVACUATE_FAULT_FACTOR 6
/* With links that deliver late, too: an entry that is killed meanwhile loses
   what it was to receive. */
#define PEERS_FAULT_FACTOR 3
/* Time between two looks at what is due, and when this process counts as
   having fallen behind. */
#define TURN_MS 20
#define TURN_MAX_MS 100

struct size
{
  const char *name;
  unsigned entries;
  unsigned agents;
  unsigned submit_interval_ms;
  unsigned fault_interval_ms;
  int64_t startup_ms;
};

static const struct size sizes[] = { { "small", 3, 4, 120, 350, 3000 },
                                     { "large", 8, 60, 60, 100, 10000 } };

static void
write_settings (struct soak *s, struct soak_node *n, const char *text)
{
  n->settings = g_strdup_printf ("%s/%s.json", s->dir, n->name);
  g_assert_true (g_file_set_contents (n->settings, text, -1, NULL));
}

static void
entry_init (struct soak *s, unsigned i)
{
  struct soak_node *n = &s->nodes[i];
  g_autofree char *rpc = soak_address ();
  g_autofree char *clients = soak_address ();
  g_autofree char *ready = soak_address ();
  g_autofree char *metrics = soak_address ();
  g_autofree char *via = soak_address ();
  g_autofree char *announce = s->peers ? soak_address () : g_strdup (rpc);
  g_autofree char *text = NULL;

  n->name = g_strdup_printf ("entry-%u", i);
  if (s->peers)
    n->peer_link = relay_new (n->name, announce, rpc);
  n->store_link = relay_new (n->name, via, s->store.address);
  text = g_strdup_printf (
      "{\"role\":\"entry\",\"name\":\"%s\",\"domain\":\"%s\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"rpc\":\"%s\",\"announce\":\"%s\","
      "\"clients\":\"%s\","
      "\"readiness\":\"%s\",\"own_ms\":4000,\"grant_ms\":1000,"
      "\"hold_ms\":1500,\"remote_factor\":%d}",
      n->name, soak_domain_name (s, i), via, metrics, rpc, announce, clients,
      ready, s->clients.racks ? SOAK_REMOTE_FACTOR : 0);
  write_settings (s, n, text);
  n->entry = soak_clients_add_entry (&s->clients, clients);
}

static void
agent_init (struct soak *s, unsigned i)
{
  struct soak_node *n = &s->nodes[s->n_entries + i];
  g_autofree char *reports = soak_address ();
  g_autofree char *metrics = soak_address ();
  g_autofree char *via = soak_address ();
  g_autofree char *via_worker = soak_address ();
  g_autofree char *text = NULL;

  n->name = g_strdup_printf ("agent-%u", i);
  n->worker = &s->workers[i];
  soak_worker_start (n->worker, n->name, reports, &s->oracle,
                     s->seed * 1009U + i);
  n->worker->odd = s->clients.odd;
  n->worker->on_start = soak_evacuations_check;
  n->worker->user = s;
  n->worker->racked = s->clients.racks;
  n->worker->rack = i % SOAK_RACKS;
  n->store_link = relay_new (n->name, via, s->store.address);
  /* A relay accepts connections also while the worker is down; connected
     directly, an agent is refused. */
  if (i % 2 == 0)
    n->worker_link = relay_new (n->name, via_worker, n->worker->address);
  text = g_strdup_printf (
      "{\"role\":\"agent\",\"name\":\"%s\",\"domain\":\"%s\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"reports\":\"%s\",\"worker\":\"%s\","
      "\"pool\":\"pool\",\"own_ms\":4000,\"grant_ms\":1000,\"hold_ms\":1500}",
      n->name, soak_domain_name (s, s->n_entries + i), via, metrics, reports,
      n->worker_link ? via_worker : n->worker->address);
  write_settings (s, n, text);
}

void
soak_config_put (struct soak *s)
{
  g_autofree char *text = NULL;

  /* Versions increase unevenly; some have a further route. */
  s->config_version += 1 + s->faults % 3;
  text = g_strdup_printf (
      "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"prefix\":\"/q/\",\"service\":\"pool\",\"priority\":1,"
      "\"maxAttempts\":1000,\"stretchFactor\":2,"
      "\"targetCompletionMs\":1000}%s]}",
      s->config_version,
      s->faults % 2 ? ",{\"name\":\"r2\",\"host\":\"h\",\"prefix\":\"/q/"
                      "2/\",\"service\":\"pool\"}"
                    : "");
  soak_store_put (&s->store, "op/config", text);
}

static void
soak_init (struct soak *s, const struct size *size, unsigned seed)
{
  s->dir = g_dir_make_tmp ("hyssopkeel-soak-XXXXXX", NULL);
  s->seed = seed;
  s->rand = g_rand_new_with_seed (seed);
  s->interval_ms = size->fault_interval_ms
                   * (s->evacuations.enabled ? EVACUATE_FAULT_FACTOR : 1)
                   * (s->peers ? PEERS_FAULT_FACTOR : 1);
  s->n_entries = size->entries;
  s->n_agents = size->agents;
  s->nodes = g_new0 (struct soak_node, s->n_entries + s->n_agents);
  s->workers = g_new0 (struct soak_worker, s->n_agents);
  TAILQ_INIT (&s->actions);
  soak_oracle_init (&s->oracle);
  soak_evacuations_init (s);
  soak_store_start (&s->store);
  soak_clients_init (&s->clients, &s->oracle, seed);
  for (unsigned i = 0; i < s->n_entries; i++)
    entry_init (s, i);
  for (unsigned i = 0; i < s->n_agents; i++)
    agent_init (s, i);
  soak_config_put (s);
}

static void
soak_finish (struct soak *s)
{
  unsigned n_nodes = s->n_entries + s->n_agents;

  for (unsigned i = 0; i < n_nodes; i++)
    if (s->nodes[i].pid)
      {
        kill (s->nodes[i].pid, SIGKILL);
        waitpid (s->nodes[i].pid, NULL, 0);
      }
  soak_clients_finish (&s->clients);
  for (unsigned i = 0; i < s->n_agents; i++)
    soak_worker_stop (&s->workers[i]);
  for (unsigned i = 0; i < n_nodes; i++)
    {
      relay_free (s->nodes[i].store_link);
      if (s->nodes[i].worker_link)
        relay_free (s->nodes[i].worker_link);
      if (s->nodes[i].peer_link)
        relay_free (s->nodes[i].peer_link);
      g_free (s->nodes[i].name);
      g_free (s->nodes[i].settings);
    }
  soak_store_stop (&s->store);
  soak_oracle_finish (&s->oracle);
  soak_evacuations_finish (s);
  g_rand_free (s->rand);
  g_free (s->nodes);
  g_free (s->workers);
  g_free (s->dir);
}

static void
run_for (struct soak *s, int64_t ms, gboolean faults)
{
  int64_t until = hk_clock_ms () + ms;
  int64_t next = hk_clock_ms ();
  int64_t turn;

  while (hk_clock_ms () < until)
    {
      if (faults && hk_clock_ms () >= next)
        {
          soak_inject_fault (s);
          next += g_rand_int_range (s->rand, (gint32)s->interval_ms / 7,
                                    (gint32)s->interval_ms * 2);
        }
      turn = hk_clock_ms ();
      test_run_for (TURN_MS);
      if (hk_clock_ms () > turn + TURN_MAX_MS)
        s->clients.stalled_ms = hk_clock_ms ();
    }
}

static gboolean
on_turn (gpointer data)
{
  struct soak *s = data;

  soak_recover_due (s, FALSE);
  soak_evacuations_run_due (s);
  soak_chain_run_due (s);
  soak_standing_check (s);
  return G_SOURCE_CONTINUE;
}

static void
print_summary (struct soak *s)
{
  const struct soak_clients *c = &s->clients;
  unsigned violations = s->oracle.violations;

  g_print ("seed=%u faults=%u chain=%d events=%u jobs=%u accepted=%u "
           "refused=%u unknown=%u "
           "cancelled=%u failed=%u harmless_failed=%u starts=%u late=%u "
           "responses=%u "
           "stopping=%u exempt=%u longest_wait_ms=%" G_GINT64_FORMAT
           " evacuations=%u evacuated_starts=%u "
           "evacuated_longest_ms=%" G_GINT64_FORMAT " violations=%u%s%s\n",
           s->seed, s->faults, s->chain.interval_ms, s->chain.events,
           c->submitted, c->accepted, c->refused, c->unknown, c->cancelled,
           c->failed, c->harmless_failed, s->oracle.starts,
           s->oracle.late_starts, c->responses, c->responses_stopping,
           c->cut_exempt, s->standing.longest_ms, s->evacuations.count,
           s->evacuations.starts, s->evacuations.longest_ms, violations,
           violations ? " logs=" : "", violations ? s->dir : "");
}

static const struct size *
find_size (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    if (strcmp (sizes[i].name, name) == 0)
      return &sizes[i];
  return NULL;
}

int
main (int argc, char **argv)
{
  struct soak s = { 0 };
  int seed = 1;
  int seconds = 10;
  g_autofree char *size_name = NULL;
  const struct size *size;
  GOptionEntry options[]
      = { { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
          { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
            "Duration with faults", "S" },
          { "size", 0, 0, G_OPTION_ARG_STRING, &size_name,
            "Number of processes: small (default) or large", "SIZE" },
          { "late", 0, 0, G_OPTION_ARG_NONE, &s.late,
            "Orders may be carried out seconds later", NULL },
          { "peers", 0, 0, G_OPTION_ARG_NONE, &s.peers,
            "Links between entries deliver what their senders have given up, "
            "while the store fails; some clients do not retry",
            NULL },
          { "odd", 0, 0, G_OPTION_ARG_NONE, &s.clients.odd,
            "Odd and long texts in jobs, lists and reports", NULL },
          { "racks", 0, 0, G_OPTION_ARG_NONE, &s.clients.racks,
            "Jobs have their data on a rack", NULL },
          { "deadly", 0, 0, G_OPTION_ARG_NONE, &s.clients.submit_deadly,
            "Some jobs have a task that crashes its workers", NULL },
          { "evacuate", 0, 0, G_OPTION_ARG_NONE, &s.evacuations.enabled,
            "An operator evacuates failure domains", NULL },
          { "chain", 0, 0, G_OPTION_ARG_INT, &s.chain.interval_ms,
            "Kill the leader each MS until the end, with silent agents and "
            "work that lasts",
            "MS" },
          { NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("- fault soak");
  unsigned submit_interval_ms;
  unsigned violations;
  guint turns;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL)
      || !(size = find_size (size_name ? size_name : "small"))
      || !g_getenv ("HK_BUILD_DIR"))
    {
      g_printerr ("soak: set HK_BUILD_DIR; see --help\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  s.clients.impatient = s.peers;
  soak_init (&s, size, (unsigned)seed);
  soak_recover_due (&s, TRUE);
  turns = g_timeout_add (TURN_MS, on_turn, &s);
  run_for (&s, size->startup_ms, FALSE);
  submit_interval_ms = size->submit_interval_ms
                       * (s.chain.interval_ms > 0 ? CHAIN_SUBMIT_FACTOR : 1);
  if (s.chain.interval_ms > 0)
    {
      s.clients.submit_lasting = TRUE;
      soak_chain_start (&s);
    }
  soak_clients_start (&s.clients, submit_interval_ms);
  s.evacuations.active = s.evacuations.enabled;
  run_for (&s, seconds * 1000, TRUE);
  soak_evacuations_end (&s);
  soak_recover_due (&s, TRUE);
  if (s.chain.interval_ms > 0)
    {
      soak_clients_set_interval (&s.clients, submit_interval_ms
                                                 * CHAIN_CALM_SUBMIT_FACTOR);
      run_for (&s, CHAIN_CALM_MS, FALSE);
    }
  soak_clients_pause (&s.clients);
  run_for (&s, SETTLE_MS, FALSE);
  soak_clients_check (&s.clients);
  g_source_remove (turns);
  print_summary (&s);
  violations = s.oracle.violations;
  soak_finish (&s);
  return violations ? 1 : 0;
}

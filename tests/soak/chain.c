/* A chain of takeovers: whoever leads is killed at a fixed interval, while
   some agents are frozen, killed or cut off from the store. */
#include "chain.h"

#include <signal.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/store.h"
#include "soak.h"

#define LEADER_DOWN_MIN_MS 100
#define LEADER_DOWN_MAX_MS 1500
#define SILENT_MIN_MS 2000
#define SILENT_MAX_MS 20000
/* Mean time between silences, times the number of agents. */
#define SILENCE_INTERVAL_MS 8000

struct soak_node *
soak_leader (struct soak *s)
{
  g_autofree char *text = soak_store_get (&s->store, HK_KEY_LEAD);
  g_autoptr (json_object) record = text ? json_tokener_parse (text) : NULL;

  for (unsigned i = 0; record && i < s->n_entries; i++)
    if (g_strcmp0 (s->nodes[i].name, hk_json_str (record, "name")) == 0)
      return &s->nodes[i];
  return NULL;
}

static void
leader_kill (struct soak *s)
{
  struct soak_node *leader = soak_leader (s);

  if (leader)
    soak_node_end (
        leader, SIGKILL,
        g_rand_int_range (s->rand, LEADER_DOWN_MIN_MS, LEADER_DOWN_MAX_MS));
}

static void
agent_silence (struct soak *s, struct soak_node *n)
{
  int ms = g_rand_int_range (s->rand, SILENT_MIN_MS, SILENT_MAX_MS);

  n->silent_until_ms = hk_clock_ms () + ms;
  switch (g_rand_int_range (s->rand, 0, 3))
    {
    case 0:
      soak_node_freeze (n, ms);
      break;
    case 1:
      soak_node_end (n, SIGKILL, ms);
      break;
    default:
      soak_node_cut (n, ms);
    }
}

/* Silences one agent, or at times as many as there may be, which are half of
   all. */
static void
agents_silence (struct soak *s)
{
  struct soak_node *agents = &s->nodes[s->n_entries];
  unsigned first
      = (unsigned)g_rand_int_range (s->rand, 0, (gint32)s->n_agents);
  unsigned n_silent = 0;
  unsigned n_new = g_rand_int_range (s->rand, 0, 3) == 0 ? s->n_agents : 1;

  for (unsigned i = 0; i < s->n_agents; i++)
    n_silent += hk_clock_ms () < agents[i].silent_until_ms;
  for (unsigned i = 0; i < s->n_agents; i++)
    {
      struct soak_node *n = &agents[(first + i) % s->n_agents];

      if (n_new == 0 || 2 * n_silent >= s->n_agents)
        return;
      if (!n->pid || hk_clock_ms () < n->silent_until_ms)
        continue;
      agent_silence (s, n);
      n_silent++;
      n_new--;
    }
}

void
soak_chain_start (struct soak *s)
{
  s->chain.next_kill_ms = hk_clock_ms () + s->chain.interval_ms;
  s->chain.next_silence_ms = hk_clock_ms ();
}

void
soak_chain_run_due (struct soak *s)
{
  struct soak_chain *chain = &s->chain;
  int64_t now = hk_clock_ms ();

  if (chain->next_kill_ms == 0
      || now < MIN (chain->next_kill_ms, chain->next_silence_ms))
    return;
  g_rand_set_seed (s->rand, s->seed * 1000033U + chain->events++);
  if (now >= chain->next_kill_ms)
    {
      leader_kill (s);
      chain->next_kill_ms += chain->interval_ms;
    }
  if (now >= chain->next_silence_ms)
    {
      int mean_ms = SILENCE_INTERVAL_MS / (int)s->n_agents;

      agents_silence (s);
      chain->next_silence_ms
          = now + g_rand_int_range (s->rand, mean_ms / 2, mean_ms * 3 / 2);
    }
}

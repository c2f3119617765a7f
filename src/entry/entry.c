/* The entry role: the front end that takes requests and jobs from clients. Its
   view of the instances may be stale and serves as a hint only; guarantees are
   enforced by the agents and the store. */
#include "entry.h"

#include <string.h>

#include "hyssopkeel/id.h"
#include "hyssopkeel/log.h"

/* Longer than clients keep sending a submission again. */
#define JOBS_IN_DOUBT_KEEP_MS 600000
#define JOBS_IN_DOUBT_MAX 10000
#define RESTARTS_MAX 5
#define RESTART_PERIOD_MS 30000

void
hk_entry_set_tables (struct hk_entry *entry, const char *text, gsize len,
                     const char *from)
{
  struct hk_tables updated;
  struct hk_error err = { 0 };

  hk_tables_init (&updated);
  if (hk_tables_parse (&updated, text, len, "tables", &err) < 0)
    {
      hk_log_error ("entry", NULL, &err);
      hk_tables_finish (&updated);
      return;
    }
  if (updated.revision <= entry->tables.revision)
    {
      hk_tables_finish (&updated);
      return;
    }
  hk_tables_finish (&entry->tables);
  hk_recent_ids_finish (&entry->jobs_in_doubt);
  entry->tables = updated;
  hk_metric_get ("hyssopkeel_tables_revision", "")->value
      = (double)updated.revision;
  hk_log (HK_LOG_INFO, "entry", from, NULL,
          "tables revision=%" PRId64 " installed", updated.revision);
  hk_members_tables_changed (&entry->members);
}

int
hk_entry_rank (const struct hk_entry *entry, const char *key)
{
  uint64_t own = hk_id_hash (key, entry->address);
  int rank = 0;

  for (char **p = entry->settings->peers; p && *p; p++)
    rank += hk_id_hash (key, *p) > own;
  return rank;
}

struct hk_route_stats *
hk_entry_route_stats (struct hk_entry *entry, const char *route)
{
  static const char *const outcomes[] = { "done", "not-run", "unknown" };
  struct hk_route_stats *s = g_hash_table_lookup (entry->route_stats, route);
  g_autofree char *route_label = NULL;

  if (s)
    return s;
  s = g_new0 (struct hk_route_stats, 1);
  hk_retry_init (&s->budget);
  route_label = g_strdup_printf ("route=\"%s\"", route);
  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      g_autofree char *labels
          = g_strdup_printf ("%s,outcome=\"%s\"", route_label, outcomes[i]);
      s->outcomes[i] = hk_metric_get ("hyssopkeel_requests_total", labels);
    }
  s->retries = hk_metric_get ("hyssopkeel_retries_total", route_label);
  s->hedges = hk_metric_get ("hyssopkeel_hedges_total", route_label);
  s->latency = hk_histogram_get ("hyssopkeel_request_seconds", route_label);
  g_hash_table_insert (entry->route_stats, g_strdup (route), s);
  return s;
}

struct hk_entry *
hk_entry_new (const struct hk_settings *settings,
              void (*on_finish) (int code, void *user), void *user)
{
  struct hk_entry *entry = g_new0 (struct hk_entry, 1);

  entry->settings = settings;
  entry->incarnation = hk_id_new (settings->name);
  entry->address = settings->announce ? settings->announce : settings->rpc;
  entry->route_stats
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->place = settings->random_placement ? hk_place_random : hk_place;
  entry->random = g_rand_new ();
  hk_tables_init (&entry->tables);
  hk_recent_ids_init (&entry->jobs_in_doubt, JOBS_IN_DOUBT_KEEP_MS,
                      JOBS_IN_DOUBT_MAX);
  hk_store_etcd_init (&entry->store, settings->store,
                      settings->store_timeout_ms);
  hk_members_init (&entry->members, entry);
  hk_sched_init (&entry->sched, entry);
  hk_entry_store_mirror_init (&entry->store_mirror, entry);
  hk_peers_init (&entry->peers, entry);
  hk_claims_init (&entry->claims, entry);
  hk_entry_rpc_init (&entry->rpc, entry);
  hk_entry_http_init (&entry->http, entry);
  hk_supervisor_init (&entry->root, "entry", RESTARTS_MAX, RESTART_PERIOD_MS);
  hk_supervisor_init (&entry->control, "control", RESTARTS_MAX,
                      RESTART_PERIOD_MS);
  hk_supervisor_init (&entry->serving, "serving", RESTARTS_MAX,
                      RESTART_PERIOD_MS);
  entry->root.on_finish = on_finish;
  entry->root.user = user;
  /* Drained in reverse order, so that open requests complete while everything
     that they need is still running. */
  hk_supervisor_add (&entry->root, &entry->control.task);
  hk_supervisor_add (&entry->root, &entry->serving.task);
  hk_supervisor_add (&entry->control, &entry->members.task);
  hk_supervisor_add (&entry->control, &entry->sched.task);
  hk_supervisor_add (&entry->control, &entry->store_mirror.task);
  hk_supervisor_add (&entry->control, &entry->peers.task);
  hk_supervisor_add (&entry->serving, &entry->claims.task);
  hk_supervisor_add (&entry->serving, &entry->rpc.task);
  hk_supervisor_add (&entry->serving, &entry->http.task);
  return entry;
}

int
hk_entry_start (struct hk_entry *entry, struct hk_error *err)
{
  return hk_supervisor_start (&entry->root, err);
}

void
hk_entry_drain (struct hk_entry *entry)
{
  entry->draining = TRUE;
  hk_supervisor_drain (&entry->root);
}

void
hk_entry_free (struct hk_entry *entry)
{
  hk_supervisor_stop (&entry->root);
  hk_store_etcd_finish (&entry->store);
  hk_tables_finish (&entry->tables);
  hk_recent_ids_finish (&entry->jobs_in_doubt);
  g_hash_table_unref (entry->route_stats);
  g_rand_free (entry->random);
  g_free (entry->incarnation);
  g_free (entry);
}

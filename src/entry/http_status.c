/* Status pages for operators, monitoring and the load balancer. */
#include "http_status.h"

#include "http_response.h"
#include "hyssopkeel/clock.h"

static json_object *
describe_member (const struct hk_member *m)
{
  json_object *obj = json_object_new_object ();

#define STR(name, value)                                                      \
  json_object_object_add (obj, name, json_object_new_string (value))
#define INT(name, value)                                                      \
  json_object_object_add (obj, name, json_object_new_int64 ((int64_t)(value)))
  STR ("name", m->name);
  STR ("incarnation", m->incarnation);
  STR ("pool", m->pool);
  STR ("domain", m->domain);
  STR ("address", m->address);
  INT ("slots", m->load.slots);
  INT ("running", m->load.running);
  INT ("queued", m->load.queued);
  INT ("slowdown_percent", m->load.slowdown_percent);
  INT ("table_revision", m->load.table_revision);
  json_object_object_add (obj, "refusing",
                          json_object_new_boolean (m->load.refusing));
  json_object_object_add (
      obj, "set_aside",
      json_object_new_boolean (m->health.set_aside_until_ms > hk_clock_ms ()));
#undef STR
#undef INT
  return obj;
}

void
hk_http_status (struct hk_entry *entry, SoupServerMessage *msg)
{
  json_object *obj = json_object_new_object ();
  json_object *members = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->members.by_incarnation);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_object_array_add (members, describe_member (value));
  json_object_object_add (obj, "entry",
                          json_object_new_string (entry->settings->name));
  json_object_object_add (obj, "revision",
                          json_object_new_int64 (entry->tables.revision));
  json_object_object_add (
      obj, "store",
      json_object_new_boolean (entry->store_mirror.mirror.connected));
  json_object_object_add (obj, "instances", members);
  hk_http_respond_json (msg, SOUP_STATUS_OK, obj);
}

void
hk_http_metrics (struct hk_entry *entry, SoupServerMessage *msg)
{
  g_autofree char *text = NULL;
  uint64_t in;
  uint64_t out;

  hk_rpc_server_bytes (&entry->rpc.server, &in, &out);
  hk_metric_get ("hyssopkeel_rpc_bytes_total", "direction=\"in\"")->value
      = (double)in;
  hk_metric_get ("hyssopkeel_rpc_bytes_total", "direction=\"out\"")->value
      = (double)out;
  hk_metric_get ("hyssopkeel_store_calls_total", "")->value
      = (double)entry->store.base.calls;
  hk_metric_get ("hyssopkeel_instances", "")->value
      = g_hash_table_size (entry->members.by_incarnation);
  hk_metric_get ("hyssopkeel_jobs", "")->value
      = g_hash_table_size (entry->sched.jobs);
  hk_metric_get ("hyssopkeel_requests_open", "")->value
      = (double)entry->http.open_requests;
  text = hk_metrics_text ();
  hk_http_respond_text (msg, SOUP_STATUS_OK, text);
}

void
hk_http_ready (struct hk_entry *entry, SoupServerMessage *msg)
{
  if (entry->draining)
    hk_http_respond_text (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "stopping\n");
  else if (entry->tables.revision == 0)
    hk_http_respond_text (msg, SOUP_STATUS_SERVICE_UNAVAILABLE,
                          "no tables yet\n");
  else if (g_hash_table_size (entry->members.by_incarnation) == 0)
    hk_http_respond_text (msg, SOUP_STATUS_SERVICE_UNAVAILABLE,
                          "no instances have announced themselves yet\n");
  else
    hk_http_respond_text (msg, SOUP_STATUS_OK, "ready\n");
}

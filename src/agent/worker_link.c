/* Attachment to the worker of this instance. What the worker lists as running
   is booked before any new work is accepted. */
#include "agent.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

/* Delay before attaching again after a failure or a worker restart. */
#define ATTACH_RETRY_MS 500

static void attach_to_worker (void *user);

static struct hk_size
size_from_json (json_object *obj)
{
  return (struct hk_size){
    .slots = 1,
    .cpu_milli = hk_json_int (obj, "cpu_milli"),
    .memory_mb = hk_json_int (obj, "memory_mb"),
    .accelerators = hk_json_int (obj, "accelerators"),
  };
}

void
hk_agent_link_requests_update (struct hk_agent_link *l, json_object *listing)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  json_object *list = NULL;
  GHashTableIter iter;
  gpointer id;
  gpointer size;
  gboolean any_released = FALSE;

  if (!json_object_object_get_ex (listing, "requests", &list))
    return;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      const char *request_id = hk_json_str (item, "id");
      struct hk_size request_size = size_from_json (item);

      g_hash_table_add (listed, (gpointer)request_id);
      if (g_hash_table_contains (l->predecessor_requests, request_id))
        continue;
      g_hash_table_insert (l->predecessor_requests, g_strdup (request_id),
                           g_memdup2 (&request_size, sizeof request_size));
      hk_capacity_force (&l->agent->capacity, "", &request_size,
                         hk_clock_ms ());
    }
  g_hash_table_iter_init (&iter, l->predecessor_requests);
  while (g_hash_table_iter_next (&iter, &id, &size))
    {
      if (g_hash_table_contains (listed, id))
        continue;
      hk_capacity_release (&l->agent->capacity, "", size, hk_clock_ms ());
      g_hash_table_iter_remove (&iter);
      any_released = TRUE;
    }
  if (any_released)
    hk_agent_notify (&l->agent->requests.task, HK_MSG_CAPACITY_FREED);
}

void
hk_agent_link_total_update (struct hk_agent_link *l, json_object *listing)
{
  struct hk_capacity *capacity = &l->agent->capacity;
  const struct hk_size *old = &capacity->ledger.total;
  struct hk_size total = size_from_json (listing);

  if (!json_object_object_get_ex (listing, "slots", NULL))
    return;
  total.slots = hk_json_int (listing, "slots");
  if (total.slots == old->slots && total.cpu_milli == old->cpu_milli
      && total.memory_mb == old->memory_mb
      && total.accelerators == old->accelerators)
    return;
  hk_log (HK_LOG_INFO, "link", l->agent->settings->worker, NULL,
          "capacity of the worker is now slots=%" PRId64 " cpu_milli=%" PRId64
          " memory_mb=%" PRId64 " accelerators=%" PRId64
          "; before slots=%" PRId64 " cpu_milli=%" PRId64 " memory_mb=%" PRId64
          " accelerators=%" PRId64,
          total.slots, total.cpu_milli, total.memory_mb, total.accelerators,
          old->slots, old->cpu_milli, old->memory_mb, old->accelerators);
  hk_capacity_set_total (capacity, &total);
  hk_capacity_set_tables (capacity, &l->agent->tables,
                          l->agent->settings->pool);
  hk_agent_notify (&l->agent->requests.task, HK_MSG_CAPACITY_FREED);
  hk_agent_notify (&l->agent->announcer.task, HK_MSG_ANNOUNCE);
}

static void
finish_attach (struct hk_agent_link *l, json_object *reply)
{
  struct hk_size total = size_from_json (reply);

  total.slots = hk_json_int (reply, "slots");
  g_free (l->boot);
  l->boot = g_strdup (hk_json_str (reply, "boot"));
  hk_capacity_set_total (&l->agent->capacity, &total);
  hk_capacity_set_tables (&l->agent->capacity, &l->agent->tables,
                          l->agent->settings->pool);
  hk_agent_link_requests_update (l, reply);
  hk_agent_jobs_adopt (&l->agent->jobs, reply);
  l->ready = TRUE;
  hk_log (HK_LOG_INFO, "link", l->agent->settings->worker, NULL,
          "attached to the worker boot=%s slots=%" PRId64 " cpu_milli=%" PRId64
          " memory_mb=%" PRId64,
          l->boot, total.slots, total.cpu_milli, total.memory_mb);
  hk_agent_notify (&l->agent->announcer.task, HK_MSG_ANNOUNCE);
}

static void
on_attach_reply (int rc, json_object *reply, const struct hk_error *err,
                 void *user)
{
  struct hk_agent_link *l = user;

  l->attaching = FALSE;
  if (!l->task.running)
    return;
  if (rc < 0 || !hk_json_str (reply, "boot"))
    {
      if (rc < 0)
        hk_log_error ("link", NULL, err);
      hk_timer_set (&l->retry_timer, ATTACH_RETRY_MS, attach_to_worker, l);
      return;
    }
  finish_attach (l, reply);
}

static void
attach_to_worker (void *user)
{
  struct hk_agent_link *l = user;
  json_object *body;

  if (l->attaching)
    return;
  l->attaching = TRUE;
  body = json_object_new_object ();
  json_object_object_add (body, "agent",
                          json_object_new_string (l->agent->incarnation));
  l->agent->worker->ops->call (l->agent->worker, "/attach", body,
                               on_attach_reply, l);
}

void
hk_agent_link_reset (struct hk_agent_link *l)
{
  l->ready = FALSE;
  hk_timer_set (&l->retry_timer, ATTACH_RETRY_MS, attach_to_worker, l);
}

static int
link_start (struct hk_task *task, struct hk_error *err)
{
  struct hk_agent_link *l = (struct hk_agent_link *)task;

  (void)err;
  hk_timer_set (&l->retry_timer, 0, attach_to_worker, l);
  return HK_OK;
}

static void
link_stop (struct hk_task *task)
{
  struct hk_agent_link *l = (struct hk_agent_link *)task;

  hk_timer_clear (&l->retry_timer);
}

static const struct hk_task_ops link_ops
    = { .name = "link", .start = link_start, .stop = link_stop };

void
hk_agent_link_init (struct hk_agent_link *l, struct hk_agent *agent)
{
  hk_task_init (&l->task, &link_ops);
  l->agent = agent;
  l->predecessor_requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

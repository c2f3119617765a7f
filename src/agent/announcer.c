/* Announcements to the entries: identity and free capacity of this instance.
   The reply of an entry sets the delay until the next announcement, so that
   the traffic of all agents together stays within the entry's budget. */
#include "agent.h"

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"

#define ANNOUNCE_TIMEOUT_MS 2000
#define ANNOUNCE_RETRY_MS 1000
/* Time for the entries to learn that the instance drains. */
#define LEAVE_NOTICE_MS 500

/**
 * struct hk_announce_entry - announcements to one entry.
 * @owner: announcer.
 * @channel: RPC channel to the entry.
 * @timer: next announcement.
 * @call_in_flight: whether an announcement is in flight.
 * @announce_pending: whether another one was requested meanwhile.
 */
struct hk_announce_entry
{
  struct hk_announcer *owner;
  struct hk_rpc_channel channel;
  struct hk_timer timer;
  gboolean call_in_flight;
  gboolean announce_pending;
};

static const struct hk_rpc_method announce_method
    = { HK_ENTRY_ANNOUNCE, (xdrproc_t)xdr_hk_rpc_announce_args,
        (xdrproc_t)xdr_hk_rpc_announce_reply, sizeof (hk_rpc_announce_reply) };

static const struct hk_rpc_method snapshot_method
    = { HK_ENTRY_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_snapshot_args,
        (xdrproc_t)xdr_hk_rpc_tables, sizeof (hk_rpc_tables) };

static void send_announcement (void *user);

static void
on_tables_fetched (int rc, void *result, const struct hk_error *err,
                   void *user)
{
  struct hk_announce_entry *e = user;
  const hk_rpc_tables *tables = result;
  struct hk_error parse_err = { 0 };

  (void)err;
  if (rc < 0 || tables->text.text_len == 0)
    return;
  if (hk_agent_set_tables (e->owner->agent, tables->text.text_val,
                           tables->text.text_len, &parse_err)
      < 0)
    hk_log_error ("announcer", NULL, &parse_err);
}

static void
fetch_tables (struct hk_announce_entry *e)
{
  hk_rpc_snapshot_args have = { e->owner->agent->tables.revision };

  hk_rpc_call (&e->channel, &snapshot_method, &have, ANNOUNCE_TIMEOUT_MS,
               on_tables_fetched, e);
}

static void
on_announce_reply (int rc, void *result, const struct hk_error *err,
                   void *user)
{
  struct hk_announce_entry *e = user;
  const hk_rpc_announce_reply *reply = result;
  int64_t next_ms = ANNOUNCE_RETRY_MS;

  e->call_in_flight = FALSE;
  if (!e->owner->task.running)
    return;
  if (rc < 0)
    hk_log_error ("announcer", NULL, err);
  else
    {
      next_ms = MAX ((int64_t)reply->next_ms,
                     e->owner->agent->settings->announce_ms);
      if (reply->table_revision > e->owner->agent->tables.revision)
        fetch_tables (e);
    }
  hk_timer_set (&e->timer, e->announce_pending ? 0 : next_ms,
                send_announcement, e);
  e->announce_pending = FALSE;
}

static void
send_announcement (void *user)
{
  struct hk_announce_entry *e = user;
  struct hk_agent *agent = e->owner->agent;
  const struct hk_settings *s = agent->settings;
  hk_rpc_announce_args args = { 0 };

  if (e->call_in_flight)
    {
      e->announce_pending = TRUE;
      return;
    }
  args.name = s->name;
  args.incarnation = agent->incarnation;
  args.boot = agent->link.boot ? agent->link.boot : "";
  args.session = agent->session.id ? agent->session.id : "";
  args.domain = s->domain;
  args.pool = s->pool;
  args.address = s->announce ? s->announce : s->rpc;
  args.cpu_milli = (u_int)agent->capacity.ledger.total.cpu_milli;
  args.memory_mb = (u_int)agent->capacity.ledger.total.memory_mb;
  args.accelerators = (u_int)agent->capacity.ledger.total.accelerators;
  hk_agent_load_get (agent, &args.load);
  e->call_in_flight = TRUE;
  hk_rpc_call (&e->channel, &announce_method, &args, ANNOUNCE_TIMEOUT_MS,
               on_announce_reply, e);
}

static void
announcer_receive (struct hk_task *task, struct hk_msg *msg)
{
  struct hk_announcer *a = (struct hk_announcer *)task;

  for (size_t i = 0; i < a->n_entries && a->task.running; i++)
    send_announcement (&a->entries[i]);
  g_free (msg);
}

static int
announcer_start (struct hk_task *task, struct hk_error *err)
{
  struct hk_announcer *a = (struct hk_announcer *)task;
  char **entries = a->agent->settings->entries;

  (void)err;
  a->n_entries = g_strv_length (entries);
  a->entries = g_new0 (struct hk_announce_entry, a->n_entries);
  for (size_t i = 0; i < a->n_entries; i++)
    {
      struct hk_announce_entry *e = &a->entries[i];

      e->owner = a;
      hk_rpc_channel_init (&e->channel, entries[i], HK_ENTRY_PROGRAM,
                           HK_ENTRY_V1);
      hk_timer_set (&e->timer, 0, send_announcement, e);
    }
  return HK_OK;
}

static void
on_leave_notice_end (void *user)
{
  hk_task_drained (user);
}

/* The RPC server stops after this task, so it still refuses requests that were
   sent before their entry learned of the drain. A closed connection would
   leave their outcome unknown. */
static void
announcer_drain (struct hk_task *task)
{
  struct hk_announcer *a = (struct hk_announcer *)task;

  for (size_t i = 0; i < a->n_entries; i++)
    send_announcement (&a->entries[i]);
  hk_timer_set (&a->leave_timer, LEAVE_NOTICE_MS, on_leave_notice_end, task);
}

static void
announcer_stop (struct hk_task *task)
{
  struct hk_announcer *a = (struct hk_announcer *)task;

  hk_timer_clear (&a->leave_timer);

  for (size_t i = 0; i < a->n_entries; i++)
    {
      hk_timer_clear (&a->entries[i].timer);
      hk_rpc_channel_finish (&a->entries[i].channel);
    }
  g_clear_pointer (&a->entries, g_free);
  a->n_entries = 0;
}

static const struct hk_task_ops announcer_ops
    = { .name = "announcer",
        .start = announcer_start,
        .drain = announcer_drain,
        .stop = announcer_stop,
        .receive = announcer_receive };

void
hk_announcer_init (struct hk_announcer *a, struct hk_agent *agent)
{
  hk_task_init (&a->task, &announcer_ops);
  a->agent = agent;
}

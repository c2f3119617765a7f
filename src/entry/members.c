/* Membership: agents announce themselves, and what is known of them expires by
   this entry's own clock. Every RPC reply of an agent carries its load too. */
#include "entry.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/log.h"

/* Size of one announcement with its reply and headers. */
#define ANNOUNCE_SIZE_BYTES 500
#define ANNOUNCE_INTERVAL_MIN_MS 1000
#define EXPIRY_INTERVALS 3
#define EXPIRY_SLACK_MS 1000
#define CALL_TIMEOUT_MS 1500
/* Delay of a push per rank, and before a failed push is repeated. */
#define PUSH_DELAY_MS 700

static const struct hk_rpc_method tables_method
    = { HK_AGENT_TABLES, (xdrproc_t)xdr_hk_rpc_tables,
        (xdrproc_t)xdr_hk_rpc_status_reply, sizeof (hk_rpc_status_reply) };

static const struct hk_rpc_method snapshot_method
    = { HK_AGENT_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_snapshot_args,
        (xdrproc_t)xdr_hk_rpc_tables, sizeof (hk_rpc_tables) };

struct hk_member *
hk_member_from_candidate (const struct hk_candidate *candidate)
{
  return (struct hk_member *)((char *)candidate
                              - offsetof (struct hk_member, candidate));
}

struct hk_member *
hk_member_ref (struct hk_member *m)
{
  m->refs++;
  return m;
}

void
hk_member_unref (struct hk_member *m)
{
  if (--m->refs > 0)
    return;
  g_free (m->name);
  g_free (m->incarnation);
  g_free (m->boot);
  g_free (m->session);
  g_free (m->pool);
  g_free (m->domain);
  g_free (m->address);
  g_free (m);
}

GPtrArray *
hk_members_pool (struct hk_members *m, const char *pool)
{
  return g_hash_table_lookup (m->pools, pool);
}

static void
remove_member (struct hk_member *m)
{
  GPtrArray *pool = hk_members_pool (&m->entry->members, m->pool);

  if (m->removed)
    return;
  m->removed = TRUE;
  hk_log (HK_LOG_INFO, "members", m->address, NULL,
          "instance=%s removed from the membership", m->name);
  g_ptr_array_remove_fast (pool, &m->candidate);
  hk_timer_clear (&m->expiry_timer);
  hk_timer_clear (&m->push_timer);
  hk_member_ref (m);
  g_hash_table_remove (m->entry->members.by_incarnation, m->incarnation);
  hk_rpc_channel_finish (&m->channel);
  hk_member_unref (m);
}

static void
update_candidate (struct hk_member *m)
{
  struct hk_candidate *c = &m->candidate;
  const hk_rpc_load *load = &m->load;

  c->slots = load->slots;
  c->busy = (int64_t)load->running + load->queued + m->sent_since_report;
  c->free.slots = (int64_t)load->slots - load->running;
  c->free.cpu_milli = load->free_cpu_milli;
  c->free.memory_mb = load->free_memory_mb;
  c->free.accelerators = load->free_accelerators;
  c->total.slots = load->slots;
  c->slowdown_percent = MAX (load->slowdown_percent, 100);
  c->available = !load->refusing;
  c->set_aside_until_ms = m->health.set_aside_until_ms;
}

static void push_tables (void *user);

static void
on_tables_pushed (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_member *m = user;
  const hk_rpc_status_reply *reply = result;

  m->tables_call_in_flight = FALSE;
  if (rc < 0)
    hk_log_error ("members", m->name, err);
  else
    hk_member_load_update (m, &reply->load);
  if (!m->removed && rc < 0)
    hk_timer_set (&m->push_timer, PUSH_DELAY_MS, push_tables, m);
  hk_member_unref (m);
}

static void
send_tables (struct hk_member *m, const char *text, hk_rpc_done done)
{
  hk_rpc_tables args = { .revision = m->entry->tables.revision };

  args.text.text_val = (char *)text;
  args.text.text_len = (u_int)strlen (text);
  hk_rpc_call (&m->channel, &tables_method, &args, CALL_TIMEOUT_MS, done,
               hk_member_ref (m));
}

static void
push_tables (void *user)
{
  struct hk_member *m = user;
  const struct hk_tables *t = &m->entry->tables;

  if (m->tables_call_in_flight || m->removed || !t->source
      || m->load.table_revision >= t->revision)
    return;
  m->tables_call_in_flight = TRUE;
  send_tables (
      m, json_object_to_json_string_ext (t->source, JSON_C_TO_STRING_PLAIN),
      on_tables_pushed);
}

/* An entry that is not the first by rank probes the agent's revision and
   pushes tables only if no other entry did. */
static void
on_revision_probe_reply (int rc, void *result, const struct hk_error *err,
                         void *user)
{
  struct hk_member *m = user;
  const hk_rpc_status_reply *reply = result;

  (void)err;
  if (rc == HK_OK)
    hk_member_load_update (m, &reply->load);
  if (rc == HK_OK)
    push_tables (m);
  hk_member_unref (m);
}

static void
probe_revision (void *user)
{
  struct hk_member *m = user;

  if (!m->removed && m->load.table_revision < m->entry->tables.revision)
    send_tables (m, "", on_revision_probe_reply);
}

static void
schedule_push (struct hk_member *m)
{
  int rank = hk_entry_rank (m->entry, m->name);

  if (m->tables_call_in_flight || m->push_timer.iter)
    return;
  if (rank == 0)
    push_tables (m);
  else
    hk_timer_set (&m->push_timer, rank * PUSH_DELAY_MS, probe_revision, m);
}

static void
on_tables_fetched (int rc, void *result, const struct hk_error *err,
                   void *user)
{
  struct hk_member *m = user;
  const hk_rpc_tables *tables = result;

  (void)err;
  m->tables_call_in_flight = FALSE;
  if (rc == HK_OK && tables->text.text_len > 0)
    hk_entry_set_tables (m->entry, tables->text.text_val,
                         tables->text.text_len, m->address);
  hk_member_unref (m);
}

/* Called when the agent has newer tables than this entry. */
static void
fetch_tables (struct hk_member *m)
{
  hk_rpc_snapshot_args have = { m->entry->tables.revision };

  if (m->tables_call_in_flight)
    return;
  m->tables_call_in_flight = TRUE;
  hk_rpc_call (&m->channel, &snapshot_method, &have, CALL_TIMEOUT_MS,
               on_tables_fetched, hk_member_ref (m));
}

void
hk_members_tables_changed (struct hk_members *m)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, m->by_incarnation);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    schedule_push (value);
}

void
hk_member_load_update (struct hk_member *m, const hk_rpc_load *load)
{
  int64_t revision = m->entry->tables.revision;
  gboolean capacity_freed = load->running < m->load.running
                            || (m->load.refusing && !load->refusing);

  if (load->incarnation != m->incarnation_hash)
    {
      remove_member (m);
      return;
    }
  m->load = *load;
  m->sent_since_report = 0;
  update_candidate (m);
  if (m->removed)
    return;
  if (load->table_revision < revision)
    schedule_push (m);
  else if (load->table_revision > revision)
    fetch_tables (m);
  if (capacity_freed)
    hk_sched_capacity_changed (&m->entry->sched, m);
}

void
hk_member_record_failure (struct hk_member *m, int64_t limit)
{
  if (hk_health_failure (&m->health, limit, hk_clock_ms ()))
    hk_log (HK_LOG_WARN, "members", m->address, NULL,
            "instance=%s set aside after failures: no work for %" PRId64 " ms",
            m->name, m->health.backoff_ms);
  update_candidate (m);
}

void
hk_member_record_success (struct hk_member *m)
{
  hk_health_success (&m->health);
  m->candidate.set_aside_until_ms = 0;
}

static void probe_expired (void *user);

static void
on_expiry_probe_reply (int rc, void *result, const struct hk_error *err,
                       void *user)
{
  struct hk_member *m = user;
  const hk_rpc_status_reply *reply = result;

  (void)err;
  if (rc == HK_OK)
    hk_member_load_update (m, &reply->load);
  else
    remove_member (m);
  if (!m->removed)
    hk_timer_set (&m->expiry_timer, m->expiry_ms, probe_expired, m);
  hk_member_unref (m);
}

/* Announcements may have been missed because this process was paused, so the
   agent is probed before it is removed. */
static void
probe_expired (void *user)
{
  send_tables (user, "", on_expiry_probe_reply);
}

static struct hk_member *
add_member (struct hk_members *members, const hk_rpc_announce_args *args)
{
  struct hk_member *m = g_new0 (struct hk_member, 1);
  GPtrArray *pool = g_hash_table_lookup (members->pools, args->pool);
  const struct hk_settings *s = members->entry->settings;

  m->entry = members->entry;
  m->refs = 1;
  m->name = g_strdup (args->name);
  m->incarnation = g_strdup (args->incarnation);
  m->incarnation_hash = hk_id_hash (args->incarnation, "");
  m->boot = g_strdup (args->boot);
  m->session = g_strdup (args->session);
  m->pool = g_strdup (args->pool);
  m->domain = g_strdup (args->domain);
  m->address = g_strdup (args->address);
  m->load.refusing = TRUE;
  m->candidate.id = members->next_id++;
  if (strcmp (m->domain, s->domain) != 0)
    m->candidate.distance_us = (double)s->distance_us;
  hk_rpc_channel_init (&m->channel, m->address, HK_AGENT_PROGRAM, HK_AGENT_V1);
  if (!pool)
    {
      pool = g_ptr_array_new ();
      g_hash_table_insert (members->pools, g_strdup (args->pool), pool);
    }
  g_ptr_array_add (pool, &m->candidate);
  g_hash_table_insert (members->by_incarnation, m->incarnation, m);
  hk_log (HK_LOG_INFO, "members", m->address, NULL,
          "instance=%s joined pool=%s domain=%s", m->name, m->pool, m->domain);
  return m;
}

static void
replace_string (char **field, const char *text)
{
  if (strcmp (*field, text) == 0)
    return;
  g_free (*field);
  *field = g_strdup (text);
}

/* The interval grows with the number of agents, so that all announcements
   together stay within this entry's bandwidth budget. */
static guint
announce_interval_ms (const struct hk_members *members)
{
  int64_t n = g_hash_table_size (members->by_incarnation);
  int64_t budget = members->entry->settings->announce_budget_bytes_s;

  return (guint)MAX (n * ANNOUNCE_SIZE_BYTES * 1000 / budget,
                     ANNOUNCE_INTERVAL_MIN_MS);
}

guint
hk_members_announce (struct hk_members *members,
                     const hk_rpc_announce_args *args)
{
  struct hk_member *m
      = g_hash_table_lookup (members->by_incarnation, args->incarnation);
  guint next = announce_interval_ms (members);

  if (!m)
    m = add_member (members, args);
  replace_string (&m->boot, args->boot);
  replace_string (&m->session, args->session);
  m->candidate.total.cpu_milli = args->cpu_milli;
  m->candidate.total.memory_mb = args->memory_mb;
  m->candidate.total.accelerators = args->accelerators;
  m->expiry_ms = (int64_t)next * EXPIRY_INTERVALS + EXPIRY_SLACK_MS;
  hk_timer_set (&m->expiry_timer, m->expiry_ms, probe_expired, m);
  hk_member_ref (m);
  hk_member_load_update (m, &args->load);
  if (!m->removed)
    hk_sched_capacity_changed (&members->entry->sched, m);
  hk_member_unref (m);
  return next;
}

struct hk_member *
hk_members_find_by_session (struct hk_members *members, const char *session)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_incarnation);
  while (session && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct hk_member *m = value;
      if (strcmp (m->session, session) == 0)
        return m;
    }
  return NULL;
}

static int
start (struct hk_task *task, struct hk_error *err)
{
  (void)task;
  (void)err;
  return HK_OK;
}

static void
stop (struct hk_task *task)
{
  struct hk_members *members = (struct hk_members *)task;
  g_autoptr (GList) all = g_hash_table_get_values (members->by_incarnation);

  for (GList *l = all; l; l = l->next)
    remove_member (l->data);
}

static const struct hk_task_ops ops
    = { .name = "members", .start = start, .stop = stop };

static void
free_pool (gpointer pool)
{
  g_ptr_array_unref (pool);
}

static void
unref_member (gpointer member)
{
  hk_member_unref (member);
}

void
hk_members_init (struct hk_members *m, struct hk_entry *entry)
{
  hk_task_init (&m->task, &ops);
  m->entry = entry;
  m->next_id = 1;
  m->by_incarnation
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, unref_member);
  m->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_pool);
}

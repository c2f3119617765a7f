/* Mirrors tables, jobs and sessions from the platform's store by a single
   watch, and passes each change to the part of the entry that handles it. */
#include "entry.h"

#include <string.h>

#include "hyssopkeel/log.h"

#define PROBE_INTERVAL_MS 1000

static void
on_key_changed (const char *key, const char *value, size_t len,
                int64_t mod_revision, void *user)
{
  struct hk_entry_store_mirror *m = user;
  struct hk_entry *entry = m->entry;

  if (strcmp (key, HK_KEY_TABLES) == 0)
    {
      if (value)
        hk_entry_set_tables (entry, value, len, "store");
    }
  else if (g_str_has_prefix (key, HK_KEY_JOBS))
    hk_sched_job_changed (&entry->sched, key + strlen (HK_KEY_JOBS), value,
                          len, mod_revision);
  else if (g_str_has_prefix (key, HK_KEY_SESSIONS))
    hk_sched_session_changed (&entry->sched, key + strlen (HK_KEY_SESSIONS),
                              value, len);
}

static void
on_synced (void *user)
{
  struct hk_entry_store_mirror *m = user;

  hk_sched_synced (&m->entry->sched);
}

static const struct hk_mirror_ops mirror_ops
    = { .changed = on_key_changed, .synced = on_synced };

static int
start (struct hk_task *task, struct hk_error *err)
{
  struct hk_entry_store_mirror *m = (struct hk_entry_store_mirror *)task;

  (void)err;
  m->mirror.store = &m->entry->store.base;
  m->mirror.prefix = HK_KEY_WATCHED;
  m->mirror.probe_key = HK_KEY_TABLES;
  m->mirror.poll_ms = PROBE_INTERVAL_MS;
  m->mirror.ops = &mirror_ops;
  m->mirror.user = m;
  hk_mirror_start (&m->mirror);
  return HK_OK;
}

static void
stop (struct hk_task *task)
{
  struct hk_entry_store_mirror *m = (struct hk_entry_store_mirror *)task;

  hk_mirror_stop (&m->mirror);
}

static const struct hk_task_ops ops
    = { .name = "platform", .start = start, .stop = stop };

void
hk_entry_store_mirror_init (struct hk_entry_store_mirror *m,
                            struct hk_entry *entry)
{
  hk_task_init (&m->task, &ops);
  m->entry = entry;
}

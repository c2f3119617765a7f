/* Polls one peer entry at a time for newer tables, so that an entry which
   starts or loses its connection during a store outage still gets them. */
#include "entry.h"

#include "hyssopkeel/log.h"

#define POLL_INTERVAL_MS 1000
#define CALL_TIMEOUT_MS 1500

static const struct hk_rpc_method snapshot_method
    = { HK_ENTRY_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_snapshot_args,
        (xdrproc_t)xdr_hk_rpc_tables, sizeof (hk_rpc_tables) };

static void poll_next_peer (void *user);

static void
on_snapshot (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_peers *p = user;
  const hk_rpc_tables *tables = result;

  (void)err;
  if (!p->task.running)
    return;
  if (rc == HK_OK && tables->text.text_len > 0)
    hk_entry_set_tables (p->entry, tables->text.text_val,
                         tables->text.text_len, "peer");
  hk_timer_set (&p->poll_timer, POLL_INTERVAL_MS, poll_next_peer, p);
}

static void
poll_next_peer (void *user)
{
  struct hk_peers *p = user;
  hk_rpc_snapshot_args have = { p->entry->tables.revision };

  if (p->n_channels == 0)
    return;
  p->current = (p->current + 1) % p->n_channels;
  hk_rpc_call (&p->channels[p->current], &snapshot_method, &have,
               CALL_TIMEOUT_MS, on_snapshot, p);
}

static int
start (struct hk_task *task, struct hk_error *err)
{
  struct hk_peers *p = (struct hk_peers *)task;
  char **addresses = p->entry->settings->peers;

  (void)err;
  p->n_channels = addresses ? g_strv_length (addresses) : 0;
  p->channels = g_new0 (struct hk_rpc_channel, p->n_channels);
  for (size_t i = 0; i < p->n_channels; i++)
    hk_rpc_channel_init (&p->channels[i], addresses[i], HK_ENTRY_PROGRAM,
                         HK_ENTRY_V1);
  hk_timer_set (&p->poll_timer, 0, poll_next_peer, p);
  return HK_OK;
}

static void
stop (struct hk_task *task)
{
  struct hk_peers *p = (struct hk_peers *)task;

  hk_timer_clear (&p->poll_timer);
  for (size_t i = 0; i < p->n_channels; i++)
    hk_rpc_channel_finish (&p->channels[i]);
  g_clear_pointer (&p->channels, g_free);
  p->n_channels = 0;
}

static const struct hk_task_ops ops
    = { .name = "peers", .start = start, .stop = stop };

void
hk_peers_init (struct hk_peers *p, struct hk_entry *entry)
{
  hk_task_init (&p->task, &ops);
  p->entry = entry;
}

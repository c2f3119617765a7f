/* RPC server of the entry: handles the announcements of agents, and returns
   tables to agents and peers that have older ones. */
#include "entry.h"

#include <string.h>

static void
on_announce (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_entry_rpc *r = user;
  hk_rpc_announce_reply reply = { 0 };

  reply.next_ms = hk_members_announce (&r->entry->members, args);
  reply.table_revision = r->entry->tables.revision;
  hk_rpc_reply (rpc, &reply);
}

static void
on_snapshot (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_entry_rpc *r = user;
  const hk_rpc_snapshot_args *have = args;
  const struct hk_tables *t = &r->entry->tables;
  hk_rpc_tables reply;

  hk_tables_snapshot (t, have->table_revision, &reply);
  hk_rpc_reply (rpc, &reply);
}

static const struct hk_rpc_handler handlers[] = {
  { HK_ENTRY_ANNOUNCE, (xdrproc_t)xdr_hk_rpc_announce_args,
    sizeof (hk_rpc_announce_args), (xdrproc_t)xdr_hk_rpc_announce_reply,
    on_announce },
  { HK_ENTRY_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_snapshot_args,
    sizeof (hk_rpc_snapshot_args), (xdrproc_t)xdr_hk_rpc_tables, on_snapshot },
};

static int
start (struct hk_task *task, struct hk_error *err)
{
  struct hk_entry_rpc *r = (struct hk_entry_rpc *)task;

  return hk_rpc_server_start (&r->server, r->entry->settings->rpc, err);
}

static void
stop (struct hk_task *task)
{
  struct hk_entry_rpc *r = (struct hk_entry_rpc *)task;

  hk_rpc_server_stop (&r->server);
}

static const struct hk_task_ops ops
    = { .name = "rpc", .start = start, .stop = stop };

void
hk_entry_rpc_init (struct hk_entry_rpc *r, struct hk_entry *entry)
{
  hk_task_init (&r->task, &ops);
  r->entry = entry;
  r->server.program = HK_ENTRY_PROGRAM;
  r->server.version = HK_ENTRY_V1;
  r->server.handlers = handlers;
  r->server.n_handlers = G_N_ELEMENTS (handlers);
  r->server.user = r;
}

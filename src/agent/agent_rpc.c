/* RPC server of the agent. Entries call it; each call is passed to the task
   that owns the data. */
#include <string.h>

#include "agent.h"

#include "hyssopkeel/log.h"

static void
on_execute (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;

  hk_agent_requests_execute (&r->agent->requests, rpc, args);
}

static void
on_cancel (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;

  hk_agent_requests_cancel (&r->agent->requests, rpc, args);
}

static void
on_query (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;

  hk_agent_requests_query (&r->agent->requests, rpc, args);
}

static void
on_offer (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;

  hk_agent_jobs_offer (&r->agent->jobs, rpc, args);
}

static void
on_cancel_job (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;

  hk_agent_jobs_cancel (&r->agent->jobs, rpc, args);
}

static void
reply_status (struct hk_agent_rpc *r, struct hk_rpc_request *rpc, int status,
              const char *reason)
{
  hk_rpc_status_reply reply = { .status = status, .reason = (char *)reason };

  hk_agent_load_get (r->agent, &reply.load);
  hk_rpc_reply (rpc, &reply);
}

static void
on_tables (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;
  const hk_rpc_tables *tables = args;
  struct hk_error err = { 0 };
  int rc = HK_OK;

  /* An empty text only requests the revision, which every reply carries. */
  if (tables->text.text_len > 0)
    rc = hk_agent_set_tables (r->agent, tables->text.text_val,
                              tables->text.text_len, &err);
  if (rc < 0)
    hk_log_error ("rpc", NULL, &err);
  reply_status (r, rpc, rc, err.text);
}

static void
on_drain (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;
  const hk_rpc_drain_args *drain = args;

  if (g_strcmp0 (drain->name, r->agent->settings->name) != 0)
    {
      reply_status (r, rpc, HK_ERR_NOT_FOUND, "this is another instance");
      return;
    }
  r->agent->draining = drain->on;
  hk_log (HK_LOG_INFO, "rpc", hk_rpc_request_peer (rpc), NULL,
          drain->on ? "drain requested; refusing new work"
                    : "drain cancelled; accepting new work");
  hk_agent_notify (&r->agent->announcer.task, HK_MSG_ANNOUNCE);
  hk_agent_notify (&r->agent->jobs.task, HK_MSG_EVICTION_NEEDED);
  reply_status (r, rpc, HK_OK, "");
}

static void
on_snapshot (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;
  const hk_rpc_snapshot_args *have = args;
  const struct hk_tables *t = &r->agent->tables;
  hk_rpc_tables reply;

  hk_tables_snapshot (t, have->table_revision, &reply);
  hk_rpc_reply (rpc, &reply);
}

static void
on_session_expired (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct hk_agent_rpc *r = user;
  const hk_rpc_session_args *expired = args;

  hk_session_replace (&r->agent->session, expired->session);
  reply_status (r, rpc, HK_OK, "");
}

#define STATUS_REPLY (xdrproc_t) xdr_hk_rpc_status_reply
#define EXECUTE_REPLY (xdrproc_t) xdr_hk_rpc_execute_reply

static const struct hk_rpc_handler handlers[] = {
  { HK_AGENT_EXECUTE, (xdrproc_t)xdr_hk_rpc_execute_args,
    sizeof (hk_rpc_execute_args), EXECUTE_REPLY, on_execute },
  { HK_AGENT_CANCEL, (xdrproc_t)xdr_hk_rpc_cancel_args,
    sizeof (hk_rpc_cancel_args), EXECUTE_REPLY, on_cancel },
  { HK_AGENT_QUERY, (xdrproc_t)xdr_hk_rpc_cancel_args,
    sizeof (hk_rpc_cancel_args), EXECUTE_REPLY, on_query },
  { HK_AGENT_OFFER, (xdrproc_t)xdr_hk_rpc_offer_args,
    sizeof (hk_rpc_offer_args), STATUS_REPLY, on_offer },
  { HK_AGENT_CANCEL_JOB, (xdrproc_t)xdr_hk_rpc_offer_args,
    sizeof (hk_rpc_offer_args), STATUS_REPLY, on_cancel_job },
  { HK_AGENT_TABLES, (xdrproc_t)xdr_hk_rpc_tables, sizeof (hk_rpc_tables),
    STATUS_REPLY, on_tables },
  { HK_AGENT_DRAIN, (xdrproc_t)xdr_hk_rpc_drain_args,
    sizeof (hk_rpc_drain_args), STATUS_REPLY, on_drain },
  { HK_AGENT_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_snapshot_args,
    sizeof (hk_rpc_snapshot_args), (xdrproc_t)xdr_hk_rpc_tables, on_snapshot },
  { HK_AGENT_SESSION_GONE, (xdrproc_t)xdr_hk_rpc_session_args,
    sizeof (hk_rpc_session_args), STATUS_REPLY, on_session_expired },
};

static int
rpc_start (struct hk_task *task, struct hk_error *err)
{
  struct hk_agent_rpc *r = (struct hk_agent_rpc *)task;

  return hk_rpc_server_start (&r->server, r->agent->settings->rpc, err);
}

static void
rpc_stop (struct hk_task *task)
{
  struct hk_agent_rpc *r = (struct hk_agent_rpc *)task;

  hk_rpc_server_stop (&r->server);
}

static const struct hk_task_ops rpc_ops
    = { .name = "rpc", .start = rpc_start, .stop = rpc_stop };

void
hk_agent_rpc_init (struct hk_agent_rpc *r, struct hk_agent *agent)
{
  hk_task_init (&r->task, &rpc_ops);
  r->agent = agent;
  r->server.program = HK_AGENT_PROGRAM;
  r->server.version = HK_AGENT_V1;
  r->server.handlers = handlers;
  r->server.n_handlers = G_N_ELEMENTS (handlers);
  r->server.user = r;
}

/* The agent: the process beside one endpoint that admits its work and accounts
   for its capacity. It builds the tasks and their supervisor. */
#include "agent.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/log.h"

/* The agent ends when its tasks fail more often than this in the period. */
#define RESTARTS_MAX 5
#define RESTARTS_PERIOD_MS 30000

void
hk_agent_notify (struct hk_task *task, enum hk_agent_msg type)
{
  struct hk_msg *msg = g_new0 (struct hk_msg, 1);

  msg->type = type;
  hk_task_send (task, msg);
}

static int64_t
count_queued (const struct hk_agent *agent)
{
  int64_t total = 0;

  for (size_t i = 0; i < agent->capacity.limits.n; i++)
    total += agent->capacity.limits.rows[i].queued;
  return total;
}

void
hk_agent_load_get (const struct hk_agent *agent, hk_rpc_load *load)
{
  struct hk_size free_size = hk_ledger_free (&agent->capacity.ledger);

  load->slots = (u_int)agent->capacity.ledger.total.slots;
  load->running = (u_int)MAX (agent->capacity.ledger.used.slots, 0);
  load->queued = (u_int)count_queued (agent);
  load->free_cpu_milli = (u_int)MAX (free_size.cpu_milli, 0);
  load->free_memory_mb = (u_int)MAX (free_size.memory_mb, 0);
  load->free_accelerators = (u_int)MAX (free_size.accelerators, 0);
  if (hk_agent_jobs_suspect_held (&agent->jobs))
    {
      load->free_cpu_milli = 0;
      load->free_memory_mb = 0;
      load->free_accelerators = 0;
    }
  load->slowdown_percent
      = (u_int)MAX (agent->requests.interference.slowdown_percent, 100);
  load->refusing = agent->draining || !agent->link.ready;
  load->table_revision = agent->tables.revision;
  load->incarnation = agent->incarnation_hash;
}

int
hk_agent_set_tables (struct hk_agent *agent, const char *text, gsize len,
                     struct hk_error *err)
{
  struct hk_tables newer;
  int rc;

  hk_tables_init (&newer);
  rc = hk_tables_parse (&newer, text, len, "tables", err);
  if (rc < 0 || newer.revision <= agent->tables.revision)
    {
      hk_tables_finish (&newer);
      return rc;
    }
  hk_tables_finish (&agent->tables);
  agent->tables = newer;
  hk_capacity_set_tables (&agent->capacity, &agent->tables,
                          agent->settings->pool);
  hk_agent_notify (&agent->requests.task, HK_MSG_CAPACITY_FREED);
  hk_log (HK_LOG_INFO, "agent", NULL, NULL,
          "tables revision=%" PRId64 " installed", newer.revision);
  return HK_OK;
}

void
hk_agent_worker_detached (struct hk_agent *agent, int rc)
{
  struct hk_error err;

  if (rc == HK_ERR_CONFLICT)
    {
      hk_error_set (&err, rc, "worker.call", agent->settings->worker,
                    "another agent has taken the worker over");
      hk_log_error ("agent", NULL, &err);
      agent->root.on_finish (rc, agent->root.user);
      return;
    }
  hk_agent_jobs_worker_restarted (&agent->jobs);
  hk_agent_link_reset (&agent->link);
}

struct hk_agent *
hk_agent_new (const struct hk_settings *settings,
              void (*on_finish) (int code, void *user), void *user)
{
  struct hk_agent *agent = g_new0 (struct hk_agent, 1);
  struct hk_supervisor *root = &agent->root;

  agent->settings = settings;
  agent->incarnation = hk_id_new (settings->name);
  agent->incarnation_hash = hk_id_hash (agent->incarnation, "");
  hk_tables_init (&agent->tables);
  hk_store_etcd_init (&agent->store, settings->store,
                      settings->store_timeout_ms);
  hk_worker_http_init (&agent->worker_http, settings->worker,
                       agent->incarnation);
  agent->worker = &agent->worker_http.base;
  if (settings->fifo)
    agent->capacity.limits.ops = &hk_limits_fifo_policy;
  hk_session_init (&agent->session, agent);
  hk_agent_link_init (&agent->link, agent);
  hk_agent_requests_init (&agent->requests, agent);
  hk_agent_jobs_init (&agent->jobs, agent);
  hk_announcer_init (&agent->announcer, agent);
  hk_agent_rpc_init (&agent->rpc, agent);
  hk_supervisor_init (root, "agent", RESTARTS_MAX, RESTARTS_PERIOD_MS);
  root->on_finish = on_finish;
  root->user = user;
  /* Tasks drain in reverse order, so that requests and jobs end while the
     server, the session and the announcer still run. */
  hk_supervisor_add (root, &agent->session.task);
  hk_supervisor_add (root, &agent->rpc.task);
  hk_supervisor_add (root, &agent->announcer.task);
  hk_supervisor_add (root, &agent->jobs.task);
  hk_supervisor_add (root, &agent->requests.task);
  hk_supervisor_add (root, &agent->link.task);
  return agent;
}

int
hk_agent_start (struct hk_agent *agent, struct hk_error *err)
{
  return hk_supervisor_start (&agent->root, err);
}

void
hk_agent_drain (struct hk_agent *agent)
{
  agent->draining = TRUE;
  hk_agent_notify (&agent->announcer.task, HK_MSG_ANNOUNCE);
  hk_supervisor_drain (&agent->root);
}

void
hk_agent_free (struct hk_agent *agent)
{
  hk_supervisor_stop (&agent->root);
  hk_worker_http_finish (&agent->worker_http);
  hk_store_etcd_finish (&agent->store);
  hk_tables_finish (&agent->tables);
  g_free (agent->incarnation);
  g_free (agent);
}

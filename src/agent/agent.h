#ifndef HYSSOPKEEL_AGENT_INTERNAL_H
#define HYSSOPKEEL_AGENT_INTERNAL_H

#include "capacity.h"
#include "hyssopkeel/agent.h"
#include "hyssopkeel/hk_rpc_xdr.h"
#include "hyssopkeel/interference.h"
#include "hyssopkeel/job.h"
#include "hyssopkeel/rpc_channel.h"
#include "hyssopkeel/rpc_server.h"
#include "hyssopkeel/snapshot.h"
#include "hyssopkeel/settings.h"
#include "hyssopkeel/store_etcd.h"
#include "hyssopkeel/task.h"
#include "hyssopkeel/worker.h"

/* Messages between the agent's tasks; none carries data. */
enum hk_agent_msg
{
  /* requests to jobs: the worker refused a request; renew to learn why */
  HK_MSG_CHECK_WORKER = 1,
  /* session to jobs: a new session is valid */
  HK_MSG_SESSION_CHANGED,
  /* any to requests: capacity or limits changed; start queued requests */
  HK_MSG_CAPACITY_FREED,
  /* requests to jobs: a route with queued requests is below its floor */
  HK_MSG_EVICTION_NEEDED,
  /* any to announcer: announce at once */
  HK_MSG_ANNOUNCE
};

/**
 * struct hk_session - session of this agent in the platform's store.
 * @task: task in the supervisor.
 * @agent: agent.
 * @id: id named in job records, NULL before the first session.
 * @pending_id: id of the session that is being created, or NULL.
 * @lease: lease id in the store, 0 if there is none.
 * @pending_lease: lease id of @pending_id.
 * @expires_ms: earliest expiry of the lease, on hk_clock_ms().
 * @request_sent_ms: when the last grant or keepalive was sent, on
 *                   hk_clock_ms().
 * @call_in_flight: whether a call to the store is in flight.
 * @revoking: whether the session is being revoked.
 * @timer: next keepalive or retry; limit of the wait while it is revoked.
 */
struct hk_session
{
  struct hk_task task;
  struct hk_agent *agent;
  char *id;
  char *pending_id;
  int64_t lease;
  int64_t pending_lease;
  int64_t expires_ms;
  int64_t request_sent_ms;
  gboolean call_in_flight;
  gboolean revoking;
  struct hk_timer timer;
};

/**
 * struct hk_agent_link - attachment to the worker of this instance.
 * @task: task in the supervisor.
 * @agent: agent.
 * @ready: whether the agent is attached and the listed work booked.
 * @attaching: whether a call to attach is in flight.
 * @boot: boot id of the worker, NULL before the first attachment.
 * @predecessor_requests: request id to struct hk_size, of requests that a
 *                        predecessor of this agent started and the worker
 *                        still runs.
 * @retry_timer: next attempt to attach.
 */
struct hk_agent_link
{
  struct hk_task task;
  struct hk_agent *agent;
  gboolean ready;
  gboolean attaching;
  char *boot;
  GHashTable *predecessor_requests;
  struct hk_timer retry_timer;
};

/**
 * struct hk_agent_requests - requests accepted by this incarnation.
 * @task: task in the supervisor.
 * @agent: agent.
 * @by_id: request id to struct hk_agent_request, which it owns.
 * @queues: route name to its queue.
 * @n_open: number of requests queued or running.
 * @kept_body_bytes: size of the response bodies kept for repeated calls.
 * @draining: whether the task drains.
 * @interference: slowdown of interactive requests by batch tasks.
 */
struct hk_agent_requests
{
  struct hk_task task;
  struct hk_agent *agent;
  GHashTable *by_id;
  GHashTable *queues;
  int64_t n_open;
  int64_t kept_body_bytes;
  gboolean draining;
  struct hk_interference interference;
};

/**
 * struct hk_agent_jobs - jobs claimed or held by this agent.
 * @task: task in the supervisor.
 * @agent: agent.
 * @list: jobs, oldest first.
 * @n_jobs: length of @list.
 * @adopting_ids: ids of listed tasks whose record is being read.
 * @draining: whether the task drains.
 * @renewal_in_flight: whether a renewal is in flight.
 * @throttle_percent: speed limit of batch tasks, per cent of full speed.
 * @renew_timer: next renewal.
 */
struct hk_agent_jobs
{
  struct hk_task task;
  struct hk_agent *agent;
  TAILQ_HEAD (, hk_agent_job) list;
  int64_t n_jobs;
  GHashTable *adopting_ids;
  gboolean draining;
  gboolean renewal_in_flight;
  int64_t throttle_percent;
  struct hk_timer renew_timer;
};

/**
 * struct hk_announcer - announces this instance to the entries.
 * @task: task in the supervisor.
 * @agent: agent.
 * @n_entries: length of @entries.
 * @entries: one channel and timer per entry.
 * @leave_timer: end of the time in which entries learn of the drain.
 */
struct hk_announcer
{
  struct hk_task task;
  struct hk_agent *agent;
  size_t n_entries;
  struct hk_announce_entry *entries;
  struct hk_timer leave_timer;
};

/**
 * struct hk_agent_rpc - RPC server of the agent.
 * @task: task in the supervisor.
 * @agent: agent.
 * @server: listening server.
 */
struct hk_agent_rpc
{
  struct hk_task task;
  struct hk_agent *agent;
  struct hk_rpc_server server;
};

/**
 * struct hk_agent - the process beside one endpoint.
 * @settings: settings, owned by the caller of hk_agent_new().
 * @incarnation: id of this process.
 * @incarnation_hash: hash of @incarnation, sent with every reply.
 * @root: supervisor of the tasks.
 * @store: connection to the platform's store.
 * @worker_http: HTTP client for the worker.
 * @worker: @worker_http as a generic worker.
 * @tables: newest tables known.
 * @capacity: total and booked capacity of the instance.
 * @draining: whether new work is refused.
 * @session: session task.
 * @link: link task.
 * @requests: requests task.
 * @jobs: jobs task.
 * @announcer: announcer task.
 * @rpc: RPC server task.
 */
struct hk_agent
{
  const struct hk_settings *settings;
  char *incarnation;
  uint64_t incarnation_hash;
  struct hk_supervisor root;
  struct hk_store_etcd store;
  struct hk_worker_http worker_http;
  struct hk_worker *worker;
  struct hk_tables tables;
  struct hk_capacity capacity;
  gboolean draining;
  struct hk_session session;
  struct hk_agent_link link;
  struct hk_agent_requests requests;
  struct hk_agent_jobs jobs;
  struct hk_announcer announcer;
  struct hk_agent_rpc rpc;
};

/* agent.c */

/**
 * hk_agent_notify() - send a message without data.
 * @task: receiver.
 * @type: message type.
 */
void hk_agent_notify (struct hk_task *task, enum hk_agent_msg type);

/**
 * hk_agent_load_get() - get the load that is reported with each reply.
 * @agent: agent.
 * @load: filled.
 */
void hk_agent_load_get (const struct hk_agent *agent, hk_rpc_load *load);

/**
 * hk_agent_set_tables() - install tables if they are newer.
 * @agent: agent.
 * @text: JSON.
 * @len: its length in bytes.
 * @err: filled on failure.
 *
 * Return: 0, also if they are not newer, or a negative code.
 */
int hk_agent_set_tables (struct hk_agent *agent, const char *text, gsize len,
                         struct hk_error *err);

/**
 * hk_agent_worker_detached() - handle the loss of the attachment.
 * @agent: agent.
 * @rc: HK_ERR_CONFLICT if another agent is attached, which stops this agent;
 *      else the worker restarted and the agent attaches again.
 */
void hk_agent_worker_detached (struct hk_agent *agent, int rc);

/* session.c */

/**
 * hk_session_init() - prepare the session task.
 * @s: memory of the caller.
 * @agent: agent.
 */
void hk_session_init (struct hk_session *s, struct hk_agent *agent);

/**
 * hk_session_valid_until() - time until which tasks may be kept running.
 * @s: session.
 *
 * Return: time on hk_clock_ms(), with a margin before the lease can expire; 0
 * if there is no session.
 */
int64_t hk_session_valid_until (const struct hk_session *s);

/**
 * hk_session_replace() - replace a session whose key the store has deleted.
 * @s: session task.
 * @id: id of that session; ignored unless it is the current one.
 */
void hk_session_replace (struct hk_session *s, const char *id);

/* worker_link.c */

/**
 * hk_agent_link_init() - prepare the link task.
 * @l: memory of the caller.
 * @agent: agent.
 */
void hk_agent_link_init (struct hk_agent_link *l, struct hk_agent *agent);

/**
 * hk_agent_link_reset() - attach again after a restart of the worker.
 * @l: link.
 */
void hk_agent_link_reset (struct hk_agent_link *l);

/**
 * hk_agent_link_total_update() - apply a changed capacity of the worker.
 * @l: link.
 * @listing: reply of the worker.
 */
void hk_agent_link_total_update (struct hk_agent_link *l,
                                 json_object *listing);

/**
 * hk_agent_link_requests_update() - book the requests of predecessor agents.
 * @l: link.
 * @listing: reply of the worker; requests no longer in it are released.
 */
void hk_agent_link_requests_update (struct hk_agent_link *l,
                                    json_object *listing);

/* requests.c */

/**
 * hk_agent_requests_init() - prepare the requests task.
 * @r: memory of the caller.
 * @agent: agent.
 */
void hk_agent_requests_init (struct hk_agent_requests *r,
                             struct hk_agent *agent);

/**
 * hk_agent_requests_execute() - accept or refuse a request.
 * @r: requests task.
 * @rpc: call; the reply is sent at once or when the request ends.
 * @args: its arguments, valid until the reply.
 */
void hk_agent_requests_execute (struct hk_agent_requests *r,
                                struct hk_rpc_request *rpc,
                                hk_rpc_execute_args *args);

/**
 * hk_agent_requests_cancel() - cancel a request that has not started.
 * @r: requests task.
 * @rpc: call to reply to.
 * @args: its arguments.
 *
 * An unknown id leaves a tombstone, so that a delayed request is refused.
 */
void hk_agent_requests_cancel (struct hk_agent_requests *r,
                               struct hk_rpc_request *rpc,
                               hk_rpc_cancel_args *args);

/**
 * hk_agent_requests_query() - reply with the outcome once it is known.
 * @r: requests task.
 * @rpc: call; the reply is sent at once or when the request ends.
 * @args: its arguments.
 *
 * An unknown id leaves a tombstone, so that a delayed request is refused.
 */
void hk_agent_requests_query (struct hk_agent_requests *r,
                              struct hk_rpc_request *rpc,
                              hk_rpc_cancel_args *args);

/* jobs.c */

/**
 * hk_agent_jobs_init() - prepare the jobs task.
 * @j: memory of the caller.
 * @agent: agent.
 */
void hk_agent_jobs_init (struct hk_agent_jobs *j, struct hk_agent *agent);

/**
 * hk_agent_jobs_offer() - claim an offered job, or refuse it.
 * @j: jobs task.
 * @rpc: call; the reply is sent after the claim, or at once on a refusal.
 * @args: its arguments.
 */
void hk_agent_jobs_offer (struct hk_agent_jobs *j, struct hk_rpc_request *rpc,
                          hk_rpc_offer_args *args);

/**
 * hk_agent_jobs_cancel() - stop a held job that was cancelled.
 * @j: jobs task.
 * @rpc: call to reply to.
 * @args: its arguments.
 */
void hk_agent_jobs_cancel (struct hk_agent_jobs *j, struct hk_rpc_request *rpc,
                           hk_rpc_offer_args *args);

/**
 * hk_agent_jobs_adopt() - book all tasks that the worker lists, then hold or
 * discard each according to its record in the store.
 * @j: jobs task.
 * @listing: reply of the worker to the attachment.
 */
void hk_agent_jobs_adopt (struct hk_agent_jobs *j, json_object *listing);

/**
 * hk_agent_jobs_worker_restarted() - requeue all jobs after a worker restart.
 * @j: jobs task.
 */
void hk_agent_jobs_worker_restarted (struct hk_agent_jobs *j);

/**
 * hk_agent_jobs_suspect_held() - whether a job is held that must run alone.
 * @j: jobs task.
 *
 * Return: TRUE if no other job is accepted.
 */
gboolean hk_agent_jobs_suspect_held (const struct hk_agent_jobs *j);

/* announcer.c */

/**
 * hk_announcer_init() - prepare the announcer task.
 * @a: memory of the caller.
 * @agent: agent.
 */
void hk_announcer_init (struct hk_announcer *a, struct hk_agent *agent);

/* agent_rpc.c */

/**
 * hk_agent_rpc_init() - prepare the RPC server task.
 * @r: memory of the caller.
 * @agent: agent.
 */
void hk_agent_rpc_init (struct hk_agent_rpc *r, struct hk_agent *agent);

#endif

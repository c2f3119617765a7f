/* Requests on this instance: admission, one queue per route, and execution on
   the worker. Admission refuses what cannot be answered before its deadline,
   and a repeated or delayed call with a known request id joins the first call
   instead of running again. */
#include <string.h>

#include "agent.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "outcome.h"

/* Weight of a new sample in the smoothed service time of a route. */
#define SERVICE_TIME_WEIGHT 0.1

struct route_queue
{
  const char *route;
  TAILQ_HEAD (, hk_agent_request) list;
};

static void start_queued_requests (struct hk_agent_requests *r);

static struct route_queue *
route_queue_get (struct hk_agent_requests *r, const char *route)
{
  struct route_queue *q = g_hash_table_lookup (r->queues, route);

  if (q)
    return q;
  q = g_new0 (struct route_queue, 1);
  q->route = g_intern_string (route);
  TAILQ_INIT (&q->list);
  g_hash_table_insert (r->queues, (gpointer)q->route, q);
  return q;
}

static void
add_queued (struct hk_agent_request *req, int64_t delta)
{
  struct hk_route_limit *row
      = hk_capacity_route_limit (&req->owner->agent->capacity, req->route);

  if (!row)
    return;
  row->queued += delta;
  hk_limits_record_demand (row, hk_clock_ms ());
}

static void
update_head_arrival (struct hk_agent_requests *r, const char *route)
{
  struct hk_route_limit *row
      = hk_capacity_route_limit (&r->agent->capacity, route);
  const struct hk_agent_request *head
      = TAILQ_FIRST (&route_queue_get (r, route)->list);

  if (row && head)
    row->head_arrival_us = head->state_since_us;
}

static void
dequeue (struct hk_agent_request *req)
{
  TAILQ_REMOVE (&route_queue_get (req->owner, req->route)->list, req, link);
  add_queued (req, -1);
  update_head_arrival (req->owner, req->route);
}

static void
on_request_ended (struct hk_agent_requests *r)
{
  r->n_open--;
  if (r->draining && r->n_open == 0)
    hk_task_drained (&r->task);
}

/* Removes a request from its queue and replies that it did not run. */
static void
refuse_queued (struct hk_agent_request *req, const char *reason)
{
  struct hk_agent_requests *r = req->owner;

  dequeue (req);
  hk_outcome_complete (req, HK_OUTCOME_NOT_RUN, reason);
  on_request_ended (r);
}

static void
on_queue_deadline (void *user)
{
  refuse_queued (user, "deadline passed in the queue");
}

static gboolean
batch_task_held (const struct hk_agent_requests *r)
{
  return r->agent->jobs.n_jobs > 0;
}

static void
update_service_time (struct hk_agent_request *req)
{
  struct hk_agent_requests *r = req->owner;
  struct hk_route_limit *row
      = hk_capacity_route_limit (&r->agent->capacity, req->route);
  double service_us = (double)(hk_clock_us () - req->state_since_us);

  if (row && row->service_us <= 0)
    row->service_us = service_us;
  else if (row)
    row->service_us += (service_us - row->service_us) * SERVICE_TIME_WEIGHT;
  if (req->interactive)
    hk_interference_sample (&r->interference, service_us, batch_task_held (r));
}

static void
on_worker_response (int rc, guint status, const char *type, GBytes *body,
                    const struct hk_error *err, void *user)
{
  struct hk_agent_request *req = user;
  struct hk_agent_requests *r = req->owner;

  hk_capacity_release (&r->agent->capacity, req->route, &req->size,
                       hk_clock_ms ());
  if (rc == HK_OK)
    {
      update_service_time (req);
      req->status = status;
      req->content_type = g_strdup (type);
      req->body = g_bytes_ref (body);
      hk_outcome_complete (req, HK_OUTCOME_DONE, "");
    }
  else if (rc == HK_ERR_UNAVAILABLE || rc == HK_ERR_CONFLICT)
    hk_outcome_complete (req, HK_OUTCOME_NOT_RUN, err->text);
  else
    {
      hk_log_error ("requests", req->id, err);
      hk_outcome_complete (req, HK_OUTCOME_UNKNOWN, err->text);
    }
  on_request_ended (r);
  /* The reply to a renewal shows whether the worker restarted or was taken
     over by another agent. */
  if (rc == HK_ERR_CONFLICT)
    hk_agent_notify (&r->agent->jobs.task, HK_MSG_CHECK_WORKER);
  start_queued_requests (r);
}

/* Sends a request whose slot is booked to the worker. */
static void
start_request (struct hk_agent_request *req)
{
  struct hk_worker *worker = req->owner->agent->worker;
  const hk_rpc_execute_args *args = req->args;
  g_autoptr (GBytes) body
      = g_bytes_new (args->body.body_val, args->body.body_len);
  struct hk_worker_run run = { .request_id = req->id,
                               .method = args->method,
                               .path = args->path,
                               .content_type = args->content_type,
                               .key = args->key,
                               .cpu_milli = req->size.cpu_milli,
                               .memory_mb = req->size.memory_mb,
                               .idempotent = req->idempotent,
                               .body = body };

  hk_timer_clear (&req->timer);
  req->state = HK_REQUEST_RUNNING;
  req->state_since_us = hk_clock_us ();
  worker->ops->run (worker, &run, on_worker_response, req);
}

static gboolean
start_queue_head (struct hk_agent_requests *r, const char *route)
{
  struct hk_agent_request *req
      = TAILQ_FIRST (&route_queue_get (r, route)->list);

  if (!req
      || hk_capacity_book (&r->agent->capacity, route, &req->size,
                           hk_clock_ms ())
             < 0)
    return FALSE;
  dequeue (req);
  start_request (req);
  return TRUE;
}

static void
start_queued_requests (struct hk_agent_requests *r)
{
  struct hk_limits *limits = &r->agent->capacity.limits;

  for (;;)
    {
      struct hk_route_limit *row
          = hk_limits_next_route (limits, hk_clock_ms ());

      if (!row || !start_queue_head (r, row->name))
        return;
    }
}

/* Returns the reason for refusing a request, or NULL to accept it. */
static const char *
refusal_reason (struct hk_agent_requests *r, const struct hk_route *route,
                const struct hk_route_limit *row,
                const hk_rpc_execute_args *args)
{
  if (strcmp (args->incarnation, r->agent->incarnation) != 0)
    return "meant for an earlier incarnation";
  if (r->agent->draining)
    return "instance is leaving";
  if (!r->agent->link.ready)
    return "worker is not ready";
  if (!route || !row)
    return "route is not known here";
  if (hk_outcome_limit_reached (r))
    return "no room to keep the outcome";
  if (row->queued >= route->queue && row->queued > 0)
    return "queue is full";
  if (!hk_limits_meets_deadline (&r->agent->capacity.limits, row,
                                 args->deadline_ms, hk_clock_ms ()))
    return "cannot be answered in time";
  return NULL;
}

static struct hk_agent_request *
accept_request (struct hk_agent_requests *r, struct hk_rpc_request *rpc,
                hk_rpc_execute_args *args, const struct hk_route *route)
{
  struct hk_agent_request *req = hk_agent_request_new (r, args->request_id);

  req->route = g_intern_string (route->name);
  req->keep_outcome = !route->idempotent;
  req->idempotent = route->idempotent;
  req->interactive = route->kind == HK_ROUTE_INTERACTIVE;
  req->size = (struct hk_size){ 1, route->cpu_milli, route->memory_mb,
                                route->accelerators };
  req->deadline_ms = hk_clock_ms () + args->deadline_ms;
  req->args = args;
  g_ptr_array_add (req->waiters, rpc);
  r->n_open++;
  return req;
}

static void
enqueue (struct hk_agent_request *req)
{
  req->state_since_us = hk_clock_us ();
  TAILQ_INSERT_TAIL (&route_queue_get (req->owner, req->route)->list, req,
                     link);
  update_head_arrival (req->owner, req->route);
  add_queued (req, 1);
  hk_timer_set (&req->timer, req->deadline_ms - hk_clock_ms (),
                on_queue_deadline, req);
}

/* Guards against running a request twice: another call with its id gets the
   outcome of the first. */
static void
add_waiter (struct hk_agent_request *req, struct hk_rpc_request *rpc)
{
  if (req->state == HK_REQUEST_ENDED)
    hk_outcome_reply_stored (req, rpc);
  else
    g_ptr_array_add (req->waiters, rpc);
}

void
hk_agent_requests_execute (struct hk_agent_requests *r,
                           struct hk_rpc_request *rpc,
                           hk_rpc_execute_args *args)
{
  struct hk_agent *agent = r->agent;
  const struct hk_route *route = hk_tables_route (&agent->tables, args->route);
  struct hk_route_limit *row
      = route ? hk_capacity_route_limit (&agent->capacity, route->name) : NULL;
  struct hk_agent_request *req
      = g_hash_table_lookup (r->by_id, args->request_id);
  const char *refusal;

  if (req)
    {
      add_waiter (req, rpc);
      return;
    }
  refusal = refusal_reason (r, route, row, args);
  if (refusal)
    {
      hk_outcome_reply_empty (agent, rpc, HK_OUTCOME_NOT_RUN, refusal);
      return;
    }
  req = accept_request (r, rpc, args, route);
  enqueue (req);
  start_queued_requests (r);
  if (row->queued > 0 && row->running < row->floor)
    hk_agent_notify (&agent->jobs.task, HK_MSG_EVICTION_NEEDED);
}

static gboolean
check_incarnation (struct hk_agent_requests *r, struct hk_rpc_request *rpc,
                   const hk_rpc_cancel_args *args)
{
  if (strcmp (args->incarnation, r->agent->incarnation) == 0)
    return TRUE;
  hk_outcome_reply_empty (r->agent, rpc, HK_OUTCOME_UNKNOWN,
                          "incarnation is not the one asked");
  return FALSE;
}

/* Returns the request that a cancel or query names, or NULL after replying to
   a call that names none. */
static struct hk_agent_request *
find_or_refuse (struct hk_agent_requests *r, struct hk_rpc_request *rpc,
                const hk_rpc_cancel_args *args)
{
  struct hk_agent_request *req;

  if (!check_incarnation (r, rpc, args))
    return NULL;
  req = g_hash_table_lookup (r->by_id, args->request_id);
  if (req)
    return req;
  hk_outcome_tombstone_add (r, args->request_id);
  hk_outcome_reply_empty (r->agent, rpc, HK_OUTCOME_NOT_RUN, "never arrived");
  return NULL;
}

void
hk_agent_requests_cancel (struct hk_agent_requests *r,
                          struct hk_rpc_request *rpc, hk_rpc_cancel_args *args)
{
  struct hk_agent_request *req = find_or_refuse (r, rpc, args);

  if (!req)
    return;
  if (req->state == HK_REQUEST_QUEUED)
    {
      req->keep_outcome = TRUE;
      g_ptr_array_add (req->waiters, rpc);
      refuse_queued (req, "cancelled");
    }
  else if (req->state == HK_REQUEST_RUNNING)
    hk_outcome_reply_empty (r->agent, rpc, HK_OUTCOME_RUNNING,
                            "still running");
  else
    hk_outcome_reply_stored (req, rpc);
}

void
hk_agent_requests_query (struct hk_agent_requests *r,
                         struct hk_rpc_request *rpc, hk_rpc_cancel_args *args)
{
  struct hk_agent_request *req = find_or_refuse (r, rpc, args);

  if (req)
    add_waiter (req, rpc);
}

static void
requests_receive (struct hk_task *task, struct hk_msg *msg)
{
  struct hk_agent_requests *r = (struct hk_agent_requests *)task;

  if (msg->type == HK_MSG_CAPACITY_FREED)
    start_queued_requests (r);
  g_free (msg);
}

static int
requests_start (struct hk_task *task, struct hk_error *err)
{
  (void)task;
  (void)err;
  return HK_OK;
}

static void
requests_drain (struct hk_task *task)
{
  struct hk_agent_requests *r = (struct hk_agent_requests *)task;

  r->draining = TRUE;
  if (r->n_open == 0)
    hk_task_drained (task);
}

static void
requests_stop (struct hk_task *task)
{
  (void)task;
}

static const struct hk_task_ops requests_ops = { .name = "requests",
                                                 .start = requests_start,
                                                 .drain = requests_drain,
                                                 .stop = requests_stop,
                                                 .receive = requests_receive };

void
hk_agent_requests_init (struct hk_agent_requests *r, struct hk_agent *agent)
{
  hk_task_init (&r->task, &requests_ops);
  r->agent = agent;
  r->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    hk_agent_request_free);
  r->queues = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

/* Outcomes of requests: the calls that wait for them and how long they are
   kept.

   The outcome of a request that must not run twice is kept longer than the
   claim on its idempotency key is honoured, so that a client that repeats the
   request gets the outcome. Of an idempotent request only the fact that it ran
   is kept, until an entry can no longer cancel it at its deadline. An id that
   is cancelled or queried before its request arrives leaves a tombstone, so
   that a delayed copy of the request is not run. */
#include "outcome.h"

#include "hyssopkeel/clock.h"

#define OUTCOME_KEEP_MS (20 * 60 * 1000)
#define OUTCOME_KEEP_PAST_DEADLINE_MS 3000
/* New requests are refused at either limit. */
#define KEPT_REQUESTS_MAX 50000
#define KEPT_BYTES_MAX (16 << 20)

void
hk_outcome_reply_empty (const struct hk_agent *agent,
                        struct hk_rpc_request *rpc, hk_rpc_outcome outcome,
                        const char *reason)
{
  hk_rpc_execute_reply reply = { .outcome = outcome };

  reply.content_type = "";
  reply.reason = (char *)reason;
  hk_agent_load_get (agent, &reply.load);
  hk_rpc_reply (rpc, &reply);
}

void
hk_outcome_reply_stored (const struct hk_agent_request *req,
                         struct hk_rpc_request *rpc)
{
  hk_rpc_execute_reply reply = { .outcome = req->outcome };
  gsize len = 0;

  reply.status = req->status;
  reply.content_type = req->content_type ? req->content_type : "";
  reply.reason = req->reason ? req->reason : "";
  if (req->body)
    reply.body.body_val = (char *)g_bytes_get_data (req->body, &len);
  reply.body.body_len = (u_int)len;
  hk_agent_load_get (req->owner->agent, &reply.load);
  hk_rpc_reply (rpc, &reply);
}

struct hk_agent_request *
hk_agent_request_new (struct hk_agent_requests *owner, const char *id)
{
  struct hk_agent_request *req = g_new0 (struct hk_agent_request, 1);

  req->owner = owner;
  req->id = g_strdup (id);
  req->waiters = g_ptr_array_new ();
  g_hash_table_replace (owner->by_id, req->id, req);
  return req;
}

void
hk_agent_request_free (gpointer data)
{
  struct hk_agent_request *req = data;

  hk_timer_clear (&req->timer);
  if (req->body)
    req->owner->kept_body_bytes -= (int64_t)g_bytes_get_size (req->body);
  g_clear_pointer (&req->body, g_bytes_unref);
  g_ptr_array_unref (req->waiters);
  g_free (req->id);
  g_free (req->content_type);
  g_free (req->reason);
  g_free (req);
}

static void
on_retention_end (void *user)
{
  struct hk_agent_request *req = user;

  g_hash_table_remove (req->owner->by_id, req->id);
}

static void
keep_until_deadline (struct hk_agent_request *req)
{
  int64_t remaining_ms = req->deadline_ms - hk_clock_ms ();

  if (req->body)
    req->owner->kept_body_bytes -= (int64_t)g_bytes_get_size (req->body);
  g_clear_pointer (&req->body, g_bytes_unref);
  if (req->outcome == HK_OUTCOME_DONE)
    {
      req->outcome = HK_OUTCOME_UNKNOWN;
      g_free (req->reason);
      req->reason = g_strdup ("it ran, but its answer was not kept");
    }
  hk_timer_set (&req->timer,
                MAX (remaining_ms, 0) + OUTCOME_KEEP_PAST_DEADLINE_MS,
                on_retention_end, req);
}

void
hk_outcome_complete (struct hk_agent_request *req, hk_rpc_outcome outcome,
                     const char *reason)
{
  hk_timer_clear (&req->timer);
  req->state = HK_REQUEST_ENDED;
  req->outcome = outcome;
  req->reason = g_strdup (reason);
  if (req->body)
    req->owner->kept_body_bytes += (int64_t)g_bytes_get_size (req->body);
  for (guint i = 0; i < req->waiters->len; i++)
    hk_outcome_reply_stored (req, g_ptr_array_index (req->waiters, i));
  g_ptr_array_set_size (req->waiters, 0);
  req->args = NULL;
  if (!req->keep_outcome)
    keep_until_deadline (req);
  else
    hk_timer_set (&req->timer, OUTCOME_KEEP_MS, on_retention_end, req);
}

void
hk_outcome_tombstone_add (struct hk_agent_requests *owner, const char *id)
{
  struct hk_agent_request *req = hk_agent_request_new (owner, id);

  req->keep_outcome = TRUE;
  hk_outcome_complete (req, HK_OUTCOME_NOT_RUN, "cancelled before it arrived");
}

gboolean
hk_outcome_limit_reached (const struct hk_agent_requests *owner)
{
  return g_hash_table_size (owner->by_id) >= KEPT_REQUESTS_MAX
         || owner->kept_body_bytes >= KEPT_BYTES_MAX;
}

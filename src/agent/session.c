/* The agent's session: a key in the platform's store that is bound to a lease.
   Job records name the session, and entries requeue or reassign its jobs once
   the store has deleted the key, e.g. after the agent crashed or was cut off
   from the store. */
#include "agent.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/record.h"

#define SESSION_RETRY_MS 1000
/* Safety margin before the expiry of the lease, as the clocks of the agent and
   the store may drift apart. */
#define DRIFT_MARGIN_MS 1000
/* Longest wait for the revocation during a drain. */
#define REVOKE_TIMEOUT_MS 2000
#define RENEWALS_PER_TTL 3

static void renew_or_create (void *user);

static int64_t
ttl_ms (const struct hk_session *s)
{
  return s->agent->settings->session_ttl_s * 1000;
}

int64_t
hk_session_valid_until (const struct hk_session *s)
{
  if (!s->id)
    return 0;
  return s->expires_ms - DRIFT_MARGIN_MS;
}

static char *
session_key (const char *id)
{
  return g_strconcat (HK_KEY_SESSIONS, id, NULL);
}

static char *
session_value (const struct hk_session *s, const char *write_id)
{
  const struct hk_settings *settings = s->agent->settings;
  g_autoptr (json_object) obj = json_object_new_object ();

#define ADD(name, text)                                                       \
  json_object_object_add (obj, name, json_object_new_string (text))
  ADD ("name", settings->name);
  ADD ("incarnation", s->agent->incarnation);
  ADD ("domain", settings->domain);
  ADD ("pool", settings->pool);
  ADD ("address", settings->announce ? settings->announce : settings->rpc);
  ADD ("boot", s->agent->link.boot ? s->agent->link.boot : "");
  ADD ("write_id", write_id);
  json_object_object_add (obj, "worker_lease_ms",
                          json_object_new_int64 (settings->worker_lease_ms));
#undef ADD
  return g_strdup (
      json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
}

static void
activate_pending_session (struct hk_session *s)
{
  g_free (s->id);
  s->id = g_steal_pointer (&s->pending_id);
  s->lease = s->pending_lease;
  s->expires_ms = s->request_sent_ms + ttl_ms (s);
  hk_log (HK_LOG_INFO, "session", NULL, NULL, "session granted session=%s",
          s->id);
  hk_agent_notify (&s->agent->jobs.task, HK_MSG_SESSION_CHANGED);
  hk_agent_notify (&s->agent->announcer.task, HK_MSG_ANNOUNCE);
}

static void
on_session_key_written (int rc, const struct hk_store_kv *current,
                        const struct hk_error *err, void *user)
{
  struct hk_session *s = user;

  (void)current;
  s->call_in_flight = FALSE;
  if (!s->task.running)
    return;
  if (rc < 0)
    hk_log_error ("session", s->pending_id, err);
  else
    activate_pending_session (s);
  hk_timer_set (&s->timer,
                rc < 0 ? SESSION_RETRY_MS : ttl_ms (s) / RENEWALS_PER_TTL,
                renew_or_create, s);
}

static void
on_lease_granted (int rc, const struct hk_store_result *res,
                  const struct hk_error *err, void *user)
{
  struct hk_session *s = user;
  g_autofree char *write_id = NULL;
  g_autofree char *value = NULL;
  g_autofree char *key = NULL;
  struct hk_store_txn txn;

  if (rc < 0 || res->lease == 0 || !s->task.running)
    {
      s->call_in_flight = FALSE;
      if (rc < 0)
        hk_log_error ("session", NULL, err);
      if (s->task.running)
        hk_timer_set (&s->timer, SESSION_RETRY_MS, renew_or_create, s);
      return;
    }
  s->pending_lease = res->lease;
  g_free (s->pending_id);
  s->pending_id = hk_id_new (s->agent->settings->name);
  write_id = hk_id_new ("w");
  value = session_value (s, write_id);
  key = session_key (s->pending_id);
  hk_store_txn_init_cas (&txn, key, 0, value, s->pending_lease);
  /* The validity counts from the request for the lease, so a slow write only
     shortens it; the session is not used after the lease has expired. */
  hk_record_write (&s->agent->store.base, &txn, write_id, ttl_ms (s) / 2,
                   on_session_key_written, s);
}

static void
request_lease (struct hk_session *s)
{
  struct hk_store *store = &s->agent->store.base;

  s->request_sent_ms = hk_clock_ms ();
  store->ops->grant (store, s->agent->settings->session_ttl_s,
                     on_lease_granted, s);
}

static void
on_keepalive (int rc, const struct hk_store_result *res,
              const struct hk_error *err, void *user)
{
  struct hk_session *s = user;

  s->call_in_flight = FALSE;
  if (!s->task.running)
    return;
  if (rc < 0)
    {
      hk_log_error ("session", s->id, err);
      hk_timer_set (&s->timer, SESSION_RETRY_MS, renew_or_create, s);
      return;
    }
  if (s->lease == 0)
    {
      hk_timer_set (&s->timer, 0, renew_or_create, s);
      return;
    }
  if (res->ttl_s > 0)
    {
      s->expires_ms = s->request_sent_ms + ttl_ms (s);
      hk_timer_set (&s->timer, ttl_ms (s) / RENEWALS_PER_TTL, renew_or_create,
                    s);
      return;
    }
  hk_log (HK_LOG_WARN, "session", NULL, s->id,
          "session lease expired in the store; creating a new session");
  s->expires_ms = 0;
  s->lease = 0;
  hk_timer_set (&s->timer, 0, renew_or_create, s);
}

static void
renew_or_create (void *user)
{
  struct hk_session *s = user;
  struct hk_store *store = &s->agent->store.base;

  if (s->call_in_flight)
    return;
  if (!s->agent->link.ready)
    {
      hk_timer_set (&s->timer, SESSION_RETRY_MS / 10, renew_or_create, s);
      return;
    }
  s->call_in_flight = TRUE;
  if (s->lease == 0)
    {
      request_lease (s);
      return;
    }
  s->request_sent_ms = hk_clock_ms ();
  store->ops->keepalive (store, s->lease, on_keepalive, s);
}

void
hk_session_replace (struct hk_session *s, const char *id)
{
  if (g_strcmp0 (s->id, id) != 0 || s->lease == 0 || s->revoking)
    return;
  hk_log (HK_LOG_WARN, "session", NULL, id,
          "session reported as expired by an entry; creating a new session");
  s->expires_ms = 0;
  s->lease = 0;
  hk_timer_set (&s->timer, 0, renew_or_create, s);
}

static int
session_start (struct hk_task *task, struct hk_error *err)
{
  struct hk_session *s = (struct hk_session *)task;

  (void)err;
  hk_timer_set (&s->timer, 0, renew_or_create, s);
  return HK_OK;
}

static void
finish_drain (void *user)
{
  struct hk_session *s = user;

  if (s->revoking)
    hk_task_drained (&s->task);
}

static void
on_revoked (int rc, const struct hk_store_result *res,
            const struct hk_error *err, void *user)
{
  (void)rc;
  (void)res;
  (void)err;
  finish_drain (user);
}

/* Revokes the lease; without a revocation it expires by itself. */
static void
session_drain (struct hk_task *task)
{
  struct hk_session *s = (struct hk_session *)task;
  struct hk_store *store = &s->agent->store.base;

  s->revoking = TRUE;
  if (s->lease == 0)
    {
      hk_task_drained (task);
      return;
    }
  hk_timer_set (&s->timer, REVOKE_TIMEOUT_MS, finish_drain, s);
  store->ops->revoke (store, s->lease, on_revoked, s);
}

static void
session_stop (struct hk_task *task)
{
  struct hk_session *s = (struct hk_session *)task;

  s->revoking = FALSE;
  hk_timer_clear (&s->timer);
}

static const struct hk_task_ops session_ops = { .name = "session",
                                                .start = session_start,
                                                .drain = session_drain,
                                                .stop = session_stop };

void
hk_session_init (struct hk_session *s, struct hk_agent *agent)
{
  hk_task_init (&s->task, &session_ops);
  s->agent = agent;
}

/* Following a coordinator: pings, the watch of the lead record, and when to
   suspect it; see coord_lead.c for what follows from that. */
#include "coord.h"

/* Pings find a peer that went silent; a reset is noticed at once. */
#define PING_MS 250
#define PING_TIMEOUT_MS 500
#define PINGS_MISSED_MAX 2
/* A leader that is weaker than this share of a follower is replaced. */
#define WEAK_PERCENT 60
/* A leader whose commits fail for this long is replaced by one whose own
   path to the store works. */
#define STORE_AGE_MAX_MS 1500
/* A watch that works is heard from within this time, its wait and time-out. */
#define STORE_SILENT_MS 1600
/* Own path works better than the leader's if it was heard from this much
   later, more than the time between a leader's idle commits, ... */
#define STORE_LATER_MS 1000
/* ... and has been for at least this long: after an outage that all see, the
   leader's next retry comes sooner. */
#define STORE_PROVEN_MS 800
/* A new leader is not suspected for its store path before this time. */
#define TENURE_MIN_MS 3000
/* Nor replaced as too weak: each takeover costs the agents that are silent. */
#define TENURE_WEAK_MS 5000
#define WATCH_RETRY_MS 300
/* Processes that start together ask one after another. */
#define START_SPREAD_MS 60

static void start_watch (struct hk_coord *c);

static const struct hk_rpc_method ping_method
    = { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args,
        (xdrproc_t)xdr_hk_ping_reply, sizeof (hk_ping_reply) };

void
coord_store_heard (struct hk_coord *c)
{
  int64_t now = hk_clock_ms ();

  if (now - c->store_heard_ms > STORE_SILENT_MS)
    c->store_heard_since_ms = now;
  c->store_heard_ms = now;
}

/* The store answers this process though not the leader. */
static gboolean
own_path_is_better (const struct hk_coord *c, int64_t leader_age_ms,
                    int64_t now)
{
  return now - c->store_heard_ms + STORE_LATER_MS < leader_age_ms
         && now - c->store_heard_since_ms > STORE_PROVEN_MS;
}

/* The leader is well after all; what is not begun is not done. */
static void
end_suspicion (struct hk_coord *c)
{
  if (!c->take_timer.iter)
    return;
  hk_log (HK_LOG_INFO, "coord", c->leader.address, NULL,
          "event=suspicion_ended term=%" G_GUINT64_FORMAT, c->leader.term);
  hk_timer_clear (&c->take_timer);
  c->lead_unread = FALSE;
}

/* Why a leader that answers is to be replaced, or NULL. */
static const char *
fault_of (const struct hk_coord *c, const hk_ping_reply *reply, int64_t now)
{
  int64_t tenure = now - c->leader.believed_ms;

  if (reply->store_age_ms > STORE_AGE_MAX_MS && tenure > TENURE_MIN_MS
      && own_path_is_better (c, reply->store_age_ms, now))
    return "its commits fail";
  if (reply->strength * 100 < c->strength * WEAK_PERCENT && !reply->unsettled
      && tenure > TENURE_WEAK_MS && !c->resigned)
    return "it is much weaker";
  return NULL;
}

/* Pings */

static void
on_pong (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_coord *c = user;
  struct coord_leader *l = &c->leader;
  const hk_ping_reply *reply = result;
  int64_t now = hk_clock_ms ();
  const char *why;

  l->pinging = FALSE;
  if (rc == HK_ERR_STOPPED || c->state != COORD_FOLLOWING)
    return;
  if (rc == HK_OK && reply->leading)
    {
      if (!l->connected)
        {
          l->connected = TRUE;
          c->leader_lost_ms = 0;
          coord_questions_retry (c);
        }
      l->missed = 0;
      why = fault_of (c, reply, now);
      if (why)
        coord_suspect (c, why);
      else
        end_suspicion (c);
      return;
    }
  if (rc == HK_OK)
    {
      coord_suspect (c, reply->resigning ? "it resigned" : "it does not lead");
      return;
    }
  l->missed++;
  if (rc != HK_ERR_TIMEOUT)
    coord_suspect (c, err->text);
  else if (l->missed >= PINGS_MISSED_MAX)
    {
      g_autofree char *address = g_strdup (l->address);

      /* The connection may be silent for good; the next ping makes a new
         one. */
      hk_rpc_channel_finish (&l->channel);
      hk_rpc_channel_init (&l->channel, address, HK_COORD_PROGRAM,
                           HK_COORD_V1);
      coord_suspect (c, "pings are not answered");
    }
}

static void
on_ping_timer (void *user)
{
  struct hk_coord *c = user;
  hk_ping_args args = { .name = c->name };

  hk_timer_set (&c->ping_timer, PING_MS, on_ping_timer, c);
  if (c->state != COORD_FOLLOWING)
    return;
  if (!c->leader.name || strcmp (c->leader.name, c->name) == 0)
    {
      coord_suspect (c, "nobody leads");
      return;
    }
  if (c->leader.pinging)
    return;
  c->leader.pinging = TRUE;
  hk_rpc_call (&c->leader.channel, &ping_method, &args, PING_TIMEOUT_MS,
               on_pong, c);
}

void
coord_ping_now (struct hk_coord *c)
{
  hk_timer_set (&c->ping_timer, 0, on_ping_timer, c);
}

/* The watch */

static void
on_watch_event (const struct hk_store_kv *kv, void *user)
{
  struct hk_coord *c = user;

  if (strcmp (kv->key, HK_KEY_LEAD) == 0 && kv->value)
    coord_lead_parse (c, kv);
}

static void
on_watch_progress (int64_t revision, void *user)
{
  struct hk_coord *c = user;

  c->watch_from = revision + 1;
  coord_store_heard (c);
}

static void
on_rewatch (void *user)
{
  start_watch (user);
}

static void
on_watch_lost (gboolean compacted, const struct hk_error *err, void *user)
{
  struct hk_coord *c = user;

  hk_log_error ("coord", NULL, err);
  c->watch = NULL;
  /* Pings and the next read find a change that was missed. */
  if (compacted)
    c->watch_from = 0;
  hk_timer_set (&c->watch_retry, WATCH_RETRY_MS, on_rewatch, c);
}

static const struct hk_store_watch_ops watch_ops = {
  .event = on_watch_event, .progress = on_watch_progress, .lost = on_watch_lost
};

static void
start_watch (struct hk_coord *c)
{
  if (!c->watch)
    c->watch = c->store->ops->watch (c->store, HK_KEY_LEAD, c->watch_from,
                                     &watch_ops, c);
}

void
coord_follow_start (struct hk_coord *c)
{
  start_watch (c);
  hk_timer_set (&c->ping_timer, g_random_int_range (0, START_SPREAD_MS),
                on_ping_timer, c);
}

void
coord_follow_stop (struct hk_coord *c)
{
  hk_timer_clear (&c->ping_timer);
  hk_timer_clear (&c->take_timer);
  hk_timer_clear (&c->watch_retry);
  if (c->watch)
    c->store->ops->unwatch (c->watch);
  c->watch = NULL;
  coord_leader_disconnect (c);
  g_clear_pointer (&c->leader.name, g_free);
  g_clear_pointer (&c->leader.address, g_free);
}

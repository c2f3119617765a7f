/* Follower: pings the leader, watches the lead record and decides when the
   leader is suspected to have failed; coord_lead.c then replaces it. */
#include "coord.h"

/* Pings detect an unresponsive peer; a reset is reported at once. */
#define PING_INTERVAL_MS 250
#define PING_TIMEOUT_MS 500
#define PINGS_MISSED_MAX 2
/* A leader below this share of a follower's capacity score is replaced. */
#define CAPACITY_SCORE_RATIO_MIN_PERCENT 60
/* A leader without a successful commit for this long is replaced by a
   follower whose own path to the store works. */
#define LEADER_COMMIT_AGE_MAX_MS 1500
/* A working watch reports progress within this time. It exceeds the wait of a
   watch request plus its time-out margin, 900 + 500 ms in
   platform/kv_watch.c. */
#define STORE_UNRESPONSIVE_MS 1600
/* A follower's path to the store counts as better than the leader's only if
   the store last answered the follower more than this much later than the
   leader's last successful commit. Exceeds the interval of a leader's idle
   commits. */
#define STORE_ANSWER_LEAD_MS 1000
/* In addition, the store must have been answering the follower for longer than
   this: after an outage that affects all processes, the leader's next retry
   comes sooner. */
#define STORE_ANSWERING_MIN_MS 800
/* A new leader is not suspected for its path to the store before this time. */
#define TENURE_MIN_STORE_MS 3000
/* A new leader is not replaced for its capacity score before this time: each
   takeover prolongs the wait for unresponsive agents. */
#define TENURE_MIN_CAPACITY_MS 5000
#define WATCH_RETRY_MS 300
/* The clocks of two processes may drift apart by one part in this many. */
#define CLOCK_DRIFT_PART 25
/* Maximum random delay of the first ping, so that processes that start
   together do not act at once. */
#define START_JITTER_MS 60

static void watch_start (struct hk_coord *c);

static const struct hk_rpc_method ping_method
    = { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args,
        (xdrproc_t)xdr_hk_ping_reply, sizeof (hk_ping_reply) };

void
coord_store_answered (struct hk_coord *c)
{
  int64_t now = hk_clock_ms ();

  if (now - c->store_answered_ms > STORE_UNRESPONSIVE_MS)
    c->store_answering_since_ms = now;
  c->store_answered_ms = now;
}

/* The store answers this process but not the leader. */
static gboolean
store_path_is_better (const struct hk_coord *c, int64_t leader_commit_age_ms,
                      int64_t now)
{
  return now - c->store_answered_ms + STORE_ANSWER_LEAD_MS
             < leader_commit_age_ms
         && now - c->store_answering_since_ms > STORE_ANSWERING_MIN_MS;
}

/* The leader is healthy after all: cancels a takeover that has not begun. */
static void
suspicion_clear (struct hk_coord *c)
{
  if (!c->takeover_timer.iter)
    return;
  hk_log (HK_LOG_INFO, "coord", c->leader.address, NULL,
          "event=suspicion_cleared term=%" G_GUINT64_FORMAT, c->leader.term);
  hk_timer_clear (&c->takeover_timer);
  c->lead_read_failed = FALSE;
}

/* Reason to replace a leader that answers pings, or NULL. */
static const char *
leader_fault (const struct hk_coord *c, const hk_ping_reply *reply,
              int64_t now)
{
  int64_t tenure = now - c->leader.adopted_ms;

  if (reply->store_age_ms > LEADER_COMMIT_AGE_MAX_MS
      && tenure > TENURE_MIN_STORE_MS
      && store_path_is_better (c, reply->store_age_ms, now))
    return "leader cannot commit to the store";
  if (reply->capacity_score_percent * 100
          < c->capacity_score_percent * CAPACITY_SCORE_RATIO_MIN_PERCENT
      && !reply->awaiting_agents && tenure > TENURE_MIN_CAPACITY_MS
      && !c->resigned)
    return "leader has a much lower capacity score";
  return NULL;
}

int64_t
coord_leader_clock (const struct coord_leader *l, int64_t ms)
{
  int64_t since_read = ms - l->clock_read_ms;

  return l->clock_ms + since_read - ABS (since_read) / CLOCK_DRIFT_PART;
}

/* A reply that took long tells less than an earlier one that did not. */
static void
clock_read (struct coord_leader *l, const hk_ping_reply *reply, int64_t now)
{
  if (l->clock_term == reply->term
      && coord_leader_clock (l, now) >= reply->clock_ms)
    return;
  l->clock_term = reply->term;
  l->clock_ms = reply->clock_ms;
  l->clock_read_ms = now;
}

/* Pings */

static void
on_ping_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_coord *c = user;
  struct coord_leader *l = &c->leader;
  const hk_ping_reply *reply = result;
  int64_t now = hk_clock_ms ();
  const char *why;

  l->pinging = FALSE;
  if (l->closing || rc == HK_ERR_STOPPED || c->state != COORD_FOLLOWING)
    return;
  if (rc == HK_OK && reply->leading)
    {
      clock_read (l, reply, now);
      if (!l->connected)
        {
          l->connected = TRUE;
          c->leader_unreachable_since_ms = 0;
          coord_requests_retry (c);
        }
      l->missed_pings = 0;
      why = leader_fault (c, reply, now);
      if (why)
        coord_leader_suspect (c, why);
      else
        suspicion_clear (c);
      return;
    }
  if (rc == HK_OK)
    {
      coord_leader_suspect (c, reply->resigning ? "leader resigned"
                                                : "peer does not lead");
      return;
    }
  l->missed_pings++;
  if (rc != HK_ERR_TIMEOUT)
    coord_leader_suspect (c, err->text);
  else if (l->missed_pings >= PINGS_MISSED_MAX)
    {
      g_autofree char *address = g_strdup (l->address);

      /* The connection may never recover; the next ping opens a new one. */
      hk_rpc_channel_finish (&l->channel);
      hk_rpc_channel_init (&l->channel, address, HK_COORD_PROGRAM,
                           HK_COORD_V1);
      coord_leader_suspect (c, "pings timed out");
    }
}

static void
on_ping_timer (void *user)
{
  struct hk_coord *c = user;
  hk_ping_args args = { .name = c->name };

  hk_timer_set (&c->ping_timer, PING_INTERVAL_MS, on_ping_timer, c);
  if (c->state != COORD_FOLLOWING)
    return;
  if (!c->leader.name || strcmp (c->leader.name, c->name) == 0)
    {
      coord_leader_suspect (c, "no leader is known");
      return;
    }
  if (c->leader.pinging)
    return;
  c->leader.pinging = TRUE;
  hk_rpc_call (&c->leader.channel, &ping_method, &args, PING_TIMEOUT_MS,
               on_ping_reply, c);
}

void
coord_leader_ping (struct hk_coord *c)
{
  hk_timer_set (&c->ping_timer, 0, on_ping_timer, c);
}

/* The watch */

static void
on_watch_event (const struct hk_store_kv *kv, void *user)
{
  struct hk_coord *c = user;

  if (strcmp (kv->key, HK_KEY_LEAD) == 0 && kv->value)
    coord_lead_record_apply (c, kv);
}

static void
on_watch_progress (int64_t revision, void *user)
{
  struct hk_coord *c = user;

  c->watch_start_rev = revision + 1;
  coord_store_answered (c);
}

static void
on_watch_retry (void *user)
{
  watch_start (user);
}

static void
on_watch_lost (gboolean compacted, const struct hk_error *err, void *user)
{
  struct hk_coord *c = user;

  hk_log_error ("coord", NULL, err);
  c->watch = NULL;
  /* Pings and the next read of the record detect a change that was missed. */
  if (compacted)
    c->watch_start_rev = 0;
  hk_timer_set (&c->watch_retry, WATCH_RETRY_MS, on_watch_retry, c);
}

static const struct hk_store_watch_ops watch_ops = {
  .event = on_watch_event, .progress = on_watch_progress, .lost = on_watch_lost
};

static void
watch_start (struct hk_coord *c)
{
  if (!c->watch)
    c->watch = c->store->ops->watch (c->store, HK_KEY_LEAD, c->watch_start_rev,
                                     &watch_ops, c);
}

void
coord_follow_start (struct hk_coord *c)
{
  watch_start (c);
  hk_timer_set (&c->ping_timer, g_random_int_range (0, START_JITTER_MS),
                on_ping_timer, c);
}

void
coord_follow_stop (struct hk_coord *c)
{
  /* First, as a ping that fails here sets the takeover timer. */
  coord_leader_disconnect (c);
  hk_timer_clear (&c->ping_timer);
  hk_timer_clear (&c->takeover_timer);
  hk_timer_clear (&c->watch_retry);
  if (c->watch)
    c->store->ops->unwatch (c->watch);
  c->watch = NULL;
  g_clear_pointer (&c->leader.name, g_free);
  g_clear_pointer (&c->leader.address, g_free);
}

/* Following a coordinator, suspecting it, and taking its place. Ownership is
   the revision of the lead record, never a time, so that a takeover on mere
   suspicion is safe: it costs a reload, not a guarantee. */
#include "coord.h"

/* Pings find a peer that went silent; a reset is noticed at once. */
#define PING_MS 250
#define PING_TIMEOUT_MS 500
#define PINGS_MISSED_MAX 2
/* Candidates wait a random time up to this, so that mostly one tries. */
#define TAKE_SPREAD_MS 60
/* They wait this much longer for each percent of strength that they lack. */
#define TAKE_WEAK_MS 12
/* A leader that is weaker than this share of a follower is replaced. */
#define WEAK_PERCENT 60
/* Time between tries while the store does not answer. */
#define TAKE_RETRY_MS 250
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

static void read_lead (struct hk_coord *c);
static void on_ping_timer (void *user);
static void start_watch (struct hk_coord *c);

static const struct hk_rpc_method ping_method
    = { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args,
        (xdrproc_t)xdr_hk_ping_reply, sizeof (hk_ping_reply) };

static void
store_heard (struct hk_coord *c)
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

static void
disconnect (struct hk_coord *c)
{
  if (c->leader.channel.address)
    hk_rpc_channel_finish (&c->leader.channel);
  c->leader.connected = FALSE;
  c->leader.missed = 0;
}

static void
believe (struct hk_coord *c, const char *name, const char *address,
         uint64_t term, int64_t rev)
{
  struct coord_leader *l = &c->leader;

  if (rev < l->lead_rev)
    return;
  l->lead_rev = rev;
  l->term = MAX (l->term, term);
  if (l->name && strcmp (l->name, name) == 0
      && strcmp (l->address, address) == 0 && l->channel.address)
    return;
  /* A suspicion was of the leader before. */
  hk_timer_clear (&c->take_timer);
  disconnect (c);
  g_free (l->name);
  g_free (l->address);
  l->name = g_strdup (name);
  l->address = g_strdup (address);
  l->believed_ms = hk_clock_ms ();
  hk_log (HK_LOG_INFO, "coord", address, NULL,
          "event=leader name=%s term=%" G_GUINT64_FORMAT
          " revision=%" G_GINT64_FORMAT,
          name, term, rev);
  if (strcmp (name, c->name) != 0)
    hk_rpc_channel_init (&l->channel, address, HK_COORD_PROGRAM, HK_COORD_V1);
  hk_timer_set (&c->ping_timer, 0, on_ping_timer, c);
}

/* Returns FALSE if the record cannot be read. */
static gboolean
parse_lead (struct hk_coord *c, const struct hk_store_kv *kv)
{
  g_autoptr (json_object) obj = NULL;
  struct hk_error err;
  json_object *before = NULL;
  const char *name;
  const char *address;
  uint64_t term;

  if (hk_json_parse (&obj, kv->value, kv->len, kv->key, &err) < 0)
    {
      hk_log_error ("coord", NULL, &err);
      return FALSE;
    }
  name = hk_json_str (obj, "name");
  address = hk_json_str (obj, "address");
  term = (uint64_t)hk_json_int (obj, "term");
  if (!name || !address)
    return FALSE;
  if (c->state == COORD_LEADING || c->state == COORD_LOADING)
    {
      if (term > c->term)
        coord_step_down (c, "another process took the lead");
      else
        return TRUE;
    }
  if (kv->mod_revision >= c->leader.lead_rev)
    {
      /* Whoever leads by the record, and whom it could not tell to be gone. */
      json_object_object_get_ex (obj, "before", &before);
      coord_past_replace (c, address, before);
    }
  believe (c, name, address, term, kv->mod_revision);
  return TRUE;
}

/* Taking the lead */

static void
on_taken (int rc, const struct hk_store_result *results,
          const struct hk_error *err, void *user)
{
  struct hk_coord *c = user;
  struct coord_leader *l = &c->leader;

  if (coord_call_over (c) || c->state != COORD_TAKING)
    return;
  if (rc == HK_OK && results->succeeded && !c->resigned)
    {
      c->term = c->taking_term;
      c->commit.fence_rev = results->revision;
      c->commit.confirmed_ms = c->commit.sent_ms;
      c->commit.failing_since_ms = 0;
      c->taken_over_ms = hk_clock_ms ();
      coord_past_superseded (c, c->taken_over_ms);
      c->state = COORD_LOADING;
      c->leader_lost_ms = 0;
      l->lead_rev = 0;
      believe (c, c->name, c->address, c->term, results->revision);
      hk_log (HK_LOG_INFO, "coord", NULL, NULL,
              "event=lead_taken term=%" G_GUINT64_FORMAT
              " revision=%" G_GINT64_FORMAT,
              c->term, results->revision);
      coord_load (c);
      return;
    }
  c->state = COORD_FOLLOWING;
  if (rc < 0)
    hk_log_error ("coord", NULL, err);
  /* Lost the race, or the effect is unknown: the record tells. */
  hk_timer_clear (&c->take_timer);
  read_lead (c);
}

static void
take (struct hk_coord *c)
{
  struct hk_store_txn txn = { .n_compares = 1, .n_then = 2 };
  uint64_t term = c->leader.term + 1;
  g_autofree char *before = coord_past_text (c);
  g_autofree char *lead
      = g_strdup_printf ("{\"term\":%" G_GUINT64_FORMAT
                         ",\"name\":\"%s\",\"address\":\"%s\",\"before\":%s}",
                         term, c->name, c->address, before);
  g_autofree char *fence
      = g_strdup_printf ("{\"term\":%" G_GUINT64_FORMAT ",\"seq\":0}", term);

  c->state = COORD_TAKING;
  c->taking_term = term;
  c->commit.sent_ms = hk_clock_ms ();
  txn.compares[0]
      = (struct hk_store_compare){ HK_KEY_LEAD, c->leader.lead_rev };
  txn.then[0] = (struct hk_store_op){ HK_STORE_PUT, HK_KEY_LEAD, lead, 0, 0 };
  txn.then[1]
      = (struct hk_store_op){ HK_STORE_PUT, HK_KEY_FENCE, fence, 0, 0 };
  c->calls++;
  c->store->ops->batch (c->store, &txn, 1, on_taken, c);
}

/* The weaker wait longer, so that a strong machine leads if one lives. */
static int64_t
take_delay (const struct hk_coord *c)
{
  return g_random_int_range (0, TAKE_SPREAD_MS)
         + (COORD_STRENGTH_FULL - c->strength) * TAKE_WEAK_MS;
}

/* The record says who leads; it is acted on only if it still names the
   process that is suspected. */
struct lead_read
{
  struct hk_coord *c;
  int64_t rev;
};

static void
on_take_due (void *user)
{
  read_lead (user);
}

static void
on_lead_read (int rc, const struct hk_store_result *results,
              const struct hk_error *err, void *user)
{
  struct lead_read *read = user;
  struct hk_coord *c = read->c;
  int64_t before = read->rev;

  g_free (read);
  if (coord_call_over (c))
    return;
  c->reading_lead = FALSE;
  if (c->state != COORD_FOLLOWING || !c->started)
    return;
  if (rc < 0)
    {
      hk_log_error ("coord", NULL, err);
      c->lead_unread = TRUE;
      hk_timer_set (&c->take_timer, TAKE_RETRY_MS + take_delay (c),
                    on_take_due, c);
      return;
    }
  store_heard (c);
  if (results->n_kvs > 0)
    {
      if (!parse_lead (c, &results->kvs[0]))
        coord_past_unknown (c);
      /* A broken record is replaced under its revision. */
      c->leader.lead_rev
          = MAX (c->leader.lead_rev, results->kvs[0].mod_revision);
    }
  if (c->resigned)
    return;
  if (c->lead_unread && c->strength < COORD_STRENGTH_FULL)
    {
      /* The store is back for all: the stronger get their turn first. */
      c->lead_unread = FALSE;
      hk_timer_set (&c->take_timer, TAKE_RETRY_MS + take_delay (c),
                    on_take_due, c);
      return;
    }
  c->lead_unread = FALSE;
  if (results->n_kvs == 0 || c->leader.lead_rev == before
      || strcmp (c->leader.name, c->name) == 0)
    take (c);
}

static void
read_lead (struct hk_coord *c)
{
  struct lead_read *read;

  if (c->reading_lead || c->state != COORD_FOLLOWING)
    return;
  read = g_new0 (struct lead_read, 1);
  c->reading_lead = TRUE;
  read->c = c;
  read->rev = c->suspect_rev;
  c->calls++;
  c->store->ops->range (c->store, HK_KEY_LEAD, FALSE, on_lead_read, read);
}

void
coord_suspect (struct hk_coord *c, const char *why)
{
  if (c->state != COORD_FOLLOWING || c->take_timer.iter || c->reading_lead)
    return;
  hk_log (HK_LOG_WARN, "coord", c->leader.address, NULL,
          "event=leader_suspected why=\"%s\" term=%" G_GUINT64_FORMAT
          " missed=%u",
          why, c->leader.term, c->leader.missed);
  c->leader.connected = FALSE;
  c->suspect_rev = c->leader.lead_rev;
  if (!c->leader_lost_ms)
    c->leader_lost_ms = hk_clock_ms ();
  hk_timer_set (&c->take_timer, take_delay (c), on_take_due, c);
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

/* The watch */

static void
on_watch_event (const struct hk_store_kv *kv, void *user)
{
  struct hk_coord *c = user;

  if (strcmp (kv->key, HK_KEY_LEAD) == 0 && kv->value)
    parse_lead (c, kv);
}

static void
on_watch_progress (int64_t revision, void *user)
{
  struct hk_coord *c = user;

  c->watch_from = revision + 1;
  store_heard (c);
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

static void
drop_waiters (struct hk_coord *c)
{
  struct hk_engine_job *job;

  TAILQ_FOREACH (job, &c->engine.active, link)
  coord_waiters_drop (job);
  TAILQ_FOREACH (job, &c->engine.ended, link)
  coord_waiters_drop (job);
}

void
coord_step_down (struct hk_coord *c, const char *why)
{
  if (c->state != COORD_LEADING && c->state != COORD_LOADING)
    return;
  hk_log (HK_LOG_WARN, "coord", NULL, NULL,
          "event=lead_lost term=%" G_GUINT64_FORMAT " why=\"%s\"", c->term,
          why);
  c->state = COORD_FOLLOWING;
  coord_links_drop (c);
  drop_waiters (c);
  hk_engine_finish (&c->engine);
  hk_engine_init (&c->engine);
  coord_commit_finish (c);
  coord_commit_init (c);
  g_clear_pointer (&c->leader.name, g_free);
  g_clear_pointer (&c->leader.address, g_free);
}

void
coord_follow_start (struct hk_coord *c)
{
  start_watch (c);
  hk_timer_set (&c->ping_timer, g_random_int_range (0, TAKE_SPREAD_MS),
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
  disconnect (c);
  g_clear_pointer (&c->leader.name, g_free);
  g_clear_pointer (&c->leader.address, g_free);
}

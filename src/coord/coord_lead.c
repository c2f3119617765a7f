/* Believing in a coordinator, and taking its place. Ownership is the revision
   of the lead record, never a time, so that a takeover on mere suspicion is
   safe: it costs a reload, not a guarantee. */
#include "coord.h"

/* Candidates wait a random time up to this, so that mostly one tries. */
#define TAKE_SPREAD_MS 60
/* They wait this much longer for each percent of strength that they lack. */
#define TAKE_WEAK_MS 12
/* Time between tries while the store does not answer. */
#define TAKE_RETRY_MS 250

static void read_lead (struct hk_coord *c);

void
coord_leader_disconnect (struct hk_coord *c)
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
  coord_leader_disconnect (c);
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
  coord_ping_now (c);
}

/* Returns FALSE if the record cannot be read. */
gboolean
coord_lead_parse (struct hk_coord *c, const struct hk_store_kv *kv)
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
  coord_store_heard (c);
  if (results->n_kvs > 0)
    {
      if (!coord_lead_parse (c, &results->kvs[0]))
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
      || g_strcmp0 (c->leader.name, c->name) == 0)
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

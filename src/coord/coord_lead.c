/* Leader election: adopts the leader that the lead record names, and replaces
   one that is suspected to have failed. Leadership is bound to the revision of
   that record and never to a time, so a takeover on a false suspicion costs a
   reload but breaks no guarantee. */
#include "coord.h"

/* Maximum random delay of a takeover, so that usually one candidate tries. */
#define TAKEOVER_JITTER_MS 60
/* Additional delay for each percent below the full capacity score. */
#define TAKEOVER_DELAY_PER_PERCENT_MS 12
/* Pause between attempts while the store does not answer. */
#define TAKEOVER_RETRY_MS 250

static void lead_record_read (struct hk_coord *c);

void
coord_leader_disconnect (struct hk_coord *c)
{
  c->leader.closing = TRUE;
  if (c->leader.channel.address)
    hk_rpc_channel_finish (&c->leader.channel);
  c->leader.closing = FALSE;
  c->leader.connected = FALSE;
  c->leader.missed_pings = 0;
}

static void
leader_adopt (struct hk_coord *c, const char *name, const char *address,
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
  /* The suspicion was of the previous leader. */
  hk_timer_clear (&c->takeover_timer);
  coord_leader_disconnect (c);
  g_free (l->name);
  g_free (l->address);
  l->name = g_strdup (name);
  l->address = g_strdup (address);
  l->adopted_ms = hk_clock_ms ();
  hk_log (HK_LOG_INFO, "coord", address, NULL,
          "event=leader_changed name=%s term=%" G_GUINT64_FORMAT
          " revision=%" G_GINT64_FORMAT,
          name, term, rev);
  if (strcmp (name, c->name) != 0)
    hk_rpc_channel_init (&l->channel, address, HK_COORD_PROGRAM, HK_COORD_V1);
  coord_leader_ping (c);
}

/* Adopts the leader that a lead record names; a process that leads ignores the
   record, or first steps down if its term is later.

   Returns FALSE if the record is malformed. */
gboolean
coord_lead_record_apply (struct hk_coord *c, const struct hk_store_kv *kv)
{
  g_autoptr (json_object) obj = NULL;
  struct hk_error err;
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
        coord_step_down (c, "another process took over");
      else
        return TRUE;
    }
  if (kv->mod_revision >= c->leader.lead_rev)
    {
      c->leader.lists_silent = json_object_object_get_ex (obj, "silent", NULL);
      coord_predecessors_update (c, address, obj, term > c->leader.term + 1);
    }
  leader_adopt (c, name, address, term, kv->mod_revision);
  return TRUE;
}

/* Takeover */

static void
on_takeover (int rc, const struct hk_store_result *results,
             const struct hk_error *err, void *user)
{
  struct hk_coord *c = user;
  struct coord_leader *l = &c->leader;

  if (coord_store_call_end (c) || c->state != COORD_TAKING_OVER)
    return;
  if (rc == HK_OK && results->succeeded && !c->resigned)
    {
      c->term = c->takeover_term;
      c->commit.fence_rev = results->revision;
      c->commit.confirmed_ms = c->commit.sent_ms;
      c->commit.failing_since_ms = 0;
      c->taken_over_ms = hk_clock_ms ();
      coord_predecessors_supersede (c, c->taken_over_ms);
      c->state = COORD_LOADING;
      c->leader_unreachable_since_ms = 0;
      l->lead_rev = 0;
      leader_adopt (c, c->name, c->address, c->term, results->revision);
      hk_log (HK_LOG_INFO, "coord", NULL, NULL,
              "event=leadership_acquired term=%" G_GUINT64_FORMAT
              " revision=%" G_GINT64_FORMAT,
              c->term, results->revision);
      coord_load (c);
      return;
    }
  c->state = COORD_FOLLOWING;
  if (rc < 0)
    hk_log_error ("coord", NULL, err);
  /* Lost the race, or the outcome is unknown: read the record again. */
  hk_timer_clear (&c->takeover_timer);
  lead_record_read (c);
}

static void
takeover_start (struct hk_coord *c)
{
  struct hk_store_txn txn = { .n_compares = 1, .n_then = 2 };
  uint64_t term = c->leader.term + 1;
  g_autofree char *before = coord_predecessors_to_json (c);
  g_autofree char *lead = g_strdup_printf (
      "{\"term\":%" G_GUINT64_FORMAT
      ",\"name\":\"%s\",\"address\":\"%s\",%s,\"silent\":1}",
      term, c->name, c->address, before);
  g_autofree char *fence
      = g_strdup_printf ("{\"term\":%" G_GUINT64_FORMAT ",\"seq\":0}", term);

  c->state = COORD_TAKING_OVER;
  c->takeover_term = term;
  c->commit.sent_ms = hk_clock_ms ();
  txn.compares[0]
      = (struct hk_store_compare){ HK_KEY_LEAD, c->leader.lead_rev };
  txn.then[0] = (struct hk_store_op){ HK_STORE_PUT, HK_KEY_LEAD, lead, 0, 0 };
  txn.then[1]
      = (struct hk_store_op){ HK_STORE_PUT, HK_KEY_FENCE, fence, 0, 0 };
  /* A build that knows no list may have granted what an old one names. */
  if (!c->leader.lists_silent)
    txn.then[txn.n_then++]
        = (struct hk_store_op){ HK_STORE_DELETE, HK_KEY_SILENT, NULL, 0, 0 };
  c->store_calls++;
  c->store->ops->batch (c->store, &txn, 1, on_takeover, c);
}

/* A process with a lower capacity score waits longer, so that a strong machine
   leads if one is up. */
static int64_t
takeover_delay_ms (const struct hk_coord *c)
{
  return g_random_int_range (0, TAKEOVER_JITTER_MS)
         + (COORD_CAPACITY_SCORE_MAX_PERCENT - c->capacity_score_percent)
               * TAKEOVER_DELAY_PER_PERCENT_MS;
}

/* A read of the lead record before a takeover, which goes ahead only if the
   record is still at @rev, that of the suspected leader. */
struct lead_read
{
  struct hk_coord *c;
  int64_t rev;
};

static void
on_takeover_due (void *user)
{
  lead_record_read (user);
}

static void
on_lead_record (int rc, const struct hk_store_result *results,
                const struct hk_error *err, void *user)
{
  struct lead_read *read = user;
  struct hk_coord *c = read->c;
  int64_t before = read->rev;

  g_free (read);
  if (coord_store_call_end (c))
    return;
  c->lead_read_in_flight = FALSE;
  if (c->state != COORD_FOLLOWING || !c->started)
    return;
  if (rc < 0)
    {
      hk_log_error ("coord", NULL, err);
      c->lead_read_failed = TRUE;
      hk_timer_set (&c->takeover_timer,
                    TAKEOVER_RETRY_MS + takeover_delay_ms (c), on_takeover_due,
                    c);
      return;
    }
  coord_store_answered (c);
  if (results->n_kvs > 0)
    {
      if (!coord_lead_record_apply (c, &results->kvs[0]))
        {
          coord_predecessors_add_unknown (c);
          c->leader.lists_silent = FALSE;
        }
      /* The takeover replaces a malformed record at its own revision. */
      c->leader.lead_rev
          = MAX (c->leader.lead_rev, results->kvs[0].mod_revision);
    }
  if (c->resigned)
    return;
  if (c->lead_read_failed
      && c->capacity_score_percent < COORD_CAPACITY_SCORE_MAX_PERCENT)
    {
      /* The store recovered, probably for all candidates at once: let those
         with a higher capacity score go first. */
      c->lead_read_failed = FALSE;
      hk_timer_set (&c->takeover_timer,
                    TAKEOVER_RETRY_MS + takeover_delay_ms (c), on_takeover_due,
                    c);
      return;
    }
  c->lead_read_failed = FALSE;
  if (results->n_kvs == 0 || c->leader.lead_rev == before
      || g_strcmp0 (c->leader.name, c->name) == 0)
    takeover_start (c);
}

static void
lead_record_read (struct hk_coord *c)
{
  struct lead_read *read;

  if (c->lead_read_in_flight || c->state != COORD_FOLLOWING)
    return;
  read = g_new0 (struct lead_read, 1);
  c->lead_read_in_flight = TRUE;
  read->c = c;
  read->rev = c->suspected_rev;
  c->store_calls++;
  c->store->ops->range (c->store, HK_KEY_LEAD, FALSE, on_lead_record, read);
}

void
coord_leader_suspect (struct hk_coord *c, const char *why)
{
  if (c->state != COORD_FOLLOWING || c->takeover_timer.iter
      || c->lead_read_in_flight)
    return;
  hk_log (HK_LOG_WARN, "coord", c->leader.address, NULL,
          "event=leader_suspected why=\"%s\" term=%" G_GUINT64_FORMAT
          " missed=%u",
          why, c->leader.term, c->leader.missed_pings);
  c->leader.connected = FALSE;
  c->suspected_rev = c->leader.lead_rev;
  if (!c->leader_unreachable_since_ms)
    c->leader_unreachable_since_ms = hk_clock_ms ();
  hk_timer_set (&c->takeover_timer, takeover_delay_ms (c), on_takeover_due, c);
}

static void
waiters_drop_all (struct hk_coord *c)
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
          "event=leadership_lost term=%" G_GUINT64_FORMAT " why=\"%s\"",
          c->term, why);
  c->state = COORD_FOLLOWING;
  coord_links_drop (c);
  waiters_drop_all (c);
  coord_locality_clear (&c->locality);
  hk_engine_finish (&c->engine);
  coord_engine_init (c);
  coord_commit_finish (c);
  coord_commit_init (c);
  c->silent_in_flight = FALSE;
  g_clear_pointer (&c->leader.name, g_free);
  g_clear_pointer (&c->leader.address, g_free);
}

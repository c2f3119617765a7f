/* A process that may lead: owns the engine while it does. */
#include "coord.h"

/* Period of the checks that no event triggers, milliseconds: well below the
   shortest time-out that they serve. */
#define TICK_MS 100
/* Longer than a takeover takes; then callers are sent to another process. */
#define CUT_OFF_MS 1000

int64_t
coord_wall_ms (void)
{
  return g_get_real_time () / 1000;
}

/* Every answer of the store passes here; TRUE means that nobody waits. */
gboolean
coord_call_over (struct hk_coord *c)
{
  c->calls--;
  if (!c->ended)
    return FALSE;
  if (c->calls == 0)
    g_free (c);
  return TRUE;
}

static void
on_pass (void *user)
{
  struct hk_coord *c = user;

  c->pass_due = FALSE;
  if (c->state != COORD_LEADING)
    return;
  coord_share_move (c, hk_clock_ms ());
  coord_schedule (c, hk_clock_ms ());
  coord_commit_next (c);
}

void
coord_kick (struct hk_coord *c)
{
  if (c->pass_due || c->state != COORD_LEADING)
    return;
  c->pass_due = TRUE;
  hk_timer_set (&c->pass_timer, 0, on_pass, c);
}

static void
drop_old_jobs (struct hk_coord *c)
{
  int64_t limit = coord_wall_ms () - c->keep_ended_ms;
  struct hk_engine_job *job = TAILQ_FIRST (&c->engine.ended);

  /* Removed with the next commits; see coord_commit.c. */
  if (job && job->ended_wall_ms < limit && job->n_runs == 0 && !job->dirty
      && job->sent == job->committed)
    g_ptr_array_add (c->commit.forgotten, g_strdup (job->spec.id));
}

static void
on_tick (void *user)
{
  struct hk_coord *c = user;
  int64_t now = hk_clock_ms ();

  hk_timer_set (&c->tick_timer, TICK_MS, on_tick, c);
  if (c->state != COORD_LEADING)
    return;
  coord_links_check (c, now);
  if (coord_store_failing (c, now))
    coord_commit_drop_new (c);
  coord_straggle (c, now);
  coord_drain (c, now);
  coord_pack (c, now);
  if (c->commit.forgotten->len == 0)
    drop_old_jobs (c);
  coord_kick (c);
}

/* Whether runs wait for agents that have not reported to this coordinator: a
   successor would have to wait for them from the beginning. */
static gboolean
unsettled (const struct hk_coord *c)
{
  const struct hk_instance *in;

  if (c->state == COORD_LOADING)
    return TRUE;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (!in->heard_ms && !LIST_EMPTY (&in->runs))
    return TRUE;
  return FALSE;
}

static void
on_ping (struct hk_rpc_request *req, void *args, void *user)
{
  struct hk_coord *c = user;
  int64_t now = hk_clock_ms ();
  hk_ping_reply reply = { 0 };

  (void)args;
  c->pinged_ms = now;
  reply.leading = c->state == COORD_LEADING || c->state == COORD_LOADING;
  reply.resigning = c->resigned;
  reply.term = c->term;
  reply.strength = c->strength;
  reply.unsettled = reply.leading && unsettled (c);
  if (c->commit.confirmed_ms > 0)
    reply.store_age_ms = (u_int)MAX (now - c->commit.confirmed_ms, 0);
  hk_rpc_reply (req, &reply);
}

static const struct hk_rpc_handler handlers[]
    = { { HK_COORD_SYNC, (xdrproc_t)xdr_hk_sync_args, sizeof (hk_sync_args),
          (xdrproc_t)xdr_hk_sync_reply, coord_on_sync },
        { HK_COORD_ASK, (xdrproc_t)xdr_hk_ask_args, sizeof (hk_ask_args),
          (xdrproc_t)xdr_hk_ask_reply, coord_on_ask },
        { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args, sizeof (hk_ping_args),
          (xdrproc_t)xdr_hk_ping_reply, on_ping } };

struct hk_coord *
hk_coord_new (struct hk_store *store, const struct hk_coord_options *options)
{
  struct hk_coord *c = g_new0 (struct hk_coord, 1);

  c->store = store;
  c->name = g_strdup (options->name);
  c->address = g_strdup (options->address);
  c->authority = options->authority;
  c->keep_ended_ms = options->keep_ended_ms;
  c->strength = MIN (options->strength, COORD_STRENGTH_FULL);
  LIST_INIT (&c->questions);
  TAILQ_INIT (&c->past);
  hk_engine_init (&c->engine);
  coord_commit_init (c);
  coord_estimates_init (c);
  hk_pressure_init (&c->pressure);
  return c;
}

int
hk_coord_start (struct hk_coord *c, struct hk_error *err)
{
  int rc;

  c->server.program = HK_COORD_PROGRAM;
  c->server.version = HK_COORD_V1;
  c->server.handlers = handlers;
  c->server.n_handlers = G_N_ELEMENTS (handlers);
  c->server.user = c;
  rc = hk_rpc_server_start (&c->server, c->address, err);
  if (rc < 0)
    return rc;
  c->started = TRUE;
  hk_timer_set (&c->tick_timer, TICK_MS, on_tick, c);
  coord_follow_start (c);
  return HK_OK;
}

void
hk_coord_resign (struct hk_coord *c)
{
  c->resigned = TRUE;
  coord_step_down (c, "this process stops");
}

void
hk_coord_free (struct hk_coord *c)
{
  coord_step_down (c, "this process ends");
  coord_questions_drop (c);
  coord_follow_stop (c);
  coord_past_clear (c);
  hk_timer_clear (&c->tick_timer);
  hk_timer_clear (&c->pass_timer);
  if (c->started)
    hk_rpc_server_stop (&c->server);
  coord_commit_finish (c);
  hk_engine_finish (&c->engine);
  g_hash_table_unref (c->estimates);
  g_hash_table_unref (c->mean_work);
  hk_pressure_finish (&c->pressure);
  g_free (c->name);
  g_free (c->address);
  c->ended = TRUE;
  if (c->calls == 0)
    g_free (c);
}

/* Whether this process can serve nobody for now: as leader, neither the store
   nor a follower is heard from; as follower, no leader. */
gboolean
coord_cut_off (const struct hk_coord *c, int64_t now)
{
  if (c->state == COORD_LEADING || c->state == COORD_LOADING)
    return coord_store_failing (c, now) && now - c->pinged_ms > CUT_OFF_MS;
  return c->leader_lost_ms && now - c->leader_lost_ms > CUT_OFF_MS;
}

gboolean
hk_coord_leading (const struct hk_coord *c)
{
  return c->state == COORD_LEADING;
}

gboolean
hk_coord_known (const struct hk_coord *c)
{
  if (c->resigned || coord_cut_off (c, hk_clock_ms ()))
    return FALSE;
  return c->state == COORD_LEADING || c->leader.connected
         || (c->leader.name && c->leader_lost_ms);
}

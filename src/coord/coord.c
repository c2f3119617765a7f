/* A process that may become leader. It owns the engine while it leads. */
#include "coord.h"

/* Interval of the checks that no event triggers, well below the shortest
   time-out that they enforce. */
#define TICK_INTERVAL_MS 100
/* After this time, longer than a takeover, clients are sent to another
   process. */
#define ISOLATED_MS 1000
/* Part of the retention period of ended jobs. The rest covers steps of the
   time of day, by which the coordinator measures that period. */
#define SUSPENDED_RETENTION_PERCENT 90
/* Refusals are kept for longer than clients wait for a response, and in at
   most 3 MB. */
#define REFUSALS_KEEP_MS 30000
#define REFUSALS_MAX 20000
#define SENT_ON_MAX 10000

int64_t
coord_wall_ms (void)
{
  return g_get_real_time () / 1000;
}

void
coord_engine_init (struct hk_coord *c)
{
  hk_engine_init (&c->engine);
  c->engine.record_max_bytes = c->record_max_bytes;
}

/* To be called first by the callback of each store call. Returns TRUE if the
   coordinator has been freed and the callback must not use it any more. */
gboolean
coord_store_call_end (struct hk_coord *c)
{
  c->store_calls--;
  if (!c->closed)
    return FALSE;
  if (c->store_calls == 0)
    g_free (c);
  return TRUE;
}

/* What is placed while a commit is in flight could not be sent before that
   ends, and the end calls for a pass of its own. */
static void
on_pass (void *user)
{
  struct hk_coord *c = user;

  if (c->state != COORD_LEADING || c->commit.in_flight)
    return;
  coord_schedule (c, hk_clock_ms ());
  coord_commit_next (c);
}

void
coord_pass_schedule_in (struct hk_coord *c, int64_t delay_ms)
{
  if (c->state != COORD_LEADING
      || (c->pass_timer.iter
          && c->pass_timer.due_ms <= hk_clock_ms () + delay_ms))
    return;
  hk_timer_set (&c->pass_timer, delay_ms, on_pass, c);
}

void
coord_pass_schedule (struct hk_coord *c)
{
  coord_pass_schedule_in (c, 0);
}

/* A request that is read after a suspension is handled before or after the
   tick, so both check. */
static void
note_awake (struct hk_coord *c, int64_t now)
{
  int64_t gap_ms = hk_suspension_note (&c->suspension, now);

  if (gap_ms * 100 < c->keep_ended_ms * SUSPENDED_RETENTION_PERCENT)
    return;
  c->resumed_ms = now;
  hk_log (HK_LOG_WARN, "coord", NULL, NULL,
          "event=resumed suspended_ms=%" G_GINT64_FORMAT
          " keep_ended_ms=%" G_GINT64_FORMAT
          "; submissions are refused for %d ms, as they may have been "
          "cancelled meanwhile",
          gap_ms, c->keep_ended_ms, HK_SUSPENSION_READ_MS);
}

gboolean
coord_submission_may_be_stale (struct hk_coord *c, int64_t now)
{
  note_awake (c, now);
  return c->resumed_ms && now - c->resumed_ms < HK_SUSPENSION_READ_MS;
}

static void
on_tick (void *user)
{
  struct hk_coord *c = user;
  int64_t now = hk_clock_ms ();

  note_awake (c, now);

  hk_timer_set (&c->tick_timer, TICK_INTERVAL_MS, on_tick, c);
  if (c->state != COORD_LEADING)
    return;
  coord_runs_expire (c, now);
  if (coord_store_failing (c, now))
    coord_commit_drop_unsent (c);
  coord_crash_check (c, now);
  coord_stragglers_check (c, now);
  coord_drain (c, now);
  coord_best_effort_relocate (c, now);
  coord_evacuate (c, now);
  coord_consolidate (c, now);
  coord_waiting_report (c, now);
  coord_pass_schedule (c);
}

/* Whether there are runs of agents that have not reported to this coordinator
   yet; a successor would have to wait for these agents longer. */
static gboolean
awaits_agents (const struct hk_coord *c)
{
  const struct hk_instance *in;

  if (c->state == COORD_LOADING)
    return TRUE;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (!in->last_report_ms && !LIST_EMPTY (&in->runs))
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
  reply.clock_ms = now;
  reply.capacity_score_percent = c->capacity_score_percent;
  reply.awaiting_agents = reply.leading && awaits_agents (c);
  if (c->commit.confirmed_ms > 0)
    reply.store_age_ms = (u_int)MAX (now - c->commit.confirmed_ms, 0);
  hk_rpc_reply (req, &reply);
}

static const struct hk_rpc_handler handlers[]
    = { { HK_COORD_SYNC, (xdrproc_t)xdr_hk_sync_args, sizeof (hk_sync_args),
          (xdrproc_t)xdr_hk_sync_reply, coord_on_sync },
        { HK_COORD_REQUEST, (xdrproc_t)xdr_hk_job_request_args,
          sizeof (hk_job_request_args), (xdrproc_t)xdr_hk_job_request_reply,
          coord_on_request },
        { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args, sizeof (hk_ping_args),
          (xdrproc_t)xdr_hk_ping_reply, on_ping },
        { HK_COORD_WHERE, (xdrproc_t)xdr_hk_where_args, sizeof (hk_where_args),
          (xdrproc_t)xdr_hk_where_reply, coord_on_where } };

struct hk_coord *
hk_coord_new (struct hk_store *store, const struct hk_coord_options *options)
{
  struct hk_coord *c = g_new0 (struct hk_coord, 1);

  c->store = store;
  c->name = g_strdup (options->name);
  c->address = g_strdup (options->address);
  c->listen = g_strdup (options->listen ? options->listen : options->address);
  c->authority = options->authority;
  c->keep_ended_ms = options->keep_ended_ms;
  c->capacity_score_percent = MIN (options->capacity_score_percent,
                                   COORD_CAPACITY_SCORE_MAX_PERCENT);
  LIST_INIT (&c->requests);
  hk_recent_ids_init (&c->refusals, REFUSALS_KEEP_MS, REFUSALS_MAX);
  hk_recent_ids_init (&c->sent_on, c->keep_ended_ms, SENT_ON_MAX);
  TAILQ_INIT (&c->predecessors);
  c->record_max_bytes = options->record_max_bytes;
  coord_engine_init (c);
  coord_commit_init (c);
  coord_estimates_init (c);
  coord_evacuations_init (&c->evacuations, options->awaits_evacuations);
  hk_interference_model_init (&c->interference_model);
  coord_locality_init (&c->locality, options->remote_factor);
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
  rc = hk_rpc_server_start (&c->server, c->listen, err);
  if (rc < 0)
    return rc;
  c->started = TRUE;
  hk_timer_set (&c->tick_timer, TICK_INTERVAL_MS, on_tick, c);
  coord_follow_start (c);
  return HK_OK;
}

void
hk_coord_resign (struct hk_coord *c)
{
  c->resigned = TRUE;
  coord_step_down (c, "process resigns");
}

void
hk_coord_end_requests (struct hk_coord *c)
{
  c->ends_requests = TRUE;
  coord_requests_drop (c);
}

void
hk_coord_free (struct hk_coord *c)
{
  coord_step_down (c, "process shuts down");
  coord_requests_drop (c);
  coord_follow_stop (c);
  coord_predecessors_clear (c);
  hk_timer_clear (&c->tick_timer);
  hk_timer_clear (&c->pass_timer);
  if (c->started)
    hk_rpc_server_stop (&c->server);
  coord_commit_finish (c);
  hk_engine_finish (&c->engine);
  g_free (c->loaded_silent);
  coord_evacuations_finish (&c->evacuations);
  hk_recent_ids_finish (&c->refusals);
  hk_recent_ids_finish (&c->sent_on);
  g_hash_table_unref (c->estimates);
  g_hash_table_unref (c->mean_work);
  hk_interference_model_finish (&c->interference_model);
  coord_locality_finish (&c->locality);
  g_free (c->name);
  g_free (c->address);
  g_free (c->listen);
  c->closed = TRUE;
  if (c->store_calls == 0)
    g_free (c);
}

/* Whether this process can serve no client at present: as leader, because its
   commits fail and no follower pings it; as follower, because it reaches no
   leader. */
gboolean
coord_isolated (const struct hk_coord *c, int64_t now)
{
  if (c->state == COORD_LEADING || c->state == COORD_LOADING)
    return coord_store_failing (c, now) && now - c->pinged_ms > ISOLATED_MS;
  return c->leader_unreachable_since_ms
         && now - c->leader_unreachable_since_ms > ISOLATED_MS;
}

size_t
hk_coord_record_max_bytes (const struct hk_coord *c)
{
  return c->record_max_bytes;
}

gboolean
hk_coord_leading (const struct hk_coord *c)
{
  return c->state == COORD_LEADING;
}

gboolean
hk_coord_available (const struct hk_coord *c)
{
  if (c->resigned || coord_isolated (c, hk_clock_ms ()))
    return FALSE;
  return c->state == COORD_LEADING || c->leader.connected
         || (c->leader.name && c->leader_unreachable_since_ms);
}

/* Replies to agents' reports. Orders are level-triggered: each reply contains
   whatever the report does not show yet, so a lost reply only costs time. */
#include "coord.h"

/* An order that reports do not reflect yet is repeated after this time. */
#define ORDER_REPEAT_MS 400
/* A reply without orders or acknowledgements is delayed this long, which is
   well within a lease grant. */
#define PARK_MAX_MS 300
/* No start is ordered if the last confirmed commit is older, since a successor
   may have cancelled the job. Must exceed the interval of idle commits and,
   together with a lease grant, stay below the time that clients allow for a
   cancellation. */
#define START_COMMIT_AGE_MAX_MS 1200

/* Texts and payloads of the start orders in one reply, bytes. Further starts
   follow in the reply to the next report, which the agent sends at once. */
#define STARTS_MAX_BYTES (1u << 20)

static size_t
start_order_bytes (const hk_start_order *order)
{
  return strlen (order->image) + strlen (order->checkpoint)
         + order->payload.payload_len;
}

static void
start_order_fill (hk_start_order *out, const struct hk_run *run)
{
  struct hk_engine_task *task = run->task;
  const hk_step_spec *spec = task->step->spec;
  hk_job_spec *job = &task->step->job->spec;

  hk_engine_task_id (&out->task, task);
  out->run = run->number;
  out->cpu_milli = spec->cpu_milli;
  out->memory_mb = spec->memory_mb;
  out->accelerators = spec->accelerators;
  out->flags = spec->flags;
  out->target_ms = spec->target_ms;
  out->image = spec->image;
  out->checkpoint = task->checkpoint ? task->checkpoint : "";
  out->payload.payload_len = job->payload.payload_len;
  out->payload.payload_val = job->payload.payload_val;
}

/* Whether a run needs orders now or will need them later, unless it changes.
 */
static gboolean
awaits_order (const struct hk_run *run)
{
  return run->to_stop || !run->started_ms || run->spec_requested;
}

/* Whether the order for a run starts nothing: the agent lists the run but does
   not know what it is. It keeps each run that it has listed until the
   coordinator acknowledges the end. */
static gboolean
order_only_describes (const struct hk_run *run)
{
  return run->spec_requested && run->started_ms
         && run->reported_ms == run->instance->last_report_ms;
}

/* Returns whether some run awaits orders. */
static gboolean
orders_collect (struct coord_link *l, GArray *starts, GArray *stops,
                int64_t now)
{
  struct hk_instance *in = l->in;
  gboolean starts_allowed
      = !in->draining && !in->evacuated && !in->listed_silent
        && coord_evacuations_known (l->c)
        && now - l->c->commit.confirmed_ms < START_COMMIT_AGE_MAX_MS;
  gboolean awaiting = FALSE;
  size_t bytes = 0;
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  {
    if (!awaits_order (run))
      continue;
    awaiting = TRUE;
    if (run->instance_start_time_ms != in->start_time_ms
        || (run->ordered_ms && now - run->ordered_ms < ORDER_REPEAT_MS))
      continue;
    if (run->to_stop)
      {
        hk_run_id id = { .run = run->number };

        hk_engine_task_id (&id.task, run->task);
        g_array_append_val (stops, id);
        run->ordered_ms = now;
      }
    else if (run->version <= run->task->step->job->committed_version
             && (starts_allowed || order_only_describes (run)))
      {
        hk_start_order start = { 0 };

        start_order_fill (&start, run);
        bytes += start_order_bytes (&start);
        if (starts->len > 0 && bytes > STARTS_MAX_BYTES)
          continue;
        g_array_append_val (starts, start);
        run->may_execute = TRUE;
        run->spec_requested = FALSE;
        if (!run->ordered_ms)
          {
            char speed[COORD_SPEED_TEXT_MAX];

            hk_log (HK_LOG_INFO, "sync", in->name, start.task.job,
                    "event=run_ordered step=%u index=%u run=%u "
                    "waited_ms=%" G_GINT64_FORMAT
                    " commit_ms=%" G_GINT64_FORMAT "%s",
                    start.task.step, start.task.index, start.run,
                    run->placed_ms - run->task->ready_ms, now - run->placed_ms,
                    coord_speed_describe_expected (run, speed));
          }
        run->ordered_ms = now;
      }
  }
  return awaiting;
}

/* Returns whether some end awaits its first acknowledgement. */
static gboolean
acknowledgements_collect (struct coord_link *l, GArray *acknowledged,
                          int64_t now)
{
  gboolean awaiting = FALSE;

  for (guint i = 0; i < l->ends->len; i++)
    {
      struct coord_end *end = &g_array_index (l->ends, struct coord_end, i);
      const struct hk_engine_job *job
          = hk_engine_job_find (&l->c->engine, end->job);
      hk_run_id id
          = { .task
              = { .job = end->job, .step = end->step, .index = end->index },
              .run = end->run };

      if (job && job->committed_version < end->version)
        {
          awaiting = TRUE;
          continue;
        }
      if (end->acknowledged_ms && now - end->acknowledged_ms < ORDER_REPEAT_MS)
        continue;
      end->acknowledged_ms = now;
      g_array_append_val (acknowledged, id);
    }
  return awaiting;
}

/* Sends the agent away for now; it tries again. An agent that leaves would
   take any other answer for leave to extend its leases, for which a successor
   waits only if a full lease grant could be given. */
static void
link_refuse (struct coord_link *l)
{
  struct hk_rpc_request *req = l->parked;
  hk_sync_reply refusal = { .term = l->c->term };

  l->parked = NULL;
  hk_timer_clear (&l->park_timer);
  hk_rpc_reply (req, &refusal);
}

/* Sends the parked reply if it has orders or acknowledgements, or in any case
   with @force. */
void
coord_link_reply (struct coord_link *l, gboolean force)
{
  struct hk_coord *c = l->c;
  g_autoptr (GArray) starts = NULL;
  g_autoptr (GArray) stops = NULL;
  g_autoptr (GArray) acknowledged = NULL;
  g_autoptr (GArray) interference_estimates = NULL;
  struct hk_rpc_request *req = l->parked;
  hk_sync_reply reply = { .leading = TRUE, .term = c->term };
  int64_t now = hk_clock_ms ();
  gboolean awaiting;
  int64_t until;

  if (!req || (!force && l->settled_changes == l->in->changes))
    return;
  until
      = hk_authority_grant_until (&c->authority, now, c->commit.confirmed_ms);
  if (l->final_lease
      && (l->in->listed_silent || until < now + c->authority.grant_ms))
    {
      if (force)
        link_refuse (l);
      return;
    }
  starts = g_array_new (FALSE, TRUE, sizeof (hk_start_order));
  stops = g_array_new (FALSE, TRUE, sizeof (hk_run_id));
  acknowledged = g_array_new (FALSE, TRUE, sizeof (hk_run_id));
  interference_estimates
      = g_array_new (FALSE, TRUE, sizeof (hk_interference_row));
  awaiting = orders_collect (l, starts, stops, now);
  if (now - l->orphan_stop_ms >= ORDER_REPEAT_MS && l->orphans->len > 0)
    {
      g_array_append_vals (stops, l->orphans->data, l->orphans->len);
      l->orphan_stop_ms = now;
    }
  awaiting = acknowledgements_collect (l, acknowledged, now) || awaiting;
  l->settled_changes = awaiting ? 0 : l->in->changes;
  if (!force && starts->len == 0 && stops->len == 0 && acknowledged->len == 0)
    return;
  /* Agents then look for a successor, which perhaps only they can reach. */
  reply.leadership_unconfirmed = coord_store_failing (c, now);
  if (until > l->received_ms && !l->in->listed_silent)
    {
      reply.grant_ms = (u_int)(until - l->received_ms);
      l->in->granted_until_ms = MAX (l->in->granted_until_ms, until);
    }
  reply.starts.starts_len = starts->len;
  reply.starts.starts_val = (hk_start_order *)starts->data;
  reply.stops.stops_len = stops->len;
  reply.stops.stops_val = (hk_run_id *)stops->data;
  reply.committed_ends.committed_ends_len = acknowledged->len;
  reply.committed_ends.committed_ends_val = (hk_run_id *)acknowledged->data;
  coord_interference_send (c, l, interference_estimates, now);
  reply.interference_estimates.interference_estimates_len
      = interference_estimates->len;
  reply.interference_estimates.interference_estimates_val
      = (hk_interference_row *)interference_estimates->data;
  l->parked = NULL;
  hk_timer_clear (&l->park_timer);
  hk_rpc_reply (req, &reply);
}

static void
on_park_timeout (void *user)
{
  coord_link_reply (user, TRUE);
}

/* Delays a reply without orders or acknowledgements. */
void
coord_link_park (struct coord_link *l)
{
  if (l->parked)
    hk_timer_set (&l->park_timer, PARK_MAX_MS, on_park_timeout, l);
}

void
coord_links_reply (struct hk_coord *c)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->link)
    coord_link_reply (in->link, FALSE);
}

void
coord_links_drop (struct hk_coord *c)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct coord_link *l = in->link;

    if (!l)
      continue;
    if (l->parked)
      {
        hk_sync_reply reply = { .term = c->term };

        hk_rpc_reply (l->parked, &reply);
      }
    hk_timer_clear (&l->park_timer);
    g_array_unref (l->ends);
    g_array_unref (l->orphans);
    coord_sharing_finish (&l->sharing);
    g_free (l);
    in->link = NULL;
  }
}

/* What agents are told: orders are levels, not edges. Each answer says what
   the report lacks, so a lost answer costs time and nothing else. */
#include "coord.h"

/* An order that the reports do not show yet is repeated after this time. */
#define REPEAT_MS 400
/* An answer without news is held this long, well inside a grant. */
#define PARK_MS 300
/* Nothing is started on the word of a coordinator whose last commit is older:
   a successor may have cancelled it. Above the time between idle commits; with
   a grant still under the time that callers allow for cancels. */
#define START_AGE_MAX_MS 1200

static void
fill_start (hk_start_order *out, const struct hk_run *run)
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

static void
collect_runs (struct coord_link *l, GArray *starts, GArray *stops, int64_t now)
{
  struct hk_instance *in = l->in;
  gboolean fresh = now - l->c->commit.confirmed_ms < START_AGE_MAX_MS;
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  {
    if (run->born_ms != in->born_ms
        || (run->ordered_ms && now - run->ordered_ms < REPEAT_MS))
      continue;
    if (run->unwanted)
      {
        hk_run_id id = { .run = run->number };

        hk_engine_task_id (&id.task, run->task);
        g_array_append_val (stops, id);
        run->ordered_ms = now;
      }
    else if ((!run->started_ms || run->undescribed)
             && run->version <= run->task->step->job->committed
             && !in->draining && fresh)
      {
        hk_start_order start = { 0 };

        fill_start (&start, run);
        g_array_append_val (starts, start);
        run->undescribed = FALSE;
        if (!run->ordered_ms)
          hk_log (HK_LOG_INFO, "sync", in->name, start.task.job,
                  "event=ordered step=%u index=%u run=%u "
                  "waited_ms=%" G_GINT64_FORMAT " commit_ms=%" G_GINT64_FORMAT,
                  start.task.step, start.task.index, start.run,
                  run->placed_ms - run->task->ready_ms, now - run->placed_ms);
        run->ordered_ms = now;
      }
  }
}

static void
collect_noted (struct coord_link *l, GArray *noted, int64_t now)
{
  for (guint i = 0; i < l->ends->len; i++)
    {
      struct coord_end *end = &g_array_index (l->ends, struct coord_end, i);
      const struct hk_engine_job *job
          = hk_engine_find (&l->c->engine, end->job);
      hk_run_id id
          = { .task
              = { .job = end->job, .step = end->step, .index = end->index },
              .run = end->run };

      if ((job && job->committed < end->version)
          || (end->told_ms && now - end->told_ms < REPEAT_MS))
        continue;
      end->told_ms = now;
      g_array_append_val (noted, id);
    }
}

/* Sends the parked answer if there is news, or in any case. */
void
coord_link_answer (struct coord_link *l, gboolean anyway)
{
  struct hk_coord *c = l->c;
  g_autoptr (GArray) starts
      = g_array_new (FALSE, TRUE, sizeof (hk_start_order));
  g_autoptr (GArray) stops = g_array_new (FALSE, TRUE, sizeof (hk_run_id));
  g_autoptr (GArray) noted = g_array_new (FALSE, TRUE, sizeof (hk_run_id));
  g_autoptr (GArray) presses
      = g_array_new (FALSE, TRUE, sizeof (hk_press_row));
  struct hk_rpc_request *req = l->parked;
  hk_sync_reply reply = { .leading = TRUE, .term = c->term };
  int64_t now = hk_clock_ms ();
  int64_t until;

  if (!req)
    return;
  collect_runs (l, starts, stops, now);
  if (now - l->last_stop_ms >= REPEAT_MS && l->strays->len > 0)
    {
      g_array_append_vals (stops, l->strays->data, l->strays->len);
      l->last_stop_ms = now;
    }
  collect_noted (l, noted, now);
  if (!anyway && starts->len == 0 && stops->len == 0 && noted->len == 0)
    return;
  /* Its agents look for a successor; only they may still reach it. */
  reply.doubtful = coord_store_failing (c, now);
  until
      = hk_authority_grant_until (&c->authority, now, c->commit.confirmed_ms);
  if (until > l->received_ms)
    {
      reply.grant_ms = (u_int)(until - l->received_ms);
      l->in->granted_until_ms = MAX (l->in->granted_until_ms, until);
    }
  reply.starts.starts_len = starts->len;
  reply.starts.starts_val = (hk_start_order *)starts->data;
  reply.stops.stops_len = stops->len;
  reply.stops.stops_val = (hk_run_id *)stops->data;
  reply.noted.noted_len = noted->len;
  reply.noted.noted_val = (hk_run_id *)noted->data;
  coord_share_tell (c, l, presses, now);
  reply.presses.presses_len = presses->len;
  reply.presses.presses_val = (hk_press_row *)presses->data;
  l->parked = NULL;
  hk_timer_clear (&l->wait);
  hk_rpc_reply (req, &reply);
}

static void
on_park_over (void *user)
{
  coord_link_answer (user, TRUE);
}

/* Holds an answer without news for a while. */
void
coord_link_park (struct coord_link *l)
{
  if (l->parked)
    hk_timer_set (&l->wait, PARK_MS, on_park_over, l);
}

void
coord_links_answer (struct hk_coord *c)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->link)
    coord_link_answer (in->link, FALSE);
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
    hk_timer_clear (&l->wait);
    g_array_unref (l->ends);
    g_array_unref (l->strays);
    g_free (l);
    in->link = NULL;
  }
}

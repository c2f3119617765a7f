/* Applies the agents' reports: their endpoint, its runs and the runs that have
   ended. */
#include "coord.h"

#include <inttypes.h>

/* The start order of a run that is missing from reports for this long is
   repeated. */
#define RUN_MISSING_MS 2000
/* An agent in touch reports at least three times in this time. */
#define REPORT_GAP_MAX_MS 900

/* Pause after a refused start, doubled each time up to the maximum. The cause
   may last until the next heartbeat of the endpoint. */
#define REFUSAL_PAUSE_MIN_MS 100
#define REFUSAL_PAUSE_MAX_MS 800

static void
end_clear (gpointer data)
{
  struct coord_end *end = data;

  g_free (end->job);
}

static void
orphan_clear (gpointer data)
{
  hk_run_id *id = data;

  g_free (id->task.job);
}

static struct coord_link *
link_get (struct hk_coord *c, struct hk_instance *in)
{
  struct coord_link *l = in->link;

  if (l)
    return l;
  l = g_new0 (struct coord_link, 1);
  l->c = c;
  l->in = in;
  l->ends = g_array_new (FALSE, TRUE, sizeof (struct coord_end));
  g_array_set_clear_func (l->ends, end_clear);
  l->orphans = g_array_new (FALSE, TRUE, sizeof (hk_run_id));
  g_array_set_clear_func (l->orphans, orphan_clear);
  coord_sharing_init (&l->sharing);
  in->link = l;
  return l;
}

/* The runs of earlier incarnations, but for those listed in the report of
   @listed_ms: the present incarnation has seen a fence that makes it reject
   their starts before its agent reports it. */
static GPtrArray *
runs_of_earlier_incarnations (const struct hk_instance *in, int64_t listed_ms)
{
  GPtrArray *runs = g_ptr_array_new ();
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  if (run->instance_start_time_ms != in->start_time_ms
      && run->reported_ms != listed_ms)
    g_ptr_array_add (runs, run);
  return runs;
}

static void
runs_end_lost (struct hk_coord *c, const struct hk_instance *in,
               const GPtrArray *runs, const char *why, int64_t now)
{
  if (runs->len == 0)
    return;
  hk_log (HK_LOG_WARN, "sync", in->name, NULL,
          "event=runs_terminated why=\"%s\" runs=%u "
          "heard_ms_ago=%" G_GINT64_FORMAT " born=%" G_GINT64_FORMAT,
          why, runs->len, in->last_report_ms ? now - in->last_report_ms : -1,
          in->start_time_ms);
  for (guint i = 0; i < runs->len; i++)
    hk_engine_run_end (runs->pdata[i], HK_END_LOST, NULL, now,
                       coord_wall_ms ());
  coord_pass_schedule (c);
}

static void
orphan_add (struct coord_link *l, const hk_task_id *task, unsigned run)
{
  hk_run_id id = { .task = *task, .run = run };

  id.task.job = g_strdup (task->job);
  g_array_append_val (l->orphans, id);
}

static void
run_report_apply (struct coord_link *l, const hk_run_report *r, int64_t now)
{
  struct hk_engine_task *task = hk_engine_task (&l->c->engine, &r->task);
  struct hk_run *run = task ? hk_engine_run_find (task, r->run) : NULL;

  if (!run || run->instance != l->in)
    {
      orphan_add (l, &r->task, r->run);
      return;
    }
  run->may_execute = TRUE;
  /* The start order reached the current incarnation after all. */
  if (r->started)
    run->instance_start_time_ms = l->in->start_time_ms;
  if (!run->started_ms && r->started)
    {
      run->started_ms = now;
      l->in->refusals = 0;
      task->step->job->started = TRUE;
    }
  if (!run->ordered_ms)
    run->ordered_ms = now;
  /* A restarted agent knows only the ids of its runs; orders describe them. */
  if (!r->known)
    {
      run->spec_requested = TRUE;
      run->ordered_ms = 0;
    }
  coord_speed_observe (run, r->pace, now);
  run->reported_ms = now;
  if (r->percent > run->progress_percent || !run->progress_ms)
    {
      run->progress_ms = now;
      run->progress_full_speed_ms = run->full_speed_ms;
    }
  if (run->progress_ms == now || r->figure != run->load_sample)
    run->alive_ms = now;
  run->progress_percent = r->percent;
  run->load_sample = r->figure;
  run->speed_percent = r->pace;
  if (r->checkpoint && *r->checkpoint
      && (!task->checkpoint || strcmp (task->checkpoint, r->checkpoint) != 0)
      && !run->to_stop)
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (r->checkpoint);
    }
}

/* Version of the job that stores an end reported before; 0 if it is new. */
static uint64_t
end_version_find (const GArray *ends, const hk_run_end *e,
                  int64_t *acknowledged_ms)
{
  for (guint i = 0; i < ends->len; i++)
    {
      const struct coord_end *end = &g_array_index (ends, struct coord_end, i);

      if (end->run == e->run && end->step == e->task.step
          && end->index == e->task.index
          && strcmp (end->job, e->task.job) == 0)
        {
          *acknowledged_ms = end->acknowledged_ms;
          return end->version;
        }
    }
  return 0;
}

/* Handles instances that cannot start what is placed there, for a cause that
   the coordinator does not know. */
static void
refusal_observe (struct hk_instance *in, int64_t now)
{
  if (now < in->refused_until_ms)
    return;
  in->refused_until_ms = now
                         + MIN (REFUSAL_PAUSE_MIN_MS << MIN (in->refusals, 10),
                                REFUSAL_PAUSE_MAX_MS);
  in->refusals++;
  hk_log (HK_LOG_INFO, "sync", in->name, NULL,
          "event=placement_paused refusals=%u pause_ms=%" G_GINT64_FORMAT
          " free_cpu=%" G_GINT64_FORMAT " free_memory_mb=%" G_GINT64_FORMAT,
          in->refusals, in->refused_until_ms - now,
          (int64_t)in->cpu_milli - in->used_cpu_milli,
          (int64_t)in->memory_mb - in->used_memory_mb);
}

static void
end_report_apply (struct coord_link *l, const GArray *before,
                  const hk_run_end *e, int64_t now)
{
  struct hk_engine_task *task = hk_engine_task (&l->c->engine, &e->task);
  struct hk_run *run = task ? hk_engine_run_find (task, e->run) : NULL;
  struct coord_end end
      = { .step = e->task.step, .index = e->task.index, .run = e->run };

  if (run && run->instance == l->in)
    {
      char speed[COORD_SPEED_TEXT_MAX];

      hk_log (HK_LOG_INFO, "sync", l->in->name, e->task.job,
              "event=run_ended step=%u index=%u run=%u how=%d "
              "ran_ms=%" G_GINT64_FORMAT " unwanted=%d failures=%u%s",
              end.step, end.index, end.run, e->how,
              run->started_ms ? now - run->started_ms : 0, run->to_stop,
              task->failures, coord_speed_describe (run, speed, now));
      coord_estimate_learn (l->c, run, e->how, now);
      if (e->how != HK_END_REFUSED)
        l->in->refused_until_ms = 0;
      else if (!run->to_stop)
        refusal_observe (l->in, now);
      hk_engine_run_end (run, e->how, e->checkpoint, now, coord_wall_ms ());
      end.version = task->step->job->version;
    }
  else
    {
      end.version = end_version_find (before, e, &end.acknowledged_ms);
      if (end.version == 0 && task && e->how == HK_END_DONE
          && task->state != HK_TASK_DONE)
        {
          hk_log (HK_LOG_WARN, "sync", l->in->name, e->task.job,
                  "event=end_unknown step=%u index=%u run=%u last_run=%u; the "
                  "run was done, and its task runs again",
                  end.step, end.index, end.run, task->last_run);
          hk_metric_get ("hyssopkeel_unknown_ends_total", "")->value++;
        }
      if (end.version == 0 && task)
        end.version = task->step->job->version;
    }
  end.job = g_strdup (e->task.job);
  g_array_append_val (l->ends, end);
}

/* The agent reports all runs that a crash ended at once. */
static void
crash_report_apply (struct coord_link *l, const hk_sync_args *args,
                    int64_t now)
{
  g_autoptr (GPtrArray) lost = g_ptr_array_new ();

  for (u_int i = 0; i < args->ends.ends_len; i++)
    {
      const hk_run_end *e = &args->ends.ends_val[i];
      struct hk_engine_task *task = hk_engine_task (&l->c->engine, &e->task);
      struct hk_run *run = task ? hk_engine_run_find (task, e->run) : NULL;

      if (e->how == HK_END_LOST && run && run->instance == l->in)
        g_ptr_array_add (lost, run);
    }
  coord_crash_apply (l->c, l->in, lost, "reported by the agent", now);
}

static void
report_apply (struct coord_link *l, const hk_sync_args *args, int64_t now)
{
  g_autoptr (GArray) before = l->ends;

  crash_report_apply (l, args, now);
  l->ends = g_array_new (FALSE, TRUE, sizeof (struct coord_end));
  g_array_set_clear_func (l->ends, end_clear);
  g_array_set_size (l->orphans, 0);
  for (u_int i = 0; i < args->ends.ends_len; i++)
    end_report_apply (l, before, &args->ends.ends_val[i], now);
  l->described = args->described;
  l->n_unknown_runs = 0;
  for (u_int i = 0; i < args->runs.runs_len; i++)
    {
      l->n_unknown_runs += !args->runs.runs_val[i].known;
      run_report_apply (l, &args->runs.runs_val[i], now);
    }
}

/* A run that neither the agent nor its endpoint knows any more is lost. Its
   start order is repeated, and the agent's reports then show its outcome. */
static void
missing_runs_reorder (struct hk_instance *in, int64_t now)
{
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  if (run->started_ms && run->instance_start_time_ms == in->start_time_ms
      && now - run->reported_ms > RUN_MISSING_MS)
    {
      run->started_ms = 0;
      run->ordered_ms = 0;
    }
}

/* A start that no report confirmed may still reach the present incarnation if
   its agent restarted as well and forgot it, or if a predecessor ordered it.
   Such a run is stopped there before it counts as ended. Takes it off @runs.
 */
static void
unconfirmed_runs_stop (const struct hk_instance *in, GPtrArray *runs)
{
  for (guint i = runs->len; i > 0; i--)
    {
      struct hk_run *run = runs->pdata[i - 1];

      if (!run->may_execute || run->started_ms)
        continue;
      run->instance_start_time_ms = in->start_time_ms;
      hk_engine_run_stop (run);
      g_ptr_array_remove_index_fast (runs, i - 1);
    }
}

/* Handles the runs of earlier incarnations of the endpoint. */
static void
restart_apply (struct hk_coord *c, struct hk_instance *in, gboolean in_touch,
               int64_t now)
{
  g_autoptr (GPtrArray) runs = runs_of_earlier_incarnations (in, now);

  if (in_touch)
    coord_crash_apply (c, in, runs, "endpoint restarted", now);
  unconfirmed_runs_stop (in, runs);
  runs_end_lost (c, in, runs, "endpoint restarted", now);
}

/* Whether a run that was placed here must not start any more. */
static gboolean
may_not_start (const struct hk_run *run, gboolean silent)
{
  const struct hk_instance *in = run->instance;

  return ((in->draining || in->evacuated) && !run->started_ms)
         || (silent && !run->may_execute);
}

/* Ends unwanted runs that were placed here but never ordered, all of them
   while the agent is silent: they need no stop order. */
gboolean
coord_unstarted_runs_end (struct hk_instance *in, int64_t now)
{
  gboolean silent = now - in->last_report_ms >= REPORT_GAP_MAX_MS;
  gboolean ended = FALSE;
  struct hk_run *run;
  struct hk_run *next;

  for (run = LIST_FIRST (&in->runs); run; run = next)
    {
      next = LIST_NEXT (run, link);
      if (!run->to_stop && may_not_start (run, silent))
        hk_engine_run_stop (run);
      if (run->to_stop && !run->may_execute)
        {
          hk_log (HK_LOG_INFO, "sync", in->name, run->task->step->job->spec.id,
                  "event=run_withdrawn why=\"never ordered\" step=%u index=%u "
                  "run=%u draining=%d evacuated=%d silent=%d",
                  run->task->step->index, run->task->index, run->number,
                  in->draining, in->evacuated, silent);
          hk_engine_run_end (run, HK_END_REFUSED, NULL, now, coord_wall_ms ());
          ended = TRUE;
        }
    }
  return ended;
}

static void
interference_seed (struct hk_coord *c, const hk_sync_args *args)
{
  for (u_int i = 0;
       i < args->interference_estimates.interference_estimates_len; i++)
    {
      const hk_interference_row *row
          = &args->interference_estimates.interference_estimates_val[i];

      hk_interference_model_seed (&c->interference_model, row->serving,
                                  row->interfering_image, row->milli / 1000.0);
    }
}

void
coord_on_sync (struct hk_rpc_request *req, void *data, void *user)
{
  struct hk_coord *c = user;
  const hk_sync_args *args = data;
  hk_sync_reply refusal = { .term = c->term };
  struct hk_instance *in;
  struct coord_link *l;
  int64_t now = hk_clock_ms ();
  gboolean pass_needed = args->ends.ends_len > 0;
  gboolean in_touch;

  if (c->state != COORD_LEADING || args->term > c->term)
    {
      hk_rpc_reply (req, &refusal);
      return;
    }
  in = hk_engine_instance_get (&c->engine, args->agent);
  l = link_get (c, in);
  if (args->endpoint_started_ms != in->start_time_ms
      && hk_rpc_request_connection (req) < l->connection)
    {
      hk_log (HK_LOG_INFO, "sync", in->name, NULL,
              "event=report_refused why=\"late, of an earlier incarnation\" "
              "born=%" PRId64 " present_born=%" G_GINT64_FORMAT,
              (int64_t)args->endpoint_started_ms, in->start_time_ms);
      hk_rpc_reply (req, &refusal);
      return;
    }
  l->connection = MAX (l->connection, hk_rpc_request_connection (req));
  /* An agent that was silent may have stopped together with its endpoint. */
  in_touch
      = !in->last_report_ms || now - in->last_report_ms < REPORT_GAP_MAX_MS;
  coord_link_reply (l, TRUE);
  l->parked = req;
  l->received_ms = now;
  l->final_lease = args->final_lease_ms > 0;
  if (args->endpoint_started_ms != in->start_time_ms)
    {
      in->start_time_ms = args->endpoint_started_ms;
      in->capacity_known = FALSE;
      in->failure_rate = 0;
      in->run_time_ratio = 1.0;
      in->suspect_until_ms = 0;
    }
  if (!in->last_report_ms)
    hk_log (HK_LOG_INFO, "sync", in->name, NULL,
            "event=agent_connected runs=%u", args->runs.runs_len);
  in->last_report_ms = now;
  in->granted_until_ms
      = MAX (in->granted_until_ms,
             now + (int64_t)args->final_lease_ms - c->authority.hold_ms);
  pass_needed = coord_instance_describe (in, args, now) || pass_needed;
  interference_seed (c, args);
  report_apply (l, args, now);
  restart_apply (c, in, in_touch, now);
  coord_interference_learn (c, in, now);
  missing_runs_reorder (in, now);
  pass_needed = coord_unstarted_runs_end (in, now) || pass_needed;
  coord_link_reply (l, FALSE);
  coord_link_park (l);
  if (pass_needed)
    coord_pass_schedule (c);
}

static void
runs_end_expired (struct hk_coord *c, const struct hk_instance *in,
                  int64_t now)
{
  g_autoptr (GPtrArray) runs = g_ptr_array_new ();
  struct hk_run *run;

  LIST_FOREACH (run, &in->runs, link)
  g_ptr_array_add (runs, run);
  runs_end_lost (c, in, runs, "leases expired", now);
}

/* Ends the runs of instances whose leases have certainly expired, and those
   that were never ordered of silent instances. */
void
coord_runs_expire (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    int64_t until = MAX (in->granted_until_ms, in->inherited_until_ms);

    coord_unstarted_runs_end (in, now);
    if (LIST_EMPTY (&in->runs)
        || now <= hk_authority_terminated_at (&c->authority, until))
      continue;
    runs_end_expired (c, in, now);
  }
}

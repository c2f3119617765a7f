/* Finds the leading coordinator in the store and keeps a report open with it;
   the replies bring orders and extend the grant. Looks for a successor when
   the coordinator stops answering, no longer leads, or is unsure that it
   leads. */
#include "runner.h"

#include "hyssopkeel/json.h"

/* Time-out of a report. The coordinator delays its reply for up to a third of
   that (long polling). */
#define SYNC_TIMEOUT_MS 900
/* Reports in flight at once: one that waits for orders, and one with a
   change. */
#define SYNCS_MAX 2
/* Pause between lookups of the coordinator. */
#define LOOKUP_RETRY_MS 120
/* The coordinator record is read again after this time without a reply. */
#define SYNC_LOST_MS 600
/* Changes within this time share one report. */
#define REPORT_DELAY_MS 2
/* Pause after a failed report. */
#define SYNC_RETRY_MS 50
/* Checkpoints in one report, bytes; the rest of a message of at most
   HK_RPC_MESSAGE_MAX_BYTES is left to runs and labels. */
#define REPORT_CHECKPOINTS_MAX_BYTES (1u << 20)

static void lookup_coordinator (struct hk_runner *r);

static const struct hk_rpc_method sync_method
    = { HK_COORD_SYNC, (xdrproc_t)xdr_hk_sync_args,
        (xdrproc_t)xdr_hk_sync_reply, sizeof (hk_sync_reply) };

struct sync
{
  struct hk_runner *r;
  int64_t sent_ms;
  int64_t endpoint_start_ms; /* reported start time of the endpoint */
  unsigned generation;
  gboolean leaving;
};

static void
on_lookup_timer (void *user)
{
  lookup_coordinator (user);
}

static void
connect_coordinator (struct hk_runner *r, const char *address)
{
  if (r->address && strcmp (r->address, address) == 0)
    return;
  hk_log (HK_LOG_INFO, "runner", address, NULL,
          "event=coordinator_connect term=%" G_GUINT64_FORMAT, r->term);
  if (r->address)
    hk_rpc_channel_finish (&r->channel);
  g_free (r->address);
  r->address = g_strdup (address);
  r->leader_uncertain = FALSE;
  r->sync_generation++;
  r->open_syncs = 0;
  hk_rpc_channel_init (&r->channel, address, HK_COORD_PROGRAM, HK_COORD_V1);
}

static void
on_lead_read (int rc, const struct hk_store_result *results,
              const struct hk_error *err, void *user)
{
  struct hk_runner *r = user;
  g_autoptr (json_object) obj = NULL;
  struct hk_error bad;

  r->lookup_open = FALSE;
  if (rc == HK_OK && results->n_kvs > 0
      && hk_json_parse (&obj, results->kvs[0].value, results->kvs[0].len,
                        HK_KEY_LEAD, &bad)
             == HK_OK)
    {
      const char *address = hk_json_str (obj, "address");

      r->term = MAX (r->term, (uint64_t)hk_json_int (obj, "term"));
      if (address)
        connect_coordinator (r, address);
      runner_report_schedule (r);
    }
  else if (rc < 0)
    hk_log_error ("runner", NULL, err);
  hk_timer_set (&r->lookup_timer, LOOKUP_RETRY_MS, on_lookup_timer, r);
}

/* Reads the coordinator record while no coordinator answers, or while the
   current one is unsure that it leads. */
static void
lookup_coordinator (struct hk_runner *r)
{
  int64_t now = hk_clock_ms ();

  if (r->lookup_open)
    return;
  if (now - r->last_sync_ms < SYNC_LOST_MS && !r->leader_uncertain)
    {
      hk_timer_set (&r->lookup_timer, SYNC_LOST_MS - (now - r->last_sync_ms),
                    on_lookup_timer, r);
      return;
    }
  r->lookup_open = TRUE;
  r->store->ops->range (r->store, HK_KEY_LEAD, FALSE, on_lead_read, r);
}

/* Reports */

static void
fill_run (hk_run_report *out, const struct runner_run *run)
{
  out->task = run->task;
  out->run = run->number;
  out->started = run->state == RUN_RUNNING;
  out->known = runner_run_known (run);
  out->percent = run->percent;
  out->figure = run->load_sample;
  out->pace = run->speed_percent;
  out->checkpoint = run->checkpoint;
}

static void
fill_end (hk_run_end *out, const struct runner_run *run)
{
  out->task = run->task;
  out->run = run->number;
  out->how = run->how;
  out->checkpoint = run->checkpoint;
}

static hk_label *
fill_labels (hk_sync_args *args, char **labels)
{
  guint n = labels ? g_strv_length (labels) : 0;
  hk_label *list = g_new0 (hk_label, n + 1);

  for (guint i = 0; i < n; i++)
    list[i].text = labels[i];
  args->labels.labels_len = n;
  return list;
}

static void
remove_committed_end (struct hk_runner *r, const hk_run_id *id)
{
  struct runner_run *run = runner_run_find (r, &id->task, id->run);

  if (!run || run->state != RUN_ENDED)
    return;
  runner_unanswered_keep (run);
  runner_run_remove (run);
}

static void
process_orders (struct hk_runner *r, const hk_sync_reply *reply,
                int64_t endpoint_start_ms)
{
  gboolean advanced = reply->committed_ends.committed_ends_len > 0;

  for (u_int i = 0; i < reply->committed_ends.committed_ends_len; i++)
    remove_committed_end (r, &reply->committed_ends.committed_ends_val[i]);
  if (advanced)
    {
      runner_ends_acknowledge (r);
      /* Renews at once, so that the endpoint learns in time that these ends
         are committed and can drop them. */
      runner_renew_soon (r);
    }
  for (u_int i = 0;
       i < reply->interference_estimates.interference_estimates_len; i++)
    {
      const hk_interference_row *row
          = &reply->interference_estimates.interference_estimates_val[i];

      hk_interference_model_set (&r->interference, row->serving,
                                 row->interfering_image, row->milli / 1000.0);
    }
  for (u_int i = 0; i < reply->stops.stops_len; i++)
    runner_run_stop (r, &reply->stops.stops_val[i].task,
                     reply->stops.stops_val[i].run);
  /* Starts ordered for an earlier incarnation of the endpoint count as lost
     since its restart and are not carried out. */
  for (u_int i = 0; i < reply->starts.starts_len
                    && endpoint_start_ms == r->endpoint_start_ms;
       i++)
    runner_run_accept (r, &reply->starts.starts_val[i]);
}

static void
on_sync_timer (void *user)
{
  struct hk_runner *r = user;

  runner_sync_send (r);
}

static void
on_synced (int rc, void *result, const struct hk_error *err, void *user)
{
  struct sync *s = user;
  struct hk_runner *r = s->r;
  const hk_sync_reply *reply = result;
  gboolean current = s->generation == r->sync_generation;
  int64_t sent_ms = s->sent_ms;
  int64_t endpoint_start_ms = s->endpoint_start_ms;
  gboolean leaving = s->leaving;
  int64_t now = hk_clock_ms ();

  g_free (s);
  if (!current)
    return;
  r->open_syncs--;
  if (rc == HK_ERR_TIMEOUT)
    {
      g_autofree char *address = g_strdup (r->address);

      /* The connection may never carry a reply again: reconnect. */
      g_clear_pointer (&r->address, g_free);
      hk_log (HK_LOG_WARN, "runner", address, NULL,
              "event=coordinator_timeout grant_left_ms=%" G_GINT64_FORMAT,
              r->grant_until_ms - now);
      r->sync_generation++;
      r->open_syncs = 0;
      hk_rpc_channel_finish (&r->channel);
      connect_coordinator (r, address);
      hk_timer_set (&r->lookup_timer, 0, on_lookup_timer, r);
      hk_timer_set (&r->sync_timer, SYNC_RETRY_MS, on_sync_timer, r);
      return;
    }
  if (rc < 0 || !reply->leading || reply->term < r->term)
    {
      if (rc < 0 && now - r->last_sync_ms < SYNC_LOST_MS)
        hk_log (HK_LOG_WARN, "runner", r->address, NULL,
                "event=coordinator_unreachable cause=\"%s\"", err->text);
      r->last_sync_ms = 0;
      hk_timer_set (&r->lookup_timer, 0, on_lookup_timer, r);
      hk_timer_set (&r->sync_timer, SYNC_RETRY_MS, on_sync_timer, r);
      return;
    }
  r->term = reply->term;
  r->interference_term = reply->term;
  r->last_sync_ms = now;
  if (reply->leadership_unconfirmed && !r->leader_uncertain)
    hk_timer_set (&r->lookup_timer, 0, on_lookup_timer, r);
  r->leader_uncertain = reply->leadership_unconfirmed;
  r->grant_until_ms
      = MAX (r->grant_until_ms, sent_ms + (int64_t)reply->grant_ms);
  process_orders (r, reply, endpoint_start_ms);
  if (leaving)
    {
      runner_leave_acknowledged (r);
      return;
    }
  if (r->open_syncs == 0 || r->report_due)
    hk_timer_set (&r->sync_timer, 0, on_sync_timer, r);
}

/* Leaves out the checkpoints that exceed @left bytes; the next reports begin
   with these. */
static void
limit_checkpoints (hk_sync_args *args, struct hk_runner *r, size_t left)
{
  u_int n = args->runs.runs_len;
  u_int first = n > 0 ? r->checkpoint_cursor % n : 0;
  gboolean left_out = FALSE;

  for (u_int i = 0; i < n; i++)
    {
      u_int at = (first + i) % n;
      hk_run_report *run = &args->runs.runs_val[at];
      size_t len = run->checkpoint ? strlen (run->checkpoint) : 0;

      if (len <= left)
        {
          left -= len;
          continue;
        }
      run->checkpoint = (char *)"";
      if (!left_out)
        r->checkpoint_cursor = at;
      left_out = TRUE;
    }
}

/* Fills in live runs and ends; the arrays belong to the caller. An end whose
   checkpoint has no room is reported as a live run until the ends before it
   are committed. */
static void
fill_runs (hk_sync_args *args, struct hk_runner *r, hk_run_report *runs,
           hk_run_end *ends)
{
  const struct runner_run *run;
  size_t left = REPORT_CHECKPOINTS_MAX_BYTES;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state == RUN_ENDED && strlen (run->checkpoint) <= left)
    {
      left -= strlen (run->checkpoint);
      fill_end (&ends[args->ends.ends_len++], run);
    }
  else
    fill_run (&runs[args->runs.runs_len++], run);
  args->runs.runs_val = runs;
  args->ends.ends_val = ends;
  limit_checkpoints (args, r, left);
}

static void
fill_endpoint (hk_sync_args *args, const struct hk_runner *r, int64_t now)
{
  args->endpoint_started_ms = r->endpoint_start_ms;
  args->described = r->described;
  args->draining = r->draining;
  /* An agent that cannot reach its endpoint takes no new work. */
  args->leaving = r->leaving || r->endpoint_leaving
                  || r->renew_failures >= RUNNER_RENEW_FAILURES_MAX;
  args->drain_left_ms = (u_int)MAX (r->drain_until_ms - now, 0);
  args->final_lease_ms = r->leaving ? (u_int)r->lease_max_ms : 0;
  args->pool = r->pool ? r->pool : "";
  args->cpu_milli = r->cpu_milli;
  args->memory_mb = r->memory_mb;
  args->accelerators = r->accelerators;
}

struct interference_rows
{
  GArray *rows;
  size_t bytes; /* of their names */
};

static void
append_interference_row (const char *serving, const char *interfering_image,
                         double value, void *user)
{
  struct interference_rows *list = user;
  hk_interference_row row = { .serving = (char *)serving,
                              .interfering_image = (char *)interfering_image,
                              .milli = (u_int)(1000 * value) };
  size_t bytes = strlen (serving) + strlen (interfering_image);

  if (list->rows->len == HK_JOB_TASKS_MAX
      || list->bytes + bytes > HK_JOB_INTERFERENCE_MAX_BYTES)
    return;
  list->bytes += bytes;
  g_array_append_val (list->rows, row);
}

/* The interference table is kept by the coordinator in memory only. Agents
   hand it to a new coordinator, so that it outlives the old one. */
static void
fill_interference (hk_sync_args *args, const struct hk_runner *r, GArray *rows)
{
  struct interference_rows list = { .rows = rows };

  if (r->interference_term != r->term)
    hk_interference_model_foreach (&r->interference, append_interference_row,
                                   &list);
  args->interference_estimates.interference_estimates_len = rows->len;
  args->interference_estimates.interference_estimates_val
      = (hk_interference_row *)rows->data;
}

void
runner_sync_send (struct hk_runner *r)
{
  hk_sync_args args
      = { .agent = r->name, .domain = r->domain, .term = r->term };
  g_autofree hk_run_report *runs = g_new0 (hk_run_report, r->n_runs + 1);
  g_autofree hk_run_end *ends = g_new0 (hk_run_end, r->n_runs + 1);
  g_autofree hk_label *labels = fill_labels (&args, r->labels);
  g_autoptr (GArray) interference_rows
      = g_array_new (FALSE, TRUE, sizeof (hk_interference_row));
  struct sync *s;
  int64_t now = hk_clock_ms ();

  if (!r->address || !r->list_received || r->open_syncs >= SYNCS_MAX)
    return;
  fill_endpoint (&args, r, now);
  fill_runs (&args, r, runs, ends);
  fill_interference (&args, r, interference_rows);
  args.labels.labels_val = labels;
  s = g_new0 (struct sync, 1);
  s->r = r;
  s->sent_ms = now;
  s->endpoint_start_ms = r->endpoint_start_ms;
  s->generation = r->sync_generation;
  s->leaving = r->leaving;
  r->open_syncs++;
  r->report_due = FALSE;
  hk_rpc_call (&r->channel, &sync_method, &args, SYNC_TIMEOUT_MS, on_synced,
               s);
}

void
runner_report_schedule (struct hk_runner *r)
{
  r->report_due = TRUE;
  if (!r->sync_timer.iter)
    hk_timer_set (&r->sync_timer, REPORT_DELAY_MS, on_sync_timer, r);
}

void
runner_sync_start (struct hk_runner *r)
{
  lookup_coordinator (r);
}

void
runner_sync_stop (struct hk_runner *r)
{
  hk_timer_clear (&r->lookup_timer);
  hk_timer_clear (&r->sync_timer);
  r->sync_generation++;
  if (r->address)
    hk_rpc_channel_finish (&r->channel);
  g_clear_pointer (&r->address, g_free);
}

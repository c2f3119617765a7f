/* Finds the coordinator in the store and keeps a report with it. */
#include "runner.h"

#include "hyssopkeel/json.h"

/* A report waits this long for its answer; the coordinator holds it for a
   third of that. */
#define SYNC_TIMEOUT_MS 900
/* Reports that may be on their way at once: one that waits for orders, and
   one with news. */
#define SYNCS_MAX 2
/* Pause before the coordinator is looked for again. */
#define FIND_MS 120
/* Without an answer for this long the record is read again. */
#define LOST_MS 600
/* News that come close together share one report. */
#define NEWS_MS 2
#define SYNC_IDLE_MS 50

static void find (struct hk_runner *r);

static const struct hk_rpc_method sync_method
    = { HK_COORD_SYNC, (xdrproc_t)xdr_hk_sync_args,
        (xdrproc_t)xdr_hk_sync_reply, sizeof (hk_sync_reply) };

struct sync
{
  struct hk_runner *r;
  int64_t sent_ms;
  int64_t born_ms; /* lifetime of the endpoint that was reported */
  unsigned generation;
  gboolean leaving;
};

static void
on_find_timer (void *user)
{
  find (user);
}

static void
follow (struct hk_runner *r, const char *address)
{
  if (r->address && strcmp (r->address, address) == 0)
    return;
  hk_log (HK_LOG_INFO, "runner", address, NULL,
          "event=coordinator term=%" G_GUINT64_FORMAT, r->term);
  if (r->address)
    hk_rpc_channel_finish (&r->channel);
  g_free (r->address);
  r->address = g_strdup (address);
  r->doubtful = FALSE;
  r->sync_generation++;
  r->syncs = 0;
  hk_rpc_channel_init (&r->channel, address, HK_COORD_PROGRAM, HK_COORD_V1);
}

static void
on_found (int rc, const struct hk_store_result *results,
          const struct hk_error *err, void *user)
{
  struct hk_runner *r = user;
  g_autoptr (json_object) obj = NULL;
  struct hk_error bad;

  r->finding = FALSE;
  if (rc == HK_OK && results->n_kvs > 0
      && hk_json_parse (&obj, results->kvs[0].value, results->kvs[0].len,
                        HK_KEY_LEAD, &bad)
             == HK_OK)
    {
      const char *address = hk_json_str (obj, "address");

      r->term = MAX (r->term, (uint64_t)hk_json_int (obj, "term"));
      if (address)
        follow (r, address);
      runner_news (r);
    }
  else if (rc < 0)
    hk_log_error ("runner", NULL, err);
  hk_timer_set (&r->find_timer, FIND_MS, on_find_timer, r);
}

/* Read while there is no answer from a coordinator. */
static void
find (struct hk_runner *r)
{
  int64_t now = hk_clock_ms ();

  if (r->finding)
    return;
  if (now - r->sync_ok_ms < LOST_MS && !r->doubtful)
    {
      hk_timer_set (&r->find_timer, LOST_MS - (now - r->sync_ok_ms),
                    on_find_timer, r);
      return;
    }
  r->finding = TRUE;
  r->store->ops->range (r->store, HK_KEY_LEAD, FALSE, on_found, r);
}

/* Reports */

static void
fill_run (hk_run_report *out, const struct runner_run *run)
{
  out->task = run->task;
  out->run = run->number;
  out->started = run->state == RUN_ALIVE;
  out->known = run->known;
  out->percent = run->percent;
  out->figure = run->figure;
  out->pace = run->pace;
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
noted (struct hk_runner *r, const hk_run_id *id)
{
  struct runner_run *run = runner_run_find (r, &id->task, id->run);

  if (run && run->state == RUN_ENDED)
    runner_run_free (run);
}

static void
take_orders (struct hk_runner *r, const hk_sync_reply *reply, int64_t born_ms)
{
  gboolean advanced = reply->noted.noted_len > 0;

  for (u_int i = 0; i < reply->noted.noted_len; i++)
    noted (r, &reply->noted.noted_val[i]);
  if (advanced)
    {
      runner_ends_advance (r);
      /* The endpoint is told with the next hold, at the latest in time for
         it to count as noted. */
      runner_hold_soon (r);
    }
  for (u_int i = 0; i < reply->presses.presses_len; i++)
    {
      const hk_press_row *row = &reply->presses.presses_val[i];

      hk_pressure_set (&r->pressure, row->serving, row->filler,
                       row->milli / 1000.0);
    }
  for (u_int i = 0; i < reply->stops.stops_len; i++)
    runner_run_stop (r, &reply->stops.stops_val[i].task,
                     reply->stops.stops_val[i].run);
  /* What was ordered for an earlier lifetime counts as lost since. */
  for (u_int i = 0; i < reply->starts.starts_len && born_ms == r->born_ms; i++)
    runner_run_order (r, &reply->starts.starts_val[i]);
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
  int64_t sent = s->sent_ms;
  int64_t born = s->born_ms;
  gboolean leaving = s->leaving;
  int64_t now = hk_clock_ms ();

  g_free (s);
  if (!current)
    return;
  r->syncs--;
  if (rc == HK_ERR_TIMEOUT)
    {
      g_autofree char *address = g_strdup (r->address);

      /* The connection may be silent for good. */
      g_clear_pointer (&r->address, g_free);
      hk_log (HK_LOG_WARN, "runner", address, NULL,
              "event=coordinator_silent grant_left_ms=%" G_GINT64_FORMAT,
              r->grant_until_ms - now);
      r->sync_generation++;
      r->syncs = 0;
      hk_rpc_channel_finish (&r->channel);
      follow (r, address);
      hk_timer_set (&r->find_timer, 0, on_find_timer, r);
      hk_timer_set (&r->sync_timer, SYNC_IDLE_MS, on_sync_timer, r);
      return;
    }
  if (rc < 0 || !reply->leading || reply->term < r->term)
    {
      if (rc < 0 && now - r->sync_ok_ms < LOST_MS)
        hk_log (HK_LOG_WARN, "runner", r->address, NULL,
                "event=coordinator_lost cause=\"%s\"", err->text);
      r->sync_ok_ms = 0;
      hk_timer_set (&r->find_timer, 0, on_find_timer, r);
      hk_timer_set (&r->sync_timer, SYNC_IDLE_MS, on_sync_timer, r);
      return;
    }
  r->term = reply->term;
  r->pressure_term = reply->term;
  r->sync_ok_ms = now;
  if (reply->doubtful && !r->doubtful)
    hk_timer_set (&r->find_timer, 0, on_find_timer, r);
  r->doubtful = reply->doubtful;
  r->grant_until_ms = MAX (r->grant_until_ms, sent + (int64_t)reply->grant_ms);
  take_orders (r, reply, born);
  if (leaving)
    {
      runner_leave_granted (r);
      return;
    }
  if (r->syncs == 0 || r->news)
    hk_timer_set (&r->sync_timer, 0, on_sync_timer, r);
}

/* Runs alive and ends, in arrays of the caller. */
static void
fill_runs (hk_sync_args *args, const struct hk_runner *r, hk_run_report *runs,
           hk_run_end *ends)
{
  const struct runner_run *run;

  TAILQ_FOREACH (run, &r->runs, link)
  if (run->state == RUN_ENDED)
    fill_end (&ends[args->ends.ends_len++], run);
  else
    fill_run (&runs[args->runs.runs_len++], run);
  args->runs.runs_val = runs;
  args->ends.ends_val = ends;
}

static void
fill_endpoint (hk_sync_args *args, const struct hk_runner *r, int64_t now)
{
  args->born_ms = r->born_ms;
  args->described = r->described;
  args->draining = r->draining;
  /* An agent without its endpoint takes no new work. */
  args->leaving = r->leaving || r->leaving_endpoint
                  || r->hold_failures >= RUNNER_FAILURES_MAX;
  args->drain_left_ms = (u_int)MAX (r->drain_until_ms - now, 0);
  args->hold_left_ms = r->leaving ? (u_int)r->hold_max_ms : 0;
  args->pool = r->pool ? r->pool : "";
  args->cpu_milli = r->cpu_milli;
  args->memory_mb = r->memory_mb;
  args->accelerators = r->accelerators;
}

static void
add_press (const char *serving, const char *filler, double value, void *user)
{
  hk_press_row row = { .serving = (char *)serving,
                       .filler = (char *)filler,
                       .milli = (u_int)(1000 * value) };

  if (((GArray *)user)->len < HK_JOB_TASKS_MAX)
    g_array_append_val ((GArray *)user, row);
}

/* What is learned of images would be lost with its coordinator; the agents
   tell it to the next. */
static void
fill_presses (hk_sync_args *args, const struct hk_runner *r, GArray *rows)
{
  if (r->pressure_term != r->term)
    hk_pressure_foreach (&r->pressure, add_press, rows);
  args->presses.presses_len = rows->len;
  args->presses.presses_val = (hk_press_row *)rows->data;
}

void
runner_sync_send (struct hk_runner *r)
{
  hk_sync_args args
      = { .agent = r->name, .domain = r->domain, .term = r->term };
  g_autofree hk_run_report *runs = g_new0 (hk_run_report, r->n_runs + 1);
  g_autofree hk_run_end *ends = g_new0 (hk_run_end, r->n_runs + 1);
  g_autofree hk_label *labels = fill_labels (&args, r->labels);
  g_autoptr (GArray) presses
      = g_array_new (FALSE, TRUE, sizeof (hk_press_row));
  struct sync *s;
  int64_t now = hk_clock_ms ();

  if (!r->address || !r->listed || r->syncs >= SYNCS_MAX)
    return;
  fill_endpoint (&args, r, now);
  fill_runs (&args, r, runs, ends);
  fill_presses (&args, r, presses);
  args.labels.labels_val = labels;
  s = g_new0 (struct sync, 1);
  s->r = r;
  s->sent_ms = now;
  s->born_ms = r->born_ms;
  s->generation = r->sync_generation;
  s->leaving = r->leaving;
  r->syncs++;
  r->news = FALSE;
  hk_rpc_call (&r->channel, &sync_method, &args, SYNC_TIMEOUT_MS, on_synced,
               s);
}

void
runner_news (struct hk_runner *r)
{
  r->news = TRUE;
  if (!r->sync_timer.iter)
    hk_timer_set (&r->sync_timer, NEWS_MS, on_sync_timer, r);
}

void
runner_sync_start (struct hk_runner *r)
{
  find (r);
}

void
runner_sync_stop (struct hk_runner *r)
{
  hk_timer_clear (&r->find_timer);
  hk_timer_clear (&r->sync_timer);
  r->sync_generation++;
  if (r->address)
    hk_rpc_channel_finish (&r->channel);
  g_clear_pointer (&r->address, g_free);
}

/* Simulated worker of the soak: runs, lease, acknowledged ends and reports.
   Checks each start: a task runs in one place at a time, within the capacity
   of the worker, in step order, and never again once it is done. */
#include "worker.h"

#include <string.h>

#include "../../platform/http_server.h"
#include "../support/jobs.h"
#include "hyssopkeel/clock.h"
#include "store.h"

#define CAPACITY_CPU_MILLI 8000
#define CAPACITY_MEMORY_MB 8000
#define TASK_CPU_MILLI 1000
#define TICK_MS 20
#define REPORT_INTERVAL_TICKS 25 /* on average */

struct run
{
  char *task;
  int64_t run_id;
  int64_t due_ms;
  gboolean ended;
  gboolean stopped_unstarted; /* stopped before its start arrived */
  gboolean expired_unacked;   /* ended, and the lease expired before
                                 acknowledgement */
  int64_t seq;
  const char *outcome;
};

void
soak_oracle_init (struct soak_oracle *o)
{
  memset (o, 0, sizeof *o);
  o->running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->acked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->finished = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  o->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
soak_oracle_finish (struct soak_oracle *o)
{
  g_hash_table_unref (o->running);
  g_hash_table_unref (o->acked);
  g_hash_table_unref (o->finished);
  g_hash_table_unref (o->cancelled);
  g_hash_table_unref (o->refused);
}

void
soak_violation (struct soak_oracle *o, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_print ("VIOLATION at %" G_GINT64_FORMAT ": %s\n", hk_clock_ms (), text);
  o->violations++;
}

static void
run_free (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
run_end (struct soak_worker *w, struct run *run, const char *outcome)
{
  run->ended = TRUE;
  run->outcome = outcome;
  run->seq = ++w->last_end;
  if (strcmp (outcome, "done") == 0)
    g_hash_table_add (w->oracle->finished, g_strdup (run->task));
  g_hash_table_remove (w->oracle->running, run->task);
}

/* Ends the runs whose work is done or whose lease has expired. */
static void
runs_update (struct soak_worker *w)
{
  int64_t now = hk_clock_ms ();

  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (run->ended)
        {
          run->expired_unacked
              = run->expired_unacked
                || (run->seq > w->acked_end && now > w->lease_expiry_ms);
          continue;
        }
      if (now > w->lease_expiry_ms)
        run_end (w, run, "lapsed");
      else if (now >= run->due_ms)
        run_end (w, run, "done");
    }
}

static unsigned
runs_count (const struct soak_worker *w)
{
  unsigned n = 0;

  for (guint i = 0; i < w->runs->len; i++)
    n += !((struct run *)w->runs->pdata[i])->ended;
  return n;
}

static struct run *
run_find (const struct soak_worker *w, const char *task, int64_t run_id)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (strcmp (run->task, task) == 0
          && (run_id == 0 || run->run_id == run_id))
        return run;
    }
  return NULL;
}

/* Task names have the form JOB.0.STEP.INDEX; step 1 depends on all tasks of
   step 0. */
static void
check_step_order (struct soak_worker *w, const char *task, const char *job)
{
  if (strstr (task, ".0.1.") == NULL)
    return;
  for (int i = 0; i < SOAK_FIRST_STEP_TASKS; i++)
    {
      g_autofree char *before = g_strdup_printf ("%s.0.0.%d", job, i);

      if (!g_hash_table_contains (w->oracle->finished, before))
        soak_violation (w->oracle, "%s starts before %s has finished", task,
                        before);
    }
}

static void
check_run_start (struct soak_worker *w, const char *task)
{
  const char *where = g_hash_table_lookup (w->oracle->running, task);
  g_autofree char *job = g_strndup (task, strcspn (task, "."));

  check_step_order (w, task, job);
  if (g_hash_table_contains (w->oracle->refused, job))
    soak_violation (w->oracle, "%s starts on %s though its job was refused",
                    task, w->name);

  if (where)
    soak_violation (w->oracle, "%s starts on %s while it runs on %s", task,
                    w->name, where);
  if (g_hash_table_contains (w->oracle->acked, task))
    soak_violation (w->oracle, "%s starts on %s after it was done", task,
                    w->name);
  if (g_hash_table_contains (w->oracle->cancelled, job))
    soak_violation (w->oracle, "%s starts on %s after its job was cancelled",
                    task, w->name);
  if ((runs_count (w) + 1) * TASK_CPU_MILLI > CAPACITY_CPU_MILLI)
    soak_violation (w->oracle, "overcommit: %s has %u runs, capacity %u",
                    w->name, runs_count (w) + 1,
                    CAPACITY_CPU_MILLI / TASK_CPU_MILLI);
}

/* Returns the reason for a refusal, or NULL if the run is accepted. */
static const char *
run_start (struct soak_worker *w, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  int64_t run_id = hk_json_int (body, "runId");
  int64_t deadline = hk_json_int (body, "deadlineMs");
  int64_t now = hk_clock_ms ();
  struct run *run;

  if (now > deadline)
    return "late";
  run = run_find (w, task, run_id);
  if (run && !run->ended)
    return NULL;
  for (guint i = 0; i < w->runs->len; i++)
    {
      run = w->runs->pdata[i];
      if (strcmp (run->task, task) == 0 && run->ended && run->run_id >= run_id)
        return "old";
    }
  w->lease_expiry_ms = MAX (w->lease_expiry_ms, deadline);
  check_run_start (w, task);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run_id = run_id;
  run->due_ms = now + w->task_ms;
  g_ptr_array_add (w->runs, run);
  g_hash_table_replace (w->oracle->running, g_strdup (task), w->name);
  w->oracle->starts++;
  return NULL;
}

static void
run_stop (struct soak_worker *w, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  int64_t run_id = hk_json_int (body, "runId");
  struct run *run = run_find (w, task, run_id);

  if (run && !run->ended)
    run_end (w, run, "stopped");
  if (run)
    return;
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run_id = run_id;
  run->ended = run->stopped_unstarted = TRUE;
  run->outcome = "stopped";
  g_ptr_array_add (w->runs, run);
}

static void
lease_renew (struct soak_worker *w, json_object *body)
{
  w->lease_expiry_ms
      = MAX (w->lease_expiry_ms, hk_json_int (body, "deadlineMs"));
  /* A renewal for an earlier incarnation may acknowledge a higher number;
     it must not cover ends that are still to come. */
  w->acked_end
      = MAX (w->acked_end, MIN (hk_json_int (body, "lastSeen"), w->last_end));
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];

      /* After the lease expired, the task may rightly run elsewhere. */
      if (run->seq > 0 && run->seq <= w->acked_end && !run->expired_unacked
          && strcmp (run->outcome, "done") == 0)
        g_hash_table_add (w->oracle->acked, g_strdup (run->task));
    }
}

static json_object *
runs_list (const struct soak_worker *w)
{
  json_object *body = json_object_new_object ();
  json_object *running = json_object_new_array ();
  json_object *finished = json_object_new_array ();

  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];
      json_object *row = json_object_new_array ();

      if (run->stopped_unstarted || (run->ended && run->seq <= w->acked_end))
        {
          json_object_put (row);
          continue;
        }
      if (run->ended)
        json_object_array_add (row, json_object_new_int64 (run->seq));
      json_object_array_add (row, json_object_new_string (run->task));
      json_object_array_add (row, json_object_new_int64 (run->run_id));
      if (run->ended)
        json_object_array_add (row, json_object_new_string (run->outcome));
      json_object_array_add (row, json_object_new_string (""));
      if (!run->ended)
        json_object_array_add (row, json_object_new_int64 (50));
      json_object_array_add (run->ended ? finished : running, row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  json_object_object_add (body, "born",
                          json_object_new_int64 (w->start_time_ms));
  return body;
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  struct soak_worker *w = user;
  struct hk_error err;
  g_autoptr (json_object) body = http_request_json (msg, &err);
  json_object *reply;
  const char *refused = NULL;

  (void)server;
  (void)query;
  g_assert_nonnull (body);
  runs_update (w);
  if (hk_json_int (body, "fencingToken") < w->fencing_token)
    refused = "fence";
  w->fencing_token
      = MAX (w->fencing_token, hk_json_int (body, "fencingToken"));
  if (!refused && strcmp (path, "/api/run-start") == 0)
    refused = run_start (w, body);
  else if (!refused && strcmp (path, "/api/run-stop") == 0)
    run_stop (w, body);
  else if (!refused && strcmp (path, "/api/hold") == 0)
    lease_renew (w, body);
  if (w->lost_replies > 0 && strcmp (path, "/api/hold") != 0)
    {
      w->lost_replies--;
      soup_server_message_pause (msg);
      return;
    }
  reply = runs_list (w);
  json_object_object_add (reply, "clockMs",
                          json_object_new_int64 (hk_clock_ms ()));
  if (refused)
    json_object_object_add (reply, "reason", json_object_new_string (refused));
  http_respond_json (msg, refused ? 409 : 200, reply);
}

static void
send_report (struct soak_worker *w)
{
  g_autofree char *url = g_strdup_printf ("http://%s/api/Instances.Heartbeat/"
                                          "%s",
                                          w->reports, w->name);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"pool\",\"address\":\"%s\",\"state\":\"ready\","
      "\"sequence\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
      ",\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\"]}",
      w->address, ++w->report_count, w->start_time_ms, CAPACITY_CPU_MILLI,
      CAPACITY_MEMORY_MB);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_async (w->session, msg, G_PRIORITY_DEFAULT, NULL, NULL,
                           NULL);
}

static gboolean
on_tick (gpointer data)
{
  struct soak_worker *w = data;

  runs_update (w);
  if (w->report_count == 0
      || g_random_int_range (0, REPORT_INTERVAL_TICKS) == 0)
    send_report (w);
  return G_SOURCE_CONTINUE;
}

void
soak_worker_crash (struct soak_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];

      if (!run->ended)
        g_hash_table_remove (w->oracle->running, run->task);
    }
  g_ptr_array_set_size (w->runs, 0);
  w->start_time_ms = g_get_real_time () / 1000;
  w->lease_expiry_ms = w->fencing_token = w->acked_end = w->last_end
      = w->report_count = 0;
}

void
soak_worker_start (struct soak_worker *w, const char *name,
                   const char *reports, struct soak_oracle *oracle)
{
  struct hk_error err;

  memset (w, 0, sizeof *w);
  w->name = g_strdup (name);
  w->reports = g_strdup (reports);
  w->oracle = oracle;
  w->address = soak_address ();
  w->task_ms = 300;
  w->start_time_ms = g_get_real_time () / 1000;
  w->runs = g_ptr_array_new_with_free_func (run_free);
  w->session = soup_session_new_with_options ("proxy-resolver", NULL,
                                              "timeout", 2, NULL);
  w->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (w->server, NULL, on_request, w, NULL);
  g_assert_cmpint (http_listen (w->server, w->address, &err), ==, HK_OK);
  w->timer = g_timeout_add (TICK_MS, on_tick, w);
}

void
soak_worker_stop (struct soak_worker *w)
{
  g_source_remove (w->timer);
  soup_server_disconnect (w->server);
  g_object_unref (w->server);
  soup_session_abort (w->session);
  g_object_unref (w->session);
  g_ptr_array_unref (w->runs);
  g_free (w->name);
  g_free (w->address);
  g_free (w->reports);
}

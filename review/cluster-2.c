/* Stand-ins of the platform and processes under test for the cases of the
   second review. Workers follow the platform's published protocol; a run's
   specification states its work in milliseconds, "work=N". */
#include "cluster-2.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "hyssopkeel/clock.h"

#define TICK_MS 10
#define READY_LIMIT_MS 20000
#define CALL_LIMIT_MS 5000
#define LEASE_MAX_MS 6000
#define RENEWAL_WAIT_MAX_MS 2000
#define ENTRY_MEMORY_MB "memory_mb=260"
#define AGENT_MEMORY_MB "memory_mb=128"
/* A case that takes longer could not run. */
#define CASE_LIMIT_MS 115000

struct rv_run
{
  char *task;
  int64_t number;
  int64_t started_ms;
  int64_t work_ms;
  int64_t end;     /* number of its end; 0 while it runs */
  const char *how; /* NULL while it runs */
};

/* A renewal that waits for an end. */
struct rv_waiting
{
  SoupServerMessage *msg;
  int64_t due_ms;
};

void
rv_note (struct rv_cluster *c, const char *format, ...)
{
  va_list ap;

  fprintf (c->record, "%8.3f ",
           (double)(hk_clock_ms () - c->started_ms) / 1e3);
  va_start (ap, format);
  vfprintf (c->record, format, ap);
  va_end (ap);
  fputc ('\n', c->record);
  fflush (c->record);
}

/* Workers */

static void
run_free (gpointer data)
{
  struct rv_run *run = data;

  g_free (run->task);
  g_free (run);
}

static int64_t
worker_clock_ms (const struct rv_worker *w)
{
  return hk_clock_ms () - w->clock_start_ms;
}

static json_object *
text_row (json_object *row, const char *text)
{
  json_object_array_add (row, json_object_new_string (text));
  return row;
}

static json_object *
number_row (json_object *row, int64_t number)
{
  json_object_array_add (row, json_object_new_int64 (number));
  return row;
}

static int64_t
run_percent (const struct rv_run *run)
{
  int64_t age_ms = hk_clock_ms () - run->started_ms;

  return run->work_ms > 0 ? MIN (100 * age_ms / run->work_ms, 100) : 100;
}

static void
respond (struct rv_worker *w, SoupServerMessage *msg, const char *refused)
{
  json_object *body = json_object_new_object ();
  json_object *running = json_object_new_array ();
  json_object *finished = json_object_new_array ();

  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct rv_run *run = w->runs->pdata[i];
      json_object *row = json_object_new_array ();

      if (run->how)
        number_row (row, run->end);
      number_row (text_row (row, run->task), run->number);
      text_row (row, run->how ? run->how : "");
      if (run->how)
        text_row (row, "");
      else
        number_row (number_row (row, run_percent (run)), 0);
      if (run->how && run->end > w->acked_end)
        json_object_array_add (finished, row);
      else if (!run->how)
        json_object_array_add (running, row);
      else
        json_object_put (row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  json_object_object_add (body, "clockMs",
                          json_object_new_int64 (worker_clock_ms (w)));
  json_object_object_add (body, "born", json_object_new_int64 (w->born_ms));
  if (refused)
    json_object_object_add (body, "reason", json_object_new_string (refused));
  http_respond_json (msg, refused ? 409 : 200, body);
}

static void
run_end (struct rv_worker *w, struct rv_run *run, const char *how)
{
  run->how = how;
  run->end = ++w->last_end;
  w->c->ends_done += strcmp (how, "done") == 0;
  w->c->ends_failed += strcmp (how, "failed") == 0;
  rv_note (w->c, "%s ended %s run %" G_GINT64_FORMAT ": %s", w->id, run->task,
           run->number, how);
  if (w->c->on_end)
    w->c->on_end (w, run->task, how);
}

static void
lease_extend (struct rv_worker *w, json_object *body)
{
  int64_t deadline = hk_json_int (body, "deadlineMs");

  w->lease_end_ms = MAX (w->lease_end_ms,
                         MIN (deadline, worker_clock_ms (w) + LEASE_MAX_MS));
}

static const char *
start_run (struct rv_worker *w, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  const char *spec = hk_json_str (body, "spec");
  const char *work = spec ? strstr (spec, "work=") : NULL;
  int64_t number = hk_json_int (body, "runId");
  struct rv_run *run;

  if (worker_clock_ms (w) > hk_json_int (body, "deadlineMs"))
    return "late";
  lease_extend (w, body);
  for (guint i = 0; i < w->runs->len; i++)
    {
      run = w->runs->pdata[i];
      if (strcmp (run->task, task) != 0)
        continue;
      if (!run->how && run->number == number)
        return NULL;
      if (run->how && run->number >= number)
        return "old";
    }
  run = g_new0 (struct rv_run, 1);
  run->task = g_strdup (task);
  run->number = number;
  run->started_ms = hk_clock_ms ();
  run->work_ms = work ? strtol (work + strlen ("work="), NULL, 10) : 1000;
  g_ptr_array_add (w->runs, run);
  w->c->starts++;
  rv_note (w->c, "%s started %s run %" G_GINT64_FORMAT " spec=%s", w->id, task,
           number, spec ? spec : "");
  return NULL;
}

static void
stop_run (struct rv_worker *w, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  int64_t number = hk_json_int (body, "runId");
  struct rv_run *run;

  for (guint i = 0; i < w->runs->len; i++)
    {
      run = w->runs->pdata[i];
      if (strcmp (run->task, task) == 0 && run->number == number)
        {
          if (!run->how)
            run_end (w, run, "stopped");
          return;
        }
    }
  /* Refuses the run from now on; it is not listed as an end. */
  run = g_new0 (struct rv_run, 1);
  run->task = g_strdup (task);
  run->number = number;
  run->how = "stopped";
  g_ptr_array_add (w->runs, run);
}

static void
renew (struct rv_worker *w, SoupServerMessage *msg, json_object *body)
{
  int64_t wait_ms = MIN (hk_json_int (body, "waitMs"), RENEWAL_WAIT_MAX_MS);
  struct rv_waiting *waiting;

  lease_extend (w, body);
  w->acked_end
      = MAX (w->acked_end, MIN (hk_json_int (body, "lastSeen"), w->last_end));
  if (wait_ms <= 0 || w->last_end > w->acked_end)
    {
      respond (w, msg, NULL);
      return;
    }
  waiting = g_new0 (struct rv_waiting, 1);
  waiting->msg = g_object_ref (msg);
  waiting->due_ms = hk_clock_ms () + wait_ms;
  g_ptr_array_add (w->waiting, waiting);
  soup_server_message_pause (msg);
}

static void
on_worker_request (SoupServer *server, SoupServerMessage *msg,
                   const char *path, GHashTable *query, gpointer user)
{
  struct rv_worker *w = user;
  struct hk_error err;
  g_autoptr (json_object) body = http_request_json (msg, &err);
  const char *expected = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Expected-Instance");

  (void)server;
  (void)query;
  if (!body)
    http_respond_error (msg, 400, "no JSON", 0);
  else if (expected && strcmp (expected, w->id) != 0)
    http_respond_error (msg, 421, "another lifetime", 0);
  else if (hk_json_int (body, "fencingToken") < w->fence)
    respond (w, msg, "fence");
  else
    {
      w->fence = hk_json_int (body, "fencingToken");
      if (strcmp (path, "/api/hold") == 0)
        {
          renew (w, msg, body);
          return;
        }
      if (strcmp (path, "/api/run-start") == 0 && w->unanswered > 0)
        {
          w->unanswered--;
          w->late = json_object_get (body);
          rv_note (w->c, "%s leaves the start of %s run %d unanswered", w->id,
                   hk_json_str (body, "task"),
                   (int)hk_json_int (body, "runId"));
          soup_server_message_pause (msg);
          return;
        }
      if (strcmp (path, "/api/run-start") == 0)
        {
          respond (w, msg, start_run (w, body));
          return;
        }
      if (strcmp (path, "/api/run-stop") == 0)
        stop_run (w, body);
      respond (w, msg, NULL);
    }
}

static void
send_report (struct rv_worker *w)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s/api/Instances.Heartbeat/%s", w->reports, w->id);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
      "\"sequence\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
      ",\"clockMs\":%" G_GINT64_FORMAT
      ",\"capacity\":{\"cpu\":%u,\"memMb\":64000,\"gpu\":0},"
      "\"labels\":[\"%s\",\"r1\"]}",
      w->address, ++w->sequence, w->born_ms, worker_clock_ms (w), w->cpu_milli,
      w->label);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_async (w->session, msg, G_PRIORITY_DEFAULT, NULL, NULL,
                           NULL);
  w->next_report_ms = hk_clock_ms () + RV_HEARTBEAT_MS;
}

static void
waiting_free (gpointer data)
{
  struct rv_waiting *waiting = data;

  g_object_unref (waiting->msg);
  g_free (waiting);
}

/* An order that was left unanswered, with what it named when it was sent. */
static void
late_start (struct rv_worker *w)
{
  int64_t fence = hk_json_int (w->late, "fencingToken");
  const char *refused = fence < w->fence ? "fence" : start_run (w, w->late);

  w->fence = MAX (w->fence, fence);
  rv_note (w->c, "%s carries out the unanswered start: %s", w->id,
           refused ? refused : "started");
  w->late_ms = 0;
}

static void
worker_tick (struct rv_worker *w)
{
  int64_t now = hk_clock_ms ();

  if (!w->born_ms)
    return;
  if (w->late && w->late_ms && now >= w->late_ms)
    late_start (w);
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct rv_run *run = w->runs->pdata[i];

      if (run->how)
        continue;
      if (worker_clock_ms (w) > w->lease_end_ms)
        run_end (w, run, "lapsed");
      else if (run->work_ms > 0 && now - run->started_ms >= run->work_ms)
        run_end (w, run, "done");
    }
  for (guint i = w->waiting->len; i-- > 0;)
    {
      struct rv_waiting *waiting = w->waiting->pdata[i];

      if (w->last_end <= w->acked_end && now < waiting->due_ms)
        continue;
      respond (w, waiting->msg, NULL);
      soup_server_message_unpause (waiting->msg);
      g_ptr_array_remove_index_fast (w->waiting, i);
    }
  if (now >= w->next_report_ms)
    send_report (w);
}

void
rv_worker_up (struct rv_worker *w)
{
  struct hk_error err;

  w->born_ms = g_get_real_time () / 1000;
  w->clock_start_ms = hk_clock_ms () - 1000;
  w->fence = w->lease_end_ms = w->last_end = w->acked_end = 0;
  w->sequence = w->next_report_ms = 0;
  if (http_listen (w->server, w->address, &err) != HK_OK)
    {
      rv_note (w->c, "%s cannot listen: %s", w->id, err.text);
      exit (2);
    }
  rv_note (w->c, "%s is up, born %" G_GINT64_FORMAT, w->id, w->born_ms);
}

void
rv_worker_down (struct rv_worker *w)
{
  unsigned n = 0;

  for (guint i = 0; i < w->runs->len; i++)
    n += !((const struct rv_run *)w->runs->pdata[i])->how;
  rv_note (w->c, "%s crashes under %u runs", w->id, n);
  g_ptr_array_set_size (w->runs, 0);
  g_ptr_array_set_size (w->waiting, 0);
  hk_http_listener_stop (w->server);
  w->born_ms = 0;
}

gboolean
rv_worker_runs (const struct rv_worker *w, const char *task)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct rv_run *run = w->runs->pdata[i];

      if (!run->how && strcmp (run->task, task) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
worker_init (struct rv_cluster *c, unsigned i)
{
  struct rv_worker *w = &c->workers[i];

  w->c = c;
  w->id = g_strdup_printf ("w%u", i);
  w->address = rv_address ();
  w->reports = rv_address ();
  w->label = w->label ? w->label : "a";
  w->cpu_milli = w->cpu_milli ? w->cpu_milli : 16000;
  w->runs = g_ptr_array_new_with_free_func (run_free);
  w->waiting = g_ptr_array_new_with_free_func (waiting_free);
  w->session = soup_session_new_with_options ("proxy-resolver", NULL,
                                              "timeout", 2, NULL);
  w->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (w->server, NULL, on_worker_request, w, NULL);
  rv_worker_up (w);
}

static gboolean
on_tick (gpointer data)
{
  struct rv_cluster *c = data;

  for (unsigned i = 0; i < c->n_workers; i++)
    worker_tick (&c->workers[i]);
  return G_SOURCE_CONTINUE;
}

/* Processes under test, with the commands of deploy/system.toml */

/* No process outlives the case. */
static void
end_with_parent (gpointer user)
{
  (void)user;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

void
rv_node_start (struct rv_cluster *c, struct rv_node *n)
{
  char *entry[] = { (char *)"target/hyssopkeel-node",
                    (char *)"--set",
                    (char *)n->memory_mb,
                    (char *)"--set",
                    (char *)"max_fds=4096",
                    n->clients ? (char *)"--set" : NULL,
                    (char *)"remote_factor=1.5",
                    NULL };
  g_autofree char *log = g_strdup_printf ("%s/%s.log", c->dir, n->name);
  g_auto (GStrv) env = g_environ_setenv (
      g_get_environ (), "HYSSOPKEEL_SETTINGS", n->settings, TRUE);
  FILE *out = fopen (log, "a");
  g_autoptr (GError) gerr = NULL;

  if (!out
      || !g_spawn_async_with_fds (NULL, entry, env, G_SPAWN_DO_NOT_REAP_CHILD,
                                  end_with_parent, NULL, &n->pid, -1,
                                  fileno (out), fileno (out), &gerr))
    {
      rv_note (c, "%s cannot start: %s", n->name, gerr ? gerr->message : log);
      exit (2);
    }
  fclose (out);
}

static void
node_init (struct rv_cluster *c, struct rv_node *n, char *name, char *settings)
{
  n->name = name;
  n->settings = g_strdup_printf ("%s/%s.json", c->dir, name);
  if (!g_file_set_contents (n->settings, settings, -1, NULL))
    exit (2);
  g_free (settings);
  rv_node_start (c, n);
}

static void
entry_init (struct rv_cluster *c, unsigned i)
{
  struct rv_node *n = &c->nodes[i];
  g_autofree char *rpc = rv_address ();
  g_autofree char *ready = rv_address ();
  g_autofree char *metrics = rv_address ();

  n->clients = rv_address ();
  n->memory_mb = ENTRY_MEMORY_MB;
  node_init (c, n, g_strdup_printf ("entry-%u", i),
             g_strdup_printf (
                 "{\"role\":\"entry\",\"name\":\"entry-%u\","
                 "\"domain\":\"z\",\"store\":\"%s\",\"metrics\":\"%s\","
                 "\"rpc\":\"%s\",\"clients\":\"%s\",\"readiness\":\"%s\","
                 "\"cpu_share\":0.25,\"link_mbps\":1000.0,"
                 "\"hold_max_ms\":6000}",
                 i, c->store.address, metrics, rpc, n->clients, ready));
}

static void
agent_init (struct rv_cluster *c, unsigned i)
{
  struct rv_node *n = &c->nodes[c->n_entries + i];
  const struct rv_worker *w = &c->workers[i];
  g_autofree char *metrics = rv_address ();

  n->memory_mb = AGENT_MEMORY_MB;
  node_init (c, n, g_strdup_printf ("agent-%u", i),
             g_strdup_printf (
                 "{\"role\":\"agent\",\"name\":\"agent-%u\","
                 "\"domain\":\"z\",\"store\":\"%s\",\"metrics\":\"%s\","
                 "\"reports\":\"%s\",\"worker\":\"%s\",\"pool\":\"pool\","
                 "\"hold_max_ms\":6000,\"drain_ms\":2000}",
                 i, c->store.address, metrics, w->reports, w->address));
}

static gboolean
is_past (gpointer data)
{
  *(gboolean *)data = TRUE;
  return G_SOURCE_REMOVE;
}

void
rv_pass (int64_t ms)
{
  gboolean past = FALSE;

  g_timeout_add ((guint)ms, is_past, &past);
  while (!past)
    g_main_context_iteration (NULL, TRUE);
}

/* Clients */

struct response
{
  gboolean arrived;
  GBytes *bytes;
};

static void
on_response (GObject *source, GAsyncResult *result, gpointer user)
{
  struct response *r = user;

  r->bytes = soup_session_send_and_read_finish (SOUP_SESSION (source), result,
                                                NULL);
  r->arrived = TRUE;
}

unsigned
rv_call (struct rv_cluster *c, unsigned entry, const char *method,
         const char *host, const char *path, const char *body, char **reply)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s%s", c->nodes[entry].clients, path);
  g_autoptr (SoupSession) session = soup_session_new_with_options (
      "proxy-resolver", NULL, "timeout", CALL_LIMIT_MS / 1000, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new (method, url);
  g_autofree char *text = NULL;
  struct response r = { 0 };
  unsigned status;

  soup_message_headers_replace (soup_message_get_request_headers (msg), "Host",
                                host);
  soup_message_headers_replace (soup_message_get_request_headers (msg),
                                "Deadline-Ms", "3000");
  if (body)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (msg, "application/json",
                                                bytes);
    }
  soup_session_send_and_read_async (session, msg, G_PRIORITY_DEFAULT, NULL,
                                    on_response, &r);
  while (!r.arrived)
    g_main_context_iteration (NULL, TRUE);
  status = r.bytes ? soup_message_get_status (msg) : 0;
  text = r.bytes ? g_strndup (g_bytes_get_data (r.bytes, NULL),
                              g_bytes_get_size (r.bytes))
                 : g_strdup ("");
  g_clear_pointer (&r.bytes, g_bytes_unref);
  rv_note (c, "client %s %s%s at %s: %u %s", method, host, path,
           c->nodes[entry].name, status, text);
  if (reply)
    *reply = g_steal_pointer (&text);
  return status;
}

/* Start and stop */

static gboolean
on_case_limit (gpointer data)
{
  struct rv_cluster *c = data;

  rv_note (c, "the case takes too long");
  rv_stop (c);
  exit (2);
}

static gboolean
config_is_in_force (struct rv_cluster *c)
{
  int64_t until = hk_clock_ms () + READY_LIMIT_MS;

  for (unsigned i = 0; i < c->n_entries; i++)
    while (rv_call (c, i, "GET", "h.example", "/q/", NULL, NULL) != 200)
      {
        if (hk_clock_ms () > until)
          return FALSE;
        rv_pass (200);
      }
  return TRUE;
}

static void
record_open (struct rv_cluster *c)
{
  c->trouble = g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
  c->started_ms = hk_clock_ms ();
  c->dir = g_dir_make_tmp ("hyssopkeel-review-XXXXXX", NULL);
  c->record
      = fopen (g_getenv ("RECORD") ? g_getenv ("RECORD") : "/dev/null", "w");
  if (!c->record || !c->dir)
    exit (2);
  signal (SIGPIPE, SIG_IGN);
  rv_note (c, "trouble=%d", c->trouble);
  if (g_getenv ("HK_KEEP"))
    g_print ("logs: %s\n", c->dir);
}

void
rv_start (struct rv_cluster *c, unsigned n_entries, unsigned n_workers,
          const char *config)
{
  record_open (c);
  rv_store_start (&c->store);
  rv_store_put (&c->store, "op/config", config);
  c->n_entries = n_entries;
  c->n_workers = n_workers;
  c->nodes = g_new0 (struct rv_node, n_entries + n_workers);
  if (!c->workers)
    c->workers = g_new0 (struct rv_worker, n_workers);
  for (unsigned i = 0; i < n_workers; i++)
    worker_init (c, i);
  for (unsigned i = 0; i < n_entries; i++)
    entry_init (c, i);
  for (unsigned i = 0; i < n_workers; i++)
    agent_init (c, i);
  c->timer = g_timeout_add (TICK_MS, on_tick, c);
  g_timeout_add (CASE_LIMIT_MS, on_case_limit, c);
  if (!config_is_in_force (c))
    {
      rv_note (c, "the entries are not ready");
      rv_stop (c);
      exit (2);
    }
  rv_pass (2 * RV_HEARTBEAT_MS);
}

void
rv_node_kill (struct rv_node *n)
{
  if (!n->pid)
    return;
  kill (n->pid, SIGKILL);
  waitpid (n->pid, NULL, 0);
  n->pid = 0;
}

static void
remove_files (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const char *name;

  while (dir && (name = g_dir_read_name (dir)))
    {
      g_autofree char *file = g_build_filename (path, name, NULL);

      (void)remove (file);
    }
  if (dir)
    g_dir_close (dir);
  (void)remove (path);
}

void
rv_stop (struct rv_cluster *c)
{
  for (unsigned i = 0; i < c->n_entries + c->n_workers; i++)
    rv_node_kill (&c->nodes[i]);
  rv_store_stop (&c->store);
  g_source_remove (c->timer);
  for (unsigned i = 0; i < c->n_workers; i++)
    if (c->workers[i].born_ms)
      hk_http_listener_stop (c->workers[i].server);
  rv_note (c, "starts=%u done=%u failed=%u", c->starts, c->ends_done,
           c->ends_failed);
  fclose (c->record);
  if (!g_getenv ("HK_KEEP"))
    remove_files (c->dir);
}

#include "standin.h"

#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define SERVICE "pool1"
#define HOST "shop.example"
#define PREFIX "/jobs/"
#define STORE_PORT 8169
#define APP_PORT 8360
#define CLIENT_PORT 8161
#define READY_PORT 8167
#define CONTROL_PORT 8166
#define RPC_PORT 7720
#define BEAT_MS 1100
#define HOLD_MAX_MS 6000
#define CHECKPOINT_MS 1000
#define RACK_WORKERS 3
#define FIRST_CLOCK_MS 400000
#define RANGE_ITEMS_MAX 500
/* Pause before the platform starts a process again that ended by itself. */
#define RESTART_MS 500
/* A case gives up before the limit of 120 s. */
#define CASE_MAX_S 112

struct deployment D;

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
record (const char *format, ...)
{
  va_list ap;
  g_autofree char *text = NULL;

  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  if (D.record)
    {
      fprintf (D.record, "%8.3f %s\n", (double)(now_ms () - D.zero_ms) / 1000,
               text);
      fflush (D.record);
    }
}

void
cannot_run (const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  vfprintf (stderr, format, ap);
  va_end (ap);
  fputc ('\n', stderr);
  deployment_stop ();
  exit (2);
}

gboolean
trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

/* JSON over HTTP */

static void
respond (SoupServerMessage *msg, int status, json_object *body)
{
  const char *text
      = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);

  soup_server_message_set_status (msg, (guint)status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
  json_object_put (body);
}

static json_object *
request_body (SoupServerMessage *msg)
{
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  gsize len = 0;
  const char *data = g_bytes_get_data (bytes, &len);
  g_autofree char *text = g_strndup (data ? data : "", len);

  return json_tokener_parse (text);
}

static const char *
get_str (json_object *o, const char *name)
{
  json_object *v = NULL;

  return json_object_object_get_ex (o, name, &v) ? json_object_get_string (v)
                                                 : "";
}

static int64_t
get_int (json_object *o, const char *name)
{
  json_object *v = NULL;

  return json_object_object_get_ex (o, name, &v) ? json_object_get_int64 (v)
                                                 : 0;
}

static void
listen_on (SoupServer *server, const char *ip, int port)
{
  g_autoptr (GSocketAddress) a
      = g_inet_socket_address_new_from_string (ip, (guint)port);
  g_autoptr (GError) err = NULL;

  if (!soup_server_listen (server, a, 0, &err))
    cannot_run ("cannot listen on %s:%d: %s", ip, port, err->message);
}

/* The platform's store */

struct watch
{
  SoupServerMessage *msg;
  char *prefix;
  int64_t after;
  guint timer;
};

static json_object *
item_json (const struct store_item *i)
{
  json_object *o = json_object_new_object ();

  json_object_object_add (o, "key", json_object_new_string (i->key));
  json_object_object_add (o, "revision", json_object_new_int64 (i->revision));
  if (i->value)
    {
      json_object_object_add (o, "value", json_object_new_string (i->value));
      json_object_object_add (o, "lease", json_object_new_int64 (0));
    }
  else
    json_object_object_add (o, "deleted", json_object_new_boolean (TRUE));
  return o;
}

static void
store_write (const char *key, const char *value)
{
  struct store_item *item = g_new0 (struct store_item, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = D.store.revision;
  g_ptr_array_add (D.store.log, item);
  if (value)
    g_tree_replace (D.store.items, item->key, item);
  else
    g_tree_remove (D.store.items, key);
}

static gboolean
watch_answer (struct watch *w, gboolean even_if_empty)
{
  json_object *events = json_object_new_array ();
  json_object *body;

  for (guint i = 0; i < D.store.log->len; i++)
    {
      const struct store_item *item = D.store.log->pdata[i];

      if (item->revision > w->after && g_str_has_prefix (item->key, w->prefix))
        json_object_array_add (events, item_json (item));
    }
  if (json_object_array_length (events) == 0 && !even_if_empty)
    {
      json_object_put (events);
      return FALSE;
    }
  body = json_object_new_object ();
  json_object_object_add (body, "events", events);
  json_object_object_add (body, "at",
                          json_object_new_int64 (D.store.revision));
  D.store.watches = g_list_remove (D.store.watches, w);
  if (w->timer)
    g_source_remove (w->timer);
  respond (w->msg, 200, body);
  soup_server_message_unpause (w->msg);
  g_object_unref (w->msg);
  g_free (w->prefix);
  g_free (w);
  return TRUE;
}

static gboolean
on_watch_timeout (gpointer data)
{
  ((struct watch *)data)->timer = 0;
  watch_answer (data, TRUE);
  return G_SOURCE_REMOVE;
}

static void
watches_answer (void)
{
  GList *next;

  for (GList *l = D.store.watches; l; l = next)
    {
      next = l->next;
      watch_answer (l->data, FALSE);
    }
}

struct range
{
  json_object *list;
  const char *prefix;
  const char *after;
  int n;
};

static gboolean
range_visit (gpointer key, gpointer value, gpointer data)
{
  struct range *r = data;

  if (!g_str_has_prefix (key, r->prefix)
      || (r->after && strcmp (key, r->after) <= 0))
    return FALSE;
  if (r->n++ == RANGE_ITEMS_MAX)
    return TRUE;
  json_object_array_add (r->list, item_json (value));
  return FALSE;
}

static json_object *
store_txn (json_object *body, int *status)
{
  json_object *rows = NULL;
  json_object *items = json_object_new_array ();
  json_object *reply = json_object_new_object ();

  *status = 200;
  json_object_object_get_ex (body, "expectedRev", &rows);
  for (size_t i = 0; rows && i < json_object_array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      const struct store_item *item
          = g_tree_lookup (D.store.items, get_str (row, "key"));

      if ((item ? item->revision : 0) != get_int (row, "revision"))
        *status = 412;
      if (item)
        json_object_array_add (items, item_json (item));
    }
  if (*status == 412)
    {
      json_object_object_add (reply, "items", items);
      return reply;
    }
  json_object_put (items);
  D.store.revision++;
  json_object_object_get_ex (body, "writes", &rows);
  for (size_t i = 0; rows && i < json_object_array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);

      store_write (get_str (row, "key"), get_str (row, "value"));
    }
  rows = NULL;
  json_object_object_get_ex (body, "remove", &rows);
  for (size_t i = 0; rows && i < json_object_array_length (rows); i++)
    store_write (json_object_get_string (json_object_array_get_idx (rows, i)),
                 NULL);
  watches_answer ();
  json_object_object_add (reply, "revision",
                          json_object_new_int64 (D.store.revision));
  return reply;
}

static void
on_store_request (SoupServer *server, SoupServerMessage *msg, const char *path,
                  GHashTable *query, gpointer user)
{
  json_object *reply = NULL;
  int status = 200;

  (void)server;
  (void)user;
  if (D.store.down)
    {
      respond (msg, 503, json_object_new_object ());
      return;
    }
  if (strcmp (path, "/api/kv-watch") == 0)
    {
      struct watch *w = g_new0 (struct watch, 1);

      w->msg = g_object_ref (msg);
      w->prefix = g_strdup (g_hash_table_lookup (query, "prefix"));
      w->after = atoll (g_hash_table_lookup (query, "after"));
      w->timer
          = g_timeout_add ((guint)atoi (g_hash_table_lookup (query, "waitMs")),
                           on_watch_timeout, w);
      D.store.watches = g_list_prepend (D.store.watches, w);
      soup_server_message_pause (msg);
      watch_answer (w, FALSE);
      return;
    }
  if (strcmp (path, "/api/kv-key") == 0)
    {
      const struct store_item *item
          = g_tree_lookup (D.store.items, g_hash_table_lookup (query, "key"));

      status = item ? 200 : 404;
      reply = item ? item_json (item) : json_object_new_object ();
      json_object_object_add (reply, "at",
                              json_object_new_int64 (D.store.revision));
    }
  else if (strcmp (path, "/api/kv-range") == 0)
    {
      struct range r = { .list = json_object_new_array (),
                         .prefix = g_hash_table_lookup (query, "prefix"),
                         .after = g_hash_table_lookup (query, "after") };

      g_tree_foreach (D.store.items, range_visit, &r);
      reply = json_object_new_object ();
      json_object_object_add (reply, "items", r.list);
      json_object_object_add (reply, "hasMore",
                              json_object_new_boolean (r.n > RANGE_ITEMS_MAX));
      json_object_object_add (reply, "at",
                              json_object_new_int64 (D.store.revision));
    }
  else if (strcmp (path, "/api/kv-txn") == 0)
    {
      json_object *body = request_body (msg);

      reply = store_txn (body, &status);
      json_object_put (body);
    }
  else
    {
      status = 404;
      reply = json_object_new_object ();
    }
  respond (msg, status, reply);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

static void
store_start (void)
{
  g_autofree char *ip = g_strdup_printf ("%s.1", D.net);
  g_autofree char *coded = NULL;
  const char *config
      = "{\"version\":3,\"routes\":[{\"name\":\"q1\",\"host\":\"" HOST
        "\",\"prefix\":\"" PREFIX "\",\"service\":\"" SERVICE
        "\",\"priority\":1,\"maxAttempts\":8,\"stretchFactor\":2.0,"
        "\"targetCompletionMs\":1000}],\"services\":[{\"name\":\"" SERVICE
        "\",\"enforcesCapacity\":false}],\"limits\":{}}";

  snprintf (D.store.address, sizeof D.store.address, "%s:%d", ip, STORE_PORT);
  D.store.items = g_tree_new_full (compare_keys, NULL, NULL, NULL);
  D.store.log = g_ptr_array_new ();
  D.store.revision = 7;
  coded = g_base64_encode ((const guchar *)config, strlen (config));
  store_write ("op/config", coded);
  D.store.server = soup_server_new (NULL, NULL);
  soup_server_add_handler (D.store.server, NULL, on_store_request, NULL, NULL);
  listen_on (D.store.server, ip, STORE_PORT);
}

/* Workers */

static int64_t
worker_clock (const struct worker *w)
{
  return now_ms () - w->clock_zero_ms;
}

/* Work of a task in milliseconds: the number after "work=" in the spec. After
   "lasts=", the time until a task that lasts is at work. */
static int64_t
work_of (const char *spec)
{
  const char *at = strstr (spec, "work=");

  if (strstr (spec, "lasts="))
    return G_MAXINT32;
  return at ? atoll (at + 5) : 500;
}

static void
run_end (struct worker *w, struct run *run, const char *how)
{
  run->seq = ++w->last_end;
  run->how = how;
  run->ended_ms = now_ms ();
  record ("%s: end %s run %" PRId64 " %s (number %" PRId64 ")", w->id,
          run->task, run->number, how, run->seq);
}

static int
percent_of (const struct run *run)
{
  const char *lasts = strstr (run->spec, "lasts=");
  int64_t whole
      = lasts ? atoll (lasts + 6) : MAX (run->due_ms - run->started_ms, 1);

  return (int)MIN (lasts ? 100 : 99,
                   100 * (now_ms () - run->started_ms) / MAX (whole, 1));
}

static void
checkpoint_make (const struct worker *w, struct run *run)
{
  int64_t n = (now_ms () - run->started_ms) / CHECKPOINT_MS;

  if (w->checkpoint_bytes == 0 || n == 0)
    return;
  g_free (run->checkpoint);
  run->checkpoint = g_strdup_printf ("%0*" PRId64, w->checkpoint_bytes, n);
}

static void
runs_update (struct worker *w)
{
  gboolean lapsed = worker_clock (w) > w->lease_until_ms;

  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (run->seq || run->rejected)
        continue;
      checkpoint_make (w, run);
      if (now_ms () >= run->due_ms)
        run_end (w, run, "done");
      else if (lapsed)
        run_end (w, run, "lapsed");
    }
}

static void
answer (struct worker *w, SoupServerMessage *msg, const char *reason,
        gboolean lists)
{
  json_object *body = json_object_new_object ();

  json_object_object_add (body, "clockMs",
                          json_object_new_int64 (worker_clock (w)));
  json_object_object_add (body, "born", json_object_new_int64 (w->born_ms));
  if (reason)
    json_object_object_add (body, "reason", json_object_new_string (reason));
  if (lists)
    {
      json_object *running = json_object_new_array ();
      json_object *finished = json_object_new_array ();

      for (int64_t seq = w->acked + 1; seq <= w->last_end; seq++)
        for (guint i = 0; i < w->runs->len; i++)
          {
            const struct run *run = w->runs->pdata[i];
            json_object *row;

            if (run->seq != seq)
              continue;
            row = json_object_new_array ();
            json_object_array_add (row, json_object_new_int64 (seq));
            json_object_array_add (row, json_object_new_string (run->task));
            json_object_array_add (row, json_object_new_int64 (run->number));
            json_object_array_add (row, json_object_new_string (run->how));
            json_object_array_add (row,
                                   json_object_new_string (run->checkpoint));
            json_object_array_add (finished, row);
          }
      for (guint i = 0; i < w->runs->len; i++)
        {
          const struct run *run = w->runs->pdata[i];
          json_object *row;

          if (run->seq || run->rejected)
            continue;
          row = json_object_new_array ();
          json_object_array_add (row, json_object_new_string (run->task));
          json_object_array_add (row, json_object_new_int64 (run->number));
          json_object_array_add (row,
                                 json_object_new_string (run->checkpoint));
          json_object_array_add (row, json_object_new_int (percent_of (run)));
          json_object_array_add (row, json_object_new_int (1000));
          json_object_array_add (running, row);
        }
      json_object_object_add (body, "running", running);
      json_object_object_add (body, "finished", finished);
    }
  respond (msg, reason ? 409 : 200, body);
}

static struct run *
run_find (struct worker *w, const char *task, int64_t number)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (run->number == number && strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

static struct run *
run_new (struct worker *w, const char *task, int64_t number, const char *spec)
{
  struct run *run = g_new0 (struct run, 1);

  run->task = g_strdup (task);
  run->number = number;
  run->spec = g_strdup (spec);
  run->checkpoint = g_strdup ("");
  run->started_ms = now_ms ();
  run->due_ms = run->started_ms + work_of (spec);
  g_ptr_array_add (w->runs, run);
  return run;
}

static void
lease_extend (struct worker *w, int64_t deadline)
{
  if (deadline > 0)
    w->lease_until_ms = MAX (w->lease_until_ms,
                             MIN (deadline, worker_clock (w) + HOLD_MAX_MS));
}

static const char *
start (struct worker *w, json_object *body)
{
  const char *task = get_str (body, "task");
  int64_t number = get_int (body, "runId");
  struct run *run = run_find (w, task, number);

  if (worker_clock (w) > get_int (body, "deadlineMs"))
    return "late";
  if (run && !run->seq && !run->rejected)
    return NULL;
  for (guint i = 0; i < w->runs->len; i++)
    {
      run = w->runs->pdata[i];
      if (strcmp (run->task, task) == 0 && run->number >= number
          && (run->seq || run->rejected))
        {
          lease_extend (w, get_int (body, "deadlineMs"));
          return "old";
        }
    }
  lease_extend (w, get_int (body, "deadlineMs"));
  run = run_new (w, task, number, get_str (body, "spec"));
  g_ptr_array_add (D.all_runs, run);
  record ("%s: start %s run %" PRId64, w->id, task, number);
  if (D.on_start)
    D.on_start (w, run);
  return NULL;
}

static void
stop (struct worker *w, json_object *body)
{
  const char *task = get_str (body, "task");
  struct run *run = run_find (w, task, get_int (body, "runId"));

  if (!run)
    {
      run = run_new (w, task, get_int (body, "runId"), "");
      run->rejected = TRUE;
    }
  else if (!run->seq && !run->rejected)
    run_end (w, run, "stopped");
}

static void
hold (struct worker *w, SoupServerMessage *msg, json_object *body)
{
  lease_extend (w, get_int (body, "deadlineMs"));
  w->acked = MAX (w->acked, MIN (get_int (body, "lastSeen"), w->last_end));
  if (get_int (body, "waitMs") <= 0 || w->last_end > w->acked)
    {
      answer (w, msg, NULL, TRUE);
      return;
    }
  g_object_set_data (G_OBJECT (msg), "due",
                     GINT_TO_POINTER ((int)(now_ms () - D.zero_ms
                                            + get_int (body, "waitMs"))));
  g_ptr_array_add (w->waiting, g_object_ref (msg));
  soup_server_message_pause (msg);
}

struct late_start
{
  struct worker *w;
  json_object *body;
  char *expected;
};

static gboolean
on_late_start (gpointer data)
{
  struct late_start *l = data;

  if (!l->w->up || strcmp (l->expected, l->w->id) != 0)
    record ("%s: a late start finds another worker", l->w->id);
  else
    {
      const char *reason;

      runs_update (l->w);
      reason = start (l->w, l->body);
      record ("%s: a start that was left unanswered is carried out late: %s",
              l->w->id, reason ? reason : "accepted");
    }
  json_object_put (l->body);
  g_free (l->expected);
  g_free (l);
  return G_SOURCE_REMOVE;
}

static void
start_later (struct worker *w, SoupServerMessage *msg, json_object *body,
             const char *expected)
{
  struct late_start *l = g_new0 (struct late_start, 1);

  record ("%s: start %s run %" PRId64 " is left unanswered", w->id,
          get_str (body, "task"), get_int (body, "runId"));
  l->w = w;
  l->body = json_object_get (body);
  l->expected = g_strdup (expected ? expected : w->id);
  g_timeout_add ((guint)w->late_start_ms, on_late_start, l);
  w->late_start_ms = 0;
  soup_server_message_pause (msg);
}

static void
on_worker_request (SoupServer *server, SoupServerMessage *msg,
                   const char *path, GHashTable *query, gpointer user)
{
  struct worker *w = user;
  json_object *body = request_body (msg);
  const char *expected = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Expected-Instance");
  const char *reason;

  (void)server;
  (void)query;
  runs_update (w);
  if (!body)
    respond (msg, 400, json_object_new_object ());
  else if (expected && strcmp (expected, w->id) != 0)
    respond (msg, 421, json_object_new_object ());
  else if (get_int (body, "fencingToken") < w->fence)
    answer (w, msg, "fence", FALSE);
  else
    {
      w->fence = get_int (body, "fencingToken");
      if (strcmp (path, "/api/run-start") == 0 && w->late_start_ms > 0)
        start_later (w, msg, body, expected);
      else if (strcmp (path, "/api/run-start") == 0)
        {
          reason = start (w, body);
          answer (w, msg, reason, FALSE);
        }
      else if (strcmp (path, "/api/run-stop") == 0)
        {
          stop (w, body);
          answer (w, msg, NULL, FALSE);
        }
      else if (strcmp (path, "/api/hold") == 0)
        hold (w, msg, body);
      else
        answer (w, msg, NULL, FALSE);
    }
  json_object_put (body);
}

static void
worker_beat (struct worker *w)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s:%d/api/Instances.Heartbeat/%s", w->ip, CONTROL_PORT, w->id);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"" SERVICE "\",\"address\":\"%s:%d\",\"zone\":\"z1\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"coldLeftMs\":0,"
      "\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-%d\"],\"clockMs\":%" PRId64
      ",\"sequence\":%" PRId64 ",\"born\":%" PRId64 "}",
      w->ip, APP_PORT, w->draining ? "draining" : "ready", w->cpu_milli,
      w->memory_mb, w->rack, worker_clock (w), ++w->sequence, w->born_ms);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_async (D.session, msg, G_PRIORITY_DEFAULT, NULL, NULL,
                           NULL);
}

void
worker_crash (struct worker *w)
{
  if (!w->up)
    return;
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (!run->seq && !run->rejected)
        {
          run->how = "crashed";
          run->ended_ms = now_ms ();
          record ("%s: %s run %" PRId64 " lost with the worker", w->id,
                  run->task, run->number);
        }
    }
  record ("%s: crash", w->id);
  w->up = FALSE;
  g_ptr_array_set_size (w->waiting, 0);
  soup_server_disconnect (w->server);
  g_clear_object (&w->server);
}

void
worker_come_up (struct worker *w, gboolean same_id)
{
  if (w->up)
    return;
  w->lives++;
  if (!same_id || w->lives == 1)
    snprintf (w->id, sizeof w->id, "%s-%d", w->name, w->lives);
  w->born_ms = g_get_real_time () / 1000 + w->time_of_day_ms;
  /* The clock of a later lifetime starts anew. */
  w->clock_zero_ms = now_ms () - (w->lives == 1 ? FIRST_CLOCK_MS : 0);
  w->lease_until_ms = w->fence = w->acked = w->last_end = w->sequence = 0;
  w->runs = g_ptr_array_new ();
  w->waiting = g_ptr_array_new_with_free_func (g_object_unref);
  w->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (w->server, NULL, on_worker_request, w, NULL);
  listen_on (w->server, w->ip, APP_PORT);
  w->up = TRUE;
  w->beat_due_ms = now_ms () + 50;
  record ("%s: up", w->id);
}

static gboolean
on_worker_tick (gpointer data)
{
  struct worker *w = data;
  int now = (int)(now_ms () - D.zero_ms);

  if (!w->up)
    return G_SOURCE_CONTINUE;
  runs_update (w);
  for (guint i = w->waiting->len; i-- > 0;)
    {
      SoupServerMessage *msg = w->waiting->pdata[i];

      if (w->last_end <= w->acked
          && now < GPOINTER_TO_INT (g_object_get_data (G_OBJECT (msg), "due")))
        continue;
      answer (w, msg, NULL, TRUE);
      soup_server_message_unpause (msg);
      g_ptr_array_remove_index_fast (w->waiting, i);
    }
  if (now_ms () >= w->beat_due_ms)
    {
      worker_beat (w);
      w->beat_due_ms = now_ms () + BEAT_MS;
    }
  return G_SOURCE_CONTINUE;
}

struct worker *
worker_of_task (const char *task)
{
  for (int a = 0; a < D.n_agents; a++)
    for (guint i = 0; D.workers[a].up && i < D.workers[a].runs->len; i++)
      {
        const struct run *run = D.workers[a].runs->pdata[i];

        if (!run->seq && !run->rejected && strcmp (run->task, task) == 0)
          return &D.workers[a];
      }
  return NULL;
}

/* Processes */

static char *
render (const char *file, const struct node *n)
{
  g_autofree char *text = NULL;
  GString *out;
  const char *fields[][2] = {
    { "{{nodeName|json}}", g_strdup_printf ("\"%s\"", n->name) },
    { "{{zone|json}}", g_strdup_printf ("\"%s\"", n->zone) },
    { "{{platform.address|json}}",
      g_strdup_printf ("\"%s\"", D.store.address) },
    { "{{ip}}", g_strdup (n->ip) },
    { "{{listen.frontend|json}}",
      g_strdup_printf ("\"%s:%d\"", n->ip, CLIENT_PORT) },
    { "{{listen.readiness|json}}",
      g_strdup_printf ("\"%s:%d\"", n->ip, READY_PORT) },
    { "{{listen.controlPlane|json}}",
      g_strdup_printf ("\"%s:%d\"", n->ip, CONTROL_PORT) },
    { "{{app|json}}", g_strdup_printf ("\"%s:%d\"", n->ip, APP_PORT) },
    { "{{service|json}}", "\"" SERVICE "\"" },
    { "{{internalPorts.0}}", g_strdup_printf ("%d", RPC_PORT) },
    { "{{limits.cpuShare}}", "0.25" },
    { "{{limits.linkMbps}}", "1000.0" },
    { "{{bounds.holdMaxMs}}", g_strdup_printf ("%d", HOLD_MAX_MS) },
    { "{{bounds.drainMs}}", "2000" },
  };

  if (!g_file_get_contents (file, &text, NULL, NULL))
    cannot_run ("cannot read %s", file);
  out = g_string_new (text);
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    g_string_replace (out, fields[i][0], fields[i][1], 0);
  if (strstr (out->str, "{{"))
    cannot_run ("%s has a placeholder that is not known here: %s", file,
                strstr (out->str, "{{"));
  return g_string_free (out, FALSE);
}

static gboolean
on_restart_due (gpointer data)
{
  struct node *n = data;

  if (!n->pid && D.record)
    node_start (n);
  return G_SOURCE_REMOVE;
}

static void
on_child (GPid pid, gint status, gpointer data)
{
  struct node *n = data;

  g_spawn_close_pid (pid);
  if (n->pid != pid)
    return;
  n->pid = 0;
  n->ended_by_itself++;
  n->exit_status = status;
  record ("%s: process ended by itself, %s %d", n->name,
          WIFSIGNALED (status) ? "signal" : "status",
          WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
  g_timeout_add (RESTART_MS, on_restart_due, n);
}

/* The process must not outlive the case. */
static void
child_setup (gpointer user)
{
  (void)user;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static gboolean
on_case_timeout (gpointer user)
{
  (void)user;
  cannot_run ("the case did not end within %d s", CASE_MAX_S);
  return G_SOURCE_REMOVE;
}

void
node_start (struct node *n)
{
  char *argv[] = { (char *)"target/hyssopkeel-node", NULL };
  g_auto (GStrv) env = g_get_environ ();
  g_autofree char *log = g_strdup_printf ("%s/%s.log", D.dir, n->name);
  g_autoptr (GError) err = NULL;
  FILE *f = fopen (log, "a");

  env = g_environ_setenv (env, "HYSSOPKEEL_SETTINGS", n->settings, TRUE);
  if (!f
      || !g_spawn_async_with_fds (NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
                                  child_setup, NULL, &n->pid, -1, fileno (f),
                                  fileno (f), &err))
    cannot_run ("cannot start %s: %s", argv[0], err ? err->message : log);
  fclose (f);
  g_child_watch_add (n->pid, on_child, n);
  record ("%s: process started", n->name);
}

void
node_signal (struct node *n, int sig)
{
  if (!n->pid)
    return;
  record ("%s: signal %d", n->name, sig);
  kill (n->pid, sig);
}

void
node_kill (struct node *n)
{
  GPid pid = n->pid;

  if (!pid)
    return;
  n->pid = 0;
  record ("%s: signal 9", n->name);
  kill (pid, SIGKILL);
}

static void
node_init (struct node *n, int number, gboolean is_entry)
{
  g_autofree char *text = NULL;

  n->is_entry = is_entry;
  snprintf (n->name, sizeof n->name, "%s-%d", is_entry ? "frontend" : "side",
            number);
  snprintf (n->zone, sizeof n->zone, "z%d", 1 + number % 3);
  snprintf (n->ip, sizeof n->ip, "%s.%u", D.net,
            (unsigned char)((is_entry ? 10 : 40) + number));
  snprintf (n->settings, sizeof n->settings, "%s/%s.json", D.dir, n->name);
  text = render (is_entry ? "deploy/entry.json" : "deploy/agent.json", n);
  g_file_set_contents (n->settings, text, -1, NULL);
}

void
deployment_start (int entries, int agents, int cpu_milli)
{
  const char *file = g_getenv ("RECORD");

  signal (SIGPIPE, SIG_IGN);
  memset (&D, 0, sizeof D);
  D.zero_ms = now_ms ();
  D.record = fopen (file ? file : "record.txt", "w");
  D.n_entries = entries;
  D.n_agents = agents;
  D.all_runs = g_ptr_array_new ();
  snprintf (D.net, sizeof D.net, "127.%d.%d", g_random_int_range (20, 250),
            g_random_int_range (1, 250));
  snprintf (D.dir, sizeof D.dir, "%s/review-XXXXXX", g_get_tmp_dir ());
  if (!mkdtemp (D.dir))
    cannot_run ("cannot make a temporary folder");
  D.session
      = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns",
                                       200, "max-conns-per-host", 50, NULL);
  g_timeout_add_seconds (CASE_MAX_S, on_case_timeout, NULL);
  store_start ();
  for (int i = 0; i < entries; i++)
    node_init (&D.nodes[i], i + 1, TRUE);
  for (int i = 0; i < agents; i++)
    {
      struct node *n = &D.nodes[entries + i];
      struct worker *w = &D.workers[i];

      node_init (n, i + 1, FALSE);
      snprintf (w->name, sizeof w->name, "w%d", i + 1);
      g_strlcpy (w->ip, n->ip, sizeof w->ip);
      w->cpu_milli = cpu_milli;
      w->memory_mb = 64000;
      w->rack = 1 + i / RACK_WORKERS;
      worker_come_up (w, FALSE);
      g_timeout_add (10, on_worker_tick, w);
    }
  for (int i = 0; i < entries + agents; i++)
    node_start (&D.nodes[i]);
  run_for (6000);
}

void
deployment_stop (void)
{
  int n = D.n_entries + D.n_agents;

  for (int i = 0; i < n; i++)
    if (D.nodes[i].pid)
      {
        GPid pid = D.nodes[i].pid;

        D.nodes[i].pid = 0;
        kill (pid, SIGKILL);
        waitpid (pid, NULL, 0);
      }
  if (D.record)
    fclose (D.record);
  D.record = NULL;
  if (D.dir[0] && !g_getenv ("KEEP"))
    {
      for (int i = 0; i < n; i++)
        {
          g_autofree char *log
              = g_strdup_printf ("%s/%s.log", D.dir, D.nodes[i].name);

          unlink (log);
          unlink (D.nodes[i].settings);
        }
      rmdir (D.dir);
    }
  else if (D.dir[0])
    fprintf (stderr, "logs are in %s\n", D.dir);
}

int
leader_number (void)
{
  const struct store_item *item
      = g_tree_lookup (D.store.items, "hyssopkeel/lead");
  gsize len = 0;
  g_autofree guchar *raw = item ? g_base64_decode (item->value, &len) : NULL;
  g_autofree char *text = g_strndup (raw ? (char *)raw : "", len);

  for (int i = 0; i < D.n_entries; i++)
    {
      g_autofree char *name = g_strdup_printf ("\"%s\"", D.nodes[i].name);

      if (strstr (text, name))
        return i;
    }
  cannot_run ("no entry leads");
  return -1;
}

void
run_for (int64_t ms)
{
  int64_t until = now_ms () + ms;

  while (now_ms () < until)
    {
      while (g_main_context_iteration (NULL, FALSE))
        ;
      g_usleep (1000);
    }
}

/* Clients */

struct client_call
{
  gboolean done;
  int status;
  json_object *reply;
};

static void
on_client_reply (GObject *source, GAsyncResult *res, gpointer user)
{
  struct client_call *c = user;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, NULL);
  SoupMessage *msg
      = soup_session_get_async_result_message (SOUP_SESSION (source), res);

  c->done = TRUE;
  if (!bytes)
    return;
  c->status = (int)soup_message_get_status (msg);
  if (g_bytes_get_size (bytes) > 0)
    {
      gsize len;
      const char *data = g_bytes_get_data (bytes, &len);
      g_autofree char *text = g_strndup (data, len);

      c->reply = json_tokener_parse (text);
    }
}

int
call (struct node *entry, const char *method, const char *path,
      const char *body, int timeout_ms, json_object **reply)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s:%d%s", entry->ip, CLIENT_PORT, path);
  g_autofree char *limit = g_strdup_printf ("%d", timeout_ms);
  SoupMessage *msg = soup_message_new (method, url);
  g_autoptr (GCancellable) cancel = g_cancellable_new ();
  struct client_call c = { 0 };
  int64_t until = now_ms () + timeout_ms;
  SoupMessageHeaders *headers = soup_message_get_request_headers (msg);

  soup_message_headers_replace (headers, "Host", HOST);
  soup_message_headers_replace (headers, "Deadline-Ms", limit);
  soup_message_add_flags (msg, SOUP_MESSAGE_NEW_CONNECTION);
  if (body)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (msg, "application/json",
                                                bytes);
    }
  soup_session_send_and_read_async (D.session, msg, G_PRIORITY_DEFAULT, cancel,
                                    on_client_reply, &c);
  while (!c.done)
    {
      run_for (2);
      if (now_ms () > until)
        g_cancellable_cancel (cancel);
    }
  g_object_unref (msg);
  if (reply)
    *reply = c.reply;
  else
    json_object_put (c.reply);
  return c.status;
}

int
submit (const char *id, const char *body, int patience_ms)
{
  g_autofree char *path = g_strconcat (PREFIX, id, NULL);
  int64_t until = now_ms () + patience_ms;
  int status = 0;

  for (int i = 0; now_ms () < until; i++)
    {
      struct node *entry = &D.nodes[i % D.n_entries];

      status = call (entry, "POST", path, body, 3000, NULL);
      record ("client: POST %s at %s: %d", id, entry->name, status);
      if (status / 100 == 2)
        return status;
      run_for (300);
    }
  return status;
}

const char *
state_of (const char *id)
{
  g_autofree char *path = g_strconcat (PREFIX, id, NULL);
  static char text[32];

  text[0] = 0;
  for (int i = 0; i < 2 * D.n_entries && !text[0]; i++)
    {
      json_object *reply = NULL;
      struct node *entry = &D.nodes[i % D.n_entries];
      int status = call (entry, "GET", path, NULL, 3000, &reply);

      if (status == 200 && reply)
        g_strlcpy (text, get_str (reply, "state"), sizeof text);
      else if (status == 410)
        g_strlcpy (text, "gone", sizeof text);
      json_object_put (reply);
    }
  record ("client: GET %s: %s", id, text);
  return text;
}

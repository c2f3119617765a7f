/* Stand-in for a worker of the platform. A task works for as many milliseconds
   as its spec says, or until it is stopped if that is "lasting". */
#include "worker-3.h"

#include <string.h>

#include "../platform/http_server.h"
#include "hyssopkeel/clock.h"

#define TICK_MS 10
#define REPORT_INTERVAL_MS 1000
#define LEASE_MAX_MS 10000
#define MEMORY_MB 256000
#define CLOCK_START_MS 400000
#define LASTING "lasting"
/* A stop takes this long; the site allows 900 ms. */
#define STOP_MS 100

struct run
{
  char *task;
  int64_t number;
  int64_t started_ms;
  int64_t due_ms; /* 0 if it lasts */
  int64_t stop_at_ms;
  int64_t seq; /* number of its end, or 0 */
  const char *how;
  int64_t percent;
};

/* A call to hold that waits. */
struct waiting
{
  SoupServerMessage *msg;
  int64_t until_ms;
};

static int64_t
clock_of (const struct worker3 *w)
{
  return hk_clock_ms () + w->clock_offset_ms;
}

static void
run_free (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
event (struct worker3 *w, const char *name, const struct run *run,
       const char *detail)
{
  if (w->on_event)
    w->on_event (w, name, run->task, run->number, detail, w->user);
}

static void
run_end (struct worker3 *w, struct run *run, const char *how)
{
  run->seq = ++w->last_end;
  run->how = how;
  event (w, "end", run, how);
}

static void
runs_update (struct worker3 *w)
{
  int64_t now = hk_clock_ms ();
  gboolean lapsed = clock_of (w) > w->lease_ms;

  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (run->seq > 0)
        continue;
      if (lapsed)
        run_end (w, run, "lapsed");
      else if (run->stop_at_ms && now >= run->stop_at_ms)
        run_end (w, run, "stopped");
      else if (run->due_ms && now >= run->due_ms)
        run_end (w, run, "done");
    }
}

static json_object *
reply_new (const struct worker3 *w)
{
  json_object *body = json_object_new_object ();

  json_object_object_add (body, "clockMs",
                          json_object_new_int64 (clock_of (w)));
  json_object_object_add (body, "born", json_object_new_int64 (w->born_ms));
  return body;
}

static int64_t
run_percent (const struct run *run)
{
  int64_t now = hk_clock_ms ();

  if (!run->due_ms)
    return now - run->started_ms > 500 ? 100 : 0;
  return MIN (99, 100 * (now - run->started_ms)
                      / MAX (run->due_ms - run->started_ms, 1));
}

static json_object *
list_new (const struct worker3 *w)
{
  json_object *body = reply_new (w);
  json_object *running = json_object_new_array ();
  json_object *finished = json_object_new_array ();

  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];
      json_object *row = json_object_new_array ();

      if (run->seq > 0)
        json_object_array_add (row, json_object_new_int64 (run->seq));
      json_object_array_add (row, json_object_new_string (run->task));
      json_object_array_add (row, json_object_new_int64 (run->number));
      json_object_array_add (
          row, json_object_new_string (run->seq > 0 ? run->how : ""));
      if (run->seq > 0)
        json_object_array_add (row, json_object_new_string (""));
      else
        {
          json_object_array_add (row,
                                 json_object_new_int64 (run_percent (run)));
          json_object_array_add (row, json_object_new_int64 (1));
        }
      json_object_array_add (run->seq > 0 ? finished : running, row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  return body;
}

static void
refuse (struct worker3 *w, SoupServerMessage *msg, const char *reason)
{
  json_object *body = reply_new (w);

  json_object_object_add (body, "reason", json_object_new_string (reason));
  http_respond_json (msg, 409, body);
}

/* Returns FALSE for a stale caller, after the answer. */
static gboolean
fence_check (struct worker3 *w, SoupServerMessage *msg, json_object *body)
{
  int64_t fence = hk_json_int (body, "fencingToken");

  if (fence < w->fence)
    {
      refuse (w, msg, "fence");
      return FALSE;
    }
  w->fence = fence;
  return TRUE;
}

static void
lease_extend (struct worker3 *w, json_object *body)
{
  int64_t deadline = hk_json_int (body, "deadlineMs");

  w->lease_ms = MAX (w->lease_ms, MIN (deadline, clock_of (w) + LEASE_MAX_MS));
}

static struct run *
run_find (const struct worker3 *w, const char *task, int64_t number)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (strcmp (run->task, task) == 0 && run->number >= number)
        return run;
    }
  return NULL;
}

static void
on_start (struct worker3 *w, SoupServerMessage *msg, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  const char *spec = hk_json_str (body, "spec");
  struct run *run = g_new0 (struct run, 1);
  const struct run *known;

  run->task = g_strdup (task);
  run->number = hk_json_int (body, "runId");
  known = run_find (w, task, run->number);
  if (w->unhealthy)
    {
      event (w, "reject", run, "503");
      http_respond_json (msg, 503, reply_new (w));
    }
  else if (clock_of (w) > hk_json_int (body, "deadlineMs"))
    refuse (w, msg, "late");
  else if (known && (known->seq > 0 || known->number > run->number))
    refuse (w, msg, "old");
  else if (known)
    http_respond_json (msg, 200, reply_new (w));
  else
    {
      lease_extend (w, body);
      run->started_ms = hk_clock_ms ();
      if (strcmp (spec, LASTING) != 0)
        run->due_ms = run->started_ms + g_ascii_strtoll (spec, NULL, 10);
      g_ptr_array_add (w->runs, run);
      w->n_started++;
      event (w, "start", run, "");
      http_respond_json (msg, 200, reply_new (w));
      return;
    }
  run_free (run);
}

static void
on_stop (struct worker3 *w, SoupServerMessage *msg, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  int64_t number = hk_json_int (body, "runId");
  struct run *run = run_find (w, task, number);

  if (!run)
    {
      /* Its start is refused from now on. */
      run = g_new0 (struct run, 1);
      run->task = g_strdup (task);
      run->number = number;
      run_end (w, run, "stopped");
      g_ptr_array_add (w->runs, run);
    }
  else if (run->seq == 0 && run->number == number && !run->stop_at_ms)
    run->stop_at_ms = hk_clock_ms () + STOP_MS;
  http_respond_json (msg, 200, reply_new (w));
}

static void
on_hold (struct worker3 *w, SoupServerMessage *msg, json_object *body)
{
  int64_t wait_ms = hk_json_int (body, "waitMs");
  struct waiting *waiting;

  lease_extend (w, body);
  w->last_seen = MAX (w->last_seen, hk_json_int (body, "lastSeen"));
  for (guint i = w->runs->len; i-- > 0;)
    {
      const struct run *run = w->runs->pdata[i];

      if (run->seq > 0 && run->seq <= w->last_seen)
        g_ptr_array_remove_index (w->runs, i);
    }
  if (wait_ms <= 0 || w->last_end > w->last_seen)
    {
      http_respond_json (msg, 200, list_new (w));
      return;
    }
  waiting = g_new0 (struct waiting, 1);
  waiting->msg = g_object_ref (msg);
  waiting->until_ms = hk_clock_ms () + wait_ms;
  g_ptr_array_add (w->waiting, waiting);
  soup_server_message_pause (msg);
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  struct worker3 *w = user;
  struct hk_error err;
  g_autoptr (json_object) body = http_request_json (msg, &err);
  const char *expected = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Expected-Instance");

  (void)server;
  (void)query;
  runs_update (w);
  if (!body)
    http_respond_json (msg, 400, reply_new (w));
  else if (expected && strcmp (expected, w->name) != 0)
    http_respond_json (msg, 421, reply_new (w));
  else if (!fence_check (w, msg, body))
    return;
  else if (strcmp (path, "/api/run-start") == 0)
    on_start (w, msg, body);
  else if (strcmp (path, "/api/run-stop") == 0)
    on_stop (w, msg, body);
  else if (strcmp (path, "/api/hold") == 0)
    on_hold (w, msg, body);
  else
    http_respond_json (msg, 200, reply_new (w));
}

static void
send_report (struct worker3 *w)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s/api/Instances.Heartbeat/%s", w->reports, w->name);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"coldLeftMs\":0,"
      "\"sequence\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
      ",\"clockMs\":%" G_GINT64_FORMAT
      ",\"capacity\":{\"cpu\":%u,\"memMb\":%d,\"gpu\":0},"
      "\"labels\":[\"%s\",\"%s\"]}",
      w->address, w->draining ? "draining" : "ready", ++w->sequence,
      w->born_ms, clock_of (w), w->cpu_milli, MEMORY_MB, w->kind, w->rack);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_async (w->session, msg, G_PRIORITY_DEFAULT, NULL, NULL,
                           NULL);
  w->report_at_ms = hk_clock_ms () + REPORT_INTERVAL_MS;
}

static void
holds_answer (struct worker3 *w)
{
  int64_t now = hk_clock_ms ();

  for (guint i = w->waiting->len; i-- > 0;)
    {
      struct waiting *waiting = w->waiting->pdata[i];

      if (w->last_end <= w->last_seen && now < waiting->until_ms)
        continue;
      http_respond_json (waiting->msg, 200, list_new (w));
      soup_server_message_unpause (waiting->msg);
      g_ptr_array_remove_index_fast (w->waiting, i);
    }
}

static gboolean
on_tick (gpointer data)
{
  struct worker3 *w = data;

  runs_update (w);
  holds_answer (w);
  if (hk_clock_ms () >= w->report_at_ms)
    send_report (w);
  return G_SOURCE_CONTINUE;
}

static void
waiting_free (gpointer data)
{
  struct waiting *waiting = data;

  g_object_unref (waiting->msg);
  g_free (waiting);
}

void
worker3_start (struct worker3 *w)
{
  struct hk_error err;

  w->runs = g_ptr_array_new_with_free_func (run_free);
  w->waiting = g_ptr_array_new_with_free_func (waiting_free);
  w->session = soup_session_new_with_options ("proxy-resolver", NULL,
                                              "timeout", 1, NULL);
  w->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (w->server, NULL, on_request, w, NULL);
  w->born_ms = g_get_real_time () / 1000;
  w->clock_offset_ms = CLOCK_START_MS - hk_clock_ms ();
  g_assert_cmpint (http_listen (w->server, w->address, &err), ==, HK_OK);
  w->timer = g_timeout_add (TICK_MS, on_tick, w);
}

void
worker3_stop (struct worker3 *w)
{
  g_source_remove (w->timer);
  hk_http_listener_stop (w->server);
  g_object_unref (w->server);
  soup_session_abort (w->session);
  g_object_unref (w->session);
  g_ptr_array_unref (w->waiting);
  g_ptr_array_unref (w->runs);
}

unsigned
worker3_running (const struct worker3 *w)
{
  unsigned n = 0;

  for (guint i = 0; i < w->runs->len; i++)
    n += ((const struct run *)w->runs->pdata[i])->seq == 0;
  return n;
}

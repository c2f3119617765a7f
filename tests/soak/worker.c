/* A worker of the soak: runs, leases, ends, reports; and the checks that only
   it can make: one task in one place, within capacity, never after its end. */
#include "worker.h"

#include <string.h>

#include "../../platform/http_listen.h"
#include "../support/jobs.h"
#include "hyssopkeel/clock.h"
#include "store.h"

#define CPU 8000
#define MEMORY 8000
#define TASK_CPU 1000
#define TICK_MS 20
#define REPORT_EVERY 25 /* ticks */

struct run
{
  char *task;
  int64_t number;
  int64_t until_ms;
  gboolean ended;
  gboolean absent; /* stopped before it came */
  gboolean lapsed; /* the lease ended after it, before its end was noted */
  int64_t seq;
  const char *how;
};

void
soak_world_init (struct soak_world *w)
{
  memset (w, 0, sizeof *w);
  w->running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->finished = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->cancelled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
soak_world_finish (struct soak_world *w)
{
  g_hash_table_unref (w->running);
  g_hash_table_unref (w->done);
  g_hash_table_unref (w->finished);
  g_hash_table_unref (w->cancelled);
  g_hash_table_unref (w->refused);
}

void
soak_broken (struct soak_world *w, const char *format, ...)
{
  va_list args;
  g_autofree char *text = NULL;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_print ("VIOLATION at %" G_GINT64_FORMAT ": %s\n", hk_clock_ms (), text);
  w->violations++;
}

static void
free_run (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

static void
end_run (struct soak_worker *w, struct run *run, const char *how)
{
  run->ended = TRUE;
  run->how = how;
  run->seq = ++w->next_end;
  if (strcmp (how, "done") == 0)
    g_hash_table_add (w->world->finished, g_strdup (run->task));
  g_hash_table_remove (w->world->running, run->task);
}

/* What time has done. */
static void
update (struct soak_worker *w)
{
  int64_t now = hk_clock_ms ();

  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (run->ended)
        {
          run->lapsed
              = run->lapsed || (run->seq > w->seen && now > w->lease_ms);
          continue;
        }
      if (now > w->lease_ms)
        end_run (w, run, "lapsed");
      else if (now >= run->until_ms)
        end_run (w, run, "done");
    }
}

static unsigned
alive (const struct soak_worker *w)
{
  unsigned n = 0;

  for (guint i = 0; i < w->runs->len; i++)
    n += !((struct run *)w->runs->pdata[i])->ended;
  return n;
}

static struct run *
find (const struct soak_worker *w, const char *task, int64_t number)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (strcmp (run->task, task) == 0
          && (number == 0 || run->number == number))
        return run;
    }
  return NULL;
}

/* Names have the form JOB.0.STEP.INDEX; step 1 comes after all of step 0. */
static void
check_order (struct soak_worker *w, const char *task, const char *job)
{
  if (strstr (task, ".0.1.") == NULL)
    return;
  for (int i = 0; i < SOAK_FIRST_TASKS; i++)
    {
      g_autofree char *before = g_strdup_printf ("%s.0.0.%d", job, i);

      if (!g_hash_table_contains (w->world->finished, before))
        soak_broken (w->world, "%s begins before %s has ended", task, before);
    }
}

static void
check_start (struct soak_worker *w, const char *task)
{
  const char *where = g_hash_table_lookup (w->world->running, task);
  g_autofree char *job = g_strndup (task, strcspn (task, "."));

  check_order (w, task, job);
  if (g_hash_table_contains (w->world->refused, job))
    soak_broken (w->world, "%s begins on %s though it was refused", task,
                 w->name);

  if (where)
    soak_broken (w->world, "%s begins on %s and still runs on %s", task,
                 w->name, where);
  if (g_hash_table_contains (w->world->done, task))
    soak_broken (w->world, "%s begins on %s after it was done", task, w->name);
  if (g_hash_table_contains (w->world->cancelled, job))
    soak_broken (w->world, "%s begins on %s after its cancel", task, w->name);
  if ((alive (w) + 1) * TASK_CPU > CPU)
    soak_broken (w->world, "%s has %u runs of %u", w->name, alive (w) + 1,
                 CPU / TASK_CPU);
}

/* Returns why it is refused, or NULL. */
static const char *
start (struct soak_worker *w, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  int64_t number = hk_json_int (body, "runId");
  int64_t deadline = hk_json_int (body, "deadlineMs");
  int64_t now = hk_clock_ms ();
  struct run *run;

  if (now > deadline)
    return "late";
  run = find (w, task, number);
  if (run && !run->ended)
    return NULL;
  for (guint i = 0; i < w->runs->len; i++)
    {
      run = w->runs->pdata[i];
      if (strcmp (run->task, task) == 0 && run->ended && run->number >= number)
        return "old";
    }
  w->lease_ms = MAX (w->lease_ms, deadline);
  check_start (w, task);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->number = number;
  run->until_ms = now + w->work_ms;
  g_ptr_array_add (w->runs, run);
  g_hash_table_replace (w->world->running, g_strdup (task), w->name);
  w->world->starts++;
  return NULL;
}

static void
stop (struct soak_worker *w, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  int64_t number = hk_json_int (body, "runId");
  struct run *run = find (w, task, number);

  if (run && !run->ended)
    end_run (w, run, "stopped");
  if (run)
    return;
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->number = number;
  run->ended = run->absent = TRUE;
  run->how = "stopped";
  g_ptr_array_add (w->runs, run);
}

static void
hold (struct soak_worker *w, json_object *body)
{
  w->lease_ms = MAX (w->lease_ms, hk_json_int (body, "deadlineMs"));
  /* One that was meant for an earlier lifetime forgets nothing to come. */
  w->seen = MAX (w->seen, MIN (hk_json_int (body, "lastSeen"), w->next_end));
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];

      /* What lapsed was rightly given away before. */
      if (run->seq > 0 && run->seq <= w->seen && !run->lapsed
          && strcmp (run->how, "done") == 0)
        g_hash_table_add (w->world->done, g_strdup (run->task));
    }
}

static json_object *
list (const struct soak_worker *w)
{
  json_object *body = json_object_new_object ();
  json_object *running = json_object_new_array ();
  json_object *finished = json_object_new_array ();

  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];
      json_object *row = json_object_new_array ();

      if (run->absent || (run->ended && run->seq <= w->seen))
        {
          json_object_put (row);
          continue;
        }
      if (run->ended)
        json_object_array_add (row, json_object_new_int64 (run->seq));
      json_object_array_add (row, json_object_new_string (run->task));
      json_object_array_add (row, json_object_new_int64 (run->number));
      if (run->ended)
        json_object_array_add (row, json_object_new_string (run->how));
      json_object_array_add (row, json_object_new_string (""));
      if (!run->ended)
        json_object_array_add (row, json_object_new_int64 (50));
      json_object_array_add (run->ended ? finished : running, row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  json_object_object_add (body, "born", json_object_new_int64 (w->born_ms));
  return body;
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  struct soak_worker *w = user;
  struct hk_error err;
  g_autoptr (json_object) body = http_body (msg, &err);
  json_object *answer;
  const char *refused = NULL;

  (void)server;
  (void)query;
  g_assert_nonnull (body);
  update (w);
  if (hk_json_int (body, "fencingToken") < w->fence)
    refused = "fence";
  w->fence = MAX (w->fence, hk_json_int (body, "fencingToken"));
  if (!refused && strcmp (path, "/api/run-start") == 0)
    refused = start (w, body);
  else if (!refused && strcmp (path, "/api/run-stop") == 0)
    stop (w, body);
  else if (!refused && strcmp (path, "/api/hold") == 0)
    hold (w, body);
  if (w->mute > 0 && strcmp (path, "/api/hold") != 0)
    {
      w->mute--;
      soup_server_message_pause (msg);
      return;
    }
  answer = list (w);
  json_object_object_add (answer, "clockMs",
                          json_object_new_int64 (hk_clock_ms ()));
  if (refused)
    json_object_object_add (answer, "reason",
                            json_object_new_string (refused));
  http_answer_json (msg, refused ? 409 : 200, answer);
}

static void
report (struct soak_worker *w)
{
  g_autofree char *url = g_strdup_printf ("http://%s/api/Instances.Heartbeat/"
                                          "%s",
                                          w->reports, w->name);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"pool\",\"address\":\"%s\",\"state\":\"ready\","
      "\"sequence\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
      ",\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\"]}",
      w->address, ++w->sequence, w->born_ms, CPU, MEMORY);
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

  update (w);
  if (w->sequence == 0 || g_random_int_range (0, REPORT_EVERY) == 0)
    report (w);
  return G_SOURCE_CONTINUE;
}

void
soak_worker_crash (struct soak_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];

      if (!run->ended)
        g_hash_table_remove (w->world->running, run->task);
    }
  g_ptr_array_set_size (w->runs, 0);
  w->born_ms = g_get_real_time () / 1000;
  w->lease_ms = w->fence = w->seen = w->next_end = w->sequence = 0;
}

void
soak_worker_start (struct soak_worker *w, const char *name,
                   const char *reports, struct soak_world *world)
{
  struct hk_error err;

  memset (w, 0, sizeof *w);
  w->name = g_strdup (name);
  w->reports = g_strdup (reports);
  w->world = world;
  w->address = soak_address ();
  w->work_ms = 300;
  w->born_ms = g_get_real_time () / 1000;
  w->runs = g_ptr_array_new_with_free_func (free_run);
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

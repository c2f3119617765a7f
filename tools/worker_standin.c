/* Stand-in for a worker, the workload's own server on an instance; its API is
   described in docs/WORKER-API.md. The file given by --truth is the ground
   truth of what ran, one line per event. MS is the time of hk_clock_ms(), KEY
   the Idempotency-Key or "-", PROGRESS the milliseconds of work done:
     run_start ID KEY MS
     run_end ID MS
     overcommit MS
     task_start JOB EPOCH MS PROGRESS
     task_stop JOB EPOCH MS STATE PROGRESS
     killed MS

   A crash closes all connections and loses all state but the ground truth; the
   worker is back under a new boot ID after CRASH_DOWN_MS.

   The query of a request sets its behaviour:
     work_ms          service time
     fail             reply with status 500
     size             bytes of the reply; by default it echoes the body
     cut              declare more bytes than are sent
     crash            crash at the end of the service time
   The JSON payload of a task sets its behaviour:
     work_ms          run time without throttling
     fail             fail at the end of the run time
     crash            crash when the task has started
     endless          run until stopped
     result           result of a task that is done
     memory_mb        actual memory use; by default the declared one
     noise            percentage by which it slows requests
     noise_period_ms  apply noise in every second period of this length */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/timer.h"
#include "standin_http.h"

#define TICK_MS 20
#define THROTTLED_PERCENT 30
#define CRASH_DOWN_MS 700
#define CRASHED_ENV "HK_STANDIN_CRASHED"

enum task_state
{
  TASK_RUNNING,
  TASK_SUSPENDED, /* its lease expired; progress is kept */
  TASK_STOPPED,
  TASK_DONE,
  TASK_FAILED
};

static const char *const state_names[]
    = { "running", "suspended", "stopped", "done", "failed" };

struct task
{
  char *id;
  char *result;
  int64_t epoch;
  int64_t expires_ms;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t actual_memory_mb;
  double work_ms;
  double progress_ms;
  int64_t noise_percent;
  int64_t noise_period_ms;
  int64_t throttle_percent;
  gboolean runs_until_stopped;
  gboolean should_fail;
  gboolean should_crash;
  enum task_state state;
  TAILQ_ENTRY (task) link;
};

struct run
{
  char *id;
  char *key;
  char *agent;
  SoupServerMessage *msg;
  int64_t started_ms;
  int64_t cpu_milli;
  int64_t memory_mb;
  gboolean should_fail;
  gboolean should_crash;
  int64_t reply_bytes;
  gboolean truncate_reply;
  gboolean client_disconnected;
  struct hk_timer timer;
  TAILQ_ENTRY (run) link;
};

static struct
{
  char *boot_id;
  char *attached_agent;
  int slots;
  int cpu_milli;
  int memory_mb;
  int accelerators;
  gboolean fail_all;
  TAILQ_HEAD (, task) tasks;
  TAILQ_HEAD (, run) runs;
  GHashTable *highest_epochs; /* job ID to the highest epoch received */
  int64_t overcommits;
  int64_t actual_overcommits;
  int64_t runs_total;
  FILE *ground_truth;
  char **argv;
  struct hk_timer tick_timer;
  int64_t last_tick_ms;
} worker;

static void
log_ground_truth (const char *format, ...)
{
  va_list ap;

  if (!worker.ground_truth)
    return;
  va_start (ap, format);
  vfprintf (worker.ground_truth, format, ap);
  va_end (ap);
  fflush (worker.ground_truth);
}

/* Executes the program again, which closes all sockets. */
static void
crash (void)
{
  log_ground_truth ("killed %" PRId64 "\n", hk_clock_ms ());
  g_setenv (CRASHED_ENV, "1", TRUE);
  execv ("/proc/self/exe", worker.argv);
  _exit (1);
}

/* Declared sizes count as overcommits of the scheduler. Overcommits by actual
   memory use are counted on their own, without a line in the ground truth. */
static void
count_overcommits (void)
{
  int64_t cpu = 0;
  int64_t memory = 0;
  int64_t accelerators = 0;
  int64_t actual_memory = 0;
  int64_t slots = 0;
  const struct task *t;
  const struct run *r;

  TAILQ_FOREACH (t, &worker.tasks, link)
  {
    if (t->state != TASK_RUNNING)
      continue;
    slots++;
    cpu += t->cpu_milli;
    memory += t->memory_mb;
    accelerators += t->accelerators;
    actual_memory += t->actual_memory_mb;
  }
  TAILQ_FOREACH (r, &worker.runs, link)
  {
    slots += r->cpu_milli > 0;
    cpu += r->cpu_milli;
    memory += r->memory_mb;
    actual_memory += r->memory_mb;
  }
  if (cpu > worker.cpu_milli || memory > worker.memory_mb
      || accelerators > worker.accelerators || slots > worker.slots)
    {
      worker.overcommits++;
      log_ground_truth ("overcommit %" PRId64 "\n", hk_clock_ms ());
    }
  if (actual_memory > worker.memory_mb)
    worker.actual_overcommits++;
}

/* Records the end of the lease if that has passed: a worker that was frozen
   did no work after it. */
static void
stop_task (struct task *t, enum task_state state)
{
  if (t->state == TASK_RUNNING)
    log_ground_truth ("task_stop %s %" PRId64 " %" PRId64 " %s %" PRId64 "\n",
                      t->id, t->epoch, MIN (hk_clock_ms (), t->expires_ms),
                      state_names[state], (int64_t)t->progress_ms);
  t->state = state;
}

static void
start_task (struct task *t)
{
  t->state = TASK_RUNNING;
  log_ground_truth ("task_start %s %" PRId64 " %" PRId64 " %" PRId64 "\n",
                    t->id, t->epoch, hk_clock_ms (), (int64_t)t->progress_ms);
  count_overcommits ();
}

static int64_t
current_noise_percent (void)
{
  const struct task *t;
  int64_t now = hk_clock_ms ();
  int64_t sum_percent = 0;

  TAILQ_FOREACH (t, &worker.tasks, link)
  {
    if (t->state != TASK_RUNNING)
      continue;
    if (t->noise_period_ms > 0 && (now / t->noise_period_ms) % 2)
      continue;
    sum_percent += t->noise_percent * t->throttle_percent / 100;
  }
  return sum_percent;
}

static void
advance_task (struct task *t, int64_t now, int64_t elapsed_ms)
{
  if (t->state != TASK_RUNNING)
    return;
  if (now >= t->expires_ms)
    {
      stop_task (t, TASK_SUSPENDED);
      return;
    }
  t->progress_ms += (double)(elapsed_ms * t->throttle_percent) / 100;
  if (!t->runs_until_stopped && t->progress_ms >= t->work_ms)
    stop_task (t, t->should_fail || worker.fail_all ? TASK_FAILED : TASK_DONE);
}

static void
on_tick (void *user)
{
  int64_t now = hk_clock_ms ();
  struct task *t;

  (void)user;
  TAILQ_FOREACH (t, &worker.tasks, link)
  advance_task (t, now, now - worker.last_tick_ms);
  worker.last_tick_ms = now;
  hk_timer_set (&worker.tick_timer, TICK_MS, on_tick, NULL);
}

static struct task *
find_task (const char *id)
{
  struct task *t;

  TAILQ_FOREACH (t, &worker.tasks, link)
  if (strcmp (t->id, id) == 0)
    return t;
  return NULL;
}

static void
add_int (json_object *obj, const char *name, int64_t value)
{
  json_object_object_add (obj, name, json_object_new_int64 (value));
}

static void
add_str (json_object *obj, const char *name, const char *value)
{
  json_object_object_add (obj, name, json_object_new_string (value));
}

static json_object *
encode_task (const struct task *t)
{
  json_object *obj = json_object_new_object ();
  char progress[32];

  g_snprintf (progress, sizeof progress, "%" PRId64, (int64_t)t->progress_ms);
  add_str (obj, "id", t->id);
  add_int (obj, "epoch", t->epoch);
  add_str (obj, "state", state_names[t->state]);
  add_str (obj, "checkpoint", progress);
  add_int (obj, "cpu_milli", t->cpu_milli);
  add_int (obj, "memory_mb", t->memory_mb);
  add_int (obj, "accelerators", t->accelerators);
  add_int (obj, "used_memory_mb", t->actual_memory_mb);
  if (t->state == TASK_DONE)
    add_str (obj, "result", t->result ? t->result : "");
  return obj;
}

static json_object *
encode_tasks (void)
{
  json_object *list = json_object_new_array ();
  const struct task *t;

  TAILQ_FOREACH (t, &worker.tasks, link)
  json_object_array_add (list, encode_task (t));
  return list;
}

/* Lists the requests of earlier agents that are still running. */
static json_object *
encode_earlier_runs (void)
{
  json_object *list = json_object_new_array ();
  const struct run *r;

  TAILQ_FOREACH (r, &worker.runs, link)
  {
    json_object *obj;

    if (g_strcmp0 (r->agent, worker.attached_agent) == 0)
      continue;
    obj = json_object_new_object ();
    add_str (obj, "id", r->id);
    add_int (obj, "cpu_milli", r->cpu_milli);
    add_int (obj, "memory_mb", r->memory_mb);
    json_object_array_add (list, obj);
  }
  return list;
}

static json_object *
encode_worker (void)
{
  json_object *obj = json_object_new_object ();

  add_str (obj, "boot", worker.boot_id);
  add_int (obj, "slots", worker.slots);
  add_int (obj, "cpu_milli", worker.cpu_milli);
  add_int (obj, "memory_mb", worker.memory_mb);
  add_int (obj, "accelerators", worker.accelerators);
  json_object_object_add (obj, "tasks", encode_tasks ());
  json_object_object_add (obj, "requests", encode_earlier_runs ());
  return obj;
}

static void
reply_error (SoupServerMessage *msg, guint status, const char *why)
{
  json_object *obj = json_object_new_object ();

  add_str (obj, "error", why);
  standin_reply (msg, status, obj);
}

/* The reply names the attached agent, if any, so that the refused one can tell
   a takeover from a restart of the worker. */
static void
reply_not_attached (SoupServerMessage *msg)
{
  json_object *obj = json_object_new_object ();

  add_str (obj, "error", "agent is not attached");
  if (worker.attached_agent)
    add_str (obj, "agent", worker.attached_agent);
  soup_message_headers_append (soup_server_message_get_response_headers (msg),
                               "Hyssopkeel-Refused", "agent");
  standin_reply (msg, SOUP_STATUS_CONFLICT, obj);
}

static void
handle_attach (SoupServerMessage *msg, json_object *body)
{
  const char *agent = hk_json_str (body, "agent");

  if (!agent)
    {
      reply_error (msg, SOUP_STATUS_BAD_REQUEST, "agent is missing");
      return;
    }
  g_free (worker.attached_agent);
  worker.attached_agent = g_strdup (agent);
  standin_reply (msg, SOUP_STATUS_OK, encode_worker ());
}

static void
handle_renew (SoupServerMessage *msg, json_object *body)
{
  json_object *list = NULL;
  int64_t expires = hk_json_int (body, "expires_ms");

  json_object_object_get_ex (body, "tasks", &list);
  for (size_t i = 0; list && i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      struct task *t = find_task (hk_json_str (item, "id"));

      if (!t || t->epoch != hk_json_int (item, "epoch")
          || t->state != TASK_RUNNING || t->expires_ms <= hk_clock_ms ())
        continue;
      t->expires_ms = MAX (t->expires_ms, expires);
    }
  standin_reply (msg, SOUP_STATUS_OK, encode_worker ());
}

/* A newer epoch is recorded as the highest. */
static gboolean
epoch_is_stale (const char *id, int64_t epoch)
{
  int64_t *highest = g_hash_table_lookup (worker.highest_epochs, id);

  if (highest && *highest >= epoch)
    return TRUE;
  g_hash_table_replace (worker.highest_epochs, g_strdup (id),
                        g_memdup2 (&epoch, sizeof epoch));
  return FALSE;
}

static void
free_task (struct task *t)
{
  TAILQ_REMOVE (&worker.tasks, t, link);
  g_free (t->id);
  g_free (t->result);
  g_free (t);
}

static void
read_payload (struct task *t, const char *payload)
{
  g_autoptr (json_object) obj = NULL;
  json_object *value = NULL;

  if (payload && *payload)
    hk_json_parse (&obj, payload, strlen (payload), "payload", NULL);
  t->work_ms = (double)hk_json_int (obj, "work_ms");
  t->noise_percent = hk_json_int (obj, "noise");
  t->noise_period_ms = hk_json_int (obj, "noise_period_ms");
  t->result = g_strdup (hk_json_str (obj, "result"));
  t->actual_memory_mb = hk_json_int (obj, "memory_mb");
  if (obj && json_object_object_get_ex (obj, "fail", &value))
    t->should_fail = json_object_get_boolean (value);
  if (obj && json_object_object_get_ex (obj, "crash", &value))
    t->should_crash = json_object_get_boolean (value);
  if (obj && json_object_object_get_ex (obj, "endless", &value))
    t->runs_until_stopped = json_object_get_boolean (value);
  if (t->actual_memory_mb == 0)
    t->actual_memory_mb = t->memory_mb;
}

static void
handle_task_start (SoupServerMessage *msg, json_object *body)
{
  const char *id = hk_json_str (body, "id");
  const char *checkpoint = hk_json_str (body, "checkpoint");
  int64_t epoch = hk_json_int (body, "epoch");
  struct task *t;

  if (!id)
    {
      reply_error (msg, SOUP_STATUS_BAD_REQUEST, "id is missing");
      return;
    }
  if (hk_json_int (body, "expires_ms") <= hk_clock_ms ())
    {
      reply_error (msg, SOUP_STATUS_GONE, "lease is over");
      return;
    }
  if (epoch_is_stale (id, epoch))
    {
      reply_error (msg, SOUP_STATUS_CONFLICT, "epoch is stale");
      return;
    }
  t = find_task (id);
  if (t)
    {
      stop_task (t, TASK_STOPPED);
      free_task (t);
    }
  t = g_new0 (struct task, 1);
  t->id = g_strdup (id);
  t->epoch = epoch;
  t->expires_ms = hk_json_int (body, "expires_ms");
  t->cpu_milli = hk_json_int (body, "cpu_milli");
  t->memory_mb = hk_json_int (body, "memory_mb");
  t->accelerators = hk_json_int (body, "accelerators");
  t->throttle_percent = 100;
  t->progress_ms = checkpoint ? g_ascii_strtod (checkpoint, NULL) : 0;
  read_payload (t, hk_json_str (body, "payload"));
  TAILQ_INSERT_TAIL (&worker.tasks, t, link);
  start_task (t);
  if (t->should_crash)
    crash ();
  standin_reply (msg, SOUP_STATUS_OK, encode_task (t));
}

static void
adopt_task (struct task *t, json_object *body)
{
  int64_t epoch = hk_json_int (body, "new_epoch");

  if (hk_json_int (body, "expires_ms") <= hk_clock_ms ()
      || epoch_is_stale (t->id, epoch))
    return;
  if (t->state == TASK_RUNNING)
    stop_task (t, TASK_SUSPENDED);
  t->epoch = epoch;
  t->expires_ms = hk_json_int (body, "expires_ms");
  if (t->state == TASK_SUSPENDED || t->state == TASK_STOPPED)
    start_task (t);
}

/* Handles POST /tasks/ID/VERB. */
static void
handle_task_call (SoupServerMessage *msg, const char *path, json_object *body)
{
  g_auto (GStrv) parts = g_strsplit (path, "/", 5);
  struct task *t;
  const char *verb;

  if (g_strv_length (parts) != 4)
    {
      reply_error (msg, SOUP_STATUS_NOT_FOUND, "no such call");
      return;
    }
  t = find_task (parts[2]);
  verb = parts[3];
  if (!t)
    {
      reply_error (msg, SOUP_STATUS_NOT_FOUND, "no such task");
      return;
    }
  if (t->epoch != hk_json_int (body, "epoch"))
    {
      reply_error (msg, SOUP_STATUS_CONFLICT, "epoch is stale");
      return;
    }
  if (strcmp (verb, "stop") == 0 && t->state <= TASK_SUSPENDED)
    stop_task (t, TASK_STOPPED);
  else if (strcmp (verb, "throttle") == 0)
    t->throttle_percent = CLAMP (hk_json_int (body, "percent"), 1, 100);
  else if (strcmp (verb, "adopt") == 0)
    adopt_task (t, body);
  else if (strcmp (verb, "forget") == 0)
    {
      stop_task (t, TASK_STOPPED);
      free_task (t);
      standin_reply (msg, SOUP_STATUS_OK, json_object_new_object ());
      return;
    }
  standin_reply (msg, SOUP_STATUS_OK, encode_task (t));
}

static void
free_run (struct run *r)
{
  hk_timer_clear (&r->timer);
  TAILQ_REMOVE (&worker.runs, r, link);
  g_signal_handlers_disconnect_by_data (r->msg, r);
  g_object_unref (r->msg);
  g_free (r->id);
  g_free (r->key);
  g_free (r->agent);
  g_free (r);
}

static void
set_reply_body (struct run *r)
{
  SoupMessageBody *body = soup_server_message_get_request_body (r->msg);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);

  if (r->reply_bytes > 0)
    {
      g_autofree char *padding = g_malloc ((gsize)r->reply_bytes);

      memset (padding, 'x', (gsize)r->reply_bytes);
      soup_server_message_set_response (r->msg, "text/plain", SOUP_MEMORY_COPY,
                                        padding, (gsize)r->reply_bytes);
    }
  else
    soup_server_message_set_response (r->msg, "application/octet-stream",
                                      SOUP_MEMORY_COPY, data, len);
}

static void
shut_down_connection (SoupServerMessage *msg, guint size, gpointer user)
{
  GSocket *socket = soup_server_message_get_socket (msg);

  (void)size;
  (void)user;
  if (socket)
    g_socket_shutdown (socket, TRUE, TRUE, NULL);
}

static void
finish_run (void *user)
{
  struct run *r = user;

  if (r->should_crash)
    crash ();
  log_ground_truth ("run_end %s %" PRId64 "\n", r->id, hk_clock_ms ());
  if (!r->client_disconnected)
    {
      gboolean failed = r->should_fail || worker.fail_all;

      soup_server_message_set_status (
          r->msg, failed ? SOUP_STATUS_INTERNAL_SERVER_ERROR : SOUP_STATUS_OK,
          NULL);
      set_reply_body (r);
      if (r->truncate_reply)
        {
          SoupMessageHeaders *headers
              = soup_server_message_get_response_headers (r->msg);

          soup_message_headers_set_content_length (headers, 1000000);
          g_signal_connect (r->msg, "wrote-body-data",
                            G_CALLBACK (shut_down_connection), NULL);
        }
      soup_server_message_unpause (r->msg);
    }
  free_run (r);
}

/* The run continues without its client, as it does in a real service. */
static void
on_run_disconnected (SoupServerMessage *msg, gpointer user)
{
  struct run *r = user;

  (void)msg;
  r->client_disconnected = TRUE;
}

static int64_t
query_int (GHashTable *query, const char *name, int64_t fallback)
{
  const char *text = query ? g_hash_table_lookup (query, name) : NULL;

  return text ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

static void
on_run (SoupServer *server, SoupServerMessage *msg, const char *path,
        GHashTable *query, gpointer user)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);
  const char *agent
      = soup_message_headers_get_one (headers, "Hyssopkeel-Agent");
  const char *id
      = soup_message_headers_get_one (headers, "Hyssopkeel-Request-Id");
  const char *cpu
      = soup_message_headers_get_one (headers, "Hyssopkeel-Cpu-Milli");
  const char *memory
      = soup_message_headers_get_one (headers, "Hyssopkeel-Memory-Mb");
  int64_t work_ms = query_int (query, "work_ms", 0);
  struct run *r;

  (void)server;
  (void)path;
  (void)user;
  if (agent && g_strcmp0 (agent, worker.attached_agent) != 0)
    {
      reply_not_attached (msg);
      return;
    }
  r = g_new0 (struct run, 1);
  r->msg = g_object_ref (msg);
  r->id = g_strdup (id ? id : "");
  r->key
      = g_strdup (soup_message_headers_get_one (headers, "Idempotency-Key"));
  r->agent = g_strdup (agent);
  r->started_ms = hk_clock_ms ();
  r->cpu_milli = cpu ? g_ascii_strtoll (cpu, NULL, 10) : 0;
  r->memory_mb = memory ? g_ascii_strtoll (memory, NULL, 10) : 0;
  r->should_crash = query_int (query, "crash", 0) != 0;
  r->should_fail = query_int (query, "fail", 0) != 0;
  r->reply_bytes = query_int (query, "size", 0);
  r->truncate_reply = query_int (query, "cut", 0) != 0;
  TAILQ_INSERT_TAIL (&worker.runs, r, link);
  worker.runs_total++;
  log_ground_truth ("run_start %s %s %" PRId64 "\n", r->id,
                    r->key ? r->key : "-", r->started_ms);
  count_overcommits ();
  g_signal_connect (msg, "disconnected", G_CALLBACK (on_run_disconnected), r);
  work_ms = work_ms * (100 + current_noise_percent ()) / 100;
  soup_server_message_pause (msg);
  if (work_ms > 0)
    hk_timer_set (&r->timer, work_ms, finish_run, r);
  else
    finish_run (r);
}

static void
on_control (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  g_autoptr (json_object) body = standin_parse_body (msg);
  const char *agent = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Hyssopkeel-Agent");

  (void)server;
  (void)query;
  (void)user;
  if (!body)
    reply_error (msg, SOUP_STATUS_BAD_REQUEST, "body is not JSON");
  else if (strcmp (path, "/attach") == 0)
    handle_attach (msg, body);
  else if (g_strcmp0 (agent, worker.attached_agent) != 0)
    reply_not_attached (msg);
  else if (strcmp (path, "/renew") == 0)
    handle_renew (msg, body);
  else if (strcmp (path, "/tasks") == 0)
    handle_task_start (msg, body);
  else
    handle_task_call (msg, path, body);
}

static void
on_ground_truth (SoupServer *server, SoupServerMessage *msg, const char *path,
                 GHashTable *query, gpointer user)
{
  json_object *obj = json_object_new_object ();

  (void)server;
  (void)path;
  (void)query;
  (void)user;
  add_str (obj, "boot", worker.boot_id);
  add_int (obj, "runs_total", worker.runs_total);
  add_int (obj, "overcommits", worker.overcommits);
  add_int (obj, "true_overcommits", worker.actual_overcommits);
  standin_reply (msg, SOUP_STATUS_OK, obj);
}

static void
on_fault (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer user)
{
  (void)server;
  (void)path;
  (void)user;
  worker.fail_all = query_int (query, "fail_all", worker.fail_all) != 0;
  worker.slots = (int)query_int (query, "slots", worker.slots);
  worker.memory_mb = (int)query_int (query, "memory_mb", worker.memory_mb);
  standin_reply (msg, SOUP_STATUS_OK, json_object_new_object ());
}

static void
init_worker (void)
{
  worker.boot_id = hk_id_new ("boot");
  worker.highest_epochs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  TAILQ_INIT (&worker.tasks);
  TAILQ_INIT (&worker.runs);
  worker.last_tick_ms = hk_clock_ms ();
  on_tick (NULL);
}

static void
exit_at_once (int signal_number)
{
  (void)signal_number;
  _exit (0);
}

int
main (int argc, char **argv)
{
  g_autofree char *listen = g_strdup ("127.0.0.1:7100");
  g_autofree char *ground_truth_path = NULL;
  GOptionEntry options[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen,
            "Address to listen on", "IP:PORT" },
          { "slots", 0, 0, G_OPTION_ARG_INT, &worker.slots,
            "Limit of requests and tasks that run at once", "N" },
          { "cpu-milli", 0, 0, G_OPTION_ARG_INT, &worker.cpu_milli,
            "CPU capacity in thousandths of a CPU", "N" },
          { "memory-mb", 0, 0, G_OPTION_ARG_INT, &worker.memory_mb,
            "Memory capacity in MB", "N" },
          { "accelerators", 0, 0, G_OPTION_ARG_INT, &worker.accelerators,
            "Accelerators", "N" },
          { "truth", 0, 0, G_OPTION_ARG_FILENAME, &ground_truth_path,
            "Append the ground truth of what ran to FILE", "FILE" },
          { NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- stand-in for a worker");
  g_autoptr (SoupServer) server = NULL;
  g_autoptr (GError) gerr = NULL;

  worker.argv = g_strdupv (argv);
  if (g_getenv (CRASHED_ENV))
    {
      signal (SIGTERM, exit_at_once);
      g_usleep (CRASH_DOWN_MS * 1000);
      signal (SIGTERM, SIG_DFL);
    }
  worker.slots = 8;
  worker.cpu_milli = 64000;
  worker.memory_mb = 250000;
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &gerr))
    {
      g_printerr ("%s\n", gerr->message);
      return 2;
    }
  if (ground_truth_path)
    worker.ground_truth = fopen (ground_truth_path, "a");
  init_worker ();
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, "/run", on_run, NULL, NULL);
  soup_server_add_handler (server, "/truth", on_ground_truth, NULL, NULL);
  soup_server_add_handler (server, "/fault", on_fault, NULL, NULL);
  soup_server_add_handler (server, NULL, on_control, NULL, NULL);
  if (standin_listen (server, listen) < 0)
    return 1;
  standin_run ();
  return 0;
}

/* Starts the programs of the deploy file against stand-ins, for the scripts of
   the third review. */
#include "cluster-3.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "../tests/support/jobs.h"
#include "hyssopkeel/clock.h"

#define PROGRAM "target/hyssopkeel-node"
#define CALL_TIMEOUT_S 3
#define READY_MS 20000
#define RUN_STEP_MS 10

static const char config[]
    = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"prefix\":\"/q/\",\"service\":\"pool\",\"priority\":0,"
      "\"maxAttempts\":3,\"stretchFactor\":2,\"targetCompletionMs\":1000}],"
      "\"services\":[{\"name\":\"pool\",\"enforcesCapacity\":false}],"
      "\"limits\":{}}";

void
cluster3_log (struct cluster3 *c, const char *format, ...)
{
  va_list ap;

  fprintf (c->record, "%8.3f ",
           (double)(hk_clock_ms () - c->began_ms) / 1000.0);
  va_start (ap, format);
  vfprintf (c->record, format, ap);
  va_end (ap);
  fputc ('\n', c->record);
  fflush (c->record);
}

static void
on_event (struct worker3 *w, const char *event, const char *task, int64_t run,
          const char *detail, void *user)
{
  cluster3_log (user, "%s: %s %s run %" G_GINT64_FORMAT " %s", w->name, event,
                task, run, detail);
}

static char *
settings_entry (struct cluster3 *c, unsigned i)
{
  g_autofree char *rpc = soak_address ();
  g_autofree char *ready = soak_address ();
  g_autofree char *metrics = soak_address ();

  c->clients[i] = soak_address ();
  return g_strdup_printf (
      "{\"role\":\"entry\",\"name\":\"entry-%u\",\"domain\":\"z%u\","
      "\"store\":\"%s\",\"metrics\":\"%s\",\"rpc\":\"%s\","
      "\"clients\":\"%s\",\"readiness\":\"%s\",\"cpu_share\":0.25,"
      "\"link_mbps\":1000,\"hold_max_ms\":10000}",
      i, i, c->store.address, metrics, rpc, c->clients[i], ready);
}

static char *
settings_agent (struct cluster3 *c, unsigned i)
{
  struct worker3 *w = &c->workers[i];
  g_autofree char *metrics = soak_address ();

  w->name = g_strdup_printf ("worker-%u", i);
  w->address = soak_address ();
  w->reports = soak_address ();
  w->on_event = on_event;
  w->user = c;
  worker3_start (w);
  return g_strdup_printf (
      "{\"role\":\"agent\",\"name\":\"side-%u\",\"domain\":\"z%u\","
      "\"store\":\"%s\",\"metrics\":\"%s\",\"reports\":\"%s\","
      "\"worker\":\"%s\",\"pool\":\"pool\",\"hold_max_ms\":10000,"
      "\"drain_ms\":2000}",
      i, i % 3, c->store.address, metrics, w->reports, w->address);
}

void
cluster3_spawn (struct cluster3 *c, unsigned i)
{
  gboolean entry = i < c->n_entries;
  char *argv[] = { (char *)PROGRAM,
                   (char *)"--set",
                   (char *)(entry ? "memory_mb=260" : "memory_mb=128"),
                   (char *)"--set",
                   (char *)(entry ? "max_fds=4100" : "max_fds=4096"),
                   entry ? (char *)"--set" : NULL,
                   (char *)"remote_factor=1.5",
                   NULL };
  g_autofree char *variable
      = g_strconcat ("HYSSOPKEEL_SETTINGS=", c->settings[i], NULL);
  char *env[] = { variable, NULL };
  g_autoptr (GError) gerr = NULL;

  if (!g_spawn_async (NULL, argv, env,
                      G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL
                          | G_SPAWN_STDERR_TO_DEV_NULL,
                      NULL, NULL, &c->pids[i], &gerr))
    {
      g_printerr ("%s\n", gerr->message);
      exit (CLUSTER3_NOT_RUN);
    }
  cluster3_log (c, "process %u started", i);
}

void
cluster3_kill (struct cluster3 *c, unsigned i)
{
  if (!c->pids[i])
    return;
  kill (c->pids[i], SIGKILL);
  waitpid (c->pids[i], NULL, 0);
  c->pids[i] = 0;
  cluster3_log (c, "process %u killed", i);
}

void
cluster3_start (struct cluster3 *c, const char *record)
{
  const char *trouble = g_getenv ("TROUBLE");

  signal (SIGPIPE, SIG_IGN);
  c->trouble = !trouble || strcmp (trouble, "0") != 0;
  c->began_ms = hk_clock_ms ();
  c->record = fopen (record, "w");
  c->dir = g_dir_make_tmp ("review-3-XXXXXX", NULL);
  if (!c->record || !c->dir || !g_file_test (PROGRAM, G_FILE_TEST_EXISTS))
    {
      g_printerr ("no record, temporary folder or %s\n", PROGRAM);
      exit (CLUSTER3_NOT_RUN);
    }
  c->session = soup_session_new_with_options ("proxy-resolver", NULL,
                                              "timeout", CALL_TIMEOUT_S, NULL);
  soak_store_start (&c->store);
  soak_store_put (&c->store, "op/config", config);
  for (unsigned i = 0; i < c->n_entries + c->n_agents; i++)
    {
      g_autofree char *text = i < c->n_entries
                                  ? settings_entry (c, i)
                                  : settings_agent (c, i - c->n_entries);

      c->settings[i] = g_strdup_printf ("%s/%u.json", c->dir, i);
      g_assert_true (g_file_set_contents (c->settings[i], text, -1, NULL));
      cluster3_spawn (c, i);
    }
}

void
cluster3_stop (struct cluster3 *c)
{
  for (unsigned i = 0; i < c->n_entries + c->n_agents; i++)
    {
      cluster3_kill (c, i);
      g_unlink (c->settings[i]);
    }
  for (unsigned i = 0; i < c->n_agents; i++)
    worker3_stop (&c->workers[i]);
  soak_store_stop (&c->store);
  g_rmdir (c->dir);
  fclose (c->record);
}

void
cluster3_run (struct cluster3 *c, int64_t ms)
{
  int64_t until = hk_clock_ms () + ms;

  (void)c;
  while (hk_clock_ms () < until)
    test_run_for (MIN (RUN_STEP_MS, until - hk_clock_ms ()));
}

int
cluster3_leader (struct cluster3 *c)
{
  g_autofree char *text = soak_store_get (&c->store, "hyssopkeel/lead");
  const char *at = text ? strstr (text, "\"entry-") : NULL;
  int i = at ? at[strlen ("\"entry-")] - '0' : -1;

  return i >= 0 && i < (int)c->n_entries ? i : -1;
}

struct call
{
  GBytes *bytes;
  gboolean done;
};

static void
on_answer (GObject *source, GAsyncResult *result, gpointer user)
{
  struct call *call = user;

  call->bytes = soup_session_send_and_read_finish (SOUP_SESSION (source),
                                                   result, NULL);
  call->done = TRUE;
}

unsigned
cluster3_call (struct cluster3 *c, unsigned entry, const char *method,
               const char *path, const char *body, json_object **answer)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s%s", c->clients[entry], path);
  g_autoptr (SoupMessage) msg = soup_message_new (method, url);
  SoupMessageHeaders *headers = soup_message_get_request_headers (msg);
  struct call call = { 0 };
  unsigned status = 0;
  struct hk_error err;
  gsize len = 0;
  const char *text = "";

  soup_message_headers_replace (headers, "Host", "h");
  soup_message_headers_replace (headers, "Deadline-Ms", "3000");
  if (body)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (msg, "application/json",
                                                bytes);
    }
  soup_session_send_and_read_async (c->session, msg, G_PRIORITY_DEFAULT, NULL,
                                    on_answer, &call);
  while (!call.done)
    test_run_for (1);
  if (call.bytes)
    {
      status = soup_message_get_status (msg);
      text = g_bytes_get_data (call.bytes, &len);
    }
  cluster3_log (c, "%s %s at entry-%u: %u %.*s", method, path, entry, status,
                (int)len, text ? text : "");
  if (answer)
    {
      *answer = NULL;
      if (len > 0)
        hk_json_parse (answer, text, len, "answer", &err);
    }
  g_clear_pointer (&call.bytes, g_bytes_unref);
  return status;
}

gboolean
cluster3_ready (struct cluster3 *c)
{
  int64_t until = hk_clock_ms () + READY_MS;
  unsigned ready = 0;

  while (ready < c->n_entries && hk_clock_ms () < until)
    {
      ready = 0;
      for (unsigned i = 0; i < c->n_entries; i++)
        ready += cluster3_call (c, i, "GET", "/q/", NULL, NULL) == 200;
      cluster3_run (c, 200);
    }
  /* Reports and registrations follow within two intervals of reports. */
  cluster3_run (c, 3000);
  return ready == c->n_entries;
}

/* Processes and links of a scenario. Agents and entries reach the store and
   each other over links of their own, which can be cut one by one. */
#include "cluster.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "hyssopkeel/clock.h"

#define SPIN_MAX_MS 10
#define EXIT_LIMIT_MS 60000

enum port
{
  PORT_STORE = 2379,
  PORT_HTTP = 8000,
  PORT_ENTRY = 7000,
  PORT_WORKER = 7100,
  PORT_AGENT = 7200,
  PORT_LINK = 9000
};

static char *
address_text (const struct cluster *c, int port)
{
  return g_strdup_printf ("%s:%d", c->ip, port);
}

void
cluster_spin (void)
{
  static struct hk_timer wake;

  hk_timer_set (&wake, SPIN_MAX_MS, (void (*) (void *))g_main_context_wakeup,
                NULL);
  g_main_context_iteration (NULL, TRUE);
}

struct process *
cluster_process (struct cluster *c, const char *name)
{
  for (guint i = 0; i < c->processes->len; i++)
    {
      struct process *p = g_ptr_array_index (c->processes, i);
      if (strcmp (p->name, name) == 0)
        return p;
    }
  g_error ("no process is named %s", name);
}

struct relay *
cluster_relay (struct cluster *c, const char *name)
{
  for (guint i = 0; i < c->relays->len; i++)
    {
      struct relay *r = g_ptr_array_index (c->relays, i);
      if (strcmp (r->name, name) == 0)
        return r;
    }
  g_error ("no link is named %s", name);
}

static char *
process_file_path (const struct cluster *c, const char *name,
                   const char *suffix)
{
  return g_strdup_printf ("%s/%s%s", c->dir, name, suffix);
}

void
process_start (struct cluster *c, struct process *p)
{
  g_autoptr (GSubprocessLauncher) launcher
      = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_autofree char *log = process_file_path (c, p->name, ".log");
  g_autoptr (GError) gerr = NULL;
  int fd = g_open (log, O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);

  g_assert_null (p->child);
  g_subprocess_launcher_take_fd (launcher, dup (fd), 1);
  g_subprocess_launcher_take_fd (launcher, fd, 2);
  p->child = g_subprocess_launcher_spawnv (
      launcher, (const char *const *)p->argv, &gerr);
  g_assert_no_error (gerr);
  p->pid = (int)g_ascii_strtoll (g_subprocess_get_identifier (p->child), NULL,
                                 10);
}

static void
wait_for_exit (struct process *p)
{
  int64_t limit = hk_clock_ms () + EXIT_LIMIT_MS;

  while (g_subprocess_get_identifier (p->child) && hk_clock_ms () < limit)
    cluster_spin ();
  if (g_subprocess_get_identifier (p->child))
    g_error ("%s did not exit within the time limit", p->name);
  g_subprocess_wait (p->child, NULL, NULL);
}

void
process_signal (struct process *p, int signal)
{
  if (p->child)
    g_subprocess_send_signal (p->child, signal);
  if (signal == SIGSTOP)
    p->frozen = TRUE;
  if (signal == SIGCONT)
    p->frozen = FALSE;
}

void
process_stop (struct process *p)
{
  process_signal (p, SIGTERM);
  wait_for_exit (p);
  if (!g_subprocess_get_if_exited (p->child)
      || g_subprocess_get_exit_status (p->child) != 0)
    g_error ("%s did not stop gracefully", p->name);
  g_clear_object (&p->child);
}

/* A killed worker can't record the end of its tasks; this line ends them. */
static void
close_worker_record (struct cluster *c, struct process *p)
{
  g_autofree char *file = process_file_path (c, p->name, ".truth");
  FILE *out;

  if (p->name[0] != 'w')
    return;
  out = fopen (file, "a");
  fprintf (out, "killed %" G_GINT64_FORMAT "\n", hk_clock_ms ());
  fclose (out);
}

void
process_kill (struct cluster *c, struct process *p)
{
  if (!p->child)
    return;
  process_signal (p, SIGKILL);
  wait_for_exit (p);
  g_clear_object (&p->child);
  p->frozen = FALSE;
  close_worker_record (c, p);
}

static struct process *
add_process (struct cluster *c, const char *name, char **argv)
{
  struct process *p = g_new0 (struct process, 1);

  p->name = g_strdup (name);
  p->argv = argv;
  g_ptr_array_add (c->processes, p);
  process_start (c, p);
  return p;
}

/* Returns the newly allocated address on which the new link listens. */
static char *
add_link (struct cluster *c, const char *name, const char *target)
{
  char *listen = address_text (c, PORT_LINK + (int)c->relays->len);

  g_ptr_array_add (c->relays, relay_new (name, listen, target));
  return listen;
}

static char *
add_link_to (struct cluster *c, const char *from, const char *to, int port)
{
  g_autofree char *name = g_strdup_printf ("%s-%s", from, to);
  g_autofree char *target = address_text (c, port);

  return add_link (c, name, target);
}

static char *
program_path (const char *name)
{
  return g_strdup_printf ("%s/%s", g_getenv ("HK_BUILD_DIR"), name);
}

static void
add_daemon (struct cluster *c, const char *name, const char *settings)
{
  g_autofree char *file = process_file_path (c, name, ".json");
  char **argv = g_new0 (char *, 4);

  g_file_set_contents (file, settings, -1, NULL);
  argv[0] = program_path ("hyssopkeeld");
  argv[1] = g_strdup ("-s");
  argv[2] = g_steal_pointer (&file);
  add_process (c, name, argv);
}

static char *
json_string_list (GPtrArray *items)
{
  GString *text = g_string_new ("[");

  for (guint i = 0; i < items->len; i++)
    g_string_append_printf (text, "%s\"%s\"", i ? "," : "",
                            (char *)g_ptr_array_index (items, i));
  g_string_append (text, "]");
  return g_string_free (text, FALSE);
}

static void
add_entry (struct cluster *c, int i, const struct cluster_options *o)
{
  g_autofree char *name = g_strdup_printf ("e%d", i);
  g_autoptr (GPtrArray) peers = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *store = add_link_to (c, name, "store", PORT_STORE);
  g_autofree char *list = NULL;
  g_autofree char *settings = NULL;

  for (int k = 1; k <= o->entries; k++)
    {
      g_autofree char *peer = g_strdup_printf ("e%d", k);
      if (k != i)
        g_ptr_array_add (peers, add_link_to (c, name, peer, PORT_ENTRY + k));
    }
  list = json_string_list (peers);
  settings = g_strdup_printf (
      "{\"role\":\"entry\",\"name\":\"%s\",\"domain\":\"d%d\","
      "\"http\":\"%s:%d\",\"rpc\":\"%s:%d\",\"peers\":%s,"
      "\"store\":[\"http://%s\"],\"store_timeout_ms\":1000,"
      "\"announce_budget_bytes_s\":100000,\"stop_limit_ms\":%d,"
      "\"request_read_ms\":2000,\"distance_us\":0}",
      name, i, c->ip, PORT_HTTP + i, c->ip, PORT_ENTRY + i, list, store,
      o->stop_limit_ms);
  add_daemon (c, name, settings);
}

static void
add_worker (struct cluster *c, int i, const struct cluster_options *o)
{
  g_autofree char *name = g_strdup_printf ("w%d", i);
  char **argv = g_new0 (char *, 12);

  argv[0] = program_path ("worker-standin");
  argv[1] = g_strdup_printf ("--listen=%s:%d", c->ip, PORT_WORKER + i);
  argv[2] = g_strdup_printf ("--slots=%d", o->slots);
  argv[3] = g_strdup_printf ("--cpu-milli=%d", o->cpu_milli);
  argv[4] = g_strdup_printf ("--memory-mb=%d", o->memory_mb);
  argv[5] = g_strdup_printf ("--truth=%s/%s.truth", c->dir, name);
  add_process (c, name, argv);
}

static void
add_agent (struct cluster *c, int i, const struct cluster_options *o)
{
  g_autofree char *name = g_strdup_printf ("a%d", i);
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *store = add_link_to (c, name, "store", PORT_STORE);
  g_autofree char *in_name = g_strdup_printf ("%s-in", name);
  g_autofree char *own = address_text (c, PORT_AGENT + i);
  g_autofree char *announce = add_link (c, in_name, own);
  g_autofree char *list = NULL;
  g_autofree char *settings = NULL;

  for (int k = 1; k <= o->entries; k++)
    {
      g_autofree char *entry = g_strdup_printf ("e%d", k);
      g_ptr_array_add (entries, add_link_to (c, name, entry, PORT_ENTRY + k));
    }
  list = json_string_list (entries);
  settings = g_strdup_printf (
      "{\"role\":\"agent\",\"name\":\"i%d\",\"domain\":\"d%d\","
      "\"pool\":\"shop\",\"rpc\":\"%s\",\"announce\":\"%s\","
      "\"worker\":\"http://%s:%d\",\"entries\":%s,"
      "\"store\":[\"http://%s\"],\"store_timeout_ms\":1000,"
      "\"session_ttl_s\":%d,\"worker_lease_ms\":%d,\"checkpoint_ms\":%d,"
      "\"announce_ms\":200,\"stop_limit_ms\":%d}",
      i, i % 3, own, announce, c->ip, PORT_WORKER + i, list, store,
      o->session_s, o->lease_ms, o->checkpoint_ms, o->stop_limit_ms);
  add_daemon (c, name, settings);
}

void
cluster_start_second_agent (struct cluster *c, const char *name)
{
  int i = atoi (name + 1);
  g_autofree char *file = process_file_path (c, name, ".json");
  g_autofree char *second = g_strdup_printf ("b%d", i);
  g_autofree char *pattern
      = g_strdup_printf (":%d\",\"announce\"", PORT_AGENT + i);
  g_autofree char *replacement
      = g_strdup_printf (":%d\",\"announce\":\"%s:%d\",\"worker\"",
                         PORT_AGENT + 50 + i, c->ip, PORT_AGENT + 50 + i);
  g_autofree char *text = NULL;
  g_autofree char *settings = NULL;
  g_auto (GStrv) parts = NULL;

  g_assert_true (g_file_get_contents (file, &text, NULL, NULL));
  parts = g_strsplit (text, pattern, 2);
  settings = g_strconcat (parts[0], replacement,
                          strstr (parts[1], "\"worker\"") + 8, NULL);
  add_daemon (c, second, settings);
}

static void
choose_loopback_ip (struct cluster *c)
{
  int pid = (int)getpid ();

  c->ip = g_strdup_printf ("127.%d.%d.%d", 1 + ((pid >> 14) & 0x7f),
                           (pid >> 7) & 0x7f, 1 + (pid & 0x7f));
}

/* The command line does not wait for a store that has not started yet. */
static void
wait_for_store (struct cluster *c)
{
  g_autofree char *url = cluster_url (c, "store", "/");
  int64_t limit = hk_clock_ms () + EXIT_LIMIT_MS;
  guint status = 0;

  while (status == 0)
    {
      g_autofree char *text = cluster_http ("GET", url, NULL, &status);

      if (hk_clock_ms () > limit)
        g_error ("the store did not answer within the time limit: %s", text);
    }
}

void
cluster_start (struct cluster *c, const struct cluster_options *o)
{
  char **argv = g_new0 (char *, 3);

  choose_loopback_ip (c);
  c->dir = g_dir_make_tmp ("hyssopkeel-XXXXXX", NULL);
  c->processes = g_ptr_array_new ();
  c->relays = g_ptr_array_new ();
  c->n_entries = o->entries;
  c->n_workers = o->workers;
  argv[0] = program_path ("store-standin");
  argv[1] = g_strdup_printf ("--listen=%s:%d", c->ip, PORT_STORE);
  add_process (c, "store", argv);
  for (int i = 1; i <= o->entries; i++)
    add_entry (c, i, o);
  for (int i = 1; i <= o->workers; i++)
    {
      add_worker (c, i, o);
      add_agent (c, i, o);
    }
  wait_for_store (c);
}

void
cluster_finish (struct cluster *c)
{
  for (guint i = c->processes->len; i > 0; i--)
    process_kill (c, g_ptr_array_index (c->processes, i - 1));
  for (guint i = 0; i < c->relays->len; i++)
    relay_free (g_ptr_array_index (c->relays, i));
  if (!g_getenv ("HK_KEEP"))
    {
      g_autoptr (GDir) dir = g_dir_open (c->dir, 0, NULL);
      const char *file;

      while (dir && (file = g_dir_read_name (dir)))
        {
          g_autofree char *path = g_strdup_printf ("%s/%s", c->dir, file);
          g_unlink (path);
        }
      g_rmdir (c->dir);
    }
  else
    g_test_message ("logs and records kept in %s", c->dir);
}

char *
cluster_url (struct cluster *c, const char *name, const char *path)
{
  int i = (int)g_ascii_strtoll (name + 1, NULL, 10);
  int port = PORT_STORE;

  if (name[0] == 'e')
    port = PORT_HTTP + i;
  else if (name[0] == 'w')
    port = PORT_WORKER + i;
  return g_strdup_printf ("http://%s:%d%s", c->ip, port, path);
}

struct http_call
{
  GBytes *body;
  gboolean finished;
};

static void
on_http (GObject *source, GAsyncResult *res, gpointer user)
{
  struct http_call *call = user;

  call->body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, NULL);
  call->finished = TRUE;
}

char *
cluster_http (const char *method, const char *url, const char *body,
              guint *status)
{
  g_autoptr (SoupSession) session
      = soup_session_new_with_options ("timeout", 10, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new (method, url);
  g_autoptr (GBytes) bytes = body ? g_bytes_new (body, strlen (body)) : NULL;
  struct http_call call = { 0 };
  char *text;

  if (bytes)
    soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_and_read_async (session, msg, G_PRIORITY_DEFAULT, NULL,
                                    on_http, &call);
  while (!call.finished)
    g_main_context_iteration (NULL, TRUE);
  *status = call.body ? soup_message_get_status (msg) : 0;
  text = call.body ? g_strndup (g_bytes_get_data (call.body, NULL),
                                g_bytes_get_size (call.body))
                   : g_strdup ("");
  g_clear_pointer (&call.body, g_bytes_unref);
  return text;
}

struct cli_run
{
  char *output;
  gboolean finished;
};

static void
on_cli (GObject *source, GAsyncResult *res, gpointer user)
{
  struct cli_run *run = user;

  g_subprocess_communicate_utf8_finish (G_SUBPROCESS (source), res,
                                        &run->output, NULL, NULL);
  run->finished = TRUE;
}

int
cluster_cli (struct cluster *c, const char *const *argv, char **output)
{
  g_autoptr (GPtrArray) full = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GSubprocess) child = NULL;
  g_autoptr (GError) gerr = NULL;
  struct cli_run run = { 0 };

  g_ptr_array_add (full, program_path ("hyssopkeel"));
  g_ptr_array_add (
      full, g_strdup_printf ("--store=http://%s:%d", c->ip, PORT_STORE));
  for (; *argv; argv++)
    g_ptr_array_add (full, g_strdup (*argv));
  g_ptr_array_add (full, NULL);
  child = g_subprocess_newv (
      (const char *const *)full->pdata,
      G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE, &gerr);
  g_assert_no_error (gerr);
  g_subprocess_communicate_utf8_async (child, NULL, NULL, on_cli, &run);
  while (!run.finished)
    g_main_context_iteration (NULL, TRUE);
  if (output)
    *output = g_steal_pointer (&run.output);
  g_free (run.output);
  return g_subprocess_get_if_exited (child)
             ? g_subprocess_get_exit_status (child)
             : -1;
}

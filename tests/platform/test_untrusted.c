/* Clients that exceed the limits, against the system's own processes on
   loopback addresses. Each case sends a crowd of connections and, while these
   are still open, checks that the process is alive, that its memory and open
   descriptors stayed under a bound, and that an ordinary request is answered.
   Nothing depends on the speed of the machine. */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include "../soak/store.h"
#include "crowd.h"
#include "hyssopkeel/clock.h"

/* The budget of the processes is an eighth of this. */
#define MEMORY_MB 64
#define GROWTH_MAX_KB (24 * 1024)
#define FDS_LIMIT 256
/* The processes keep descriptors free for their files. */
#define FDS_MAX 224
#define ORDINARY_LIMIT_MS 20000
/* All connections have sent this much before one sends more. */
#define FIRST_BYTES 60000
/* Connections that are closed after their response. */
#define HANG_UPS 100
/* Connections that read no replies to their calls, and bytes of calls each. */
#define CALLERS 10
#define CALLS_BYTES ((size_t)32 << 20)
/* Samples after the ordinary request, for what was still unread then. */
#define LAST_SAMPLES 100

struct fixture
{
  struct soak_store store;
  GSubprocess *store_process;
  GSubprocess *process;
  char *dir;
  char *target;
  char *ordinary_address;
  const char *ordinary;
  const char *answer;
  long base_kb;
  long peak_kb;
  unsigned peak_fds;
};

static int
pid_of (const struct fixture *f)
{
  const char *text = g_subprocess_get_identifier (f->process);

  g_assert_nonnull (text);
  return atoi (text);
}

static long
resident_kb (const struct fixture *f)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", pid_of (f));
  g_autofree char *text = NULL;
  const char *line;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  line = strstr (text, "VmRSS:");
  g_assert_nonnull (line);
  return strtol (line + strlen ("VmRSS:"), NULL, 10);
}

static unsigned
open_descriptors (const struct fixture *f)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", pid_of (f));
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  unsigned n = 0;

  g_assert_nonnull (dir);
  while (g_dir_read_name (dir))
    n++;
  return n;
}

static void
sample (void *user)
{
  struct fixture *f = user;

  f->peak_kb = MAX (f->peak_kb, resident_kb (f));
  f->peak_fds = MAX (f->peak_fds, open_descriptors (f));
}

static gboolean
is_answered (const struct fixture *f, int64_t limit_ms)
{
  g_autofree char *response
      = crowd_send_request (f->ordinary_address, f->ordinary, limit_ms);

  return g_str_has_prefix (response, f->answer);
}

/* Start of the processes */

/* The process ends with the test, also if that fails. */
static void
prepare_child (gpointer user)
{
  const rlim_t *max = user;
  struct rlimit limit;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (*max == 0)
    return;
  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = *max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

static GSubprocess *
start_process (const char *const *argv, const rlim_t *fds)
{
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (
      g_getenv ("HK_KEEP") ? G_SUBPROCESS_FLAGS_NONE
                           : G_SUBPROCESS_FLAGS_STDOUT_SILENCE
                                 | G_SUBPROCESS_FLAGS_STDERR_SILENCE);
  g_autoptr (GError) gerr = NULL;
  GSubprocess *child;

  g_subprocess_launcher_set_child_setup (launcher, prepare_child,
                                         (gpointer)fds, NULL);
  child = g_subprocess_launcher_spawnv (launcher, argv, &gerr);
  g_assert_no_error (gerr);
  return child;
}

static char *
program_path (const char *name)
{
  return g_build_filename (g_getenv ("HK_BUILD_DIR"), name, NULL);
}

static char *
write_settings (const struct fixture *f, const char *text)
{
  char *file = g_build_filename (f->dir, "settings.json", NULL);

  g_assert_true (g_file_set_contents (file, text, -1, NULL));
  return file;
}

static void
start_node (struct fixture *f, const struct crowd *c, const char *settings)
{
  g_autofree char *program = program_path ("hyssopkeel-node");
  g_autofree char *file = write_settings (f, settings);
  g_autofree char *memory = g_strdup_printf ("memory_mb=%d", MEMORY_MB);
  const char *argv[] = { program, "--settings", file, "--set", memory, NULL };

  f->process = start_process (argv, &c->fds);
}

static void
start_entry (struct fixture *f, const struct crowd *c)
{
  g_autofree char *rpc = soak_address ();
  g_autofree char *ready = soak_address ();
  g_autofree char *metrics = soak_address ();
  g_autofree char *clients = soak_address ();
  g_autofree char *settings = g_strdup_printf (
      "{\"role\":\"entry\",\"name\":\"e\",\"domain\":\"d\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"rpc\":\"%s\",\"clients\":\"%s\","
      "\"readiness\":\"%s\"}",
      f->store.address, metrics, rpc, clients, ready);

  soak_store_put (&f->store, "op/config",
                  "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
                  "\"prefix\":\"/q/\",\"service\":\"pool\"}]}");
  start_node (f, c, settings);
  f->target = g_strdup (c->target == CROWD_ENTRY_RPC ? rpc : clients);
  f->ordinary_address = g_strdup (clients);
  f->ordinary = "GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n";
  f->answer = "HTTP/1.1 200";
}

static void
start_agent (struct fixture *f, const struct crowd *c)
{
  g_autofree char *reports = soak_address ();
  g_autofree char *metrics = soak_address ();
  g_autofree char *worker = soak_address ();
  g_autofree char *settings = g_strdup_printf (
      "{\"role\":\"agent\",\"name\":\"a\",\"domain\":\"d\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"reports\":\"%s\",\"worker\":\"%s\","
      "\"pool\":\"pool\"}",
      f->store.address, metrics, reports, worker);

  start_node (f, c, settings);
  f->target = g_strdup (reports);
  f->ordinary_address = g_strdup (reports);
  f->ordinary = "POST /api/Instances.Heartbeat/w HTTP/1.1\r\nHost: h\r\n"
                "Content-Length: 2\r\n\r\n{}";
  f->answer = "HTTP/1.1 400";
}

static void
start_daemon (struct fixture *f, const struct crowd *c)
{
  g_autofree char *program = program_path ("hyssopkeeld");
  g_autofree char *store_program = program_path ("store-standin");
  g_autofree char *store = soak_address ();
  g_autofree char *listen = g_strdup_printf ("--listen=%s", store);
  g_autofree char *rpc = soak_address ();
  g_autofree char *http = soak_address ();
  g_autofree char *settings = g_strdup_printf (
      "{\"role\":\"entry\",\"name\":\"e\",\"domain\":\"d\",\"http\":\"%s\","
      "\"memory_mb\":%d,\"rpc\":\"%s\",\"store\":[\"http://%s\"]}",
      http, MEMORY_MB, rpc, store);
  g_autofree char *file = write_settings (f, settings);
  const char *store_argv[] = { store_program, listen, NULL };
  const char *argv[] = { program, "-s", file, NULL };
  const rlim_t no_limit = 0;

  f->store_process = start_process (store_argv, &no_limit);
  f->process = start_process (argv, &c->fds);
  f->target = g_strdup (http);
  f->ordinary_address = g_strdup (http);
  f->ordinary = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
  f->answer = "HTTP/1.1 200";
}

static void
fixture_init (struct fixture *f, const struct crowd *c)
{
  int64_t end = hk_clock_ms () + ORDINARY_LIMIT_MS;

  memset (f, 0, sizeof *f);
  f->dir = g_dir_make_tmp ("hyssopkeel-untrusted-XXXXXX", NULL);
  soak_store_start (&f->store);
  if (c->target == CROWD_AGENT)
    start_agent (f, c);
  else if (c->target == CROWD_DAEMON)
    start_daemon (f, c);
  else
    start_entry (f, c);
  while (!is_answered (f, 200))
    {
      g_assert_cmpint (hk_clock_ms (), <, end);
      crowd_run_loop ();
    }
  f->base_kb = resident_kb (f);
  sample (f);
}

static void
stop_process (GSubprocess **child)
{
  if (!*child)
    return;
  g_subprocess_force_exit (*child);
  g_subprocess_wait (*child, NULL, NULL);
  g_clear_object (child);
}

static void
fixture_finish (struct fixture *f)
{
  g_autofree char *file = g_build_filename (f->dir, "settings.json", NULL);

  stop_process (&f->process);
  stop_process (&f->store_process);
  soak_store_stop (&f->store);
  g_unlink (file);
  g_rmdir (f->dir);
  g_free (f->dir);
  g_free (f->target);
  g_free (f->ordinary_address);
}

/* Returns whether an ordinary request is answered. */
static gboolean
check_process (struct fixture *f)
{
  gboolean answered = is_answered (f, ORDINARY_LIMIT_MS);

  for (int i = 0; i < LAST_SAMPLES; i++)
    {
      sample (f);
      crowd_run_loop ();
    }
  return answered;
}

static void
run (const struct crowd *c, int (*connect_member) (const char *address))
{
  g_autofree struct crowd_member *members
      = g_new0 (struct crowd_member, c->connections);
  struct fixture f;
  gboolean answered;

  fixture_init (&f, c);
  for (unsigned i = 0; i < c->connections; i++)
    members[i].fd = connect_member (f.target);
  crowd_send (members, c, MIN (c->bytes, FIRST_BYTES), sample, &f);
  answered = check_process (&f);
  crowd_send (members, c, c->bytes, sample, &f);
  answered = answered && check_process (&f);
  g_test_message ("alive=%d answered=%d growth_kb=%ld peak_fds=%u",
                  g_subprocess_get_identifier (f.process) != NULL, answered,
                  f.peak_kb - f.base_kb, f.peak_fds);
  g_assert_nonnull (g_subprocess_get_identifier (f.process));
  g_assert_true (answered);
  g_assert_cmpint (f.peak_kb - f.base_kb, <, GROWTH_MAX_KB);
  if (c->fds > 0)
    g_assert_cmpuint (f.peak_fds, <=, FDS_MAX);
  for (unsigned i = 0; i < c->connections; i++)
    close (members[i].fd);
  fixture_finish (&f);
}

static void
run_crowd (gconstpointer data)
{
  run (data, crowd_connect);
}

static void
run_unread (gconstpointer data)
{
  run (data, crowd_connect_small);
}

/* Guards against a descriptor that stays open for each client that closes its
   connection after a response: libsoup kept it. */
static void
closed_connections_leave_no_descriptors (gconstpointer data)
{
  const struct crowd *c = data;
  unsigned limit;
  struct fixture f;
  int64_t end;

  fixture_init (&f, c);
  limit = open_descriptors (&f) + HANG_UPS / 2;
  for (int i = 0; i < HANG_UPS; i++)
    g_assert_true (is_answered (&f, ORDINARY_LIMIT_MS));
  end = hk_clock_ms () + ORDINARY_LIMIT_MS;
  while (open_descriptors (&f) >= limit && hk_clock_ms () < end)
    crowd_run_loop ();
  g_test_message ("descriptors=%u limit=%u", open_descriptors (&f), limit);
  g_assert_cmpuint (open_descriptors (&f), <, limit);
  fixture_finish (&f);
}

/* Guards against memory that grows with replies that a peer does not read. */
static void
unread_replies_are_bounded (gconstpointer data)
{
  int64_t end = hk_clock_ms () + CROWD_LIMIT_MS;
  size_t sent[CALLERS] = { 0 };
  int fds[CALLERS];
  gboolean more = TRUE;
  struct fixture f;

  fixture_init (&f, data);
  for (int i = 0; i < CALLERS; i++)
    fds[i] = crowd_connect (f.target);
  while (more && hk_clock_ms () < end)
    {
      more = FALSE;
      for (int i = 0; i < CALLERS; i++)
        more = crowd_send_calls (fds[i], &sent[i], CALLS_BYTES) || more;
      sample (&f);
      crowd_run_loop ();
    }
  g_assert_true (check_process (&f));
  g_test_message ("growth_kb=%ld", f.peak_kb - f.base_kb);
  g_assert_cmpint (f.peak_kb - f.base_kb, <, GROWTH_MAX_KB);
  for (int i = 0; i < CALLERS; i++)
    close (fds[i]);
  fixture_finish (&f);
}

#define REQUEST_LINE "GET /q/ HTTP/1.1\r\nHost: h\r\n"
#define FIELD "X-Field: 0123456789012345678901234567890123456789\r\n"
#define METRICS_REQUEST "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
#define REQUEST_TO_POST "POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
/* Looks like requests if the body is not expected. */
#define UNCOUNTED                                                             \
  "0123456789012345678901234567890123456789012345678901234567890123\n\n"
#define BODY_HEADER(path)                                                     \
  "POST " path " HTTP/1.1\r\nHost: h\r\nContent-Length: 250000\r\n\r\n"
/* Record mark of 4,000,000 bytes; its first byte is sent as part of @head. */
#define RECORD_MARK "\x80\x3d\x09\xff"

/* Connections and bounds were fixed on the code without limits. */
static const struct crowd crowds[] = {
  /* Guards against memory that grows with the unfinished headers. */
  { "headers", CROWD_ENTRY, 500, REQUEST_LINE, FIELD, 60000, 0 },
  { "daemon_headers", CROWD_DAEMON, 500, REQUEST_LINE, FIELD, 60000, 0 },
  /* Guards against a header that never ends. */
  { "endless_fields", CROWD_ENTRY, 500, REQUEST_LINE, FIELD, 4000000, 0 },
  { "endless_line", CROWD_ENTRY, 500, "GET /", "x", 4000000, 0 },
  { "agent_endless_line", CROWD_AGENT, 500, "GET /", "x", 4000000, 0 },
  /* Guards against a process that reads empty lines until it has no memory. */
  { "empty_lines", CROWD_ENTRY, 500, "", "\r\n", 4000000, 0 },
  { "agent_empty_lines", CROWD_AGENT, 500, "", "\r\n", 4000000, 0 },
  { "daemon_empty_lines", CROWD_DAEMON, 500, "", "\r\n", 4000000, 0 },
  /* Guards against memory that grows with the unfinished bodies. */
  { "bodies", CROWD_ENTRY, 200, BODY_HEADER ("/q/0123456789abcdef"), " ",
    240000, 0 },
  { "agent_bodies", CROWD_AGENT, 200,
    BODY_HEADER ("/api/Instances.Heartbeat/w"), " ", 240000, 0 },
  { "daemon_bodies", CROWD_DAEMON, 200, BODY_HEADER ("/r/x"), " ", 240000, 0 },
  /* Guards against bodies that are not counted: libsoup found another length
     than the limits did. */
  { "folded_length", CROWD_ENTRY, 200,
    REQUEST_TO_POST "Content-Length:\r\n 250000\r\n\r\n", UNCOUNTED, 240000,
    0 },
  { "signed_length", CROWD_ENTRY, 200,
    REQUEST_TO_POST "Content-Length: +250000\r\n\r\n", UNCOUNTED, 240000, 0 },
  { "chunk_space", CROWD_ENTRY, 200,
    REQUEST_TO_POST "Transfer-Encoding: chunked\r\n\r\n 3d090\r\n\r\n",
    UNCOUNTED, 240000, 0 },
  { "chunk_prefix", CROWD_ENTRY, 200,
    REQUEST_TO_POST "Transfer-Encoding: chunked\r\n\r\n0x3d090\r\n\r\n",
    UNCOUNTED, 240000, 0 },
  { "records", CROWD_ENTRY_RPC, 100, RECORD_MARK, "x", 500000, 0 },
  /* Guards against a listener that no longer accepts once the process has run
     out of descriptors. */
  { "connections", CROWD_ENTRY, 400, "", "x", 0, FDS_LIMIT },
  { "unfinished_connections", CROWD_ENTRY, 400, "G", "x", 1, FDS_LIMIT },
  { "agent_connections", CROWD_AGENT, 400, "", "x", 0, FDS_LIMIT },
  { "daemon_connections", CROWD_DAEMON, 400, "", "x", 0, FDS_LIMIT },
};

/* Guards against connections that stay open because their clients do not read
   the responses. */
static const struct crowd unread[] = {
  { "unread_responses", CROWD_ENTRY, 250, "", METRICS_REQUEST, 40000,
    FDS_LIMIT },
  { "agent_unread_responses", CROWD_AGENT, 250, "", METRICS_REQUEST, 40000,
    FDS_LIMIT },
  { "daemon_unread_responses", CROWD_DAEMON, 250, "", METRICS_REQUEST, 40000,
    FDS_LIMIT },
};

static const struct crowd closing[] = {
  { "closed", CROWD_ENTRY, 0, "", "", 0, 0 },
  { "agent_closed", CROWD_AGENT, 0, "", "", 0, 0 },
  { "daemon_closed", CROWD_DAEMON, 0, "", "", 0, 0 },
};

static const struct crowd callers
    = { "unread_replies", CROWD_ENTRY_RPC, 0, "", "", 0, 0 };

static void
add_crowds (const struct crowd *list, size_t n, GTestDataFunc test)
{
  for (size_t i = 0; i < n; i++)
    {
      g_autofree char *path = g_strdup_printf ("/untrusted/%s", list[i].name);

      g_test_add_data_func (path, &list[i], test);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_crowds (crowds, G_N_ELEMENTS (crowds), run_crowd);
  add_crowds (unread, G_N_ELEMENTS (unread), run_unread);
  g_test_add_data_func ("/untrusted/closed", &closing[0],
                        closed_connections_leave_no_descriptors);
  g_test_add_data_func ("/untrusted/agent_closed", &closing[1],
                        closed_connections_leave_no_descriptors);
  g_test_add_data_func ("/untrusted/daemon_closed", &closing[2],
                        closed_connections_leave_no_descriptors);
  g_test_add_data_func ("/untrusted/unread_replies", &callers,
                        unread_replies_are_bounded);
  return g_test_run ();
}

/* Crowds of untrusted clients at full size against one entry with an agent, on
   loopback addresses: peak memory and descriptors of the entry, and whether an
   ordinary job is served while the crowd is still connected. Not part of CI.

     build/untrusted BUILD-DIRECTORY headers|bodies|drip [NAME=VALUE...]

   Each NAME=VALUE replaces a setting of the entry; without any it has the
   limits of an entry with 160 MB and 4,100 descriptors. "limits=no" leaves the
   limits out of the operator's configuration. "old=yes" passes no setting, for
   programs that have no such settings. */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../tests/platform/crowd.h"
#include "../tests/soak/store.h"
#include "../tests/soak/worker.h"
#include "hyssopkeel/clock.h"

#define ENTRY_FDS 8192
#define OWN_FDS 6000
#define DRIP_CONNECTIONS 4000
#define DRIP_S 20
#define START_LIMIT_MS 30000
#define JOB_LIMIT_MS 60000
#define SECOND_MS 1000
#define JOB_PATH "/q/0123456789abcdef"
#define CONFIG_LIMITS                                                         \
  ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"            \
  "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}"

struct load
{
  const char *build;
  gboolean old;
  gboolean no_limits;
  GPtrArray *settings;
  char *dir;
  struct soak_store store;
  struct soak_oracle oracle;
  struct soak_worker worker;
  GSubprocess *entry;
  GSubprocess *agent;
  char *clients;
  long base_kb;
  long peak_kb;
  unsigned peak_fds;
  unsigned closed;
};

static long
resident_kb (const struct load *l)
{
  g_autofree char *path = g_strdup_printf (
      "/proc/%s/status", g_subprocess_get_identifier (l->entry));
  g_autofree char *text = NULL;
  const char *line = NULL;

  if (g_file_get_contents (path, &text, NULL, NULL))
    line = strstr (text, "VmRSS:");
  return line ? strtol (line + strlen ("VmRSS:"), NULL, 10) : 0;
}

static unsigned
open_descriptors (const struct load *l)
{
  g_autofree char *path = g_strdup_printf (
      "/proc/%s/fd", g_subprocess_get_identifier (l->entry));
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  unsigned n = 0;

  while (dir && g_dir_read_name (dir))
    n++;
  return n;
}

static void
sample (void *user)
{
  struct load *l = user;

  if (!g_subprocess_get_identifier (l->entry))
    return;
  l->peak_kb = MAX (l->peak_kb, resident_kb (l));
  l->peak_fds = MAX (l->peak_fds, open_descriptors (l));
}

static void
set_fds (rlim_t n)
{
  struct rlimit limit;

  getrlimit (RLIMIT_NOFILE, &limit);
  limit.rlim_cur = MIN (n, limit.rlim_max);
  setrlimit (RLIMIT_NOFILE, &limit);
}

static void
limit_child (gpointer user)
{
  (void)user;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  set_fds (ENTRY_FDS);
}

static GSubprocess *
start_node (struct load *l, const char *name, const char *settings,
            gboolean is_entry)
{
  g_autoptr (GSubprocessLauncher) launcher
      = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_NONE);
  g_autofree char *program
      = g_build_filename (l->build, "hyssopkeel-node", NULL);
  g_autofree char *file = g_strdup_printf ("%s/%s.json", l->dir, name);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", l->dir, name);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_autoptr (GError) gerr = NULL;
  GSubprocess *child;

  g_assert_true (g_file_set_contents (file, settings, -1, NULL));
  g_ptr_array_add (argv, program);
  g_ptr_array_add (argv, (char *)"--settings");
  g_ptr_array_add (argv, file);
  for (guint i = 0; is_entry && !l->old && i < l->settings->len; i++)
    {
      g_ptr_array_add (argv, (char *)"--set");
      g_ptr_array_add (argv, l->settings->pdata[i]);
    }
  g_ptr_array_add (argv, NULL);
  g_subprocess_launcher_set_child_setup (launcher, limit_child, NULL, NULL);
  g_subprocess_launcher_set_stdout_file_path (launcher, log);
  child = g_subprocess_launcher_spawnv (
      launcher, (const char *const *)argv->pdata, &gerr);
  g_assert_no_error (gerr);
  return child;
}

static void
start_all (struct load *l)
{
  g_autofree char *rpc = soak_address ();
  g_autofree char *ready = soak_address ();
  g_autofree char *metrics = soak_address ();
  g_autofree char *agent_metrics = soak_address ();
  g_autofree char *reports = soak_address ();
  g_autofree char *entry = NULL;
  g_autofree char *agent = NULL;
  g_autofree char *config = g_strdup_printf (
      "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
      "\"prefix\":\"/q/\",\"service\":\"pool\",\"maxAttempts\":3,"
      "\"targetCompletionMs\":10000,\"stretchFactor\":10}]%s}",
      l->no_limits ? "" : CONFIG_LIMITS);

  l->dir = g_dir_make_tmp ("hyssopkeel-crowd-XXXXXX", NULL);
  l->clients = soak_address ();
  soak_store_start (&l->store);
  soak_store_put (&l->store, "op/config", config);
  soak_oracle_init (&l->oracle);
  soak_worker_start (&l->worker, "w", reports, &l->oracle, 1);
  entry = g_strdup_printf (
      "{\"role\":\"entry\",\"name\":\"e\",\"domain\":\"d\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"rpc\":\"%s\",\"clients\":\"%s\","
      "\"readiness\":\"%s\"}",
      l->store.address, metrics, rpc, l->clients, ready);
  agent = g_strdup_printf (
      "{\"role\":\"agent\",\"name\":\"w\",\"domain\":\"d\",\"store\":\"%s\","
      "\"metrics\":\"%s\",\"reports\":\"%s\",\"worker\":\"%s\","
      "\"pool\":\"pool\"}",
      l->store.address, agent_metrics, reports, l->worker.address);
  l->entry = start_node (l, "entry", entry, TRUE);
  l->agent = start_node (l, "agent", agent, FALSE);
}

/* Returns whether the response begins with @expected and contains @part. */
static gboolean
request (struct load *l, const char *method, const char *id, const char *body,
         const char *part)
{
  g_autofree char *text = g_strdup_printf (
      "%s /q/%s HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n%s", method,
      id, strlen (body), body);
  g_autofree char *response
      = crowd_send_request (l->clients, text, START_LIMIT_MS / 10);

  return g_str_has_prefix (response, "HTTP/1.1 200")
         && (!part || strstr (response, part));
}

/* Returns how long a job took to complete, or -1. */
static int64_t
run_job (struct load *l, const char *id)
{
  int64_t begin = hk_clock_ms ();
  gboolean accepted = FALSE;

  while (hk_clock_ms () - begin < JOB_LIMIT_MS)
    {
      if (!accepted)
        accepted = request (
            l, "POST", id,
            "{\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10}]}", NULL);
      else if (request (l, "GET", id, "", "\"completed\""))
        return hk_clock_ms () - begin;
      for (int i = 0; i < 20; i++)
        crowd_run_loop ();
    }
  return -1;
}

static void
run_full (struct load *l, struct crowd_member *members, const struct crowd *c)
{
  for (unsigned i = 0; i < c->connections; i++)
    members[i].fd = crowd_connect (l->clients);
  crowd_send (members, c, c->bytes, sample, l);
}

/* A member that was closed connects again. */
static void
drip (struct load *l, struct crowd_member *members, unsigned n)
{
  static const char text[] = "GET /q/ HTTP/1.1\r\nHost: h\r\nX-Field: 0123456"
                             "789012345678901234567890";
  int64_t begin = hk_clock_ms ();

  for (unsigned i = 0; i < n; i++)
    members[i].fd = crowd_connect (l->clients);
  for (int second = 0; second < DRIP_S; second++)
    {
      for (unsigned i = 0; i < n; i++)
        {
          struct crowd_member *m = &members[i];
          char discard[64];

          if (recv (m->fd, discard, sizeof discard, MSG_DONTWAIT) >= 0)
            {
              l->closed++;
              close (m->fd);
              m->fd = crowd_connect (l->clients);
              m->sent = 0;
            }
          else if (send (m->fd, &text[m->sent % (sizeof text - 1)], 1,
                         MSG_NOSIGNAL | MSG_DONTWAIT)
                   == 1)
            m->sent++;
          if (i % 100 == 0)
            crowd_run_loop ();
        }
      while (hk_clock_ms () < begin + (second + 1) * SECOND_MS)
        {
          sample (l);
          crowd_run_loop ();
        }
    }
}

static void
run_crowd (struct load *l, const char *name)
{
  static const struct crowd crowds[] = {
    { "headers", CROWD_ENTRY, 1500, "GET /q/ HTTP/1.1\r\nHost: h\r\n",
      "X-Field: 0123456789012345678901234567890123456789\r\n", 60000, 0 },
    { "bodies", CROWD_ENTRY, 1500,
      "POST " JOB_PATH " HTTP/1.1\r\nHost: h\r\nContent-Length: 250000"
      "\r\n\r\n",
      " ", 240000, 0 },
    { "drip", CROWD_ENTRY, DRIP_CONNECTIONS, "", "", 0, 0 },
  };
  const struct crowd *c = NULL;
  g_autofree struct crowd_member *members = NULL;
  int64_t before_ms = run_job (l, "00000000000000aa");
  int64_t job_ms;

  for (guint i = 0; i < G_N_ELEMENTS (crowds); i++)
    if (strcmp (crowds[i].name, name) == 0)
      c = &crowds[i];
  g_assert_nonnull (c);
  members = g_new0 (struct crowd_member, c->connections);
  l->base_kb = resident_kb (l);
  if (c->bytes > 0)
    run_full (l, members, c);
  else
    drip (l, members, c->connections);
  job_ms = run_job (l, "00000000000000bb");
  sample (l);
  g_print ("crowd=%s connections=%u alive=%d base_kb=%ld peak_kb=%ld "
           "peak_fds=%u reconnected=%u job_before_ms=%" G_GINT64_FORMAT
           " job_ms=%" G_GINT64_FORMAT "\n",
           name, c->connections,
           g_subprocess_get_identifier (l->entry) != NULL, l->base_kb,
           l->peak_kb, l->peak_fds, l->closed, before_ms, job_ms);
  for (unsigned i = 0; i < c->connections; i++)
    close (members[i].fd);
}

int
main (int argc, char **argv)
{
  struct load l = { 0 };

  if (argc < 3)
    {
      g_printerr ("usage: untrusted BUILD-DIRECTORY headers|bodies|drip "
                  "[NAME=VALUE...]\n");
      return 2;
    }
  l.build = argv[1];
  l.settings = g_ptr_array_new ();
  for (int i = 3; i < argc; i++)
    if (strcmp (argv[i], "old=yes") == 0)
      l.old = TRUE;
    else if (strcmp (argv[i], "limits=no") == 0)
      l.no_limits = TRUE;
    else
      g_ptr_array_add (l.settings, argv[i]);
  if (l.settings->len == 0)
    {
      g_ptr_array_add (l.settings, (char *)"memory_mb=160");
      g_ptr_array_add (l.settings, (char *)"max_fds=4100");
    }
  set_fds (OWN_FDS);
  start_all (&l);
  run_crowd (&l, argv[2]);
  g_subprocess_force_exit (l.entry);
  g_subprocess_force_exit (l.agent);
  g_subprocess_wait (l.entry, NULL, NULL);
  g_subprocess_wait (l.agent, NULL, NULL);
  g_print ("logs=%s\n", l.dir);
  return 0;
}

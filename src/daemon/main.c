/* hyssopkeeld: runs as an entry or as an agent, depending on its settings.
   SIGTERM and SIGINT drain it; after stop_limit_ms it exits regardless. */
#include <glib-unix.h>
#include <locale.h>
#include <signal.h>

#include "hyssopkeel/agent.h"
#include "hyssopkeel/entry.h"
#include "hyssopkeel/guard.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/timer.h"
#include "hyssopkeel/version.h"

enum exit_code
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2
};

struct daemon
{
  struct hk_settings settings;
  GMainLoop *loop;
  struct hk_entry *entry;
  struct hk_agent *agent;
  gboolean stopping;
  int code;
  struct hk_timer stop_timer;
};

static void
on_finish (int code, void *user)
{
  struct daemon *d = user;

  d->code = code;
  g_main_loop_quit (d->loop);
}

static void
on_stop_timeout (void *user)
{
  struct daemon *d = user;

  hk_log (HK_LOG_ERROR, "daemon", NULL, NULL,
          "stop limit of %" G_GINT64_FORMAT
          " ms exceeded; exiting, work in progress is aborted",
          d->settings.stop_limit_ms);
  on_finish (HK_ERR_TIMEOUT, d);
}

static gboolean
on_signal (gpointer user)
{
  struct daemon *d = user;

  if (d->stopping)
    {
      hk_log (HK_LOG_INFO, "daemon", NULL, NULL,
              "signal ignored, already stopping");
      return G_SOURCE_CONTINUE;
    }
  d->stopping = TRUE;
  hk_log (HK_LOG_INFO, "daemon", NULL, NULL, "stopping gracefully");
  hk_timer_set (&d->stop_timer, d->settings.stop_limit_ms, on_stop_timeout, d);
  if (d->entry)
    hk_entry_drain (d->entry);
  else
    hk_agent_drain (d->agent);
  return G_SOURCE_CONTINUE;
}

static int
start_role (struct daemon *d, struct hk_error *err)
{
  if (d->settings.role == HK_ROLE_ENTRY)
    {
      d->entry = hk_entry_new (&d->settings, on_finish, d);
      return hk_entry_start (d->entry, err);
    }
  d->agent = hk_agent_new (&d->settings, on_finish, d);
  return hk_agent_start (d->agent, err);
}

static int
run_daemon (struct daemon *d)
{
  struct hk_error err = { 0 };

  signal (SIGPIPE, SIG_IGN);
  hk_guard_configure (d->settings.memory_mb, d->settings.max_fds);
  d->loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, on_signal, d);
  g_unix_signal_add (SIGINT, on_signal, d);
  if (start_role (d, &err) < 0)
    {
      hk_log_error ("daemon", NULL, &err);
      return EXIT_FAILED;
    }
  hk_log (HK_LOG_INFO, "daemon", d->settings.rpc, NULL,
          "started name=%s role=%s version=" HK_VERSION, d->settings.name,
          d->settings.role_name);
  g_main_loop_run (d->loop);
  if (d->entry)
    hk_entry_free (d->entry);
  else
    hk_agent_free (d->agent);
  hk_log (HK_LOG_INFO, "daemon", NULL, NULL, "stopped");
  g_main_loop_unref (d->loop);
  return d->code == HK_OK ? EXIT_OK : EXIT_FAILED;
}

int
main (int argc, char **argv)
{
  g_autofree char *file = NULL;
  gboolean check = FALSE;
  gboolean version = FALSE;
  GOptionEntry options[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &file,
            "Settings file, JSON with comments", "FILE" },
          { "check", 0, 0, G_OPTION_ARG_NONE, &check,
            "Validate the settings and exit", NULL },
          { "version", 0, 0, G_OPTION_ARG_NONE, &version,
            "Print the version and exit", NULL },
          { NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- run an entry or an agent");
  g_autoptr (GError) gerr = NULL;
  struct daemon daemon = { 0 };
  struct hk_error err = { 0 };
  int code;

  setlocale (LC_ALL, "C.UTF-8");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &gerr))
    {
      g_printerr ("hyssopkeeld: %s; see hyssopkeeld --help\n", gerr->message);
      return EXIT_USAGE;
    }
  if (version)
    {
      g_print ("hyssopkeeld " HK_VERSION "\n");
      return EXIT_OK;
    }
  if (!file || argc > 1)
    {
      g_printerr ("hyssopkeeld: expected --settings FILE and no other "
                  "arguments; see hyssopkeeld --help\n");
      return EXIT_USAGE;
    }
  if (hk_settings_load (&daemon.settings, file, &err) < 0)
    {
      g_printerr ("hyssopkeeld: %s: %s\n", err.peer, err.text);
      return EXIT_USAGE;
    }
  if (check)
    {
      g_print ("%s: settings are valid\n", file);
      hk_settings_finish (&daemon.settings);
      return EXIT_OK;
    }
  hk_log_init (daemon.settings.log);
  code = run_daemon (&daemon);
  hk_settings_finish (&daemon.settings);
  return code;
}

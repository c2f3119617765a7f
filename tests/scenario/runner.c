/* Runs each script given on the command line as one GLib test. */
#include <signal.h>
#include <string.h>

#include "commands.h"

static void
run_script (gconstpointer user)
{
  const char *path = user;
  g_autofree char *text = NULL;
  g_autofree char *base = g_path_get_basename (path);
  g_auto (GStrv) lines = NULL;
  struct scenario s = { 0 };

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", 0);
  for (guint i = 0; lines[i]; i++)
    {
      g_auto (GStrv) words = NULL;

      g_free (s.where);
      s.where = g_strdup_printf ("%s:%u", base, i + 1);
      /* g_shell_parse_argv() fails for blank lines and comments. */
      if (!g_shell_parse_argv (lines[i], NULL, &words, NULL))
        continue;
      scenario_command (&s, words);
      if (s.started)
        scenario_check_revisions (&s);
    }
  scenario_finish (&s);
  g_free (s.where);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  signal (SIGPIPE, SIG_IGN);
  for (int i = 1; i < argc; i++)
    {
      g_autofree char *base = g_path_get_basename (argv[i]);
      g_autofree char *dir = g_path_get_dirname (argv[i]);
      g_autofree char *name
          = g_strdup_printf ("/scenario/%.*s", (int)strcspn (base, "."), base);

      g_setenv ("HK_SCRIPT_DIR", dir, TRUE);
      g_test_add_data_func (name, argv[i], run_script);
    }
  return g_test_run ();
}

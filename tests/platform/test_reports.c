/* What follows when a liveness report lies, or is odd, and for how long. */
#include <glib.h>
#include <string.h>

#include "hyssopkeel/log.h"
#include "report_support.h"

/* An endpoint that is sound, and reports so, is in use again within this time
   after an odd report. */
#define RECOVERY_MAX_MS 5000

/* The endpoint has @n labels of @bytes bytes from now on. */
static unsigned
report_labels (struct report_fixture *f, int n, size_t bytes)
{
  g_autofree char *label = g_strnfill (bytes, 'l');
  g_autoptr (GString) list = g_string_new ("[");

  for (int i = 0; i < n; i++)
    g_string_append_printf (list, "%s\"%s\"", i > 0 ? "," : "", label);
  g_string_append (list, "]");
  g_free (f->labels);
  f->labels = g_strdup (list->str);
  return report_ready (f);
}

/* Guards against an agent that is cut off for good: its reports to the
   coordinator held labels that did not encode. */
static void
many_and_long_labels_are_carried (void)
{
  struct report_fixture f;

  report_fixture_init (&f);
  g_assert_cmpuint (report_labels (&f, 65, 201), ==, 200);
  g_assert_true (report_job_runs (&f, "a1", RECOVERY_MAX_MS));
  g_assert_cmpuint (report_labels (&f, HK_JOB_LABELS_MAX, 1), ==, 200);
  g_assert_true (report_job_runs (&f, "a2", RECOVERY_MAX_MS));
  g_assert_cmpuint (report_labels (&f, 4, HK_JOB_TEXT_MAX), ==, 200);
  g_assert_true (report_job_runs (&f, "a3", RECOVERY_MAX_MS));
  report_fixture_finish (&f);
}

static void
labels_over_a_limit_are_refused (void)
{
  struct report_fixture f;

  report_fixture_init (&f);
  g_assert_cmpuint (report_labels (&f, HK_JOB_LABELS_MAX + 1, 1), ==, 400);
  g_assert_cmpuint (report_labels (&f, 1, HK_JOB_TEXT_MAX + 1), ==, 400);
  g_assert_cmpuint (report_labels (&f, 5, HK_JOB_TEXT_MAX), ==, 400);
  g_assert_cmpuint (report_labels (&f, 1, 1), ==, 200);
  g_assert_true (report_job_runs (&f, "a1", RECOVERY_MAX_MS));
  report_fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/reports/" #name, name)
  ADD (many_and_long_labels_are_carried);
  ADD (labels_over_a_limit_are_refused);
  return g_test_run ();
}

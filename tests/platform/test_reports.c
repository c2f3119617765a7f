/* What follows when a liveness report lies, or is odd, and for how long. */
#include <glib.h>
#include <string.h>
#include <sys/resource.h>

#include "hyssopkeel/log.h"
#include "../../src/runner/runner.h"
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

/* Reports that are answered 200 and say of a sound endpoint what is not true.
   The format takes its start time. */
static const struct
{
  const char *id;
  const char *format;
} lies[] = {
#define LIE(id, state, sequence, more)                                        \
  {                                                                           \
    id, "{\"service\":\"pool\",\"state\":\"" state                            \
        "\",\"sequence\":" sequence                                           \
        ",\"capacity\":{\"cpu\":4000,\"memMb\":4000},"                        \
        "\"labels\":[\"a\"]" more "}"                                         \
  }
#define BORN ",\"born\":%" PRId64
  LIE ("i-1", "ready", "1", ",\"born\":9223372036854775807"),
  LIE ("i-1", "ready", "1", ",\"born\":99999999999999999999999"),
  LIE ("i-1", "draining", "1", ",\"born\":4102444800000"),
  LIE ("i-1", "draining", "9223372036854775807", BORN),
  LIE ("i-1", "draining", "2000000", BORN),
  LIE ("i-2", "ready", "9223372036854775807", BORN),
  LIE ("i-2", "draining", "1", ",\"born\":4102444800000"),
  LIE ("i-1", "draining", "3", ",\"remainingMs\":2147483647" BORN),
};

static unsigned
send_lie (struct report_fixture *f, guint i)
{
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
  g_autofree char *body
      = g_strdup_printf (lies[i].format, f->rt.start_time_ms);
#pragma GCC diagnostic pop

  g_test_message ("%s: %s", lies[i].id, body);
  return report_send (f, lies[i].id, body);
}

/* Guards against a sound endpoint that stays out of use for good, as its own
   reports and lists pass for late ones after one that lied. */
static void
sound_endpoints_are_used_after_a_lie (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (lies); i++)
    {
      struct report_fixture f;

      report_fixture_init (&f);
      g_assert_cmpuint (report_ready (&f), ==, 200);
      g_assert_true (report_job_runs (&f, "a1", RECOVERY_MAX_MS));
      g_assert_cmpuint (send_lie (&f, i), ==, 200);
      g_assert_true (report_job_runs (&f, "a2", RECOVERY_MAX_MS));
      report_fixture_finish (&f);
    }
}

/* The same if the lie is the first that the agent hears. */
static void
sound_endpoints_are_used_if_the_first_report_lies (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (lies); i++)
    {
      struct report_fixture f;

      report_fixture_init (&f);
      g_assert_cmpuint (send_lie (&f, i), ==, 200);
      test_run_for (100);
      g_assert_true (report_job_runs (&f, "a1", RECOVERY_MAX_MS));
      report_fixture_finish (&f);
    }
}

/* A report that was delayed arrives after its sender has crashed. */
static void
reports_of_former_incarnations_are_ignored (void)
{
  struct report_fixture f;
  g_autofree char *former = NULL;

  report_fixture_init (&f);
  former = g_strdup_printf (
      "{\"service\":\"pool\",\"state\":\"draining\",\"sequence\":9,"
      "\"capacity\":{\"cpu\":1,\"memMb\":1},\"born\":%" PRId64 "}",
      f.rt.start_time_ms);
  g_assert_true (report_job_runs (&f, "a1", RECOVERY_MAX_MS));
  memory_runtime_restart (&f.rt);
  f.rt.instance = "i-2";
  f.sequence = 0;
  g_assert_true (report_job_runs (&f, "a2", RECOVERY_MAX_MS));
  g_assert_cmpuint (report_send (&f, "i-1", former), ==, 200);
  test_run_for (200);
  g_assert_cmpstr (f.rt.addressed, ==, "i-2");
  g_assert_false (f.runner->draining);
  g_assert_cmpuint (f.runner->cpu_milli, ==, 4000);
  report_fixture_finish (&f);
}

/* Most memory that this process has had, bytes. */
static size_t
peak_memory (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (size_t)usage.ru_maxrss * 1024;
}

static unsigned
send_repeated (struct report_fixture *f, const char *open, size_t bytes)
{
  g_autoptr (GString) body = g_string_sized_new (bytes);

  while (body->len < bytes)
    g_string_append (body, open);
  return report_send (f, "i-1", body->str);
}

/* Guards against an agent that ends for want of memory: it had a table for
   each level of a deeply nested report, and no limit on the length of one. */
static void
odd_reports_take_little_memory (void)
{
  const size_t bytes = 4 << 20;
  struct report_fixture f;
  size_t before;

  report_fixture_init (&f);
  g_assert_cmpuint (report_ready (&f), ==, 200);
  before = peak_memory ();
  g_assert_cmpuint (send_repeated (&f, "{\"a\":", 380000), ==, 400);
  g_assert_cmpuint (send_repeated (&f, "[", 380000), ==, 400);
  g_assert_cmpuint (send_repeated (&f, "{\"a\":", bytes), ==, 413);
  g_assert_cmpuint (send_repeated (&f, "[[],[],[],[]],", bytes), ==, 413);
  /* Sender and receiver are one process: it holds the body several times. */
  g_assert_cmpuint (peak_memory () - before, <, 8 * bytes);
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
  ADD (sound_endpoints_are_used_after_a_lie);
  ADD (sound_endpoints_are_used_if_the_first_report_lies);
  ADD (odd_reports_take_little_memory);
  ADD (reports_of_former_incarnations_are_ignored);
  return g_test_run ();
}

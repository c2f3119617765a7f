/* Unit tests of parsers: which settings, tables and job records are rejected,
   and with which message. */
#include <glib.h>
#include <string.h>

#include "hyssopkeel/changes.h"
#include "hyssopkeel/job.h"
#include "hyssopkeel/json.h"
#include "hyssopkeel/settings.h"
#include "hyssopkeel/tables.h"

#define AGENT_SETTINGS                                                        \
  "\"role\":\"agent\",\"name\":\"a\",\"domain\":\"d\",\"pool\":\"p\","        \
  "\"rpc\":\"127.0.0.1:7201\",\"worker\":\"http://127.0.0.1:7101\","          \
  "\"entries\":[\"127.0.0.1:7001\"],\"store\":[\"http://127.0.0.1:2379\"]"

static void
expect_settings (const char *text, const char *message)
{
  struct hk_settings s = { 0 };
  struct hk_error err = { 0 };
  int rc = hk_settings_parse (&s, text, strlen (text), "file", &err);

  if (!message)
    g_assert_cmpint (rc, ==, HK_OK);
  else
    {
      g_assert_cmpint (rc, <, 0);
      g_assert_cmpstr (err.peer, ==, "file");
      if (!strstr (err.text, message))
        g_error ("\"%s\" is not in \"%s\"", message, err.text);
    }
  hk_settings_finish (&s);
}

static void
settings_errors_name_path_and_rule (void)
{
  expect_settings ("// fine\n{" AGENT_SETTINGS " /* yes */ }", NULL);
  expect_settings ("{" AGENT_SETTINGS ",\"extra\":1}", "/extra: unknown key");
  expect_settings ("{" AGENT_SETTINGS ",\"http\":\"127.0.0.1:1\"}",
                   "/http: unknown");
  expect_settings ("{" AGENT_SETTINGS ",\"session_ttl_s\":\"9\"}",
                   "/session_ttl_s: must be a whole number");
  expect_settings ("{" AGENT_SETTINGS ",\"session_ttl_s\":1}",
                   "/session_ttl_s: value must be between");
  expect_settings ("{" AGENT_SETTINGS ",\"session_ttl_s\":6}", "three times");
  expect_settings ("{" AGENT_SETTINGS ",\"name\":\"b\"}", "given twice");
  expect_settings ("{" AGENT_SETTINGS "} x", "line 1");
  expect_settings ("{" AGENT_SETTINGS ",}", "line 1");
  expect_settings ("{" AGENT_SETTINGS, "line 1");
  expect_settings ("/* open", "not closed");
  expect_settings ("{\"role\":\"king\"}", "/role: must be");
  expect_settings ("{\"role\":\"agent\"}", "is required");
  expect_settings ("\xff", "UTF-8");
  expect_settings ("", "line 1");
}

static void
settings_reject_bad_and_duplicate_addresses (void)
{
  const char *fmt = "{\"role\":\"entry\",\"name\":\"e\",\"domain\":\"d\","
                    "\"http\":\"%s\",\"rpc\":\"%s\","
                    "\"store\":[\"http://127.0.0.1:2379\"]}";
  g_autofree char *twice = g_strdup_printf (fmt, "127.0.0.1:1", "127.0.0.1:1");
  g_autofree char *name = g_strdup_printf (fmt, "localhost:1", "127.0.0.1:1");
  g_autofree char *port = g_strdup_printf (fmt, "127.0.0.1:0", "127.0.0.1:1");

  expect_settings (twice, "/http: address is used twice");
  expect_settings (name, "/http: must be an IP number");
  expect_settings (port, "/http: must be an IP number");
}

static int
parse_tables (struct hk_tables *t, const char *text, struct hk_error *err)
{
  hk_tables_init (t);
  return hk_tables_parse (t, text, strlen (text), "tables", err);
}

static void
expect_tables (const char *text, const char *message)
{
  struct hk_tables t;
  struct hk_error err = { 0 };

  g_assert_cmpint (parse_tables (&t, text, &err), ==, HK_ERR_INVALID);
  if (!strstr (err.text, message))
    g_error ("\"%s\" is not in \"%s\"", message, err.text);
  hk_tables_finish (&t);
}

static void
tables_validate_rows_and_references (void)
{
  expect_tables ("{\"routes\":{\"r\":{\"pool\":\"p\",\"kind\":\"batch\"}}}",
                 "pool \"p\" does not exist");
  expect_tables ("{\"pools\":{\"p\":{}},\"routes\":{"
                 "\"a\":{\"pool\":\"p\",\"kind\":\"batch\",\"share\":60},"
                 "\"b\":{\"pool\":\"p\",\"kind\":\"batch\",\"share\":60}}}",
                 "more than 100");
  expect_tables ("{\"pools\":{\"p/q\":{}}}", "letters, digits");
  expect_tables ("{\"pools\":{\"p\":{\"quotas\":[\"x\"]}}}", "team=12");
  expect_tables ("{\"pools\":{\"p\":{}},\"routes\":{\"r\":{\"pool\":\"p\","
                 "\"kind\":\"interactive\",\"hedge\":true}}}",
                 "idempotent");
  expect_tables ("{\"tables\":{}}", "unknown key");
  expect_tables ("[]", "must be an object");
}

static void
tables_keep_old_rows_on_error (void)
{
  struct hk_tables t;
  struct hk_error err = { 0 };
  const char *bad = "{\"routes\":1}";

  g_assert_cmpint (
      parse_tables (&t,
                    "{\"revision\":4,\"pools\":{\"p\":{\"quotas\":["
                    "\"a=3\"]}}}",
                    &err),
      ==, HK_OK);
  g_assert_cmpint (hk_tables_parse (&t, bad, strlen (bad), "x", &err), <, 0);
  g_assert_cmpint (t.revision, ==, 4);
  g_assert_cmpint (hk_pool_quota (hk_tables_pool (&t, "p"), "a"), ==, 3);
  g_assert_cmpint (hk_pool_quota (hk_tables_pool (&t, "p"), "b"), ==, -1);
  hk_tables_finish (&t);
}

static json_object *
parse_json (const char *text)
{
  json_object *obj = NULL;

  g_assert_cmpint (hk_json_parse (&obj, text, strlen (text), "t", NULL), ==,
                   HK_OK);
  return obj;
}

static void
changes_can_be_undone (void)
{
  g_autoptr (json_object) before
      = parse_json ("{\"pools\":{\"p\":{\"a\":1},\"q\":{}}}");
  g_autoptr (json_object) after
      = parse_json ("{\"pools\":{\"p\":{\"a\":2}},\"routes\":{\"r\":{}}}");
  g_autoptr (json_object) patched
      = parse_json ("{\"pools\":{\"p\":{\"a\":1},\"q\":{}}}");
  g_autoptr (GPtrArray) all_changes
      = hk_changes_between (before, after, FALSE);
  g_autoptr (GPtrArray) without_removals
      = hk_changes_between (before, after, TRUE);
  g_autoptr (json_object) text = hk_changes_write (all_changes);
  g_autoptr (GPtrArray) read_back = hk_changes_read (text);

  g_assert_cmpuint (all_changes->len, ==, 3);
  g_assert_cmpuint (without_removals->len, ==, 2);
  hk_changes_apply (patched, read_back);
  g_assert_true (json_object_equal (patched, after));
  hk_changes_undo (patched, read_back);
  json_object_object_del (patched, "routes");
  g_assert_true (json_object_equal (patched, before));
}

static void
job_records_round_trip (void)
{
  const char *text = "{\"id\":\"j\",\"route\":\"r\",\"state\":\"running\","
                     "\"epoch\":3,\"holder\":\"s\",\"write_id\":\"w\"}";
  struct hk_job job = { 0 };
  struct hk_job reread = { 0 };
  g_autofree char *written = NULL;

  g_assert_cmpint (hk_job_parse (&job, text, strlen (text), NULL), ==, HK_OK);
  hk_job_add_failure (&job, "i1");
  hk_job_add_failure (&job, "i1");
  written = hk_job_write (&job);
  g_assert_cmpint (hk_job_parse (&reread, written, strlen (written), NULL), ==,
                   HK_OK);
  g_assert_cmpint (reread.attempts, ==, 2);
  g_assert_cmpuint (g_strv_length (reread.failed_on), ==, 1);
  hk_job_requeue (&reread);
  g_assert_cmpint (reread.state, ==, HK_JOB_QUEUED);
  g_assert_null (reread.holder);
  g_assert_cmpint (reread.epoch, ==, 3);
  hk_job_finish (&job);
  hk_job_finish (&reread);
  g_assert_cmpint (hk_job_parse (&job, "{}", 2, NULL), <, 0);
}

static void
only_crashes_alone_count_as_failures (void)
{
  const char *text = "{\"id\":\"j\",\"route\":\"r\",\"state\":\"running\","
                     "\"holder\":\"s\",\"write_id\":\"w\"}";
  struct hk_job job = { 0 };
  struct hk_job reread = { 0 };
  g_autofree char *written = NULL;

  g_assert_cmpint (hk_job_parse (&job, text, strlen (text), NULL), ==, HK_OK);
  g_assert_false (hk_job_is_suspect (&job));
  for (int i = 0; i < 10; i++)
    hk_job_add_crash (&job, "i1", FALSE);
  g_assert_cmpint (job.state, ==, HK_JOB_QUEUED);
  g_assert_cmpint (job.attempts, ==, 0);
  written = hk_job_write (&job);
  g_assert_cmpint (hk_job_parse (&reread, written, strlen (written), NULL), ==,
                   HK_OK);
  g_assert_true (hk_job_is_suspect (&reread));
  hk_job_add_crash (&reread, "i1", TRUE);
  hk_job_add_crash (&reread, "i2", TRUE);
  g_assert_cmpint (reread.state, ==, HK_JOB_QUEUED);
  hk_job_add_crash (&reread, "i3", TRUE);
  g_assert_cmpint (reread.state, ==, HK_JOB_FAILED);
  hk_job_finish (&job);
  hk_job_finish (&reread);
}

static void
json_is_bounded_in_depth (void)
{
  struct hk_error err = { 0 };
  g_autoptr (GString) text = g_string_new (NULL);
  json_object *obj = NULL;

  for (int i = 0; i < HK_JSON_DEPTH_MAX; i++)
    g_string_append (text, "[");
  for (int i = 0; i < HK_JSON_DEPTH_MAX; i++)
    g_string_append (text, "]");
  g_assert_cmpint (hk_json_parse (&obj, text->str, text->len, "t", &err), ==,
                   HK_OK);
  json_object_put (obj);
  g_string_prepend (text, "[");
  g_string_append (text, "]");
  g_assert_cmpint (hk_json_parse (&obj, text->str, text->len, "t", &err), ==,
                   HK_ERR_INVALID);
  g_assert_nonnull (strstr (err.text, "32 levels"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/jobs/only_crashes_alone_count_as_failures",
                   only_crashes_alone_count_as_failures);
  g_test_add_func ("/settings/errors", settings_errors_name_path_and_rule);
  g_test_add_func ("/settings/addresses",
                   settings_reject_bad_and_duplicate_addresses);
  g_test_add_func ("/json/depth", json_is_bounded_in_depth);
  g_test_add_func ("/tables/join", tables_validate_rows_and_references);
  g_test_add_func ("/tables/old", tables_keep_old_rows_on_error);
  g_test_add_func ("/tables/changes", changes_can_be_undone);
  g_test_add_func ("/jobs/round-trip", job_records_round_trip);
  return g_test_run ();
}

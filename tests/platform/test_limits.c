/* Texts and lists of submissions at and beyond their limits. */
#include <glib.h>
#include <string.h>

#include "api_support.h"
#include "../../platform/submission_decode.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/json.h"

#define STEP_OPEN "{\"count\":1,\"cpu\":100,\"memMb\":10"

/* Submits a step with a text member of @bytes bytes. */
static unsigned
submit_text (struct api_fixture *f, const char *member, size_t bytes,
             unsigned job)
{
  g_autofree char *path = g_strdup_printf ("/p/%016x", job);
  g_autofree char *text = g_strnfill (bytes, 'x');
  g_autofree char *body = g_strdup_printf (
      "{\"steps\":[" STEP_OPEN ",\"%s\":\"%s\"}]}", member, text);

  return api_send (f, "POST", path, body);
}

/* Guards against an entry that ends with signal 11: a text over 200 bytes made
   the copy of the request fail, and its id was NULL. */
static void
long_texts_are_carried_and_longer_ones_refused (void)
{
  static const char *const members[] = { "image", "constraints", "affinity" };
  const size_t accepted[] = { 0, 200, 201, HK_JOB_TEXT_MAX };
  struct api_fixture f;
  unsigned job = 1;

  api_fixture_init (&f);
  for (guint t = 0; t < G_N_ELEMENTS (members); t++)
    {
      for (guint i = 0; i < G_N_ELEMENTS (accepted); i++)
        g_assert_cmpuint (submit_text (&f, members[t], accepted[i], job++), ==,
                          200);
      g_assert_cmpuint (
          submit_text (&f, members[t], HK_JOB_TEXT_MAX + 1, job++), ==, 400);
      g_assert_nonnull (strstr (f.body, members[t]));
      g_assert_nonnull (strstr (f.body, "65537 bytes"));
    }
  api_fixture_finish (&f);
}

/* Guards against a job that is accepted and kept nowhere: its record did not
   fit the store, and the commit went on without it. */
static void
jobs_over_the_limit_of_a_record_are_refused (void)
{
  g_autofree char *image = g_strnfill (HK_JOB_TEXT_MAX, 'i');
  g_autoptr (GString) body = g_string_new ("{\"steps\":[");
  struct api_fixture f;

  api_fixture_init (&f);
  for (int i = 0; i < 13; i++)
    g_string_append_printf (body, "%s" STEP_OPEN ",\"image\":\"%s\"}",
                            i > 0 ? "," : "", image);
  g_string_append (body, "]}");
  g_assert_cmpuint (api_send (&f, "POST", API_JOB_PATH, body->str), ==, 400);
  g_assert_nonnull (strstr (f.body, "bytes in the store"));
  g_assert_cmpuint (api_send (&f, "GET", API_JOB_PATH, NULL), ==, 410);
  g_assert_cmpuint (submit_text (&f, "image", 1, 9), ==, 200);
  api_fixture_finish (&f);
}

/* Guards against values that are taken for others: numbers out of range
   counted as 0, texts were cut at U+0000, and other types counted as missing.
 */
static void
odd_values_are_refused_with_their_names (void)
{
#define STEP(member) "{\"steps\":[" STEP_OPEN "," member "}]}"
  static const struct
  {
    const char *body;
    const char *expected;
  } bodies[] = {
    { STEP ("\"gpu\":2147483648"), "step 0: gpu is 2147483648" },
    { STEP ("\"gpu\":99999999999999999999"), "step 0: gpu" },
    { STEP ("\"gpu\":-1"), "step 0: gpu is -1" },
    { STEP ("\"gpu\":1.5"), "step 0: gpu is 1.5" },
    { STEP ("\"gpu\":1e300"), "step 0: gpu" },
    { STEP ("\"gpu\":\"2\""), "step 0: gpu" },
    { STEP ("\"gang\":\"true\""), "step 0: gang must be true or false" },
    { STEP ("\"image\":7"), "step 0: image must be a string" },
    { STEP ("\"image\":\"a\\u0000b\""), "step 0: image must not contain" },
    { STEP ("\"affinity\":\"\\u0000\""), "step 0: affinity" },
    { STEP ("\"constraints\":[]"), "step 0: constraints" },
    { STEP ("\"after\":0"), "step 0: after must be a list" },
    { STEP ("\"after\":[\"0\"]"), "step 0: after" },
    { STEP ("\"after\":[-1]"), "step 0: after is -1" },
    { "{\"steps\":[7]}", "step 0 must be an object" },
    { "{\"steps\":{}}", "steps must be a list" },
    { "{\"spec\":{},\"steps\":[" STEP_OPEN "}]}", "spec must be a string" },
    { "{\"repeatCount\":-2,\"steps\":[" STEP_OPEN "}]}", "repeatCount is -2" },
  };
  struct api_fixture f;

  api_fixture_init (&f);
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_test_message ("%s", bodies[i].body);
      g_assert_cmpuint (api_send (&f, "POST", API_JOB_PATH, bodies[i].body),
                        ==, 400);
      g_test_message ("%s", f.body);
      g_assert_nonnull (strstr (f.body, bodies[i].expected));
    }
  /* A member that is null counts as missing, and a float may be whole. */
  g_assert_cmpuint (api_send (&f, "POST", API_JOB_PATH,
                              STEP ("\"gpu\":null,\"estimateMs\":9e2")),
                    ==, 200);
  api_fixture_finish (&f);
#undef STEP
}

/* Guards against jobs that run without a property that they ask for: tasks of
   a gang that wait for each other, and occurrences before their time. */
static void
what_is_not_supported_is_refused (void)
{
  static const struct
  {
    const char *body;
    const char *expected; /* NULL if the job is accepted */
  } bodies[] = {
    { "{\"steps\":[{\"count\":2,\"cpu\":100,\"memMb\":1,\"gang\":true}]}",
      "step 0: a gang of 2 tasks" },
    { "{\"repeatCount\":3,\"startAtMs\":1,\"intervalMs\":500,"
      "\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":1}]}",
      "repeat is 3" },
    { "{\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":1,\"gang\":true}]}",
      NULL },
  };
  struct api_fixture f;

  api_fixture_init (&f);
  for (guint i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      unsigned status = api_send (&f, "POST", API_JOB_PATH, bodies[i].body);

      g_test_message ("%s", f.body);
      g_assert_cmpuint (status, ==, bodies[i].expected ? 400 : 200);
      if (bodies[i].expected)
        g_assert_nonnull (strstr (f.body, bodies[i].expected));
    }
  api_fixture_finish (&f);
}

/* Guards against a spec that reaches the endpoint cut off at U+0000. */
static void
specs_are_carried_whole (void)
{
  const struct hk_queue queue
      = { .name = (char *)"r", .pool = (char *)"pool", .max_attempts = 1 };
  struct hk_error err = { 0 };
  hk_job_spec spec = { 0 };
  g_autoptr (json_object) body = NULL;

  g_assert_cmpint (
      hk_json_parse (
          &body, "{\"spec\":\"a\\u0000b\",\"steps\":[" STEP_OPEN "}]}",
          strlen ("{\"spec\":\"a\\u0000b\",\"steps\":[" STEP_OPEN "}]}"),
          "body", &err),
      ==, HK_OK);
  g_assert_cmpint (submission_decode (&spec, body, &queue, "a", &err), ==,
                   HK_OK);
  g_assert_cmpmem (spec.payload.payload_val, spec.payload.payload_len, "a\0b",
                   3);
  xdr_free ((xdrproc_t)xdr_hk_job_spec, (char *)&spec);
}

static void
specs_have_up_to_4000_bytes (void)
{
  const struct
  {
    size_t bytes;
    unsigned status;
  } specs[] = { { 0, 200 }, { 4000, 200 }, { 4001, 400 } };
  struct api_fixture f;

  api_fixture_init (&f);
  for (guint i = 0; i < G_N_ELEMENTS (specs); i++)
    {
      g_autofree char *text = g_strnfill (specs[i].bytes, 's');
      g_autofree char *path = g_strdup_printf ("/p/%016x", i);
      g_autofree char *body = g_strdup_printf (
          "{\"spec\":\"%s\",\"steps\":[" STEP_OPEN "}]}", text);

      g_assert_cmpuint (api_send (&f, "POST", path, body), ==,
                        specs[i].status);
    }
  g_assert_nonnull (strstr (f.body, "spec has 4001 bytes"));
  api_fixture_finish (&f);
}

static gboolean
is_leading (void *user)
{
  return hk_coord_leading (user);
}

/* Guards against a successor that does not know what its predecessor could
   accept. */
static void
successors_load_long_texts (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct api_fixture f;
  struct hk_error err;

  api_fixture_init (&f);
  g_assert_cmpuint (submit_text (&f, "image", HK_JOB_TEXT_MAX, 7), ==, 200);
  hk_coord_free (f.coord);
  test_run_for (50);
  options.name = "e2";
  options.address = f.rpc;
  f.coord = hk_coord_new (&f.store.base, &options);
  f.api.coord = f.coord;
  g_assert_cmpint (hk_coord_start (f.coord, &err), ==, HK_OK);
  test_run_until (is_leading, f.coord);
  g_assert_cmpuint (api_send (&f, "GET", "/p/0000000000000007", NULL), ==,
                    200);
  g_assert_cmpstr (f.body, ==, "{\"state\":\"queued\"}");
  api_fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/submission_limits/" #name, name)
  ADD (long_texts_are_carried_and_longer_ones_refused);
  ADD (successors_load_long_texts);
  ADD (odd_values_are_refused_with_their_names);
  ADD (what_is_not_supported_is_refused);
  ADD (specs_are_carried_whole);
  ADD (specs_have_up_to_4000_bytes);
  ADD (jobs_over_the_limit_of_a_record_are_refused);
  return g_test_run ();
}

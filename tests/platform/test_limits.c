/* Texts and lists of submissions at and beyond their limits. */
#include <glib.h>
#include <string.h>

#include "api_support.h"
#include "hyssopkeel/engine.h"

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
  static const struct
  {
    const char *member;
    const char *field;
  } texts[] = { { "image", "image" },
                { "constraints", "label" },
                { "affinity", "rack" } };
  const size_t accepted[] = { 0, 200, 201, HK_JOB_TEXT_MAX };
  struct api_fixture f;
  unsigned job = 1;

  api_fixture_init (&f);
  for (guint t = 0; t < G_N_ELEMENTS (texts); t++)
    {
      for (guint i = 0; i < G_N_ELEMENTS (accepted); i++)
        g_assert_cmpuint (
            submit_text (&f, texts[t].member, accepted[i], job++), ==, 200);
      g_assert_cmpuint (
          submit_text (&f, texts[t].member, HK_JOB_TEXT_MAX + 1, job++), ==,
          400);
      g_assert_nonnull (strstr (f.body, texts[t].field));
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
  ADD (jobs_over_the_limit_of_a_record_are_refused);
  return g_test_run ();
}

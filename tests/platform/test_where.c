/* The operators' question over HTTP where a submission would be placed. */
#include <glib.h>
#include <string.h>

#include "api_support.h"

#define BODY "{\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":10}]}"
#define QUESTION "/where?host=h.example&path=%2Fp%2F"

/* Sends to the metrics address instead of the clients'. */
static unsigned
ask (struct api_fixture *f, const char *method, const char *path,
     const char *body)
{
  char *clients = f->clients;
  unsigned status;

  f->clients = f->api.metrics;
  status = api_send (f, method, path, body);
  f->clients = clients;
  return status;
}

/* Guards against a question that clients may ask, or that submits the job. */
static void
operators_are_answered_and_nothing_is_submitted (void)
{
  struct api_fixture f;

  api_fixture_init (&f);
  g_assert_cmpuint (ask (&f, "POST", QUESTION, BODY), ==, 200);
  g_assert_nonnull (strstr (f.body, "\"admitted\":true"));
  g_assert_nonnull (strstr (f.body, "\"decision\":\"wait\""));
  g_assert_cmpuint (api_send (&f, "GET", "/p/", NULL), ==, 200);
  g_assert_nonnull (strstr (f.body, "0"));
  g_assert_cmpuint (api_send (&f, "POST", QUESTION, BODY), ==, 404);
  api_fixture_finish (&f);
}

static void
invalid_questions_are_rejected (void)
{
  struct api_fixture f;

  api_fixture_init (&f);
  g_assert_cmpuint (ask (&f, "POST", QUESTION, "{\"steps\":[]}"), ==, 400);
  g_assert_cmpuint (ask (&f, "POST", QUESTION, "no json"), ==, 400);
  g_assert_cmpuint (ask (&f, "POST", "/where?host=h.example", BODY), ==, 400);
  g_assert_cmpuint (ask (&f, "POST", "/where?host=other&path=%2Fp%2F", BODY),
                    ==, 404);
  g_assert_cmpuint (ask (&f, "GET", QUESTION, NULL), ==, 405);
  api_fixture_finish (&f);
}

static void
questions_are_refused_while_nobody_leads (void)
{
  struct api_fixture f;

  api_fixture_init (&f);
  hk_coord_resign (f.coord);
  g_assert_cmpuint (ask (&f, "POST", QUESTION, BODY), ==, 503);
  api_fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/where_api/" #name, name)
  ADD (operators_are_answered_and_nothing_is_submitted);
  ADD (invalid_questions_are_rejected);
  ADD (questions_are_refused_while_nobody_leads);
  return g_test_run ();
}

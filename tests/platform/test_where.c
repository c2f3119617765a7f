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

/* A run of the command-line tool; the entry answers it in this process. */
struct tool
{
  GSubprocess *process;
  gboolean done;
  char *output;
};

static void
on_tool_done (GObject *source, GAsyncResult *res, gpointer user)
{
  struct tool *t = user;

  g_assert_true (g_subprocess_communicate_utf8_finish (
      G_SUBPROCESS (source), res, &t->output, NULL, NULL));
  t->done = TRUE;
}

static gboolean
is_tool_done (void *user)
{
  return ((struct tool *)user)->done;
}

/* Returns the exit code; @output is freed by the caller. */
static int
run_tool (const char *node, const char *host, const char *option,
          const char *submission, char **output)
{
  g_autofree char *program
      = g_build_filename (g_getenv ("HK_BUILD_DIR"), "hyssopkeel", NULL);
  const char *argv[] = { program, "where", "--node", node, "--host",
                         host,    "/p/",   option,   NULL };
  struct tool t = { 0 };
  int code;

  t.process = g_subprocess_newv (
      argv, G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE,
      NULL);
  g_assert_nonnull (t.process);
  g_subprocess_communicate_utf8_async (t.process, submission, NULL,
                                       on_tool_done, &t);
  test_run_until (is_tool_done, &t);
  code = g_subprocess_get_exit_status (t.process);
  g_object_unref (t.process);
  *output = t.output;
  return code;
}

static void
check_tool (const char *node, const char *host, const char *option,
            const char *submission, int code, const char *text)
{
  g_autofree char *output = NULL;

  g_assert_cmpint (run_tool (node, host, option, submission, &output), ==,
                   code);
  g_assert_nonnull (strstr (output, text));
}

static void
the_tool_prints_answers_and_exit_codes (void)
{
  g_autofree char *nobody = test_address ();
  struct api_fixture f;

  if (!g_getenv ("HK_BUILD_DIR"))
    {
      g_test_skip ("HK_BUILD_DIR names no directory with the tool");
      return;
    }
  api_fixture_init (&f);
  check_tool (f.api.metrics, "h.example", NULL, BODY, 0, "decision=wait");
  check_tool (f.api.metrics, "h.example", "--json", BODY, 0,
              "\"decision\":\"wait\"");
  check_tool (f.api.metrics, "h.example", NULL, "{\"steps\":[]}", 2, "");
  check_tool (f.api.metrics, "other", NULL, BODY, 5, "");
  check_tool (nobody, "h.example", NULL, BODY, 6, "");
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
  ADD (the_tool_prints_answers_and_exit_codes);
  return g_test_run ();
}

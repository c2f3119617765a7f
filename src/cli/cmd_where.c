/* Verb that asks an entry of hyssopkeel-node where a submission would be
   placed now, without submitting it. */
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"

/* Longer than the entry waits for the leader. */
#define TIMEOUT_S 5
#define BODY_MAX_BYTES (1u << 20)

static json_object *
member (json_object *obj, const char *key)
{
  json_object *value = NULL;

  json_object_object_get_ex (obj, key, &value);
  return value;
}

/* Text of a member, "-" if there is none. */
static const char *
text_of (json_object *obj, const char *key)
{
  json_object *value = member (obj, key);

  return value ? json_object_get_string (value) : "-";
}

static void
print_best (json_object *list)
{
  if (json_object_array_length (list) == 0)
    return;
  g_print ("  %-20s %-12s %10s %8s %6s %-7s %9s %9s\n", "INSTANCE", "DOMAIN",
           "SCORE", "FREE_CPU", "SPEED", "PLACE", "RUN_TIME", "REPORT_MS");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *row = json_object_array_get_idx (list, i);

      g_print ("  %-20s %-12s %10s %8s %6s %-7s %9s %9s\n",
               text_of (row, "instance"), text_of (row, "domain"),
               text_of (row, "score"), text_of (row, "free_cpu_milli"),
               text_of (row, "expected_speed"), text_of (row, "place"),
               text_of (row, "run_time_ratio"),
               text_of (row, "report_age_ms"));
    }
}

static void
print_step (json_object *step)
{
  json_object *others = member (step, "others");
  json_object *wait = member (step, "near_wait");

  g_print ("step %s: tasks=%s decision=%s instance=%s "
           "oldest_report_age_ms=%s\n",
           text_of (step, "step"), text_of (step, "tasks"),
           text_of (step, "decision"), text_of (step, "instance"),
           text_of (step, "oldest_report_age_ms"));
  if (member (step, "best"))
    print_best (member (step, "best"));
  g_print ("  others:");
  if (others)
    {
      json_object_object_foreach (others, reason, n)
          g_print (" %s=%s", reason, json_object_get_string (n));
    }
  g_print (" not_examined=%s\n", text_of (step, "not_examined"));
  if (wait)
    g_print ("  slot near the data: expected_wait_ms=%s gain_ms=%s factor=%s "
             "limit_ms=%s\n",
             text_of (wait, "expected_wait_ms"), text_of (wait, "gain_ms"),
             text_of (wait, "factor"), text_of (wait, "limit_ms"));
}

static void
print_answer (json_object *answer)
{
  json_object *steps = member (answer, "steps");

  g_print ("coordinator=%s term=%s\n", text_of (answer, "coordinator"),
           text_of (answer, "term"));
  if (json_object_get_boolean (member (answer, "admitted")))
    g_print ("admitted\n");
  else
    g_print ("refused: %s; retry_after_s=%s\n", text_of (answer, "reason"),
             text_of (answer, "retry_after_s"));
  for (size_t i = 0; steps && i < json_object_array_length (steps); i++)
    print_step (json_object_array_get_idx (steps, i));
  if (hk_json_int (answer, "steps_left_out") > 0)
    g_print ("%s more steps are ready\n", text_of (answer, "steps_left_out"));
}

static int
code_of_status (unsigned status)
{
  switch (status)
    {
    case 200:
      return HK_OK;
    case 400:
    case 413:
      return HK_ERR_INVALID;
    case 404:
      return HK_ERR_NOT_FOUND;
    case 503:
    case 504:
      return HK_ERR_UNAVAILABLE;
    default:
      return HK_ERR_PROTOCOL;
    }
}

/* One byte above the limit shows that there is more. */
static int
read_submission (GBytes **out, const char *file, struct hk_error *err)
{
  FILE *in = file ? fopen (file, "re") : stdin;
  g_autofree char *text = NULL;
  size_t len;

  if (!in)
    return hk_error_set (err, HK_ERR_INVALID, "where.read", file,
                         "cannot be opened");
  text = g_malloc (BODY_MAX_BYTES + 1);
  len = fread (text, 1, BODY_MAX_BYTES + 1, in);
  if (file)
    fclose (in);
  if (len > BODY_MAX_BYTES)
    return hk_error_set (err, HK_ERR_INVALID, "where.read", file ? file : "-",
                         "is longer than %u bytes", BODY_MAX_BYTES);
  *out = g_bytes_new (text, len);
  return HK_OK;
}

static char *
build_url (const char *node, const char *host, const char *path)
{
  g_autofree char *host_text = g_uri_escape_string (host, NULL, FALSE);
  g_autofree char *path_text = g_uri_escape_string (path, NULL, FALSE);

  return g_strdup_printf ("http://%s/where?host=%s&path=%s", node, host_text,
                          path_text);
}

static int
ask (json_object **out, const char *node, const char *url, GBytes *submission,
     struct hk_error *err)
{
  g_autoptr (SoupSession) session = soup_session_new_with_options (
      "proxy-resolver", NULL, "timeout", TIMEOUT_S, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new (SOUP_METHOD_POST, url);
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GBytes) body = NULL;
  json_object *obj = NULL;
  const char *text;
  const char *why;
  gsize len = 0;
  int rc;

  if (!msg)
    return hk_error_set (err, HK_ERR_INVALID, "where.ask", node,
                         "is not an address");
  soup_message_set_request_body_from_bytes (msg, "application/json",
                                            submission);
  body = soup_session_send_and_read (session, msg, NULL, &gerr);
  if (!body)
    return hk_error_set (err, HK_ERR_UNAVAILABLE, "where.ask", node, "%s",
                         gerr->message);
  text = g_bytes_get_data (body, &len);
  if (hk_json_parse (&obj, text ? text : "", len, node, NULL) < 0)
    obj = NULL;
  rc = code_of_status (soup_message_get_status (msg));
  if (rc == HK_OK && obj)
    {
      *out = obj;
      return HK_OK;
    }
  why = obj ? hk_json_str (obj, "error") : NULL;
  rc = hk_error_set (err, rc == HK_OK ? HK_ERR_PROTOCOL : rc, "where.ask",
                     node, "status %u: %s", soup_message_get_status (msg),
                     why ? why : "no reason given");
  json_object_put (obj);
  return rc;
}

int
cli_where (struct cli *cli, int argc, char **argv)
{
  g_autofree char *node = NULL;
  g_autofree char *host = NULL;
  g_autofree char *file = NULL;
  g_autofree char *url = NULL;
  g_autoptr (GBytes) submission = NULL;
  json_object *answer = NULL;
  struct hk_error err = { 0 };
  GOptionEntry options[]
      = { { "node", 0, 0, G_OPTION_ARG_STRING, &node,
            "Metrics address of any entry of hyssopkeel-node", "IP:PORT" },
          { "host", 0, 0, G_OPTION_ARG_STRING, &host,
            "Host of a client's request", "HOST" },
          { "body", 0, 0, G_OPTION_ARG_FILENAME, &file,
            "Submission; standard input by default", "FILE" },
          { "json", 0, 0, G_OPTION_ARG_NONE, &cli->json, "Print JSON", NULL },
          { NULL } };

  if (!cli_parse (&argc, &argv, options, "PATH",
                  "Tell where a submission to PATH of HOST would be placed "
                  "now, and why. Nothing is submitted.",
                  1, 1))
    return CLI_USAGE;
  if (!node || !host)
    {
      g_printerr ("hyssopkeel: give --node and --host\n");
      return CLI_USAGE;
    }
  url = build_url (node, host, argv[1]);
  if (read_submission (&submission, file, &err) < 0
      || ask (&answer, node, url, submission, &err) < 0)
    return cli_fail (&err);
  if (cli->json)
    cli_print_json (answer);
  else
    {
      print_answer (answer);
      json_object_put (answer);
    }
  return CLI_OK;
}

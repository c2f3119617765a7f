/* Commands of the scenario language; docs/TESTING.md lists them. */
#include "commands.h"

#include <signal.h>
#include <string.h>

#include "hyssopkeel/clock.h"

#define WAIT_LIMIT_MS 60000

void
scenario_fail (struct scenario *s, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list ap;

  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  g_printerr ("%s: %s\n  logs and records are in %s\n", s->where, text,
              s->cluster.dir);
  g_test_fail ();
  g_setenv ("HK_KEEP", "1", TRUE);
  cluster_finish (&s->cluster);
  exit (1);
}

const char *
scenario_option (char **words, const char *key, const char *fallback)
{
  size_t len = strlen (key);

  for (; *words; words++)
    if (strncmp (*words, key, len) == 0 && (*words)[len] == '=')
      return *words + len + 1;
  return fallback;
}

int
scenario_number (char **words, const char *key, int fallback)
{
  const char *text = scenario_option (words, key, NULL);

  return text ? (int)g_ascii_strtoll (text, NULL, 10) : fallback;
}

void
scenario_run (struct scenario *s, const char *format, ...)
{
  g_autofree char *line = NULL;
  g_auto (GStrv) words = NULL;
  va_list ap;

  va_start (ap, format);
  line = g_strdup_vprintf (format, ap);
  va_end (ap);
  if (!g_shell_parse_argv (line, NULL, &words, NULL))
    scenario_fail (s, "line does not parse: %s", line);
  scenario_command (s, words);
}

/* Metrics and records */

static int64_t
read_metric (struct scenario *s, const char *name, const char *metric)
{
  g_autofree char *url = cluster_url (&s->cluster, name, "/metrics");
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;
  size_t len = strlen (metric);
  guint status;

  text = cluster_http ("GET", url, NULL, &status);
  lines = g_strsplit (text, "\n", 0);
  for (char **l = lines; *l; l++)
    if (strncmp (*l, metric, len) == 0 && (*l)[len] == ' ')
      return g_ascii_strtoll (*l + len, NULL, 10);
  return -1;
}

static json_object *
fetch_job (struct scenario *s, const char *id)
{
  const char *argv[] = { "--json", "jobs", "show", id, NULL };
  g_autofree char *text = NULL;
  json_object *obj = NULL;

  if (cluster_cli (&s->cluster, argv, &text) == 0)
    hk_json_parse (&obj, text, strlen (text), id, NULL);
  return obj;
}

static int
count_records (struct scenario *s, const char *prefix)
{
  struct oracle oracle;
  int n;

  oracle_read (&oracle, &s->cluster);
  n = oracle_count (&oracle, prefix);
  oracle_finish (&oracle);
  return n;
}

/* @rule has the form "3", ">=3" or "<=3". */
static gboolean
satisfies (int64_t value, const char *rule)
{
  if (g_str_has_prefix (rule, ">="))
    return value >= g_ascii_strtoll (rule + 2, NULL, 10);
  if (g_str_has_prefix (rule, "<="))
    return value <= g_ascii_strtoll (rule + 2, NULL, 10);
  return value == g_ascii_strtoll (rule, NULL, 10);
}

void
scenario_check_revisions (struct scenario *s)
{
  for (int i = 1; i <= s->cluster.n_entries; i++)
    {
      g_autofree char *name = g_strdup_printf ("e%d", i);
      const struct process *p = cluster_process (&s->cluster, name);
      int64_t now;

      if (!p->child || p->frozen)
        continue;
      now = read_metric (s, name, "hyssopkeel_tables_revision");
      /* An entry that has just started may have no tables yet. */
      if (now > 0 && now < s->max_revision[i])
        scenario_fail (s, "%s went back from table revision %d to %d", name,
                       (int)s->max_revision[i], (int)now);
      s->max_revision[i] = MAX (s->max_revision[i], now);
    }
}

static void
reset_max_revision (struct scenario *s, const char *name)
{
  if (name[0] == 'e')
    s->max_revision[g_ascii_strtoll (name + 1, NULL, 10)] = 0;
}

/* Cluster */

static void
do_cluster (struct scenario *s, char **w)
{
  struct cluster_options o = { 0 };

  o.entries = scenario_number (w, "entries", 2);
  o.workers = scenario_number (w, "workers", 3);
  o.slots = scenario_number (w, "slots", 4);
  o.cpu_milli = scenario_number (w, "cpu", 16000);
  o.memory_mb = scenario_number (w, "memory", 16000);
  o.session_s = scenario_number (w, "session_s", 6);
  o.lease_ms = scenario_number (w, "lease_ms", 1000);
  o.checkpoint_ms = scenario_number (w, "checkpoint_ms", 300);
  o.stop_limit_ms = scenario_number (w, "stop_limit_ms", 30000);
  cluster_start (&s->cluster, &o);
  traffic_init (&s->traffic, &s->cluster);
  s->started = TRUE;
  if (scenario_number (w, "bare", 0))
    return;
  scenario_run (s, "apply setup %s/tables.json", g_getenv ("HK_SCRIPT_DIR"));
  for (int i = 1; i <= o.entries; i++)
    {
      scenario_run (s, "wait-figure e%d hyssopkeel_instances %d", i,
                    o.workers);
      scenario_run (s, "wait-revision e%d 1", i);
    }
  scenario_run (s, "wait-ready");
}

static void
do_start (struct scenario *s, char **w)
{
  process_start (&s->cluster, cluster_process (&s->cluster, w[1]));
}

static void
do_twin (struct scenario *s, char **w)
{
  cluster_start_second_agent (&s->cluster, w[1]);
}

static void
do_stop (struct scenario *s, char **w)
{
  process_stop (cluster_process (&s->cluster, w[1]));
  reset_max_revision (s, w[1]);
}

/* Begins a graceful stop without waiting for the exit. */
static void
do_term (struct scenario *s, char **w)
{
  process_signal (cluster_process (&s->cluster, w[1]), SIGTERM);
}

static void
do_kill (struct scenario *s, char **w)
{
  process_kill (&s->cluster, cluster_process (&s->cluster, w[1]));
  reset_max_revision (s, w[1]);
}

static void
do_freeze (struct scenario *s, char **w)
{
  process_signal (cluster_process (&s->cluster, w[1]), SIGSTOP);
}

static void
do_thaw (struct scenario *s, char **w)
{
  process_signal (cluster_process (&s->cluster, w[1]), SIGCONT);
}

/* Links */

static void
do_cut (struct scenario *s, char **w)
{
  struct relay *r = cluster_relay (&s->cluster, w[1]);
  const char *way = w[2] ? w[2] : "both";

  r->cut_to = strcmp (way, "from") != 0;
  r->cut_from = strcmp (way, "to") != 0;
}

static void
do_heal (struct scenario *s, char **w)
{
  relay_heal (cluster_relay (&s->cluster, w[1]));
}

static void
do_delay (struct scenario *s, char **w)
{
  cluster_relay (&s->cluster, w[1])->delay_ms
      = g_ascii_strtoll (w[2], NULL, 10);
}

static void
do_reset (struct scenario *s, char **w)
{
  relay_reset (cluster_relay (&s->cluster, w[1]));
}

/* Store and worker faults */

static void
do_store (struct scenario *s, char **w)
{
  g_autofree char *url = cluster_url (&s->cluster, "store", "/standin/fault");
  g_autofree char *body = g_strdup_printf ("{\"%s\":%s}", w[1], w[2]);
  guint status;
  g_autofree char *text = cluster_http ("POST", url, body, &status);

  if (status != SOUP_STATUS_OK)
    scenario_fail (s, "the store stand-in refused the fault: %s", text);
}

static void
do_worker (struct scenario *s, char **w)
{
  g_autofree char *path = g_strdup_printf ("/fault?%s", w[2]);
  g_autofree char *url = cluster_url (&s->cluster, w[1], path);
  guint status;
  g_autofree char *text = cluster_http ("POST", url, "{}", &status);

  if (status != SOUP_STATUS_OK)
    scenario_fail (s, "the worker stand-in refused the fault: %s", text);
}

/* Operators */

/* A word "!N" gives the expected exit code, 0 by default. */
static void
run_cli (struct scenario *s, const char *const *head, char **rest)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_autofree char *text = NULL;
  int expected = 0;
  int code;

  for (; *head; head++)
    g_ptr_array_add (argv, (char *)*head);
  for (; *rest; rest++)
    {
      if (**rest == '!')
        expected = (int)g_ascii_strtoll (*rest + 1, NULL, 10);
      else
        g_ptr_array_add (argv, *rest);
    }
  g_ptr_array_add (argv, NULL);
  code = cluster_cli (&s->cluster, (const char *const *)argv->pdata, &text);
  if (code != expected)
    scenario_fail (s, "command line exited with %d instead of %d: %s", code,
                   expected, text);
}

/* A leading "@" stands for the root of the source tree. */
static void
do_apply (struct scenario *s, char **w)
{
  const char *head[] = { "--who", w[1], "apply", NULL };
  g_autofree char *path
      = w[2][0] == '@' ? g_strdup_printf ("%s/../../../%s",
                                          g_getenv ("HK_SCRIPT_DIR"), w[2] + 1)
                       : g_strdup (w[2]);
  char *rest[] = { path, w[3], NULL };

  run_cli (s, head, rest);
}

static void
do_edit (struct scenario *s, char **w)
{
  const char *head[] = { "--who", w[1], "edit", NULL };

  run_cli (s, head, w + 2);
}

static void
do_drain (struct scenario *s, char **w)
{
  const char *head[] = { "drain", NULL };

  s->last_drain_ms = hk_clock_ms ();
  run_cli (s, head, w + 1);
}

/* Drains without the store, by a call to the agent itself. */
static void
do_drain_direct (struct scenario *s, char **w)
{
  g_autofree char *address = g_strdup_printf ("--address=%s:%d", s->cluster.ip,
                                              7200 + atoi (w[1] + 1));
  const char *head[] = { "drain", w[1], address, NULL };

  s->last_drain_ms = hk_clock_ms ();
  run_cli (s, head, w + 2);
}

/* Expects that no request and no task started on a worker later than a number
   of milliseconds after the last drain. */
static void
do_expect_quiet (struct scenario *s, char **w)
{
  struct oracle oracle;

  oracle_read (&oracle, &s->cluster);
  for (guint i = 0; i < oracle.lines->len; i++)
    {
      g_auto (GStrv) l
          = g_strsplit (g_ptr_array_index (oracle.lines, i), " ", 0);
      gboolean began = strcmp (l[1], "run_start") == 0
                       || strcmp (l[1], "task_start") == 0;

      if (began && strcmp (l[0], w[1]) == 0
          && g_ascii_strtoll (l[4], NULL, 10) > s->last_drain_ms + atoi (w[2]))
        scenario_fail (s, "started after the drain: %s",
                       (char *)g_ptr_array_index (oracle.lines, i));
    }
  oracle_finish (&oracle);
}

/* Starts an edit and kills the command line before it can finish. */
static void
do_kill_cli (struct scenario *s, char **w)
{
  g_autofree char *program
      = g_strdup_printf ("%s/hyssopkeel", g_getenv ("HK_BUILD_DIR"));
  g_autofree char *store = cluster_url (&s->cluster, "store", "");
  g_autoptr (GSubprocess) child = g_subprocess_new (
      G_SUBPROCESS_FLAGS_STDOUT_SILENCE, NULL, program, "--store", store,
      "--who", w[1], "edit", w[2], w[3], NULL);

  scenario_run (s, "pass 300");
  g_subprocess_force_exit (child);
  g_subprocess_wait (child, NULL, NULL);
}

static void
do_show_to (struct scenario *s, char **w)
{
  const char *argv[] = { "show", NULL };
  g_autofree char *text = NULL;
  g_autofree char *path = g_strdup_printf ("%s/%s", s->cluster.dir, w[1]);

  if (cluster_cli (&s->cluster, argv, &text) != 0)
    scenario_fail (s, "command line show failed: %s", text);
  g_file_set_contents (path, text, -1, NULL);
}

static void
do_apply_from (struct scenario *s, char **w)
{
  g_autofree char *path = g_strdup_printf ("%s/%s", s->cluster.dir, w[2]);
  char *rest[] = { path, w[3], NULL };
  const char *head[] = { "--who", w[1], "apply", NULL };

  run_cli (s, head, rest);
}

/* Replaces text in a file written by show-to, as an operator would edit it. */
static void
do_replace (struct scenario *s, char **w)
{
  g_autofree char *path = g_strdup_printf ("%s/%s", s->cluster.dir, w[1]);
  g_autofree char *text = NULL;
  g_auto (GStrv) parts = NULL;
  g_autofree char *joined = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    scenario_fail (s, "show-to has written no file %s", w[1]);
  parts = g_strsplit (text, w[2], 0);
  if (!parts[1])
    scenario_fail (s, "\"%s\" is not in %s", w[2], w[1]);
  joined = g_strjoinv (w[3], parts);
  g_file_set_contents (path, joined, -1, NULL);
}

static void
do_expect_audit (struct scenario *s, char **w)
{
  const char *argv[] = { "--json", "audit", "--last=0", NULL };
  g_autofree char *text = NULL;
  g_autoptr (json_object) list = NULL;
  int n = 0;

  cluster_cli (&s->cluster, argv, &text);
  if (hk_json_parse (&list, text, strlen (text), "audit", NULL) < 0)
    scenario_fail (s, "audit output does not parse: %s", text);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *audit = json_object_array_get_idx (list, i);

      if (hk_json_int (audit, "revision") != (int64_t)i + 1)
        scenario_fail (s, "the audit trail has a gap at revision %d",
                       (int)i + 1);
      n += g_strcmp0 (hk_json_str (audit, "who"), w[1]) == 0;
    }
  if (!satisfies (n, w[2]))
    scenario_fail (s, "%s has %d changes in the audit trail", w[1], n);
}

/* Client requests */

static void
do_send (struct scenario *s, char **w)
{
  struct send_options o = { .group = w[1] };

  o.n = scenario_number (w, "n", 1);
  o.gap_ms = scenario_number (w, "gap", 2);
  o.route = scenario_option (w, "route", "fit-check");
  o.query = scenario_option (w, "query", "");
  o.via = scenario_option (w, "via", "any");
  o.key = scenario_option (w, "key", NULL);
  o.deadline_ms = scenario_number (w, "deadline", 0);
  o.size = scenario_number (w, "size", 40);
  o.check_body = !strstr (o.query, "size=") && !strstr (o.query, "cut=");
  traffic_send_group (&s->traffic, &o);
}

static void
do_await (struct scenario *s, char **w)
{
  int64_t limit = hk_clock_ms () + WAIT_LIMIT_MS;

  (void)w;
  while (s->traffic.open_requests > 0 && hk_clock_ms () < limit)
    g_main_context_iteration (NULL, TRUE);
  if (s->traffic.open_requests > 0)
    scenario_fail (s, "%d requests still have no outcome",
                   s->traffic.open_requests);
}

static void
print_error_bodies (struct scenario *s, const char *group)
{
  for (guint i = 0; i < s->traffic.requests->len; i++)
    {
      const struct traffic_request *request
          = g_ptr_array_index (s->traffic.requests, i);

      if (strcmp (request->group, group) == 0 && request->error_body)
        g_printerr ("%s\n", request->error_body);
    }
}

static void
do_expect (struct scenario *s, char **w)
{
  static const char *const outcomes[]
      = { "done", "not-run", "unknown", "refused", "lost" };

  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      const char *rule = scenario_option (w, outcomes[i], NULL);
      int n = traffic_count (&s->traffic, w[1], outcomes[i]);

      if (rule && !satisfies (n, rule))
        print_error_bodies (s, w[1]);
      if (rule && !satisfies (n, rule))
        scenario_fail (s, "%d requests of group %s are %s, expected %s", n,
                       w[1], outcomes[i], rule);
    }
}

static void
do_job (struct scenario *s, char **w)
{
  g_autofree char *url
      = cluster_url (&s->cluster, scenario_option (w, "via", "e1"), "/jobs");
  g_autofree char *body = g_strdup_printf (
      "{\"id\":\"%s\",\"route\":\"%s\",\"cpu_milli\":%d,\"memory_mb\":%d,"
      "\"payload\":\"{\\\"work_ms\\\":%d,\\\"noise\\\":%d,\\\"fail\\\":%s,"
      "\\\"crash\\\":%s,\\\"memory_mb\\\":%d,\\\"result\\\":\\\"ok\\\"}\"}",
      w[1], scenario_option (w, "route", "tint"),
      scenario_number (w, "cpu", 1000), scenario_number (w, "memory", 1000),
      scenario_number (w, "work", 1000), scenario_number (w, "noise", 0),
      scenario_option (w, "fail", "false"),
      scenario_option (w, "crash", "false"), scenario_number (w, "uses", 0));
  g_autofree char *text = NULL;
  int64_t limit = hk_clock_ms () + WAIT_LIMIT_MS;
  guint status = 0;

  /* The id makes a repeat harmless; status 409 means accepted before. */
  while (status != SOUP_STATUS_CREATED && status != SOUP_STATUS_CONFLICT)
    {
      g_free (text);
      text = cluster_http ("POST", url, body, &status);
      if (hk_clock_ms () > limit || status == SOUP_STATUS_BAD_REQUEST)
        scenario_fail (s, "job %s was not accepted: %s", w[1], text);
    }
}

static void
do_cancel (struct scenario *s, char **w)
{
  const char *head[] = { "jobs", "cancel", NULL };

  run_cli (s, head, w + 1);
}

/* Waiting */

static void
do_wait_job (struct scenario *s, char **w)
{
  int64_t limit = hk_clock_ms () + WAIT_LIMIT_MS;
  const char *wanted = scenario_option (w, "state", "done");
  int epoch = scenario_number (w, "epoch", 0);

  for (;;)
    {
      g_autoptr (json_object) job = fetch_job (s, w[1]);

      if (job && strcmp (hk_json_str (job, "state"), wanted) == 0
          && hk_json_int (job, "epoch") >= epoch)
        return;
      if (hk_clock_ms () > limit)
        scenario_fail (s, "job %s is not %s: %s", w[1], wanted,
                       job ? json_object_to_json_string (job) : "not found");
    }
}

static void
do_expect_job (struct scenario *s, char **w)
{
  g_autoptr (json_object) job = fetch_job (s, w[1]);

  if (!job)
    scenario_fail (s, "job %s is not found", w[1]);
  for (char **p = w + 2; *p; p++)
    {
      g_auto (GStrv) pair = g_strsplit (*p, "=", 2);
      const char *text = hk_json_str (job, pair[0]);
      gboolean ok = text ? strcmp (text, pair[1]) == 0
                         : satisfies (hk_json_int (job, pair[0]), pair[1]);

      if (!ok)
        scenario_fail (s, "job %s: expected %s in %s", w[1], *p,
                       json_object_to_json_string (job));
    }
}

static void
do_wait_figure (struct scenario *s, char **w)
{
  int64_t limit = hk_clock_ms () + WAIT_LIMIT_MS;

  while (!satisfies (read_metric (s, w[1], w[2]), w[3]))
    if (hk_clock_ms () > limit)
      scenario_fail (s, "%s of %s is %d", w[2], w[1],
                     (int)read_metric (s, w[1], w[2]));
}

static void
do_expect_figure (struct scenario *s, char **w)
{
  int64_t now = read_metric (s, w[1], w[2]);

  if (!satisfies (now, w[3]))
    scenario_fail (s, "%s of %s is %d", w[2], w[1], (int)now);
}

static gboolean
revision_is_installed (struct scenario *s, const char *name, int64_t revision)
{
  g_autofree char *url = cluster_url (&s->cluster, name, "/status");
  g_autofree char *text = NULL;
  g_autoptr (json_object) obj = NULL;
  json_object *list = NULL;
  guint status;

  text = cluster_http ("GET", url, NULL, &status);
  if (hk_json_parse (&obj, text, strlen (text), name, NULL) < 0
      || hk_json_int (obj, "revision") < revision)
    return FALSE;
  json_object_object_get_ex (obj, "instances", &list);
  for (size_t i = 0; list && i < json_object_array_length (list); i++)
    if (hk_json_int (json_object_array_get_idx (list, i), "table_revision")
        < revision)
      return FALSE;
  return TRUE;
}

/* Waits until the entry and all instances that it knows have at least this
   table revision. */
static void
do_wait_revision (struct scenario *s, char **w)
{
  int64_t limit = hk_clock_ms () + WAIT_LIMIT_MS;

  while (!revision_is_installed (s, w[1], g_ascii_strtoll (w[2], NULL, 10)))
    if (hk_clock_ms () > limit)
      scenario_fail (s, "table revision %s is not installed everywhere", w[2]);
}

static void
do_wait_truth (struct scenario *s, char **w)
{
  int64_t limit = hk_clock_ms () + WAIT_LIMIT_MS;

  while (!satisfies (count_records (s, w[1]), w[2]))
    {
      cluster_spin ();
      if (hk_clock_ms () > limit)
        scenario_fail (s, "\"%s\" was recorded %d times", w[1],
                       count_records (s, w[1]));
    }
}

static void
do_expect_truth (struct scenario *s, char **w)
{
  int n = count_records (s, w[1]);

  if (!satisfies (n, w[2]))
    scenario_fail (s, "\"%s\" was recorded %d times", w[1], n);
}

static gboolean
log_contains (struct scenario *s, const char *name, const char *text)
{
  g_autofree char *path = g_strdup_printf ("%s/%s.log", s->cluster.dir, name);
  g_autofree char *log = NULL;

  return g_file_get_contents (path, &log, NULL, NULL) && strstr (log, text);
}

static void
do_wait_log (struct scenario *s, char **w)
{
  int64_t limit = hk_clock_ms () + WAIT_LIMIT_MS;

  while (!log_contains (s, w[1], w[2]))
    {
      cluster_spin ();
      if (hk_clock_ms () > limit)
        scenario_fail (s, "%s never logged \"%s\"", w[1], w[2]);
    }
}

static void
do_expect_no_log (struct scenario *s, char **w)
{
  if (log_contains (s, w[1], w[2]))
    scenario_fail (s, "%s logged \"%s\"", w[1], w[2]);
}

/* Waits until every agent has a session, so that it can claim jobs. */
static void
do_wait_ready (struct scenario *s, char **w)
{
  (void)w;
  for (int i = 1; i <= s->cluster.n_workers; i++)
    scenario_run (s, "wait-log a%d granted", i);
}

/* Lets time pass, e.g. for a lease to expire. Never used to wait for an
   event. */
static void
do_pass (struct scenario *s, char **w)
{
  int64_t until = hk_clock_ms () + g_ascii_strtoll (w[1], NULL, 10);

  (void)s;
  while (hk_clock_ms () < until)
    cluster_spin ();
}

static void
do_http (struct scenario *s, char **w)
{
  g_autofree char *url = cluster_url (&s->cluster, w[2], w[3]);
  g_autofree char *text = NULL;
  guint status;

  text = cluster_http (w[1], url, w[5], &status);
  if (!satisfies (status, w[4]))
    scenario_fail (s, "%s %s returned status %u: %s", w[1], w[3], status,
                   text);
}

/* Builds the text of a raw request; headers=N and body=N add that many headers
   and bytes of body. */
static char *
raw_request_build (char **w)
{
  GString *text = g_string_new (NULL);
  g_autofree char *head = g_strcompress (w[2]);
  int headers = scenario_number (w, "headers", 0);
  int body = scenario_number (w, "body", 0);

  g_string_append (text, head);
  for (int i = 0; i < headers; i++)
    g_string_append_printf (text, "X-Filler-%d: %d\r\n", i, i);
  g_string_append (text, "\r\n");
  for (int i = 0; i < body; i++)
    g_string_append_c (text, 'x');
  return g_string_free (text, FALSE);
}

/* A raw request blocks, so it has its own thread; the main thread runs the
   links of the scenario. */
struct raw_request
{
  char *url;
  char *text;
  char *line;
  gint finished;
};

static gpointer
raw_request_run (gpointer user)
{
  struct raw_request *request = user;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) conn = NULL;
  g_autoptr (GDataInputStream) in = NULL;
  GOutputStream *out;

  g_socket_client_set_timeout (client, 20);
  conn = g_socket_client_connect_to_host (
      client, request->url + strlen ("http://"), 80, NULL, NULL);
  if (conn)
    {
      out = g_io_stream_get_output_stream (G_IO_STREAM (conn));
      g_output_stream_write_all (out, request->text, strlen (request->text),
                                 NULL, NULL, NULL);
      in = g_data_input_stream_new (
          g_io_stream_get_input_stream (G_IO_STREAM (conn)));
      request->line = g_data_input_stream_read_line (in, NULL, NULL, NULL);
    }
  g_atomic_int_set (&request->finished, 1);
  return NULL;
}

/* Sends bytes unchanged and expects a response that begins with a text; "-"
   stands for a connection closed without a response. */
static void
do_raw (struct scenario *s, char **w)
{
  g_autofree char *url = cluster_url (&s->cluster, w[1], "");
  g_autofree char *text = raw_request_build (w);
  struct raw_request request = { .url = url, .text = text };
  GThread *thread = g_thread_new ("raw", raw_request_run, &request);
  g_autofree char *line = NULL;

  while (!g_atomic_int_get (&request.finished))
    cluster_spin ();
  g_thread_join (thread);
  line = request.line;
  if (strcmp (w[3], "-") == 0 ? line != NULL
                              : !line || !g_str_has_prefix (line, w[3]))
    scenario_fail (s, "the response begins with \"%s\"",
                   line ? line : "(closed)");
}

/* Gets a ticket and sends it as key of two requests, one to each entry. */
static void
do_ticket (struct scenario *s, char **w)
{
  g_autofree char *url = cluster_url (&s->cluster, "e1", "/tickets/order");
  g_autofree char *text = NULL;
  g_autoptr (json_object) obj = NULL;
  guint status;

  text = cluster_http ("POST", url, "", &status);
  if (status != SOUP_STATUS_CREATED
      || hk_json_parse (&obj, text, strlen (text), "ticket", NULL) < 0)
    scenario_fail (s, "the entry gave no ticket: %s", text);
  for (int i = 1; i <= 2; i++)
    scenario_run (s, "send %s route=order via=e%d key=%s", w[1], i,
                  hk_json_str (obj, "ticket"));
}

static const struct
{
  const char *name;
  guint n_args;
  void (*run) (struct scenario *s, char **words);
} commands[] = {
  { "cluster", 0, do_cluster },
  { "start", 1, do_start },
  { "twin", 1, do_twin },
  { "stop", 1, do_stop },
  { "term", 1, do_term },
  { "kill", 1, do_kill },
  { "freeze", 1, do_freeze },
  { "thaw", 1, do_thaw },
  { "cut", 1, do_cut },
  { "heal", 1, do_heal },
  { "delay", 2, do_delay },
  { "reset", 1, do_reset },
  { "store", 2, do_store },
  { "worker", 2, do_worker },
  { "apply", 2, do_apply },
  { "edit", 2, do_edit },
  { "drain", 1, do_drain },
  { "drain-direct", 1, do_drain_direct },
  { "expect-quiet", 2, do_expect_quiet },
  { "kill-cli", 3, do_kill_cli },
  { "show-to", 1, do_show_to },
  { "replace", 3, do_replace },
  { "apply-from", 2, do_apply_from },
  { "expect-audit", 2, do_expect_audit },
  { "send", 1, do_send },
  { "ticket", 1, do_ticket },
  { "await", 0, do_await },
  { "expect", 2, do_expect },
  { "job", 1, do_job },
  { "cancel", 1, do_cancel },
  { "wait-job", 2, do_wait_job },
  { "expect-job", 2, do_expect_job },
  { "wait-figure", 3, do_wait_figure },
  { "expect-figure", 3, do_expect_figure },
  { "wait-revision", 2, do_wait_revision },
  { "wait-truth", 2, do_wait_truth },
  { "expect-truth", 2, do_expect_truth },
  { "wait-log", 2, do_wait_log },
  { "expect-no-log", 2, do_expect_no_log },
  { "wait-ready", 0, do_wait_ready },
  { "pass", 1, do_pass },
  { "http", 4, do_http },
  { "raw", 3, do_raw },
  { "chaos", 1, scenario_chaos },
};

void
scenario_command (struct scenario *s, char **words)
{
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (words[0], commands[i].name) != 0)
        continue;
      if (g_strv_length (words) <= commands[i].n_args)
        scenario_fail (s, "%s needs %u arguments", words[0],
                       commands[i].n_args);
      commands[i].run (s, words);
      return;
    }
  scenario_fail (s, "unknown command %s", words[0]);
}

void
scenario_finish (struct scenario *s)
{
  g_autoptr (GPtrArray) violations = NULL;
  struct oracle oracle;

  do_await (s, NULL);
  scenario_check_revisions (s);
  /* In reverse order of start: agents and entries stop while the workers and
     the store that they talk to still run. */
  for (guint i = s->cluster.processes->len; i > 0; i--)
    {
      struct process *p = g_ptr_array_index (s->cluster.processes, i - 1);

      if (p->child && !p->frozen)
        process_stop (p);
    }
  oracle_read (&oracle, &s->cluster);
  violations = oracle_check (&oracle, &s->traffic);
  oracle_finish (&oracle);
  for (guint i = 0; i < violations->len; i++)
    g_printerr ("violation: %s\n", (char *)g_ptr_array_index (violations, i));
  if (violations->len > 0)
    scenario_fail (s, "%u violations", violations->len);
  traffic_finish (&s->traffic);
  cluster_finish (&s->cluster);
}

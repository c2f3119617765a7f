/* hyssopkeel-load: a load generator that sends several kinds of requests to
   entries at once. It reports the outcomes, the latencies, and the instances
   that ran the requests.

   Arrivals are open-loop: they follow a Poisson process that does not wait for
   responses, and latency is measured from the intended send time. With
   --closed, each of N connections sends its next request when it has received
   the response to the previous one. */
#include <libsoup/soup.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/json.h"
#include "hyssopkeel/timer.h"

#define TICK_MS 1
#define SESSIONS_PER_KIND 8
#define CONNECTIONS_PER_SESSION 64
#define DRAIN_LIMIT_MS 10000

enum outcome
{
  OUTCOME_DONE,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN,
  OUTCOME_LOST, /* no response, or one that states no outcome */
  N_OUTCOMES
};

static const char *const outcome_names[]
    = { "done", "not-run", "unknown", "lost" };

/* One kind of request, from --kind NAME:KEY=VALUE,... */
struct kind
{
  char *name;
  char *route;
  char *query;
  double rate;
  double from_s;
  double until_s;
  int64_t deadline_ms;
  int64_t body_bytes;
  gboolean with_key;
  /* Sent as idempotent, so that it may use an idle connection. */
  gboolean reuse_connections;
  double next_send_us;
  int64_t sent_count;
  int64_t outcome_count[N_OUTCOMES];
  GArray *done_us;
  GArray *refused_us;
  GHashTable *instances;
  SoupSession *sessions[SESSIONS_PER_KIND];
};

static struct
{
  GPtrArray *kinds;
  char **entry_urls;
  double duration_s;
  int closed_loop_connections;
  int64_t max_requests;
  int seed;
  char *json_file;
  char *direct_path;
  GRand *rng;
  GMainLoop *loop;
  int64_t start_us;
  int64_t last_response_us;
  int64_t in_flight;
  int64_t sent_count;
  gboolean sending_done;
  struct hk_timer tick_timer;
} load;

struct call
{
  struct kind *kind;
  SoupMessage *msg;
  int64_t intended_us;
};

static void send_request (struct kind *k, int64_t intended_us);

static enum outcome
get_outcome (SoupMessage *msg, gboolean replied)
{
  const char *text = NULL;

  if (!replied)
    return OUTCOME_LOST;
  if (load.direct_path)
    return OUTCOME_DONE;
  text = soup_message_headers_get_one (soup_message_get_response_headers (msg),
                                       "Hyssopkeel-Outcome");
  for (int i = 0; text && i < N_OUTCOMES; i++)
    if (strcmp (text, outcome_names[i]) == 0)
      return i;
  return OUTCOME_LOST;
}

static void
count_instance (struct kind *k, SoupMessage *msg)
{
  const char *name = soup_message_headers_get_one (
      soup_message_get_response_headers (msg), "Hyssopkeel-Instance");
  gpointer old;

  if (!name)
    return;
  old = g_hash_table_lookup (k->instances, name);
  g_hash_table_replace (k->instances, g_strdup (name),
                        GINT_TO_POINTER (GPOINTER_TO_INT (old) + 1));
}

static void
quit_if_drained (void)
{
  if (load.sending_done && load.in_flight == 0)
    g_main_loop_quit (load.loop);
}

static void
on_response (GObject *source, GAsyncResult *res, gpointer user)
{
  struct call *call = user;
  struct kind *k = call->kind;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, NULL);
  enum outcome outcome = get_outcome (call->msg, body != NULL);
  int64_t now = hk_clock_us ();
  int64_t us = now - call->intended_us;

  k->outcome_count[outcome]++;
  load.last_response_us = now;
  if (outcome == OUTCOME_DONE)
    {
      g_array_append_val (k->done_us, us);
      count_instance (k, call->msg);
    }
  else if (outcome == OUTCOME_NOT_RUN)
    g_array_append_val (k->refused_us, us);
  load.in_flight--;
  g_object_unref (call->msg);
  g_free (call);
  if (load.closed_loop_connections > 0 && !load.sending_done)
    {
      if (load.max_requests > 0 && load.sent_count >= load.max_requests)
        load.sending_done = TRUE;
      else
        send_request (k, hk_clock_us ());
    }
  quit_if_drained ();
}

static char *
format_url (const struct kind *k)
{
  guint n = g_strv_length (load.entry_urls);
  const char *base = load.entry_urls[load.sent_count % n];

  return g_strdup_printf ("%s%s%s%s%s", base,
                          load.direct_path ? load.direct_path : "/r/",
                          k->route, *k->query ? "?" : "", k->query);
}

static void
add_headers (struct kind *k, SoupMessage *msg)
{
  SoupMessageHeaders *headers = soup_message_get_request_headers (msg);
  char text[64];

  if (k->deadline_ms > 0)
    {
      g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT, k->deadline_ms);
      soup_message_headers_append (headers, "Hyssopkeel-Deadline-Ms", text);
    }
  if (k->with_key)
    {
      g_snprintf (text, sizeof text, "%s-%d-%" G_GINT64_FORMAT, k->name,
                  load.seed, k->sent_count);
      soup_message_headers_append (headers, "Idempotency-Key", text);
    }
}

static void
send_request (struct kind *k, int64_t intended_us)
{
  struct call *call = g_new0 (struct call, 1);
  g_autofree char *url = format_url (k);
  g_autofree char *text = g_malloc ((gsize)k->body_bytes);
  g_autoptr (GBytes) body = NULL;

  memset (text, 'x', (gsize)k->body_bytes);
  body = g_bytes_new (text, (gsize)k->body_bytes);
  call->kind = k;
  call->intended_us = intended_us;
  call->msg = soup_message_new (SOUP_METHOD_POST, url);
  soup_message_set_request_body_from_bytes (call->msg, "text/plain", body);
  add_headers (k, call->msg);
  if (k->reuse_connections)
    soup_message_add_flags (call->msg, SOUP_MESSAGE_IDEMPOTENT);
  k->sent_count++;
  load.sent_count++;
  load.in_flight++;
  /* Spread over sessions, as a session's processing time grows with the
     number of its messages in flight. */
  soup_session_send_and_read_async (
      k->sessions[k->sent_count % SESSIONS_PER_KIND], call->msg,
      G_PRIORITY_DEFAULT, NULL, on_response, call);
}

static double
draw_interval_us (const struct kind *k)
{
  return -log (1 - g_rand_double (load.rng)) / k->rate * 1e6;
}

static void
send_due (struct kind *k, double elapsed_us)
{
  while (k->next_send_us <= elapsed_us && k->next_send_us < k->until_s * 1e6)
    {
      send_request (k, load.start_us + (int64_t)k->next_send_us);
      k->next_send_us += draw_interval_us (k);
    }
}

static void
on_tick (void *user)
{
  double elapsed_us = (double)(hk_clock_us () - load.start_us);

  (void)user;
  for (guint i = 0; load.closed_loop_connections == 0 && i < load.kinds->len;
       i++)
    send_due (g_ptr_array_index (load.kinds, i), elapsed_us);
  if (load.duration_s > 0 && elapsed_us >= load.duration_s * 1e6)
    load.sending_done = TRUE;
  if (load.sending_done
      && elapsed_us > load.duration_s * 1e6 + DRAIN_LIMIT_MS * 1000)
    g_main_loop_quit (load.loop);
  else if (!load.sending_done || load.in_flight > 0)
    hk_timer_set (&load.tick_timer, TICK_MS, on_tick, NULL);
  quit_if_drained ();
}

static int
compare_int64 (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

static double
quantile_ms (GArray *sorted, double q)
{
  if (sorted->len == 0)
    return 0;
  return (double)g_array_index (sorted, int64_t,
                                (guint)(q * (sorted->len - 1)))
         / 1000;
}

static json_object *
encode_kind (struct kind *k)
{
  json_object *obj = json_object_new_object ();
  json_object *instances_obj = json_object_new_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer n;
  double seconds = (double)(load.last_response_us - load.start_us) / 1e6;
  double active_s = MIN (k->until_s, seconds) - k->from_s;

  g_array_sort (k->done_us, compare_int64);
  g_array_sort (k->refused_us, compare_int64);
#define ADD(key, value)                                                       \
  json_object_object_add (obj, key, json_object_new_double (value))
  json_object_object_add (obj, "sent", json_object_new_int64 (k->sent_count));
  for (int i = 0; i < N_OUTCOMES; i++)
    json_object_object_add (obj, outcome_names[i],
                            json_object_new_int64 (k->outcome_count[i]));
  ADD ("goodput",
       active_s > 0 ? (double)k->outcome_count[OUTCOME_DONE] / active_s : 0);
  ADD ("p50_ms", quantile_ms (k->done_us, 0.5));
  ADD ("p90_ms", quantile_ms (k->done_us, 0.9));
  ADD ("p99_ms", quantile_ms (k->done_us, 0.99));
  ADD ("max_ms", quantile_ms (k->done_us, 1));
  ADD ("refused_p50_ms", quantile_ms (k->refused_us, 0.5));
  ADD ("refused_p99_ms", quantile_ms (k->refused_us, 0.99));
#undef ADD
  g_hash_table_iter_init (&iter, k->instances);
  while (g_hash_table_iter_next (&iter, &name, &n))
    json_object_object_add (instances_obj, name,
                            json_object_new_int (GPOINTER_TO_INT (n)));
  json_object_object_add (obj, "instances", instances_obj);
  return obj;
}

static void
print_report (void)
{
  json_object *obj = json_object_new_object ();
  json_object *kinds = json_object_new_object ();
  const char *text;

  g_print ("%-12s %8s %8s %8s %8s %6s %9s %8s %8s %8s\n", "kind", "sent",
           "done", "not-run", "unknown", "lost", "done/s", "p50 ms", "p99 ms",
           "max ms");
  for (guint i = 0; i < load.kinds->len; i++)
    {
      struct kind *k = g_ptr_array_index (load.kinds, i);
      json_object *row = encode_kind (k);
      json_object *value = NULL;

      json_object_object_get_ex (row, "goodput", &value);
      g_print ("%-12s %8ld %8ld %8ld %8ld %6ld %9.1f %8.2f %8.2f %8.2f\n",
               k->name, (long)k->sent_count,
               (long)k->outcome_count[OUTCOME_DONE],
               (long)k->outcome_count[OUTCOME_NOT_RUN],
               (long)k->outcome_count[OUTCOME_UNKNOWN],
               (long)k->outcome_count[OUTCOME_LOST],
               json_object_get_double (value), quantile_ms (k->done_us, 0.5),
               quantile_ms (k->done_us, 0.99), quantile_ms (k->done_us, 1));
      json_object_object_add (kinds, k->name, row);
    }
  json_object_object_add (obj, "kinds", kinds);
  text = json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PRETTY);
  if (load.json_file)
    g_file_set_contents (load.json_file, text, -1, NULL);
  json_object_put (obj);
}

static gboolean
set_kind_member (struct kind *k, const char *key, const char *value)
{
  if (strcmp (key, "route") == 0)
    {
      g_free (k->route);
      k->route = g_strdup (value);
    }
  else if (strcmp (key, "query") == 0)
    {
      g_free (k->query);
      k->query = g_strdup (value);
    }
  else if (strcmp (key, "rate") == 0)
    k->rate = g_ascii_strtod (value, NULL);
  else if (strcmp (key, "from") == 0)
    k->from_s = g_ascii_strtod (value, NULL);
  else if (strcmp (key, "until") == 0)
    k->until_s = g_ascii_strtod (value, NULL);
  else if (strcmp (key, "deadline") == 0)
    k->deadline_ms = g_ascii_strtoll (value, NULL, 10);
  else if (strcmp (key, "size") == 0)
    k->body_bytes = g_ascii_strtoll (value, NULL, 10);
  else if (strcmp (key, "keyed") == 0)
    k->with_key = atoi (value);
  else if (strcmp (key, "reuse") == 0)
    k->reuse_connections = atoi (value);
  else
    return FALSE;
  return TRUE;
}

static gboolean
on_kind_option (const char *option, const char *text, gpointer data,
                GError **gerr)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 2);
  g_auto (GStrv) members = NULL;
  struct kind *k = g_new0 (struct kind, 1);

  (void)option;
  (void)data;
  k->name = g_strdup (parts[0]);
  k->route = g_strdup (parts[0]);
  k->query = g_strdup ("");
  k->rate = 100;
  k->until_s = 1e9;
  k->body_bytes = 100;
  k->done_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  k->refused_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  /* Each kind has its own connections, so that one kind cannot delay
     another. */
  for (int i = 0; i < SESSIONS_PER_KIND; i++)
    k->sessions[i] = soup_session_new_with_options (
        "proxy-resolver", NULL, "max-conns", CONNECTIONS_PER_SESSION,
        "max-conns-per-host", CONNECTIONS_PER_SESSION, NULL);
  k->instances = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (load.kinds, k);
  members = g_strsplit (parts[0] && parts[1] ? parts[1] : "", ",", 0);
  for (char **m = members; *m; m++)
    {
      g_auto (GStrv) pair = g_strsplit (*m, "=", 2);

      if (g_strv_length (pair) != 2 || !set_kind_member (k, pair[0], pair[1]))
        {
          g_set_error (gerr, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                       "\"%s\" is not KEY=VALUE with a known key; see --help",
                       *m);
          return FALSE;
        }
    }
  return TRUE;
}

static void
start_load (void)
{
  load.start_us = hk_clock_us ();
  for (guint i = 0; i < load.kinds->len; i++)
    {
      struct kind *k = g_ptr_array_index (load.kinds, i);

      if (load.duration_s > 0)
        k->until_s = MIN (k->until_s, load.duration_s);
      k->next_send_us = k->from_s * 1e6 + draw_interval_us (k);
      for (int c = 0; c < load.closed_loop_connections; c++)
        send_request (k, hk_clock_us ());
    }
}

int
main (int argc, char **argv)
{
  GOptionEntry options[]
      = { { "kind", 'k', 0, G_OPTION_ARG_CALLBACK, on_kind_option,
            "Kind of request; members are route, query, rate (requests/s), "
            "from, until (seconds), deadline (ms), size (bytes), keyed, "
            "reuse (0 or 1)",
            "NAME:KEY=VALUE,..." },
          { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &load.entry_urls,
            "URL of an entry, or of a worker with --direct; may be repeated",
            "URL" },
          { "duration", 'd', 0, G_OPTION_ARG_DOUBLE, &load.duration_s,
            "Send requests for S seconds", "S" },
          { "closed", 0, 0, G_OPTION_ARG_INT, &load.closed_loop_connections,
            "Run a closed loop with N connections for each kind", "N" },
          { "requests", 0, 0, G_OPTION_ARG_INT64, &load.max_requests,
            "End a closed loop after N requests", "N" },
          { "seed", 0, 0, G_OPTION_ARG_INT, &load.seed,
            "Seed of the arrival times", "N" },
          { "direct", 0, 0, G_OPTION_ARG_STRING, &load.direct_path,
            "Send directly to workers, to routes under PATH", "PATH" },
          { "json", 0, 0, G_OPTION_ARG_FILENAME, &load.json_file,
            "Write the result to FILE as JSON", "FILE" },
          { NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- load generator for entries");
  g_autoptr (GError) gerr = NULL;

  load.kinds = g_ptr_array_new ();
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &gerr))
    {
      g_printerr ("hyssopkeel-load: %s\n", gerr->message);
      return 2;
    }
  if (!load.entry_urls || load.kinds->len == 0
      || (load.duration_s <= 0 && load.max_requests <= 0))
    {
      g_printerr ("hyssopkeel-load: --entry, --kind, and --duration or "
                  "--requests are required; see --help\n");
      return 2;
    }
  load.rng = g_rand_new_with_seed ((guint32)load.seed);
  load.loop = g_main_loop_new (NULL, FALSE);
  start_load ();
  on_tick (NULL);
  g_main_loop_run (load.loop);
  print_report ();
  return 0;
}

/* Simulated worker of the soak: calls, reports, crashes and new incarnations.
   Orders may be carried out late, then perhaps by a later incarnation. */
#include "worker.h"

#include <string.h>

#include "../../platform/http_server.h"
#include "hyssopkeel/clock.h"
#include "runs.h"
#include "store.h"

#define CAPACITY_MEMORY_MB 8000
#define TICK_MS 20
#define REPORT_INTERVAL_MIN_MS 250
#define REPORT_INTERVAL_MAX_MS 750
/* A capacity that has shrunk counts this much later, and one report. */
#define SHRINK_GRACE_MS 3000
/* A renewal that waits is answered after an end, or with the others. */
#define RENEWAL_INTERVAL_MS 200
/* Later incarnations begin at 0, so that they take a late start in time. */
#define FIRST_CLOCK_MS 400000
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000

static void
respond (struct soak_worker *w, SoupServerMessage *msg, const char *refused)
{
  json_object *reply = soak_runs_list (w);

  json_object_object_add (reply, "clockMs",
                          json_object_new_int64 (soak_worker_clock_ms (w)));
  if (refused)
    json_object_object_add (reply, "reason", json_object_new_string (refused));
  http_respond_json (msg, refused ? 409 : 200, reply);
}

enum order
{
  ORDER_START,
  ORDER_STOP,
  ORDER_PACE
};

/* Returns the reason for a refusal, or NULL. */
static const char *
order_carry_out (struct soak_worker *w, json_object *body, enum order order,
                 gboolean late)
{
  if (hk_json_int (body, "fencingToken") < w->fencing_token)
    return "fence";
  w->fencing_token = hk_json_int (body, "fencingToken");
  if (order == ORDER_START)
    return soak_run_start (w, body, late);
  if (order == ORDER_STOP)
    soak_run_stop (w, body);
  else
    soak_run_pace (w, body);
  return NULL;
}

/* Keeps an order to be carried out long after it was sent. */
static void
order_delay (struct soak_worker *w, json_object *body, const char *expected,
             enum order order)
{
  int64_t due_ms
      = hk_clock_ms () + g_rand_int_range (w->rand, LATE_MIN_MS, LATE_MAX_MS);

  json_object_object_add (body, "due", json_object_new_int64 (due_ms));
  json_object_object_add (body, "order", json_object_new_int (order));
  if (expected)
    json_object_object_add (body, "id", json_object_new_string (expected));
  g_ptr_array_add (w->late, json_object_get (body));
}

static void
on_order (struct soak_worker *w, SoupServerMessage *msg, json_object *body,
          const char *expected, enum order order)
{
  const char *refused;

  if (w->late_orders > 0)
    {
      w->late_orders--;
      order_delay (w, body, expected, order);
      soup_server_message_pause (msg);
      return;
    }
  refused = order_carry_out (w, body, order, FALSE);
  if (w->lost_replies > 0)
    {
      w->lost_replies--;
      soup_server_message_pause (msg);
      return;
    }
  respond (w, msg, refused);
}

static void
on_renewal (struct soak_worker *w, SoupServerMessage *msg, json_object *body)
{
  if (hk_json_int (body, "fencingToken") < w->fencing_token)
    {
      respond (w, msg, "fence");
      return;
    }
  w->fencing_token = hk_json_int (body, "fencingToken");
  soak_lease_renew (w, body);
  if (hk_json_int (body, "waitMs") <= 0 || w->last_end > w->acked_end)
    {
      respond (w, msg, NULL);
      return;
    }
  g_ptr_array_add (w->waiting, g_object_ref (msg));
  soup_server_message_pause (msg);
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  struct soak_worker *w = user;
  struct hk_error err;
  g_autoptr (json_object) body = http_request_json (msg, &err);
  const char *expected = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Expected-Instance");

  (void)query;
  (void)server;
  if (!body || w->up_at_ms)
    {
      /* A crash cuts calls off; what has arrived must be valid. */
      if (soup_server_message_get_request_body (msg)->length > 0 && !body)
        soak_violation (w->oracle, "%s received a call that is not JSON: %s",
                        w->name, err.text);
      soup_server_message_pause (msg);
      return;
    }
  soak_runs_update (w);
  if (expected && strcmp (expected, w->id) != 0)
    http_respond_error (msg, 421, "another instance", 0);
  else if (strcmp (path, "/api/run-start") == 0)
    on_order (w, msg, body, expected, ORDER_START);
  else if (strcmp (path, "/api/run-stop") == 0)
    on_order (w, msg, body, expected, ORDER_STOP);
  else if (strcmp (path, "/api/pace") == 0)
    on_order (w, msg, body, expected, ORDER_PACE);
  else if (strcmp (path, "/api/hold") == 0)
    on_renewal (w, msg, body);
  else
    respond (w, msg, NULL);
}

static void
send_report (struct soak_worker *w)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s/api/Instances.Heartbeat/%s", w->reports, w->id);
  g_autofree char *rack
      = w->racked ? g_strdup_printf (",\"r%u\"", w->rack) : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"pool\",\"address\":\"%s\",\"state\":\"ready\","
      "\"sequence\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
      ",\"clockMs\":%" G_GINT64_FORMAT
      ",\"capacity\":{\"cpu\":%u,\"memMb\":%d,\"gpu\":0},"
      "\"labels\":[\"a\"%s]}",
      w->address, ++w->report_count, w->start_time_ms,
      soak_worker_clock_ms (w), w->cpu_milli, CAPACITY_MEMORY_MB, rack);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_async (w->session, msg, G_PRIORITY_DEFAULT, NULL, NULL,
                           NULL);
  w->next_report_ms = hk_clock_ms ()
                      + g_rand_int_range (w->rand, REPORT_INTERVAL_MIN_MS,
                                          REPORT_INTERVAL_MAX_MS);
}

/* Reports that lie or cannot be used; the parameters are the start time of the
   worker and its number of reports. */
static const struct
{
  const char *id;
  const char *body;
} odd_reports[] = {
#define ODD(id, state, sequence, born)                                        \
  {                                                                           \
    id, "{\"service\":\"pool\",\"state\":\"" state                            \
        "\",\"sequence\":" sequence ",\"born\":" born                         \
        ",\"capacity\":{\"cpu\":8000,\"memMb\":8000},\"labels\":[]}"          \
  }
  ODD (NULL, "ready", "1", "9223372036854775807"),
  ODD (NULL, "draining", "9223372036854775807", "@"),
  ODD ("another", "draining", "1", "@"),
  ODD ("another", "ready", "99999999999999999999", "4102444800000"),
  ODD (NULL, "draining", "1", "4102444800000"),
  ODD (NULL, "draining", "1e400", "@"),
  { NULL, "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[" },
  { NULL, "{\"service\":\"pool\",\"state\":7}" },
};

static void
send_odd_report (struct soak_worker *w, gsize n)
{
  const char *id = odd_reports[n].id ? odd_reports[n].id : w->id;
  g_autofree char *url = g_strdup_printf (
      "http://%s/api/Instances.Heartbeat/%s", w->reports, id);
  g_autofree char *born
      = g_strdup_printf ("%" G_GINT64_FORMAT, w->start_time_ms);
  g_auto (GStrv) parts = g_strsplit (odd_reports[n].body, "@", -1);
  g_autofree char *text = g_strjoinv (born, parts);
  g_autoptr (SoupMessage) msg = soup_message_new ("POST", url);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));

  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_async (w->session, msg, G_PRIORITY_DEFAULT, NULL, NULL,
                           NULL);
}

/* Begins a new incarnation, which knows nothing of the one before. */
static void
come_up (struct soak_worker *w)
{
  struct hk_error err;

  w->start_time_ms = MAX (g_get_real_time () / 1000, w->start_time_ms + 1);
  w->clock_offset_ms = (w->incarnations ? 0 : FIRST_CLOCK_MS)
                       + g_rand_int_range (w->rand, 0, 1000) - hk_clock_ms ();
  w->lease_expiry_ms = w->fencing_token = w->acked_end = w->last_end
      = w->report_count = w->next_report_ms = w->up_at_ms = 0;
  w->cpu_milli = SOAK_WORKER_CPU_MILLI;
  g_assert_cmpint (http_listen (w->server, w->address, &err), ==, HK_OK);
}

static void
late_orders_carry_out (struct soak_worker *w)
{
  for (guint i = w->late->len; i-- > 0;)
    {
      json_object *body = w->late->pdata[i];
      const char *id = hk_json_str (body, "id");

      if (hk_clock_ms () < hk_json_int (body, "due"))
        continue;
      if (!id || strcmp (id, w->id) == 0)
        order_carry_out (w, body, (enum order)hk_json_int (body, "order"),
                         TRUE);
      g_ptr_array_remove_index_fast (w->late, i);
    }
}

static void
renewals_answer (struct soak_worker *w)
{
  for (guint i = 0; i < w->waiting->len; i++)
    {
      respond (w, w->waiting->pdata[i], NULL);
      soup_server_message_unpause (w->waiting->pdata[i]);
    }
  g_ptr_array_set_size (w->waiting, 0);
  w->next_renewal_ms = hk_clock_ms () + RENEWAL_INTERVAL_MS;
}

static gboolean
on_tick (gpointer data)
{
  struct soak_worker *w = data;
  int64_t now = hk_clock_ms ();

  if (w->up_at_ms && now >= w->up_at_ms)
    come_up (w);
  if (w->up_at_ms)
    return G_SOURCE_CONTINUE;
  soak_runs_update (w);
  if (soak_runs_crash_due (w))
    {
      soak_worker_crash (w, g_rand_int_range (w->rand, 300, 3000),
                         g_rand_boolean (w->rand));
      return G_SOURCE_CONTINUE;
    }
  late_orders_carry_out (w);
  if (w->last_end > w->acked_end || now >= w->next_renewal_ms)
    renewals_answer (w);
  if (now >= w->next_report_ms)
    {
      send_report (w);
      if (w->odd)
        send_odd_report (w,
                         (gsize)w->report_count % G_N_ELEMENTS (odd_reports));
    }
  return G_SOURCE_CONTINUE;
}

void
soak_worker_crash (struct soak_worker *w, int64_t down_ms, gboolean same_id)
{
  if (w->up_at_ms)
    return;
  soak_runs_crash (w);
  g_ptr_array_set_size (w->waiting, 0);
  hk_http_listener_stop (w->server);
  w->up_at_ms = hk_clock_ms () + down_ms;
  w->incarnations++;
  if (same_id)
    return;
  g_free (w->id);
  w->id = g_strdup_printf ("%s-%u", w->name, w->incarnations);
}

void
soak_worker_resize (struct soak_worker *w, unsigned cpu_milli)
{
  if (cpu_milli < w->cpu_milli)
    {
      w->cpu_limit_milli = hk_clock_ms () < w->limit_until_ms
                               ? MAX (w->cpu_limit_milli, w->cpu_milli)
                               : w->cpu_milli;
      w->limit_until_ms
          = hk_clock_ms () + SHRINK_GRACE_MS + REPORT_INTERVAL_MAX_MS;
    }
  w->cpu_milli = cpu_milli;
}

static void
order_free (gpointer data)
{
  json_object_put (data);
}

void
soak_worker_start (struct soak_worker *w, const char *name,
                   const char *reports, struct soak_oracle *oracle,
                   unsigned seed)
{
  memset (w, 0, sizeof *w);
  w->name = g_strdup (name);
  w->id = g_strdup (name);
  w->reports = g_strdup (reports);
  w->oracle = oracle;
  w->rand = g_rand_new_with_seed (seed);
  w->address = soak_address ();
  soak_runs_init (w);
  w->late = g_ptr_array_new_with_free_func (order_free);
  w->waiting = g_ptr_array_new_with_free_func (g_object_unref);
  w->session = soup_session_new_with_options ("proxy-resolver", NULL,
                                              "timeout", 2, NULL);
  w->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (w->server, NULL, on_request, w, NULL);
  come_up (w);
  w->timer = g_timeout_add (TICK_MS, on_tick, w);
}

void
soak_worker_stop (struct soak_worker *w)
{
  g_source_remove (w->timer);
  hk_http_listener_stop (w->server);
  g_object_unref (w->server);
  soup_session_abort (w->session);
  g_object_unref (w->session);
  g_ptr_array_unref (w->runs);
  g_ptr_array_unref (w->late);
  g_ptr_array_unref (w->waiting);
  g_rand_free (w->rand);
  g_free (w->name);
  g_free (w->id);
  g_free (w->address);
  g_free (w->reports);
}

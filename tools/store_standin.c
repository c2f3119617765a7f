/* Stand-in for the platform's key-value service: a subset of the etcd v3
   JSON gateway, with fault injection.

   POST /standin/fault takes an object with any of:
     outage        bool   close open watches, and each connection before its
                          call is handled
     slow_ms       int    delay each reply by this many milliseconds
     lose_answers  int    apply the next N writes, but close their connections
                          instead of replying
     hang_watches  bool   keep watches open, but hold their events back
     cut_watches   bool   close the open watches once
     lapse_leases  bool   revoke all leases at once
     compact       bool   compact the history up to the current revision
   GET /standin/stats counts the calls by kind and the open watches. */
#include <string.h>
#include <sys/queue.h>

#include "../src/store/etcd_codec.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/timer.h"
#include "standin_http.h"
#include "store_data.h"

#define TICK_MS 50

struct watcher
{
  SoupServerMessage *msg;
  char *first_key;
  char *range_end;
  int64_t next_revision;
  LIST_ENTRY (watcher) link;
};

static struct
{
  struct store_data data;
  gboolean outage;
  gboolean hang_watches;
  int64_t reply_delay_ms;
  int64_t replies_to_lose;
  int writes_per_s;
  int reads_per_s;
  int64_t next_write_us;
  int64_t next_read_us;
  uint64_t reads;
  uint64_t writes;
  uint64_t lease_calls;
  uint64_t watch_calls;
  uint64_t lost_replies;
  LIST_HEAD (, watcher) watchers;
  struct hk_timer tick_timer;
} standin;

static void
drop_connection (SoupServerMessage *msg)
{
  GSocket *socket = soup_server_message_get_socket (msg);

  if (socket)
    g_socket_close (socket, NULL);
}

static json_object *
encode_event (const struct store_event *ev)
{
  json_object *obj = json_object_new_object ();
  json_object *kv = json_object_new_object ();

  etcd_add_bytes (kv, "key", ev->key);
  etcd_add_int64 (kv, "mod_revision", ev->revision);
  if (!ev->deleted)
    etcd_add_bytes (kv, "value", ev->value);
  if (ev->deleted)
    json_object_object_add (obj, "type", json_object_new_string ("DELETE"));
  json_object_object_add (obj, "kv", kv);
  return obj;
}

static void
send_watch_response (struct watcher *w, json_object *events,
                     gboolean compacted)
{
  g_autoptr (json_object) response = json_object_new_object ();
  json_object *result = json_object_new_object ();
  g_autofree char *line = NULL;

  json_object_object_add (result, "header", store_data_header (&standin.data));
  if (compacted)
    etcd_add_int64 (result, "compact_revision", standin.data.compacted);
  if (events)
    json_object_object_add (result, "events", events);
  json_object_object_add (response, "result", result);
  line = g_strconcat (
      json_object_to_json_string_ext (response, JSON_C_TO_STRING_PLAIN), "\n",
      NULL);
  soup_message_body_append (soup_server_message_get_response_body (w->msg),
                            SOUP_MEMORY_COPY, line, strlen (line));
  soup_server_message_unpause (w->msg);
}

static gboolean
watch_matches (const struct watcher *w, const struct store_event *ev)
{
  if (!*w->range_end)
    return strcmp (ev->key, w->first_key) == 0;
  return strcmp (ev->key, w->first_key) >= 0
         && strcmp (ev->key, w->range_end) < 0;
}

static void
send_events (struct watcher *w)
{
  const GPtrArray *events = standin.data.events;
  json_object *list = NULL;
  guint first = events->len;

  if (standin.hang_watches || standin.outage)
    return;
  while (first > 0)
    {
      const struct store_event *ev = g_ptr_array_index (events, first - 1);
      if (ev->revision < w->next_revision)
        break;
      first--;
    }
  for (; first < events->len; first++)
    {
      const struct store_event *ev = g_ptr_array_index (events, first);
      if (!watch_matches (w, ev))
        continue;
      if (!list)
        list = json_object_new_array ();
      json_object_array_add (list, encode_event (ev));
    }
  w->next_revision = standin.data.revision + 1;
  if (list)
    send_watch_response (w, list, FALSE);
}

static void
send_events_to_all (void)
{
  struct watcher *w;

  LIST_FOREACH (w, &standin.watchers, link)
  send_events (w);
}

static void
close_watches (void)
{
  struct watcher *w;

  LIST_FOREACH (w, &standin.watchers, link)
  drop_connection (w->msg);
}

static void
on_watch_finished (SoupServerMessage *msg, gpointer user)
{
  struct watcher *w = user;

  LIST_REMOVE (w, link);
  g_signal_handlers_disconnect_by_data (msg, w);
  g_object_unref (w->msg);
  g_free (w->first_key);
  g_free (w->range_end);
  g_free (w);
}

static void
start_watch (SoupServerMessage *msg, json_object *body)
{
  struct watcher *w = g_new0 (struct watcher, 1);
  json_object *req = NULL;

  json_object_object_get_ex (body, "create_request", &req);
  w->msg = g_object_ref (msg);
  w->first_key = store_data_decode (req, "key");
  w->range_end = store_data_decode (req, "range_end");
  w->next_revision = hk_json_int (req, "start_revision");
  if (w->next_revision == 0)
    w->next_revision = standin.data.revision + 1;
  standin.watch_calls++;
  LIST_INSERT_HEAD (&standin.watchers, w, link);
  g_signal_connect (msg, "finished", G_CALLBACK (on_watch_finished), w);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_message_headers_set_encoding (
      soup_server_message_get_response_headers (msg), SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (
      soup_server_message_get_response_body (msg), FALSE);
  send_watch_response (w, NULL, w->next_revision <= standin.data.compacted);
  if (w->next_revision > standin.data.compacted)
    send_events (w);
}

static json_object *
handle_lease (const char *path, json_object *body)
{
  standin.lease_calls++;
  if (strcmp (path, "/v3/lease/grant") == 0)
    return store_data_grant (&standin.data, hk_json_int (body, "TTL"));
  if (strcmp (path, "/v3/lease/keepalive") == 0)
    return store_data_keepalive (&standin.data, hk_json_int (body, "ID"));
  store_data_revoke (&standin.data, hk_json_int (body, "ID"));
  return json_object_new_object ();
}

static json_object *
handle_kv (const char *path, json_object *body)
{
  if (strcmp (path, "/v3/kv/range") == 0)
    {
      standin.reads++;
      return store_data_range (&standin.data, body);
    }
  standin.writes++;
  if (strcmp (path, "/v3/kv/put") == 0)
    return store_data_put (&standin.data, body);
  return store_data_txn (&standin.data, body);
}

struct delayed_reply
{
  SoupServerMessage *msg;
  struct hk_timer timer;
};

static void
send_delayed_reply (void *user)
{
  struct delayed_reply *d = user;

  soup_server_message_unpause (d->msg);
  g_object_unref (d->msg);
  g_free (d);
}

/* A token bucket that lets a burst of one second's calls pass at once. */
static int64_t
rate_wait_ms (gboolean read)
{
  int rate = read ? standin.reads_per_s : standin.writes_per_s;
  int64_t *next_call_us
      = read ? &standin.next_read_us : &standin.next_write_us;
  int64_t now = hk_clock_us ();

  if (rate <= 0)
    return 0;
  *next_call_us = MAX (*next_call_us, now - 1000000) + 1000000 / rate;
  return MAX (*next_call_us - now, 0) / 1000;
}

static void
delay_reply (SoupServerMessage *msg, int64_t ms)
{
  struct delayed_reply *d;

  if (ms <= 0)
    return;
  d = g_new0 (struct delayed_reply, 1);
  d->msg = g_object_ref (msg);
  soup_server_message_pause (msg);
  hk_timer_set (&d->timer, ms, send_delayed_reply, d);
}

static void
handle_call (SoupServerMessage *msg, const char *path, json_object *body)
{
  gboolean lease = g_str_has_prefix (path, "/v3/lease/");
  gboolean read = strcmp (path, "/v3/kv/range") == 0;
  json_object *reply
      = lease ? handle_lease (path, body) : handle_kv (path, body);

  send_events_to_all ();
  if (!read && !lease && standin.replies_to_lose > 0)
    {
      standin.replies_to_lose--;
      standin.lost_replies++;
      json_object_put (reply);
      drop_connection (msg);
      return;
    }
  if (reply)
    standin_reply (msg, SOUP_STATUS_OK, reply);
  else
    standin_reply (msg, SOUP_STATUS_NOT_FOUND, json_object_new_object ());
  delay_reply (msg, standin.reply_delay_ms + rate_wait_ms (read));
}

static void
on_call (SoupServer *server, SoupServerMessage *msg, const char *path,
         GHashTable *query, gpointer user)
{
  g_autoptr (json_object) body = NULL;

  (void)server;
  (void)query;
  (void)user;
  if (standin.outage)
    {
      drop_connection (msg);
      return;
    }
  body = standin_parse_body (msg);
  if (!body)
    standin_reply (msg, SOUP_STATUS_BAD_REQUEST, json_object_new_object ());
  else if (strcmp (path, "/v3/watch") == 0)
    start_watch (msg, body);
  else if (g_str_has_prefix (path, "/v3/kv/")
           || g_str_has_prefix (path, "/v3/lease/"))
    handle_call (msg, path, body);
  else
    standin_reply (msg, SOUP_STATUS_NOT_FOUND, json_object_new_object ());
}

static void
set_bool (json_object *body, const char *name, gboolean *out)
{
  json_object *value = NULL;

  if (json_object_object_get_ex (body, name, &value))
    *out = json_object_get_boolean (value);
}

static void
set_int (json_object *body, const char *name, int64_t *out)
{
  if (json_object_object_get_ex (body, name, NULL))
    *out = hk_json_int (body, name);
}

static void
on_fault (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer user)
{
  g_autoptr (json_object) body = standin_parse_body (msg);
  gboolean close_open_watches = FALSE;
  gboolean revoke_leases = FALSE;
  gboolean compact = FALSE;

  (void)server;
  (void)path;
  (void)query;
  (void)user;
  set_bool (body, "outage", &standin.outage);
  set_bool (body, "hang_watches", &standin.hang_watches);
  set_bool (body, "cut_watches", &close_open_watches);
  set_bool (body, "lapse_leases", &revoke_leases);
  set_bool (body, "compact", &compact);
  set_int (body, "slow_ms", &standin.reply_delay_ms);
  set_int (body, "lose_answers", &standin.replies_to_lose);
  if (close_open_watches || standin.outage)
    close_watches ();
  if (revoke_leases)
    store_data_revoke (&standin.data, 0);
  if (compact)
    standin.data.compacted = standin.data.revision;
  send_events_to_all ();
  standin_reply (msg, SOUP_STATUS_OK, json_object_new_object ());
}

static void
on_stats (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer user)
{
  json_object *obj = json_object_new_object ();
  const struct watcher *w;
  int64_t waiting = 0;

  (void)server;
  (void)path;
  (void)query;
  (void)user;
  LIST_FOREACH (w, &standin.watchers, link)
  waiting++;
#define COUNT(name, value)                                                    \
  json_object_object_add (obj, name, json_object_new_int64 ((int64_t)value))
  COUNT ("reads", standin.reads);
  COUNT ("writes", standin.writes);
  COUNT ("lease_calls", standin.lease_calls);
  COUNT ("watch_calls", standin.watch_calls);
  COUNT ("waiting_watches", waiting);
  COUNT ("lost_answers", standin.lost_replies);
  COUNT ("revision", standin.data.revision);
#undef COUNT
  standin_reply (msg, SOUP_STATUS_OK, obj);
}

static void
on_tick (void *user)
{
  (void)user;
  store_data_expire (&standin.data);
  send_events_to_all ();
  hk_timer_set (&standin.tick_timer, TICK_MS, on_tick, NULL);
}

int
main (int argc, char **argv)
{
  g_autofree char *listen = g_strdup ("127.0.0.1:2379");
  GOptionEntry options[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen,
            "Address to listen on", "IP:PORT" },
          { "writes-per-s", 0, 0, G_OPTION_ARG_INT, &standin.writes_per_s,
            "Limit of writes per second; 0 for no limit", "N" },
          { "reads-per-s", 0, 0, G_OPTION_ARG_INT, &standin.reads_per_s,
            "Limit of reads per second; 0 for no limit", "N" },
          { NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- stand-in for the platform's key-value store");
  g_autoptr (SoupServer) server = NULL;
  g_autoptr (GError) gerr = NULL;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &gerr))
    {
      g_printerr ("%s\n", gerr->message);
      return 2;
    }
  store_data_init (&standin.data);
  server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, "/standin/fault", on_fault, NULL, NULL);
  soup_server_add_handler (server, "/standin/stats", on_stats, NULL, NULL);
  soup_server_add_handler (server, NULL, on_call, NULL, NULL);
  if (standin_listen (server, listen) < 0)
    return 1;
  on_tick (NULL);
  standin_run ();
  return 0;
}

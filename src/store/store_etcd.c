/* Store client for the etcd v3 JSON gateway, on libsoup. */
#include "hyssopkeel/store_etcd.h"

#include <string.h>

#include "etcd_codec.h"
#include "hyssopkeel/timer.h"

#define RESPONSE_MAX_BYTES (64 << 20)
#define SESSION_CONNECTIONS_MAX 32

/* A call in flight. libsoup must not repeat a write, whose effect is unknown
   once it was sent; writes therefore use a new connection each. */
struct etcd_call
{
  struct hk_store_etcd *etcd;
  SoupMessage *msg;
  GCancellable *cancellable;
  struct hk_timer timer;
  const char *step;
  size_t n_results;
  gboolean batch;
  hk_store_done done;
  void *user;
};

static void
free_call (struct etcd_call *call)
{
  hk_timer_clear (&call->timer);
  g_clear_object (&call->msg);
  g_clear_object (&call->cancellable);
  g_free (call);
}

static void
on_timeout (void *user)
{
  struct etcd_call *call = user;

  g_cancellable_cancel (call->cancellable);
}

static const char *
base_url (const struct hk_store_etcd *etcd)
{
  return etcd->urls[etcd->url_index];
}

static void
switch_url (struct hk_store_etcd *etcd)
{
  etcd->url_index = (etcd->url_index + 1) % g_strv_length (etcd->urls);
}

/* The gateway also responds 503 to a write that timed out inside the store, so
   this status leaves the effect of the call unknown. */
static int
check_status (struct etcd_call *call, GBytes *body, struct hk_error *err)
{
  SoupStatus status = soup_message_get_status (call->msg);
  gsize len;
  const char *text = g_bytes_get_data (body, &len);
  int code = HK_ERR_PROTOCOL;

  if (status == SOUP_STATUS_OK)
    return HK_OK;
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    code = HK_ERR_IO;
  else if (status == SOUP_STATUS_NOT_FOUND)
    code = HK_ERR_NOT_FOUND;
  return hk_error_set (err, code, call->step, base_url (call->etcd),
                       "status %u: %.*s", status, (int)MIN (len, 160), text);
}

static int
decode_response (struct etcd_call *call, GBytes *body,
                 struct hk_store_result *results, struct hk_error *err)
{
  g_autoptr (json_object) obj = NULL;
  gsize len;
  const char *text = g_bytes_get_data (body, &len);
  int rc = check_status (call, body, err);

  if (rc < 0)
    return rc;
  rc = hk_json_parse (&obj, text ? text : "", len, base_url (call->etcd), err);
  if (rc == HK_OK)
    {
      json_object *inner = NULL;

      /* Streamed responses, such as keepalive, are wrapped in "result". */
      if (json_object_object_get_ex (obj, "result", &inner))
        rc = etcd_decode_result (results, call->n_results, inner, call->batch);
      else
        rc = etcd_decode_result (results, call->n_results, obj, call->batch);
    }
  if (rc < 0)
    return hk_error_set (err, HK_ERR_PROTOCOL, call->step,
                         base_url (call->etcd), "answer does not parse");
  return HK_OK;
}

static void
on_response (GObject *source, GAsyncResult *res, gpointer user)
{
  struct etcd_call *call = user;
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, &gerr);
  g_autofree struct hk_store_result *results
      = g_new0 (struct hk_store_result, call->n_results);
  struct hk_error err = { 0 };
  int rc;

  if (body)
    rc = decode_response (call, body, results, &err);
  else
    rc = hk_error_from_gerror (&err, call->step, base_url (call->etcd), gerr);
  if (rc < 0)
    switch_url (call->etcd);
  call->done (rc, results, &err, call->user);
  etcd_clear_results (results, call->n_results);
  free_call (call);
}

static SoupMessage *
new_message (struct hk_store_etcd *etcd, const char *path, json_object *body)
{
  g_autofree char *url = g_strconcat (base_url (etcd), path, NULL);
  const char *text
      = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  SoupMessage *msg = soup_message_new (SOUP_METHOD_POST, url);

  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  etcd->base.calls++;
  return msg;
}

static struct etcd_call *
send_call (struct hk_store *store, const char *step, const char *path,
           json_object *body, size_t n_results, hk_store_done done, void *user)
{
  struct hk_store_etcd *etcd = (struct hk_store_etcd *)store;
  struct etcd_call *call = g_new0 (struct etcd_call, 1);

  call->etcd = etcd;
  call->msg = new_message (etcd, path, body);
  call->cancellable = g_cancellable_new ();
  call->step = step;
  call->n_results = n_results;
  call->done = done;
  call->user = user;
  hk_timer_set (&call->timer, etcd->timeout_ms, on_timeout, call);
  soup_session_send_and_read_async (etcd->session, call->msg,
                                    G_PRIORITY_DEFAULT, call->cancellable,
                                    on_response, call);
  json_object_put (body);
  return call;
}

static void
etcd_range (struct hk_store *store, const char *key, gboolean prefix,
            hk_store_done done, void *user)
{
  json_object *body = json_object_new_object ();
  struct etcd_call *call;

  etcd_add_bytes (body, "key", key);
  if (prefix)
    etcd_add_prefix (body, key);
  call = send_call (store, "store.range", "/v3/kv/range", body, 1, done, user);
  /* Reads may be repeated, which lets libsoup reuse an idle connection. */
  soup_message_add_flags (call->msg, SOUP_MESSAGE_IDEMPOTENT);
}

static void
etcd_newest (struct hk_store *store, const char *prefix, hk_store_done done,
             void *user)
{
  json_object *body = json_object_new_object ();
  struct etcd_call *call;

  etcd_add_bytes (body, "key", prefix);
  etcd_add_prefix (body, prefix);
  etcd_add_int64 (body, "limit", 1);
  json_object_object_add (body, "sort_order",
                          json_object_new_string ("DESCEND"));
  json_object_object_add (body, "sort_target", json_object_new_string ("MOD"));
  call
      = send_call (store, "store.newest", "/v3/kv/range", body, 1, done, user);
  soup_message_add_flags (call->msg, SOUP_MESSAGE_IDEMPOTENT);
}

static void
etcd_batch (struct hk_store *store, const struct hk_store_txn *txns, size_t n,
            hk_store_done done, void *user)
{
  struct etcd_call *call
      = send_call (store, "store.txn", "/v3/kv/txn",
                   etcd_encode_batch (txns, n), n, done, user);

  call->batch = TRUE;
}

static void
etcd_grant (struct hk_store *store, int64_t ttl_s, hk_store_done done,
            void *user)
{
  json_object *body = json_object_new_object ();

  etcd_add_int64 (body, "TTL", ttl_s);
  send_call (store, "store.grant", "/v3/lease/grant", body, 1, done, user);
}

static void
etcd_keepalive (struct hk_store *store, int64_t lease, hk_store_done done,
                void *user)
{
  json_object *body = json_object_new_object ();

  etcd_add_int64 (body, "ID", lease);
  send_call (store, "store.keepalive", "/v3/lease/keepalive", body, 1, done,
             user);
}

static void
etcd_revoke (struct hk_store *store, int64_t lease, hk_store_done done,
             void *user)
{
  json_object *body = json_object_new_object ();

  etcd_add_int64 (body, "ID", lease);
  send_call (store, "store.revoke", "/v3/lease/revoke", body, 1, done, user);
}

/* A watch is a streamed response with one JSON object per line. */
struct hk_store_watch
{
  struct hk_store_etcd *etcd;
  const struct hk_store_watch_ops *ops;
  void *user;
  SoupMessage *msg;
  GCancellable *cancellable;
  GDataInputStream *lines;
  gboolean cancelled;
};

static void
free_watch (struct hk_store_watch *watch)
{
  g_clear_object (&watch->msg);
  g_clear_object (&watch->cancellable);
  g_clear_object (&watch->lines);
  g_free (watch);
}

/* Calls back unless the watch was cancelled by its owner. */
static void
end_watch (struct hk_store_watch *watch, gboolean compacted,
           const struct hk_error *err)
{
  if (!watch->cancelled)
    watch->ops->lost (compacted, err, watch->user);
  free_watch (watch);
}

static void
deliver_event (struct hk_store_watch *watch, json_object *event)
{
  struct hk_store_kv kv = { 0 };
  json_object *obj = NULL;
  const char *type = hk_json_str (event, "type");

  json_object_object_get_ex (event, "kv", &obj);
  if (etcd_decode_kv (&kv, obj) == HK_OK)
    {
      if (type && strcmp (type, "DELETE") == 0)
        g_clear_pointer (&kv.value, g_free);
      watch->ops->event (&kv, watch->user);
    }
  etcd_clear_kv (&kv);
}

/* Returns HK_ERR_NOT_FOUND if the start revision was compacted. */
static int
deliver_line (struct hk_store_watch *watch, const char *line, gsize len,
              struct hk_error *err)
{
  g_autoptr (json_object) obj = NULL;
  json_object *result = NULL;
  json_object *header = NULL;
  json_object *events = NULL;
  int rc = hk_json_parse (&obj, line, len, base_url (watch->etcd), err);

  if (rc < 0)
    return rc;
  if (!json_object_object_get_ex (obj, "result", &result))
    return hk_error_set (err, HK_ERR_PROTOCOL, "store.watch",
                         base_url (watch->etcd), "no result in the stream");
  if (hk_json_int (result, "compact_revision") > 0)
    return hk_error_set (err, HK_ERR_NOT_FOUND, "store.watch",
                         base_url (watch->etcd), "revision was compacted");
  if (json_object_object_get_ex (result, "events", &events))
    for (size_t i = 0; i < json_object_array_length (events); i++)
      deliver_event (watch, json_object_array_get_idx (events, i));
  if (!watch->cancelled
      && json_object_object_get_ex (result, "header", &header))
    watch->ops->progress (hk_json_int (header, "revision"), watch->user);
  return HK_OK;
}

static void
on_line (GObject *source, GAsyncResult *res, gpointer user)
{
  struct hk_store_watch *watch = user;
  g_autoptr (GError) gerr = NULL;
  struct hk_error err = { 0 };
  gsize len = 0;
  g_autofree char *line = g_data_input_stream_read_line_finish (
      G_DATA_INPUT_STREAM (source), res, &len, &gerr);
  int rc = HK_OK;

  if (!line)
    {
      hk_error_set (&err, HK_ERR_IO, "store.watch", base_url (watch->etcd),
                    "%s", gerr ? gerr->message : "stream ended");
      end_watch (watch, FALSE, &err);
      return;
    }
  if (!watch->cancelled && len > 0)
    rc = deliver_line (watch, line, len, &err);
  if (rc < 0 || watch->cancelled)
    {
      g_cancellable_cancel (watch->cancellable);
      end_watch (watch, rc == HK_ERR_NOT_FOUND, &err);
      return;
    }
  g_data_input_stream_read_line_async (watch->lines, G_PRIORITY_DEFAULT,
                                       watch->cancellable, on_line, watch);
}

static void
on_watch_open (GObject *source, GAsyncResult *res, gpointer user)
{
  struct hk_store_watch *watch = user;
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GInputStream) stream
      = soup_session_send_finish (SOUP_SESSION (source), res, &gerr);
  struct hk_error err = { 0 };

  if (!stream || soup_message_get_status (watch->msg) != SOUP_STATUS_OK)
    {
      hk_error_set (&err, HK_ERR_UNAVAILABLE, "store.watch",
                    base_url (watch->etcd), "%s",
                    gerr ? gerr->message : "refused");
      switch_url (watch->etcd);
      end_watch (watch, FALSE, &err);
      return;
    }
  watch->lines = g_data_input_stream_new (stream);
  g_data_input_stream_read_line_async (watch->lines, G_PRIORITY_DEFAULT,
                                       watch->cancellable, on_line, watch);
}

static struct hk_store_watch *
etcd_watch (struct hk_store *store, const char *prefix, int64_t from,
            const struct hk_store_watch_ops *ops, void *user)
{
  struct hk_store_etcd *etcd = (struct hk_store_etcd *)store;
  struct hk_store_watch *watch = g_new0 (struct hk_store_watch, 1);
  g_autoptr (json_object) body = json_object_new_object ();
  json_object *create = json_object_new_object ();

  etcd_add_bytes (create, "key", prefix);
  etcd_add_prefix (create, prefix);
  etcd_add_int64 (create, "start_revision", from);
  json_object_object_add (body, "create_request", create);
  watch->etcd = etcd;
  watch->ops = ops;
  watch->user = user;
  watch->cancellable = g_cancellable_new ();
  watch->msg = new_message (etcd, "/v3/watch", body);
  soup_session_send_async (etcd->watch_session, watch->msg, G_PRIORITY_DEFAULT,
                           watch->cancellable, on_watch_open, watch);
  return watch;
}

static void
etcd_unwatch (struct hk_store_watch *watch)
{
  watch->cancelled = TRUE;
  g_cancellable_cancel (watch->cancellable);
}

static const struct hk_store_ops etcd_ops = { .range = etcd_range,
                                              .newest = etcd_newest,
                                              .batch = etcd_batch,
                                              .grant = etcd_grant,
                                              .keepalive = etcd_keepalive,
                                              .revoke = etcd_revoke,
                                              .watch = etcd_watch,
                                              .unwatch = etcd_unwatch };

void
hk_store_etcd_init (struct hk_store_etcd *etcd, char **urls,
                    int64_t timeout_ms)
{
  memset (etcd, 0, sizeof *etcd);
  etcd->base.ops = &etcd_ops;
  etcd->urls = g_strdupv (urls);
  etcd->timeout_ms = timeout_ms;
  etcd->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "max-conns", SESSION_CONNECTIONS_MAX,
      "max-conns-per-host", SESSION_CONNECTIONS_MAX, NULL);
  /* No time-out: a watch is idle for as long as nothing changes. */
  etcd->watch_session = soup_session_new_with_options ("proxy-resolver", NULL,
                                                       "timeout", 0, NULL);
}

void
hk_store_etcd_finish (struct hk_store_etcd *etcd)
{
  if (!etcd->urls)
    return;
  soup_session_abort (etcd->session);
  soup_session_abort (etcd->watch_session);
  g_clear_object (&etcd->session);
  g_clear_object (&etcd->watch_session);
  g_clear_pointer (&etcd->urls, g_strfreev);
}

/* Stand-in for the store in the soak: items with revisions, transactions and
   watches, held in memory. */
#include "store.h"

#include <string.h>
#include <unistd.h>

#include "../../platform/http_server.h"
#include "../support/jobs.h"

#define PORT_MIN 20000
#define PORT_MAX 32000
/* Events kept for watches to resume from. */
#define HISTORY_EVENTS 4000

struct item
{
  char *key;
  char *value; /* base64; NULL once deleted */
  int64_t revision;
};

/* Long poll of a watch that waits for an event or its time-out. */
struct watch
{
  struct soak_store *s;
  SoupServerMessage *msg;
  char *prefix;
  int64_t after;
  guint timer;
};

char *
soak_address (void)
{
  static int next = PORT_MIN;
  unsigned pid = (unsigned)getpid ();

  g_assert_cmpint (next, <, PORT_MAX);
  return g_strdup_printf ("127.%u.%u.%u:%d", 1 + (pid >> 16) % 254,
                          (pid >> 8) % 256, pid % 256, next++);
}

static void
item_free (gpointer data)
{
  struct item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static json_object *
item_json (const struct item *item)
{
  json_object *obj = json_object_new_object ();

  json_object_object_add (obj, "key", json_object_new_string (item->key));
  json_object_object_add (obj, "revision",
                          json_object_new_int64 (item->revision));
  if (item->value)
    json_object_object_add (obj, "value",
                            json_object_new_string (item->value));
  else
    json_object_object_add (obj, "deleted", json_object_new_boolean (TRUE));
  return obj;
}

static void
watch_finish (struct watch *w, unsigned status, json_object *body)
{
  w->s->watches = g_list_remove (w->s->watches, w);
  if (w->timer)
    g_source_remove (w->timer);
  http_respond_json (w->msg, status, body);
  soup_server_message_unpause (w->msg);
  g_object_unref (w->msg);
  g_free (w->prefix);
  g_free (w);
}

static json_object *
events_after (struct soak_store *s, const char *prefix, int64_t after)
{
  json_object *list = json_object_new_array ();

  for (guint i = 0; i < s->log->len; i++)
    {
      const struct item *item = s->log->pdata[i];

      if (item->revision > after && g_str_has_prefix (item->key, prefix))
        json_object_array_add (list, item_json (item));
    }
  return list;
}

static gboolean
watch_reply (struct watch *w, gboolean even_if_empty)
{
  json_object *events = events_after (w->s, w->prefix, w->after);
  json_object *body;

  if (json_object_array_length (events) == 0 && !even_if_empty)
    {
      json_object_put (events);
      return FALSE;
    }
  body = json_object_new_object ();
  json_object_object_add (body, "events", events);
  json_object_object_add (body, "at", json_object_new_int64 (w->s->revision));
  watch_finish (w, 200, body);
  return TRUE;
}

static gboolean
on_watch_timeout (gpointer data)
{
  struct watch *w = data;

  w->timer = 0;
  watch_reply (w, TRUE);
  return G_SOURCE_REMOVE;
}

static void
item_write (struct soak_store *s, const char *key, const char *value)
{
  struct item *item = g_new0 (struct item, 1);
  struct item *event = g_new0 (struct item, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = s->revision;
  *event = *item;
  event->key = g_strdup (key);
  event->value = g_strdup (value);
  if (value)
    g_hash_table_replace (s->items, item->key, item);
  else
    {
      g_hash_table_remove (s->items, key);
      item_free (item);
    }
  g_ptr_array_add (s->log, event);
  if (s->log->len > HISTORY_EVENTS)
    g_ptr_array_remove_range (s->log, 0, HISTORY_EVENTS / 2);
}

static void
notify_watches (struct soak_store *s)
{
  GList *next;

  for (GList *l = s->watches; l; l = next)
    {
      next = l->next;
      watch_reply (l->data, FALSE);
    }
}

void
soak_store_put (struct soak_store *s, const char *key, const char *value)
{
  g_autofree char *coded
      = g_base64_encode ((const guchar *)value, strlen (value));

  s->revision++;
  item_write (s, key, coded);
  notify_watches (s);
}

void
soak_store_remove (struct soak_store *s, const char *key)
{
  s->revision++;
  item_write (s, key, NULL);
  notify_watches (s);
}

char *
soak_store_get (const struct soak_store *s, const char *key)
{
  const struct item *item = g_hash_table_lookup (s->items, key);
  g_autofree guchar *bytes = NULL;
  gsize len;

  if (!item)
    return NULL;
  bytes = g_base64_decode (item->value, &len);
  return g_strndup ((const char *)bytes, len);
}

static json_object *
get_key (struct soak_store *s, const char *key, unsigned *status)
{
  const struct item *item = g_hash_table_lookup (s->items, key);
  json_object *body = item ? item_json (item) : json_object_new_object ();

  *status = item ? 200 : 404;
  json_object_object_add (body, "at", json_object_new_int64 (s->revision));
  return body;
}

static json_object *
get_range (struct soak_store *s, const char *prefix)
{
  json_object *body = json_object_new_object ();
  json_object *list = json_object_new_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_str_has_prefix (((struct item *)value)->key, prefix))
      json_object_array_add (list, item_json (value));
  json_object_object_add (body, "items", list);
  json_object_object_add (body, "at", json_object_new_int64 (s->revision));
  return body;
}

static json_object *
get_list (json_object *body, const char *name)
{
  json_object *list = NULL;

  json_object_object_get_ex (body, name, &list);
  return list;
}

static json_object *
transaction_commit (struct soak_store *s, json_object *body, unsigned *status)
{
  json_object *expected = get_list (body, "expectedRev");
  json_object *writes = get_list (body, "writes");
  json_object *removals = get_list (body, "remove");
  json_object *reply = json_object_new_object ();
  json_object *items = json_object_new_array ();

  *status = 200;
  for (size_t i = 0; i < json_object_array_length (expected); i++)
    {
      json_object *row = json_object_array_get_idx (expected, i);
      const struct item *item
          = g_hash_table_lookup (s->items, hk_json_str (row, "key"));

      if ((item ? item->revision : 0) != hk_json_int (row, "revision"))
        *status = 412;
      if (item)
        json_object_array_add (items, item_json (item));
    }
  if (*status == 200)
    {
      s->revision++;
      for (size_t i = 0; i < json_object_array_length (writes); i++)
        {
          json_object *row = json_object_array_get_idx (writes, i);

          item_write (s, hk_json_str (row, "key"), hk_json_str (row, "value"));
        }
      for (size_t i = 0; i < json_object_array_length (removals); i++)
        item_write (
            s,
            json_object_get_string (json_object_array_get_idx (removals, i)),
            NULL);
      notify_watches (s);
    }
  json_object_object_add (reply, "items", items);
  json_object_object_add (reply, "revision",
                          json_object_new_int64 (s->revision));
  return reply;
}

static void
watch_start (struct soak_store *s, SoupServerMessage *msg, GHashTable *query)
{
  struct watch *w = g_new0 (struct watch, 1);
  const char *wait = g_hash_table_lookup (query, "waitMs");

  w->s = s;
  w->msg = g_object_ref (msg);
  w->prefix = g_strdup (g_hash_table_lookup (query, "prefix"));
  w->after = g_ascii_strtoll (g_hash_table_lookup (query, "after"), NULL, 10);
  w->timer = g_timeout_add ((guint)g_ascii_strtoull (wait, NULL, 10),
                            on_watch_timeout, w);
  s->watches = g_list_prepend (s->watches, w);
  soup_server_message_pause (msg);
  watch_reply (w, FALSE);
}

static gboolean
on_delay_over (gpointer data)
{
  soup_server_message_unpause (data);
  g_object_unref (data);
  return G_SOURCE_REMOVE;
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  struct soak_store *s = user;
  g_autoptr (json_object) body = NULL;
  json_object *reply = NULL;
  struct hk_error err;
  unsigned status = 200;

  (void)server;
  if (s->unresponsive)
    {
      soup_server_message_pause (msg);
      return;
    }
  if (s->down)
    {
      http_respond_json (msg, 503, json_object_new_object ());
      return;
    }
  if (strcmp (path, "/api/kv-watch") == 0 && s->lost_histories > 0)
    {
      s->lost_histories--;
      http_respond_json (msg, 410, json_object_new_object ());
      return;
    }
  if (strcmp (path, "/api/kv-watch") == 0)
    {
      watch_start (s, msg, query);
      return;
    }
  if (strcmp (path, "/api/kv-key") == 0)
    reply = get_key (s, g_hash_table_lookup (query, "key"), &status);
  else if (strcmp (path, "/api/kv-range") == 0)
    reply = get_range (s, g_hash_table_lookup (query, "prefix"));
  else
    {
      body = http_request_json (msg, &err);
      g_assert_nonnull (body);
      reply = transaction_commit (s, body, &status);
      if (status == 200 && s->lost_replies > 0)
        {
          s->lost_replies--;
          json_object_put (reply);
          soup_server_message_pause (msg);
          return;
        }
    }
  http_respond_json (msg, status, reply);
  if (s->reply_delay_ms > 0)
    {
      soup_server_message_pause (msg);
      g_timeout_add (s->reply_delay_ms, on_delay_over, g_object_ref (msg));
    }
}

void
soak_store_start (struct soak_store *s)
{
  struct hk_error err;

  memset (s, 0, sizeof *s);
  s->address = soak_address ();
  s->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, item_free);
  s->log = g_ptr_array_new_with_free_func (item_free);
  s->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (s->server, NULL, on_request, s, NULL);
  g_assert_cmpint (http_listen (s->server, s->address, &err), ==, HK_OK);
}

void
soak_store_stop (struct soak_store *s)
{
  while (s->watches)
    watch_reply (s->watches->data, TRUE);
  hk_http_listener_stop (s->server);
  g_object_unref (s->server);
  g_hash_table_unref (s->items);
  g_ptr_array_unref (s->log);
  g_free (s->address);
}

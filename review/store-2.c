/* Stand-in for the platform's metadata store. It forgets no event, and answers
   at once. */
#include "store-2.h"

#include <string.h>
#include <unistd.h>

#include "../platform/http_server.h"

#define PORT_MIN 20000
#define PAGE_ITEMS_MAX 500
#define PAGE_BYTES_MAX 1000000

/* @value is base64, NULL once the item is removed. */
struct rv_item
{
  char *key;
  char *value;
  gint64 revision;
};

/* A watch call that waits for an event. */
struct rv_watch
{
  struct rv_store *s;
  SoupServerMessage *msg;
  char *prefix;
  gint64 after;
  guint timer;
};

/* One page of a range that is being read. */
struct rv_page
{
  const char *prefix;
  const char *after;
  json_object *list;
  gsize bytes;
  gboolean more;
};

char *
rv_address (void)
{
  static int next = PORT_MIN;
  unsigned pid = (unsigned)getpid ();

  return g_strdup_printf ("127.%u.%u.%u:%d", 1 + (pid >> 16) % 250,
                          (pid >> 8) % 256, 1 + pid % 254, next++);
}

static struct rv_item *
item_new (struct rv_store *s, const char *key, const char *value)
{
  struct rv_item *item = g_new0 (struct rv_item, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (value);
  item->revision = s->revision;
  return item;
}

static void
item_free (gpointer data)
{
  struct rv_item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

static json_object *
item_json (const struct rv_item *item)
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

/* Watches */

static json_object *
events_after (const struct rv_store *s, const char *prefix, gint64 after)
{
  json_object *list = json_object_new_array ();

  for (guint i = 0; i < s->log->len; i++)
    {
      const struct rv_item *item = s->log->pdata[i];

      if (item->revision > after && g_str_has_prefix (item->key, prefix))
        json_object_array_add (list, item_json (item));
    }
  return list;
}

static void
watch_answer (struct rv_watch *w, gboolean even_if_empty)
{
  json_object *events = events_after (w->s, w->prefix, w->after);
  json_object *body;

  if (json_object_array_length (events) == 0 && !even_if_empty)
    {
      json_object_put (events);
      return;
    }
  body = json_object_new_object ();
  json_object_object_add (body, "events", events);
  json_object_object_add (body, "at", json_object_new_int64 (w->s->revision));
  w->s->watches = g_list_remove (w->s->watches, w);
  if (w->timer)
    g_source_remove (w->timer);
  http_respond_json (w->msg, 200, body);
  soup_server_message_unpause (w->msg);
  g_object_unref (w->msg);
  g_free (w->prefix);
  g_free (w);
}

static gboolean
on_watch_timeout (gpointer data)
{
  struct rv_watch *w = data;

  w->timer = 0;
  watch_answer (w, TRUE);
  return G_SOURCE_REMOVE;
}

static void
watch_start (struct rv_store *s, SoupServerMessage *msg, GHashTable *query)
{
  struct rv_watch *w = g_new0 (struct rv_watch, 1);

  w->s = s;
  w->msg = g_object_ref (msg);
  w->prefix = g_strdup (g_hash_table_lookup (query, "prefix"));
  w->after = g_ascii_strtoll (g_hash_table_lookup (query, "after"), NULL, 10);
  w->timer
      = g_timeout_add ((guint)g_ascii_strtoull (
                           g_hash_table_lookup (query, "waitMs"), NULL, 10),
                       on_watch_timeout, w);
  s->watches = g_list_prepend (s->watches, w);
  soup_server_message_pause (msg);
  watch_answer (w, FALSE);
}

static void
watches_notify (struct rv_store *s)
{
  GList *next;

  for (GList *l = s->watches; l; l = next)
    {
      next = l->next;
      watch_answer (l->data, FALSE);
    }
}

/* Reads */

static gboolean
page_add (gpointer key, gpointer value, gpointer user)
{
  struct rv_page *page = user;
  const struct rv_item *item = value;

  if (!g_str_has_prefix (key, page->prefix)
      || (page->after && strcmp (key, page->after) <= 0))
    return FALSE;
  if (json_object_array_length (page->list) > 0
      && (json_object_array_length (page->list) >= PAGE_ITEMS_MAX
          || page->bytes + strlen (item->value) > PAGE_BYTES_MAX))
    {
      page->more = TRUE;
      return TRUE;
    }
  page->bytes += strlen (item->value);
  json_object_array_add (page->list, item_json (item));
  return FALSE;
}

static json_object *
read_range (const struct rv_store *s, GHashTable *query)
{
  struct rv_page page = { .prefix = g_hash_table_lookup (query, "prefix"),
                          .after = g_hash_table_lookup (query, "after"),
                          .list = json_object_new_array () };
  json_object *body = json_object_new_object ();

  g_tree_foreach (s->items, page_add, &page);
  json_object_object_add (body, "items", page.list);
  json_object_object_add (body, "hasMore",
                          json_object_new_boolean (page.more));
  json_object_object_add (body, "at", json_object_new_int64 (s->revision));
  return body;
}

static json_object *
read_key (const struct rv_store *s, GHashTable *query, unsigned *status)
{
  const struct rv_item *item
      = g_tree_lookup (s->items, g_hash_table_lookup (query, "key"));
  json_object *body = item ? item_json (item) : json_object_new_object ();

  *status = item ? 200 : 404;
  json_object_object_add (body, "at", json_object_new_int64 (s->revision));
  return body;
}

/* Writes */

static void
item_write (struct rv_store *s, const char *key, const char *value)
{
  struct rv_item *item;

  g_ptr_array_add (s->log, item_new (s, key, value));
  if (!value)
    {
      g_tree_remove (s->items, key);
      return;
    }
  item = item_new (s, key, value);
  g_tree_replace (s->items, item->key, item);
}

void
rv_store_put (struct rv_store *s, const char *key, const char *value)
{
  g_autofree char *coded
      = g_base64_encode ((const guchar *)value, strlen (value));

  s->revision++;
  item_write (s, key, coded);
  watches_notify (s);
}

static gboolean
revisions_hold (const struct rv_store *s, json_object *expected,
                json_object *items)
{
  gboolean hold = TRUE;

  for (gsize i = 0; i < json_object_array_length (expected); i++)
    {
      json_object *row = json_object_array_get_idx (expected, i);
      const struct rv_item *item
          = g_tree_lookup (s->items, hk_json_str (row, "key"));

      hold = hold
             && (item ? item->revision : 0) == hk_json_int (row, "revision");
      if (item)
        json_object_array_add (items, item_json (item));
    }
  return hold;
}

static json_object *
commit (struct rv_store *s, json_object *body, unsigned *status)
{
  json_object *reply = json_object_new_object ();
  json_object *items = json_object_new_array ();
  json_object *writes = json_object_object_get (body, "writes");
  json_object *removals = json_object_object_get (body, "remove");

  *status = 412;
  if (revisions_hold (s, json_object_object_get (body, "expectedRev"), items))
    {
      *status = 200;
      s->revision++;
      for (gsize i = 0; i < json_object_array_length (writes); i++)
        {
          json_object *row = json_object_array_get_idx (writes, i);

          item_write (s, hk_json_str (row, "key"), hk_json_str (row, "value"));
        }
      for (gsize i = 0; i < json_object_array_length (removals); i++)
        item_write (
            s,
            json_object_get_string (json_object_array_get_idx (removals, i)),
            NULL);
      watches_notify (s);
    }
  json_object_object_add (reply, "items", items);
  json_object_object_add (reply, "revision",
                          json_object_new_int64 (s->revision));
  return reply;
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer user)
{
  struct rv_store *s = user;
  g_autoptr (json_object) body = NULL;
  json_object *reply = NULL;
  struct hk_error err;
  unsigned status = 200;

  (void)server;
  if (strcmp (path, "/api/kv-watch") == 0)
    {
      watch_start (s, msg, query);
      return;
    }
  if (strcmp (path, "/api/kv-key") == 0)
    reply = read_key (s, query, &status);
  else if (strcmp (path, "/api/kv-range") == 0)
    reply = read_range (s, query);
  else if ((body = http_request_json (msg, &err)))
    reply = commit (s, body, &status);
  else
    {
      status = 400;
      reply = json_object_new_object ();
    }
  http_respond_json (msg, status, reply);
}

void
rv_store_start (struct rv_store *s)
{
  struct hk_error err;

  memset (s, 0, sizeof *s);
  s->address = rv_address ();
  s->items = g_tree_new_full (compare_keys, NULL, NULL, item_free);
  s->log = g_ptr_array_new_with_free_func (item_free);
  s->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (s->server, NULL, on_request, s, NULL);
  g_assert_cmpint (http_listen (s->server, s->address, &err), ==, HK_OK);
}

void
rv_store_stop (struct rv_store *s)
{
  hk_http_listener_stop (s->server);
}

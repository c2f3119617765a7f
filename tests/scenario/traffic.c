/* Client requests. Each has a distinct body, which the worker echoes, so that
   mixed-up or truncated responses are found. */
#include "traffic.h"

#include <string.h>

#define RESPONSE_TIMEOUT_S 30

struct pending_request
{
  struct traffic *t;
  struct traffic_request *request;
  SoupMessage *msg;
  gboolean check_body;
};

/* A group with requests still to be sent. */
struct group_sender
{
  struct traffic *t;
  struct send_options o;
  int next;
  struct hk_timer timer;
};

static void
request_free (gpointer data)
{
  struct traffic_request *request = data;

  g_free (request->group);
  g_free (request->key);
  g_free (request->route);
  g_free (request->body);
  g_free (request->request_id);
  g_free (request->error_body);
  g_free (request);
}

void
traffic_init (struct traffic *t, struct cluster *c)
{
  t->cluster = c;
  t->session = soup_session_new_with_options (
      "max-conns", 256, "max-conns-per-host", 64, "timeout",
      RESPONSE_TIMEOUT_S, NULL);
  t->requests = g_ptr_array_new_with_free_func (request_free);
}

void
traffic_finish (struct traffic *t)
{
  while (t->open_requests > 0)
    g_main_context_iteration (NULL, TRUE);
  g_clear_object (&t->session);
  g_clear_pointer (&t->requests, g_ptr_array_unref);
}

/* A refused connection counts as "refused", not as "lost": a load balancer
   would send the request to another entry. */
static const char *
request_outcome (SoupMessage *msg, gboolean has_response, const GError *gerr)
{
  static const char *const known[] = { "done", "not-run", "unknown" };
  const char *text = NULL;

  if (has_response)
    text = soup_message_headers_get_one (
        soup_message_get_response_headers (msg), "Hyssopkeel-Outcome");
  for (guint i = 0; text && i < G_N_ELEMENTS (known); i++)
    if (strcmp (text, known[i]) == 0)
      return known[i];
  if (g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
    return "refused";
  return "lost";
}

static void
on_response (GObject *source, GAsyncResult *res, gpointer user)
{
  struct pending_request *pending = user;
  struct traffic_request *request = pending->request;
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, &gerr);

  request->outcome = request_outcome (pending->msg, body != NULL, gerr);
  request->status = body ? soup_message_get_status (pending->msg) : 0;
  if (body)
    request->request_id = g_strdup (soup_message_headers_get_one (
        soup_message_get_response_headers (pending->msg),
        "Hyssopkeel-Request-Id"));
  if (body && request->status != SOUP_STATUS_OK)
    request->error_body
        = g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  if (gerr)
    request->error_body = g_strdup (gerr->message);
  request->body_as_expected
      = body && g_bytes_get_size (body) == strlen (request->body)
        && memcmp (g_bytes_get_data (body, NULL), request->body,
                   strlen (request->body))
               == 0;
  request->body_as_expected = request->body_as_expected || !pending->check_body
                              || request->status != SOUP_STATUS_OK;
  pending->t->open_requests--;
  g_object_unref (pending->msg);
  g_free (pending);
}

static char *
make_body (const char *group, int i, int size)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "%s-%d-", group, i);
  while ((int)text->len < size)
    g_string_append_c (text, (char)('a' + (i + (int)text->len) % 26));
  return g_string_free (text, FALSE);
}

static char *
expand_key (const char *pattern, int i)
{
  g_auto (GStrv) parts = NULL;
  g_autofree char *number = g_strdup_printf ("%d", i);

  if (!pattern)
    return NULL;
  parts = g_strsplit (pattern, "%", 2);
  return g_strjoinv (number, parts);
}

static char *
request_url (struct traffic *t, const struct send_options *o, int i)
{
  g_autofree char *any
      = g_strdup_printf ("e%d", 1 + i % MAX (t->cluster->n_entries, 1));
  g_autofree char *path = g_strdup_printf ("/r/%s/%d%s%s", o->route, i,
                                           *o->query ? "?" : "", o->query);

  return cluster_url (t->cluster, strcmp (o->via, "any") == 0 ? any : o->via,
                      path);
}

static void
request_send (struct traffic *t, const struct send_options *o, int i)
{
  struct traffic_request *request = g_new0 (struct traffic_request, 1);
  struct pending_request *pending = g_new0 (struct pending_request, 1);
  g_autofree char *url = request_url (t, o, i);
  g_autoptr (GBytes) bytes = NULL;
  SoupMessageHeaders *headers;

  request->group = g_strdup (o->group);
  request->route = g_strdup (o->route);
  request->key = expand_key (o->key, i);
  /* The body depends on the key, so that a repeat has the same body. */
  request->body
      = make_body (request->key ? request->key : o->group, i, o->size);
  g_ptr_array_add (t->requests, request);
  pending->t = t;
  pending->request = request;
  pending->check_body = o->check_body;
  pending->msg = soup_message_new (SOUP_METHOD_POST, url);
  bytes = g_bytes_new (request->body, strlen (request->body));
  soup_message_set_request_body_from_bytes (pending->msg, "text/plain", bytes);
  headers = soup_message_get_request_headers (pending->msg);
  if (request->key)
    soup_message_headers_append (headers, "Idempotency-Key", request->key);
  if (o->deadline_ms > 0)
    {
      g_autofree char *text = g_strdup_printf ("%d", o->deadline_ms);
      soup_message_headers_append (headers, "Hyssopkeel-Deadline-Ms", text);
    }
  t->open_requests++;
  soup_session_send_and_read_async (t->session, pending->msg,
                                    G_PRIORITY_DEFAULT, NULL, on_response,
                                    pending);
}

static void
send_next (void *user)
{
  struct group_sender *sender = user;
  struct traffic *t = sender->t;

  t->open_requests--;
  request_send (t, &sender->o, sender->next++);
  if (sender->next < sender->o.n)
    {
      t->open_requests++;
      hk_timer_set (&sender->timer, sender->o.gap_ms, send_next, sender);
      return;
    }
  g_free ((char *)sender->o.group);
  g_free ((char *)sender->o.route);
  g_free ((char *)sender->o.query);
  g_free ((char *)sender->o.via);
  g_free ((char *)sender->o.key);
  g_free (sender);
}

void
traffic_send_group (struct traffic *t, const struct send_options *o)
{
  struct group_sender *sender = g_new0 (struct group_sender, 1);

  sender->t = t;
  sender->o = *o;
  sender->o.group = g_strdup (o->group);
  sender->o.route = g_strdup (o->route);
  sender->o.query = g_strdup (o->query);
  sender->o.via = g_strdup (o->via);
  sender->o.key = g_strdup (o->key);
  t->open_requests++;
  hk_timer_set (&sender->timer, 0, send_next, sender);
}

int
traffic_count (const struct traffic *t, const char *group, const char *outcome)
{
  int n = 0;

  for (guint i = 0; i < t->requests->len; i++)
    {
      const struct traffic_request *request
          = g_ptr_array_index (t->requests, i);

      if (!group || strcmp (request->group, group) == 0)
        n += g_strcmp0 (request->outcome, outcome) == 0;
    }
  return n;
}

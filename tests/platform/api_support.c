/* Fixture of an entry and a client of its HTTP API. */
#include "api_support.h"

#include <string.h>

static gboolean
is_leading (void *user)
{
  return hk_coord_leading (user);
}

static void
add_queue (struct hk_queues *queues)
{
  GPtrArray *list = g_ptr_array_new ();
  struct hk_queue *q = g_new0 (struct hk_queue, 1);

  q->name = g_strdup ("r");
  q->host = g_strdup ("h.example");
  q->prefix = g_strdup ("/p/");
  q->pool = g_strdup ("pool");
  q->max_attempts = 3;
  g_ptr_array_add (list, q);
  hk_queues_replace (queues, 1, list);
}

void
api_fixture_init (struct api_fixture *f)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *ready = test_address ();
  g_autofree char *metrics = test_address ();
  struct hk_error err;

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  f->rpc = test_address ();
  f->clients = test_address ();
  options.name = "e1";
  options.address = f->rpc;
  f->coord = hk_coord_new (&f->store.base, &options);
  hk_queues_init (&f->queues);
  add_queue (&f->queues);
  f->api.coord = f->coord;
  f->api.queues = &f->queues;
  f->session = soup_session_new ();
  g_assert_cmpint (
      submission_api_start (&f->api, f->clients, ready, metrics, &err), ==,
      HK_OK);
  g_assert_cmpint (hk_coord_start (f->coord, &err), ==, HK_OK);
  test_run_until (is_leading, f->coord);
}

void
api_fixture_finish (struct api_fixture *f)
{
  submission_api_stop (&f->api);
  hk_coord_free (f->coord);
  test_run_for (50);
  hk_queues_finish (&f->queues);
  g_object_unref (f->session);
  g_free (f->body);
  g_free (f->rpc);
  g_free (f->clients);
  memory_store_finish (&f->store);
}

static void
on_response (GObject *source, GAsyncResult *res, gpointer user)
{
  struct api_fixture *f = user;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, NULL);
  gsize len = 0;
  const char *text = bytes ? g_bytes_get_data (bytes, &len) : NULL;

  f->done = TRUE;
  g_free (f->body);
  f->body = g_strndup (text ? text : "", len);
}

static gboolean
has_response (void *user)
{
  return ((struct api_fixture *)user)->done;
}

unsigned
api_send (struct api_fixture *f, const char *method, const char *path,
          const char *body)
{
  g_autofree char *url = g_strconcat ("http://", f->clients, path, NULL);
  g_autoptr (SoupMessage) msg = soup_message_new (method, url);

  f->done = FALSE;
  soup_message_headers_replace (soup_message_get_request_headers (msg), "Host",
                                "h.example");
  if (body)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (msg, "application/json",
                                                bytes);
    }
  soup_session_send_and_read_async (f->session, msg, G_PRIORITY_DEFAULT, NULL,
                                    on_response, f);
  test_run_until (has_response, f);
  return soup_message_get_status (msg);
}

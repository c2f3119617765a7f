/* HTTP server helpers shared by the store and worker stand-ins. */
#include "standin_http.h"

#include <glib-unix.h>
#include <string.h>

#include "hyssopkeel/listener.h"

void
standin_reply (SoupServerMessage *msg, guint status, json_object *obj)
{
  const char *text
      = json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN);

  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
  json_object_put (obj);
}

json_object *
standin_parse_body (SoupServerMessage *msg)
{
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  json_object *obj = NULL;
  gsize len;
  const char *text = g_bytes_get_data (bytes, &len);

  hk_json_parse (&obj, text ? text : "", len, "request", NULL);
  return obj;
}

int
standin_listen (SoupServer *server, const char *address)
{
  struct hk_error err = { 0 };
  g_autoptr (GSocket) socket = NULL;
  g_autoptr (GError) gerr = NULL;
  int rc = hk_listener_new (&socket, "http.listen", address, &err);

  if (rc < 0)
    {
      g_printerr ("%s: %s\n", err.peer, err.text);
      return rc;
    }
  if (!soup_server_listen_socket (server, socket, 0, &gerr))
    {
      g_printerr ("%s: %s\n", address, gerr->message);
      return HK_ERR_IO;
    }
  return HK_OK;
}

static gboolean
on_signal (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_CONTINUE;
}

void
standin_run (void)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);

  g_unix_signal_add (SIGTERM, on_signal, loop);
  g_unix_signal_add (SIGINT, on_signal, loop);
  g_main_loop_run (loop);
}

/* Relays that simulate network links: data can be held back or delayed and
   connections reset. */
#include "relay.h"

#include <string.h>

#include "hyssopkeel/rpc_conn.h"

#define CHUNK_BYTES 65536
#define HELD_POLL_MS 20

struct relay_conn
{
  struct relay *relay;
  GIOStream *client;
  GIOStream *target;
  GCancellable *cancel;
  gboolean held;
  int refs;
};

/* One direction of a connection. */
struct flow
{
  struct relay_conn *conn;
  GInputStream *in;
  GOutputStream *out;
  gboolean *cut;
  gssize n_read;
  struct hk_timer timer;
  char buffer[CHUNK_BYTES];
};

static void flow_read (struct flow *f);

static void
conn_unref (struct relay_conn *c)
{
  if (--c->refs > 0)
    return;
  if (c->relay)
    c->relay->conns = g_list_remove (c->relay->conns, c);
  g_io_stream_close (c->client, NULL, NULL);
  g_io_stream_close (c->target, NULL, NULL);
  g_object_unref (c->client);
  g_object_unref (c->target);
  g_object_unref (c->cancel);
  g_free (c);
}

/* Ends the other direction as well, so that both peers see the close. */
static void
flow_end (struct flow *f)
{
  g_cancellable_cancel (f->conn->cancel);
  hk_timer_clear (&f->timer);
  conn_unref (f->conn);
  g_free (f);
}

static void
on_written (GObject *source, GAsyncResult *res, gpointer user)
{
  struct flow *f = user;

  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), res, NULL,
                                         NULL))
    flow_end (f);
  else
    flow_read (f);
}

/* Data that is held back piles up, and arrives as a whole: a reply to its
   first part may reset the connection. */
static void
flow_gather (struct flow *f)
{
  gssize n = 0;

  if (f->n_read > 0 && f->n_read < CHUNK_BYTES)
    n = g_pollable_input_stream_read_nonblocking (
        G_POLLABLE_INPUT_STREAM (f->in), f->buffer + f->n_read,
        (gsize)(CHUNK_BYTES - f->n_read), NULL, NULL);
  f->n_read += MAX (n, 0);
}

static void
flow_forward (void *user)
{
  struct flow *f = user;
  gboolean reset = g_cancellable_is_cancelled (f->conn->cancel);
  gboolean held = *f->cut || f->conn->held;

  if (reset || (f->n_read <= 0 && !held))
    flow_end (f);
  else if (held)
    {
      flow_gather (f);
      hk_timer_set (&f->timer, HELD_POLL_MS, flow_forward, f);
    }
  else
    g_output_stream_write_all_async (f->out, f->buffer, (gsize)f->n_read,
                                     G_PRIORITY_DEFAULT, f->conn->cancel,
                                     on_written, f);
}

static void
on_read (GObject *source, GAsyncResult *res, gpointer user)
{
  struct flow *f = user;

  f->n_read = g_input_stream_read_finish (G_INPUT_STREAM (source), res, NULL);
  hk_timer_set (&f->timer, f->conn->relay ? f->conn->relay->delay_ms : 0,
                flow_forward, f);
}

static void
flow_read (struct flow *f)
{
  g_input_stream_read_async (f->in, f->buffer, CHUNK_BYTES, G_PRIORITY_DEFAULT,
                             f->conn->cancel, on_read, f);
}

static void
flow_start (struct relay_conn *c, GIOStream *from, GIOStream *to,
            gboolean *cut)
{
  struct flow *f = g_new0 (struct flow, 1);

  c->refs++;
  f->conn = c;
  f->in = g_io_stream_get_input_stream (from);
  f->out = g_io_stream_get_output_stream (to);
  f->cut = cut;
  flow_read (f);
}

static void
on_connected (GObject *source, GAsyncResult *res, gpointer user)
{
  struct relay_conn *c = user;
  GSocketConnection *conn
      = g_socket_client_connect_finish (G_SOCKET_CLIENT (source), res, NULL);

  if (!conn)
    {
      g_io_stream_close (c->client, NULL, NULL);
      c->relay->conns = g_list_remove (c->relay->conns, c);
      g_object_unref (c->client);
      g_object_unref (c->cancel);
      g_free (c);
      return;
    }
  c->target = G_IO_STREAM (conn);
  flow_start (c, c->client, c->target, &c->relay->cut_to);
  flow_start (c, c->target, c->client, &c->relay->cut_from);
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *conn, GObject *object,
             gpointer user)
{
  struct relay *r = user;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketAddress) addr = hk_address_parse (r->target, NULL);
  struct relay_conn *c = g_new0 (struct relay_conn, 1);

  (void)service;
  (void)object;
  c->relay = r;
  c->client = g_object_ref (G_IO_STREAM (conn));
  c->cancel = g_cancellable_new ();
  r->conns = g_list_prepend (r->conns, c);
  g_socket_client_connect_async (client, G_SOCKET_CONNECTABLE (addr), NULL,
                                 on_connected, c);
  return TRUE;
}

struct relay *
relay_new (const char *name, const char *listen, const char *target)
{
  struct relay *r = g_new0 (struct relay, 1);
  g_autoptr (GSocketAddress) addr = hk_address_parse (listen, NULL);
  g_autoptr (GError) gerr = NULL;

  r->name = g_strdup (name);
  r->listen = g_strdup (listen);
  r->target = g_strdup (target);
  r->service = g_socket_service_new ();
  g_socket_listener_add_address (G_SOCKET_LISTENER (r->service), addr,
                                 G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                 NULL, NULL, &gerr);
  g_assert_no_error (gerr);
  g_signal_connect (r->service, "incoming", G_CALLBACK (on_incoming), r);
  return r;
}

void
relay_hold (struct relay *r)
{
  for (GList *l = r->conns; l; l = l->next)
    ((struct relay_conn *)l->data)->held = TRUE;
}

void
relay_release (struct relay *r)
{
  for (GList *l = r->conns; l; l = l->next)
    ((struct relay_conn *)l->data)->held = FALSE;
}

void
relay_heal (struct relay *r)
{
  relay_release (r);
  r->cut_to = FALSE;
  r->cut_from = FALSE;
  r->delay_ms = 0;
}

void
relay_reset (struct relay *r)
{
  for (GList *l = r->conns; l; l = l->next)
    g_cancellable_cancel (((struct relay_conn *)l->data)->cancel);
}

void
relay_free (struct relay *r)
{
  relay_reset (r);
  relay_heal (r);
  g_socket_service_stop (r->service);
  g_socket_listener_close (G_SOCKET_LISTENER (r->service));
  while (r->conns)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (r->service);
  g_free (r->name);
  g_free (r->listen);
  g_free (r->target);
  g_free (r);
}

/* Stream through which libsoup reads a connection. Its source is woken by the
   connection and polls nothing. */
#include "http_stream.h"

/* GObject needs names without "struct". */
typedef struct hk_http_stream HkHttpStream;
typedef GSocketConnectionClass HkHttpStreamClass;
typedef struct hk_http_input HkHttpInput;
typedef GInputStreamClass HkHttpInputClass;

/* @conn: NULL once the stream is closed.
   @waker: source that libsoup waits for; may have been destroyed. */
struct hk_http_input
{
  GInputStream parent;
  struct hk_http_conn *conn;
  GSource *waker;
};

struct hk_http_stream
{
  GSocketConnection parent;
  struct hk_http_input *input;
};

GType hk_http_input_get_type (void);
GType hk_http_stream_get_type (void);

static void init_pollable (GPollableInputStreamInterface *iface);

G_DEFINE_TYPE_WITH_CODE (HkHttpInput, hk_http_input, G_TYPE_INPUT_STREAM,
                         G_IMPLEMENT_INTERFACE (G_TYPE_POLLABLE_INPUT_STREAM,
                                                init_pollable))
G_DEFINE_TYPE (HkHttpStream, hk_http_stream, G_TYPE_SOCKET_CONNECTION)

/* Input */

static gssize
read_input (GInputStream *stream, void *buf, gsize max,
            GCancellable *cancellable, GError **gerr)
{
  struct hk_http_input *input = (struct hk_http_input *)stream;
  gssize n = input->conn ? hk_http_conn_take (input->conn, buf, max) : 0;

  (void)cancellable;
  /* The end of a connection is an error for libsoup in any state. */
  if (n == 0)
    {
      g_set_error_literal (gerr, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED,
                           "the client has closed the connection");
      return -1;
    }
  if (n < 0)
    g_set_error_literal (gerr, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
                         "no complete request yet");
  return n;
}

static gssize
read_nonblocking (GPollableInputStream *stream, void *buf, gsize max,
                  GError **gerr)
{
  return read_input (G_INPUT_STREAM (stream), buf, max, NULL, gerr);
}

static gboolean
is_readable (GPollableInputStream *stream)
{
  const struct hk_http_input *input = (struct hk_http_input *)stream;

  return !input->conn || hk_http_conn_prepare (input->conn);
}

static gboolean
dispatch_waker (GSource *source, GSourceFunc fn, gpointer user)
{
  (void)fn;
  (void)user;
  g_source_set_ready_time (source, -1);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs waker_funcs = { .dispatch = dispatch_waker };

static GSource *
create_source (GPollableInputStream *stream, GCancellable *cancellable)
{
  struct hk_http_input *input = (struct hk_http_input *)stream;
  GSource *source = g_pollable_source_new_full (stream, NULL, cancellable);
  GSource *waker = g_source_new (&waker_funcs, sizeof (GSource));

  g_source_add_child_source (source, waker);
  if (is_readable (stream))
    g_source_set_ready_time (waker, 0);
  g_clear_pointer (&input->waker, g_source_unref);
  input->waker = waker;
  return source;
}

static void
finalize_input (GObject *object)
{
  struct hk_http_input *input = (struct hk_http_input *)object;

  g_clear_pointer (&input->waker, g_source_unref);
  G_OBJECT_CLASS (hk_http_input_parent_class)->finalize (object);
}

static void
init_pollable (GPollableInputStreamInterface *iface)
{
  iface->is_readable = is_readable;
  iface->create_source = create_source;
  iface->read_nonblocking = read_nonblocking;
}

static void
hk_http_input_class_init (HkHttpInputClass *klass)
{
  G_OBJECT_CLASS (klass)->finalize = finalize_input;
  klass->read_fn = read_input;
}

static void
hk_http_input_init (HkHttpInput *input)
{
  (void)input;
}

void
hk_http_stream_wake (struct hk_http_stream *stream)
{
  if (stream->input->waker)
    g_source_set_ready_time (stream->input->waker, 0);
}

/* Stream */

static GInputStream *
get_input_stream (GIOStream *stream)
{
  return G_INPUT_STREAM (((struct hk_http_stream *)stream)->input);
}

/* The connection closes its socket. */
static gboolean
close_stream (GIOStream *stream, GCancellable *cancellable, GError **gerr)
{
  struct hk_http_input *input = ((struct hk_http_stream *)stream)->input;
  struct hk_http_conn *conn = input->conn;

  (void)cancellable;
  (void)gerr;
  input->conn = NULL;
  if (conn)
    hk_http_conn_stream_closed (conn);
  return TRUE;
}

/* The implementation of GIOStream closes in another thread. */
static void
close_stream_async (GIOStream *stream, int priority, GCancellable *cancellable,
                    GAsyncReadyCallback done, gpointer user)
{
  g_autoptr (GTask) task = g_task_new (stream, cancellable, done, user);

  (void)priority;
  close_stream (stream, NULL, NULL);
  g_task_return_boolean (task, TRUE);
}

static gboolean
close_stream_finish (GIOStream *stream, GAsyncResult *result, GError **gerr)
{
  (void)stream;
  return g_task_propagate_boolean (G_TASK (result), gerr);
}

static void
finalize_stream (GObject *object)
{
  struct hk_http_stream *stream = (struct hk_http_stream *)object;

  g_clear_object (&stream->input);
  G_OBJECT_CLASS (hk_http_stream_parent_class)->finalize (object);
}

static void
hk_http_stream_class_init (HkHttpStreamClass *klass)
{
  GIOStreamClass *stream = G_IO_STREAM_CLASS (klass);

  G_OBJECT_CLASS (klass)->finalize = finalize_stream;
  stream->get_input_stream = get_input_stream;
  stream->close_fn = close_stream;
  stream->close_async = close_stream_async;
  stream->close_finish = close_stream_finish;
}

static void
hk_http_stream_init (HkHttpStream *stream)
{
  (void)stream;
}

GIOStream *
hk_http_stream_new (struct hk_http_stream **out, struct hk_http_conn *conn,
                    GSocket *socket)
{
  struct hk_http_stream *stream
      = g_object_new (hk_http_stream_get_type (), "socket", socket, NULL);

  stream->input = g_object_new (hk_http_input_get_type (), NULL);
  stream->input->conn = conn;
  *out = stream;
  return G_IO_STREAM (stream);
}

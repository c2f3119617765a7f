/* ONC RPC server: accepts connections, decodes calls, passes them to their
   handlers and sends the replies. */
#include "hyssopkeel/rpc_server.h"

#include <string.h>

#include "hyssopkeel/listener.h"
#include "hyssopkeel/log.h"

#define REPLY_HEADER_MAX_BYTES 64
#define AUTH_BODY_MAX_BYTES 400

/* An accepted connection. Freed once it is closed and each of its requests
   has been replied to. */
struct hk_rpc_client
{
  struct hk_rpc_server *srv;
  struct hk_rpc_conn conn;
  uint64_t number;
  int refs;
  LIST_ENTRY (hk_rpc_client) link;
};

/* A decoded call that awaits its reply; holds a reference to the client. */
struct hk_rpc_request
{
  struct hk_rpc_client *client;
  const struct hk_rpc_handler *handler;
  uint32_t xid;
  void *args;
};

static void
unref_client (struct hk_rpc_client *client)
{
  if (--client->refs == 0)
    g_free (client);
}

static void
close_client (struct hk_rpc_client *client)
{
  client->srv->bytes_in += client->conn.bytes_in;
  client->srv->bytes_out += client->conn.bytes_out;
  LIST_REMOVE (client, link);
  hk_rpc_conn_finish (&client->conn);
  unref_client (client);
}

static void
on_closed (struct hk_rpc_conn *conn, const struct hk_error *err)
{
  (void)err;
  close_client (conn->user);
}

/* Returns HK_ERR_TOO_BIG, and sends nothing, if the reply or a field of it is
   over its limit. */
static int
send_reply (struct hk_rpc_client *client, struct rpc_msg *msg,
            size_t result_size)
{
  size_t size = REPLY_HEADER_MAX_BYTES + result_size;
  g_autofree char *buf = g_malloc (size);
  XDR xdr;

  msg->rm_direction = REPLY;
  xdrmem_create (&xdr, buf, (u_int)size, XDR_ENCODE);
  if (!xdr_replymsg (&xdr, msg)
      || xdr_getpos (&xdr) > HK_RPC_MESSAGE_MAX_BYTES)
    return HK_ERR_TOO_BIG;
  hk_rpc_conn_send (&client->conn, (uint8_t *)buf, xdr_getpos (&xdr));
  return HK_OK;
}

static void
send_status (struct hk_rpc_client *client, uint32_t xid,
             enum accept_stat status)
{
  struct rpc_msg msg = { .rm_xid = xid };

  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_verf = _null_auth;
  msg.acpted_rply.ar_stat = status;
  if (status == SUCCESS)
    msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_void;
  else
    {
      msg.acpted_rply.ar_vers.low = client->srv->version;
      msg.acpted_rply.ar_vers.high = client->srv->version;
    }
  send_reply (client, &msg, 0);
}

void
hk_rpc_reply (struct hk_rpc_request *req, const void *result)
{
  struct rpc_msg msg = { .rm_xid = req->xid };
  size_t size = xdr_sizeof (req->handler->xdr_result, (void *)result);

  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_verf = _null_auth;
  msg.acpted_rply.ar_stat = SUCCESS;
  msg.acpted_rply.ar_results.where = (char *)result;
  msg.acpted_rply.ar_results.proc = req->handler->xdr_result;
  if (req->client->conn.socket && send_reply (req->client, &msg, size) < 0)
    {
      hk_log (HK_LOG_ERROR, "rpc", req->client->conn.peer, NULL,
              "event=reply_not_sent proc=%u bytes=%zu limit=%u; the message "
              "or a field of it is over its limit, the caller gets an error",
              req->handler->proc, size, HK_RPC_MESSAGE_MAX_BYTES);
      send_status (req->client, req->xid, SYSTEM_ERR);
    }
  xdr_free (req->handler->xdr_args, req->args);
  g_free (req->args);
  unref_client (req->client);
  g_free (req);
}

uint64_t
hk_rpc_request_connection (const struct hk_rpc_request *req)
{
  return req->client->number;
}

const char *
hk_rpc_request_peer (const struct hk_rpc_request *req)
{
  return req->client->conn.peer;
}

static const struct hk_rpc_handler *
find_handler (const struct hk_rpc_server *srv, uint32_t proc)
{
  for (size_t i = 0; i < srv->n_handlers; i++)
    if (srv->handlers[i].proc == proc)
      return &srv->handlers[i];
  return NULL;
}

static void
dispatch (struct hk_rpc_client *client, uint32_t xid,
          const struct hk_rpc_handler *handler, XDR *xdr)
{
  struct hk_rpc_request *req = g_new0 (struct hk_rpc_request, 1);

  req->args = g_malloc0 (handler->args_size + 1);
  if (!handler->xdr_args (xdr, req->args))
    {
      xdr_free (handler->xdr_args, req->args);
      g_free (req->args);
      g_free (req);
      send_status (client, xid, GARBAGE_ARGS);
      return;
    }
  req->client = client;
  req->handler = handler;
  req->xid = xid;
  client->refs++;
  handler->handle (req, req->args, client->srv->user);
}

static int
on_record (struct hk_rpc_conn *conn, const uint8_t *data, uint32_t len)
{
  struct hk_rpc_client *client = conn->user;
  const struct hk_rpc_server *srv = client->srv;
  const struct hk_rpc_handler *handler;
  char cred[AUTH_BODY_MAX_BYTES];
  char verf[AUTH_BODY_MAX_BYTES];
  struct rpc_msg msg = { 0 };
  XDR xdr;

  msg.rm_call.cb_cred.oa_base = cred;
  msg.rm_call.cb_verf.oa_base = verf;
  xdrmem_create (&xdr, (char *)data, len, XDR_DECODE);
  if (!xdr_callmsg (&xdr, &msg) || msg.rm_direction != CALL)
    return HK_ERR_PROTOCOL;
  if (msg.rm_call.cb_prog != srv->program)
    {
      send_status (client, msg.rm_xid, PROG_UNAVAIL);
      return HK_OK;
    }
  if (msg.rm_call.cb_vers != srv->version)
    {
      send_status (client, msg.rm_xid, PROG_MISMATCH);
      return HK_OK;
    }
  handler = find_handler (srv, (uint32_t)msg.rm_call.cb_proc);
  if (handler)
    dispatch (client, msg.rm_xid, handler, &xdr);
  else if (msg.rm_call.cb_proc == 0)
    send_status (client, msg.rm_xid, SUCCESS);
  else
    send_status (client, msg.rm_xid, PROC_UNAVAIL);
  return HK_OK;
}

static const struct hk_rpc_conn_ops conn_ops
    = { .record = on_record, .closed = on_closed };

static gboolean
on_accept (GSocket *socket, GIOCondition condition, gpointer user)
{
  struct hk_rpc_server *srv = user;
  g_autoptr (GSocket) accepted = g_socket_accept (socket, NULL, NULL);
  struct hk_rpc_client *client;

  (void)condition;
  if (!accepted)
    return G_SOURCE_CONTINUE;
  client = g_new0 (struct hk_rpc_client, 1);
  client->srv = srv;
  client->number = ++srv->connections;
  client->refs = 1;
  LIST_INSERT_HEAD (&srv->clients, client, link);
  hk_rpc_conn_accept (&client->conn, accepted, &conn_ops, client);
  return G_SOURCE_CONTINUE;
}

int
hk_rpc_server_start (struct hk_rpc_server *srv, const char *address,
                     struct hk_error *err)
{
  int rc = hk_listener_new (&srv->socket, "rpc.listen", address, err);

  LIST_INIT (&srv->clients);
  if (rc < 0)
    return rc;
  srv->source = g_socket_create_source (srv->socket, G_IO_IN, NULL);
  g_source_set_callback (srv->source, G_SOURCE_FUNC (on_accept), srv, NULL);
  g_source_attach (srv->source, NULL);
  return HK_OK;
}

void
hk_rpc_server_stop (struct hk_rpc_server *srv)
{
  if (!srv->socket)
    return;
  g_source_destroy (srv->source);
  g_source_unref (srv->source);
  srv->source = NULL;
  g_socket_close (srv->socket, NULL);
  g_clear_object (&srv->socket);
  while (!LIST_EMPTY (&srv->clients))
    close_client (LIST_FIRST (&srv->clients));
}

void
hk_rpc_server_bytes (const struct hk_rpc_server *srv, uint64_t *in,
                     uint64_t *out)
{
  const struct hk_rpc_client *client;

  *in = srv->bytes_in;
  *out = srv->bytes_out;
  LIST_FOREACH (client, &srv->clients, link)
  {
    *in += client->conn.bytes_in;
    *out += client->conn.bytes_out;
  }
}

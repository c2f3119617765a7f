/* ONC RPC server: accepts connections, decodes calls, passes them to their
   handlers and sends the replies. */
#include "hyssopkeel/rpc_server.h"

#include <stddef.h>
#include <string.h>
#include <sys/epoll.h>

#include "hyssopkeel/listener.h"
#include "hyssopkeel/log.h"

#define REPLY_HEADER_MAX_BYTES 64
#define AUTH_BODY_MAX_BYTES 400
/* Peers may be frozen for seconds in the middle of a record. */
#define RECORD_TIMEOUT_MS 60000

/* An accepted connection. Freed once it is closed and each of its requests
   has been replied to. @written: bytes of replies when @guard was updated. */
struct hk_rpc_client
{
  struct hk_guard_conn guard;
  struct hk_rpc_server *srv;
  struct hk_rpc_conn conn;
  uint64_t number;
  uint64_t written;
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
  hk_guard_remove (&client->guard);
  hk_rpc_conn_finish (&client->conn);
  unref_client (client);
}

static void
on_closed (struct hk_rpc_conn *conn, const struct hk_error *err)
{
  (void)err;
  close_client (conn->user);
}

static void
on_pending (struct hk_rpc_conn *conn, size_t in, size_t out)
{
  struct hk_rpc_client *client = conn->user;

  /* The time-out counts from the last bytes of replies that were written. */
  if (conn->bytes_out != client->written)
    hk_guard_enter (&client->guard, HK_GUARD_IDLE);
  client->written = conn->bytes_out;
  hk_guard_enter (&client->guard,
                  in + out > 0 ? HK_GUARD_BODY : HK_GUARD_IDLE);
  hk_guard_hold (&client->guard, in + out);
}

static void
receive_waiting (struct hk_guard_conn *guard)
{
  hk_rpc_conn_receive (&((struct hk_rpc_client *)guard)->conn);
}

static void
close_guarded (struct hk_guard_conn *guard, enum hk_guard_cause cause)
{
  (void)cause;
  close_client ((struct hk_rpc_client *)guard);
}

static const struct hk_guard_conn_ops guard_ops
    = { .receive = receive_waiting, .close = close_guarded };

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
    = { .record = on_record, .pending = on_pending, .closed = on_closed };

static void on_accept (uint32_t events, void *user);

static void
resume (struct hk_guard_group *group)
{
  struct hk_rpc_server *srv
      = (struct hk_rpc_server *)((char *)group
                                 - offsetof (struct hk_rpc_server, group));

  hk_watch_set (&srv->watch, g_socket_get_fd (srv->socket), EPOLLIN, on_accept,
                srv);
}

/* A server that can't accept is not watched until the guard resumes it, as its
   socket stays readable. */
static void
on_accept (uint32_t events, void *user)
{
  struct hk_rpc_server *srv = user;
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GSocket) accepted = NULL;
  struct hk_rpc_client *client;

  (void)events;
  if (!hk_guard_admit (&srv->group))
    {
      hk_watch_clear (&srv->watch);
      return;
    }
  accepted = g_socket_accept (srv->socket, NULL, &gerr);
  if (!accepted)
    {
      if (!g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          hk_watch_clear (&srv->watch);
          hk_guard_accept_failed (&srv->group);
        }
      return;
    }
  client = g_new0 (struct hk_rpc_client, 1);
  client->guard.ops = &guard_ops;
  client->srv = srv;
  client->number = ++srv->connections;
  client->refs = 1;
  LIST_INSERT_HEAD (&srv->clients, client, link);
  hk_guard_add (&client->guard, &srv->group);
  hk_rpc_conn_accept (&client->conn, accepted, &conn_ops, client);
}

int
hk_rpc_server_start (struct hk_rpc_server *srv, const char *address,
                     struct hk_error *err)
{
  const struct hk_guard_limits limits = HK_GUARD_LIMITS_INIT;
  int rc = hk_listener_new (&srv->socket, "rpc.listen", address, err);

  LIST_INIT (&srv->clients);
  if (rc < 0)
    return rc;
  srv->group.origin = HK_CONN_PEER;
  srv->group.limits = limits;
  srv->group.limits.body_ms = RECORD_TIMEOUT_MS;
  srv->group.resume = resume;
  hk_guard_group_init (&srv->group);
  resume (&srv->group);
  return HK_OK;
}

void
hk_rpc_server_stop (struct hk_rpc_server *srv)
{
  if (!srv->socket)
    return;
  hk_watch_clear (&srv->watch);
  g_socket_close (srv->socket, NULL);
  g_clear_object (&srv->socket);
  while (!LIST_EMPTY (&srv->clients))
    close_client (LIST_FIRST (&srv->clients));
  hk_guard_group_finish (&srv->group);
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

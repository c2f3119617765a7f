/* ONC RPC client. Multiplexes concurrent calls over one TCP connection and
   handles connection failures: open calls fail, and the next call connects
   again. */
#include "hyssopkeel/rpc_channel.h"

#include <string.h>

#define CALL_HEADER_MAX_BYTES 64
#define VERSION_PROBE_TIMEOUT_MS 2000

/* An open call. It waits in "unsent" until the program version has been
   negotiated. */
struct hk_rpc_pending_call
{
  struct hk_rpc_channel *ch;
  uint32_t xid;
  const struct hk_rpc_method *method;
  hk_rpc_done done;
  void *user;
  struct hk_timer timer;
  uint8_t *record;
  uint32_t len;  /* 0 if the arguments cannot be encoded */
  size_t needed; /* bytes that the message would take without limits */
  gboolean sent;
  int local_error; /* code if the call cannot be sent, otherwise 0 */
  TAILQ_ENTRY (hk_rpc_pending_call) link;
};

static const struct hk_rpc_method null_method
    = { 0, (xdrproc_t)xdr_void, (xdrproc_t)xdr_void, 0 };

static void
free_call (struct hk_rpc_pending_call *call)
{
  hk_timer_clear (&call->timer);
  g_free (call->record);
  g_free (call);
}

/* Unlinks the call first, so that its callback may make calls or finish the
   channel. */
static void
remove_call (struct hk_rpc_pending_call *call)
{
  g_hash_table_remove (call->ch->calls, GUINT_TO_POINTER (call->xid));
  if (!call->sent)
    TAILQ_REMOVE (&call->ch->unsent, call, link);
}

static void
fail_call (struct hk_rpc_pending_call *call, int code, const char *text)
{
  struct hk_error err;

  remove_call (call);
  if (!call->sent)
    code = HK_ERR_UNAVAILABLE;
  hk_error_set (&err, code, "rpc.call", call->ch->address, "%s", text);
  call->done (code, NULL, &err, call->user);
  free_call (call);
}

static void
fail_unsent_call (struct hk_rpc_pending_call *call)
{
  char text[160] = "no connection can be opened";

  if (call->local_error == HK_ERR_TOO_BIG)
    g_snprintf (text, sizeof text,
                "arguments of procedure %u not sent: %zu bytes are over the "
                "%u of a message, or a field is over its own limit",
                call->method->proc, call->needed, HK_RPC_MESSAGE_MAX_BYTES);
  fail_call (call, call->local_error, text);
}

static void
on_call_timeout (void *user)
{
  struct hk_rpc_pending_call *call = user;

  if (call->local_error)
    fail_unsent_call (call);
  else
    fail_call (call, HK_ERR_TIMEOUT, "no answer in time");
}

/* A callback may finish the channel or free its owner, so only the referenced
   table of calls is used after the first callback. */
static void
fail_all_calls (struct hk_rpc_channel *ch, const struct hk_error *err)
{
  g_autoptr (GHashTable) table = NULL;
  g_autoptr (GList) xids = NULL;

  ch->ready = FALSE;
  if (!ch->calls)
    return;
  table = g_hash_table_ref (ch->calls);
  xids = g_hash_table_get_keys (table);
  for (GList *l = xids; l; l = l->next)
    {
      struct hk_rpc_pending_call *call = g_hash_table_lookup (table, l->data);

      if (call)
        fail_call (call, err->code, err->text);
    }
}

static void
on_closed (struct hk_rpc_conn *conn, const struct hk_error *err)
{
  fail_all_calls (conn->user, err);
}

static void
patch_header_word (struct hk_rpc_pending_call *call, int word, uint32_t value)
{
  g_assert (call->record);
  value = GUINT32_TO_BE (value);
  memcpy (call->record + word * 4, &value, 4);
}

static void
transmit_call (struct hk_rpc_pending_call *call)
{
  struct hk_rpc_channel *ch = call->ch;

  patch_header_word (call, 4, ch->version);
  call->sent = TRUE;
  hk_rpc_conn_send (&ch->conn, call->record, call->len);
  g_clear_pointer (&call->record, g_free);
}

static void
send_waiting_calls (struct hk_rpc_channel *ch)
{
  struct hk_rpc_pending_call *call;

  while ((call = TAILQ_FIRST (&ch->unsent)))
    {
      TAILQ_REMOVE (&ch->unsent, call, link);
      transmit_call (call);
    }
}

static struct hk_rpc_pending_call *
new_call (struct hk_rpc_channel *ch, const struct hk_rpc_method *method,
          const void *args, hk_rpc_done done, void *user);

static void
on_version (int rc, void *result, const struct hk_error *err, void *user)
{
  struct hk_rpc_channel *ch = user;

  (void)result;
  if (rc == HK_OK)
    {
      ch->ready = TRUE;
      send_waiting_calls (ch);
    }
  else if (ch->conn.socket)
    {
      hk_rpc_conn_finish (&ch->conn);
      fail_all_calls (ch, err);
    }
}

/* Calls the null procedure. A peer that does not support our version replies
   with the range of versions it supports. */
static void
probe_version (struct hk_rpc_channel *ch)
{
  struct hk_rpc_pending_call *call
      = new_call (ch, &null_method, NULL, on_version, ch);

  hk_timer_set (&call->timer, VERSION_PROBE_TIMEOUT_MS, on_call_timeout, call);
  transmit_call (call);
}

static void
on_opened (struct hk_rpc_conn *conn)
{
  probe_version (conn->user);
}

static gboolean
accept_lower_version (struct hk_rpc_channel *ch, const struct rpc_msg *msg)
{
  const struct accepted_reply *reply = &msg->acpted_rply;
  uint32_t high;

  if (msg->rm_reply.rp_stat != MSG_ACCEPTED || reply->ar_stat != PROG_MISMATCH)
    return FALSE;
  high = (uint32_t)reply->ar_vers.high;
  if (high == 0 || high >= ch->version)
    return FALSE;
  ch->version = high;
  return TRUE;
}

static int
on_record (struct hk_rpc_conn *conn, const uint8_t *data, uint32_t len)
{
  struct hk_rpc_channel *ch = conn->user;
  g_autofree void *result = NULL;
  struct rpc_msg msg = { 0 };
  struct hk_rpc_pending_call *call;
  xdrproc_t xdr_result;
  uint32_t xid;
  XDR xdr;
  bool_t ok;

  if (len < 4)
    return HK_ERR_PROTOCOL;
  memcpy (&xid, data, 4);
  call = g_hash_table_lookup (ch->calls,
                              GUINT_TO_POINTER (GUINT32_FROM_BE (xid)));
  if (!call)
    return HK_OK; /* late reply to a call that has failed already */
  xdr_result = call->method->xdr_result;
  result = g_malloc0 (call->method->result_size + 1);
  msg.acpted_rply.ar_verf = _null_auth;
  msg.acpted_rply.ar_results.where = result;
  msg.acpted_rply.ar_results.proc = call->method->xdr_result;
  xdrmem_create (&xdr, (char *)data, len, XDR_DECODE);
  ok = xdr_replymsg (&xdr, &msg);
  if (ok && msg.rm_reply.rp_stat == MSG_ACCEPTED
      && msg.acpted_rply.ar_stat == SUCCESS)
    {
      remove_call (call);
      call->done (HK_OK, result, NULL, call->user);
      free_call (call);
    }
  else if (ok && call->method == &null_method
           && accept_lower_version (ch, &msg))
    {
      remove_call (call);
      free_call (call);
      probe_version (ch);
    }
  else
    fail_call (call, HK_ERR_PROTOCOL, "peer rejected the call");
  xdr_free (xdr_result, result);
  return HK_OK;
}

static const struct hk_rpc_conn_ops conn_ops
    = { .opened = on_opened, .record = on_record, .closed = on_closed };

static void
encode_call (struct hk_rpc_pending_call *call, const void *args)
{
  struct rpc_msg msg = { 0 };
  size_t size = CALL_HEADER_MAX_BYTES
                + xdr_sizeof (call->method->xdr_args, (void *)args);
  XDR xdr;

  call->needed = size;
  call->record = g_malloc (size);
  msg.rm_xid = call->xid;
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = call->ch->program;
  msg.rm_call.cb_vers = call->ch->version;
  msg.rm_call.cb_proc = call->method->proc;
  msg.rm_call.cb_cred = _null_auth;
  msg.rm_call.cb_verf = _null_auth;
  xdrmem_create (&xdr, (char *)call->record, (u_int)size, XDR_ENCODE);
  if (xdr_callmsg (&xdr, &msg) && call->method->xdr_args (&xdr, (void *)args))
    call->len = xdr_getpos (&xdr);
}

static struct hk_rpc_pending_call *
new_call (struct hk_rpc_channel *ch, const struct hk_rpc_method *method,
          const void *args, hk_rpc_done done, void *user)
{
  struct hk_rpc_pending_call *call = g_new0 (struct hk_rpc_pending_call, 1);

  call->ch = ch;
  call->xid = ch->next_xid++;
  call->method = method;
  call->done = done;
  call->user = user;
  encode_call (call, args);
  g_hash_table_insert (ch->calls, GUINT_TO_POINTER (call->xid), call);
  return call;
}

/* A call on a finished channel; it is never sent. */
struct rejected_call
{
  hk_rpc_done done;
  void *user;
  struct hk_timer timer;
};

static void
complete_rejected_call (void *user)
{
  struct rejected_call *r = user;
  struct hk_error err;

  hk_error_set (&err, HK_ERR_UNAVAILABLE, "rpc.call", "", "channel is closed");
  r->done (HK_ERR_UNAVAILABLE, NULL, &err, r->user);
  g_free (r);
}

static void
reject_call (hk_rpc_done done, void *user)
{
  struct rejected_call *r = g_new0 (struct rejected_call, 1);

  r->done = done;
  r->user = user;
  hk_timer_set (&r->timer, 0, complete_rejected_call, r);
}

void
hk_rpc_call (struct hk_rpc_channel *ch, const struct hk_rpc_method *method,
             const void *args, int64_t timeout_ms, hk_rpc_done done,
             void *user)
{
  struct hk_rpc_pending_call *call;
  struct hk_error err;

  if (!ch->calls)
    {
      reject_call (done, user);
      return;
    }
  call = new_call (ch, method, args, done, user);
  hk_timer_set (&call->timer, timeout_ms, on_call_timeout, call);
  if (call->len == 0 || call->len > HK_RPC_MESSAGE_MAX_BYTES)
    call->local_error = HK_ERR_TOO_BIG;
  else if (ch->ready)
    {
      transmit_call (call);
      return;
    }
  TAILQ_INSERT_TAIL (&ch->unsent, call, link);
  if (!call->local_error && !ch->conn.socket)
    {
      ch->generation++;
      call->local_error
          = hk_rpc_conn_connect (&ch->conn, ch->address, &conn_ops, ch, &err);
    }
  if (call->local_error)
    hk_timer_set (&call->timer, 0, on_call_timeout, call);
}

void
hk_rpc_channel_init (struct hk_rpc_channel *ch, const char *address,
                     uint32_t program, uint32_t version)
{
  memset (ch, 0, sizeof *ch);
  ch->address = g_strdup (address);
  ch->program = program;
  ch->version = version;
  ch->next_xid = g_random_int ();
  ch->calls = g_hash_table_new (NULL, NULL);
  TAILQ_INIT (&ch->unsent);
}

void
hk_rpc_channel_finish (struct hk_rpc_channel *ch)
{
  struct hk_error err;

  if (!ch->address)
    return;
  hk_rpc_conn_finish (&ch->conn);
  hk_error_set (&err, HK_ERR_STOPPED, "rpc.call", ch->address,
                "channel closed");
  fail_all_calls (ch, &err);
  g_clear_pointer (&ch->calls, g_hash_table_unref);
  g_clear_pointer (&ch->address, g_free);
}

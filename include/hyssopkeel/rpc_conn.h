#ifndef HYSSOPKEEL_RPC_CONN_H
#define HYSSOPKEEL_RPC_CONN_H

#include <gio/gio.h>
#include <stdint.h>

#include "hyssopkeel/error.h"
#include "hyssopkeel/poller.h"

/* Maximum size of one RPC message, that is, of one record. */
#define HK_RPC_MESSAGE_MAX_BYTES (4u << 20)

struct hk_rpc_conn;

/**
 * struct hk_rpc_conn_ops - callbacks to the owner of a connection.
 * @opened: an outgoing connection is established; may be NULL.
 * @record: a complete record has arrived; a negative return value closes the
 *          connection.
 * @pending: called after each read and write with the number of bytes of
 *           records that are not complete, and of the buffer of what is sent;
 *           must not close the connection; may be NULL.
 * @closed: the connection has failed or the peer has closed it.
 */
struct hk_rpc_conn_ops
{
  void (*opened) (struct hk_rpc_conn *conn);
  int (*record) (struct hk_rpc_conn *conn, const uint8_t *data, uint32_t len);
  void (*pending) (struct hk_rpc_conn *conn, size_t in, size_t out);
  void (*closed) (struct hk_rpc_conn *conn, const struct hk_error *err);
};

/**
 * struct hk_rpc_conn - RFC 5531 record marking on one TCP socket.
 * @ops: callbacks.
 * @user: owner of the connection, for the callbacks.
 * @peer: "ip:port" of the peer, for error messages.
 * @bytes_in: bytes read so far.
 * @bytes_out: bytes written so far.
 * @socket: socket, NULL while closed.
 * @watch: readiness of the socket.
 * @write_blocked: TRUE while @out waits for the socket to become writable.
 * @connecting: TRUE until an outgoing connection is established.
 * @destroyed: flag of the caller that delivers records, set when the
 *             connection is closed meanwhile; NULL otherwise.
 * @in: input not yet delivered.
 * @out: output not yet written.
 * @out_offset: bytes of @out that have been written.
 */
struct hk_rpc_conn
{
  const struct hk_rpc_conn_ops *ops;
  void *user;
  char peer[64];
  uint64_t bytes_in;
  uint64_t bytes_out;
  GSocket *socket;
  struct hk_watch watch;
  gboolean write_blocked;
  gboolean connecting;
  gboolean *destroyed;
  GByteArray *in;
  GByteArray *out;
  gsize out_offset;
};

/**
 * hk_rpc_conn_accept() - initialize a connection from an accepted socket.
 * @conn: zeroed connection, owned by the caller.
 * @socket: connected socket; a reference is taken.
 * @ops: callbacks.
 * @user: owner of the connection.
 */
void hk_rpc_conn_accept (struct hk_rpc_conn *conn, GSocket *socket,
                         const struct hk_rpc_conn_ops *ops, void *user);

/**
 * hk_rpc_conn_connect() - start an outgoing connection.
 * @conn: zeroed or closed connection, owned by the caller.
 * @address: "ip:port" of the peer.
 * @ops: callbacks; on success @opened or @closed is called later.
 * @user: owner of the connection.
 * @err: filled on failure.
 *
 * Return: 0 or a negative code.
 */
int hk_rpc_conn_connect (struct hk_rpc_conn *conn, const char *address,
                         const struct hk_rpc_conn_ops *ops, void *user,
                         struct hk_error *err);

/**
 * hk_rpc_conn_send() - queue a record and write as much as the socket accepts.
 * @conn: connection; nothing is sent if it is closed.
 * @data: record; copied.
 * @len: length in bytes, at most HK_RPC_MESSAGE_MAX_BYTES.
 */
void hk_rpc_conn_send (struct hk_rpc_conn *conn, const uint8_t *data,
                       uint32_t len);

/**
 * hk_rpc_conn_receive() - read what has arrived.
 * @conn: open connection; its callbacks are called, also @closed.
 */
void hk_rpc_conn_receive (struct hk_rpc_conn *conn);

/**
 * hk_rpc_conn_finish() - close without calling @closed.
 * @conn: connection; may be closed already.
 *
 * May be called from a callback. The counters of bytes are kept.
 */
void hk_rpc_conn_finish (struct hk_rpc_conn *conn);

/**
 * hk_address_parse() - parse "ip:port" into a socket address.
 * @text: IP address and port; host names are not resolved.
 * @err: filled on failure.
 *
 * Return: new address, or NULL.
 */
GSocketAddress *hk_address_parse (const char *text, struct hk_error *err);

#endif

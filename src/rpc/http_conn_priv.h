#ifndef HTTP_CONN_PRIV_H
#define HTTP_CONN_PRIV_H

#include "http_stream.h"
#include "hyssopkeel/http_conn.h"
#include "hyssopkeel/http_framing.h"
#include "hyssopkeel/poller.h"

/**
 * struct hk_http_conn - an accepted connection.
 * @guard: its phase and the bytes held for it.
 * @server: server that handles its requests.
 * @fields: header fields of responses to rejected requests.
 * @socket: its socket.
 * @remote: address by which the messages of libsoup lead to it; NULL before it
 *          is handed over.
 * @watch: readiness of @socket, while bytes are awaited.
 * @in: received bytes that libsoup has not got; may be NULL.
 * @at: bytes at the start of @in that it has got.
 * @ready: further bytes that it may get.
 * @request_bytes: while a body is received that is not streamed, bytes of @in
 *                 that belong to the request.
 * @streamed: libsoup gets the body as it arrives, not with its last byte.
 * @taken: bytes of the request that it has got.
 * @lingered: bytes discarded after a rejection.
 * @framing: where the request ends.
 * @eof: nothing more arrives.
 * @discarded: the body is not kept in memory.
 * @handed_over: libsoup has or had the stream.
 * @stream: end of libsoup; NULL before it is handed over and after it is
 *          closed.
 */
struct hk_http_conn
{
  struct hk_guard_conn guard;
  SoupServer *server;
  const char *fields;
  GSocket *socket;
  GSocketAddress *remote;
  struct hk_watch watch;
  GByteArray *in;
  size_t at;
  size_t ready;
  size_t request_bytes;
  gboolean streamed;
  size_t taken;
  size_t lingered;
  struct hk_http_framing framing;
  gboolean eof;
  gboolean discarded;
  gboolean handed_over;
  struct hk_http_stream *stream;
};

/** hk_http_conn_receive() - receive what has arrived; may free @conn. */
void hk_http_conn_receive (struct hk_http_conn *conn);

/** hk_http_conn_watch() - call hk_http_conn_receive() when bytes arrive. */
void hk_http_conn_watch (struct hk_http_conn *conn);

/** hk_http_conn_update_held() - report the bytes held to the guard. */
void hk_http_conn_update_held (struct hk_http_conn *conn);

/** hk_http_conn_reject() - respond with an error such as "408 Request
 * Timeout", and close the connection once the client has read it. */
void hk_http_conn_reject (struct hk_http_conn *conn, const char *status);

/** hk_http_conn_end() - close the connection; frees it unless libsoup has it.
 */
void hk_http_conn_end (struct hk_http_conn *conn);

/** hk_http_conn_hand_over() - give the connection to libsoup, which may
 * respond and close it at once. */
void hk_http_conn_hand_over (struct hk_http_conn *conn);

#endif

#ifndef HYSSOPKEEL_RPC_SERVER_H
#define HYSSOPKEEL_RPC_SERVER_H

#include <rpc/rpc.h>
#include <sys/queue.h>

#include "hyssopkeel/guard.h"
#include "hyssopkeel/rpc_conn.h"

struct hk_rpc_request;

/**
 * struct hk_rpc_handler - implementation of one procedure.
 * @proc: procedure number.
 * @xdr_args: codec of the arguments.
 * @args_size: size of the decoded arguments, bytes.
 * @xdr_result: codec of the result.
 * @handle: called with the decoded arguments, which remain valid until the
 *          reply; must cause exactly one call of hk_rpc_reply(), before or
 *          after it returns.
 */
struct hk_rpc_handler
{
  uint32_t proc;
  xdrproc_t xdr_args;
  size_t args_size;
  xdrproc_t xdr_result;
  void (*handle) (struct hk_rpc_request *req, void *args, void *user);
};

/**
 * struct hk_rpc_server - server for one version of an RPC program.
 * @program: RPC program number.
 * @version: the only supported version.
 * @handlers: table of @n_handlers procedures.
 * @n_handlers: number of procedures.
 * @user: argument of the handlers.
 * @bytes_in: bytes read from connections that are closed by now.
 * @bytes_out: bytes written to connections that are closed by now.
 * @connections: connections accepted so far.
 * @socket: listening socket, NULL while stopped.
 * @watch: readiness of @socket.
 * @group: limits of the accepted connections.
 * @clients: accepted connections.
 */
struct hk_rpc_server
{
  uint32_t program;
  uint32_t version;
  const struct hk_rpc_handler *handlers;
  size_t n_handlers;
  void *user;
  uint64_t bytes_in;
  uint64_t bytes_out;
  uint64_t connections;
  GSocket *socket;
  struct hk_watch watch;
  struct hk_guard_group group;
  LIST_HEAD (, hk_rpc_client) clients;
};

/**
 * hk_rpc_server_start() - listen and accept connections.
 * @srv: server with @program, @version, @handlers, @n_handlers and @user set.
 * @address: "ip:port" to listen on.
 * @err: filled on failure.
 *
 * Return: 0 or a negative code.
 */
int hk_rpc_server_start (struct hk_rpc_server *srv, const char *address,
                         struct hk_error *err);

/**
 * hk_rpc_server_stop() - close the listening socket and all connections.
 * @srv: server; replies to requests that are still open are discarded.
 */
void hk_rpc_server_stop (struct hk_rpc_server *srv);

/**
 * hk_rpc_server_bytes() - total traffic, including closed connections.
 * @srv: server.
 * @in: set to the bytes read.
 * @out: set to the bytes written.
 */
void hk_rpc_server_bytes (const struct hk_rpc_server *srv, uint64_t *in,
                          uint64_t *out);

/**
 * hk_rpc_reply() - reply to a request and free it.
 * @req: request, with its arguments; freed.
 * @result: result of the type that the handler's @xdr_result encodes.
 */
void hk_rpc_reply (struct hk_rpc_request *req, const void *result);

/**
 * hk_rpc_request_connection() - connection that a request came over.
 * @req: request.
 *
 * Return: number of the connection, which rises in the order in which the
 * server accepted them.
 */
uint64_t hk_rpc_request_connection (const struct hk_rpc_request *req);

/**
 * hk_rpc_request_peer() - address of the client that sent a request.
 * @req: request.
 *
 * Return: "ip:port", valid until the reply.
 */
const char *hk_rpc_request_peer (const struct hk_rpc_request *req);

#endif

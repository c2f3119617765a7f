#ifndef HYSSOPKEEL_RPC_CHANNEL_H
#define HYSSOPKEEL_RPC_CHANNEL_H

#include <rpc/rpc.h>
#include <sys/queue.h>

#include "hyssopkeel/rpc_conn.h"
#include "hyssopkeel/timer.h"

/**
 * hk_rpc_done - completion of a call.
 * @rc: 0 on success; HK_ERR_UNAVAILABLE if the call was never sent; any other
 *      negative code if its effect is unknown.
 * @result: decoded result, valid during the callback; NULL unless @rc is 0.
 * @err: cause when @rc is negative.
 * @user: argument given to hk_rpc_call().
 */
typedef void (*hk_rpc_done) (int rc, void *result, const struct hk_error *err,
                             void *user);

/**
 * struct hk_rpc_channel - client of one RPC program at one peer.
 * @address: "ip:port" of the peer.
 * @program: RPC program number.
 * @version: version in use; lowered if the peer supports only older versions.
 * @generation: number of connection attempts so far.
 * @next_xid: transaction identifier of the next call.
 * @ready: TRUE once the version has been negotiated on this connection.
 * @conn: connection to the peer.
 * @calls: maps transaction identifiers to open calls; NULL when finished.
 * @unsent: calls that wait for the version negotiation.
 *
 * Connects on the first call, and on the next call after a failure. Any number
 * of calls may be open at once.
 */
struct hk_rpc_channel
{
  char *address;
  uint32_t program;
  uint32_t version;
  uint32_t generation;
  uint32_t next_xid;
  gboolean ready;
  struct hk_rpc_conn conn;
  GHashTable *calls;
  TAILQ_HEAD (, hk_rpc_pending_call) unsent;
};

/**
 * hk_rpc_channel_init() - initialize a channel; does not connect.
 * @ch: uninitialized channel, owned by the caller.
 * @address: "ip:port" of the peer; copied.
 * @program: RPC program number.
 * @version: newest supported version.
 */
void hk_rpc_channel_init (struct hk_rpc_channel *ch, const char *address,
                          uint32_t program, uint32_t version);

/**
 * hk_rpc_channel_finish() - close the connection and fail all open calls.
 * @ch: channel; later calls complete with HK_ERR_UNAVAILABLE.
 */
void hk_rpc_channel_finish (struct hk_rpc_channel *ch);

/**
 * struct hk_rpc_method - a remote procedure and its XDR codecs.
 * @proc: procedure number.
 * @xdr_args: codec of the arguments.
 * @xdr_result: codec of the result.
 * @result_size: size of the decoded result, bytes.
 */
struct hk_rpc_method
{
  uint32_t proc;
  xdrproc_t xdr_args;
  xdrproc_t xdr_result;
  size_t result_size;
};

/**
 * hk_rpc_call() - start an asynchronous call.
 * @ch: channel.
 * @method: procedure to call; must outlive the call.
 * @args: arguments; encoded before this function returns.
 * @timeout_ms: time until the call fails, milliseconds.
 * @done: completion, called exactly once and never before this function
 *        returns.
 * @user: argument of @done.
 */
void hk_rpc_call (struct hk_rpc_channel *ch,
                  const struct hk_rpc_method *method, const void *args,
                  int64_t timeout_ms, hk_rpc_done done, void *user);

#endif

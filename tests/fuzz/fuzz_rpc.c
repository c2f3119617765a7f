/* Decodes arbitrary bytes with the XDR codec of each message between processes
   and with that of the RPC call header. */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "hyssopkeel/hk_rpc_xdr.h"

#define DECODED_SIZE_MAX 1024

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const xdrproc_t codecs[] = {
  (xdrproc_t)xdr_hk_rpc_announce_args, (xdrproc_t)xdr_hk_rpc_announce_reply,
  (xdrproc_t)xdr_hk_rpc_tables,        (xdrproc_t)xdr_hk_rpc_execute_args,
  (xdrproc_t)xdr_hk_rpc_execute_reply, (xdrproc_t)xdr_hk_rpc_cancel_args,
  (xdrproc_t)xdr_hk_rpc_offer_args,    (xdrproc_t)xdr_hk_rpc_status_reply,
  (xdrproc_t)xdr_hk_rpc_drain_args,
};

static void
decode (xdrproc_t codec, const uint8_t *data, size_t size)
{
  char value[DECODED_SIZE_MAX] = { 0 };
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  codec (&xdr, value);
  xdr_free (codec, value);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rpc_msg msg = { 0 };
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  XDR xdr;

  for (size_t i = 0; i < sizeof codecs / sizeof *codecs; i++)
    decode (codecs[i], data, size);
  msg.rm_call.cb_cred.oa_base = cred;
  msg.rm_call.cb_verf.oa_base = verf;
  xdrmem_create (&xdr, (char *)data, (u_int)size, XDR_DECODE);
  xdr_callmsg (&xdr, &msg);
  return 0;
}

/* Decodes arbitrary text as replies of the store, to single requests and to
   batches. */
#include <stddef.h>
#include <stdint.h>

#include "../../src/store/etcd_codec.h"

#define BATCH_MAX 3

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct hk_store_result results[BATCH_MAX] = { 0 };
  json_object *obj = NULL;

  if (hk_json_parse (&obj, (const char *)data, size, "fuzz", NULL) < 0)
    return 0;
  etcd_decode_result (results, 1, obj, FALSE);
  etcd_clear_results (results, 1);
  for (size_t n = 1; n <= BATCH_MAX; n += BATCH_MAX - 1)
    {
      struct hk_store_result batch[BATCH_MAX] = { 0 };

      etcd_decode_result (batch, n, obj, TRUE);
      etcd_clear_results (batch, n);
    }
  json_object_put (obj);
  return 0;
}

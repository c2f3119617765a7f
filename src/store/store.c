/* Helpers that do not depend on the kind of store. */
#include "hyssopkeel/store.h"

void
hk_store_txn_init_cas (struct hk_store_txn *txn, const char *key,
                       int64_t mod_revision, const char *value, int64_t lease)
{
  *txn = (struct hk_store_txn){ .n_compares = 1,
                                .n_then = 1,
                                .n_otherwise = 1 };
  txn->compares[0] = (struct hk_store_compare){ key, mod_revision };
  txn->then[0] = (struct hk_store_op){ HK_STORE_PUT, key, value, 0, lease };
  txn->otherwise[0] = (struct hk_store_op){ .type = HK_STORE_GET, .key = key };
}

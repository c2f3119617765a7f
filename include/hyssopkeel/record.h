#ifndef HYSSOPKEEL_RECORD_H
#define HYSSOPKEEL_RECORD_H

#include "hyssopkeel/store.h"

/**
 * hk_record_done - completion of hk_record_write().
 * @rc: 0 if the write took effect; HK_ERR_CONFLICT if another write came
 *      first; HK_ERR_UNAVAILABLE if it certainly had no effect;
 *      HK_ERR_TIMEOUT if its outcome is still unknown.
 * @current: on success holds the new revision in @mod_revision; on conflict
 *           the key as it is now, or NULL if it does not exist.
 * @err: cause on failure.
 * @user: argument given with the call.
 */
typedef void (*hk_record_done) (int rc, const struct hk_store_kv *current,
                                const struct hk_error *err, void *user);

/**
 * hk_record_write() - conditional write that is retried until its outcome is
 *                     known.
 * @store: store.
 * @txn: transaction, copied; its first operation on success puts the record,
 *       its first on failure reads the same key.
 * @write_id: "write_id" member of the record, unique to each write.
 * @timeout_ms: time after which no retry follows and an unknown outcome is
 *              reported.
 * @done: completion.
 * @user: argument of @done.
 *
 * After a lost response the same transaction is sent again. Its compares fail
 * if the first one took effect, so that it is never applied twice, and the
 * write ID in the record read shows whose write it was.
 */
void hk_record_write (struct hk_store *store, const struct hk_store_txn *txn,
                      const char *write_id, int64_t timeout_ms,
                      hk_record_done done, void *user);

/**
 * hk_record_put() - hk_record_write() of a single key.
 * @store: store.
 * @key: key.
 * @mod_revision: revision expected; 0 to create the key.
 * @value: JSON text that contains @write_id.
 * @write_id: see hk_record_write().
 * @timeout_ms: see hk_record_write().
 * @done: completion.
 * @user: argument of @done.
 */
void hk_record_put (struct hk_store *store, const char *key,
                    int64_t mod_revision, const char *value,
                    const char *write_id, int64_t timeout_ms,
                    hk_record_done done, void *user);

#endif

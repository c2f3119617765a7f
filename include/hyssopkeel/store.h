#ifndef HYSSOPKEEL_STORE_H
#define HYSSOPKEEL_STORE_H

#include <glib.h>
#include <stdint.h>

#include "hyssopkeel/error.h"

/* Keys in the platform's store. Entries watch the prefix HK_KEY_WATCHED only;
   claims and the audit trail are outside it. */
#define HK_KEY_WATCHED "/hyssopkeel/live/"
#define HK_KEY_TABLES HK_KEY_WATCHED "tables"
#define HK_KEY_JOBS HK_KEY_WATCHED "jobs/"
#define HK_KEY_SESSIONS HK_KEY_WATCHED "sessions/"
#define HK_KEY_AUDIT "/hyssopkeel/audit/"
#define HK_KEY_CLAIMS "/hyssopkeel/claims/"

/* Keys of the job engine: the leading coordinator, the fence that each commit
   writes, silent agents, submitted jobs and their progress. */
#define HK_KEY_LEAD "hyssopkeel/lead"
#define HK_KEY_FENCE "hyssopkeel/fence"
#define HK_KEY_SILENT "hyssopkeel/silent"
#define HK_KEY_SPECS "hyssopkeel/spec/"
#define HK_KEY_PROGRESS "hyssopkeel/job/"

/**
 * struct hk_store_kv - a key and its value.
 * @key: key, NUL-terminated.
 * @value: value of @len bytes, followed by a NUL; NULL if the key was deleted.
 * @len: length of @value in bytes, without the NUL.
 * @mod_revision: revision of the last write.
 */
struct hk_store_kv
{
  char *key;
  char *value;
  size_t len;
  int64_t mod_revision;
};

/**
 * struct hk_store_result - result of a call to the store.
 * @revision: revision of the store when it answered.
 * @succeeded: whether all compares of a transaction held.
 * @kvs: keys read; for a transaction whose compares failed, those that it
 *       reads in that case.
 * @n_kvs: number of @kvs.
 * @lease: ID of the lease granted.
 * @ttl_s: remaining lifetime of a lease in seconds; 0 if it has expired.
 */
struct hk_store_result
{
  int64_t revision;
  gboolean succeeded;
  struct hk_store_kv *kvs;
  size_t n_kvs;
  int64_t lease;
  int64_t ttl_s;
};

enum hk_store_op_type
{
  HK_STORE_PUT,
  HK_STORE_DELETE,
  HK_STORE_GET
};

/**
 * struct hk_store_op - one operation of a transaction.
 * @type: kind of operation.
 * @key: key.
 * @value: bytes to put.
 * @len: length of @value in bytes; 0 if it is a NUL-terminated string.
 * @lease: lease that a put attaches the key to, or 0.
 */
struct hk_store_op
{
  enum hk_store_op_type type;
  const char *key;
  const char *value;
  size_t len;
  int64_t lease;
};

/**
 * struct hk_store_compare - condition of a transaction.
 * @key: key.
 * @mod_revision: expected revision of the last write; 0 if the key must not
 *                exist.
 */
struct hk_store_compare
{
  const char *key;
  int64_t mod_revision;
};

/* Compares, and operations per branch, in a transaction. A kind of store may
   have a lower limit for all of them together. */
#define HK_STORE_TXN_OPS_MAX 32

/**
 * struct hk_store_txn - atomic transaction.
 * @compares: conditions, all of which must hold.
 * @n_compares: number of @compares.
 * @then: operations if they hold.
 * @n_then: number of @then.
 * @otherwise: operations if one does not.
 * @n_otherwise: number of @otherwise.
 *
 * Unused members are zero. Strings stay owned by the caller; a store copies
 * them before its call returns.
 */
struct hk_store_txn
{
  struct hk_store_compare compares[HK_STORE_TXN_OPS_MAX];
  size_t n_compares;
  struct hk_store_op then[HK_STORE_TXN_OPS_MAX];
  size_t n_then;
  struct hk_store_op otherwise[HK_STORE_TXN_OPS_MAX];
  size_t n_otherwise;
};

/**
 * hk_store_done - completion of a call.
 * @rc: 0; HK_ERR_UNAVAILABLE if the call was never sent or the store rejected
 *      it without effect; another negative code if it may have taken effect.
 * @results: on success one result, or one per transaction of a batch; valid
 *           during the callback.
 * @err: cause on failure.
 * @user: argument given with the call.
 */
typedef void (*hk_store_done) (int rc, const struct hk_store_result *results,
                               const struct hk_error *err, void *user);

/**
 * struct hk_store_watch_ops - callbacks of a watch.
 * @reset: the watch reads all keys again, since it has just begun or since the
 *         store no longer has the events. Keys without an event up to the next
 *         @progress do not exist. NULL if not needed; only the platform's
 *         store calls it.
 * @event: a key was written, or deleted if the value of @kv is NULL.
 * @progress: all events up to @revision were delivered.
 * @lost: the watch ended on an error; @compacted is TRUE if events were
 *        missed that the store no longer has.
 */
struct hk_store_watch_ops
{
  void (*reset) (void *user);
  void (*event) (const struct hk_store_kv *kv, void *user);
  void (*progress) (int64_t revision, void *user);
  void (*lost) (gboolean compacted, const struct hk_error *err, void *user);
};

struct hk_store_watch;
struct hk_store;

/**
 * struct hk_store_ops - operations that a kind of store implements.
 * @range: read @key, or all keys that start with @key if @prefix is TRUE.
 * @newest: read the last written key that starts with @prefix.
 * @batch: apply @n independent transactions in one call.
 * @grant: grant a lease of @ttl_s seconds.
 * @keepalive: renew a lease.
 * @revoke: end a lease and delete the keys attached to it.
 * @watch: report changes of the keys that start with @prefix, from revision
 *         @from on.
 * @unwatch: end a watch; no callback follows.
 */
struct hk_store_ops
{
  void (*range) (struct hk_store *store, const char *key, gboolean prefix,
                 hk_store_done done, void *user);
  void (*newest) (struct hk_store *store, const char *prefix,
                  hk_store_done done, void *user);
  void (*batch) (struct hk_store *store, const struct hk_store_txn *txns,
                 size_t n, hk_store_done done, void *user);
  void (*grant) (struct hk_store *store, int64_t ttl_s, hk_store_done done,
                 void *user);
  void (*keepalive) (struct hk_store *store, int64_t lease, hk_store_done done,
                     void *user);
  void (*revoke) (struct hk_store *store, int64_t lease, hk_store_done done,
                  void *user);
  struct hk_store_watch *(*watch) (struct hk_store *store, const char *prefix,
                                   int64_t from,
                                   const struct hk_store_watch_ops *ops,
                                   void *user);
  void (*unwatch) (struct hk_store_watch *watch);
};

/**
 * struct hk_store - client of the platform's key-value store.
 * @ops: operations of its kind.
 * @calls: calls made so far, including those that open or continue a watch.
 */
struct hk_store
{
  const struct hk_store_ops *ops;
  uint64_t calls;
};

/**
 * hk_store_txn_init_cas() - fill a compare-and-swap transaction of one key.
 * @txn: transaction to fill.
 * @key: key.
 * @mod_revision: revision expected; 0 to create the key.
 * @value: new value, a NUL-terminated string.
 * @lease: lease to attach the key to, or 0.
 *
 * If the compare fails, the current value is read.
 */
void hk_store_txn_init_cas (struct hk_store_txn *txn, const char *key,
                            int64_t mod_revision, const char *value,
                            int64_t lease);

#endif

#ifndef HYSSOPKEEL_STORE_H
#define HYSSOPKEEL_STORE_H

#include <glib.h>
#include <stdint.h>

#include "hyssopkeel/error.h"

/* Keys of the platform's store. Entries watch HK_KEY_WATCHED and nothing
   else; claims and the audit trail stay outside it. */
#define HK_KEY_WATCHED "/hyssopkeel/live/"
#define HK_KEY_TABLES HK_KEY_WATCHED "tables"
#define HK_KEY_JOBS HK_KEY_WATCHED "jobs/"
#define HK_KEY_SESSIONS HK_KEY_WATCHED "sessions/"
#define HK_KEY_AUDIT "/hyssopkeel/audit/"
#define HK_KEY_CLAIMS "/hyssopkeel/claims/"

/* Keys of the job engine: who leads, the fence that every commit moves, what
   was submitted, and how far it is. */
#define HK_KEY_LEAD "hyssopkeel/lead"
#define HK_KEY_FENCE "hyssopkeel/fence"
#define HK_KEY_SPECS "hyssopkeel/spec/"
#define HK_KEY_PROGRESS "hyssopkeel/job/"

/**
 * struct hk_store_kv - one key with its value.
 * @key: key, NUL-terminated.
 * @value: value of @len bytes, NUL-terminated besides.
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
 * struct hk_store_result - answer of the store.
 * @revision: revision of the store at the answer.
 * @succeeded: whether the compares of a transaction held.
 * @kvs: @n_kvs keys read; of a failed transaction, by its reads.
 * @lease: lease granted.
 * @ttl_s: seconds a lease has left, 0 if it is gone.
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
 * @len: length of @value in bytes; 0 if it is a text that ends with a NUL.
 * @lease: lease a put is bound to, or 0.
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
 * @mod_revision: expected revision of the last write; 0 if it must not exist.
 */
struct hk_store_compare
{
  const char *key;
  int64_t mod_revision;
};

/* Rows of each kind; a driver may have a lower limit for all rows together. */
#define HK_STORE_TXN_OPS 32

/**
 * struct hk_store_txn - compare, then apply @then or else @otherwise.
 *
 * Unused members are zero. Texts stay owned by the caller and are copied
 * before the call returns.
 */
struct hk_store_txn
{
  struct hk_store_compare compares[HK_STORE_TXN_OPS];
  size_t n_compares;
  struct hk_store_op then[HK_STORE_TXN_OPS];
  size_t n_then;
  struct hk_store_op otherwise[HK_STORE_TXN_OPS];
  size_t n_otherwise;
};

/**
 * hk_store_done - completion of a call.
 * @rc: 0; HK_ERR_UNAVAILABLE if it was never sent; another negative code if
 *      it may have taken effect.
 * @results: one result, or one per transaction of a batch, on success.
 * @err: cause on failure.
 * @user: argument given with the call.
 */
typedef void (*hk_store_done) (int rc, const struct hk_store_result *results,
                               const struct hk_error *err, void *user);

/**
 * struct hk_store_watch_ops - what a watcher is told.
 * @event: a key was written (@kv with a value) or deleted (value NULL).
 * @progress: all events up to @revision were delivered.
 * @lost: the watch ended; @compacted tells that events were missed for good.
 */
struct hk_store_watch_ops
{
  void (*event) (const struct hk_store_kv *kv, void *user);
  void (*progress) (int64_t revision, void *user);
  void (*lost) (gboolean compacted, const struct hk_error *err, void *user);
};

struct hk_store_watch;
struct hk_store;

/**
 * struct hk_store_ops - a kind of store.
 * @range: read @key, or all keys that start with it if @prefix.
 * @newest: read the key of a prefix that was written last.
 * @batch: apply @n independent transactions in one call.
 * @grant: grant a lease of @ttl_s seconds.
 * @keepalive: renew a lease.
 * @revoke: end a lease and delete its keys.
 * @watch: follow the keys that start with @prefix from revision @from on.
 * @unwatch: end a watch; nothing is reported after it.
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
 * struct hk_store - connection to the platform's key-value service.
 * @ops: kind of store.
 * @calls: calls made so far, watches included.
 */
struct hk_store
{
  const struct hk_store_ops *ops;
  uint64_t calls;
};

/**
 * hk_store_txn_init_cas() - transaction that replaces one key.
 * @txn: transaction to fill.
 * @key: key.
 * @mod_revision: revision expected; 0 to create.
 * @value: new value.
 * @lease: lease to bind the key to, or 0.
 *
 * When the compare fails the current value is read.
 */
void hk_store_txn_init_cas (struct hk_store_txn *txn, const char *key,
                            int64_t mod_revision, const char *value,
                            int64_t lease);

#endif

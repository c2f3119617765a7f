#ifndef HYSSOPKEEL_ETCD_CODEC_H
#define HYSSOPKEEL_ETCD_CODEC_H

#include "hyssopkeel/json.h"
#include "hyssopkeel/store.h"

/* JSON encoding of the etcd v3 gateway: keys and values are base64, 64-bit
   integers are strings of decimal digits. */

/**
 * etcd_add_bytes() - add a string in base64.
 * @obj: object.
 * @name: name of the member.
 * @text: NUL-terminated string.
 */
void etcd_add_bytes (json_object *obj, const char *name, const char *text);

/**
 * etcd_add_int64() - add an integer as a string of digits.
 * @obj: object.
 * @name: name of the member.
 * @value: integer.
 */
void etcd_add_int64 (json_object *obj, const char *name, int64_t value);

/**
 * etcd_add_prefix() - add the "range_end" that covers all keys of a prefix.
 * @obj: object.
 * @prefix: non-empty prefix.
 */
void etcd_add_prefix (json_object *obj, const char *prefix);

/**
 * etcd_encode_batch() - encode @n transactions as one request.
 * @txns: transactions.
 * @n: number of @txns; more than one are nested in an outer transaction.
 *
 * Return: new TxnRequest message, owned by the caller.
 */
json_object *etcd_encode_batch (const struct hk_store_txn *txns, size_t n);

/**
 * etcd_decode_kv() - decode a KeyValue message.
 * @kv: zeroed pair to fill; release with etcd_clear_kv(), also after an error.
 * @obj: JSON object.
 *
 * Return: 0 or HK_ERR_PROTOCOL.
 */
int etcd_decode_kv (struct hk_store_kv *kv, json_object *obj);

/**
 * etcd_clear_kv() - free the key and the value of a pair.
 * @kv: pair.
 */
void etcd_clear_kv (struct hk_store_kv *kv);

/**
 * etcd_decode_result() - decode a RangeResponse, TxnResponse or lease
 * response.
 * @results: array of @n zeroed results to fill; release with
 *           etcd_clear_results(), also after an error.
 * @n: number of results expected.
 * @obj: response.
 * @batch: whether it responds to a request of etcd_encode_batch().
 *
 * Return: 0 or HK_ERR_PROTOCOL.
 */
int etcd_decode_result (struct hk_store_result *results, size_t n,
                        json_object *obj, gboolean batch);

/**
 * etcd_clear_results() - free the keys and values of results.
 * @results: array; itself stays owned by the caller.
 * @n: length of the array.
 */
void etcd_clear_results (struct hk_store_result *results, size_t n);

#endif

/* Data of the store stand-in: keys, revisions, leases and transactions with
   the semantics of the etcd v3 JSON gateway, as far as the scheduler uses
   them. Keys and values are text. */
#ifndef STORE_DATA_H
#define STORE_DATA_H

#include "hyssopkeel/json.h"

/**
 * struct store_event - one change of a key, kept so that watches can resume.
 * @deleted: whether the key was deleted.
 * @key: changed key.
 * @value: new value, "" if deleted.
 * @revision: store revision of the change.
 */
struct store_event
{
  gboolean deleted;
  char *key;
  char *value;
  int64_t revision;
};

/**
 * struct store_data - keys, leases and change history.
 * @revision: current revision.
 * @compacted: highest compacted revision; a watch cannot start from it or from
 * an earlier one.
 * @next_lease: ID of the next lease.
 * @keys: key to its value and revisions, in key order.
 * @leases: lease ID to lease.
 * @events: struct store_event in revision order.
 */
struct store_data
{
  int64_t revision;
  int64_t compacted;
  int64_t next_lease;
  GTree *keys;
  GHashTable *leases;
  GPtrArray *events;
};

/**
 * store_data_init() - initialize an empty store at revision 1.
 * @d: store, allocated by the caller.
 */
void store_data_init (struct store_data *d);

/**
 * store_data_range() - handle an etcd RangeRequest.
 * @d: store.
 * @req: request; with a sort_order, only the newest key is returned.
 *
 * Return: RangeResponse.
 */
json_object *store_data_range (struct store_data *d, json_object *req);

/**
 * store_data_put() - handle an etcd PutRequest.
 * @d: store.
 * @req: request.
 *
 * Return: PutResponse, or NULL if the named lease does not exist.
 */
json_object *store_data_put (struct store_data *d, json_object *req);

/**
 * store_data_txn() - handle an etcd TxnRequest, including nested ones.
 * @d: store.
 * @req: request.
 *
 * Return: TxnResponse, or NULL if a named lease does not exist.
 */
json_object *store_data_txn (struct store_data *d, json_object *req);

/**
 * store_data_grant() - create a lease.
 * @d: store.
 * @ttl_s: time to live in seconds.
 *
 * Return: LeaseGrantResponse.
 */
json_object *store_data_grant (struct store_data *d, int64_t ttl_s);

/**
 * store_data_keepalive() - renew a lease for its time to live.
 * @d: store.
 * @id: lease ID.
 *
 * Return: LeaseKeepAliveResponse; its TTL is 0 if the lease does not
 * exist.
 */
json_object *store_data_keepalive (struct store_data *d, int64_t id);

/**
 * store_data_revoke() - revoke one or all leases and delete their keys.
 * @d: store.
 * @id: lease ID, or 0 for all leases.
 */
void store_data_revoke (struct store_data *d, int64_t id);

/**
 * store_data_expire() - revoke the leases whose time to live has passed.
 * @d: store.
 */
void store_data_expire (struct store_data *d);

/**
 * store_data_header() - build a response header with the current revision.
 * @d: store.
 *
 * Return: new object owned by the caller.
 */
json_object *store_data_header (const struct store_data *d);

/**
 * store_data_decode() - decode a base64 member of an object.
 * @obj: object.
 * @name: name of the member.
 *
 * Return: newly allocated text, "" if the member is missing.
 */
char *store_data_decode (json_object *obj, const char *name);

#endif

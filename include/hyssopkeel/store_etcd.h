#ifndef HYSSOPKEEL_STORE_ETCD_H
#define HYSSOPKEEL_STORE_ETCD_H

#include <libsoup/soup.h>

#include "hyssopkeel/store.h"

/**
 * struct hk_store_etcd - hk_store implementation for the etcd v3 JSON gateway.
 * @base: operations; must be the first member.
 * @urls: base URLs; a failed call switches to the next one.
 * @url_index: index of the URL in use.
 * @timeout_ms: time until a call fails with HK_ERR_TIMEOUT.
 * @session: HTTP session of all calls except watches.
 * @watch_session: HTTP session of watches; has no idle time-out.
 */
struct hk_store_etcd
{
  struct hk_store base;
  char **urls;
  guint url_index;
  int64_t timeout_ms;
  SoupSession *session;
  SoupSession *watch_session;
};

/**
 * hk_store_etcd_init() - initialize; connections are opened on demand.
 * @etcd: caller's memory, overwritten.
 * @urls: NULL-terminated list of base URLs such as "http://127.0.0.1:2379";
 *        copied.
 * @timeout_ms: time limit of each call.
 */
void hk_store_etcd_init (struct hk_store_etcd *etcd, char **urls,
                         int64_t timeout_ms);

/**
 * hk_store_etcd_finish() - abort open calls and release all resources.
 * @etcd: store; may be all zeros.
 */
void hk_store_etcd_finish (struct hk_store_etcd *etcd);

#endif

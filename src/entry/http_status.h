#ifndef HYSSOPKEEL_HTTP_STATUS_H
#define HYSSOPKEEL_HTTP_STATUS_H

#include "entry.h"

/**
 * hk_http_status() - handle /status, the instances known to this entry.
 * @entry: entry.
 * @msg: message.
 */
void hk_http_status (struct hk_entry *entry, SoupServerMessage *msg);

/**
 * hk_http_metrics() - handle /metrics in the Prometheus text format.
 * @entry: entry.
 * @msg: message.
 */
void hk_http_metrics (struct hk_entry *entry, SoupServerMessage *msg);

/**
 * hk_http_ready() - handle /readyz, the load balancer's readiness probe.
 * @entry: entry.
 * @msg: message.
 */
void hk_http_ready (struct hk_entry *entry, SoupServerMessage *msg);

#endif

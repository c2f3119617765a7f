#ifndef HYSSOPKEEL_HTTP_LIMITS_H
#define HYSSOPKEEL_HTTP_LIMITS_H

#include "entry.h"

/**
 * hk_http_limits_attach() - limit the size of a request's body.
 * @entry: entry whose settings apply.
 * @msg: message whose request has not been read yet.
 *
 * A body over the limit is discarded and the response is 413.
 */
void hk_http_limits_attach (struct hk_entry *entry, SoupServerMessage *msg);

#endif

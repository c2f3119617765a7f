#ifndef HYSSOPKEEL_HTTP_JOBS_H
#define HYSSOPKEEL_HTTP_JOBS_H

#include "entry.h"

/**
 * hk_http_jobs() - handle /jobs and /jobs/ID.
 * @entry: entry.
 * @msg: message; the response may follow after the return.
 * @path: path from "/jobs" on.
 */
void hk_http_jobs (struct hk_entry *entry, SoupServerMessage *msg,
                   const char *path);

#endif

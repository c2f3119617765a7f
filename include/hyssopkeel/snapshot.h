#ifndef HYSSOPKEEL_SNAPSHOT_H
#define HYSSOPKEEL_SNAPSHOT_H

#include "hyssopkeel/hk_rpc_xdr.h"
#include "hyssopkeel/tables.h"

/**
 * hk_tables_snapshot() - fill the reply to a request for newer tables.
 * @t: tables of this process.
 * @known_revision: revision that the requesting process has.
 * @reply: filled; its text is owned by @t, and is empty unless @t is newer
 *         than @known_revision.
 */
void hk_tables_snapshot (const struct hk_tables *t, int64_t known_revision,
                         hk_rpc_tables *reply);

#endif

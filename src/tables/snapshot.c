/* Encodes the tables for a process that has an older revision. */
#include "hyssopkeel/snapshot.h"

#include <string.h>

void
hk_tables_snapshot (const struct hk_tables *t, int64_t known_revision,
                    hk_rpc_tables *reply)
{
  memset (reply, 0, sizeof *reply);
  reply->revision = t->revision;
  if (!t->source || t->revision <= known_revision)
    return;
  reply->text.text_val = (char *)json_object_to_json_string_ext (
      t->source, JSON_C_TO_STRING_PLAIN);
  reply->text.text_len = (u_int)strlen (reply->text.text_val);
}

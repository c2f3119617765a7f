/* Ids of recent events. Load pattern: overload or an outage of the store, in
   which most requests are refused or left unanswered and many are sent again.
 */
#include "hyssopkeel/recent_ids.h"

struct hk_recent_id
{
  char *id;
  int64_t at_ms;
  TAILQ_ENTRY (hk_recent_id) link;
};

void
hk_recent_ids_init (struct hk_recent_ids *r, int64_t keep_ms, unsigned max)
{
  r->keep_ms = keep_ms;
  r->max = max;
  r->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&r->list);
  r->forgotten_ms = INT64_MIN;
}

static void
entry_remove (struct hk_recent_ids *r, struct hk_recent_id *entry)
{
  g_hash_table_remove (r->by_id, entry->id);
  TAILQ_REMOVE (&r->list, entry, link);
  g_free (entry->id);
  g_free (entry);
}

void
hk_recent_ids_finish (struct hk_recent_ids *r)
{
  while (!TAILQ_EMPTY (&r->list))
    entry_remove (r, TAILQ_FIRST (&r->list));
  g_clear_pointer (&r->by_id, g_hash_table_unref);
}

static void
forget_oldest (struct hk_recent_ids *r, int64_t now_ms)
{
  struct hk_recent_id *oldest;

  while ((oldest = TAILQ_FIRST (&r->list))
         && (oldest->at_ms < now_ms - r->keep_ms
             || g_hash_table_size (r->by_id) > r->max))
    {
      r->forgotten_ms = oldest->at_ms;
      entry_remove (r, oldest);
    }
}

void
hk_recent_ids_add (struct hk_recent_ids *r, const char *id, int64_t now_ms)
{
  struct hk_recent_id *entry = g_hash_table_lookup (r->by_id, id);

  if (entry)
    TAILQ_REMOVE (&r->list, entry, link);
  else
    {
      entry = g_new0 (struct hk_recent_id, 1);
      entry->id = g_strdup (id);
      g_hash_table_insert (r->by_id, entry->id, entry);
    }
  entry->at_ms = now_ms;
  TAILQ_INSERT_TAIL (&r->list, entry, link);
  forget_oldest (r, now_ms);
}

void
hk_recent_ids_remove (struct hk_recent_ids *r, const char *id)
{
  struct hk_recent_id *entry = g_hash_table_lookup (r->by_id, id);

  if (entry)
    entry_remove (r, entry);
}

gboolean
hk_recent_ids_has (const struct hk_recent_ids *r, const char *id)
{
  return g_hash_table_contains (r->by_id, id);
}

gboolean
hk_recent_ids_added_since (const struct hk_recent_ids *r, const char *id,
                           int64_t since_ms)
{
  const struct hk_recent_id *entry = g_hash_table_lookup (r->by_id, id);

  return since_ms <= r->forgotten_ms || (entry && since_ms <= entry->at_ms);
}

/* Refusals of requests. Load pattern: overload or an outage of the store, in
   which most requests are refused and many are sent again, on links that
   deliver some attempts seconds later. */
#include "hyssopkeel/refusals.h"

/* Longer than clients wait for a response. */
#define KEPT_MS 30000
/* Bounds the memory, some 120 bytes each. */
#define REFUSALS_MAX 20000

struct hk_refusal
{
  char *id;
  int64_t at_ms;
  TAILQ_ENTRY (hk_refusal) link;
};

void
hk_refusals_init (struct hk_refusals *r)
{
  r->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&r->list);
  r->forgotten_ms = INT64_MIN;
}

static void
refusal_remove (struct hk_refusals *r, struct hk_refusal *refusal)
{
  g_hash_table_remove (r->by_id, refusal->id);
  TAILQ_REMOVE (&r->list, refusal, link);
  g_free (refusal->id);
  g_free (refusal);
}

void
hk_refusals_finish (struct hk_refusals *r)
{
  while (!TAILQ_EMPTY (&r->list))
    refusal_remove (r, TAILQ_FIRST (&r->list));
  g_clear_pointer (&r->by_id, g_hash_table_unref);
}

static void
forget_oldest (struct hk_refusals *r, int64_t now_ms)
{
  struct hk_refusal *oldest;

  while ((oldest = TAILQ_FIRST (&r->list))
         && (oldest->at_ms < now_ms - KEPT_MS
             || g_hash_table_size (r->by_id) > REFUSALS_MAX))
    {
      r->forgotten_ms = oldest->at_ms;
      refusal_remove (r, oldest);
    }
}

void
hk_refusals_add (struct hk_refusals *r, const char *id, int64_t now_ms)
{
  struct hk_refusal *refusal = g_hash_table_lookup (r->by_id, id);

  if (refusal)
    TAILQ_REMOVE (&r->list, refusal, link);
  else
    {
      refusal = g_new0 (struct hk_refusal, 1);
      refusal->id = g_strdup (id);
      g_hash_table_insert (r->by_id, refusal->id, refusal);
    }
  refusal->at_ms = now_ms;
  TAILQ_INSERT_TAIL (&r->list, refusal, link);
  forget_oldest (r, now_ms);
}

gboolean
hk_refusals_supersede (const struct hk_refusals *r, const char *id,
                       int64_t received_ms)
{
  const struct hk_refusal *refusal = g_hash_table_lookup (r->by_id, id);

  return received_ms <= r->forgotten_ms
         || (refusal && received_ms <= refusal->at_ms);
}

#ifndef HYSSOPKEEL_RECENT_IDS_H
#define HYSSOPKEEL_RECENT_IDS_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

struct hk_recent_id;

/**
 * struct hk_recent_ids - ids of recent events, and when each was last added.
 * @by_id: id to struct hk_recent_id.
 * @list: the same, ordered by time, oldest first.
 * @keep_ms: how long an id is kept.
 * @max: how many are kept.
 * @forgotten_ms: ids added at this time or earlier may be missing.
 */
struct hk_recent_ids
{
  GHashTable *by_id;
  TAILQ_HEAD (, hk_recent_id) list;
  int64_t keep_ms;
  unsigned max;
  int64_t forgotten_ms;
};

/** hk_recent_ids_init() - start without any. */
void hk_recent_ids_init (struct hk_recent_ids *r, int64_t keep_ms,
                         unsigned max);

/** hk_recent_ids_finish() - free all. */
void hk_recent_ids_finish (struct hk_recent_ids *r);

/**
 * hk_recent_ids_add() - add an id, or renew its time.
 * @r: ids; those that are too old or too many are forgotten.
 * @id: id; copied.
 * @now_ms: time, which never decreases.
 */
void hk_recent_ids_add (struct hk_recent_ids *r, const char *id,
                        int64_t now_ms);

/** hk_recent_ids_remove() - remove an id, if it is there. */
void hk_recent_ids_remove (struct hk_recent_ids *r, const char *id);

/** hk_recent_ids_has() - whether an id was added and is not forgotten. */
gboolean hk_recent_ids_has (const struct hk_recent_ids *r, const char *id);

/**
 * hk_recent_ids_added_since() - whether an id was added at a time or later.
 * @r: ids.
 * @id: id.
 * @since_ms: time.
 *
 * Return: TRUE also if it may have been forgotten.
 */
gboolean hk_recent_ids_added_since (const struct hk_recent_ids *r,
                                    const char *id, int64_t since_ms);

#endif

#ifndef HYSSOPKEEL_REFUSALS_H
#define HYSSOPKEEL_REFUSALS_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

struct hk_refusal;

/**
 * struct hk_refusals - when requests were last refused, by id.
 * @by_id: id to struct hk_refusal.
 * @list: the same, ordered by time, oldest first.
 * @forgotten_ms: refusals at this time or earlier may be missing.
 *
 * A refusal is a promise about all attempts to send a request, also about
 * those that are still on their way. An attempt whose request was received
 * before the refusal is superseded; one of a later request is not.
 */
struct hk_refusals
{
  GHashTable *by_id;
  TAILQ_HEAD (, hk_refusal) list;
  int64_t forgotten_ms;
};

/** hk_refusals_init() - start without any. */
void hk_refusals_init (struct hk_refusals *r);

/** hk_refusals_finish() - free all. */
void hk_refusals_finish (struct hk_refusals *r);

/**
 * hk_refusals_add() - note that a request is refused.
 * @r: refusals; those that are too old or too many are forgotten.
 * @id: id of the request; copied.
 * @now_ms: time, which never decreases.
 */
void hk_refusals_add (struct hk_refusals *r, const char *id, int64_t now_ms);

/**
 * hk_refusals_supersede() - whether an attempt is superseded by a refusal.
 * @r: refusals.
 * @id: id of its request.
 * @received_ms: time at which the request was received, or earlier.
 *
 * Return: TRUE also if the refusal may have been forgotten.
 */
gboolean hk_refusals_supersede (const struct hk_refusals *r, const char *id,
                                int64_t received_ms);

#endif

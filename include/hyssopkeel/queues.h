#ifndef HYSSOPKEEL_QUEUES_H
#define HYSSOPKEEL_QUEUES_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_queue - a route that takes jobs.
 * @host: host name that selects it.
 * @prefix: path prefix that selects it, with its last slash.
 * @pool: pool whose instances run its tasks.
 * @urgency: 0 comes first.
 * @max_attempts: failures of a task that its job survives, plus one.
 * @stretch_milli: objective as a share of the longest chain, per mille.
 * @target_ms: time added to the objective.
 */
struct hk_queue
{
  char *name;
  char *host;
  char *prefix;
  char *pool;
  unsigned urgency;
  unsigned max_attempts;
  unsigned stretch_milli;
  unsigned target_ms;
};

/**
 * struct hk_queues - all queues at one version.
 * @version: only rises.
 * @list: of struct hk_queue.
 */
struct hk_queues
{
  int64_t version;
  GPtrArray *list;
};

/** hk_queue_free() - release a queue. */
void hk_queue_free (struct hk_queue *q);

/** hk_queues_init() - no queues, version 0. */
void hk_queues_init (struct hk_queues *qs);

/** hk_queues_finish() - release. */
void hk_queues_finish (struct hk_queues *qs);

/**
 * hk_queues_replace() - take a newer version.
 * @qs: queues.
 * @version: its version.
 * @list: of struct hk_queue; taken over in any case.
 *
 * Return: TRUE if it was newer.
 */
gboolean hk_queues_replace (struct hk_queues *qs, int64_t version,
                            GPtrArray *list);

/**
 * hk_queues_find() - queue with the longest prefix of a path.
 * @qs: queues.
 * @host: host name without port.
 * @path: path of the request.
 *
 * Return: queue, or NULL.
 */
const struct hk_queue *hk_queues_find (const struct hk_queues *qs,
                                       const char *host, const char *path);

#endif

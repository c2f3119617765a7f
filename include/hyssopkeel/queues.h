#ifndef HYSSOPKEEL_QUEUES_H
#define HYSSOPKEEL_QUEUES_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_queue - a route that accepts jobs.
 * @name: name of the route.
 * @host: host name that selects it, compared without case.
 * @prefix: path prefix that selects it, including the trailing slash.
 * @pool: pool whose instances run its tasks.
 * @urgency: priority, 0 is highest.
 * @max_attempts: the job fails once a task has failed this many times.
 * @stretch_milli: objective as a multiple of the critical path, thousandths.
 * @target_ms: constant time added to the objective.
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
 * struct hk_queues - all queues of one version of the config.
 * @version: version of the config; never decreases.
 * @list: of struct hk_queue.
 */
struct hk_queues
{
  int64_t version;
  GPtrArray *list;
};

/** hk_queue_free() - free a queue. */
void hk_queue_free (struct hk_queue *queue);

/** hk_queues_init() - initialize without queues, at version 0. */
void hk_queues_init (struct hk_queues *queues);

/** hk_queues_finish() - free the list. */
void hk_queues_finish (struct hk_queues *queues);

/**
 * hk_queues_replace() - replace all queues by a newer version.
 * @queues: queues.
 * @version: version of @list.
 * @list: of struct hk_queue; ownership is transferred in any case.
 *
 * Return: TRUE if @list was newer and is in use.
 */
gboolean hk_queues_replace (struct hk_queues *queues, int64_t version,
                            GPtrArray *list);

/**
 * hk_queues_find() - queue with the longest matching prefix of a path.
 * @queues: queues.
 * @host: host name without port.
 * @path: path of the request.
 *
 * Return: queue owned by @queues, or NULL.
 */
const struct hk_queue *hk_queues_find (const struct hk_queues *queues,
                                       const char *host, const char *path);

#endif

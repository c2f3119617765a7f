/* Routing table of job queues: selects a queue by host and longest path
   prefix. */
#include "hyssopkeel/queues.h"

#include <string.h>

void
hk_queue_free (struct hk_queue *queue)
{
  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->pool);
  g_free (queue);
}

void
hk_queues_init (struct hk_queues *queues)
{
  queues->version = 0;
  queues->list = g_ptr_array_new ();
}

void
hk_queues_finish (struct hk_queues *queues)
{
  g_clear_pointer (&queues->list, g_ptr_array_unref);
}

gboolean
hk_queues_replace (struct hk_queues *queues, int64_t version, GPtrArray *list)
{
  if (version <= queues->version)
    {
      g_ptr_array_unref (list);
      return FALSE;
    }
  g_ptr_array_unref (queues->list);
  queues->list = list;
  queues->version = version;
  return TRUE;
}

const struct hk_queue *
hk_queues_find (const struct hk_queues *queues, const char *host,
                const char *path)
{
  const struct hk_queue *best = NULL;
  size_t best_len = 0;

  for (guint i = 0; i < queues->list->len; i++)
    {
      const struct hk_queue *queue = queues->list->pdata[i];
      size_t prefix_len = strlen (queue->prefix);

      if (prefix_len >= best_len && g_str_has_prefix (path, queue->prefix)
          && g_ascii_strcasecmp (host, queue->host) == 0)
        {
          best = queue;
          best_len = prefix_len;
        }
    }
  return best;
}

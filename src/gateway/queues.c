/* Routes that take jobs, by host and path. */
#include "hyssopkeel/queues.h"

#include <string.h>

void
hk_queue_free (struct hk_queue *q)
{
  g_free (q->name);
  g_free (q->host);
  g_free (q->prefix);
  g_free (q->pool);
  g_free (q);
}

void
hk_queues_init (struct hk_queues *qs)
{
  qs->version = 0;
  qs->list = g_ptr_array_new ();
}

void
hk_queues_finish (struct hk_queues *qs)
{
  g_clear_pointer (&qs->list, g_ptr_array_unref);
}

gboolean
hk_queues_replace (struct hk_queues *qs, int64_t version, GPtrArray *list)
{
  if (version <= qs->version)
    {
      g_ptr_array_unref (list);
      return FALSE;
    }
  g_ptr_array_unref (qs->list);
  qs->list = list;
  qs->version = version;
  return TRUE;
}

const struct hk_queue *
hk_queues_find (const struct hk_queues *qs, const char *host, const char *path)
{
  const struct hk_queue *best = NULL;
  size_t longest = 0;

  for (guint i = 0; i < qs->list->len; i++)
    {
      const struct hk_queue *q = qs->list->pdata[i];
      size_t len = strlen (q->prefix);

      if (len >= longest && g_str_has_prefix (path, q->prefix)
          && g_ascii_strcasecmp (host, q->host) == 0)
        {
          best = q;
          longest = len;
        }
    }
  return best;
}

/* What an agent reports of its instance: capacity, labels, drains. */
#include "coord.h"

static char *
text_update (char *old, const char *text)
{
  if (old && text && strcmp (old, text) == 0)
    return old;
  g_free (old);
  return g_strdup (text);
}

static gboolean
capacity_changed (const struct hk_instance *in, const hk_sync_args *args)
{
  return args->described
         && (!in->capacity_known || in->cpu_milli != args->cpu_milli
             || in->memory_mb != args->memory_mb
             || in->accelerators != args->accelerators);
}

/* A new incarnation may have other labels. Returns whether they changed. */
static gboolean
labels_update (struct hk_instance *in, const hk_sync_args *args)
{
  u_int n = args->labels.labels_len;
  gboolean same = in->labels && g_strv_length (in->labels) == n;
  GPtrArray *list;

  for (u_int i = 0; same && i < n; i++)
    same = strcmp (in->labels[i], args->labels.labels_val[i].text) == 0;
  if (same)
    return FALSE;
  list = g_ptr_array_new ();
  for (u_int i = 0; i < n; i++)
    g_ptr_array_add (list, g_strdup (args->labels.labels_val[i].text));
  g_ptr_array_add (list, NULL);
  g_strfreev (in->labels);
  in->labels = (char **)g_ptr_array_free (list, FALSE);
  return TRUE;
}

/* Does not wait for the capacity: nothing may be ordered before the domain is
   known. */
static void
domain_update (struct hk_instance *in, const hk_sync_args *args)
{
  in->domain = text_update (in->domain, args->domain);
  coord_evacuation_apply (((struct coord_link *)in->link)->c, in);
}

gboolean
coord_instance_describe (struct hk_instance *in, const hk_sync_args *args,
                         int64_t now)
{
  gboolean changed = in->draining != (gboolean)args->draining
                     || in->leaving != (gboolean)args->leaving
                     || capacity_changed (in, args);

  if (in->draining != (gboolean)args->draining)
    hk_log (HK_LOG_INFO, "sync", in->name, NULL,
            "event=instance_%s left_ms=%u", args->draining ? "drains" : "back",
            args->drain_left_ms);
  in->draining = args->draining;
  in->leaving = args->leaving;
  in->drain_until_ms = now + args->drain_left_ms;
  domain_update (in, args);
  if (!args->described)
    return changed;
  if (capacity_changed (in, args))
    {
      in->refusals = 0;
      in->refused_until_ms = 0;
      hk_log (HK_LOG_INFO, "sync", in->name, NULL,
              "event=instance_described pool=%s cpu=%u memory_mb=%u "
              "accelerators=%u born=%" G_GINT64_FORMAT,
              args->pool, args->cpu_milli, args->memory_mb, args->accelerators,
              in->start_time_ms);
    }
  in->capacity_known = TRUE;
  in->pool = text_update (in->pool, args->pool);
  in->cpu_milli = args->cpu_milli;
  in->memory_mb = args->memory_mb;
  in->accelerators = args->accelerators;
  if (labels_update (in, args) && in->link)
    coord_locality_labels_changed (((struct coord_link *)in->link)->c);
  return changed;
}

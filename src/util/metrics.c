/* Counters, gauges and latency histograms of this process, printed in the
   Prometheus text exposition format 0.0.4. */
#include "hyssopkeel/metrics.h"

#include <inttypes.h>
#include <string.h>

#define FIRST_BUCKET_MAX_US 64

static GTree *metrics;
static GTree *histograms;

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void)unused;
  return strcmp (a, b);
}

static gpointer
get_or_create (GTree **tree, const char *name, const char *labels, gsize size)
{
  g_autofree char *key
      = *labels ? g_strdup_printf ("%s{%s}", name, labels) : g_strdup (name);
  gpointer found;

  if (!*tree)
    *tree = g_tree_new_full (compare_keys, NULL, g_free, g_free);
  found = g_tree_lookup (*tree, key);
  if (!found)
    {
      found = g_malloc0 (size);
      g_tree_insert (*tree, g_steal_pointer (&key), found);
    }
  return found;
}

struct hk_metric *
hk_metric_get (const char *name, const char *labels)
{
  return get_or_create (&metrics, name, labels, sizeof (struct hk_metric));
}

struct hk_histogram *
hk_histogram_get (const char *name, const char *labels)
{
  return get_or_create (&histograms, name, labels,
                        sizeof (struct hk_histogram));
}

void
hk_histogram_add (struct hk_histogram *h, int64_t us)
{
  guint i = 0;

  while (i + 1 < G_N_ELEMENTS (h->buckets)
         && us > (int64_t)FIRST_BUCKET_MAX_US << i)
    i++;
  h->buckets[i]++;
  h->count++;
  h->sum_us += (uint64_t)MAX (us, 0);
}

static gboolean
print_metric (gpointer key, gpointer value, gpointer user)
{
  const struct hk_metric *m = value;

  g_string_append_printf (user, "%s %.17g\n", (char *)key, m->value);
  return FALSE;
}

static gboolean
print_histogram (gpointer key, gpointer value, gpointer user)
{
  const struct hk_histogram *h = value;
  g_auto (GStrv) parts = g_strsplit (key, "{", 2);
  const char *rest = parts[1] ? parts[1] : "}";
  g_autofree char *labels = g_strndup (rest, strlen (rest) - 1);
  const char *comma = *labels ? "," : "";
  uint64_t sum = 0;
  GString *out = user;

  for (guint i = 0; i < G_N_ELEMENTS (h->buckets); i++)
    {
      sum += h->buckets[i];
      if (i + 1 < G_N_ELEMENTS (h->buckets))
        g_string_append_printf (
            out, "%s_bucket{%s%sle=\"%.6f\"} %" PRIu64 "\n", parts[0], labels,
            comma, (double)((int64_t)FIRST_BUCKET_MAX_US << i) / 1e6, sum);
    }
  g_string_append_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
                          parts[0], labels, comma, sum);
  g_string_append_printf (out, "%s_sum{%s} %.6f\n", parts[0], labels,
                          (double)h->sum_us / 1e6);
  g_string_append_printf (out, "%s_count{%s} %" PRIu64 "\n", parts[0], labels,
                          h->count);
  return FALSE;
}

char *
hk_metrics_text (void)
{
  GString *out = g_string_new (NULL);

  if (metrics)
    g_tree_foreach (metrics, print_metric, out);
  if (histograms)
    g_tree_foreach (histograms, print_histogram, out);
  return g_string_free (out, FALSE);
}

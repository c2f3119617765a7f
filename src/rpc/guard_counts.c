/* Counters and log lines of limited connections. */
#include "guard_counts.h"

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"

#define LOG_INTERVAL_MS 1000

static const char *const cause_names[HK_GUARD_N_CAUSES]
    = { "header_size",  "empty_lines",  "header_timeout",
        "body_timeout", "idle_timeout", "response_timeout",
        "memory",       "descriptors",  "accept_failed" };

static struct
{
  uint64_t unlogged[HK_GUARD_N_CAUSES];
  int64_t logged_ms;
  struct hk_metric *closed[HK_GUARD_N_CAUSES];
} counts;

void
guard_counts_init (void)
{
  for (int i = 0; i < HK_GUARD_N_CAUSES; i++)
    {
      g_autofree char *labels
          = g_strdup_printf ("cause=\"%s\"", cause_names[i]);

      counts.closed[i]
          = hk_metric_get ("hyssopkeel_connections_limited_total", labels);
    }
}

void
guard_counts_add (enum hk_guard_cause cause)
{
  counts.closed[cause]->value++;
  counts.unlogged[cause]++;
}

gboolean
guard_counts_due (void)
{
  uint64_t sum = 0;

  for (int i = 0; i < HK_GUARD_N_CAUSES; i++)
    sum += counts.unlogged[i];
  return sum > 0 && hk_clock_ms () - counts.logged_ms >= LOG_INTERVAL_MS;
}

void
guard_counts_log (const char *state)
{
  g_autoptr (GString) text = g_string_new ("event=connections_limited");

  for (int i = 0; i < HK_GUARD_N_CAUSES; i++)
    {
      g_string_append_printf (text, " %s=%" G_GUINT64_FORMAT, cause_names[i],
                              counts.unlogged[i]);
      counts.unlogged[i] = 0;
    }
  hk_log (HK_LOG_WARN, "guard", NULL, NULL, "%s %s", text->str, state);
  counts.logged_ms = hk_clock_ms ();
}

/* Crashes of endpoints: which runs ended with them. */
#include "coord.h"

static gboolean
was_ordered (const struct hk_run *run)
{
  return run->inherited || run->ordered_ms || run->started_ms;
}

/* Of an inherited run nothing is known from before the takeover. */
static int64_t
run_age_ms (const struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  int64_t start = run->started_ms ? run->started_ms : run->ordered_ms;

  if (start == 0)
    return -1;
  return now - (run->inherited ? MIN (start, c->taken_over_ms) : start);
}

/* Records that the endpoint of an instance has crashed under @runs, which have
   not been ended yet. */
void
coord_crash_apply (struct hk_coord *c, const struct hk_instance *in,
                   const GPtrArray *runs, const char *why, int64_t now)
{
  const struct hk_run *youngest = NULL;

  for (guint i = 0; i < runs->len; i++)
    {
      const struct hk_run *run = runs->pdata[i];

      if (was_ordered (run)
          && (!youngest
              || run_age_ms (c, run, now) < run_age_ms (c, youngest, now)))
        youngest = run;
    }
  if (!youngest)
    return;
  hk_metric_get ("hyssopkeel_endpoint_crashes_total", "")->value++;
  hk_log (HK_LOG_WARN, "crash", in->name, youngest->task->step->job->spec.id,
          "event=endpoint_crashed why=\"%s\" runs=%u step=%u index=%u run=%u "
          "age_ms=%" G_GINT64_FORMAT,
          why, runs->len, youngest->task->step->index, youngest->task->index,
          youngest->number, run_age_ms (c, youngest, now));
}

/* Agent of an endpoint that runs tasks: adopts what runs, holds it by leases
   while a coordinator grants that, and carries out its orders. */
#include "runner.h"

/* Longest time that leaving may take before the process exits anyway. */
#define LEAVE_MS 900

struct hk_runner *
hk_runner_new (struct hk_store *store, struct hk_runtime *runtime,
               const struct hk_runner_options *options)
{
  struct hk_runner *r = g_new0 (struct hk_runner, 1);

  r->store = store;
  r->runtime = runtime;
  r->name = g_strdup (options->name);
  r->domain = g_strdup (options->domain);
  r->authority = options->authority;
  r->hold_max_ms = options->hold_max_ms;
  TAILQ_INIT (&r->runs);
  hk_pressure_init (&r->pressure);
  return r;
}

void
hk_runner_start (struct hk_runner *r)
{
  runner_sync_start (r);
  runner_hold_start (r);
}

/* Estimate of the endpoint's clock; never ahead by more than its slowness. */
int64_t
runner_clock (const struct hk_runner *r, int64_t now)
{
  return r->clock_at_ms ? r->clock_ms + (now - r->clock_at_ms) : 0;
}

gboolean
runner_granted (const struct hk_runner *r, int64_t now)
{
  return now < r->grant_until_ms;
}

static void
describe (struct hk_runner *r, const struct hk_endpoint_report *report)
{
  if (!r->described)
    hk_log (
        HK_LOG_INFO, "runner", NULL, NULL,
        "event=endpoint pool=%s cpu=%u memory_mb=%u born=%" G_GINT64_FORMAT,
        report->pool, report->cpu_milli, report->memory_mb, report->born_ms);
  g_free (r->pool);
  g_strfreev (r->labels);
  r->pool = g_strdup (report->pool);
  r->labels = g_strdupv (report->labels);
  r->cpu_milli = report->cpu_milli;
  r->memory_mb = report->memory_mb;
  r->accelerators = report->accelerators;
  r->described = TRUE;
}

void
hk_runner_report (struct hk_runner *r, const struct hk_endpoint_report *report)
{
  int64_t now = hk_clock_ms ();
  gboolean changed = !r->described || r->draining != report->draining;

  if (report->born_ms < r->born_ms)
    {
      hk_log (HK_LOG_INFO, "runner", NULL, NULL,
              "event=report_ignored born=%" G_GINT64_FORMAT
              " current=%" G_GINT64_FORMAT,
              report->born_ms, r->born_ms);
      return;
    }
  runner_hold_life (r, report->born_ms);
  describe (r, report);
  if (r->draining != report->draining)
    hk_log (HK_LOG_INFO, "runner", NULL, NULL,
            "event=endpoint_%s left_ms=%" G_GINT64_FORMAT,
            report->draining ? "drains" : "ready", report->drain_left_ms);
  r->draining = report->draining;
  r->leaving_endpoint = report->leaving;
  r->drain_until_ms = now + report->drain_left_ms;
  if (changed)
    runner_news (r);
}

static void
on_leave_over (void *user)
{
  struct hk_runner *r = user;

  if (r->left)
    r->left (r->left_user);
  r->left = NULL;
}

void
hk_runner_leave (struct hk_runner *r, void (*done) (void *user), void *user)
{
  r->leaving = TRUE;
  r->left = done;
  r->left_user = user;
  hk_timer_set (&r->leave_timer, LEAVE_MS, on_leave_over, r);
  runner_news (r);
}

/* The coordinator knows how far the last extension reaches; make it. */
void
runner_leave_granted (struct hk_runner *r)
{
  runner_hold_last (r, on_leave_over);
}

void
hk_runner_free (struct hk_runner *r)
{
  struct runner_run *run;

  hk_timer_clear (&r->leave_timer);
  runner_sync_stop (r);
  runner_hold_stop (r);
  while ((run = TAILQ_FIRST (&r->runs)))
    runner_run_free (run);
  g_free (r->name);
  g_free (r->domain);
  hk_pressure_finish (&r->pressure);
  g_free (r->pool);
  g_strfreev (r->labels);
  g_free (r);
}

/* Agent of an endpoint that runs tasks: adopts running tasks, renews their
   leases under the grant of a coordinator, and carries out its orders. */
#include "runner.h"

/* The process exits after this time even if leaving is incomplete. */
#define LEAVE_TIMEOUT_MS 900

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
  r->lease_max_ms = options->lease_max_ms;
  r->created_ms = hk_clock_ms ();
  TAILQ_INIT (&r->runs);
  TAILQ_INIT (&r->unanswered);
  hk_interference_model_init (&r->interference);
  return r;
}

void
hk_runner_start (struct hk_runner *r)
{
  runner_sync_start (r);
  runner_renew_start (r);
}

/* Estimates the endpoint's clock; 0 before the first list. The estimate runs
   ahead only by as much as that clock runs slow. */
int64_t
runner_endpoint_clock_ms (const struct hk_runner *r, int64_t now)
{
  return r->clock_read_ms ? r->endpoint_clock_ms + (now - r->clock_read_ms)
                          : 0;
}

gboolean
runner_grant_valid (const struct hk_runner *r, int64_t now)
{
  return now < r->grant_until_ms;
}

static gboolean
capacity_changed (const struct hk_runner *r,
                  const struct hk_endpoint_report *report)
{
  return !r->described || r->cpu_milli != report->cpu_milli
         || r->memory_mb != report->memory_mb
         || r->accelerators != report->accelerators;
}

static void
set_description (struct hk_runner *r, const struct hk_endpoint_report *report)
{
  if (capacity_changed (r, report))
    hk_log (HK_LOG_INFO, "runner", NULL, NULL,
            "event=endpoint_described pool=%s cpu=%u memory_mb=%u "
            "accelerators=%u born=%" G_GINT64_FORMAT,
            report->pool, report->cpu_milli, report->memory_mb,
            report->accelerators, report->start_time_ms);
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
  gboolean changed
      = r->draining != report->draining || capacity_changed (r, report);

  if (report->start_time_ms < r->endpoint_start_ms)
    {
      hk_log (HK_LOG_INFO, "runner", NULL, NULL,
              "event=report_ignored born=%" G_GINT64_FORMAT
              " current=%" G_GINT64_FORMAT,
              report->start_time_ms, r->endpoint_start_ms);
      return;
    }
  runner_incarnation_update (r, report->start_time_ms);
  set_description (r, report);
  if (r->draining != report->draining)
    hk_log (HK_LOG_INFO, "runner", NULL, NULL,
            "event=endpoint_%s left_ms=%" G_GINT64_FORMAT,
            report->draining ? "drains" : "ready", report->drain_left_ms);
  r->draining = report->draining;
  r->endpoint_leaving = report->leaving;
  r->drain_until_ms = now + report->drain_left_ms;
  if (changed)
    runner_report_schedule (r);
}

static void
on_leave_done (void *user)
{
  struct hk_runner *r = user;

  if (r->on_left)
    r->on_left (r->on_left_user);
  r->on_left = NULL;
}

void
hk_runner_leave (struct hk_runner *r, void (*done) (void *user), void *user)
{
  r->leaving = TRUE;
  r->on_left = done;
  r->on_left_user = user;
  hk_timer_set (&r->leave_timer, LEAVE_TIMEOUT_MS, on_leave_done, r);
  runner_report_schedule (r);
}

/* Sends the last renewal. The coordinator has answered the report that
   announces it, and waits until these longer leases are over. */
void
runner_leave_acknowledged (struct hk_runner *r)
{
  runner_renew_last (r, on_leave_done);
}

void
hk_runner_free (struct hk_runner *r)
{
  struct runner_run *run;

  hk_timer_clear (&r->leave_timer);
  runner_sync_stop (r);
  runner_renew_stop (r);
  while ((run = TAILQ_FIRST (&r->runs)))
    runner_run_remove (run);
  runner_unanswered_clear (r);
  g_free (r->name);
  g_free (r->domain);
  hk_interference_model_finish (&r->interference);
  g_free (r->pool);
  g_strfreev (r->labels);
  g_free (r);
}

/* Reports that the endpoint sends of itself. A report that names another
   incarnation than the present one is used once the endpoint has confirmed
   that this incarnation lives: the report may be late, odd, or another's. */
#include "runner.h"

/* Pause before an endpoint that did not answer is asked again. */
#define CONFIRM_RETRY_MS 100
/* After so many attempts the next report is waited for. */
#define CONFIRM_ATTEMPTS_MAX 8

struct confirmation
{
  struct hk_runner *r;
  unsigned generation;
};

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

static void
apply_report (struct hk_runner *r, const struct hk_endpoint_report *report)
{
  gboolean changed
      = r->draining != report->draining || capacity_changed (r, report);

  set_description (r, report);
  if (r->draining != report->draining)
    hk_log (HK_LOG_INFO, "runner", NULL, NULL,
            "event=endpoint_%s left_ms=%" G_GINT64_FORMAT,
            report->draining ? "drains" : "ready", report->drain_left_ms);
  r->draining = report->draining;
  r->endpoint_leaving = report->leaving;
  r->drain_until_ms = hk_clock_ms () + report->drain_left_ms;
  if (changed)
    runner_report_schedule (r);
}

static void
log_unused (const struct hk_endpoint_report *report, const char *why,
            const struct hk_runner *r)
{
  hk_log (HK_LOG_INFO, "runner", NULL, NULL,
          "event=report_ignored why=\"%s\" instance=%s present=%s "
          "born=%" G_GINT64_FORMAT " present_born=%" G_GINT64_FORMAT
          " sequence=%" G_GINT64_FORMAT " last_sequence=%" G_GINT64_FORMAT,
          why, report->instance ? report->instance : "-",
          r->instance ? r->instance : "-", report->start_time_ms,
          r->endpoint_start_ms, report->sequence, r->report_order.last);
}

static void
process_present (struct hk_runner *r, const struct hk_endpoint_report *report)
{
  switch (hk_report_order_check (&r->report_order, report->sequence,
                                 hk_clock_ms ()))
    {
    case HK_REPORT_ACCEPTED:
      apply_report (r, report);
      return;
    case HK_REPORT_LATE:
      log_unused (report, "a newer one came before", r);
      return;
    case HK_REPORT_IMPLAUSIBLE:
    default:
      log_unused (report, "its number cannot have been reached", r);
    }
}

/* Unconfirmed incarnations */

static void
drop_candidate (struct hk_runner *r)
{
  struct hk_endpoint_report *c = &r->candidate;

  hk_timer_clear (&r->confirm_timer);
  r->confirm_generation++;
  g_free ((char *)c->instance);
  g_free ((char *)c->pool);
  g_strfreev (c->labels);
  memset (c, 0, sizeof *c);
}

static void
keep_candidate (struct hk_runner *r, const struct hk_endpoint_report *report)
{
  drop_candidate (r);
  r->candidate = *report;
  r->candidate.instance = g_strdup (report->instance);
  r->candidate.pool = g_strdup (report->pool);
  r->candidate.labels = g_strdupv (report->labels);
  r->confirm_attempts = 0;
}

static void
adopt_candidate (struct hk_runner *r)
{
  hk_log (HK_LOG_INFO, "runner", NULL, NULL,
          "event=endpoint_identified instance=%s before=%s "
          "born=%" G_GINT64_FORMAT,
          r->candidate.instance ? r->candidate.instance : "-",
          r->instance ? r->instance : "-", r->candidate.start_time_ms);
  g_free (r->instance);
  r->instance = g_strdup (r->candidate.instance);
  r->runtime->ops->address (r->runtime, r->instance);
  runner_incarnation_update (r, r->candidate.start_time_ms);
  hk_report_order_init (&r->report_order);
  process_present (r, &r->candidate);
  drop_candidate (r);
}

static void ask_endpoint (struct hk_runner *r);

static void
on_confirm_timer (void *user)
{
  ask_endpoint (user);
}

static void
on_identified (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
               const struct hk_error *err, void *user)
{
  struct confirmation *c = user;
  struct hk_runner *r = c->r;
  gboolean current = c->generation == r->confirm_generation;

  (void)clock_ms;
  g_free (c);
  if (!current)
    return;
  if (rc == HK_OK && list->start_time_ms == r->candidate.start_time_ms)
    adopt_candidate (r);
  else if (rc == HK_OK || rc == HK_ERR_NOT_FOUND)
    {
      log_unused (&r->candidate, "the endpoint is another incarnation", r);
      drop_candidate (r);
    }
  else if (++r->confirm_attempts < CONFIRM_ATTEMPTS_MAX)
    hk_timer_set (&r->confirm_timer, CONFIRM_RETRY_MS, on_confirm_timer, r);
  else
    {
      log_unused (&r->candidate, err->text, r);
      drop_candidate (r);
    }
}

static void
ask_endpoint (struct hk_runner *r)
{
  struct confirmation *c = g_new0 (struct confirmation, 1);

  c->r = r;
  c->generation = r->confirm_generation;
  r->runtime->ops->identify (r->runtime, r->candidate.instance,
                             runner_fence (r), on_identified, c);
}

void
hk_runner_report (struct hk_runner *r, const struct hk_endpoint_report *report)
{
  if (g_strcmp0 (report->instance, r->instance) == 0
      && report->start_time_ms == r->endpoint_start_ms)
    {
      process_present (r, report);
      return;
    }
  keep_candidate (r, report);
  ask_endpoint (r);
}

void
runner_report_finish (struct hk_runner *r)
{
  drop_candidate (r);
  g_free (r->instance);
}

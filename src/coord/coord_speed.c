/* Speed of best-effort runs, as expected at their placement and as observed
   over their life. Both are in log lines that are written once a run, so that
   tools/speed_calibration.sh can compare them. */
#include "coord.h"

#include "hyssopkeel/job_placement.h"

static gboolean
is_best_effort (const struct hk_run *run)
{
  return (run->task->step->spec->flags & HK_STEP_BEST_EFFORT) != 0;
}

void
coord_speed_expect (struct hk_run *run, const struct hk_job_place_view *v,
                    int64_t now)
{
  run->expected_speed = v->expected_speed;
  run->expected_first = v->first_speed;
  run->expected_usage = v->headroom_usage;
  run->unknown_pairs = v->unknown_pairs;
  run->sample_age_ms = now - run->instance->last_report_ms;
}

/* Adds the time since the last report, at the speed that it showed. @percent
   is the speed in this one. */
void
coord_speed_observe (struct hk_run *run, unsigned percent, int64_t now)
{
  gboolean seen = run->started_ms && run->reported_ms;
  gboolean was_still = seen && run->speed_percent == 0;
  int64_t past_ms = seen ? now - run->reported_ms : 0;

  run->full_speed_ms += (double)past_ms * run->speed_percent / 100.0;
  if (was_still)
    run->still_ms += past_ms;
  if (percent == 0 && run->started_ms && !was_still)
    run->stills++;
}

/* Run time of a run as if at full speed: time at reduced speed counts in
   proportion. */
double
coord_speed_full_ms (const struct hk_run *run, int64_t now)
{
  return run->full_speed_ms
         + (double)(now - run->reported_ms) * run->speed_percent / 100.0;
}

const char *
coord_speed_describe_expected (const struct hk_run *run, char *text)
{
  *text = '\0';
  if (is_best_effort (run) && !run->inherited)
    g_snprintf (text, COORD_SPEED_TEXT_MAX,
                " expected=%.2f first=%.2f usage=%.2f unknown=%u "
                "sample_ms=%" G_GINT64_FORMAT,
                run->expected_speed, run->expected_first,
                MIN (run->expected_usage, 99.0), run->unknown_pairs,
                run->sample_age_ms);
  return text;
}

const char *
coord_speed_describe (const struct hk_run *run, char *text, int64_t now)
{
  int64_t ran_ms = run->started_ms ? now - run->started_ms : 0;
  int64_t still_ms = run->still_ms;

  *text = '\0';
  if (!is_best_effort (run) || ran_ms <= 0)
    return text;
  if (run->speed_percent == 0)
    still_ms += now - run->reported_ms;
  g_snprintf (text, COORD_SPEED_TEXT_MAX,
              " speed=%.2f percent=%u stills=%u still_ms=%" G_GINT64_FORMAT,
              MIN (coord_speed_full_ms (run, now) / (double)ran_ms, 1.0),
              run->progress_percent, run->stills, still_ms);
  return text;
}

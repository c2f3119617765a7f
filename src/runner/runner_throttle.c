/* Throttles best-effort tasks by the tail latency of the service tasks beside
   them. Guards against interference that differs by pair of images and changes
   within seconds. */
#include "runner.h"

/* Smaller changes of the speed, in percent of full speed, are not worth a
   call. */
#define THROTTLE_STEP_PERCENT 4
/* Time until the samples show a change: the delay of the call plus a sampling
   window of half a second. */
#define THROTTLE_SETTLE_MS 600
/* Lists that follow a change sooner than this have mostly the samples of
   before: the window of a sample is half a second, and lists also come when
   runs end. */
#define THROTTLE_SAMPLE_MS 300
/* Least time between a call that failed and the next one. */
#define THROTTLE_RETRY_MS 300
/* A call without a reply may overtake the one that replaced it. The speed is
   ordered again this long after the unanswered call, then each time that its
   age has doubled. */
#define THROTTLE_CONFIRM_MS 1000

/* Until a call is answered, the speed counts as the lowest that the run may
   have. */
static void
handle_failure (struct runner_run *run, int rc, const struct hk_error *err)
{
  run->throttle_failed = TRUE;
  hk_log (HK_LOG_WARN, "runner", err->peer, run->task.job,
          "event=throttle_failed percent=%u unknown=%d cause=\"%s\"",
          run->speed_requested_percent, runner_call_in_doubt (rc), err->text);
  if (!runner_call_in_doubt (rc))
    return;
  run->speed_unknown = TRUE;
  run->throttle_in_doubt_ms = run->throttle_sent_ms;
  run->speed_percent = MIN (run->speed_percent, run->speed_requested_percent);
}

static void
on_throttled (int rc, const struct hk_runtime_list *list, int64_t clock_ms,
              const struct hk_error *err, void *user)
{
  struct runner_run *run = user;

  (void)list;
  (void)clock_ms;
  run->open_calls--;
  run->throttle_pending = FALSE;
  if (run->unlinked)
    {
      if (run->open_calls == 0)
        runner_run_free (run);
      return;
    }
  if (rc != HK_OK)
    {
      handle_failure (run, rc, err);
      return;
    }
  if (run->speed_unknown)
    run->throttled_ms = run->r->throttle_set_ms = run->throttle_sent_ms;
  if (run->throttle_sent_ms - run->throttle_in_doubt_ms
      > RUNNER_DELIVERY_MAX_MS)
    run->throttle_in_doubt_ms = 0;
  run->throttle_failed = FALSE;
  run->speed_unknown = FALSE;
  run->speed_percent = run->speed_requested_percent;
}

static gboolean
is_service (const struct runner_run *run)
{
  return run->state == RUN_RUNNING && run->target_ms > 0
         && !(run->flags & HK_STEP_BEST_EFFORT);
}

static gboolean
is_best_effort (const struct runner_run *run)
{
  return run->state == RUN_RUNNING && (run->flags & HK_STEP_BEST_EFFORT);
}

/* Collects the images of service tasks, with the least headroom of each. */
static void
collect_services (const struct hk_runner *r, GPtrArray *images,
                  GArray *headrooms)
{
  const struct runner_run *run;

  TAILQ_FOREACH (run, &r->runs, link)
  if (is_service (run))
    {
      double headroom = (double)run->target_ms / MAX (run->load_sample, 1);
      guint i = 0;

      while (i < images->len && strcmp (images->pdata[i], run->image) != 0)
        i++;
      if (i == images->len)
        {
          g_ptr_array_add (images, run->image);
          g_array_append_val (headrooms, headroom);
        }
      else if (headroom < g_array_index (headrooms, double, i))
        g_array_index (headrooms, double, i) = headroom;
    }
}

/* Whether a call without a reply may have replaced the speed since it was last
   confirmed. */
static gboolean
confirmation_is_due (const struct runner_run *run, int64_t now)
{
  int64_t age_ms = run->throttle_sent_ms - run->throttle_in_doubt_ms;

  return run->throttle_in_doubt_ms
         && now - run->throttle_in_doubt_ms
                >= MAX (THROTTLE_CONFIRM_MS, 2 * age_ms);
}

/* Whether to order the speed now. */
static gboolean
call_is_due (const struct runner_run *run, unsigned percent, int64_t now)
{
  unsigned change = run->speed_percent > percent
                        ? run->speed_percent - percent
                        : percent - run->speed_percent;

  if (run->throttle_pending
      || (run->throttle_failed
          && now - run->throttle_sent_ms < THROTTLE_RETRY_MS))
    return FALSE;
  if (run->speed_unknown || confirmation_is_due (run, now))
    return TRUE;
  return change >= THROTTLE_STEP_PERCENT
         || (change > 0 && (percent == 0 || percent == 100));
}

static void
throttle_run (struct hk_runner *r, struct runner_run *run, unsigned percent,
              int64_t now)
{
  if (!call_is_due (run, percent, now))
    return;
  run->throttle_pending = TRUE;
  run->open_calls++;
  run->throttle_sent_ms = now;
  if (percent != run->speed_requested_percent)
    {
      run->throttled_ms = now;
      r->throttle_set_ms = now;
    }
  run->speed_requested_percent = percent;
  r->runtime->ops->throttle (r->runtime, &run->task, run->number, percent,
                             runner_fence (r), on_throttled, run);
}

/* Logs one line per run and list, to trace which image interferes with
   which. */
static void
log_samples (const struct hk_runner *r)
{
  const struct runner_run *run;

  if (!hk_log_enabled (HK_LOG_DEBUG))
    return;
  TAILQ_FOREACH (run, &r->runs, link)
  if (is_service (run) || is_best_effort (run))
    hk_log (HK_LOG_DEBUG, "pace", NULL, run->task.job,
            "event=load_sample image=%s fills=%d figure=%u target=%u pace=%u "
            "cpu=%u",
            run->image, is_best_effort (run), run->load_sample, run->target_ms,
            run->speed_percent, run->cpu_milli);
}

static unsigned
collect_best_effort (const struct hk_runner *r, const GPtrArray *images,
                     struct hk_throttle_task *best_effort,
                     double *interference, int64_t now)
{
  const struct runner_run *run;
  double total = (double)MAX (r->cpu_milli, 1);
  unsigned n = 0;

  TAILQ_FOREACH (run, &r->runs, link)
  if (is_best_effort (run))
    {
      best_effort[n].full_cpu_share = run->cpu_milli / total;
      best_effort[n].used_cpu_share = run->load_sample / total;
      best_effort[n].speed_percent = run->speed_percent;
      best_effort[n].settled = now - run->throttled_ms >= THROTTLE_SETTLE_MS;
      best_effort[n].changed_recently
          = now - run->throttled_ms < THROTTLE_SAMPLE_MS;
      for (guint t = 0; t < images->len; t++)
        interference[n * images->len + t] = hk_interference_model_get (
            &r->interference, images->pdata[t], run->image);
      n++;
    }
  return n;
}

static int64_t
time_over_target_ms (struct hk_runner *r, const GArray *headrooms, int64_t now)
{
  gboolean over = FALSE;

  for (guint t = 0; t < headrooms->len; t++)
    over = over || g_array_index (headrooms, double, t) <= 1.0;
  if (!over)
    r->over_target_since_ms = 0;
  else if (!r->over_target_since_ms)
    r->over_target_since_ms = now;
  return over ? now - r->over_target_since_ms : 0;
}

void
runner_throttle_update (struct hk_runner *r, int64_t now)
{
  g_autoptr (GPtrArray) images = g_ptr_array_new ();
  g_autoptr (GArray) headrooms = g_array_new (FALSE, FALSE, sizeof (double));
  g_autofree struct hk_throttle_task *best_effort
      = g_new0 (struct hk_throttle_task, r->n_runs + 1);
  g_autofree double *interference = NULL;
  struct hk_throttle_view v = { .tasks = best_effort };
  struct runner_run *run;
  unsigned n = 0;

  collect_services (r, images, headrooms);
  v.over_target_ms = time_over_target_ms (r, headrooms, now);
  interference = g_new0 (double, (gsize)(r->n_runs + 1) * (images->len + 1));
  v.n_tasks = collect_best_effort (r, images, best_effort, interference, now);
  if (v.n_tasks == 0)
    return;
  log_samples (r);
  v.interference = interference;
  v.headroom = (const double *)headrooms->data;
  v.n_serving = headrooms->len;
  v.settled = now - r->throttle_set_ms >= THROTTLE_SETTLE_MS;
  hk_throttle_decide (&v);
  TAILQ_FOREACH (run, &r->runs, link)
  if (is_best_effort (run))
    throttle_run (r, run, best_effort[n++].speed_percent, now);
}

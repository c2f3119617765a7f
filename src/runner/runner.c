/* Agent of an endpoint that runs tasks: adopts running tasks, renews their
   leases under the grant of a coordinator, and carries out its orders. */
#include "runner.h"

/* The process exits after this time even if leaving is incomplete. */
#define LEAVE_TIMEOUT_MS 900
/* A fence is a term and an epoch, and fits the 53 bits of a JSON number: two
   million terms, and an epoch of 13 years on the machine's clock, which goes
   on while agents restart. */
#define FENCE_TERM_SHIFT 32
#define FENCE_EPOCH_MASK ((UINT64_C (1) << FENCE_TERM_SHIFT) - 1)
#define FENCE_EPOCH_MS 100

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
  hk_report_order_init (&r->report_order);
  runner_fence_raise (r);
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

/* The endpoint rejects calls with a lower fence than the highest that it has
   seen, so a successor's orders win over those of a former coordinator. */
uint64_t
runner_fence (const struct hk_runner *r)
{
  return (r->term << FENCE_TERM_SHIFT) | r->fence_epoch;
}

/* The present incarnation, once it has seen the raised fence, rejects the
   starts that were sent to earlier ones, also by former agents. */
void
runner_fence_raise (struct hk_runner *r)
{
  uint64_t epoch = (uint64_t)hk_clock_ms () / FENCE_EPOCH_MS;

  r->fence_epoch = MAX (r->fence_epoch + 1, epoch) & FENCE_EPOCH_MASK;
}

gboolean
runner_grant_valid (const struct hk_runner *r, int64_t now)
{
  return now < r->grant_until_ms;
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
  runner_report_finish (r);
  g_free (r->name);
  g_free (r->domain);
  hk_interference_model_finish (&r->interference);
  g_free (r->pool);
  g_strfreev (r->labels);
  g_free (r);
}

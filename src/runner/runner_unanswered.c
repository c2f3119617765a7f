/* Starts without a reply, kept after their runs have ended. A delayed copy may
   reach the next incarnation of the endpoint, which knows neither the run nor
   its end, so it is told to stop the run before it can start. */
#include "runner.h"

struct runner_unanswered
{
  hk_task_id task;
  unsigned number;
  int64_t sent_ms;
  TAILQ_ENTRY (runner_unanswered) link;
};

static void
unanswered_free (struct hk_runner *r, struct runner_unanswered *u)
{
  TAILQ_REMOVE (&r->unanswered, u, link);
  g_free (u->task.job);
  g_free (u);
}

/* The oldest are first. */
static void
drop_delivered (struct hk_runner *r, int64_t now)
{
  struct runner_unanswered *u;

  while ((u = TAILQ_FIRST (&r->unanswered))
         && now - u->sent_ms > RUNNER_DELIVERY_MAX_MS)
    unanswered_free (r, u);
}

/* To be called before a run is removed. */
void
runner_unanswered_keep (struct runner_run *run)
{
  struct hk_runner *r = run->r;
  struct runner_unanswered *u;
  int64_t now = hk_clock_ms ();

  drop_delivered (r, now);
  if (!run->start_in_doubt
      && (run->state != RUN_STARTING || run->open_calls == 0))
    return;
  u = g_new0 (struct runner_unanswered, 1);
  u->task = run->task;
  u->task.job = g_strdup (run->task.job);
  u->number = run->number;
  u->sent_ms = now;
  TAILQ_INSERT_TAIL (&r->unanswered, u, link);
}

/* To be called when another incarnation of the endpoint was found. The starts
   are kept, as the one after it knows nothing of these stops. */
void
runner_unanswered_stop (struct hk_runner *r)
{
  const struct runner_unanswered *u;
  unsigned n = 0;

  drop_delivered (r, hk_clock_ms ());
  TAILQ_FOREACH (u, &r->unanswered, link)
  {
    n++;
    runner_run_stop (r, &u->task, u->number);
  }
  if (n > 0)
    hk_log (HK_LOG_INFO, "runner", NULL, NULL,
            "event=unanswered_starts_stopped runs=%u "
            "born=%" G_GINT64_FORMAT,
            n, r->endpoint_start_ms);
}

void
runner_unanswered_clear (struct hk_runner *r)
{
  while (!TAILQ_EMPTY (&r->unanswered))
    unanswered_free (r, TAILQ_FIRST (&r->unanswered));
}

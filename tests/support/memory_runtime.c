/* In-process fake of an endpoint that replies from the main loop. Injects lost
   replies, delayed calls, stale lists, failures, crashes and restarts. */
#include "memory_runtime.h"

#include <string.h>

#include "hyssopkeel/clock.h"

/* Longest lease that it accepts. */
#define LEASE_MAX_MS 6000

struct run
{
  hk_task_id task;
  unsigned number;
  int64_t end_at_ms;
  gboolean fails;
  gboolean ended;
  gboolean stopping;
  gboolean stopped_before_start; /* kept to refuse a start that arrives after
                                    the stop */
  hk_end_how how;
  uint64_t seq;
  unsigned speed_percent;
};

struct pending_reply
{
  struct memory_runtime *rt;
  int rc;
  gboolean list;
  hk_runtime_done done;
  void *user;
};

struct delayed_start
{
  hk_task_id task;
  unsigned number;
  int64_t deadline_ms;
  uint64_t fence;
};

struct delayed_throttle
{
  hk_task_id task;
  unsigned number;
  unsigned percent;
  uint64_t fence;
};

static gboolean
same_task (const hk_task_id *a, const hk_task_id *b)
{
  return a->step == b->step && a->index == b->index
         && strcmp (a->job, b->job) == 0;
}

static void
end_run (struct memory_runtime *rt, struct run *run, hk_end_how how)
{
  run->ended = TRUE;
  run->how = how;
  run->seq = rt->next_seq++;
}

/* Ends the runs whose lease or work time is over. */
static void
update_runs (struct memory_runtime *rt)
{
  int64_t now = hk_clock_ms ();

  for (guint i = 0; i < rt->runs->len; i++)
    {
      struct run *run = rt->runs->pdata[i];

      if (run->ended)
        continue;
      if (now > rt->lease_end_ms)
        end_run (rt, run, HK_END_LEASE_EXPIRED);
      else if (now >= run->end_at_ms)
        end_run (rt, run,
                 run->stopping ? HK_END_STOPPED
                 : run->fails  ? HK_END_FAILED
                               : HK_END_DONE);
    }
}

static gboolean
deliver_reply (gpointer data)
{
  struct pending_reply *a = data;
  struct memory_runtime *rt = a->rt;
  struct hk_runtime_list list
      = { .clock_ms = hk_clock_ms (), .start_time_ms = rt->start_time_ms };
  struct hk_error err = { 0 };
  gboolean hide = FALSE;
  g_autofree char *checkpoint = g_strnfill (rt->checkpoint_bytes, 'c');
  g_autofree struct hk_runtime_run *runs
      = g_new0 (struct hk_runtime_run, rt->runs->len + 1);
  g_autofree struct hk_runtime_end *ends
      = g_new0 (struct hk_runtime_end, rt->runs->len + 1);

  update_runs (rt);
  if (a->list && rt->stale_lists > 0)
    {
      rt->stale_lists--;
      hide = TRUE;
    }
  list.runs = runs;
  list.ends = ends;
  for (guint i = 0; i < rt->runs->len && a->list; i++)
    {
      struct run *run = rt->runs->pdata[i];

      if (hide && !run->ended)
        continue;
      if (!run->ended)
        runs[list.n_runs++] = (struct hk_runtime_run){
          .task = run->task, .run = run->number, .checkpoint = checkpoint
        };
      else if (!run->stopped_before_start && run->seq > rt->acked_seq)
        ends[list.n_ends++]
            = (struct hk_runtime_end){ .task = run->task,
                                       .run = run->number,
                                       .seq = run->seq,
                                       .how = run->how,
                                       .checkpoint = checkpoint };
    }
  hk_error_set (&err, a->rc, "runtime", "memory", "fault on command");
  a->done (a->rc, &list, list.clock_ms, &err, a->user);
  g_free (a);
  return G_SOURCE_REMOVE;
}

static void
schedule_reply (struct memory_runtime *rt, int rc, gboolean list,
                hk_runtime_done done, void *user)
{
  struct pending_reply *a = g_new0 (struct pending_reply, 1);

  a->rt = rt;
  a->rc = rt->unreachable ? HK_ERR_UNAVAILABLE
          : rt->silent    ? HK_ERR_TIMEOUT
                          : rc;
  a->list = list;
  a->done = done;
  a->user = user;
  g_timeout_add (a->rc == HK_ERR_TIMEOUT ? 60 : 1, deliver_reply, a);
}

static gboolean
misaddressed (const struct memory_runtime *rt)
{
  return rt->addressed && g_strcmp0 (rt->addressed, rt->instance) != 0;
}

static int
start_run (struct memory_runtime *rt, const hk_task_id *task, unsigned number,
           int64_t deadline_ms, uint64_t fence)
{
  struct run *run;
  int concurrent_runs = 1;
  gboolean excess = memory_runtime_n_running (rt) >= rt->capacity;

  rt->n_start_calls++;
  if (fence < rt->fence || hk_clock_ms () > deadline_ms)
    return HK_ERR_CONFLICT;
  rt->fence = fence;
  rt->lease_end_ms = MAX (rt->lease_end_ms, deadline_ms);
  for (guint i = 0; i < rt->runs->len; i++)
    {
      run = rt->runs->pdata[i];
      if (!same_task (&run->task, task))
        continue;
      if (!run->ended && run->number == number)
        return HK_OK;
      if (run->ended && run->number >= number)
        return HK_ERR_CONFLICT;
      if (!run->ended)
        concurrent_runs++;
      if (run->ended && run->how == HK_END_DONE)
        rt->started_after_done++;
    }
  if (excess && rt->rejects_excess)
    return HK_ERR_CONFLICT;
  if (excess)
    rt->n_excess_starts++;
  rt->max_concurrent_runs = MAX (rt->max_concurrent_runs, concurrent_runs);
  rt->n_started++;
  run = g_new0 (struct run, 1);
  run->task = *task;
  run->task.job = g_strdup (task->job);
  run->number = number;
  run->end_at_ms = hk_clock_ms () + rt->work_ms;
  run->speed_percent = 100;
  if (rt->fail_next > 0)
    {
      rt->fail_next--;
      run->fails = TRUE;
    }
  g_ptr_array_add (rt->runs, run);
  return HK_OK;
}

static void
runtime_start (struct hk_runtime *base, const struct hk_runtime_start *order,
               hk_runtime_done done, void *user)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;
  int rc;

  rt->resumed_bytes = MAX (rt->resumed_bytes, strlen (order->checkpoint));
  if (rt->delay_starts > 0)
    {
      struct delayed_start *start = g_new0 (struct delayed_start, 1);

      rt->delay_starts--;
      start->task = order->task;
      start->task.job = g_strdup (order->task.job);
      start->number = order->run;
      start->deadline_ms = order->deadline_ms;
      start->fence = order->fence;
      g_ptr_array_add (rt->delayed, start);
      schedule_reply (rt, HK_ERR_TIMEOUT, FALSE, done, user);
      return;
    }
  rc = rt->unreachable     ? HK_ERR_UNAVAILABLE
       : rt->silent        ? HK_ERR_TIMEOUT
       : misaddressed (rt) ? HK_ERR_NOT_FOUND
                           : start_run (rt, &order->task, order->run,
                                        order->deadline_ms, order->fence);
  if (rt->drop_start_replies > 0 && rc == HK_OK)
    {
      rt->drop_start_replies--;
      rc = HK_ERR_TIMEOUT;
    }
  schedule_reply (rt, rc, FALSE, done, user);
}

static void
runtime_stop (struct hk_runtime *base, const hk_task_id *task, unsigned number,
              uint64_t fence, hk_runtime_done done, void *user)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;
  struct run *found = NULL;

  if (misaddressed (rt) || fence < rt->fence)
    {
      schedule_reply (rt,
                      misaddressed (rt) ? HK_ERR_NOT_FOUND : HK_ERR_CONFLICT,
                      FALSE, done, user);
      return;
    }
  rt->fence = fence;
  update_runs (rt);
  for (guint i = 0; i < rt->runs->len; i++)
    {
      struct run *run = rt->runs->pdata[i];

      if (same_task (&run->task, task) && run->number == number)
        found = run;
    }
  if (!found)
    {
      found = g_new0 (struct run, 1);
      found->task = *task;
      found->task.job = g_strdup (task->job);
      found->number = number;
      found->ended = found->stopped_before_start = TRUE;
      found->how = HK_END_STOPPED;
      g_ptr_array_add (rt->runs, found);
    }
  else if (!found->ended && !found->stopping)
    {
      found->stopping = TRUE;
      found->end_at_ms = hk_clock_ms () + rt->stop_ms;
      update_runs (rt);
    }
  schedule_reply (rt, HK_OK, FALSE, done, user);
}

static void
runtime_hold (struct hk_runtime *base, int64_t deadline_ms, uint64_t fence,
              uint64_t acked_seq, int64_t wait_ms, hk_runtime_done done,
              void *user)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;

  (void)wait_ms;
  if (misaddressed (rt) || fence < rt->fence)
    {
      schedule_reply (rt,
                      misaddressed (rt) ? HK_ERR_NOT_FOUND : HK_ERR_CONFLICT,
                      TRUE, done, user);
      return;
    }
  if (!rt->unreachable && !rt->silent)
    {
      update_runs (rt);
      rt->fence = MAX (rt->fence, fence);
      rt->lease_end_ms = MAX (rt->lease_end_ms, deadline_ms);
      rt->acked_seq = MAX (rt->acked_seq, acked_seq);
    }
  schedule_reply (rt, HK_OK, TRUE, done, user);
}

static int
throttle_run (struct memory_runtime *rt, const hk_task_id *task,
              unsigned number, unsigned percent, uint64_t fence)
{
  if (fence < rt->fence)
    return HK_ERR_CONFLICT;
  rt->fence = fence;
  for (guint i = 0; i < rt->runs->len; i++)
    {
      struct run *run = rt->runs->pdata[i];

      if (same_task (&run->task, task) && run->number == number)
        run->speed_percent = percent;
    }
  return HK_OK;
}

static void
delay_throttle (struct memory_runtime *rt, const hk_task_id *task,
                unsigned number, unsigned percent, uint64_t fence)
{
  struct delayed_throttle *call = g_new0 (struct delayed_throttle, 1);

  call->task = *task;
  call->task.job = g_strdup (task->job);
  call->number = number;
  call->percent = percent;
  call->fence = fence;
  g_ptr_array_add (rt->delayed_throttles, call);
}

static void
runtime_throttle (struct hk_runtime *base, const hk_task_id *task,
                  unsigned number, unsigned percent, uint64_t fence,
                  hk_runtime_done done, void *user)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;
  int rc = HK_ERR_TIMEOUT;

  rt->n_throttle_calls++;
  if (rt->delay_throttles > 0)
    {
      rt->delay_throttles--;
      delay_throttle (rt, task, number, percent, fence);
    }
  else if (misaddressed (rt))
    rc = HK_ERR_NOT_FOUND;
  else if (!rt->unreachable && !rt->silent)
    rc = throttle_run (rt, task, number, percent, fence);
  if (rt->drop_throttle_replies > 0 && rc == HK_OK)
    {
      rt->drop_throttle_replies--;
      rc = HK_ERR_TIMEOUT;
    }
  schedule_reply (rt, rc, FALSE, done, user);
}

static void
runtime_identify (struct hk_runtime *base, const char *instance,
                  uint64_t fence, hk_runtime_done done, void *user)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;
  gboolean other = instance && g_strcmp0 (instance, rt->instance) != 0;

  (void)fence;
  schedule_reply (rt, other ? HK_ERR_NOT_FOUND : HK_OK, FALSE, done, user);
}

static void
runtime_address (struct hk_runtime *base, const char *instance)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;

  g_free (rt->addressed);
  rt->addressed = g_strdup (instance);
}

static const struct hk_runtime_ops ops = { .start = runtime_start,
                                           .stop = runtime_stop,
                                           .renew = runtime_hold,
                                           .throttle = runtime_throttle,
                                           .identify = runtime_identify,
                                           .address = runtime_address };

static void
free_run (gpointer data)
{
  struct run *run = data;

  g_free (run->task.job);
  g_free (run);
}

static void
free_delayed (gpointer data)
{
  struct delayed_start *start = data;

  g_free (start->task.job);
  g_free (start);
}

static void
free_delayed_throttle (gpointer data)
{
  struct delayed_throttle *call = data;

  g_free (call->task.job);
  g_free (call);
}

void
memory_runtime_init (struct memory_runtime *rt)
{
  memset (rt, 0, sizeof *rt);
  rt->base.ops = &ops;
  rt->start_time_ms = 1000;
  rt->work_ms = 50;
  rt->capacity = G_MAXINT;
  rt->next_seq = 1;
  rt->runs = g_ptr_array_new_with_free_func (free_run);
  rt->delayed = g_ptr_array_new_with_free_func (free_delayed);
  rt->delayed_throttles
      = g_ptr_array_new_with_free_func (free_delayed_throttle);
}

void
memory_runtime_finish (struct memory_runtime *rt)
{
  g_ptr_array_unref (rt->runs);
  g_ptr_array_unref (rt->delayed);
  g_ptr_array_unref (rt->delayed_throttles);
  g_free (rt->addressed);
}

void
memory_runtime_apply_delayed (struct memory_runtime *rt)
{
  for (guint i = 0; i < rt->delayed->len; i++)
    {
      struct delayed_start *start = rt->delayed->pdata[i];

      if (start_run (rt, &start->task, start->number, start->deadline_ms,
                     rt->delayed_ignore_fence ? rt->fence : start->fence)
          != HK_OK)
        rt->n_refused++;
    }
  g_ptr_array_set_size (rt->delayed, 0);
  for (guint i = 0; i < rt->delayed_throttles->len; i++)
    {
      struct delayed_throttle *call = rt->delayed_throttles->pdata[i];

      throttle_run (rt, &call->task, call->number, call->percent, call->fence);
    }
  g_ptr_array_set_size (rt->delayed_throttles, 0);
}

void
memory_runtime_restart (struct memory_runtime *rt)
{
  /* The clock starts anew, so that no delayed start is late. */
  for (guint i = 0; i < rt->delayed->len; i++)
    ((struct delayed_start *)rt->delayed->pdata[i])->deadline_ms
        = hk_clock_ms () + LEASE_MAX_MS;
  g_ptr_array_set_size (rt->runs, 0);
  rt->start_time_ms++;
  rt->acked_seq = 0;
  rt->next_seq = 1;
  rt->fence = 0;
  rt->lease_end_ms = 0;
}

void
memory_runtime_end_all (struct memory_runtime *rt)
{
  update_runs (rt);
  for (guint i = 0; i < rt->runs->len; i++)
    {
      struct run *run = rt->runs->pdata[i];

      if (!run->ended)
        end_run (rt, run, HK_END_DONE);
    }
}

int
memory_runtime_n_running (struct memory_runtime *rt)
{
  int n = 0;

  update_runs (rt);
  for (guint i = 0; i < rt->runs->len; i++)
    if (!((struct run *)rt->runs->pdata[i])->ended)
      n++;
  return n;
}

void
memory_runtime_set_speed (struct memory_runtime *rt, unsigned percent)
{
  for (guint i = 0; i < rt->runs->len; i++)
    ((struct run *)rt->runs->pdata[i])->speed_percent = percent;
}

unsigned
memory_runtime_least_speed (struct memory_runtime *rt)
{
  unsigned least = 100;

  update_runs (rt);
  for (guint i = 0; i < rt->runs->len; i++)
    if (!((struct run *)rt->runs->pdata[i])->ended)
      least = MIN (least, ((struct run *)rt->runs->pdata[i])->speed_percent);
  return least;
}

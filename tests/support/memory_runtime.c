/* An endpoint in memory that answers from the main loop. */
#include "memory_runtime.h"

#include <string.h>

#include "hyssopkeel/clock.h"

struct run
{
  hk_task_id task;
  unsigned number;
  int64_t until_ms;
  gboolean fails;
  gboolean ended;
  gboolean absent; /* stopped before it came */
  hk_end_how how;
  uint64_t seq;
};

struct answer
{
  struct memory_runtime *rt;
  int rc;
  gboolean list;
  hk_runtime_done done;
  void *user;
};

struct late_start
{
  hk_task_id task;
  unsigned number;
  int64_t deadline_ms;
  uint64_t fence;
};

static gboolean
same (const hk_task_id *a, const hk_task_id *b)
{
  return a->step == b->step && a->index == b->index
         && strcmp (a->job, b->job) == 0;
}

static void
end (struct memory_runtime *rt, struct run *run, hk_end_how how)
{
  run->ended = TRUE;
  run->how = how;
  run->seq = rt->next_seq++;
}

/* What time has done to the runs. */
static void
update (struct memory_runtime *rt)
{
  int64_t now = hk_clock_ms ();

  for (guint i = 0; i < rt->runs->len; i++)
    {
      struct run *run = rt->runs->pdata[i];

      if (run->ended)
        continue;
      if (now > rt->lease_ms)
        end (rt, run, HK_END_LAPSED);
      else if (now >= run->until_ms)
        end (rt, run, run->fails ? HK_END_FAILED : HK_END_DONE);
    }
}

static gboolean
deliver (gpointer data)
{
  struct answer *a = data;
  struct memory_runtime *rt = a->rt;
  struct hk_runtime_list list
      = { .clock_ms = hk_clock_ms (), .born_ms = rt->born_ms };
  struct hk_error err = { 0 };
  gboolean hide = FALSE;
  g_autofree struct hk_runtime_run *runs
      = g_new0 (struct hk_runtime_run, rt->runs->len + 1);
  g_autofree struct hk_runtime_end *ends
      = g_new0 (struct hk_runtime_end, rt->runs->len + 1);

  update (rt);
  if (a->list && rt->hide_runs > 0)
    {
      rt->hide_runs--;
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
          .task = run->task, .run = run->number, .checkpoint = (char *)""
        };
      else if (!run->absent && run->seq > rt->seen)
        ends[list.n_ends++]
            = (struct hk_runtime_end){ .task = run->task,
                                       .run = run->number,
                                       .seq = run->seq,
                                       .how = run->how,
                                       .checkpoint = (char *)"" };
    }
  hk_error_set (&err, a->rc, "runtime", "memory", "fault on command");
  a->done (a->rc, &list, list.clock_ms, &err, a->user);
  g_free (a);
  return G_SOURCE_REMOVE;
}

static void
reply (struct memory_runtime *rt, int rc, gboolean list, hk_runtime_done done,
       void *user)
{
  struct answer *a = g_new0 (struct answer, 1);

  a->rt = rt;
  a->rc = rt->dead ? HK_ERR_UNAVAILABLE : rc;
  a->list = list;
  a->done = done;
  a->user = user;
  g_timeout_add (a->rc == HK_ERR_TIMEOUT ? 60 : 1, deliver, a);
}

static int
begin (struct memory_runtime *rt, const hk_task_id *task, unsigned number,
       int64_t deadline_ms, uint64_t fence)
{
  struct run *run;
  int alive = 1;

  update (rt);
  if (fence < rt->fence || hk_clock_ms () > deadline_ms)
    return HK_ERR_CONFLICT;
  rt->fence = fence;
  rt->lease_ms = MAX (rt->lease_ms, deadline_ms);
  for (guint i = 0; i < rt->runs->len; i++)
    {
      run = rt->runs->pdata[i];
      if (!same (&run->task, task))
        continue;
      if (!run->ended && run->number == number)
        return HK_OK;
      if (run->ended && run->number >= number)
        return HK_ERR_CONFLICT;
      if (!run->ended)
        alive++;
      if (run->ended && run->how == HK_END_DONE)
        rt->after_done++;
    }
  rt->most = MAX (rt->most, alive);
  rt->started++;
  run = g_new0 (struct run, 1);
  run->task = *task;
  run->task.job = g_strdup (task->job);
  run->number = number;
  run->until_ms = hk_clock_ms () + rt->work_ms;
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

  if (rt->delay_starts > 0)
    {
      struct late_start *late = g_new0 (struct late_start, 1);

      rt->delay_starts--;
      late->task = order->task;
      late->task.job = g_strdup (order->task.job);
      late->number = order->run;
      late->deadline_ms = order->deadline_ms;
      late->fence = order->fence;
      g_ptr_array_add (rt->late, late);
      reply (rt, HK_ERR_TIMEOUT, FALSE, done, user);
      return;
    }
  rc = rt->dead ? HK_ERR_UNAVAILABLE
                : begin (rt, &order->task, order->run, order->deadline_ms,
                         order->fence);
  if (rt->lose_starts > 0 && rc == HK_OK)
    {
      rt->lose_starts--;
      rc = HK_ERR_TIMEOUT;
    }
  reply (rt, rc, FALSE, done, user);
}

static void
runtime_stop (struct hk_runtime *base, const hk_task_id *task, unsigned number,
              uint64_t fence, hk_runtime_done done, void *user)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;
  struct run *found = NULL;

  (void)fence;
  update (rt);
  for (guint i = 0; i < rt->runs->len; i++)
    {
      struct run *run = rt->runs->pdata[i];

      if (same (&run->task, task) && run->number == number)
        found = run;
    }
  if (!found)
    {
      found = g_new0 (struct run, 1);
      found->task = *task;
      found->task.job = g_strdup (task->job);
      found->number = number;
      found->ended = found->absent = TRUE;
      found->how = HK_END_STOPPED;
      g_ptr_array_add (rt->runs, found);
    }
  else if (!found->ended)
    end (rt, found, HK_END_STOPPED);
  reply (rt, HK_OK, FALSE, done, user);
}

static void
runtime_hold (struct hk_runtime *base, int64_t deadline_ms, uint64_t fence,
              uint64_t seen, int64_t wait_ms, hk_runtime_done done, void *user)
{
  struct memory_runtime *rt = (struct memory_runtime *)base;

  (void)wait_ms;
  if (!rt->dead)
    {
      update (rt);
      rt->fence = MAX (rt->fence, fence);
      rt->lease_ms = MAX (rt->lease_ms, deadline_ms);
      rt->seen = MAX (rt->seen, seen);
    }
  reply (rt, HK_OK, TRUE, done, user);
}

static void
runtime_pace (struct hk_runtime *base, const hk_task_id *task, unsigned number,
              unsigned percent, uint64_t fence, hk_runtime_done done,
              void *user)
{
  (void)task;
  (void)number;
  (void)percent;
  (void)fence;
  reply ((struct memory_runtime *)base, HK_OK, FALSE, done, user);
}

static const struct hk_runtime_ops ops = { .start = runtime_start,
                                           .stop = runtime_stop,
                                           .hold = runtime_hold,
                                           .pace = runtime_pace };

static void
free_run (gpointer data)
{
  struct run *run = data;

  g_free (run->task.job);
  g_free (run);
}

static void
free_late (gpointer data)
{
  struct late_start *late = data;

  g_free (late->task.job);
  g_free (late);
}

void
memory_runtime_init (struct memory_runtime *rt)
{
  memset (rt, 0, sizeof *rt);
  rt->base.ops = &ops;
  rt->born_ms = 1000;
  rt->work_ms = 50;
  rt->next_seq = 1;
  rt->runs = g_ptr_array_new_with_free_func (free_run);
  rt->late = g_ptr_array_new_with_free_func (free_late);
}

void
memory_runtime_finish (struct memory_runtime *rt)
{
  g_ptr_array_unref (rt->runs);
  g_ptr_array_unref (rt->late);
}

void
memory_runtime_late (struct memory_runtime *rt)
{
  for (guint i = 0; i < rt->late->len; i++)
    {
      struct late_start *late = rt->late->pdata[i];

      if (begin (rt, &late->task, late->number, late->deadline_ms, late->fence)
          != HK_OK)
        rt->refused++;
    }
  g_ptr_array_set_size (rt->late, 0);
}

void
memory_runtime_reborn (struct memory_runtime *rt)
{
  g_ptr_array_set_size (rt->runs, 0);
  rt->born_ms++;
  rt->seen = 0;
  rt->next_seq = 1;
  rt->fence = 0;
  rt->lease_ms = 0;
}

int
memory_runtime_alive (struct memory_runtime *rt)
{
  int n = 0;

  update (rt);
  for (guint i = 0; i < rt->runs->len; i++)
    if (!((struct run *)rt->runs->pdata[i])->ended)
      n++;
  return n;
}

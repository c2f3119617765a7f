/* Runs of a simulated worker: starts, stops, the lease and the lists. */
#include "runs.h"

#include <string.h>

#include "hyssopkeel/clock.h"

#define TASK_CPU_MILLI 1000
#define LEASE_MAX_MS 6000

struct run
{
  char *task;
  int64_t run_id;
  int64_t started_ms;
  int64_t due_ms;
  int64_t ended_ms;
  gboolean deadly; /* crashes the worker when due */
  gboolean stalls; /* shows no progress */
  gboolean ended;
  gboolean stopped_unstarted; /* stopped before its start arrived */
  gboolean expired_unacked;   /* ended, and the lease expired before
                                 acknowledgement */
  int64_t seq;
  const char *outcome;
};

static void
run_free (gpointer data)
{
  struct run *run = data;

  g_free (run->task);
  g_free (run);
}

int64_t
soak_worker_clock_ms (const struct soak_worker *w)
{
  return hk_clock_ms () + w->clock_offset_ms;
}

static void
run_end (struct soak_worker *w, struct run *run, const char *outcome)
{
  struct soak_task *task = soak_oracle_task (w->oracle, run->task);

  run->ended = TRUE;
  run->ended_ms = hk_clock_ms ();
  run->outcome = outcome;
  run->seq = ++w->last_end;
  if (strcmp (outcome, "done") == 0)
    task->done = TRUE;
  if (task->where == w->name)
    task->where = NULL;
}

/* Ends the runs whose work is done or whose lease has expired. */
void
soak_runs_update (struct soak_worker *w)
{
  int64_t now = hk_clock_ms ();
  gboolean expired = soak_worker_clock_ms (w) > w->lease_expiry_ms;

  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (run->ended)
        {
          run->expired_unacked
              = run->expired_unacked || (run->seq > w->acked_end && expired);
          continue;
        }
      if (expired)
        run_end (w, run, "lapsed");
      else if (now >= run->due_ms && !run->deadly)
        run_end (w, run, "done");
    }
}

static unsigned
runs_count (const struct soak_worker *w)
{
  unsigned n = 0;

  for (guint i = 0; i < w->runs->len; i++)
    n += !((struct run *)w->runs->pdata[i])->ended;
  return n;
}

static struct run *
run_find (const struct soak_worker *w, const char *task, int64_t run_id)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (strcmp (run->task, task) == 0
          && (run_id == 0 || run->run_id == run_id))
        return run;
    }
  return NULL;
}

static void
check_capacity (struct soak_worker *w)
{
  unsigned limit = w->cpu_milli;

  if (hk_clock_ms () < w->limit_until_ms)
    limit = MAX (limit, w->cpu_limit_milli);
  if ((runs_count (w) + 1) * TASK_CPU_MILLI > limit)
    soak_violation (w->oracle, "overcommit: %s has %u runs, capacity %u",
                    w->name, runs_count (w) + 1, limit / TASK_CPU_MILLI);
}

/* Most runs are short; one in eight takes seconds, half of these without
   progress that the lists show. */
static void
plan_run (struct run *run)
{
  guint n = g_str_hash (run->task) + (guint)run->run_id * 2654435761U;

  run->started_ms = hk_clock_ms ();
  run->stalls = n % 16 == 0;
  run->due_ms = run->started_ms
                + (n % 8 == 0 ? 1500 + n / 16 % 2500 : 100 + n / 16 % 400);
}

static void
lease_extend (struct soak_worker *w, int64_t deadline_ms)
{
  w->lease_expiry_ms
      = MAX (w->lease_expiry_ms,
             MIN (deadline_ms, soak_worker_clock_ms (w) + LEASE_MAX_MS));
}

/* A checkpoint names its task, so that another's is recognized. */
static char *
odd_checkpoint (const struct run *run)
{
  static const gsize lengths[] = { 0, 16, 256, 5000, 65536, 65537, 200000 };
  gsize len = lengths[g_str_hash (run->task) % G_N_ELEMENTS (lengths)];
  g_autofree char *fill = g_strnfill (len, 'c');

  if (len > strlen (run->task))
    memcpy (fill, run->task, strlen (run->task));
  return g_steal_pointer (&fill);
}

static void
check_odd_start (struct soak_worker *w, json_object *body, const char *task)
{
  const char *checkpoint = hk_json_str (body, "checkpoint");
  json_object *spec = json_object_object_get (body, "spec");

  if (json_object_get_string_len (spec) != SOAK_SPEC_ODD_BYTES)
    soak_violation (w->oracle, "%s starts %s with another spec", w->name,
                    task);
  if (checkpoint && strlen (checkpoint) > strlen (task)
      && !g_str_has_prefix (checkpoint, task))
    soak_violation (w->oracle, "%s starts %s with another's checkpoint",
                    w->name, task);
}

/* Returns the reason for a refusal, or NULL if the run is accepted. */
const char *
soak_run_start (struct soak_worker *w, json_object *body, gboolean late)
{
  const char *task = hk_json_str (body, "task");
  int64_t run_id = hk_json_int (body, "runId");
  int64_t deadline = hk_json_int (body, "deadlineMs");
  struct run *run;

  if (soak_worker_clock_ms (w) > deadline)
    return "late";
  run = run_find (w, task, run_id);
  if (run && !run->ended)
    return NULL;
  for (guint i = 0; i < w->runs->len; i++)
    {
      run = w->runs->pdata[i];
      if (strcmp (run->task, task) == 0 && run->ended && run->run_id >= run_id)
        return "old";
    }
  lease_extend (w, deadline);
  check_capacity (w);
  if (w->odd)
    check_odd_start (w, body, task);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run_id = run_id;
  plan_run (run);
  run->deadly = strcmp (hk_json_str (body, "spec"), SOAK_SPEC_DEADLY) == 0
                && g_str_has_suffix (task, ".0.0.0");
  g_ptr_array_add (w->runs, run);
  soak_oracle_start (w->oracle, task, w->name, run->deadly, late);
  return NULL;
}

void
soak_run_stop (struct soak_worker *w, json_object *body)
{
  const char *task = hk_json_str (body, "task");
  int64_t run_id = hk_json_int (body, "runId");
  struct run *run = run_find (w, task, run_id);

  if (run && !run->ended)
    run_end (w, run, "stopped");
  if (run)
    return;
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run_id = run_id;
  run->ended = run->stopped_unstarted = TRUE;
  run->outcome = "stopped";
  g_ptr_array_add (w->runs, run);
}

void
soak_lease_renew (struct soak_worker *w, json_object *body)
{
  lease_extend (w, hk_json_int (body, "deadlineMs"));
  /* A renewal for an earlier incarnation may acknowledge a higher number;
     it must not cover ends that are still to come. */
  w->acked_end
      = MAX (w->acked_end, MIN (hk_json_int (body, "lastSeen"), w->last_end));
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];

      /* After the lease expired, the task may rightly run elsewhere. */
      if (run->seq > 0 && run->seq <= w->acked_end && !run->expired_unacked
          && strcmp (run->outcome, "done") == 0)
        soak_oracle_ack (w->oracle, run->task, run->ended_ms);
    }
}

static int64_t
run_percent (const struct run *run)
{
  return run->stalls ? 50
                     : 100 * (hk_clock_ms () - run->started_ms)
                           / (run->due_ms - run->started_ms);
}

static gint
compare_seq (gconstpointer a, gconstpointer b)
{
  const struct run *x = *(struct run *const *)a;
  const struct run *y = *(struct run *const *)b;

  return (x->seq > y->seq) - (x->seq < y->seq);
}

json_object *
soak_runs_list (const struct soak_worker *w)
{
  json_object *body = json_object_new_object ();
  json_object *running = json_object_new_array ();
  json_object *finished = json_object_new_array ();

  g_ptr_array_sort (w->runs, compare_seq);
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];
      json_object *row = json_object_new_array ();
      g_autofree char *checkpoint = NULL;

      if (run->stopped_unstarted || (run->ended && run->seq <= w->acked_end))
        {
          json_object_put (row);
          continue;
        }
      if (run->ended)
        json_object_array_add (row, json_object_new_int64 (run->seq));
      json_object_array_add (row, json_object_new_string (run->task));
      json_object_array_add (row, json_object_new_int64 (run->run_id));
      if (run->ended)
        json_object_array_add (row, json_object_new_string (run->outcome));
      checkpoint = w->odd ? odd_checkpoint (run) : g_strdup ("");
      json_object_array_add (row, json_object_new_string (checkpoint));
      if (!run->ended)
        json_object_array_add (row, json_object_new_int64 (run_percent (run)));
      json_object_array_add (run->ended ? finished : running, row);
    }
  json_object_object_add (body, "running", running);
  json_object_object_add (body, "finished", finished);
  json_object_object_add (body, "born",
                          json_object_new_int64 (w->start_time_ms));
  return body;
}

gboolean
soak_runs_crash_due (const struct soak_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];

      if (run->deadly && !run->ended && hk_clock_ms () >= run->due_ms)
        return TRUE;
    }
  return FALSE;
}

void
soak_runs_init (struct soak_worker *w)
{
  w->runs = g_ptr_array_new_with_free_func (run_free);
}

void
soak_runs_crash (struct soak_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];
      struct soak_task *task = soak_oracle_task (w->oracle, run->task);

      if (run->ended)
        continue;
      task->crashes++;
      if (task->where == w->name)
        task->where = NULL;
    }
  g_ptr_array_set_size (w->runs, 0);
}

/* Runs of a simulated worker: starts, stops, the lease and the lists. */
#include "runs.h"

#include <string.h>

#include "hyssopkeel/clock.h"

#define LEASE_MAX_MS 6000
/* Work that lasts is at work this long after its start. */
#define LASTING_STARTUP_MS 500
/* Tail latency of a serving run alone: the base, and what each of LOAD_LEVELS
   loads adds; the load changes each LOAD_INTERVAL_MS. */
#define LATENCY_MS 60
#define LATENCY_PER_LOAD_MS 30
#define LOAD_LEVELS 3
#define LOAD_INTERVAL_MS 4000

struct run
{
  char *task;
  int64_t run_id;
  int64_t started_ms;
  int64_t due_ms;
  int64_t ended_ms;
  gboolean deadly; /* crashes the worker when due */
  gboolean stalls; /* shows no progress */
  gboolean lasting;
  gboolean filling;
  guint image;
  unsigned pace; /* percent */
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
  if (strcmp (outcome, "done") == 0 && !run->lasting)
    task->done = TRUE;
  if (task->where == w->name)
    task->where = NULL;
}

/* Work that lasts ends in any way. */
static const char *
due_outcome (const struct run *run)
{
  return run->lasting && run->run_id % 3 != 0 ? "failed" : "done";
}

void
soak_runs_update (struct soak_worker *w)
{
  int64_t now = hk_clock_ms ();
  gboolean expired = soak_worker_clock_ms (w) > w->lease_expiry_ms;
  int64_t elapsed_ms = now - w->updated_ms;

  w->updated_ms = now;
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct run *run = w->runs->pdata[i];

      if (run->ended)
        {
          run->expired_unacked
              = run->expired_unacked || (run->seq > w->acked_end && expired);
          continue;
        }
      run->due_ms += elapsed_ms * (100 - (int64_t)run->pace) / 100;
      if (expired)
        run_end (w, run, "lapsed");
      else if (now >= run->due_ms && !run->deadly)
        run_end (w, run, due_outcome (run));
    }
}

unsigned
soak_runs_count (const struct soak_worker *w, gboolean filling)
{
  unsigned n = 0;

  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *run = w->runs->pdata[i];

      n += !run->ended && run->filling == filling;
    }
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
  unsigned n = soak_runs_count (w, FALSE) + 1;

  if (hk_clock_ms () < w->limit_until_ms)
    limit = MAX (limit, w->cpu_limit_milli);
  if (n * SOAK_TASK_CPU_MILLI > limit)
    soak_violation (w->oracle, "overcommit: %s has %u runs, capacity %u",
                    w->name, n, limit / SOAK_TASK_CPU_MILLI);
}

/* Most runs are short; one in eight takes seconds, half of these without
   progress that the lists show. */
static void
plan_run (const struct soak_worker *w, struct run *run)
{
  guint n = g_str_hash (run->task) + (guint)run->run_id * 2654435761U;

  run->started_ms = hk_clock_ms ();
  run->pace = 100;
  run->due_ms = run->started_ms;
  if (run->lasting)
    run->due_ms += 3000 + n / 16 % 12000;
  else if (run->filling)
    run->due_ms += 500 + n / 16 % 2500;
  else
    run->due_ms += n % 8 == 0 ? 1500 + n / 16 % 2500 : 100 + n / 16 % 400;
  run->stalls = n % 16 == 0 && !run->lasting;
  if (w->racked && !run->lasting && soak_job_rack (run->task) != w->rack)
    run->due_ms += (SOAK_REMOTE_FACTOR - 1) * (run->due_ms - run->started_ms);
}

/* The specification says what kind of work the run is. */
static void
read_spec (struct run *run, const char *spec)
{
  run->lasting = g_str_has_prefix (spec, SOAK_SPEC_LASTING);
  run->filling = g_str_has_prefix (spec, SOAK_SPEC_FILLING)
                 && !strstr (run->task, ".0.1.");
  if (run->lasting || run->filling)
    run->image = (guint)(spec[strlen (spec) - 1] - '0');
  run->deadly = strcmp (spec, SOAK_SPEC_DEADLY) == 0
                && g_str_has_suffix (run->task, ".0.0.0");
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
  if (w->odd)
    check_odd_start (w, body, task);
  run = g_new0 (struct run, 1);
  run->task = g_strdup (task);
  run->run_id = run_id;
  read_spec (run, hk_json_str (body, "spec"));
  if (!run->filling)
    check_capacity (w);
  plan_run (w, run);
  g_ptr_array_add (w->runs, run);
  soak_oracle_start (w->oracle, task, w->name, run->deadly, late);
  if (w->on_start)
    w->on_start (w, task, late, w->user);
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
soak_run_pace (struct soak_worker *w, json_object *body)
{
  struct run *run
      = run_find (w, hk_json_str (body, "task"), hk_json_int (body, "runId"));

  if (run)
    run->pace = (unsigned)CLAMP (hk_json_int (body, "percent"), 0, 100);
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
          && !run->lasting && strcmp (run->outcome, "done") == 0)
        soak_oracle_ack (w->oracle, run->task, run->ended_ms);
    }
}

static int64_t
run_percent (const struct run *run)
{
  int64_t age_ms = hk_clock_ms () - run->started_ms;

  if (run->lasting)
    return MIN (100, 100 * age_ms / LASTING_STARTUP_MS);
  return run->stalls ? 50 : 100 * age_ms / (run->due_ms - run->started_ms);
}

/* The tail latency of a serving run depends on its load and on the images and
   the pace of best-effort runs beside it. */
static int64_t
run_figure (const struct soak_worker *w, const struct run *run)
{
  static const int64_t disturbance_ms[] = { 5, 30, 120 };
  int64_t load
      = (hk_clock_ms () / LOAD_INTERVAL_MS + run->image) % LOAD_LEVELS;
  int64_t latency_ms = LATENCY_MS + LATENCY_PER_LOAD_MS * load;

  if (!run->lasting)
    return SOAK_TASK_CPU_MILLI * (int64_t)run->pace / 100;
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct run *other = w->runs->pdata[i];
      guint pair = (run->image + other->image) % G_N_ELEMENTS (disturbance_ms);

      if (other->filling && !other->ended)
        latency_ms += disturbance_ms[pair] * other->pace / 100;
    }
  return latency_ms;
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
        {
          json_object_array_add (row,
                                 json_object_new_int64 (run_percent (run)));
          json_object_array_add (row,
                                 json_object_new_int64 (run_figure (w, run)));
        }
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

/* Encodes and loads the records of jobs in the store. Submission and progress
   have records of their own, since the submission never changes and is by far
   the larger part. */
#include <stdlib.h>
#include <string.h>

#include "engine_priv.h"

/* A place names an incarnation of an instance: "agent/start time in ms". */
#define PLACE_SEPARATOR '/'

static int
encode (char **out, size_t *len, xdrproc_t proc, void *value)
{
  size_t size = xdr_sizeof (proc, value);
  XDR xdr;

  *out = g_malloc (size + 1);
  xdrmem_create (&xdr, *out, (u_int)size, XDR_ENCODE);
  if (!proc (&xdr, value))
    {
      g_clear_pointer (out, g_free);
      return HK_ERR_TOO_BIG;
    }
  *len = xdr_getpos (&xdr);
  return HK_OK;
}

/* A progress record: @crashes follows @progress unless it is empty, and
   @waits, which are those of tasks in @crashes, follows it likewise. @len is
   the length of a record that is decoded. */
struct progress_record
{
  hk_job_progress progress;
  hk_job_crashes crashes;
  hk_job_waits waits;
  size_t len;
};

/* Whether no part of @n entries follows. */
static gboolean
record_ends (XDR *xdr, const struct progress_record *r, u_int n)
{
  return xdr->x_op == XDR_DECODE ? xdr_getpos (xdr) >= r->len : n == 0;
}

static bool_t
xdr_progress_record (XDR *xdr, struct progress_record *r)
{
  if (!xdr_hk_job_progress (xdr, &r->progress))
    return FALSE;
  if (record_ends (xdr, r, r->crashes.tasks.tasks_len))
    return TRUE;
  if (!xdr_hk_job_crashes (xdr, &r->crashes))
    return FALSE;
  return record_ends (xdr, r,
                      r->waits.tasks.tasks_len + r->waits.runs.runs_len)
         || xdr_hk_job_waits (xdr, &r->waits);
}

static void
progress_record_clear (struct progress_record *r)
{
  xdr_free ((xdrproc_t)xdr_hk_job_progress, (char *)&r->progress);
  xdr_free ((xdrproc_t)xdr_hk_job_crashes, (char *)&r->crashes);
  xdr_free ((xdrproc_t)xdr_hk_job_waits, (char *)&r->waits);
}

static int
decode (void *out, xdrproc_t proc, const char *data, size_t len)
{
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  return proc (&xdr, out) ? HK_OK : HK_ERR_PROTOCOL;
}

int
engine_copy_spec (hk_job_spec *out, const hk_job_spec *spec)
{
  g_autofree char *bytes = NULL;
  size_t len = 0;
  int rc = encode (&bytes, &len, (xdrproc_t)xdr_hk_job_spec, (void *)spec);

  memset (out, 0, sizeof *out);
  return rc == HK_OK ? decode (out, (xdrproc_t)xdr_hk_job_spec, bytes, len)
                     : rc;
}

static int
encode_record (char **out, size_t *len, const struct hk_engine *e,
               xdrproc_t proc, void *value)
{
  int rc = encode (out, len, proc, value);

  if (rc == HK_OK && *len > e->record_max_bytes)
    {
      g_clear_pointer (out, g_free);
      rc = HK_ERR_TOO_BIG;
    }
  return rc;
}

int
hk_engine_encode_spec (char **out, size_t *len,
                       const struct hk_engine_job *job)
{
  return encode_record (out, len, job->engine, (xdrproc_t)xdr_hk_job_spec,
                        (void *)&job->spec);
}

/* Returns the index of the run's place in @places from 1, as 0 means none, and
   appends the place if it is missing. */
static unsigned
place_index (GPtrArray *places, const struct hk_run *run)
{
  g_autofree char *place
      = g_strdup_printf ("%s%c%" G_GINT64_FORMAT, run->instance->name,
                         PLACE_SEPARATOR, run->instance_start_time_ms);

  for (guint i = 0; i < places->len; i++)
    if (strcmp (places->pdata[i], place) == 0)
      return i + 1;
  g_ptr_array_add (places, g_steal_pointer (&place));
  return places->len;
}

static void
encode_task (hk_task_progress *out, const struct hk_engine_task *task,
             GPtrArray *places)
{
  const struct hk_run *first = task->runs[0];
  const struct hk_run *second = task->runs[1];

  out->state = task->state;
  out->failures = task->failures;
  out->run = task->last_run;
  out->checkpoint = task->checkpoint ? task->checkpoint : "";
  if (!first)
    {
      first = second;
      second = NULL;
    }
  if (first)
    {
      out->place = place_index (places, first);
      out->run = first->number;
    }
  if (second)
    {
      out->spare_place = place_index (places, second);
      out->spare_run = second->number;
    }
  else
    out->spare_run = task->last_run;
}

static hk_task_progress *
encode_tasks (const struct hk_engine_job *job, GPtrArray *places)
{
  hk_task_progress *tasks = g_new0 (hk_task_progress, job->n_tasks);
  unsigned n = 0;

  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    for (unsigned t = 0; t < job->steps[i].spec->count; t++)
      encode_task (&tasks[n++], &job->steps[i].tasks[t], places);
  return tasks;
}

static size_t
padded_length (const char *text)
{
  return RNDUP (strlen (text));
}

/* Leaves out the checkpoints of the last tasks as far as the record would be
   over its limit. Returns their number. */
static unsigned
limit_checkpoints (struct progress_record *r, const struct hk_engine *e)
{
  size_t bytes = xdr_sizeof ((xdrproc_t)xdr_progress_record, r);
  unsigned left_out = 0;

  for (u_int i = r->progress.tasks.tasks_len;
       i > 0 && bytes > e->record_max_bytes; i--)
    {
      hk_task_progress *task = &r->progress.tasks.tasks_val[i - 1];

      if (!*task->checkpoint)
        continue;
      bytes -= padded_length (task->checkpoint);
      task->checkpoint = (char *)"";
      left_out++;
    }
  return left_out;
}

/* What is known of suspects; to be released with suspects_free(). */
static void
encode_suspects (struct progress_record *r, const struct hk_engine_job *job)
{
  r->crashes.tasks.tasks_val = g_new0 (hk_task_crashes, job->n_tasks);
  r->crashes.tasks.tasks_len
      = engine_crashes_collect (job, r->crashes.tasks.tasks_val);
  r->waits.tasks.tasks_val = g_new0 (hk_task_wait, job->n_tasks);
  r->waits.tasks.tasks_len
      = engine_waits_collect (job, r->waits.tasks.tasks_val);
  r->waits.runs.runs_val = g_new0 (hk_run_age, job->n_tasks);
  r->waits.runs.runs_len = engine_ages_collect (job, r->waits.runs.runs_val);
}

static void
suspects_free (struct progress_record *r)
{
  g_free (r->crashes.tasks.tasks_val);
  g_free (r->waits.tasks.tasks_val);
  g_free (r->waits.runs.runs_val);
}

int
hk_engine_encode_progress (char **out, size_t *len, struct hk_engine_job *job)
{
  g_autoptr (GPtrArray) places = g_ptr_array_new_with_free_func (g_free);
  g_autofree hk_task_progress *tasks = NULL;
  g_autofree hk_place_name *names = NULL;
  struct progress_record r
      = { .progress = { .state = job->state,
                        .accepted_ms = job->accepted_wall_ms,
                        .ended_ms = job->ended_wall_ms,
                        .queue = job->spec.queue } };
  int rc;

  /* An ended job needs its tasks only as long as runs remain to be stopped. */
  if (hk_engine_job_active (job) || job->n_runs > 0)
    {
      tasks = encode_tasks (job, places);
      r.progress.tasks.tasks_len = job->n_tasks;
      r.progress.tasks.tasks_val = tasks;
      encode_suspects (&r, job);
    }
  names = g_new0 (hk_place_name, places->len);
  for (guint i = 0; i < places->len; i++)
    names[i].life = places->pdata[i];
  r.progress.places.places_len = places->len;
  r.progress.places.places_val = names;
  job->n_checkpoints_left_out = limit_checkpoints (&r, job->engine);
  rc = encode_record (out, len, job->engine, (xdrproc_t)xdr_progress_record,
                      &r);
  suspects_free (&r);
  return rc;
}

static void
load_run (struct hk_engine_task *task, const hk_job_progress *p,
          unsigned place, unsigned number, int64_t now_ms)
{
  g_auto (GStrv) parts = NULL;
  struct hk_run *run;

  if (place == 0 || place > p->places.places_len)
    return;
  parts = g_strsplit (p->places.places_val[place - 1].life, "/", 2);
  run = engine_run_new (
      task, hk_engine_instance_get (task->step->job->engine, parts[0]),
      number);
  run->instance_start_time_ms
      = parts[1] ? g_ascii_strtoll (parts[1], NULL, 10) : 0;
  run->placed_ms = now_ms;
  run->inherited = TRUE;
  run->may_execute = TRUE;
}

static void
load_task (struct hk_engine_task *task, const hk_job_progress *p,
           const hk_task_progress *in, int64_t now_ms)
{
  task->state = (enum hk_task_state)in->state;
  task->failures = in->failures;
  task->last_run = MAX (in->run, in->spare_run);
  task->ready_ms = now_ms;
  if (in->checkpoint && *in->checkpoint)
    task->checkpoint = g_strdup (in->checkpoint);
  if (task->state != HK_TASK_WAITING)
    task->step->waiting--;
  if (task->state == HK_TASK_DONE)
    task->step->done++;
  load_run (task, p, in->place, in->run, now_ms);
  load_run (task, p, in->spare_place, in->spare_run, now_ms);
  if (task->state != HK_TASK_PLACED)
    for (int r = 0; r < HK_RUNS_PER_TASK; r++)
      if (task->runs[r])
        task->runs[r]->to_stop = TRUE;
}

static void
load_tasks (struct hk_engine_job *job, const hk_job_progress *p,
            int64_t now_ms)
{
  unsigned n = 0;

  if (p->tasks.tasks_len != job->n_tasks)
    return;
  for (unsigned i = 0; i < job->spec.steps.steps_len; i++)
    for (unsigned t = 0; t < job->steps[i].spec->count; t++)
      {
        struct hk_engine_task *task = &job->steps[i].tasks[t];

        load_task (task, p, &p->tasks.tasks_val[n++], now_ms);
        if (task->last_run > 0)
          job->started = TRUE;
        for (int r = 0; r < HK_RUNS_PER_TASK && !hk_engine_job_active (job);
             r++)
          if (task->runs[r])
            task->runs[r]->to_stop = TRUE;
      }
}

int
hk_engine_job_load (struct hk_engine *e, const char *id, const char *spec,
                    size_t spec_len, const char *progress, size_t progress_len,
                    int64_t now_ms, int64_t wall_ms, struct hk_error *err)
{
  hk_job_spec decoded = { 0 };
  struct progress_record r = { .len = progress_len };
  const hk_job_progress *p = &r.progress;
  struct hk_engine_job *job = NULL;
  int rc = decode (&r, (xdrproc_t)xdr_progress_record, progress, progress_len);

  if (rc == HK_OK && spec)
    rc = decode (&decoded, (xdrproc_t)xdr_hk_job_spec, spec, spec_len);
  if (rc < 0 || (!spec && p->state < HK_JOB_STATE_COMPLETED))
    {
      progress_record_clear (&r);
      xdr_free ((xdrproc_t)xdr_hk_job_spec, (char *)&decoded);
      return hk_error_set (err, HK_ERR_PROTOCOL, "engine.load", id,
                           "record of job %s does not parse", id);
    }
  if (!spec)
    {
      /* Only the id, the queue and the state of an ended job are stored. */
      decoded.id = strdup (id);
      decoded.queue = strdup (p->queue);
      decoded.pool = strdup ("");
    }
  job = engine_job_new (e, &decoded);
  job->state = job->visible_state = (enum hk_job_state)p->state;
  job->version = job->sent_version = job->committed_version = 1;
  job->spec_stored = spec != NULL;
  job->accepted_wall_ms = p->accepted_ms;
  job->ended_wall_ms = p->ended_ms;
  job->accepted_ms = now_ms - MAX (wall_ms - p->accepted_ms, 0);
  job->ended_ms = now_ms - MAX (wall_ms - p->ended_ms, 0);
  if (job->state == HK_JOB_STATE_CANCELLED && p->accepted_ms == 0)
    engine_tombstone_mark (job);
  load_tasks (job, p, now_ms);
  engine_crashes_load (job, &r.crashes);
  engine_waits_load (job, &r.waits, now_ms, wall_ms);
  if (hk_engine_job_active (job))
    TAILQ_INSERT_TAIL (&e->active, job, link);
  else
    TAILQ_INSERT_TAIL (&e->ended, job, link);
  progress_record_clear (&r);
  return HK_OK;
}

/* Checks the guarantees of the system against the records of the worker
   stand-ins, which serve as test oracle. */
#include "oracle.h"

#include <string.h>

/* Period in which a task of a job ran on a worker. */
struct task_period
{
  char *worker;
  char *job;
  char *epoch;
  int64_t from_ms;
  int64_t to_ms;
};

static void
read_record (struct oracle *o, const char *worker, const char *path)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  lines = g_strsplit (text, "\n", 0);
  for (char **l = lines; *l; l++)
    if (**l)
      g_ptr_array_add (o->lines, g_strconcat (worker, " ", *l, NULL));
}

void
oracle_read (struct oracle *o, struct cluster *c)
{
  o->lines = g_ptr_array_new_with_free_func (g_free);
  for (int i = 1; i <= c->n_workers; i++)
    {
      g_autofree char *worker = g_strdup_printf ("w%d", i);
      g_autofree char *path = g_strdup_printf ("%s/%s.truth", c->dir, worker);

      read_record (o, worker, path);
    }
}

void
oracle_finish (struct oracle *o)
{
  g_clear_pointer (&o->lines, g_ptr_array_unref);
}

static const char *
record_words (const char *line)
{
  return strchr (line, ' ') + 1;
}

int
oracle_count (const struct oracle *o, const char *prefix)
{
  size_t len = strlen (prefix);
  int n = 0;

  for (guint i = 0; i < o->lines->len; i++)
    {
      const char *text = record_words (g_ptr_array_index (o->lines, i));

      n += strncmp (text, prefix, len) == 0
           && (text[len] == ' ' || text[len] == '\0');
    }
  return n;
}

static void add_violation (GPtrArray *out, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_violation (GPtrArray *out, const char *format, ...)
{
  va_list ap;

  va_start (ap, format);
  g_ptr_array_add (out, g_strdup_vprintf (format, ap));
  va_end (ap);
}

static void
period_free (gpointer data)
{
  struct task_period *p = data;

  g_free (p->worker);
  g_free (p->job);
  g_free (p->epoch);
  g_free (p);
}

static int64_t
parse_int (const char *text)
{
  return g_ascii_strtoll (text, NULL, 10);
}

/* Ends the open period of a job on a worker, or all if @job is NULL. */
static void
periods_close (GPtrArray *list, const char *worker, const char *job,
               int64_t at_ms)
{
  for (guint i = 0; i < list->len; i++)
    {
      struct task_period *p = g_ptr_array_index (list, i);

      if (p->to_ms == G_MAXINT64 && strcmp (p->worker, worker) == 0
          && (!job || strcmp (p->job, job) == 0))
        p->to_ms = at_ms;
    }
}

static GPtrArray *
periods_collect (const struct oracle *o)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (period_free);

  for (guint i = 0; i < o->lines->len; i++)
    {
      g_auto (GStrv) w = g_strsplit (g_ptr_array_index (o->lines, i), " ", 0);

      if (strcmp (w[1], "task_start") == 0)
        {
          struct task_period *p = g_new0 (struct task_period, 1);

          p->worker = g_strdup (w[0]);
          p->job = g_strdup (w[2]);
          p->epoch = g_strdup (w[3]);
          p->from_ms = parse_int (w[4]);
          p->to_ms = G_MAXINT64;
          g_ptr_array_add (list, p);
        }
      else if (strcmp (w[1], "task_stop") == 0)
        periods_close (list, w[0], w[2], parse_int (w[4]));
      else if (strcmp (w[1], "killed") == 0)
        periods_close (list, w[0], NULL, parse_int (w[2]));
    }
  return list;
}

static void
check_task_periods (const struct oracle *o, GPtrArray *out)
{
  g_autoptr (GPtrArray) list = periods_collect (o);

  for (guint i = 0; i < list->len; i++)
    for (guint k = i + 1; k < list->len; k++)
      {
        const struct task_period *a = g_ptr_array_index (list, i);
        const struct task_period *b = g_ptr_array_index (list, k);

        if (strcmp (a->job, b->job) != 0)
          continue;
        if (a->from_ms < b->to_ms && b->from_ms < a->to_ms)
          add_violation (out,
                         "one place: job %s ran on %s (epoch %s) and on %s "
                         "(epoch %s) at the same time",
                         a->job, a->worker, a->epoch, b->worker, b->epoch);
        if (strcmp (a->epoch, b->epoch) == 0)
          add_violation (out, "resume once: job %s started twice in epoch %s",
                         a->job, a->epoch);
      }
}

/* Whether a run is of a request: a run id is the request id, or the request
   id, a dot and the attempt. */
static gboolean
run_is_of_request (const char *run_id, const char *request_id)
{
  size_t len = strlen (request_id);

  return strncmp (run_id, request_id, len) == 0
         && (run_id[len] == '\0' || run_id[len] == '.');
}

static void
count_runs (const struct oracle *o, const struct traffic_request *request,
            int *by_id, int *by_key)
{
  *by_id = 0;
  *by_key = 0;
  for (guint i = 0; i < o->lines->len; i++)
    {
      g_auto (GStrv) w = NULL;
      const char *line = g_ptr_array_index (o->lines, i);

      if (!g_str_has_prefix (record_words (line), "run_start "))
        continue;
      w = g_strsplit (line, " ", 0);
      *by_id += request->request_id
                && run_is_of_request (w[2], request->request_id);
      *by_key += request->key && strcmp (w[3], request->key) == 0;
    }
}

static int
count_key_uses (const struct traffic *traffic, const char *key)
{
  int n = 0;

  for (guint i = 0; key && i < traffic->requests->len; i++)
    n += g_strcmp0 (((struct traffic_request *)g_ptr_array_index (
                         traffic->requests, i))
                        ->key,
                    key)
         == 0;
  return n;
}

static void
check_request (const struct oracle *o, const struct traffic *traffic,
               const struct traffic_request *request, GPtrArray *out)
{
  gboolean at_most_once = strcmp (request->route, "order") == 0;
  int by_id;
  int by_key;

  count_runs (o, request, &by_id, &by_key);
  if (g_strcmp0 (request->outcome, "not-run") == 0
      && (by_id > 0
          || (by_key > 0 && count_key_uses (traffic, request->key) == 1)))
    add_violation (out, "not-run is true: %s key=%s ran %d times",
                   request->request_id, request->key, MAX (by_id, by_key));
  if (at_most_once && (by_id > 1 || by_key > 1))
    add_violation (out, "at most once: %s key=%s ran %d times",
                   request->request_id, request->key, MAX (by_id, by_key));
  if (g_strcmp0 (request->outcome, "done") == 0 && by_id + by_key == 0)
    add_violation (out, "done is true: %s never ran", request->request_id);
  if (g_strcmp0 (request->outcome, "done") == 0 && !request->body_as_expected)
    add_violation (out, "whole answers: %s got a different body",
                   request->request_id);
}

GPtrArray *
oracle_check (const struct oracle *o, const struct traffic *traffic)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (g_free);

  if (oracle_count (o, "overcommit") > 0)
    add_violation (out, "no overcommit: %d times",
                   oracle_count (o, "overcommit"));
  check_task_periods (o, out);
  for (guint i = 0; i < traffic->requests->len; i++)
    check_request (o, traffic, g_ptr_array_index (traffic->requests, i), out);
  return out;
}

/* Clients of the soak. They check that an accepted job is kept and completes,
   unless cancelled, with every one of its tasks run, and fails only with
   cause. */
#include "clients.h"

#include <string.h>

#include "../support/jobs.h"
#include "hyssopkeel/clock.h"

#define ATTEMPTS_MAX 6
#define RETRY_DELAY_MS 500
#define REQUEST_DEADLINE_MS "3000"
#define REQUEST_TIMEOUT_S 4
/* Requests in turn to each entry, and the longest pause between them. */
#define LOOPS_PER_ENTRY 4
#define PAUSE_MAX_MS 80
/* A kill or freeze excuses requests sent up to this much later. */
#define DISRUPTION_MS 3000
/* A request sent so shortly before its connection is closed may have been read
   by no one. */
#define UNREAD_MS 200
/* One job in CANCEL_ONE_IN is cancelled, CANCEL_AFTER_MS after it was
   accepted. */
#define CANCEL_ONE_IN 8
#define CANCEL_AFTER_MS 300
/* Grace period after a cancel was acknowledged; no task of the job may start
   later. */
#define CANCEL_GRACE_MS 4000
/* Queries per job at the end. All faults are healed by then, so a response
   comes soon. */
#define CHECK_ATTEMPTS_MAX 20

/* A request without a response yet. */
struct request
{
  struct soak_clients *c;
  struct soak_entry *entry;
  struct soak_job *job; /* NULL for a count of jobs */
  SoupMessage *msg;
  int64_t sent_ms; /* when its last byte was sent; 0 before */
  gboolean repeat; /* another request to the same entry follows */
  void (*on_reply) (struct soak_job *job, unsigned status, const char *body);
};

static void job_submit (struct soak_job *job);
static void job_cancel (struct soak_job *job);
static gboolean on_next_due (gpointer data);

/* Handles a connection that was closed without a whole response. An entry
   that is neither killed nor frozen must respond to all that it has read. */
static void
handle_cut (struct request *t)
{
  int64_t age_ms = hk_clock_ms () - t->sent_ms;

  if (t->sent_ms <= t->entry->disrupted_ms + DISRUPTION_MS
      || t->sent_ms <= t->c->stalled_ms || age_ms <= UNREAD_MS)
    t->c->cut_exempt++;
  else
    soak_violation (t->c->oracle,
                    "%s closed a connection %" G_GINT64_FORMAT
                    " ms after a request, without a whole response%s",
                    t->entry->address, age_ms,
                    t->entry->stopping ? ", while it stopped" : "");
}

static void
on_wrote_body (SoupMessage *msg, gpointer user)
{
  (void)msg;
  ((struct request *)user)->sent_ms = hk_clock_ms ();
}

/* libsoup repeats a request if a connection in use is closed before the
   response begins. */
static void
on_restarted (SoupMessage *msg, gpointer user)
{
  struct request *t = user;

  (void)msg;
  handle_cut (t);
  t->sent_ms = 0;
  if (t->job)
    t->job->may_be_accepted = TRUE;
}

static void
on_response (GObject *source, GAsyncResult *res, gpointer user)
{
  struct request *t = user;
  g_autoptr (GError) gerr = NULL;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, &gerr);
  g_autofree char *text = NULL;

  t->c->open_requests--;
  if (bytes)
    {
      text = g_strndup (g_bytes_get_data (bytes, NULL),
                        g_bytes_get_size (bytes));
      t->c->responses++;
      t->c->responses_stopping += t->entry->stopping;
    }
  else if (g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT)
           || g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE)
           || g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED))
    handle_cut (t);
  if (t->on_reply)
    t->on_reply (t->job, bytes ? soup_message_get_status (t->msg) : 0, text);
  if (t->repeat)
    g_timeout_add ((guint)g_rand_int_range (t->c->rand, 1, PAUSE_MAX_MS),
                   on_next_due, t->entry);
  g_object_unref (t->msg);
  g_free (t);
}

static void
request_send (struct soak_clients *c, struct soak_entry *entry,
              struct soak_job *job, const char *method, const char *body,
              void (*on_reply) (struct soak_job *job, unsigned status,
                                const char *body))
{
  g_autofree char *url = NULL;
  struct request *t = g_new0 (struct request, 1);
  SoupMessageHeaders *headers;

  t->repeat = entry != NULL;
  if (!entry)
    entry
        = c->entries
              ->pdata[g_rand_int_range (c->rand, 0, (gint32)c->entries->len)];
  url = g_strdup_printf ("http://%s/q/%s", entry->address, job ? job->id : "");
  t->c = c;
  t->entry = entry;
  t->job = job;
  t->on_reply = on_reply;
  t->msg = soup_message_new (method, url);
  /* Without this flag libsoup opens a connection for each POST. */
  soup_message_add_flags (t->msg, SOUP_MESSAGE_IDEMPOTENT);
  g_signal_connect (t->msg, "restarted", G_CALLBACK (on_restarted), t);
  g_signal_connect (t->msg, "wrote-body", G_CALLBACK (on_wrote_body), t);
  headers = soup_message_get_request_headers (t->msg);
  soup_message_headers_replace (headers, "Host", "h");
  soup_message_headers_replace (headers, "Deadline-Ms", REQUEST_DEADLINE_MS);
  if (body)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (t->msg, "application/json",
                                                bytes);
    }
  c->open_requests++;
  soup_session_send_and_read_async (c->session, t->msg, G_PRIORITY_DEFAULT,
                                    NULL, on_response, t);
}

static gboolean
on_cancel_due (gpointer data)
{
  job_cancel (data);
  return G_SOURCE_REMOVE;
}

static gboolean
on_retry (gpointer data)
{
  job_submit (data);
  return G_SOURCE_REMOVE;
}

/* Counts a job that was not accepted in its last attempt. */
static void
count_unaccepted (struct soak_job *job)
{
  if (job->may_be_accepted)
    {
      job->c->unknown++;
      return;
    }
  job->c->refused++;
}

/* All attempts were refused, none of them open now. */
static void
mark_refused (struct soak_job *job)
{
  g_hash_table_add (job->c->oracle->refused, g_strdup (job->id));
  if (soak_oracle_job_started (job->c->oracle, job->id))
    soak_violation (job->c->oracle,
                    "%s is refused, and its tasks have started", job->id);
}

static void
on_submit_reply (struct soak_job *job, unsigned status, const char *body)
{
  (void)body;
  if (status >= 200 && status < 300)
    {
      job->accepted = TRUE;
      job->c->accepted++;
      if (job->cancel_after_ms > 0)
        g_timeout_add (job->cancel_after_ms, on_cancel_due, job);
      return;
    }
  if (status != 503 && status != 429)
    job->may_be_accepted = TRUE;
  if (!job->may_be_accepted)
    mark_refused (job);
  if (status >= 400 && status < 500 && status != 429)
    soak_violation (job->c->oracle, "%s is refused with status %u", job->id,
                    status);
  if (job->attempts < job->attempts_max)
    g_timeout_add (RETRY_DELAY_MS, on_retry, job);
  else
    count_unaccepted (job);
}

static void
job_submit (struct soak_job *job)
{
  g_autofree char *body = soak_job_body (job->kind, job->id, job->c->racks);

  job->attempts++;
  g_hash_table_remove (job->c->oracle->refused, job->id);
  request_send (job->c, NULL, job, "POST", body, on_submit_reply);
}

static gboolean
on_cancel_grace_over (gpointer data)
{
  struct soak_job *job = data;

  g_hash_table_add (job->c->oracle->cancelled, g_strdup (job->id));
  return G_SOURCE_REMOVE;
}

static void
on_cancel_reply (struct soak_job *job, unsigned status, const char *body)
{
  (void)body;
  if (status >= 200 && status < 300)
    {
      job->cancelled = TRUE;
      job->c->cancelled++;
      g_timeout_add (CANCEL_GRACE_MS, on_cancel_grace_over, job);
    }
  else if (status == 410)
    soak_violation (job->c->oracle,
                    "%s was accepted, but its cancel finds no such job",
                    job->id);
  else if (job->cancel_attempts < ATTEMPTS_MAX)
    g_timeout_add (RETRY_DELAY_MS, on_cancel_due, job);
}

static void
job_cancel (struct soak_job *job)
{
  job->cancel_attempts++;
  request_send (job->c, NULL, job, "DELETE", NULL, on_cancel_reply);
}

static gboolean
on_submit_due (gpointer data)
{
  struct soak_clients *c = data;
  struct soak_job *job = g_new0 (struct soak_job, 1);

  job->c = c;
  job->id
      = g_strdup_printf ("%08x%08x", g_rand_int (c->job_rand), c->submitted++);
  if (g_rand_int_range (c->job_rand, 0, CANCEL_ONE_IN) == 0)
    job->cancel_after_ms = CANCEL_AFTER_MS;
  job->kind = soak_job_pick_kind (c->job_rand, c->odd, c->submit_deadly,
                                  c->submit_lasting);
  if (job->kind == SOAK_JOB_LASTING)
    job->cancel_after_ms = soak_job_lifetime_ms (c->job_rand);
  job->attempts_max = ATTEMPTS_MAX;
  if (c->impatient)
    job->attempts_max = g_rand_boolean (c->job_rand) ? 1 : ATTEMPTS_MAX;
  g_ptr_array_add (c->jobs, job);
  job_submit (job);
  return G_SOURCE_CONTINUE;
}

/* Checks of states */

struct job_state
{
  unsigned status;
  gboolean received;
  gboolean over;
};

static struct job_state last_state;

/* Returns whether the job is shown as completed or failed, and checks that it
   is so. */
static gboolean
state_check (struct soak_job *job, const char *body)
{
  gboolean completed = strstr (body, "\"completed\"") != NULL;
  gboolean failed = strstr (body, "\"failed\"") != NULL;
  unsigned crashes = 0;

  for (int i = 0; i <= SOAK_FIRST_STEP_TASKS; i++)
    {
      const struct soak_task *task
          = soak_oracle_job_task (job->c->oracle, job->id, i);

      crashes = MAX (crashes, task->crashes);
      if (completed && !task->done)
        soak_violation (job->c->oracle,
                        "%s is completed, but its task %d never finished",
                        job->id, i);
    }
  if (failed
      && (crashes < SOAK_CRASHES_FOR_FAILURE || job->kind == SOAK_JOB_LASTING))
    soak_violation (job->c->oracle,
                    "%s is shown as failed after %u crashes under one of its "
                    "tasks, kind %d",
                    job->id, crashes, (int)job->kind);
  if (failed && !job->failed)
    {
      job->c->failed++;
      job->c->harmless_failed += job->kind != SOAK_JOB_DEADLY;
    }
  job->failed = failed;
  return completed || failed;
}

static void
on_state (struct soak_job *job, unsigned status, const char *body)
{
  last_state.status = status;
  last_state.over = status == 200 && body && state_check (job, body);
  last_state.received = TRUE;
  if (status == 410)
    soak_violation (job->c->oracle, "%s was accepted, but no longer exists",
                    job->id);
}

static void
on_query_reply (struct soak_job *job, unsigned status, const char *body)
{
  if (status == 200 && body && !state_check (job, body))
    job->shown_ms = hk_clock_ms ();
}

void
soak_job_query (struct soak_job *job)
{
  request_send (job->c, NULL, job, "GET", NULL, on_query_reply);
}

static gboolean
is_received (void *user)
{
  return ((struct job_state *)user)->received;
}

static void
job_check (struct soak_job *job)
{
  for (int i = 0; i < CHECK_ATTEMPTS_MAX; i++)
    {
      memset (&last_state, 0, sizeof last_state);
      request_send (job->c, NULL, job, "GET", NULL, on_state);
      test_run_until (is_received, &last_state);
      if (last_state.status == 410)
        return;
      if (last_state.status == 200
          && (last_state.over || job->cancelled || job->kind == SOAK_JOB_DEADLY
              || job->c->submit_lasting))
        return;
      test_run_for (100);
    }
  soak_violation (job->c->oracle,
                  "%s is neither completed nor cancelled, last status %u",
                  job->id, last_state.status);
}

/* Sends a request that may be sent any time: a count of jobs, a query, or an
   accepted job again. */
static gboolean
on_next_due (gpointer data)
{
  struct soak_entry *entry = data;
  struct soak_clients *c = entry->clients;
  guint n = c->jobs->len;
  struct soak_job *job
      = n > 0 ? c->jobs->pdata[g_rand_int_range (c->rand, 0, (gint32)n)]
              : NULL;
  int kind = g_rand_int_range (c->rand, 0, 3);

  if (!c->timer)
    return G_SOURCE_REMOVE;
  if (!job || !job->accepted || kind == 0)
    request_send (c, entry, NULL, "GET", NULL, NULL);
  else if (kind == 1)
    {
      g_autofree char *body = soak_job_body (job->kind, job->id, c->racks);

      request_send (c, entry, job, "POST", body, NULL);
    }
  else
    request_send (c, entry, job, "GET", NULL, on_state);
  return G_SOURCE_REMOVE;
}

void
soak_clients_check (struct soak_clients *c)
{
  for (guint i = 0; i < c->jobs->len; i++)
    {
      struct soak_job *job = c->jobs->pdata[i];

      /* Skips jobs whose cancel got no success: it may have been carried out
         all the same. */
      if (job->accepted && (job->cancelled || job->cancel_attempts == 0))
        job_check (job);
    }
}

static void
job_free (gpointer data)
{
  struct soak_job *job = data;

  g_free (job->id);
  g_free (job);
}

static void
entry_free (gpointer data)
{
  struct soak_entry *entry = data;

  g_free (entry->address);
  g_free (entry);
}

void
soak_clients_init (struct soak_clients *c, struct soak_oracle *oracle,
                   unsigned seed)
{
  c->oracle = oracle;
  c->rand = g_rand_new_with_seed (seed + 1);
  c->job_rand = g_rand_new_with_seed (seed + 2);
  c->entries = g_ptr_array_new_with_free_func (entry_free);
  c->jobs = g_ptr_array_new_with_free_func (job_free);
  c->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "timeout", REQUEST_TIMEOUT_S, "max-conns", 1000,
      "max-conns-per-host", 64, NULL);
}

struct soak_entry *
soak_clients_add_entry (struct soak_clients *c, const char *address)
{
  struct soak_entry *entry = g_new0 (struct soak_entry, 1);

  entry->clients = c;
  entry->address = g_strdup (address);
  g_ptr_array_add (c->entries, entry);
  return entry;
}

void
soak_clients_start (struct soak_clients *c, unsigned interval_ms)
{
  c->timer = g_timeout_add (interval_ms, on_submit_due, c);
  for (guint i = 0; i < c->entries->len * LOOPS_PER_ENTRY; i++)
    on_next_due (c->entries->pdata[i % c->entries->len]);
}

void
soak_clients_set_interval (struct soak_clients *c, unsigned interval_ms)
{
  g_source_remove (c->timer);
  c->timer = g_timeout_add (interval_ms, on_submit_due, c);
}

void
soak_clients_pause (struct soak_clients *c)
{
  g_source_remove (c->timer);
  c->timer = 0;
}

static gboolean
no_open_requests (void *user)
{
  return ((struct soak_clients *)user)->open_requests == 0;
}

void
soak_clients_finish (struct soak_clients *c)
{
  soup_session_abort (c->session);
  test_run_until (no_open_requests, c);
  g_object_unref (c->session);
  g_ptr_array_unref (c->entries);
  g_ptr_array_unref (c->jobs);
  g_rand_free (c->rand);
  g_rand_free (c->job_rand);
}

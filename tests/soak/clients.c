/* Clients of the soak. They check that an accepted job is kept and completes,
   unless cancelled, with every one of its tasks run. */
#include "clients.h"

#include <string.h>

#include "../support/jobs.h"
#include "hyssopkeel/clock.h"

#define SUBMIT_INTERVAL_MS 120
#define ATTEMPTS_MAX 6
#define RETRY_DELAY_MS 500
#define REQUEST_DEADLINE_MS "3000"
#define REQUEST_TIMEOUT_S 4
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

struct job
{
  struct soak_clients *c;
  char *id;
  unsigned attempts;
  gboolean may_be_accepted;
  gboolean accepted;
  gboolean cancelled;
  gboolean to_cancel;
  unsigned cancel_attempts;
};

/* A request without a response yet. */
struct request
{
  struct job *job;
  SoupMessage *msg;
  void (*on_reply) (struct job *job, unsigned status, const char *body);
};

static void job_submit (struct job *job);
static void job_cancel (struct job *job);

static void
on_response (GObject *source, GAsyncResult *res, gpointer user)
{
  struct request *t = user;
  struct job *job = t->job;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, NULL);
  g_autofree char *text = NULL;

  if (bytes)
    text
        = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  job->c->open_requests--;
  t->on_reply (job, bytes ? soup_message_get_status (t->msg) : 0, text);
  g_object_unref (t->msg);
  g_free (t);
}

static void
request_send (struct job *job, const char *method, const char *body,
              void (*on_reply) (struct job *job, unsigned status,
                                const char *body))
{
  struct soak_clients *c = job->c;
  const char *entry
      = c->entries
            ->pdata[g_rand_int_range (c->rand, 0, (gint32)c->entries->len)];
  g_autofree char *url = g_strdup_printf ("http://%s/q/%s", entry, job->id);
  struct request *t = g_new0 (struct request, 1);
  SoupMessageHeaders *headers;

  t->job = job;
  t->on_reply = on_reply;
  t->msg = soup_message_new (method, url);
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
count_unaccepted (struct job *job)
{
  if (job->may_be_accepted)
    {
      job->c->unknown++;
      return;
    }
  job->c->refused++;
  g_hash_table_add (job->c->oracle->refused, g_strdup (job->id));
}

static void
on_submit_reply (struct job *job, unsigned status, const char *body)
{
  (void)body;
  if (status >= 200 && status < 300)
    {
      job->accepted = TRUE;
      job->c->accepted++;
      if (job->to_cancel)
        g_timeout_add (CANCEL_AFTER_MS, on_cancel_due, job);
      return;
    }
  if (status != 503 && status != 429)
    job->may_be_accepted = TRUE;
  if (status >= 400 && status < 500 && status != 429)
    soak_violation (job->c->oracle, "%s is refused with status %u", job->id,
                    status);
  if (job->attempts < ATTEMPTS_MAX)
    g_timeout_add (RETRY_DELAY_MS, on_retry, job);
  else
    count_unaccepted (job);
}

static void
job_submit (struct job *job)
{
  job->attempts++;
  request_send (
      job, "POST",
      "{\"spec\":\"text\",\"steps\":["
      "{\"count\":" G_STRINGIFY (
          SOAK_FIRST_STEP_TASKS) ",\"cpu\":1000,"
                                 "\"memMb\":100,\"estimateMs\":300},"
                                 "{\"count\":1,\"cpu\":1000,\"memMb\":100,"
                                 "\"estimateMs\":300,"
                                 "\"after\":[0]}]}",
      on_submit_reply);
}

static gboolean
on_cancel_grace_over (gpointer data)
{
  struct job *job = data;

  g_hash_table_add (job->c->oracle->cancelled, g_strdup (job->id));
  return G_SOURCE_REMOVE;
}

static void
on_cancel_reply (struct job *job, unsigned status, const char *body)
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
job_cancel (struct job *job)
{
  job->cancel_attempts++;
  request_send (job, "DELETE", NULL, on_cancel_reply);
}

static gboolean
on_submit_due (gpointer data)
{
  struct soak_clients *c = data;
  struct job *job = g_new0 (struct job, 1);

  job->c = c;
  job->id = g_strdup_printf ("%08x%08x", g_rand_int (c->rand), c->submitted++);
  job->to_cancel = g_rand_int_range (c->rand, 0, CANCEL_ONE_IN) == 0;
  g_ptr_array_add (c->jobs, job);
  job_submit (job);
  return G_SOURCE_CONTINUE;
}

/* Check at the end */

struct job_state
{
  unsigned status;
  gboolean received;
  gboolean completed;
};

static struct job_state last_state;

static void
on_state (struct job *job, unsigned status, const char *body)
{
  (void)job;
  last_state.status = status;
  last_state.completed = body && strstr (body, "\"completed\"");
  last_state.received = TRUE;
}

static gboolean
is_received (void *user)
{
  return ((struct job_state *)user)->received;
}

static void
job_check_tasks (struct job *job)
{
  for (int i = 0; i <= SOAK_FIRST_STEP_TASKS; i++)
    {
      gboolean last = i == SOAK_FIRST_STEP_TASKS;
      g_autofree char *task
          = g_strdup_printf ("%s.0.%d.%d", job->id, last, last ? 0 : i);

      if (!g_hash_table_contains (job->c->oracle->finished, task))
        soak_violation (job->c->oracle,
                        "%s is completed, but %s never finished", job->id,
                        task);
    }
}

static void
job_check (struct job *job)
{
  for (int i = 0; i < CHECK_ATTEMPTS_MAX; i++)
    {
      memset (&last_state, 0, sizeof last_state);
      request_send (job, "GET", NULL, on_state);
      test_run_until (is_received, &last_state);
      if (last_state.status == 410)
        {
          soak_violation (job->c->oracle,
                          "%s was accepted, but no longer exists", job->id);
          return;
        }
      if (last_state.status == 200 && (last_state.completed || job->cancelled))
        {
          if (last_state.completed)
            job_check_tasks (job);
          return;
        }
      test_run_for (100);
    }
  soak_violation (job->c->oracle,
                  "%s is neither completed nor cancelled, last status %u",
                  job->id, last_state.status);
}

void
soak_clients_check (struct soak_clients *c)
{
  for (guint i = 0; i < c->jobs->len; i++)
    {
      struct job *job = c->jobs->pdata[i];

      /* Skips jobs whose cancel got no success: it may have been carried out
         all the same. */
      if (job->accepted && (job->cancelled || job->cancel_attempts == 0))
        job_check (job);
    }
}

static void
job_free (gpointer data)
{
  struct job *job = data;

  g_free (job->id);
  g_free (job);
}

void
soak_clients_init (struct soak_clients *c, struct soak_oracle *oracle,
                   unsigned seed)
{
  memset (c, 0, sizeof *c);
  c->oracle = oracle;
  c->rand = g_rand_new_with_seed (seed + 1);
  c->entries = g_ptr_array_new_with_free_func (g_free);
  c->jobs = g_ptr_array_new_with_free_func (job_free);
  c->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "timeout", REQUEST_TIMEOUT_S, "max-conns", 200,
      "max-conns-per-host", 64, NULL);
}

void
soak_clients_add_entry (struct soak_clients *c, const char *address)
{
  g_ptr_array_add (c->entries, g_strdup (address));
}

void
soak_clients_start (struct soak_clients *c)
{
  c->timer = g_timeout_add (SUBMIT_INTERVAL_MS, on_submit_due, c);
}

void
soak_clients_pause (struct soak_clients *c)
{
  g_source_remove (c->timer);
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
}

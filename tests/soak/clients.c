/* Clients of the soak, and what they hold the system to. */
#include "clients.h"

#include <string.h>

#include "../support/jobs.h"
#include "hyssopkeel/clock.h"

#define EVERY_MS 120
#define TRIES_MAX 6
#define RETRY_MS 500
#define DEADLINE_MS "3000"
#define TIMEOUT_S 4
/* One job in so many is cancelled, this long after it was accepted. */
#define CANCEL_ONE_IN 8
#define CANCEL_AFTER_MS 300
/* Nothing begins this long after a cancel was acknowledged. */
#define CANCEL_MS 4000
/* Asks at the end: the system is well, so each is answered soon. */
#define CHECK_TRIES 20

struct job
{
  struct soak_clients *c;
  char *id;
  unsigned tries;
  gboolean unanswered;
  gboolean accepted;
  gboolean cancelled;
  gboolean to_cancel;
  unsigned cancel_tries;
};

/* One request on its way. */
struct
try
  {
    struct job *job;
    SoupMessage *msg;
    void (*done) (struct job * job, unsigned status, const char *body);
  };

static void submit (struct job *job);
static void cancel (struct job *job);

static void
on_answer (GObject *source, GAsyncResult *res, gpointer user)
{
  struct try *t = user;
  struct job *job = t->job;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read_finish (SOUP_SESSION (source), res, NULL);
  g_autofree char *text = NULL;

  if (bytes)
    text
        = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  job->c->open--;
  t->done (job, bytes ? soup_message_get_status (t->msg) : 0, text);
  g_object_unref (t->msg);
  g_free (t);
}

static void
call (struct job *job, const char *method, const char *body,
      void (*done) (struct job *job, unsigned status, const char *body))
{
  struct soak_clients *c = job->c;
  const char *entry
      = c->entries
            ->pdata[g_rand_int_range (c->rand, 0, (gint32)c->entries->len)];
  g_autofree char *url = g_strdup_printf ("http://%s/q/%s", entry, job->id);
  struct try *t = g_new0 (struct try, 1);
  SoupMessageHeaders *headers;

  t->job = job;
  t->done = done;
  t->msg = soup_message_new (method, url);
  headers = soup_message_get_request_headers (t->msg);
  soup_message_headers_replace (headers, "Host", "h");
  soup_message_headers_replace (headers, "Deadline-Ms", DEADLINE_MS);
  if (body)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));

      soup_message_set_request_body_from_bytes (t->msg, "application/json",
                                                bytes);
    }
  c->open++;
  soup_session_send_and_read_async (c->session, t->msg, G_PRIORITY_DEFAULT,
                                    NULL, on_answer, t);
}

static gboolean
on_cancel_due (gpointer data)
{
  cancel (data);
  return G_SOURCE_REMOVE;
}

static gboolean
on_retry (gpointer data)
{
  submit (data);
  return G_SOURCE_REMOVE;
}

/* The last word on a job that was never accepted. */
static void
give_up (struct job *job)
{
  if (job->unanswered)
    {
      job->c->unknown++;
      return;
    }
  job->c->refused++;
  g_hash_table_add (job->c->world->refused, g_strdup (job->id));
}

static void
on_submitted (struct job *job, unsigned status, const char *body)
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
    job->unanswered = TRUE;
  if (status >= 400 && status < 500 && status != 429)
    soak_broken (job->c->world, "%s gets status %u", job->id, status);
  if (job->tries < TRIES_MAX)
    g_timeout_add (RETRY_MS, on_retry, job);
  else
    give_up (job);
}

static void
submit (struct job *job)
{
  job->tries++;
  call (job, "POST",
        "{\"spec\":\"text\",\"steps\":["
        "{\"count\":" G_STRINGIFY (
            SOAK_FIRST_TASKS) ",\"cpu\":1000,"
                              "\"memMb\":100,\"estimateMs\":300},"
                              "{\"count\":1,\"cpu\":1000,\"memMb\":100,"
                              "\"estimateMs\":300,"
                              "\"after\":[0]}]}",
        on_submitted);
}

static gboolean
on_cancel_in_force (gpointer data)
{
  struct job *job = data;

  g_hash_table_add (job->c->world->cancelled, g_strdup (job->id));
  return G_SOURCE_REMOVE;
}

static void
on_cancelled (struct job *job, unsigned status, const char *body)
{
  (void)body;
  if (status >= 200 && status < 300)
    {
      job->cancelled = TRUE;
      job->c->cancelled++;
      g_timeout_add (CANCEL_MS, on_cancel_in_force, job);
    }
  else if (status == 410)
    soak_broken (job->c->world, "%s was accepted and is not known", job->id);
  else if (job->cancel_tries < TRIES_MAX)
    g_timeout_add (RETRY_MS, on_cancel_due, job);
}

static void
cancel (struct job *job)
{
  job->cancel_tries++;
  call (job, "DELETE", NULL, on_cancelled);
}

static gboolean
on_tick (gpointer data)
{
  struct soak_clients *c = data;
  struct job *job = g_new0 (struct job, 1);

  job->c = c;
  job->id = g_strdup_printf ("%08x%08x", g_rand_int (c->rand), c->sent++);
  job->to_cancel = g_rand_int_range (c->rand, 0, CANCEL_ONE_IN) == 0;
  g_ptr_array_add (c->jobs, job);
  submit (job);
  return G_SOURCE_CONTINUE;
}

/* At the end */

struct state
{
  unsigned status;
  gboolean over;
  gboolean completed;
};

static struct state answer;

static void
on_state (struct job *job, unsigned status, const char *body)
{
  (void)job;
  answer.status = status;
  answer.completed = body && strstr (body, "\"completed\"");
  answer.over = TRUE;
}

static gboolean
is_answered (void *user)
{
  return ((struct state *)user)->over;
}

static void
check_tasks (struct job *job)
{
  for (int i = 0; i <= SOAK_FIRST_TASKS; i++)
    {
      gboolean last = i == SOAK_FIRST_TASKS;
      g_autofree char *task
          = g_strdup_printf ("%s.0.%d.%d", job->id, last, last ? 0 : i);

      if (!g_hash_table_contains (job->c->world->finished, task))
        soak_broken (job->c->world, "%s is completed without %s", job->id,
                     task);
    }
}

static void
check (struct job *job)
{
  for (int i = 0; i < CHECK_TRIES; i++)
    {
      memset (&answer, 0, sizeof answer);
      call (job, "GET", NULL, on_state);
      test_spin (is_answered, &answer);
      if (answer.status == 410)
        {
          soak_broken (job->c->world, "%s was accepted and is lost", job->id);
          return;
        }
      if (answer.status == 200 && (answer.completed || job->cancelled))
        {
          if (answer.completed)
            check_tasks (job);
          return;
        }
      test_spin_for (100);
    }
  soak_broken (job->c->world, "%s is not over, last status %u", job->id,
               answer.status);
}

void
soak_clients_check (struct soak_clients *c)
{
  for (guint i = 0; i < c->jobs->len; i++)
    {
      struct job *job = c->jobs->pdata[i];

      /* A cancel without an answer may have been carried out. */
      if (job->accepted && (job->cancelled || job->cancel_tries == 0))
        check (job);
    }
}

static void
free_job (gpointer data)
{
  struct job *job = data;

  g_free (job->id);
  g_free (job);
}

void
soak_clients_init (struct soak_clients *c, struct soak_world *world,
                   unsigned seed)
{
  memset (c, 0, sizeof *c);
  c->world = world;
  c->rand = g_rand_new_with_seed (seed + 1);
  c->entries = g_ptr_array_new_with_free_func (g_free);
  c->jobs = g_ptr_array_new_with_free_func (free_job);
  c->session = soup_session_new_with_options (
      "proxy-resolver", NULL, "timeout", TIMEOUT_S, "max-conns", 200,
      "max-conns-per-host", 64, NULL);
}

void
soak_clients_add (struct soak_clients *c, const char *address)
{
  g_ptr_array_add (c->entries, g_strdup (address));
}

void
soak_clients_start (struct soak_clients *c)
{
  c->timer = g_timeout_add (EVERY_MS, on_tick, c);
}

void
soak_clients_pause (struct soak_clients *c)
{
  g_source_remove (c->timer);
}

static gboolean
all_answered (void *user)
{
  return ((struct soak_clients *)user)->open == 0;
}

void
soak_clients_finish (struct soak_clients *c)
{
  soup_session_abort (c->session);
  test_spin (all_answered, c);
  g_object_unref (c->session);
  g_ptr_array_unref (c->entries);
  g_ptr_array_unref (c->jobs);
  g_rand_free (c->rand);
}

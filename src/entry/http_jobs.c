/* Job requests over HTTP: submit, show, list and cancel. */
#include "http_jobs.h"

#include <string.h>

#include "http_response.h"
#include "hyssopkeel/job_ops.h"

#define LIST_MAX_JOBS 1000

struct pending_response
{
  struct hk_entry *entry;
  SoupServerMessage *msg;
  guint status;
};

static struct pending_response *
pause_message (struct hk_entry *entry, SoupServerMessage *msg, guint status)
{
  struct pending_response *p = g_new0 (struct pending_response, 1);

  p->entry = entry;
  p->msg = g_object_ref (msg);
  p->status = status;
  soup_server_message_pause (msg);
  hk_entry_http_request_begin (&entry->http);
  return p;
}

static void
on_job_reply (int rc, const struct hk_job *job, const struct hk_error *err,
              void *user)
{
  struct pending_response *p = user;

  if (rc == HK_OK)
    hk_http_respond_json (p->msg, p->status, hk_job_describe (job));
  else
    hk_http_respond_problem (p->msg, hk_http_status_from_code (rc),
                             rc == HK_ERR_TIMEOUT ? "unknown" : "not-run",
                             NULL, err->text);
  soup_server_message_unpause (p->msg);
  hk_entry_http_request_end (&p->entry->http);
  g_object_unref (p->msg);
  g_free (p);
}

static void
handle_submit (struct hk_entry *entry, SoupServerMessage *msg)
{
  g_autoptr (GBytes) body
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  g_autoptr (json_object) obj = NULL;
  struct hk_error err = { 0 };
  struct hk_job job = { 0 };
  gsize len;
  const char *text = g_bytes_get_data (body, &len);

  if (entry->tables.revision == 0)
    {
      hk_http_respond_problem (msg, SOUP_STATUS_SERVICE_UNAVAILABLE, "not-run",
                               NULL,
                               "no tables yet; apply them or try again later");
      return;
    }
  if (hk_json_parse (&obj, text ? text : "", len, "request", &err) < 0
      || hk_job_read_request (&job, obj, &entry->tables, &err) < 0)
    {
      hk_http_respond_problem (msg, SOUP_STATUS_BAD_REQUEST, "not-run", NULL,
                               err.text);
      return;
    }
  hk_job_submit (&entry->store.base, &job, &entry->jobs_in_doubt, on_job_reply,
                 pause_message (entry, msg, SOUP_STATUS_CREATED));
  hk_job_finish (&job);
}

static void
handle_list (struct hk_entry *entry, SoupServerMessage *msg)
{
  g_autoptr (GList) jobs = hk_sched_job_list (&entry->sched);
  json_object *obj = json_object_new_object ();
  json_object *rows = json_object_new_array ();
  int n = 0;

  for (GList *l = jobs; l && n < LIST_MAX_JOBS; l = l->next, n++)
    json_object_array_add (rows, hk_job_describe (l->data));
  json_object_object_add (obj, "jobs", rows);
  json_object_object_add (obj, "total",
                          json_object_new_int ((int)g_list_length (jobs)));
  hk_http_respond_json (msg, SOUP_STATUS_OK, obj);
}

static void
handle_job (struct hk_entry *entry, SoupServerMessage *msg, const char *id)
{
  const char *method = soup_server_message_get_method (msg);

  if (method == SOUP_METHOD_GET)
    hk_job_fetch (&entry->store.base, id, on_job_reply,
                  pause_message (entry, msg, SOUP_STATUS_OK));
  else if (method == SOUP_METHOD_DELETE)
    hk_job_cancel (&entry->store.base, id, on_job_reply,
                   pause_message (entry, msg, SOUP_STATUS_ACCEPTED));
  else
    hk_http_respond_problem (msg, SOUP_STATUS_METHOD_NOT_ALLOWED, "not-run",
                             NULL, "use GET or DELETE");
}

void
hk_http_jobs (struct hk_entry *entry, SoupServerMessage *msg, const char *path)
{
  const char *method = soup_server_message_get_method (msg);
  const char *id = path + strlen ("/jobs");

  if (*id == '/')
    id++;
  if (*id)
    handle_job (entry, msg, id);
  else if (method == SOUP_METHOD_POST)
    handle_submit (entry, msg);
  else if (method == SOUP_METHOD_GET)
    handle_list (entry, msg);
  else
    hk_http_respond_problem (msg, SOUP_STATUS_METHOD_NOT_ALLOWED, "not-run",
                             NULL, "use GET or POST");
}

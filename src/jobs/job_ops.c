/* Submission, lookup and cancellation of job records for clients and
   operators. A cancellation that races with another write is retried on the
   new record. */
#include "hyssopkeel/job_ops.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/record.h"

/* A write reports an unknown outcome after this time. */
#define WRITE_TIMEOUT_MS 5000
#define PAYLOAD_MAX_BYTES 65536
/* Retries of a cancellation after conflicting writes. */
#define CONFLICTS_MAX 20

#define AT(member) offsetof (struct hk_job, member)

static const struct hk_json_field request_fields[] = {
  { "id", HK_JSON_STRING, AT (id), FALSE, 1, 100 },
  { "route", HK_JSON_STRING, AT (route), TRUE, 1, 64 },
  { "team", HK_JSON_STRING, AT (team), FALSE, 1, 64 },
  { "payload", HK_JSON_STRING, AT (payload), FALSE, 0, PAYLOAD_MAX_BYTES },
  { "work_ms", HK_JSON_INT, AT (work_ms), FALSE, 0, 0 },
  { "cpu_milli", HK_JSON_INT, AT (cpu_milli), FALSE, 0, 1024000 },
  { "memory_mb", HK_JSON_INT, AT (memory_mb), FALSE, 0, 16777216 },
  { "accelerators", HK_JSON_INT, AT (accelerators), FALSE, 0, 64 },
};

static int
invalid_field (struct hk_error *err, const char *path, const char *rule)
{
  return hk_error_set (err, HK_ERR_INVALID, "job.check", "request", "%s: %s",
                       path, rule);
}

static int
check_request (struct hk_job *job, const struct hk_tables *tables,
               struct hk_error *err)
{
  const struct hk_route *route = hk_tables_route (tables, job->route);

  if (!route)
    return invalid_field (err, "/route", "no such route");
  if (route->kind == HK_ROUTE_INTERACTIVE)
    return invalid_field (err, "/route", "is interactive and takes no jobs");
  if (job->id && !hk_id_valid (job->id, 100))
    return invalid_field (err, "/id",
                          "letters, digits, '.', '_' and '-' only");
  if (job->team && !hk_id_valid (job->team, 64))
    return invalid_field (err, "/team",
                          "letters, digits, '.', '_' and '-' only");
  if (job->cpu_milli < 0)
    job->cpu_milli = route->cpu_milli;
  if (job->memory_mb < 0)
    job->memory_mb = route->memory_mb;
  if (job->accelerators < 0)
    job->accelerators = route->accelerators;
  return HK_OK;
}

int
hk_job_read_request (struct hk_job *job, json_object *obj,
                     const struct hk_tables *tables, struct hk_error *err)
{
  int rc;

  job->cpu_milli = -1;
  job->memory_mb = -1;
  job->accelerators = -1;
  rc = hk_json_read (obj, request_fields, G_N_ELEMENTS (request_fields), job,
                     "request", "", err);
  if (rc == HK_OK)
    rc = check_request (job, tables, err);
  if (rc < 0)
    {
      hk_job_finish (job);
      return rc;
    }
  if (!job->id)
    job->id = hk_id_new (job->route);
  job->write_id = hk_id_new ("w");
  job->submitted_ms = g_get_real_time () / 1000;
  hk_job_set_state (job, HK_JOB_QUEUED);
  return HK_OK;
}

struct operation
{
  struct hk_store *store;
  char *id;
  struct hk_job job;
  struct hk_recent_ids *in_doubt;
  int conflicts;
  hk_job_done done;
  void *user;
};

static struct operation *
operation_new (struct hk_store *store, const char *id, hk_job_done done,
               void *user)
{
  struct operation *op = g_new0 (struct operation, 1);

  op->store = store;
  op->id = g_strdup (id);
  op->done = done;
  op->user = user;
  return op;
}

static void
operation_finish (struct operation *op, int rc, const struct hk_error *err)
{
  op->done (rc, rc == HK_OK ? &op->job : NULL, err, op->user);
  hk_job_finish (&op->job);
  g_free (op->id);
  g_free (op);
}

static int
operation_parse (struct operation *op, const struct hk_store_kv *kv,
                 struct hk_error *err)
{
  hk_job_finish (&op->job);
  if (!kv)
    return hk_error_set (err, HK_ERR_NOT_FOUND, "job.fetch", op->id,
                         "no such job");
  if (hk_job_parse (&op->job, kv->value, kv->len, err) < 0)
    return HK_ERR_INVALID;
  op->job.mod_revision = kv->mod_revision;
  return HK_OK;
}

static int
operation_parse_result (struct operation *op, int rc,
                        const struct hk_store_result *res,
                        const struct hk_error *err, struct hk_error *parse_err)
{
  if (rc == HK_OK)
    return operation_parse (op, res->n_kvs > 0 ? &res->kvs[0] : NULL,
                            parse_err);
  *parse_err = *err;
  return rc;
}

/* Whether a stored record is that of a submission, which others may have
   changed since: an agent may claim a job before a lost reply is noticed. */
static gboolean
is_submission (const struct hk_store_kv *kv, const struct hk_job *submitted)
{
  struct hk_job stored = { 0 };
  gboolean same;

  if (!kv || hk_job_parse (&stored, kv->value, kv->len, NULL) < 0)
    return FALSE;
  same = stored.submitted_ms == submitted->submitted_ms
         && g_strcmp0 (stored.route, submitted->route) == 0
         && g_strcmp0 (stored.team, submitted->team) == 0
         && g_strcmp0 (stored.payload, submitted->payload) == 0;
  hk_job_finish (&stored);
  return same;
}

/* An earlier submission of the id may be stored after this one failed. */
static int
resolve_earlier (struct operation *op, int rc)
{
  if (!op->in_doubt)
    return rc;
  if (rc == HK_ERR_TIMEOUT)
    hk_recent_ids_add (op->in_doubt, op->id, hk_clock_ms ());
  else if (rc == HK_ERR_UNAVAILABLE
           && hk_recent_ids_has (op->in_doubt, op->id))
    return HK_ERR_TIMEOUT;
  else if (rc != HK_ERR_UNAVAILABLE)
    hk_recent_ids_remove (op->in_doubt, op->id);
  return rc;
}

static void
on_submitted (int rc, const struct hk_store_kv *current,
              const struct hk_error *err, void *user)
{
  struct operation *op = user;

  if (rc == HK_ERR_CONFLICT && is_submission (current, &op->job))
    rc = HK_OK;
  if (rc == HK_OK)
    op->job.mod_revision = current->mod_revision;
  operation_finish (op, resolve_earlier (op, rc), err);
}

void
hk_job_submit (struct hk_store *store, const struct hk_job *job,
               struct hk_recent_ids *in_doubt, hk_job_done done, void *user)
{
  struct operation *op = operation_new (store, job->id, done, user);
  g_autofree char *value = hk_job_write (job);
  g_autofree char *key = hk_job_key (job->id);

  op->in_doubt = in_doubt;
  hk_job_parse (&op->job, value, strlen (value), NULL);
  hk_record_put (store, key, 0, value, job->write_id, WRITE_TIMEOUT_MS,
                 on_submitted, op);
}

static void
on_fetched (int rc, const struct hk_store_result *res,
            const struct hk_error *err, void *user)
{
  struct operation *op = user;
  struct hk_error parse_err = { 0 };

  rc = operation_parse_result (op, rc, res, err, &parse_err);
  operation_finish (op, rc, &parse_err);
}

static void
operation_read (struct operation *op, hk_store_done done)
{
  g_autofree char *key = hk_job_key (op->id);

  op->store->ops->range (op->store, key, FALSE, done, op);
}

void
hk_job_fetch (struct hk_store *store, const char *id, hk_job_done done,
              void *user)
{
  operation_read (operation_new (store, id, done, user), on_fetched);
}

static void operation_write_cancel (struct operation *op);

static void
on_cancel_written (int rc, const struct hk_store_kv *current,
                   const struct hk_error *err, void *user)
{
  struct operation *op = user;
  struct hk_error parse_err = { 0 };

  if (rc != HK_ERR_CONFLICT || ++op->conflicts > CONFLICTS_MAX)
    {
      operation_finish (op, rc, err);
      return;
    }
  rc = operation_parse (op, current, &parse_err);
  if (rc < 0)
    operation_finish (op, rc, &parse_err);
  else
    operation_write_cancel (op);
}

static void
operation_write_cancel (struct operation *op)
{
  g_autofree char *key = hk_job_key (op->id);
  g_autofree char *value = NULL;
  struct hk_error err;

  if (op->job.state == HK_JOB_CANCELLED
      || (op->job.cancel && op->job.state == HK_JOB_RUNNING))
    {
      operation_finish (op, HK_OK, NULL);
      return;
    }
  if (hk_job_ended (&op->job))
    {
      hk_error_set (&err, HK_ERR_CONFLICT, "job.cancel", op->id,
                    "has ended already: %s", op->job.state_name);
      operation_finish (op, HK_ERR_CONFLICT, &err);
      return;
    }
  op->job.cancel = TRUE;
  if (op->job.state != HK_JOB_RUNNING)
    hk_job_set_state (&op->job, HK_JOB_CANCELLED);
  g_free (op->job.write_id);
  op->job.write_id = hk_id_new ("w");
  value = hk_job_write (&op->job);
  hk_record_put (op->store, key, op->job.mod_revision, value, op->job.write_id,
                 WRITE_TIMEOUT_MS, on_cancel_written, op);
}

static void
on_cancel_read (int rc, const struct hk_store_result *res,
                const struct hk_error *err, void *user)
{
  struct operation *op = user;
  struct hk_error parse_err = { 0 };

  rc = operation_parse_result (op, rc, res, err, &parse_err);
  if (rc < 0)
    operation_finish (op, rc, &parse_err);
  else
    operation_write_cancel (op);
}

void
hk_job_cancel (struct hk_store *store, const char *id, hk_job_done done,
               void *user)
{
  operation_read (operation_new (store, id, done, user), on_cancel_read);
}

json_object *
hk_job_describe (const struct hk_job *job)
{
  g_autofree char *text = hk_job_write (job);
  json_object *obj = NULL;

  hk_json_parse (&obj, text, strlen (text), "job", NULL);
  json_object_object_del (obj, "write_id");
  json_object_object_del (obj, "worker_lease_ms");
  return obj;
}

/* Adoption of the tasks that the worker already ran when this agent attached,
   e.g. after the predecessor agent crashed. Every listed task is booked first,
   then held or discarded according to its record in the store. */
#include "agent.h"

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "job_run.h"

/* Delay before a failed read or removal is repeated. */
#define ADOPTION_RETRY_MS 1000

struct adoption
{
  struct hk_agent_jobs *jobs;
  json_object *task;
  struct hk_size size;
  struct hk_timer retry;
};

static void read_record (void *user);

static void
finish_adoption (struct adoption *a)
{
  g_hash_table_remove (a->jobs->adopting_ids, hk_json_str (a->task, "id"));
  json_object_put (a->task);
  g_free (a);
}

static void
hold_task (struct adoption *a, struct hk_job *job)
{
  struct hk_agent_job *held;

  /* The route was not known when the task was booked; move the booking. */
  hk_capacity_release (&a->jobs->agent->capacity, "", &a->size,
                       hk_clock_ms ());
  hk_capacity_force (&a->jobs->agent->capacity, job->route, &a->size,
                     hk_clock_ms ());
  held = hk_job_run_new (a->jobs, job, &a->size);
  hk_log (HK_LOG_INFO, "jobs", NULL, held->job.id,
          "adopted a task that was already running on the worker");
  hk_job_run_adopt (held, a->task);
  finish_adoption (a);
}

static void
on_removed (int rc, json_object *reply, const struct hk_error *err, void *user)
{
  struct adoption *a = user;

  (void)reply;
  (void)err;
  if (rc != HK_OK && rc != HK_ERR_NOT_FOUND && rc != HK_ERR_INVALID)
    {
      hk_timer_set (&a->retry, ADOPTION_RETRY_MS, read_record, a);
      return;
    }
  hk_capacity_release (&a->jobs->agent->capacity, "", &a->size,
                       hk_clock_ms ());
  hk_agent_notify (&a->jobs->agent->requests.task, HK_MSG_CAPACITY_FREED);
  finish_adoption (a);
}

static void
remove_task (struct adoption *a)
{
  struct hk_worker *worker = a->jobs->agent->worker;
  g_autofree char *path
      = g_strdup_printf ("/tasks/%s/forget", hk_json_str (a->task, "id"));
  json_object *body = json_object_new_object ();

  json_object_object_add (
      body, "epoch", json_object_new_int64 (hk_json_int (a->task, "epoch")));
  worker->ops->call (worker, path, body, on_removed, a);
}

static void
on_record_read (int rc, const struct hk_store_result *res,
                const struct hk_error *err, void *user)
{
  struct adoption *a = user;
  struct hk_job job = { 0 };

  if (rc < 0)
    {
      hk_log_error ("jobs", hk_json_str (a->task, "id"), err);
      hk_timer_set (&a->retry, ADOPTION_RETRY_MS, read_record, a);
      return;
    }
  if (res->n_kvs > 0)
    hk_job_parse (&job, res->kvs[0].value, res->kvs[0].len, NULL);
  if (job.id && job.state == HK_JOB_RUNNING
      && job.epoch == hk_json_int (a->task, "epoch")
      && g_strcmp0 (job.boot, a->jobs->agent->link.boot) == 0)
    {
      job.mod_revision = res->kvs[0].mod_revision;
      hold_task (a, &job);
    }
  else
    remove_task (a);
  hk_job_finish (&job);
}

static void
read_record (void *user)
{
  struct adoption *a = user;
  struct hk_store *store = &a->jobs->agent->store.base;
  g_autofree char *key = hk_job_key (hk_json_str (a->task, "id"));

  store->ops->range (store, key, FALSE, on_record_read, a);
}

void
hk_agent_jobs_adopt (struct hk_agent_jobs *j, json_object *listing)
{
  json_object *list = NULL;

  json_object_object_get_ex (listing, "tasks", &list);
  for (size_t i = 0; list && i < json_object_array_length (list); i++)
    {
      json_object *task = json_object_array_get_idx (list, i);
      const char *id = hk_json_str (task, "id");
      struct adoption *a;

      if (!id || hk_agent_jobs_find (j, id)
          || !g_hash_table_add (j->adopting_ids, g_strdup (id)))
        continue;
      a = g_new0 (struct adoption, 1);
      a->jobs = j;
      a->task = json_object_get (task);
      a->size = (struct hk_size){ 1, hk_json_int (task, "cpu_milli"),
                                  hk_json_int (task, "memory_mb"),
                                  hk_json_int (task, "accelerators") };
      hk_capacity_force (&j->agent->capacity, "", &a->size, hk_clock_ms ());
      read_record (a);
    }
}

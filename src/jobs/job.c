/* Job records: JSON encoding in the store, and changes of state. */
#include "hyssopkeel/job.h"

#include <string.h>

#include "hyssopkeel/store.h"

#define TEXT_MAX_BYTES 262144
/* A job has failed for good after this many failed runs, each on another
   instance where the pool has so many. */
#define FAILED_RUNS_MAX 3
/* Starts an entry of the failed instances that is no failure of the job yet.
   Builds without crash counts read it as the name of an unknown instance. */
#define CRASH_MARK "crashed:"
#define FIELD(name, type, member, required)                                   \
  {                                                                           \
    name, type, offsetof (struct hk_job, member), required, 0, 0              \
  }

static const struct hk_json_field fields[] = {
  { "id", HK_JSON_STRING, offsetof (struct hk_job, id), TRUE, 1, 128 },
  { "route", HK_JSON_STRING, offsetof (struct hk_job, route), TRUE, 1, 64 },
  { "payload", HK_JSON_STRING, offsetof (struct hk_job, payload), FALSE, 0,
    TEXT_MAX_BYTES },
  { "checkpoint", HK_JSON_STRING, offsetof (struct hk_job, checkpoint), FALSE,
    0, TEXT_MAX_BYTES },
  { "result", HK_JSON_STRING, offsetof (struct hk_job, result), FALSE, 0,
    TEXT_MAX_BYTES },
  FIELD ("team", HK_JSON_STRING, team, FALSE),
  FIELD ("work_ms", HK_JSON_INT, work_ms, FALSE),
  FIELD ("cpu_milli", HK_JSON_INT, cpu_milli, FALSE),
  FIELD ("memory_mb", HK_JSON_INT, memory_mb, FALSE),
  FIELD ("accelerators", HK_JSON_INT, accelerators, FALSE),
  FIELD ("state", HK_JSON_STRING, state_name, TRUE),
  FIELD ("epoch", HK_JSON_INT, epoch, FALSE),
  FIELD ("holder", HK_JSON_STRING, holder, FALSE),
  FIELD ("instance", HK_JSON_STRING, instance, FALSE),
  FIELD ("boot", HK_JSON_STRING, boot, FALSE),
  FIELD ("worker_lease_ms", HK_JSON_INT, worker_lease_ms, FALSE),
  FIELD ("reason", HK_JSON_STRING, reason, FALSE),
  FIELD ("attempts", HK_JSON_INT, attempts, FALSE),
  FIELD ("evictions", HK_JSON_INT, evictions, FALSE),
  FIELD ("failed_on", HK_JSON_STRV, failed_on, FALSE),
  FIELD ("cancel", HK_JSON_BOOL, cancel, FALSE),
  FIELD ("submitted_ms", HK_JSON_INT, submitted_ms, FALSE),
  FIELD ("started_ms", HK_JSON_INT, started_ms, FALSE),
  FIELD ("write_id", HK_JSON_STRING, write_id, TRUE),
};

static const char *const state_names[]
    = { "queued", "running", "parked", "done", "failed", "cancelled" };

void
hk_job_finish (struct hk_job *job)
{
  hk_json_clear (fields, G_N_ELEMENTS (fields), job);
  memset (job, 0, sizeof *job);
}

static int
parse_state (struct hk_job *job)
{
  for (guint i = 0; i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (state_names[i], job->state_name) == 0)
      {
        job->state = i;
        return HK_OK;
      }
  return HK_ERR_INVALID;
}

int
hk_job_parse (struct hk_job *job, const char *text, size_t len,
              struct hk_error *err)
{
  g_autoptr (json_object) obj = NULL;
  int rc = hk_json_parse (&obj, text, len, "job", err);

  if (rc == HK_OK)
    rc = hk_json_read (obj, fields, G_N_ELEMENTS (fields), job, "job", "",
                       err);
  if (rc == HK_OK && parse_state (job) < 0)
    rc = hk_error_set (err, HK_ERR_INVALID, "job.parse", job->id,
                       "unknown state");
  if (rc < 0)
    hk_job_finish (job);
  return rc;
}

char *
hk_job_write (const struct hk_job *job)
{
  g_autoptr (json_object) obj
      = hk_json_write (fields, G_N_ELEMENTS (fields), job);

  return g_strdup (
      json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN));
}

void
hk_job_set_state (struct hk_job *job, enum hk_job_state state)
{
  job->state = state;
  g_free (job->state_name);
  job->state_name = g_strdup (state_names[state]);
}

const char *
hk_job_state_name (enum hk_job_state state)
{
  return state_names[state];
}

gboolean
hk_job_ended (const struct hk_job *job)
{
  return job->state == HK_JOB_DONE || job->state == HK_JOB_FAILED
         || job->state == HK_JOB_CANCELLED;
}

void
hk_job_requeue (struct hk_job *job)
{
  hk_job_set_state (job, job->cancel ? HK_JOB_CANCELLED : HK_JOB_QUEUED);
  g_clear_pointer (&job->holder, g_free);
  g_clear_pointer (&job->instance, g_free);
  g_clear_pointer (&job->boot, g_free);
}

static void
add_failed_on (struct hk_job *job, const char *name)
{
  g_autoptr (GStrvBuilder) names = g_strv_builder_new ();

  if (job->failed_on
      && g_strv_contains ((const char *const *)job->failed_on, name))
    return;
  if (job->failed_on)
    g_strv_builder_addv (names, (const char **)job->failed_on);
  g_strv_builder_add (names, name);
  g_strfreev (job->failed_on);
  job->failed_on = g_strv_builder_end (names);
}

void
hk_job_add_failure (struct hk_job *job, const char *instance)
{
  job->attempts++;
  add_failed_on (job, instance);
  hk_job_requeue (job);
  if (!job->cancel && job->attempts >= FAILED_RUNS_MAX)
    hk_job_set_state (job, HK_JOB_FAILED);
}

gboolean
hk_job_is_suspect (const struct hk_job *job)
{
  for (char **name = job->failed_on; name && *name; name++)
    if (g_str_has_prefix (*name, CRASH_MARK))
      return TRUE;
  return FALSE;
}

void
hk_job_add_crash (struct hk_job *job, const char *instance, gboolean alone)
{
  g_autofree char *mark = g_strconcat (CRASH_MARK, instance, NULL);

  if (!hk_job_is_suspect (job))
    add_failed_on (job, mark);
  if (alone)
    hk_job_add_failure (job, instance);
  else
    hk_job_requeue (job);
}

char *
hk_job_key (const char *id)
{
  return g_strconcat (HK_KEY_JOBS, id, NULL);
}

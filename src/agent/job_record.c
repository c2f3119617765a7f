/* Writes to the record of a held job. Each is conditional on the revision last
   seen, so that an agent cannot overwrite a claim that superseded its own. */
#include "job_record.h"

#include <string.h>

#include "hyssopkeel/id.h"

#define RECORD_WRITE_TIMEOUT_MS 3000

static void
set_text (char **slot, const char *text)
{
  g_free (*slot);
  *slot = g_strdup (text);
}

void
hk_job_copy (struct hk_job *dst, const struct hk_job *src)
{
  g_autofree char *text = hk_job_write (src);

  hk_job_finish (dst);
  hk_job_parse (dst, text, strlen (text), NULL);
  dst->mod_revision = src->mod_revision;
}

void
hk_job_store_next (struct hk_agent_job *j, hk_record_done done)
{
  g_autofree char *key = hk_job_key (j->job.id);
  g_autofree char *value = NULL;

  if (!j->write_id)
    j->write_id = hk_id_new ("w");
  set_text (&j->next.write_id, j->write_id);
  value = hk_job_write (&j->next);
  hk_record_put (&j->owner->agent->store.base, key, j->job.mod_revision, value,
                 j->write_id, RECORD_WRITE_TIMEOUT_MS, done, j);
}

void
hk_job_commit_next (struct hk_agent_job *j, int64_t mod_revision)
{
  hk_job_finish (&j->job);
  j->job = j->next;
  memset (&j->next, 0, sizeof j->next);
  j->job.mod_revision = mod_revision;
  g_clear_pointer (&j->write_id, g_free);
}

/* Whether the current record is a running job with the epoch and holder of
   @claim; sets @cancel to its cancel flag if so. */
static gboolean
carries_claim (const struct hk_store_kv *current, const struct hk_job *claim,
               gboolean *cancel)
{
  struct hk_job current_job = { 0 };
  gboolean matches;

  if (!current
      || hk_job_parse (&current_job, current->value, current->len, NULL) < 0)
    return FALSE;
  matches = current_job.state == HK_JOB_RUNNING
            && current_job.epoch == claim->epoch
            && g_strcmp0 (current_job.holder, claim->holder) == 0;
  *cancel = current_job.cancel;
  hk_job_finish (&current_job);
  return matches;
}

gboolean
hk_job_claim_valid (struct hk_agent_job *j, const struct hk_store_kv *current)
{
  gboolean cancel;

  if (!carries_claim (current, &j->job, &cancel))
    return FALSE;
  j->job.cancel = cancel;
  j->job.mod_revision = current->mod_revision;
  g_clear_pointer (&j->write_id, g_free);
  return TRUE;
}

gboolean
hk_job_claim_committed (struct hk_agent_job *j,
                        const struct hk_store_kv *current)
{
  gboolean cancel;

  if (!carries_claim (current, &j->next, &cancel))
    return FALSE;
  j->next.cancel = cancel;
  return TRUE;
}

void
hk_job_next_from_outcome (struct hk_agent_job *j)
{
  const char *instance = j->owner->agent->settings->name;
  struct hk_job *next = &j->next;

  hk_job_copy (next, &j->job);
  switch (j->outcome)
    {
    case HK_JOB_OUTCOME_DONE:
      hk_job_set_state (next, HK_JOB_DONE);
      g_clear_pointer (&next->holder, g_free);
      break;
    case HK_JOB_OUTCOME_FAILED:
      hk_job_add_failure (next, instance);
      break;
    case HK_JOB_OUTCOME_CRASHED:
      hk_job_add_crash (next, instance, j->crashed_alone);
      break;
    case HK_JOB_OUTCOME_REQUEUE:
      next->evictions += j->evicted;
      hk_job_requeue (next);
      break;
    }
}

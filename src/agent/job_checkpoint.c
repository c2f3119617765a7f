/* Periodic write of the checkpoint of a running task to the record of its
   job. */
#include "job_run.h"

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "job_record.h"
#include "job_run_priv.h"

static void
on_checkpoint_written (int rc, const struct hk_store_kv *current,
                       const struct hk_error *err, void *user)
{
  struct hk_agent_job *j = user;

  if (rc == HK_OK)
    {
      g_autofree char *reason = g_strdup (j->job.reason);
      g_autofree char *result = g_strdup (j->job.result);
      g_autofree char *checkpoint = g_strdup (j->job.checkpoint);

      hk_job_commit_next (j, current->mod_revision);
      hk_job_run_set_text (&j->job.reason, reason);
      hk_job_run_set_text (&j->job.result, result);
      hk_job_run_set_text (&j->job.checkpoint, checkpoint);
    }
  else if (rc == HK_ERR_CONFLICT && hk_job_claim_valid (j, current))
    {
      if (j->job.cancel)
        hk_job_run_stop (j, "cancelled", FALSE);
    }
  else if (rc == HK_ERR_CONFLICT)
    {
      g_clear_pointer (&j->write_id, g_free);
      hk_job_run_abandon (j);
      return;
    }
  else
    {
      /* Repeated until the outcome is known, since the next write compares
         the revision that this one makes. */
      hk_log_error ("jobs", j->job.id, err);
      hk_job_store_next (j, on_checkpoint_written);
      return;
    }
  if (j->phase == HK_PHASE_RECORD)
    hk_job_run_write_outcome (j);
}

void
hk_job_run_write_checkpoint (struct hk_agent_job *j)
{
  int64_t now = hk_clock_ms ();

  if (j->write_id || now < j->checkpoint_at_ms)
    return;
  j->checkpoint_at_ms = now + hk_job_run_agent (j)->settings->checkpoint_ms;
  hk_job_copy (&j->next, &j->job);
  hk_job_store_next (j, on_checkpoint_written);
}

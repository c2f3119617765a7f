/* Submissions of jobs to a store that loses requests and replies. */
#include <glib.h>
#include <string.h>

#include "fake_store.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/job_ops.h"
#include "hyssopkeel/record.h"

#define LIMIT_MS 20000

struct result
{
  int n_done;
  int rc;
};

static void
on_job (int rc, const struct hk_job *job, const struct hk_error *err,
        void *user)
{
  struct result *result = user;

  (void)job;
  (void)err;
  result->n_done++;
  result->rc = rc;
}

static void
on_put (int rc, const struct hk_store_kv *current, const struct hk_error *err,
        void *user)
{
  (void)rc;
  (void)current;
  (void)err;
  (void)user;
}

static int
result_wait (struct result *result)
{
  int64_t limit_ms = hk_clock_ms () + LIMIT_MS;

  while (result->n_done == 0)
    {
      g_assert_cmpint (hk_clock_ms (), <, limit_ms);
      g_main_context_iteration (NULL, TRUE);
    }
  return result->rc;
}

static struct hk_job
job_queued (const char *id)
{
  struct hk_job job = { .id = g_strdup (id),
                        .route = g_strdup ("tint"),
                        .payload = g_strdup ("text"),
                        .submitted_ms = 1000,
                        .write_id = g_strdup ("w1") };

  hk_job_set_state (&job, HK_JOB_QUEUED);
  return job;
}

/* Guards against a job that runs although its client was told that it was not
   accepted: an agent had claimed it when the lost reply was noticed. */
static void
jobs_claimed_after_a_lost_reply_are_accepted (void)
{
  struct fake_store s;
  struct result result = { 0 };
  struct hk_job job = job_queued ("a");
  g_autofree char *claimed = NULL;

  fake_store_init (&s);
  s.drop_replies = 1;
  hk_job_submit (&s.base, &job, NULL, on_job, &result);
  g_assert_cmpint (s.writes, ==, 1);
  g_free (job.write_id);
  job.write_id = g_strdup ("w2");
  hk_job_set_state (&job, HK_JOB_RUNNING);
  claimed = hk_job_write (&job);
  hk_record_put (&s.base, "k", 1, claimed, "w2", LIMIT_MS, on_put, NULL);
  g_assert_cmpint (s.writes, ==, 2);
  g_assert_cmpint (result_wait (&result), ==, HK_OK);
  hk_job_finish (&job);
  fake_store_finish (&s);
}

/* Guards against the opposite: another job under the same id. */
static void
other_jobs_under_the_id_are_a_conflict (void)
{
  struct fake_store s;
  struct result result = { 0 };
  struct hk_job job = job_queued ("a");

  fake_store_init (&s);
  hk_job_submit (&s.base, &job, NULL, on_job, &result);
  g_assert_cmpint (result_wait (&result), ==, HK_OK);
  g_free (job.write_id);
  job.write_id = g_strdup ("w2");
  job.submitted_ms = 2000;
  memset (&result, 0, sizeof result);
  hk_job_submit (&s.base, &job, NULL, on_job, &result);
  g_assert_cmpint (result_wait (&result), ==, HK_ERR_CONFLICT);
  hk_job_finish (&job);
  fake_store_finish (&s);
}

/* Guards against a refusal of an id whose earlier submission may be stored. */
static void
submissions_after_one_in_doubt_are_not_refused (void)
{
  struct fake_store s;
  struct result result = { 0 };
  struct result other = { 0 };
  struct hk_recent_ids in_doubt;
  struct hk_job job = job_queued ("a");
  struct hk_job job_other = job_queued ("b");

  fake_store_init (&s);
  hk_recent_ids_init (&in_doubt, 60000, 100);
  s.drop_requests = 1000;
  hk_job_submit (&s.base, &job, &in_doubt, on_job, &result);
  g_assert_cmpint (result_wait (&result), ==, HK_ERR_TIMEOUT);
  s.unreachable = TRUE;
  memset (&result, 0, sizeof result);
  hk_job_submit (&s.base, &job, &in_doubt, on_job, &result);
  hk_job_submit (&s.base, &job_other, &in_doubt, on_job, &other);
  g_assert_cmpint (result_wait (&result), ==, HK_ERR_TIMEOUT);
  g_assert_cmpint (result_wait (&other), ==, HK_ERR_UNAVAILABLE);
  hk_job_finish (&job);
  hk_job_finish (&job_other);
  hk_recent_ids_finish (&in_doubt);
  fake_store_finish (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/job_submit/" #name, name)
  ADD (jobs_claimed_after_a_lost_reply_are_accepted);
  ADD (other_jobs_under_the_id_are_a_conflict);
  ADD (submissions_after_one_in_doubt_are_not_refused);
  return g_test_run ();
}

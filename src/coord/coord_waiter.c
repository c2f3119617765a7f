/* Callers that wait until a version of a job is committed. */
#include "coord.h"

/* A caller that waits until @version of a job is committed. */
struct coord_waiter
{
  uint64_t version;
  hk_job_request_reply reply;
  hk_coord_request_done done;
  void *user;
  LIST_ENTRY (coord_waiter) link;
};

LIST_HEAD (coord_waiters, coord_waiter);

static void
waiter_finish (struct coord_waiter *w)
{
  LIST_REMOVE (w, link);
  w->done (&w->reply, w->user);
  g_free (w);
}

static void
waiters_free_empty (struct hk_engine_job *job)
{
  struct coord_waiters *list = job->user;

  if (list && LIST_EMPTY (list))
    {
      job->user = NULL;
      g_free (list);
    }
}

void
coord_waiters_notify (struct hk_engine_job *job)
{
  struct coord_waiters *list = job->user;
  struct coord_waiter *w;
  struct coord_waiter *next;

  if (!list)
    return;
  for (w = LIST_FIRST (list); w; w = next)
    {
      next = LIST_NEXT (w, link);
      if (w->version <= job->committed_version)
        waiter_finish (w);
    }
  waiters_free_empty (job);
}

static void
waiters_finish_all (struct hk_engine_job *job,
                    const hk_job_request_reply *reply)
{
  struct coord_waiters *list = job->user;

  if (!list)
    return;
  while (!LIST_EMPTY (list))
    {
      struct coord_waiter *w = LIST_FIRST (list);

      w->reply = *reply;
      waiter_finish (w);
    }
  waiters_free_empty (job);
}

void
coord_waiters_drop (struct hk_engine_job *job)
{
  hk_job_request_reply reply
      = { .outcome = HK_JOB_REQUEST_NOT_LEADING, .reason = "" };

  waiters_finish_all (job, &reply);
}

/* For jobs that cannot have been stored. */
void
coord_waiters_refuse (struct hk_coord *c, struct hk_engine_job *job,
                      const char *reason, unsigned retry_after_s)
{
  hk_job_request_reply reply = { .outcome = HK_JOB_REQUEST_REFUSED,
                                 .reason = (char *)reason,
                                 .retry_after_s = retry_after_s };

  coord_refusal_add (c, HK_JOB_REQUEST_SUBMIT, job->spec.id);
  coord_refusal_add (c, HK_JOB_REQUEST_CANCEL, job->spec.id);
  waiters_finish_all (job, &reply);
}

void
coord_waiter_add (struct hk_engine_job *job, const hk_job_request_reply *reply,
                  hk_coord_request_done done, void *user)
{
  struct coord_waiters *list = job->user;
  struct coord_waiter *w = g_new0 (struct coord_waiter, 1);

  if (!list)
    {
      list = g_new0 (struct coord_waiters, 1);
      LIST_INIT (list);
      job->user = list;
    }
  w->version = job->version;
  w->reply = *reply;
  w->done = done;
  w->user = user;
  LIST_INSERT_HEAD (list, w, link);
}

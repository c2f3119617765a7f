/* Questions of this process where a job would be placed: answered here while
   it leads, else passed on to the leader. */
#include "coord.h"

/* A question that was passed on to the leader. */
struct forwarded
{
  hk_coord_where_done done;
  void *user;
};

static const struct hk_rpc_method where_method
    = { HK_COORD_WHERE, (xdrproc_t)xdr_hk_where_args,
        (xdrproc_t)xdr_hk_where_reply, sizeof (hk_where_reply) };

static void
on_leader_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct forwarded *f = user;
  hk_where_reply failure
      = { .retry_after_s = COORD_ELSEWHERE_RETRY_AFTER_S,
          .answer = (char *)"",
          .reason = (char *)"the coordinator did not answer in time" };

  (void)err;
  if (rc == HK_ERR_PROTOCOL)
    {
      failure.outcome = HK_JOB_REQUEST_NOT_FOUND;
      failure.reason = (char *)"the coordinator runs a build that does not "
                               "know this question";
    }
  else if (rc == HK_ERR_UNAVAILABLE)
    {
      failure.outcome = HK_JOB_REQUEST_REFUSED;
      failure.reason = (char *)"no coordinator can be reached";
    }
  else
    failure.outcome = HK_JOB_REQUEST_UNKNOWN;
  f->done (rc == HK_OK ? result : &failure, f->user);
  g_free (f);
}

void
hk_coord_where (struct hk_coord *c, const hk_job_spec *spec,
                int64_t timeout_ms, hk_coord_where_done done, void *user)
{
  hk_where_args args = { .job = *spec };
  hk_where_reply reply = { .outcome = HK_JOB_REQUEST_REFUSED,
                           .retry_after_s = COORD_ELSEWHERE_RETRY_AFTER_S,
                           .reason = (char *)"no coordinator can be reached",
                           .answer = (char *)"" };
  struct forwarded *f;

  if (c->state == COORD_LEADING)
    {
      coord_where_answer (c, spec, done, user);
      return;
    }
  if (c->state != COORD_FOLLOWING || !c->leader.connected
      || !c->leader.channel.address)
    {
      done (&reply, user);
      return;
    }
  f = g_new0 (struct forwarded, 1);
  f->done = done;
  f->user = user;
  hk_rpc_call (&c->leader.channel, &where_method, &args, timeout_ms,
               on_leader_reply, f);
}

/* Jobs of an agent beside a worker and a store in this process. */
#include <string.h>

#include "../../src/agent/job_run.h"
#include "../unit/fake_store.h"
#include "hyssopkeel/clock.h"

#define SESSION_MS 60000

/* Worker that keeps the last call unanswered until it is told to answer. */
struct fake_worker
{
  struct hk_worker base;
  char *path;
  hk_worker_call_done done;
  void *user;
};

static struct fake_store store;

static void
forward_batch (struct hk_store *base, const struct hk_store_txn *txns,
               size_t n, hk_store_done done, void *user)
{
  (void)base;
  store.base.ops->batch (&store.base, txns, n, done, user);
}

static const struct hk_store_ops store_ops = { .batch = forward_batch };

static void
hold_call (struct hk_worker *base, const char *path, json_object *body,
           hk_worker_call_done done, void *user)
{
  struct fake_worker *w = (struct fake_worker *)base;

  json_object_put (body);
  g_free (w->path);
  w->path = g_strdup (path);
  w->done = done;
  w->user = user;
}

static const struct hk_worker_ops worker_ops = { .call = hold_call };

static void
answer_call (struct fake_worker *w, int rc)
{
  struct hk_error err = { .code = rc };
  hk_worker_call_done done = g_steal_pointer (&w->done);

  done (rc, NULL, &err, w->user);
}

static struct hk_agent *
agent_new (const struct hk_settings *settings, struct fake_worker *w)
{
  struct hk_agent *agent = hk_agent_new (settings, NULL, NULL);

  fake_store_init (&store);
  agent->store.base.ops = &store_ops;
  w->base = (struct hk_worker){ &worker_ops, agent->incarnation };
  agent->worker = &w->base;
  agent->link.ready = TRUE;
  agent->link.boot = g_strdup ("boot-1");
  agent->session.id = g_strdup ("s1");
  agent->session.expires_ms = hk_clock_ms () + SESSION_MS;
  return agent;
}

static void
agent_finish (struct hk_agent *agent, struct fake_worker *w)
{
  agent->worker = &agent->worker_http.base;
  hk_agent_free (agent);
  g_clear_pointer (&w->path, g_free);
  fake_store_finish (&store);
}

static struct hk_agent_job *
claim_job (struct hk_agent *agent)
{
  const char *text = "{\"id\":\"j\",\"route\":\"r\",\"state\":\"queued\","
                     "\"write_id\":\"w\"}";
  struct hk_size size = { 0 };
  struct hk_job job = { 0 };
  struct hk_agent_job *held;

  g_assert_cmpint (hk_job_parse (&job, text, strlen (text), NULL), ==, HK_OK);
  held = hk_job_run_new (&agent->jobs, &job, &size);
  hk_job_run_claim (held);
  return held;
}

/* The next boot of the worker may carry out a start that was in flight when
   the worker restarted. */
static void
starts_in_flight_at_a_restart_are_stopped (void)
{
  char *urls[] = { "http://127.0.0.1:1", NULL };
  struct hk_settings settings = { .name = "i1",
                                  .worker = "http://127.0.0.1:1",
                                  .pool = "p",
                                  .store = urls,
                                  .store_timeout_ms = 1000,
                                  .worker_lease_ms = 1000,
                                  .checkpoint_ms = 1000 };
  struct fake_worker w = { 0 };
  struct hk_agent *agent = agent_new (&settings, &w);
  struct hk_agent_job *j = claim_job (agent);

  g_assert_cmpstr (w.path, ==, "/tasks");
  hk_agent_jobs_worker_restarted (&agent->jobs);
  answer_call (&w, HK_OK);
  hk_job_run_stop (j, "instance is leaving", FALSE);
  g_assert_cmpstr (w.path, ==, "/tasks/j/stop");
  g_assert_nonnull (strstr (store.value, "\"running\""));
  answer_call (&w, HK_ERR_NOT_FOUND);
  g_assert_nonnull (strstr (store.value, "\"queued\""));
  agent_finish (agent, &w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agent/starts_in_flight_at_a_restart_are_stopped",
                   starts_in_flight_at_a_restart_are_stopped);
  return g_test_run ();
}

/* Fixture of an agent with a coordinator, a store and a fake endpoint. */
#include "runner_support.h"

#include <string.h>

struct hk_coord *
coord_start (struct memory_view *view, const char *name)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  g_autofree char *address = test_address ();
  struct hk_error err;
  struct hk_coord *c;

  options.name = name;
  options.address = address;
  options.authority.grant_ms = 1000;
  options.authority.hold_ms = 600;
  c = hk_coord_new (&view->base, &options);
  g_assert_cmpint (hk_coord_start (c, &err), ==, HK_OK);
  return c;
}

gboolean
is_leading (void *user)
{
  return hk_coord_leading (user);
}

void
report_status (struct hk_runner *runner, const struct memory_runtime *rt,
               int64_t drain_left_ms)
{
  static int64_t sequence;
  char *labels[] = { (char *)"a", NULL };
  struct hk_endpoint_report r = { .start_time_ms = rt->start_time_ms,
                                  .pool = "pool",
                                  .labels = labels,
                                  .cpu_milli = 4000,
                                  .memory_mb = 4000 };

  r.sequence = ++sequence;
  r.draining = drain_left_ms > 0;
  r.drain_left_ms = drain_left_ms;
  hk_runner_report (runner, &r);
}

void
report_ready_to (struct hk_runner *runner, const struct memory_runtime *rt)
{
  report_status (runner, rt, 0);
}

void
report_ready (struct fixture *f)
{
  report_ready_to (f->runner, &f->rt);
}

void
fixture_init (struct fixture *f)
{
  struct hk_runner_options options = { .name = "a1",
                                       .domain = "d",
                                       .authority = { 12000, 1000, 600 },
                                       .lease_max_ms = 6000 };

  memset (f, 0, sizeof *f);
  memory_store_init (&f->store);
  memory_view_init (&f->views[0], &f->store);
  memory_view_init (&f->views[1], &f->store);
  memory_runtime_init (&f->rt);
  f->coords[0] = coord_start (&f->views[0], "e1");
  test_run_until (is_leading, f->coords[0]);
  f->runner = hk_runner_new (&f->store.base, &f->rt.base, &options);
  hk_runner_start (f->runner);
  report_ready (f);
}

void
fixture_finish (struct fixture *f)
{
  hk_runner_free (f->runner);
  for (int i = 0; i < 2; i++)
    if (f->coords[i])
      hk_coord_free (f->coords[i]);
  test_run_for (120);
  memory_runtime_finish (&f->rt);
  memory_store_finish (&f->store);
}

static void
record_reply (const hk_job_request_reply *reply, void *user)
{
  struct request_result *result = user;

  result->n_replies++;
  result->outcome = reply->outcome;
  result->state = reply->state;
}

static gboolean
is_answered (void *user)
{
  return ((struct request_result *)user)->n_replies > 0;
}

void
send_request_with_flags (struct fixture *f, int coord,
                         hk_job_request_kind kind, unsigned flags)
{
  const unsigned counts[] = { 2, 1, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, flags);
  hk_job_request_args args
      = { .kind = kind, .id = (char *)JOB, .queue = (char *)"batch" };

  memset (&f->result, 0, sizeof f->result);
  if (kind == HK_JOB_REQUEST_SUBMIT)
    {
      args.job.job_len = 1;
      args.job.job_val = spec;
    }
  hk_coord_request (f->coords[coord], &args, 5000, record_reply, &f->result);
  test_run_until (is_answered, &f->result);
  test_job_spec_free (spec);
}

void
send_request (struct fixture *f, int coord, hk_job_request_kind kind)
{
  send_request_with_flags (f, coord, kind, 0);
}

void
submit_spec (struct fixture *f, int coord, hk_job_spec *spec)
{
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = (char *)JOB,
                               .queue = (char *)"batch",
                               .job = { 1, spec } };

  memset (&f->result, 0, sizeof f->result);
  hk_coord_request (f->coords[coord], &args, 5000, record_reply, &f->result);
  test_run_until (is_answered, &f->result);
}

void
wait_job_done (struct fixture *f, int coord)
{
  for (int i = 0; i < 400; i++)
    {
      send_request (f, coord, HK_JOB_REQUEST_STATE);
      if (f->result.outcome == HK_JOB_REQUEST_DONE && f->result.state == 2)
        return;
      test_run_for (25);
    }
  g_assert_not_reached ();
}

gboolean
two_running (void *user)
{
  return memory_runtime_n_running (user) == 2;
}

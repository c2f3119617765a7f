#ifndef RUNNER_SUPPORT_H
#define RUNNER_SUPPORT_H

#include "../support/jobs.h"
#include "../support/memory_runtime.h"
#include "../support/memory_store.h"
#include "hyssopkeel/coord.h"
#include "hyssopkeel/runner.h"

#define JOB "1111111111111111"

/**
 * struct request_result - the reply to a request.
 * @n_replies: replies received.
 * @outcome: outcome in the reply.
 * @state: state of the job in the reply.
 */
struct request_result
{
  int n_replies;
  hk_job_request_outcome outcome;
  unsigned state;
};

/**
 * struct fixture - a coordinator, an agent and its fake endpoint.
 * @store: store of the coordinators.
 * @views: connections of the coordinators to it.
 * @coords: coordinators; the second is started by a test.
 * @rt: endpoint of the agent.
 * @runner: agent.
 * @result: result of the last request.
 */
struct fixture
{
  struct memory_store store;
  struct memory_view views[2];
  struct hk_coord *coords[2];
  struct memory_runtime rt;
  struct hk_runner *runner;
  struct request_result result;
};

/** coord_start() - start a coordinator. */
struct hk_coord *coord_start (struct memory_view *view, const char *name);

/** is_leading() - whether a coordinator leads, for test_run_until(). */
gboolean is_leading (void *user);

/** report_status() - report the state of an endpoint to its agent; it drains
 * unless @drain_left_ms is 0. */
void report_status (struct hk_runner *runner, const struct memory_runtime *rt,
                    int64_t drain_left_ms);

/** report_ready_to() - report to an agent that its endpoint is ready. */
void report_ready_to (struct hk_runner *runner,
                      const struct memory_runtime *rt);

/** report_ready() - the same for the agent of the fixture. */
void report_ready (struct fixture *f);

/** fixture_init() - start everything and wait until the coordinator leads. */
void fixture_init (struct fixture *f);

/** fixture_finish() - stop everything. */
void fixture_finish (struct fixture *f);

/** send_request_with_flags() - send a request about JOB to a coordinator and
 * wait for its reply; @flags are those of all steps. */
void send_request_with_flags (struct fixture *f, int coord,
                              hk_job_request_kind kind, unsigned flags);

/** send_request() - the same without flags. */
void send_request (struct fixture *f, int coord, hk_job_request_kind kind);

/** submit_spec() - submit a job and wait for the reply. */
void submit_spec (struct fixture *f, int coord, hk_job_spec *spec);

/** wait_job_done() - wait until a coordinator shows JOB as completed. */
void wait_job_done (struct fixture *f, int coord);

/** two_running() - whether an endpoint runs two tasks, for test_run_until().
 */
gboolean two_running (void *user);

#endif

#ifndef REPORT_SUPPORT_H
#define REPORT_SUPPORT_H

#include "../../platform/heartbeat_server.h"
#include "../support/jobs.h"
#include "../support/memory_runtime.h"
#include "../support/memory_store.h"
#include "hyssopkeel/coord.h"

/**
 * struct report_fixture - an agent whose endpoint reports over HTTP, and a
 * coordinator.
 * @store: store of the coordinator.
 * @coord: coordinator.
 * @rt: endpoint.
 * @runner: agent.
 * @hs: receives the heartbeats.
 * @address: address for heartbeats.
 * @session: sender of the heartbeats.
 * @status: status of the last response; 0 before it arrives.
 * @labels: labels in the heartbeats of report_ready(), JSON.
 * @sequence: number of the last heartbeat of report_ready().
 * @outcome: outcome of the last request, -1 before it.
 * @state: state of the job in the last reply.
 */
struct report_fixture
{
  struct memory_store store;
  struct hk_coord *coord;
  struct memory_runtime rt;
  struct hk_runner *runner;
  struct heartbeat_server hs;
  char *address;
  SoupSession *session;
  unsigned status;
  char *labels;
  int64_t sequence;
  int outcome;
  unsigned state;
};

/** report_fixture_init() - start everything; the endpoint, "i-1", has not
 * reported. */
void report_fixture_init (struct report_fixture *f);

/** report_fixture_finish() - stop everything. */
void report_fixture_finish (struct report_fixture *f);

/** report_send() - send a heartbeat of incarnation @id; returns the status. */
unsigned report_send (struct report_fixture *f, const char *id,
                      const char *body);

/** report_ready() - the endpoint reports what is true: it is ready; returns
 * the status. */
unsigned report_ready (struct report_fixture *f);

/** report_job_runs() - whether a new job with @id is done within @ms, while
 * the endpoint reports every 100 ms that it is ready. */
gboolean report_job_runs (struct report_fixture *f, const char *id,
                          int64_t ms);

#endif

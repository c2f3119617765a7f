#ifndef COORD_SUPPORT_H
#define COORD_SUPPORT_H

#include "../support/jobs.h"
#include "../support/memory_store.h"
#include "hyssopkeel/coord.h"
#include "hyssopkeel/rpc_channel.h"

/**
 * struct agent - an agent that the test simulates.
 * @channel: connection to its coordinator.
 * @name: name in its reports; not owned.
 * @domain: failure domain in its reports; not owned.
 * @runs: runs of its next report; start orders are appended.
 * @n_runs: number of @runs.
 * @ends: ends of its next report.
 * @n_ends: number of @ends.
 * @rack: label in its reports, not owned; NULL for none.
 * @endpoint_started_ms: start time of its endpoint in its reports.
 * @draining: whether its reports say that its endpoint drains.
 * @final_lease_ms: if not 0, its reports say that it leaves, with this lease.
 * @n_replies: replies to the last report, 0 or 1.
 * @leading: whether the last reply came from the leader.
 * @term: term in the last reply.
 * @grant_ms: lease grant in the last reply.
 * @starts: start orders received.
 * @stops: stop orders received.
 * @stopped_index: index of the task of the last stop order.
 * @acknowledged: acknowledgements of ends received.
 * @last_run: run number of the last start order.
 */
struct agent
{
  struct hk_rpc_channel channel;
  const char *name;
  const char *domain;
  hk_run_report runs[8];
  unsigned n_runs;
  hk_run_end ends[8];
  unsigned n_ends;
  const char *rack;
  int64_t endpoint_started_ms;
  gboolean draining;
  unsigned final_lease_ms;
  int n_replies;
  gboolean leading;
  uint64_t term;
  unsigned grant_ms;
  int starts;
  int stops;
  unsigned stopped_index;
  int acknowledged;
  unsigned last_run;
};

/**
 * struct request_result - the reply to a request.
 * @n_replies: calls of on_request_reply().
 * @outcome: outcome in the reply.
 * @state: state of the job in the reply.
 */
struct request_result
{
  int n_replies;
  hk_job_request_outcome outcome;
  unsigned state;
};

/** coord_start_with() - start a coordinator, at the address of @options if it
 * names one; @address, unless NULL, is set to the address, which the caller
 * frees. */
struct hk_coord *coord_start_with (struct hk_store *store,
                                   struct hk_coord_options options,
                                   const char *name, char **address);

/** coord_start() - the same with default options. */
struct hk_coord *coord_start (struct memory_store *s, const char *name,
                              char **address);

/** is_leading() - whether a coordinator leads, for test_run_until(). */
gboolean is_leading (void *user);

/** Longer than commits fail before new jobs are refused. */
#define COORD_TEST_STORE_FAILING_MS 800

/** store_works() - submit a job to a coordinator; whether it is accepted, for
 * test_run_until(). */
gboolean store_works (void *user);

/** has_reply() - whether the reply to a request has arrived, for
 * test_run_until(). */
gboolean has_reply (void *user);

/** on_request_reply() - store the reply to a request; @user is a struct
 * request_result.
 */
void on_request_reply (const hk_job_request_reply *reply, void *user);

/** send_request() - send a request to a coordinator; @a receives the reply. */
void send_request (struct hk_coord *c, hk_job_request_kind kind,
                   const char *id, struct request_result *a);

/** send_request_with_flags() - the same; @flags are those of all steps. */
void send_request_with_flags (struct hk_coord *c, hk_job_request_kind kind,
                              const char *id, unsigned flags,
                              struct request_result *a);

/** report_send() - send one report; the reply is awaited with
 * report_has_reply(). */
void report_send (struct agent *a);

/** report_has_reply() - whether the reply to a report has arrived, for
 * test_run_until(). */
gboolean report_has_reply (void *user);

/** report() - send one report and wait for the reply. */
void report (struct agent *a);

/** two_started() - report until two starts were ordered, for test_run_until().
 */
gboolean two_started (void *user);

/** agent_init() - initialize an agent that reports to @address. */
void agent_init (struct agent *a, const char *name, const char *address);

/** agent_reconnect() - report to another coordinator from now on. */
void agent_reconnect (struct agent *a, const char *address);

/** agent_finish() - close the connection of an agent. */
void agent_finish (struct agent *a);

#endif

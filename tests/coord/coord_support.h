#ifndef COORD_SUPPORT_H
#define COORD_SUPPORT_H

#include "../support/jobs.h"
#include "../support/memory_store.h"
#include "hyssopkeel/coord.h"
#include "hyssopkeel/rpc_channel.h"

/**
 * struct agent - an agent that the test simulates.
 * @name: name in its reports; not owned.
 * @runs: runs of its next report; start orders are appended.
 * @ends: ends of its next report.
 * @answers: replies to the last report, 0 or 1.
 * @leading: of the last reply, like @term and @grant_ms.
 * @starts: start orders received.
 * @stops: stop orders received.
 * @acknowledged: acknowledgements of ends received.
 * @last_run: run number of the last start order.
 */
struct agent
{
  struct hk_rpc_channel channel;
  const char *name;
  hk_run_report runs[8];
  unsigned n_runs;
  hk_run_end ends[8];
  unsigned n_ends;
  int answers;
  gboolean leading;
  uint64_t term;
  unsigned grant_ms;
  int starts;
  int stops;
  int acknowledged;
  unsigned last_run;
};

/**
 * struct asked - the reply to a request.
 * @over: calls of on_request_reply().
 */
struct asked
{
  int over;
  hk_job_request_outcome outcome;
  unsigned state;
};

/** coord_start_with() - start a coordinator; @where, unless NULL, is set to
 * its address, which the caller frees. */
struct hk_coord *coord_start_with (struct hk_store *store,
                                   struct hk_coord_options options,
                                   const char *name, char **where);

/** coord_start() - the same with default options. */
struct hk_coord *coord_start (struct memory_store *s, const char *name,
                              char **where);

/** leads() - whether a coordinator leads, for test_run_until(). */
gboolean leads (void *user);

/** is_over() - whether a request was answered, for test_run_until(). */
gboolean is_over (void *user);

/** on_request_reply() - store the reply to a request; @user is a struct asked.
 */
void on_request_reply (const hk_job_request_reply *reply, void *user);

/** ask() - send a request to a coordinator; @a receives the reply. */
void ask (struct hk_coord *c, hk_job_request_kind kind, const char *id,
          struct asked *a);

/** report() - send one report and wait for the reply. */
void report (struct agent *a);

/** two_started() - report until two starts were ordered, for test_run_until().
 */
gboolean two_started (void *user);

/** agent_init() - initialize an agent that reports to @where. */
void agent_init (struct agent *a, const char *name, const char *where);

/** agent_reconnect() - report to another coordinator from now on. */
void agent_reconnect (struct agent *a, const char *where);

/** agent_finish() - close the connection of an agent. */
void agent_finish (struct agent *a);

#endif

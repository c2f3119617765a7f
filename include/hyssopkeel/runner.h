#ifndef HYSSOPKEEL_RUNNER_H
#define HYSSOPKEEL_RUNNER_H

#include "hyssopkeel/authority.h"
#include "hyssopkeel/runtime.h"
#include "hyssopkeel/store.h"

struct hk_runner;

/**
 * struct hk_runner_options - settings of a task agent.
 * @name: name of the agent, unique in the installation.
 * @domain: failure domain.
 * @authority: durations of grants and renewals; equal in all processes.
 * @lease_max_ms: longest lease that the endpoint accepts.
 */
struct hk_runner_options
{
  const char *name;
  const char *domain;
  struct hk_authority authority;
  int64_t lease_max_ms;
};

/**
 * struct hk_endpoint_report - status that an endpoint sends of itself.
 *
 * It is only a hint, since it may be late or sent by another process. The
 * endpoint confirms which incarnation it is before the report is used.
 *
 * @instance: name of its incarnation, for the endpoint's calls; may be NULL.
 * @start_time_ms: start time of its incarnation, by which incarnations differ;
 *                 they are not ordered by it, as the time of day may step.
 * @sequence: rises with each report of an incarnation.
 * @pool: pool it belongs to.
 * @labels: NULL-terminated.
 * @cpu_milli: CPUs, thousandths.
 * @memory_mb: memory, megabytes.
 * @accelerators: number of accelerators.
 * @draining: takes no new work.
 * @leaving: is about to shut down.
 * @drain_left_ms: least time until it shuts down.
 */
struct hk_endpoint_report
{
  const char *instance;
  int64_t start_time_ms;
  int64_t sequence;
  const char *pool;
  char **labels;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  gboolean draining;
  gboolean leaving;
  int64_t drain_left_ms;
};

/**
 * hk_runner_new() - create the agent of one endpoint.
 * @store: store, owned by the caller; must outlive the runner.
 * @runtime: endpoint, owned by the caller; must outlive the runner.
 * @options: copied.
 *
 * Return: runner, released with hk_runner_free().
 */
struct hk_runner *hk_runner_new (struct hk_store *store,
                                 struct hk_runtime *runtime,
                                 const struct hk_runner_options *options);

/** hk_runner_start() - look up the coordinator and start to renew leases. */
void hk_runner_start (struct hk_runner *r);

/** hk_runner_report() - process a report of the endpoint. One of an
 * incarnation that the endpoint does not confirm is ignored, as is a late one.
 */
void hk_runner_report (struct hk_runner *r,
                       const struct hk_endpoint_report *report);

/**
 * hk_runner_leave() - renew leases as far as the grant allows, then stop.
 * @r: runner.
 * @done: called when this process may exit.
 * @user: argument of @done.
 */
void hk_runner_leave (struct hk_runner *r, void (*done) (void *user),
                      void *user);

/** hk_runner_free() - stop at once; tasks go on until their leases expire. */
void hk_runner_free (struct hk_runner *r);

#endif

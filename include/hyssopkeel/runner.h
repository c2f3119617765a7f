#ifndef HYSSOPKEEL_RUNNER_H
#define HYSSOPKEEL_RUNNER_H

#include "hyssopkeel/authority.h"
#include "hyssopkeel/runtime.h"
#include "hyssopkeel/store.h"

struct hk_runner;

/**
 * struct hk_runner_options - settings of an agent that runs tasks.
 * @name: name of the agent, unique in the installation.
 * @domain: failure domain.
 * @authority: durations of grants and holds; the same everywhere.
 * @hold_max_ms: longest lease that the endpoint grants.
 */
struct hk_runner_options
{
  const char *name;
  const char *domain;
  struct hk_authority authority;
  int64_t hold_max_ms;
};

/**
 * struct hk_endpoint_report - what an endpoint says of itself.
 * @born_ms: birth time of its lifetime.
 * @pool: pool it belongs to.
 * @labels: NULL-terminated.
 * @draining: it takes no new work.
 * @drain_left_ms: least time it will still run.
 * @clock_ms: its steady clock at the report; 0 if not told.
 */
struct hk_endpoint_report
{
  int64_t born_ms;
  const char *pool;
  char **labels;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  gboolean draining;
  gboolean leaving;
  int64_t drain_left_ms;
  int64_t clock_ms;
};

/** hk_runner_new() - agent of one endpoint; store and runtime stay owned. */
struct hk_runner *hk_runner_new (struct hk_store *store,
                                 struct hk_runtime *runtime,
                                 const struct hk_runner_options *options);

/** hk_runner_start() - begin to look for a coordinator and to hold. */
void hk_runner_start (struct hk_runner *r);

/** hk_runner_report() - take note of a report of the endpoint. */
void hk_runner_report (struct hk_runner *r,
                       const struct hk_endpoint_report *report);

/**
 * hk_runner_leave() - extend what runs as far as is granted, then stop.
 * @r: runner.
 * @done: called when this process may exit.
 * @user: argument of @done.
 */
void hk_runner_leave (struct hk_runner *r, void (*done) (void *user),
                      void *user);

/** hk_runner_free() - stop at once; what runs goes on for its lease. */
void hk_runner_free (struct hk_runner *r);

#endif

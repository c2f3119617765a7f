#ifndef LOCALITY_SUPPORT_H
#define LOCALITY_SUPPORT_H

#include <glib.h>

#include "../../src/coord/coord.h"

#define INSTANCES 4 /* two on rack r1, two on r2 */
#define CPU_MILLI 4000
#define TASK_MILLI 1000
#define RUN_MS 800
#define PASS_MS 100
#define FACTOR 3.0

/**
 * struct fixture - a coordinator without I/O, and two racks of two instances.
 * @c: coordinator.
 * @instances: the first two are on rack r1, the others on r2.
 * @now: time, milliseconds.
 * @n_jobs: jobs submitted.
 */
struct fixture
{
  struct hk_coord *c;
  struct hk_instance *instances[INSTANCES];
  int64_t now;
  unsigned n_jobs;
};

/** fixture_init() - instances without runs; @factor is the configured remote
 * factor. */
void fixture_init (struct fixture *f, double factor);

/** add_instance() - add an instance without runs; @labels are separated by
 * commas. */
struct hk_instance *add_instance (struct fixture *f, const char *labels);

/** fixture_finish() - release. */
void fixture_finish (struct fixture *f);

/** advance() - let @ms pass; all instances report then. */
void advance (struct fixture *f, int64_t ms);

/** pass() - let PASS_MS pass, and run a scheduling pass. */
void pass (struct fixture *f);

/** submit_with_flags() - submit a job of one task with data on @rack, or "".
 */
struct hk_engine_task *submit_with_flags (struct fixture *f, const char *rack,
                                          unsigned cpu_milli, unsigned run_ms,
                                          unsigned urgency, unsigned flags);

/** submit() - submit a job of one task that is not best-effort. */
struct hk_engine_task *submit (struct fixture *f, const char *rack,
                               unsigned cpu_milli, unsigned run_ms,
                               unsigned urgency);

/** submit_near() - submit a short task with data on rack r1. */
struct hk_engine_task *submit_near (struct fixture *f);

/** run_on() - start a run without data on an instance. */
struct hk_run *run_on (struct fixture *f, unsigned instance,
                       unsigned cpu_milli, unsigned run_ms);

/** run_best_effort() - start a best-effort run on an instance. */
struct hk_run *run_best_effort (struct fixture *f, const char *rack,
                                unsigned instance, unsigned cpu_milli,
                                unsigned run_ms);

/** fill_rack() - fill both instances of rack r1 with a run each; the run on
 * the first one is returned. */
struct hk_run *fill_rack (struct fixture *f, unsigned first_ms,
                          unsigned second_ms);

/** end_run() - end a run, and learn from it. */
void end_run (struct fixture *f, struct hk_run *run, hk_end_how how);

/** place_of() - index of the instance of a task, or -1 while it waits. */
int place_of (const struct fixture *f, const struct hk_engine_task *task);

/** is_remote() - whether a task has been placed on rack r2. */
gboolean is_remote (const struct fixture *f,
                    const struct hk_engine_task *task);

#endif

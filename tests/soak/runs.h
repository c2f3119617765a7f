#ifndef SOAK_RUNS_H
#define SOAK_RUNS_H

#include "worker.h"

/** soak_runs_init() - start without runs. */
void soak_runs_init (struct soak_worker *w);

/** soak_worker_clock_ms() - the worker's own clock. */
int64_t soak_worker_clock_ms (const struct soak_worker *w);

/** soak_runs_update() - end the runs whose work is done or whose lease has
 * expired. */
void soak_runs_update (struct soak_worker *w);

/**
 * soak_run_start() - carry out a start.
 * @late: it was sent seconds ago.
 *
 * Return: reason for a refusal, or NULL.
 */
const char *soak_run_start (struct soak_worker *w, json_object *body,
                            gboolean late);

/** soak_run_stop() - carry out a stop; a run that is not there is refused
 * later. */
void soak_run_stop (struct soak_worker *w, json_object *body);

/** soak_run_pace() - let a run work, and disturb others, at a share of its
 * speed. */
void soak_run_pace (struct soak_worker *w, json_object *body);

/** soak_runs_count() - runs that go on, only best-effort ones or only the
 * others. */
unsigned soak_runs_count (const struct soak_worker *w, gboolean filling);

/** soak_lease_renew() - extend the lease and forget acknowledged ends. */
void soak_lease_renew (struct soak_worker *w, json_object *body);

/** soak_runs_list() - body of a response; owned by the caller. */
json_object *soak_runs_list (const struct soak_worker *w);

/** soak_runs_crash_due() - whether a run crashes the worker now. */
gboolean soak_runs_crash_due (const struct soak_worker *w);

/** soak_runs_crash() - drop all runs, as a crash does. */
void soak_runs_crash (struct soak_worker *w);

#endif

#ifndef TEST_JOBS_H
#define TEST_JOBS_H

#include <gio/gio.h>

#include "hyssopkeel/hk_job_xdr.h"

#define TEST_LIMIT_MS 20000

/** test_run_until() - run the main loop until @done returns TRUE; fails the
 * test after TEST_LIMIT_MS. */
void test_run_until (gboolean (*done) (void *user), void *user);

/** test_run_for() - run the main loop for @ms milliseconds. */
void test_run_for (int64_t ms);

/** test_address() - loopback address "ip:port" with a free port, never
 * returned twice in a process; newly allocated. */
char *test_address (void);

/**
 * test_job_spec_new() - job spec whose steps run one after another.
 * @id: job ID.
 * @counts: number of tasks of each step, terminated by 0.
 * @flags: flags of all steps.
 *
 * Return: spec, released with test_job_spec_free().
 */
hk_job_spec *test_job_spec_new (const char *id, const unsigned *counts,
                                unsigned flags);

/** test_job_spec_free() - release a spec. */
void test_job_spec_free (hk_job_spec *spec);

#endif

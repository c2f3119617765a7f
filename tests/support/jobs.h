#ifndef TEST_JOBS_H
#define TEST_JOBS_H

#include <gio/gio.h>

#include "hyssopkeel/hk_job_xdr.h"

#define TEST_LIMIT_MS 20000

/** test_spin() - run the main loop until @done returns TRUE; fails after
 * TEST_LIMIT_MS. */
void test_spin (gboolean (*done) (void *user), void *user);

/** test_spin_for() - run the main loop for a time, milliseconds. */
void test_spin_for (int64_t ms);

/** test_address() - "ip:port" of the loopback that is free now. */
char *test_address (void);

/**
 * test_job() - a submission of steps that follow one another.
 * @id: its name.
 * @counts: tasks of each step, ended by 0.
 * @flags: flags of all steps.
 *
 * Return: submission that xdr_free() releases.
 */
hk_job_spec *test_job (const char *id, const unsigned *counts, unsigned flags);

/** test_job_free() - release. */
void test_job_free (hk_job_spec *spec);

#endif

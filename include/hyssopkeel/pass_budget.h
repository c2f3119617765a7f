#ifndef HYSSOPKEEL_PASS_BUDGET_H
#define HYSSOPKEEL_PASS_BUDGET_H

#include <glib.h>
#include <stdint.h>

/** HK_PASS_CANDIDATES_MAX - instances that a pass looks at for one step. */
#define HK_PASS_CANDIDATES_MAX 256

/** HK_PASS_STEPS_MAX - best-effort steps that one pass tries to place. */
#define HK_PASS_STEPS_MAX 20

/** HK_PASS_CONTINUE_MS - pause before a pass that goes on where one ended that
 * had used up its budget, milliseconds. */
#define HK_PASS_CONTINUE_MS 10

/** HK_PASS_FAILURES_MAX - failed placements that a pass remembers. */
#define HK_PASS_FAILURES_MAX 16

/**
 * struct hk_pass_failure - resources of a task that fitted nowhere.
 * @pool: pool that it requires; not owned.
 * @label: label that it requires, or ""; not owned.
 * @cpu_milli: CPUs, thousandths.
 * @memory_mb: memory, megabytes.
 * @accelerators: accelerators.
 */
struct hk_pass_failure
{
  const char *pool;
  const char *label;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
};

/**
 * struct hk_pass_failures - tasks that fitted nowhere in one pass.
 * @rows: @n tasks.
 * @n: number of @rows.
 */
struct hk_pass_failures
{
  struct hk_pass_failure rows[HK_PASS_FAILURES_MAX];
  unsigned n;
};

/** hk_pass_failures_add() - remember a task that fitted nowhere; without
 * effect when there is no room. */
void hk_pass_failures_add (struct hk_pass_failures *f,
                           const struct hk_pass_failure *task);

/**
 * hk_pass_failures_cover() - whether a task needs at least what one that
 * fitted nowhere needed, so that it fits nowhere either.
 */
gboolean hk_pass_failures_cover (const struct hk_pass_failures *f,
                                 const struct hk_pass_failure *task);

/**
 * hk_pass_retry_ms() - pause before a best-effort step that fitted nowhere is
 * tried again.
 * @n_waiting: best-effort steps that wait.
 *
 * Return: milliseconds.
 */
int64_t hk_pass_retry_ms (unsigned n_waiting);

#endif

#ifndef HYSSOPKEEL_RETRY_H
#define HYSSOPKEEL_RETRY_H

#include <glib.h>

/**
 * struct hk_retry_budget - limit of retries, as a share of the successes.
 * @tokens: retries that may be made now; fractions add up.
 */
struct hk_retry_budget
{
  double tokens;
};

/**
 * hk_retry_init() - start with a small allowance of retries.
 * @b: budget.
 */
void hk_retry_init (struct hk_retry_budget *b);

/**
 * hk_retry_success() - credit a success to the budget.
 * @b: budget.
 * @percent: retries allowed per hundred successes.
 */
void hk_retry_success (struct hk_retry_budget *b, gint64 percent);

/**
 * hk_retry_take() - take one retry from the budget.
 * @b: budget.
 *
 * Return: FALSE if the budget is exhausted.
 */
gboolean hk_retry_take (struct hk_retry_budget *b);

#endif

#ifndef WHERE_SUPPORT_H
#define WHERE_SUPPORT_H

#include "hyssopkeel/coord.h"
#include "hyssopkeel/json.h"

/**
 * struct result - the answer to a question.
 * @n_replies: calls of its completion.
 * @outcome: outcome.
 * @retry_after_s: when to ask again, seconds.
 * @answer: the answer, released by the caller; NULL without one.
 */
struct result
{
  int n_replies;
  hk_job_request_outcome outcome;
  unsigned retry_after_s;
  json_object *answer;
};

/** where() - ask, and wait for the one reply. */
void where (struct hk_coord *c, const hk_job_spec *spec, struct result *r);

/** member() - member of an object; NULL if there is none. */
json_object *member (json_object *obj, const char *key);

/** first_step() - first step of an answer. */
json_object *first_step (const struct result *r);

/** count_others() - instances that the first step passes over for a reason. */
int64_t count_others (const struct result *r, const char *reason);

/** one_task() - spec of a job of one task; see test_job_spec_new(). */
hk_job_spec *one_task (const char *id, unsigned cpu_milli);

#endif

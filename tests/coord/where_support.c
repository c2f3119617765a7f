/* Asks a coordinator where a job would be placed. */
#include "where_support.h"

#include <string.h>

#include "../support/jobs.h"
#include "hyssopkeel/json.h"

static void
on_where (const hk_where_reply *reply, void *user)
{
  struct result *r = user;

  r->n_replies++;
  r->outcome = reply->outcome;
  r->retry_after_s = reply->retry_after_s;
  if (reply->outcome == HK_JOB_REQUEST_DONE)
    g_assert_cmpint (hk_json_parse (&r->answer, reply->answer,
                                    strlen (reply->answer), "answer", NULL),
                     ==, HK_OK);
}

static gboolean
has_answer (void *user)
{
  return ((struct result *)user)->n_replies > 0;
}

void
where (struct hk_coord *c, const hk_job_spec *spec, struct result *r)
{
  memset (r, 0, sizeof *r);
  hk_coord_where (c, spec, 2000, on_where, r);
  test_run_until (has_answer, r);
  g_assert_cmpint (r->n_replies, ==, 1);
}

json_object *
member (json_object *obj, const char *key)
{
  json_object *value = NULL;

  json_object_object_get_ex (obj, key, &value);
  return value;
}

json_object *
first_step (const struct result *r)
{
  return json_object_array_get_idx (member (r->answer, "steps"), 0);
}

int64_t
count_others (const struct result *r, const char *reason)
{
  return json_object_get_int64 (
      member (member (first_step (r), "others"), reason));
}

hk_job_spec *
one_task (const char *id, unsigned cpu_milli)
{
  const unsigned counts[] = { 1, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);

  spec->steps.steps_val[0].cpu_milli = cpu_milli;
  return spec;
}

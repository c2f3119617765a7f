/* Validation of submissions, before anything of them is stored. */
#include "hyssopkeel/engine.h"

#include <inttypes.h>
#include <string.h>

/* The progress of a job with more tasks would not fit one record of the
   store. */
#define JOB_TASKS_MAX 20000

#define FAIL(...)                                                             \
  hk_error_set (err, HK_ERR_INVALID, "job.check", spec->id, __VA_ARGS__)

static int
check_text (const hk_job_spec *spec, unsigned step, const char *field,
            const char *text, struct hk_error *err)
{
  size_t len = strlen (text);

  if (len > HK_JOB_TEXT_MAX)
    return FAIL ("step %u: %s has %zu bytes, at most %d are allowed", step,
                 field, len, HK_JOB_TEXT_MAX);
  return HK_OK;
}

/* What is not implemented is rejected: run without the property, the tasks of
   a gang would wait for each other until they fail, and occurrences would
   start before their time. */
static int
check_supported (const hk_job_spec *spec, struct hk_error *err)
{
  if (spec->repeat > 0)
    return FAIL ("repeat is %u: timed and repeated jobs are not supported",
                 spec->repeat);
  for (unsigned i = 0; i < spec->steps.steps_len; i++)
    {
      const hk_step_spec *step = &spec->steps.steps_val[i];

      if ((step->flags & HK_STEP_GANG) && step->count > 1)
        return FAIL ("step %u: a gang of %u tasks; gangs are not supported", i,
                     step->count);
    }
  return HK_OK;
}

static int
check_step (const hk_job_spec *spec, unsigned i, struct hk_error *err)
{
  const hk_step_spec *step = &spec->steps.steps_val[i];
  int rc = check_text (spec, i, "label", step->label, err);

  if (rc == HK_OK)
    rc = check_text (spec, i, "rack", step->rack, err);
  if (rc == HK_OK)
    rc = check_text (spec, i, "image", step->image, err);
  if (rc < 0)
    return rc;
  if (step->count == 0)
    return FAIL ("step %u: count must be at least 1", i);
  if (step->cpu_milli == 0 && step->memory_mb == 0 && step->accelerators == 0)
    return FAIL ("step %u: asks for no processor, memory or accelerator", i);
  for (unsigned k = 0; k < step->after.after_len; k++)
    if (step->after.after_val[k] >= i)
      return FAIL ("step %u: may only come after earlier steps, not %u", i,
                   step->after.after_val[k]);
  return HK_OK;
}

int
hk_engine_spec_check (const hk_job_spec *spec, size_t record_max_bytes,
                      struct hk_error *err)
{
  uint64_t tasks = 0;
  size_t bytes;
  int rc = HK_OK;

  if (spec->steps.steps_len == 0)
    return FAIL ("a job needs at least one step");
  for (unsigned i = 0; i < spec->steps.steps_len && rc == HK_OK; i++)
    {
      rc = check_step (spec, i, err);
      tasks += spec->steps.steps_val[i].count;
    }
  if (rc == HK_OK && tasks > JOB_TASKS_MAX)
    return FAIL ("the job has %" PRIu64 " tasks, at most %d are allowed",
                 tasks, JOB_TASKS_MAX);
  if (rc == HK_OK)
    rc = check_supported (spec, err);
  bytes = xdr_sizeof ((xdrproc_t)xdr_hk_job_spec, (void *)spec);
  if (rc == HK_OK && bytes > record_max_bytes)
    return FAIL ("the job takes %zu bytes in the store, at most %zu are "
                 "allowed",
                 bytes, record_max_bytes);
  return rc;
}

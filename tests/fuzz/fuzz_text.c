/* Parses arbitrary text as settings, tables and a job record. */
#include <stddef.h>
#include <stdint.h>

#include "hyssopkeel/job.h"
#include "hyssopkeel/settings.h"
#include "hyssopkeel/tables.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *text = (const char *)data;
  struct hk_settings settings = { 0 };
  struct hk_tables tables;
  struct hk_job job = { 0 };

  hk_settings_parse (&settings, text, size, "fuzz", NULL);
  hk_settings_finish (&settings);
  hk_tables_init (&tables);
  hk_tables_parse (&tables, text, size, "fuzz", NULL);
  hk_tables_finish (&tables);
  if (hk_job_parse (&job, text, size, NULL) == HK_OK)
    g_free (hk_job_write (&job));
  hk_job_finish (&job);
  return 0;
}

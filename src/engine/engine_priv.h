#ifndef ENGINE_PRIV_H
#define ENGINE_PRIV_H

#include "hyssopkeel/engine.h"

/* Takes the contents of @spec over. */
struct hk_engine_job *engine_job_new (struct hk_engine *e, hk_job_spec *spec);

struct hk_run *engine_run_new (struct hk_engine_task *task,
                               struct hk_instance *in, unsigned number);

/* Deep copy, with memory that xdr_free() releases. */
void engine_copy_spec (hk_job_spec *out, const hk_job_spec *spec);

#endif

#ifndef SOAK_SPECS_H
#define SOAK_SPECS_H

#include <glib.h>

/** Specification of a job whose first task crashes each worker that starts
 * it. */
#define SOAK_SPEC_DEADLY "deadly"

/** Specification with U+0000, as it stands in JSON, and its length in bytes.
 */
#define SOAK_SPEC_ODD_JSON "te\\u0000xt"
#define SOAK_SPEC_ODD_BYTES 5

/** Prefixes of the specifications of work that lasts and of best-effort work;
 * the number of its image follows. */
#define SOAK_SPEC_LASTING "lasting-"
#define SOAK_SPEC_FILLING "filling-"

/** Number of images of each kind of work. */
#define SOAK_IMAGES 4

/** Resources that each task declares. */
#define SOAK_TASK_CPU_MILLI 1000
#define SOAK_TASK_MEMORY_MB 100

/** Bound on the tail latency of work that lasts. */
#define SOAK_TARGET_MS 200

/** Number of racks, and run time of a task away from the rack of its data over
 * its run time there. */
#define SOAK_RACKS 2
#define SOAK_REMOTE_FACTOR 3

enum soak_job_kind
{
  SOAK_JOB_PLAIN,
  SOAK_JOB_ODD,
  SOAK_JOB_DEADLY,
  SOAK_JOB_LASTING,
  SOAK_JOB_FILLING
};

/** soak_job_pick_kind() - kind of the next job, where some are allowed. */
enum soak_job_kind soak_job_pick_kind (GRand *rand, gboolean odd,
                                       gboolean deadly, gboolean lasting);

/** soak_job_lifetime_ms() - when to cancel work that lasts; 0 if it is kept.
 */
unsigned soak_job_lifetime_ms (GRand *rand);

/** soak_job_rack() - number of the rack that holds the data of a job, by its
 * id, hexadecimal; rack 0 holds that of ten in sixteen. */
unsigned soak_job_rack (const char *id);

/** soak_job_body() - JSON text that submits a job of a kind; newly allocated.
 * The id determines its image, and with @racks its rack. */
char *soak_job_body (enum soak_job_kind kind, const char *id, gboolean racks);

#endif

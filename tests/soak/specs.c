/* Submissions of the soak's jobs. */
#include "specs.h"

#include "oracle.h"

/* Of so many jobs one may have a task that crashes its workers, one may last,
   and some may be best-effort work. */
#define KINDS_TOTAL 30
#define KIND_DEADLY 0
#define KIND_LASTING 1
#define KIND_FILLING_MAX 5

/* Work that lasts is cancelled after a time between the first two, or kept
   until the end if it is over the third. */
#define LIFETIME_MIN_MS 4000
#define LIFETIME_MAX_MS 25000
#define LIFETIME_KEPT_MS 20000

#define RESOURCES                                                             \
  "\"cpu\":" G_STRINGIFY (SOAK_TASK_CPU_MILLI) ",\"memMb\":" G_STRINGIFY (    \
      SOAK_TASK_MEMORY_MB)
#define FIRST_STEP                                                            \
  "{\"count\":" G_STRINGIFY (SOAK_FIRST_STEP_TASKS) "," RESOURCES
#define LAST_STEP                                                             \
  "{\"count\":1," RESOURCES ",\"estimateMs\":300,\"after\":[0]}"

static char *
odd_job_body (const char *id)
{
  static const gsize lengths[] = { 0, 201, 5000, 65536 };
  g_autofree char *image
      = g_strnfill (lengths[g_str_hash (id) % G_N_ELEMENTS (lengths)], 'i');

  return g_strdup_printf ("{\"spec\":\"" SOAK_SPEC_ODD_JSON
                          "\",\"steps\":[" FIRST_STEP ",\"estimateMs\":300,"
                          "\"checkpointing\":true,\"image\":\"%s\"}," LAST_STEP
                          "]}",
                          image);
}

enum soak_job_kind
soak_job_pick_kind (GRand *rand, gboolean odd, gboolean deadly,
                    gboolean lasting)
{
  /* Drawn in any case, so that a seed has the same job ids in all modes. */
  int n = g_rand_int_range (rand, 0, KINDS_TOTAL);

  if (odd)
    return SOAK_JOB_ODD;
  if (n == KIND_DEADLY)
    return deadly ? SOAK_JOB_DEADLY : SOAK_JOB_PLAIN;
  if (n > KIND_FILLING_MAX || !lasting)
    return SOAK_JOB_PLAIN;
  return n == KIND_LASTING ? SOAK_JOB_LASTING : SOAK_JOB_FILLING;
}

unsigned
soak_job_lifetime_ms (GRand *rand)
{
  int ms = g_rand_int_range (rand, LIFETIME_MIN_MS, LIFETIME_MAX_MS);

  return ms < LIFETIME_KEPT_MS ? (unsigned)ms : 0;
}

unsigned
soak_job_rack (const char *id)
{
  return g_ascii_isdigit (*id) ? 0 : 1;
}

static char *
job_body (enum soak_job_kind kind, const char *id)
{
  guint image = g_str_hash (id) % SOAK_IMAGES;

  switch (kind)
    {
    case SOAK_JOB_ODD:
      return odd_job_body (id);
    case SOAK_JOB_LASTING:
      return g_strdup_printf (
          "{\"spec\":\"" SOAK_SPEC_LASTING "%u\",\"steps\":[" FIRST_STEP
          ",\"longRunning\":true,\"targetMs\":%d,\"image\":\"serve-%u\"}]}",
          image, SOAK_TARGET_MS, image);
    case SOAK_JOB_FILLING:
      return g_strdup_printf ("{\"spec\":\"" SOAK_SPEC_FILLING
                              "%u\",\"steps\":[" FIRST_STEP
                              ",\"estimateMs\":1500,\"fills\":true,\"image\":"
                              "\"fill-%u\"}," LAST_STEP "]}",
                              image, image);
    default:
      return g_strdup_printf ("{\"spec\":\"%s\",\"steps\":[" FIRST_STEP
                              ",\"estimateMs\":300}," LAST_STEP "]}",
                              kind == SOAK_JOB_DEADLY ? SOAK_SPEC_DEADLY
                                                      : "text");
    }
}

char *
soak_job_body (enum soak_job_kind kind, const char *id, gboolean racks)
{
  g_autofree char *body = job_body (kind, id);
  g_autofree char *step = NULL;
  g_auto (GStrv) parts = NULL;

  if (!racks)
    return g_steal_pointer (&body);
  step = g_strdup_printf ("{\"affinity\":\"r%u\",\"count\":",
                          soak_job_rack (id));
  parts = g_strsplit (body, "{\"count\":", -1);
  return g_strjoinv (step, parts);
}

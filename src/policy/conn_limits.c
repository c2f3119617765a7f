/* Limits on what the accepted connections of a process take, and the order in
   which they are closed beyond the limits. The load that it addresses is a
   crowd of clients that begin requests and don't complete them. */
#include "hyssopkeel/conn_limits.h"

/* Entries have 160 to 512 MB, of which a loaded one uses 60 MB without such
   clients. libsoup, malloc and the kernel take up to as much again as the
   bytes that are counted. */
#define MEMORY_PER_BUDGET 8
/* Room for a record of the RPC, 4 MiB, and for others beside it. */
#define BUDGET_MIN_BYTES ((size_t)8 << 20)
#define BUDGET_MAX_BYTES ((size_t)32 << 20)
/* Descriptors that are kept for files, and for connections of agents, other
   entries and the store: a site has up to 195 machines. */
#define FILES_FDS 200
#define INTERNAL_FDS 512
/* Shares of a small limit that are kept for these. */
#define FILES_FDS_SHARE 4
#define INTERNAL_FDS_SHARE 8

struct hk_conn_limits
hk_conn_limits_derive (int64_t memory_mb, int64_t max_fds)
{
  struct hk_conn_limits out;
  int64_t files = MIN (FILES_FDS, max_fds / FILES_FDS_SHARE);
  int64_t internal = MIN (INTERNAL_FDS, max_fds / INTERNAL_FDS_SHARE);
  int64_t budget_mb = MIN (memory_mb, G_MAXINT32) / MEMORY_PER_BUDGET;

  out.budget_bytes
      = CLAMP ((size_t)budget_mb << 20, BUDGET_MIN_BYTES, BUDGET_MAX_BYTES);
  out.connections_max = (unsigned)CLAMP (max_fds - files, 1, G_MAXINT32);
  out.client_connections_max
      = (unsigned)CLAMP (max_fds - files - internal, 1, G_MAXINT32);
  return out;
}

int
hk_conn_load_compare (const struct hk_conn_load *a,
                      const struct hk_conn_load *b)
{
  /* The age of a request that has just begun still counts its bytes. */
  double weight_a = (double)a->held_bytes * ((double)a->age_ms + 1);
  double weight_b = (double)b->held_bytes * ((double)b->age_ms + 1);

  if (a->origin != b->origin)
    return a->origin < b->origin ? -1 : 1;
  return weight_a > weight_b ? -1 : weight_a < weight_b;
}

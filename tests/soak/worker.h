#ifndef SOAK_WORKER_H
#define SOAK_WORKER_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"
#include "oracle.h"
#include "specs.h"

/** Full capacity of a worker, in thousandths of a core. */
#define SOAK_WORKER_CPU_MILLI 8000

/**
 * struct soak_worker - simulated worker that speaks the platform's published
 * protocol.
 * @name: name of its machine.
 * @id: id that it reports; calls that name another one are refused.
 * @address: "ip:port" it listens on.
 * @reports: address that it reports to.
 * @lost_replies: number of coming requests, renewals excepted, that are
 *                carried out but get no reply.
 * @late_orders: number of coming starts and stops that get no reply and are
 *               carried out seconds later, then perhaps by a later
 *               incarnation.
 * @odd: its lists have checkpoints of any length, and another writer sends odd
 *       reports in its name.
 * @racked: it reports that it is on rack @rack, and tasks with data on another
 *          take longer.
 * @cpu_milli: capacity.
 * @cpu_limit_milli: capacity before it shrank; allowed until @limit_until_ms.
 * @on_start: called after each start with @user, or NULL; @late as in
 *            soak_oracle_start().
 * @runs: struct run, ended ones included.
 * @late: bodies of orders to carry out late.
 * @waiting: renewals without a reply yet.
 * @up_at_ms: when the next incarnation comes up; 0 while one is up.
 * @start_time_ms: time of the last start; tells incarnations apart.
 * @clock_offset_ms: added to the clock; differs by incarnation.
 * @lease_expiry_ms: time at which the lease of all runs expires.
 * @fencing_token: highest fencing token seen; requests with a lower one are
 *                 refused.
 * @acked_end: sequence number of the last end that was acknowledged.
 * @last_end: sequence number of the last end.
 * @updated_ms: time up to which the work of its runs is counted.
 * @report_count: number of reports sent by this incarnation.
 */
struct soak_worker
{
  char *name;
  char *id;
  char *address;
  char *reports;
  int lost_replies;
  int late_orders;
  gboolean odd;
  gboolean racked;
  unsigned rack;
  unsigned cpu_milli;
  unsigned cpu_limit_milli;
  int64_t limit_until_ms;
  struct soak_oracle *oracle;
  void (*on_start) (struct soak_worker *w, const char *task, gboolean late,
                    void *user);
  void *user;
  GRand *rand;
  SoupServer *server;
  SoupSession *session;
  GPtrArray *runs;
  GPtrArray *late;
  GPtrArray *waiting;
  int64_t up_at_ms;
  int64_t start_time_ms;
  int64_t clock_offset_ms;
  int64_t lease_expiry_ms;
  int64_t fencing_token;
  int64_t acked_end;
  int64_t last_end;
  int64_t updated_ms;
  int64_t report_count;
  int64_t next_report_ms;
  int64_t next_renewal_ms;
  unsigned incarnations;
  guint timer;
};

/** soak_worker_start() - start a worker without runs. */
void soak_worker_start (struct soak_worker *w, const char *name,
                        const char *reports, struct soak_oracle *oracle,
                        unsigned seed);

/**
 * soak_worker_crash() - drop all runs; a new incarnation comes up later.
 * @down_ms: time until then; connections are refused meanwhile.
 * @same_id: whether it reports the same id.
 */
void soak_worker_crash (struct soak_worker *w, int64_t down_ms,
                        gboolean same_id);

/** soak_worker_resize() - change the capacity that it reports. */
void soak_worker_resize (struct soak_worker *w, unsigned cpu_milli);

/** soak_worker_stop() - stop listening and release all memory held. */
void soak_worker_stop (struct soak_worker *w);

#endif

#ifndef REVIEW_WORKER_3_H
#define REVIEW_WORKER_3_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/**
 * struct worker3 - stand-in for a worker, by PROTOCOL.md, "Running tasks".
 * @name: id, and name of its machine.
 * @address: where it takes calls from its machine.
 * @reports: where it sends liveness reports.
 * @kind: first label.
 * @rack: second label.
 * @cpu_milli: capacity.
 * @unhealthy: each start gets 503 and does nothing.
 * @draining: the state that its reports give.
 * @on_event: called with "start", "end" or "reject" for a task.
 * @user: its argument.
 * @runs: running and ended, until the ends are acknowledged.
 * @waiting: calls to hold that wait for an end.
 * @n_started: starts carried out.
 */
struct worker3
{
  char *name;
  char *address;
  char *reports;
  const char *kind;
  const char *rack;
  unsigned cpu_milli;
  gboolean unhealthy;
  gboolean draining;
  void (*on_event) (struct worker3 *w, const char *event, const char *task,
                    int64_t run, const char *detail, void *user);
  void *user;
  SoupServer *server;
  SoupSession *session;
  GPtrArray *runs;
  GPtrArray *waiting;
  int64_t born_ms;
  int64_t clock_offset_ms;
  int64_t fence;
  int64_t lease_ms;
  int64_t last_seen;
  int64_t last_end;
  int64_t sequence;
  int64_t report_at_ms;
  guint timer;
  unsigned n_started;
};

/** worker3_start() - start to serve and to report; the caller has set the
 * fields up to @user. */
void worker3_start (struct worker3 *w);

/** worker3_stop() - end it. */
void worker3_stop (struct worker3 *w);

/** worker3_running() - runs that have not ended. */
unsigned worker3_running (const struct worker3 *w);

#endif

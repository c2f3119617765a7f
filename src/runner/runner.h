#ifndef RUNNER_H
#define RUNNER_H

#include "hyssopkeel/runner.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"
#include "hyssopkeel/pacing.h"
#include "hyssopkeel/pressure.h"
#include "hyssopkeel/rpc_channel.h"
#include "hyssopkeel/timer.h"

/* Failed holds after which no new work is asked for. */
#define RUNNER_FAILURES_MAX 2

enum run_state
{
  RUN_STARTING, /* ordered; the endpoint has not confirmed it */
  RUN_ALIVE,    /* listed by the endpoint */
  RUN_STOPPING, /* to be stopped; not confirmed */
  RUN_ENDED     /* over; the coordinator has not noted it */
};

/* One run as this agent knows it. */
struct runner_run
{
  struct hk_runner *r;
  hk_task_id task;
  unsigned number;
  enum run_state state;
  gboolean known;      /* its needs are known, by an order */
  gboolean unanswered; /* a start of it may still arrive */
  gboolean gone;       /* freed while calls are open */
  unsigned calls;
  uint64_t alive_at;         /* place of the start's answer among calls */
  uint64_t stop_answered_at; /* the same of a stop's answer; 0: none yet */
  uint64_t listed;           /* list that showed it last */
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  unsigned flags;
  unsigned target_ms;
  char *image;
  unsigned percent;
  unsigned figure;
  unsigned pace;
  unsigned pace_wanted;
  gboolean pacing;
  char *checkpoint;
  char *payload;
  size_t payload_len;
  int64_t ordered_ms;
  unsigned tries;
  uint64_t end_seq;
  hk_end_how how;
  struct hk_timer timer;
  TAILQ_ENTRY (runner_run) link;
};

struct hk_runner
{
  struct hk_store *store;
  struct hk_runtime *runtime;
  char *name;
  char *domain;
  struct hk_authority authority;
  int64_t hold_max_ms;

  /* the endpoint */
  int64_t born_ms;
  gboolean described;
  gboolean draining;
  gboolean leaving_endpoint;
  int64_t drain_until_ms;
  char *pool;
  char **labels;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  int64_t clock_ms;    /* its clock ... */
  int64_t clock_at_ms; /* ... at this time here */
  int64_t lease_clock_ms;
  int64_t lease_until_ms;
  gboolean listed;
  uint64_t list_count;
  uint64_t calls; /* orders sending a hold and answers of orders in time */

  /* the hold loop */
  gboolean holding;
  unsigned hold_generation;
  unsigned hold_failures;
  unsigned refusals;
  uint64_t seen;
  uint64_t max_seq;
  struct hk_timer hold_timer;
  struct hk_pressure pressure;
  uint64_t pressure_term; /* of the coordinator that knows it */
  int64_t paced_ms;
  int64_t over_since_ms;

  /* the coordinator */
  uint64_t term;
  int64_t grant_until_ms;
  struct hk_rpc_channel channel;
  char *address;
  gboolean finding;
  gboolean doubtful; /* its commits fail; a successor may lead */
  unsigned syncs;
  unsigned sync_generation;
  gboolean news;
  int64_t sync_ok_ms;
  struct hk_timer sync_timer;
  struct hk_timer find_timer;

  gboolean leaving;
  struct hk_timer leave_timer;
  void (*left) (void *user);
  void *left_user;

  TAILQ_HEAD (, runner_run) runs;
  unsigned n_runs;
};

/* runner.c */
int64_t runner_clock (const struct hk_runner *r, int64_t now);
gboolean runner_granted (const struct hk_runner *r, int64_t now);
void runner_leave_granted (struct hk_runner *r);

/* runner_run.c */
struct runner_run *runner_run_find (struct hk_runner *r,
                                    const hk_task_id *task, unsigned number);
void runner_run_order (struct hk_runner *r, const hk_start_order *order);
void runner_run_stop (struct hk_runner *r, const hk_task_id *task,
                      unsigned number);
void runner_run_missing (struct runner_run *run);
void runner_run_end (struct runner_run *run, hk_end_how how, uint64_t seq,
                     const char *checkpoint);
void runner_run_free (struct runner_run *run);
void runner_run_release (struct runner_run *run);
struct runner_run *runner_run_add (struct hk_runner *r, const hk_task_id *task,
                                   unsigned number);
void runner_runs_lost (struct hk_runner *r, hk_end_how how, const char *why);

/* runner_hold.c */
void runner_hold_start (struct hk_runner *r);
void runner_hold_now (struct hk_runner *r);
void runner_hold_soon (struct hk_runner *r);
void runner_hold_last (struct hk_runner *r, void (*last) (void *user));
void runner_hold_life (struct hk_runner *r, int64_t born_ms);
void runner_lease (struct hk_runner *r, int64_t deadline_clock_ms,
                   int64_t now);
void runner_ends_advance (struct hk_runner *r);
void runner_hold_stop (struct hk_runner *r);

/* runner_pace.c */
void runner_pace (struct hk_runner *r, int64_t now);

/* runner_sync.c */
void runner_sync_start (struct hk_runner *r);
void runner_sync_send (struct hk_runner *r);
void runner_news (struct hk_runner *r);
void runner_sync_stop (struct hk_runner *r);

#endif

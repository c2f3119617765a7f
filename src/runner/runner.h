#ifndef RUNNER_H
#define RUNNER_H

#include "hyssopkeel/runner.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"
#include "hyssopkeel/throttle.h"
#include "hyssopkeel/interference_model.h"
#include "hyssopkeel/report_order.h"
#include "hyssopkeel/rpc_channel.h"
#include "hyssopkeel/timer.h"

/* Consecutive failed renewals after which the agent takes no new work. */
#define RUNNER_RENEW_FAILURES_MAX 2
/* A call is not delivered later than this after it was sent. */
#define RUNNER_DELIVERY_MAX_MS 30000

enum run_state
{
  RUN_STARTING, /* ordered, not confirmed by the endpoint */
  RUN_RUNNING,  /* confirmed or listed by the endpoint */
  RUN_STOPPING, /* stop ordered, not confirmed */
  RUN_ENDED     /* ended; the coordinator has not committed it */
};

/* This agent's view of one run. */
struct runner_run
{
  struct hk_runner *r;
  hk_task_id task;
  unsigned number;
  enum run_state state;
  gboolean spec_known;     /* resources and image are known from an order */
  gboolean start_in_doubt; /* a start got no reply and may still arrive, also
                              at a later incarnation; never reset */
  gboolean unlinked;       /* removed, but not freed while calls are open */
  unsigned open_calls;
  uint64_t start_reply_seq; /* call_seq of the reply to the start */
  uint64_t stop_reply_seq;  /* call_seq of the reply to the stop; 0: none */
  uint64_t last_list;       /* list_count of the last list that has it */
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  unsigned flags;
  unsigned target_ms;
  char *image;
  unsigned percent;       /* progress */
  unsigned load_sample;   /* as hk_runtime_run */
  unsigned speed_percent; /* of full speed */
  gboolean speed_unknown; /* a throttle call got no reply since the last one
                             that did, or a former agent set the speed */
  unsigned speed_requested_percent;
  gboolean throttle_pending;
  gboolean throttle_failed;     /* the last throttle call */
  int64_t throttle_sent_ms;     /* time of the last throttle call */
  int64_t throttle_in_doubt_ms; /* time of the last throttle call without a
                                   reply, which may still arrive; 0: none */
  int64_t throttled_ms;         /* time of the last change of speed */
  char *checkpoint;
  gboolean checkpoint_rejected; /* one was over the limit; logged once */
  char *payload;
  size_t payload_len;
  int64_t ordered_ms;
  unsigned start_attempts;
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
  int64_t lease_max_ms;
  int64_t created_ms;

  /* endpoint */
  char *instance;            /* that calls are addressed to; NULL for any */
  int64_t endpoint_start_ms; /* of the present incarnation; 0 before a list */
  uint64_t incarnation_seq;  /* call_seq when it became known */
  uint64_t fence_epoch;      /* part of the fence; rises with each incarnation
                                and each agent of the endpoint */
  struct hk_report_order report_order;
  struct hk_endpoint_report candidate; /* that the endpoint is to confirm */
  unsigned confirm_generation;
  unsigned confirm_attempts;
  struct hk_timer confirm_timer;
  gboolean described;
  gboolean draining;
  gboolean endpoint_leaving;
  int64_t drain_until_ms;
  char *pool;
  char **labels;
  unsigned cpu_milli;
  unsigned memory_mb;
  unsigned accelerators;
  int64_t endpoint_clock_ms;       /* endpoint clock, read at ... */
  int64_t clock_read_ms;           /* ... this local time; 0: never */
  int64_t lease_deadline_clock_ms; /* on the endpoint clock */
  int64_t lease_end_ms; /* local time by which all leases have expired */
  gboolean list_received;
  uint64_t list_count; /* lists received */
  uint64_t call_seq;   /* logical clock: renewals sent, replies received */

  /* renewal loop */
  gboolean renewing;
  unsigned renew_generation;
  unsigned renew_failures;
  unsigned refusals;    /* consecutive refused connections */
  uint64_t acked_seq;   /* ends up to this one are committed */
  uint64_t max_end_seq; /* newest end listed */
  struct hk_timer renew_timer;
  struct hk_interference_model interference;
  uint64_t interference_term; /* term of the coordinator that has the table */
  int64_t throttle_set_ms;    /* time of the last change */
  int64_t over_target_since_ms;

  /* coordinator */
  uint64_t term;
  int64_t grant_until_ms;
  struct hk_rpc_channel channel;
  char *address;
  gboolean lookup_open;
  gboolean leader_uncertain; /* its commits fail; a successor may lead */
  unsigned open_syncs;
  unsigned sync_generation;
  gboolean report_due;
  unsigned checkpoint_cursor; /* run whose checkpoint the next report has
                                 first, as the last had no room for it */
  int64_t last_sync_ms;
  struct hk_timer sync_timer;
  struct hk_timer lookup_timer;

  gboolean leaving;
  struct hk_timer leave_timer;
  void (*on_left) (void *user);
  void *on_left_user;

  TAILQ_HEAD (, runner_run) runs;
  unsigned n_runs;
  TAILQ_HEAD (, runner_unanswered) unanswered;
};

/* runner.c */
int64_t runner_endpoint_clock_ms (const struct hk_runner *r, int64_t now);
uint64_t runner_fence (const struct hk_runner *r);
void runner_fence_raise (struct hk_runner *r);
gboolean runner_grant_valid (const struct hk_runner *r, int64_t now);
void runner_leave_acknowledged (struct hk_runner *r);

/* runner_report.c */
void runner_report_finish (struct hk_runner *r);

/* runner_run.c */
gboolean runner_call_in_doubt (int rc);
struct runner_run *runner_run_find (struct hk_runner *r,
                                    const hk_task_id *task, unsigned number);
void runner_run_accept (struct hk_runner *r, const hk_start_order *order);
void runner_run_stop (struct hk_runner *r, const hk_task_id *task,
                      unsigned number);
void runner_run_handle_missing (struct runner_run *run);
void runner_run_set_ended (struct runner_run *run, hk_end_how how,
                           uint64_t seq, const char *checkpoint);
void runner_run_remove (struct runner_run *run);
void runner_run_set_checkpoint (struct runner_run *run, const char *text);
gboolean runner_run_known (const struct runner_run *run);
void runner_run_free (struct runner_run *run);
struct runner_run *runner_run_add (struct hk_runner *r, const hk_task_id *task,
                                   unsigned number);
void runner_runs_end_all (struct hk_runner *r, hk_end_how how,
                          const char *cause);

/* runner_renew.c */
void runner_renew_start (struct hk_runner *r);
void runner_renew_now (struct hk_runner *r);
void runner_renew_soon (struct hk_runner *r);
void runner_renew_last (struct hk_runner *r, void (*on_done) (void *user));
void runner_incarnation_update (struct hk_runner *r,
                                int64_t endpoint_start_ms);
void runner_lease_extend (struct hk_runner *r, int64_t deadline_clock_ms,
                          int64_t now);
void runner_ends_acknowledge (struct hk_runner *r);
void runner_renew_stop (struct hk_runner *r);

/* runner_unanswered.c */
void runner_unanswered_keep (struct runner_run *run);
void runner_unanswered_stop (struct hk_runner *r);
void runner_unanswered_clear (struct hk_runner *r);

/* runner_throttle.c */
void runner_throttle_update (struct hk_runner *r, int64_t now);

/* runner_sync.c */
void runner_sync_start (struct hk_runner *r);
void runner_sync_send (struct hk_runner *r);
void runner_report_schedule (struct hk_runner *r);
void runner_sync_stop (struct hk_runner *r);

#endif

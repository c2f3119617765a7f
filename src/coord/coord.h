#ifndef COORD_H
#define COORD_H

#include "hyssopkeel/coord.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/crash_domain.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/json.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"
#include "hyssopkeel/interference_model.h"
#include "hyssopkeel/job_placement.h"
#include "hyssopkeel/pass_budget.h"
#include "hyssopkeel/recent_ids.h"
#include "hyssopkeel/rpc_channel.h"
#include "hyssopkeel/rpc_server.h"
#include "hyssopkeel/suspension.h"
#include "hyssopkeel/timer.h"

#include "coord_locality.h"

/* Below this headroom the request queue of a service task is saturated. */
#define COORD_HEADROOM_SATURATED 0.85
/* Times ahead at which the speed of a best-effort task is predicted; they
   cover the few seconds that such a task takes. */
#define COORD_HORIZONS 3

/* Retry-After while commits fail: outages of the store last seconds. */
#define COORD_STORE_RETRY_AFTER_S 2
/* Retry-After when another process can serve the request, once the load
   balancer has detected this one; sooner retries would all come back here. */
#define COORD_ELSEWHERE_RETRY_AFTER_S 1
/* Reason of a refusal: a field is over its limit in hk_job.x. */
#define COORD_NOT_ENCODABLE "a field of the job is over its limit"
/* Capacity scores are capped at this. */
#define COORD_CAPACITY_SCORE_MAX_PERCENT 100

enum coord_state
{
  COORD_FOLLOWING,
  COORD_TAKING_OVER, /* the transaction that takes over is in flight */
  COORD_LOADING,
  COORD_LEADING
};

/* Why an instance does not take a task that waits. */
enum coord_wait_reason
{
  COORD_WAIT_NONE,
  COORD_WAIT_SILENT,    /* no recent report of the agent */
  COORD_WAIT_UNKNOWN,   /* the capacity or the size of a run is not known */
  COORD_WAIT_LISTED,    /* listed as silent in the store */
  COORD_WAIT_DRAINING,  /* draining or leaving */
  COORD_WAIT_EVACUATED, /* its failure domain is evacuated */
  COORD_WAIT_UNREAD,    /* the evacuated domains have not been read yet */
  COORD_WAIT_MISMATCH,  /* another pool or label */
  COORD_WAIT_RAMP,      /* its domain was restored; starts are spread */
  COORD_WAIT_PAUSED,    /* it refused a start */
  COORD_WAIT_APART,     /* suspects of crashes run apart from others */
  COORD_WAIT_FULL,
  COORD_WAIT_UNRELIABLE, /* most recent runs failed */
  COORD_WAIT_HEADROOM,   /* too much of what service tasks leave */
  COORD_WAIT_SLOW,       /* too little speed beside service tasks */
  COORD_WAIT_SATURATED,  /* the queue of a service task does not drain */
  COORD_WAIT_REASONS
};

/* A reported end of a run, acknowledged to the agent once it is committed. */
struct coord_end
{
  char *job;
  unsigned step;
  unsigned index;
  unsigned run;
  uint64_t version; /* of the job; contains the end */
  int64_t acknowledged_ms;
};

/* Service runs of one image on an instance. */
struct coord_service_image
{
  unsigned image;
  unsigned n_runs;
  gboolean sampled; /* a tail latency is known */
  /* Least headroom of the runs without best-effort runs, at each horizon. */
  double headroom[COORD_HORIZONS];
};

struct coord_best_effort_load
{
  unsigned image;
  unsigned cpu_milli;
};

/* Images that share an instance, valid for one value of its @changes and one
   generation of the interference model. */
struct coord_sharing
{
  gboolean valid;
  uint64_t changes;
  unsigned generation;
  GArray *services;       /* of coord_service_image */
  GArray *best_effort;    /* of coord_best_effort_load, one for each run */
  gboolean saturated;     /* the queue of a service run does not drain */
  double requested_milli; /* CPUs declared by best-effort runs */
  double effective_milli; /* the same, scaled by their speeds */
};

/* Connection state of one agent. */
struct coord_link
{
  struct hk_coord *c;
  struct hk_instance *in;
  struct hk_rpc_request *parked; /* report whose reply is delayed */
  uint64_t connection;           /* that the last report came over */
  int64_t received_ms;           /* of the last report */
  int64_t orphan_stop_ms;        /* last stop orders for @orphans */
  int64_t interference_sent_ms;
  struct hk_timer park_timer;
  GArray *ends;         /* of coord_end, from the last report */
  GArray *orphans;      /* of hk_run_id, reported but not placed there */
  gboolean final_lease; /* an answer lets the agent extend its leases, once */
  gboolean described;   /* the agent knows the capacity of its endpoint */
  /* Runs of the last report whose size its agent does not know; it starts
     nothing meanwhile. */
  unsigned n_unknown_runs;
  /* The runs had nothing to order and no end to acknowledge at this value of
     the instance's @changes. */
  uint64_t settled_changes;
  int64_t target_ms; /* last time a run was relocated to make use of it */
  struct coord_sharing sharing;
};

/* Commits are sent one at a time. Each compares the revision of the fence, so
   that an old one fails however late it arrives. */
struct coord_commit
{
  gboolean in_flight;
  gboolean leadership_proof_due; /* the next is sent even if nothing changed */
  uint64_t seq;
  int64_t fence_rev;
  int64_t sent_ms;
  int64_t confirmed_ms;     /* when the last successful commit was sent */
  int64_t failing_since_ms; /* 0 if the last commit succeeded */
  unsigned failures;        /* in a row */
  GPtrArray *jobs;          /* in the commit in flight, not owned */
  GPtrArray *expired;       /* ids of ended jobs whose records it deletes */
  struct hk_timer retry;
};

/* The leader as far as this process knows, and the channel to it. */
struct coord_leader
{
  char *name;
  char *address;
  uint64_t term;
  int64_t lead_rev;
  int64_t adopted_ms;    /* when this process learned of it */
  gboolean lists_silent; /* it keeps the list of silent agents */
  struct hk_rpc_channel channel;
  gboolean connected;
  gboolean pinging;
  gboolean closing;      /* calls that fail now say nothing of the leader */
  unsigned missed_pings; /* pings timed out or failed in a row */
  /* Valid while connected: at @clock_read_ms the leader's clock showed
     @clock_ms or more, and it led in @clock_term. */
  uint64_t clock_term;
  int64_t clock_ms;
  int64_t clock_read_ms;
};

/* A former leader that may still give lease grants. None of its commits was
   confirmed after @superseded_ms, on this process's clock, which may be before
   the process started; 0 while the lead record names it as leader. */
struct coord_predecessor
{
  struct hk_coord *c;
  char *address;
  int64_t superseded_ms;
  gboolean listed; /* by the lead record that is being read */
  struct hk_rpc_channel channel;
  gboolean pinging;
  TAILQ_ENTRY (coord_predecessor) link;
};

/* Failure domains in which nothing may start. */
struct coord_evacuations
{
  gboolean awaited;     /* nothing is placed before they are known */
  uint64_t known_term;  /* they are known in this term */
  int64_t confirmed_ms; /* last time the set was confirmed; 0 if never */
  int64_t revision;     /* of the store, up to which it is known */
  int64_t searched_ms;  /* last search for a service task to move */
  GHashTable *domains;  /* name to struct coord_evacuation */
};

struct hk_coord
{
  struct hk_store *store;
  char *name;
  char *address;
  char *listen;
  struct hk_authority authority;
  int64_t keep_ended_ms;
  size_t record_max_bytes;
  unsigned capacity_score_percent;

  enum coord_state state;
  uint64_t term;
  uint64_t takeover_term;
  gboolean resigned;
  gboolean started;
  gboolean closed; /* released once no store call is in flight */
  unsigned store_calls;
  gboolean lead_read_in_flight;
  struct coord_leader leader;
  struct hk_store_watch *watch;
  int64_t watch_start_rev;
  int64_t store_answered_ms;
  int64_t store_answering_since_ms; /* without a break */
  gboolean lead_read_failed; /* the last read of the lead record failed */
  int64_t suspected_rev;     /* of the record of the suspected leader */
  int64_t taken_over_ms;
  int64_t leading_since_ms; /* agents are heard since then */
  int64_t pinged_ms;        /* last ping by a follower */
  int64_t resumed_ms;       /* the last long suspension ended; 0 if none */
  int64_t leader_unreachable_since_ms; /* 0 while a leader answers */
  struct hk_suspension suspension;     /* of this process */
  struct hk_timer watch_retry;
  struct hk_timer ping_timer;
  struct hk_timer takeover_timer; /* also retries a load */
  struct hk_timer tick_timer;
  struct hk_timer pass_timer;
  struct hk_timer predecessor_timer;
  TAILQ_HEAD (coord_predecessor_list, coord_predecessor) predecessors;
  int64_t predecessor_ceased_ms; /* last answer of one that it does not lead */
  int64_t consolidated_ms;       /* last search for a task to consolidate */
  int64_t moved_ms;              /* last move of a service task */
  gboolean silent_in_flight;     /* the commit in flight has a list of them */
  int64_t silent_written_ms;     /* when the last list was built */
  int64_t waiting_reported_ms;   /* last report of tasks that wait */
  struct hk_crash_domain crash_domain;
  int64_t give_up_at_ms; /* the earliest of all tasks; 0 if none */

  struct hk_engine engine;
  gboolean engine_ready;
  struct coord_commit commit;
  GHashTable *loaded_specs; /* id to GBytes, while COORD_LOADING */
  char *loaded_silent;      /* list of silent agents, likewise; or NULL */
  int64_t loaded_silent_ms; /* when that was read */
  struct hk_rpc_server server;
  struct coord_evacuations evacuations;
  GHashTable *estimates;
  GHashTable *mean_work;
  /* Best-effort steps that failed since then wait for the others. */
  int64_t round_began_ms;
  gboolean round_open; /* the last pass ended at its budget */
  struct hk_interference_model interference_model;
  struct coord_locality locality;
  LIST_HEAD (, coord_request) requests;
  struct hk_recent_ids refusals; /* by this process as leader */
  /* Requests of this process that were or may have been carried out. */
  struct hk_recent_ids sent_on;
  gboolean ends_requests; /* no further attempts; see hk_coord_end_requests */

  /* memory of struct coord_pass */
  struct hk_job_place_view candidate_views[HK_PASS_CANDIDATES_MAX];
  struct hk_instance *candidate_instances[HK_PASS_CANDIDATES_MAX];
  double candidate_scores[HK_PASS_CANDIDATES_MAX];
};

/* One scheduling pass. @need and the candidates belong to the step whose tasks
   are being placed. */
struct coord_pass
{
  struct hk_coord *c;
  int64_t now;
  int64_t retry_ms;      /* pause after a failed placement */
  unsigned n_waiting;    /* best-effort steps that wait */
  unsigned n_steps;      /* best-effort steps tried */
  unsigned n_placed;     /* tasks placed */
  gboolean exhausted;    /* best-effort steps were left to the next pass */
  double used_cpu_milli; /* of those in touch, without best-effort runs */
  double cpu_milli;      /* of all instances that are not evacuated */
  struct hk_pass_failures failures;
  GArray *deferred;        /* see coord_locality_defer(); NULL if none */
  struct coord_rack *rack; /* that holds the data of the step; or NULL */
  struct hk_job_place_need need;
  struct hk_job_place_view *views;
  struct hk_instance **instances;
  double *scores; /* -INFINITY where the task does not fit */
  unsigned n;
};

/* coord_follow.c */
void coord_follow_start (struct hk_coord *c);
void coord_follow_stop (struct hk_coord *c);
void coord_leader_ping (struct hk_coord *c);
void coord_store_answered (struct hk_coord *c);
/* Earliest time on the leader's clock at which this process's clock can have
   shown @ms. */
int64_t coord_leader_clock (const struct coord_leader *l, int64_t ms);

/* coord_lead.c */
gboolean coord_lead_record_apply (struct hk_coord *c,
                                  const struct hk_store_kv *kv);
void coord_leader_disconnect (struct hk_coord *c);
void coord_leader_suspect (struct hk_coord *c, const char *why);
void coord_step_down (struct hk_coord *c, const char *why);

/* coord_load.c */
void coord_load (struct hk_coord *c);

/* coord_predecessor.c */
void coord_predecessors_update (struct hk_coord *c, const char *leader,
                                json_object *record, gboolean gap);
void coord_predecessors_add_unknown (struct hk_coord *c);
void coord_predecessors_supersede (struct hk_coord *c, int64_t now);
int64_t coord_predecessors_grant_until (const struct hk_coord *c, int64_t now);
void coord_predecessors_ping (struct hk_coord *c);
void coord_predecessors_clear (struct hk_coord *c);
char *coord_predecessors_to_json (const struct hk_coord *c);

/* coord_silent.c */
gboolean coord_silent_due (const struct hk_coord *c, int64_t now);
char *coord_silent_next (struct hk_coord *c, int64_t now);
void coord_silent_committed (struct hk_coord *c);
void coord_silent_apply (struct hk_coord *c, const char *text,
                         int64_t read_ms);

/* coord_commit.c */
void coord_commit_init (struct hk_coord *c);
void coord_commit_finish (struct hk_coord *c);
void coord_commit_next (struct hk_coord *c);
gboolean coord_leadership_proven (struct hk_coord *c, int64_t now);
void coord_commit_drop_unsent (struct hk_coord *c);
gboolean coord_store_failing (const struct hk_coord *c, int64_t now);

/* coord_describe.c */
/* Returns whether the instance may accept other runs than before. */
gboolean coord_instance_describe (struct hk_instance *in,
                                  const hk_sync_args *args, int64_t now);

/* coord_sync.c */
void coord_on_sync (struct hk_rpc_request *req, void *args, void *user);
void coord_links_drop (struct hk_coord *c);
void coord_runs_expire (struct hk_coord *c, int64_t now);

/* Ends or stops runs that were placed on an instance and may not start there.
   Returns whether any has ended. */
gboolean coord_unstarted_runs_end (struct hk_instance *in, int64_t now);

/* coord_sync_reply.c */
void coord_link_reply (struct coord_link *l, gboolean force);
void coord_link_park (struct coord_link *l);
void coord_links_reply (struct hk_coord *c);

/* coord_request.c */
void coord_on_request (struct hk_rpc_request *req, void *args, void *user);
void coord_request_handle (struct hk_coord *c, const hk_job_request_args *args,
                           hk_coord_request_done done, void *user);
/* Whether a request changes something, so that its repetition is not free. */
gboolean coord_request_changes (const hk_job_request_args *args);
/* Identifies a request for @refusals and @sent_on; submissions and
   cancellations of one id are apart. Newly allocated. */
char *coord_request_key (hk_job_request_kind kind, const char *id);
/* Notes that all earlier attempts of such a request for this id are refused.
   To be called before any caller gets the refusal. */
void coord_refusal_add (struct hk_coord *c, hk_job_request_kind kind,
                        const char *id);

/* coord_where.c */
void coord_where_answer (struct hk_coord *c, const hk_job_spec *spec,
                         hk_coord_where_done done, void *user);
void coord_on_where (struct hk_rpc_request *req, void *args, void *user);

/* coord_forward.c */
void coord_requests_retry (struct hk_coord *c);
void coord_requests_drop (struct hk_coord *c);

/* coord_waiter.c */
void coord_waiter_add (struct hk_engine_job *job,
                       const hk_job_request_reply *reply,
                       hk_coord_request_done done, void *user);
void coord_waiters_notify (struct hk_engine_job *job);
void coord_waiters_drop (struct hk_engine_job *job);
void coord_waiters_refuse (struct hk_coord *c, struct hk_engine_job *job,
                           const char *reason, unsigned retry_after_s);

/* coord_schedule.c */
void coord_schedule (struct hk_coord *c, int64_t now);
void coord_pass_failed (struct coord_pass *p, struct hk_engine_step *step);
gboolean coord_pass_covers (const struct coord_pass *p,
                            const struct hk_engine_step *step);

/* coord_candidates.c */
void coord_pass_init (struct coord_pass *p, struct hk_coord *c, int64_t now);
struct hk_job_place_need coord_place_need (const struct hk_engine_step *step);
void coord_pass_begin_step (struct coord_pass *p,
                            const struct hk_engine_task *task);
gboolean coord_pass_place (struct coord_pass *p, struct hk_engine_task *task);
int coord_pass_best (struct coord_pass *p, const struct hk_engine_task *task);
gboolean coord_has_label (const struct hk_instance *in, const char *label);
/* Whether the task, of the step that was begun, fits an instance now, whatever
   suspects run there. */
gboolean coord_pass_fits (struct coord_pass *p,
                          const struct hk_engine_task *task,
                          struct hk_instance *in);
gboolean coord_place_speculative (struct hk_coord *c,
                                  struct hk_engine_task *task, int64_t now);
/* Whether a run of the job is on an instance whose agent reports. */
gboolean coord_job_runs_in_touch (const struct hk_engine_job *job,
                                  int64_t now);
/* Whether an instance is in service for the tasks of a step. */
gboolean coord_accepts_runs (const struct hk_instance *in,
                             const struct hk_engine_step *step, int64_t now);
enum coord_wait_reason
coord_instance_obstacle (const struct hk_instance *in,
                         const struct hk_engine_step *step, int64_t now);
/* Why an instance does not take a task of the step that was begun. */
enum coord_wait_reason coord_task_obstacle (struct coord_pass *p,
                                            const struct hk_engine_task *task,
                                            struct hk_instance *in);
gboolean coord_has_better_instance (struct hk_coord *c,
                                    const struct hk_engine_task *task,
                                    const struct hk_instance *current,
                                    int64_t now);
gboolean coord_task_fits (struct hk_coord *c, struct hk_job_place_view *v,
                          struct hk_instance *in,
                          const struct hk_engine_task *task, int64_t now);

/* coord_interference.c */
int64_t coord_best_effort_free_milli (const struct hk_instance *in);
void coord_interference_learn (struct hk_coord *c, struct hk_instance *in,
                               int64_t now);
void coord_interference_send (struct hk_coord *c, struct coord_link *l,
                              GArray *rows, int64_t now);
/* Whether a run has started and its step has a latency target and is not
   best-effort. */
gboolean coord_is_service_run (const struct hk_run *run);
gboolean coord_is_best_effort_run (const struct hk_run *run);

/* coord_speed.c */
#define COORD_SPEED_TEXT_MAX 128
void coord_speed_expect (struct hk_run *run, const struct hk_job_place_view *v,
                         int64_t now);
void coord_speed_observe (struct hk_run *run, unsigned percent, int64_t now);
double coord_speed_full_ms (const struct hk_run *run, int64_t now);
/* The fields of a log line, with a space before the first, in @text, of
   COORD_SPEED_TEXT_MAX bytes; "" if the run is not best-effort. */
const char *coord_speed_describe_expected (const struct hk_run *run,
                                           char *text);
const char *coord_speed_describe (const struct hk_run *run, char *text,
                                  int64_t now);

/* coord_relocate.c */
void coord_best_effort_relocate (struct hk_coord *c, int64_t now);

/* coord_sharing.c */
void coord_sharing_init (struct coord_sharing *s);
void coord_sharing_finish (struct coord_sharing *s);
const struct coord_sharing *coord_sharing_of (struct hk_coord *c,
                                              const struct hk_instance *in);
unsigned coord_step_image (struct hk_coord *c, struct hk_engine_step *step);
void coord_count_service_images (struct hk_coord *c,
                                 const struct hk_instance *in, unsigned image,
                                 unsigned *same, unsigned *others);
void coord_best_effort_expect (struct hk_coord *c,
                               const struct hk_instance *in,
                               struct hk_engine_step *step,
                               struct hk_job_place_view *v);
/* The same for a run where it is, which does not count beside itself. */
void coord_best_effort_expect_run (struct hk_coord *c,
                                   const struct hk_run *run,
                                   struct hk_job_place_view *v);

/* coord_evacuate.c */
void coord_evacuations_init (struct coord_evacuations *e, gboolean awaited);
void coord_evacuations_finish (struct coord_evacuations *e);
/* Whether this coordinator knows in which domains nothing may start. */
gboolean coord_evacuations_known (struct hk_coord *c);
/* Moves one service task out of an evacuated domain, if another instance has
   room for it. */
void coord_evacuate (struct hk_coord *c, int64_t now);
void coord_evacuation_apply (struct hk_coord *c, struct hk_instance *in);
/* Whether the next start on an instance of a restored domain has to wait. */
gboolean coord_evacuation_ramps (const struct hk_instance *in, int64_t now);

/* coord_drain.c */
void coord_drain (struct hk_coord *c, int64_t now);

/* coord_consolidate.c */
/* Whether all tasks of a step serve, so that a move makes only one of them
   unavailable. */
gboolean coord_step_serves (const struct hk_engine_step *step, int64_t now);
/* Whether a service task may be moved now, as the last move is long enough
   ago. */
gboolean coord_move_due (struct hk_coord *c, int64_t now);
/* Stops a run whose task is to start on another instance. */
void coord_move_begin (struct hk_coord *c, struct hk_run *run, int64_t now);
void coord_consolidate (struct hk_coord *c, int64_t now);

/* coord_waiting.c */
const char *coord_wait_reason_name (enum coord_wait_reason reason);
void coord_waiting_report (struct hk_coord *c, int64_t now);

/* coord_crash.c */
void coord_crash_apply (struct hk_coord *c, struct hk_instance *in,
                        const GPtrArray *runs, const char *why, int64_t now);
void coord_crash_check (struct hk_coord *c, int64_t now);
void coord_crash_adopt (struct hk_coord *c);

/* coord_crash_place.c */
gboolean coord_crash_admits (const struct hk_instance *in,
                             const struct hk_engine_task *task, int64_t now);
enum hk_crash_watch coord_crash_watch (const struct hk_engine_task *task,
                                       int64_t now);
gboolean coord_crash_pauses (const struct hk_engine_task *task, int64_t now);
gboolean coord_crash_place (struct coord_pass *p, struct hk_engine_task *task);

/* coord_stragglers.c */
void coord_stragglers_check (struct hk_coord *c, int64_t now);

/* coord_estimate.c */
void coord_estimates_init (struct hk_coord *c);
void coord_order_update (struct hk_coord *c, struct hk_engine_job *job,
                         int64_t now);
void coord_estimate_learn (struct hk_coord *c, const struct hk_run *run,
                           hk_end_how how, int64_t now);
int64_t coord_estimate_ms (struct hk_coord *c,
                           const struct hk_engine_step *step);
/* The same of a run, which takes longer away from its data. */
int64_t coord_estimate_run_ms (struct hk_coord *c, const struct hk_run *run);
double coord_best_effort_cores (struct hk_coord *c);
gboolean coord_admission (struct hk_coord *c, const hk_job_spec *spec,
                          struct hk_admission_view *v, unsigned *retry_after_s,
                          const char **reason);
gboolean coord_admit (struct hk_coord *c, const hk_job_spec *spec,
                      unsigned *retry_after_s, const char **reason);

/* coord.c */
/* Whether a submission that is read now may have waited in its connection for
   longer than the cancellation of an unknown id is remembered. */
gboolean coord_submission_may_be_stale (struct hk_coord *c, int64_t now);
void coord_engine_init (struct hk_coord *c);
gboolean coord_isolated (const struct hk_coord *c, int64_t now);
gboolean coord_store_call_end (struct hk_coord *c);
void coord_pass_schedule (struct hk_coord *c);
void coord_pass_schedule_in (struct hk_coord *c, int64_t delay_ms);
int64_t coord_wall_ms (void);

#endif

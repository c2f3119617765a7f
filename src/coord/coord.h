#ifndef COORD_H
#define COORD_H

#include "hyssopkeel/coord.h"

#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/json.h"
#include "hyssopkeel/log.h"
#include "hyssopkeel/metrics.h"
#include "hyssopkeel/pressure.h"
#include "hyssopkeel/rpc_channel.h"
#include "hyssopkeel/rpc_server.h"
#include "hyssopkeel/timer.h"

/* More strength than this makes no better coordinator, percent. */
#define COORD_STRENGTH_FULL 100

enum coord_state
{
  COORD_FOLLOWING,
  COORD_TAKING,
  COORD_LOADING,
  COORD_LEADING
};

/* A caller that waits until a version of a job is in the store. */
struct coord_waiter
{
  uint64_t version;
  hk_ask_reply reply;
  hk_ask_done done;
  void *user;
  LIST_ENTRY (coord_waiter) link;
};

LIST_HEAD (coord_waiters, coord_waiter);

/* An end that an agent may forget once it is in the store. */
struct coord_end
{
  char *job;
  unsigned step;
  unsigned index;
  unsigned run;
  uint64_t version;
  int64_t told_ms;
};

/* Connection state of one agent. */
struct coord_link
{
  struct hk_coord *c;
  struct hk_instance *in;
  struct hk_rpc_request *parked;
  int64_t received_ms;
  int64_t last_stop_ms;
  int64_t told_press_ms;
  struct hk_timer wait;
  GArray *ends;   /* of coord_end, from the last report */
  GArray *strays; /* of hk_run_id, runs reported that nobody wants */
};

/* Commits are sent one after another; each names the revision of the fence,
   so that an old one fails however late it arrives. */
struct coord_commit
{
  gboolean in_flight;
  gboolean prove; /* the next is sent even if nothing changed */
  uint64_t seq;
  int64_t fence_rev;
  int64_t sent_ms;
  int64_t confirmed_ms;
  int64_t failing_since_ms;
  unsigned failures;
  GPtrArray *jobs;
  GPtrArray *forgotten;
  struct hk_timer retry;
};

/* Who leads, as this process believes. */
struct coord_leader
{
  char *name;
  char *address;
  uint64_t term;
  int64_t lead_rev;
  int64_t believed_ms;
  struct hk_rpc_channel channel;
  gboolean connected;
  gboolean pinging;
  unsigned missed;
};

/* A coordinator before this one that may still give grants, for all that is
   known. None of its commits was confirmed after @since_ms, by this process's
   clock; 0 while it leads by the record. */
struct coord_past
{
  struct hk_coord *c;
  char *address;
  int64_t since_ms;
  gboolean named; /* by the record that is being read */
  struct hk_rpc_channel channel;
  gboolean asking;
  TAILQ_ENTRY (coord_past) link;
};

struct hk_coord
{
  struct hk_store *store;
  char *name;
  char *address;
  struct hk_authority authority;
  int64_t keep_ended_ms;
  unsigned strength;

  enum coord_state state;
  uint64_t term;
  uint64_t taking_term;
  gboolean resigned;
  gboolean started;
  gboolean ended; /* freed as soon as no call to the store is open */
  unsigned calls;
  gboolean reading_lead;
  struct coord_leader leader;
  struct hk_store_watch *watch;
  int64_t watch_from;
  int64_t store_heard_ms;
  int64_t store_heard_since_ms; /* without a break */
  gboolean lead_unread;         /* the last read of the lead record failed */
  int64_t suspect_rev;          /* of the record whose leader is suspected */
  int64_t taken_over_ms;
  int64_t pinged_ms;      /* a follower asked */
  int64_t leader_lost_ms; /* 0 while a leader answers */
  struct hk_timer watch_retry;
  struct hk_timer ping_timer;
  struct hk_timer take_timer;
  struct hk_timer tick_timer;
  struct hk_timer pass_timer;
  struct hk_timer past_timer;
  TAILQ_HEAD (coord_past_list, coord_past) past;
  int64_t past_ceased_ms; /* last time one of them answered to lead no more */
  gboolean pass_due;
  int64_t packed_ms; /* last time serving tasks were looked at */

  struct hk_engine engine;
  gboolean engine_ready;
  struct coord_commit commit;
  GHashTable *loading;
  struct hk_rpc_server server;
  GHashTable *estimates;
  GHashTable *mean_work;
  struct hk_pressure pressure;
  LIST_HEAD (, coord_question) questions;
};

/* coord_follow.c */
void coord_follow_start (struct hk_coord *c);
void coord_follow_stop (struct hk_coord *c);
void coord_ping_now (struct hk_coord *c);
void coord_store_heard (struct hk_coord *c);

/* coord_lead.c */
gboolean coord_lead_parse (struct hk_coord *c, const struct hk_store_kv *kv);
void coord_leader_disconnect (struct hk_coord *c);
void coord_suspect (struct hk_coord *c, const char *why);
void coord_step_down (struct hk_coord *c, const char *why);

/* coord_load.c */
void coord_load (struct hk_coord *c);

/* coord_past.c */
void coord_past_replace (struct hk_coord *c, const char *leader,
                         json_object *before);
void coord_past_unknown (struct hk_coord *c);
void coord_past_superseded (struct hk_coord *c, int64_t now);
int64_t coord_past_until (const struct hk_coord *c, int64_t now);
void coord_past_ask (struct hk_coord *c);
void coord_past_clear (struct hk_coord *c);
char *coord_past_text (const struct hk_coord *c);

/* coord_commit.c */
void coord_commit_init (struct hk_coord *c);
void coord_commit_finish (struct hk_coord *c);
void coord_commit_next (struct hk_coord *c);
gboolean coord_commit_proven (struct hk_coord *c, int64_t now);
void coord_commit_drop_new (struct hk_coord *c);
gboolean coord_store_failing (const struct hk_coord *c, int64_t now);

/* coord_sync.c */
void coord_on_sync (struct hk_rpc_request *req, void *args, void *user);
void coord_links_drop (struct hk_coord *c);
void coord_links_check (struct hk_coord *c, int64_t now);

/* coord_answer.c */
void coord_link_answer (struct coord_link *l, gboolean anyway);
void coord_link_park (struct coord_link *l);
void coord_links_answer (struct hk_coord *c);

/* coord_ask.c */
void coord_on_ask (struct hk_rpc_request *req, void *args, void *user);
void coord_answer_ask (struct hk_coord *c, const hk_ask_args *args,
                       hk_ask_done done, void *user);
void coord_waiters_fire (struct hk_engine_job *job);
void coord_waiters_drop (struct hk_engine_job *job);
void coord_waiters_refuse (struct hk_engine_job *job);
void coord_questions_retry (struct hk_coord *c);
void coord_questions_drop (struct hk_coord *c);

/* coord_schedule.c */
struct hk_slots_view;
void coord_schedule (struct hk_coord *c, int64_t now);
gboolean coord_place_copy (struct hk_coord *c, struct hk_engine_task *task,
                           int64_t now);
gboolean coord_better_place (struct hk_coord *c,
                             const struct hk_engine_task *task,
                             const struct hk_instance *than, int64_t now);

/* coord_share.c */
int64_t coord_fill_room (const struct hk_instance *in);
void coord_share_learn (struct hk_coord *c, struct hk_instance *in,
                        int64_t now);
void coord_share_tell (struct hk_coord *c, struct coord_link *l, GArray *rows,
                       int64_t now);
void coord_share_images (const struct hk_instance *in, const char *image,
                         unsigned *same, unsigned *others);
void coord_share_expect (struct hk_coord *c, const struct hk_instance *in,
                         const hk_step_spec *filler, double *pace,
                         double *burden);
void coord_share_move (struct hk_coord *c, int64_t now);

gboolean coord_fits (struct hk_coord *c, struct hk_slots_view *v,
                     struct hk_instance *in, const struct hk_engine_task *task,
                     int64_t now);

/* coord_drain.c */
void coord_drain (struct hk_coord *c, int64_t now);

/* coord_pack.c */
void coord_pack (struct hk_coord *c, int64_t now);

/* coord_straggle.c */
void coord_straggle (struct hk_coord *c, int64_t now);

/* coord_learn.c */
struct hk_order_view;
void coord_estimates_init (struct hk_coord *c);
void coord_order_view (struct hk_coord *c, const struct hk_engine_job *job,
                       int64_t now, struct hk_order_view *out);
void coord_learn (struct hk_coord *c, const struct hk_run *run, hk_end_how how,
                  int64_t now);
int64_t coord_estimate_ms (struct hk_coord *c,
                           const struct hk_engine_step *step);
double coord_fill_rate (const struct hk_coord *c);
gboolean coord_admit (struct hk_coord *c, const hk_job_spec *spec,
                      unsigned *retry_after_s, const char **reason);

/* coord.c */
gboolean coord_cut_off (const struct hk_coord *c, int64_t now);
gboolean coord_call_over (struct hk_coord *c);
void coord_kick (struct hk_coord *c);
int64_t coord_wall_ms (void);

#endif

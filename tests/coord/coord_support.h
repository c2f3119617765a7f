#ifndef COORD_SUPPORT_H
#define COORD_SUPPORT_H

#include "../support/jobs.h"
#include "../support/memory_store.h"
#include "hyssopkeel/coord.h"
#include "hyssopkeel/rpc_channel.h"

/** struct agent - an agent that is played by the test. */
struct agent
{
  struct hk_rpc_channel channel;
  const char *name;
  hk_run_report runs[8];
  unsigned n_runs;
  hk_run_end ends[8];
  unsigned n_ends;
  int answers;
  gboolean leading;
  uint64_t term;
  unsigned grant_ms;
  int starts;
  int stops;
  int noted;
  unsigned last_run;
};

/** struct asked - a question and its answer. */
struct asked
{
  int over;
  hk_ask_outcome outcome;
  unsigned state;
};

/** coord_start_with() - start a process that may lead; @where is its address
 * if not NULL. */
struct hk_coord *coord_start_with (struct hk_store *store,
                                   struct hk_coord_options options,
                                   const char *name, char **where);

/** coord_start() - the same with default options. */
struct hk_coord *coord_start (struct memory_store *s, const char *name,
                              char **where);

/** leads() - whether a coordinator leads, for test_spin(). */
gboolean leads (void *user);

/** is_over() - whether a question was answered, for test_spin(). */
gboolean is_over (void *user);

/** on_asked() - takes the answer to a question; @user is a struct asked. */
void on_asked (const hk_ask_reply *reply, void *user);

/** ask() - ask a coordinator; @a tells its answer. */
void ask (struct hk_coord *c, hk_ask_kind kind, const char *id,
          struct asked *a);

/** report() - one report, and its answer. */
void report (struct agent *a);

/** two_started() - report until two runs were ordered, for test_spin(). */
gboolean two_started (void *user);

/** agent_init() - an agent that reports to @where. */
void agent_init (struct agent *a, const char *name, const char *where);

/** agent_move() - report to another coordinator. */
void agent_move (struct agent *a, const char *where);

/** agent_finish() - release. */
void agent_finish (struct agent *a);

#endif

#ifndef COORD_LOCALITY_H
#define COORD_LOCALITY_H

#include "hyssopkeel/engine.h"
#include "hyssopkeel/job_placement.h"
#include "hyssopkeel/locality.h"

struct hk_coord;
struct coord_pass;

/* Instances with one label; a pass that takes them in turn begins with that at
   index @first, modulo their number. The slots are those of short tasks, and
   those of best-effort tasks, as computed in pass @slots_pass. */
struct coord_rack
{
  GPtrArray *instances; /* not owned */
  guint first;
  struct hk_locality_queue queue;
  struct hk_locality_slots slots[2];
  uint64_t slots_pass[2];
};

struct coord_locality
{
  GHashTable *racks; /* by label */
  gboolean stale;    /* labels have changed since @racks was filled */
  uint64_t pass;     /* number of the current pass */
  struct hk_locality_factor factor;
};

void coord_locality_init (struct coord_locality *l, double remote_factor);
void coord_locality_finish (struct coord_locality *l);
void coord_locality_clear (struct coord_locality *l);
void coord_locality_labels_changed (struct hk_coord *c);

/* The rack that holds the data of a step; NULL if it names none, or if no
   instance is known to be on it. */
struct coord_rack *coord_rack_of (struct hk_coord *c,
                                  const struct hk_engine_step *step);
gboolean coord_is_near (const struct hk_instance *in,
                        const struct hk_engine_step *step);
gboolean coord_run_is_remote (struct hk_coord *c, const struct hk_run *run);
/* Run time of a run over its run time near its data; 0 if unknown. */
double coord_run_slowdown (struct hk_coord *c, const struct hk_run *run);
/* Progress per time on @in over that of the run where it is. */
double coord_move_speedup (struct hk_coord *c, const struct hk_run *run,
                           const struct hk_instance *in);
void coord_view_locality (struct hk_job_place_view *v,
                          const struct hk_instance *in,
                          const struct hk_engine_step *step, int64_t now);
void coord_locality_learn (struct hk_coord *c, double factor);

/* Puts off a task for which no slot near its data is free, if it may wait for
   one. Returns FALSE if it is to be placed now. */
gboolean coord_locality_defer (struct coord_pass *p,
                               struct hk_engine_task *task);
/* What coord_locality_defer() and coord_locality_flush() would decide about a
   task of the step that was begun, without its effects. Tasks that wait for
   the same rack are not counted. Returns FALSE if the task has no data on a
   rack or a slot near it is free. */
gboolean coord_locality_explain (struct coord_pass *p,
                                 struct hk_engine_task *task,
                                 struct hk_locality_view *v,
                                 struct hk_locality_decision *d);
/* Decides about the tasks that were put off. */
void coord_locality_flush (struct coord_pass *p);
void coord_locality_placed (struct coord_pass *p,
                            const struct hk_engine_task *task,
                            const struct hk_instance *in);

/* coord_locality_slots.c */
struct hk_locality_slots *coord_rack_slots (struct coord_pass *p,
                                            struct coord_rack *rack,
                                            const struct hk_engine_step *step);

#endif

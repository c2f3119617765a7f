#ifndef SOAK_EVACUATE_H
#define SOAK_EVACUATE_H

#include <glib.h>

struct soak;
struct soak_node;
struct soak_worker;

/** Failure domains of a soak with evacuations. */
#define SOAK_DOMAINS 3

/**
 * struct soak_domain - one failure domain.
 * @evacuated_ms: when the operator evacuated it; 0 while it is not.
 * @restore_at_ms: when the operator restores it.
 * @restored_ms: when the operator restored it last.
 */
struct soak_domain
{
  int64_t evacuated_ms;
  int64_t restore_at_ms;
  int64_t restored_ms;
};

/**
 * struct soak_evacuations - what the operator evacuates, and what starts
 * there.
 * @enabled: the soak has evacuations.
 * @active: further evacuations begin.
 * @next_ms: when the next one begins.
 * @turn_ms: last time at which this process looked for what is due.
 * @stalled_ms: last time at which it had been held up.
 * @count: evacuations so far.
 * @starts: starts in an evacuated domain that are not excused.
 * @longest_ms: longest time of one of @starts after the evacuation began.
 */
struct soak_evacuations
{
  gboolean enabled;
  gboolean active;
  GRand *rand;
  struct soak_domain domains[SOAK_DOMAINS];
  int64_t next_ms;
  int64_t turn_ms;
  int64_t stalled_ms;
  unsigned count;
  unsigned starts;
  int64_t longest_ms;
};

/** soak_evacuations_init() - start without evacuations. */
void soak_evacuations_init (struct soak *s);

/** soak_domain_name() - failure domain of a process, by its number; "d" for
 * all without evacuations. */
const char *soak_domain_name (const struct soak *s, unsigned i);

/** soak_evacuations_run_due() - evacuate and restore what is due. */
void soak_evacuations_run_due (struct soak *s);

/** soak_evacuations_end() - restore all domains. */
void soak_evacuations_end (struct soak *s);

/** soak_node_evacuated() - whether a machine is of an evacuated domain, or of
 * one that was restored moments ago. */
gboolean soak_node_evacuated (const struct soak *s, const struct soak_node *n,
                              int64_t now);

/** soak_evacuations_check() - check a start at a worker. */
void soak_evacuations_check (struct soak_worker *w, const char *task,
                             gboolean late, void *user);

/** soak_evacuations_finish() - release all memory held. */
void soak_evacuations_finish (struct soak *s);

#endif

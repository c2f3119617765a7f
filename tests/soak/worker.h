#ifndef SOAK_WORKER_H
#define SOAK_WORKER_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/** Tasks of the first step of each job; a second step of one follows. */
#define SOAK_FIRST_TASKS 3

/**
 * struct soak_world - what all workers together have seen.
 * @running: tasks alive anywhere, by name, with their worker.
 * @finished: tasks with a run that ended well, by name.
 * @done: those of them whose end was taken note of.
 * @cancelled: jobs whose cancel was acknowledged long enough ago, by id.
 * @refused: jobs whose every try was refused, by id.
 * @starts: runs that began.
 * @violations: broken promises; each was printed.
 */
struct soak_world
{
  GHashTable *running;
  GHashTable *finished;
  GHashTable *done;
  GHashTable *cancelled;
  GHashTable *refused;
  unsigned starts;
  unsigned violations;
};

/** soak_world_init() - nothing seen. */
void soak_world_init (struct soak_world *w);

/** soak_world_finish() - release. */
void soak_world_finish (struct soak_world *w);

/** soak_broken() - count and print a broken promise. */
void soak_broken (struct soak_world *w, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/**
 * struct soak_worker - a worker as the platform's published protocol tells.
 * @address: "ip:port" it listens on.
 * @reports: address that it reports to.
 * @mute: so many orders are carried out without an answer.
 * @work_ms: time that a task takes, unless the job lasts.
 */
struct soak_worker
{
  char *name;
  char *address;
  char *reports;
  int mute;
  int64_t work_ms;
  struct soak_world *world;
  SoupServer *server;
  SoupSession *session;
  GPtrArray *runs;
  int64_t born_ms;
  int64_t lease_ms;
  int64_t fence;
  int64_t seen;
  int64_t next_end;
  int64_t sequence;
  guint timer;
};

/** soak_worker_start() - a worker that runs nothing. */
void soak_worker_start (struct soak_worker *w, const char *name,
                        const char *reports, struct soak_world *world);

/** soak_worker_crash() - end all runs and begin a new lifetime. */
void soak_worker_crash (struct soak_worker *w);

/** soak_worker_stop() - release. */
void soak_worker_stop (struct soak_worker *w);

#endif

/* A small deployment for the cases of the review: the programs of the deploy
   file as separate processes, and stand-ins of the platform's store, of the
   workers and of the clients in the process of the case. */
#ifndef STANDIN_H
#define STANDIN_H

#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdint.h>
#include <stdio.h>

#define ENTRIES_MAX 5
#define AGENTS_MAX 16

/* One process of hyssopkeel-node on a machine with a loopback address of its
   own. */
struct node
{
  char name[64];
  char ip[48];
  char zone[32];
  gboolean is_entry;
  char settings[256];
  GPid pid;
  int ended_by_itself; /* exits that this program did not cause */
  int exit_status;     /* of the last of these */
};

/* A run that a worker accepted. */
struct run
{
  char *task;
  char *spec;
  char *checkpoint;
  int64_t number;
  int64_t started_ms;
  int64_t due_ms; /* end of its work */
  int64_t ended_ms;
  int64_t seq; /* number of its end; 0 while it runs */
  const char *how;
  gboolean rejected; /* stopped before it was there */
};

struct worker
{
  char id[64];
  char name[32];
  char ip[48];
  int lives;
  gboolean up;
  gboolean draining;
  int64_t born_ms;        /* time of day of its machine */
  int64_t time_of_day_ms; /* by which that machine's time of day is off */
  int64_t clock_zero_ms;
  int64_t lease_until_ms; /* on its own clock */
  int64_t fence;
  int64_t acked;
  int64_t last_end;
  int64_t sequence;
  int64_t beat_due_ms;
  int cpu_milli;
  int memory_mb;
  int rack;        /* its label is r1-RACK */
  GPtrArray *runs; /* struct run, of this life */
  GPtrArray *waiting;
  SoupServer *server;
  /* Behaviour that a case may set. */
  int checkpoint_bytes; /* length of the checkpoints it makes; 0: none */
  int late_start_ms;    /* leaves the next start unanswered and carries it out
                           that much later; 0: no */
};

struct store_item
{
  char *key;
  char *value; /* base64; NULL: deleted */
  int64_t revision;
};

struct store
{
  char address[64];
  SoupServer *server;
  GTree *items;
  GPtrArray *log;
  GList *watches;
  int64_t revision;
  gboolean down; /* answers 503 */
};

struct deployment
{
  char dir[128];
  char net[24]; /* first three bytes of all addresses */
  struct store store;
  struct node nodes[ENTRIES_MAX + AGENTS_MAX];
  struct worker workers[AGENTS_MAX];
  int n_entries;
  int n_agents;
  SoupSession *session;
  GPtrArray *all_runs; /* struct run, borrowed; of all lives */
  int64_t zero_ms;
  FILE *record;
  /* Called after a worker has accepted a start. */
  void (*on_start) (struct worker *w, struct run *run);
};

extern struct deployment D;

int64_t now_ms (void);
void record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Exits with 2 if the case cannot run. */
void cannot_run (const char *format, ...) G_GNUC_PRINTF (1, 2);
gboolean trouble (void); /* FALSE with TROUBLE=0 */

void deployment_start (int entries, int agents, int cpu_milli);
void deployment_stop (void);
/* Number of the entry that the store's record names as leader. */
int leader_number (void);
void run_for (int64_t ms);
void node_start (struct node *n);
void node_signal (struct node *n, int sig);
void node_kill (struct node *n);

void worker_crash (struct worker *w);
void worker_come_up (struct worker *w, gboolean same_id);
struct worker *worker_of_task (const char *task); /* that runs it now */

/* One call of a client; runs the main loop meanwhile. Returns the status, 0 if
   there was no whole answer. */
int call (struct node *entry, const char *method, const char *path,
          const char *body, int timeout_ms, json_object **reply);
/* Calls until 2xx, at any entry, as a client that retries. Returns the last
   status. */
int submit (const char *id, const char *body, int patience_ms);
/* State of a submission, asked at all entries until one answers; "gone" after
   410, "" without an answer. */
const char *state_of (const char *id);
json_object *body_of (const char *spec, json_object *steps);

#endif

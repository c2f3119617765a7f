#ifndef CLUSTER_H
#define CLUSTER_H

#include <gio/gio.h>

#include "hyssopkeel/json.h"
#include "relay.h"

#define CLUSTER_MAX 12

/**
 * struct process - one process of the scenario.
 * @name: name in scripts: "store", "e1" (entry), "w1" (worker stand-in), "a1"
 *        (agent).
 * @argv: command line, kept for restarts.
 * @child: running process, or NULL.
 * @pid: process id of @child.
 * @frozen: whether it is stopped by SIGSTOP.
 */
struct process
{
  char *name;
  char **argv;
  GSubprocess *child;
  int pid;
  gboolean frozen;
};

/**
 * struct cluster - all processes and links of a scenario.
 * @dir: scratch folder with settings, logs and the records of the workers.
 * @ip: loopback address used by this scenario only.
 * @processes: struct process, in the order of their start.
 * @relays: struct relay.
 */
struct cluster
{
  char *dir;
  char *ip;
  int n_entries;
  int n_workers;
  GPtrArray *processes;
  GPtrArray *relays;
};

/**
 * struct cluster_options - size and settings of a cluster.
 * @entries: number of entries.
 * @workers: number of workers, each with an agent.
 * @slots: slots of each worker.
 * @cpu_milli: CPU of each worker, 1/1000 core.
 * @memory_mb: memory of each worker, MB.
 * @session_s: time to live of an agent's session in the store, seconds.
 * @lease_ms: lease that an agent gives its worker.
 * @checkpoint_ms: time between checkpoints.
 * @stop_limit_ms: time that entries and agents have for a graceful stop.
 */
struct cluster_options
{
  int entries;
  int workers;
  int slots;
  int cpu_milli;
  int memory_mb;
  int session_s;
  int lease_ms;
  int checkpoint_ms;
  int stop_limit_ms;
};

/**
 * cluster_start() - start a store, entries, workers and agents.
 * @c: zeroed memory owned by the caller.
 * @o: size and settings.
 */
void cluster_start (struct cluster *c, const struct cluster_options *o);

/**
 * cluster_finish() - kill all processes, close all links and remove
 * the directory.
 * @c: cluster.
 *
 * The directory is kept if HK_KEEP is set.
 */
void cluster_finish (struct cluster *c);

/**
 * cluster_process() - find a process by name.
 * @c: cluster.
 * @name: name in scripts.
 *
 * Return: process; the test fails if there is none.
 */
struct process *cluster_process (struct cluster *c, const char *name);

/**
 * cluster_relay() - find a link by name.
 * @c: cluster.
 * @name: name in scripts.
 *
 * Return: link; the test fails if there is none.
 */
struct relay *cluster_relay (struct cluster *c, const char *name);

/**
 * cluster_start_second_agent() - start a second agent for one worker.
 * @c: cluster.
 * @name: first agent, such as "a1"; the second is named "b1".
 */
void cluster_start_second_agent (struct cluster *c, const char *name);

/**
 * process_start() - start a process that is not running.
 * @c: cluster.
 * @p: process.
 */
void process_start (struct cluster *c, struct process *p);

/**
 * process_stop() - send SIGTERM and wait for the exit.
 * @p: process; the test fails unless it exits with 0.
 */
void process_stop (struct process *p);

/**
 * process_kill() - send SIGKILL and wait for the exit.
 * @c: cluster.
 * @p: process.
 */
void process_kill (struct cluster *c, struct process *p);

/**
 * process_signal() - send a signal without waiting.
 * @p: process.
 * @signal: signal number.
 */
void process_signal (struct process *p, int signal);

/**
 * cluster_http() - send an HTTP request and wait for the response.
 * @method: HTTP method.
 * @url: URL.
 * @body: body, or NULL.
 * @status: filled with the status, 0 without a response.
 *
 * Return: newly allocated body of the response, "" without one.
 */
char *cluster_http (const char *method, const char *url, const char *body,
                    guint *status);

/**
 * cluster_url() - URL of a path at an entry, a worker or the store.
 * @c: cluster.
 * @name: process.
 * @path: path, or "".
 *
 * Return: newly allocated URL.
 */
char *cluster_url (struct cluster *c, const char *name, const char *path);

/**
 * cluster_cli() - run the operators' command line.
 * @c: cluster.
 * @argv: arguments after the program name, NULL-terminated.
 * @output: filled with its newly allocated output, or NULL to discard it.
 *
 * Return: its exit code, -1 if a signal ended it.
 */
int cluster_cli (struct cluster *c, const char *const *argv, char **output);

/**
 * cluster_spin() - run one iteration of the main loop, 10 ms at most.
 */
void cluster_spin (void);

#endif

#ifndef HYSSOPKEEL_TABLES_H
#define HYSSOPKEEL_TABLES_H

#include "hyssopkeel/json.h"

enum hk_route_kind
{
  HK_ROUTE_INTERACTIVE, /* requests with a direct response */
  HK_ROUTE_BATCH,       /* jobs that run to completion */
  HK_ROUTE_SERVICE      /* jobs that run until cancelled */
};

/**
 * struct hk_route - row of the routes table: a class of requests or jobs.
 * @name: key of the row.
 * @pool: name of the pool that runs it.
 * @kind_name: "interactive", "batch" or "service", as in the row.
 * @kind: the same as an enumerator.
 * @urgency: 0 (lowest) to 9 (highest).
 * @share: guaranteed minimum, per cent of the slots of each instance of the
 *         pool.
 * @deadline_ms: deadline when the client gives none, milliseconds.
 * @idempotent: TRUE if a request may safely run more than once.
 * @hedge: TRUE if a slow request is also sent to a second instance; requires
 *         @idempotent.
 * @cpu_milli: CPUs reserved per request or job, thousandths.
 * @memory_mb: memory reserved per request or job, megabytes.
 * @accelerators: accelerators reserved per request or job.
 * @queue: maximum number of requests queued at one instance.
 */
struct hk_route
{
  char *name;
  char *pool;
  char *kind_name;
  enum hk_route_kind kind;
  int64_t urgency;
  int64_t share;
  int64_t deadline_ms;
  gboolean idempotent;
  gboolean hedge;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t queue;
};

/**
 * struct hk_pool - row of the pools table: a group of instances.
 * @name: key of the row.
 * @description: free text for operators, may be NULL.
 * @retry_percent: retry budget, per cent of first attempts.
 * @set_aside_failures: consecutive failures after which an instance is set
 *                      aside.
 * @evict: TRUE if batch work above its guaranteed share may be evicted for
 *         more urgent work.
 * @slowdown_percent: service time of interactive work, per cent of its
 *                    undisturbed service time, above which batch work is
 *                    throttled.
 * @quotas: "team=jobs" limits on concurrently running jobs, may be NULL.
 */
struct hk_pool
{
  char *name;
  char *description;
  int64_t retry_percent;
  int64_t set_aside_failures;
  gboolean evict;
  int64_t slowdown_percent;
  char **quotas;
};

/**
 * struct hk_tables - both tables at one revision.
 * @revision: incremented by each accepted change; 0 before the first one.
 * @write_id: identifier of the write that made this revision.
 * @routes: maps names to struct hk_route.
 * @pools: maps names to struct hk_pool.
 * @source: JSON that the tables were read from.
 */
struct hk_tables
{
  int64_t revision;
  char *write_id;
  GHashTable *routes;
  GHashTable *pools;
  json_object *source;
};

/**
 * hk_tables_init() - initialize empty tables at revision 0.
 * @t: uninitialized tables, owned by the caller.
 */
void hk_tables_init (struct hk_tables *t);

/**
 * hk_tables_finish() - release all members.
 * @t: tables; left at revision 0 without members.
 */
void hk_tables_finish (struct hk_tables *t);

/**
 * hk_tables_check_keys() - check the top level of edited or stored tables.
 * @obj: value to check.
 * @name: file or key named in errors.
 * @err: filled on failure.
 *
 * Return: 0, or HK_ERR_INVALID if @obj is not an object, has keys other than
 * revision, write_id, routes and pools, or one of its tables is not an object.
 */
int hk_tables_check_keys (json_object *obj, const char *name,
                          struct hk_error *err);

/**
 * hk_tables_read() - validate and read both tables.
 * @t: initialized tables, replaced on success only.
 * @obj: object with "routes", "pools" and optionally "revision", "write_id".
 * @name: file or key named in errors.
 * @err: filled on failure.
 *
 * Return: 0 or HK_ERR_INVALID.
 */
int hk_tables_read (struct hk_tables *t, json_object *obj, const char *name,
                    struct hk_error *err);

/**
 * hk_tables_parse() - parse text and pass it to hk_tables_read().
 * @t: initialized tables, replaced on success only.
 * @text: JSON with comments.
 * @len: its length in bytes.
 * @name: file or key named in errors.
 * @err: filled on failure.
 *
 * Return: 0 or HK_ERR_INVALID.
 */
int hk_tables_parse (struct hk_tables *t, const char *text, size_t len,
                     const char *name, struct hk_error *err);

/**
 * hk_tables_route() - look up a route.
 * @t: tables.
 * @name: name of the route.
 *
 * Return: row owned by @t, or NULL.
 */
const struct hk_route *hk_tables_route (const struct hk_tables *t,
                                        const char *name);

/**
 * hk_tables_pool() - look up a pool.
 * @t: tables.
 * @name: name of the pool.
 *
 * Return: row owned by @t, or NULL.
 */
const struct hk_pool *hk_tables_pool (const struct hk_tables *t,
                                      const char *name);

/**
 * hk_pool_quota() - look up the limit on a team's concurrently running jobs.
 * @pool: pool.
 * @team: name of the team, may be NULL.
 *
 * Return: the quota, or -1 if the team has none.
 */
int64_t hk_pool_quota (const struct hk_pool *pool, const char *team);

#endif

#ifndef HYSSOPKEEL_ENTRY_INTERNAL_H
#define HYSSOPKEEL_ENTRY_INTERNAL_H

#include <libsoup/soup.h>

#include "hyssopkeel/recent_ids.h"
#include "hyssopkeel/entry.h"
#include "hyssopkeel/health.h"
#include "hyssopkeel/hk_rpc_xdr.h"
#include "hyssopkeel/job.h"
#include "hyssopkeel/metrics.h"
#include "hyssopkeel/mirror.h"
#include "hyssopkeel/placement.h"
#include "hyssopkeel/retry.h"
#include "hyssopkeel/rpc_channel.h"
#include "hyssopkeel/rpc_server.h"
#include "hyssopkeel/snapshot.h"
#include "hyssopkeel/store_etcd.h"
#include "hyssopkeel/tables.h"
#include "hyssopkeel/task.h"

struct hk_entry;

/**
 * struct hk_member - one incarnation of an agent, as known to this entry.
 * @name: name of the agent's instance.
 * @incarnation: id of the agent's process.
 * @incarnation_hash: hash of @incarnation; a load report with another hash
 *                    comes from a restarted agent at the same address.
 * @boot: boot id of the agent's worker.
 * @session: id of the agent's session in the store, or "".
 * @pool: pool that the instance belongs to.
 * @domain: failure domain.
 * @address: RPC address.
 * @candidate: the placement policy's view of the member.
 * @load: latest load report.
 * @sent_since_report: requests sent after that report.
 * @health: failures observed by this entry.
 * @expiry_timer: probes the agent when its announcements stop.
 * @expiry_ms: time without an announcement until that probe, milliseconds.
 * @push_timer: delayed push of tables to the agent.
 * @tables_call_in_flight: whether a push or a fetch of tables is in flight.
 * @removed: whether the member has left the membership.
 * @refs: reference count: one of the membership and one per call in flight.
 */
struct hk_member
{
  struct hk_entry *entry;
  char *name;
  char *incarnation;
  uint64_t incarnation_hash;
  char *boot;
  char *session;
  char *pool;
  char *domain;
  char *address;
  struct hk_rpc_channel channel;
  struct hk_candidate candidate;
  hk_rpc_load load;
  int64_t sent_since_report;
  struct hk_health health;
  struct hk_timer expiry_timer;
  int64_t expiry_ms;
  struct hk_timer push_timer;
  gboolean tables_call_in_flight;
  gboolean removed;
  int refs;
};

/**
 * struct hk_members - membership, built from the agents' announcements.
 * @by_incarnation: maps an incarnation to its struct hk_member.
 * @pools: maps a pool to a GPtrArray of struct hk_candidate pointers.
 * @next_id: candidate id of the next member.
 */
struct hk_members
{
  struct hk_task task;
  struct hk_entry *entry;
  GHashTable *by_incarnation;
  GHashTable *pools;
  guint next_id;
};

/**
 * struct hk_entry_store_mirror - mirrors the watched part of the store.
 * @mirror: local copy, kept up to date by one watch.
 */
struct hk_entry_store_mirror
{
  struct hk_task task;
  struct hk_entry *entry;
  struct hk_mirror mirror;
};

/**
 * struct hk_peers - polls other entries for newer tables.
 * @channels: one channel per peer, @n_channels of them.
 * @current: index of the peer polled last.
 */
struct hk_peers
{
  struct hk_task task;
  struct hk_entry *entry;
  struct hk_rpc_channel *channels;
  size_t n_channels;
  size_t current;
  struct hk_timer poll_timer;
};

/**
 * struct hk_claims - claims on the idempotency keys of requests.
 * @pending: claims to write in the next batch.
 * @txn_in_flight: whether a batch is in flight.
 * @stored: claims in the store, oldest first, to be deleted when too old.
 */
struct hk_claims
{
  struct hk_task task;
  struct hk_entry *entry;
  GPtrArray *pending;
  gboolean txn_in_flight;
  GQueue *stored;
  struct hk_timer sweep_timer;
};

/**
 * struct hk_sched - job scheduler of an entry, with an index of all jobs.
 * @jobs: maps a job id to its struct hk_sched_job.
 * @queues: maps a route to the struct hk_sched_queue of its queued jobs.
 * @by_boot: maps a worker's boot id to the set of jobs running there.
 * @parked: set of parked jobs.
 * @running_by_team: maps "pool/team" to its number of running jobs.
 * @session_lease_ms: maps a session id to the duration of its agent's worker
 *                    lease, milliseconds.
 * @expired_sessions: expired sessions whose jobs are not yet requeued.
 * @synced: whether the initial copy of the store is complete.
 * @synced_ms: when it was first complete, on hk_clock_ms().
 * @offers_in_flight: offers without a reply.
 * @pass_timer: next pass over the queues.
 * @sweep_timer: next deletion of records of jobs that ended long ago.
 */
struct hk_sched
{
  struct hk_task task;
  struct hk_entry *entry;
  GHashTable *jobs;
  GHashTable *queues;
  GHashTable *by_boot;
  GHashTable *parked;
  GHashTable *running_by_team;
  GHashTable *session_lease_ms;
  GHashTable *expired_sessions;
  GQueue *ended;
  gboolean synced;
  int64_t synced_ms;
  int offers_in_flight;
  struct hk_timer pass_timer;
  struct hk_timer sweep_timer;
};

/**
 * struct hk_entry_http - HTTP server for clients.
 * @open_requests: requests without a response.
 * @listener_closed: whether new connections are refused.
 * @drain_timer: delay before the next stage of a drain.
 */
struct hk_entry_http
{
  struct hk_task task;
  struct hk_entry *entry;
  SoupServer *server;
  int64_t open_requests;
  gboolean listener_closed;
  struct hk_timer drain_timer;
};

/**
 * struct hk_entry_rpc - RPC server for agents and other entries.
 */
struct hk_entry_rpc
{
  struct hk_task task;
  struct hk_entry *entry;
  struct hk_rpc_server server;
};

/**
 * struct hk_route_stats - statistics of one route on this entry.
 * @budget: retry budget.
 * @service_us: smoothed response time, microseconds; 0 before the first.
 * @deviation_us: smoothed absolute deviation from @service_us, microseconds.
 * @outcomes: request counters, indexed by HK_OUTCOME_DONE,
 *            HK_OUTCOME_NOT_RUN and HK_OUTCOME_UNKNOWN.
 */
struct hk_route_stats
{
  struct hk_retry_budget budget;
  double service_us;
  double deviation_us;
  struct hk_metric *outcomes[3];
  struct hk_metric *retries;
  struct hk_metric *hedges;
  struct hk_histogram *latency;
};

/**
 * struct hk_entry - front end that takes requests and jobs from clients.
 * @incarnation: id of this process; part of each request id.
 * @address: RPC address that agents and peers use.
 * @control: supervises membership, scheduler and sources of tables.
 * @serving: supervises claims and the RPC and HTTP servers.
 * @tables: latest tables known; never replaced by an older revision.
 * @route_stats: maps a route to its struct hk_route_stats.
 * @place: placement policy.
 * @random: random number generator of the placement policy.
 * @next_request_seq: sequence number of the next request.
 * @jobs_in_doubt: jobs submitted here that may be stored, by id.
 *
 * Entries are interchangeable: a client may use any of them.
 */
struct hk_entry
{
  const struct hk_settings *settings;
  char *incarnation;
  const char *address;
  struct hk_supervisor root;
  struct hk_supervisor control;
  struct hk_supervisor serving;
  struct hk_store_etcd store;
  struct hk_tables tables;
  GHashTable *route_stats;
  hk_place_fn place;
  GRand *random;
  uint64_t next_request_seq;
  gboolean draining;
  struct hk_recent_ids jobs_in_doubt;
  struct hk_entry_store_mirror store_mirror;
  struct hk_peers peers;
  struct hk_members members;
  struct hk_sched sched;
  struct hk_claims claims;
  struct hk_entry_rpc rpc;
  struct hk_entry_http http;
};

/* entry.c */

/**
 * hk_entry_set_tables() - install tables if they are newer.
 * @entry: entry.
 * @text: JSON text of the tables.
 * @len: length of @text in bytes.
 * @from: source of the tables, for the log.
 *
 * Tables that don't parse are logged and ignored.
 */
void hk_entry_set_tables (struct hk_entry *entry, const char *text, gsize len,
                          const char *from);

/**
 * hk_entry_rank() - rank of this entry for a key, by rendezvous hashing.
 * @entry: entry.
 * @key: id of the job, session or instance that any entry may act on.
 *
 * Entries of a higher rank act later, so that duplicate work is rare. No
 * guarantee depends on the rank.
 *
 * Return: 0 if this entry comes first among its peers, 1 if it comes second,
 * and so on.
 */
int hk_entry_rank (const struct hk_entry *entry, const char *key);

/**
 * hk_entry_route_stats() - statistics of a route.
 * @entry: entry.
 * @route: name of the route.
 *
 * Return: statistics, owned by the entry; created on first use.
 */
struct hk_route_stats *hk_entry_route_stats (struct hk_entry *entry,
                                             const char *route);

/* entry_store_mirror.c */

/**
 * hk_entry_store_mirror_init() - initialize the store mirror task.
 * @m: task, in memory of the caller.
 * @entry: entry.
 */
void hk_entry_store_mirror_init (struct hk_entry_store_mirror *m,
                                 struct hk_entry *entry);

/* peers.c */

/**
 * hk_peers_init() - initialize the peers task.
 * @p: task, in memory of the caller.
 * @entry: entry.
 */
void hk_peers_init (struct hk_peers *p, struct hk_entry *entry);

/* members.c */

/**
 * hk_members_init() - initialize the membership.
 * @m: membership, in memory of the caller.
 * @entry: entry.
 */
void hk_members_init (struct hk_members *m, struct hk_entry *entry);

/**
 * hk_members_announce() - add or update the member that announces itself.
 * @m: membership.
 * @args: announcement.
 *
 * Return: milliseconds after which the agent should announce itself again.
 */
guint hk_members_announce (struct hk_members *m,
                           const hk_rpc_announce_args *args);

/**
 * hk_members_pool() - candidates of a pool.
 * @m: membership.
 * @pool: name of the pool.
 *
 * Return: array of struct hk_candidate pointers, owned by the membership, or
 * NULL if no agent of this pool was ever seen.
 */
GPtrArray *hk_members_pool (struct hk_members *m, const char *pool);

/**
 * hk_members_tables_changed() - push new tables to the agents.
 * @m: membership.
 */
void hk_members_tables_changed (struct hk_members *m);

/**
 * hk_member_from_candidate() - member that embeds a candidate.
 * @candidate: candidate.
 *
 * Return: member; no reference is taken.
 */
struct hk_member *
hk_member_from_candidate (const struct hk_candidate *candidate);

/**
 * hk_member_ref() - take a reference, for example for a call in flight.
 * @m: member.
 *
 * Return: @m.
 */
struct hk_member *hk_member_ref (struct hk_member *m);

/**
 * hk_member_unref() - drop a reference.
 * @m: member; freed with the last reference.
 */
void hk_member_unref (struct hk_member *m);

/**
 * hk_member_load_update() - apply a load report from an RPC reply.
 * @m: member.
 * @load: report.
 *
 * A report of another incarnation removes the member.
 */
void hk_member_load_update (struct hk_member *m, const hk_rpc_load *load);

/**
 * hk_member_record_failure() - count a failed request, job or call.
 * @m: member.
 * @limit: consecutive failures after which placement avoids the member.
 */
void hk_member_record_failure (struct hk_member *m, int64_t limit);

/**
 * hk_member_record_success() - reset the failure count.
 * @m: member.
 */
void hk_member_record_success (struct hk_member *m);

/**
 * hk_members_find_by_session() - find the member with a session.
 * @m: membership.
 * @session: session id, or NULL.
 *
 * Return: member, or NULL.
 */
struct hk_member *hk_members_find_by_session (struct hk_members *m,
                                              const char *session);

/* job_sched.c */

/**
 * hk_sched_init() - initialize the job scheduler.
 * @sched: scheduler, in memory of the caller.
 * @entry: entry.
 */
void hk_sched_init (struct hk_sched *sched, struct hk_entry *entry);

/**
 * hk_sched_job_changed() - apply a change of a job record in the store.
 * @sched: scheduler.
 * @id: job id.
 * @value: record, or NULL if it was deleted.
 * @len: length of @value in bytes.
 * @mod_revision: revision of the change.
 */
void hk_sched_job_changed (struct hk_sched *sched, const char *id,
                           const char *value, size_t len,
                           int64_t mod_revision);

/**
 * hk_sched_session_changed() - apply a change of a session in the store.
 * @sched: scheduler.
 * @id: session id.
 * @value: session record, or NULL if it expired or was revoked.
 * @len: length of @value in bytes.
 */
void hk_sched_session_changed (struct hk_sched *sched, const char *id,
                               const char *value, size_t len);

/**
 * hk_sched_synced() - the initial copy of all jobs and sessions is complete.
 * @sched: scheduler.
 */
void hk_sched_synced (struct hk_sched *sched);

/**
 * hk_sched_capacity_changed() - a member joined or has free capacity.
 * @sched: scheduler.
 * @m: member.
 */
void hk_sched_capacity_changed (struct hk_sched *sched, struct hk_member *m);

/**
 * hk_sched_job_find() - find the record of a job.
 * @sched: scheduler.
 * @id: job id.
 *
 * Return: record owned by the scheduler, or NULL.
 */
const struct hk_job *hk_sched_job_find (const struct hk_sched *sched,
                                        const char *id);

/**
 * hk_sched_job_list() - list all job records.
 * @sched: scheduler.
 *
 * Return: list of const struct hk_job pointers; the caller frees the list but
 * not the records.
 */
GList *hk_sched_job_list (const struct hk_sched *sched);

/* claims.c */

/**
 * hk_claim_done - completion callback of hk_claims_acquire().
 * @rc: 0 if the key is claimed for the caller's attempt; HK_ERR_CONFLICT if
 *      another attempt holds it; another code if the store did not reply.
 * @holder: on success the caller's claim, with mod_revision set; on conflict
 *          the claim found, or NULL if it does not parse; otherwise NULL.
 * @user: argument given with the claim.
 */
struct hk_claim;
typedef void (*hk_claim_done) (int rc, const struct hk_claim *holder,
                               void *user);

/**
 * struct hk_claim - the one attempt that may run the request of a key.
 * @attempt: request id at the agent.
 * @incarnation: incarnation of the agent that was chosen.
 * @instance: name of its instance.
 * @at_ms: wall-clock time of the claim, milliseconds since 1970.
 * @write_id: unique id of the write, which tells a repeat from a conflict.
 * @mod_revision: revision of the claim; not part of the stored value.
 */
struct hk_claim
{
  char *attempt;
  char *incarnation;
  char *instance;
  int64_t at_ms;
  char *write_id;
  int64_t mod_revision;
};

/**
 * hk_claims_init() - initialize the claims task.
 * @c: task, in memory of the caller.
 * @entry: entry.
 */
void hk_claims_init (struct hk_claims *c, struct hk_entry *entry);

/**
 * hk_claims_acquire() - claim a key for an attempt.
 * @c: claims.
 * @name: "ROUTE/TEAM/KEY", escaped.
 * @claim: attempt to claim the key for; copied.
 * @mod_revision: revision of the claim to replace, or 0 if there is none.
 * @done: completion callback.
 * @user: argument of @done.
 */
void hk_claims_acquire (struct hk_claims *c, const char *name,
                        const struct hk_claim *claim, int64_t mod_revision,
                        hk_claim_done done, void *user);

/* entry_rpc.c */

/**
 * hk_entry_rpc_init() - initialize the RPC server task.
 * @r: task, in memory of the caller.
 * @entry: entry.
 */
void hk_entry_rpc_init (struct hk_entry_rpc *r, struct hk_entry *entry);

/* http.c */

/**
 * hk_entry_http_init() - initialize the HTTP server task.
 * @h: task, in memory of the caller.
 * @entry: entry.
 */
void hk_entry_http_init (struct hk_entry_http *h, struct hk_entry *entry);

/**
 * hk_entry_http_request_begin() - count a request whose response comes later.
 * @h: HTTP task.
 */
void hk_entry_http_request_begin (struct hk_entry_http *h);

/**
 * hk_entry_http_request_end() - count the response to such a request.
 * @h: HTTP task.
 *
 * A drain completes after the last one.
 */
void hk_entry_http_request_end (struct hk_entry_http *h);

#endif

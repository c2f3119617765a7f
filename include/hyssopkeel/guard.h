#ifndef HYSSOPKEEL_GUARD_H
#define HYSSOPKEEL_GUARD_H

#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

#include "hyssopkeel/conn_limits.h"

/**
 * enum hk_guard_cause - why a connection is closed or its request rejected.
 */
enum hk_guard_cause
{
  HK_GUARD_HEADER_SIZE,
  HK_GUARD_EMPTY_LINES,
  HK_GUARD_HEADER_TIMEOUT,
  HK_GUARD_BODY_TIMEOUT,
  HK_GUARD_IDLE_TIMEOUT,
  HK_GUARD_RESPONSE_TIMEOUT,
  HK_GUARD_MEMORY,
  HK_GUARD_DESCRIPTORS,
  HK_GUARD_ACCEPT_FAILED,
  HK_GUARD_N_CAUSES
};

/**
 * enum hk_guard_phase - what a connection is doing.
 * @HK_GUARD_IDLE: no request has begun.
 * @HK_GUARD_HEADER: a request header is being received.
 * @HK_GUARD_BODY: a request body, or an RPC record, is being received.
 * @HK_GUARD_BUSY: the request is complete, and its response has not been
 *                 written to the end.
 * @HK_GUARD_LINGER: rejected; closed once the client has read why.
 */
enum hk_guard_phase
{
  HK_GUARD_IDLE,
  HK_GUARD_HEADER,
  HK_GUARD_BODY,
  HK_GUARD_BUSY,
  HK_GUARD_LINGER,
  HK_GUARD_N_PHASES
};

/**
 * struct hk_guard_limits - limits of the connections of one listener.
 * @header_bytes: size of a request header.
 * @empty_bytes: empty lines before a request.
 * @body_bytes: size of a body.
 * @header_ms: time for receiving a request header.
 * @body_ms: time for receiving a body or RPC record.
 * @idle_ms: time without a request; 0 for no limit.
 *
 * Times count only while the process runs.
 */
struct hk_guard_limits
{
  int64_t header_bytes;
  int64_t empty_bytes;
  int64_t body_bytes;
  int64_t header_ms;
  int64_t body_ms;
  int64_t idle_ms;
};

/** Defaults, which no client within the documented limits reaches. libsoup
 * accepts no longer header. */
#define HK_GUARD_LIMITS_INIT                                                  \
  {                                                                           \
    .header_bytes = 65535, .empty_bytes = 1024, .body_bytes = 1 << 20,        \
    .header_ms = 10000, .body_ms = 30000, .idle_ms = 0                        \
  }

struct hk_guard_conn;
TAILQ_HEAD (hk_guard_list, hk_guard_conn);

/**
 * struct hk_guard_group - connections accepted by one listener.
 * @origin: who connects.
 * @limits: may change at any time.
 * @resume: called when connections may be accepted again after
 *          hk_guard_admit() has returned FALSE; may be NULL.
 * @n_connections: open connections.
 * @waiting: hk_guard_admit() has returned FALSE.
 * @conns: connections by phase, in the order in which they entered it.
 * @link: entry in the list of groups.
 */
struct hk_guard_group
{
  enum hk_conn_origin origin;
  struct hk_guard_limits limits;
  void (*resume) (struct hk_guard_group *group);
  unsigned n_connections;
  gboolean waiting;
  struct hk_guard_list conns[HK_GUARD_N_PHASES];
  TAILQ_ENTRY (hk_guard_group) link;
};

/**
 * struct hk_guard_conn_ops - callbacks to the owner of a connection.
 * @receive: receive what has arrived; may remove the connection.
 * @is_blocked: whether the client leaves so much unread that no more can be
 *              written; NULL if the owner never enters HK_GUARD_BUSY.
 * @close: close it, with a response if one is possible. The descriptor is
 *         closed on return, except after time-outs and in HK_GUARD_BUSY.
 */
struct hk_guard_conn_ops
{
  void (*receive) (struct hk_guard_conn *conn);
  gboolean (*is_blocked) (const struct hk_guard_conn *conn);
  void (*close) (struct hk_guard_conn *conn, enum hk_guard_cause cause);
};

/**
 * struct hk_guard_conn - accepted connection, embedded in its owner's struct.
 * @ops: callbacks.
 * @group: NULL while it is not counted.
 * @phase: what it is doing.
 * @since_ms: when the phase began, on the guard's clock, or when a busy
 *            connection was last found not to be blocked.
 * @held_bytes: bytes held for its request.
 * @blocked: it is busy, and was blocked when it was last checked.
 * @link: entry in @group.
 */
struct hk_guard_conn
{
  const struct hk_guard_conn_ops *ops;
  struct hk_guard_group *group;
  enum hk_guard_phase phase;
  int64_t since_ms;
  size_t held_bytes;
  gboolean blocked;
  TAILQ_ENTRY (hk_guard_conn) link;
};

/**
 * hk_guard_configure() - set the resources that this process may use.
 * @memory_mb: memory of the machine in MiB; 0 for the physical memory.
 * @max_fds: descriptors; 0 for the limit of the process, which is never
 *           exceeded.
 */
void hk_guard_configure (int64_t memory_mb, int64_t max_fds);

/**
 * hk_guard_group_init() - add the connections of a listener.
 * @group: zeroed group with @origin, @limits and @resume set.
 */
void hk_guard_group_init (struct hk_guard_group *group);

/** hk_guard_group_finish() - remove a group that has no connections. */
void hk_guard_group_finish (struct hk_guard_group *group);

/**
 * hk_guard_admit() - whether a connection may be accepted now.
 * @group: group that it would belong to.
 *
 * Closes others to make room for it: idle ones first, the longest idle first,
 * then those with an unfinished request, then those whose client does not read
 * its responses. Connections of an origin that is
 * closed later than that of @group are kept.
 *
 * Return: FALSE if it must wait; @resume is called later.
 */
gboolean hk_guard_admit (struct hk_guard_group *group);

/**
 * hk_guard_accept_failed() - accept() has failed for lack of descriptors or
 * memory.
 * @group: group of the listener; @resume is called later.
 */
void hk_guard_accept_failed (struct hk_guard_group *group);

/**
 * hk_guard_add() - count a connection, which is idle.
 * @conn: connection with @ops set.
 * @group: its group.
 */
void hk_guard_add (struct hk_guard_conn *conn, struct hk_guard_group *group);

/** hk_guard_remove() - no longer count a connection; may be repeated. */
void hk_guard_remove (struct hk_guard_conn *conn);

/** hk_guard_enter() - set the phase of a connection. */
void hk_guard_enter (struct hk_guard_conn *conn, enum hk_guard_phase phase);

/**
 * hk_guard_hold() - set the bytes held for a connection's request.
 * @conn: connection.
 * @bytes: bytes, without those that a complete request has released.
 *
 * Over the budget, connections are closed in the next loop iteration.
 */
void hk_guard_hold (struct hk_guard_conn *conn, size_t bytes);

/** hk_guard_count() - count a connection that is closed or rejected. */
void hk_guard_count (enum hk_guard_cause cause);

#endif

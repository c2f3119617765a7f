#ifndef HYSSOPKEEL_CONN_LIMITS_H
#define HYSSOPKEEL_CONN_LIMITS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct hk_conn_limits - what all accepted connections of a process may take.
 * @budget_bytes: bytes held in requests that are not complete.
 * @connections_max: accepted connections.
 * @client_connections_max: accepted connections of untrusted clients.
 */
struct hk_conn_limits
{
  size_t budget_bytes;
  unsigned connections_max;
  unsigned client_connections_max;
};

/**
 * hk_conn_limits_derive() - limits of a machine.
 * @memory_mb: memory of the machine, MiB.
 * @max_fds: descriptors that the process may open.
 *
 * Return: limits.
 */
struct hk_conn_limits hk_conn_limits_derive (int64_t memory_mb,
                                             int64_t max_fds);

/**
 * enum hk_conn_origin - who connects, in the order in which connections are
 * closed when something runs short.
 * @HK_CONN_CLIENT: untrusted clients.
 * @HK_CONN_INTERNAL: the platform, endpoints and operators.
 * @HK_CONN_PEER: entries and agents.
 */
enum hk_conn_origin
{
  HK_CONN_CLIENT,
  HK_CONN_INTERNAL,
  HK_CONN_PEER
};

/**
 * struct hk_conn_load - what an unfinished request takes.
 * @origin: who sends it.
 * @held_bytes: bytes held for it.
 * @age_ms: time since its first byte.
 */
struct hk_conn_load
{
  enum hk_conn_origin origin;
  size_t held_bytes;
  int64_t age_ms;
};

/**
 * hk_conn_load_compare() - order in which unfinished requests are closed when
 * the budget is exhausted.
 * @a: request.
 * @b: other request.
 *
 * Clients come before all others; then those that have held the most for the
 * longest.
 *
 * Return: negative if @a is closed before @b, positive if after it, or 0.
 */
int hk_conn_load_compare (const struct hk_conn_load *a,
                          const struct hk_conn_load *b);

#endif

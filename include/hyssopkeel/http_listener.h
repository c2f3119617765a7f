#ifndef HYSSOPKEEL_HTTP_LISTENER_H
#define HYSSOPKEEL_HTTP_LISTENER_H

#include <libsoup/soup.h>

#include "hyssopkeel/guard.h"

/**
 * hk_http_listener_add() - accept connections of a listening socket and hand
 * their requests over to a server.
 * @server: server; it owns the listener until hk_http_listener_stop().
 * @socket: listening socket; a reference is taken.
 * @origin: who connects here.
 * @limits: limits of the connections; copied.
 * @fields: header fields of responses to rejected requests, each with its line
 *          end; a static text.
 *
 * Return: group of the connections, whose limits may be changed.
 */
struct hk_guard_group *hk_http_listener_add (
    SoupServer *server, GSocket *socket, enum hk_conn_origin origin,
    const struct hk_guard_limits *limits, const char *fields);

/**
 * hk_http_listener_block() - let no new connection begin.
 * @server: server that listens.
 *
 * Connections that have begun are still accepted. The kernel drops the first
 * segment of others, which their clients send again later. If it refuses to
 * do so, that is logged and connections still begin.
 */
void hk_http_listener_block (SoupServer *server);

/**
 * hk_http_listener_pending() - whether connections wait to be accepted, or
 * requests that have arrived were received only now.
 * @server: server that listens.
 */
gboolean hk_http_listener_pending (SoupServer *server);

/**
 * hk_http_listener_close() - refuse new connections but keep accepted ones.
 * @server: server that listens.
 *
 * Connections that wait to be accepted are reset.
 */
void hk_http_listener_close (SoupServer *server);

/**
 * hk_http_listener_stop() - close all listeners and connections of a server.
 * @server: server; listeners may be added again.
 */
void hk_http_listener_stop (SoupServer *server);

#endif

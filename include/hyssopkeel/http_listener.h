#ifndef HYSSOPKEEL_HTTP_LISTENER_H
#define HYSSOPKEEL_HTTP_LISTENER_H

#include <libsoup/soup.h>

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
 * hk_http_listener_pending() - whether connections wait to be accepted.
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

#endif

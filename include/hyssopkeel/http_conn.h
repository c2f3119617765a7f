#ifndef HYSSOPKEEL_HTTP_CONN_H
#define HYSSOPKEEL_HTTP_CONN_H

#include <libsoup/soup.h>

#include "hyssopkeel/guard.h"

/**
 * hk_http_conn_accept() - receive requests from an accepted socket.
 * @socket: connected socket; a reference is taken.
 * @server: server that handles the requests; it gets the connection with the
 *          first complete header, and of later requests no byte of an
 *          incomplete header.
 * @group: group of the connection.
 * @fields: header fields of responses to rejected requests, each with its line
 *          end; a static text.
 */
void hk_http_conn_accept (GSocket *socket, SoupServer *server,
                          struct hk_guard_group *group, const char *fields);

/**
 * hk_http_conn_receive() - receive what has arrived on the connections of a
 * group that wait for a request.
 * @group: group of the connections.
 *
 * Return: TRUE if a request became complete.
 */
gboolean hk_http_conn_receive_all (struct hk_guard_group *group);

/** hk_http_conn_close_all() - close the connections that the server has not
 * got. */
void hk_http_conn_close_all (struct hk_guard_group *group);

/**
 * hk_http_conn_body_limit() - size of a body that a request may have.
 * @msg: request.
 *
 * Return: bytes; G_MAXINT64 if its connection is closed.
 */
int64_t hk_http_conn_body_limit (SoupServerMessage *msg);

/**
 * hk_http_conn_body_discarded() - the body of a request is no longer kept in
 * memory.
 * @msg: request.
 */
void hk_http_conn_body_discarded (SoupServerMessage *msg);

#endif

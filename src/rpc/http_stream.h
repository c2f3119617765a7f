#ifndef HTTP_STREAM_H
#define HTTP_STREAM_H

#include <gio/gio.h>

struct hk_http_conn;
struct hk_http_stream;

/**
 * hk_http_stream_new() - libsoup's end of a connection.
 * @out: set to the stream, which is valid until hk_http_conn_stream_closed().
 * @conn: connection.
 * @socket: its socket, to which libsoup writes directly.
 *
 * Return: the same stream, owned by the caller.
 */
GIOStream *hk_http_stream_new (struct hk_http_stream **out,
                               struct hk_http_conn *conn, GSocket *socket);

/** hk_http_stream_wake() - libsoup may read. */
void hk_http_stream_wake (struct hk_http_stream *stream);

/* What the connection implements for its stream. */

/**
 * hk_http_conn_take() - read for libsoup.
 * @conn: connection.
 * @buf: buffer.
 * @max: its size in bytes.
 *
 * Return: number of bytes; 0 at the end of the connection; -1 if none may be
 * read yet.
 */
gssize hk_http_conn_take (struct hk_http_conn *conn, void *buf, size_t max);

/** hk_http_conn_prepare() - receive what libsoup may read next; returns
 * whether hk_http_conn_take() has a result. */
gboolean hk_http_conn_prepare (struct hk_http_conn *conn);

/** hk_http_stream_body_limit() - size of a body in bytes. */
int64_t hk_http_stream_body_limit (const struct hk_http_conn *conn);

/** hk_http_conn_stream_closed() - libsoup has closed the stream. */
void hk_http_conn_stream_closed (struct hk_http_conn *conn);

#endif

#ifndef HYSSOPKEEL_HTTP_RESPONSE_H
#define HYSSOPKEEL_HTTP_RESPONSE_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/**
 * hk_http_respond_json() - respond with a JSON object.
 * @msg: message.
 * @status: HTTP status.
 * @obj: body; ownership is taken.
 */
void hk_http_respond_json (SoupServerMessage *msg, guint status,
                           json_object *obj);

/**
 * hk_http_respond_text() - respond with plain text.
 * @msg: message.
 * @status: HTTP status.
 * @text: body.
 */
void hk_http_respond_text (SoupServerMessage *msg, guint status,
                           const char *text);

/**
 * hk_http_respond_problem() - respond with problem details (RFC 9457).
 * @msg: message.
 * @status: HTTP status.
 * @outcome: "not-run" or "unknown".
 * @request_id: request id, or NULL.
 * @detail: description of the problem and what the client can do.
 */
void hk_http_respond_problem (SoupServerMessage *msg, guint status,
                              const char *outcome, const char *request_id,
                              const char *detail);

/**
 * hk_http_status_from_code() - map an error code to an HTTP status.
 * @code: negative enum hk_code.
 *
 * Return: HTTP status; 503 for codes without one of their own.
 */
guint hk_http_status_from_code (int code);

#endif

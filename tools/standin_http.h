/* HTTP server helpers shared by the store and worker stand-ins. */
#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/**
 * standin_reply() - set the status and a JSON body of a reply.
 * @msg: message to reply to.
 * @status: HTTP status.
 * @obj: reply body; consumed.
 */
void standin_reply (SoupServerMessage *msg, guint status, json_object *obj);

/**
 * standin_parse_body() - parse the body of a request as a JSON object.
 * @msg: message whose request body is read.
 *
 * Return: new reference owned by the caller, or NULL if the body does not
 * parse.
 */
json_object *standin_parse_body (SoupServerMessage *msg);

/**
 * standin_listen() - accept connections on an address.
 * @server: server.
 * @address: IP address and port, "ip:port".
 *
 * Return: HK_OK, HK_ERR_INVALID if the address does not parse, or HK_ERR_IO if
 * it cannot be bound; errors are printed to standard error.
 */
int standin_listen (SoupServer *server, const char *address);

/**
 * standin_run() - run the main loop until SIGTERM or SIGINT.
 */
void standin_run (void);

#endif

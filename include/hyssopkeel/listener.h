#ifndef HYSSOPKEEL_LISTENER_H
#define HYSSOPKEEL_LISTENER_H

#include <gio/gio.h>

#include "hyssopkeel/error.h"

/**
 * hk_listener_new() - a TCP socket that listens and doesn't block.
 * @out: the new socket, or NULL on failure; the caller releases it.
 * @step: operation named in @err.
 * @address: "ip:port" to listen on.
 * @err: filled on failure, or NULL.
 *
 * Return: HK_OK, HK_ERR_INVALID for an address that does not parse, or the
 * code of a failed call.
 */
int hk_listener_new (GSocket **out, const char *step, const char *address,
                     struct hk_error *err);

#endif

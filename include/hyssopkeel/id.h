#ifndef HYSSOPKEEL_ID_H
#define HYSSOPKEEL_ID_H

#include <glib.h>
#include <stdint.h>

/**
 * hk_id_new() - generate a random identifier, unique across processes.
 * @prefix: prefix that tells the kind of the identifier.
 *
 * Return: newly allocated @prefix, "-" and 64 random bits as 16 hexadecimal
 * digits.
 */
char *hk_id_new (const char *prefix);

/**
 * hk_id_valid() - validate a name given by an operator or a client.
 * @text: name to check.
 * @max: maximum length, bytes.
 *
 * A name has at least one character, consists of ASCII letters, digits, '.',
 * '_' and '-', and does not begin with '.'.
 *
 * Return: TRUE if @text is a valid name.
 */
gboolean hk_id_valid (const char *text, gsize max);

/**
 * hk_id_hash() - stable 64-bit hash of two strings, for rendezvous hashing.
 * @a: first string.
 * @b: second string.
 *
 * Return: FNV-1a hash of both strings, with a final mixing step.
 */
uint64_t hk_id_hash (const char *a, const char *b);

#endif

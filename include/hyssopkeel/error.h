#ifndef HYSSOPKEEL_ERROR_H
#define HYSSOPKEEL_ERROR_H

#include <glib.h>

/**
 * enum hk_code - results of operations; 0 is success, failures are negative.
 */
enum hk_code
{
  HK_OK = 0,
  HK_ERR_INVALID = -1,     /* invalid input; a retry would fail again */
  HK_ERR_IO = -2,          /* connection closed or transport failed */
  HK_ERR_TIMEOUT = -3,     /* no reply in time; the effect is unknown */
  HK_ERR_CONFLICT = -4,    /* changed concurrently by somebody else */
  HK_ERR_NOT_FOUND = -5,   /* the object does not exist */
  HK_ERR_UNAVAILABLE = -6, /* never reached the peer; no effect */
  HK_ERR_PROTOCOL = -7,    /* the peer's reply does not parse */
  HK_ERR_TOO_BIG = -8,     /* over a size limit */
  HK_ERR_FULL = -9,        /* no free capacity */
  HK_ERR_STOPPED = -10     /* the task or channel is being stopped */
};

/**
 * struct hk_error - a failure and its context.
 * @code: negative enum hk_code.
 * @step: operation that failed, such as "store.txn".
 * @peer: address, file or key involved, or "".
 * @text: description for a person.
 */
struct hk_error
{
  int code;
  char step[48];
  char peer[96];
  char text[320];
};

/**
 * hk_error_set() - fill in an error.
 * @err: error to fill in, or NULL.
 * @code: negative enum hk_code.
 * @step: operation that failed, may be NULL.
 * @peer: address, file or key involved, may be NULL.
 * @fmt: printf format of the description.
 *
 * Texts that are too long are truncated.
 *
 * Return: @code, so that the caller can return it directly.
 */
int hk_error_set (struct hk_error *err, int code, const char *step,
                  const char *peer, const char *fmt, ...) G_GNUC_PRINTF (5, 6);

/**
 * hk_error_from_gerror() - convert a GLib I/O error.
 * @err: error to fill in, or NULL.
 * @step: operation that failed.
 * @peer: address or file involved.
 * @gerr: error reported by GLib, may be NULL.
 *
 * A refused connection becomes HK_ERR_UNAVAILABLE, because nothing was sent.
 *
 * Return: the negative code.
 */
int hk_error_from_gerror (struct hk_error *err, const char *step,
                          const char *peer, const GError *gerr);

/**
 * hk_error_code_name() - short name of a code, for the log.
 * @code: one of enum hk_code.
 *
 * Return: static string; "other" for an unknown code.
 */
const char *hk_error_code_name (int code);

#endif

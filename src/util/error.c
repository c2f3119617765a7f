/* Errors with the operation that failed and the peer or file involved. */
#include "hyssopkeel/error.h"

#include <gio/gio.h>
#include <stdarg.h>
#include <stdio.h>

static const char *const code_names[]
    = { "ok",       "invalid",   "io",          "timeout",
        "conflict", "not-found", "unavailable", "protocol",
        "too-big",  "full",      "stopped" };

const char *
hk_error_code_name (int code)
{
  if (code > 0 || -code >= (int)G_N_ELEMENTS (code_names))
    return "other";
  return code_names[-code];
}

int
hk_error_set (struct hk_error *err, int code, const char *step,
              const char *peer, const char *fmt, ...)
{
  va_list ap;

  if (!err)
    return code;
  err->code = code;
  g_strlcpy (err->step, step ? step : "", sizeof err->step);
  g_strlcpy (err->peer, peer ? peer : "", sizeof err->peer);
  va_start (ap, fmt);
  g_vsnprintf (err->text, sizeof err->text, fmt, ap);
  va_end (ap);
  return code;
}

int
hk_error_from_gerror (struct hk_error *err, const char *step, const char *peer,
                      const GError *gerr)
{
  int code = HK_ERR_IO;

  if (g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
      || g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE))
    code = HK_ERR_UNAVAILABLE;
  else if (g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_TIMED_OUT)
           || g_error_matches (gerr, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    code = HK_ERR_TIMEOUT;
  return hk_error_set (err, code, step, peer, "%s",
                       gerr ? gerr->message : "unknown failure");
}

#ifndef HYSSOPKEEL_LOG_H
#define HYSSOPKEEL_LOG_H

#include "hyssopkeel/error.h"

enum hk_log_level
{
  HK_LOG_ERROR,
  HK_LOG_WARN,
  HK_LOG_INFO,
  HK_LOG_DEBUG
};

/**
 * hk_log_init() - write the log to standard error.
 * @level: least severe level written: "error", "warn", "info" or "debug".
 *
 * Return: 0, or HK_ERR_INVALID for an unknown level.
 */
int hk_log_init (const char *level);

/**
 * hk_log_init_stdout() - write the log to standard output without blocking.
 * @level: least severe level written: "error", "warn", "info" or "debug".
 *
 * Makes standard output non-blocking. Lines that cannot be written at once or
 * exceed the rate limit are dropped and counted in a metric.
 *
 * Return: 0, or HK_ERR_INVALID for an unknown level.
 */
int hk_log_init_stdout (const char *level);

/**
 * hk_log_enabled() - tell whether a level is written.
 * @level: severity.
 *
 * Return: TRUE if hk_log() writes lines of @level.
 */
gboolean hk_log_enabled (enum hk_log_level level);

/**
 * hk_log() - write one log line of key=value pairs.
 * @level: severity.
 * @task: task that writes the line, such as "http".
 * @peer: peer concerned, or NULL.
 * @request: identifier of the request or job concerned, or NULL.
 * @fmt: printf format of the message.
 */
void hk_log (enum hk_log_level level, const char *task, const char *peer,
             const char *request, const char *fmt, ...) G_GNUC_PRINTF (5, 6);

/**
 * hk_log_error() - write an error as a warning.
 * @task: task that writes the line.
 * @request: identifier of the request or job concerned, or NULL.
 * @err: error to write, with its operation, code and peer.
 */
void hk_log_error (const char *task, const char *request,
                   const struct hk_error *err);

#endif

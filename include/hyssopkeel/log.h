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
 * hk_log_init() - send log lines of at least @level to standard error.
 * @level: "error", "warn", "info" or "debug".
 *
 * Return: 0, or HK_ERR_INVALID for an unknown level.
 */
int hk_log_init (const char *level);

/**
 * hk_log_init_stdout() - send log lines to standard output, bounded.
 * @level: "error", "warn", "info" or "debug".
 *
 * Lines are dropped and counted rather than waited for.
 *
 * Return: 0, or HK_ERR_INVALID for an unknown level.
 */
int hk_log_init_stdout (const char *level);

/** hk_log_enabled() - whether lines of a level are written. */
gboolean hk_log_enabled (enum hk_log_level level);

/**
 * hk_log() - write one key=value line.
 * @level: severity.
 * @task: task that reports, such as "http".
 * @peer: peer concerned, or NULL.
 * @request: request or job id, or NULL.
 * @fmt: printf format of the message.
 */
void hk_log (enum hk_log_level level, const char *task, const char *peer,
             const char *request, const char *fmt, ...) G_GNUC_PRINTF (5, 6);

/**
 * hk_log_error() - write an error with its step and peer.
 * @task: task that reports.
 * @request: request or job id, or NULL.
 * @err: the error.
 */
void hk_log_error (const char *task, const char *request,
                   const struct hk_error *err);

#endif

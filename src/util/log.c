/* Structured log: one line of key=value pairs per event, written through
   log4c. */
#include "hyssopkeel/log.h"

#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/metrics.h"

static log4c_category_t *category;

static const int priorities[] = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN,
                                  LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG };
static const char *const level_names[] = { "error", "warn", "info", "debug" };

static const char *
format_plain (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

static const log4c_layout_type_t plain_layout
    = { .name = "hyssopkeel", .format = format_plain };

/* Replaces log4c's stream appenders, which prefix each line with their
   name. */
static int
append_plain (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t plain_appender
    = { .name = "hyssopkeel", .append = append_plain };

/* Far above what ten times the expected load writes. */
#define LOG_LINES_PER_S_MAX 5000

static gboolean
line_allowed (void)
{
  static int64_t second;
  static unsigned lines;
  int64_t now = hk_clock_ms () / 1000;

  if (now != second)
    {
      second = now;
      lines = 0;
    }
  return lines++ < LOG_LINES_PER_S_MAX;
}

/* Never blocks: if the reader of standard output stalls or the rate limit is
   exceeded, lines are dropped and counted. */
static int
append_stdout (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  const char *line = event->evt_rendered_msg;
  size_t len = strlen (line);

  (void)appender;
  if (!line_allowed () || write (STDOUT_FILENO, line, len) != (ssize_t)len)
    hk_metric_get ("hyssopkeel_log_dropped_total", "")->value++;
  return 0;
}

static const log4c_appender_type_t stdout_appender
    = { .name = "hyssopkeel-stdout", .append = append_stdout };

static int
init_category (const char *level, const log4c_appender_type_t *type)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  for (guint i = 0; i < G_N_ELEMENTS (level_names); i++)
    {
      if (strcmp (level, level_names[i]) != 0)
        continue;
      log4c_init ();
      log4c_layout_type_set (&plain_layout);
      layout = log4c_layout_get ("hyssopkeel");
      log4c_layout_set_type (layout, &plain_layout);
      appender = log4c_appender_get ("hyssopkeel");
      log4c_appender_set_type (appender, type);
      log4c_appender_set_layout (appender, layout);
      category = log4c_category_get ("hyssopkeel");
      log4c_category_set_appender (category, appender);
      log4c_category_set_additivity (category, 0);
      log4c_category_set_priority (category, priorities[i]);
      return HK_OK;
    }
  return HK_ERR_INVALID;
}

int
hk_log_init (const char *level)
{
  return init_category (level, &plain_appender);
}

int
hk_log_init_stdout (const char *level)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return init_category (level, &stdout_appender);
}

gboolean
hk_log_enabled (enum hk_log_level level)
{
  return category
         && log4c_category_is_priority_enabled (category, priorities[level]);
}

void
hk_log (enum hk_log_level level, const char *task, const char *peer,
        const char *request, const char *fmt, ...)
{
  g_autofree char *text = NULL;
  g_autofree char *quoted = NULL;
  g_autofree char *stamp = NULL;
  g_autoptr (GDateTime) now = NULL;
  va_list ap;

  if (!hk_log_enabled (level))
    return;
  va_start (ap, fmt);
  text = g_strdup_vprintf (fmt, ap);
  va_end (ap);
  quoted = g_strescape (text, NULL);
  now = g_date_time_new_now_utc ();
  stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%f");
  log4c_category_log (category, priorities[level],
                      "time=%sZ level=%s task=%s peer=%s request=%s "
                      "msg=\"%s\"\n",
                      stamp, level_names[level], task,
                      peer && *peer ? peer : "-",
                      request && *request ? request : "-", quoted);
}

void
hk_log_error (const char *task, const char *request,
              const struct hk_error *err)
{
  hk_log (HK_LOG_WARN, task, err->peer, request, "step=%s code=%s %s",
          err->step, hk_error_code_name (err->code), err->text);
}

#ifndef HYSSOPKEEL_SETTINGS_H
#define HYSSOPKEEL_SETTINGS_H

#include "hyssopkeel/error.h"

enum hk_role
{
  HK_ROLE_ENTRY,
  HK_ROLE_AGENT
};

/**
 * struct hk_settings - validated settings of a daemon.
 *
 * The unit of a time is the suffix of its name. docs/OPERATORS.md describes
 * each member.
 */
struct hk_settings
{
  enum hk_role role;
  char *role_name;
  char *name;
  char *domain;
  char *log;
  char *rpc;
  char *announce;
  char **store;
  gint64 store_timeout_ms;
  gint64 stop_limit_ms;
  gint64 memory_mb;
  gint64 max_fds;
  /* entry */
  char *http;
  char **peers;
  gint64 body_limit;
  gint64 request_read_ms;
  gint64 header_limit;
  gint64 empty_line_limit;
  gint64 idle_ms;
  gint64 leave_ms;
  gboolean random_placement;
  gint64 announce_budget_bytes_s;
  gint64 distance_us;
  gint64 claim_window_s;
  /* agent */
  char *pool;
  char *worker;
  char **entries;
  gint64 session_ttl_s;
  gint64 worker_lease_ms;
  gint64 checkpoint_ms;
  gint64 announce_ms;
  gboolean fifo;
};

/**
 * hk_settings_load() - read and validate a settings file.
 * @s: zeroed settings to fill.
 * @file: path of a JSON file with comments.
 * @err: filled on failure; names the file, the setting and the rule.
 *
 * Return: 0 or a negative code.
 */
int hk_settings_load (struct hk_settings *s, const char *file,
                      struct hk_error *err);

/**
 * hk_settings_parse() - parse and validate settings from text.
 * @s: zeroed settings to fill.
 * @text: JSON with comments.
 * @len: its length in bytes.
 * @name: name used in errors.
 * @err: filled on failure.
 *
 * Return: 0 or a negative code.
 */
int hk_settings_parse (struct hk_settings *s, const char *text, gsize len,
                       const char *name, struct hk_error *err);

/**
 * hk_settings_finish() - release all members.
 * @s: settings, left zeroed.
 */
void hk_settings_finish (struct hk_settings *s);

#endif

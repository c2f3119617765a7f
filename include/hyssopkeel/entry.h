#ifndef HYSSOPKEEL_ENTRY_H
#define HYSSOPKEEL_ENTRY_H

#include "hyssopkeel/settings.h"

struct hk_entry;

/**
 * hk_entry_new() - create an entry, the front end for clients.
 * @settings: validated settings; must outlive the entry.
 * @on_finish: called when the entry has stopped, with 0 or a negative code.
 * @user: argument of @on_finish.
 *
 * Return: entry, not started; free with hk_entry_free().
 */
struct hk_entry *hk_entry_new (const struct hk_settings *settings,
                               void (*on_finish) (int code, void *user),
                               void *user);

/**
 * hk_entry_start() - start all tasks of an entry.
 * @entry: entry.
 * @err: cause on failure.
 *
 * Return: 0 or a negative error code.
 */
int hk_entry_start (struct hk_entry *entry, struct hk_error *err);

/**
 * hk_entry_drain() - stop gracefully.
 * @entry: entry.
 *
 * Requests in progress are completed, then on_finish is called.
 */
void hk_entry_drain (struct hk_entry *entry);

/**
 * hk_entry_free() - stop at once and free an entry.
 * @entry: entry.
 */
void hk_entry_free (struct hk_entry *entry);

#endif

#ifndef HYSSOPKEEL_MIRROR_H
#define HYSSOPKEEL_MIRROR_H

#include "hyssopkeel/store.h"
#include "hyssopkeel/timer.h"

/**
 * struct hk_mirror_ops - callbacks to the owner of a mirror.
 * @changed: a key has a new value; @value is NULL if it was deleted.
 * @synced: a full read of the prefix is complete and all of it was reported.
 */
struct hk_mirror_ops
{
  void (*changed) (const char *key, const char *value, size_t len,
                   int64_t mod_revision, void *user);
  void (*synced) (void *user);
};

/**
 * struct hk_mirror - reports the changes of all keys under a prefix.
 * @store: store to follow.
 * @prefix: prefix of the keys.
 * @probe_key: key that most polls read.
 * @poll_ms: interval of the polls.
 * @ops: callbacks.
 * @user: their argument.
 * @revision: all changes up to this revision were reported.
 * @loaded: whether a full read is complete that no compaction has outdated.
 * @connected: whether the last call to the store succeeded.
 * @last_contact_ms: time of the last successful call, on hk_clock_ms().
 * @revisions: revision of the last write of each key that exists.
 * @watch: open watch, or NULL.
 * @retry_timer: next attempt after a failed read or an ended watch.
 * @poll_timer: next poll.
 * @poll_in_flight: whether a poll waits for the store's reply.
 * @n_polls: polls made; determines which key the next poll reads.
 * @stale_polls: consecutive polls that found the watch behind the store.
 * @polled_revision: revision of the key that the last successful poll read.
 * @stopped: set by hk_mirror_stop().
 *
 * Changes arrive by one watch, and each key is only reported with increasing
 * revisions. Polls of @probe_key, now and then of the newest key of the
 * prefix, detect a watch that hangs without an error; the mirror then replaces
 * it.
 */
struct hk_mirror
{
  struct hk_store *store;
  const char *prefix;
  const char *probe_key;
  int64_t poll_ms;
  const struct hk_mirror_ops *ops;
  void *user;
  int64_t revision;
  gboolean loaded;
  gboolean connected;
  int64_t last_contact_ms;
  GHashTable *revisions;
  struct hk_store_watch *watch;
  struct hk_timer retry_timer;
  struct hk_timer poll_timer;
  gboolean poll_in_flight;
  guint n_polls;
  guint stale_polls;
  int64_t polled_revision;
  gboolean stopped;
};

/**
 * hk_mirror_start() - read the prefix, then report its changes.
 * @m: mirror with store, prefix, probe_key, poll_ms, ops and user filled in.
 */
void hk_mirror_start (struct hk_mirror *m);

/**
 * hk_mirror_stop() - end the watch; no callback follows.
 * @m: mirror; its memory must outlive calls in flight.
 */
void hk_mirror_stop (struct hk_mirror *m);

#endif

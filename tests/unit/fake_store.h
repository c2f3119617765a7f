#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "hyssopkeel/store.h"

/**
 * struct fake_store - in-memory store of one key that can lose requests and
 * replies.
 * @base: store interface.
 * @value: value of the key, or NULL.
 * @mod_revision: revision of the last write of the key; 0 if never written.
 * @revision: current revision of the store.
 * @drop_requests: number of next transactions that fail without effect.
 * @drop_replies: number of next transactions that take effect, but whose reply
 *                is lost.
 * @unreachable: transactions fail as if no store listened.
 * @writes: number of writes that took effect.
 */
struct fake_store
{
  struct hk_store base;
  char *value;
  int64_t mod_revision;
  int64_t revision;
  int drop_requests;
  int drop_replies;
  gboolean unreachable;
  int writes;
};

/**
 * fake_store_init() - set up an empty store.
 * @s: store, in memory of the caller.
 */
void fake_store_init (struct fake_store *s);

/**
 * fake_store_finish() - free the value; the caller owns @s itself.
 * @s: store.
 */
void fake_store_finish (struct fake_store *s);

#endif

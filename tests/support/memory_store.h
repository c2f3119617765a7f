#ifndef MEMORY_STORE_H
#define MEMORY_STORE_H

#include <sys/queue.h>

#include "hyssopkeel/store.h"

struct memory_call;

/**
 * struct memory_store - a store of many keys in this process, with faults.
 * @base: table of operations.
 * @revision: current revision.
 * @hold_reads: reads are carried out at once but answered only by
 *              memory_store_release().
 * @lose_answers: so many transactions are carried out without an answer.
 * @delay_writes: so many transactions fail for their caller and wait to be
 *                carried out by memory_store_late().
 * @down: every call is refused.
 * @txns: transactions that took effect.
 */
struct memory_store
{
  struct hk_store base;
  int64_t revision;
  GTree *keys;
  gboolean hold_reads;
  int lose_answers;
  int delay_writes;
  gboolean down;
  int txns;
  GQueue *held;
  GQueue *late;
  LIST_HEAD (, hk_store_watch) watches;
};

/**
 * struct memory_view - the same store as one process reaches it.
 * @cut: its calls get no answer but a failure.
 */
struct memory_view
{
  struct hk_store base;
  struct memory_store *s;
  gboolean cut;
};

/** memory_view_init() - reach @s. */
void memory_view_init (struct memory_view *v, struct memory_store *s);

/** memory_store_init() - empty store in memory of the caller. */
void memory_store_init (struct memory_store *s);

/** memory_store_finish() - release. */
void memory_store_finish (struct memory_store *s);

/** memory_store_release() - answer the oldest read that is held. */
gboolean memory_store_release (struct memory_store *s);

/** memory_store_late() - carry out the delayed transactions now. */
void memory_store_late (struct memory_store *s);

/** memory_store_has() - whether a key exists. */
gboolean memory_store_has (const struct memory_store *s, const char *key);

#endif

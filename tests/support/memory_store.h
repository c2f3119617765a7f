#ifndef MEMORY_STORE_H
#define MEMORY_STORE_H

#include <sys/queue.h>

#include "hyssopkeel/store.h"

struct memory_call;

/**
 * struct memory_store - in-process fake of the store, with fault injection.
 * @base: table of operations.
 * @revision: current revision.
 * @keys: keys and their values.
 * @defer_reads: reads are carried out at once but answered only by
 *               memory_store_answer_read().
 * @drop_replies: number of next transactions that take effect but time out.
 * @delay_writes: number of next transactions that time out and take effect
 *                only in memory_store_apply_delayed().
 * @unavailable: every call fails with HK_ERR_UNAVAILABLE.
 * @txns: number of transactions that took effect.
 * @deferred_reads: reads that wait for memory_store_answer_read(), oldest
 *                  first.
 * @delayed: delayed transactions, oldest first.
 * @watches: open watches.
 * @events: events that are still to be delivered.
 */
struct memory_store
{
  struct hk_store base;
  int64_t revision;
  GTree *keys;
  gboolean defer_reads;
  int drop_replies;
  int delay_writes;
  gboolean unavailable;
  int txns;
  GQueue *deferred_reads;
  GQueue *delayed;
  LIST_HEAD (, hk_store_watch) watches;
  LIST_HEAD (, watch_event) events;
};

/**
 * struct memory_view - connection of one process to a memory_store.
 * @base: table of operations.
 * @s: store, owned by the caller.
 * @partitioned: its calls time out and have no effect.
 */
struct memory_view
{
  struct hk_store base;
  struct memory_store *s;
  gboolean partitioned;
};

/** memory_view_init() - connect to @s. */
void memory_view_init (struct memory_view *v, struct memory_store *s);

/** memory_store_init() - initialize an empty store. */
void memory_store_init (struct memory_store *s);

/** memory_store_finish() - release. */
void memory_store_finish (struct memory_store *s);

/** memory_store_answer_read() - answer the oldest deferred read; FALSE if
 * there is none. */
gboolean memory_store_answer_read (struct memory_store *s);

/** memory_store_apply_delayed() - carry out the delayed transactions now. */
void memory_store_apply_delayed (struct memory_store *s);

/** memory_store_has() - whether a key exists. */
gboolean memory_store_has (const struct memory_store *s, const char *key);

#endif

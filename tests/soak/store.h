#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/**
 * struct soak_store - in-process stand-in for the platform's store that speaks
 * its published protocol and injects faults.
 * @address: "ip:port" it listens on.
 * @down: every request is refused at once with status 503.
 * @unresponsive: requests get no reply and are not carried out.
 * @lost_replies: number of coming transactions that are committed but get no
 *                reply.
 * @reply_delay_ms: delay of each reply.
 * @lost_histories: number of coming watch calls whose events are no longer
 *                  kept.
 * @items: current items, by key.
 * @log: history of writes that watches resume from.
 * @watches: open watches.
 * @revision: revision of the last write.
 */
struct soak_store
{
  char *address;
  gboolean down;
  gboolean unresponsive;
  int lost_replies;
  unsigned reply_delay_ms;
  int lost_histories;
  SoupServer *server;
  GHashTable *items;
  GPtrArray *log;
  GList *watches;
  int64_t revision;
};

/**
 * soak_address() - "ip:port" of the loopback for a process that restarts.
 *
 * The port is below the ephemeral range, so that no outgoing connection takes
 * it while the process is down, and is never returned twice. Each soak has a
 * loopback address of its own, since several run in parallel.
 *
 * Return: newly allocated text.
 */
char *soak_address (void);

/** soak_store_start() - start an empty store on a free loopback port. */
void soak_store_start (struct soak_store *s);

/** soak_store_stop() - close open watches and release all memory held. */
void soak_store_stop (struct soak_store *s);

/** soak_store_put() - write an item as an operator; @value is JSON text. */
void soak_store_put (struct soak_store *s, const char *key, const char *value);

/** soak_store_remove() - remove an item as an operator. */
void soak_store_remove (struct soak_store *s, const char *key);

/** soak_store_get() - value of an item as text, newly allocated; NULL if there
 * is none. */
char *soak_store_get (const struct soak_store *s, const char *key);

#endif

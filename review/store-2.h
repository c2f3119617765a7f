#ifndef REVIEW_STORE_2_H
#define REVIEW_STORE_2_H

#include <libsoup/soup.h>

/**
 * struct rv_store - stand-in for the platform's metadata store: items with
 *                   revisions, pages, transactions and watches.
 * @address: "ip:port" it listens on.
 * @items: struct rv_item by key, in the order of the keys.
 * @log: struct rv_item, all writes and removals since the start.
 * @watches: calls that wait for an event.
 */
struct rv_store
{
  char *address;
  SoupServer *server;
  GTree *items;
  GPtrArray *log;
  GList *watches;
  gint64 revision;
};

/** rv_address() - loopback address "ip:port" that was not returned before. */
char *rv_address (void);

/** rv_store_start() - start an empty store. */
void rv_store_start (struct rv_store *s);

/** rv_store_put() - write an item as the operator; @value is JSON text. */
void rv_store_put (struct rv_store *s, const char *key, const char *value);

/** rv_store_stop() - stop listening. */
void rv_store_stop (struct rv_store *s);

#endif

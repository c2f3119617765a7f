#ifndef SOAK_STORE_H
#define SOAK_STORE_H

#include <libsoup/soup.h>

#include "hyssopkeel/json.h"

/**
 * struct soak_store - the platform's store as its published protocol tells,
 * in this process, with faults.
 * @address: "ip:port" it listens on.
 * @down: calls are refused at once.
 * @silent: calls get no answer and are not carried out.
 * @lose: so many transactions are carried out without an answer.
 * @slow_ms: time before each answer.
 */
struct soak_store
{
  char *address;
  gboolean down;
  gboolean silent;
  int lose;
  unsigned slow_ms;
  SoupServer *server;
  GHashTable *items;
  GPtrArray *log;
  GList *waiting;
  int64_t revision;
};

/**
 * soak_address() - "ip:port" of the loopback for a process that comes and
 * goes.
 *
 * Below the ports that the system gives to connections, which could take it
 * while the process is away; never the same twice.
 */
char *soak_address (void);

/** soak_store_start() - an empty store on a free port of the loopback. */
void soak_store_start (struct soak_store *s);

/** soak_store_stop() - release. */
void soak_store_stop (struct soak_store *s);

/** soak_store_put() - write as the operator; @value is JSON text. */
void soak_store_put (struct soak_store *s, const char *key, const char *value);

#endif

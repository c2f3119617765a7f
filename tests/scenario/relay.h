#ifndef RELAY_H
#define RELAY_H

#include <gio/gio.h>

#include "hyssopkeel/timer.h"

/**
 * struct relay - TCP relay that simulates a network link.
 * @name: name in scripts, such as "a1-store".
 * @listen: address it listens on.
 * @target: address it connects to.
 * @cut_to: whether data towards the target is held back.
 * @cut_from: whether data from the target is held back.
 * @delay_ms: delay in each direction.
 * @service: accepts the connections.
 * @conns: open connections.
 */
struct relay
{
  char *name;
  char *listen;
  char *target;
  gboolean cut_to;
  gboolean cut_from;
  int64_t delay_ms;
  GSocketService *service;
  GList *conns;
};

/**
 * relay_new() - start a link.
 * @name: name in scripts.
 * @listen: address to listen on.
 * @target: address to connect to.
 *
 * Return: link, released by relay_free().
 */
struct relay *relay_new (const char *name, const char *listen,
                         const char *target);

/**
 * relay_free() - close a link and its connections.
 * @r: link.
 */
void relay_free (struct relay *r);

/**
 * relay_heal() - end cuts, holds and delays; data held back is delivered.
 * @r: link.
 */
void relay_heal (struct relay *r);

/**
 * relay_hold() - hold back all data of the connections that are open now, both
 * ways, also after one of their ends has closed; new connections work.
 * @r: link.
 */
void relay_hold (struct relay *r);

/**
 * relay_release() - deliver what relay_hold() held back.
 * @r: link.
 */
void relay_release (struct relay *r);

/**
 * relay_reset() - close all connections of a link.
 * @r: link.
 */
void relay_reset (struct relay *r);

#endif

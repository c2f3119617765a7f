#ifndef HYSSOPKEEL_POLLER_H
#define HYSSOPKEEL_POLLER_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_watch - watch for the readiness of a file descriptor.
 * @fd: file descriptor.
 * @events: EPOLLIN, EPOLLOUT or both; 0 while cleared.
 * @ready: called with the epoll events that occurred.
 * @user: argument of @ready.
 *
 * All watches share one event source of the main loop, so the cost of a loop
 * iteration does not depend on the number of open sockets. Zero-initialized
 * memory is a cleared watch.
 */
struct hk_watch
{
  int fd;
  uint32_t events;
  void (*ready) (uint32_t events, void *user);
  void *user;
};

/**
 * hk_watch_set() - start a watch, or change its events and callback.
 * @w: watch; must stay at the same address until it is cleared.
 * @fd: file descriptor; the same one as before if the watch is set.
 * @events: EPOLLIN, EPOLLOUT or both; not 0.
 * @ready: callback; it may clear any watch.
 * @user: argument of @ready.
 */
void hk_watch_set (struct hk_watch *w, int fd, uint32_t events,
                   void (*ready) (uint32_t events, void *user), void *user);

/**
 * hk_watch_clear() - stop a watch; does nothing if it is cleared already.
 * @w: watch; must be cleared before its file descriptor is closed.
 */
void hk_watch_clear (struct hk_watch *w);

#endif

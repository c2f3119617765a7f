/* Polls any number of file descriptors with epoll(7) through a single event
   source of the main loop. */
#include "hyssopkeel/poller.h"

#include <glib-unix.h>
#include <sys/epoll.h>

#define EVENTS_PER_POLL_MAX 64

static int epoll_fd = -1;
static struct epoll_event ready_events[EVENTS_PER_POLL_MAX];
static int n_ready_events;

static gboolean
dispatch_ready (GSource *source, GSourceFunc fn, gpointer user)
{
  (void)source;
  (void)fn;
  (void)user;
  n_ready_events = epoll_wait (epoll_fd, ready_events, EVENTS_PER_POLL_MAX, 0);
  for (int i = 0; i < n_ready_events; i++)
    {
      struct hk_watch *w = ready_events[i].data.ptr;

      if (w)
        w->ready (ready_events[i].events, w->user);
    }
  n_ready_events = 0;
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .dispatch = dispatch_ready };

static void
create_source (void)
{
  GSource *source = g_source_new (&source_funcs, sizeof (GSource));

  epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  g_source_add_unix_fd (source, epoll_fd, G_IO_IN);
  g_source_attach (source, NULL);
}

void
hk_watch_set (struct hk_watch *w, int fd, uint32_t events,
              void (*ready) (uint32_t events, void *user), void *user)
{
  struct epoll_event ev = { .events = events };

  if (epoll_fd < 0)
    create_source ();
  ev.data.ptr = w;
  epoll_ctl (epoll_fd, w->events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &ev);
  w->fd = fd;
  w->events = events;
  w->ready = ready;
  w->user = user;
}

void
hk_watch_clear (struct hk_watch *w)
{
  if (!w->events)
    return;
  epoll_ctl (epoll_fd, EPOLL_CTL_DEL, w->fd, NULL);
  w->events = 0;
  /* Discards events fetched earlier: the owner may free the watch now. */
  for (int i = 0; i < n_ready_events; i++)
    if (ready_events[i].data.ptr == w)
      ready_events[i].data.ptr = NULL;
}

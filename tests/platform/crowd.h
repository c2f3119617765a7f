#ifndef CROWD_H
#define CROWD_H

#include <glib.h>
#include <stdint.h>
#include <sys/resource.h>

/* A crowd that is neither read nor closed counts as sent after this time. */
#define CROWD_LIMIT_MS 30000

enum crowd_target
{
  CROWD_ENTRY,
  CROWD_ENTRY_RPC,
  CROWD_AGENT,
  CROWD_DAEMON
};

/**
 * struct crowd - connections that all send the same.
 * @name: name of the test.
 * @target: listener that they connect to.
 * @connections: their number.
 * @head: sent once by each.
 * @repeat: sent again and again after @head.
 * @bytes: sent by each altogether.
 * @fds: limit of the process on descriptors; 0 for the default.
 */
struct crowd
{
  const char *name;
  enum crowd_target target;
  unsigned connections;
  const char *head;
  const char *repeat;
  size_t bytes;
  rlim_t fds;
};

/**
 * struct crowd_member - one connection.
 * @fd: its socket.
 * @sent: bytes sent.
 * @closed: the process has closed it.
 */
struct crowd_member
{
  int fd;
  size_t sent;
  gboolean closed;
};

/** crowd_connect() - begin a connection to "ip:port"; returns its socket. */
int crowd_connect (const char *address);

/** crowd_connect_small() - the same, with small buffers for responses. */
int crowd_connect_small (const char *address);

/** crowd_run_loop() - serve the stand-ins in this process. */
void crowd_run_loop (void);

/**
 * crowd_send_request() - send a request on a connection of its own.
 * @address: "ip:port".
 * @request: text of the request.
 * @limit_ms: time for the response.
 *
 * Return: response, newly allocated; "" if none came.
 */
char *crowd_send_request (const char *address, const char *request,
                          int64_t limit_ms);

/**
 * crowd_send() - let all members send until each has sent as many bytes or was
 *                closed.
 * @members: members, connected.
 * @c: what they send.
 * @bytes: bytes that each has sent then.
 * @turn: called after each turn.
 * @user: argument of @turn.
 */
void crowd_send (struct crowd_member *members, const struct crowd *c,
                 size_t bytes, void (*turn) (void *user), void *user);

/**
 * crowd_send_calls() - send calls of an RPC program that does not exist.
 * @fd: connection.
 * @sent: bytes sent so far.
 * @bytes: bytes to send altogether.
 *
 * Return: whether the connection takes more calls.
 */
gboolean crowd_send_calls (int fd, size_t *sent, size_t bytes);

#endif

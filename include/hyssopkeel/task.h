#ifndef HYSSOPKEEL_TASK_H
#define HYSSOPKEEL_TASK_H

#include <sys/queue.h>

#include "hyssopkeel/error.h"
#include "hyssopkeel/timer.h"

struct hk_supervisor;
struct hk_task;

/**
 * struct hk_msg - header of every message between tasks.
 * @type: type of the message, defined by the receiver.
 * @link: entry in the receiver's mailbox.
 *
 * Messages are allocated with g_new(); the receiver owns and frees them.
 */
struct hk_msg
{
  int type;
  STAILQ_ENTRY (hk_msg) link;
};

/**
 * struct hk_task_ops - operations of a kind of task.
 * @name: name in the log.
 * @start: acquire sockets and state; returns 0 or a negative code.
 * @drain: finish the work in progress, then call hk_task_drained(). NULL if
 *         the task may be stopped at any time.
 * @stop: release everything that @start acquired; also called after
 *        hk_task_fail().
 * @receive: handle a message and free it. NULL if the task receives none.
 */
struct hk_task_ops
{
  const char *name;
  int (*start) (struct hk_task *task, struct hk_error *err);
  void (*drain) (struct hk_task *task);
  void (*stop) (struct hk_task *task);
  void (*receive) (struct hk_task *task, struct hk_msg *msg);
};

/**
 * struct hk_task - a component of a daemon that owns its sockets and state.
 * @ops: operations.
 * @parent: supervisor, set by hk_supervisor_add(); NULL for the root.
 * @running: TRUE between start and stop.
 * @failed: TRUE from hk_task_fail() until the restart.
 * @mailbox: messages not yet received, oldest first.
 * @wakeup: identifier of the main loop source that delivers the messages, or
 *          0 if none is scheduled.
 * @link: entry in the supervisor's list of children.
 */
struct hk_task
{
  const struct hk_task_ops *ops;
  struct hk_supervisor *parent;
  gboolean running;
  gboolean failed;
  STAILQ_HEAD (, hk_msg) mailbox;
  guint wakeup;
  TAILQ_ENTRY (hk_task) link;
};

/**
 * hk_task_init() - initialize a task.
 * @task: uninitialized task, owned by the caller.
 * @ops: operations; must outlive the task.
 */
void hk_task_init (struct hk_task *task, const struct hk_task_ops *ops);

/**
 * hk_task_send() - queue a message, to be delivered by the main loop.
 * @task: receiver.
 * @msg: message; ownership passes to the receiver.
 */
void hk_task_send (struct hk_task *task, struct hk_msg *msg);

/**
 * hk_task_fail() - report that a task cannot continue.
 * @task: the failed task.
 * @err: cause.
 *
 * The supervisor restarts the task after a short delay. Beyond its limit of
 * restarts, the supervisor fails itself.
 */
void hk_task_fail (struct hk_task *task, const struct hk_error *err);

/**
 * hk_task_drained() - report that a task has finished draining.
 * @task: the task; it is stopped by this call.
 */
void hk_task_drained (struct hk_task *task);

/**
 * struct hk_supervisor - task that starts, restarts and stops its children.
 * @task: the supervisor as a task of its own supervisor.
 * @ops: operations of @task.
 * @max_restarts: restarts allowed in a window before the supervisor fails.
 * @period_ms: length of the window, milliseconds.
 * @restarts: restarts in the current window.
 * @window_start_ms: start of the current window, on hk_clock_ms().
 * @children: children in order of start.
 * @draining: child that is being drained, or NULL.
 * @restart: delay before failed children are restarted.
 * @on_finish: root only; called once, with 0 after a drain or the code of the
 *             failure that exceeded the restart limit.
 * @user: argument of @on_finish.
 */
struct hk_supervisor
{
  struct hk_task task;
  struct hk_task_ops ops;
  int max_restarts;
  int64_t period_ms;
  int restarts;
  int64_t window_start_ms;
  TAILQ_HEAD (hk_task_list, hk_task) children;
  struct hk_task *draining;
  struct hk_timer restart;
  void (*on_finish) (int code, void *user);
  void *user;
};

/**
 * hk_supervisor_init() - initialize a supervisor without children.
 * @sup: uninitialized supervisor, owned by the caller.
 * @name: name in the log; must outlive the supervisor.
 * @max_restarts: restarts allowed in a window.
 * @period_ms: length of the window, milliseconds.
 */
void hk_supervisor_init (struct hk_supervisor *sup, const char *name,
                         int max_restarts, int64_t period_ms);

/**
 * hk_supervisor_add() - append a child.
 * @sup: supervisor.
 * @child: initialized task; not owned.
 *
 * Children are started in the order of addition and stopped in reverse order.
 */
void hk_supervisor_add (struct hk_supervisor *sup, struct hk_task *child);

/**
 * hk_supervisor_start() - start all children of the root supervisor.
 * @sup: root supervisor.
 * @err: filled on failure; the children started so far are stopped.
 *
 * Return: 0 or a negative code.
 */
int hk_supervisor_start (struct hk_supervisor *sup, struct hk_error *err);

/**
 * hk_supervisor_drain() - drain and stop the children, last one first.
 * @sup: root supervisor; its on_finish is called at the end.
 */
void hk_supervisor_drain (struct hk_supervisor *sup);

/**
 * hk_supervisor_stop() - stop all children without draining, last one first.
 * @sup: supervisor.
 */
void hk_supervisor_stop (struct hk_supervisor *sup);

#endif

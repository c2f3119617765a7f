/* Tasks own their state and communicate by asynchronous messages, which the
   main loop delivers. */
#include "hyssopkeel/task.h"

void
hk_task_init (struct hk_task *task, const struct hk_task_ops *ops)
{
  *task = (struct hk_task){ .ops = ops };
  STAILQ_INIT (&task->mailbox);
}

static gboolean
deliver_messages (gpointer user)
{
  struct hk_task *task = user;
  struct hk_msg *msg;

  task->wakeup = 0;
  while ((msg = STAILQ_FIRST (&task->mailbox)))
    {
      STAILQ_REMOVE_HEAD (&task->mailbox, link);
      task->ops->receive (task, msg);
    }
  return G_SOURCE_REMOVE;
}

void
hk_task_send (struct hk_task *task, struct hk_msg *msg)
{
  STAILQ_INSERT_TAIL (&task->mailbox, msg, link);
  if (!task->wakeup)
    task->wakeup
        = g_idle_add_full (G_PRIORITY_DEFAULT, deliver_messages, task, NULL);
}

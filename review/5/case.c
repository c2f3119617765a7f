/* Workers make checkpoints longer than those of the pages' example. A
   submission that checkpoints must complete, and others beside it too. */
#include "../standin.h"

#include <string.h>

#define SAVING "00000000000000b1"
#define PLAIN "00000000000000b2"
#define CHECKPOINT_BYTES 256
#define CHECKPOINT_BYTES_CALM 16
/* Much more than the work of 5 s takes on a calm day. */
#define WAIT_S 36

static gboolean
has_run (const char *id)
{
  for (guint i = 0; i < D.all_runs->len; i++)
    if (g_str_has_prefix (((struct run *)D.all_runs->pdata[i])->task, id))
      return TRUE;
  return FALSE;
}

int
main (void)
{
  const char *state = "";
  gboolean completed = FALSE;

  deployment_start (3, 3, 8000);
  for (int i = 0; i < D.n_agents; i++)
    D.workers[i].checkpoint_bytes
        = trouble () ? CHECKPOINT_BYTES : CHECKPOINT_BYTES_CALM;
  if (submit (SAVING,
              "{\"spec\":\"work=5000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
              "\"memMb\":500,\"estimateMs\":5000,\"checkpointing\":true}]}",
              10000)
          / 100
      != 2)
    cannot_run ("the submission was not accepted");
  for (int i = 0; i < WAIT_S && !completed; i++)
    {
      run_for (1000);
      completed = strcmp (state_of (SAVING), "completed") == 0;
    }
  if (submit (PLAIN,
              "{\"spec\":\"work=500\",\"steps\":[{\"count\":1,\"cpu\":1000,"
              "\"memMb\":500,\"estimateMs\":500}]}",
              10000)
          / 100
      != 2)
    cannot_run ("the second submission was not accepted");
  run_for (15000);
  state = state_of (PLAIN);
  record ("verdict: first submission %s, %u runs in all; second: %s",
          completed ? "completed" : "not completed", D.all_runs->len, state);
  g_print ("first submission %s, %u runs in all; second: %s, %s\n",
           completed ? "completed" : "not completed", D.all_runs->len, state,
           has_run (PLAIN) ? "has run" : "has not run");
  deployment_stop ();
  return completed && strcmp (state, "completed") == 0 ? 0 : 1;
}

/* An entry that does not lead freezes. A client leaves that waits there for
   the answer to its submission, and cancels it at another entry. Once the
   cancelling has been acknowledged for `cancel_ms`, none of its tasks may
   start. */
#include "../standin.h"

#include <signal.h>
#include <string.h>

#define ID "00000000000000f1"
#define PATH "/jobs/" ID
#define FREEZE_MS 4000
/* The client leaves after this time without an answer. */
#define PATIENCE_MS 300
/* Bound of the rule. */
#define CANCEL_MS 3000

int
main (void)
{
  struct node *first;
  struct node *second;
  int64_t frozen_ms;
  int64_t acked_ms = 0;
  int leader;
  int n_late = 0;
  int status = 0;

  deployment_start (3, 7, 8000);
  leader = leader_number ();
  first = &D.nodes[(leader + 1) % D.n_entries];
  second = &D.nodes[(leader + 2) % D.n_entries];
  if (trouble ())
    node_signal (first, SIGSTOP);
  frozen_ms = now_ms ();
  status = call (first, "POST", PATH,
                 "{\"spec\":\"work=2000\",\"steps\":[{\"count\":4,"
                 "\"cpu\":1000,\"memMb\":500,\"estimateMs\":2000}]}",
                 PATIENCE_MS, NULL);
  record ("client: POST %s at %s: %d", ID, first->name, status);
  for (int i = 0; i < 5 && acked_ms == 0; i++)
    {
      status = call (second, "DELETE", PATH, NULL, 3000, NULL);
      record ("client: DELETE %s at %s: %d", ID, second->name, status);
      if (status / 100 == 2 || status == 410)
        acked_ms = now_ms ();
      else
        run_for (300);
    }
  if (acked_ms == 0)
    cannot_run ("the cancelling was not acknowledged");
  run_for (MAX (frozen_ms + FREEZE_MS - now_ms (), 0));
  node_signal (first, SIGCONT);
  run_for (6000);
  for (guint i = 0; i < D.all_runs->len; i++)
    {
      const struct run *run = D.all_runs->pdata[i];

      n_late += run->started_ms > acked_ms + CANCEL_MS;
    }
  state_of (ID);
  record (
      "verdict: %d tasks started later than %d ms after the cancelling was "
      "acknowledged with %d",
      n_late, CANCEL_MS, status);
  g_print ("%d tasks started later than %d ms after the cancelling was "
           "acknowledged with %d\n",
           n_late, CANCEL_MS, status);
  deployment_stop ();
  return n_late > 0 ? 1 : 0;
}

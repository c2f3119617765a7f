/* Endpoints whose time of day was stepped back. */
#include <glib.h>

#include "hyssopkeel/log.h"
#include "runner_support.h"

/* Guards against an instance that is lost until its agent restarts: lists and
   heartbeats of the new incarnation passed for late ones of an earlier one. */
static void
endpoints_with_an_earlier_start_time_run_tasks (void)
{
  struct fixture f;

  fixture_init (&f);
  f.rt.work_ms = 300;
  f.rt.start_time_ms = 5000;
  report_ready (&f);
  send_request (&f, 0, HK_JOB_REQUEST_SUBMIT);
  test_run_until (two_running, &f.rt);
  f.rt.unreachable = TRUE;
  test_run_for (500);
  memory_runtime_restart (&f.rt);
  f.rt.start_time_ms = 4000;
  f.rt.unreachable = FALSE;
  for (int i = 0; i < 20; i++)
    {
      report_ready (&f);
      test_run_for (100);
    }
  wait_job_done (&f, 0);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/clock_step/" #name, name)
  ADD (endpoints_with_an_earlier_start_time_run_tasks);
  return g_test_run ();
}

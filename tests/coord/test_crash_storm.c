/* Load pattern of review/3: after a change of the leader, racks of endpoints
   crash one after the other under tasks that last. */
#include <glib.h>
#include <string.h>

#include "../../src/coord/coord.h"
#include "coord_support.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/crash_blame.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
#define N_AGENTS 8
#define N_TASKS 16
/* The platform counts a task as lost after this time with room for it. */
#define WAIT_MAX_MS 3000
/* Time that a round of reports may add to what is seen. */
#define ROUND_MAX_MS 400

struct site
{
  struct memory_store store;
  struct hk_coord *c;
  struct agent agents[N_AGENTS];
};

static void
site_connect (struct site *s, const char *name)
{
  static const char *const names[N_AGENTS]
      = { "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8" };
  g_autofree char *address = NULL;

  s->c = coord_start (&s->store, name, &address);
  test_run_until (is_leading, s->c);
  for (int i = 0; i < N_AGENTS; i++)
    if (s->agents[i].name)
      agent_reconnect (&s->agents[i], address);
    else
      agent_init (&s->agents[i], names[i], address);
}

static unsigned
n_running (const struct site *s)
{
  unsigned n = 0;

  for (int i = 0; i < N_AGENTS; i++)
    n += s->agents[i].n_runs;
  return n;
}

/* All agents report at the same time; the load of each run changes. */
static void
site_round (struct site *s)
{
  for (int i = 0; i < N_AGENTS; i++)
    {
      struct agent *a = &s->agents[i];

      for (unsigned k = 0; k < a->n_runs; k++)
        {
          a->runs[k].percent = 100;
          a->runs[k].figure++;
        }
      report_send (a);
    }
  for (int i = 0; i < N_AGENTS; i++)
    {
      test_run_until (report_has_reply, &s->agents[i]);
      s->agents[i].n_ends = 0;
    }
}

static void
run_rounds (struct site *s, int64_t ms)
{
  int64_t limit_ms = hk_clock_ms () + ms;

  while (hk_clock_ms () < limit_ms)
    site_round (s);
}

static void
rack_crash (struct site *s, int first)
{
  for (int i = first; i < first + 3; i++)
    {
      struct agent *a = &s->agents[i];

      for (unsigned k = 0; k < a->n_runs; k++)
        a->ends[a->n_ends++] = (hk_run_end){ .task = a->runs[k].task,
                                             .run = a->runs[k].run,
                                             .how = HK_END_LOST,
                                             .checkpoint = (char *)"" };
      a->n_runs = 0;
    }
}

/* Guards against tasks that wait for tens of seconds with room for them: the
   age of the runs that a new leader took over counted from its takeover, so
   each looked as if it had crashed its endpoint at once, and was started apart
   from the others. */
static void
bystanders_are_not_kept_waiting (void)
{
  const unsigned counts[] = { N_TASKS, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, HK_STEP_SERVICE);
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = (char *)JOB,
                               .queue = (char *)"batch",
                               .job = { 1, spec } };
  struct request_result r = { 0 };
  int64_t crashed_ms;
  struct site s;

  memset (&s, 0, sizeof s);
  memory_store_init (&s.store);
  site_connect (&s, "e1");
  site_round (&s);
  hk_coord_request (s.c, &args, 5000, on_request_reply, &r);
  test_run_until (has_reply, &r);
  test_job_spec_free (spec);
  for (int i = 0; i < 20 && n_running (&s) < N_TASKS; i++)
    site_round (&s);
  g_assert_cmpuint (n_running (&s), ==, N_TASKS);
  run_rounds (&s, 1000);
  hk_coord_free (s.c);
  site_connect (&s, "e2");
  run_rounds (&s, 1500);
  rack_crash (&s, 0);
  site_round (&s);
  rack_crash (&s, 3);
  crashed_ms = hk_clock_ms ();
  while (n_running (&s) < N_TASKS
         && hk_clock_ms () - crashed_ms < 4 * WAIT_MAX_MS)
    site_round (&s);
  g_assert_cmpuint (n_running (&s), ==, N_TASKS);
  g_assert_cmpint (hk_clock_ms () - crashed_ms, <=,
                   WAIT_MAX_MS + ROUND_MAX_MS);
  for (int i = 0; i < N_AGENTS; i++)
    agent_finish (&s.agents[i]);
  hk_coord_free (s.c);
  memory_store_finish (&s.store);
}

static void
suspects_of_one_crash_wait_for_a_bounded_time (void)
{
  struct hk_crash_history once = { 0 };
  struct hk_crash_history twice = { 0 };

  hk_crash_count (&once, 100, 0);
  hk_crash_count (&twice, 100, 0);
  hk_crash_count (&twice, 100, 0);
  g_assert_cmpint (hk_crash_watch_waiting (&once, 0), ==, HK_CRASH_SHARED);
  g_assert_cmpint (hk_crash_watch_waiting (&once, 1900), ==, HK_CRASH_SHARED);
  g_assert_cmpint (hk_crash_watch_waiting (&once, WAIT_MAX_MS), ==,
                   HK_CRASH_UNWATCHED);
  g_assert_cmpint (hk_crash_watch_waiting (&twice, 10 * WAIT_MAX_MS), ==,
                   HK_CRASH_EXCLUSIVE);
}

/* Guards against room that is withheld from tasks without crashes: an instance
   takes no other start while a suspect runs apart there, which may be for as
   long as leaders change. */
static void
bystanders_wait_for_a_bounded_time (void)
{
  const unsigned counts[] = { 2, 0 };
  hk_job_spec *spec = test_job_spec_new (JOB, counts, HK_STEP_SERVICE);
  struct hk_engine e;
  struct hk_engine_job *job;
  struct hk_instance *in;

  hk_engine_init (&e);
  job = hk_engine_submit (&e, spec, 1000, 1000);
  in = hk_engine_instance_get (&e, "a1");
  hk_engine_run_watch (
      hk_engine_task_place (&job->steps[0].tasks[0], in, 1000),
      HK_CRASH_EXCLUSIVE);
  g_assert_false (coord_crash_admits (in, &job->steps[0].tasks[1], 2000));
  g_assert_true (coord_crash_admits (in, &job->steps[0].tasks[1],
                                     1000 + WAIT_MAX_MS - ROUND_MAX_MS));
  hk_engine_finish (&e);
  test_job_spec_free (spec);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/crash_storm/" #name, name)
  ADD (bystanders_are_not_kept_waiting);
  ADD (bystanders_wait_for_a_bounded_time);
  ADD (suspects_of_one_crash_wait_for_a_bounded_time);
  return g_test_run ();
}

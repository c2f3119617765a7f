/* Leases that a former agent of the endpoint has renewed. */
#include <glib.h>
#include <string.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/log.h"
#include "runner_support.h"

static const struct hk_runner_options options
    = { .name = "a1",
        .domain = "d",
        .authority = { 12000, 1000, 600 },
        .lease_max_ms = 6000 };

/* An endpoint that stops answering, while its runs go on. */
struct silent
{
  struct hk_runtime_ops ops;
  const struct hk_runtime_ops *real;
  gboolean on;
};

static struct silent silent;

struct late
{
  hk_runtime_done done;
  void *user;
};

static gboolean
time_out (gpointer data)
{
  g_autofree struct late *l = data;
  struct hk_runtime_list none = { 0 };
  struct hk_error err;

  hk_error_set (&err, HK_ERR_TIMEOUT, "runtime", "memory", "silent");
  l->done (HK_ERR_TIMEOUT, &none, 0, &err, l->user);
  return G_SOURCE_REMOVE;
}

static void
silent_renew (struct hk_runtime *rt, int64_t deadline_ms, uint64_t fence,
              uint64_t seen, int64_t wait_ms, hk_runtime_done done, void *user)
{
  struct late *l;

  if (!silent.on)
    {
      silent.real->renew (rt, deadline_ms, fence, seen, wait_ms, done, user);
      return;
    }
  l = g_new0 (struct late, 1);
  l->done = done;
  l->user = user;
  g_timeout_add (40, time_out, l);
}

static gboolean
is_set (void *user)
{
  return *(gboolean *)user;
}

static void
set_flag (void *user)
{
  *(gboolean *)user = TRUE;
}

static gboolean
none_run (void *user)
{
  return memory_runtime_n_running (user) == 0;
}

/* Guards against two runs of a task at once: an agent that leaves renews the
   leases for longer, and its successor counted on its own renewal only. */
static void
leases_of_an_agent_that_left_are_waited_for (void)
{
  struct fixture f;
  struct memory_runtime other;
  struct hk_runner_options other_options = options;
  struct hk_runner *second;
  gboolean left = FALSE;
  int started_beside = 0;

  fixture_init (&f);
  silent.real = f.rt.base.ops;
  silent.ops = *silent.real;
  silent.ops.renew = silent_renew;
  silent.on = FALSE;
  f.rt.base.ops = &silent.ops;
  f.rt.work_ms = 10000;
  send_request_with_flags (&f, 0, HK_JOB_REQUEST_SUBMIT, HK_STEP_SERVICE);
  test_run_until (two_running, &f.rt);
  /* The lease of the start itself is over. */
  test_run_for (1600);
  hk_runner_leave (f.runner, set_flag, &left);
  test_run_until (is_set, &left);
  hk_runner_free (f.runner);
  f.runner = hk_runner_new (&f.store.base, &f.rt.base, &options);
  hk_runner_start (f.runner);
  report_ready (&f);
  test_run_for (60);
  silent.on = TRUE;
  memory_runtime_init (&other);
  other_options.name = "a2";
  second = hk_runner_new (&f.store.base, &other.base, &other_options);
  hk_runner_start (second);
  report_ready_to (second, &other);
  for (int i = 0; i < 400 && !none_run (&f.rt); i++)
    {
      test_run_for (5);
      started_beside = MAX (started_beside, other.n_started);
    }
  g_assert_true (none_run (&f.rt));
  g_assert_cmpint (started_beside, ==, 0);
  hk_runner_free (second);
  fixture_finish (&f);
  memory_runtime_finish (&other);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/former_agent/" #name, name)
  ADD (leases_of_an_agent_that_left_are_waited_for);
  return g_test_run ();
}

/* Answers where a job would be placed, against simulated agents: they agree
   with the placement that follows. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/rpc_server.h"
#include "where_support.h"

/* Of the agents of coord_support.c. */
#define AGENT_CPU_MILLI 4000
#define AGENTS 3

static void
submit_spec (struct hk_coord *c, hk_job_spec *spec)
{
  struct request_result a = { 0 };
  hk_job_request_args args = { .kind = HK_JOB_REQUEST_SUBMIT,
                               .id = spec->id,
                               .queue = (char *)"batch",
                               .job = { 1, spec } };

  hk_coord_request (c, &args, 5000, on_request_reply, &a);
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_DONE);
}

/* A leader with agents that report, and a follower of it. */
struct site
{
  struct memory_store store;
  struct hk_coord *leader;
  struct hk_coord *follower;
  char *address;
  struct agent agents[AGENTS];
};

static gboolean
all_reported (void *user)
{
  struct site *s = user;

  for (int i = 0; i < AGENTS; i++)
    if (!report_has_reply (&s->agents[i]))
      return FALSE;
  return TRUE;
}

/* All at once, as each reply may be delayed and instances without a recent
   report get no runs. */
static void
site_report (struct site *s)
{
  for (int i = 0; i < AGENTS; i++)
    report_send (&s->agents[i]);
  test_run_until (all_reported, s);
}

static void
site_init (struct site *s)
{
  static const char *const names[AGENTS] = { "a1", "a2", "a3" };

  memset (s, 0, sizeof *s);
  memory_store_init (&s->store);
  s->leader = coord_start (&s->store, "e1", &s->address);
  test_run_until (is_leading, s->leader);
  s->follower = coord_start (&s->store, "e2", NULL);
  for (int i = 0; i < AGENTS; i++)
    agent_init (&s->agents[i], names[i], s->address);
  site_report (s);
}

static void
site_finish (struct site *s)
{
  for (int i = 0; i < AGENTS; i++)
    agent_finish (&s->agents[i]);
  hk_coord_free (s->follower);
  hk_coord_free (s->leader);
  g_free (s->address);
  memory_store_finish (&s->store);
}

static gboolean
any_started (void *user)
{
  struct site *s = user;

  site_report (s);
  for (int i = 0; i < AGENTS; i++)
    if (s->agents[i].starts > 0)
      return TRUE;
  return FALSE;
}

/* Name of the agent that gets the start order of a job. */
static const char *
start_of (struct site *s, hk_job_spec *spec)
{
  for (int i = 0; i < AGENTS; i++)
    s->agents[i].starts = 0;
  submit_spec (s->leader, spec);
  test_run_until (any_started, s);
  for (int i = 0; i < AGENTS; i++)
    if (s->agents[i].starts > 0)
      return s->agents[i].name;
  return "";
}

/* Guards against an answer by other rules than those of the placement. */
static void
tasks_go_where_the_answer_says (void)
{
  static const unsigned cpu_milli[] = { 3000, 2000, 1500, 2500, 1000 };
  struct site s;

  site_init (&s);
  for (guint i = 0; i < G_N_ELEMENTS (cpu_milli); i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      hk_job_spec *spec = one_task (id, cpu_milli[i]);
      struct result r;

      site_report (&s);
      where (s.leader, spec, &r);
      g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_DONE);
      g_assert_true (json_object_get_boolean (member (r.answer, "admitted")));
      g_assert_cmpstr (hk_json_str (first_step (&r), "decision"), ==, "place");
      g_assert_cmpstr (start_of (&s, spec), ==,
                       hk_json_str (first_step (&r), "instance"));
      json_object_put (r.answer);
      test_job_spec_free (spec);
    }
  site_finish (&s);
}

static void
followers_pass_the_question_on (void)
{
  hk_job_spec *spec = one_task ("0000000000000001", 1000);
  struct result r;
  struct site s;

  site_init (&s);
  where (s.follower, spec, &r);
  for (int i = 0; i < 100 && r.outcome != HK_JOB_REQUEST_DONE; i++)
    {
      test_run_for (20);
      site_report (&s);
      where (s.follower, spec, &r);
    }
  g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_DONE);
  g_assert_cmpstr (hk_json_str (r.answer, "coordinator"), ==, "e1");
  g_assert_cmpstr (hk_json_str (first_step (&r), "decision"), ==, "place");
  json_object_put (r.answer);
  test_job_spec_free (spec);
  site_finish (&s);
}

static void
answer_ping (struct hk_rpc_request *req, void *args, void *user)
{
  hk_ping_reply reply = { .leading = TRUE, .term = 1 };

  (void)args;
  (void)user;
  hk_rpc_reply (req, &reply);
}

/* Guards against a question that looks unanswered, or that costs the
   connection to the leader, while an older build leads. */
static void
leaders_of_older_builds_are_named (void)
{
  static const struct hk_rpc_handler handlers[]
      = { { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args, sizeof (hk_ping_args),
            (xdrproc_t)xdr_hk_ping_reply, answer_ping } };
  struct hk_rpc_server old = { .program = HK_COORD_PROGRAM,
                               .version = HK_COORD_V1,
                               .handlers = handlers,
                               .n_handlers = G_N_ELEMENTS (handlers) };
  hk_job_spec *spec = one_task ("0000000000000001", 1000);
  g_autofree char *address = NULL;
  struct memory_store store;
  struct hk_coord *leader;
  struct hk_coord *c;
  struct hk_error err;
  struct result r = { 0 };

  memory_store_init (&store);
  leader = coord_start (&store, "e1", &address);
  test_run_until (is_leading, leader);
  hk_coord_free (leader);
  g_assert_cmpint (hk_rpc_server_start (&old, address, &err), ==, HK_OK);
  c = coord_start (&store, "e2", NULL);
  for (int i = 0; i < 100 && r.outcome != HK_JOB_REQUEST_NOT_FOUND; i++)
    {
      test_run_for (20);
      where (c, spec, &r);
    }
  g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_NOT_FOUND);
  g_assert_cmpuint (old.connections, ==, 1);
  hk_coord_free (c);
  hk_rpc_server_stop (&old);
  test_job_spec_free (spec);
  memory_store_finish (&store);
}

static void
processes_that_do_not_lead_refuse (void)
{
  hk_job_spec *spec = one_task ("0000000000000001", 1000);
  struct memory_store store;
  struct hk_coord *c;
  struct result r;

  memory_store_init (&store);
  store.unavailable = TRUE;
  c = coord_start (&store, "e1", NULL);
  where (c, spec, &r);
  g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_REFUSED);
  g_assert_cmpuint (r.retry_after_s, >, 0);
  hk_coord_free (c);
  test_job_spec_free (spec);
  memory_store_finish (&store);
}

static void
reasons_are_counted_where_nothing_fits (void)
{
  hk_job_spec *spec = one_task ("0000000000000001", AGENT_CPU_MILLI + 1);
  struct result r;
  struct site s;

  site_init (&s);
  where (s.leader, spec, &r);
  g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_DONE);
  g_assert_cmpstr (hk_json_str (first_step (&r), "decision"), ==, "wait");
  g_assert_cmpint (count_others (&r, "full"), ==, AGENTS);
  json_object_put (r.answer);
  spec->steps.steps_val[0].cpu_milli = 1000;
  free (spec->steps.steps_val[0].label);
  spec->steps.steps_val[0].label = strdup ("other");
  where (s.leader, spec, &r);
  g_assert_cmpint (count_others (&r, "mismatch"), ==, AGENTS);
  json_object_put (r.answer);
  test_job_spec_free (spec);
  site_finish (&s);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/where/" #name, name)
  ADD (tasks_go_where_the_answer_says);
  ADD (followers_pass_the_question_on);
  ADD (processes_that_do_not_lead_refuse);
  ADD (reasons_are_counted_where_nothing_fits);
  ADD (leaders_of_older_builds_are_named);
  return g_test_run ();
}

/* Answers where a job would be placed, against simulated agents and in
   replayed passes: they agree with the placement that follows and change
   nothing. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/json.h"
#include "locality_support.h"

/* Of the agents of coord_support.c. */
#define AGENT_CPU_MILLI 4000
#define AGENTS 3
#define REPLAYED_JOBS 24

struct result
{
  int n_replies;
  hk_job_request_outcome outcome;
  unsigned retry_after_s;
  json_object *answer;
};

static void
on_where (const hk_where_reply *reply, void *user)
{
  struct result *r = user;

  r->n_replies++;
  r->outcome = reply->outcome;
  r->retry_after_s = reply->retry_after_s;
  if (reply->outcome == HK_JOB_REQUEST_DONE)
    g_assert_cmpint (hk_json_parse (&r->answer, reply->answer,
                                    strlen (reply->answer), "answer", NULL),
                     ==, HK_OK);
}

static gboolean
has_answer (void *user)
{
  return ((struct result *)user)->n_replies > 0;
}

static void
where (struct hk_coord *c, const hk_job_spec *spec, struct result *r)
{
  memset (r, 0, sizeof *r);
  hk_coord_where (c, spec, 2000, on_where, r);
  test_run_until (has_answer, r);
  g_assert_cmpint (r->n_replies, ==, 1);
}

static json_object *
member (json_object *obj, const char *key)
{
  json_object *value = NULL;

  json_object_object_get_ex (obj, key, &value);
  return value;
}

static json_object *
first_step (const struct result *r)
{
  return json_object_array_get_idx (member (r->answer, "steps"), 0);
}

static int64_t
count_others (const struct result *r, const char *reason)
{
  return json_object_get_int64 (
      member (member (first_step (r), "others"), reason));
}

static hk_job_spec *
one_task (const char *id, unsigned cpu_milli)
{
  const unsigned counts[] = { 1, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, 0);

  spec->steps.steps_val[0].cpu_milli = cpu_milli;
  return spec;
}

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

/* Replayed passes: the time of the fixture starts with the clock, which the
   question reads. */

static void
replay_init (struct fixture *f)
{
  fixture_init (f, FACTOR);
  f->now = hk_clock_ms ();
  f->c->state = COORD_LEADING;
  f->c->commit.confirmed_ms = f->now;
  f->c->store_answered_ms = f->now;
  advance (f, 0);
}

static hk_job_spec *
replayed_spec (const char *rack, unsigned flags, const char *image)
{
  hk_job_spec *spec = one_task ("0000000000000001", TASK_MILLI);
  hk_step_spec *step = &spec->steps.steps_val[0];

  step->flags = flags;
  step->estimate_ms = RUN_MS;
  free (step->rack);
  step->rack = strdup (rack);
  free (step->image);
  step->image = strdup (image);
  return spec;
}

static void
ask_replay (struct fixture *f, const char *rack, unsigned flags,
            const char *image, struct result *r)
{
  hk_job_spec *spec = replayed_spec (rack, flags, image);

  spec->target_ms = 5000;
  where (f->c, spec, r);
  g_assert_cmpint (r->outcome, ==, HK_JOB_REQUEST_DONE);
  test_job_spec_free (spec);
}

/* Places of jobs of all kinds, in the order of their submission. */
static void
replay_places (gboolean ask, int *places)
{
  static const unsigned flags[]
      = { HK_STEP_SPECULATIVE, HK_STEP_BEST_EFFORT, HK_STEP_SERVICE };
  static const char *const racks[] = { "", "r1" };
  struct hk_engine_task *tasks[REPLAYED_JOBS];
  struct fixture f;

  replay_init (&f);
  for (unsigned i = 0; i < REPLAYED_JOBS; i++)
    {
      const char *rack = racks[i % G_N_ELEMENTS (racks)];
      unsigned kind = flags[i % G_N_ELEMENTS (flags)];

      for (int k = 0; ask && k < 3; k++)
        {
          struct result r;

          ask_replay (&f, rack, flags[k], "image", &r);
          json_object_put (r.answer);
        }
      tasks[i] = submit_with_flags (&f, rack, TASK_MILLI, RUN_MS, 1, kind);
      pass (&f);
    }
  for (unsigned i = 0; i < REPLAYED_JOBS; i++)
    places[i] = place_of (&f, tasks[i]);
  fixture_finish (&f);
}

static void
questions_change_no_placement (void)
{
  int with[REPLAYED_JOBS];
  int without[REPLAYED_JOBS];

  replay_places (TRUE, with);
  replay_places (FALSE, without);
  g_assert_cmpmem (with, sizeof with, without, sizeof without);
}

/* Guards against state that only later decisions show: rates that views of
   candidates expire, the turn of candidates, numbers of images, estimates. */
static void
questions_change_no_learned_state (void)
{
  const struct hk_instance *in;
  struct hk_instance *cursor;
  struct result r;
  struct fixture f;

  replay_init (&f);
  in = f.instances[1];
  f.instances[1]->failure_rate = 0.75;
  f.instances[1]->run_time_ratio = 2.5;
  f.instances[1]->suspect_until_ms = f.now - 1000;
  cursor = f.c->engine.cursor = f.instances[2];
  submit_with_flags (&f, "", TASK_MILLI, RUN_MS, 1, HK_STEP_BEST_EFFORT);
  ask_replay (&f, "r1", HK_STEP_BEST_EFFORT, "new", &r);
  json_object_put (r.answer);
  g_assert_cmpfloat (in->failure_rate, ==, 0.75);
  g_assert_cmpfloat (in->run_time_ratio, ==, 2.5);
  g_assert_true (f.c->engine.cursor == cursor);
  g_assert_cmpuint (g_hash_table_size (f.c->engine.jobs), ==, 1);
  g_assert_cmpuint (g_hash_table_size (f.c->mean_work), ==, 0);
  g_assert_cmpint (TAILQ_FIRST (&f.c->engine.active)->order_ms, ==, 0);
  g_assert_false (
      g_hash_table_contains (f.c->interference_model.images, "new"));
  fixture_finish (&f);
}

static void
add_instances (struct fixture *f, struct coord_link *links, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    {
      g_autofree char *name = g_strdup_printf ("b%u", i);
      struct hk_instance *in = hk_engine_instance_get (&f->c->engine, name);

      links[i] = (struct coord_link){ .c = f->c, .in = in, .described = TRUE };
      coord_sharing_init (&links[i].sharing);
      in->link = &links[i];
      in->pool = g_strdup ("pool");
      in->cpu_milli = CPU_MILLI;
      in->memory_mb = 1000;
      in->capacity_known = TRUE;
      in->last_report_ms = f->now;
    }
}

/* Guards against an unbounded look at the instances, and against one that
   takes the turn of candidates from the next pass. */
static void
the_look_at_instances_is_bounded (void)
{
  static struct coord_link links[HK_PASS_CANDIDATES_MAX];
  struct result r;
  struct fixture f;

  replay_init (&f);
  add_instances (&f, links, G_N_ELEMENTS (links));
  ask_replay (&f, "", HK_STEP_SPECULATIVE, "", &r);
  g_assert_null (f.c->engine.cursor);
  g_assert_cmpint (hk_json_int (first_step (&r), "not_examined"), ==,
                   INSTANCES);
  g_assert_cmpuint (
      json_object_array_length (member (first_step (&r), "best")), ==, 5);
  g_assert_cmpint (count_others (&r, "fits"), ==, HK_PASS_CANDIDATES_MAX - 5);
  json_object_put (r.answer);
  for (guint i = 0; i < G_N_ELEMENTS (links); i++)
    {
      coord_sharing_finish (&links[i].sharing);
      links[i].in->link = NULL;
    }
  fixture_finish (&f);
}

/* Guards against an answer without the wait for a slot near the data. */
static void
the_wait_for_a_near_slot_is_told (void)
{
  const unsigned busy_ms[] = { 300, 60000 };

  for (guint i = 0; i < G_N_ELEMENTS (busy_ms); i++)
    {
      struct hk_engine_task *task;
      struct fixture f;
      struct result r;
      gboolean waits;

      replay_init (&f);
      fill_rack (&f, busy_ms[i], busy_ms[i]);
      ask_replay (&f, "r1", HK_STEP_SPECULATIVE, "", &r);
      g_assert_nonnull (member (first_step (&r), "near_wait"));
      waits = strcmp (hk_json_str (first_step (&r), "decision"), "wait_near")
              == 0;
      g_assert_true (waits == (i == 0));
      task = submit_near (&f);
      coord_schedule (f.c, f.now);
      g_assert_true (waits == (place_of (&f, task) == -1));
      if (!waits)
        g_assert_cmpstr (hk_json_str (first_step (&r), "instance"), ==,
                         f.instances[place_of (&f, task)]->name);
      json_object_put (r.answer);
      fixture_finish (&f);
    }
}

/* Guards against an answer that ignores the queue at the rack: one slot is
   free soon, and a task that gains more waits for it. */
static void
tasks_that_wait_already_come_first (void)
{
  struct hk_engine_task *first;
  struct hk_engine_task *task;
  struct fixture f;
  struct result r;

  replay_init (&f);
  run_on (&f, 0, TASK_MILLI, 300);
  run_on (&f, 0, CPU_MILLI - TASK_MILLI, 60000);
  run_on (&f, 1, CPU_MILLI, 60000);
  first = submit (&f, "r1", TASK_MILLI, 2 * RUN_MS, 1);
  coord_schedule (f.c, f.now);
  g_assert_cmpint (place_of (&f, first), ==, -1);
  ask_replay (&f, "r1", HK_STEP_SPECULATIVE, "", &r);
  g_assert_cmpstr (hk_json_str (first_step (&r), "decision"), ==, "place");
  task = submit_near (&f);
  coord_schedule (f.c, f.now);
  g_assert_cmpint (place_of (&f, first), ==, -1);
  g_assert_cmpint (place_of (&f, task), >=, 0);
  g_assert_cmpstr (hk_json_str (first_step (&r), "instance"), ==,
                   f.instances[place_of (&f, task)]->name);
  json_object_put (r.answer);
  fixture_finish (&f);
}

/* A question would delay the passes that the backlog needs. */
static void
overloaded_coordinators_refuse (void)
{
  hk_job_spec *spec = one_task ("0000000000000001", 1000);
  struct fixture f;
  struct result r;

  replay_init (&f);
  f.c->round_open = TRUE;
  where (f.c, spec, &r);
  g_assert_cmpint (r.outcome, ==, HK_JOB_REQUEST_REFUSED);
  g_assert_cmpuint (r.retry_after_s, >, 0);
  test_job_spec_free (spec);
  fixture_finish (&f);
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
  ADD (questions_change_no_placement);
  ADD (questions_change_no_learned_state);
  ADD (the_look_at_instances_is_bounded);
  ADD (the_wait_for_a_near_slot_is_told);
  ADD (tasks_that_wait_already_come_first);
  ADD (leaders_of_older_builds_are_named);
  ADD (overloaded_coordinators_refuse);
  return g_test_run ();
}

/* Racks of many instances, and instances with unusual labels. */
#include "hyssopkeel/pass_budget.h"
#include "locality_support.h"

#define FREE_INSTANCES 8
#define SERVICE_MS 600000

static void
fill (struct fixture *f, struct hk_instance *in)
{
  struct hk_engine_task *task = submit (f, "", CPU_MILLI, SERVICE_MS, 1);

  hk_engine_task_place (task, in, f->now)->started_ms = f->now;
}

/* Fills the instances at the head of a rack that is larger than the number of
   candidates of a pass. Returns a task with data there. */
static struct hk_engine_task *
submit_near_large_rack (struct fixture *f)
{
  for (unsigned i = 0; i < HK_PASS_CANDIDATES_MAX + FREE_INSTANCES; i++)
    {
      struct hk_instance *in = add_instance (f, "a,r3");

      if (i < HK_PASS_CANDIDATES_MAX)
        fill (f, in);
    }
  return submit (f, "r3", TASK_MILLI, RUN_MS, 1);
}

/* Guards against a task that stands still because a pass looks at the same
   full instances of its rack each time. */
static void
free_slots_of_large_racks_are_found (void)
{
  struct fixture f;
  struct hk_engine_task *task;

  fixture_init (&f, 0);
  for (unsigned i = 0; i < INSTANCES; i++)
    run_on (&f, i, CPU_MILLI, SERVICE_MS);
  task = submit_near_large_rack (&f);
  pass (&f);
  pass (&f);
  g_assert_nonnull (task->runs[0]);
  g_assert_true (coord_has_label (task->runs[0]->instance, "r3"));
  fixture_finish (&f);
}

/* Guards against a task that stands still although another rack has free
   slots, because its own rack takes all candidates of a pass. */
static void
large_racks_leave_candidates_to_others (void)
{
  struct fixture f;
  struct hk_engine_task *task;
  struct hk_instance *in;

  fixture_init (&f, FACTOR);
  task = submit_near_large_rack (&f);
  TAILQ_FOREACH (in, &f.c->engine.instance_list, next)
  if (coord_has_label (in, "r3") && LIST_EMPTY (&in->runs))
    fill (&f, in);
  pass (&f);
  g_assert_nonnull (task->runs[0]);
  fixture_finish (&f);
}

/* Guards against more runs than an instance has CPUs for: it is one candidate,
   however often its report has the label. */
static void
repeated_labels_add_no_capacity (void)
{
  hk_step_spec step = { .count = 2 * CPU_MILLI / TASK_MILLI,
                        .cpu_milli = TASK_MILLI,
                        .memory_mb = 100,
                        .label = (char *)"r3",
                        .rack = (char *)"r3",
                        .image = (char *)"" };
  hk_job_spec spec = { .id = (char *)"1111111111111111",
                       .queue = (char *)"short",
                       .pool = (char *)"pool",
                       .steps = { 1, &step } };
  struct fixture f;
  struct hk_instance *in;

  fixture_init (&f, FACTOR);
  in = add_instance (&f, "a,r3,r3");
  hk_engine_submit (&f.c->engine, &spec, f.now, f.now);
  pass (&f);
  g_assert_cmpuint (in->used_cpu_milli, ==, CPU_MILLI);
  fixture_finish (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/locality_racks/" #name, name)
  ADD (free_slots_of_large_racks_are_found);
  ADD (large_racks_leave_candidates_to_others);
  ADD (repeated_labels_add_no_capacity);
  return g_test_run ();
}

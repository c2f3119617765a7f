/* Verbs on jobs. They read and write the store of the platform directly. */
#include <string.h>

#include "cli.h"
#include "hyssopkeel/id.h"
#include "hyssopkeel/job_ops.h"

/* A call of the job functions that is in progress. */
struct job_call
{
  struct cli *cli;
  int code;
};

static void
print_job (struct cli *cli, const struct hk_job *job)
{
  if (cli->json)
    {
      cli_print_json (hk_job_describe (job));
      return;
    }
  g_print ("%s  route=%s state=%s epoch=%" PRId64 " attempts=%" PRId64
           " evictions=%" PRId64,
           job->id, job->route, job->state_name, job->epoch, job->attempts,
           job->evictions);
  if (job->instance)
    g_print (" instance=%s", job->instance);
  if (job->reason)
    g_print (" reason=\"%s\"", job->reason);
  if (job->result)
    g_print (" result=\"%s\"", job->result);
  if (job->cancel && job->state == HK_JOB_RUNNING)
    g_print (" (being cancelled)");
  g_print ("\n");
}

static void
on_job (int rc, const struct hk_job *job, const struct hk_error *err,
        void *user)
{
  struct job_call *w = user;

  if (rc == HK_OK)
    print_job (w->cli, job);
  w->code = rc == HK_OK ? CLI_OK : cli_fail (err);
  cli_wake (w->cli);
}

static int
load_tables (struct cli *cli, struct hk_tables *tables)
{
  g_autoptr (GPtrArray) values = NULL;
  struct hk_error err = { 0 };

  if (cli_read (cli, HK_KEY_TABLES, FALSE, &values, &err) < 0)
    return cli_fail (&err);
  if (values->len == 0)
    {
      g_printerr ("hyssopkeel: job not submitted: no tables have been applied "
                  "yet\n");
      return CLI_NOT_FOUND;
    }
  if (hk_tables_read (tables, g_ptr_array_index (values, 0), "tables", &err)
      < 0)
    return cli_fail (&err);
  return CLI_OK;
}

static int
submit_request (struct cli *cli, json_object *request)
{
  struct job_call w = { .cli = cli };
  struct hk_error err = { 0 };
  struct hk_job job = { 0 };
  struct hk_tables tables;
  int code;

  hk_tables_init (&tables);
  code = load_tables (cli, &tables);
  if (code == CLI_OK && hk_job_read_request (&job, request, &tables, &err) < 0)
    code = cli_fail (&err);
  hk_tables_finish (&tables);
  if (code != CLI_OK)
    return code;
  hk_job_submit (&cli->store.base, &job, NULL, on_job, &w);
  cli_wait (cli);
  if (w.code == CLI_UNKNOWN)
    g_printerr ("The job id is %s.\n", job.id);
  hk_job_finish (&job);
  return w.code;
}

static void
add_text (json_object *obj, const char *key, const char *value)
{
  if (value)
    json_object_object_add (obj, key, json_object_new_string (value));
}

static void
add_number (json_object *obj, const char *key, gint64 value)
{
  if (value >= 0)
    json_object_object_add (obj, key, json_object_new_int64 (value));
}

static int
jobs_submit (struct cli *cli, int argc, char **argv)
{
  g_autofree char *id = NULL;
  g_autofree char *team = NULL;
  g_autofree char *payload = NULL;
  gint64 cpu = -1;
  gint64 memory = -1;
  gint64 accelerators = -1;
  GOptionEntry options[]
      = { { "id", 0, 0, G_OPTION_ARG_STRING, &id,
            "Job id; submitting the same id twice creates one job", "ID" },
          { "team", 0, 0, G_OPTION_ARG_STRING, &team, "Team", "TEAM" },
          { "payload", 0, 0, G_OPTION_ARG_STRING, &payload,
            "Text that is passed to the worker", "TEXT" },
          { "cpu-milli", 0, 0, G_OPTION_ARG_INT64, &cpu, "CPUs, thousandths",
            "N" },
          { "memory-mb", 0, 0, G_OPTION_ARG_INT64, &memory,
            "Memory, megabytes", "N" },
          { "accelerators", 0, 0, G_OPTION_ARG_INT64, &accelerators,
            "Accelerators", "N" },
          { NULL } };
  g_autoptr (json_object) request = NULL;

  if (!cli_parse (&argc, &argv, options, "ROUTE", "Submit a job.", 1, 1))
    return CLI_USAGE;
  request = json_object_new_object ();
  add_text (request, "route", argv[1]);
  add_text (request, "id", id);
  add_text (request, "team", team);
  add_text (request, "payload", payload);
  add_number (request, "cpu_milli", cpu);
  add_number (request, "memory_mb", memory);
  add_number (request, "accelerators", accelerators);
  return submit_request (cli, request);
}

static int
run_on_job (struct cli *cli, int argc, char **argv, const char *summary,
            void (*call) (struct hk_store *store, const char *id,
                          hk_job_done done, void *user))
{
  struct job_call w = { .cli = cli };

  if (!cli_parse (&argc, &argv, NULL, "ID", summary, 1, 1))
    return CLI_USAGE;
  if (!hk_id_valid (argv[1], 128))
    {
      g_printerr ("hyssopkeel: \"%s\" is not a job id\n", argv[1]);
      return CLI_USAGE;
    }
  call (&cli->store.base, argv[1], on_job, &w);
  cli_wait (cli);
  return w.code;
}

static int
jobs_show (struct cli *cli, int argc, char **argv)
{
  return run_on_job (cli, argc, argv, "Show one job.", hk_job_fetch);
}

static int
jobs_cancel (struct cli *cli, int argc, char **argv)
{
  return run_on_job (cli, argc, argv,
                     "Cancel a job; a running one is stopped by its agent.",
                     hk_job_cancel);
}

static int
jobs_list (struct cli *cli, int argc, char **argv)
{
  g_autoptr (GPtrArray) values = NULL;
  g_autofree char *state = NULL;
  struct hk_error err = { 0 };
  GOptionEntry options[] = { { "state", 0, 0, G_OPTION_ARG_STRING, &state,
                               "Only jobs in this state", "STATE" },
                             { NULL } };
  json_object *array;

  if (!cli_parse (&argc, &argv, options, "", "List jobs.", 0, 0))
    return CLI_USAGE;
  if (cli_read (cli, HK_KEY_JOBS, TRUE, &values, &err) < 0)
    return cli_fail (&err);
  array = json_object_new_array ();
  for (guint i = 0; i < values->len; i++)
    {
      json_object *obj = g_ptr_array_index (values, i);
      const char *text = json_object_to_json_string (obj);
      struct hk_job job = { 0 };

      if (state && g_strcmp0 (hk_json_str (obj, "state"), state) != 0)
        continue;
      if (hk_job_parse (&job, text, strlen (text), NULL) < 0)
        continue;
      if (cli->json)
        json_object_array_add (array, hk_job_describe (&job));
      else
        print_job (cli, &job);
      hk_job_finish (&job);
    }
  if (cli->json)
    cli_print_json (array);
  else
    json_object_put (array);
  return CLI_OK;
}

int
cli_jobs (struct cli *cli, int argc, char **argv)
{
  static const struct cli_verb verbs[]
      = { { "submit", "ROUTE", "Submit a job", jobs_submit },
          { "show", "ID", "Show one job", jobs_show },
          { "list", "", "List jobs", jobs_list },
          { "cancel", "ID", "Cancel a job", jobs_cancel } };

  for (guint i = 0; argc > 1 && i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (argv[1], verbs[i].name) == 0)
      {
        g_set_prgname (verbs[i].name);
        return verbs[i].run (cli, argc - 1, argv + 1);
      }
  g_printerr ("hyssopkeel: jobs needs one of submit ROUTE, show ID, list, "
              "cancel ID; each has --help\n");
  return argc > 1 && strcmp (argv[1], "--help") == 0 ? CLI_OK : CLI_USAGE;
}

/* Fixtures of coordinators, simulated agents and clients. */
#include "coord_support.h"

#include <string.h>

static const struct hk_rpc_method sync_method
    = { HK_COORD_SYNC, (xdrproc_t)xdr_hk_sync_args,
        (xdrproc_t)xdr_hk_sync_reply, sizeof (hk_sync_reply) };

struct hk_coord *
coord_start_with (struct hk_store *store, struct hk_coord_options options,
                  const char *name, char **address)
{
  g_autofree char *addr
      = options.address ? g_strdup (options.address) : test_address ();
  struct hk_error err;
  struct hk_coord *c;

  options.name = name;
  options.address = addr;
  c = hk_coord_new (store, &options);
  g_assert_cmpint (hk_coord_start (c, &err), ==, HK_OK);
  if (address)
    *address = g_steal_pointer (&addr);
  return c;
}

struct hk_coord *
coord_start (struct memory_store *s, const char *name, char **address)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;

  return coord_start_with (&s->base, options, name, address);
}

gboolean
is_leading (void *user)
{
  return hk_coord_leading (user);
}

void
on_request_reply (const hk_job_request_reply *reply, void *user)
{
  struct request_result *a = user;

  a->n_replies++;
  a->outcome = reply->outcome;
  a->state = reply->state;
}

gboolean
has_reply (void *user)
{
  return ((struct request_result *)user)->n_replies > 0;
}

gboolean
store_works (void *user)
{
  struct request_result a;
  static unsigned n;
  g_autofree char *id = g_strdup_printf ("3%015x", n++);

  send_request (user, HK_JOB_REQUEST_SUBMIT, id, &a);
  test_run_until (has_reply, &a);
  return a.outcome == HK_JOB_REQUEST_DONE;
}

void
send_request_with_flags (struct hk_coord *c, hk_job_request_kind kind,
                         const char *id, unsigned flags,
                         struct request_result *a)
{
  const unsigned counts[] = { 2, 1, 0 };
  hk_job_spec *spec = test_job_spec_new (id, counts, flags);
  hk_job_request_args args
      = { .kind = kind, .id = (char *)id, .queue = (char *)"batch" };

  memset (a, 0, sizeof *a);
  if (kind == HK_JOB_REQUEST_SUBMIT)
    {
      args.job.job_len = 1;
      args.job.job_val = spec;
    }
  hk_coord_request (c, &args, 5000, on_request_reply, a);
  test_job_spec_free (spec);
}

void
send_request (struct hk_coord *c, hk_job_request_kind kind, const char *id,
              struct request_result *a)
{
  send_request_with_flags (c, kind, id, 0, a);
}

static void
on_synced (int rc, void *result, const struct hk_error *err, void *user)
{
  struct agent *a = user;
  const hk_sync_reply *reply = result;

  (void)err;
  if (rc == HK_ERR_STOPPED)
    return;
  g_assert_cmpint (rc, ==, HK_OK);
  a->n_replies++;
  a->leading = reply->leading;
  a->term = reply->term;
  a->grant_ms = reply->grant_ms;
  a->starts += (int)reply->starts.starts_len;
  a->stops += (int)reply->stops.stops_len;
  if (reply->stops.stops_len > 0)
    a->stopped_index
        = reply->stops.stops_val[reply->stops.stops_len - 1].task.index;
  a->acknowledged += (int)reply->committed_ends.committed_ends_len;
  for (u_int i = 0; i < reply->starts.starts_len; i++)
    {
      hk_run_report *run = &a->runs[a->n_runs++];

      run->task = reply->starts.starts_val[i].task;
      run->task.job = g_strdup (run->task.job);
      run->run = reply->starts.starts_val[i].run;
      run->started = TRUE;
      run->known = TRUE;
      run->checkpoint = g_strdup ("");
      a->last_run = run->run;
    }
}

gboolean
report_has_reply (void *user)
{
  return ((struct agent *)user)->n_replies > 0;
}

void
report_send (struct agent *a)
{
  hk_label label = { .text = (char *)a->rack };
  hk_sync_args args = { .agent = (char *)a->name,
                        .domain = (char *)a->domain,
                        .endpoint_started_ms = a->endpoint_started_ms,
                        .described = TRUE,
                        .draining = a->draining,
                        .leaving = a->final_lease_ms > 0,
                        .final_lease_ms = a->final_lease_ms,
                        .drain_left_ms = a->draining ? 60000 : 0,
                        .pool = (char *)"pool",
                        .cpu_milli = 4000,
                        .memory_mb = 4000 };

  args.labels.labels_len = a->rack != NULL;
  args.labels.labels_val = &label;
  args.runs.runs_len = a->n_runs;
  args.runs.runs_val = a->runs;
  args.ends.ends_len = a->n_ends;
  args.ends.ends_val = a->ends;
  a->n_replies = 0;
  hk_rpc_call (&a->channel, &sync_method, &args, 3000, on_synced, a);
}

void
report (struct agent *a)
{
  report_send (a);
  test_run_until (report_has_reply, a);
}

gboolean
two_started (void *user)
{
  struct agent *a = user;

  if (a->starts >= 2)
    return TRUE;
  report (a);
  return a->starts >= 2;
}

void
agent_init (struct agent *a, const char *name, const char *address)
{
  memset (a, 0, sizeof *a);
  a->name = name;
  a->domain = "d";
  a->endpoint_started_ms = 5;
  hk_rpc_channel_init (&a->channel, address, HK_COORD_PROGRAM, HK_COORD_V1);
}

void
agent_reconnect (struct agent *a, const char *address)
{
  hk_rpc_channel_finish (&a->channel);
  hk_rpc_channel_init (&a->channel, address, HK_COORD_PROGRAM, HK_COORD_V1);
}

void
agent_finish (struct agent *a)
{
  hk_rpc_channel_finish (&a->channel);
}

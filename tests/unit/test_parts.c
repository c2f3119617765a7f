/* Unit tests that need an event loop: store records, RPC, supervisors. */
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "fake_store.h"
#include "hyssopkeel/clock.h"
#include "hyssopkeel/hk_rpc_xdr.h"
#include "hyssopkeel/record.h"
#include "hyssopkeel/rpc_channel.h"
#include "hyssopkeel/rpc_server.h"
#include "hyssopkeel/task.h"

/* Timeout of calls and waits that are expected to succeed. */
#define LIMIT_MS 20000

static void
wait_for_count (const int *count, int wanted)
{
  int64_t limit_ms = hk_clock_ms () + LIMIT_MS;

  while (*count < wanted)
    {
      g_assert_cmpint (hk_clock_ms (), <, limit_ms);
      g_main_context_iteration (NULL, TRUE);
    }
}

/* Store records */

struct put_result
{
  int n_done;
  int rc;
  int64_t revision;
};

static void
on_put (int rc, const struct hk_store_kv *current, const struct hk_error *err,
        void *user)
{
  struct put_result *result = user;

  (void)err;
  result->n_done++;
  result->rc = rc;
  result->revision = current ? current->mod_revision : -1;
}

static void
record_put_survives_lost_requests_and_replies (void)
{
  struct fake_store s;
  struct put_result result = { 0 };

  fake_store_init (&s);
  s.drop_requests = 1;
  s.drop_replies = 2;
  hk_record_put (&s.base, "k", 0, "{\"write_id\":\"w1\"}", "w1", LIMIT_MS,
                 on_put, &result);
  wait_for_count (&result.n_done, 1);
  g_assert_cmpint (result.rc, ==, HK_OK);
  g_assert_cmpint (s.writes, ==, 1);
  g_assert_cmpint (result.revision, ==, 1);
  hk_record_put (&s.base, "k", 0, "{\"write_id\":\"w2\"}", "w2", LIMIT_MS,
                 on_put, &result);
  wait_for_count (&result.n_done, 2);
  g_assert_cmpint (result.rc, ==, HK_ERR_CONFLICT);
  g_assert_cmpint (s.writes, ==, 1);
  fake_store_finish (&s);
}

static void
record_put_times_out_if_outcome_is_unknown (void)
{
  struct fake_store s;
  struct put_result result = { 0 };

  fake_store_init (&s);
  s.drop_requests = 1000;
  hk_record_put (&s.base, "k", 0, "{\"write_id\":\"w1\"}", "w1", 300, on_put,
                 &result);
  wait_for_count (&result.n_done, 1);
  g_assert_cmpint (result.rc, ==, HK_ERR_TIMEOUT);
  fake_store_finish (&s);
}

/* RPC */

struct peer
{
  struct hk_rpc_server server;
  struct hk_rpc_request *delayed;
  int calls;
};

struct call_result
{
  int n_done;
  int rc;
  int64_t revision;
  char text[320];
};

static void
handle_snapshot (struct hk_rpc_request *rpc, void *args, void *user)
{
  struct peer *p = user;
  const hk_rpc_snapshot_args *have = args;
  hk_rpc_tables reply = { .revision = have->table_revision + 1 };

  p->calls++;
  /* A negative revision delays the reply, as a slow peer would. */
  if (have->table_revision < 0)
    p->delayed = rpc;
  else
    hk_rpc_reply (rpc, &reply);
}

static const struct hk_rpc_handler handlers[]
    = { { HK_ENTRY_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_snapshot_args,
          sizeof (hk_rpc_snapshot_args), (xdrproc_t)xdr_hk_rpc_tables,
          handle_snapshot } };

static const struct hk_rpc_method snapshot
    = { HK_ENTRY_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_snapshot_args,
        (xdrproc_t)xdr_hk_rpc_tables, sizeof (hk_rpc_tables) };

static char *
start_peer (struct peer *p, uint32_t version)
{
  struct hk_error err = { 0 };
  char *address
      = g_strdup_printf ("127.%d.%d.1:7000", 100 + (int)(getpid () >> 8) % 100,
                         (int)getpid () & 0xff);

  p->server.program = HK_ENTRY_PROGRAM;
  p->server.version = version;
  p->server.handlers = handlers;
  p->server.n_handlers = 1;
  p->server.user = p;
  if (hk_rpc_server_start (&p->server, address, &err) < 0)
    g_error ("%s", err.text);
  return address;
}

static void
on_snapshot (int rc, void *result, const struct hk_error *err, void *user)
{
  struct call_result *a = user;

  (void)err;
  a->n_done++;
  a->rc = rc;
  if (rc == HK_OK)
    a->revision = ((hk_rpc_tables *)result)->revision;
}

static void
call_snapshot (struct hk_rpc_channel *ch, struct call_result *a, int64_t have,
               int64_t timeout_ms)
{
  hk_rpc_snapshot_args args = { have };

  hk_rpc_call (ch, &snapshot, &args, timeout_ms, on_snapshot, a);
}

static void
rpc_matches_replies_and_drops_late_ones (void)
{
  struct peer p = { 0 };
  struct call_result calls[100] = { 0 };
  struct call_result late = { 0 };
  struct call_result next = { 0 };
  struct hk_rpc_channel ch;
  hk_rpc_tables reply = { 0 };
  g_autofree char *address = start_peer (&p, HK_ENTRY_V1);

  hk_rpc_channel_init (&ch, address, HK_ENTRY_PROGRAM, HK_ENTRY_V1);
  for (int i = 0; i < 100; i++)
    call_snapshot (&ch, &calls[i], i, LIMIT_MS);
  for (int i = 0; i < 100; i++)
    {
      wait_for_count (&calls[i].n_done, 1);
      g_assert_cmpint (calls[i].revision, ==, i + 1);
    }
  call_snapshot (&ch, &late, -5, 50);
  wait_for_count (&late.n_done, 1);
  g_assert_cmpint (late.rc, ==, HK_ERR_TIMEOUT);
  hk_rpc_reply (p.delayed, &reply);
  call_snapshot (&ch, &next, 7, LIMIT_MS);
  wait_for_count (&next.n_done, 1);
  g_assert_cmpint (next.revision, ==, 8);
  g_assert_cmpint (late.n_done, ==, 1);
  hk_rpc_channel_finish (&ch);
  hk_rpc_server_stop (&p.server);
}

static void
rpc_falls_back_to_older_version (void)
{
  struct peer p = { 0 };
  struct call_result a = { 0 };
  struct hk_rpc_channel ch;
  g_autofree char *address = start_peer (&p, 1);

  hk_rpc_channel_init (&ch, address, HK_ENTRY_PROGRAM, 3);
  call_snapshot (&ch, &a, 1, LIMIT_MS);
  wait_for_count (&a.n_done, 1);
  g_assert_cmpint (a.rc, ==, HK_OK);
  g_assert_cmpint (ch.version, ==, 1);
  hk_rpc_channel_finish (&ch);
  hk_rpc_server_stop (&p.server);
}

static void
rpc_reports_calls_that_were_never_sent (void)
{
  struct peer p = { 0 };
  struct call_result a = { 0 };
  struct call_result b = { 0 };
  struct hk_rpc_channel ch;
  g_autofree char *address = start_peer (&p, HK_ENTRY_V1);

  hk_rpc_channel_init (&ch, address, HK_ENTRY_PROGRAM, HK_ENTRY_V1);
  call_snapshot (&ch, &a, -1, LIMIT_MS);
  while (p.calls == 0)
    g_main_context_iteration (NULL, TRUE);
  hk_rpc_server_stop (&p.server);
  wait_for_count (&a.n_done, 1);
  g_assert_cmpint (a.rc, ==, HK_ERR_IO);
  call_snapshot (&ch, &b, 1, LIMIT_MS);
  wait_for_count (&b.n_done, 1);
  g_assert_cmpint (b.rc, ==, HK_ERR_UNAVAILABLE);
  hk_rpc_channel_finish (&ch);
  call_snapshot (&ch, &b, 1, LIMIT_MS);
  wait_for_count (&b.n_done, 2);
  g_assert_cmpint (b.rc, ==, HK_ERR_UNAVAILABLE);
}

/* Records the text of a failure. */
static void
on_oversized (int rc, void *result, const struct hk_error *err, void *user)
{
  struct call_result *a = user;

  (void)result;
  a->n_done++;
  a->rc = rc;
  g_strlcpy (a->text, err ? err->text : "", sizeof a->text);
}

/* Guards against messages over a limit that vanish: the caller waited for its
   time-out, and no text said what was too big. */
static void
rpc_names_what_is_over_a_limit (void)
{
  static const struct hk_rpc_method tables
      = { HK_ENTRY_SNAPSHOT, (xdrproc_t)xdr_hk_rpc_tables,
          (xdrproc_t)xdr_hk_rpc_tables, sizeof (hk_rpc_tables) };
  struct peer p = { 0 };
  struct call_result a = { 0 };
  struct hk_rpc_channel ch;
  g_autofree char *text = g_malloc0 (2 * HK_RPC_MAX_STORE_VALUE);
  hk_rpc_tables big = { .text = { 2 * HK_RPC_MAX_STORE_VALUE, text } };
  g_autofree char *address = start_peer (&p, HK_ENTRY_V1);

  hk_rpc_channel_init (&ch, address, HK_ENTRY_PROGRAM, HK_ENTRY_V1);
  hk_rpc_call (&ch, &tables, &big, LIMIT_MS, on_oversized, &a);
  wait_for_count (&a.n_done, 1);
  g_assert_cmpint (a.rc, ==, HK_ERR_UNAVAILABLE);
  g_assert_nonnull (strstr (a.text, "procedure 2"));
  g_assert_nonnull (strstr (a.text, "bytes"));
  call_snapshot (&ch, &a, -1, LIMIT_MS);
  while (!p.delayed)
    g_main_context_iteration (NULL, TRUE);
  hk_rpc_reply (p.delayed, &big);
  wait_for_count (&a.n_done, 2);
  g_assert_cmpint (a.rc, ==, HK_ERR_PROTOCOL);
  hk_rpc_channel_finish (&ch);
  hk_rpc_server_stop (&p.server);
}

/* Supervisors */

struct counting_task
{
  struct hk_task task;
  int starts;
  int stops;
  int messages;
};

static int
count_start (struct hk_task *task, struct hk_error *err)
{
  (void)err;
  ((struct counting_task *)task)->starts++;
  return HK_OK;
}

static void
count_stop (struct hk_task *task)
{
  ((struct counting_task *)task)->stops++;
}

static void
count_message (struct hk_task *task, struct hk_msg *msg)
{
  ((struct counting_task *)task)->messages += msg->type;
  g_free (msg);
}

static const struct hk_task_ops counting_ops = { .name = "counting",
                                                 .start = count_start,
                                                 .stop = count_stop,
                                                 .receive = count_message };

static void
on_finish (int code, void *user)
{
  *(int *)user = code == HK_OK ? 1 : 2;
}

static void
supervisor_restarts_up_to_its_limit (void)
{
  struct hk_supervisor root;
  struct hk_supervisor inner;
  struct counting_task t = { 0 };
  struct hk_error err;
  int finished = 0;

  hk_error_set (&err, HK_ERR_IO, "test.step", "peer", "broken");
  hk_supervisor_init (&root, "root", 0, 60000);
  hk_supervisor_init (&inner, "inner", 2, 60000);
  hk_task_init (&t.task, &counting_ops);
  root.on_finish = on_finish;
  root.user = &finished;
  hk_supervisor_add (&root, &inner.task);
  hk_supervisor_add (&inner, &t.task);
  g_assert_cmpint (hk_supervisor_start (&root, &err), ==, HK_OK);
  for (int i = 2; i <= 3; i++)
    {
      hk_task_fail (&t.task, &err);
      wait_for_count (&t.starts, i);
    }
  hk_task_fail (&t.task, &err);
  wait_for_count (&finished, 2);
  hk_supervisor_stop (&root);
  g_assert_cmpint (t.stops, ==, t.starts);
}

static void
tasks_receive_messages_and_drain (void)
{
  struct hk_supervisor root;
  struct counting_task t = { 0 };
  struct hk_msg *msg = g_new0 (struct hk_msg, 1);
  struct hk_error err;
  int finished = 0;

  hk_supervisor_init (&root, "root", 0, 60000);
  hk_task_init (&t.task, &counting_ops);
  root.on_finish = on_finish;
  root.user = &finished;
  hk_supervisor_add (&root, &t.task);
  hk_supervisor_start (&root, &err);
  msg->type = 5;
  hk_task_send (&t.task, msg);
  g_assert_cmpint (t.messages, ==, 0);
  wait_for_count (&t.messages, 5);
  hk_supervisor_drain (&root);
  g_assert_cmpint (finished, ==, 1);
  g_assert_cmpint (t.stops, ==, 1);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/record/lost",
                   record_put_survives_lost_requests_and_replies);
  g_test_add_func ("/record/unknown",
                   record_put_times_out_if_outcome_is_unknown);
  g_test_add_func ("/rpc/many", rpc_matches_replies_and_drops_late_ones);
  g_test_add_func ("/rpc/version", rpc_falls_back_to_older_version);
  g_test_add_func ("/rpc/unsent", rpc_reports_calls_that_were_never_sent);
  g_test_add_func ("/rpc/limits", rpc_names_what_is_over_a_limit);
  g_test_add_func ("/supervisor/limit", supervisor_restarts_up_to_its_limit);
  g_test_add_func ("/task/messages", tasks_receive_messages_and_drain);
  return g_test_run ();
}

/* Cancellations that overtake the submission which they cancel. */
#include <glib.h>
#include <string.h>

#include "coord_support.h"
#include "hyssopkeel/engine.h"
#include "hyssopkeel/log.h"

#define JOB "1111111111111111"
#define OTHER "2222222222222222"

static int
outcome (struct hk_coord *c, hk_job_request_kind kind, const char *id)
{
  struct request_result a;

  send_request (c, kind, id, &a);
  test_run_until (has_reply, &a);
  return (int)a.outcome;
}

/* Guards against a job that runs after its client was told that it does not
   exist: an entry that had been frozen forwarded it after the cancellation. */
static void
submissions_after_their_cancellation_are_refused (void)
{
  struct memory_store s;
  struct hk_coord *c;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, JOB), ==,
                   HK_JOB_REQUEST_REFUSED);
  g_assert_false (memory_store_has (&s, HK_KEY_SPECS JOB));
  /* A job that nobody submitted is not shown. */
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_STATE, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, OTHER), ==,
                   HK_JOB_REQUEST_DONE);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a cancellation that only one leader remembers. */
static void
successors_refuse_what_was_cancelled (void)
{
  struct memory_store s;
  struct hk_coord *c;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  hk_coord_free (c);
  c = coord_start (&s, "e2", NULL);
  test_run_until (is_leading, c);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, JOB), ==,
                   HK_JOB_REQUEST_REFUSED);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_STATE, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a reply before the store has the tombstone: a successor would
   not know of it. */
static void
cancellations_are_confirmed_once_stored (void)
{
  struct memory_store s;
  struct memory_view view = { 0 };
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct request_result a;
  struct hk_coord *c;

  memory_store_init (&s);
  memory_view_init (&view, &s);
  c = coord_start_with (&view.base, options, "e1", NULL);
  test_run_until (is_leading, c);
  view.partitioned = TRUE;
  send_request (c, HK_JOB_REQUEST_CANCEL, JOB, &a);
  test_run_for (400);
  g_assert_cmpint (a.n_replies, ==, 0);
  g_assert_false (memory_store_has (&s, HK_KEY_PROGRESS JOB));
  view.partitioned = FALSE;
  test_run_until (has_reply, &a);
  g_assert_cmpint (a.outcome, ==, HK_JOB_REQUEST_NOT_FOUND);
  g_assert_true (memory_store_has (&s, HK_KEY_PROGRESS JOB));
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against callers that wait for a store which is away. */
static void
cancellations_are_refused_while_the_store_is_away (void)
{
  struct memory_store s;
  struct memory_view view = { 0 };
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct hk_coord *c;

  memory_store_init (&s);
  memory_view_init (&view, &s);
  c = coord_start_with (&view.base, options, "e1", NULL);
  test_run_until (is_leading, c);
  s.unavailable = TRUE;
  test_run_for (1600);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, JOB), ==,
                   HK_JOB_REQUEST_REFUSED);
  s.unavailable = FALSE;
  test_run_for (600);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, JOB), ==,
                   HK_JOB_REQUEST_DONE);
  hk_coord_free (c);
  memory_store_finish (&s);
}

static gboolean
tombstone_is_gone (void *user)
{
  return !memory_store_has (user, HK_KEY_PROGRESS JOB);
}

static void
tombstones_are_kept_as_long_as_ended_jobs (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct hk_coord *c;

  options.keep_ended_ms = 500;
  memory_store_init (&s);
  c = coord_start_with (&s.base, options, "e1", NULL);
  test_run_until (is_leading, c);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  g_assert_true (memory_store_has (&s, HK_KEY_PROGRESS JOB));
  test_run_until (tombstone_is_gone, &s);
  test_run_for (200);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, JOB), ==,
                   HK_JOB_REQUEST_DONE);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a job that runs after its cancellation was acknowledged: a
   process that was suspended for longer than tombstones are kept read the
   submission once it resumed. */
static void
submissions_read_after_a_long_suspension_are_refused (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct hk_coord *c;

  options.keep_ended_ms = 1000;
  memory_store_init (&s);
  c = coord_start_with (&s.base, options, "e1", NULL);
  test_run_until (is_leading, c);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  test_run_until (tombstone_is_gone, &s);
  test_run_for (200);
  /* The main loop does not run, as in a suspended process. */
  g_usleep (1100 * 1000);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, JOB), ==,
                   HK_JOB_REQUEST_REFUSED);
  g_assert_false (memory_store_has (&s, HK_KEY_SPECS JOB));
  /* Other requests are answered meanwhile. */
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_STATE, JOB), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  test_run_for (1200);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, OTHER), ==,
                   HK_JOB_REQUEST_DONE);
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against records that are kept for good, and block the removal of
   later ones: what a predecessor had ended looked as if a commit were due. */
static void
successors_remove_what_ended_before (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct memory_store s;
  struct hk_coord *c;

  memory_store_init (&s);
  c = coord_start (&s, "e1", NULL);
  test_run_until (is_leading, c);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, OTHER), ==,
                   HK_JOB_REQUEST_NOT_FOUND);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_SUBMIT, JOB), ==,
                   HK_JOB_REQUEST_DONE);
  g_assert_cmpint (outcome (c, HK_JOB_REQUEST_CANCEL, JOB), ==,
                   HK_JOB_REQUEST_DONE);
  hk_coord_free (c);
  options.keep_ended_ms = 500;
  c = coord_start_with (&s.base, options, "e2", NULL);
  test_run_until (is_leading, c);
  test_run_until (tombstone_is_gone, &s);
  test_run_for (1000);
  g_assert_false (memory_store_has (&s, HK_KEY_PROGRESS OTHER));
  hk_coord_free (c);
  memory_store_finish (&s);
}

/* Guards against a removal slower than jobs end: one record in 100 ms. */
static void
many_records_expire_together (void)
{
  struct hk_coord_options options = HK_COORD_OPTIONS_INIT;
  struct request_result results[120];
  struct memory_store s;
  struct hk_coord *c;

  options.keep_ended_ms = 300;
  memory_store_init (&s);
  c = coord_start_with (&s.base, options, "e1", NULL);
  test_run_until (is_leading, c);
  for (unsigned i = 0; i < G_N_ELEMENTS (results); i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);

      send_request (c, HK_JOB_REQUEST_CANCEL, id, &results[i]);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (results); i++)
    test_run_until (has_reply, &results[i]);
  test_run_for (6000);
  for (unsigned i = 0; i < G_N_ELEMENTS (results); i++)
    {
      g_autofree char *key = g_strdup_printf (HK_KEY_PROGRESS "%016x", i);

      g_assert_false (memory_store_has (&s, key));
    }
  hk_coord_free (c);
  memory_store_finish (&s);
}

static void
number_of_tombstones_is_bounded (void)
{
  struct hk_engine e;
  unsigned n = 0;

  hk_engine_init (&e);
  for (; n < 100000; n++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", n);

      if (!hk_engine_tombstone_add (&e, id, "batch", 1, 1))
        break;
    }
  g_assert_cmpuint (n, ==, 20000);
  hk_engine_job_remove (TAILQ_FIRST (&e.ended));
  g_assert_nonnull (hk_engine_tombstone_add (&e, JOB, "batch", 1, 1));
  hk_engine_finish (&e);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  if (g_test_verbose ())
    hk_log_init ("info");
#define ADD(name) g_test_add_func ("/cancel/" #name, name)
  ADD (submissions_after_their_cancellation_are_refused);
  ADD (successors_refuse_what_was_cancelled);
  ADD (cancellations_are_confirmed_once_stored);
  ADD (cancellations_are_refused_while_the_store_is_away);
  ADD (tombstones_are_kept_as_long_as_ended_jobs);
  ADD (submissions_read_after_a_long_suspension_are_refused);
  ADD (successors_remove_what_ended_before);
  ADD (many_records_expire_together);
  ADD (number_of_tombstones_is_bounded);
  return g_test_run ();
}

/* Requests that a suspended process reads when it resumes. */
#include <glib.h>

#include "hyssopkeel/suspension.h"

/* Guards against a request that counts as new although its client gave it up
   while the process was suspended. */
static void
requests_read_after_a_suspension_may_be_old (void)
{
  struct hk_suspension s = { 0 };

  g_assert_cmpint (hk_suspension_note (&s, 1000), ==, 0);
  g_assert_cmpint (hk_suspension_note (&s, 5000), ==, 4000);
  g_assert_cmpint (hk_suspension_sent_ms (&s, 5000, 3000), ==, 1000);
  hk_suspension_note (&s, 5100);
  hk_suspension_note (&s, 5900);
  g_assert_cmpint (hk_suspension_sent_ms (&s, 5900, 700), ==, 5100);
}

/* Guards against a fix that distrusts too much: clients still wait for the
   response, or sent the request after the process had resumed. */
static void
other_requests_are_new (void)
{
  struct hk_suspension s = { 0 };

  hk_suspension_note (&s, 1000);
  g_assert_cmpint (hk_suspension_sent_ms (&s, 1000, 100), ==, 1000);
  hk_suspension_note (&s, 1400);
  g_assert_cmpint (hk_suspension_sent_ms (&s, 1400, 100), ==, 1400);
  hk_suspension_note (&s, 4000);
  g_assert_cmpint (hk_suspension_sent_ms (&s, 4000, 3000), ==, 4000);
  hk_suspension_note (&s, 4400);
  hk_suspension_note (&s, 4800);
  hk_suspension_note (&s, 5000);
  g_assert_cmpint (hk_suspension_sent_ms (&s, 5000, 100), ==, 5000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/suspension/" #name, name)
  ADD (requests_read_after_a_suspension_may_be_old);
  ADD (other_requests_are_new);
  return g_test_run ();
}

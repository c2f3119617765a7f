/* Refusals that bind attempts which arrive later. */
#include <glib.h>

#include "hyssopkeel/refusals.h"

/* Guards against an attempt that is carried out after its request was refused,
   and against a later request that is refused with it. */
static void
earlier_requests_are_superseded (void)
{
  struct hk_refusals r;

  hk_refusals_init (&r);
  hk_refusals_add (&r, "a", 1000);
  g_assert_true (hk_refusals_supersede (&r, "a", 999));
  g_assert_true (hk_refusals_supersede (&r, "a", 1000));
  g_assert_false (hk_refusals_supersede (&r, "a", 1001));
  g_assert_false (hk_refusals_supersede (&r, "b", 999));
  hk_refusals_add (&r, "a", 1500);
  g_assert_true (hk_refusals_supersede (&r, "a", 1400));
  hk_refusals_finish (&r);
}

/* Guards against a request that passes because its refusal was forgotten. */
static void
requests_older_than_what_is_kept_are_superseded (void)
{
  struct hk_refusals r;

  hk_refusals_init (&r);
  hk_refusals_add (&r, "a", 1000);
  hk_refusals_add (&r, "b", 100000);
  g_assert_cmpuint (g_hash_table_size (r.by_id), ==, 1);
  g_assert_true (hk_refusals_supersede (&r, "a", 900));
  g_assert_true (hk_refusals_supersede (&r, "c", 1000));
  g_assert_false (hk_refusals_supersede (&r, "a", 1001));
  hk_refusals_finish (&r);
}

/* Guards against memory that grows with the number of refused ids. */
static void
number_of_refusals_is_bounded (void)
{
  struct hk_refusals r;

  hk_refusals_init (&r);
  for (int i = 0; i < 30000; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);

      hk_refusals_add (&r, id, i / 10);
    }
  g_assert_cmpuint (g_hash_table_size (r.by_id), ==, 20000);
  g_assert_true (hk_refusals_supersede (&r, "x", 999));
  g_assert_false (hk_refusals_supersede (&r, "x", 1000));
  hk_refusals_finish (&r);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/refusals/" #name, name)
  ADD (earlier_requests_are_superseded);
  ADD (requests_older_than_what_is_kept_are_superseded);
  ADD (number_of_refusals_is_bounded);
  return g_test_run ();
}

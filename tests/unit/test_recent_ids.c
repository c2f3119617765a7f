/* Ids of recent events, such as requests that were refused. */
#include <glib.h>

#include "hyssopkeel/recent_ids.h"

/* Guards against an attempt that is carried out after its request was refused,
   and against a later request that is refused with it. */
static void
times_of_ids_are_kept (void)
{
  struct hk_recent_ids r;

  hk_recent_ids_init (&r, 30000, 20000);
  hk_recent_ids_add (&r, "a", 1000);
  g_assert_true (hk_recent_ids_added_since (&r, "a", 999));
  g_assert_true (hk_recent_ids_added_since (&r, "a", 1000));
  g_assert_false (hk_recent_ids_added_since (&r, "a", 1001));
  g_assert_false (hk_recent_ids_added_since (&r, "b", 999));
  hk_recent_ids_add (&r, "a", 1500);
  g_assert_true (hk_recent_ids_added_since (&r, "a", 1400));
  hk_recent_ids_remove (&r, "a");
  g_assert_false (hk_recent_ids_has (&r, "a"));
  g_assert_false (hk_recent_ids_added_since (&r, "a", 999));
  hk_recent_ids_finish (&r);
}

/* Guards against a request that passes because its refusal was forgotten. */
static void
what_may_be_forgotten_counts_as_added (void)
{
  struct hk_recent_ids r;

  hk_recent_ids_init (&r, 30000, 20000);
  hk_recent_ids_add (&r, "a", 1000);
  hk_recent_ids_add (&r, "b", 100000);
  g_assert_cmpuint (g_hash_table_size (r.by_id), ==, 1);
  g_assert_true (hk_recent_ids_added_since (&r, "a", 900));
  g_assert_true (hk_recent_ids_added_since (&r, "c", 1000));
  g_assert_false (hk_recent_ids_added_since (&r, "a", 1001));
  hk_recent_ids_finish (&r);
}

/* Guards against memory that grows with the number of refused ids. */
static void
number_of_ids_is_bounded (void)
{
  struct hk_recent_ids r;

  hk_recent_ids_init (&r, 30000, 20000);
  for (int i = 0; i < 30000; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);

      hk_recent_ids_add (&r, id, i / 10);
    }
  g_assert_cmpuint (g_hash_table_size (r.by_id), ==, 20000);
  g_assert_true (hk_recent_ids_added_since (&r, "x", 999));
  g_assert_false (hk_recent_ids_added_since (&r, "x", 1000));
  hk_recent_ids_finish (&r);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name) g_test_add_func ("/recent_ids/" #name, name)
  ADD (times_of_ids_are_kept);
  ADD (what_may_be_forgotten_counts_as_added);
  ADD (number_of_ids_is_bounded);
  return g_test_run ();
}

/* Limits on connections, and which unfinished requests are closed first. */
#include <glib.h>

#include "hyssopkeel/conn_limits.h"

#define MIB ((size_t)1 << 20)

/* Guards against limits that leave no descriptors or memory for the work of
   the process, on the machines that are in use. */
static void
limits_follow_the_machine (void)
{
  static const struct
  {
    int64_t memory_mb;
    int64_t max_fds;
    size_t budget_mib;
    unsigned all;
    unsigned clients;
  } machines[] = {
    { 128, 4096, 16, 3896, 3384 }, { 160, 4100, 20, 3900, 3388 },
    { 512, 8192, 32, 7992, 7480 }, { 32, 256, 8, 192, 160 },
    { 64000, 1024, 32, 824, 696 }, { 1, 1, 8, 1, 1 },
  };

  for (guint i = 0; i < G_N_ELEMENTS (machines); i++)
    {
      struct hk_conn_limits limits
          = hk_conn_limits_derive (machines[i].memory_mb, machines[i].max_fds);

      g_assert_cmpuint (limits.budget_bytes, ==, machines[i].budget_mib * MIB);
      g_assert_cmpuint (limits.connections_max, ==, machines[i].all);
      g_assert_cmpuint (limits.client_connections_max, ==,
                        machines[i].clients);
    }
}

/* Load: a crowd that holds 60 KB each for seconds, beside a request that has
   just begun, a long upload that is nearly as old, and a call by the platform
   that holds more than any of them. */
static void
what_holds_most_for_longest_is_closed_first (void)
{
  const struct hk_conn_load crowd = { HK_CONN_CLIENT, 60000, 2500 };
  const struct hk_conn_load begun = { HK_CONN_CLIENT, 250000, 0 };
  const struct hk_conn_load small = { HK_CONN_CLIENT, 2000, 2500 };
  const struct hk_conn_load report = { HK_CONN_INTERNAL, 380000, 9000 };
  const struct hk_conn_load record = { HK_CONN_PEER, 4000000, 9000 };

  g_assert_cmpint (hk_conn_load_compare (&crowd, &begun), <, 0);
  g_assert_cmpint (hk_conn_load_compare (&crowd, &small), <, 0);
  g_assert_cmpint (hk_conn_load_compare (&small, &report), <, 0);
  g_assert_cmpint (hk_conn_load_compare (&report, &record), <, 0);
  g_assert_cmpint (hk_conn_load_compare (&record, &crowd), >, 0);
  g_assert_cmpint (hk_conn_load_compare (&crowd, &crowd), ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/conn_limits/limits_follow_the_machine",
                   limits_follow_the_machine);
  g_test_add_func ("/conn_limits/what_holds_most_for_longest_is_closed_first",
                   what_holds_most_for_longest_is_closed_first);
  return g_test_run ();
}

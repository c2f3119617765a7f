/* Makes the same placement decision many times, to be run under callgrind: the
   number of instructions is repeatable, unlike the time.
   Usage: decisions INSTANCES DECISIONS */
#include <stdlib.h>

#include "hyssopkeel/placement.h"

int
main (int argc, char **argv)
{
  size_t n_instances = argc > 1 ? (size_t)atoi (argv[1]) : 10;
  int n_decisions = argc > 2 ? atoi (argv[2]) : 1000;
  g_autofree struct hk_candidate *all
      = g_new0 (struct hk_candidate, n_instances);
  g_autofree const struct hk_candidate **candidates
      = g_new0 (const struct hk_candidate *, n_instances);
  g_autoptr (GRand) random = g_rand_new_with_seed (1);
  struct hk_place_query query = { 0 };

  for (size_t i = 0; i < n_instances; i++)
    {
      all[i] = (struct hk_candidate){ .id = (guint)i + 1,
                                      .slots = 8,
                                      .busy = (int64_t)i % 8,
                                      .slowdown_percent = 100,
                                      .available = TRUE };
      candidates[i] = &all[i];
    }
  for (int i = 0; i < n_decisions; i++)
    if (hk_place (candidates, n_instances, &query, random) < 0)
      return 1;
  return 0;
}

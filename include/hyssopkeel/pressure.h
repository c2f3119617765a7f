#ifndef HYSSOPKEEL_PRESSURE_H
#define HYSSOPKEEL_PRESSURE_H

#include <glib.h>

/**
 * struct hk_pressure - how much fillers of one image lengthen the tail of
 * serving tasks of another.
 *
 * A pair's pressure is the rise of the tail, as a share of its target, that
 * fillers would cause by using all processors of the instance.
 */
struct hk_pressure
{
  GHashTable *pairs;
};

/** struct hk_pressure_use - processors that fillers of one image use. */
struct hk_pressure_use
{
  const char *image;
  double share; /* of the instance's processors, 0 to 1 */
};

/** hk_pressure_init() - nothing is known. */
void hk_pressure_init (struct hk_pressure *p);

/** hk_pressure_finish() - release. */
void hk_pressure_finish (struct hk_pressure *p);

/** hk_pressure_get() - pressure of a pair; a cautious guess if unknown. */
double hk_pressure_get (const struct hk_pressure *p, const char *serving,
                        const char *filler);

/** hk_pressure_set() - take what another process learned. */
void hk_pressure_set (struct hk_pressure *p, const char *serving,
                      const char *filler, double value);

/**
 * hk_pressure_learn() - one change of a tail, and of the use beside it.
 * @p: table.
 * @serving: image of the serving task.
 * @rise: change of its tail between two reports, as a share of its target.
 * @uses: change of use by filler image between the same reports.
 * @n: number of @uses.
 *
 * Differences are used, since the serving tasks' own load drifts.
 */
void hk_pressure_learn (struct hk_pressure *p, const char *serving,
                        double rise, const struct hk_pressure_use *uses,
                        unsigned n);

#endif

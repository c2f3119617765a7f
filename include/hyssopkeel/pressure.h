#ifndef HYSSOPKEEL_PRESSURE_H
#define HYSSOPKEEL_PRESSURE_H

#include <glib.h>

/**
 * struct hk_pressure - how much fillers of one image disturb serving tasks of
 * another.
 *
 * A serving task's headroom is its target over its tail latency: 1 at the
 * target, less above it. Tails of a queue grow as 1 / (1 - load), so that the
 * headroom falls in proportion to what is added to the load, whatever the load
 * is. A pair's pressure is the fall of the headroom that fillers would cause
 * by using all processors of the instance. Most pairs hardly disturb each
 * other, a few do so heavily.
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

/** hk_pressure_seed() - begin with what another process learned, unless this
 * one has learned something of the pair itself. */
void hk_pressure_seed (struct hk_pressure *p, const char *serving,
                       const char *filler, double value);

/**
 * hk_pressure_foreach() - visit all pairs that are known.
 * @p: table, not changed meanwhile.
 * @visit: called with images, value and @user.
 */
void hk_pressure_foreach (const struct hk_pressure *p,
                          void (*visit) (const char *serving,
                                         const char *filler, double value,
                                         void *user),
                          void *user);

/**
 * hk_pressure_fall() - fall of the headroom that some fillers should cause.
 * @p: table.
 * @serving: image of the serving task.
 * @uses: use by filler image beside it.
 * @n: number of @uses.
 * @variance: how uncertain that is.
 *
 * Return: the fall.
 */
double hk_pressure_fall (const struct hk_pressure *p, const char *serving,
                         const struct hk_pressure_use *uses, unsigned n,
                         double *variance);

/**
 * hk_pressure_learn() - one observation.
 * @p: table.
 * @serving: image of the serving task.
 * @fall: headroom that the task would have alone, less what it has.
 * @noise: variance of @fall, squared headroom.
 * @uses: use by filler image beside it.
 * @n: number of @uses.
 */
void hk_pressure_learn (struct hk_pressure *p, const char *serving,
                        double fall, double noise,
                        const struct hk_pressure_use *uses, unsigned n);

#endif

#ifndef HYSSOPKEEL_HEADROOM_H
#define HYSSOPKEEL_HEADROOM_H

#include <glib.h>

/**
 * struct hk_headroom_use - what best-effort tasks take of a resource of an
 * instance: of the headroom of a service image, or of the unused CPUs.
 * @limit: how much they may take together.
 * @taken: what the tasks there take at full speed.
 * @added: what a further task would take.
 */
struct hk_headroom_use
{
  double limit;
  double taken;
  double added;
};

/**
 * hk_headroom_cost() - cost of a further task, which rises as the resource is
 * used up.
 *
 * Return: from 0; comparable between instances, to be summed over resources.
 */
double hk_headroom_cost (const struct hk_headroom_use *use);

/**
 * hk_headroom_usage() - share of the limit taken with the further task; above
 * 1 some task is throttled.
 */
double hk_headroom_usage (const struct hk_headroom_use *use);

#endif

#ifndef HYSSOPKEEL_LEDGER_H
#define HYSSOPKEEL_LEDGER_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_size - resources that a request or task needs or an instance has.
 * @slots: requests or tasks that run at a time.
 * @cpu_milli: CPUs, thousandths.
 * @memory_mb: memory, megabytes.
 * @accelerators: number of accelerators.
 */
struct hk_size
{
  int64_t slots;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
};

/**
 * struct hk_ledger - resources of an instance and the bookings on them.
 * @total: capacity of the instance.
 * @used: sum of all bookings.
 */
struct hk_ledger
{
  struct hk_size total;
  struct hk_size used;
};

/**
 * hk_size_fits() - whether @need fits into @have.
 * @need: resources wanted.
 * @have: resources available.
 *
 * Return: TRUE if every resource fits.
 */
gboolean hk_size_fits (const struct hk_size *need, const struct hk_size *have);

/**
 * hk_size_learned_memory() - memory to declare for a task that used more than
 * it had declared.
 * @used_mb: memory it used, megabytes.
 * @total_mb: memory of the instance that it ran on, megabytes.
 *
 * Return: @used_mb and a margin, megabytes. If @used_mb fits the instance, so
 * does the result.
 */
int64_t hk_size_learned_memory (int64_t used_mb, int64_t total_mb);

/**
 * hk_ledger_free() - resources that are not booked.
 * @l: ledger.
 *
 * Return: total less used; a negative figure means that the resource is
 * overbooked.
 */
struct hk_size hk_ledger_free (const struct hk_ledger *l);

/**
 * hk_ledger_book() - book resources if they are free.
 * @l: ledger.
 * @size: resources wanted.
 *
 * Return: 0, or HK_ERR_FULL with nothing booked.
 */
int hk_ledger_book (struct hk_ledger *l, const struct hk_size *size);

/**
 * hk_ledger_force() - book resources of work that runs already, even if they
 * exceed the free ones.
 * @l: ledger.
 * @size: size of the adopted work.
 */
void hk_ledger_force (struct hk_ledger *l, const struct hk_size *size);

/**
 * hk_ledger_release() - undo a booking.
 * @l: ledger.
 * @size: the size that was booked; it must be the same.
 */
void hk_ledger_release (struct hk_ledger *l, const struct hk_size *size);

#endif

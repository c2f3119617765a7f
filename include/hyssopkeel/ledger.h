#ifndef HYSSOPKEEL_LEDGER_H
#define HYSSOPKEEL_LEDGER_H

#include <glib.h>
#include <stdint.h>

/**
 * struct hk_size - capacity that work needs or an instance has.
 * @slots: units of concurrency.
 * @cpu_milli: processors, thousandths.
 * @memory_mb: memory, megabytes.
 * @accelerators: accelerators.
 */
struct hk_size
{
  int64_t slots;
  int64_t cpu_milli;
  int64_t memory_mb;
  int64_t accelerators;
};

/**
 * struct hk_ledger - what an instance has and what is booked on it.
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
 * @need: wanted.
 * @have: available.
 *
 * Return: TRUE if every part fits.
 */
gboolean hk_size_fits (const struct hk_size *need, const struct hk_size *have);

/**
 * hk_size_learned_memory() - memory to declare for a task that was seen to use
 * more than its size says.
 * @used_mb: what it used, megabytes.
 * @total_mb: memory of the instance that it ran on, megabytes.
 *
 * Return: the use and some headroom, megabytes; the headroom never makes the
 * size larger than an instance that the use itself fits.
 */
int64_t hk_size_learned_memory (int64_t used_mb, int64_t total_mb);

/**
 * hk_ledger_free() - capacity that is not booked.
 * @l: ledger.
 *
 * Return: difference of total and used; negative parts are shortfalls.
 */
struct hk_size hk_ledger_free (const struct hk_ledger *l);

/**
 * hk_ledger_book() - check and book in one step.
 * @l: ledger.
 * @size: wanted.
 *
 * Return: 0, or HK_ERR_FULL with nothing booked.
 */
int hk_ledger_book (struct hk_ledger *l, const struct hk_size *size);

/**
 * hk_ledger_force() - book what runs already, whether it fits or not.
 * @l: ledger.
 * @size: size of adopted work.
 */
void hk_ledger_force (struct hk_ledger *l, const struct hk_size *size);

/**
 * hk_ledger_release() - take a booking back.
 * @l: ledger.
 * @size: exactly the size that was booked.
 */
void hk_ledger_release (struct hk_ledger *l, const struct hk_size *size);

#endif

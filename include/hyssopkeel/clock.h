#ifndef HYSSOPKEEL_CLOCK_H
#define HYSSOPKEEL_CLOCK_H

#include <stdint.h>

/**
 * hk_clock_ms() - time since boot, including time in suspend.
 *
 * Return: CLOCK_BOOTTIME in milliseconds.
 */
int64_t hk_clock_ms (void);

/**
 * hk_clock_us() - the same clock in microseconds.
 *
 * Return: CLOCK_BOOTTIME in microseconds.
 */
int64_t hk_clock_us (void);

#endif

/* Time since boot, for leases and timeouts. Not affected by changes of the
   system time, and continues while the machine is suspended. */
#include "hyssopkeel/clock.h"

#include <time.h>

int64_t
hk_clock_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
hk_clock_ms (void)
{
  return hk_clock_us () / 1000;
}

/* Order of the reports of an endpoint. Load pattern: reports that overtake
   each other within a second, and one whose number lies. */
#include "hyssopkeel/report_order.h"

#include <string.h>

/* Endpoints report about once a second. A number that rose faster than this
   was not reached by counting. */
#define RISE_MAX_PER_S 100
/* Reports that may have been sent elsewhere at once, as to a former agent. */
#define RISE_FREE 1000
/* Late reports that rise for this long, and are at least so many, are a series
   of their own: late ones arrive together. */
#define SERIES_MIN_MS 2000
#define SERIES_MIN 3

void
hk_report_order_init (struct hk_report_order *order)
{
  memset (order, 0, sizeof *order);
  order->last = -1;
}

static void
accept_report (struct hk_report_order *order, int64_t sequence, int64_t now_ms)
{
  order->last = sequence;
  order->accepted_ms = now_ms;
  order->n_lower = 0;
}

/* Whether the late report continues a series that shows the last number to be
   wrong. */
static gboolean
is_series (struct hk_report_order *order, int64_t sequence, int64_t now_ms)
{
  if (order->n_lower == 0 || sequence <= order->lower_last)
    {
      order->n_lower = 0;
      order->lower_since_ms = now_ms;
    }
  order->n_lower++;
  order->lower_last = sequence;
  return order->n_lower >= SERIES_MIN
         && now_ms - order->lower_since_ms >= SERIES_MIN_MS;
}

enum hk_report_verdict
hk_report_order_check (struct hk_report_order *order, int64_t sequence,
                       int64_t now_ms)
{
  int64_t rise
      = RISE_FREE + (now_ms - order->accepted_ms) * RISE_MAX_PER_S / 1000;

  if (order->last >= 0 && sequence > order->last
      && sequence - order->last > rise)
    return HK_REPORT_IMPLAUSIBLE;
  if (sequence <= order->last && !is_series (order, sequence, now_ms))
    return HK_REPORT_LATE;
  accept_report (order, sequence, now_ms);
  return HK_REPORT_ACCEPTED;
}

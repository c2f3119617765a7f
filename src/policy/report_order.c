/* Order of the reports of an endpoint. Load pattern: reports that overtake
   each other within a second, and one whose number lies. */
#include "hyssopkeel/report_order.h"

#include <string.h>

/* Endpoints report about once a second. A number that rose faster than this
   was not reached by counting. */
#define RISE_MAX_PER_S 100
/* Reports that may have been sent elsewhere at once, as to a former agent. */
#define RISE_FREE 1000
/* Reports that are not accepted, rise for this long, and are at least so many,
   are the endpoint's own series: late ones arrive together, and a lie comes
   between others that are accepted. */
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
  order->n_unused = 0;
}

/* Whether the report continues a series that shows the last accepted number to
   be wrong. */
static gboolean
is_series (struct hk_report_order *order, int64_t sequence, int64_t now_ms)
{
  if (order->n_unused == 0 || sequence <= order->unused_last)
    {
      order->n_unused = 0;
      order->unused_since_ms = now_ms;
    }
  order->n_unused++;
  order->unused_last = sequence;
  return order->n_unused >= SERIES_MIN
         && now_ms - order->unused_since_ms >= SERIES_MIN_MS;
}

enum hk_report_verdict
hk_report_order_check (struct hk_report_order *order, int64_t sequence,
                       int64_t now_ms)
{
  int64_t rise
      = RISE_FREE + (now_ms - order->accepted_ms) * RISE_MAX_PER_S / 1000;
  enum hk_report_verdict verdict = HK_REPORT_ACCEPTED;

  if (sequence <= order->last)
    verdict = HK_REPORT_LATE;
  else if (order->last >= 0 && sequence - order->last > rise)
    verdict = HK_REPORT_IMPLAUSIBLE;
  if (verdict != HK_REPORT_ACCEPTED && !is_series (order, sequence, now_ms))
    return verdict;
  accept_report (order, sequence, now_ms);
  return HK_REPORT_ACCEPTED;
}

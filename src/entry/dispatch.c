/* One client request from its arrival to its outcome: chooses instances,
   retries within the route's budget, and hedges slow idempotent requests. */
#include "attempt.h"

#include <string.h>

#include "hyssopkeel/clock.h"

/* A hedged attempt starts this many deviations after the mean time. */
#define HEDGE_DEVIATIONS 4
#define HEDGE_DELAY_MIN_MS 5
#define LATENCY_EWMA_WEIGHT 0.05

int64_t
hk_dispatch_remaining_ms (const struct hk_dispatch *d)
{
  return d->deadline_ms - hk_clock_ms ();
}

static void
dispatch_free (struct hk_dispatch *d)
{
  hk_timer_clear (&d->hedge_timer);
  g_free (d->id);
  g_free (d->route);
  g_free (d->pool);
  g_free (d->claim_name);
  g_free (d->method);
  g_free (d->path);
  g_free (d->content_type);
  g_free (d->key);
  g_free (d->team);
  g_free (d->last_refusal);
  g_bytes_unref (d->body);
  g_free (d);
}

void
hk_dispatch_free_if_finished (struct hk_dispatch *d)
{
  if (d->finished && d->outstanding == 0)
    dispatch_free (d);
}

static void
update_latency (struct hk_dispatch *d)
{
  struct hk_route_stats *s = hk_entry_route_stats (d->entry, d->route);
  double elapsed_us = (double)(hk_clock_us () - d->start_us);
  double deviation_us = elapsed_us - s->service_us;

  if (s->service_us <= 0)
    s->service_us = elapsed_us;
  else
    s->service_us += deviation_us * LATENCY_EWMA_WEIGHT;
  s->deviation_us
      += (ABS (deviation_us) - s->deviation_us) * LATENCY_EWMA_WEIGHT;
  hk_retry_success (&s->budget, d->retry_percent);
}

/* Reports the outcome. The dispatch is freed after its last attempt. */
static void
finish (struct hk_dispatch *d, struct hk_dispatch_result *result)
{
  struct hk_route_stats *s = hk_entry_route_stats (d->entry, d->route);

  if (d->finished)
    return;
  d->finished = TRUE;
  hk_timer_clear (&d->hedge_timer);
  s->outcomes[result->outcome]->value++;
  hk_histogram_add (s->latency, hk_clock_us () - d->start_us);
  result->request_id = d->id;
  d->done (result, d->user);
}

void
hk_dispatch_finish_no_result (struct hk_dispatch *d, hk_rpc_outcome outcome,
                              const char *reason)
{
  struct hk_dispatch_result result = { .outcome = outcome };

  /* That the last attempt did not run says nothing about earlier ones. */
  if (d->n_unknown > 0)
    result.outcome = HK_OUTCOME_UNKNOWN;
  result.reason = reason;
  result.content_type = "";
  result.instance = "";
  finish (d, &result);
}

void
hk_dispatch_finish_result (struct hk_attempt *a,
                           const hk_rpc_execute_reply *reply)
{
  struct hk_dispatch *d = a->d;
  struct hk_dispatch_result result = { .outcome = HK_OUTCOME_DONE };

  update_latency (d);
  result.status = reply->status;
  result.content_type = reply->content_type;
  result.body = reply->body.body_val;
  result.len = reply->body.body_len;
  result.reason = "";
  result.instance = a->member->name;
  if (reply->status >= SOUP_STATUS_INTERNAL_SERVER_ERROR)
    hk_member_record_failure (a->member, d->set_aside_failures);
  else
    hk_member_record_success (a->member);
  finish (d, &result);
}

gboolean
hk_dispatch_may_retry (struct hk_dispatch *d, gboolean charge_budget)
{
  struct hk_route_stats *s = hk_entry_route_stats (d->entry, d->route);

  if (d->finished || d->n_tried >= HK_ATTEMPTS_MAX
      || d->n_unknown >= HK_UNKNOWN_ATTEMPTS_MAX
      || hk_dispatch_remaining_ms (d) <= 0)
    return FALSE;
  if (charge_budget && !hk_retry_take (&s->budget))
    return FALSE;
  s->retries->value++;
  return TRUE;
}

struct hk_member *
hk_dispatch_choose_member (struct hk_dispatch *d)
{
  GPtrArray *pool = hk_members_pool (&d->entry->members, d->pool);
  struct hk_place_query query
      = { .now_ms = hk_clock_ms (), .tried = d->tried, .n_tried = d->n_tried };
  int index;

  query.service_us = hk_entry_route_stats (d->entry, d->route)->service_us;
  if (!pool)
    return NULL;
  index = d->entry->place ((const struct hk_candidate *const *)pool->pdata,
                           pool->len, &query, d->entry->random);
  return index < 0 ? NULL : hk_member_from_candidate (pool->pdata[index]);
}

/* Hedging */

static void
send_hedge (void *user)
{
  struct hk_dispatch *d = user;
  struct hk_route_stats *s = hk_entry_route_stats (d->entry, d->route);
  struct hk_member *member;

  if (d->finished || d->outstanding != 1 || d->n_tried >= HK_ATTEMPTS_MAX
      || d->n_unknown + d->outstanding >= HK_UNKNOWN_ATTEMPTS_MAX
      || !hk_retry_take (&s->budget))
    return;
  member = hk_dispatch_choose_member (d);
  if (!member)
    return;
  s->hedges->value++;
  hk_attempt_execute (hk_attempt_new (d, member, NULL));
}

static void
schedule_hedge (struct hk_dispatch *d)
{
  const struct hk_route_stats *s = hk_entry_route_stats (d->entry, d->route);
  double delay_us = s->service_us + HEDGE_DEVIATIONS * s->deviation_us;

  if (d->may_hedge && s->service_us > 0)
    hk_timer_set (&d->hedge_timer,
                  MAX ((int64_t)delay_us / 1000, HEDGE_DELAY_MIN_MS),
                  send_hedge, d);
}

void
hk_dispatch_next_attempt (struct hk_dispatch *d)
{
  struct hk_member *member = hk_dispatch_choose_member (d);
  struct hk_attempt *a;

  if (!member)
    {
      hk_dispatch_finish_no_result (
          d, HK_OUTCOME_NOT_RUN,
          d->last_refusal ? d->last_refusal : "no instance is available");
      return;
    }
  a = hk_attempt_new (d, member, NULL);
  if (d->claim_name)
    hk_idempotency_claim (d, a);
  else
    {
      hk_attempt_execute (a);
      schedule_hedge (d);
    }
}

static struct hk_dispatch *
dispatch_new (struct hk_entry *entry,
              const struct hk_dispatch_request *request)
{
  struct hk_dispatch *d = g_new0 (struct hk_dispatch, 1);
  const struct hk_route *route = request->route;
  const struct hk_pool *pool = hk_tables_pool (&entry->tables, route->pool);

  d->entry = entry;
  d->id = g_strdup_printf ("%s-%" PRIu64, entry->incarnation,
                           entry->next_request_seq++);
  d->route = g_strdup (route->name);
  d->pool = g_strdup (route->pool);
  d->idempotent = route->idempotent;
  d->may_hedge = route->hedge;
  d->retry_percent = pool->retry_percent;
  d->set_aside_failures = pool->set_aside_failures;
  d->method = g_strdup (request->method);
  d->path = g_strdup (request->path);
  d->content_type = g_strdup (request->content_type);
  d->key = g_strdup (request->key);
  d->team = g_strdup (request->team);
  d->body = g_bytes_ref (request->body);
  d->start_us = hk_clock_us ();
  d->deadline_ms = hk_clock_ms () + request->deadline_ms;
  return d;
}

void
hk_dispatch_start (struct hk_entry *entry,
                   const struct hk_dispatch_request *request,
                   hk_dispatch_done done, void *user)
{
  struct hk_dispatch *d = dispatch_new (entry, request);

  d->done = done;
  d->user = user;
  if (*d->key && !d->idempotent && g_str_has_prefix (d->key, HK_TICKET_PREFIX))
    hk_ticket_execute (d);
  else
    {
      if (*d->key && !d->idempotent)
        d->claim_name = hk_claim_name_new (request);
      hk_dispatch_next_attempt (d);
    }
  hk_dispatch_free_if_finished (d);
}

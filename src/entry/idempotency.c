/* Requests with an idempotency key on routes that are not idempotent. A claim
   in the store, or a ticket that names its agent, makes sure that one key runs
   at most once, even if a client repeats its call at another entry. */
#include "attempt.h"

#include "hyssopkeel/id.h"

static void
query_claim_holder (struct hk_dispatch *d, const struct hk_claim *holder)
{
  struct hk_member *member = g_hash_table_lookup (
      d->entry->members.by_incarnation, holder->incarnation);
  struct hk_attempt *a;
  int64_t age_s = (g_get_real_time () / 1000 - holder->at_ms) / 1000;

  d->claim_revision = holder->mod_revision;
  if (!member || age_s > d->entry->settings->claim_window_s)
    {
      hk_dispatch_finish_no_result (
          d, HK_OUTCOME_UNKNOWN,
          member ? "the key was used too long ago to tell"
                 : "the instance that has the key is gone");
      return;
    }
  a = hk_attempt_new (d, member, holder->attempt);
  a->from_earlier_call = TRUE;
  hk_attempt_query (a);
}

static void
on_claim_reply (int rc, const struct hk_claim *holder, void *user)
{
  struct hk_dispatch *d = user;
  struct hk_attempt *a = g_steal_pointer (&d->claim_attempt);

  if (rc == HK_OK)
    {
      d->claim_revision = holder->mod_revision;
      hk_attempt_execute (a);
      return;
    }
  /* The attempt is never sent, even if the store did write its claim. */
  hk_attempt_end (a);
  if (rc == HK_ERR_CONFLICT && holder
      && d->claim_conflicts++ < HK_ATTEMPTS_MAX)
    query_claim_holder (d, holder);
  else
    /* Unknown, since an earlier call with this key may have run. */
    hk_dispatch_finish_no_result (
        d, HK_OUTCOME_UNKNOWN,
        rc == HK_ERR_CONFLICT ? "other calls with this key are in progress"
                              : "the key cannot be looked up in the store");
  hk_dispatch_free_if_finished (d);
}

void
hk_idempotency_claim (struct hk_dispatch *d, struct hk_attempt *a)
{
  struct hk_claim claim = { .attempt = a->id,
                            .incarnation = a->member->incarnation,
                            .instance = a->member->name };

  claim.at_ms = g_get_real_time () / 1000;
  d->claim_attempt = a;
  hk_claims_acquire (&d->entry->claims, d->claim_name, &claim,
                     d->claim_revision, on_claim_reply, d);
}

char *
hk_claim_name_new (const struct hk_dispatch_request *request)
{
  g_autofree char *team = g_uri_escape_string (request->team, NULL, FALSE);
  g_autofree char *key = g_uri_escape_string (request->key, NULL, FALSE);

  return g_strdup_printf ("%s/%s/%s", request->route->name, team, key);
}

/* Tickets have the form hk1:SECONDS:INCARNATION:ATTEMPT, where SECONDS is the
   time of issue since 1970. */

char *
hk_ticket_new (struct hk_entry *entry, const struct hk_route *route)
{
  struct hk_dispatch probe = { .entry = entry };
  struct hk_member *member;
  g_autofree char *id = hk_id_new ("t");

  probe.pool = route->pool;
  probe.route = route->name;
  member = hk_dispatch_choose_member (&probe);
  if (!member)
    return NULL;
  return g_strdup_printf (HK_TICKET_PREFIX "%" G_GINT64_FORMAT ":%s:%s",
                          g_get_real_time () / G_USEC_PER_SEC,
                          member->incarnation, id);
}

void
hk_ticket_execute (struct hk_dispatch *d)
{
  g_auto (GStrv) parts = g_strsplit (d->key, ":", 4);
  int64_t now_s = g_get_real_time () / G_USEC_PER_SEC;
  struct hk_member *member;

  if (g_strv_length (parts) != 4)
    {
      hk_dispatch_finish_no_result (d, HK_OUTCOME_NOT_RUN,
                                    "the ticket is malformed");
      return;
    }
  if (now_s - g_ascii_strtoll (parts[1], NULL, 10)
      > d->entry->settings->claim_window_s)
    {
      hk_dispatch_finish_no_result (d, HK_OUTCOME_UNKNOWN,
                                    "the ticket is too old to tell");
      return;
    }
  member = g_hash_table_lookup (d->entry->members.by_incarnation, parts[2]);
  if (!member)
    {
      hk_dispatch_finish_no_result (
          d, HK_OUTCOME_UNKNOWN, "the instance that has the ticket is gone");
      return;
    }
  /* Rules out a retry, as no other instance may run the request. */
  d->n_tried = HK_ATTEMPTS_MAX;
  hk_attempt_execute (hk_attempt_new (d, member, parts[3]));
}

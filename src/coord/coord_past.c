/* Coordinators before this one. As long as one of them may live without
   knowing its successor, its agents may hold grants for as long as its own
   authority lasts. One that answers that it does not lead has given its last,
   and only the length of a grant must be waited for. */
#include "coord.h"

#define ASK_EVERY_MS 300
#define ASK_TIMEOUT_MS 400
static const struct hk_rpc_method ping_method
    = { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args,
        (xdrproc_t)xdr_hk_ping_reply, sizeof (hk_ping_reply) };

void
coord_past_add (struct hk_coord *c, const char *address)
{
  struct coord_past *p;

  if (strcmp (address, c->address) == 0)
    return;
  TAILQ_FOREACH (p, &c->past, link)
  if (strcmp (p->address, address) == 0)
    return;
  p = g_new0 (struct coord_past, 1);
  p->c = c;
  p->address = g_strdup (address);
  TAILQ_INSERT_TAIL (&c->past, p, link);
}

/* A record that cannot be read hides who led: nobody at this address ever
   answers, so that only time tells. */
void
coord_past_unknown (struct hk_coord *c)
{
  coord_past_add (c, "127.0.0.1:1");
}

static void
forget (struct coord_past *p)
{
  TAILQ_REMOVE (&p->c->past, p, link);
  if (p->channel.address)
    hk_rpc_channel_finish (&p->channel);
  g_free (p->address);
  g_free (p);
}

void
coord_past_clear (struct hk_coord *c)
{
  hk_timer_clear (&c->past_timer);
  while (!TAILQ_EMPTY (&c->past))
    forget (TAILQ_FIRST (&c->past));
}

/* Addresses as a list for the lead record. */
char *
coord_past_text (const struct hk_coord *c)
{
  const struct coord_past *p;
  GString *text = g_string_new ("[");

  TAILQ_FOREACH (p, &c->past, link)
  g_string_append_printf (text, "%s\"%s\"", text->len > 1 ? "," : "",
                          p->address);
  g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

static void
all_ceased (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  int64_t until = now + c->authority.grant_ms;

  hk_log (HK_LOG_INFO, "coord", NULL, NULL,
          "event=predecessors_ceased term=%" G_GUINT64_FORMAT
          " after_ms=%" G_GINT64_FORMAT,
          c->term, now - c->taken_over_ms);
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  in->inherited_until_ms = MIN (in->inherited_until_ms, until);
}

static void
on_pong (int rc, void *result, const struct hk_error *err, void *user)
{
  struct coord_past *p = user;
  struct hk_coord *c = p->c;
  const hk_ping_reply *reply = result;

  (void)err;
  if (rc == HK_ERR_STOPPED)
    return;
  p->asking = FALSE;
  if (rc != HK_OK || reply->leading)
    return;
  forget (p);
  if (TAILQ_EMPTY (&c->past) && c->state == COORD_LEADING)
    {
      hk_timer_clear (&c->past_timer);
      all_ceased (c, hk_clock_ms ());
    }
}

static void
on_past_timer (void *user)
{
  coord_past_ask (user);
}

void
coord_past_ask (struct hk_coord *c)
{
  hk_ping_args args = { .name = c->name };
  struct coord_past *p;

  if (c->state != COORD_LEADING)
    return;
  /* Nobody but this very process, in an earlier tenure or life. */
  if (TAILQ_EMPTY (&c->past))
    {
      all_ceased (c, hk_clock_ms ());
      return;
    }
  if (hk_clock_ms ()
      > hk_authority_inherited_until (&c->authority, c->taken_over_ms))
    return;
  hk_timer_set (&c->past_timer, ASK_EVERY_MS, on_past_timer, c);
  TAILQ_FOREACH (p, &c->past, link)
  {
    if (p->asking)
      continue;
    if (!p->channel.address)
      hk_rpc_channel_init (&p->channel, p->address, HK_COORD_PROGRAM,
                           HK_COORD_V1);
    p->asking = TRUE;
    hk_rpc_call (&p->channel, &ping_method, &args, ASK_TIMEOUT_MS, on_pong, p);
  }
}

/* Coordinators before this one. As long as one of them may live without
   knowing its successor, its agents may hold grants for as long as its own
   authority lasts. One that answers that it does not lead has given its last,
   and only the length of a grant must be waited for. */
#include "coord.h"

#define ASK_EVERY_MS 300
#define ASK_TIMEOUT_MS 400
/* Stands for a predecessor whose address is lost. */
#define NOBODY "127.0.0.1:1"

static const struct hk_rpc_method ping_method
    = { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args,
        (xdrproc_t)xdr_hk_ping_reply, sizeof (hk_ping_reply) };

static struct coord_past *
find (const struct hk_coord *c, const char *address)
{
  struct coord_past *p;

  TAILQ_FOREACH (p, &c->past, link)
  if (strcmp (p->address, address) == 0)
    return p;
  return NULL;
}

static struct coord_past *
add (struct hk_coord *c, const char *address)
{
  struct coord_past *p = g_new0 (struct coord_past, 1);

  p->c = c;
  p->address = g_strdup (address);
  TAILQ_INSERT_TAIL (&c->past, p, link);
  return p;
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

/* Names a predecessor; what is known of it stays. */
static void
name (struct hk_coord *c, const char *address, gboolean leads)
{
  struct coord_past *p = find (c, address);

  if (strcmp (address, c->address) == 0)
    return;
  if (!p)
    p = add (c, address);
  p->named = TRUE;
  if (leads)
    p->since_ms = 0;
  else if (p->since_ms == 0)
    p->since_ms = hk_clock_ms ();
}

/* Takes over what a lead record says: who leads, and the list of those before
   it. Since when a predecessor has been superseded is told by the first record
   that this process saw say so, not by the latest: a chain of takeovers must
   not begin the wait for silent agents anew each time. */
void
coord_past_replace (struct hk_coord *c, const char *leader,
                    json_object *before)
{
  struct coord_past *p;
  struct coord_past *next;

  TAILQ_FOREACH (p, &c->past, link)
  p->named = FALSE;
  name (c, leader, TRUE);
  if (json_object_is_type (before, json_type_array))
    for (size_t i = 0; i < json_object_array_length (before); i++)
      {
        const char *text
            = json_object_get_string (json_object_array_get_idx (before, i));

        if (text && strcmp (text, leader) != 0)
          name (c, text, FALSE);
      }
  for (p = TAILQ_FIRST (&c->past); p; p = next)
    {
      next = TAILQ_NEXT (p, link);
      if (!p->named)
        forget (p);
    }
}

/* A record that cannot be read hides who led: nobody at this address ever
   answers, so that only time tells. */
void
coord_past_unknown (struct hk_coord *c)
{
  name (c, NOBODY, TRUE);
}

/* This process took the lead: nobody commits under an earlier term. */
void
coord_past_superseded (struct hk_coord *c, int64_t now)
{
  struct coord_past *p;

  TAILQ_FOREACH (p, &c->past, link)
  if (p->since_ms == 0)
    p->since_ms = now;
  c->past_ceased_ms = now;
}

/* Latest end of a grant that any predecessor can have given. */
int64_t
coord_past_until (const struct hk_coord *c, int64_t now)
{
  const struct coord_past *p;
  int64_t until = c->past_ceased_ms + c->authority.grant_ms;

  TAILQ_FOREACH (p, &c->past, link)
  until = MAX (until, hk_authority_inherited_until (
                          &c->authority, p->since_ms ? p->since_ms : now));
  return until;
}

void
coord_past_clear (struct hk_coord *c)
{
  hk_timer_clear (&c->past_timer);
  while (!TAILQ_EMPTY (&c->past))
    forget (TAILQ_FIRST (&c->past));
}

/* Addresses as a list for the lead record, of those whose grants may last. */
char *
coord_past_text (const struct hk_coord *c)
{
  const struct coord_past *p;
  GString *text = g_string_new ("[");
  int64_t now = hk_clock_ms ();

  TAILQ_FOREACH (p, &c->past, link)
  if (p->since_ms == 0
      || hk_authority_inherited_until (&c->authority, p->since_ms) >= now)
    g_string_append_printf (text, "%s\"%s\"", text->len > 1 ? "," : "",
                            p->address);
  g_string_append_c (text, ']');
  return g_string_free (text, FALSE);
}

static void
one_ceased (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  int64_t until = coord_past_until (c, now);

  hk_log (HK_LOG_INFO, "coord", NULL, NULL,
          "event=%s term=%" G_GUINT64_FORMAT " after_ms=%" G_GINT64_FORMAT
          " grants_left_ms=%" G_GINT64_FORMAT,
          TAILQ_EMPTY (&c->past) ? "predecessors_ceased"
                                 : "predecessor_ceased",
          c->term, now - c->taken_over_ms, until - now);
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
  if (rc != HK_OK || reply->leading || c->state != COORD_LEADING)
    return;
  forget (p);
  c->past_ceased_ms = hk_clock_ms ();
  one_ceased (c, c->past_ceased_ms);
  if (TAILQ_EMPTY (&c->past))
    hk_timer_clear (&c->past_timer);
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
  int64_t now = hk_clock_ms ();

  if (c->state != COORD_LEADING || now > coord_past_until (c, now))
    return;
  /* Nobody but this very process, in an earlier tenure or life. */
  if (TAILQ_EMPTY (&c->past))
    {
      one_ceased (c, now);
      return;
    }
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

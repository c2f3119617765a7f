/* Tracks predecessors: former leaders whose lease grants may still be valid.
   One that is unaware of its successor may give grants until its own authority
   expires; once it answers that it does not lead, its grants end at most
   grant_ms later. */
#include "coord.h"

#define PING_INTERVAL_MS 300
#define PING_TIMEOUT_MS 400
/* Placeholder for a predecessor of unknown address: nothing answers pings
   here. */
#define UNREACHABLE_ADDRESS "127.0.0.1:1"

static const struct hk_rpc_method ping_method
    = { HK_COORD_PING, (xdrproc_t)xdr_hk_ping_args,
        (xdrproc_t)xdr_hk_ping_reply, sizeof (hk_ping_reply) };

static struct coord_predecessor *
predecessor_find (const struct hk_coord *c, const char *address)
{
  struct coord_predecessor *p;

  TAILQ_FOREACH (p, &c->predecessors, link)
  if (strcmp (p->address, address) == 0)
    return p;
  return NULL;
}

static struct coord_predecessor *
predecessor_add (struct hk_coord *c, const char *address)
{
  struct coord_predecessor *p = g_new0 (struct coord_predecessor, 1);

  p->c = c;
  p->address = g_strdup (address);
  TAILQ_INSERT_TAIL (&c->predecessors, p, link);
  return p;
}

static void
predecessor_free (struct coord_predecessor *p)
{
  TAILQ_REMOVE (&p->c->predecessors, p, link);
  if (p->channel.address)
    hk_rpc_channel_finish (&p->channel);
  g_free (p->address);
  g_free (p);
}

/* Returns the entry of a predecessor that the lead record lists, NULL for this
   process itself. */
static struct coord_predecessor *
predecessor_list (struct hk_coord *c, const char *address)
{
  struct coord_predecessor *p = predecessor_find (c, address);

  if (strcmp (address, c->address) == 0)
    return NULL;
  if (!p)
    p = predecessor_add (c, address);
  p->listed = TRUE;
  return p;
}

static void
leader_record (struct hk_coord *c, const char *address)
{
  struct coord_predecessor *p = predecessor_list (c, address);

  if (p)
    p->superseded_ms = 0;
}

/* Records a predecessor that was superseded at least @age_ms ago. The earliest
   such time is kept, so that a chain of takeovers does not restart the wait
   for unresponsive agents each time. */
static void
superseded_record (struct hk_coord *c, const char *address, int64_t age_ms)
{
  struct coord_predecessor *p = predecessor_list (c, address);
  int64_t superseded_ms = hk_clock_ms () - age_ms;

  if (p && (p->superseded_ms == 0 || superseded_ms < p->superseded_ms))
    p->superseded_ms = superseded_ms;
}

/* Age of the predecessor at index @i of the lead record: a lower bound, since
   the writer measured it before its takeover. Ages that no writer can have
   measured, and those of a list that does not match, count as 0. */
static int64_t
superseded_age_ms (const struct hk_coord *c, json_object *before,
                   json_object *ages, size_t i)
{
  json_object *value;
  int64_t age_ms;

  if (!json_object_is_type (ages, json_type_array)
      || json_object_array_length (ages) != json_object_array_length (before))
    return 0;
  value = json_object_array_get_idx (ages, i);
  if (!json_object_is_type (value, json_type_int))
    return 0;
  age_ms = json_object_get_int64 (value);
  return age_ms >= 0
                 && age_ms <= hk_authority_predecessor_until (&c->authority, 0)
             ? age_ms
             : 0;
}

/* Replaces the list by that of a lead record: its leader and the leader's
   predecessors. These may have led again in a term of which no record was
   seen, as @gap says, so their known times do not count then. */
void
coord_predecessors_update (struct hk_coord *c, const char *leader,
                           json_object *record, gboolean gap)
{
  struct coord_predecessor *p;
  struct coord_predecessor *next;
  json_object *before = NULL;
  json_object *ages = NULL;

  json_object_object_get_ex (record, "before", &before);
  json_object_object_get_ex (record, "before_ages_ms", &ages);
  TAILQ_FOREACH (p, &c->predecessors, link)
  {
    p->listed = FALSE;
    if (gap)
      p->superseded_ms = 0;
  }
  leader_record (c, leader);
  if (json_object_is_type (before, json_type_array))
    for (size_t i = 0; i < json_object_array_length (before); i++)
      {
        const char *text
            = json_object_get_string (json_object_array_get_idx (before, i));

        if (text && strcmp (text, leader) != 0)
          superseded_record (c, text, superseded_age_ms (c, before, ages, i));
      }
  for (p = TAILQ_FIRST (&c->predecessors); p; p = next)
    {
      next = TAILQ_NEXT (p, link);
      if (!p->listed)
        predecessor_free (p);
    }
}

/* A malformed record hides who led. The placeholder never answers, so the
   authority of the unknown leader has to expire. */
void
coord_predecessors_add_unknown (struct hk_coord *c)
{
  leader_record (c, UNREACHABLE_ADDRESS);
}

/* This process took over: no earlier term can commit any more. */
void
coord_predecessors_supersede (struct hk_coord *c, int64_t now)
{
  struct coord_predecessor *p;

  TAILQ_FOREACH (p, &c->predecessors, link)
  if (p->superseded_ms == 0)
    p->superseded_ms = now;
  c->predecessor_ceased_ms = now;
}

/* Latest possible end of any lease grant by a predecessor. */
int64_t
coord_predecessors_grant_until (const struct hk_coord *c, int64_t now)
{
  const struct coord_predecessor *p;
  int64_t until = c->predecessor_ceased_ms + c->authority.grant_ms;

  TAILQ_FOREACH (p, &c->predecessors, link)
  until = MAX (until,
               hk_authority_predecessor_until (
                   &c->authority, p->superseded_ms ? p->superseded_ms : now));
  return until;
}

void
coord_predecessors_clear (struct hk_coord *c)
{
  hk_timer_clear (&c->predecessor_timer);
  while (!TAILQ_EMPTY (&c->predecessors))
    predecessor_free (TAILQ_FIRST (&c->predecessors));
}

/* Members of the lead record: addresses of the predecessors whose grants may
   still be valid, and for how long each has been superseded. */
char *
coord_predecessors_to_json (const struct hk_coord *c)
{
  const struct coord_predecessor *p;
  g_autoptr (GString) before = g_string_new (NULL);
  g_autoptr (GString) ages = g_string_new (NULL);
  int64_t now = hk_clock_ms ();

  TAILQ_FOREACH (p, &c->predecessors, link)
  {
    const char *separator = before->len > 0 ? "," : "";
    int64_t age_ms = p->superseded_ms ? now - p->superseded_ms : 0;

    if (hk_authority_predecessor_until (&c->authority, -age_ms) < 0)
      continue;
    g_string_append_printf (before, "%s\"%s\"", separator, p->address);
    g_string_append_printf (ages, "%s%" G_GINT64_FORMAT, separator, age_ms);
  }
  return g_strdup_printf ("\"before\":[%s],\"before_ages_ms\":[%s]",
                          before->str, ages->str);
}

/* Lowers the limit of inherited grants after a predecessor has stopped. */
static void
inherited_grants_shorten (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  int64_t until = coord_predecessors_grant_until (c, now);

  hk_log (HK_LOG_INFO, "coord", NULL, NULL,
          "event=%s term=%" G_GUINT64_FORMAT " after_ms=%" G_GINT64_FORMAT
          " grants_left_ms=%" G_GINT64_FORMAT,
          TAILQ_EMPTY (&c->predecessors) ? "predecessors_ceased"
                                         : "predecessor_ceased",
          c->term, now - c->taken_over_ms, until - now);
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  in->inherited_until_ms = MIN (in->inherited_until_ms, until);
}

static void
on_ping_reply (int rc, void *result, const struct hk_error *err, void *user)
{
  struct coord_predecessor *p = user;
  struct hk_coord *c = p->c;
  const hk_ping_reply *reply = result;

  (void)err;
  if (rc == HK_ERR_STOPPED)
    return;
  p->pinging = FALSE;
  if (rc != HK_OK || reply->leading || c->state != COORD_LEADING)
    return;
  predecessor_free (p);
  c->predecessor_ceased_ms = hk_clock_ms ();
  inherited_grants_shorten (c, c->predecessor_ceased_ms);
  if (TAILQ_EMPTY (&c->predecessors))
    hk_timer_clear (&c->predecessor_timer);
}

static void
on_ping_timer (void *user)
{
  coord_predecessors_ping (user);
}

void
coord_predecessors_ping (struct hk_coord *c)
{
  hk_ping_args args = { .name = c->name };
  struct coord_predecessor *p;
  int64_t now = hk_clock_ms ();

  if (c->state != COORD_LEADING
      || now > coord_predecessors_grant_until (c, now))
    return;
  /* No predecessor but this process itself, in an earlier term or before a
     restart. */
  if (TAILQ_EMPTY (&c->predecessors))
    {
      inherited_grants_shorten (c, now);
      return;
    }
  hk_timer_set (&c->predecessor_timer, PING_INTERVAL_MS, on_ping_timer, c);
  TAILQ_FOREACH (p, &c->predecessors, link)
  {
    if (p->pinging)
      continue;
    if (!p->channel.address)
      hk_rpc_channel_init (&p->channel, p->address, HK_COORD_PROGRAM,
                           HK_COORD_V1);
    p->pinging = TRUE;
    hk_rpc_call (&p->channel, &ping_method, &args, PING_TIMEOUT_MS,
                 on_ping_reply, p);
  }
}

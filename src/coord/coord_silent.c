/* Keeps in the store how much longer the lease grants of silent agents may
   last, so that a successor waits for the rest only. A listed agent gets no
   grant before a commit without it is confirmed, so a list that a successor
   reads names no agent that was granted anything since. */
#include "coord.h"

/* An agent without a report for this long is listed, unless a grant that this
   process gave it may still be valid. */
#define SILENT_MS 1000
/* A list that goes with another commit is written again after this time. */
#define REWRITE_MS 300
/* What a list may say of one agent; a longer silence changes nothing. */
#define LEFT_MAX_MS 600000

/* A listed agent gets no grant while commits fail. So an agent that was heard
   is listed only when it would have none, and no agent is during an outage of
   the store. */
static gboolean
should_list (const struct hk_coord *c, const struct hk_instance *in,
             int64_t now)
{
  /* The records of runs that have ended may not fit the next commit. */
  if (LIST_EMPTY (&in->runs) && !(in->listed_silent && c->engine.n_dirty > 0))
    return FALSE;
  if (!in->last_report_ms)
    return in->listed_silent
           || (now - c->leading_since_ms >= SILENT_MS
               && !c->commit.failing_since_ms);
  if (now - in->last_report_ms < SILENT_MS)
    return FALSE;
  return in->listed_silent
         || (now >= in->granted_until_ms && !c->commit.failing_since_ms);
}

/* Whether the list in the store has to change. */
gboolean
coord_silent_due (const struct hk_coord *c, int64_t now)
{
  const struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->listed_silent != should_list (c, in, now))
    return TRUE;
  return FALSE;
}

static gboolean
any_listed (const struct hk_coord *c)
{
  const struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->listed_silent)
    return TRUE;
  return FALSE;
}

static char *
list_encode (struct hk_coord *c, int64_t now)
{
  g_autoptr (json_object) obj = json_object_new_object ();
  json_object *left = json_object_new_object ();
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    int64_t left_ms = MAX (in->granted_until_ms, in->inherited_until_ms) - now;

    in->in_last_list = should_list (c, in, now);
    if (!in->in_last_list)
      continue;
    if (!in->listed_silent)
      hk_log (HK_LOG_INFO, "coord", in->name, NULL,
              "event=agent_listed grants_left_ms=%" G_GINT64_FORMAT
              " runs=%u; it gets no grants until it is off the list",
              left_ms, in->n_runs);
    in->listed_silent = TRUE;
    json_object_object_add (left, in->name, json_object_new_int64 (left_ms));
  }
  json_object_object_add (obj, "grants_left_ms", left);
  return g_strdup (json_object_to_json_string (obj));
}

/* Returns the list for the commit that is being built, or NULL if the commit
   needs none. */
char *
coord_silent_next (struct hk_coord *c, int64_t now)
{
  gboolean old = now - c->silent_written_ms >= REWRITE_MS && any_listed (c);

  c->silent_in_flight = old || coord_silent_due (c, now);
  if (!c->silent_in_flight)
    return NULL;
  c->silent_written_ms = now;
  return list_encode (c, now);
}

/* The commit in flight took effect. Agents that its list leaves out get their
   grants at once. */
void
coord_silent_committed (struct hk_coord *c)
{
  struct hk_instance *in;

  if (!c->silent_in_flight)
    return;
  c->silent_in_flight = FALSE;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    gboolean was_listed = in->listed_silent;

    in->listed_silent = in->in_last_list;
    if (!was_listed || in->listed_silent)
      continue;
    hk_log (HK_LOG_INFO, "coord", in->name, NULL,
            "event=agent_unlisted heard_ms_ago=%" G_GINT64_FORMAT,
            in->last_report_ms ? hk_clock_ms () - in->last_report_ms : -1);
    if (in->link)
      coord_link_reply (in->link, TRUE);
  }
}

static void
silent_load (struct hk_coord *c, const char *name, int64_t left_ms,
             int64_t read_ms)
{
  struct hk_instance *in = hk_engine_instance_get (&c->engine, name);
  int64_t until = hk_authority_left_until (left_ms, read_ms);

  in->listed_silent = TRUE;
  in->inherited_until_ms = MIN (in->inherited_until_ms, until);
  hk_log (HK_LOG_INFO, "coord", name, NULL,
          "event=agent_silent grants_left_ms=%" G_GINT64_FORMAT
          " released_in_ms=%" G_GINT64_FORMAT,
          left_ms,
          hk_authority_terminated_at (&c->authority, in->inherited_until_ms)
              - read_ms);
}

/* Applies the list that predecessors left, read at @read_ms after the
   takeover. Without a valid entry an agent is waited for in full. */
void
coord_silent_apply (struct hk_coord *c, const char *text, int64_t read_ms)
{
  g_autoptr (json_object) obj = NULL;
  json_object *left = NULL;
  struct hk_error err;

  if (hk_json_parse (&obj, text, strlen (text), HK_KEY_SILENT, &err) < 0)
    {
      hk_log_error ("coord", NULL, &err);
      return;
    }
  if (!json_object_object_get_ex (obj, "grants_left_ms", &left)
      || !json_object_is_type (left, json_type_object))
    return;
  json_object_object_foreach (left, name, value)
  {
    int64_t left_ms = json_object_get_int64 (value);

    if (json_object_is_type (value, json_type_int))
      silent_load (c, name, CLAMP (left_ms, -LEFT_MAX_MS, LEFT_MAX_MS),
                   read_ms);
  }
}

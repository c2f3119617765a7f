/* Silent agents: how much longer the lease grants may last that any
   coordinator has given them. The leader keeps this in the store, so that a
   successor waits for the rest only. An agent that is listed there gets no
   grant before a commit without it is confirmed; a list that a successor reads
   is therefore never older than the last grant. */
#include "coord.h"

/* An agent without a report for this long is listed. */
#define SILENT_MS 1000
/* A list that goes with another commit is written again after this time. */
#define REWRITE_MS 300
/* What a list may say of one agent; a longer silence changes nothing. */
#define LEFT_MAX_MS 600000

static gboolean
should_list (const struct hk_coord *c, const struct hk_instance *in,
             int64_t now)
{
  int64_t heard_ms = MAX (in->last_report_ms, c->taken_over_ms);

  if (LIST_EMPTY (&in->runs))
    return FALSE;
  if (in->listed && !in->last_report_ms)
    return TRUE;
  /* An agent that returns during an outage of the store must get grants. */
  return now - heard_ms >= SILENT_MS
         && (in->listed || !c->commit.failing_since_ms);
}

/* Whether the list in the store has to change. */
gboolean
coord_silent_due (const struct hk_coord *c, int64_t now)
{
  const struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->listed != should_list (c, in, now))
    return TRUE;
  return FALSE;
}

static gboolean
any_listed (const struct hk_coord *c)
{
  const struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  if (in->listed)
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
    int64_t until = MAX (in->granted_until_ms, in->inherited_until_ms);

    in->list_sent = should_list (c, in, now);
    if (!in->list_sent)
      continue;
    in->listed = TRUE;
    json_object_object_add (left, in->name,
                            json_object_new_int64 (until - now));
  }
  json_object_object_add (obj, "left_ms", left);
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
    gboolean was_listed = in->listed;

    in->listed = in->list_sent;
    if (was_listed && !in->listed && in->link)
      coord_link_reply (in->link, TRUE);
  }
}

static void
silent_load (struct hk_coord *c, const char *name, int64_t left_ms,
             int64_t read_ms)
{
  struct hk_instance *in = hk_engine_instance_get (&c->engine, name);
  int64_t until = hk_authority_left_until (left_ms, read_ms);

  in->listed = TRUE;
  in->inherited_until_ms = MIN (in->inherited_until_ms, until);
  hk_log (HK_LOG_INFO, "coord", name, NULL,
          "event=agent_silent left_ms=%" G_GINT64_FORMAT
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
  if (!json_object_object_get_ex (obj, "left_ms", &left)
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

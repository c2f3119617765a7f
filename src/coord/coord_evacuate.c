/* Evacuation of failure domains: the operator names domains in which nothing
   may start, at any time and for any time. The set is state of the adapter's
   store; each process keeps a copy, which stays in force while the store does
   not answer. */
#include "coord.h"

#include "hyssopkeel/job_placement.h"

/* A set that was confirmed longer before the takeover is confirmed again
   before anything is placed: this process may have been suspended since. The
   adapter confirms it about once a second. */
#define CONFIRMED_BEFORE_TAKEOVER_MS 2000
/* The endpoints of a restored domain may be cold: for RAMP_MS each gets one
   start per RAMP_INTERVAL_MS, so that the tasks which wait do not all start on
   them at once. With 250 ms for 5 s, short tasks that had waited for the
   domain stood still for over 3 s. */
#define RAMP_MS 1500
#define RAMP_INTERVAL_MS 100
/* Least time between two searches for a service task to move: each looks at
   all pairs of services in the domain and instances outside. */
#define SEARCH_INTERVAL_MS 250

struct coord_evacuation
{
  int64_t revision; /* of the operator's write */
  int64_t since_ms; /* when this process learned of it */
};

void
coord_evacuations_init (struct coord_evacuations *e, gboolean awaited)
{
  e->awaited = awaited;
  e->domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
coord_evacuations_finish (struct coord_evacuations *e)
{
  g_hash_table_unref (e->domains);
}

gboolean
coord_evacuations_known (struct hk_coord *c)
{
  struct coord_evacuations *e = &c->evacuations;

  if (!e->awaited || e->known_term == c->term)
    return TRUE;
  if (!e->confirmed_ms
      || e->confirmed_ms < c->taken_over_ms - CONFIRMED_BEFORE_TAKEOVER_MS)
    return FALSE;
  e->known_term = c->term;
  return TRUE;
}

/* Brings the instance in line with the set. */
void
coord_evacuation_apply (struct hk_coord *c, struct hk_instance *in)
{
  gboolean evacuated
      = in->domain
        && g_hash_table_contains (c->evacuations.domains, in->domain);

  if (in->evacuated == evacuated)
    return;
  in->evacuated = evacuated;
  in->ramp_until_ms = evacuated ? 0 : hk_clock_ms () + RAMP_MS;
  in->changes++;
}

gboolean
coord_evacuation_ramps (const struct hk_instance *in, int64_t now)
{
  return now < in->ramp_until_ms && now - in->placed_ms < RAMP_INTERVAL_MS;
}

/* Names are the operator's; Prometheus escapes labels as C does. */
static void
export_domain (const char *domain, gboolean evacuated)
{
  g_autofree char *escaped = g_strescape (domain, NULL);
  g_autofree char *label = g_strdup_printf ("domain=\"%s\"", escaped);

  hk_metric_get ("hyssopkeel_domain_evacuated", label)->value = evacuated;
}

/* Removes the domains that @list lacks. Returns whether there were any. */
static gboolean
restore_domains (struct coord_evacuations *e, const struct hk_evacuation *list,
                 size_t n, int64_t revision, int64_t now)
{
  gboolean changed = FALSE;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, e->domains);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct coord_evacuation *old = value;
      size_t i = 0;

      while (i < n && strcmp (list[i].domain, key) != 0)
        i++;
      if (i < n)
        continue;
      hk_log (HK_LOG_INFO, "coord", NULL, NULL,
              "event=domain_restored domain=%.64s revision=%" G_GINT64_FORMAT
              " evacuated_at=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT,
              (const char *)key, revision, old->revision, now - old->since_ms);
      export_domain (key, FALSE);
      g_hash_table_iter_remove (&iter);
      changed = TRUE;
    }
  return changed;
}

/* Adds the domains of @list. Returns whether one is new. */
static gboolean
evacuate_domains (struct coord_evacuations *e,
                  const struct hk_evacuation *list, size_t n, int64_t revision,
                  int64_t now)
{
  gboolean changed = FALSE;

  for (size_t i = 0; i < n; i++)
    {
      struct coord_evacuation *old
          = g_hash_table_lookup (e->domains, list[i].domain);
      struct coord_evacuation *new;

      if (old)
        {
          old->revision = list[i].revision;
          continue;
        }
      new = g_new0 (struct coord_evacuation, 1);
      new->revision = list[i].revision;
      new->since_ms = now;
      g_hash_table_insert (e->domains, g_strdup (list[i].domain), new);
      changed = TRUE;
      export_domain (list[i].domain, TRUE);
      hk_log (HK_LOG_INFO, "coord", NULL, NULL,
              "event=domain_evacuated domain=%.64s revision=%" G_GINT64_FORMAT
              " read_at=%" G_GINT64_FORMAT
              " last_read_ms_ago=%" G_GINT64_FORMAT,
              list[i].domain, list[i].revision, revision,
              e->confirmed_ms ? now - e->confirmed_ms : -1);
    }
  return changed;
}

/* Runs that are not known to have started are withdrawn or stopped at once; a
   start that was ordered just before ends within its deadline. */
static void
instances_update (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    coord_evacuation_apply (c, in);
    if (in->evacuated)
      coord_unstarted_runs_end (in, now);
  }
}

void
hk_coord_set_evacuations (struct hk_coord *c, const struct hk_evacuation *list,
                          size_t n, int64_t revision)
{
  struct coord_evacuations *e = &c->evacuations;
  int64_t now = hk_clock_ms ();
  gboolean was_known = coord_evacuations_known (c);
  gboolean changed = restore_domains (e, list, n, revision, now);

  changed = evacuate_domains (e, list, n, revision, now) || changed;
  e->confirmed_ms = now;
  e->revision = revision;
  hk_metric_get ("hyssopkeel_evacuations_read_seconds", "")->value
      = (double)coord_wall_ms () / 1000.0;
  if ((!changed && was_known) || c->state != COORD_LEADING)
    return;
  instances_update (c, now);
  coord_links_reply (c);
  coord_pass_schedule (c);
}

static gboolean
has_other_instance (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  struct hk_job_place_need need = coord_place_need (run->task->step);
  struct hk_instance *in;
  double score;

  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    struct hk_job_place_view v = { 0 };

    if (in != run->instance && coord_task_fits (c, &v, in, run->task, now)
        && hk_job_place_score (&v, &need, &score))
      return TRUE;
  }
  return FALSE;
}

/* Tasks that end by themselves run to completion there, and a draining
   instance has moves of its own. */
static gboolean
should_move (struct hk_coord *c, const struct hk_run *run, int64_t now)
{
  const struct hk_engine_step *step = run->task->step;

  return (step->spec->flags & HK_STEP_SERVICE) && !run->to_stop
         && !run->instance->draining && hk_engine_job_active (step->job)
         && coord_step_serves (step, now) && has_other_instance (c, run, now);
}

void
coord_evacuate (struct hk_coord *c, int64_t now)
{
  struct hk_instance *in;
  struct hk_run *run;

  if (g_hash_table_size (c->evacuations.domains) == 0
      || now - c->evacuations.searched_ms < SEARCH_INTERVAL_MS
      || coord_store_failing (c, now) || !coord_move_due (c, now))
    return;
  c->evacuations.searched_ms = now;
  TAILQ_FOREACH (in, &c->engine.instance_list, next)
  {
    if (!in->evacuated)
      continue;
    LIST_FOREACH (run, &in->runs, link)
    if (should_move (c, run, now))
      {
        hk_log (HK_LOG_INFO, "drain", in->name, run->task->step->job->spec.id,
                "event=service_evacuated step=%u index=%u run=%u domain=%.64s "
                "set_age_ms=%" G_GINT64_FORMAT,
                run->task->step->index, run->task->index, run->number,
                in->domain, now - c->evacuations.confirmed_ms);
        coord_move_begin (c, run, now);
        return;
      }
  }
}

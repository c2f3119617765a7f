/* Evacuations of the soak: an operator evacuates failure domains and restores
   them. Nothing may start there later than the allowed time after the write,
   except on machines that are not in contact. */
#include "soak.h"

#include "hyssopkeel/clock.h"

/* A start is allowed for this long after the store has acknowledged the
   write. */
#define EVACUATE_MS 5000
/* A machine is in contact once it and the store were not disrupted for this
   long. */
#define CONTACT_MS 4000
/* A restored domain is in use after this time: the longest that a watch takes
   to notice, without faults of the store. */
#define RESTORED_MS 2000
/* After this process, with its store and workers, was held up for so long, no
   machine is in contact. */
#define STALL_MS 500
#define INTERVAL_MIN_MS 500
#define INTERVAL_MAX_MS 3000
#define SHORT_MAX_MS 900
#define LONG_MIN_MS 6500
#define LONG_MAX_MS 11000
/* One evacuation in so many is shorter than a second; in as many, the store
   loses its events while a domain is restored. */
#define SHORT_ONE_IN 4
#define LOST_ONE_IN 4

static const char *const names[SOAK_DOMAINS] = { "d0", "d1", "d2" };

void
soak_evacuations_init (struct soak *s)
{
  s->evacuations.rand = g_rand_new_with_seed (s->seed * 7919U + 1);
}

void
soak_evacuations_finish (struct soak *s)
{
  g_rand_free (s->evacuations.rand);
}

const char *
soak_domain_name (const struct soak *s, unsigned i)
{
  return s->evacuations.enabled ? names[i % SOAK_DOMAINS] : "d";
}

static gboolean
store_answers (const struct soak *s)
{
  return !s->store.down && !s->store.unresponsive;
}

static void
domain_evacuate (struct soak *s, int i, int64_t now)
{
  struct soak_evacuations *e = &s->evacuations;
  struct soak_domain *d = &e->domains[i];
  g_autofree char *key = g_strconcat ("op/evacuate/", names[i], NULL);
  gboolean brief = g_rand_int_range (e->rand, 0, SHORT_ONE_IN) == 0;

  soak_store_put (&s->store, key, "{}");
  d->evacuated_ms = now;
  d->restore_at_ms
      = now
        + (brief ? g_rand_int_range (e->rand, 10, SHORT_MAX_MS)
                 : g_rand_int_range (e->rand, LONG_MIN_MS, LONG_MAX_MS));
  e->count++;
}

static void
domain_restore (struct soak *s, int i, int64_t now)
{
  struct soak_domain *d = &s->evacuations.domains[i];
  g_autofree char *key = g_strconcat ("op/evacuate/", names[i], NULL);

  soak_store_remove (&s->store, key);
  d->evacuated_ms = 0;
  d->restored_ms = now;
  if (g_rand_int_range (s->evacuations.rand, 0, LOST_ONE_IN) == 0)
    s->store.lost_histories = (int)(s->n_entries + s->n_agents);
}

void
soak_evacuations_run_due (struct soak *s)
{
  struct soak_evacuations *e = &s->evacuations;
  int64_t now = hk_clock_ms ();
  int i;

  if (now - e->turn_ms > STALL_MS)
    e->stalled_ms = now;
  e->turn_ms = now;
  if (!store_answers (s))
    return;
  for (i = 0; i < SOAK_DOMAINS; i++)
    if (e->domains[i].evacuated_ms && now >= e->domains[i].restore_at_ms)
      domain_restore (s, i, now);
  if (!e->active || now < e->next_ms)
    return;
  e->next_ms
      = now + g_rand_int_range (e->rand, INTERVAL_MIN_MS, INTERVAL_MAX_MS);
  i = g_rand_int_range (e->rand, 0, SOAK_DOMAINS);
  if (!e->domains[i].evacuated_ms)
    domain_evacuate (s, i, now);
}

void
soak_evacuations_end (struct soak *s)
{
  s->evacuations.active = FALSE;
  s->store.lost_histories = 0;
  for (int i = 0; i < SOAK_DOMAINS; i++)
    if (s->evacuations.domains[i].evacuated_ms)
      domain_restore (s, i, hk_clock_ms ());
}

static const struct soak_domain *
domain_of (const struct soak *s, const struct soak_node *n)
{
  return &s->evacuations.domains[(n - s->nodes) % SOAK_DOMAINS];
}

gboolean
soak_node_evacuated (const struct soak *s, const struct soak_node *n,
                     int64_t now)
{
  const struct soak_domain *d = domain_of (s, n);

  return s->evacuations.enabled
         && (d->evacuated_ms
             || (d->restored_ms && now - d->restored_ms < RESTORED_MS));
}

void
soak_evacuations_check (struct soak_worker *w, const char *task, gboolean late,
                        void *user)
{
  struct soak *s = user;
  struct soak_evacuations *e = &s->evacuations;
  const struct soak_node *n = &s->nodes[s->n_entries + (w - s->workers)];
  const struct soak_domain *d = domain_of (s, n);
  int64_t now = hk_clock_ms ();
  int64_t after_ms = now - d->evacuated_ms;

  if (!e->enabled || !d->evacuated_ms || late
      || now - MAX (n->disrupted_ms, n->started_ms) < CONTACT_MS
      || now - MAX (s->standing.store_ms, e->stalled_ms) < CONTACT_MS)
    return;
  e->starts++;
  e->longest_ms = MAX (e->longest_ms, after_ms);
  if (after_ms > EVACUATE_MS)
    soak_violation (&s->oracle,
                    "%s starts on %s %" G_GINT64_FORMAT
                    " ms after its domain was evacuated",
                    task, w->name, after_ms);
}

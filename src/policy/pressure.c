/* Learns which fillers disturb which serving tasks, by a Kalman filter with
   independent pairs. Answers fillers of many images of which a few press hard
   on some serving images and the others on none. */
#include "hyssopkeel/pressure.h"

/* Pressure of a pair that has not been seen, and its variance: three of four
   pairs are near 0 and the others between 3 and 25 on the days measured in
   docs/MEASUREMENTS.md. */
#define GUESS 1.5
#define GUESS_VARIANCE 9.0
/* Pressures drift; this is added to the variance with each observation. */
#define DRIFT_VARIANCE 0.002
#define PRESSURE_MAX 40.0
/* What another process learned may be a few seconds old. */
#define SEED_VARIANCE 1.0
/* Pairs that are kept, some 200 bytes each; images come and go. With more, all
   are learned anew. */
#define PAIRS_MAX 4096

struct pair
{
  char *serving;
  char *filler;
  double mean;
  double variance;
};

static const struct pair unknown
    = { .mean = GUESS, .variance = GUESS_VARIANCE };

static void
free_pair (gpointer data)
{
  struct pair *pair = data;

  g_free (pair->serving);
  g_free (pair->filler);
  g_free (pair);
}

static char *
key_of (const char *serving, const char *filler)
{
  return g_strconcat (serving, "|", filler, NULL);
}

void
hk_pressure_init (struct hk_pressure *p)
{
  p->pairs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_pair);
}

void
hk_pressure_finish (struct hk_pressure *p)
{
  g_clear_pointer (&p->pairs, g_hash_table_unref);
}

static const struct pair *
find (const struct hk_pressure *p, const char *serving, const char *filler)
{
  g_autofree char *key = key_of (serving, filler);
  const struct pair *pair = g_hash_table_lookup (p->pairs, key);

  return pair ? pair : &unknown;
}

static struct pair *
claim (struct hk_pressure *p, const char *serving, const char *filler)
{
  g_autofree char *key = key_of (serving, filler);
  struct pair *pair = g_hash_table_lookup (p->pairs, key);

  if (!pair)
    {
      if (g_hash_table_size (p->pairs) >= PAIRS_MAX)
        g_hash_table_remove_all (p->pairs);
      pair = g_new (struct pair, 1);
      *pair = unknown;
      pair->serving = g_strdup (serving);
      pair->filler = g_strdup (filler);
      g_hash_table_insert (p->pairs, g_steal_pointer (&key), pair);
    }
  return pair;
}

double
hk_pressure_get (const struct hk_pressure *p, const char *serving,
                 const char *filler)
{
  return find (p, serving, filler)->mean;
}

void
hk_pressure_set (struct hk_pressure *p, const char *serving,
                 const char *filler, double value)
{
  claim (p, serving, filler)->mean = CLAMP (value, 0.0, PRESSURE_MAX);
}

void
hk_pressure_seed (struct hk_pressure *p, const char *serving,
                  const char *filler, double value)
{
  struct pair *pair;

  if (find (p, serving, filler) != &unknown)
    return;
  pair = claim (p, serving, filler);
  pair->mean = CLAMP (value, 0.0, PRESSURE_MAX);
  pair->variance = SEED_VARIANCE;
}

void
hk_pressure_foreach (const struct hk_pressure *p,
                     void (*visit) (const char *serving, const char *filler,
                                    double value, void *user),
                     void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, p->pairs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct pair *pair = value;

      visit (pair->serving, pair->filler, pair->mean, user);
    }
}

double
hk_pressure_fall (const struct hk_pressure *p, const char *serving,
                  const struct hk_pressure_use *uses, unsigned n,
                  double *variance)
{
  double fall = 0;

  *variance = 0;
  for (unsigned i = 0; i < n; i++)
    {
      const struct pair *pair = find (p, serving, uses[i].image);

      fall += pair->mean * uses[i].share;
      *variance += pair->variance * uses[i].share * uses[i].share;
    }
  return fall;
}

void
hk_pressure_learn (struct hk_pressure *p, const char *serving, double fall,
                   double noise, const struct hk_pressure_use *uses,
                   unsigned n)
{
  double spread;
  double error = fall - hk_pressure_fall (p, serving, uses, n, &spread);

  for (unsigned i = 0; i < n; i++)
    {
      struct pair *pair = claim (p, serving, uses[i].image);
      double gain = pair->variance * uses[i].share / (spread + noise);

      pair->mean = CLAMP (pair->mean + gain * error, 0.0, PRESSURE_MAX);
      pair->variance += DRIFT_VARIANCE - gain * uses[i].share * pair->variance;
    }
}

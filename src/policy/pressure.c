/* Learns which fillers disturb which serving tasks, by normalized least mean
   squares over differences. Answers fillers of many images of which some
   press hard and some hardly at all. */
#include "hyssopkeel/pressure.h"

/* Pressure of a pair that has not been seen. */
#define GUESS 1.5
/* Share of an error that one sample corrects. */
#define RATE 0.25
/* Use that changes by less than this square tells nothing. */
#define USE_MIN 0.0004
/* Keeps small changes from making large corrections. */
#define DAMPING 0.004
#define PRESSURE_MIN 0.02
#define PRESSURE_MAX 20.0
/* A rise over this comes from a crash of the tail, not from one filler. */
#define RISE_MAX 1.5

void
hk_pressure_init (struct hk_pressure *p)
{
  p->pairs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
hk_pressure_finish (struct hk_pressure *p)
{
  g_clear_pointer (&p->pairs, g_hash_table_unref);
}

static double *
find (const struct hk_pressure *p, const char *serving, const char *filler)
{
  g_autofree char *key = g_strconcat (serving, "|", filler, NULL);

  return g_hash_table_lookup (p->pairs, key);
}

double
hk_pressure_get (const struct hk_pressure *p, const char *serving,
                 const char *filler)
{
  const double *value = find (p, serving, filler);

  return value ? *value : GUESS;
}

void
hk_pressure_set (struct hk_pressure *p, const char *serving,
                 const char *filler, double value)
{
  double *slot = find (p, serving, filler);

  if (!slot)
    {
      slot = g_new0 (double, 1);
      g_hash_table_insert (p->pairs, g_strconcat (serving, "|", filler, NULL),
                           slot);
    }
  *slot = CLAMP (value, PRESSURE_MIN, PRESSURE_MAX);
}

void
hk_pressure_learn (struct hk_pressure *p, const char *serving, double rise,
                   const struct hk_pressure_use *uses, unsigned n)
{
  double error = CLAMP (rise, -RISE_MAX, RISE_MAX);
  double power = 0;

  for (unsigned i = 0; i < n; i++)
    {
      power += uses[i].share * uses[i].share;
      error -= hk_pressure_get (p, serving, uses[i].image) * uses[i].share;
    }
  if (power < USE_MIN)
    return;
  for (unsigned i = 0; i < n; i++)
    hk_pressure_set (p, serving, uses[i].image,
                     hk_pressure_get (p, serving, uses[i].image)
                         + RATE * error * uses[i].share / (power + DAMPING));
}

/* Learns by how much best-effort tasks of one image slow service tasks of
   another: a Kalman filter that treats the pairs of images as independent.
   Load pattern: best-effort tasks of many images, of which a few interfere
   strongly with some serving images and the rest with none. */
#include "hyssopkeel/interference_model.h"

/* Interference of a pair without observations, as lost headroom at full CPU
   use, and its variance. Three of four pairs are near 0 and the others between
   3 and 25 (docs/MEASUREMENTS.md). */
#define PRIOR_MEAN 1.5
#define PRIOR_VARIANCE 9.0
/* Process noise, squared headroom: added with each observation because
   interference drifts. */
#define DRIFT_VARIANCE 0.002
/* Upper bound of an estimate, lost headroom. */
#define MEAN_MAX 40.0
/* Variance of an estimate taken from another process, squared headroom: it may
   be a few seconds old. */
#define SEED_VARIANCE 1.0
/* Bounds memory at some 200 bytes a pair, as images come and go. At the limit
   all pairs are dropped and learned anew. */
#define PAIRS_MAX 4096

struct pair
{
  char *serving_image;
  char *best_effort_image;
  double mean;
  double variance;
};

static const struct pair prior
    = { .mean = PRIOR_MEAN, .variance = PRIOR_VARIANCE };

static void
pair_free (gpointer data)
{
  struct pair *pair = data;

  g_free (pair->serving_image);
  g_free (pair->best_effort_image);
  g_free (pair);
}

static char *
pair_key (const char *serving_image, const char *best_effort_image)
{
  return g_strconcat (serving_image, "|", best_effort_image, NULL);
}

void
hk_interference_model_init (struct hk_interference_model *model)
{
  model->pairs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pair_free);
}

void
hk_interference_model_finish (struct hk_interference_model *model)
{
  g_clear_pointer (&model->pairs, g_hash_table_unref);
}

static const struct pair *
lookup_pair (const struct hk_interference_model *model,
             const char *serving_image, const char *best_effort_image)
{
  g_autofree char *key = pair_key (serving_image, best_effort_image);
  const struct pair *pair = g_hash_table_lookup (model->pairs, key);

  return pair ? pair : &prior;
}

static struct pair *
lookup_or_add_pair (struct hk_interference_model *model,
                    const char *serving_image, const char *best_effort_image)
{
  g_autofree char *key = pair_key (serving_image, best_effort_image);
  struct pair *pair = g_hash_table_lookup (model->pairs, key);

  if (!pair)
    {
      if (g_hash_table_size (model->pairs) >= PAIRS_MAX)
        g_hash_table_remove_all (model->pairs);
      pair = g_new (struct pair, 1);
      *pair = prior;
      pair->serving_image = g_strdup (serving_image);
      pair->best_effort_image = g_strdup (best_effort_image);
      g_hash_table_insert (model->pairs, g_steal_pointer (&key), pair);
    }
  return pair;
}

double
hk_interference_model_get (const struct hk_interference_model *model,
                           const char *serving_image,
                           const char *best_effort_image)
{
  return lookup_pair (model, serving_image, best_effort_image)->mean;
}

void
hk_interference_model_set (struct hk_interference_model *model,
                           const char *serving_image,
                           const char *best_effort_image, double value)
{
  lookup_or_add_pair (model, serving_image, best_effort_image)->mean
      = CLAMP (value, 0.0, MEAN_MAX);
}

void
hk_interference_model_seed (struct hk_interference_model *model,
                            const char *serving_image,
                            const char *best_effort_image, double value)
{
  struct pair *pair;

  if (lookup_pair (model, serving_image, best_effort_image) != &prior)
    return;
  pair = lookup_or_add_pair (model, serving_image, best_effort_image);
  pair->mean = CLAMP (value, 0.0, MEAN_MAX);
  pair->variance = SEED_VARIANCE;
}

void
hk_interference_model_foreach (const struct hk_interference_model *model,
                               void (*visit) (const char *serving_image,
                                              const char *best_effort_image,
                                              double value, void *user),
                               void *user)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, model->pairs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct pair *pair = value;

      visit (pair->serving_image, pair->best_effort_image, pair->mean, user);
    }
}

double
hk_interference_model_predict (const struct hk_interference_model *model,
                               const char *serving_image,
                               const struct hk_interference_source *sources,
                               unsigned n, double *variance)
{
  double loss = 0;

  *variance = 0;
  for (unsigned i = 0; i < n; i++)
    {
      const struct pair *pair
          = lookup_pair (model, serving_image, sources[i].image);

      loss += pair->mean * sources[i].cpu_share;
      *variance
          += pair->variance * sources[i].cpu_share * sources[i].cpu_share;
    }
  return loss;
}

void
hk_interference_model_update (struct hk_interference_model *model,
                              const char *serving_image, double loss,
                              double noise,
                              const struct hk_interference_source *sources,
                              unsigned n)
{
  double variance;
  double residual = loss
                    - hk_interference_model_predict (model, serving_image,
                                                     sources, n, &variance);

  for (unsigned i = 0; i < n; i++)
    {
      struct pair *pair
          = lookup_or_add_pair (model, serving_image, sources[i].image);
      double gain = pair->variance * sources[i].cpu_share / (variance + noise);

      pair->mean = CLAMP (pair->mean + gain * residual, 0.0, MEAN_MAX);
      pair->variance
          += DRIFT_VARIANCE - gain * sources[i].cpu_share * pair->variance;
    }
}

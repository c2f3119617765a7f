/* Learns by how much best-effort tasks of one image slow service tasks of
   another: a Kalman filter that treats the pairs of images as independent.
   Load pattern: best-effort tasks of many images, of which a few interfere
   strongly with some serving images and the rest with none. */
#include "hyssopkeel/interference_model.h"

#include <string.h>

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
/* Bounds the memory of the pairs at some 800 kB, as images come and go. */
#define IMAGES_MAX 256
#define CAPACITY_MIN 16

struct hk_interference_pair
{
  float mean;
  float variance;
  gboolean known; /* observed, or taken from another process */
};

static const struct hk_interference_pair prior
    = { .mean = PRIOR_MEAN, .variance = PRIOR_VARIANCE };

void
hk_interference_model_init (struct hk_interference_model *model)
{
  memset (model, 0, sizeof *model);
  model->images
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  model->names = g_ptr_array_new ();
  model->generation = 1;
}

void
hk_interference_model_finish (struct hk_interference_model *model)
{
  g_clear_pointer (&model->images, g_hash_table_unref);
  g_clear_pointer (&model->names, g_ptr_array_unref);
  g_clear_pointer (&model->pairs, g_free);
}

static void
reset (struct hk_interference_model *model)
{
  g_ptr_array_set_size (model->names, 0);
  g_hash_table_remove_all (model->images);
  for (unsigned i = 0; i < model->capacity * model->capacity; i++)
    model->pairs[i] = prior;
  model->generation++;
}

static void
grow (struct hk_interference_model *model)
{
  unsigned old = model->capacity;
  unsigned capacity = MAX (2 * old, CAPACITY_MIN);
  struct hk_interference_pair *pairs
      = g_new (struct hk_interference_pair, (gsize)capacity * capacity);

  for (unsigned i = 0; i < capacity; i++)
    for (unsigned k = 0; k < capacity; k++)
      pairs[i * capacity + k]
          = i < old && k < old ? model->pairs[i * old + k] : prior;
  g_free (model->pairs);
  model->pairs = pairs;
  model->capacity = capacity;
}

unsigned
hk_interference_model_image (struct hk_interference_model *model,
                             const char *name)
{
  gpointer number;
  char *key;

  if (g_hash_table_lookup_extended (model->images, name, NULL, &number))
    return GPOINTER_TO_UINT (number);
  if (model->names->len == IMAGES_MAX)
    reset (model);
  if (model->names->len == model->capacity)
    grow (model);
  key = g_strdup (name);
  g_ptr_array_add (model->names, key);
  g_hash_table_insert (model->images, key,
                       GUINT_TO_POINTER (model->names->len - 1));
  return model->names->len - 1;
}

gboolean
hk_interference_model_has_room (const struct hk_interference_model *model,
                                unsigned n)
{
  return model->names->len + n <= IMAGES_MAX;
}

void
hk_interference_model_forget_from (struct hk_interference_model *model,
                                   unsigned number)
{
  for (unsigned i = number; i < model->names->len; i++)
    for (unsigned k = 0; k < model->names->len; k++)
      model->pairs[i * model->capacity + k]
          = model->pairs[k * model->capacity + i] = prior;
  for (unsigned i = number; i < model->names->len; i++)
    g_hash_table_remove (model->images, model->names->pdata[i]);
  if (number < model->names->len)
    g_ptr_array_set_size (model->names, (int)number);
}

static struct hk_interference_pair *
pair_at (const struct hk_interference_model *model, unsigned serving,
         unsigned best_effort)
{
  return &model->pairs[serving * model->capacity + best_effort];
}

static struct hk_interference_pair *
pair_of (struct hk_interference_model *model, const char *serving_image,
         const char *best_effort_image)
{
  unsigned generation;
  unsigned serving;
  unsigned best_effort;

  /* The second number may invalidate the first. */
  do
    {
      generation = model->generation;
      serving = hk_interference_model_image (model, serving_image);
      best_effort = hk_interference_model_image (model, best_effort_image);
    }
  while (generation != model->generation);
  return pair_at (model, serving, best_effort);
}

double
hk_interference_model_at (const struct hk_interference_model *model,
                          unsigned serving, unsigned best_effort)
{
  return pair_at (model, serving, best_effort)->mean;
}

gboolean
hk_interference_model_observed (const struct hk_interference_model *model,
                                unsigned serving, unsigned best_effort)
{
  return pair_at (model, serving, best_effort)->known;
}

double
hk_interference_model_get (const struct hk_interference_model *model,
                           const char *serving_image,
                           const char *best_effort_image)
{
  gpointer serving;
  gpointer best_effort;

  if (!g_hash_table_lookup_extended (model->images, serving_image, NULL,
                                     &serving)
      || !g_hash_table_lookup_extended (model->images, best_effort_image, NULL,
                                        &best_effort))
    return prior.mean;
  return hk_interference_model_at (model, GPOINTER_TO_UINT (serving),
                                   GPOINTER_TO_UINT (best_effort));
}

void
hk_interference_model_set (struct hk_interference_model *model,
                           const char *serving_image,
                           const char *best_effort_image, double value)
{
  struct hk_interference_pair *pair
      = pair_of (model, serving_image, best_effort_image);

  pair->mean = (float)CLAMP (value, 0.0, MEAN_MAX);
  pair->known = TRUE;
}

void
hk_interference_model_seed (struct hk_interference_model *model,
                            const char *serving_image,
                            const char *best_effort_image, double value)
{
  struct hk_interference_pair *pair
      = pair_of (model, serving_image, best_effort_image);

  if (pair->known)
    return;
  pair->mean = (float)CLAMP (value, 0.0, MEAN_MAX);
  pair->variance = SEED_VARIANCE;
  pair->known = TRUE;
}

void
hk_interference_model_foreach (const struct hk_interference_model *model,
                               void (*visit) (const char *serving_image,
                                              const char *best_effort_image,
                                              double value, void *user),
                               void *user)
{
  for (guint i = 0; i < model->names->len; i++)
    for (guint k = 0; k < model->names->len; k++)
      {
        const struct hk_interference_pair *pair = pair_at (model, i, k);

        if (pair->known)
          visit (model->names->pdata[i], model->names->pdata[k], pair->mean,
                 user);
      }
}

double
hk_interference_model_predict (const struct hk_interference_model *model,
                               unsigned serving,
                               const struct hk_interference_source *sources,
                               unsigned n, double *variance)
{
  double loss = 0;

  *variance = 0;
  for (unsigned i = 0; i < n; i++)
    {
      const struct hk_interference_pair *pair
          = pair_at (model, serving, sources[i].image);

      loss += pair->mean * sources[i].cpu_share;
      *variance
          += pair->variance * sources[i].cpu_share * sources[i].cpu_share;
    }
  return loss;
}

void
hk_interference_model_update (struct hk_interference_model *model,
                              unsigned serving, double loss, double noise,
                              const struct hk_interference_source *sources,
                              unsigned n)
{
  double variance;
  double residual = loss
                    - hk_interference_model_predict (model, serving, sources,
                                                     n, &variance);

  for (unsigned i = 0; i < n; i++)
    {
      struct hk_interference_pair *pair
          = pair_at (model, serving, sources[i].image);
      double gain = pair->variance * sources[i].cpu_share / (variance + noise);

      pair->mean = (float)CLAMP (pair->mean + gain * residual, 0.0, MEAN_MAX);
      pair->variance
          += (float)(DRIFT_VARIANCE
                     - gain * sources[i].cpu_share * pair->variance);
      pair->known = TRUE;
    }
}

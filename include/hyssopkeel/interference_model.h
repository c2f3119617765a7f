#ifndef HYSSOPKEEL_INTERFERENCE_MODEL_H
#define HYSSOPKEEL_INTERFERENCE_MODEL_H

#include <glib.h>

struct hk_interference_pair;

/**
 * struct hk_interference_model - learned interference between pairs of images.
 * @images: image names to their numbers.
 * @names: image names by number; owned by @images.
 * @pairs: matrix of @capacity rows, by number of the serving image, and
 *         @capacity columns, by number of the best-effort image.
 * @capacity: rows and columns of @pairs.
 * @generation: rises when all numbers become invalid, never 0.
 *
 * Headroom of a service task is its target over its tail latency: 1 at the
 * target, more while the task is faster. Tail latency grows as
 * 1 / (1 - load), so headroom falls in proportion to added load at any load.
 *
 * The interference of a pair is the headroom that a service task of the first
 * image would lose if best-effort tasks of the second used all CPUs of the
 * instance. Most pairs hardly interfere, a few do so strongly.
 */
struct hk_interference_model
{
  GHashTable *images;
  GPtrArray *names;
  struct hk_interference_pair *pairs;
  unsigned capacity;
  unsigned generation;
};

/**
 * struct hk_interference_source - CPU use of the best-effort tasks of an
 * image.
 * @image: number of their image.
 * @cpu_share: CPUs in use over CPUs of the instance, 0 to 1.
 */
struct hk_interference_source
{
  unsigned image;
  double cpu_share;
};

/** hk_interference_model_init() - start without observations. */
void hk_interference_model_init (struct hk_interference_model *model);

/** hk_interference_model_finish() - free the estimates. */
void hk_interference_model_finish (struct hk_interference_model *model);

/**
 * hk_interference_model_image() - number of an image, assigned if it has none.
 *
 * When too many images have numbers, all estimates are dropped first, all
 * other numbers become invalid, and the generation rises.
 *
 * Return: number, from 0.
 */
unsigned hk_interference_model_image (struct hk_interference_model *model,
                                      const char *name);

/** hk_interference_model_has_room() - whether @n more images get numbers
 * without a loss of estimates. */
gboolean
hk_interference_model_has_room (const struct hk_interference_model *model,
                                unsigned n);

/** hk_interference_model_forget_from() - take back @number and all higher
 * numbers, and drop the estimates of their images; other numbers stay valid.
 * For an image that was only looked at. */
void hk_interference_model_forget_from (struct hk_interference_model *model,
                                        unsigned number);

/** hk_interference_model_observed() - whether a pair has been observed, or its
 * estimate was taken from another process; by the numbers of the images. */
gboolean
hk_interference_model_observed (const struct hk_interference_model *model,
                                unsigned serving, unsigned best_effort);

/**
 * hk_interference_model_at() - like hk_interference_model_get(), by numbers.
 */
double hk_interference_model_at (const struct hk_interference_model *model,
                                 unsigned serving, unsigned best_effort);

/**
 * hk_interference_model_get() - estimated interference of a pair of images.
 *
 * Return: headroom lost at full CPU use, from 0; a conservative prior for an
 * unknown pair.
 */
double hk_interference_model_get (const struct hk_interference_model *model,
                                  const char *serving_image,
                                  const char *best_effort_image);

/** hk_interference_model_set() - overwrite an estimate with one that another
 * process sent. */
void hk_interference_model_set (struct hk_interference_model *model,
                                const char *serving_image,
                                const char *best_effort_image, double value);

/** hk_interference_model_seed() - start from the estimate of another process;
 * no effect if this process already has one of the pair. */
void hk_interference_model_seed (struct hk_interference_model *model,
                                 const char *serving_image,
                                 const char *best_effort_image, double value);

/**
 * hk_interference_model_foreach() - visit all known pairs.
 * @model: model; @visit must not change it.
 * @visit: called with both images, the estimate and @user.
 * @user: passed to @visit.
 */
void hk_interference_model_foreach (
    const struct hk_interference_model *model,
    void (*visit) (const char *serving_image, const char *best_effort_image,
                   double value, void *user),
    void *user);

/**
 * hk_interference_model_predict() - headroom that a service task loses.
 * @model: model.
 * @serving: number of the image of the service task.
 * @sources: CPU use of the best-effort tasks on its instance, by image.
 * @n: number of @sources.
 * @variance: set to the variance of the prediction, squared headroom.
 *
 * Return: predicted loss of headroom.
 */
double
hk_interference_model_predict (const struct hk_interference_model *model,
                               unsigned serving,
                               const struct hk_interference_source *sources,
                               unsigned n, double *variance);

/**
 * hk_interference_model_update() - learn from one observation.
 * @model: model.
 * @serving: number of the image of the service task.
 * @loss: headroom that the task would have alone, less what it has.
 * @noise: variance of @loss, squared headroom.
 * @sources: CPU use of the best-effort tasks on its instance, by image.
 * @n: number of @sources.
 */
void hk_interference_model_update (
    struct hk_interference_model *model, unsigned serving, double loss,
    double noise, const struct hk_interference_source *sources, unsigned n);

#endif

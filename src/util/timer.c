/* One-shot timers: a queue sorted by due time that is served by a single event
   source of the main loop. */
#include "hyssopkeel/timer.h"

#include "hyssopkeel/clock.h"

static GSequence *queue;
static GSource *source;

static int
compare_due_times (gconstpointer a, gconstpointer b, gpointer unused)
{
  const struct hk_timer *x = a;
  const struct hk_timer *y = b;

  (void)unused;
  return x->due_ms < y->due_ms ? -1 : x->due_ms > y->due_ms;
}

static void
schedule_first (void)
{
  GSequenceIter *first = g_sequence_get_begin_iter (queue);
  const struct hk_timer *t;
  int64_t delay;

  if (g_sequence_iter_is_end (first))
    {
      g_source_set_ready_time (source, -1);
      return;
    }
  t = g_sequence_get (first);
  delay = MAX (t->due_ms - hk_clock_ms (), 0);
  g_source_set_ready_time (source, g_get_monotonic_time () + delay * 1000);
}

static gboolean
fire_due_timers (GSource *src, GSourceFunc fn, gpointer user)
{
  int64_t now = hk_clock_ms ();

  (void)src;
  (void)fn;
  (void)user;
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (queue);
      struct hk_timer *t;

      if (g_sequence_iter_is_end (first))
        break;
      t = g_sequence_get (first);
      if (t->due_ms > now)
        break;
      g_sequence_remove (first);
      t->iter = NULL;
      t->fire (t->user);
    }
  schedule_first ();
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .dispatch = fire_due_timers };

void
hk_timer_set (struct hk_timer *t, int64_t delay_ms, void (*fire) (void *user),
              void *user)
{
  if (!queue)
    {
      queue = g_sequence_new (NULL);
      source = g_source_new (&source_funcs, sizeof (GSource));
      g_source_attach (source, NULL);
    }
  if (t->iter)
    g_sequence_remove (t->iter);
  t->due_ms = hk_clock_ms () + delay_ms;
  t->fire = fire;
  t->user = user;
  t->iter = g_sequence_insert_sorted (queue, t, compare_due_times, NULL);
  if (g_sequence_get_begin_iter (queue) == t->iter)
    schedule_first ();
}

void
hk_timer_clear (struct hk_timer *t)
{
  if (!t->iter)
    return;
  g_sequence_remove (t->iter);
  t->iter = NULL;
}

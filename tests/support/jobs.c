/* Main loop helpers, addresses and job specs for tests. */
#include "jobs.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "hyssopkeel/clock.h"
#include "hyssopkeel/timer.h"

static void
on_wakeup_timer (void *user)
{
  hk_timer_set (user, 5, on_wakeup_timer, user);
}

void
test_run_until (gboolean (*done) (void *user), void *user)
{
  int64_t limit = hk_clock_ms () + TEST_LIMIT_MS;
  struct hk_timer timer = { 0 };

  on_wakeup_timer (&timer);
  while (!done (user))
    {
      g_assert_cmpint (hk_clock_ms (), <, limit);
      g_main_context_iteration (NULL, TRUE);
    }
  hk_timer_clear (&timer);
}

static gboolean
is_time_over (void *user)
{
  return hk_clock_ms () >= *(int64_t *)user;
}

void
test_run_for (int64_t ms)
{
  int64_t until = hk_clock_ms () + ms;

  test_run_until (is_time_over, &until);
}

/* Each process has a loopback address of its own: a test that runs beside this
   one could be offered the same port before it is listened on. */
static char *
unused_address (void)
{
  unsigned pid = (unsigned)getpid ();
  g_autofree char *ip
      = g_strdup_printf ("127.%u.%u.%u", 1 + (pid >> 16) % 250,
                         (pid >> 8) & 255, 1 + (pid & 255) % 254);
  g_autoptr (GSocketAddress) any
      = g_inet_socket_address_new_from_string (ip, 0);
  g_autoptr (GSocket) socket = g_socket_new (
      G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) bound = NULL;

  g_assert_true (g_socket_bind (socket, any, TRUE, NULL));
  bound = g_socket_get_local_address (socket, NULL);
  return g_strdup_printf (
      "%s:%u", ip,
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
}

char *
test_address (void)
{
  static GHashTable *returned;
  char *address = unused_address ();

  if (!returned)
    returned = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  /* The system may offer a port again before its first user listens on it. */
  while (g_hash_table_contains (returned, address))
    {
      g_free (address);
      address = unused_address ();
    }
  g_hash_table_add (returned, g_strdup (address));
  return address;
}

hk_job_spec *
test_job_spec_new (const char *id, const unsigned *counts, unsigned flags)
{
  hk_job_spec *spec = calloc (1, sizeof *spec);
  unsigned n = 0;

  while (counts[n])
    n++;
  spec->id = strdup (id);
  spec->queue = strdup ("batch");
  spec->pool = strdup ("pool");
  spec->urgency = 1;
  spec->max_attempts = 3;
  spec->stretch_milli = 2000;
  spec->target_ms = 1000;
  spec->payload.payload_val = strdup ("text");
  spec->payload.payload_len = 4;
  spec->steps.steps_val = calloc (n + 1, sizeof (hk_step_spec));
  spec->steps.steps_len = n;
  for (unsigned i = 0; i < n; i++)
    {
      hk_step_spec *step = &spec->steps.steps_val[i];

      step->count = counts[i];
      step->cpu_milli = 1000;
      step->memory_mb = 100;
      step->estimate_ms = 1000;
      step->flags = flags;
      step->label = strdup ("");
      step->rack = strdup ("");
      step->image = strdup ("");
      if (i > 0)
        {
          step->after.after_val = calloc (1, sizeof (u_int));
          step->after.after_val[0] = i - 1;
          step->after.after_len = 1;
        }
    }
  return spec;
}

void
test_job_spec_free (hk_job_spec *spec)
{
  xdr_free ((xdrproc_t)xdr_hk_job_spec, (char *)spec);
  free (spec);
}

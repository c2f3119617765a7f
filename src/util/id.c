/* Identifiers: generation, validation and stable hashes. */
#include "hyssopkeel/id.h"

#include <string.h>
#include <sys/random.h>

char *
hk_id_new (const char *prefix)
{
  uint64_t bits = 0;

  if (getrandom (&bits, sizeof bits, 0) != sizeof bits)
    bits = ((uint64_t)g_random_int () << 32) | g_random_int ();
  return g_strdup_printf ("%s-%016" G_GINT64_MODIFIER "x", prefix, bits);
}

gboolean
hk_id_valid (const char *text, gsize max)
{
  gsize len = strlen (text);

  if (len == 0 || len > max || text[0] == '.')
    return FALSE;
  for (gsize i = 0; i < len; i++)
    if (!g_ascii_isalnum (text[i]) && !strchr ("._-", text[i]))
      return FALSE;
  return TRUE;
}

static uint64_t
fnv1a (uint64_t hash, const char *text)
{
  for (; *text; text++)
    hash = (hash ^ (uint8_t)*text) * 0x100000001b3ULL;
  return (hash ^ 0xff) * 0x100000001b3ULL;
}

uint64_t
hk_id_hash (const char *a, const char *b)
{
  uint64_t hash = fnv1a (fnv1a (0xcbf29ce484222325ULL, a), b);

  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

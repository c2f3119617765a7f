/* In-memory store of one key that loses requests or replies on demand. */
#include "fake_store.h"

#include <string.h>

static void
fail (int code, hk_store_done done, void *user)
{
  struct hk_error err;

  hk_error_set (&err, code, "store.txn", "fake", "no reply received");
  done (code, NULL, &err, user);
}

static void
fake_batch (struct hk_store *base, const struct hk_store_txn *txns, size_t n,
            hk_store_done done, void *user)
{
  struct fake_store *s = (struct fake_store *)base;
  struct hk_store_result res = { 0 };
  struct hk_store_kv kv = { 0 };

  g_assert_cmpuint (n, ==, 1);
  if (s->unreachable)
    {
      fail (HK_ERR_UNAVAILABLE, done, user);
      return;
    }
  if (s->drop_requests > 0)
    {
      s->drop_requests--;
      fail (HK_ERR_IO, done, user);
      return;
    }
  res.succeeded = txns->compares[0].mod_revision == s->mod_revision;
  if (res.succeeded)
    {
      g_free (s->value);
      s->value = g_strdup (txns->then[0].value);
      s->mod_revision = ++s->revision;
      s->writes++;
    }
  else if (s->value)
    {
      kv = (struct hk_store_kv){ (char *)txns->then[0].key, s->value,
                                 strlen (s->value), s->mod_revision };
      res.kvs = &kv;
      res.n_kvs = 1;
    }
  res.revision = s->revision;
  if (s->drop_replies > 0)
    {
      s->drop_replies--;
      fail (HK_ERR_IO, done, user);
      return;
    }
  done (HK_OK, &res, NULL, user);
}

static const struct hk_store_ops fake_ops = { .batch = fake_batch };

void
fake_store_init (struct fake_store *s)
{
  memset (s, 0, sizeof *s);
  s->base.ops = &fake_ops;
}

void
fake_store_finish (struct fake_store *s)
{
  g_clear_pointer (&s->value, g_free);
}

/* Accounting of the resources of an instance, so that work is only started
   where all of them are free. */
#include "hyssopkeel/ledger.h"

#include "hyssopkeel/error.h"

/* Memory to declare, per cent of the measured use, which may still grow. */
#define LEARNED_MEMORY_PERCENT 120

gboolean
hk_size_fits (const struct hk_size *need, const struct hk_size *have)
{
  return need->slots <= have->slots && need->cpu_milli <= have->cpu_milli
         && need->memory_mb <= have->memory_mb
         && need->accelerators <= have->accelerators;
}

int64_t
hk_size_learned_memory (int64_t used_mb, int64_t total_mb)
{
  int64_t declared_mb = used_mb * LEARNED_MEMORY_PERCENT / 100;

  return MAX (used_mb, MIN (declared_mb, total_mb));
}

struct hk_size
hk_ledger_free (const struct hk_ledger *l)
{
  return (struct hk_size){
    .slots = l->total.slots - l->used.slots,
    .cpu_milli = l->total.cpu_milli - l->used.cpu_milli,
    .memory_mb = l->total.memory_mb - l->used.memory_mb,
    .accelerators = l->total.accelerators - l->used.accelerators,
  };
}

void
hk_ledger_force (struct hk_ledger *l, const struct hk_size *size)
{
  l->used.slots += size->slots;
  l->used.cpu_milli += size->cpu_milli;
  l->used.memory_mb += size->memory_mb;
  l->used.accelerators += size->accelerators;
}

int
hk_ledger_book (struct hk_ledger *l, const struct hk_size *size)
{
  struct hk_size available = hk_ledger_free (l);

  if (!hk_size_fits (size, &available))
    return HK_ERR_FULL;
  hk_ledger_force (l, size);
  return HK_OK;
}

void
hk_ledger_release (struct hk_ledger *l, const struct hk_size *size)
{
  l->used.slots -= size->slots;
  l->used.cpu_milli -= size->cpu_milli;
  l->used.memory_mb -= size->memory_mb;
  l->used.accelerators -= size->accelerators;
}

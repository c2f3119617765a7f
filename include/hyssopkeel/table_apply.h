#ifndef HYSSOPKEEL_TABLE_APPLY_H
#define HYSSOPKEEL_TABLE_APPLY_H

#include "hyssopkeel/changes.h"
#include "hyssopkeel/store.h"

/**
 * struct hk_apply_options - options of hk_table_apply().
 * @who: operator named in the audit trail.
 * @dry_run: TRUE to check and merge without writing.
 */
struct hk_apply_options
{
  const char *who;
  gboolean dry_run;
};

#define HK_APPLY_OPTIONS_INIT                                                 \
  (struct hk_apply_options) { .who = "unknown" }

/**
 * struct hk_apply_result - outcome of hk_table_apply().
 * @revision: current revision after the apply.
 * @changes: own changes; empty if the edit changes nothing.
 * @merged: changes made by others since the base revision; they are kept.
 * @conflict: own change that conflicts with @other, or NULL.
 * @other: conflicting change made by another operator, or NULL.
 * @other_who: operator who made @other, or NULL.
 * @other_revision: revision that contains @other.
 */
struct hk_apply_result
{
  int64_t revision;
  const GPtrArray *changes;
  const GPtrArray *merged;
  const struct hk_change *conflict;
  const struct hk_change *other;
  const char *other_who;
  int64_t other_revision;
};

/**
 * hk_apply_done - completion of hk_table_apply().
 * @rc: 0 if the changes are written, or would be valid in a dry run;
 *      HK_ERR_CONFLICT if another operator changed one of the rows;
 *      HK_ERR_TIMEOUT if it is unknown whether the changes are written;
 *      HK_ERR_INVALID if the merged tables are not valid or the base
 *      revision is too old; or another negative code.
 * @result: details, valid during the callback; its lists may be NULL when
 *          @rc is negative.
 * @err: cause when @rc is negative.
 * @user: argument given with the call.
 */
typedef void (*hk_apply_done) (int rc, const struct hk_apply_result *result,
                               const struct hk_error *err, void *user);

/**
 * hk_table_apply() - merge edited tables into the current tables.
 * @store: store.
 * @edited: edited tables. With a "revision" they replace that revision, and
 *          missing rows are removed; without one, only the given rows are
 *          set. A reference is held until the completion.
 * @options: options.
 * @done: completion.
 * @user: its argument.
 *
 * Changes that others made since the base revision are kept; a row that both
 * sides changed differently is a conflict. Tables, revision and audit record
 * are written in one transaction.
 */
void hk_table_apply (struct hk_store *store, json_object *edited,
                     const struct hk_apply_options *options,
                     hk_apply_done done, void *user);

/**
 * hk_audit_key() - build the store key of an audit record.
 * @revision: revision that the record describes.
 *
 * Return: newly allocated key; lexical order is order of revision.
 */
char *hk_audit_key (int64_t revision);

#endif

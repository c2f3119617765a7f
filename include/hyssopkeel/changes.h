#ifndef HYSSOPKEEL_CHANGES_H
#define HYSSOPKEEL_CHANGES_H

#include "hyssopkeel/json.h"

/**
 * struct hk_change - an added, changed or removed row.
 * @table: "routes" or "pools".
 * @row: key of the row.
 * @before: row before the change, or NULL if it was added.
 * @after: row after the change, or NULL if it was removed.
 *
 * Owns its strings and a reference to each row.
 */
struct hk_change
{
  char *table;
  char *row;
  json_object *before;
  json_object *after;
};

/**
 * hk_changes_new() - create an empty list of changes.
 *
 * Return: new GPtrArray that owns its struct hk_change elements.
 */
GPtrArray *hk_changes_new (void);

/**
 * hk_changes_between() - list the rows that differ between two versions.
 * @before: old tables, may be NULL.
 * @after: new tables, may be NULL.
 * @keep_missing: TRUE if rows that are missing in @after stay unchanged,
 *                FALSE if they count as removed.
 *
 * Return: new list, owned by the caller.
 */
GPtrArray *hk_changes_between (json_object *before, json_object *after,
                               gboolean keep_missing);

/**
 * hk_changes_apply() - apply changes to tables.
 * @tables: tables, modified in place.
 * @changes: list, applied in order.
 */
void hk_changes_apply (json_object *tables, const GPtrArray *changes);

/**
 * hk_changes_undo() - revert changes, in reverse order.
 * @tables: tables, modified in place.
 * @changes: list.
 */
void hk_changes_undo (json_object *tables, const GPtrArray *changes);

/**
 * hk_changes_find() - look up the change of a row.
 * @changes: list.
 * @table: name of the table.
 * @row: key of the row.
 *
 * Return: first change of that row, owned by @changes, or NULL.
 */
const struct hk_change *hk_changes_find (const GPtrArray *changes,
                                         const char *table, const char *row);

/**
 * hk_changes_write() - convert a list to JSON, for the audit trail.
 * @changes: list.
 *
 * Return: new JSON array, owned by the caller.
 */
json_object *hk_changes_write (const GPtrArray *changes);

/**
 * hk_changes_read() - convert a list from JSON.
 * @array: array made by hk_changes_write(), may be NULL.
 *
 * Elements without a table or row are skipped.
 *
 * Return: new list, owned by the caller.
 */
GPtrArray *hk_changes_read (json_object *array);

#endif

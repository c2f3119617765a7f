/* Row-by-row differences between two versions of the tables. */
#include "hyssopkeel/changes.h"

#include <string.h>

static const char *const table_names[] = { "pools", "routes" };

static void
free_change (gpointer data)
{
  struct hk_change *c = data;

  g_free (c->table);
  g_free (c->row);
  json_object_put (c->before);
  json_object_put (c->after);
  g_free (c);
}

GPtrArray *
hk_changes_new (void)
{
  return g_ptr_array_new_with_free_func (free_change);
}

static void
append_change (GPtrArray *list, const char *table, const char *row,
               json_object *before, json_object *after)
{
  struct hk_change *c = g_new0 (struct hk_change, 1);

  c->table = g_strdup (table);
  c->row = g_strdup (row);
  c->before = json_object_get (before);
  c->after = json_object_get (after);
  g_ptr_array_add (list, c);
}

static json_object *
table_rows (json_object *tables, const char *table)
{
  json_object *rows = NULL;

  if (tables)
    json_object_object_get_ex (tables, table, &rows);
  return rows;
}

static json_object *
row_value (json_object *rows, const char *row)
{
  json_object *value = NULL;

  if (rows)
    json_object_object_get_ex (rows, row, &value);
  return value;
}

static void
append_changed_rows (GPtrArray *list, const char *table, json_object *before,
                     json_object *after)
{
  json_object_object_foreach (after, row, value)
  {
    json_object *old = row_value (before, row);

    if (!old || !json_object_equal (old, value))
      append_change (list, table, row, old, value);
  }
}

static void
append_removed_rows (GPtrArray *list, const char *table, json_object *before,
                     json_object *after)
{
  json_object_object_foreach (before, row, value)
  {
    if (!row_value (after, row))
      append_change (list, table, row, value, NULL);
  }
}

static void
append_table_changes (GPtrArray *list, const char *table, json_object *before,
                      json_object *after, gboolean keep_missing)
{
  if (after)
    append_changed_rows (list, table, before, after);
  if (before && !keep_missing)
    append_removed_rows (list, table, before, after);
}

GPtrArray *
hk_changes_between (json_object *before, json_object *after,
                    gboolean keep_missing)
{
  GPtrArray *list = hk_changes_new ();

  for (guint i = 0; i < G_N_ELEMENTS (table_names); i++)
    append_table_changes (list, table_names[i],
                          table_rows (before, table_names[i]),
                          table_rows (after, table_names[i]), keep_missing);
  return list;
}

static void
set_row (json_object *tables, const char *table, const char *row,
         json_object *value)
{
  json_object *rows = table_rows (tables, table);

  if (!rows)
    {
      rows = json_object_new_object ();
      json_object_object_add (tables, table, rows);
    }
  if (value)
    json_object_object_add (rows, row, json_object_get (value));
  else
    json_object_object_del (rows, row);
}

void
hk_changes_apply (json_object *tables, const GPtrArray *changes)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const struct hk_change *c = g_ptr_array_index (changes, i);
      set_row (tables, c->table, c->row, c->after);
    }
}

void
hk_changes_undo (json_object *tables, const GPtrArray *changes)
{
  for (guint i = changes->len; i > 0; i--)
    {
      const struct hk_change *c = g_ptr_array_index (changes, i - 1);
      set_row (tables, c->table, c->row, c->before);
    }
}

const struct hk_change *
hk_changes_find (const GPtrArray *changes, const char *table, const char *row)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const struct hk_change *c = g_ptr_array_index (changes, i);

      if (strcmp (c->table, table) == 0 && strcmp (c->row, row) == 0)
        return c;
    }
  return NULL;
}

json_object *
hk_changes_write (const GPtrArray *changes)
{
  json_object *array = json_object_new_array ();

  for (guint i = 0; i < changes->len; i++)
    {
      const struct hk_change *c = g_ptr_array_index (changes, i);
      json_object *obj = json_object_new_object ();

      json_object_object_add (obj, "table", json_object_new_string (c->table));
      json_object_object_add (obj, "row", json_object_new_string (c->row));
      if (c->before)
        json_object_object_add (obj, "before", json_object_get (c->before));
      if (c->after)
        json_object_object_add (obj, "after", json_object_get (c->after));
      json_object_array_add (array, obj);
    }
  return array;
}

GPtrArray *
hk_changes_read (json_object *array)
{
  GPtrArray *list = hk_changes_new ();
  size_t n = array ? json_object_array_length (array) : 0;

  for (size_t i = 0; i < n; i++)
    {
      json_object *obj = json_object_array_get_idx (array, i);
      const char *table = hk_json_str (obj, "table");
      const char *row = hk_json_str (obj, "row");

      if (table && row)
        append_change (list, table, row, row_value (obj, "before"),
                       row_value (obj, "after"));
    }
  return list;
}

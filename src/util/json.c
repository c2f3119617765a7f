/* Strict JSON with comments, and conversion between JSON objects and structs
   by tables of fields. */
#include "hyssopkeel/json.h"

#include <string.h>

/* State of the scan that blanks comments and detects duplicate keys. */
struct json_scanner
{
  char *text;
  size_t len;
  size_t pos;
  int line;
  GPtrArray *scopes; /* stack: keys of an open object, NULL for an array */
};

static void
free_scope (gpointer scope)
{
  if (scope)
    g_hash_table_unref (scope);
}

static void
blank_char (struct json_scanner *s)
{
  if (s->text[s->pos] == '\n')
    s->line++;
  else
    s->text[s->pos] = ' ';
  s->pos++;
}

static int
skip_comment (struct json_scanner *s)
{
  if (s->text[s->pos + 1] == '/')
    {
      while (s->pos < s->len && s->text[s->pos] != '\n')
        blank_char (s);
      return HK_OK;
    }
  blank_char (s);
  blank_char (s);
  while (s->pos + 1 < s->len)
    {
      if (s->text[s->pos] == '*' && s->text[s->pos + 1] == '/')
        {
          blank_char (s);
          blank_char (s);
          return HK_OK;
        }
      blank_char (s);
    }
  return HK_ERR_INVALID;
}

/* Skips a string and returns its content, escapes not decoded. */
static char *
scan_string (struct json_scanner *s)
{
  size_t start = ++s->pos;

  while (s->pos < s->len && s->text[s->pos] != '"')
    s->pos += s->text[s->pos] == '\\' ? 2 : 1;
  s->pos = MIN (s->pos, s->len);
  return g_strndup (s->text + start, s->pos++ - start);
}

static gboolean
next_is_colon (const struct json_scanner *s)
{
  size_t pos = s->pos;

  while (pos < s->len && g_ascii_isspace (s->text[pos]))
    pos++;
  return pos < s->len && s->text[pos] == ':';
}

static int
scan_key (struct json_scanner *s, const char *name, struct hk_error *err)
{
  g_autofree char *key = scan_string (s);
  GHashTable *scope = NULL;

  if (s->scopes->len > 0)
    scope = g_ptr_array_index (s->scopes, s->scopes->len - 1);
  if (!scope || !next_is_colon (s))
    return HK_OK;
  if (!g_hash_table_add (scope, g_strdup (key)))
    return hk_error_set (err, HK_ERR_INVALID, "json.parse", name,
                         "line %d: key \"%s\" is given twice", s->line, key);
  return HK_OK;
}

static int
scan_bracket (struct json_scanner *s, char c, const char *name,
              struct hk_error *err)
{
  if (strchr ("{[", c) && s->scopes->len == HK_JSON_DEPTH_MAX)
    return hk_error_set (err, HK_ERR_INVALID, "json.parse", name,
                         "line %d: nested deeper than %d levels", s->line,
                         HK_JSON_DEPTH_MAX);
  if (c == '{')
    g_ptr_array_add (s->scopes, g_hash_table_new_full (g_str_hash, g_str_equal,
                                                       g_free, NULL));
  else if (c == '[')
    g_ptr_array_add (s->scopes, NULL);
  else if (s->scopes->len > 0)
    g_ptr_array_set_size (s->scopes, (gint)s->scopes->len - 1);
  return HK_OK;
}

/* Blanks comments in place, which keeps line numbers, and rejects duplicate
   keys. */
static int
scan_text (struct json_scanner *s, const char *name, struct hk_error *err)
{
  while (s->pos < s->len)
    {
      char c = s->text[s->pos];
      char next = s->pos + 1 < s->len ? s->text[s->pos + 1] : '\0';

      if (c == '/' && (next == '/' || next == '*'))
        {
          if (skip_comment (s) < 0)
            return hk_error_set (err, HK_ERR_INVALID, "json.parse", name,
                                 "line %d: comment is not closed", s->line);
          continue;
        }
      if (c == '"')
        {
          int rc = scan_key (s, name, err);
          if (rc < 0)
            return rc;
          continue;
        }
      if (strchr ("{}[]", c) && scan_bracket (s, c, name, err) < 0)
        return HK_ERR_INVALID;
      if (c == '\n')
        s->line++;
      s->pos++;
    }
  return HK_OK;
}

static int
line_at (const char *text, size_t offset)
{
  int line = 1;

  for (size_t i = 0; i < offset && text[i]; i++)
    line += text[i] == '\n';
  return line;
}

int
hk_json_parse (json_object **out, const char *text, size_t len,
               const char *name, struct hk_error *err)
{
  g_autofree char *copy = g_strndup (text, len);
  g_autoptr (GPtrArray) scopes = g_ptr_array_new_with_free_func (free_scope);
  struct json_scanner s
      = { .text = copy, .len = len, .line = 1, .scopes = scopes };
  json_tokener *tok;
  json_object *obj;
  int rc;

  *out = NULL;
  if (strlen (copy) != len || !g_utf8_validate (copy, (gssize)len, NULL))
    return hk_error_set (err, HK_ERR_INVALID, "json.parse", name,
                         "text is not UTF-8");
  rc = scan_text (&s, name, err);
  if (rc < 0)
    return rc;
  tok = json_tokener_new_ex (HK_JSON_DEPTH_MAX + 1);
  json_tokener_set_flags (tok, JSON_TOKENER_STRICT);
  obj = json_tokener_parse_ex (tok, copy, (int)len + 1);
  if (json_tokener_get_error (tok) != json_tokener_success)
    rc = hk_error_set (err, HK_ERR_INVALID, "json.parse", name, "line %d: %s",
                       line_at (copy, json_tokener_get_parse_end (tok)),
                       json_tokener_error_desc (json_tokener_get_error (tok)));
  json_tokener_free (tok);
  if (rc < 0)
    json_object_put (obj);
  else
    *out = obj;
  return rc;
}

int
hk_json_parse_file (json_object **out, const char *file, struct hk_error *err)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) gerr = NULL;
  gsize len = 0;

  *out = NULL;
  if (!g_file_get_contents (file, &text, &len, &gerr))
    return hk_error_set (err, HK_ERR_NOT_FOUND, "json.read", file, "%s",
                         gerr->message);
  return hk_json_parse (out, text, len, file, err);
}

static int
set_field_error (struct hk_error *err, const char *name, const char *path,
                 const char *key, const char *rule)
{
  return hk_error_set (err, HK_ERR_INVALID, "json.check", name, "%s/%s: %s",
                       path, key, rule);
}

static int
check_range (const struct hk_json_field *f, int64_t value, const char *unit,
             const char *name, const char *path, struct hk_error *err)
{
  char rule[128];

  if (value >= f->min && (f->max == 0 || value <= f->max))
    return HK_OK;
  if (f->max == 0)
    g_snprintf (rule, sizeof rule, "%s must be at least %" PRId64, unit,
                f->min);
  else
    g_snprintf (rule, sizeof rule,
                "%s must be between %" PRId64 " and %" PRId64, unit, f->min,
                f->max);
  return set_field_error (err, name, path, f->name, rule);
}

static int
read_strv (json_object *value, const struct hk_json_field *f, char ***slot,
           const char *name, const char *path, struct hk_error *err)
{
  g_autoptr (GPtrArray) list = NULL;
  size_t n;

  if (!json_object_is_type (value, json_type_array))
    return set_field_error (err, name, path, f->name,
                            "must be a list of texts");
  n = json_object_array_length (value);
  list = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < n; i++)
    {
      json_object *item = json_object_array_get_idx (value, i);

      if (!json_object_is_type (item, json_type_string))
        return set_field_error (err, name, path, f->name,
                                "must hold only texts");
      g_ptr_array_add (list, g_strdup (json_object_get_string (item)));
    }
  g_ptr_array_add (list, NULL);
  g_strfreev (*slot);
  *slot = (char **)g_ptr_array_steal (list, NULL);
  return check_range (f, (int64_t)n, "number of entries", name, path, err);
}

static int
read_field (json_object *value, const struct hk_json_field *f, void *slot,
            const char *name, const char *path, struct hk_error *err)
{
  const char *text;

  switch (f->type)
    {
    case HK_JSON_INT:
      if (!json_object_is_type (value, json_type_int))
        return set_field_error (err, name, path, f->name,
                                "must be a whole number");
      *(int64_t *)slot = json_object_get_int64 (value);
      return check_range (f, *(int64_t *)slot, "value", name, path, err);
    case HK_JSON_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return set_field_error (err, name, path, f->name,
                                "must be true or false");
      *(gboolean *)slot = json_object_get_boolean (value);
      return HK_OK;
    case HK_JSON_STRING:
      if (!json_object_is_type (value, json_type_string))
        return set_field_error (err, name, path, f->name, "must be a text");
      text = json_object_get_string (value);
      g_free (*(char **)slot);
      *(char **)slot = g_strdup (text);
      return check_range (f, (int64_t)strlen (text), "length", name, path,
                          err);
    case HK_JSON_STRV:
      return read_strv (value, f, slot, name, path, err);
    case HK_JSON_DOUBLE:
      if (!json_object_is_type (value, json_type_double)
          && !json_object_is_type (value, json_type_int))
        return set_field_error (err, name, path, f->name, "must be a number");
      *(double *)slot = json_object_get_double (value);
      return HK_OK;
    }
  return HK_ERR_INVALID;
}

static const struct hk_json_field *
find_field (const struct hk_json_field *fields, size_t n, const char *key)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (fields[i].name, key) == 0)
      return &fields[i];
  return NULL;
}

int
hk_json_read (json_object *obj, const struct hk_json_field *fields, size_t n,
              void *dst, const char *name, const char *path,
              struct hk_error *err)
{
  if (!json_object_is_type (obj, json_type_object))
    return hk_error_set (err, HK_ERR_INVALID, "json.check", name,
                         "%s: must be an object", *path ? path : "/");
  json_object_object_foreach (obj, key, value)
  {
    const struct hk_json_field *f = find_field (fields, n, key);
    int rc;

    if (!f)
      return set_field_error (err, name, path, key, "unknown key");
    rc = read_field (value, f, (char *)dst + f->offset, name, path, err);
    if (rc < 0)
      return rc;
  }
  for (size_t i = 0; i < n; i++)
    if (fields[i].required
        && !json_object_object_get_ex (obj, fields[i].name, NULL))
      return set_field_error (err, name, path, fields[i].name, "is required");
  return HK_OK;
}

static json_object *
write_field (const struct hk_json_field *f, const void *slot)
{
  json_object *list;
  char **strv;

  switch (f->type)
    {
    case HK_JSON_INT:
      return json_object_new_int64 (*(const int64_t *)slot);
    case HK_JSON_BOOL:
      return json_object_new_boolean (*(const gboolean *)slot);
    case HK_JSON_DOUBLE:
      return json_object_new_double (*(const double *)slot);
    case HK_JSON_STRING:
      if (!*(char *const *)slot)
        return NULL;
      return json_object_new_string (*(char *const *)slot);
    case HK_JSON_STRV:
      strv = *(char **const *)slot;
      if (!strv)
        return NULL;
      list = json_object_new_array ();
      for (; *strv; strv++)
        json_object_array_add (list, json_object_new_string (*strv));
      return list;
    }
  return NULL;
}

json_object *
hk_json_write (const struct hk_json_field *fields, size_t n, const void *src)
{
  json_object *obj = json_object_new_object ();

  for (size_t i = 0; i < n; i++)
    {
      json_object *value
          = write_field (&fields[i], (const char *)src + fields[i].offset);

      if (value)
        json_object_object_add (obj, fields[i].name, value);
    }
  return obj;
}

void
hk_json_clear (const struct hk_json_field *fields, size_t n, void *dst)
{
  for (size_t i = 0; i < n; i++)
    {
      void *slot = (char *)dst + fields[i].offset;

      if (fields[i].type == HK_JSON_STRING)
        g_clear_pointer ((char **)slot, g_free);
      else if (fields[i].type == HK_JSON_STRV)
        g_clear_pointer ((char ***)slot, g_strfreev);
    }
}

int64_t
hk_json_int (json_object *obj, const char *key)
{
  json_object *value = NULL;

  if (!obj || !json_object_object_get_ex (obj, key, &value))
    return 0;
  if (json_object_is_type (value, json_type_string))
    return g_ascii_strtoll (json_object_get_string (value), NULL, 10);
  return json_object_get_int64 (value);
}

const char *
hk_json_str (json_object *obj, const char *key)
{
  json_object *value = NULL;

  if (!obj || !json_object_object_get_ex (obj, key, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

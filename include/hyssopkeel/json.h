#ifndef HYSSOPKEEL_JSON_H
#define HYSSOPKEEL_JSON_H

#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>

#include "hyssopkeel/error.h"

G_DEFINE_AUTOPTR_CLEANUP_FUNC (json_object, json_object_put)

/** HK_JSON_DEPTH_MAX - objects and lists that may be nested. */
#define HK_JSON_DEPTH_MAX 32

enum hk_json_type
{
  HK_JSON_INT,    /* int64_t */
  HK_JSON_BOOL,   /* gboolean */
  HK_JSON_STRING, /* char *, owned */
  HK_JSON_STRV,   /* char **, owned, NULL-terminated */
  HK_JSON_DOUBLE  /* double */
};

/**
 * struct hk_json_field - maps a key of a JSON object to a member of a struct.
 * @name: key in the object.
 * @type: type of the JSON value and of the member.
 * @offset: offset of the member in the struct, bytes.
 * @required: TRUE if the object must have the key.
 * @min: minimum of a number, of the length of a string in bytes, or of the
 *       number of list entries.
 * @max: maximum of the same; 0 for no limit.
 *
 * @min and @max apply to all types but HK_JSON_BOOL and HK_JSON_DOUBLE.
 */
struct hk_json_field
{
  const char *name;
  enum hk_json_type type;
  size_t offset;
  gboolean required;
  int64_t min;
  int64_t max;
};

/**
 * hk_json_parse() - parse JSON that may have comments.
 * @out: set to the parsed value, to be released with json_object_put().
 * @text: UTF-8 text.
 * @len: its length, bytes.
 * @name: file or key named in errors.
 * @err: filled on failure.
 *
 * Both kinds of C comments are allowed. Trailing commas, trailing text,
 * duplicate keys and deeper nesting than HK_JSON_DEPTH_MAX are errors.
 *
 * Return: 0 or a negative code.
 */
int hk_json_parse (json_object **out, const char *text, size_t len,
                   const char *name, struct hk_error *err);

/**
 * hk_json_parse_file() - read a file and pass it to hk_json_parse().
 * @out: set to the parsed value, to be released with json_object_put().
 * @file: path of the file.
 * @err: filled on failure.
 *
 * Return: 0 or a negative code.
 */
int hk_json_parse_file (json_object **out, const char *file,
                        struct hk_error *err);

/**
 * hk_json_read() - read a struct from a JSON object.
 * @obj: JSON object.
 * @fields: table of @n fields.
 * @n: number of fields.
 * @dst: struct to fill; members whose key @obj lacks keep their value.
 * @name: file or key named in errors.
 * @path: path of @obj inside @name, such as "/routes/fit-check".
 * @err: filled on failure.
 *
 * Return: 0 or HK_ERR_INVALID; unknown keys are errors.
 */
int hk_json_read (json_object *obj, const struct hk_json_field *fields,
                  size_t n, void *dst, const char *name, const char *path,
                  struct hk_error *err);

/**
 * hk_json_write() - write a struct to a JSON object.
 * @fields: table of @n fields.
 * @n: number of fields.
 * @src: struct to write.
 *
 * Return: new object without keys for members that are NULL.
 */
json_object *hk_json_write (const struct hk_json_field *fields, size_t n,
                            const void *src);

/**
 * hk_json_clear() - free the strings and lists that a struct owns.
 * @fields: table of @n fields.
 * @n: number of fields.
 * @dst: struct; the freed members are set to NULL.
 */
void hk_json_clear (const struct hk_json_field *fields, size_t n, void *dst);

/**
 * hk_json_int() - get an integer from an object.
 * @obj: object, may be NULL.
 * @key: key of a number or of a string with a decimal number.
 *
 * Return: the value, or 0 if it is missing.
 */
int64_t hk_json_int (json_object *obj, const char *key);

/**
 * hk_json_str() - get a string from an object.
 * @obj: object, may be NULL.
 * @key: key of a string.
 *
 * Return: string owned by @obj, or NULL if it is missing or not a string.
 */
const char *hk_json_str (json_object *obj, const char *key);

#endif

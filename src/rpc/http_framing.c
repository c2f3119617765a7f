/* Ends of HTTP/1.1 requests in a stream of bytes. libsoup parses the requests;
   this only decides how many bytes it gets. It rejects requests whose end
   libsoup might find elsewhere: the rest would not count as held. */
#include "hyssopkeel/http_framing.h"

#include <string.h>

enum chunk_state
{
  CHUNK_SIZE,
  CHUNK_EXTENSION,
  CHUNK_DATA,
  CHUNK_END,
  CHUNK_TRAILER
};

#define HEX_DIGIT_BITS 4
/* A longer size of a chunk does not fit into 63 bits. */
#define SIZE_DIGITS_MAX 15

size_t
hk_http_framing_empty (struct hk_http_framing *f, const uint8_t *data,
                       size_t len)
{
  size_t n = 0;

  while (n < len && (data[n] == '\r' || data[n] == '\n'))
    n++;
  f->empty_bytes += n;
  return n;
}

/* Returns the value of a field without spaces around it, newly allocated, or
   NULL if the line is of another field. */
static char *
field_value (const char *line, size_t len, const char *name)
{
  size_t name_len = strlen (name);

  if (len <= name_len || g_ascii_strncasecmp (line, name, name_len) != 0)
    return NULL;
  return g_strstrip (g_strndup (line + name_len, len - name_len));
}

static void
read_field (struct hk_http_framing *f, const char *line, size_t len)
{
  g_autofree char *length = field_value (line, len, "Content-Length:");
  g_autofree char *expect = field_value (line, len, "Expect:");
  g_autofree char *coding = field_value (line, len, "Transfer-Encoding:");
  guint64 n = 0;

  /* A line that begins with white space continues the value before it. */
  if (*line == ' ' || *line == '\t' || memchr (line, '\0', len))
    f->invalid = TRUE;
  if (length)
    {
      f->invalid = f->invalid || f->sized
                   || !g_ascii_string_to_unsigned (length, 10, 0, G_MAXINT64,
                                                   &n, NULL);
      f->sized = TRUE;
      f->body_left = n;
    }
  if (coding && g_ascii_strcasecmp (coding, "chunked") == 0)
    f->chunked = TRUE;
  if (expect && g_ascii_strcasecmp (expect, "100-continue") == 0)
    f->expects_continue = TRUE;
}

static void
read_fields (struct hk_http_framing *f, const char *data, size_t len)
{
  const char *end = data + len;
  const char *line = (const char *)memchr (data, '\n', len) + 1;
  const char *next;

  f->chunked = FALSE;
  f->sized = FALSE;
  f->invalid = memchr (data, '\0', (size_t)(line - data)) != NULL;
  f->expects_continue = FALSE;
  f->body_left = 0;
  for (; line < end && (next = memchr (line, '\n', (size_t)(end - line)));
       line = next + 1)
    read_field (f, line, (size_t)(next - line));
  f->invalid = f->invalid || (f->chunked && f->sized);
  if (f->chunked)
    f->body_left = 0;
  f->size_digits = 0;
  f->chunks = 0;
  f->state = CHUNK_SIZE;
  f->line_bytes = 0;
  f->done = !f->chunked && f->body_left == 0;
}

size_t
hk_http_framing_header (struct hk_http_framing *f, const uint8_t *data,
                        size_t len)
{
  /* The end may begin in bytes that were searched before. */
  size_t at = f->scanned > 2 ? f->scanned - 2 : 0;
  const uint8_t *lf;

  f->scanned = len;
  while ((lf = memchr (data + at, '\n', len - at)))
    {
      size_t after = (size_t)(lf - data) + 1;

      if (after < len && data[after] == '\r')
        after++;
      if (after < len && data[after] == '\n')
        {
          read_fields (f, (const char *)data, after + 1);
          return after + 1;
        }
      at = (size_t)(lf - data) + 1;
    }
  return 0;
}

static void
end_size_line (struct hk_http_framing *f)
{
  f->invalid = f->invalid || f->size_digits == 0;
  f->size_digits = 0;
  f->chunks++;
  f->state = f->body_left > 0 ? CHUNK_DATA : CHUNK_TRAILER;
  f->line_bytes = 0;
}

static void
read_size (struct hk_http_framing *f, uint8_t c)
{
  if (c == '\n')
    end_size_line (f);
  else if (g_ascii_isxdigit (c) && f->size_digits < SIZE_DIGITS_MAX)
    {
      f->size_digits++;
      f->body_left = f->body_left << HEX_DIGIT_BITS
                     | (uint64_t)g_ascii_xdigit_value (c);
    }
  else if (f->size_digits > 0
           && (c == ';' || c == ' ' || c == '\t' || c == '\r'))
    f->state = CHUNK_EXTENSION;
  else
    f->invalid = TRUE;
}

static void
read_chunk_byte (struct hk_http_framing *f, uint8_t c)
{
  switch (f->state)
    {
    case CHUNK_SIZE:
      read_size (f, c);
      break;
    case CHUNK_EXTENSION:
      if (c == '\n')
        end_size_line (f);
      break;
    case CHUNK_END:
      if (c == '\n')
        f->state = CHUNK_SIZE;
      break;
    case CHUNK_TRAILER:
    default:
      if (c == '\n')
        {
          f->done = f->line_bytes == 0;
          f->line_bytes = 0;
        }
      else if (c != '\r')
        f->line_bytes++;
    }
}

static size_t
read_chunked (struct hk_http_framing *f, const uint8_t *data, size_t len)
{
  size_t n = 0;

  while (n < len && !f->done && !f->invalid)
    if (f->state == CHUNK_DATA)
      {
        size_t part = (size_t)MIN (f->body_left, len - n);

        n += part;
        f->body_left -= part;
        if (f->body_left == 0)
          f->state = CHUNK_END;
      }
    else
      read_chunk_byte (f, data[n++]);
  return n;
}

size_t
hk_http_framing_body (struct hk_http_framing *f, const uint8_t *data,
                      size_t len)
{
  size_t n;

  if (f->chunked)
    return read_chunked (f, data, len);
  n = (size_t)MIN (f->body_left, len);
  f->body_left -= n;
  f->done = f->body_left == 0;
  return n;
}

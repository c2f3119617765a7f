#ifndef HYSSOPKEEL_HTTP_FRAMING_H
#define HYSSOPKEEL_HTTP_FRAMING_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct hk_http_framing - where a request (RFC 9112) and its body end.
 * @empty_bytes: bytes of empty lines before the request.
 * @scanned: bytes of the header that were searched for its end.
 * @chunked: the body is chunked.
 * @sized: the header states the length of the body.
 * @expects_continue: the client sends the body after a response 100.
 * @body_left: bytes of the body, or of the current chunk, still to come.
 * @chunks: chunks begun so far.
 * @state: part of a chunked body that comes next.
 * @size_digits: digits of the size of the current chunk.
 * @line_bytes: bytes of the current trailer line.
 * @done: the body is complete.
 * @invalid: where the request ends is not certain: libsoup may find another
 * end.
 */
struct hk_http_framing
{
  size_t empty_bytes;
  size_t scanned;
  gboolean chunked;
  gboolean sized;
  gboolean expects_continue;
  uint64_t body_left;
  uint64_t chunks;
  int state;
  unsigned size_digits;
  size_t line_bytes;
  gboolean done;
  gboolean invalid;
};

/**
 * hk_http_framing_empty() - count empty lines before a request.
 * @f: framing.
 * @data: received bytes at whose start a request or an empty line is.
 * @len: their number.
 *
 * Return: number of bytes to skip.
 */
size_t hk_http_framing_empty (struct hk_http_framing *f, const uint8_t *data,
                              size_t len);

/**
 * hk_http_framing_header() - find the end of a header.
 * @f: framing; continues where the last call stopped.
 * @data: all bytes received since the start of the request line.
 * @len: their number.
 *
 * Return: length of the header with its final empty line; 0 if it is not
 * complete. @chunked, @body_left, @done and @invalid are then set.
 */
size_t hk_http_framing_header (struct hk_http_framing *f, const uint8_t *data,
                               size_t len);

/**
 * hk_http_framing_body() - find the end of a body.
 * @f: framing; continues where the last call stopped.
 * @data: further received bytes.
 * @len: their number.
 *
 * Return: number of bytes that belong to the body; @done is set at its end,
 * @invalid at a malformed chunk size.
 */
size_t hk_http_framing_body (struct hk_http_framing *f, const uint8_t *data,
                             size_t len);

#endif

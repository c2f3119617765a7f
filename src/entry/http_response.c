/* Formats of the responses to clients. */
#include "http_response.h"

#include <string.h>

#define RETRY_AFTER_S "1"

void
hk_http_respond_json (SoupServerMessage *msg, guint status, json_object *obj)
{
  const char *text
      = json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PRETTY);

  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
  json_object_put (obj);
}

void
hk_http_respond_text (SoupServerMessage *msg, guint status, const char *text)
{
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "text/plain; charset=utf-8",
                                    SOUP_MEMORY_COPY, text, strlen (text));
}

void
hk_http_respond_problem (SoupServerMessage *msg, guint status,
                         const char *outcome, const char *request_id,
                         const char *detail)
{
  g_autoptr (json_object) obj = json_object_new_object ();
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (msg);
  const char *text;

  json_object_object_add (obj, "type", json_object_new_string ("about:blank"));
  json_object_object_add (
      obj, "title", json_object_new_string (soup_status_get_phrase (status)));
  json_object_object_add (obj, "status", json_object_new_int ((int)status));
  json_object_object_add (obj, "detail", json_object_new_string (detail));
  json_object_object_add (obj, "outcome", json_object_new_string (outcome));
  if (request_id)
    {
      json_object_object_add (obj, "request_id",
                              json_object_new_string (request_id));
      soup_message_headers_replace (headers, "Hyssopkeel-Request-Id",
                                    request_id);
    }
  soup_message_headers_replace (headers, "Hyssopkeel-Outcome", outcome);
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    soup_message_headers_replace (headers, "Retry-After", RETRY_AFTER_S);
  text = json_object_to_json_string_ext (obj, JSON_C_TO_STRING_PLAIN);
  soup_server_message_set_status (msg, status, NULL);
  soup_server_message_set_response (msg, "application/problem+json",
                                    SOUP_MEMORY_COPY, text, strlen (text));
}

guint
hk_http_status_from_code (int code)
{
  switch (code)
    {
    case HK_ERR_INVALID:
      return SOUP_STATUS_BAD_REQUEST;
    case HK_ERR_NOT_FOUND:
      return SOUP_STATUS_NOT_FOUND;
    case HK_ERR_CONFLICT:
      return SOUP_STATUS_CONFLICT;
    case HK_ERR_TIMEOUT:
      return SOUP_STATUS_GATEWAY_TIMEOUT;
    default:
      return SOUP_STATUS_SERVICE_UNAVAILABLE;
    }
}

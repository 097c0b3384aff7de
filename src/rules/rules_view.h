/* Rules as JSON, for operators. */
#ifndef SAGEHITCH_RULES_VIEW_H
#define SAGEHITCH_RULES_VIEW_H
#include "controller/api_message.h"
#include "dispatch/record.h"

/* The response to REQUEST_RULES_GET or REQUEST_RULES_JOB. Its text is appended to text, which must be empty and outlive
 * the response; the caller frees it with bytes_free(). */
struct api_response rules_response(const struct record *record, const struct api_request *request, struct bytes *text);
#endif

/* The operators' HTTP paths for rules, the same with every codec, which passes such requests and responses on to here:
 * GET, PUT /rules               head office's rules
 * GET, PUT /rules/outlets/NAME  an outlet's adjustments and the rules in force for it
 * GET /rules/jobs/ID            a job's rules; ID has 16 hex digits
 * A PUT names in If-Match the version that it is based on. */
#ifndef SAGEHITCH_RULES_API_H
#define SAGEHITCH_RULES_API_H
#include "base/error.h"
#include "controller/codec.h"

/* Whether the path is one of the above. */
int rules_api_is(const char *path);
/* Like read and write of struct api_codec; request->path must be set. write returns 0 if the response belongs to a
 * request of another module. */
enum sagehitch_error rules_api_read(struct api_request *request, const struct http_request *http,
                                    struct validation_error *validation_error);
int rules_api_write(const struct api_response *response, int *status, char **body);
#endif

/* The codec between HTTP and the messages of the api. It reads and writes, and decides nothing. */
#ifndef SAGEHITCH_CONTROLLER_CODEC_H
#define SAGEHITCH_CONTROLLER_CODEC_H
#include "controller/api_message.h"
#include "dispatch/record.h"

/* A listening address, by whom it serves. */
enum entry { ENTRY_CALLERS, ENTRY_OPERATORS, ENTRY_READINESS, ENTRY_COUNT };

/* One HTTP request, valid until the call returns. header() returns NULL where there is no such header line. */
struct http_request {
    int64_t entry;
    const char *method, *path, *body;
    int64_t len;
    const char *(*header)(const struct http_request *request, const char *name);
    void *arg;
};

/* A codec of the api. */
struct api_codec {
    /* Returns 0, or an error described in validation_error; request must be zeroed, owns what it gets, and is empty
     * after an error. */
    int (*read)(struct api_request *request, const struct http_request *web, struct validation_error *validation_error);
    /* Encodes a response as HTTP status and body; the caller free()s the body. */
    void (*write)(const struct api_response *response, int *status, char **body);
    /* Applies a patch to the text of a configuration, see dispatch/record.h; NULL: there are no patches. */
    config_patcher *patch_config;
};
#endif

/* The codec between HTTP and the messages of the api. It only converts between them and makes no decisions. */
#ifndef SAGEHITCH_CONTROLLER_CODEC_H
#define SAGEHITCH_CONTROLLER_CODEC_H
#include "controller/api_message.h"
#include "dispatch/record.h"

/* The listening address at which a request arrived, by the clients it is for. */
enum entry { ENTRY_CALLERS, ENTRY_OPERATORS, ENTRY_READINESS, ENTRY_COUNT };

/* An HTTP request, valid until the call returns. header() returns NULL if the request has no such header. */
struct http_request {
    int64_t entry;
    const char *method, *path, *body;
    int64_t len;
    const char *(*header)(const struct http_request *request, const char *name);
    void *arg;
};

/* A codec of the api. */
struct api_codec {
    /* Reads an HTTP request into request, which must be zeroed; it then owns what it points to. Returns 0, or an error
     * that validation_error describes; request is zeroed then. */
    int (*read)(struct api_request *request, const struct http_request *web, struct validation_error *validation_error);
    /* Encodes a response as an HTTP status and a body, which the caller must free(). */
    void (*write)(const struct api_response *response, int *status, char **body);
    /* Applies a patch to the text of a configuration, see dispatch/record.h; NULL: patches are not supported. */
    config_patcher *patch_config;
};
#endif

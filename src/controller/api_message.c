/* Requests and responses of the api: constructors, accessors and schemas. */
#include "controller/api_message.h"

#include <stddef.h>
#include <stdlib.h>

_Static_assert(sizeof(struct executor_heartbeat) == sizeof(((struct api_request *)NULL)->body), "the largest is first");

/* The schemas describe members that several kinds share only once, so these must have the same offset in each kind. */
_Static_assert(offsetof(struct api_response, body.state) == offsetof(struct api_response, body.explanation.state),
               "state");
_Static_assert(offsetof(struct api_response, body.document.text) ==
                   offsetof(struct api_response, body.explanation.text),
               "text");

enum {
    CONFIG_KINDS = KIND_BIT(REQUEST_CONFIG_PUT) | KIND_BIT(REQUEST_CONFIG_PATCH),
    JOB_ID_KINDS =
        KIND_BIT(REQUEST_STATE) | KIND_BIT(REQUEST_CANCEL) | KIND_BIT(REQUEST_WHY) | KIND_BIT(REQUEST_RULES_JOB),
    RULES_KINDS = KIND_BIT(REQUEST_RULES_PUT) | KIND_BIT(REQUEST_RULES_GET),
    DOCUMENT_KINDS = KIND_BIT(REQUEST_CONFIG_GET) | KIND_BIT(REQUEST_RULES_GET) | KIND_BIT(REQUEST_RULES_JOB)
};

static const struct field api_request_fields[] = {
    INT(api_request, kind),
    INT_NAMED(api_request, wait_ms, "waitMs"),
    STR(api_request, host),
    STR(api_request, path),
    INT_NAMED(api_request, body.job_id, "job", .kinds = JOB_ID_KINDS),
    INT_NAMED(api_request, body.config.base, "base", .kinds = CONFIG_KINDS),
    SUB_NAMED(api_request, body.job, "spec", submission_schema, .kinds = KIND_BIT(REQUEST_JOB)),
    SUB_NAMED(api_request, body.config.config, "config", config_schema, .kinds = CONFIG_KINDS),
    SUB_NAMED(api_request, body.heartbeat, "beat", executor_heartbeat_schema, .kinds = KIND_BIT(REQUEST_HEARTBEAT)),
    PTR_NAMED(api_request, body.rules, "rules", rules_change_schema, .kinds = RULES_KINDS)};
SCHEMA_TAGGED(api_request_schema, api_request, api_request_fields);

static const struct field api_response_fields[] = {
    INT(api_response, kind),
    INT_NAMED(api_response, error, "problem"),
    INT_NAMED(api_response, retry_ms, "retryMs"),
    INT_NAMED(api_response, body.state, "state", .kinds = KIND_BIT(REQUEST_STATE) | KIND_BIT(REQUEST_WHY)),
    INT_NAMED(api_response, body.count, "count", .kinds = KIND_BIT(REQUEST_COUNT_WAITING)),
    INT_NAMED(api_response, body.document.version, "version", .kinds = DOCUMENT_KINDS),
    BYTES_NAMED(api_response, body.document.text, "raw", .kinds = DOCUMENT_KINDS | KIND_BIT(REQUEST_WHY)),
    STR(api_response, detail)};
SCHEMA_TAGGED(api_response_schema, api_response, api_response_fields);

/* Aborts the process unless kind is one of kinds. */
static void check_kind(int64_t kind, uint64_t kinds)
{
    if (kind < REQUEST_NONE || kind > REQUEST_CONFIG_PATCH || !(kinds & KIND_BIT(kind)))
        abort();
}

/* --- requests ------------------------------------------------------------------- */

static void set_kind(struct api_request *request, enum request_kind kind)
{
    check_kind(request->kind, KIND_BIT(REQUEST_NONE));
    request->kind = kind;
}

static void make_with_job_id(struct api_request *request, enum request_kind kind, int64_t job_id)
{
    set_kind(request, kind);
    request->body.job_id = job_id;
}

static struct rules_change *make_with_rules(struct api_request *request, enum request_kind kind, const char *outlet)
{
    struct rules_change *change = must_alloc(sizeof *change);
    set_kind(request, kind);
    schema_defaults(&rules_change_schema, change);
    change->outlet = must_dup(outlet);
    request->body.rules = change;
    return change;
}

struct job_spec *api_request_make_job(struct api_request *request)
{
    set_kind(request, REQUEST_JOB);
    return &request->body.job;
}

void api_request_make_state(struct api_request *request, int64_t job_id)
{
    make_with_job_id(request, REQUEST_STATE, job_id);
}

void api_request_make_cancel(struct api_request *request, int64_t job_id)
{
    make_with_job_id(request, REQUEST_CANCEL, job_id);
}

void api_request_make_count(struct api_request *request) { set_kind(request, REQUEST_COUNT_WAITING); }

struct config_change *api_request_make_config_put(struct api_request *request)
{
    set_kind(request, REQUEST_CONFIG_PUT);
    return &request->body.config;
}

struct config_change *api_request_make_config_patch(struct api_request *request)
{
    set_kind(request, REQUEST_CONFIG_PATCH);
    return &request->body.config;
}

void api_request_make_config_get(struct api_request *request) { set_kind(request, REQUEST_CONFIG_GET); }

void api_request_make_ready(struct api_request *request) { set_kind(request, REQUEST_READY); }

struct executor_heartbeat *api_request_make_heartbeat(struct api_request *request)
{
    set_kind(request, REQUEST_HEARTBEAT);
    return &request->body.heartbeat;
}

void api_request_make_why(struct api_request *request, int64_t job_id)
{
    make_with_job_id(request, REQUEST_WHY, job_id);
}

struct rules_change *api_request_make_rules_put(struct api_request *request, const char *outlet)
{
    return make_with_rules(request, REQUEST_RULES_PUT, outlet);
}

void api_request_make_rules_get(struct api_request *request, const char *outlet)
{
    make_with_rules(request, REQUEST_RULES_GET, outlet);
}

void api_request_make_rules_job(struct api_request *request, int64_t job_id)
{
    make_with_job_id(request, REQUEST_RULES_JOB, job_id);
}

const struct job_spec *api_request_job(const struct api_request *request)
{
    check_kind(request->kind, KIND_BIT(REQUEST_JOB));
    return &request->body.job;
}

int64_t api_request_job_id(const struct api_request *request)
{
    check_kind(request->kind, JOB_ID_KINDS);
    return request->body.job_id;
}

const struct config_change *api_request_config(const struct api_request *request)
{
    check_kind(request->kind, CONFIG_KINDS);
    return &request->body.config;
}

struct executor_heartbeat *api_request_heartbeat(struct api_request *request)
{
    check_kind(request->kind, KIND_BIT(REQUEST_HEARTBEAT));
    return &request->body.heartbeat;
}

const struct rules_change *api_request_rules(const struct api_request *request)
{
    check_kind(request->kind, KIND_BIT(REQUEST_RULES_PUT));
    return request->body.rules;
}

const char *api_request_outlet(const struct api_request *request)
{
    check_kind(request->kind, KIND_BIT(REQUEST_RULES_GET));
    return request->body.rules ? request->body.rules->outlet : NULL;
}

/* --- responses ------------------------------------------------------------------ */

struct api_response api_response_done(int64_t kind) { return (struct api_response){.kind = kind}; }

struct api_response api_response_error(int64_t kind, int error, int64_t retry_ms, const char *detail)
{
    return (struct api_response){
        .kind = kind, .error = error, .retry_ms = retry_ms, .detail = (char *)(uintptr_t)detail};
}

struct api_response api_response_make_state(int64_t state)
{
    return (struct api_response){.kind = REQUEST_STATE, .body.state = state};
}

struct api_response api_response_make_count(int64_t count)
{
    return (struct api_response){.kind = REQUEST_COUNT_WAITING, .body.count = count};
}

struct api_response api_response_make_config(int64_t version, const struct bytes *text)
{
    return (struct api_response){.kind = REQUEST_CONFIG_GET, .body.document = {.version = version, .text = *text}};
}

struct api_response api_response_make_explanation(int64_t state, const struct bytes *text)
{
    return (struct api_response){.kind = REQUEST_WHY, .body.explanation = {.state = state, .text = *text}};
}

struct api_response api_response_make_rules(int64_t kind, int64_t version, const struct bytes *text)
{
    check_kind(kind, KIND_BIT(REQUEST_RULES_GET) | KIND_BIT(REQUEST_RULES_JOB));
    return (struct api_response){.kind = kind, .body.document = {.version = version, .text = *text}};
}

int64_t api_response_state(const struct api_response *response)
{
    check_kind(response->kind, KIND_BIT(REQUEST_STATE));
    return response->body.state;
}

int64_t api_response_count(const struct api_response *response)
{
    check_kind(response->kind, KIND_BIT(REQUEST_COUNT_WAITING));
    return response->body.count;
}

const struct api_document *api_response_document(const struct api_response *response)
{
    check_kind(response->kind, DOCUMENT_KINDS);
    return &response->body.document;
}

const struct job_explanation *api_response_explanation(const struct api_response *response)
{
    check_kind(response->kind, KIND_BIT(REQUEST_WHY));
    return &response->body.explanation;
}

/* Requests of callers, operators and executors, and the responses to them, independent of their encoding.
 *
 * Both are tagged unions: enum request_kind tells which member of body is valid. There is a constructor for each kind
 * (or for several kinds with the same members), which sets the kind together with its members. Accessors read the
 * members, and abort the process if the kind is a different one. Only the constructors, accessors and schemas may use
 * body directly. */
#ifndef SAGEHITCH_CONTROLLER_API_MESSAGE_H
#define SAGEHITCH_CONTROLLER_API_MESSAGE_H
#include "agent/executor_codec.h"
#include "dispatch/job.h"
#include "rules/rules.h"

/* The values are sent between controllers, so they must not change. */
enum request_kind {
    REQUEST_NONE,
    REQUEST_JOB,           /* submits a job */
    REQUEST_STATE,         /* reads the state of a job */
    REQUEST_CANCEL,        /* cancels a job */
    REQUEST_COUNT_WAITING, /* counts the jobs of a queue that have not started */
    REQUEST_CONFIG_PUT,    /* replaces the configuration */
    REQUEST_CONFIG_GET,    /* reads the configuration */
    REQUEST_READY,         /* asks whether this process is ready */
    REQUEST_HEARTBEAT,     /* heartbeat of an executor */
    REQUEST_WHY,           /* explains the state of a job as text, for operators */
    REQUEST_RULES_PUT,     /* changes the rules of the head office or of an outlet */
    REQUEST_RULES_GET,     /* reads the rules of the head office or of an outlet */
    REQUEST_RULES_JOB,     /* reads the rules under which a job was accepted */
    REQUEST_CONFIG_PATCH   /* changes named items of the configuration */
};

/* A request. It owns what it points to; schema_free() with api_request_schema frees that. */
struct api_request {
    int64_t kind;      /* enum request_kind */
    int64_t wait_ms;   /* how long the caller waits for a response, 0: not given */
    char *host, *path; /* as sent; they select the queue of a request about jobs or queues */
    union {
        struct executor_heartbeat heartbeat; /* REQUEST_HEARTBEAT; first as it is the largest: {0} clears all members */
        struct job_spec job;                 /* REQUEST_JOB */
        int64_t job_id;                      /* REQUEST_STATE, REQUEST_CANCEL, REQUEST_WHY, REQUEST_RULES_JOB */
        struct config_change config;         /* REQUEST_CONFIG_PUT, REQUEST_CONFIG_PATCH */
        struct rules_change *rules;          /* REQUEST_RULES_PUT; REQUEST_RULES_GET: only its outlet is used */
    } body;
};

/* Constructors. request must be zeroed except for wait_ms, host and path. It owns what the caller stores in the
 * returned members. */
struct job_spec *api_request_make_job(struct api_request *request);
void api_request_make_state(struct api_request *request, int64_t job_id);
void api_request_make_cancel(struct api_request *request, int64_t job_id);
void api_request_make_count(struct api_request *request);
struct config_change *api_request_make_config_put(struct api_request *request);
struct config_change *api_request_make_config_patch(struct api_request *request);
void api_request_make_config_get(struct api_request *request);
void api_request_make_ready(struct api_request *request);
struct executor_heartbeat *api_request_make_heartbeat(struct api_request *request);
void api_request_make_why(struct api_request *request, int64_t job_id);
/* outlet: is copied; NULL: the rules of the head office. The returned change has the defaults of its schema. */
struct rules_change *api_request_make_rules_put(struct api_request *request, const char *outlet);
void api_request_make_rules_get(struct api_request *request, const char *outlet);
void api_request_make_rules_job(struct api_request *request, int64_t job_id);

/* Accessors. The results are borrowed from the request. */
const struct job_spec *api_request_job(const struct api_request *request);
int64_t api_request_job_id(const struct api_request *request);                     /* of all four kinds that have it */
const struct config_change *api_request_config(const struct api_request *request); /* of both kinds */
struct executor_heartbeat *api_request_heartbeat(struct api_request *request);
const struct rules_change *api_request_rules(const struct api_request *request);
const char *api_request_outlet(const struct api_request *request); /* REQUEST_RULES_GET; NULL: head office */

/* The state of a job with its explanation. */
struct job_explanation {
    int64_t state; /* enum job_state */
    struct bytes text;
};
/* A text with a version: a configuration as it was sent, or rules as JSON. version 0: the text has no version. */
struct api_document {
    int64_t version;
    struct bytes text;
};

/* A response to a request of the same kind. If it has an error, body is empty and detail (may be NULL) explains the
 * error to the sender of the request. Responses filled by schema_unpack() own what they point to; responses made by the
 * constructors borrow it. */
struct api_response {
    int64_t kind;     /* enum request_kind */
    int64_t error;    /* enum sagehitch_error */
    int64_t retry_ms; /* when to send the request again; 0: the error's default */
    char *detail;
    union {
        struct job_explanation explanation; /* REQUEST_WHY */
        struct api_document document;       /* REQUEST_CONFIG_GET, REQUEST_RULES_GET, REQUEST_RULES_JOB */
        int64_t state;                      /* REQUEST_STATE: enum job_state */
        int64_t count;                      /* REQUEST_COUNT_WAITING */
    } body;
};

/* Constructors. api_response_done() is for kinds whose response carries only the success of the request. */
struct api_response api_response_done(int64_t kind);
struct api_response api_response_error(int64_t kind, int error, int64_t retry_ms, const char *detail);
struct api_response api_response_make_state(int64_t state);
struct api_response api_response_make_count(int64_t count);
struct api_response api_response_make_config(int64_t version, const struct bytes *text);
struct api_response api_response_make_explanation(int64_t state, const struct bytes *text);
/* kind: REQUEST_RULES_GET or REQUEST_RULES_JOB */
struct api_response api_response_make_rules(int64_t kind, int64_t version, const struct bytes *text);

/* Accessors. The results are borrowed from the response. */
int64_t api_response_state(const struct api_response *response); /* REQUEST_STATE */
int64_t api_response_count(const struct api_response *response);
const struct api_document *api_response_document(const struct api_response *response);
const struct job_explanation *api_response_explanation(const struct api_response *response);

extern const struct schema api_request_schema, api_response_schema;
#endif

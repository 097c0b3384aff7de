/* Requests of callers, operators and executors, and the responses to them, independent of the codec that they came in.
 *
 * Both are tagged unions: enum request_kind says which member of body is there. A constructor, one for each kind (or
 * for kinds with the same members), sets the kind together with its members; accessors read them, and end the process
 * where the kind is another one. body itself is for the constructors, the accessors and the schemas alone. */
#ifndef SAGEHITCH_CONTROLLER_API_MESSAGE_H
#define SAGEHITCH_CONTROLLER_API_MESSAGE_H
#include "agent/executor_codec.h"
#include "dispatch/job.h"
#include "rules/rules.h"

/* The numbers go over the wire between controllers. */
enum request_kind {
    REQUEST_NONE,
    REQUEST_JOB,           /* submits a job */
    REQUEST_STATE,         /* reads the state of a job */
    REQUEST_CANCEL,        /* cancels a job */
    REQUEST_COUNT_WAITING, /* counts the jobs of a queue that have not begun */
    REQUEST_CONFIG_PUT,    /* replaces the configuration */
    REQUEST_CONFIG_GET,    /* reads it */
    REQUEST_READY,         /* whether this process is ready */
    REQUEST_HEARTBEAT,     /* heartbeat of an executor */
    REQUEST_WHY,           /* explains the state of a job as text, for operators */
    REQUEST_RULES_PUT,     /* changes head office's rules, or an outlet's */
    REQUEST_RULES_GET,     /* reads them */
    REQUEST_RULES_JOB,     /* reads the rules that a job was accepted under */
    REQUEST_CONFIG_PATCH   /* changes named items of the configuration */
};

/* A request. Owns what it points to; schema_free() with api_request_schema frees it. */
struct api_request {
    int64_t kind;      /* enum request_kind */
    int64_t wait_ms;   /* how long the caller waits, 0: it does not say */
    char *host, *path; /* as sent; of requests about jobs and queues they decide the queue */
    union {
        struct executor_heartbeat
            beat;                    /* REQUEST_HEARTBEAT; the largest member is first, so that {0} clears them all */
        struct job_spec job;         /* REQUEST_JOB */
        int64_t job_id;              /* REQUEST_STATE, REQUEST_CANCEL, REQUEST_WHY, REQUEST_RULES_JOB */
        struct config_change config; /* REQUEST_CONFIG_PUT, REQUEST_CONFIG_PATCH */
        struct rules_change *rules;  /* REQUEST_RULES_PUT; REQUEST_RULES_GET: only its outlet is used */
    } body;
};

/* Constructors. request is zeroed but for wait_ms, host and path; it owns what is put into the members returned. */
struct job_spec *api_request_make_job(struct api_request *request);
void api_request_make_state(struct api_request *request, int64_t job_id);
void api_request_make_cancel(struct api_request *request, int64_t job_id);
void api_request_make_count(struct api_request *request);
struct config_change *api_request_make_config_put(struct api_request *request);
struct config_change *api_request_make_config_patch(struct api_request *request);
void api_request_make_config_get(struct api_request *request);
void api_request_make_ready(struct api_request *request);
struct executor_heartbeat *api_request_make_beat(struct api_request *request);
void api_request_make_why(struct api_request *request, int64_t job_id);
/* outlet: copied; NULL: head office's rules. The change has the defaults of its schema. */
struct rules_change *api_request_make_rules_put(struct api_request *request, const char *outlet);
void api_request_make_rules_get(struct api_request *request, const char *outlet);
void api_request_make_rules_job(struct api_request *request, int64_t job_id);

/* Accessors, borrowed from the request. */
const struct job_spec *api_request_job(const struct api_request *request);
int64_t api_request_job_id(const struct api_request *request);                     /* of all four kinds that have it */
const struct config_change *api_request_config(const struct api_request *request); /* of both kinds */
struct executor_heartbeat *api_request_beat(struct api_request *request);
const struct rules_change *api_request_rules(const struct api_request *request);
const char *api_request_outlet(const struct api_request *request); /* REQUEST_RULES_GET; NULL: head office */

/* The state of a job with its explanation. */
struct job_explanation {
    int64_t state; /* enum job_state */
    struct bytes text;
};
/* A versioned text: a configuration as it was sent, or rules as JSON. version 0: the text has none. */
struct api_document {
    int64_t version;
    struct bytes text;
};

/* A response to a request of the same kind. With an error body is empty, and detail (may be NULL) says for the one who
 * sent the request what was wrong. Only responses that schema_unpack() filled own what they point to; those of the
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

/* Constructors. api_response_done() is for kinds of which no more is told than that the request succeeded. */
struct api_response api_response_done(int64_t kind);
struct api_response api_response_error(int64_t kind, int error, int64_t retry_ms, const char *detail);
struct api_response api_response_make_state(int64_t state);
struct api_response api_response_make_count(int64_t count);
struct api_response api_response_make_config(int64_t version, const struct bytes *text);
struct api_response api_response_make_explanation(int64_t state, const struct bytes *text);
/* kind: REQUEST_RULES_GET or REQUEST_RULES_JOB */
struct api_response api_response_make_rules(int64_t kind, int64_t version, const struct bytes *text);

/* Accessors, borrowed from the response. */
int64_t api_response_state(const struct api_response *response); /* REQUEST_STATE */
int64_t api_response_count(const struct api_response *response);
const struct api_document *api_response_document(const struct api_response *response);
const struct job_explanation *api_response_explanation(const struct api_response *response);

extern const struct schema api_request_schema, api_response_schema;
#endif

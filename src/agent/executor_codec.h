/* The protocol between an agent and its executor. The agent decides what is sent; a codec only encodes requests and
 * decodes responses, including the names of tasks. */
#ifndef SAGEHITCH_EXECUTOR_CODEC_H
#define SAGEHITCH_EXECUTOR_CODEC_H
#include "dispatch/messages.h"

/* Longest id of an incarnation that the API accepts from an executor, in bytes. */
enum { EXECUTOR_ID_MAX = 1024 };

/* A call to an executor; owns its strings. */
struct executor_call {
    char *method, *path, *header, *body; /* header: one extra line "Name: value", or NULL */
};
/* The runs that an executor lists. Everything is owned. */
struct run_lists {
    struct run_active *active;
    int64_t n_active;
    struct run_ended *ended; /* ends that no poll has allowed it to drop */
    int64_t n_ended;
};

/* How an executor responded to a call. NONE: no response was decoded yet; OTHER_INCARNATION: another incarnation than
 * the one addressed responded, so that one has ended. */
enum executor_response_kind { EXECUTOR_RESPONSE_NONE, EXECUTOR_ACCEPTED, EXECUTOR_REFUSED, EXECUTOR_OTHER_INCARNATION };
/* A decoded response, a tagged union. Constructors set the kind and the members of body that belong to it; accessors
 * abort if the response is of another kind. schema_free() with executor_response_schema frees what it owns. */
struct executor_response {
    int64_t kind;     /* enum executor_response_kind */
    int64_t clock_ms; /* the executor's clock, -1: not given */
    union {
        struct run_lists lists; /* EXECUTOR_ACCEPTED; filled in by polls only */
        int64_t refusal;        /* EXECUTOR_REFUSED: enum start_refusal */
    } body;
};
extern const struct schema executor_call_schema, executor_response_schema;

/* Frees what lists owns and empties it. */
void run_lists_free(struct run_lists *lists);

/* Constructors, for a response of kind EXECUTOR_RESPONSE_NONE. The caller fills in the returned lists. */
struct run_lists *executor_response_accept(struct executor_response *response);
void executor_response_refuse(struct executor_response *response, enum start_refusal refusal);
void executor_response_other_incarnation(struct executor_response *response);
/* Accessors. */
struct run_lists *executor_response_lists(struct executor_response *response);
int64_t executor_response_refusal(const struct executor_response *response);

/* An executor accepts the response to a heartbeat only within this time after it sent the heartbeat. */
enum { HEARTBEAT_RESPONSE_MAX_MS = 1000 };

/* Orders in the response to a heartbeat. hold_ms: length of the lease, from when the executor receives the response; 0:
 * not renewed. retry_ms: delay of its next heartbeat. Lists are borrowed. */
struct heartbeat_orders {
    int64_t epoch, seen, hold_ms, retry_ms;
    const struct run_start **starts;
    const struct run_start **stops;
    int64_t n_starts, n_stops;
};

/* A codec. The calls that it encodes own their strings; schema_free() with executor_call_schema frees them. */
struct executor_codec {
    /* Encodes the start of a run. expires_ms: end of the lease on the executor's clock. */
    void (*start)(struct executor_call *call, const char *incarnation, const struct run_start *start,
                  int64_t expires_ms, int64_t epoch);
    /* Encodes the stop of a run. The executor also refuses a start of this attempt that arrives later. */
    void (*stop)(struct executor_call *call, const char *incarnation, const struct run_ref *run, int64_t epoch);
    /* Encodes a request for the lists of runs. seen: the executor may drop ends up to this seq; expires_ms: end of the
     * lease on the executor's clock, 0: not renewed; wait_ms: the executor responds when the next run ends or after
     * this time, 0: at once. */
    void (*poll)(struct executor_call *call, const char *incarnation, int64_t epoch, int64_t seen, int64_t expires_ms,
                 int64_t wait_ms);
    /* Decodes a response. Returns 0, or an error if the body cannot be decoded. response must be zeroed except for
     * clock_ms. */
    int (*read)(struct executor_response *response, int status, const char *body, int64_t len);
    /* Encodes the body of a response to a heartbeat. The caller frees it with free(). */
    char *(*heartbeat_response)(const struct heartbeat_orders *orders);
};

enum heartbeat_kind { HEARTBEAT_ALIVE, HEARTBEAT_LEAVING };
/* The clock and the runs that a heartbeat reports. clock_ms: the executor's clock, 0 or -1: not given; lists: only from
 * executors that take orders in the responses to heartbeats. */
struct heartbeat_report {
    int64_t clock_ms;
    struct run_lists lists;
};
/* A heartbeat: an executor reports that it is running, or that it shuts down. HEARTBEAT_LEAVING: only state.incarnation
 * is used. */
struct executor_heartbeat {
    int64_t kind;  /* enum heartbeat_kind */
    int64_t seq;   /* rises with every heartbeat of an incarnation */
    char *address; /* at which the executor listens */
    struct executor_state state;
    struct heartbeat_report account;
};
extern const struct schema executor_heartbeat_schema;
#endif

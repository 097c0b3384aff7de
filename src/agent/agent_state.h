/* State and internal functions of an agent, shared by agent*.c. */
#ifndef SAGEHITCH_AGENT_STATE_H
#define SAGEHITCH_AGENT_STATE_H
#include "agent/agent.h"

/* Times in ms, on the agent's monotonic clock unless a name says otherwise. */
enum agent_limits {
    WORK_CALLS_MAX = 3,  /* starts and stops in flight at once */
    OTHER_CALLS_MAX = 3, /* the current poll, a poll of a former epoch, and a probe of a new incarnation */
    CALLS_MAX = WORK_CALLS_MAX + OTHER_CALLS_MAX,
    CALL_TIMEOUT_MS = 300,         /* timeout of a start, a stop, and a poll that returns at once */
    POLL_WAIT_MAX_MS = 1500,       /* longest time that a poll waits for a run to end */
    POLL_WAIT_GAPS = 3,            /* a poll waits at most this many times the usual time between ends */
    POLL_WAIT_UNRELIABLE_MS = 100, /* longest wait of a poll within CALLS_UNRELIABLE_MS of a timeout */
    CALL_TIMEOUT_MIN_MS = 100,
    CALLS_UNRELIABLE_MS = 10000, /* after a call timed out, timeouts are short for this time */
    POLL_WAIT_MIN_MS = 200,
    POLL_TIMEOUT_MARGIN_MS = 250, /* timeout of a poll beyond its waiting time */
    RENEW_BEFORE_EXPIRY_MS = 900, /* a poll returns this long before the lease ends, so that the next one renews it */
    RENEW_GAIN_MIN_MS = 150,      /* the lease is renewed only if that extends it by at least this */
    POLL_DELAY_MS = 20,           /* from one poll to the next, so that several ends come in one response */
    POLL_DELAY_UNSEEN_MS = 80,    /* the same while reported ends are not committed: a poll would return at once */
    PROOF_POLL_DELAY_MS = 20,     /* from the response to a stop to the poll that shows the end of the run */
    SEEN_POLL_DELAY_MS = 300,     /* until the poll that sends a new value of seen if nothing runs */
    IDLE_POLL_INTERVAL_MS = 5000,
    RETRY_MIN_MS = 100,
    RETRY_START_MIN_MS = 20, /* for a start that timed out, in place of RETRY_MIN_MS */
    RETRY_MAX_MS = 1000,
    RETRY_STOP_MIN_MS = 100,
    RETRY_STOP_MAX_MS = 500,
    UNAVAILABLE_RETRY_MS = 300,  /* delay of a start that the executor refused as overloaded or too late */
    UNAVAILABLE_RETRIES_MAX = 3, /* after that many retries the refusal is reported */
    START_LEASE_MIN_MS = 300,    /* no start is sent with less time left of the lease */
    REPORT_INTERVAL_MIN_MS = 10,
    LEADER_SILENT_MS = 1000, /* a leader that sent nothing for this long is suspected to be no longer the leader */
    LEAVING_MIN_MS = 500,    /* an executor that announced its shutdown has ended at the earliest after this time */
    LEAVING_POLL_INTERVAL_MS = 200,
    INHERITED_CALLS_MS = 20000,  /* for this long, calls of a former process of this agent may be carried out */
    CLOSED_RETENTION_MS = 30000, /* acknowledged refusals are kept this long, so that late orders are recognized */
    LAST_POLL_TIMEOUT_MS = 800,
    LAST_POLL_LINGER_MS = 100,    /* time for the last response to a heartbeat to leave this process */
    LEAVE_MARGIN_MS = 1500,       /* the last poll is sent this long before the grace period ends */
    POLL_ENDS_MAX = 500,          /* a response with that many ends may not list all of them */
    HEARTBEAT_PROMPT_MS = 900,    /* the executor certainly receives a response sent within this time */
    HEARTBEAT_WAIT_MS = 20,       /* how long a response waits for orders */
    HEARTBEAT_IDLE_WAIT_MS = 600, /* the same while nothing runs */
    HEARTBEAT_DELAY_MS = 50,      /* from a response to the next heartbeat */
    HEARTBEAT_LATE_MS = 700,      /* an executor whose heartbeat is this late is silent */
    START_DELIVERIES = 2,         /* a start in that many delivered responses that is not listed was refused */
    STOP_DELIVERIES = 2,          /* a stop in that many delivered responses has been carried out */
    START_RESEND_MS = 300,        /* between two delivered responses with the same start */
    CLOCK_RATE_MIN_PCT = 98,      /* lowest rate of the executor's clock, in percent of true time */
    EXPIRY_MARGIN_MS = 50,
    ENDED_INCARNATIONS_MAX = 32
};

/* Progress of an order to start or stop a run. */
enum work_state {
    WORK_START,     /* to be started, no response yet */
    WORK_STARTED,   /* start accepted: active until a poll sent later shows otherwise */
    WORK_CHECK,     /* refused as outdated: a poll sent later shows whether the run ended there */
    WORK_STOP,      /* to be stopped, no response yet */
    WORK_STOPPED,   /* stop accepted: waits for the run's end, or for a poll sent later that does not list the run */
    WORK_REFUSED,   /* refused, reported until acknowledged */
    WORK_NEVER_RAN, /* never ran, reported as END_ABSENT until acknowledged */
    WORK_CLOSED     /* acknowledged, kept for CLOSED_RETENTION_MS */
};

/* An order of the leader to start or stop one run. Invariants: there is one entry for each job, task and attempt; a
 * refusal is reported only if start_uncertain is 0. start_uncertain: the executor may still carry out a start whose
 * response was lost, so only a stop settles the run. response_number: polls with a higher number were sent after the
 * response. */
struct work_item {
    struct run_start start;
    int64_t state;            /* enum work_state */
    int64_t reason;           /* WORK_REFUSED: enum start_refusal */
    int64_t closed_never_ran; /* WORK_CLOSED: it was WORK_NEVER_RAN before */
    int64_t call_number;      /* number of the call in flight whose response settles it; 0: none */
    int64_t start_uncertain, unavailable_retries, next_send_ms, retry_ms, response_number, response_ms, keep_until_ms;
    /* Orders in responses to heartbeats: whether the newest response carries it, and how many delivered ones did. */
    int64_t sent, delivered_count;
};

/* What proves that an incarnation has ended. */
enum incarnation_proof {
    PROOF_LEASES_EXPIRED, /* it announced its shutdown, and every lease that was sent to it has expired */
    PROOF_OTHER_RESPONDED,
    PROOF_OTHER_HEARTBEAT
};

/* CALL_FREE: none; CALL_PROBE: a poll of an incarnation that may have replaced the current one. */
enum call_kind { CALL_FREE, CALL_START, CALL_STOP, CALL_POLL, CALL_PROBE };

/* The parameters of a poll in flight. */
struct poll_request {
    int64_t seen;  /* as in the codec's poll() */
    int64_t waits; /* whether it waits for a run to end */
};
/* A call in flight, a tagged union. The accessors below abort if the call is of another kind. Invariant: number rises
 * with every call sent. */
struct executor_request {
    int64_t kind; /* enum call_kind; CALL_FREE: a free slot */
    int64_t number, epoch, sent_ms;
    int64_t expires_ms; /* end of the lease that it carries, on the executor's clock; 0: none */
    char *incarnation;  /* the incarnation it was sent to, owned */
    union {
        struct poll_request poll; /* CALL_POLL, CALL_PROBE */
        struct run_ref run;       /* CALL_START, CALL_STOP */
    } body;
};

/* State of an executor that takes orders in the responses to its heartbeats. open: the newest heartbeat has no response
 * yet; slot: its HTTP request. Invariant: until the next heartbeat, responded says whether the response to the newest
 * one carried orders; epoch and seen are those that it carried. */
struct agent_heartbeat {
    int64_t open, slot, respond_by_ms;
    int64_t clock_ms, received_ms; /* the executor's clock in the newest heartbeat, and when that was received */
    int64_t responded, response_ms, epoch, seen;
};

/* The executor's current incarnation. Invariants: clock_ms is at most what its clock showed at clock_read_ms;
 * sent_expiry_ms is the latest lease expiry in any call sent to it, accepted_expiry_ms the latest in a call that it
 * accepted (both on its clock); seen never falls and is only what the leader sent. */
struct agent_incarnation {
    int64_t present, ready;
    int64_t leaving, leaving_ms; /* whether it announced its shutdown, and when */
    int64_t heartbeat_seq;
    struct executor_state state;
    int64_t clock_ms, clock_read_ms, sent_expiry_ms, accepted_expiry_ms;
    int64_t seen, seen_delivered, seen_raised_ms;
    int64_t silent_since_ms, retry_ms, next_retry_ms;     /* silent_since_ms 0: it responds */
    int64_t response_ms;                                  /* time of its newest response */
    int64_t response_time_ms;                             /* recent duration of calls that do not wait for an end */
    int64_t poll_done_ms, proof_poll_ms, last_timeout_ms; /* last_timeout_ms: when a call last timed out; 0: never */
    int64_t last_change_ms, end_gap_ms;                   /* when a run last started or ended; mean time between ends */
    struct run_lists lists;                               /* as last reported; ended: by rising seq, all above seen */
    struct agent_heartbeat heartbeat;
};

/* An agent. Strings and lists are owned. */
struct agent {
    struct world *world;
    struct agent_setup setup;
    struct directory directory;
    uint32_t cluster;
    int64_t started_ms;
    int64_t epoch, orders_number; /* the highest epoch of any orders, and the newest number under it */
    int64_t fenced_epoch;         /* the executor knew a higher epoch than this */
    int64_t poll_delay_ms;        /* delay between polls as ordered by the leader; 0: POLL_DELAY_MS */
    int64_t lease_until_ms;       /* end of the lease that the leader granted to the current incarnation */
    int64_t lease_stamp_ms;       /* stamp_ms of the report for which it granted that lease */
    int64_t last_stamp_ms;
    struct agent_incarnation incarnation;
    struct executor_heartbeat candidate; /* heartbeat of a possible new incarnation; incarnation NULL: none */
    int64_t candidate_probe_ms, candidate_retry_ms;
    char *ended_incarnations[ENDED_INCARNATIONS_MAX]; /* incarnations known to have ended, a ring buffer */
    int64_t n_ended_incarnations;
    char **lost_incarnations; /* ended incarnations that the leader has not acknowledged */
    int64_t n_lost_incarnations;
    struct work_item *work_items;
    int64_t n_work_items;
    struct executor_request calls[CALLS_MAX];
    int64_t last_call_number;
    int64_t report_needed, orders_received_ms, leader, leader_since_ms;
    int64_t leaving, leave_ms, last_poll_ms, last_poll_sent, left;
};

static inline int work_matches(const struct work_item *work, int64_t job, int64_t task, int64_t attempt)
{
    return work->start.job == job && work->start.task == task && work->start.attempt == attempt;
}

static inline struct run_ref work_run(const struct work_item *work)
{
    return (struct run_ref){.job = work->start.job, .task = work->start.task, .attempt = work->start.attempt};
}

/* agent_lease.c */
/* A lower bound of what the executor's clock shows now. */
int64_t agent_clock_ms(const struct agent *agent, int64_t now);
/* The latest lease expiry that may be sent to the executor, on its clock; 0: no lease may be sent. */
int64_t agent_max_expiry(const struct agent *agent, int64_t now);
/* Time in ms after which all leases ever sent to the executor have certainly expired; 0: they have. */
int64_t agent_lease_left_ms(const struct agent *agent, int64_t now);
/* Records a reading of the executor's clock; readings that do not advance it are ignored. */
void agent_clock_received(struct agent *agent, int64_t clock_ms, int64_t now);

/* agent_timeouts.c. Times in ms. */
/* Whether a call timed out within the last CALLS_UNRELIABLE_MS. */
int agent_calls_unreliable(const struct agent_incarnation *incarnation, int64_t now);
/* The timeout of a call: normal_ms; while calls are unreliable, at most three times the recent duration of calls, but
 * at least CALL_TIMEOUT_MIN_MS. */
int64_t agent_call_timeout(const struct agent_incarnation *incarnation, int64_t normal_ms, int64_t now);
/* The longest time that a poll may wait for a run to end. */
int64_t agent_poll_wait_max(const struct agent_incarnation *incarnation, int64_t now);
/* Records that n runs have ended since the previous call; n 0: a run has started. */
void agent_count_ends(struct agent_incarnation *incarnation, int64_t n, int64_t now);
/* Records the duration of a call that does not wait for a run to end. */
void agent_response_time_add(struct agent_incarnation *incarnation, int64_t took_ms);

/* agent_calls.c */
/* Accessors of a call in flight. The result is borrowed from it. */
const struct poll_request *request_poll(const struct executor_request *request);
const struct run_ref *request_run(const struct executor_request *request);
/* Sends the calls whose time has come. */
void agent_calls_step(struct agent *agent, int64_t now);

/* agent_responses.c */
/* Handles the outcome of a call, as call_done in base/world.h; arg: the agent, tag: the call's number. */
void agent_call_done(void *arg, int64_t tag, int status, const char *body, int64_t len);
/* Replaces the list of active runs and adds the new ends. Moves them out of lists; the caller frees the rest. */
void agent_lists_update(struct agent *agent, struct run_lists *lists);
/* Whether the run is listed as active, or as ended. */
int run_is_active(const struct run_lists *lists, const struct run_ref *run);
int run_is_ended(const struct run_lists *lists, const struct run_ref *run);

/* agent_work_items.c */
/* The work item of a run, or NULL. Pointers to work items are valid until one is added or dropped. */
struct work_item *agent_work_find(struct agent *agent, int64_t job, int64_t task, int64_t attempt);
/* Removes and frees a work item. */
void agent_work_drop(struct agent *agent, struct work_item *work);
/* Changes the work item, whatever its state, into an order to stop the run. */
void agent_work_stop(struct work_item *work, int64_t now);
/* Records that the executor refused the start, with the reason (enum start_refusal) to report. */
void agent_work_refused(struct agent *agent, struct work_item *work, int64_t reason);
/* Settles work items by the lists of a poll. number: the poll's number; whole: the lists were complete. */
void agent_work_items_settle(struct agent *agent, int64_t number, int whole, int64_t now);
/* Withdraws starts that must no longer be carried out, and drops closed items after CLOSED_RETENTION_MS. */
void agent_work_items_step(struct agent *agent, int64_t now);
/* Apply the leader's orders and acknowledgements. */
void agent_order_start(struct agent *agent, const struct run_start *start, int64_t now);
void agent_order_stop(struct agent *agent, const struct run_ref *run, int64_t now);
void agent_end_acknowledged(struct agent *agent, const struct run_ref *run, int64_t now);
/* Drops the orders of former epochs that are not settled yet. */
void agent_work_items_new_epoch(struct agent *agent);
/* Whether calls of a former process of this agent may still be carried out. */
int agent_may_inherit_calls(const struct agent *agent, int64_t now);

/* agent_heartbeats.c */
/* Records that the incarnation of this name has certainly ended, and reports it to the leader. */
void agent_incarnation_ended(struct agent *agent, const char *incarnation, enum incarnation_proof proof);
/* Makes the candidate the current incarnation, since it has responded to a probe. */
void agent_candidate_confirmed(struct agent *agent);
/* Frees the state of the current incarnation. */
void agent_incarnation_clear(struct agent *agent);

/* agent_heartbeat_orders.c: executors that take orders in the responses to heartbeats */
/* Handles the newest heartbeat; slot: its HTTP request, for the response. */
void agent_heartbeat_received(struct agent *agent, int64_t slot, struct heartbeat_report *report, int64_t now);
/* Responds to the open heartbeat once there are orders or its waiting time has passed. */
void agent_heartbeat_step(struct agent *agent, int64_t now);
/* Responds to the open heartbeat, if there is one, without orders. */
void agent_heartbeat_close(struct agent *agent);

/* agent_report.c */
/* Sends a report to the leader at address `to`. */
void agent_report_send(struct agent *agent, int64_t to, int64_t now);
/* Applies the leader's orders. Orders of a lower epoch or number are ignored. */
void agent_orders_apply(struct agent *agent, const struct agent_orders *orders, int64_t now);
#endif

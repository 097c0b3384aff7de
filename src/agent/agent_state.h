/* State and internal functions of an agent, shared by agent*.c. */
#ifndef SAGEHITCH_AGENT_STATE_H
#define SAGEHITCH_AGENT_STATE_H
#include "agent/agent.h"

/* All times are on the agent's steady clock unless a name says otherwise. */
enum agent_tuning {
    WORK_CALLS_MAX = 3,  /* starts and stops in flight at once */
    OTHER_CALLS_MAX = 3, /* a poll, one of a former epoch, and a probe of a new incarnation */
    CALLS_MAX = WORK_CALLS_MAX + OTHER_CALLS_MAX,
    CALL_WAIT_MS = 300,   /* timeout of a start, a stop, and a poll that does not wait */
    POLL_MS = 1500,       /* a poll waits so long for an end */
    POLL_GAPS = 3,        /* but not much longer than so many times the usual time between ends */
    POLL_DOUBT_MS = 100,  /* only so long for a while after a call timed out */
    TIMEOUT_MIN_MS = 100, /* and no timeout is shorter than this */
    DOUBT_CALLS_MS = 10000,
    POLL_LEAST_MS = 200,
    POLL_MARGIN_MS = 250, /* timeout of a poll beyond its waiting time */
    RENEW_MS = 900,       /* a poll must be back so long before the lease ends */
    RENEW_GAIN_MS = 150,  /* an expiry is renewed only if that extends it by so much */
    PACE_MS = 20,         /* delay after a poll, so that several ends come in one */
    UNSEEN_MS = 80,       /* while ends wait to be committed a poll would return at once */
    PROVE_MS = 20,        /* from the response to a stop to the poll that shows its end */
    SEEN_MS = 300,        /* delay until a new seen is sent where nothing runs */
    IDLE_POLL_MS = 5000,
    RETRY_MS = 100,
    AGAIN_MS = 20, /* the same for a start that timed out */
    RETRY_MOST_MS = 1000,
    RETRY_STOP_MS = 100,
    RETRY_STOP_MOST_MS = 500,
    SICK_MS = 300,
    SICK_TRIES = 3,
    START_LEAST_MS = 300, /* no start with less left of the lease than this */
    REPORT_LEAST_MS = 10,
    DOUBT_MS = 1000, /* a leader that has sent nothing for so long is doubted */
    LEFT_MS = 500,   /* it is over if silent so long after it announced that it leaves */
    LEFT_POLL_MS = 200,
    INHERIT_MS = 20000, /* calls of a former process of this agent may still be carried out */
    CLOSED_MS = 30000,  /* acknowledged refusals are kept against late orders */
    LAST_POLL_MS = 800,
    LAST_POLL_LINGER_MS = 100,
    LEAVE_SPARE_MS = 1500,
    ENDED_MOST = 500,     /* a poll shows no more ends than this */
    BEAT_PROMPT_MS = 900, /* a response sent within this after the heartbeat counts for sure */
    BEAT_OPEN_MS = 20,    /* a response waits so long for orders, */
    BEAT_IDLE_MS = 600,   /* and so long where nothing runs */
    BEAT_RETRY_MS = 50,   /* from a response to the next heartbeat */
    BEAT_SILENT_MS = 700, /* the executor is silent if its heartbeat is so late */
    START_SENDS = 2,
    STOP_SENDS = 2, /* responses that counted, until a start is taken to be refused, or a stop to be carried out */
    START_AGAIN_MS = 300, /* between two such responses with the same start */
    SLOW_PCT = 98,        /* least rate of the executor's clock, in percent of true time */
    OVER_MARGIN_MS = 50,
    ENDED_INCARNATIONS_MAX = 32
};

/* Progress of an order to start or stop a run. */
enum work_state {
    WORK_START,   /* to be started, no response yet */
    WORK_STARTED, /* start accepted: active until a poll sent later shows otherwise */
    WORK_CHECK,   /* refused as old: a poll sent later shows whether it ended there */
    WORK_STOP,    /* to be stopped, no response yet */
    WORK_STOPPED, /* stop accepted: waits for its end, or for a poll sent later that does not show it */
    WORK_REFUSED, /* refused, reported until acknowledged */
    WORK_ABSENT,  /* the same, as END_ABSENT */
    WORK_CLOSED   /* acknowledged, kept for CLOSED_MS */
};

/* The work on one run. Invariants: one entry for each job, task and attempt. doubt: the executor may still carry out a
 * start whose response was lost, so that only a stop settles it; a refusal is reported only without doubt. answered_no:
 * polls with a higher number were sent after the response. */
struct work {
    struct run_start start;
    int64_t state;         /* enum work_state */
    int64_t reason;        /* WORK_REFUSED: enum start_refusal */
    int64_t closed_absent; /* WORK_CLOSED: it was WORK_ABSENT before */
    int64_t under_way;     /* number of the call whose response settles it, 0: none */
    int64_t doubt, sick, due_ms, retry_ms, answered_no, answered_ms, until_ms;
    int64_t sent, sent_count; /* by heartbeats: whether in the newest response, and in how many that counted */
};

/* CALL_FREE: none; CALL_PROBE: a poll of an incarnation that claims to be the new one. */
enum call_kind { CALL_FREE, CALL_START, CALL_STOP, CALL_POLL, CALL_PROBE };

/* What is known of a poll in flight. */
struct poll_request {
    int64_t seen;  /* as in the codec's poll() */
    int64_t waits; /* whether it waits for an end */
};
/* A call in flight, a tagged union; the accessors below end the process in case of another kind. Invariant: number
 * rises with every call sent. */
struct executor_request {
    int64_t kind; /* enum call_kind; CALL_FREE: a free slot */
    int64_t number, epoch, sent_ms;
    int64_t expires_ms; /* end of the lease that it carries, on the executor's clock; 0: none */
    char *incarnation;  /* that it was sent to, owned */
    union {
        struct poll_request poll; /* CALL_POLL, CALL_PROBE */
        struct run_ref run;       /* CALL_START, CALL_STOP */
    } body;
};

/* State of an executor that takes orders by heartbeats. slot: of the heartbeat not answered yet, while open. Invariant:
 * until the next heartbeat, answered says whether the response to the newest one carried orders, and epoch under which.
 */
struct agent_beat {
    int64_t open, slot, due_ms;
    int64_t clock_ms, taken_ms; /* its clock in the newest heartbeat, and when that was received */
    int64_t answered, answered_ms, epoch, seen;
};

/* The executor's current incarnation. Invariants: clock_ms is at most what its clock showed at clock_at_ms;
 * sent_expiry_ms is the largest expiry in any call ever sent to it, held_ms the largest in a call that was accepted
 * (both on its clock); seen never falls and is only what the leader sent. */
struct agent_incarnation {
    int64_t present, ready;
    int64_t left, left_ms;  /* whether it announced that it leaves, and when */
    int64_t left_silent_ms; /* when a call after that got no response, 0: none */
    int64_t beat_seq;
    struct executor_state state;
    int64_t clock_ms, clock_at_ms, sent_expiry_ms, held_ms;
    int64_t seen, seen_sent, seen_raised_ms;
    int64_t silent_since_ms, retry_ms, retry_due_ms; /* silent_since_ms 0: it responds */
    int64_t answered_ms, took_ms; /* time of its newest response; recent duration of calls that wait for nothing */
    int64_t poll_done_ms, prove_ms, unanswered_ms; /* unanswered_ms: when a call last timed out; 0: never */
    int64_t stir_ms, end_gap_ms;                   /* when a run last started or ended; mean time between ends */
    struct run_lists lists;                        /* as last reported; ended: by rising seq, all above seen */
    struct agent_beat beat;
};

/* An agent. Strings and lists are owned. */
struct agent {
    struct world *world;
    struct agent_setup setup;
    struct directory directory;
    uint32_t cluster;
    int64_t started_ms;
    int64_t epoch, orders_no; /* the highest epoch taken, and the newest number under it */
    int64_t fenced_epoch;     /* the executor knew a higher epoch than this */
    int64_t poll_delay_ms;    /* poll interval from the leader, 0: PACE_MS */
    int64_t grant_until_ms;   /* end of the lease that the leader granted to the current incarnation, */
    int64_t grant_stamp_ms;   /* and stamp_ms of the report that it was granted for */
    int64_t last_stamp_ms;
    struct agent_incarnation incarnation;
    struct executor_heartbeat candidate; /* a new incarnation that claims the place; incarnation NULL: none */
    int64_t candidate_due_ms, candidate_retry_ms;
    char *ended_incarnations[ENDED_INCARNATIONS_MAX]; /* incarnations known to be over, a ring */
    int64_t n_ended_incarnations;
    char **lost_incarnations;
    int64_t n_lost_incarnations;
    struct work *works;
    int64_t n_works;
    struct executor_request calls[CALLS_MAX];
    int64_t number;
    int64_t report_due, orders_received_ms, leader, leader_ms;
    int64_t leaving, leave_ms, last_poll_due_ms, last_poll_sent, left;
};

static inline int work_is(const struct work *work, int64_t job, int64_t task, int64_t attempt)
{
    return work->start.job == job && work->start.task == task && work->start.attempt == attempt;
}

static inline struct run_ref work_run(const struct work *work)
{
    return (struct run_ref){.job = work->start.job, .task = work->start.task, .attempt = work->start.attempt};
}

/* agent_lease.c */
/* The least that the executor's clock can show now. */
int64_t agent_clock_ms(const struct agent *agent, int64_t now);
/* The latest expiry of its lease that may be sent, on the executor's clock; 0: none. */
int64_t agent_best_expiry(const struct agent *agent, int64_t now);
/* In how many ms all leases ever sent to the executor have expired for sure; 0: they have. */
int64_t agent_over_ms(const struct agent *agent, int64_t now);
/* Takes in a reading of the executor's clock; readings that do not advance it are ignored. */
void agent_clock_received(struct agent *agent, int64_t clock_ms, int64_t now);

/* agent_timeouts.c. Times in ms. */
/* Whether a call timed out lately. */
int agent_in_doubt(const struct agent_incarnation *incarnation, int64_t now);
/* The timeout of a call: normal_ms, in doubt at most three times the recent duration of calls, but TIMEOUT_MIN_MS. */
int64_t agent_call_timeout(const struct agent_incarnation *incarnation, int64_t normal_ms, int64_t now);
/* The longest time that a poll may wait for an end. */
int64_t agent_poll_most(const struct agent_incarnation *incarnation, int64_t now);
/* n runs have ended since the last time; 0: one has started. */
void agent_ends_noted(struct agent_incarnation *incarnation, int64_t n, int64_t now);
/* Counts how long the response to a call that waits for nothing took. */
void agent_response_time_add(struct agent_incarnation *incarnation, int64_t took_ms);

/* agent_calls.c */
/* Accessors of a call in flight, borrowed from it. */
const struct poll_request *request_poll(const struct executor_request *request);
const struct run_ref *request_run(const struct executor_request *request);
/* Sends the calls that are due. */
void agent_calls_step(struct agent *agent, int64_t now);

/* agent_responses.c */
/* The outcome of a call, as of call_done in base/world.h; arg: the agent, tag: the call's number. */
void agent_call_done(void *arg, int64_t tag, int status, const char *body, int64_t len);
/* Takes over lists: replaces the active ones, and adds new ends. The caller frees what is left in lists. */
void agent_lists_take(struct agent *agent, struct run_lists *lists);
/* Whether the run is among the active ones, or among those that ended. */
int run_is_active(const struct run_lists *lists, const struct run_ref *run);
int run_is_ended(const struct run_lists *lists, const struct run_ref *run);

/* agent_works.c */
/* The work on a run, NULL: there is none. Pointers to works are valid until one is added or dropped. */
struct work *agent_work(struct agent *agent, int64_t job, int64_t task, int64_t attempt);
/* Removes and frees it. */
void agent_work_drop(struct agent *agent, struct work *work);
/* Has the run stopped, whatever state the work is in. */
void agent_work_stop(struct work *work, int64_t now);
/* The executor refused the start for this reason (enum start_refusal), which is to be reported. */
void agent_work_refused(struct agent *agent, struct work *work, int64_t reason);
/* Settles works by the lists of a poll. number: of the poll; whole: the lists were complete. */
void agent_works_polled(struct agent *agent, int64_t number, int whole, int64_t now);
/* Withdraws starts that must not be carried out any more, and drops old entries. */
void agent_works_step(struct agent *agent, int64_t now);
/* Take in orders and acknowledgements of the leader. */
void agent_order_start(struct agent *agent, const struct run_start *start, int64_t now);
void agent_order_stop(struct agent *agent, const struct run_ref *run, int64_t now);
void agent_end_seen(struct agent *agent, const struct run_ref *run, int64_t now);
/* Drops the orders of a lower epoch that are not carried out yet. */
void agent_works_epoch(struct agent *agent);
/* Whether calls of a former process of this agent may still be carried out. */
int agent_inherits(const struct agent *agent, int64_t now);

/* agent_beats.c */
/* The incarnation of this name is proven to be over, which is to be reported. */
void agent_incarnation_over(struct agent *agent, const char *incarnation);
/* The new incarnation has responded, so it takes the place of the old one. */
void agent_candidate_answered(struct agent *agent);
/* Frees the state of the current incarnation. */
void agent_incarnation_end(struct agent *agent);

/* agent_by_beat.c: executors that take orders in the responses to heartbeats */
/* Takes in the newest heartbeat; slot: of its response. */
void agent_beat_taken(struct agent *agent, int64_t slot, struct heartbeat_report *account, int64_t now);
/* Responds to the open heartbeat once there are orders, or it has been open for long enough. */
void agent_beat_step(struct agent *agent, int64_t now);
/* Responds to the open heartbeat, if there is one, without orders. */
void agent_beat_close(struct agent *agent);

/* agent_report.c */
/* Sends a report to the leader at address `to`. */
void agent_report_send(struct agent *agent, int64_t to, int64_t now);
/* Takes in the leader's orders; those of a lower epoch or number are ignored. */
void agent_orders_take(struct agent *agent, const struct agent_orders *orders, int64_t now);
#endif

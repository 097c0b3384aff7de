/* Messages between the leading controller and the agents beside executors. Both directions carry state, not
 * changes: whatever was lost on the way is in the next message again, and taking one twice changes nothing.
 *
 * Lease: an agent may hold its executor's tasks until lease_ms after it sent (stamp_ms, on its own clock) the newest
 * report that a leader answered. Under a new epoch it first raises the executor's fencing epoch, and it never takes
 * orders of a lower epoch. So once a leader has not answered an agent for lease_ms and a margin, all runs there have
 * ended. */
#ifndef SAGEHITCH_DISPATCH_MESSAGES_H
#define SAGEHITCH_DISPATCH_MESSAGES_H
#include "base/schema.h"

/* How a run ended. */
enum run_end {
    END_DONE = 1,
    END_FAILED,
    END_STOPPED, /* by an order */
    END_LAPSED,  /* its lease ran out */
    END_BROKEN,
    END_GANG_TIMEOUT, /* a gang member whose gang did not come together in time */
    END_NEVER_RAN     /* it never ran there and, proven by a stop, never will */
};
/* Why an executor refused a call. EPOCH: it knows a higher epoch; OLD: the attempt is outdated there; LATE: the call
 * came too late; BAD: a bad request; SICK: overloaded or unavailable. */
enum start_refusal {
    REFUSED_NONE,
    REFUSED_STALE_EPOCH,
    REFUSED_OUTDATED,
    REFUSED_LATE,
    REFUSED_NO_CAPACITY,
    REFUSED_BAD_REQUEST,
    REFUSED_UNAVAILABLE
};

/* A task of a job in one number: its repetition (time), step and index within the step. */
enum { TASK_INDEX_BITS = 24, TASK_STEP_BITS = 8 };
static inline int64_t task_of(int64_t repetition, int64_t step, int64_t index)
{
    return (repetition << (TASK_INDEX_BITS + TASK_STEP_BITS)) | (step << TASK_INDEX_BITS) | index;
}
static inline int64_t task_repetition(int64_t task) { return task >> (TASK_INDEX_BITS + TASK_STEP_BITS); }
static inline int64_t task_step(int64_t task) { return (task >> TASK_INDEX_BITS) & ((1 << TASK_STEP_BITS) - 1); }
static inline int64_t task_index(int64_t task) { return task & ((1 << TASK_INDEX_BITS) - 1); }

/* Names a run: one attempt of one task. */
struct run_ref {
    int64_t job, task, attempt;
};
/* A run that executes. percent: its progress; saved: its newest checkpoint or NULL. */
struct run_active {
    int64_t job, task, attempt, percent;
    char *checkpoint;
};
/* A run that ended. seq: the executor's number of the end, rising within an incarnation; 0 for END_NEVER_RAN, which
 * comes from the agent itself; how: enum run_end. */
struct run_ended {
    int64_t seq, job, task, attempt, how;
    char *checkpoint;
};
/* A start that the executor refused. reason: enum start_refusal. */
struct run_refused {
    int64_t job, task, attempt, reason;
};

/* An executor as its agent knows it. incarnation names one start of its process. */
struct executor_state {
    char *incarnation, *service, *zone, *rack;
    char **labels;
    int64_t n_labels;
    int64_t cpu_milli, memory_mb, gpus; /* what it has in all */
    int64_t draining, departure_ms;     /* departure_ms: least time left; 0: unknown */
    int64_t warmup_ms;
    int64_t silent_ms;     /* since it last answered a call; 0: it answers */
    int64_t lease_left_ms; /* all runs on it lapse within so many ms unless their lease is renewed */
};

/* Agent to leader, every REPORT_MS and whenever there is something new. present 0: no incarnation is known.
 * epoch: the highest that the agent has taken orders under. ready: the executor's fencing epoch is raised to it, and
 * active and ended are complete lists taken under it. lost_incarnations: incarnations proven to be over (a new one
 * answered in their place, or all their runs had lapsed), repeated until acknowledged. */
struct agent_report {
    int64_t stamp_ms, boot, epoch, present, ready;
    int64_t orders_taken; /* number of the newest orders taken under this epoch */
    struct executor_state executor;
    char **lost_incarnations;
    int64_t n_lost_incarnations;
    struct run_active *active; /* all that the last poll showed */
    int64_t n_active;
    struct run_ref *pending; /* orders to start that are not answered yet */
    int64_t n_pending;
    struct run_ended *ended; /* all ends not yet acknowledged by seen */
    int64_t n_ended;
    struct run_refused *refused; /* repeated until acknowledged, or superseded by a stop or newer attempt */
    int64_t n_refused;
};

/* An order to start a run. text: the job's; saved: the checkpoint to resume from, or NULL. */
struct run_start {
    int64_t job, task, attempt;
    char *text, *checkpoint;
};

/* Leader to agent, in answer to each report and whenever there is something new.
 * stamp_ms: of the report that this answers, which renews the lease; 0: renews nothing.
 * incarnation: the one that starts, stops and seen are for. */
struct agent_orders {
    int64_t epoch, stamp_ms, lease_ms, leader;
    int64_t number; /* rises within an epoch; orders with a lower number than the newest taken are dropped */
    char *incarnation;
    int64_t seen;          /* ends up to this seq are committed */
    int64_t poll_delay_ms; /* delay of the next poll after one with ends, so that several come in one; 0: the default */
    int64_t drain_seen;    /* the leader knows that it drains: no more starts follow */
    struct run_start *starts;
    int64_t n_starts;
    struct run_ref *stops;
    int64_t n_stops;
    struct run_ref *ends_seen; /* acknowledges END_NEVER_RAN ends and refusals */
    int64_t n_ends_seen;
    char **incarnations_seen;
    int64_t n_incarnations_seen;
};

enum { REPORT_MS = 300 };

extern const struct schema run_ref_schema, run_active_schema, run_ended_schema, run_refused_schema,
    executor_state_schema, agent_report_schema, run_start_schema, agent_orders_schema;
#endif

/* Messages between the leading controller and the agents, which run beside executors. Both directions carry state, not
 * changes: the next message repeats what was lost, and processing a message twice has no further effect.
 *
 * Lease: the executor of an agent may run tasks until lease_ms after the agent sent the newest report that a leader
 * answered (stamp_ms, on the agent's clock). Under a new epoch, the agent first raises the executor's fencing epoch. It
 * never follows orders of a lower epoch. So once no leader has answered an agent for lease_ms and a margin, all runs on
 * its executor have ended. */
#ifndef SAGEHITCH_DISPATCH_MESSAGES_H
#define SAGEHITCH_DISPATCH_MESSAGES_H
#include "base/schema.h"

/* How a run ended. */
enum run_end {
    END_DONE = 1,
    END_FAILED,
    END_STOPPED, /* stopped by an order */
    END_LAPSED,  /* its lease expired */
    END_BROKEN,
    END_GANG_TIMEOUT, /* a gang member that waited gang_timeout_ms for the other members */
    END_NEVER_RAN     /* it never ran on the executor, and after a stop it never will */
};
/* Why an executor refused a start. */
enum start_refusal {
    REFUSED_NONE,
    REFUSED_STALE_EPOCH, /* it knows a higher epoch */
    REFUSED_OUTDATED,    /* it knows a newer attempt */
    REFUSED_LATE,        /* the call arrived too late */
    REFUSED_NO_CAPACITY, /* it lacks the capacity */
    REFUSED_BAD_REQUEST, /* the request is invalid */
    REFUSED_UNAVAILABLE  /* it is overloaded or unavailable */
};

/* A task of a job as one number: its repetition, its step and its index within the step. */
enum { TASK_INDEX_BITS = 24, TASK_STEP_BITS = 8 };
static inline int64_t task_of(int64_t repetition, int64_t step, int64_t index)
{
    return (repetition << (TASK_INDEX_BITS + TASK_STEP_BITS)) | (step << TASK_INDEX_BITS) | index;
}
static inline int64_t task_repetition(int64_t task) { return task >> (TASK_INDEX_BITS + TASK_STEP_BITS); }
static inline int64_t task_step(int64_t task) { return (task >> TASK_INDEX_BITS) & ((1 << TASK_STEP_BITS) - 1); }
static inline int64_t task_index(int64_t task) { return task & ((1 << TASK_INDEX_BITS) - 1); }

/* Identifies a run: one attempt of one task. */
struct run_ref {
    int64_t job, task, attempt;
};
/* A run that is executing. percent: its progress; checkpoint: its newest one or NULL. */
struct run_active {
    int64_t job, task, attempt, percent;
    char *checkpoint;
};
/* A run that ended. seq: sequence number that the executor gave the end, increasing within an incarnation; 0 if the end
 * was found by the agent itself, because the run never ran; how: enum run_end; checkpoint: the newest one or NULL. */
struct run_ended {
    int64_t seq, job, task, attempt, how;
    char *checkpoint;
};
/* A start that the executor refused. reason: enum start_refusal. */
struct run_refused {
    int64_t job, task, attempt, reason;
};

/* An executor as its agent knows it. incarnation: the name of one start of its process. */
struct executor_state {
    char *incarnation, *service, *zone, *rack;
    char **labels;
    int64_t n_labels;
    int64_t cpu_milli, memory_mb, gpus; /* its total capacity */
    int64_t draining, departure_ms;     /* departure_ms: at least so long until it leaves; 0: unknown */
    int64_t warmup_ms;
    int64_t silent_ms;     /* time since it last answered a call; 0: it answers */
    int64_t lease_left_ms; /* time until all runs on it have lapsed, unless their lease is renewed */
};

/* From the agent to the leader, every REPORT_MS and after each change. present 0: no incarnation is known.
 * epoch: the highest epoch of orders that the agent has followed. ready: the executor's fencing epoch was raised to it,
 * and active and ended are complete lists obtained under it. lost_incarnations: incarnations that have certainly ended
 * (a new one answered in their place, or all their runs had lapsed), repeated until acknowledged. */
struct agent_report {
    int64_t stamp_ms, boot, epoch, present, ready;
    int64_t orders_taken; /* number of the newest orders followed under this epoch */
    struct executor_state executor;
    char **lost_incarnations;
    int64_t n_lost_incarnations;
    struct run_active *active; /* all runs that the last poll showed */
    int64_t n_active;
    struct run_ref *pending; /* starts that the executor has not answered yet */
    int64_t n_pending;
    struct run_ended *ended; /* all ends that are not acknowledged yet, see struct agent_orders */
    int64_t n_ended;
    struct run_refused *refused; /* repeated until acknowledged, or superseded by a stop or a newer attempt */
    int64_t n_refused;
};

/* An order to start a run. text: that of the job; checkpoint: the one to resume from, or NULL. */
struct run_start {
    int64_t job, task, attempt;
    char *text, *checkpoint;
};

/* From the leader to the agent, in answer to each report and after each change.
 * stamp_ms: stamp of the report that this answers, which renews the lease; 0: the lease is not renewed.
 * incarnation: the incarnation that starts, stops and seen refer to. */
struct agent_orders {
    int64_t epoch, stamp_ms, lease_ms, leader;
    int64_t number; /* increases within an epoch; the agent drops orders with a lower number than it has followed */
    char *incarnation;
    int64_t seen; /* acknowledges ends up to this seq: they are committed */
    int64_t
        poll_delay_ms;  /* delay of the next poll after a poll with ends, so that one poll finds several; 0: default */
    int64_t drain_seen; /* acknowledges that the executor drains: no further starts follow */
    struct run_start *starts;
    int64_t n_starts;
    struct run_ref *stops;
    int64_t n_stops;
    struct run_ref *ends_seen; /* acknowledges ends without seq, and refusals */
    int64_t n_ends_seen;
    char **incarnations_seen; /* acknowledges lost_incarnations */
    int64_t n_incarnations_seen;
};

enum { REPORT_MS = 300 };

extern const struct schema run_ref_schema, run_active_schema, run_ended_schema, run_refused_schema,
    executor_state_schema, agent_report_schema, run_start_schema, agent_orders_schema;
#endif

/* Owner of an executor: the one node that sends the executor its orders and accounts for its capacity. This header has
 * the owner's messages to and from executors (JSON over HTTP) and shard owners (frames). */
#ifndef SAGEHITCH_EXECUTOR_OWNER_H
#define SAGEHITCH_EXECUTOR_OWNER_H
#include "base/frame.h"
#include "base/schema.h"

/* --- messages to and from executors --------------------------------------- */

/* A task as the executor reports it: one attempt of task number no of a job. */
struct exec_task {
    int64_t job, no, attempt, cores, mem_mb;
    int64_t progress; /* rises while the task makes progress; -1: the task reports none */
    char *state;      /* in running: held, running, stopping; in ended: done, failed, stopped, lapsed, unstarted */
    char *why;
};

/* The whole state of an executor: the body of its reports, and its response to orders.
 * incarnation: identifies a start of the executor, later starts have higher ones; serial: rises with each state sent
 * within an incarnation; ticket: when this state was sent, on the executor's clock, see struct exec_orders; epoch: the
 * highest epoch of an owner that the executor knows. Running tasks include held and stopping ones. */
struct exec_state {
    char *name, *cluster, *address, *kind, *rack;
    char **services;
    int64_t n_services;
    int64_t incarnation, serial, ticket, epoch;
    int64_t cores, mem_mb, free_cores, free_mb;
    int64_t leaving, leaving_in_ms;
    struct exec_task *running;
    int64_t n_running;
    struct exec_task *ended;
    int64_t n_ended;
};

/* Order to start a task. hold: allocate its capacity but wait for the go order, as members of gangs do; stall_ms: how
 * long it may report no progress, 0: the default of the settings. */
struct exec_start {
    int64_t job, no, attempt, cores, mem_mb, lease_ms, hold, stall_ms;
    char *service, *queue, *kind, *payload;
};
/* Any other order for a task. lease_ms: length of the renewed lease. */
struct exec_task_order {
    int64_t job, no, attempt, lease_ms;
};

/* The body of a call to an executor. executor_owner: HTTP address of its owner; ticket: that of the newest state
 * received from the executor; leases granted or renewed by these orders run from that time. acks: ended tasks whose end
 * is recorded, the executor may forget them; goes: held tasks that may run. */
struct exec_orders {
    char *cluster, *executor_owner;
    int64_t epoch, incarnation, ticket;
    struct exec_start *starts;
    int64_t n_starts;
    struct exec_task_order *stops, *renews, *acks, *goes;
    int64_t n_stops, n_renews, n_acks, n_goes;
};

extern const struct schema exec_task_schema, exec_state_schema, exec_orders_schema;

/* --- messages to and from shard owners ------------------------------------ */

/* Only OPEN executors get reservations, and those on PROBATION one at a time. Values go over the wire. */
enum executor_summary_state {
    EXECUTOR_OPEN,
    EXECUTOR_SILENT,
    EXECUTOR_LEAVING,
    EXECUTOR_QUARANTINE,
    EXECUTOR_PROBATION,
    EXECUTOR_CLOSED
};

/* An executor as its owner describes it to other nodes. executor_owner: address of that owner; epoch: epoch of its
 * ownership. */
struct executor_summary {
    char *executor, *kind, *rack;
    char **services;
    int64_t n_services;
    int64_t executor_owner, epoch, incarnation, state, cores, mem_mb, free_cores, free_mb;
    int64_t urgency_limit; /* free capacity is kept for tasks at least this urgent; INT64_MAX: for all */
    int64_t leave_ms;      /* fleet time at which it leaves; 0: not planned */
    int64_t addr;          /* takes orders here; lets the next owner call it at once */
    /* Not sent, kept by the receiver. slow_pct: mean duration of its tasks in percent of others of their queue. */
    int64_t received_ms, slow_pct;
};
struct executor_summaries_msg {
    struct executor_summary *summaries;
    int64_t n;
};

/* An attempt to run task number no of a job. */
struct task_ref {
    int64_t job, no, attempt, cores, mem_mb;
};
/* Asks an executor's owner to reserve capacity for tasks, or to release it again. req: number of the sender's staging;
 * shard_epoch, executor_epoch: epochs under which sender and receiver own the shard and the executor. */
struct reserve_request {
    int64_t req, shard, shard_epoch, executor_epoch, incarnation, urgency;
    char *executor;
    struct task_ref *tasks;
    int64_t n_tasks;
};
/* error: ERROR_NONE, all tasks have their reservation; or ERROR_REJECTED, none has. */
struct reserve_reply {
    int64_t req, error;
    char *executor;
};
/* Asks an executor's owner to start a task whose placement is committed. */
struct start_order {
    int64_t shard, shard_epoch, executor_epoch, incarnation;
    char *executor;
    struct exec_start start;
};
/* Asks an executor's owner for the state of tasks, to stop them, or to let held ones run. */
struct check_request {
    int64_t shard, shard_epoch, executor_epoch, incarnation;
    char *executor;
    struct task_ref *tasks;
    int64_t n_tasks;
};

/* State of a task at the executor's owner. UNKNOWN: no allocation; RUNNING: or stopping; LOST: no allocation, and all
 * leases granted by earlier owners have expired. Values go over the wire. */
enum check_state { CHECK_UNKNOWN, CHECK_RESERVED, CHECK_STARTING, CHECK_HELD, CHECK_RUNNING, CHECK_ENDED, CHECK_LOST };
struct check_result {
    int64_t job, no, attempt, state;
};
/* Response to a check; also sent without one when a gang member becomes or ceases to be held. */
struct check_reply {
    int64_t executor_epoch, incarnation;
    char *executor;
    struct check_result *tasks;
    int64_t n_tasks;
};

/* How an attempt ended. LEASE_EXPIRED: its executor stopped it because its lease expired; NOT_STARTED: it never ran and
 * never will; LOST: the outcome is unknown, but it is no longer running. Values go over the wire. */
enum outcome {
    OUTCOME_DONE,
    OUTCOME_FAILED,
    OUTCOME_STOPPED,
    OUTCOME_LEASE_EXPIRED,
    OUTCOME_NOT_STARTED,
    OUTCOME_LOST
};
/* Tells a shard's owner that an attempt ended, repeated until acknowledged; sent back as the acknowledgement. */
struct ended {
    int64_t job, no, attempt, outcome;
    char *executor, *why;
};

extern const struct schema executor_summary_schema, executor_summaries_msg_schema, reserve_request_schema,
    reserve_reply_schema, start_order_schema, check_request_schema, check_reply_schema, ended_schema;

/* --- allocations ----------------------------------------------------------- */

enum allocation_state {
    ALLOCATION_RESERVED,
    ALLOCATION_STARTING,
    ALLOCATION_HELD,
    ALLOCATION_RUNNING,
    ALLOCATION_STOPPING,
    ALLOCATION_ENDED
};

/* Capacity of an executor that is allocated to a task. Invariant: the capacity counts as used from the reservation
 * until the executor reports the end of the task or cannot run it any more, also while the task is being stopped. */
struct executor_allocation {
    struct task_ref ref;
    /* state: enum allocation_state; since_ms: when it was reserved or its start ordered; reported_serial: serial of the
     * newest state of the executor that lists the task; outcome: enum outcome, of ALLOCATION_ENDED; ended_sent_ms: when
     * the end was last sent to the shard's owner */
    int64_t state, since_ms, lease_ms, reported_serial, outcome, ended_sent_ms, stop_requested, go_requested;
    /* stalled_ms: how long no progress was observed, at most stall_ms; stalled: it is being stopped for that */
    int64_t progress, stalled_ms, progress_checked_ms, stall_ms, stalled;
    int64_t sent_ticket;      /* ticket of the newest orders with its start; 0: not sent yet */
    struct exec_start *start; /* used while ALLOCATION_STARTING */
    char *why;                /* of ALLOCATION_ENDED */
};

/* Owner of one executor. opened: the executor's state is known and orders may be sent; dirty: send orders at the next
 * tick; silent: the executor does not answer calls; leases_expired: it has been without contact for longer than any
 * lease, so nothing runs there any more.
 * Invariants: epoch never falls; opened is set only after the executor answered a call under this epoch; ticket_ms is
 * when the ticket in use was received, so every lease granted with it ends before ticket_ms + lease on any clock. */
struct executor_owner {
    char *name;
    int64_t epoch, acks_in_flight, opened, started_ms; /* acks_in_flight: how many acks the current call contains */
    struct exec_state state;                           /* the newest received */
    int64_t addr, incarnation, serial, ticket_ms, last_response_ms, leave_ms;
    /* the most urgent reservation recently denied for lack of capacity: its capacity is kept until denied_until_ms */
    int64_t denied_urgency, denied_cores, denied_mb, denied_until_ms;
    int64_t call_in_flight, next_call_ms, dirty, silent, leases_expired, failed_calls;
    struct executor_allocation *rows; /* the executor's allocations */
    int64_t n_rows;
    struct exec_task_order *acks;
    int64_t n_acks;
    int64_t shard_epochs[64]; /* highest epoch received from the owner of each shard */
    uint64_t recent_outcomes; /* a bit each, the newest is the lowest; 1: failed */
    /* quarantines: how many in a row; probation: tasks that must still succeed before it ends */
    int64_t n_recent_outcomes, quarantine_until_ms, quarantines, probation;
};

struct node;
/* The owner of the executor of this name, NULL: this node is not. */
struct executor_owner *executor_owner_find(struct node *node, const char *name);
/* Makes this node the owner of the executor under epoch, in place of any ownership under a lower one. */
struct executor_owner *executor_owner_start(struct node *node, const char *name, int64_t epoch);
/* Gives up the ownership and frees owner. */
void executor_owner_drop(struct node *node, struct executor_owner *owner);
/* To be called on each tick: checks leases and silence, repeats messages, sends orders and summaries. */
void executor_owners_on_timer(struct node *node);
/* Frees all owners of the node. */
void executor_owners_end(struct node *node);
/* Answers POST /v1/executors/report, a state sent by an executor itself. */
void executor_owner_on_report(struct node *node, int64_t request, const char *body, int64_t len);
/* Handle messages from shard owners. executor_owner_on_start() takes over the start order's strings. */
void executor_owner_on_reserve(struct node *node, int64_t from, const struct reserve_request *message);
void executor_owner_on_release(struct node *node, int64_t from, const struct reserve_request *message);
void executor_owner_on_start(struct node *node, int64_t from, struct start_order *message);
void executor_owner_on_stop(struct node *node, int64_t from, const struct check_request *message);
void executor_owner_on_go(struct node *node, const struct check_request *message);
/* State of an allocation as an enum check_state. */
int64_t allocation_check_state(const struct executor_allocation *allocation);
void executor_owner_on_check(struct node *node, int64_t from, const struct check_request *message);
void executor_owner_on_ended_ack(struct node *node, const struct ended *message);

/* allocations.c */
/* NULL: none. Pointers to allocations are valid until one is added or removed. */
struct executor_allocation *allocation_find(struct executor_owner *owner, int64_t job, int64_t no, int64_t attempt);
/* Frees what the allocation owns; allocation_remove() also takes it from the list. */
void allocation_free(struct executor_allocation *allocation);
void allocation_remove(struct executor_owner *owner, struct executor_allocation *allocation);
/* Capacity that can still be reserved; negative after the executor gave some to other work. */
void allocations_free_capacity(const struct executor_owner *owner, int64_t *cores, int64_t *mem_mb);
/* Updates the allocations from the executor's state. */
void allocations_reconcile(struct node *node, struct executor_owner *owner);
/* Ends all allocations whose start was ordered as OUTCOME_LOST. */
void allocations_end_all(struct node *node, struct executor_owner *owner, const char *why);
/* Ends an allocation; does nothing if it has ended. */
void allocation_end(struct node *node, struct executor_owner *owner, struct executor_allocation *allocation,
                    int64_t outcome, const char *why);
/* The outcome of this outer name, OUTCOME_LOST for any other text. */
int outcome_parse(const char *text);

/* executor_orders.c */
/* Takes over a state of the executor unless it is older than the current one. is_response: it answers a call of this
 * owner, so it is not a report. */
void executor_owner_apply_state(struct node *node, struct executor_owner *owner, struct exec_state *state,
                                int is_response);
/* Calls the executor with its orders if some are pending or a heartbeat is due, one call at a time. */
void executor_owner_send_orders(struct node *node, struct executor_owner *owner);
/* Counts an outcome and may quarantine the executor. */
void executor_owner_count_outcome(struct node *node, struct executor_owner *owner, int64_t outcome);
/* Quarantines the executor, unless half of the executors of its kind are quarantined or on probation. */
void executor_owner_quarantine(struct node *node, struct executor_owner *owner);
/* The executor's enum executor_summary_state. */
int64_t executor_owner_summary_state(struct node *node, struct executor_owner *owner);
/* Sends summaries of this node's executors to other nodes. */
void executor_summaries_send(struct node *node);
#endif

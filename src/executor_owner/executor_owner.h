/* A home speaks with one executor and keeps its room account. Its contract
 * with executors (JSON) and with the owners of shards (frames) is here. */
#ifndef SAGEHITCH_HOME_H
#define SAGEHITCH_HOME_H
#include "base/frame.h"
#include "base/schema.h"

/* --- contract with executors --------------------------------------------- */

struct exec_task {
    int64_t job, no, attempt, cores, mem_mb;
    int64_t progress; /* only grows while the work goes on; -1: it has no mark */
    char *state;      /* held, running, stopping; done, failed, stopped, lapsed, unstarted */
    char *why;
};

/* What an executor says of itself, as a report and as the answer to orders. */
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

/* hold: keep the room and wait for a go; gangs start so. */
struct exec_start {
    int64_t job, no, attempt, cores, mem_mb, lease_ms, hold, stall_ms;
    char *service, *queue, *kind, *payload;
};
struct exec_task_order {
    int64_t job, no, attempt, lease_ms;
};

/* ticket: the newest the executor gave; its leases count from there. */
struct exec_orders {
    char *cluster, *executor_owner;
    int64_t epoch, incarnation, ticket;
    struct exec_start *starts;
    int64_t n_starts;
    struct exec_task_order *stops, *renews, *acks, *goes;
    int64_t n_stops, n_renews, n_acks, n_goes;
};

extern const struct schema exec_task_schema, exec_state_schema, exec_orders_schema;

/* --- contract with owners of shards -------------------------------------- */

enum executor_summary_state {
    EXECUTOR_OPEN,
    EXECUTOR_SILENT,
    EXECUTOR_LEAVING,
    EXECUTOR_QUARANTINE,
    EXECUTOR_PROBATION,
    EXECUTOR_CLOSED
};

struct executor_summary {
    char *executor, *kind, *rack;
    char **services;
    int64_t n_services;
    int64_t executor_owner, epoch, incarnation, state, cores, mem_mb, free_cores, free_mb;
    int64_t wanted;   /* room is kept for work this urgent; INT64_MAX: for any */
    int64_t leave_ms; /* fleet time at which it leaves; 0: it does not */
    int64_t addr;     /* where it takes orders: the next home speaks with it at once */
    /* of the reader's memory only; slow_pct: how long its work takes against its queue's, 100 as others */
    int64_t seen_ms, slow_pct;
};
struct executor_summaries_msg {
    struct executor_summary *executor_summaries;
    int64_t n;
};

struct task_ref {
    int64_t job, no, attempt, cores, mem_mb;
};
struct reserve_request {
    int64_t req, shard, shard_epoch, executor_epoch, incarnation, urgency;
    char *executor;
    struct task_ref *tasks;
    int64_t n_tasks;
};
struct reserve_reply {
    int64_t req, error;
    char *executor;
};
struct start_order {
    int64_t shard, shard_epoch, executor_epoch, incarnation;
    char *executor;
    struct exec_start start;
};
struct check_request {
    int64_t shard, shard_epoch, executor_epoch, incarnation;
    char *executor;
    struct task_ref *tasks;
    int64_t n_tasks;
};

enum check_state { CHECK_UNKNOWN, CHECK_RESERVED, CHECK_WAITS, CHECK_HELD, CHECK_RUNS, CHECK_ENDED, CHECK_GONE };
struct check_result {
    int64_t job, no, attempt, state;
};
struct check_reply {
    int64_t executor_epoch, incarnation;
    char *executor;
    struct check_result *tasks;
    int64_t n_tasks;
};

enum outcome { OUT_DONE, OUT_FAILED, OUT_STOPPED, OUT_LAPSED, OUT_UNSTARTED, OUT_GONE };
struct ended {
    int64_t job, no, attempt, outcome;
    char *executor, *why;
};

extern const struct schema executor_summary_schema, executor_summaries_msg_schema, reserve_request_schema,
    reserve_reply_schema, start_order_schema, check_request_schema, check_reply_schema, ended_schema;

/* --- the account --------------------------------------------------------- */

enum account_state {
    ALLOCATION_RESERVED,
    ALLOCATION_STARTING,
    ALLOCATION_HELD,
    ALLOCATION_RUNNING,
    ALLOCATION_STOPPING,
    ALLOCATION_ENDED
};

/* Invariant: a row holds its room from the reservation until the executor
 * says it has ended, stops included. */
struct account {
    struct task_ref ref;
    int64_t state, since_ms, lease_ms, in_state, outcome, told_ms, stop_asked, go_asked;
    int64_t progress, still_ms, marked_ms, stall_ms, stalled; /* how long no progress was seen */
    int64_t offered_ticket;   /* the newest ticket its start went out with; 0: it never did */
    struct exec_start *start; /* while ALLOCATION_STARTING */
    char *why;
};

/* Invariants: epoch never falls; opened only after the executor answered
 * under this epoch; ticket_ms is when we got the ticket we use, so every
 * lease given with it ends before ticket_ms + lease on any clock. */
struct executor_owner {
    char *name;
    int64_t epoch, held, opened, started_ms;
    struct exec_state state;
    int64_t addr, incarnation, serial, ticket_ms, heard_ms, leave_ms;
    /* the most urgent reservation lately denied for lack of room */
    int64_t want_urgency, want_cores, want_mb, want_until_ms;
    int64_t calling, call_due_ms, dirty, silent, gone, misses;
    struct account *rows;
    int64_t n_rows;
    struct exec_task_order *acks;
    int64_t n_acks;
    int64_t shard_epochs[64];
    /* health by outcomes */
    uint64_t window;
    int64_t window_n, quarantine_until_ms, quarantines, probation;
};

struct node;
struct executor_owner *executor_owner_find(struct node *node, const char *name);
struct executor_owner *executor_owner_start(struct node *node, const char *name, int64_t epoch);
void executor_owner_drop(struct node *node, struct executor_owner *executor_owner);
void executor_owners_on_timer(struct node *node);
void executor_owners_end(struct node *node);
void executor_owner_on_report(struct node *node, int64_t request, const char *body, int64_t len);
void executor_owner_on_reserve(struct node *node, int64_t from, const struct reserve_request *m);
void executor_owner_on_release(struct node *node, int64_t from, const struct reserve_request *m);
void executor_owner_on_start(struct node *node, int64_t from, struct start_order *m);
void executor_owner_on_stop(struct node *node, int64_t from, const struct check_request *m);
void executor_owner_on_go(struct node *node, const struct check_request *m);
int64_t account_check_state(const struct account *row);
void executor_owner_on_check(struct node *node, int64_t from, const struct check_request *m);
void executor_owner_on_ended_ack(struct node *node, const struct ended *m);

/* home_account.c */
struct account *account_find(struct executor_owner *executor_owner, int64_t job, int64_t no, int64_t attempt);
void account_free(struct account *row);
void account_remove(struct executor_owner *executor_owner, struct account *row);
void account_room(const struct executor_owner *executor_owner, int64_t *cores, int64_t *mem_mb);
void account_merge(struct node *node, struct executor_owner *executor_owner);
void account_all_gone(struct node *node, struct executor_owner *executor_owner, const char *why);
void account_end(struct node *node, struct executor_owner *executor_owner, struct account *row, int64_t outcome,
                 const char *why);
int outcome_of(const char *text);

/* home_orders.c */
void home_take_state(struct node *node, struct executor_owner *executor_owner, struct exec_state *state, int answered);
void home_call(struct node *node, struct executor_owner *executor_owner);
void home_health(struct node *node, struct executor_owner *executor_owner, int64_t outcome);
void home_shut_out(struct node *node,
                   struct executor_owner *executor_owner); /* for quarantine_ms, unless half of its kind is */
int64_t home_room_state(struct node *node, struct executor_owner *executor_owner);
void home_tell_rooms(struct node *node);
#endif

/* The simulated executor: implements the protocol of docs/executor.md, but its tasks only wait for their duration.
 * Faults can be injected. */
#ifndef SAGEHITCH_EXECUTOR_H
#define SAGEHITCH_EXECUTOR_H
#include "base/world.h"
#include "executor_owner/executor_owner.h"

enum exec_event { EXEC_STARTED, EXEC_ENDED, EXEC_REFUSED };

/* A record of the executor's journal, which the checks of tests and of `sagehitch check` evaluate. */
struct exec_record {
    int64_t event, job, no, attempt, cores, mem_mb, incarnation;
    int64_t since_ms; /* when the capacity was reserved, on the executor's clock; 0: at the time of the record */
    const char *outcome, *executor, *service, *kind;
};
typedef void exec_journal(void *arg, const struct exec_record *record);

/* A task on this executor. lease_ms: when its lease expires, on the executor's clock. A lease counts from the ticket
 * that the executor issued and that the order carries. held: its capacity is reserved, and it waits for the go order of
 * its gang. Invariants: the capacity of a task is reserved until it has stopped; an attempt with a tombstone never
 * starts. */
struct exec_work {
    struct exec_task task;
    int64_t end_ms, duration_ms, lease_ms, stop_ms, will_fail, stalls, held, since_ms;
    char *service, *kind;
};
/* An acknowledged end, kept until until_ms so that a late order does not start the attempt again. */
struct exec_tombstone {
    int64_t job, no, attempt, until_ms;
};

/* The executor. owner_addr: its owner (src/executor_owner), which sends it orders and gets its reports; 0: unknown, it
 * sends reports to the seeds in turn. */
struct executor {
    struct world *world;
    struct exec_state state; /* its constant part and the counters; state_now() adds the rest */
    struct exec_work *work;
    int64_t n_work;
    struct exec_task *ended;
    int64_t n_ended;
    struct exec_tombstone *tombstones;
    int64_t n_tombstones;
    int64_t seeds[8], n_seeds, next_seed;
    int64_t owner_addr, next_report_ms, reporting, report_seq;
    int64_t leave_at_ms;
    /* injected faults */
    int64_t fail_pct, stall_pct, slow_pct, stop_ms;
    int64_t other_cores; /* cores used by work of other systems */
    int64_t accepts_all; /* 1: accepts every start, also without free capacity; for tests */
    exec_journal *journal;
    void *journal_arg;
};

/* Parameters of an executor. Strings and lists are copied. */
struct exec_setup {
    const char *name, *cluster, *kind, *rack;
    const char *const *services;
    int64_t n_services, cores, mem_mb, incarnation;
    const int64_t *seeds;
    int64_t n_seeds;
};

/* Initializes an executor; world is borrowed. */
void executor_start(struct executor *executor, struct world *world, const struct exec_setup *setup);
/* Frees what the executor owns. */
void executor_end(struct executor *executor);
/* Call on each tick of the timer: ends tasks and sends reports. */
void executor_on_timer(struct executor *executor);
/* Handles an HTTP request: orders, or a request for the state. */
void executor_request(struct executor *executor, int64_t slot, const char *method, const char *path, const char *body,
                      int64_t len);
/* Announces that the executor shuts down in in_ms; it accepts no more starts. */
void executor_leave(struct executor *executor, int64_t in_ms);
#endif

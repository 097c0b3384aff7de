/* The stand-in executor: keeps the contract of docs/executor.md, runs nothing
 * but time. Its faults are there to be provoked. */
#ifndef SAGEHITCH_EXECUTOR_H
#define SAGEHITCH_EXECUTOR_H
#include "base/world.h"
#include "executor_owner/executor_owner.h"

enum exec_event { EXEC_STARTED, EXEC_ENDED, EXEC_REFUSED };

/* What its own journal says; the checks fold these. */
struct exec_record {
    int64_t event, job, no, attempt, cores, mem_mb, incarnation;
    int64_t since_ms; /* on its own clock, when the room was taken; 0: just now */
    const char *outcome, *executor, *service, *kind;
};
typedef void exec_journal(void *arg, const struct exec_record *record);

/* Invariants: a lease ends lease_ms after the ticket it was given with was
 * issued, on this machine's own clock; the room of a task is held until it has
 * stopped; a tombed attempt never starts. */
struct exec_work {
    struct exec_task task;
    int64_t end_ms, lasts_ms, lease_ms, stop_ms, will_fail, stalls, held, since_ms;
    char *service, *kind;
};
struct exec_tomb {
    int64_t job, no, attempt, until_ms;
};

struct executor {
    struct world *w;
    struct exec_state state; /* what never changes, and the counters */
    struct exec_work *work;
    int64_t n_work;
    struct exec_task *ended;
    int64_t n_ended;
    struct exec_tomb *tombs;
    int64_t n_tombs;
    int64_t seeds[8], n_seeds, seed_turn;
    int64_t home_addr, report_due_ms, reporting, report_seq;
    int64_t leave_at_ms;
    /* faults */
    int64_t fail_pct, stall_pct, slow_pct, stop_ms;
    int64_t other_cores; /* taken by work that is not ours */
    int64_t accepts_all; /* takes every order; only tests want that */
    exec_journal *journal;
    void *journal_arg;
};

struct exec_setup {
    const char *name, *cluster, *kind, *rack;
    const char *const *services;
    int64_t n_services, cores, mem_mb, incarnation;
    const int64_t *seeds;
    int64_t n_seeds;
};

void executor_start(struct executor *e, struct world *w, const struct exec_setup *setup);
void executor_end(struct executor *e);
void executor_on_timer(struct executor *e);
void executor_request(struct executor *e, int64_t slot, const char *method, const char *path, const char *body,
                      int64_t len);
void executor_leave(struct executor *e, int64_t in_ms);
#endif

/* Stand-ins of executors in a simulated cluster. */
#ifndef SAGEHITCH_SIM_CLUSTER_STANDIN_H
#define SAGEHITCH_SIM_CLUSTER_STANDIN_H
#include <jansson.h>
#include <stdint.h>

struct cluster;
struct host;
struct tracked_job;

/* How a run ends at an executor. */
enum standin_end { RUN_DONE = 1, RUN_FAILED, RUN_STOPPED, RUN_LEASE_EXPIRED, RUN_GANG_BROKEN, RUN_GANG_TIMEOUT };
/* A run on an executor. done_us: work done so far, of required_us; fails_at_us: the amount of work at which it fails,
 * -1: it does not fail; restore_us: time still needed to restore its checkpoint; stopping_us: when it will have
 * stopped, 0: no stop was ordered. */
struct standin_run {
    struct tracked_job *job;
    int64_t repetition, step, index, task, attempt, started_us, done_us, required_us, restore_us, checkpoint_ms,
        fails_at_us;
    int64_t stopping_us, on_timer_us;
    char *checkpoint;
};
/* An end that the executor reports until the leader acknowledges it. */
struct standin_ended {
    int64_t seq, job, task, attempt, how;
    char *checkpoint;
};
/* Attempts of the task up to this one are refused on this executor. */
struct standin_barred {
    int64_t job, task, attempt;
};
/* A long poll that waits for the end of a run. */
struct standin_poll {
    int64_t call, deadline_us;
};
/* A stand-in of an executor. generation counts its incarnations; clock_offset_ms and clock_slow_ppm: how its clock
 * differs from virtual time; removed: it never starts again.
 * Invariants: fence_epoch and seq never decrease within an incarnation; runs includes those that are being stopped;
 * while up is 0 it has no runs, ends or polls. */
struct standin {
    struct host *host;
    int64_t index, up, generation, booted_us, clock_offset_ms, clock_slow_ppm, lease_until_ms, fence_epoch, seq,
        last_on_timer_us, removed;
    char name[32];     /* in traces and violations */
    char *incarnation; /* its id in messages, of any length up to EXECUTOR_ID_MAX */
    const char *service, *rack, *label;
    int64_t checks_capacity, cpu_milli, memory_mb, gpus;
    struct standin_run *runs;
    struct standin_ended *ended;
    struct standin_barred *barred;
    struct standin_poll *polls;
    int64_t n_runs, n_ended, n_barred, n_polls;
    int64_t serves_until_us; /* it has announced its end and ends at this time; 0: it has not */
    int64_t draining, drain_ack_us, leaves_us, return_after_ms, next_heartbeat_us, heartbeat_seq, heartbeat_sent_us;
    int64_t slow_pct, hang_until_us, fail_until_us, sick_until_us, late_until_us,
        faulty_until_us; /* slow_pct: time per work; until when it hangs, fails all runs, refuses starts or
                          carries out requests late; until when it had a fault */
};

/* --- cluster_executor.c, cluster_executor_runs.c ------------------------------------------------------- */
struct standin *standin_new(struct host *host, int64_t index);
void standin_free(struct standin *standin);
void standin_boot(struct standin *standin);
void standin_crash(struct standin *standin, int64_t back_ms); /* a new incarnation starts after back_ms, < 0: never */
void standin_drain(struct standin *standin, int64_t back_ms);
void standin_on_timer(struct standin *standin);
void standin_on_request(struct standin *standin, int64_t call, const char *path, const char *header, const char *body,
                        int late);
int64_t standin_clock_ms(const struct standin *standin);
struct standin *cluster_standin(struct cluster *cluster, int64_t n);
/* An order to start a task. checkpoint: where to continue from, "": none; late: it is carried out late. */
struct standin_start {
    struct tracked_job *job;
    int64_t task, attempt;
    const char *text, *checkpoint;
    int late;
};
int standin_start(struct standin *standin, const struct standin_start *order); /* 0: no free capacity */
struct standin_run *standin_run(struct standin *standin, int64_t job, int64_t task);
void standin_stop(struct standin *standin, struct standin_run *run);
void standin_finish(struct standin *standin, struct standin_run *run, enum standin_end how);
void standin_advance(struct standin *standin, int64_t passed_us);
void standin_expire_lease(struct standin *standin);
/* cluster_heartbeats.c */
void standin_heartbeat(struct standin *standin);
void standin_leave(struct standin *standin);
/* Announces the end of an executor that never said it drains; it serves on for serve_ms, then ends. */
void standin_leave_serving(struct standin *standin, int64_t serve_ms, int64_t back_ms);
/* cluster_executor.c, used by cluster_heartbeats.c */
json_t *standin_report(const struct standin *standin);
void standin_extend_lease(struct standin *standin, int64_t lease_until_ms); /* a lease is never shortened */
void standin_acknowledge_ends(struct standin *standin, int64_t up_to_seq);  /* drops ends up to that seq */
/* Carries out an order to start a run. Returns the HTTP status of the response; why: the reason in its body. */
int standin_order_start(struct standin *standin, const json_t *order, int late, const char **why);
void standin_order_stop(struct standin *standin, const json_t *order);
void standin_shut_down(struct standin *standin, int64_t back_ms);
void run_free(struct standin_run *run);
void standin_bar(struct standin *standin, int64_t job, int64_t task, int64_t attempt);
int64_t standin_barred(const struct standin *standin, int64_t job, int64_t task);
void standin_usage(const struct standin *standin, int64_t *cpu_milli, int64_t *memory_mb, int64_t *gpus);

#endif

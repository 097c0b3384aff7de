/* The seeded simulator of a cluster: controllers, agents beside stand-ins of
 * executors, callers and operators, under one virtual clock. It runs the shipped
 * cores; a judge sees what executors, callers and operators see, and nothing
 * else. The same seed gives the same run. */
#ifndef SAGEHITCH_CLUSTER_H
#define SAGEHITCH_CLUSTER_H
#include <jansson.h>

#include "base/world.h"
#include "sim/cluster_link.h"
#include "sim/cluster_operator.h"
#include "sim/event_queue.h"

enum { CLUSTER_ON_TIMER_US = 20000, STANDIN_ON_TIMER_US = 5000 };
enum host_kind { HOST_CONTROLLER, HOST_AGENT };
enum standin_end { RUN_DONE = 1, RUN_FAILED, RUN_STOPPED, RUN_LEASE_EXPIRED, RUN_GANG_BROKEN, RUN_GANG_TIMEOUT };

/* Bounds the judge goes by, and what the cores are given. */
enum {
    HOLD_MAX_MS = 6000,
    LEASE_MS = 4000,
    GANG_MS = 3000,
    STOP_MS = 400,
    CANCEL_MS = 3000,
    EARLY_MS = 250,
    DRAIN_MS = 2000,
    CONTACT_MS = 3000,
    APPLY_MS = 2000,
    VISIBLE_MS = 3000,
    SAVE_MS = 2000,
    RESTORE_MS = 600,
    JUMP_MS = 5000,
    ATTEMPTS_MAX = 3,
    CLOSE_MS = 20000,
    ACK_MS = 4000
};

/* How the controllers keep the agreed log; 0: as they do by default. */
struct cluster_log {
    int64_t snapshot_every, keep_entries, segment_bytes;
};

struct cluster;
struct cluster_disk;
struct job_spec;
struct controller;
struct agent;

/* One machine. Invariants: what is addressed to an older generation is dropped; what came while it
 * was frozen or busy is taken in the order it came. */
struct host {
    struct world base; /* first */
    struct cluster *cluster;
    enum host_kind kind;
    int64_t index, up, generation, frozen, thaw_us, busy_until_us, stall_us;
    int64_t skew_ms, born_us, flush_due, with_disk, gone, trouble_us;
    int64_t ever_up, leaving;
    char name[16], zone[8], rack[8];
    struct cluster_disk *disk, *disk_copy;        /* disk_copy: as it was at host_disk_copy(), NULL: none */
    int64_t link_kbit_s, in_free_us, out_free_us; /* link_kbit_s: of its link, each way; 0: without bound */
    struct controller *controller;
    struct agent *agent;
    struct standin *standin;
};

/* --- jobs of the callers, and what was seen of them ------------------------------ */

/* A start of a task, as its executor saw it. */
struct seen_start {
    int64_t at_us, attempt, executor;
};
/* An end of a run. noted: the executor was told that the leader knows it; lapsed: its lease ended before that. */
struct seen_end {
    int64_t at_us, attempt, executor, generation, seq, how, acknowledged, lease_expired;
};
/* One task, in one repetition of its job. */
struct tracked_task {
    struct seen_start *starts;
    struct seen_end *ends;
    int64_t n_starts, n_ends, checkpoint_ms, reported; /* told: breaches of it already in the report */
};
/* A gang's run over all executors. */
struct tracked_gang {
    int64_t repetition, step, attempt, began_us, required_us, broken, finished, started;
    char *checkpoint;
};
/* A job. Times are 0, or -1 for those of the first answers, until they come; shown: the newest state a caller saw;
 * hopeless: no executor can take it; poison: the task that always fails. */
struct tracked_job {
    int64_t id, serial, tasks_per_repetition, repetitions, unplaceable, failing_task, long_running, fail_pct;
    struct job_spec *spec;
    int64_t *first_row; /* row of a step's first task in a time */
    const char *host_name, *prefix, *service;
    char *body;
    int64_t sent_us, accepted_us, tries, refusals, in_flight, cancel_us, cancel_tries, cancel_ack_us, seen_state,
        seen_state_us, n_not_found;
    int64_t no_progress_since_us, no_progress_reported;
    int64_t starts;
    struct tracked_task *tracked_tasks;
    struct tracked_gang *gangs;
    int64_t n_gangs;
};

/* --- executors ---------------------------------------------------------------------- */

/* A run on an executor. */
struct standin_run {
    struct tracked_job *job;
    int64_t repetition, step, index, task, attempt, started_us, done_us, required_us, restore_us, checkpoint_ms,
        fails_at_us;
    int64_t stopping_us, on_timer_us;
    char *checkpoint;
};
/* An end that the executor keeps until it is told that it was seen. */
struct standin_ended {
    int64_t seq, job, task, attempt, how;
    char *checkpoint;
};
/* No attempt of the task up to this one may start here any more. */
struct standin_barred {
    int64_t job, task, attempt;
};
/* A poll that waits for an end. */
struct standin_poll {
    int64_t call, deadline_us;
};
/* Invariants: fence and seq never fall within an incarnation (generation); runs holds also
 * what is being stopped; up 0: nothing of it is left. */
struct standin {
    struct host *host;
    int64_t index, up, generation, born_us, clock_offset_ms, clock_slow_ppm, lease_until_ms, fence_epoch, seq,
        last_on_timer_us, gone;
    char incarnation[32];
    const char *service, *rack, *label;
    int64_t checks_capacity, cpu_milli, memory_mb, gpus;
    struct standin_run *runs;
    struct standin_ended *ended;
    struct standin_barred *barred;
    struct standin_poll *polls;
    int64_t n_runs, n_ended, n_barred, n_polls;
    int64_t draining, drain_ack_us, leaves_us, return_after_ms, next_heartbeat_us, heartbeat_seq, heartbeat_sent_us;
    int64_t slow_pct, hang_us, fail_us, sick_us, late_us,
        last_fault_us; /* faults until; last_fault_us: newest trouble's end */
};

/* --- events ---------------------------------------------------------------------------- */

enum cluster_event_kind {
    CLUSTER_EVENT_TIMER,
    CLUSTER_EVENT_STANDIN,
    CLUSTER_EVENT_FRAME,
    CLUSTER_EVENT_REQUEST,
    CLUSTER_EVENT_RESPONSE,
    CLUSTER_EVENT_TIMEOUT,
    CLUSTER_EVENT_FLUSH,
    CLUSTER_EVENT_ACTION
};
typedef void cluster_action(struct cluster *cluster, void *arg, int64_t n);
typedef void cluster_on_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body);

struct cluster_event {
    struct timed_event timed; /* first */
    int64_t generation, call, n, entry, late;
    /* Of a frame. lost: its connection was reset; read_after_us: it is read no sooner, though it came; resets: the
     * connection back is reset once this was read. */
    int64_t lost, read_after_us, reset_reply;
    enum cluster_event_kind kind;
    struct host *from, *to; /* from: of a frame that goes over a connection, else NULL */
    struct blob *frame;
    char *method, *path, *header, *body;
    int status;
    cluster_action *action;
    void *arg;
};
/* from NULL: from outside. standin: the executor is called or calls, not the core. */
struct cluster_call {
    int64_t id, from_generation, tag;
    int64_t reset_in_response; /* its connection is reset in the middle of the answer */
    struct host *from, *to;
    struct standin *standin;
    call_done *done;
    cluster_on_response *on_response;
    void *arg;
};
/* A line of the report on a failed run. */
struct story_line {
    int64_t at_us, job; /* job 0: of the cluster as a whole */
    char *text;
};

struct cluster {
    uint64_t state;
    int64_t now_us, n_calls;
    struct event_queue events;
    struct host *hosts[CLUSTER_HOSTS];
    int64_t n, controllers, disks, agents;
    uint8_t cut[CLUSTER_HOSTS][CLUSTER_HOSTS]; /* [from][to], enum link_cut */
    struct link_faults links;
    int64_t orders_by_heartbeat; /* 1: executors take their orders in the answers to their heartbeats */
    int64_t loss_pct, slow_link_ms;
    struct cluster_log log;
    int64_t machines_lost;      /* that may be lost at once, as the controllers are told */
    int64_t n_events[10000];    /* by number, of all hosts */
    int64_t reset_pct, late_ms; /* frames lost with their connection; late by up to so much, in their order */
    struct cluster_call *calls;
    int64_t n_calls_open;
    struct tracked_job **jobs;
    int64_t n_jobs, load_until_us, load_every_us, mix, quiet;
    int64_t seeds[3], n_seeds;
    int64_t last_controller_fault_us, trouble_us, clocks_jump, calm;
    struct host *operators_use; /* all orders go there; NULL: to any node */
    struct op_change *changes;
    int64_t n_changes, acked_version, acked_us, read_version, answers_lost_pct;
    struct config_call *config_calls;
    int64_t n_config_calls;
    struct story_line *story;
    int64_t n_story;
    char **breaches;
    int64_t n_breaches, violation_job, judged;
    int64_t n_starts, n_ends[8], n_capacity_refused, n_late_orders, n_accepted, n_refused, n_shown_done, lost_core_ms;
    int trace;
    /* self-tests: answers in place of the cores; status, 0: silence */
    int (*fake)(struct cluster *cluster, const char *method, const char *path, const char *body, char **answer);
};

#define CLUSTER_WALL_MS 1700000000000LL

/* --- cluster.c, cluster_run.c ------------------------------------------------------------------------------ */
void cluster_start(struct cluster *cluster, uint64_t seed, int disks, int diskless, int agents);
void cluster_start_with(struct cluster *cluster, uint64_t seed, int disks, int diskless, int agents,
                        const struct cluster_log *log);
void cluster_start_bearing(struct cluster *cluster, uint64_t seed, int machines_lost, int disks, int diskless,
                           int agents);
/* A deployment; members that are 0 are as cluster_start() has them. */
struct cluster_options {
    int disks, diskless, agents, machines_lost, orders_by_heartbeat;
    struct cluster_log log;
};
void cluster_start_as(struct cluster *cluster, uint64_t seed, const struct cluster_options *options);
void cluster_end(struct cluster *cluster);
void cluster_run(struct cluster *cluster, int64_t ms);
uint64_t cluster_random(struct cluster *cluster);
int64_t cluster_pick(struct cluster *cluster, int64_t n);
int64_t cluster_wall_ms(const struct cluster *cluster);
struct host *cluster_add(struct cluster *cluster, enum host_kind kind, int with_disk, int zone);
void host_boot(struct host *host, int first_start);
void host_kill(struct host *host, int power);
void host_end(struct host *host); /* frees its core, and says nothing */
void host_restart(struct host *host);
void host_leave(struct host *host); /* asked to stop; starts again after it ended */
void host_wipe(struct host *host);
void host_disk_copy(struct host *host);   /* remembers what lasts on its disk now */
void host_disk_rewind(struct host *host); /* its disk is again as it was then; only while it is down */
void host_freeze(struct host *host, int64_t for_ms);
void host_skew(struct host *host, int64_t by_ms);
void host_trouble(struct host *host); /* the judge excuses it for a while */
/* Tell lists of voters apart: that founded the log here, that the seeds agreed on as far as is known here; 0: none. */
uint64_t host_founders(const struct host *host);
uint64_t host_agreed(const struct host *host);
struct host *cluster_leader(struct cluster *cluster);                /* NULL: none */
struct host *cluster_controller(struct cluster *cluster, int64_t n); /* nth, NULL: none */
struct host *cluster_any_controller(struct cluster *cluster);        /* any, also one that is down */
struct host *cluster_replace(struct host *gone);                     /* an empty one at another address */
int cluster_is_reachable(const struct cluster *cluster, const struct host *host);
void cluster_core_trouble(struct cluster *cluster);
void cluster_tell(struct cluster *cluster, int64_t job, const char *format, ...) __attribute__((format(printf, 3, 4)));
char *cluster_story(const struct cluster *cluster); /* owned by the caller */

/* --- cluster_net.c ---------------------------------------------------------------------------- */
void cluster_push(struct cluster *cluster, struct cluster_event *event, int64_t at_us);
void cluster_deliver(struct cluster *cluster, struct cluster_event *event);
void cluster_event_free(struct cluster_event *event);
void cluster_at(struct cluster *cluster, int64_t in_ms, cluster_action *action, void *arg, int64_t n);
void cluster_calls_net(struct world_calls *calls);
/* to NULL: outside of all hosts */
struct cluster_event *cluster_event_new(enum cluster_event_kind kind, struct host *to);
/* When something sent now arrives; what a process still does takes its time first. from NULL: from outside. */
int64_t cluster_arrival(struct cluster *cluster, const struct host *from, const struct host *to);
/* value of a header line, in a static buffer; NULL: not there */
const char *header_find(const char *lines, const char *name);

/* --- cluster_calls.c -------------------------------------------------------------------------- */
void cluster_calls_http(struct world_calls *calls);
void cluster_call_end(struct cluster *cluster, int64_t id, int status, const char *body);
/* An HTTP request to a host, from outside or (from not NULL) from the executor beside it. header: lines
 * "Name: value\n"; header and body may be NULL. answer gets arg and tag; status 0: no answer within wait_ms. */
struct cluster_http_request {
    struct host *to;
    struct standin *from;
    int64_t entry; /* enum entry */
    const char *method, *path, *header, *body;
    int64_t wait_ms;
    cluster_on_response *on_response;
    void *arg;
    int64_t tag;
};
void cluster_request(struct cluster *cluster, const struct cluster_http_request *http);
void cluster_reply(struct cluster *cluster, int64_t call, int status, const char *body); /* by a stand-in */
void cluster_reset_calls(struct cluster *cluster, struct host *to); /* all that are open there end without an answer */

/* --- cluster_disk.c ------------------------------------------------------------------------- */
struct cluster_disk *cluster_disk_new(uint64_t seed);
void cluster_disk_free(struct cluster_disk *disk);
void cluster_disk_clear(struct cluster_disk *disk);
void cluster_disk_copy(struct cluster_disk *to, const struct cluster_disk *from); /* what lasts of it */
void cluster_disk_power_loss(struct cluster_disk *disk);
void cluster_disk_stall(struct cluster_disk *disk, int64_t until_us);
void cluster_calls_disk(struct world_calls *calls);

/* --- cluster_executor.c, cluster_runs.c ------------------------------------------------------- */
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
/* An order to start a task. saved: the checkpoint to begin from, "": none; late: it is carried out late. */
struct standin_start {
    struct tracked_job *job;
    int64_t task, attempt;
    const char *text, *checkpoint;
    int late;
};
int standin_start(struct standin *standin, const struct standin_start *order); /* returns whether there was room */
struct standin_run *standin_run(struct standin *standin, int64_t job, int64_t task);
void standin_stop(struct standin *standin, struct standin_run *run);
void standin_finish(struct standin *standin, struct standin_run *run, enum standin_end how);
void standin_advance(struct standin *standin, int64_t passed_us);
void standin_expire_lease(struct standin *standin);
/* cluster_beats.c */
void standin_heartbeat(struct standin *standin);
void standin_leave(struct standin *standin);
/* cluster_executor.c, used by cluster_beats.c */
json_t *standin_report(const struct standin *standin);
void standin_extend_lease(struct standin *standin, int64_t lease_until_ms); /* a lease is never shortened */
void standin_acknowledge_ends(struct standin *standin, int64_t seen);       /* forgets ends up to that number */
/* Carries out an order to start or to stop. Returns the status of the answer; why: the reason in its body. */
int standin_order_start(struct standin *standin, const json_t *order, int late, const char **why);
void standin_order_stop(struct standin *standin, const json_t *order);
void standin_shut_down(struct standin *standin, int64_t back_ms);
void run_free(struct standin_run *run);
void standin_bar(struct standin *standin, int64_t job, int64_t task, int64_t attempt);
int64_t standin_barred(const struct standin *standin, int64_t job, int64_t task);
void standin_usage(const struct standin *standin, int64_t *cpu_milli, int64_t *memory_mb, int64_t *gpus);

/* --- cluster_callers.c -------------------------------------------------------------------------- */
enum job_schema {
    SCHEMA_ONE,
    SHAPE_STEPS,
    SCHEMA_GANG,
    SHAPE_LABEL,
    SHAPE_PREFERRED_RACK,
    SHAPE_PER_EXECUTOR_LIMIT,
    SHAPE_LONG_RUNNING,
    SHAPE_REPEATED,
    SCHEMA_SAVES,
    SHAPE_UNPLACEABLE,
    SHAPE_FAILING_TASK,
    SHAPE_RAW,
    SCHEMA_LARGE,
    SHAPE_DUPLICATES,
    SCHEMA_COUNT
};
struct tracked_job *callers_new_job(struct cluster *cluster, enum job_schema shape); /* made, not sent */
void callers_submit(struct cluster *cluster, struct tracked_job *job);
void callers_load(struct cluster *cluster, int64_t per_s, int64_t for_ms);
void callers_burst(struct cluster *cluster, int64_t jobs, enum job_schema shape);
void callers_cancel(struct cluster *cluster, struct tracked_job *job);
struct tracked_job *tracked_job(const struct cluster *cluster, int64_t id);
struct tracked_task *tracked_task(const struct tracked_job *job, int64_t task); /* NULL: there is none such */
struct tracked_gang *tracked_gang(struct tracked_job *job, int64_t repetition, int64_t step, int64_t attempt);
int tracked_step_done(const struct tracked_job *job, int64_t repetition, int64_t step);
void tracked_job_free(struct tracked_job *job);
int64_t callers_unfinished(const struct cluster *cluster);
/* All faults end; everything must come to its end within CLOSE_MS. */
void cluster_close(struct cluster *cluster);

/* --- cluster_oracle.c: every breach is a line -------------------------------------------------------- */
void cluster_violation(struct cluster *cluster, int64_t job, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void cluster_oracle_on_start(struct standin *standin, struct standin_run *run, const char *text, const char *checkpoint,
                             int late);
void cluster_oracle_on_end(struct standin *standin, const struct standin_run *run, enum standin_end how, int64_t seq);
void cluster_oracle_on_ends_acknowledged(struct standin *standin, int64_t seen);
void cluster_oracle_on_lease_expired(struct standin *standin);
void cluster_oracle_on_job_state(struct cluster *cluster, struct tracked_job *job, const char *state,
                                 const struct host *by);
void cluster_oracle_on_job_not_found(struct cluster *cluster, struct tracked_job *job,
                                     const struct host *by); /* answered 410 */
void cluster_oracle_on_cancel_acknowledged(struct cluster *cluster, struct tracked_job *job);
/* Is it the answer to a request of this kind? member: what its body has to have, NULL: nothing at all. */
void cluster_oracle_check_response(struct cluster *cluster, int64_t job, int status, const char *body,
                                   const char *member);
void cluster_oracle_check_end(struct cluster *cluster); /* at the end of a run */
const char *standin_end_name(int64_t how);
void cluster_oracle_check_progress(struct cluster *cluster); /* cluster_still.c; asked again and again */

/* --- cluster_codec.c ---------------------------------------------------------------------------------- */
struct executor_codec;
struct api_codec;
extern const struct executor_codec cluster_executor_codec;
extern const struct api_codec cluster_api_codec;
#endif

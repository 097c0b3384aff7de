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
enum standin_end { RUN_DONE = 1, RUN_FAILED, RUN_STOPPED, RUN_LAPSED, RUN_BROKEN, RUN_ALONE };

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
    int64_t at_us, attempt, executor, generation, seq, how, noted, lapsed;
};
/* One task, in one repetition of its job. */
struct board_row {
    struct seen_start *starts;
    struct seen_end *ends;
    int64_t n_starts, n_ends, saved_ms, told; /* told: breaches of it already in the report */
};
/* A gang's run over all executors. */
struct board_gang {
    int64_t time, step, attempt, began_us, need_us, broken, over, started;
    char *checkpoint;
};
/* A job. Times are 0, or -1 for those of the first answers, until they come; shown: the newest state a caller saw;
 * hopeless: no executor can take it; poison: the task that always fails. */
struct board_job {
    int64_t id, serial, tasks, times, hopeless, poison, long_running, fail_pct;
    struct job_spec *spec;
    int64_t *first; /* row of a step's first task in a time */
    const char *host_name, *prefix, *service;
    char *body;
    int64_t sent_us, accepted_us, tries, refusals, open, cancel_us, cancel_tries, cancel_ack_us, shown, shown_us,
        missing;
    int64_t still_us, still_told;
    int64_t starts;
    struct board_row *rows;
    struct board_gang *gangs;
    int64_t n_gangs;
};

/* --- executors ---------------------------------------------------------------------- */

/* A run on an executor. */
struct standin_run {
    struct board_job *job;
    int64_t time, step, index, task, attempt, started_us, done_us, need_us, restore_us, saved_ms, fails_us;
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
    int64_t call, due_us;
};
/* Invariants: fence and seq never fall within an incarnation (generation); runs holds also
 * what is being stopped; up 0: nothing of it is left. */
struct standin {
    struct host *host;
    int64_t index, up, generation, born_us, offset_ms, slow_ppm, until_ms, fence, seq, last_on_timer_us, gone;
    char incarnation[32];
    const char *service, *rack, *label;
    int64_t checks_capacity, cpu_milli, memory_mb, gpus;
    struct standin_run *runs;
    struct standin_ended *ended;
    struct standin_barred *barred;
    struct standin_poll *polls;
    int64_t n_runs, n_ended, n_barred, n_polls;
    int64_t draining, drain_ack_us, leaves_us, return_us, beat_due_us, beat_seq, beat_sent_us;
    int64_t slow_pct, hang_us, fail_us, sick_us, late_us, fault_us; /* faults until; fault_us: newest trouble's end */
};

/* --- events ---------------------------------------------------------------------------- */

enum cluster_event_kind {
    CEV_ON_TIMER,
    CEV_STANDIN,
    CEV_FRAME,
    CEV_REQUEST,
    CEV_ANSWER,
    CEV_TIMEOUT,
    CEV_FLUSH,
    CEV_ACTION
};
typedef void cluster_action(struct cluster *c, void *arg, int64_t n);
typedef void cluster_answer(struct cluster *c, void *arg, int64_t tag, int status, const char *body);

struct cluster_event {
    struct timed_event due; /* first */
    int64_t generation, call, n, entry, late;
    /* Of a frame. lost: its connection was reset; read_us: it is read no sooner, though it came; resets: the connection
     * back is reset once this was read. */
    int64_t lost, read_us, resets;
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
    int64_t answer_lost; /* its connection is reset in the middle of the answer */
    struct host *from, *to;
    struct standin *standin;
    call_done *done;
    cluster_answer *outside;
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
    struct board_job **jobs;
    int64_t n_jobs, load_until_us, load_every_us, mix, quiet;
    int64_t seeds[3], n_seeds;
    int64_t core_trouble_us, trouble_us, clocks_jump, calm;
    struct host *operators_use; /* all orders go there; NULL: to any node */
    struct op_change *changes;
    int64_t n_changes, acked_version, acked_us, read_version, answers_lost_pct;
    struct config_call *config_calls;
    int64_t n_config_calls;
    struct story_line *story;
    int64_t n_story;
    char **breaches;
    int64_t n_breaches, breach_job, judged;
    int64_t n_starts, n_ends[8], n_room_refused, n_late_orders, n_accepted, n_refused, n_shown_done, lost_core_ms;
    int trace;
    /* self-tests: answers in place of the cores; status, 0: silence */
    int (*fake)(struct cluster *c, const char *method, const char *path, const char *body, char **answer);
};

#define CLUSTER_WALL_MS 1700000000000LL

/* --- cluster.c, cluster_run.c ------------------------------------------------------------------------------ */
void cluster_start(struct cluster *c, uint64_t seed, int disks, int diskless, int agents);
void cluster_start_with(struct cluster *c, uint64_t seed, int disks, int diskless, int agents,
                        const struct cluster_log *log);
void cluster_start_bearing(struct cluster *c, uint64_t seed, int machines_lost, int disks, int diskless, int agents);
/* A deployment; members that are 0 are as cluster_start() has them. */
struct cluster_options {
    int disks, diskless, agents, machines_lost, orders_by_heartbeat;
    struct cluster_log log;
};
void cluster_start_as(struct cluster *c, uint64_t seed, const struct cluster_options *options);
void cluster_end(struct cluster *c);
void cluster_run(struct cluster *c, int64_t ms);
uint64_t cluster_random(struct cluster *c);
int64_t cluster_pick(struct cluster *c, int64_t n);
int64_t cluster_wall_ms(const struct cluster *c);
struct host *cluster_add(struct cluster *c, enum host_kind kind, int with_disk, int zone);
void host_boot(struct host *h, int first_start);
void host_kill(struct host *h, int power);
void host_end(struct host *h); /* frees its core, and says nothing */
void host_restart(struct host *h);
void host_leave(struct host *h); /* asked to stop; starts again after it ended */
void host_wipe(struct host *h);
void host_disk_copy(struct host *h);   /* remembers what lasts on its disk now */
void host_disk_rewind(struct host *h); /* its disk is again as it was then; only while it is down */
void host_freeze(struct host *h, int64_t for_ms);
void host_skew(struct host *h, int64_t by_ms);
void host_trouble(struct host *h); /* the judge excuses it for a while */
/* Tell lists of voters apart: that founded the log here, that the seeds agreed on as far as is known here; 0: none. */
uint64_t host_founders(const struct host *h);
uint64_t host_agreed(const struct host *h);
struct host *cluster_leader(struct cluster *c);                /* NULL: none */
struct host *cluster_controller(struct cluster *c, int64_t n); /* nth, NULL: none */
struct host *cluster_any_controller(struct cluster *c);        /* any, also one that is down */
struct host *cluster_replace(struct host *gone);               /* an empty one at another address */
int cluster_in_touch(const struct cluster *c, const struct host *h);
void cluster_core_trouble(struct cluster *c);
void cluster_tell(struct cluster *c, int64_t job, const char *format, ...) __attribute__((format(printf, 3, 4)));
char *cluster_story(const struct cluster *c); /* owned by the caller */

/* --- cluster_net.c ---------------------------------------------------------------------------- */
void cluster_push(struct cluster *c, struct cluster_event *event, int64_t at_us);
void cluster_deliver(struct cluster *c, struct cluster_event *event);
void cluster_event_free(struct cluster_event *event);
void cluster_at(struct cluster *c, int64_t in_ms, cluster_action *action, void *arg, int64_t n);
void cluster_calls_net(struct world_calls *calls);
/* to NULL: outside of all hosts */
struct cluster_event *cluster_event_new(enum cluster_event_kind kind, struct host *to);
/* When something sent now arrives; what a process still does takes its time first. from NULL: from outside. */
int64_t cluster_arrival(struct cluster *c, const struct host *from, const struct host *to);
/* value of a header line, in a static buffer; NULL: not there */
const char *header_find(const char *lines, const char *name);

/* --- cluster_calls.c -------------------------------------------------------------------------- */
void cluster_calls_http(struct world_calls *calls);
void cluster_call_end(struct cluster *c, int64_t id, int status, const char *body);
/* An HTTP request to a host, from outside or (from not NULL) from the executor beside it. header: lines
 * "Name: value\n"; header and body may be NULL. answer gets arg and tag; status 0: no answer within wait_ms. */
struct cluster_http_request {
    struct host *to;
    struct standin *from;
    int64_t entry; /* enum entry */
    const char *method, *path, *header, *body;
    int64_t wait_ms;
    cluster_answer *answer;
    void *arg;
    int64_t tag;
};
void cluster_request(struct cluster *c, const struct cluster_http_request *http);
void cluster_reply(struct cluster *c, int64_t call, int status, const char *body); /* by a stand-in */
void cluster_reset_calls(struct cluster *c, struct host *to); /* all that are open there end without an answer */

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
void standin_free(struct standin *s);
void standin_boot(struct standin *s);
void standin_crash(struct standin *s, int64_t back_ms); /* a new incarnation starts after back_ms, < 0: never */
void standin_drain(struct standin *s, int64_t back_ms);
void standin_on_timer(struct standin *s);
void standin_take(struct standin *s, int64_t call, const char *path, const char *header, const char *body, int late);
int64_t standin_clock_ms(const struct standin *s);
struct standin *cluster_standin(struct cluster *c, int64_t n);
/* An order to start a task. saved: the checkpoint to begin from, "": none; late: it is carried out late. */
struct standin_start {
    struct board_job *job;
    int64_t task, attempt;
    const char *text, *checkpoint;
    int late;
};
int standin_start(struct standin *s, const struct standin_start *order); /* returns whether there was room */
struct standin_run *standin_run(struct standin *s, int64_t job, int64_t task);
void standin_stop(struct standin *s, struct standin_run *run);
void standin_finish(struct standin *s, struct standin_run *run, enum standin_end how);
void standin_work(struct standin *s, int64_t passed_us);
void standin_lapse(struct standin *s);
/* cluster_beats.c */
void standin_beat(struct standin *s);
void standin_leave(struct standin *s);
/* cluster_executor.c, used by cluster_beats.c */
json_t *standin_lists(const struct standin *s);
void standin_hold(struct standin *s, int64_t until_ms); /* a lease is never shortened */
void standin_seen(struct standin *s, int64_t seen);     /* forgets ends up to that number */
/* Carries out an order to start or to stop. Returns the status of the answer; why: the reason in its body. */
int standin_order_start(struct standin *s, const json_t *order, int late, const char **why);
void standin_order_stop(struct standin *s, const json_t *order);
void standin_go(struct standin *s, int64_t back_ms);
void run_free(struct standin_run *run);
void standin_bar(struct standin *s, int64_t job, int64_t task, int64_t attempt);
int64_t standin_barred(const struct standin *s, int64_t job, int64_t task);
void standin_used(const struct standin *s, int64_t *cpu_milli, int64_t *memory_mb, int64_t *gpus);

/* --- cluster_callers.c -------------------------------------------------------------------------- */
enum job_schema {
    SCHEMA_ONE,
    SCHEMA_STEPS,
    SCHEMA_GANG,
    SCHEMA_LABEL,
    SCHEMA_NEAR,
    SCHEMA_APART,
    SCHEMA_LASTING,
    SCHEMA_TIMED,
    SCHEMA_SAVES,
    SCHEMA_HOPELESS,
    SCHEMA_POISON,
    SCHEMA_RAW,
    SCHEMA_LARGE,
    SCHEMA_TWICE,
    SCHEMA_COUNT
};
struct board_job *callers_job(struct cluster *c, enum job_schema schema); /* made, not sent */
void callers_send(struct cluster *c, struct board_job *job);
void callers_load(struct cluster *c, int64_t per_s, int64_t for_ms);
void callers_burst(struct cluster *c, int64_t jobs, enum job_schema schema);
void callers_cancel(struct cluster *c, struct board_job *job);
struct board_job *board_job(const struct cluster *c, int64_t id);
struct board_row *board_row(const struct board_job *job, int64_t task); /* NULL: there is none such */
struct board_gang *board_gang(struct board_job *job, int64_t time, int64_t step, int64_t attempt);
int board_step_done(const struct board_job *job, int64_t time, int64_t step);
void board_free(struct board_job *job);
int64_t callers_unfinished(const struct cluster *c);
/* All faults end; everything must come to its end within CLOSE_MS. */
void cluster_close(struct cluster *c);

/* --- cluster_oracle.c: every breach is a line -------------------------------------------------------- */
void judge_say(struct cluster *c, int64_t job, const char *format, ...) __attribute__((format(printf, 3, 4)));
void judge_begun(struct standin *s, struct standin_run *run, const char *text, const char *checkpoint, int late);
void judge_ended(struct standin *s, const struct standin_run *run, enum standin_end how, int64_t seq);
void judge_noted(struct standin *s, int64_t seen);
void judge_lapsed(struct standin *s);
void judge_shown(struct cluster *c, struct board_job *job, const char *state, const struct host *by);
void judge_gone(struct cluster *c, struct board_job *job, const struct host *by); /* answered 410 */
void judge_cancelled(struct cluster *c, struct board_job *job);
/* Is it the answer to a request of this kind? member: what its body has to have, NULL: nothing at all. */
void judge_answer(struct cluster *c, int64_t job, int status, const char *body, const char *member);
void judge_over(struct cluster *c); /* at the end of a run */
const char *end_name(int64_t how);
void judge_still(struct cluster *c); /* cluster_still.c; asked again and again */

/* --- cluster_codec.c ---------------------------------------------------------------------------------- */
struct executor_codec;
struct api_codec;
extern const struct executor_codec cluster_executor_codec;
extern const struct api_codec cluster_api_codec;
#endif

/* A deterministic simulator of a cluster: controllers, agents, executors, callers and operators under one virtual
 * clock. Controllers and agents are the production code (their "cores"); executors are stand-ins that simulate runs.
 * An oracle checks what executors, callers and operators observe, and never looks into a core. The same seed gives the
 * same run. */
#ifndef SAGEHITCH_CLUSTER_H
#define SAGEHITCH_CLUSTER_H
#include <jansson.h>

#include "base/world.h"
#include "sim/cluster_jobs.h"
#include "sim/cluster_link.h"
#include "sim/cluster_operator.h"
#include "sim/cluster_standin.h"
#include "sim/disk_fault.h"
#include "sim/event_queue.h"

enum { CLUSTER_ON_TIMER_US = 20000, STANDIN_ON_TIMER_US = 5000 };
enum host_kind { HOST_CONTROLLER, HOST_AGENT };

/* Time limits and other bounds that the oracle checks and that the cores are configured with. */
enum {
    HOLD_MAX_MS = 6000,     /* longest lease of an executor */
    LEASE_MS = 4000,        /* lease of the leader */
    GANG_TIMEOUT_MS = 3000, /* for all members of a gang to start */
    STOP_TIMEOUT_MS = 400,  /* for a run to stop */
    CANCEL_MS = 3000,       /* until no task of a cancelled job starts */
    EARLY_MS = 250,         /* how early a repetition may start */
    DRAIN_MS = 2000,        /* until no task starts on a draining executor */
    CONTACT_MS = 3000,      /* delays are tolerated so long after a fault */
    APPLY_MS = 2000,
    VISIBLE_MS = 3000,             /* until each controller knows an accepted job */
    CHECKPOINT_INTERVAL_MS = 2000, /* work between two checkpoints */
    RESTORE_MS = 600,              /* to continue from a checkpoint */
    CLOCK_JUMP_MS = 5000,          /* added to EARLY_MS if wall clocks jump */
    ATTEMPTS_MAX = 3,
    FINISH_MS = 20000, /* for all jobs to finish after the last fault and start time */
    ACK_MS = 4000
};

/* Log settings of the controllers; 0: the default. */
struct cluster_log {
    int64_t snapshot_every, keep_entries, segment_bytes;
};

struct cluster;
struct cluster_disk;
struct job_spec;
struct controller;
struct agent;

/* A machine with one controller, or with one agent and its executor. generation counts its starts. Times are virtual;
 * booted_us: the last start; busy_until_us: the core handles no event before; stall_us: time that the event being
 * handled has spent waiting for the disk; skew_ms: error of its wall clock; flush_due: a flush event is queued;
 * removed: it was replaced and never starts again; last_fault_us: the last fault that affected it. Invariants: events
 * for an older generation are dropped; events that arrive while the host is frozen or busy are handled afterwards, in
 * order of arrival. */
struct host {
    struct world base; /* must be the first member */
    struct cluster *cluster;
    enum host_kind kind;
    int64_t index, up, generation, frozen, thaw_us, busy_until_us, stall_us;
    int64_t skew_ms, booted_us, flush_due, with_disk, removed, last_fault_us;
    int64_t ever_up, leaving;
    char name[16], zone[8], rack[8];
    struct cluster_disk *disk, *disk_copy;        /* disk_copy: made by host_disk_copy(), NULL: none */
    int64_t link_kbit_s, in_free_us, out_free_us; /* bandwidth each way, 0: unlimited; when each direction is idle */
    struct controller *controller;
    struct agent *agent;
    struct standin *standin;
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
/* An action of the scenario at a time; n is passed through. */
typedef void cluster_action(struct cluster *cluster, void *arg, int64_t n);
typedef void cluster_on_response(struct cluster *cluster, void *arg, int64_t tag, int status, const char *body);

/* late: an executor carries the request out late; entry: enum entry of a request; n: argument of an action. */
struct cluster_event {
    struct timed_event timed; /* must be the first member */
    int64_t generation, call, n, entry, late;
    /* Of a frame. lost: its connection was reset; read_after_us: the receiver does not read it before this time;
     * reset_reply: the connection in the other direction is reset after this frame was read. */
    int64_t lost, read_after_us, reset_reply;
    enum cluster_event_kind kind;
    struct host *from, *to; /* from: sender of a frame that needs a connection, else NULL */
    struct blob *frame;
    char *method, *path, *header, *body;
    int status;
    cluster_action *action;
    void *arg;
};
/* An HTTP call without a response yet. from NULL: the client is no host. standin: the executor that makes or receives
 * the call, NULL: it is for the core. */
struct cluster_call {
    int64_t id, from_generation, tag;
    int64_t reset_in_response; /* the connection is reset in the middle of the response */
    struct host *from, *to;
    struct standin *standin;
    call_done *done;
    cluster_on_response *on_response;
    void *arg;
};
/* A line of the trace of a run. */
struct trace_line {
    int64_t at_us, job; /* job 0: concerns the whole cluster */
    char *text;
};

/* A simulated cluster and the scenario that runs on it. state: of the random numbers; n: number of hosts; disks: of
 * these, the controllers that had a disk at the start; loss_pct: of datagrams; slow_link_ms: added to the delay of each
 * link; clocks_jump: a wall clock jumped in this run; fault_free: the scenario injects no faults; n_checks: checks that
 * the oracle made; violation_job: job of the first violation that concerns one; n_refused: jobs whose submissions were
 * all refused; lost_core_ms: work that was done and not kept by a checkpoint; trace_level: 1 prints the trace, 2 also
 * debug events. */
struct cluster {
    uint64_t state;
    int64_t now_us, n_calls;
    struct event_queue events;
    struct host *hosts[CLUSTER_HOSTS];
    int64_t n, controllers, disks, agents;
    uint8_t cut[CLUSTER_HOSTS][CLUSTER_HOSTS]; /* [from][to], enum link_cut */
    struct link_faults links;
    int64_t orders_by_heartbeat; /* 1: executors get their orders in the responses to their heartbeats */
    int64_t loss_pct, slow_link_ms;
    struct cluster_log log;
    int64_t machines_lost;           /* how many may be lost at once: a setting of the controllers */
    int64_t zones_lost;              /* how many zones may be lost at once: likewise */
    int64_t zones;                   /* number of zones; hosts are added to them in turn */
    int64_t n_events[10000];         /* by event number, over all hosts */
    int64_t reset_pct, max_delay_ms; /* share of frames that are lost; delay of frames, at most */
    struct cluster_call *calls;
    int64_t n_calls_open;
    struct tracked_job **jobs;
    int64_t n_jobs, load_until_us, load_every_us, quiet;
    int64_t seeds[3], n_seeds;
    int64_t last_controller_fault_us, last_fault_us, clocks_jump, fault_free;
    struct host *operators_target; /* controller that gets all changes; NULL: any */
    struct op_change *changes;
    int64_t n_changes, acked_version, acked_us, read_version, lost_responses_pct;
    struct config_call *config_calls;
    int64_t n_config_calls;
    struct trace_line *trace;
    int64_t n_trace;
    char **violations;
    int64_t n_violations, violation_job, n_checks;
    int64_t n_starts, n_ends[8], n_capacity_refused, n_late_orders, n_accepted, n_refused, n_jobs_seen_done,
        lost_core_ms;
    int trace_level;
    /* Tests of the oracle: responds in place of the cores. Returns the status, 0: no response. */
    int (*fake)(struct cluster *cluster, const char *method, const char *path, const char *body, char **response);
};

#define CLUSTER_WALL_MS 1700000000000LL

/* --- cluster.c, cluster_run.c ------------------------------------------------------------------------------ */
void cluster_start(struct cluster *cluster, uint64_t seed, int disks, int diskless, int agents);
void cluster_start_with_log(struct cluster *cluster, uint64_t seed, int disks, int diskless, int agents,
                            const struct cluster_log *log);
void cluster_start_tolerating(struct cluster *cluster, uint64_t seed, int machines_lost, int disks, int diskless,
                              int agents);
/* Size and settings of a cluster; a member that is 0 has the value that cluster_start() uses. */
struct cluster_options {
    int disks, diskless, agents, machines_lost, orders_by_heartbeat;
    struct cluster_log log;
    int zones_lost, zones;
};
void cluster_start_with_options(struct cluster *cluster, uint64_t seed, const struct cluster_options *options);
/* The disk of the first controller has this fault from the first start on, for fault_ms. */
void cluster_start_with_disk_fault(struct cluster *cluster, uint64_t seed, const struct cluster_options *options,
                                   enum disk_fault fault, int64_t fault_ms);
void cluster_free(struct cluster *cluster);
void cluster_run(struct cluster *cluster, int64_t ms);
uint64_t cluster_random(struct cluster *cluster);
int64_t cluster_pick(struct cluster *cluster, int64_t n);
int64_t cluster_wall_ms(const struct cluster *cluster);
struct host *cluster_add(struct cluster *cluster, enum host_kind kind, int with_disk, int zone);
void host_boot(struct host *host, int first_start);
void host_kill(struct host *host, int power);
void host_end(struct host *host); /* frees its core without a trace line */
void host_restart(struct host *host);
void host_leave(struct host *host); /* requests a graceful stop; it starts again afterwards */
void host_wipe(struct host *host);
void host_disk_copy(struct host *host);   /* keeps a copy of what is synced to its disk */
void host_disk_rewind(struct host *host); /* restores that copy; only while the host is down */
void host_disk_fail(struct host *host, enum disk_fault fault, int64_t for_ms);
void host_freeze(struct host *host, int64_t for_ms);
void host_skew(struct host *host, int64_t by_ms);
void host_note_fault(struct host *host); /* the oracle tolerates delays for CONTACT_MS */
/* Hashes of lists of voters: the one that this host's log was bootstrapped with, and the one that the seeds agreed on
 * as far as this host knows; 0: none. */
uint64_t host_bootstrap_hash(const struct host *host);
uint64_t host_chosen_hash(const struct host *host);
struct host *cluster_leader(struct cluster *cluster);                /* NULL: none */
struct host *cluster_controller(struct cluster *cluster, int64_t n); /* the nth that was not replaced, NULL: none */
struct host *cluster_any_controller(struct cluster *cluster);        /* at random, may be down */
struct host *cluster_replace(struct host *removed);                  /* adds an empty host at another address */
/* Whether the host runs, is connected to the controllers and neither had a fault within CONTACT_MS. */
int cluster_is_reachable(const struct cluster *cluster, const struct host *host);
void cluster_note_controller_fault(struct cluster *cluster);
void cluster_trace(struct cluster *cluster, int64_t job, const char *format, ...) __attribute__((format(printf, 3, 4)));
char *cluster_trace_text(const struct cluster *cluster); /* violations and trace, to be freed by the caller */

/* --- cluster_net.c ---------------------------------------------------------------------------- */
void cluster_push(struct cluster *cluster, struct cluster_event *event, int64_t at_us);
void cluster_deliver(struct cluster *cluster, struct cluster_event *event);
void cluster_event_free(struct cluster_event *event);
void cluster_schedule(struct cluster *cluster, int64_t in_ms, cluster_action *action, void *arg, int64_t n);
void cluster_calls_net(struct world_calls *calls);
/* to NULL: the event belongs to no host */
struct cluster_event *cluster_event_new(enum cluster_event_kind kind, struct host *to);
/* When a message sent now arrives, counting from the end of the sender's current event. from NULL: a client that is no
 * host. */
int64_t cluster_arrival(struct cluster *cluster, const struct host *from, const struct host *to);
/* Value of a header line, in a static buffer; NULL: there is no such line. */
const char *header_find(const char *lines, const char *name);

/* --- cluster_http.c --------------------------------------------------------------------------- */
void cluster_calls_http(struct world_calls *calls);
void cluster_call_end(struct cluster *cluster, int64_t id, int status, const char *body);
/* An HTTP request to a host, by a client that is no host or (from not NULL) by the executor beside the host. header:
 * lines "Name: value\n"; header and body may be NULL. on_response gets arg and tag; status 0: no response within
 * wait_ms. */
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
void cluster_reply(struct cluster *cluster, int64_t call, int status, const char *body); /* of a stand-in */
void cluster_reset_calls(struct cluster *cluster, struct host *to); /* ends all open calls to it without a response */

/* --- cluster_disk.c ------------------------------------------------------------------------- */
struct cluster_disk *cluster_disk_new(uint64_t seed);
void cluster_disk_free(struct cluster_disk *disk);
void cluster_disk_clear(struct cluster_disk *disk);
void cluster_disk_copy(struct cluster_disk *to, const struct cluster_disk *from); /* what is synced */
void cluster_disk_power_loss(struct cluster_disk *disk);
void cluster_disk_stall(struct cluster_disk *disk, int64_t until_us);
void cluster_disk_fail(struct cluster_disk *disk, enum disk_fault fault, int64_t until_us);
void cluster_calls_disk(struct world_calls *calls);

/* --- cluster_callers.c -------------------------------------------------------------------------- */
void callers_submit(struct cluster *cluster, struct tracked_job *job);
void callers_load(struct cluster *cluster, int64_t per_s, int64_t for_ms);
void callers_burst(struct cluster *cluster, int64_t jobs, enum job_shape shape);
void callers_cancel(struct cluster *cluster, struct tracked_job *job);
/* Submits the job at this controller once, and cancels it at others after wait_ms without an answer, or after one. */
void callers_submit_and_give_up(struct cluster *cluster, struct tracked_job *job, struct host *to, int64_t wait_ms);
int64_t callers_unfinished(const struct cluster *cluster);
/* Ends all faults and runs until all jobs have finished; the oracle reports those that have not within FINISH_MS. */
void cluster_finish(struct cluster *cluster);

/* --- cluster_oracle.c ------------------------------------------------------------------------------- */
/* Records a violation of one of the oracle's rules. job 0: it concerns no job. */
void cluster_violation(struct cluster *cluster, int64_t job, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void cluster_oracle_on_start(struct standin *standin, struct standin_run *run, const char *text, const char *checkpoint,
                             int late);
void cluster_oracle_on_end(struct standin *standin, const struct standin_run *run, enum standin_end how, int64_t seq);
void cluster_oracle_on_ends_acknowledged(struct standin *standin, int64_t up_to_seq);
void cluster_oracle_on_lease_expired(struct standin *standin);
void cluster_oracle_on_job_state(struct cluster *cluster, struct tracked_job *job, const char *state,
                                 const struct host *controller);
void cluster_oracle_on_job_not_found(struct cluster *cluster, struct tracked_job *job,
                                     const struct host *controller); /* a 410 response */
void cluster_oracle_on_cancel_acknowledged(struct cluster *cluster, struct tracked_job *job);
/* Checks that a response with status 200 belongs to this kind of request. member: the JSON member that its body must
 * have, NULL: the body must be empty. */
void cluster_oracle_check_response(struct cluster *cluster, int64_t job, int status, const char *body,
                                   const char *member);
void cluster_oracle_check_end(struct cluster *cluster); /* at the end of a run */
const char *standin_end_name(int64_t how);
void cluster_oracle_check_progress(struct cluster *cluster); /* cluster_progress.c; to be called repeatedly */

/* --- cluster_codec.c ---------------------------------------------------------------------------------- */
struct executor_codec;
struct api_codec;
extern const struct executor_codec cluster_executor_codec;
extern const struct api_codec cluster_api_codec;
#endif

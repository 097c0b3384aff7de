/* The seeded simulator: many machines, one virtual clock. It runs the shipped
 * cores over a network, disks and clocks with injected faults, and an oracle
 * checks the invariants. The same seed gives the same run. */
#ifndef SAGEHITCH_SIM_H
#define SAGEHITCH_SIM_H
#include "base/world.h"
#include "caller/caller.h"
#include "executor/executor.h"
#include "keeper/keeper.h"
#include "node/node.h"
#include "sim/event_queue.h"

enum { SIM_MACHINES = 256, SIM_FILES = 64, SIM_ON_TIMER_US = 20000 };
enum machine_kind { M_KEEPER, M_NODE, M_EXECUTOR, M_CALLER };

struct sim;

/* --- disk ------------------------------------------------------------------ */

/* Invariant: bytes up to synced survive a loss of power; directory entries
 * survive as of the last sync of the directory. */
struct sim_file {
    int64_t refs, synced;
    struct bytes data;
};
struct sim_dir_entry {
    char name[64];
    struct sim_file *file;
};
/* now: the directory as processes see it; durable: as it is after a loss of power. */
struct sim_disk {
    struct sim_dir_entry now[SIM_FILES], durable[SIM_FILES];
    int64_t n_now, n_durable, sync_us, stall_until_us, failing, full, syncs;
};

/* --- machines ---------------------------------------------------------------- */

struct machine {
    struct world base; /* first */
    struct sim *sim;
    enum machine_kind kind;
    int64_t index, up, generation, frozen, busy_until_us, stall_us, skew_ms, born_us, refuse_start, flush_scheduled;
    char name[16], zone[8], rack[8];
    int64_t cores, serves; /* serves: bit set of the deployment's services, 0: all */
    struct sim_disk disk;
    union {
        struct keeper keeper;
        struct node node;
        struct executor executor;
        struct caller caller;
    } core;
};

enum sim_event_kind { EVT_ON_TIMER, EVT_FRAME, EVT_REQUEST, EVT_ANSWER, EVT_TIMEOUT, EVT_ACTION, EVT_FLUSH };

typedef void sim_action(struct sim *sim, void *arg, int64_t n);
typedef void sim_answer(struct sim *sim, void *arg, int64_t tag, int status, const char *body);

struct sim_event {
    struct timed_event timed; /* first */
    int64_t generation, call;
    enum sim_event_kind kind;
    struct machine *to;
    struct bytes bytes;
    struct blob *frame;
    char *method, *path;
    int status;
    sim_action *action;
    void *arg;
};

/* An HTTP call in progress. from NULL: sent by the test itself, which on_answer then reports to. */
struct sim_call {
    int64_t id, from_generation, tag, timeout_us;
    int64_t cancelled_job, next_version; /* the job that it cancels; 1 + the settings version that it expects */
    struct machine *from, *to;
    call_done *done;
    sim_answer *on_answer;
    void *arg;
};

/* Kinds of traps besides the kinds of frames: orders to an executor; a task that is done but not yet reported. */
enum { TRAP_ORDERS = 0, TRAP_DONE = -1 };

/* Freezes or kills the sender or the receiver when a frame of a kind, or orders
 * to an executor (TRAP_ORDERS), are sent for the nth time. */
struct sim_trap {
    int64_t kind, nth, receiver, freeze_ms, power, armed, triggered;
    struct machine *victim;
};

struct oracle;

struct sim {
    uint64_t state;
    int64_t now_us, n_calls;
    struct event_queue queue;
    struct machine *machines[SIM_MACHINES];
    int64_t n;
    uint8_t cut[SIM_MACHINES][SIM_MACHINES];     /* [from][to] */
    int64_t last_us[SIM_MACHINES][SIM_MACHINES]; /* arrival of the last ordered frame, [from][to] */
    int64_t loss_pct;
    struct sim_call *calls;
    int64_t n_calls_open;
    struct sim_trap trap;
    const char *cluster;
    int64_t seeds[3], node_seeds[3]; /* addresses of the first keepers; HTTP addresses of the first nodes */
    int64_t keepers, nodes, executors;
    struct oracle *oracle;
    int64_t frames, bytes, events, event_counts[10000];
    int trace, no_oracle_requests; /* unasked: the oracle sends no requests of its own */
};

#define WALL_BASE_MS 1700000000000LL
#define MONO_BASE_MS 100000LL /* monotonic clock of a process when it starts */

/* Number of machines of each kind, cores of each executor, and the deployment's name. */
struct sim_setup {
    int keepers, nodes, executors;
    int64_t cores;
    const char *deployment;
};
void sim_start(struct sim *sim, uint64_t seed, const struct sim_setup *setup);
void sim_end(struct sim *sim);
void sim_run(struct sim *sim, int64_t ms); /* advances the virtual clock by ms */
int64_t sim_ms(const struct sim *sim);
int64_t sim_wall_ms(const struct sim *sim); /* the wall clock without skew */
uint64_t sim_random(struct sim *sim);
int64_t sim_pick(struct sim *sim, int64_t n);
void sim_at(struct sim *sim, int64_t in_ms, sim_action *action, void *arg);
struct machine *sim_machine(struct sim *sim, const char *name);
struct machine *sim_add(struct sim *sim, enum machine_kind kind, int no, int64_t cores);
void sim_boot(struct machine *machine);
void sim_kill(struct machine *machine, int power); /* power: loses data that was not synced */
void sim_restart(struct machine *machine);
void sim_wipe(struct machine *machine); /* empties the disk */
void sim_freeze(struct machine *machine, int64_t for_ms);
void sim_cut(struct sim *sim, struct machine *a, struct machine *b, int one_way);
void sim_cut_off(struct sim *sim, struct machine *machine);
void sim_heal(struct sim *sim);
int sim_is_cut(const struct sim *sim, const struct machine *machine); /* to or from any machine */
void sim_set_other_cores(struct machine *machine,
                         int64_t cores); /* cores of an executor that work outside the cluster takes */
/* An HTTP request sent by the test. answer is called with arg and tag; status 0: timed out. */
struct sim_http_request {
    struct machine *to;
    const char *method, *path, *body;
    sim_answer *answer;
    void *arg;
    int64_t tag;
};
void sim_request(struct sim *sim, struct sim_http_request http);
/* Sends a request and runs until it is answered or wait_ms, at least 9 s, have passed. Returns the status; the caller
 * frees *answer. */
int sim_request_wait(struct sim *sim, struct sim_http_request http, int64_t wait_ms, char **answer);
struct machine *sim_leader(struct sim *sim, int64_t group); /* NULL: none */
/* The leader; without one, the keeper with the highest applied index. */
struct machine *sim_most_advanced_keeper(struct sim *sim, int64_t group);
struct machine *sim_shard_owner(struct sim *sim, int64_t shard);
struct machine *sim_executor_owner(struct sim *sim, const char *executor);
const struct job *sim_job(struct sim *sim, int64_t id);
struct machine *sim_node(struct sim *sim); /* a random node that is up and not frozen */
struct caller *sim_load(struct sim *sim, int64_t per_minute, int64_t seconds);
int64_t sim_load_state(struct sim *sim, const char *state); /* number of the load's jobs in that state */

/* sim_net.c */
void sim_push(struct sim *sim, struct sim_event *event, int64_t at_us);
void sim_deliver(struct sim *sim, struct sim_event *event);
void sim_calls_net(struct world_calls *calls);
void sim_event_free(struct sim_event *event);
void sim_trap_trigger(struct sim *sim, struct machine *victim); /* fires the armed trap after the current event */

/* sim_disk.c */
void sim_calls_disk(struct world_calls *calls);
void sim_disk_power_loss(struct machine *machine);
void sim_disk_clear(struct sim_disk *disk);
void sim_disk_copy(struct sim_disk *to, const struct sim_disk *from); /* to: the durable content of from */

/* Conditions that suspend a rule for a while, each with the bound that holds
 * instead; see docs/proofs.md. Counted: a run that needs too many fails. */
enum oracle_excuse {
    EXCUSE_FROZEN,
    EXCUSE_CUT,
    EXCUSE_NO_EXECUTOR_OWNER,
    EXCUSE_NO_SHARD_OWNER,
    EXCUSE_RETURNING,
    EXCUSE_WAIVED,
    EXCUSE_COUNT
};

/* oracle*.c: checks the invariants; each violation is a line in the report. */
struct oracle *oracle_new(struct sim *sim);
void oracle_free(struct oracle *oracle);
void oracle_executor_event(void *arg, const struct exec_record *record); /* arg: struct machine */
void oracle_step(struct oracle *oracle);                                 /* called after every event */
void oracle_settings_accepted(struct oracle *oracle, int64_t version);
void oracle_settings_changed(struct oracle *oracle, int64_t expected, int64_t version);
void oracle_cancelled(struct oracle *oracle, int64_t job);
void oracle_job_state_seen(struct oracle *oracle, int64_t job, const char *state);
void oracle_executor_died(struct oracle *oracle, struct machine *machine);
/* The machine's logs are compared again from the start. */
void oracle_reset_log_checks(struct oracle *oracle, struct machine *machine);
int64_t oracle_n_violations(const struct oracle *oracle);
const char *oracle_report(const struct oracle *oracle);
int64_t oracle_starts(const struct oracle *oracle);
int64_t oracle_done(const struct oracle *oracle, int64_t job); /* number of tasks done */
int64_t oracle_n_checks(const struct oracle *oracle);
int64_t oracle_excuse_count(const struct oracle *oracle, enum oracle_excuse which);
const char *oracle_excuse_name(enum oracle_excuse which);
void oracle_other_cores_changed(struct oracle *oracle, struct machine *machine, int64_t cores);
void oracle_accepted(struct oracle *oracle, int64_t job);
int64_t oracle_settings_hash(const struct config_tree *config_tree);
int64_t oracle_last_fault_ms(const struct oracle *oracle);             /* when a fault last began or ended */
void oracle_report_violation(struct oracle *oracle, const char *what); /* a violation found elsewhere */

/* service.c: runs until new jobs are accepted and done - one for each shard, sent
 * through all live nodes in turn, one with a start time, a gang, and one for each
 * healthy rack - and every healthy executor has an owner. Returns the time taken:
 * more than 12 s is a violation; it runs for limit_ms at most. */
int64_t sim_wait_for_service(struct sim *sim, const char *tag, int64_t limit_ms);

/* close.c: the check at the end of a run. Ends all faults, restarts all machines
 * after a loss of power and checks that everything promised still holds. */
void sim_check_final_state(struct sim *sim);
#endif

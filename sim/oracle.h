/* Internals of the oracle: its own record of what the executors did and of what
 * callers and operators were promised. For oracle*.c, close.c and service.c. */
#ifndef SAGEHITCH_SIM_ORACLE_H
#define SAGEHITCH_SIM_ORACLE_H
#include "sim/sim.h"

/* How long after an event the state that a rule demands may take. */
enum { LEAVE_START_MS = 2000, CANCEL_START_MS = 3000, CANCEL_STOP_MS = 1200, EARLY_MS = 100, SETTINGS_MS = 2000 };
enum {
    GANG_MS = 2000,
    JOB_KNOWN_MS = 3000,
    SERVICE_RESTORE_MS = 12000,
    ROOM_REPORT_MS = 1500,
    LEASE_EXPIRY_MARGIN_MS = 1500,
    OTHER_CORES_CHANGES = 8
};

/* A task as the executors ran it. failed: number of failed attempts. */
struct seen_task {
    int64_t job, no, running, done, failed, starts, cores, mem_mb, start_ms;
    struct machine *executor; /* of the last start */
};
/* A settings version that a keeper accepted from an operator. */
struct accepted_settings {
    int64_t version, at_ms;
    uint64_t reported[SIM_MACHINES / 64]; /* bit set of the machines whose older version was reported as a violation */
};
/* checks_made: 1 after the check at CANCEL_STOP_MS; 2 after the check at the end of the leases, which excuses only
 * executors that are frozen. */
struct cancelled_job {
    int64_t job, at_ms, checks_made;
};
/* A gang of which a task started; first_ms: its first start. checks_made: as in cancelled_job, from GANG_MS. */
struct started_gang {
    int64_t job, step, first_ms, checks_made;
};
/* A job that a node answered with 201 or 200: it must stay known. query_rounds: how often the nodes were queried. */
struct accepted_job {
    int64_t job, at_ms, query_rounds;
};
/* A request for the state of an accepted job, sent to one node. */
struct job_query {
    int64_t job, accepted_ms, is_repeat;
    struct machine *node;
};
/* Cores of an executor that work outside the cluster took until at_ms. */
struct other_cores_change {
    int64_t cores, at_ms;
};

struct oracle {
    struct sim *sim;
    struct seen_task *tasks;
    int64_t n_tasks;
    Pvoid_t task_index; /* JudyL: job and task number -> index in tasks + 1 */
    struct accepted_settings *accepted_settings;
    int64_t n_accepted_settings;
    struct cancelled_job *cancelled_jobs;
    int64_t n_cancelled_jobs;
    struct started_gang *gangs;
    int64_t n_gangs;
    struct accepted_job *accepted_jobs;
    int64_t n_accepted_jobs;
    struct job_query *job_queries;
    int64_t n_job_queries;
    Pvoid_t accepted_index; /* JudyL: job -> index in accepted_jobs + 1 */
    int64_t settings_versions[SIM_MACHINES], settings_generations[SIM_MACHINES], leaving_ms[SIM_MACHINES];
    struct other_cores_change other_cores_changes[SIM_MACHINES][OTHER_CORES_CHANGES];
    /* last time at which an executor was frozen, its owner could not act, the owner of a shard could not act */
    int64_t executor_frozen_ms[SIM_MACHINES], owner_unavailable_ms[SIM_MACHINES], shard_unavailable_ms[SHARD_COUNT];
    Pvoid_t settings_hashes;                          /* JudyL: version -> hash of the settings' content */
    Pvoid_t entry_hashes[GROUP_COUNT];                /* JudyL: log index -> hash of the entry applied there */
    int64_t checked_index[SIM_MACHINES][GROUP_COUNT]; /* last log index compared by entry_hashes */
    /* faults of keepers and nodes: their hash, and when one last began or ended or no majority was connected */
    uint64_t fault_hash;
    int64_t last_fault_ms;
    int64_t n_checks, excuse_counts[EXCUSE_COUNT];
    int64_t n_violations, starts, next_step_ms;
    struct bytes report;
};

void oracle_violation(struct oracle *oracle, const char *format, ...) __attribute__((format(printf, 2, 3)));
struct seen_task *oracle_task(struct oracle *oracle, int64_t job, int64_t no);
int oracle_settings(struct oracle *oracle, const struct job *job, struct settings *settings);
int oracle_excuse(struct oracle *oracle, enum oracle_excuse which); /* counts the excuse; returns 1 */

/* oracle_promises.c */
void oracle_watch_settings(struct oracle *oracle, struct machine *machine, int64_t now_ms);
void oracle_watch_log(struct oracle *oracle, struct machine *machine, int64_t group);
void oracle_watch_gangs(struct oracle *oracle, int64_t now_ms);
void oracle_watch_cancels(struct oracle *oracle, int64_t now_ms);

/* oracle_known.c */
void oracle_query_jobs(struct oracle *oracle, int64_t now_ms);
void oracle_watch_faults(struct oracle *oracle, int64_t now_ms);
#endif

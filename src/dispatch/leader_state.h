/* State and internal functions of dispatch on the leader, shared by leader*.c. The state is volatile: it is derived
 * from the record and from agents' reports, and is freed when leadership ends. */
#ifndef SAGEHITCH_DISPATCH_LEADER_STATE_H
#define SAGEHITCH_DISPATCH_LEADER_STATE_H
#include "dispatch/leader.h"

enum {
    REPORT_MAX_AGE_MS = 1000,         /* an agent whose newest report is older gets no new work */
    EXECUTOR_SILENT_MAX_MS = 600,     /* an executor that has not answered its agent for longer gets no new work */
    RENEWAL_SILENT_MAX_MS = 1500,     /* the lease of an executor that has been silent for longer is not renewed */
    RESEND_MS = 250,                  /* an order without visible effect is sent again after this time */
    LEASE_MARGIN_MS = 300,            /* runs count as ended this long after their lease has expired */
    FORMER_LEADER_GRANT_MS = 1000,    /* how long into this term a former leader may still grant leases */
    GANG_START_MAX_MS = 1500,         /* all members of a gang must be reported running within this time */
    GANG_START_MAX_PCT = 50,          /* and within this share of gang_timeout_ms */
    STALL_TIMEOUT_MS = 2500,          /* a run without progress for longer is stopped and placed again */
    RESTORE_MARGIN_MS = 1900,         /* a run counts as stalled at the earliest this long after restore_ms */
    PLACEMENTS_MAX = 400,             /* in one planning round */
    STATE_WAIT_MS = 100,              /* how long a read of a job's state waits for ends that preceded it */
    POLL_DELAY_BLOCKED_MS = 10,       /* poll delay of agents while tasks wait for capacity */
    POLL_DELAY_IDLE_MS = 50,          /* poll delay otherwise; longer because polls are expensive */
    LIVE_JOBS_MAX = 4000,             /* further jobs are refused with ERROR_OVERLOAD */
    SMALL_JOB_BYTES_MAX = 64 << 10,   /* larger jobs may take half of the memory for live jobs */
    WALL_JUMP_MIN_MS = 200,           /* larger steps of the time of day against the steady clock count as jumps */
    WALL_JUMP_CONFIRM_MAX_MS = 60000, /* a jump that has lasted this long is accepted in any case */
    FORGET_DELAY_MS = 60000           /* an ended job is removed this long after its state can no longer be read */
};

/* A run: the leader's view of a PLACED row. Invariants: incarnation_state of the row's incarnation has the run exactly
 * while the row is PLACED. ending is set while an op that ends the run is being committed; its capacity counts as free
 * from then on, because a placement that uses it is committed after that op. */
struct run {
    struct job *job;
    int64_t row_index, task, attempt, incarnation;                 /* task: task_of() number */
    int64_t placed_ms, sent_ms, stop_sent_ms, seen_ms, started_ms; /* steady clock, 0: not yet */
    int64_t percent, percent_ms;                                   /* newest progress, and since when; -1: none */
    int64_t start_orders_number; /* number of the newest orders that contained its start */
    int64_t end_seq;             /* sequence number of its end at the executor, 0: none reported */
    int stopping;                /* a stop has been requested */
    int ending;                  /* its end is being committed */
    int end_pending;             /* its end as DONE is being committed: counted in n_ends_pending of its step */
    int acknowledged;            /* the newest report shows that the agent has the order to start it */
    int refused;                 /* the executor refused to start it */
    int capacity_counted;        /* its capacity is counted in incarnation_state */
};

/* The leader's view of the entry of record->incarnations with the same index: its runs and the capacity they use.
 * grant_ms: the latest time at which its lease may have been renewed. All its runs have ended once the lease and
 * LEASE_MARGIN_MS have passed since. */
struct incarnation_state {
    struct run *runs;
    int64_t n, grant_ms, cpu_milli, memory_mb, gpus;
};

/* The leader's view of an agent and its executor, from the newest report.
 * *_reserved: capacity of placements that are not committed yet. */
struct executor_view {
    int64_t agent, boot, stamp_ms; /* boot, stamp_ms: of the newest report, as in struct agent_report */
    int64_t received_ms;           /* when the newest report was received, steady clock */
    int64_t epoch, present, ready; /* ready: under this leader's epoch */
    struct executor_state executor;
    int64_t cpu_reserved, memory_reserved, gpus_reserved;
    int64_t dirty;               /* orders must be sent at the next flush */
    int64_t duration_pct;        /* mean duration of its runs in percent of the duration on other executors */
    int64_t failure_pct;         /* mean share of runs that failed, stalled or were refused */
    int64_t quarantine_until_ms; /* the executor gets no new work before this time, steady clock; 0: none */
    char **lost_incarnations;    /* reported as lost, to be acknowledged: nothing is placed on them */
    int64_t n_lost_incarnations;
    struct run_ref *orphan_runs; /* reported as running without a PLACED row: to be stopped */
    int64_t n_orphan_runs;
    int64_t committed_seq;       /* ends up to this seq were acknowledged as committed */
    int64_t newest_seq;          /* largest seq in its reports */
    struct run_ref *absent_runs; /* ends without seq, and refusals, of runs that are not placed: to be acknowledged */
    int64_t n_absent_runs;
};

/* The leader's view of one step in one repetition. n_ended, ended_ms: number of runs that ended as DONE, and the sum of
 * their durations, converted to the rack of their data; n_ends_pending: runs whose end as DONE is being committed. */
struct step_progress {
    int64_t n_ended, ended_ms, n_ends_pending;
};

/* The CPU demand of a queue. cpu_milli: used by its runs now, in thousandths of a core; mean_micro_cpu: moving average
 * of what it uses and what its blocked tasks request, in millionths of a core. */
struct queue_demand {
    int64_t cpu_milli, mean_micro_cpu;
};

/* A request that waits for the result of an op of a batch. kind: enum request_kind; op: index into the batch's ops. */
struct waiter {
    int64_t ticket, kind, op;
};
/* Capacity for a placement in a batch that is not committed yet, on the agent's incarnation of that name (owned). */
struct reservation {
    struct job *job;
    int64_t row_index, agent, cpu_milli, memory_mb, gpus;
    char *incarnation;
};
/* Ops to be committed together, and the state that depends on their outcome. ends: the runs that its OP_END ops end.
 * job_bytes: what the jobs of its OP_JOB ops will take. */
struct batch {
    struct record_batch ops;
    struct waiter *waiters;
    int64_t n_waiters;
    struct reservation *reservations;
    int64_t n_reservations;
    struct run_ref *ends;
    int64_t n_ends;
    int64_t job_bytes;
};
/* A read request that is not answered yet. until_ms 0: it waits for the read barrier; else it waits until this time for
 * ends that are not committed yet. */
struct pending_read {
    int64_t ticket, until_ms;
    struct api_request request;
};

/* The dispatch of one controller. Lists and Judy arrays are owned; world and record are borrowed. */
struct dispatch {
    struct world *world;
    struct record *record;
    struct dispatch_settings settings;
    struct dispatch_calls calls;
    int64_t epoch, leading, lead_since_ms;
    int64_t last_orders_number; /* number of the newest orders sent, over all agents */
    struct incarnation_state *incarnation_states;
    int64_t n_incarnation_states;
    struct executor_view **executor_views;
    int64_t n_executor_views;
    struct queue_demand *queue_demands;           /* by queue of the record */
    int64_t n_queue_demands, *headroom_cpu_milli; /* headroom_cpu_milli: see struct plan_input */
    struct batch *open_batch;                     /* ops to be proposed at the next flush */
    struct slab batches;                          /* of struct batch *, proposed and not committed; by tag */
    int64_t pending_job_bytes;                    /* sum of job_bytes of the batches, the open one among them */
    struct slab pending_reads;                    /* of struct pending_read, by tag */
    Pvoid_t busy;                                 /* Judy1: row_key() of rows in reservations */
    Pvoid_t run_incarnations;                     /* JudyL: row_key() -> incarnation whose state has the run */
    Pvoid_t steps;                /* JudyL: row_key() of the step's first row -> struct step_progress, owned */
    Pvoid_t agent_executor_views; /* JudyL: agent -> executor view */
    /* plan_needed: a planning round must run at the next flush; next_plan_ms: it runs at this time at the latest */
    int64_t plan_needed, next_plan_ms;
    /* times of the next preemption, removal of ended jobs and periodic checks; last_tick_ms: the newest timer tick */
    int64_t next_preempt_ms, last_tick_ms, next_forget_ms, next_watch_ms;
    struct plan plan; /* reused between rounds, which saves allocations */
    struct candidate *candidates;
    int64_t n_candidates;
    int64_t wall_offset_ms; /* accepted offset of the time of day to the steady clock */
    /* steady clock at which that offset, and a jump that is not accepted yet (0: none), were first observed */
    int64_t wall_offset_since_ms, wall_jump_since_ms;
    int64_t typical_pct; /* mean duration of runs in percent of earlier runs of their step */
};

/* Key of a row in busy and run_incarnations. */
static inline uint64_t row_key(const struct job *job, int64_t row_index)
{
    return (uint64_t)job->index << 15 | (uint64_t)row_index;
}

/* leader.c */
/* The CPU demand of a queue of the record; the pointer is valid until the next call. */
struct queue_demand *queue_demand(struct dispatch *dispatch, int64_t queue);
/* Adds an op to the open batch, with the time of day; the pointer is valid until the next call. */
struct record_op *dispatch_op(struct dispatch *dispatch);
/* Answers a request of this kind (enum request_kind) with an error, or with ERROR_NONE if the response has no content.
 * detail may be NULL. */
void dispatch_answer(struct dispatch *dispatch, int64_t ticket, int64_t kind, int error, const char *detail);
/* Adds the run of a row that became PLACED; removes the run of a row that is PLACED no longer. */
void run_add(struct dispatch *dispatch, struct job *job, int64_t row_index);
void run_drop(struct dispatch *dispatch, struct job *job, int64_t row_index);
/* Counts a run's capacity as used (sign 1) or free (-1); a second call with the same sign has no effect. */
void run_count_capacity(struct dispatch *dispatch, struct run *run, int64_t sign);
/* The run of this reference, or of this row; NULL: there is none. The pointer is valid until a run is added or
 * dropped. */
struct run *run_find(struct dispatch *dispatch, int64_t incarnation, const struct run_ref *ref);
struct run *run_of_row(struct dispatch *dispatch, const struct job *job, int64_t row_index);
/* Index of the incarnation of this name, -1: nothing is placed on it. */
int64_t incarnation_find(const struct dispatch *dispatch, const char *name);
/* Proposes the end of a run; how: enum run_end; checkpoint: its newest one or NULL. */
void run_end(struct dispatch *dispatch, struct run *run, int64_t how, const char *checkpoint);
/* Marks a run to be stopped; the order is sent at the next flush. */
void run_stop(struct dispatch *dispatch, struct run *run);
/* Stops all runs of the gang that the row belongs to, if any. */
void run_gang_stop(struct dispatch *dispatch, struct job *job, int64_t row_index);
/* Proposes the end of all runs of an incarnation as lapsed, except runs whose start was last sent in orders with a
 * number above orders_taken. Returns how many. */
int64_t incarnation_lapse_runs(struct dispatch *dispatch, int64_t incarnation, int64_t orders_taken);
/* Does so for an incarnation that did not respond until its leases had expired, and logs it. */
void incarnation_lapse_silent(struct dispatch *dispatch, int64_t incarnation, int64_t orders_taken);

/* leader_requests.c */
/* Answers a read request from the current record. */
void requests_answer_read(struct dispatch *dispatch, int64_t ticket, const struct api_request *request);
/* Answers pending reads that need not wait any longer. */
void requests_flush(struct dispatch *dispatch);

/* leader_executor_views.c */
/* The view of an agent; created if there is none. */
struct executor_view *executor_view_of(struct dispatch *dispatch, int64_t agent);
/* The view whose executor has this incarnation now, NULL: none. */
struct executor_view *executor_view_of_incarnation(struct dispatch *dispatch, int64_t incarnation);
/* Whether the executor may be given new work. */
int executor_view_accepts_work(const struct dispatch *dispatch, const struct executor_view *view);
/* Counts a success or a failure, weight times, and quarantines the executor if too many runs fail on it. */
void executor_view_count_outcome(struct dispatch *dispatch, struct executor_view *view, int64_t failed, int64_t weight);
void executor_view_free(struct executor_view *view);
/* The seq up to which all ends of the incarnation (-1: none placed) are committed; never decreases. */
int64_t executor_view_committed_seq(const struct dispatch *dispatch, struct executor_view *view, int64_t incarnation);

/* leader_steps.c */
/* Updates duration_pct of the executor after a run ended as DONE on it: the run is compared with other runs of the same
 * step, whose work is alike. Estimates are not used, because they may be far off. */
void step_learn_duration(struct dispatch *dispatch, struct executor_view *view, const struct run *run);
/* Counts a run whose end as DONE is being committed; undoes this once the end was committed or dropped. */
void step_end_pending(struct dispatch *dispatch, struct run *run);
void step_end_settled(struct dispatch *dispatch, struct run *run);
/* How many runs of the step with this first row have such a pending end. */
int64_t step_ends_pending(const struct dispatch *dispatch, const struct job *job, int64_t first);
/* Frees the progress of the steps of a job that is over, or of all jobs. */
void steps_forget(struct dispatch *dispatch, const struct job *job);
void steps_forget_all(struct dispatch *dispatch);

/* leader_orders.c */
/* Sends an agent its orders. stamp_ms: stamp of the report that they answer, 0: they answer none. */
void orders_send(struct dispatch *dispatch, struct executor_view *view, int64_t stamp_ms);
/* Announces the new leader to each agent in the record, with orders that start and stop nothing. */
void orders_announce(struct dispatch *dispatch);

/* leader_watch.c */
/* Runs the leader's periodic checks, at most every WATCH_MS. */
void watch_on_timer(struct dispatch *dispatch);
/* Time of day in ms: the steady clock plus the accepted offset. */
int64_t dispatch_wall_ms(const struct dispatch *dispatch);
/* Updates the offset from the machine's time of day; a jump is accepted only after it has lasted for some time. */
void update_wall_offset(struct dispatch *dispatch);

/* leader_place.c */
/* Runs one planning round, proposes its placements, and preempts runs if more urgent work is blocked. */
void place_round(struct dispatch *dispatch);
#endif

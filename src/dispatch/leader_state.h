/* State and internal functions of the leader's side of dispatch, shared by leader*.c. All of it is volatile: derived
 * from the record and from agents' reports, and lost when leadership ends. */
#ifndef SAGEHITCH_DISPATCH_LEADER_STATE_H
#define SAGEHITCH_DISPATCH_LEADER_STATE_H
#include "dispatch/leader.h"

enum {
    FRESH_MS = 1000,        /* an agent whose last report is older gets no new work */
    SILENT_MS = 600,        /* nor does an executor that has not answered its agent for longer, */
    GRANT_SILENT_MS = 1500, /* and from then on its lease is not renewed */
    RESEND_MS = 250,        /* an order without visible effect is sent again */
    LAPSE_MARGIN_MS = 300,  /* beyond the lease, until its runs are taken to have ended */
    TAKEOVER_MS = 1000,     /* a former leader may have granted leases so long into our term */
    GATHER_MS = 1500,       /* all members of a gang must be reported running within this, */
    GATHER_PCT = 50,        /* and within this share of gang_timeout_ms */
    STALL_MS = 2500,        /* a run without progress for longer is stopped and placed anew, */
    RESTORED_MS = 1900,     /* but not within this time after its restore may have ended */
    PLACEMENTS_MAX = 400,
    STATE_WAIT_MS = 100, /* a read of a job's state waits so long for ends that preceded it */
    PACE_BUSY_MS = 10,   /* poll interval of agents while tasks wait for room, */
    PACE_CALM_MS = 50,   /* and otherwise: polls are expensive */
    LIVE_JOBS_MAX = 4000,
    WALL_JUMP_MS = 200,    /* larger steps of the time of day against the steady clock are jumps, */
    WALL_DOUBT_MS = 60000, /* accepted after so long at the latest */
    FORGET_MS = 60000
};

/* A run: the leader's view of a PLACED row. Invariants: a run exists in the state of the row's incarnation exactly
 * while the row is PLACED; ending is set while an op that ends it is being committed, and its room counts as free
 * then, since whatever is placed there is committed after that op. */
struct run {
    struct job *job;
    int64_t no, task, attempt, incarnation;                        /* no: index of its row; task: task_of() number */
    int64_t placed_ms, sent_ms, stop_sent_ms, seen_ms, started_ms; /* steady clock, 0: not yet */
    int64_t percent, percent_ms;                                   /* newest progress, and since when; -1: none */
    int64_t sent_no; /* number of the orders that last contained its start */
    int64_t end_seq; /* sequence number of its end at the executor, 0: none reported */
    int stopping;    /* to be stopped */
    int ending;      /* its end is being committed */
    int end_pending; /* and it is DONE: counted in n_ends_pending of its step */
    int known;       /* the newest report shows that the agent has the order */
    int refused;     /* the executor refused to start it */
    int holds;       /* its room is counted in incarnation_state */
};

/* The leader's view of the entry of record->incarnations with the same index: its runs and the room they take.
 * grant_ms: the latest time at which its lease may have been renewed; lease and margin later all runs have ended. */
struct incarnation_state {
    struct run *runs;
    int64_t n, grant_ms, cpu_milli, memory_mb, gpus;
};

/* The leader's view of an agent and its executor, from the newest report.
 * *_reserved: room of placements that are not committed yet. */
struct executor_view {
    int64_t agent, boot;           /* as in struct agent_report */
    int64_t received_ms;           /* when the newest report came, steady clock */
    int64_t epoch, present, ready; /* ready: under this leader's epoch */
    struct executor_state executor;
    int64_t cpu_reserved, memory_reserved, gpus_reserved;
    int64_t dirty;               /* orders are to be sent at the next flush */
    int64_t duration_pct;        /* mean duration of runs in percent of that elsewhere */
    int64_t bad_pct;             /* mean share of runs that failed, stalled or were refused */
    int64_t quarantine_until_ms; /* gets no new work before, steady clock; 0: none */
    char **lost_incarnations;
    int64_t n_lost_incarnations;
    struct run_ref *orphan_runs; /* reported as running without a PLACED row: to be stopped */
    int64_t n_orphan_runs;
    int64_t seen;                /* ends up to this seq were acknowledged as committed */
    int64_t newest_seq;          /* largest seq in its reports */
    struct run_ref *absent_runs; /* ends without seq and refusals to be acknowledged */
    int64_t n_absent_runs;
};

/* The leader's view of one step in one repetition. n_ended, ended_ms: runs that ended as DONE, and the sum of their
 * durations as if near their data; n_ends_pending: runs whose end as DONE is being committed. */
struct step_progress {
    int64_t n_ended, ended_ms, n_ends_pending;
};

/* CPU used by a queue's runs, in thousandths of a core, and the moving average of what it uses and waits for, in
 * millionths. */
struct queue_use {
    int64_t cpu_milli, mean_micro;
};

/* A request that waits for the result of an op of a batch. kind: enum request_kind; op: index into the batch's ops. */
struct waiter {
    int64_t ticket, kind, op;
};
/* Room of a placement in a batch that is not committed yet, on the agent's incarnation of that name. */
struct reservation {
    struct job *job;
    int64_t no, agent, cpu_milli, memory_mb, gpus;
    char incarnation[72];
};
/* Ops to be committed together, with what depends on the outcome. ends: runs that OP_END ops in it end. */
struct batch {
    struct record_batch ops;
    struct waiter *waiters;
    int64_t n_waiters;
    struct reservation *reservations;
    int64_t n_reservations;
    struct run_ref *ends;
    int64_t n_ends;
};
/* A read that waits for the read barrier or, if until_ms is set, until then for ends not committed yet. */
struct reader {
    int64_t ticket, until_ms;
    struct api_request request;
};

/* All of one controller's dispatch. Lists and Judy arrays are owned; world and record are borrowed. */
struct dispatch {
    struct world *world;
    struct record *record;
    struct dispatch_settings settings;
    struct dispatch_calls calls;
    int64_t epoch, leading, lead_since_ms;
    int64_t orders_no; /* number of the newest orders sent, over all agents */
    struct incarnation_state *incarnation_states;
    int64_t n_incarnation_states;
    struct executor_view **executor_views;
    int64_t n_executor_views;
    struct queue_use *uses;       /* by queue of the record */
    int64_t n_uses, *keep_free;   /* keep_free: see struct plan_input */
    struct batch *open;           /* gathers until the next flush */
    struct slab batches;          /* of struct batch *, proposed and not committed; by tag */
    struct slab readers;          /* of struct reader, by tag */
    Pvoid_t busy;                 /* Judy1: row_key() of rows in reservations */
    Pvoid_t run_incarnations;     /* JudyL: row_key() -> incarnation whose state has the run */
    Pvoid_t steps;                /* JudyL: row_key() of the step's first row -> struct step_progress, owned */
    Pvoid_t agent_executor_views; /* JudyL: agent -> executor view */
    int64_t plan_due, plan_at_ms; /* a planning round is due now; at the latest at */
    int64_t preempt_ms, timer_ms, forget_ms, watch_ms; /* when next, or (timer_ms) the newest tick */
    struct plan plan;                                  /* reused between rounds, saves allocations */
    struct candidate *candidates;
    int64_t n_candidates;
    int64_t wall_ahead_ms;                /* accepted offset of the time of day to the steady clock */
    int64_t wall_since_ms, wall_doubt_ms; /* accepted since; a jump is being observed since, 0: none */
    int64_t typical_pct;                  /* mean duration of runs in percent of earlier ones of their step */
};

/* Key of a row in busy and run_incarnations. */
static inline uint64_t row_key(const struct job *job, int64_t no) { return (uint64_t)job->index << 15 | (uint64_t)no; }

/* leader.c */
/* The use of a queue of the record; the pointer is valid until the next call. */
struct queue_use *queue_use(struct dispatch *dispatch, int64_t queue);
/* Adds an op to the open batch, stamped with the time of day; valid until the next call. */
struct record_op *dispatch_op(struct dispatch *dispatch);
/* Answers a request of this kind (enum request_kind) with an error, or ERROR_NONE where no more is told than that it
 * succeeded. detail may be NULL. */
void dispatch_answer(struct dispatch *dispatch, int64_t ticket, int64_t kind, int error, const char *detail);
/* The row became PLACED, or is no longer. */
void run_add(struct dispatch *dispatch, struct job *job, int64_t no);
void run_drop(struct dispatch *dispatch, struct job *job, int64_t no);
/* Takes (sign 1) or gives back (-1) a run's room; twice in a row has no effect. */
void run_room(struct dispatch *dispatch, struct run *run, int64_t sign);
/* NULL: there is no such run. Pointers to runs are valid until one is added or dropped. */
struct run *run_find(struct dispatch *dispatch, int64_t incarnation, const struct run_ref *ref);
struct run *run_of_row(struct dispatch *dispatch, const struct job *job, int64_t no);
/* Index of the incarnation of this name, -1: nothing is placed on it. */
int64_t incarnation_find(const struct dispatch *dispatch, const char *name);
/* Proposes the end of a run; how: enum run_end; saved may be NULL. */
void run_end(struct dispatch *dispatch, struct run *run, int64_t how, const char *checkpoint);
/* Marks a run to be stopped; the order is sent at the next flush. */
void run_stop(struct dispatch *dispatch, struct run *run);
/* If the row belongs to a gang, stops all runs of the gang. */
void run_gang_stop(struct dispatch *dispatch, struct job *job, int64_t no);
/* Ends all runs of an incarnation as lapsed, except those whose start was last sent in orders after
 * number orders_taken. */
void incarnation_lapsed(struct dispatch *dispatch, int64_t incarnation, int64_t orders_taken);

/* leader_requests.c */
/* Answers a read request from the record as it is now. */
void requests_answer_read(struct dispatch *dispatch, int64_t ticket, const struct api_request *request);
/* Answers reads whose wait is over. */
void requests_flush(struct dispatch *dispatch);

/* leader_executor_views.c */
/* The view of an agent, created where there is none. */
struct executor_view *executor_view_of(struct dispatch *dispatch, int64_t agent);
/* The view whose executor is this incarnation now, NULL: none. */
struct executor_view *executor_view_of_incarnation(struct dispatch *dispatch, int64_t incarnation);
/* Whether the executor may be given new work. */
int executor_view_open(const struct dispatch *dispatch, const struct executor_view *view);
/* Counts a good or bad outcome, weight times, and may quarantine the executor. */
void executor_view_judge(struct dispatch *dispatch, struct executor_view *view, int64_t bad, int64_t weight);
void executor_view_free(struct executor_view *view);
/* The seq up to which all ends of the incarnation (-1: none placed) are committed; never falls. */
int64_t executor_view_seen(const struct dispatch *dispatch, struct executor_view *view, int64_t incarnation);

/* leader_steps.c */
/* A run ended as DONE: updates the pace of its executor, relative to the others, from runs of the same step, whose work
 * is alike. Estimates may be far off, and say nothing of an executor. */
void step_pace_learn(struct dispatch *dispatch, struct executor_view *view, const struct run *run);
/* The run's end as DONE is being committed; it is committed, or was not. */
void step_end_pending(struct dispatch *dispatch, struct run *run);
void step_end_settled(struct dispatch *dispatch, struct run *run);
/* How many runs of the step whose first row this is have such an end. */
int64_t step_ends_pending(const struct dispatch *dispatch, const struct job *job, int64_t first);
/* Forgets the steps of a job that is over, or of all jobs. */
void steps_forget(struct dispatch *dispatch, const struct job *job);
void steps_forget_all(struct dispatch *dispatch);

/* leader_orders.c */
/* Sends an agent its orders. stamp_ms: of the report they answer, 0: of none. */
void orders_send(struct dispatch *dispatch, struct executor_view *view, int64_t stamp_ms);
/* Tells each agent known to the record of the new leader, without orders. */
void orders_announce(struct dispatch *dispatch);

/* leader_watch.c */
/* The periodic checks of a leader, at most every WATCH_MS. */
void watch_on_timer(struct dispatch *dispatch);
/* Time of day in ms: the steady clock plus the accepted offset. */
int64_t dispatch_wall_ms(const struct dispatch *dispatch);
/* Follows the machine's time of day; a jump is accepted only after it has lasted. */
void watch_wall(struct dispatch *dispatch);

/* leader_place.c */
/* Plans one round, proposes its placements and preempts where urgent work is blocked. */
void place_round(struct dispatch *dispatch);
#endif

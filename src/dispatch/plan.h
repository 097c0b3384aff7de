/* The planner: decides which waiting tasks start now, and on which executor. It reads the record and the candidates and
 * returns placements. It changes only the free capacity of the candidates (cpu_free, memory_free, gpus_free), so that a
 * round uses no capacity twice. */
#ifndef SAGEHITCH_DISPATCH_PLAN_H
#define SAGEHITCH_DISPATCH_PLAN_H
#include "dispatch/record.h"

/* An executor as the planner sees it; strings are borrowed. Its free capacity is its total, less the requests of all
 * PLACED rows on it (including rows that are being stopped), less the leader's reservations. */
struct candidate {
    char *incarnation, *service, *zone, *rack;
    char **labels;
    int64_t n_labels;
    int64_t agent, incarnation_no; /* incarnation_no: index into record->incarnations, -1: none yet */
    int64_t cpu_milli, memory_mb, gpus, cpu_free, memory_free, gpus_free;
    int64_t open;         /* accepts new work: ready, not draining, not quarantined */
    int64_t departs_ms;   /* when it will leave the cluster, steady clock; INT64_MAX: not planned */
    int64_t duration_pct; /* duration of tasks on it in percent of the duration on other executors */
    int64_t failures;     /* recent failures and refusals, decayed; each makes it less preferred */
};

/* One task placed on a candidate; a gang has one placement for each member. candidate: index into the candidates. */
struct placement {
    struct job *job;
    int64_t repetition, step;
    int64_t row_index; /* index of its row */
    int64_t attempt;
    int64_t candidate;
};
/* The input of a round, all borrowed. */
struct plan_input {
    const struct record *record;
    struct candidate *candidates;
    int64_t n_candidates;
    int64_t now_ms, wall_ms, early_ms; /* steady clock; time of day; how long before its due time work may start */
    int64_t remote_data_pct; /* duration of a task outside the rack of its data, in percent of that inside it */
    int64_t max_placements;  /* limit of the placements in one round */
    /* by queue: thousandths of a core of its service that the queue leaves free for more urgent queues, as long as its
     * own work has spare time; NULL: none */
    const int64_t *headroom_cpu_milli;
    /* whether a change of this row is in progress: a WAITING row is being placed, a PLACED row is being stopped */
    int (*busy)(void *arg, const struct job *job, int64_t row_index);
    /* how many PLACED rows of the step with this first row become DONE by ops proposed before the ops of this round;
     * NULL: none */
    int64_t (*ends_pending)(void *arg, const struct job *job, int64_t first);
    void *arg;
};
struct plan_round;
/* The result of a round. Zeroed by the caller before the first round, and reused by later rounds to save allocations;
 * freed with plan_free(). A round ends early at a gang that exceeds the rest of its limit of placements. A gang that
 * exceeds the whole limit is placed by a round that has placed nothing else. */
struct plan {
    struct plan_round *round; /* internal */
    struct placement *placements;
    int64_t n;
    int64_t next_due_ms;        /* time of day at which the next repetition may start; INT64_MAX: none */
    int64_t blocked;            /* number of blocked tasks: ready to start, but without free capacity */
    int64_t *blocked_cpu_milli; /* by queue: total CPU request of its blocked tasks; owned, cap_blocked entries */
    int64_t cap_blocked;
    int64_t blocked_ms;       /* how long the most urgent blocked task has waited */
    int64_t blocked_priority; /* priority of the most urgent blocked task; INT64_MAX: none */
};
/* Runs one round. */
void plan_make(const struct plan_input *input, struct plan *plan);
void plan_free(struct plan *plan);
/* Whether the job can run at all: 0 if a step would not fit even if all executors of the service were empty; 1 as long
 * as no executor of the service is known. */
int plan_could_fit(const struct plan_input *input, const struct job_spec *spec, const char *service);
/* A placed row to be preempted. */
struct victim {
    struct job *job;
    int64_t row_index;
};
/* Chooses placed rows to preempt so that the most urgent blocked tasks fit: only rows of less urgent queues, and first
 * those that lose the fewest core-milliseconds; steps that save checkpoints lose less. Fills up to max_victims victims,
 * in no particular order, and returns their number. busy() must already report the rows that plan_make() has placed. */
int64_t plan_victims(const struct plan_input *input, struct victim *victims, int64_t max_victims);
#endif

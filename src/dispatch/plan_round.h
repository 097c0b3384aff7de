/* State and internal functions of a planning round, shared by plan*.c and rules/outlet_limits.c. */
#ifndef SAGEHITCH_DISPATCH_PLAN_ROUND_H
#define SAGEHITCH_DISPATCH_PLAN_ROUND_H
#include "dispatch/plan.h"

/* How late an entry is: it can still end within the job's target, or probably cannot, or is several targets old. */
enum lateness { IN_TIME, LATE, HOPELESS };

/* A step of one repetition that is ready to start and has WAITING rows. Entries are placed in their order; the target
 * is the time within which a job must end to be in time. */
struct plan_entry {
    struct job *job;
    int64_t repetition, step;
    int64_t since_ms;          /* start of its waiting time, time of day; older entries go first */
    int32_t urgency;           /* the queue's priority less the ageing bonus; 0 goes first */
    int64_t spare_ms;          /* time left until it must start to be in time, by the estimate of the step */
    int64_t slack_ms;          /* time left to the target, less the estimate of the remaining chain of steps */
    int64_t waiting_cpu_milli; /* total CPU request of its waiting tasks */
    int32_t lateness;          /* enum lateness */
    int32_t service;           /* index into services, -1: it has no executors */
};

/* Totals over a service's executors that accept new work. Invariant: max_cpu, max_memory and max_gpus are upper bounds
 * of the free capacity of each of them. failed: steps that did not fit; a step that requests at least as much does not
 * fit either. */
enum { FAILED_MAX = 8 };
struct plan_service {
    const char *name;
    int64_t max_cpu, max_memory, max_gpus, total_cpu, free_cpu;
    const struct step_spec *failed[FAILED_MAX];
    int64_t n_failed;
    int64_t reserved; /* capacity is reserved for a blocked entry in this round */
};

/* State of a candidate in a round. cost and used apply to the step of the last plan_rate_candidates(). */
struct plan_candidate {
    int64_t reserved_cpu, reserved_memory, reserved_gpus; /* for a more urgent blocked entry */
    int64_t freed_cpu, freed_memory, freed_gpus; /* plan_victims(): capacity of rows that are or would be stopped */
    int64_t cost;          /* expected duration in % of the estimate, with penalties; -1: unsuitable */
    int64_t used;          /* rows of the step on it; counted only for steps with per_executor */
    int32_t service, mark; /* mark: plan_reserve_capacity(): already chosen; plan_victims(): see struct victim_option */
};

/* A planning round. Arrays are owned, grow with plan_array_reserve() and are reused by the next round. */
struct plan_round {
    const struct plan_input *in;
    struct plan_service *services;
    struct plan_candidate *candidates;
    struct plan_entry *entries;
    int32_t *queue_service;         /* by queue: index of its service, -1: it has no executors */
    int32_t *incarnation_candidate; /* by incarnation: index of its candidate, -1: none */
    int64_t *rows;                  /* of the last plan_collect_rows(): WAITING rows that are not busy */
    int64_t *outlet_runs;           /* by outlet: placed tasks, including those placed in this round */
    Pvoid_t not_begun, not_over;    /* Judy1 of outlet and queue: an earlier job has not started; has not ended */
    int64_t n_services, n_entries, n_rows, n_busy;
    int64_t respect_reservations; /* the current entry must not use capacity that is reserved for others */
    int64_t only_capacity;        /* candidates were unsuitable for the last rated step only for lack of capacity */
    int64_t cap_services, cap_candidates, cap_entries, cap_queues, cap_incarnations, cap_rows, cap_placements;
};

/* plan_round.c */
/* Grows an array to at least n items of item_size bytes and updates *cap; new items are not zeroed. Returns the array,
 * which replaces items. */
void *plan_array_reserve(void *items, int64_t *cap, int64_t n, size_t item_size);
/* Starts a round: collects and sorts the entries. next_due_ms: as in struct plan. */
void plan_round_begin(struct plan_round *round, const struct plan_input *in, int64_t *next_due_ms);
/* Frees all arrays and zeroes the round. */
void plan_round_free(struct plan_round *round);
/* Fills round->rows with the rows of the entry to place, at most limit, but always a whole gang. Returns 0 if there are
 * none, or if the entry has to wait for rows that are busy. */
int plan_collect_rows(struct plan_round *round, const struct plan_entry *entry, int64_t limit);
/* How long the entry has been ready to start, in ms; 0 while an end that it depends on is being committed. */
int64_t plan_waited_ms(const struct plan_round *round, const struct plan_entry *entry);
/* The step of an entry. */
static inline const struct step_spec *entry_step(const struct plan_entry *entry)
{
    return &entry->job->spec.steps[entry->step];
}

/* rules/outlet_limits.c: order of an outlet's jobs, its opening hours and its limit of running tasks. */
/* Starts a round. */
void outlet_limits_begin(struct plan_round *round);
/* Whether the job may start or continue. Only for jobs of an outlet; must be called once for each live one, in order of
 * acceptance. due: the first repetition of the job is due. */
int outlet_job_may_start(struct plan_round *round, const struct job *job, int due);
/* Whether a repetition may be placed: it has started, or the outlet is open now. Otherwise lowers next_due_ms to the
 * next opening. Only for jobs of an outlet. */
int outlet_hours_open(const struct plan_round *round, const struct job *job, int64_t repetition, int64_t *next_due_ms);
/* The later of since_ms and the latest opening of the outlet. Only for jobs of an outlet. */
int64_t outlet_wait_start_ms(const struct plan_round *round, const struct job *job, int64_t since_ms);
/* How many tasks of the entry may be placed now under the limit of its outlet, at most `limit`; 0: none, or fewer than
 * the whole gang. */
int64_t outlet_placement_limit(const struct plan_round *round, const struct plan_entry *entry, int64_t limit);
/* Counts n tasks of the entry as placed. */
void outlet_count_placed(struct plan_round *round, const struct plan_entry *entry, int64_t n);
void outlet_limits_free(struct plan_round *round);

/* plan_candidate.c */
/* Computes cost and used of all candidates for the entry's step. */
void plan_rate_candidates(struct plan_round *round, const struct plan_entry *entry);
/* Whether it is known without rating the candidates that no executor has capacity for the entry; 0: unknown. */
int plan_known_full(const struct plan_round *round, const struct plan_entry *entry);
/* The best candidate with capacity for one task of the step, -1: none. rack: only candidates in it; NULL: any. */
int64_t plan_choose(const struct plan_round *round, const struct step_spec *step, const char *rack);
/* How many tasks of the step fit on the rated candidates, or on one of them, with their free capacity (empty: if they
 * were empty). rack: as for plan_choose(). The sum over the candidates ends once task_count is reached. */
int64_t plan_capacity(const struct plan_round *round, const struct step_spec *step, const char *rack, int empty);
int64_t plan_candidate_capacity(const struct plan_round *round, int64_t candidate, const struct step_spec *step,
                                int empty);
/* The rack for a same_rack gang: one with capacity for the whole gang now (empty: if it were empty), NULL: none. */
const char *plan_rack(const struct plan_round *round, const struct step_spec *step, int empty);
/* Subtracts the request of one task from the free capacity of the candidate. */
void plan_take_capacity(struct plan_round *round, int64_t candidate, const struct step_spec *step);
/* Reserves capacity for a blocked entry, which later entries of the round may not use. */
void plan_reserve_capacity(struct plan_round *round, const struct plan_entry *entry);
/* Reserves the capacity of n tasks on one candidate. */
void plan_hold_capacity(struct plan_round *round, int64_t candidate, const struct step_spec *step, int64_t n);
/* Whether both strings are set and equal. */
int plan_text_equal(const char *a, const char *b);
#endif

/* State and internal functions of one planning round, shared by plan*.c and rules/turns.c. */
#ifndef SAGEHITCH_DISPATCH_PLAN_ROUND_H
#define SAGEHITCH_DISPATCH_PLAN_ROUND_H
#include "dispatch/plan.h"

/* Rank of an entry by what it can still earn: all, less, or nothing. */
enum lateness { IN_TIME, LATE, HOPELESS };

/* A step of one repetition that is ready to start and has WAITING rows. */
struct plan_entry {
    struct job *job;
    int64_t repetition, step;
    int64_t since_ms;          /* ready since, time of day; the older goes first */
    int32_t urgency;           /* the queue's priority less its ageing; 0 goes first */
    int64_t spare_ms;          /* time left until it must begin to be in time, by its estimates */
    int64_t slack_ms;          /* time left to its target beyond the rest of its chain of steps */
    int64_t waiting_cpu_milli; /* what its waiting tasks request together */
    int32_t lateness;          /* enum lateness */
    int32_t service;           /* index into services, -1: it has no executors */
};

/* Totals over a service's open executors. Invariant: max_cpu, max_memory and max_gpus are upper bounds of the free
 * room of any one of them; a step at least as large as a failed one finds no room either. */
enum { FAILED_MAX = 8 };
struct plan_service {
    const char *name;
    int64_t max_cpu, max_memory, max_gpus, total_cpu, free_cpu;
    const struct step_spec *failed[FAILED_MAX];
    int64_t n_failed;
    int64_t reserved; /* a blocked entry holds room this round */
};

/* State of a candidate in a round. cost and used are for the step of the last plan_judge(). */
struct plan_candidate {
    int64_t held_cpu, held_memory, held_gpus; /* kept for a more urgent blocked entry */
    int64_t stop_cpu, stop_memory, stop_gpus; /* plan_victims(): room that becomes free, or could */
    int64_t cost; /* expected duration in % of the estimate, with penalties; -1: unsuitable */
    int64_t used; /* rows of the step there, counted only for steps with per_executor */
    int32_t service, mark;
};

/* A round. Arrays are owned, grow with plan_array_reserve() and are reused by the next round. */
struct plan_round {
    const struct plan_input *in;
    struct plan_service *services;
    struct plan_candidate *candidates;
    struct plan_entry *entries;
    int32_t *queue_service;         /* by queue: its service, -1: no executors */
    int32_t *incarnation_candidate; /* by incarnation: its candidate, -1: none */
    int64_t *rows;                  /* of the entry gathered last: WAITING rows not busy */
    int64_t *outlet_runs;           /* by outlet: tasks placed, including in this round */
    Pvoid_t not_begun, not_over;    /* Judy1 of outlet and queue: an earlier job there has not begun; is not over */
    int64_t n_services, n_entries, n_rows, n_busy;
    int64_t respect_holds; /* the current entry must not use room held for others */
    int64_t only_room;     /* candidates were unsuitable for the judged step for want of room alone */
    int64_t cap_services, cap_candidates, cap_entries, cap_queues, cap_incarnations, cap_rows, cap_places;
};

/* plan_round.c */
/* Grows an array to at least n items of `each` bytes and updates *cap; new items are not zeroed. Returns the array,
 * which replaces items. */
void *plan_array_reserve(void *items, int64_t *cap, int64_t n, size_t each);
/* Collects and sorts the entries. next_due_ms: as in struct plan. */
void plan_round_begin(struct plan_round *round, const struct plan_input *in, int64_t *next_due_ms);
/* Frees all arrays and zeroes the round. */
void plan_round_free(struct plan_round *round);
/* Fills round->rows with the rows to place, at most `most`; returns 0: none, or not now. */
int plan_gather(struct plan_round *round, const struct plan_entry *entry, int64_t max_placements);
/* How long the entry has been ready to start, in ms. */
int64_t plan_waited_ms(const struct plan_round *round, const struct plan_entry *entry);
/* The step that an entry stands for. */
static inline const struct step_spec *entry_step(const struct plan_entry *entry)
{
    return &entry->job->spec.steps[entry->step];
}

/* rules/turns.c: order and limits of an outlet's jobs. outlet_job_may_start(), outlet_hours_open() and
 * outlet_wait_start_ms() are for jobs that belong to an outlet only. */
void outlet_limits_begin(struct plan_round *round);
/* Whether the job may begin or go on. To be called once for each live job, in order of acceptance; due: its first
 * repetition is due. */
int outlet_job_may_start(struct plan_round *round, const struct job *job, int due);
/* Whether a repetition may be placed: it has begun, or the outlet's hours are open; else lowers next_due_ms to the
 * next opening. */
int outlet_hours_open(const struct plan_round *round, const struct job *job, int64_t repetition, int64_t *next_due_ms);
/* since_ms, but not before the newest opening of the hours. */
int64_t outlet_wait_start_ms(const struct plan_round *round, const struct job *job, int64_t since_ms);
/* How many tasks of the entry may be placed now under its outlet's limit, up to `most`; 0: none, or not the whole
 * gang. */
int64_t outlet_placement_limit(const struct plan_round *round, const struct plan_entry *entry, int64_t max_placements);
/* Counts n placed tasks of the entry. */
void outlet_count_placed(struct plan_round *round, const struct plan_entry *entry, int64_t n);
void outlet_limits_free(struct plan_round *round);

/* plan_candidate.c */
/* Fills cost and used of all candidates for the entry's step. */
void plan_judge(struct plan_round *round, const struct plan_entry *entry);
/* Whether it is certain that no executor has room for the entry; 0: unknown. */
int plan_surely_full(const struct plan_round *round, const struct plan_entry *entry);
/* The best candidate with room for one task, of this rack only unless it is NULL; -1: none. */
int64_t plan_choose(const struct plan_round *round, const struct step_spec *step, const char *rack);
/* How many tasks of the step the judged candidates can hold now, or when empty. */
int64_t plan_holds(const struct plan_round *round, const struct step_spec *step, const char *rack, int empty);
int64_t plan_candidate_holds(const struct plan_round *round, int64_t candidate, const struct step_spec *step,
                             int empty);
/* The rack for a same_rack gang: one that can hold it now (empty: when empty), NULL: none. */
const char *plan_rack(const struct plan_round *round, const struct step_spec *step, int empty);
/* Takes the room of one task from the candidate. */
void plan_take(struct plan_round *round, int64_t candidate, const struct step_spec *step);
/* Holds room for a blocked entry, out of reach of all less urgent ones. */
void plan_reserve(struct plan_round *round, const struct plan_entry *entry);
/* Holds the room of n tasks on one candidate. */
void plan_hold(struct plan_round *round, int64_t candidate, const struct step_spec *step, int64_t n);
/* Whether both are set and equal. */
int plan_same(const char *a, const char *b);
#endif

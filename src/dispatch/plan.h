/* Placement: which waiting tasks start on which executor now. Reads the record and the candidates and returns
 * placements; it changes nothing but the free room of the candidates it was given (cpu_free and so on), so that one
 * round never gives the same room twice. */
#ifndef SAGEHITCH_DISPATCH_PLAN_H
#define SAGEHITCH_DISPATCH_PLAN_H
#include "dispatch/record.h"

/* An executor as the planner sees it; strings are borrowed. Free room: what it has, less the requests of all PLACED
 * rows on it (also those being stopped) and the leader's reservations. */
struct candidate {
    char *incarnation, *service, *zone, *rack;
    char **labels;
    int64_t n_labels;
    int64_t agent, incarnation_no; /* incarnation_no: index into record->incarnations, -1: none yet */
    int64_t cpu_milli, memory_mb, gpus, cpu_free, memory_free, gpus_free;
    int64_t open;         /* takes new work: ready, not draining, not quarantined */
    int64_t departs_ms;   /* steady clock at which it is gone; INT64_MAX: it stays */
    int64_t duration_pct; /* duration of work there in percent of that elsewhere */
    int64_t failures;     /* recent failures and refusals, decayed; makes it less preferred */
};

/* One task placed on a candidate (its index); a gang has one for each member. */
struct placement {
    struct job *job;
    int64_t repetition, step;
    int64_t no; /* index of its row */
    int64_t attempt;
    int64_t candidate;
};
/* What a round works on, all borrowed. */
struct plan_input {
    const struct record *record;
    struct candidate *candidates;
    int64_t n_candidates;
    int64_t now_ms, wall_ms, early_ms; /* steady clock; time of day; allowance to begin early */
    int64_t remote_data_pct;           /* duration of work away from its data in percent, say 150 */
    int64_t max_placements;            /* at most so many placements in one round */
    /* by queue: thousandths of a core of its service to leave free for more urgent queues
     * while its own work has time to spare; NULL: none */
    const int64_t *keep_free;
    /* whether an op on this row is in progress. WAITING: it is being placed; PLACED: it is being stopped */
    int (*busy)(void *arg, const struct job *job, int64_t no);
    /* how many PLACED rows of the step whose first row this is will be DONE by ops proposed before this round's; NULL:
     * none is known */
    int64_t (*ends_pending)(void *arg, const struct job *job, int64_t first);
    void *arg;
};
struct plan_round;
/* The result of a round. To be zeroed before the first round and reused then, so that rounds allocate nothing; freed
 * with plan_free(). A round ends early at a gang larger than what is left of `most`; one larger than `most` itself is
 * placed alone, at the start of a round. */
struct plan {
    struct plan_round *round; /* internal */
    struct placement *placements;
    int64_t n;
    int64_t next_due_ms;        /* time of day at which the next repetition may begin; INT64_MAX: none */
    int64_t blocked;            /* tasks ready to start that found no room */
    int64_t *blocked_cpu_milli; /* by queue: what these request together; owned, cap_blocked entries */
    int64_t cap_blocked;
    int64_t blocked_ms;       /* how long the most urgent of them has waited */
    int64_t blocked_priority; /* the most urgent priority among them; INT64_MAX: none */
};
/* Runs one round. */
void plan_make(const struct plan_input *input, struct plan *plan);
void plan_free(struct plan *plan);
/* Whether the job could ever run: 0 where a step fits no executor of its service even when that is empty. */
int plan_could_fit(const struct plan_input *input, const struct job_spec *spec, const char *service);
/* A placed row to be preempted. */
struct victim {
    struct job *job;
    int64_t no;
};
/* Chooses placed rows to preempt so that the most urgent blocked tasks find room: rows of less urgent queues only,
 * those that lose the fewest core-milliseconds first, with a discount for steps that checkpoint. Fills at most `most`
 * victims, in no order, and returns their number. busy() must already report the rows that plan_make() has placed. */
int64_t plan_victims(const struct plan_input *input, struct victim *victims, int64_t max_placements);
#endif

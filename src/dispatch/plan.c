/* A planning round: places the steps that are ready, the most urgent first, each as far as capacity allows. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    RESERVE_AFTER_MS = 1500,          /* capacity is reserved for an entry that has been blocked for longer */
    RESERVE_HOPELESS_AFTER_MS = 6000, /* the same for a HOPELESS entry */
    RACK_WAIT_MS = 2000,              /* how long a same_rack gang waits for one rack */
    IDLE_JOB_WAIT_MS = 1800           /* after waiting longer, a job without runs may use reserved capacity */
};

static void placement_add(struct plan *plan, const struct plan_entry *entry, int64_t row_index, int64_t attempt,
                          int64_t candidate)
{
    plan_take_capacity(plan->round, candidate, entry_step(entry));
    plan->placements =
        plan_array_reserve(plan->placements, &plan->round->cap_placements, plan->n + 1, sizeof *plan->placements);
    plan->placements[plan->n++] = (struct placement){.job = entry->job,
                                                     .repetition = entry->repetition,
                                                     .step = entry->step,
                                                     .row_index = row_index,
                                                     .attempt = attempt,
                                                     .candidate = candidate};
}

/* Places all members of a gang or none. All request the same, so capacity for task_count tasks in total is enough. */
static int64_t place_gang(struct plan *plan, const struct plan_entry *entry)
{
    struct plan_round *round = plan->round;
    const struct step_spec *step = entry_step(entry);
    const char *rack = NULL;
    int64_t attempt = 0;
    if (step->same_rack) {
        rack = plan_rack(round, step, 0);
        if (!rack && plan_rack(round, step, 1) && plan_waited_ms(round, entry) < RACK_WAIT_MS)
            return 0;
    }
    if (plan_capacity(round, step, rack, 0) < step->task_count)
        return 0;
    for (int64_t i = 0; i < round->n_rows; i++)
        if (entry->job->rows[round->rows[i]].attempt > attempt)
            attempt = entry->job->rows[round->rows[i]].attempt;
    for (int64_t i = 0; i < round->n_rows; i++)
        placement_add(plan, entry, round->rows[i], attempt + 1, plan_choose(round, step, rack));
    return round->n_rows;
}

static int64_t place_tasks(struct plan *plan, const struct plan_entry *entry, int64_t limit)
{
    struct plan_round *round = plan->round;
    int64_t n = 0;
    for (; n < round->n_rows && n < limit; n++) {
        int64_t candidate = plan_choose(round, entry_step(entry), NULL);
        if (candidate < 0)
            break;
        placement_add(plan, entry, round->rows[n], entry->job->rows[round->rows[n]].attempt + 1, candidate);
    }
    return n;
}

/* Remembers a step that did not fit, so that steps which request at least as much need not be tried. */
static void failed_add(struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    struct plan_service *service = &round->services[entry->service];
    if (!step->gang && round->only_capacity && round->respect_reservations && service->n_failed < FAILED_MAX)
        service->failed[service->n_failed++] = step;
}

static void blocked_add(struct plan *plan, const struct plan_entry *entry, int64_t n)
{
    struct plan_round *round = plan->round;
    int64_t priority = JOB_EFFECTIVE_RULE(round->in->record, entry->job, priority);
    plan->blocked += n;
    plan->blocked_cpu_milli[entry->job->queue] += n * entry_step(entry)->cpu_milli;
    if (priority < plan->blocked_priority) {
        plan->blocked_priority = priority;
        plan->blocked_ms = plan_waited_ms(round, entry);
    }
    if (entry->service < 0 || round->services[entry->service].reserved)
        return;
    if (plan_waited_ms(round, entry) < (entry->lateness == HOPELESS ? RESERVE_HOPELESS_AFTER_MS : RESERVE_AFTER_MS))
        return;
    plan_rate_candidates(round, entry);
    plan_reserve_capacity(round, entry);
}

/* How many tasks may be placed, at most limit, so that headroom_cpu_milli stays free for more urgent queues. The
 * headroom is not kept while more than half of the service is free, nor against work that would otherwise be late. */
static int64_t headroom_limit(const struct plan_round *round, const struct plan_entry *entry, int64_t limit)
{
    const struct plan_service *service = &round->services[entry->service];
    const struct step_spec *step = entry_step(entry);
    int64_t keep = round->in->headroom_cpu_milli ? round->in->headroom_cpu_milli[entry->job->queue] : 0;
    if (keep <= 0 || entry->spare_ms <= 0 || service->free_cpu * 2 > service->total_cpu || !step->cpu_milli)
        return limit;
    int64_t n = (service->free_cpu - keep) / step->cpu_milli;
    if (n < 0 || (step->gang && n < step->task_count))
        return 0;
    return n < limit ? n : limit;
}

/* Places as many tasks of the entry as capacity and limits allow. Returns 0 if the round is full. */
static int place_entry(struct plan *plan, const struct plan_entry *entry)
{
    struct plan_round *round = plan->round;
    const struct step_spec *step = entry_step(entry);
    int64_t waiting = entry->job->waiting[entry->repetition * entry->job->spec.n_steps + entry->step];
    int64_t limit = round->in->max_placements - plan->n, n = 0;
    if (limit <= 0)
        return 0;
    limit = outlet_placement_limit(round, entry, limit);
    if (!limit)
        return 1;
    /* if it cannot fit, one row is enough to count the entry as blocked */
    int full = entry->service < 0 || plan_known_full(round, entry);
    if (!plan_collect_rows(round, entry, full ? 1 : limit))
        return 1;
    if (entry->service >= 0) {
        int64_t kept = headroom_limit(round, entry, limit);
        if (!kept)
            return 1;
        limit = kept < limit && !step->gang ? kept : limit;
        const struct plan_service *service = &round->services[entry->service];
        round->respect_reservations =
            !(service->reserved && !entry->job->n_placed && service->free_cpu * 2 > service->total_cpu &&
              plan_waited_ms(round, entry) > IDLE_JOB_WAIT_MS);
        if (!plan_known_full(round, entry)) {
            if (step->gang && step->task_count > limit && plan->n)
                return 0;
            plan_rate_candidates(round, entry);
            n = step->gang ? place_gang(plan, entry) : place_tasks(plan, entry, limit);
            if (n < round->n_rows && n < limit)
                failed_add(round, entry);
        }
        round->respect_reservations = 1;
    }
    outlet_count_placed(round, entry, n);
    if (n < round->n_rows && n < limit)
        blocked_add(plan, entry, waiting - round->n_busy - n);
    return 1;
}

static void blocked_reset(struct plan *plan, int64_t n_queues)
{
    plan->blocked = plan->blocked_ms = 0;
    plan->blocked_priority = INT64_MAX;
    plan->blocked_cpu_milli =
        plan_array_reserve(plan->blocked_cpu_milli, &plan->cap_blocked, n_queues, sizeof *plan->blocked_cpu_milli);
    memset(plan->blocked_cpu_milli, 0, sizeof *plan->blocked_cpu_milli * (size_t)plan->cap_blocked);
}

void plan_make(const struct plan_input *input, struct plan *plan)
{
    if (!plan->round)
        plan->round = must_alloc(sizeof *plan->round);
    plan->n = 0;
    blocked_reset(plan, input->record->n_queues);
    plan_round_begin(plan->round, input, &plan->next_due_ms);
    for (int64_t i = 0; i < plan->round->n_entries; i++)
        if (!place_entry(plan, &plan->round->entries[i]))
            break;
}

void plan_free(struct plan *plan)
{
    if (plan->round)
        plan_round_free(plan->round);
    free(plan->round);
    free(plan->placements);
    free(plan->blocked_cpu_milli);
    *plan = (struct plan){.placements = NULL};
}

/* One round of placement: the steps that are ready, the most urgent first, each as far as there is room. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    RESERVE_MS = 1500,          /* an entry blocked for longer holds room, */
    RESERVE_HOPELESS_MS = 6000, /* a HOPELESS one after so long */
    ONE_RACK_MS = 2000,         /* how long a gang waits for one rack */
    IDLE_MS = 1800              /* a job without runs waits no longer for room held for others */
};

static void placement_add(struct plan *plan, const struct plan_entry *entry, int64_t no, int64_t attempt,
                          int64_t candidate)
{
    plan_take(plan->round, candidate, entry_step(entry));
    plan->placements =
        plan_array_reserve(plan->placements, &plan->round->cap_places, plan->n + 1, sizeof *plan->placements);
    plan->placements[plan->n++] = (struct placement){.job = entry->job,
                                                     .repetition = entry->repetition,
                                                     .step = entry->step,
                                                     .no = no,
                                                     .attempt = attempt,
                                                     .candidate = candidate};
}

/* Places all members or none; they are alike, so room for as many in total is enough. */
static int64_t place_gang(struct plan *plan, const struct plan_entry *entry)
{
    struct plan_round *round = plan->round;
    const struct step_spec *step = entry_step(entry);
    const char *rack = NULL;
    int64_t attempt = 0;
    if (step->same_rack) {
        rack = plan_rack(round, step, 0);
        if (!rack && plan_rack(round, step, 1) && plan_waited_ms(round, entry) < ONE_RACK_MS)
            return 0;
    }
    if (plan_holds(round, step, rack, 0) < step->task_count)
        return 0;
    for (int64_t i = 0; i < round->n_rows; i++)
        if (entry->job->rows[round->rows[i]].attempt > attempt)
            attempt = entry->job->rows[round->rows[i]].attempt;
    for (int64_t i = 0; i < round->n_rows; i++)
        placement_add(plan, entry, round->rows[i], attempt + 1, plan_choose(round, step, rack));
    return round->n_rows;
}

static int64_t place_tasks(struct plan *plan, const struct plan_entry *entry, int64_t max_placements)
{
    struct plan_round *round = plan->round;
    int64_t n = 0;
    for (; n < round->n_rows && n < max_placements; n++) {
        int64_t candidate = plan_choose(round, entry_step(entry), NULL);
        if (candidate < 0)
            break;
        placement_add(plan, entry, round->rows[n], entry->job->rows[round->rows[n]].attempt + 1, candidate);
    }
    return n;
}

/* Remembers a step that found no room, so that others as large need not be tried. */
static void failed_add(struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    struct plan_service *service = &round->services[entry->service];
    if (!step->gang && round->only_room && round->respect_holds && service->n_failed < FAILED_MAX)
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
    if (plan_waited_ms(round, entry) < (entry->lateness == HOPELESS ? RESERVE_HOPELESS_MS : RESERVE_MS))
        return;
    plan_judge(round, entry);
    plan_reserve(round, entry);
}

/* How many tasks may be placed so that keep_free stays free for more urgent queues. It does not apply while half of the
 * service is free, or to work that would be late otherwise. */
static int64_t placeable_max(const struct plan_round *round, const struct plan_entry *entry, int64_t max_placements)
{
    const struct plan_service *service = &round->services[entry->service];
    const struct step_spec *step = entry_step(entry);
    int64_t keep = round->in->keep_free ? round->in->keep_free[entry->job->queue] : 0;
    if (keep <= 0 || entry->spare_ms <= 0 || service->free_cpu * 2 > service->total_cpu || !step->cpu_milli)
        return max_placements;
    int64_t n = (service->free_cpu - keep) / step->cpu_milli;
    if (n < 0 || (step->gang && n < step->task_count))
        return 0;
    return n < max_placements ? n : max_placements;
}

/* Places as much of one entry as there is room for. Returns 0 where the round is full. */
static int place_entry(struct plan *plan, const struct plan_entry *entry)
{
    struct plan_round *round = plan->round;
    const struct step_spec *step = entry_step(entry);
    int64_t waiting = entry->job->waiting[entry->repetition * entry->job->spec.n_steps + entry->step];
    int64_t max_placements = round->in->max_placements - plan->n, n = 0;
    if (max_placements <= 0)
        return 0;
    max_placements = outlet_placement_limit(round, entry, max_placements);
    if (!max_placements)
        return 1;
    /* where it cannot fit, one row is enough to find that it is blocked */
    int full = entry->service < 0 || plan_surely_full(round, entry);
    if (!plan_gather(round, entry, full ? 1 : max_placements))
        return 1;
    if (entry->service >= 0) {
        int64_t kept = placeable_max(round, entry, max_placements);
        if (!kept)
            return 1;
        max_placements = kept < max_placements && !step->gang ? kept : max_placements;
        const struct plan_service *service = &round->services[entry->service];
        round->respect_holds = !(service->reserved && !entry->job->n_placed &&
                                 service->free_cpu * 2 > service->total_cpu && plan_waited_ms(round, entry) > IDLE_MS);
        if (!plan_surely_full(round, entry)) {
            if (step->gang && step->task_count > max_placements && plan->n)
                return 0;
            plan_judge(round, entry);
            n = step->gang ? place_gang(plan, entry) : place_tasks(plan, entry, max_placements);
            if (n < round->n_rows && n < max_placements)
                failed_add(round, entry);
        }
        round->respect_holds = 1;
    }
    outlet_count_placed(round, entry, n);
    if (n < round->n_rows && n < max_placements)
        blocked_add(plan, entry, waiting - round->n_busy - n);
    return 1;
}

static void blocked_clear(struct plan *plan, int64_t n_queues)
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
    blocked_clear(plan, input->record->n_queues);
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

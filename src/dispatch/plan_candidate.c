/* Candidates: which are suitable for a step, what it costs on each, and how many of its tasks fit. */
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    SHORT_TASK_MS = 2000,      /* shorter tasks are spread over executors, longer ones are packed */
    COST_STEP_PCT = 10,        /* costs are compared in steps of this size */
    FAILURE_COST_PCT = 50,     /* added to the cost for each recent failure */
    DEPARTURE_COST_FACTOR = 4, /* for an executor that will leave before the task ends */
    DEFAULT_ESTIMATE_MS = 1000 /* for steps without an estimate */
};

int plan_text_equal(const char *a, const char *b) { return a && b && !strcmp(a, b); }

static int has_label(const struct candidate *candidate, const char *label)
{
    for (int64_t i = 0; i < candidate->n_labels; i++)
        if (plan_text_equal(candidate->labels[i], label))
            return 1;
    return 0;
}

/* Number of tasks that fit into this capacity; a step may request none of a resource. */
static int64_t fit_count(const struct step_spec *step, int64_t cpu_milli, int64_t memory_mb, int64_t gpus)
{
    int64_t n = JOB_TASKS_MAX;
    if (step->cpu_milli && cpu_milli / step->cpu_milli < n)
        n = cpu_milli / step->cpu_milli;
    if (step->memory_mb && memory_mb / step->memory_mb < n)
        n = memory_mb / step->memory_mb;
    if (step->gpus && gpus / step->gpus < n)
        n = gpus / step->gpus;
    return n > 0 ? n : 0;
}

static int fits(const struct step_spec *step, int64_t cpu_milli, int64_t memory_mb, int64_t gpus)
{
    return step->cpu_milli <= cpu_milli && step->memory_mb <= memory_mb && step->gpus <= gpus;
}

int64_t plan_candidate_capacity(const struct plan_round *round, int64_t candidate, const struct step_spec *step,
                                int empty)
{
    const struct candidate *executor = &round->in->candidates[candidate];
    const struct plan_candidate *rated = &round->candidates[candidate];
    int64_t respect = round->respect_reservations, cpu_milli = executor->cpu_milli, memory_mb = executor->memory_mb,
            gpus = executor->gpus;
    if (rated->cost < 0)
        return 0;
    if (!empty) {
        cpu_milli = executor->cpu_free + rated->freed_cpu - respect * rated->reserved_cpu;
        memory_mb = executor->memory_free + rated->freed_memory - respect * rated->reserved_memory;
        gpus = executor->gpus_free + rated->freed_gpus - respect * rated->reserved_gpus;
    }
    if (!fits(step, cpu_milli, memory_mb, gpus))
        return 0;
    int64_t n = fit_count(step, cpu_milli, memory_mb, gpus);
    if (step->per_executor && n > step->per_executor - rated->used)
        n = step->per_executor > rated->used ? step->per_executor - rated->used : 0;
    return n;
}

int64_t plan_capacity(const struct plan_round *round, const struct step_spec *step, const char *rack, int empty)
{
    int64_t n = 0;
    for (int64_t i = 0; i < round->in->n_candidates && n < step->task_count; i++)
        if (!rack || plan_text_equal(round->in->candidates[i].rack, rack))
            n += plan_candidate_capacity(round, i, step, empty);
    return n;
}

/* The cost of the step on the candidate, -1: unsuitable. Clears only_capacity if the reason is not its capacity. */
static int64_t cost_of(struct plan_round *round, const struct candidate *candidate, const struct step_spec *step)
{
    if (step->label && !has_label(candidate, step->label)) {
        round->only_capacity = 0;
        return -1;
    }
    if (!fits(step, candidate->cpu_milli, candidate->memory_mb, candidate->gpus))
        return -1;
    int64_t pct = candidate->duration_pct > 0 ? candidate->duration_pct : 100;
    if (step->rack && !plan_text_equal(step->rack, candidate->rack) && round->in->remote_data_pct > 100)
        pct = pct * round->in->remote_data_pct / 100;
    int64_t estimate_ms = step->estimate_ms ? step->estimate_ms : DEFAULT_ESTIMATE_MS;
    int64_t left_ms = candidate->departs_ms - round->in->now_ms, need_ms = estimate_ms * pct / 100;
    int departs_early = candidate->departs_ms != INT64_MAX && (step->long_running || left_ms < need_ms);
    if (departs_early && left_ms < need_ms / 2) {
        round->only_capacity = 0;
        return -1;
    }
    int64_t failures = candidate->failures < 0 ? 0 : candidate->failures > 100 ? 100 : candidate->failures;
    return pct * (100 + FAILURE_COST_PCT * failures) / 100 * (departs_early ? DEPARTURE_COST_FACTOR : 1);
}

void plan_rate_candidates(struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    const struct job *job = entry->job;
    round->only_capacity = !step->per_executor;
    for (int64_t i = 0; i < round->in->n_candidates; i++) {
        const struct candidate *candidate = &round->in->candidates[i];
        struct plan_candidate *rated = &round->candidates[i];
        rated->used = 0;
        rated->cost = rated->service == entry->service && candidate->open ? cost_of(round, candidate, step) : -1;
    }
    if (!step->per_executor)
        return;
    int64_t first = entry->repetition * job->tasks + job->first[entry->step];
    for (int64_t row_index = first; row_index < first + step->task_count; row_index++) {
        const struct row *row = &job->rows[row_index];
        if (row->state == ROW_PLACED && row->incarnation >= 0 && row->incarnation < round->in->record->n_incarnations &&
            round->incarnation_candidate[row->incarnation] >= 0)
            round->candidates[round->incarnation_candidate[row->incarnation]].used++;
    }
}

int plan_known_full(const struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    const struct plan_service *service = &round->services[entry->service];
    if (step->cpu_milli > service->max_cpu || step->memory_mb > service->max_memory || step->gpus > service->max_gpus)
        return 1;
    for (int64_t i = 0; i < service->n_failed && round->respect_reservations; i++) {
        const struct step_spec *failed = service->failed[i];
        if (step->cpu_milli >= failed->cpu_milli && step->memory_mb >= failed->memory_mb && step->gpus >= failed->gpus)
            return 1;
    }
    return 0;
}

/* Share of its capacity, in thousandths, that stays free after one more task. */
static int64_t free_share_after(const struct candidate *candidate, const struct step_spec *step)
{
    int64_t cpu = candidate->cpu_milli ? (candidate->cpu_free - step->cpu_milli) * 1000 / candidate->cpu_milli : 1000;
    int64_t memory =
        candidate->memory_mb ? (candidate->memory_free - step->memory_mb) * 1000 / candidate->memory_mb : 1000;
    return cpu < memory ? cpu : memory;
}

int64_t plan_choose(const struct plan_round *round, const struct step_spec *step, const char *rack)
{
    int spread = !step->gang && !step->long_running && step->estimate_ms < SHORT_TASK_MS;
    int64_t best = -1, best_cost = 0, best_free_share = 0;
    for (int64_t i = 0; i < round->in->n_candidates; i++) {
        const struct candidate *candidate = &round->in->candidates[i];
        const struct plan_candidate *rated = &round->candidates[i];
        if (rated->cost < 0 || candidate->cpu_free < step->cpu_milli)
            continue;
        /* at equal cost, executors with GPUs are left to steps that request GPUs */
        int64_t cost = rated->cost / COST_STEP_PCT * 2 + (!step->gpus && candidate->gpus);
        if ((best >= 0 && cost > best_cost) || !plan_candidate_capacity(round, i, step, 0) ||
            (rack && !plan_text_equal(candidate->rack, rack)))
            continue;
        int64_t rest = free_share_after(candidate, step);
        if (best < 0 || cost < best_cost || (spread ? rest > best_free_share : rest < best_free_share)) {
            best = i;
            best_cost = cost;
            best_free_share = rest;
        }
    }
    return best;
}

const char *plan_rack(const struct plan_round *round, const struct step_spec *step, int empty)
{
    const char *best = NULL;
    int64_t best_free = 0;
    if (step->rack && plan_capacity(round, step, step->rack, empty) >= step->task_count)
        return step->rack;
    for (int64_t i = 0; i < round->in->n_candidates; i++) {
        const char *rack = round->in->candidates[i].rack;
        int64_t free_cpu = 0, seen = 0;
        for (int64_t k = 0; k < i && !seen; k++)
            seen = plan_text_equal(round->in->candidates[k].rack, rack);
        if (!rack || seen || plan_capacity(round, step, rack, empty) < step->task_count)
            continue;
        for (int64_t k = i; k < round->in->n_candidates; k++)
            if (round->candidates[k].cost >= 0 && plan_text_equal(round->in->candidates[k].rack, rack))
                free_cpu += round->in->candidates[k].cpu_free;
        if (!best || free_cpu > best_free) {
            best = rack;
            best_free = free_cpu;
        }
    }
    return best;
}

void plan_take_capacity(struct plan_round *round, int64_t candidate, const struct step_spec *step)
{
    struct candidate *executor = &round->in->candidates[candidate];
    executor->cpu_free -= step->cpu_milli;
    executor->memory_free -= step->memory_mb;
    executor->gpus_free -= step->gpus;
    round->candidates[candidate].used++;
    round->services[round->candidates[candidate].service].free_cpu -= step->cpu_milli;
}

void plan_hold_capacity(struct plan_round *round, int64_t candidate, const struct step_spec *step, int64_t n)
{
    struct plan_candidate *rated = &round->candidates[candidate];
    rated->reserved_cpu += n * step->cpu_milli;
    rated->reserved_memory += n * step->memory_mb;
    rated->reserved_gpus += n * step->gpus;
}

void plan_reserve_capacity(struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    const char *rack = step->gang && step->same_rack ? plan_rack(round, step, 1) : NULL;
    int64_t left = step->gang ? step->task_count : 1;
    if (plan_capacity(round, step, rack, 1) < left)
        return;
    round->services[entry->service].reserved = 1;
    for (int64_t i = 0; i < round->in->n_candidates; i++)
        round->candidates[i].mark = 0;
    /* prefer the candidates that can take most tasks now: runs that end on them only make them more suitable, so later
     * rounds make the same choice */
    while (left > 0) {
        int64_t best = -1, best_now = 0, best_free = 0;
        for (int64_t i = 0; i < round->in->n_candidates; i++) {
            const struct candidate *candidate = &round->in->candidates[i];
            if (round->candidates[i].mark || (rack && !plan_text_equal(candidate->rack, rack)) ||
                !plan_candidate_capacity(round, i, step, 1))
                continue;
            int64_t now = plan_candidate_capacity(round, i, step, 0), share = free_share_after(candidate, step);
            if (best < 0 || now > best_now || (now == best_now && share > best_free)) {
                best = i;
                best_now = now;
                best_free = share;
            }
        }
        if (best < 0)
            return;
        int64_t n = plan_candidate_capacity(round, best, step, 1);
        n = n < left ? n : left;
        plan_hold_capacity(round, best, step, n);
        round->candidates[best].mark = 1;
        left -= n;
    }
}

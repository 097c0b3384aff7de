/* Candidates: which are suitable for a step, what it costs there, and how many tasks they can hold. */
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    SHORT_MS = 2000,  /* shorter tasks are spread over executors, longer ones packed */
    COST_GRAIN = 10,  /* costs are compared in steps of so many % */
    FAILURE_PCT = 50, /* what one recent failure adds to the cost */
    LEAVING_COST = 4, /* factor for an executor that leaves too early */
    GUESS_MS = 1000   /* default estimate */
};

int plan_same(const char *a, const char *b) { return a && b && !strcmp(a, b); }

static int has_label(const struct candidate *candidate, const char *label)
{
    for (int64_t i = 0; i < candidate->n_labels; i++)
        if (plan_same(candidate->labels[i], label))
            return 1;
    return 0;
}

/* Number of tasks that fit into so much room; a step may request none of a resource. */
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

int64_t plan_candidate_holds(const struct plan_round *round, int64_t candidate, const struct step_spec *step, int empty)
{
    const struct candidate *at = &round->in->candidates[candidate];
    const struct plan_candidate *scratch = &round->candidates[candidate];
    int64_t held = round->respect_holds, cpu_milli = at->cpu_milli, memory_mb = at->memory_mb, gpus = at->gpus;
    if (scratch->cost < 0)
        return 0;
    if (!empty) {
        cpu_milli = at->cpu_free + scratch->stop_cpu - held * scratch->held_cpu;
        memory_mb = at->memory_free + scratch->stop_memory - held * scratch->held_memory;
        gpus = at->gpus_free + scratch->stop_gpus - held * scratch->held_gpus;
    }
    if (!fits(step, cpu_milli, memory_mb, gpus))
        return 0;
    int64_t n = fit_count(step, cpu_milli, memory_mb, gpus);
    if (step->per_executor && n > step->per_executor - scratch->used)
        n = step->per_executor > scratch->used ? step->per_executor - scratch->used : 0;
    return n;
}

int64_t plan_holds(const struct plan_round *round, const struct step_spec *step, const char *rack, int empty)
{
    int64_t n = 0;
    for (int64_t i = 0; i < round->in->n_candidates && n < step->task_count; i++)
        if (!rack || plan_same(round->in->candidates[i].rack, rack))
            n += plan_candidate_holds(round, i, step, empty);
    return n;
}

/* The cost of the step on the candidate, -1: unsuitable. Clears only_room where the reason is not room. */
static int64_t cost_of(struct plan_round *round, const struct candidate *candidate, const struct step_spec *step)
{
    if (step->label && !has_label(candidate, step->label)) {
        round->only_room = 0;
        return -1;
    }
    if (!fits(step, candidate->cpu_milli, candidate->memory_mb, candidate->gpus))
        return -1;
    int64_t pct = candidate->duration_pct > 0 ? candidate->duration_pct : 100;
    if (step->rack && !plan_same(step->rack, candidate->rack) && round->in->remote_data_pct > 100)
        pct = pct * round->in->remote_data_pct / 100;
    int64_t estimate_ms = step->estimate_ms ? step->estimate_ms : GUESS_MS;
    int64_t left_ms = candidate->departs_ms - round->in->now_ms, need_ms = estimate_ms * pct / 100;
    int early = candidate->departs_ms != INT64_MAX && (step->long_running || left_ms < need_ms);
    if (early && left_ms < need_ms / 2) {
        round->only_room = 0;
        return -1;
    }
    int64_t failures = candidate->failures < 0 ? 0 : candidate->failures > 100 ? 100 : candidate->failures;
    return pct * (100 + FAILURE_PCT * failures) / 100 * (early ? LEAVING_COST : 1);
}

void plan_judge(struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    const struct job *job = entry->job;
    round->only_room = !step->per_executor;
    for (int64_t i = 0; i < round->in->n_candidates; i++) {
        const struct candidate *candidate = &round->in->candidates[i];
        struct plan_candidate *scratch = &round->candidates[i];
        scratch->used = 0;
        scratch->cost = scratch->service == entry->service && candidate->open ? cost_of(round, candidate, step) : -1;
    }
    if (!step->per_executor)
        return;
    int64_t first = entry->repetition * job->tasks + job->first[entry->step];
    for (int64_t no = first; no < first + step->task_count; no++) {
        const struct row *row = &job->rows[no];
        if (row->state == ROW_PLACED && row->incarnation >= 0 && row->incarnation < round->in->record->n_incarnations &&
            round->incarnation_candidate[row->incarnation] >= 0)
            round->candidates[round->incarnation_candidate[row->incarnation]].used++;
    }
}

int plan_surely_full(const struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    const struct plan_service *service = &round->services[entry->service];
    if (step->cpu_milli > service->max_cpu || step->memory_mb > service->max_memory || step->gpus > service->max_gpus)
        return 1;
    for (int64_t i = 0; i < service->n_failed && round->respect_holds; i++) {
        const struct step_spec *failed = service->failed[i];
        if (step->cpu_milli >= failed->cpu_milli && step->memory_mb >= failed->memory_mb && step->gpus >= failed->gpus)
            return 1;
    }
    return 0;
}

/* Share of its room, in thousandths, that stays free after one more task. */
static int64_t free_after(const struct candidate *candidate, const struct step_spec *step)
{
    int64_t cpu = candidate->cpu_milli ? (candidate->cpu_free - step->cpu_milli) * 1000 / candidate->cpu_milli : 1000;
    int64_t memory =
        candidate->memory_mb ? (candidate->memory_free - step->memory_mb) * 1000 / candidate->memory_mb : 1000;
    return cpu < memory ? cpu : memory;
}

int64_t plan_choose(const struct plan_round *round, const struct step_spec *step, const char *rack)
{
    int spread = !step->gang && !step->long_running && step->estimate_ms < SHORT_MS;
    int64_t best = -1, best_cost = 0, best_rest = 0;
    for (int64_t i = 0; i < round->in->n_candidates; i++) {
        const struct candidate *candidate = &round->in->candidates[i];
        const struct plan_candidate *scratch = &round->candidates[i];
        if (scratch->cost < 0 || candidate->cpu_free < step->cpu_milli)
            continue;
        /* executors with GPUs are kept for steps that request them where costs are equal */
        int64_t cost = scratch->cost / COST_GRAIN * 2 + (!step->gpus && candidate->gpus);
        if ((best >= 0 && cost > best_cost) || !plan_candidate_holds(round, i, step, 0) ||
            (rack && !plan_same(candidate->rack, rack)))
            continue;
        int64_t rest = free_after(candidate, step);
        if (best < 0 || cost < best_cost || (spread ? rest > best_rest : rest < best_rest)) {
            best = i;
            best_cost = cost;
            best_rest = rest;
        }
    }
    return best;
}

const char *plan_rack(const struct plan_round *round, const struct step_spec *step, int empty)
{
    const char *best = NULL;
    int64_t best_free = 0;
    if (step->rack && plan_holds(round, step, step->rack, empty) >= step->task_count)
        return step->rack;
    for (int64_t i = 0; i < round->in->n_candidates; i++) {
        const char *rack = round->in->candidates[i].rack;
        int64_t free_cpu = 0, seen = 0;
        for (int64_t k = 0; k < i && !seen; k++)
            seen = plan_same(round->in->candidates[k].rack, rack);
        if (!rack || seen || plan_holds(round, step, rack, empty) < step->task_count)
            continue;
        for (int64_t k = i; k < round->in->n_candidates; k++)
            if (round->candidates[k].cost >= 0 && plan_same(round->in->candidates[k].rack, rack))
                free_cpu += round->in->candidates[k].cpu_free;
        if (!best || free_cpu > best_free) {
            best = rack;
            best_free = free_cpu;
        }
    }
    return best;
}

void plan_take(struct plan_round *round, int64_t candidate, const struct step_spec *step)
{
    struct candidate *at = &round->in->candidates[candidate];
    at->cpu_free -= step->cpu_milli;
    at->memory_free -= step->memory_mb;
    at->gpus_free -= step->gpus;
    round->candidates[candidate].used++;
    round->services[round->candidates[candidate].service].free_cpu -= step->cpu_milli;
}

void plan_hold(struct plan_round *round, int64_t candidate, const struct step_spec *step, int64_t n)
{
    struct plan_candidate *scratch = &round->candidates[candidate];
    scratch->held_cpu += n * step->cpu_milli;
    scratch->held_memory += n * step->memory_mb;
    scratch->held_gpus += n * step->gpus;
}

void plan_reserve(struct plan_round *round, const struct plan_entry *entry)
{
    const struct step_spec *step = entry_step(entry);
    const char *rack = step->gang && step->same_rack ? plan_rack(round, step, 1) : NULL;
    int64_t left = step->gang ? step->task_count : 1;
    if (plan_holds(round, step, rack, 1) < left)
        return;
    round->services[entry->service].reserved = 1;
    for (int64_t i = 0; i < round->in->n_candidates; i++)
        round->candidates[i].mark = 0;
    /* the candidates with most of the room already: runs that end there bring it closer, so the choice is stable */
    while (left > 0) {
        int64_t best = -1, best_now = 0, best_free = 0;
        for (int64_t i = 0; i < round->in->n_candidates; i++) {
            const struct candidate *candidate = &round->in->candidates[i];
            if (round->candidates[i].mark || (rack && !plan_same(candidate->rack, rack)) ||
                !plan_candidate_holds(round, i, step, 1))
                continue;
            int64_t now = plan_candidate_holds(round, i, step, 0), share = free_after(candidate, step);
            if (best < 0 || now > best_now || (now == best_now && share > best_free)) {
                best = i;
                best_now = now;
                best_free = share;
            }
        }
        if (best < 0)
            return;
        int64_t n = plan_candidate_holds(round, best, step, 1);
        n = n < left ? n : left;
        plan_hold(round, best, step, n);
        round->candidates[best].mark = 1;
        left -= n;
    }
}

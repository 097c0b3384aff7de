/* Preemption: which rows of less urgent queues to stop so that more urgent tasks fit; and which jobs can fit at all. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    CHECKPOINT_LOSS_DIVISOR = 4,     /* a step that saves checkpoints loses this fraction of its work */
    LONG_RUNNING_LOSS_FACTOR = 1000, /* for rows of long-running steps */
    CORES_PER_GPU = 8,               /* the loss of a GPU counts as that of this many cores */
    ENTRIES_TRIED_MAX = 8            /* blocked entries tried in one call */
};

/* A PLACED row that may be preempted. chosen: 1 for the current entry, 2 finally. gang: the first row of its gang, -1:
 * none. Invariant: mark of a plan_candidate is the index of its first option, -1: it has none. */
struct victim_option {
    struct job *job;
    const struct step_spec *step;
    int64_t row_index, candidate, loss, gang, chosen;
};
struct victim_search {
    struct plan_round *round;
    struct victim_option *items;
    int64_t n, cap;
    int64_t left;         /* number of victims that may still be chosen */
    int64_t least_urgent; /* highest priority number among the options */
};

static int64_t min_of(int64_t a, int64_t b) { return a < b ? a : b; }

static int64_t empty_capacity(const struct candidate *candidate, const struct step_spec *step)
{
    int64_t n = JOB_TASKS_MAX, labelled = !step->label;
    for (int64_t i = 0; i < candidate->n_labels; i++)
        labelled |= plan_text_equal(candidate->labels[i], step->label);
    if (step->cpu_milli)
        n = min_of(n, candidate->cpu_milli / step->cpu_milli);
    if (step->memory_mb)
        n = min_of(n, candidate->memory_mb / step->memory_mb);
    if (step->gpus)
        n = min_of(n, candidate->gpus / step->gpus);
    if (step->per_executor)
        n = min_of(n, step->per_executor);
    return labelled ? n : 0;
}

int plan_could_fit(const struct plan_input *input, const struct job_spec *spec, const char *service)
{
    int64_t known = 0;
    for (int64_t i = 0; i < input->n_candidates; i++)
        known |= plan_text_equal(input->candidates[i].service, service);
    if (!known)
        return 1;
    for (int64_t s = 0; s < spec->n_steps; s++) {
        int64_t n = 0;
        for (int64_t i = 0; i < input->n_candidates && n < spec->steps[s].task_count; i++)
            if (plan_text_equal(input->candidates[i].service, service))
                n += empty_capacity(&input->candidates[i], &spec->steps[s]);
        if (n < (spec->steps[s].gang ? spec->steps[s].task_count : 1))
            return 0;
    }
    return 1;
}

/* The work lost if the row is stopped, in core-milliseconds; for a gang, the work of all members. */
static int64_t loss_of(const struct plan_round *round, const struct step_spec *step, const struct row *row)
{
    int64_t ran_ms = round->in->wall_ms - row->since_ms;
    int64_t loss = (ran_ms > 0 ? ran_ms : 0) * (step->cpu_milli / 10 + step->gpus * CORES_PER_GPU * 100 + 1) / 100;
    if (step->checkpoints)
        loss /= CHECKPOINT_LOSS_DIVISOR;
    if (step->gang)
        loss *= step->task_count;
    return (loss + 1) * (step->long_running ? LONG_RUNNING_LOSS_FACTOR : 1);
}

static void freed_capacity_add(struct plan_candidate *candidate, const struct step_spec *step, int64_t sign)
{
    candidate->freed_cpu += sign * step->cpu_milli;
    candidate->freed_memory += sign * step->memory_mb;
    candidate->freed_gpus += sign * step->gpus;
}

/* Collects all PLACED rows: the capacity of rows that are being stopped counts as freed, the other rows become
 * options. */
static void collect_placed(struct victim_search *search)
{
    struct plan_round *round = search->round;
    const struct record *record = round->in->record;
    for (struct job *job = record->oldest; job; job = job->next) {
        for (int64_t row_index = 0; job->rows && job->n_placed && row_index < job->repetitions * job->tasks;
             row_index++) {
            const struct row *row = &job->rows[row_index];
            int64_t repetition, step, index;
            if (row->state != ROW_PLACED || row->incarnation < 0 || row->incarnation >= record->n_incarnations ||
                round->incarnation_candidate[row->incarnation] < 0)
                continue;
            job_row_position(job, row_index, &repetition, &step, &index);
            struct victim_option option = {.job = job,
                                           .step = &job->spec.steps[step],
                                           .row_index = row_index,
                                           .candidate = round->incarnation_candidate[row->incarnation]};
            if (job_over(job) || (round->in->busy && round->in->busy(round->in->arg, job, row_index))) {
                freed_capacity_add(&round->candidates[option.candidate], option.step, 1);
                continue;
            }
            option.loss = loss_of(round, option.step, row);
            if (JOB_EFFECTIVE_RULE(record, job, priority) > search->least_urgent)
                search->least_urgent = JOB_EFFECTIVE_RULE(record, job, priority);
            option.gang = option.step->gang ? row_index - index : -1;
            if (search->n == search->cap) {
                search->cap = search->cap * 2 + 64;
                search->items = must_grow(search->items, sizeof *search->items * (size_t)search->cap);
            }
            search->items[search->n++] = option;
        }
    }
}

/* By candidate, then by loss, the smallest first. */
static int compare_by_candidate_and_loss(const void *a, const void *b)
{
    const struct victim_option *left = a, *right = b;
    if (left->candidate != right->candidate)
        return left->candidate < right->candidate ? -1 : 1;
    if (left->loss != right->loss)
        return left->loss < right->loss ? -1 : 1;
    if (left->job->index != right->job->index)
        return left->job->index < right->job->index ? -1 : 1;
    return left->row_index < right->row_index ? -1 : left->row_index > right->row_index;
}

static int may_preempt(const struct victim_search *search, const struct victim_option *option, int64_t priority,
                       int gangs)
{
    return !option->chosen && (gangs || option->gang < 0) &&
           JOB_EFFECTIVE_RULE(search->round->in->record, option->job, priority) > priority;
}

/* Chooses a row with its whole gang (sign 1), or undoes the choice (-1). Returns the number of rows. */
static int64_t option_choose(struct victim_search *search, struct victim_option *option, int64_t sign)
{
    int64_t n = 0, from = option->gang < 0 ? option - search->items : 0, to = option->gang < 0 ? from + 1 : search->n;
    for (int64_t i = from; i < to; i++) {
        struct victim_option *other = &search->items[i];
        if (other != option && (other->job != option->job || other->gang != option->gang))
            continue;
        other->chosen = sign > 0;
        freed_capacity_add(&search->round->candidates[other->candidate], other->step, sign);
        n++;
    }
    return n;
}

/* Chooses rows on one candidate so that one more task fits there: the rows with the smallest loss first, then undoes
 * those choices that turned out unnecessary. The rows stay chosen only if keep is set. Returns the loss, -1:
 * impossible. */
static int64_t candidate_choose_victims(struct victim_search *search, int64_t candidate, const struct plan_entry *entry,
                                        int gangs, int keep)
{
    const struct step_spec *step = entry_step(entry);
    int64_t priority = JOB_EFFECTIVE_RULE(search->round->in->record, entry->job, priority);
    int64_t want = plan_candidate_capacity(search->round, candidate, step, 0) + 1, loss = 0, n = 0, n_picked = 0,
            enough = 0;
    struct victim_option *picked[64];
    for (int64_t i = search->round->candidates[candidate].mark; i >= 0 && i < search->n && !enough; i++) {
        struct victim_option *option = &search->items[i];
        if (option->candidate != candidate || n_picked == COUNT_OF(picked))
            break;
        if (!may_preempt(search, option, priority, gangs))
            continue;
        n += option_choose(search, option, 1);
        picked[n_picked++] = option;
        enough = plan_candidate_capacity(search->round, candidate, step, 0) >= want;
    }
    for (int64_t i = n_picked - 1; i >= 0; i--) {
        int64_t rows = option_choose(search, picked[i], -1);
        if (enough && plan_candidate_capacity(search->round, candidate, step, 0) >= want) {
            n -= rows;
            picked[i] = NULL;
        } else {
            option_choose(search, picked[i], 1);
            loss += picked[i]->loss;
        }
    }
    enough = enough && n <= search->left;
    for (int64_t i = 0; i < n_picked; i++)
        if (picked[i] && !(enough && keep))
            option_choose(search, picked[i], -1);
    if (enough && keep)
        search->left -= n;
    return enough ? loss : -1;
}

/* Chooses rows until the entry's tasks fit; for a gang, all members or none. Returns whether any task gained capacity.
 */
static int entry_choose_victims(struct victim_search *search, const struct plan_entry *entry, const char *rack,
                                int gangs)
{
    struct plan_round *round = search->round;
    const struct step_spec *step = entry_step(entry);
    int64_t need = step->gang ? step->task_count : round->n_rows, left = search->left;
    int any = 0;
    if (plan_capacity(round, step, rack, 1) < (step->gang ? need : 1))
        return 0;
    while (plan_capacity(round, step, rack, 0) < need) {
        int64_t best = -1, best_loss = 0;
        for (int64_t i = 0; i < round->in->n_candidates; i++) {
            if (round->candidates[i].cost < 0 || (rack && !plan_text_equal(round->in->candidates[i].rack, rack)) ||
                plan_candidate_capacity(round, i, step, 1) <= plan_candidate_capacity(round, i, step, 0))
                continue;
            int64_t loss = candidate_choose_victims(search, i, entry, gangs, 0);
            if (loss >= 0 && (best < 0 || loss < best_loss)) {
                best = i;
                best_loss = loss;
            }
        }
        if (best < 0)
            break;
        candidate_choose_victims(search, best, entry, gangs, 1);
        any = 1;
    }
    if (plan_capacity(round, step, rack, 0) >= need)
        return 1;
    if (!step->gang)
        return any;
    for (int64_t i = 0; i < search->n; i++)
        if (search->items[i].chosen == 1)
            option_choose(search, &search->items[i], -1);
    search->left = left;
    return 0;
}

/* Makes the choice final, and reserves the entry's capacity so that later entries cannot use it. */
static void victims_finalize(struct victim_search *search, const struct plan_entry *entry, const char *rack)
{
    struct plan_round *round = search->round;
    const struct step_spec *step = entry_step(entry);
    int64_t need = step->gang ? step->task_count : round->n_rows;
    for (int64_t i = 0; i < search->n; i++)
        if (search->items[i].chosen)
            search->items[i].chosen = 2;
    for (int64_t i = 0; i < round->in->n_candidates && need > 0; i++) {
        if (rack && !plan_text_equal(round->in->candidates[i].rack, rack))
            continue;
        int64_t n = min_of(plan_candidate_capacity(round, i, step, 0), need);
        plan_hold_capacity(round, i, step, n);
        need -= n;
    }
}

int64_t plan_victims(const struct plan_input *input, struct victim *victims, int64_t max_victims)
{
    struct plan_round round = {.in = input};
    struct victim_search search = {.round = &round, .left = max_victims};
    int64_t next_due_ms, n = 0, tried = 0;
    plan_round_begin(&round, input, &next_due_ms);
    for (int64_t i = 0; i < input->n_candidates; i++)
        round.candidates[i].mark = -1;
    collect_placed(&search);
    if (search.n)
        qsort(search.items, (size_t)search.n, sizeof *search.items, compare_by_candidate_and_loss);
    for (int64_t i = search.n - 1; i >= 0; i--)
        round.candidates[search.items[i].candidate].mark = (int32_t)i;
    for (int64_t i = 0; i < round.n_entries && search.n && search.left > 0 && tried < ENTRIES_TRIED_MAX; i++) {
        const struct plan_entry *entry = &round.entries[i];
        const struct step_spec *step = entry_step(entry);
        if (entry->service < 0 || entry->lateness == HOPELESS ||
            JOB_EFFECTIVE_RULE(input->record, entry->job, priority) >= search.least_urgent)
            continue;
        int64_t limit = outlet_placement_limit(&round, entry, max_victims);
        if (!limit || !plan_collect_rows(&round, entry, limit))
            continue;
        round.n_rows = round.n_rows > limit && !step->gang ? limit : round.n_rows;
        plan_rate_candidates(&round, entry);
        if (step->gang || plan_capacity(&round, step, NULL, 0) < round.n_rows)
            tried++;
        const char *rack = step->gang && step->same_rack ? plan_rack(&round, step, 1) : NULL;
        if (entry_choose_victims(&search, entry, rack, 0) || entry_choose_victims(&search, entry, rack, 1))
            victims_finalize(&search, entry, rack);
    }
    for (int64_t i = 0; i < search.n && n < max_victims; i++)
        if (search.items[i].chosen)
            victims[n++] = (struct victim){.job = search.items[i].job, .row_index = search.items[i].row_index};
    free(search.items);
    plan_round_free(&round);
    return n;
}

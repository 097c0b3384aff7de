/* What could ever fit, and preemption: which less urgent rows to stop so that more urgent ones fit. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    SAVED_SHARE = 4,     /* a step that checkpoints is taken to lose one part in so many */
    LASTING_LOSS = 1000, /* factor for rows of lasting steps */
    GPU_CORES = 8,
    TRIED_MAX = 8 /* blocked entries tried in one call */
};

/* A PLACED row that may be stopped. chosen 1: for the current entry, 2: finally. gang: the first row of its gang, -1:
 * none. Invariant: mark of a plan_candidate is the index of its first option, -1: it has none. */
struct victim_option {
    struct job *job;
    const struct step_spec *step;
    int64_t no, candidate, loss, gang, chosen;
};
struct search {
    struct plan_round *round;
    struct victim_option *items;
    int64_t n, cap;
    int64_t left;         /* victims that may still be chosen */
    int64_t least_urgent; /* highest priority number among them */
};

static int64_t smaller(int64_t a, int64_t b) { return a < b ? a : b; }

static int64_t empty_holds(const struct candidate *candidate, const struct step_spec *step)
{
    int64_t n = JOB_TASKS_MAX, labelled = !step->label;
    for (int64_t i = 0; i < candidate->n_labels; i++)
        labelled |= plan_same(candidate->labels[i], step->label);
    if (step->cpu_milli)
        n = smaller(n, candidate->cpu_milli / step->cpu_milli);
    if (step->memory_mb)
        n = smaller(n, candidate->memory_mb / step->memory_mb);
    if (step->gpus)
        n = smaller(n, candidate->gpus / step->gpus);
    if (step->per_executor)
        n = smaller(n, step->per_executor);
    return labelled ? n : 0;
}

int plan_could_fit(const struct plan_input *input, const struct job_spec *spec, const char *service)
{
    int64_t known = 0;
    for (int64_t i = 0; i < input->n_candidates; i++)
        known |= plan_same(input->candidates[i].service, service);
    if (!known)
        return 1;
    for (int64_t s = 0; s < spec->n_steps; s++) {
        int64_t n = 0;
        for (int64_t i = 0; i < input->n_candidates && n < spec->steps[s].task_count; i++)
            if (plan_same(input->candidates[i].service, service))
                n += empty_holds(&input->candidates[i], &spec->steps[s]);
        if (n < (spec->steps[s].gang ? spec->steps[s].task_count : 1))
            return 0;
    }
    return 1;
}

/* What stopping the row loses, in core-milliseconds; of a gang, all members'. */
static int64_t loss_of(const struct plan_round *round, const struct step_spec *step, const struct row *row)
{
    int64_t ran_ms = round->in->wall_ms - row->since_ms;
    int64_t loss = (ran_ms > 0 ? ran_ms : 0) * (step->cpu_milli / 10 + step->gpus * GPU_CORES * 100 + 1) / 100;
    if (step->checkpoints)
        loss /= SAVED_SHARE;
    if (step->gang)
        loss *= step->task_count;
    return (loss + 1) * (step->long_running ? LASTING_LOSS : 1);
}

static void room_add(struct plan_candidate *candidate, const struct step_spec *step, int64_t sign)
{
    candidate->stop_cpu += sign * step->cpu_milli;
    candidate->stop_memory += sign * step->memory_mb;
    candidate->stop_gpus += sign * step->gpus;
}

/* All PLACED rows: those being stopped count as room that becomes free, the others are options. */
static void gather_placed(struct search *search)
{
    struct plan_round *round = search->round;
    const struct record *record = round->in->record;
    for (struct job *job = record->oldest; job; job = job->next) {
        for (int64_t no = 0; job->rows && job->n_placed && no < job->repetitions * job->tasks; no++) {
            const struct row *row = &job->rows[no];
            int64_t repetition, step, index;
            if (row->state != ROW_PLACED || row->incarnation < 0 || row->incarnation >= record->n_incarnations ||
                round->incarnation_candidate[row->incarnation] < 0)
                continue;
            job_row_position(job, no, &repetition, &step, &index);
            struct victim_option option = {.job = job,
                                           .step = &job->spec.steps[step],
                                           .no = no,
                                           .candidate = round->incarnation_candidate[row->incarnation]};
            if (job_over(job) || (round->in->busy && round->in->busy(round->in->arg, job, no))) {
                room_add(&round->candidates[option.candidate], option.step, 1);
                continue;
            }
            option.loss = loss_of(round, option.step, row);
            if (JOB_EFFECTIVE_RULE(record, job, priority) > search->least_urgent)
                search->least_urgent = JOB_EFFECTIVE_RULE(record, job, priority);
            option.gang = option.step->gang ? no - index : -1;
            if (search->n == search->cap) {
                search->cap = search->cap * 2 + 64;
                search->items = must_grow(search->items, sizeof *search->items * (size_t)search->cap);
            }
            search->items[search->n++] = option;
        }
    }
}

/* By candidate, then the cheapest first. */
static int by_candidate_and_loss(const void *a, const void *b)
{
    const struct victim_option *x = a, *y = b;
    if (x->candidate != y->candidate)
        return x->candidate < y->candidate ? -1 : 1;
    if (x->loss != y->loss)
        return x->loss < y->loss ? -1 : 1;
    if (x->job->index != y->job->index)
        return x->job->index < y->job->index ? -1 : 1;
    return x->no < y->no ? -1 : x->no > y->no;
}

static int may_stop(const struct search *search, const struct victim_option *option, int64_t priority, int gangs)
{
    return !option->chosen && (gangs || option->gang < 0) &&
           JOB_EFFECTIVE_RULE(search->round->in->record, option->job, priority) > priority;
}

/* Chooses (sign 1) a row with its whole gang, or gives it back (-1). Returns the number of rows. */
static int64_t option_choose(struct search *search, struct victim_option *option, int64_t sign)
{
    int64_t n = 0, from = option->gang < 0 ? option - search->items : 0, to = option->gang < 0 ? from + 1 : search->n;
    for (int64_t i = from; i < to; i++) {
        struct victim_option *other = &search->items[i];
        if (other != option && (other->job != option->job || other->gang != option->gang))
            continue;
        other->chosen = sign > 0;
        room_add(&search->round->candidates[other->candidate], other->step, sign);
        n++;
    }
    return n;
}

/* Makes room on one candidate for one more task than it can hold: chooses the cheapest rows first, then gives back
 * those found unnecessary. They stay chosen only if keep. Returns what is lost, -1: impossible. */
static int64_t candidate_clear(struct search *search, int64_t candidate, const struct plan_entry *entry, int gangs,
                               int keep)
{
    const struct step_spec *step = entry_step(entry);
    int64_t priority = JOB_EFFECTIVE_RULE(search->round->in->record, entry->job, priority);
    int64_t want = plan_candidate_holds(search->round, candidate, step, 0) + 1, loss = 0, n = 0, n_taken = 0,
            enough = 0;
    struct victim_option *taken[64];
    for (int64_t i = search->round->candidates[candidate].mark; i >= 0 && i < search->n && !enough; i++) {
        struct victim_option *option = &search->items[i];
        if (option->candidate != candidate || n_taken == COUNT_OF(taken))
            break;
        if (!may_stop(search, option, priority, gangs))
            continue;
        n += option_choose(search, option, 1);
        taken[n_taken++] = option;
        enough = plan_candidate_holds(search->round, candidate, step, 0) >= want;
    }
    for (int64_t i = n_taken - 1; i >= 0; i--) {
        int64_t rows = option_choose(search, taken[i], -1);
        if (enough && plan_candidate_holds(search->round, candidate, step, 0) >= want) {
            n -= rows;
            taken[i] = NULL;
        } else {
            option_choose(search, taken[i], 1);
            loss += taken[i]->loss;
        }
    }
    enough = enough && n <= search->left;
    for (int64_t i = 0; i < n_taken; i++)
        if (taken[i] && !(enough && keep))
            option_choose(search, taken[i], -1);
    if (enough && keep)
        search->left -= n;
    return enough ? loss : -1;
}

/* Chooses rows until the entry's tasks have room; a gang gets all or none. Returns whether any room was made. */
static int entry_clear(struct search *search, const struct plan_entry *entry, const char *rack, int gangs)
{
    struct plan_round *round = search->round;
    const struct step_spec *step = entry_step(entry);
    int64_t need = step->gang ? step->task_count : round->n_rows, left = search->left;
    int any = 0;
    if (plan_holds(round, step, rack, 1) < (step->gang ? need : 1))
        return 0;
    while (plan_holds(round, step, rack, 0) < need) {
        int64_t best = -1, best_loss = 0;
        for (int64_t i = 0; i < round->in->n_candidates; i++) {
            if (round->candidates[i].cost < 0 || (rack && !plan_same(round->in->candidates[i].rack, rack)) ||
                plan_candidate_holds(round, i, step, 1) <= plan_candidate_holds(round, i, step, 0))
                continue;
            int64_t loss = candidate_clear(search, i, entry, gangs, 0);
            if (loss >= 0 && (best < 0 || loss < best_loss)) {
                best = i;
                best_loss = loss;
            }
        }
        if (best < 0)
            break;
        candidate_clear(search, best, entry, gangs, 1);
        any = 1;
    }
    if (plan_holds(round, step, rack, 0) >= need)
        return 1;
    if (!step->gang)
        return any;
    for (int64_t i = 0; i < search->n; i++)
        if (search->items[i].chosen == 1)
            option_choose(search, &search->items[i], -1);
    search->left = left;
    return 0;
}

/* Makes the choice final, and holds the entry's room out of reach of the entries after it. */
static void victims_settle(struct search *search, const struct plan_entry *entry, const char *rack)
{
    struct plan_round *round = search->round;
    const struct step_spec *step = entry_step(entry);
    int64_t need = step->gang ? step->task_count : round->n_rows;
    for (int64_t i = 0; i < search->n; i++)
        if (search->items[i].chosen)
            search->items[i].chosen = 2;
    for (int64_t i = 0; i < round->in->n_candidates && need > 0; i++) {
        if (rack && !plan_same(round->in->candidates[i].rack, rack))
            continue;
        int64_t n = smaller(plan_candidate_holds(round, i, step, 0), need);
        plan_hold(round, i, step, n);
        need -= n;
    }
}

int64_t plan_victims(const struct plan_input *input, struct victim *victims, int64_t max_placements)
{
    struct plan_round round = {.in = input};
    struct search search = {.round = &round, .left = max_placements};
    int64_t next_due_ms, n = 0, tried = 0;
    plan_round_begin(&round, input, &next_due_ms);
    for (int64_t i = 0; i < input->n_candidates; i++)
        round.candidates[i].mark = -1;
    gather_placed(&search);
    if (search.n)
        qsort(search.items, (size_t)search.n, sizeof *search.items, by_candidate_and_loss);
    for (int64_t i = search.n - 1; i >= 0; i--)
        round.candidates[search.items[i].candidate].mark = (int32_t)i;
    for (int64_t i = 0; i < round.n_entries && search.n && search.left > 0 && tried < TRIED_MAX; i++) {
        const struct plan_entry *entry = &round.entries[i];
        const struct step_spec *step = entry_step(entry);
        if (entry->service < 0 || entry->lateness == HOPELESS ||
            JOB_EFFECTIVE_RULE(input->record, entry->job, priority) >= search.least_urgent)
            continue;
        int64_t room = outlet_placement_limit(&round, entry, max_placements);
        if (!room || !plan_gather(&round, entry, room))
            continue;
        round.n_rows = round.n_rows > room && !step->gang ? room : round.n_rows;
        plan_judge(&round, entry);
        if (step->gang || plan_holds(&round, step, NULL, 0) < round.n_rows)
            tried++;
        const char *rack = step->gang && step->same_rack ? plan_rack(&round, step, 1) : NULL;
        if (entry_clear(&search, entry, rack, 0) || entry_clear(&search, entry, rack, 1))
            victims_settle(&search, entry, rack);
    }
    for (int64_t i = 0; i < search.n && n < max_placements; i++)
        if (search.items[i].chosen)
            victims[n++] = (struct victim){.job = search.items[i].job, .no = search.items[i].no};
    free(search.items);
    plan_round_free(&round);
    return n;
}

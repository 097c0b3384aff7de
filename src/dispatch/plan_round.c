/* The entries of a planning round: the steps that are ready to start, in the order in which they are placed. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    EARLY_USED_PCT = 40,  /* a repetition starts early by this share of early_ms */
    CHAIN_PCT = 75,       /* estimates are rough: only this share of the remaining chain must fit before the target */
    HOPELESS_TARGETS = 3, /* a job older than this many times its target is HOPELESS */
    AGEING_TARGETS = 4    /* waiting for this many times its target raises a job by one priority */
};

void *plan_array_reserve(void *items, int64_t *cap, int64_t n, size_t item_size)
{
    if (items && n <= *cap)
        return items;
    *cap = n > *cap * 2 ? n + 8 : *cap * 2 + 8;
    return must_grow(items, item_size * (size_t)*cap);
}

static int32_t service_of(struct plan_round *round, const char *name, int add)
{
    for (int64_t i = 0; i < round->n_services; i++)
        if (plan_text_equal(round->services[i].name, name))
            return (int32_t)i;
    if (!add || !name)
        return -1;
    round->services =
        plan_array_reserve(round->services, &round->cap_services, round->n_services + 1, sizeof *round->services);
    round->services[round->n_services] = (struct plan_service){.name = name};
    return (int32_t)round->n_services++;
}

static void candidates_begin(struct plan_round *round)
{
    const struct plan_input *in = round->in;
    const struct record *record = in->record;
    round->n_services = 0;
    round->respect_reservations = 1;
    round->candidates =
        plan_array_reserve(round->candidates, &round->cap_candidates, in->n_candidates, sizeof *round->candidates);
    round->incarnation_candidate = plan_array_reserve(round->incarnation_candidate, &round->cap_incarnations,
                                                      record->n_incarnations, sizeof *round->incarnation_candidate);
    round->queue_service =
        plan_array_reserve(round->queue_service, &round->cap_queues, record->n_queues, sizeof *round->queue_service);
    for (int64_t i = 0; i < record->n_incarnations; i++)
        round->incarnation_candidate[i] = -1;
    for (int64_t i = 0; i < in->n_candidates; i++) {
        const struct candidate *candidate = &in->candidates[i];
        round->candidates[i] = (struct plan_candidate){.service = service_of(round, candidate->service, 1), .cost = -1};
        if (candidate->incarnation_no >= 0 && candidate->incarnation_no < record->n_incarnations)
            round->incarnation_candidate[candidate->incarnation_no] = (int32_t)i;
        if (!candidate->open || round->candidates[i].service < 0)
            continue;
        struct plan_service *service = &round->services[round->candidates[i].service];
        service->total_cpu += candidate->cpu_milli;
        service->free_cpu += candidate->cpu_free;
        if (candidate->cpu_free > service->max_cpu)
            service->max_cpu = candidate->cpu_free;
        if (candidate->memory_free > service->max_memory)
            service->max_memory = candidate->memory_free;
        if (candidate->gpus_free > service->max_gpus)
            service->max_gpus = candidate->gpus_free;
    }
    for (int64_t i = 0; i < record->n_queues; i++)
        round->queue_service[i] = service_of(round, record->queues[i].config.service, 0);
}

/* The target of a job: how many ms after its submission (or due time) it must end to be in time. It follows from
 * stretch_pct, target_ms and the longest chain of steps. Fills chain_ms with the estimated duration of the longest
 * chain from each step on. */
static int64_t job_target_ms(const struct record *record, const struct job *job, int64_t chain_ms[STEPS_MAX])
{
    int64_t longest = 0;
    for (int64_t s = 0; s < job->spec.n_steps; s++)
        chain_ms[s] = job->spec.steps[s].estimate_ms;
    for (int64_t s = job->spec.n_steps - 1; s >= 0; s--) {
        const struct step_spec *step = &job->spec.steps[s];
        for (int64_t i = 0; i < step->n_depends_on; i++) {
            int64_t before = step->depends_on[i];
            if (chain_ms[before] < job->spec.steps[before].estimate_ms + chain_ms[s])
                chain_ms[before] = job->spec.steps[before].estimate_ms + chain_ms[s];
        }
        longest = chain_ms[s] > longest ? chain_ms[s] : longest;
    }
    int64_t target_ms =
        longest * JOB_EFFECTIVE_RULE(record, job, stretch_pct) / 100 + JOB_EFFECTIVE_RULE(record, job, target_ms);
    return target_ms > 0 ? target_ms : 1;
}

static void entry_add(struct plan_round *round, struct job *job, int64_t repetition, int64_t step, int64_t target_ms,
                      int64_t step_chain_ms)
{
    const struct record *record = round->in->record;
    int64_t due_ms = job_due_ms(job, repetition), wall_ms = round->in->wall_ms;
    int64_t since_ms = due_ms > job->accepted_ms ? due_ms : job->accepted_ms;
    int64_t priority = JOB_EFFECTIVE_RULE(record, job, priority);
    round->entries =
        plan_array_reserve(round->entries, &round->cap_entries, round->n_entries + 1, sizeof *round->entries);
    struct plan_entry *entry = &round->entries[round->n_entries++];
    *entry = (struct plan_entry){
        .job = job, .repetition = repetition, .step = step, .service = round->queue_service[job->queue]};
    if (job->spec.steps[step].long_running) {
        /* a long-running job counts by the time it runs, however old it is, so only the current wait matters */
        int64_t first = repetition * job->tasks + job->first[step];
        for (int64_t row_index = first; row_index < first + job->spec.steps[step].task_count; row_index++)
            if (job->rows[row_index].state == ROW_WAITING) {
                since_ms = job->rows[row_index].since_ms;
                break;
            }
    }
    if (job->rules)
        since_ms = outlet_wait_start_ms(round, job, since_ms);
    int64_t age_ms = wall_ms > since_ms ? wall_ms - since_ms : 0;
    int64_t raised = age_ms / (AGEING_TARGETS * target_ms);
    entry->since_ms = since_ms;
    entry->waiting_cpu_milli = job->waiting[repetition * job->spec.n_steps + step] * job->spec.steps[step].cpu_milli;
    entry->urgency = (int32_t)(priority > raised ? priority - raised : 0);
    entry->spare_ms = target_ms - age_ms - 2 * job->spec.steps[step].estimate_ms;
    entry->slack_ms = target_ms - age_ms - step_chain_ms * CHAIN_PCT / 100;
    if (!job->spec.steps[step].long_running)
        entry->lateness = age_ms > HOPELESS_TARGETS * target_ms ? HOPELESS : entry->slack_ms < 0 ? LATE : IN_TIME;
}

static int compare_entries(const void *a, const void *b)
{
    const struct plan_entry *left = a, *right = b;
    if (left->urgency != right->urgency)
        return left->urgency < right->urgency ? -1 : 1;
    if (left->lateness != right->lateness)
        return left->lateness < right->lateness ? -1 : 1;
    /* the smaller first: the same capacity then serves more jobs */
    if (left->lateness == IN_TIME && left->waiting_cpu_milli != right->waiting_cpu_milli)
        return left->waiting_cpu_milli < right->waiting_cpu_milli ? -1 : 1;
    if (left->lateness == IN_TIME && left->slack_ms != right->slack_ms)
        return left->slack_ms < right->slack_ms ? -1 : 1;
    if (left->since_ms != right->since_ms)
        return left->since_ms < right->since_ms ? -1 : 1;
    if (left->job->index != right->job->index)
        return left->job->index < right->job->index ? -1 : 1;
    if (left->repetition != right->repetition)
        return left->repetition < right->repetition ? -1 : 1;
    return left->step < right->step ? -1 : left->step > right->step;
}

static int64_t repetition_begins_ms(const struct plan_input *in, const struct job *job, int64_t repetition)
{
    int64_t due_ms = job_due_ms(job, repetition);
    return due_ms ? due_ms - in->early_ms * EARLY_USED_PCT / 100 : 0;
}

/* Whether a step may be placed: all steps that it depends on are done, or become done by ops that are committed before
 * those of this round. */
static int step_is_ready(const struct plan_input *in, const struct job *job, int64_t repetition, int64_t step)
{
    const struct step_spec *spec = &job->spec.steps[step];
    for (int64_t i = 0; i < spec->n_depends_on; i++) {
        int64_t before = spec->depends_on[i], left = job->unfinished[repetition * job->spec.n_steps + before];
        if (left &&
            (!in->ends_pending || left > in->ends_pending(in->arg, job, repetition * job->tasks + job->first[before])))
            return 0;
    }
    return 1;
}

void plan_round_begin(struct plan_round *round, const struct plan_input *in, int64_t *next_due_ms)
{
    round->in = in;
    round->n_entries = 0;
    *next_due_ms = INT64_MAX;
    candidates_begin(round);
    outlet_limits_begin(round);
    for (struct job *job = in->record->oldest; job; job = job->next) {
        int64_t target_ms = 0, chain_ms[STEPS_MAX];
        if (job->rules && !outlet_job_may_start(round, job, repetition_begins_ms(in, job, 0) <= in->wall_ms))
            continue; /* by the rules of its outlet it must wait for other jobs */
        if (job_over(job))
            continue; /* live only until its runs have ended */
        for (int64_t repetition = 0; job->rows && repetition < job->repetitions; repetition++) {
            int64_t begins_ms = repetition_begins_ms(in, job, repetition);
            if (begins_ms > in->wall_ms) {
                if (begins_ms < *next_due_ms)
                    *next_due_ms = begins_ms;
                break;
            }
            if (job->rules && !outlet_hours_open(round, job, repetition, next_due_ms))
                continue;
            for (int64_t step = 0; step < job->spec.n_steps; step++) {
                if (job->waiting[repetition * job->spec.n_steps + step] <= 0 ||
                    !step_is_ready(in, job, repetition, step))
                    continue;
                target_ms = target_ms ? target_ms : job_target_ms(in->record, job, chain_ms);
                entry_add(round, job, repetition, step, target_ms, chain_ms[step]);
            }
        }
    }
    if (round->n_entries)
        qsort(round->entries, (size_t)round->n_entries, sizeof *round->entries, compare_entries);
}

void plan_round_free(struct plan_round *round)
{
    free(round->services);
    free(round->candidates);
    free(round->entries);
    free(round->queue_service);
    free(round->incarnation_candidate);
    free(round->rows);
    free(round->outlet_runs);
    outlet_limits_free(round);
    *round = (struct plan_round){.in = NULL};
}

int plan_collect_rows(struct plan_round *round, const struct plan_entry *entry, int64_t limit)
{
    const struct step_spec *step = entry_step(entry);
    const struct job *job = entry->job;
    int64_t first = entry->repetition * job->tasks + job->first[entry->step];
    int64_t waiting = job->waiting[entry->repetition * job->spec.n_steps + entry->step];
    /* the record does not have the executors of busy rows yet, so steps that depend on them have to wait */
    int whole = step->gang || step->per_executor;
    round->n_rows = round->n_busy = 0;
    if (step->gang && waiting < step->task_count)
        return 0;
    for (int64_t row_index = first; row_index < first + step->task_count && round->n_rows + round->n_busy < waiting;
         row_index++) {
        if (job->rows[row_index].state != ROW_WAITING)
            continue;
        if (round->in->busy && round->in->busy(round->in->arg, job, row_index)) {
            round->n_busy++;
            if (whole)
                return 0;
            continue;
        }
        if (round->n_rows >= limit && !whole)
            break;
        round->rows = plan_array_reserve(round->rows, &round->cap_rows, round->n_rows + 1, sizeof *round->rows);
        round->rows[round->n_rows++] = row_index;
    }
    return round->n_rows > 0;
}

int64_t plan_waited_ms(const struct plan_round *round, const struct plan_entry *entry)
{
    const struct job *job = entry->job;
    int64_t base = entry->repetition * job->tasks;
    int64_t since_ms = job->rows[base + job->first[entry->step]].since_ms, due_ms = job_due_ms(job, entry->repetition);
    const struct step_spec *step = entry_step(entry);
    if (round->n_rows)
        since_ms = job->rows[round->rows[0]].since_ms;
    if (due_ms > since_ms)
        since_ms = due_ms;
    for (int64_t i = 0; i < step->n_depends_on; i++) {
        int64_t first = base + job->first[step->depends_on[i]];
        for (int64_t row_index = first; row_index < first + job->spec.steps[step->depends_on[i]].task_count;
             row_index++) {
            if (job->rows[row_index].state != ROW_DONE)
                return 0; /* the end of this row is being committed */
            if (job->rows[row_index].since_ms > since_ms)
                since_ms = job->rows[row_index].since_ms;
        }
    }
    return round->in->wall_ms - since_ms;
}

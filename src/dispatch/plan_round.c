/* The entries of a planning round: the steps that are ready to start, in the order in which they are placed. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/plan_round.h"

enum {
    EARLY_PCT = 40,    /* of the allowance by which a repetition may begin early */
    REST_PCT = 75,     /* estimates are rough: this share of the remaining chain must fit before the target */
    HOPELESS_AIMS = 3, /* a job later than so many times its target earns nothing */
    AGEING_AIMS = 4    /* waiting so many times its target raises a job by one priority */
};

void *plan_array_reserve(void *items, int64_t *cap, int64_t n, size_t each)
{
    if (items && n <= *cap)
        return items;
    *cap = n > *cap * 2 ? n + 8 : *cap * 2 + 8;
    return must_grow(items, each * (size_t)*cap);
}

static int32_t service_of(struct plan_round *round, const char *name, int add)
{
    for (int64_t i = 0; i < round->n_services; i++)
        if (plan_same(round->services[i].name, name))
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
    round->respect_holds = 1;
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

/* By the estimates: fills rest with the duration of the longest chain from each step on, and returns the target: within
 * how many ms of its submission (or due time) the whole job is in time. */
static int64_t job_aim_ms(const struct record *record, const struct job *job, int64_t rest[STEPS_MAX])
{
    int64_t longest = 0;
    for (int64_t s = 0; s < job->spec.n_steps; s++)
        rest[s] = job->spec.steps[s].estimate_ms;
    for (int64_t s = job->spec.n_steps - 1; s >= 0; s--) {
        const struct step_spec *step = &job->spec.steps[s];
        for (int64_t i = 0; i < step->n_depends_on; i++) {
            int64_t before = step->depends_on[i];
            if (rest[before] < job->spec.steps[before].estimate_ms + rest[s])
                rest[before] = job->spec.steps[before].estimate_ms + rest[s];
        }
        longest = rest[s] > longest ? rest[s] : longest;
    }
    int64_t aim_ms =
        longest * JOB_EFFECTIVE_RULE(record, job, stretch_pct) / 100 + JOB_EFFECTIVE_RULE(record, job, target_ms);
    return aim_ms > 0 ? aim_ms : 1;
}

static void entry_add(struct plan_round *round, struct job *job, int64_t repetition, int64_t step, int64_t aim_ms,
                      int64_t rest_ms)
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
        /* earns by its time running, however old it is: only its present wait counts */
        int64_t first = repetition * job->tasks + job->first[step];
        for (int64_t no = first; no < first + job->spec.steps[step].task_count; no++)
            if (job->rows[no].state == ROW_WAITING) {
                since_ms = job->rows[no].since_ms;
                break;
            }
    }
    if (job->rules)
        since_ms = outlet_wait_start_ms(round, job, since_ms);
    int64_t age_ms = wall_ms > since_ms ? wall_ms - since_ms : 0;
    int64_t risen = age_ms / (AGEING_AIMS * aim_ms);
    entry->since_ms = since_ms;
    entry->waiting_cpu_milli = job->waiting[repetition * job->spec.n_steps + step] * job->spec.steps[step].cpu_milli;
    entry->urgency = (int32_t)(priority > risen ? priority - risen : 0);
    entry->spare_ms = aim_ms - age_ms - 2 * job->spec.steps[step].estimate_ms;
    entry->slack_ms = aim_ms - age_ms - rest_ms * REST_PCT / 100;
    if (!job->spec.steps[step].long_running)
        entry->lateness = age_ms > HOPELESS_AIMS * aim_ms ? HOPELESS : entry->slack_ms < 0 ? LATE : IN_TIME;
}

static int entry_order(const void *a, const void *b)
{
    const struct plan_entry *left = a, *right = b;
    if (left->urgency != right->urgency)
        return left->urgency < right->urgency ? -1 : 1;
    if (left->lateness != right->lateness)
        return left->lateness < right->lateness ? -1 : 1;
    /* the smaller first: as much room serves more jobs */
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

static int64_t job_begins_ms(const struct plan_input *in, const struct job *job, int64_t repetition)
{
    int64_t due_ms = job_due_ms(job, repetition);
    return due_ms ? due_ms - in->early_ms * EARLY_PCT / 100 : 0;
}

/* Whether a step may be placed: all before it are done, or will be by what is committed ahead of this round. */
static int step_begins(const struct plan_input *in, const struct job *job, int64_t repetition, int64_t step)
{
    const struct step_spec *spec = &job->spec.steps[step];
    for (int64_t i = 0; i < spec->n_depends_on; i++) {
        int64_t before = spec->depends_on[i], left = job->left[repetition * job->spec.n_steps + before];
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
        int64_t aim_ms = 0, rest[STEPS_MAX];
        if (job->rules && !outlet_job_may_start(round, job, job_begins_ms(in, job, 0) <= in->wall_ms))
            continue; /* by its outlet's rules others go first */
        if (job_over(job))
            continue; /* still live only until its runs have ended */
        for (int64_t repetition = 0; job->rows && repetition < job->repetitions; repetition++) {
            int64_t begin_ms = job_begins_ms(in, job, repetition);
            if (begin_ms > in->wall_ms) {
                if (begin_ms < *next_due_ms)
                    *next_due_ms = begin_ms;
                break;
            }
            if (job->rules && !outlet_hours_open(round, job, repetition, next_due_ms))
                continue;
            for (int64_t step = 0; step < job->spec.n_steps; step++) {
                if (job->waiting[repetition * job->spec.n_steps + step] <= 0 || !step_begins(in, job, repetition, step))
                    continue;
                aim_ms = aim_ms ? aim_ms : job_aim_ms(in->record, job, rest);
                entry_add(round, job, repetition, step, aim_ms, rest[step]);
            }
        }
    }
    if (round->n_entries)
        qsort(round->entries, (size_t)round->n_entries, sizeof *round->entries, entry_order);
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

int plan_gather(struct plan_round *round, const struct plan_entry *entry, int64_t max_placements)
{
    const struct step_spec *step = entry_step(entry);
    const struct job *job = entry->job;
    int64_t first = entry->repetition * job->tasks + job->first[entry->step];
    int64_t waiting = job->waiting[entry->repetition * job->spec.n_steps + entry->step];
    /* where rows in progress are placed is not known here: such steps wait until the record has them */
    int whole = step->gang || step->per_executor;
    round->n_rows = round->n_busy = 0;
    if (step->gang && waiting < step->task_count)
        return 0;
    for (int64_t no = first; no < first + step->task_count && round->n_rows + round->n_busy < waiting; no++) {
        if (job->rows[no].state != ROW_WAITING)
            continue;
        if (round->in->busy && round->in->busy(round->in->arg, job, no)) {
            round->n_busy++;
            if (whole)
                return 0;
            continue;
        }
        if (round->n_rows >= max_placements && !whole)
            break;
        round->rows = plan_array_reserve(round->rows, &round->cap_rows, round->n_rows + 1, sizeof *round->rows);
        round->rows[round->n_rows++] = no;
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
        for (int64_t no = first; no < first + job->spec.steps[step->depends_on[i]].task_count; no++) {
            if (job->rows[no].state != ROW_DONE)
                return 0; /* its end is being committed */
            if (job->rows[no].since_ms > since_ms)
                since_ms = job->rows[no].since_ms;
        }
    }
    return round->in->wall_ms - since_ms;
}

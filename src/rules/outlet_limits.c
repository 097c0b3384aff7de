/* Limits on the jobs of outlets in a planning round: their start order (rule in_turn), their opening hours, and the
 * number of tasks of an outlet that may be placed at one time (rule running_most).
 * Declared in dispatch/plan_round.h. */
#include <stdlib.h>

#include "dispatch/plan_round.h"

/* Identifies the jobs of one outlet and queue, which wait for each other. */
static Word_t turn_key(const struct job *job) { return (Word_t)job->rules->outlet << 32 | (Word_t)job->queue; }

static int turn_keys_contain(Pcvoid_t keys, Word_t key)
{
    int rc;
    J1T(rc, keys, key);
    return rc;
}

static void turn_keys_add(Pvoid_t *keys, Word_t key)
{
    int rc;
    J1S(rc, *keys, key);
    if (rc == JERR)
        abort();
}

void outlet_limits_begin(struct plan_round *round)
{
    int64_t n = round->in->record->rules.n_outlets;
    outlet_limits_free(round);
    if (!n)
        return;
    round->outlet_runs = must_grow(round->outlet_runs, sizeof *round->outlet_runs * (size_t)n);
    for (int64_t i = 0; i < n; i++)
        round->outlet_runs[i] = 0;
}

void outlet_limits_free(struct plan_round *round)
{
    Word_t freed;
    J1FA(freed, round->not_begun);
    J1FA(freed, round->not_over);
    (void)freed;
}

/* The job's tasks that count against running_most: those placed, and those that an op under way will place. */
static int64_t running_tasks(const struct plan_round *round, const struct job *job)
{
    int64_t n = job->n_placed, left = job->repetitions * job->tasks - job->n_done - job->n_placed;
    for (int64_t no = 0; round->in->busy && left > 0 && !job_over(job) && no < job->repetitions * job->tasks; no++)
        n += job->rows[no].state == ROW_WAITING && round->in->busy(round->in->arg, job, no);
    return n;
}

/* Whether the job, once it has begun, does not block later jobs: it has long-running steps, which need not end, or
 * repeats. */
static int never_blocks_turn(const struct job *job)
{
    for (int64_t s = 0; s < job->spec.n_steps; s++)
        if (job->spec.steps[s].long_running)
            return 1;
    return job->repetitions > 1;
}

int outlet_job_may_start(struct plan_round *round, const struct job *job, int due)
{
    Word_t key = turn_key(job);
    int64_t in_turn = job->rules->values.in_turn;
    int has_begun = job->state != JOB_PENDING, is_over = job_over(job);
    int may_start = has_begun || in_turn == TURN_ANY || in_turn == RULE_UNSET ||
                    !turn_keys_contain(in_turn == TURN_OVER ? round->not_over : round->not_begun, key);
    round->outlet_runs[job->rules->outlet] += running_tasks(round, job);
    if (!has_begun && due)
        turn_keys_add(&round->not_begun, key);
    if (!has_begun ? due : is_over || !never_blocks_turn(job))
        turn_keys_add(&round->not_over, key);
    return may_start && !is_over;
}

static int repetition_begun(const struct job *job, int64_t repetition)
{
    for (int64_t no = repetition * job->tasks; no < (repetition + 1) * job->tasks; no++)
        if (job->rows[no].attempt)
            return 1;
    return 0;
}

int outlet_hours_open(const struct plan_round *round, const struct job *job, int64_t repetition, int64_t *next_due_ms)
{
    const struct rule_values *values = &job->rules->values;
    int64_t wall_ms = round->in->wall_ms;
    if (rules_open(values, wall_ms) || repetition_begun(job, repetition))
        return 1;
    if (rules_opens_ms(values, wall_ms) < *next_due_ms)
        *next_due_ms = rules_opens_ms(values, wall_ms);
    return 0;
}

int64_t outlet_wait_start_ms(const struct plan_round *round, const struct job *job, int64_t since_ms)
{
    int64_t opened_ms = rules_opened_ms(&job->rules->values, round->in->wall_ms);
    return opened_ms > since_ms ? opened_ms : since_ms;
}

int64_t outlet_placement_limit(const struct plan_round *round, const struct plan_entry *entry, int64_t limit)
{
    const struct job_rules *rules = entry->job->rules;
    if (!rules || rules->values.running_most <= 0)
        return limit;
    const struct step_spec *step = entry_step(entry);
    int64_t remaining = rules->values.running_most - round->outlet_runs[rules->outlet];
    if (remaining <= 0 || (step->gang && remaining < step->task_count))
        return 0;
    return remaining < limit && !step->gang ? remaining : limit;
}

void outlet_count_placed(struct plan_round *round, const struct plan_entry *entry, int64_t n)
{
    if (entry->job->rules)
        round->outlet_runs[entry->job->rules->outlet] += n;
}

/* Outlets' jobs in a planning round: their order, hours, and how many tasks of an outlet may be placed at once.
 * Declared in dispatch/plan_round.h. */
#include <stdlib.h>

#include "dispatch/plan_round.h"

/* The key of the line in which jobs of one outlet and queue wait for each other. */
static Word_t line_of(const struct job *job) { return (Word_t)job->rules->outlet << 32 | (Word_t)job->queue; }

static int in_line(Pcvoid_t line, Word_t key)
{
    int rc;
    J1T(rc, line, key);
    return rc;
}

static void line_add(Pvoid_t *line, Word_t key)
{
    int rc;
    J1S(rc, *line, key);
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

/* Tasks that count against running_most: placed, or being placed. */
static int64_t runs_of(const struct plan_round *round, const struct job *job)
{
    int64_t n = job->n_placed, left = job->repetitions * job->tasks - job->n_done - job->n_placed;
    for (int64_t no = 0; round->in->busy && left > 0 && !job_over(job) && no < job->repetitions * job->tasks; no++)
        n += job->rows[no].state == ROW_WAITING && round->in->busy(round->in->arg, job, no);
    return n;
}

/* Whether the job, once begun, holds up no others: it has no end of its own, or repeats. */
static int never_blocks(const struct job *job)
{
    for (int64_t s = 0; s < job->spec.n_steps; s++)
        if (job->spec.steps[s].long_running)
            return 1;
    return job->repetitions > 1;
}

int outlet_job_may_start(struct plan_round *round, const struct job *job, int due)
{
    Word_t line = line_of(job);
    int64_t in_turn = job->rules->values.in_turn;
    int begun = job->state != JOB_PENDING, over = job_over(job);
    int may = begun || in_turn == TURN_ANY || in_turn == RULE_UNSET ||
              !in_line(in_turn == TURN_OVER ? round->not_over : round->not_begun, line);
    round->outlet_runs[job->rules->outlet] += runs_of(round, job);
    if (!begun && due)
        line_add(&round->not_begun, line);
    if (!begun ? due : over || !never_blocks(job))
        line_add(&round->not_over, line);
    return may && !over;
}

static int time_begun(const struct job *job, int64_t repetition)
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
    if (rules_open(values, wall_ms) || time_begun(job, repetition))
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
    int64_t room = rules->values.running_most - round->outlet_runs[rules->outlet];
    if (room <= 0 || (step->gang && room < step->task_count))
        return 0;
    return room < limit && !step->gang ? room : limit;
}

void outlet_count_placed(struct plan_round *round, const struct plan_entry *entry, int64_t n)
{
    if (entry->job->rules)
        round->outlet_runs[entry->job->rules->outlet] += n;
}

/* Outlets' jobs in a round of placing: whose turn it is, within which hours, and how
 * many tasks of an outlet may be placed at once. Jobs are shown in order of acceptance. */
#include <stdlib.h>

#include "dispatch/plan_round.h"

/* Jobs of one outlet and queue wait for each other. */
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

void turns_begin(struct plan_round *round)
{
    int64_t n = round->in->record->rules.nOutlets;
    turns_free(round);
    if (!n)
        return;
    round->outletRuns = must_grow(round->outletRuns, sizeof *round->outletRuns * (size_t)n);
    for (int64_t i = 0; i < n; i++)
        round->outletRuns[i] = 0;
}

void turns_free(struct plan_round *round)
{
    Word_t freed;
    J1FA(freed, round->notBegun);
    J1FA(freed, round->notOver);
    (void)freed;
}

/* Tasks that take their share of runningMost: placed, or promised a place. */
static int64_t runs_of(const struct plan_round *round, const struct job *job)
{
    int64_t n = job->nPlaced, left = job->times * job->tasks - job->nDone - job->nPlaced;
    for (int64_t no = 0; round->in->busy && left > 0 && !job_over(job) && no < job->times * job->tasks; no++)
        n += job->rows[no].state == ROW_WAITING && round->in->busy(round->in->arg, job, no);
    return n;
}

/* Work without an end of its own, or that comes again and again, holds up nobody once begun. */
static int goes_on(const struct job *job)
{
    for (int64_t s = 0; s < job->spec.nSteps; s++)
        if (job->spec.steps[s].lasting)
            return 1;
    return job->times > 1;
}

int turns_may_begin(struct plan_round *round, const struct job *job, int due)
{
    Word_t line = line_of(job);
    int64_t inTurn = job->rules->values.inTurn;
    int begun = job->state != JOB_PENDING, over = job_over(job);
    int may = begun || inTurn == TURN_ANY || inTurn == RULE_UNSET ||
              !in_line(inTurn == TURN_OVER ? round->notOver : round->notBegun, line);
    round->outletRuns[job->rules->outlet] += runs_of(round, job);
    if (!begun && due)
        line_add(&round->notBegun, line);
    if (!begun ? due : over || !goes_on(job))
        line_add(&round->notOver, line);
    return may && !over;
}

static int time_begun(const struct job *job, int64_t time)
{
    for (int64_t no = time * job->tasks; no < (time + 1) * job->tasks; no++)
        if (job->rows[no].attempt)
            return 1;
    return 0;
}

int turns_open(const struct plan_round *round, const struct job *job, int64_t time, int64_t *nextDueMs)
{
    const struct rule_values *values = &job->rules->values;
    int64_t wallMs = round->in->wallMs;
    if (rules_open(values, wallMs) || time_begun(job, time))
        return 1;
    if (rules_opens_ms(values, wallMs) < *nextDueMs)
        *nextDueMs = rules_opens_ms(values, wallMs);
    return 0;
}

int64_t turns_since_ms(const struct plan_round *round, const struct job *job, int64_t sinceMs)
{
    int64_t openedMs = rules_opened_ms(&job->rules->values, round->in->wallMs);
    return openedMs > sinceMs ? openedMs : sinceMs;
}

int64_t turns_room(const struct plan_round *round, const struct plan_entry *entry, int64_t most)
{
    const struct job_rules *rules = entry->job->rules;
    if (!rules || rules->values.runningMost <= 0)
        return most;
    const struct step_spec *step = entry_step(entry);
    int64_t room = rules->values.runningMost - round->outletRuns[rules->outlet];
    if (room <= 0 || (step->gang && room < step->taskCount))
        return 0;
    return room < most && !step->gang ? room : most;
}

void turns_took(struct plan_round *round, const struct plan_entry *entry, int64_t n)
{
    if (entry->job->rules)
        round->outletRuns[entry->job->rules->outlet] += n;
}

/* Ops that change rows: placements and ends. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "dispatch/record_internal.h"

/* A row of a live job, and its position. */
struct position {
    struct job *job;
    struct row *row;
    const struct step_spec *step;
    int64_t row_index, repetition, group; /* group: index into unfinished, waiting and last_failed_attempts */
};

/* Fills position; returns 0 if there is no such row. */
static int row_find(const struct record *record, int64_t id, int64_t task, struct position *position)
{
    struct job *job = record_job(record, id);
    int64_t row_index = job ? job_row(job, task) : -1;
    if (row_index < 0)
        return 0;
    *position = (struct position){.job = job,
                                  .row = &job->rows[row_index],
                                  .step = &job->spec.steps[task_step(task)],
                                  .row_index = row_index,
                                  .repetition = task_repetition(task)};
    position->group = position->repetition * job->spec.n_steps + task_step(task);
    return 1;
}

/* Changes the state of a row and updates all counts. incarnation: of a row that becomes PLACED, else -1. */
static void row_transition(struct record *record, const struct position *position, struct row *row, int32_t state,
                           int32_t incarnation, int64_t at_ms)
{
    struct job *job = position->job;
    if (row->state == ROW_PLACED)
        record->incarnations[row->incarnation].placed--, job->n_placed--;
    else if (row->state == ROW_WAITING)
        job->waiting[position->group]--;
    if (state == ROW_PLACED)
        record->incarnations[incarnation].placed++, job->n_placed++;
    else if (state == ROW_WAITING)
        job->waiting[position->group]++;
    else if (state == ROW_DONE)
        job->unfinished[position->group]--, job->n_done++;
    row->state = state;
    row->incarnation = incarnation;
    row->since_ms = at_ms;
}

static void row_set_checkpoint(struct row *row, const char *checkpoint)
{
    free(row->checkpoint);
    row->checkpoint = must_dup(checkpoint);
}

/* --- placing ------------------------------------------------------------ */

static int64_t incarnation_find_or_add(struct record *record, const char *name, int64_t agent)
{
    int64_t at = record_incarnation(record, name);
    for (int64_t i = 0; i < record->n_incarnations && at < 0; i++)
        if (!record->incarnations[i].placed)
            at = i;
    if (at < 0) {
        array_add(record->incarnations, record->n_incarnations);
        at = record->n_incarnations - 1;
    }
    struct incarnation *incarnation = &record->incarnations[at];
    if (!incarnation->name || strcmp(incarnation->name, name)) {
        if (incarnation->name)
            JudySLDel(&record->incarnation_numbers, (const uint8_t *)incarnation->name, PJE0);
        free(incarnation->name);
        incarnation->name = must_dup(name);
        record_index_incarnation(record, at);
    }
    incarnation->agent = agent;
    return at;
}

/* A run of an OP_PLACE. claimed: it will be placed. Until all runs of the op are checked, its row has the incarnation
 * CLAIMED, so that a second run for the same row is refused. */
enum { CLAIMED = -2 };
struct place_claim {
    struct position position;
    int claimed, refused;
};

static int may_place(const struct position *position, const struct run_ref *run)
{
    return !job_over(position->job) && position->row->state == ROW_WAITING && position->row->incarnation != CLAIMED &&
           run->attempt > position->row->attempt && run->attempt <= INT32_MAX &&
           job_step_is_ready(position->job, position->repetition, task_step(run->task));
}

/* Releases the claims on rows of a gang and refuses its other runs in the op: a gang is placed as a whole or not at
 * all.
 */
static void gang_refuse(struct place_claim *claims, int64_t n, struct position gang)
{
    for (int64_t i = 0; i < n; i++) {
        struct place_claim *claim = &claims[i];
        if (claim->position.job != gang.job || claim->position.group != gang.group)
            continue;
        if (claim->claimed)
            claim->position.row->incarnation = -1;
        claim->claimed = 0;
        claim->refused = 1;
    }
}

enum sagehitch_error record_apply_place(struct record *record, const struct place_op *op, int64_t at_ms)
{
    int64_t n = op->n_runs, claimed = 0;
    if (!op->incarnation)
        return ERROR_BAD_FIELD;
    struct place_claim *claims = must_alloc(sizeof *claims * (size_t)n);
    for (int64_t i = 0; i < n; i++)
        claims[i].refused = !row_find(record, op->runs[i].job, op->runs[i].task, &claims[i].position);
    for (int64_t i = 0; i < n; i++) {
        struct place_claim *claim = &claims[i];
        if (claim->refused)
            continue;
        claim->claimed = may_place(&claim->position, &op->runs[i]);
        if (claim->claimed)
            claim->position.row->incarnation = CLAIMED;
        else if (claim->position.step->gang)
            gang_refuse(claims, n, claim->position);
    }
    for (int64_t i = 0; i < n; i++)
        claimed += claims[i].claimed;
    int64_t incarnation = claimed ? incarnation_find_or_add(record, op->incarnation, op->agent) : -1;
    for (int64_t i = 0; i < n; i++) {
        struct place_claim *claim = &claims[i];
        if (!claim->claimed)
            continue;
        claim->position.row->attempt = (int32_t)op->runs[i].attempt;
        row_transition(record, &claim->position, claim->position.row, ROW_PLACED, (int32_t)incarnation, at_ms);
        if (claim->position.job->state == JOB_PENDING)
            claim->position.job->state = JOB_ACTIVE;
    }
    for (int64_t i = 0; i < n; i++)
        if (claims[i].claimed)
            record_notify(record, claims[i].position.job, claims[i].position.row_index);
    free(claims);
    return claimed ? ERROR_NONE : ERROR_STALE;
}

/* --- ends --------------------------------------------------------------- */

/* The rows that an end applies to: its own row, or all rows of the gang. */
struct row_range {
    int64_t from, n;
};

static struct row_range row_range_of(const struct position *position, int whole_gang)
{
    int64_t step = position->step - position->job->spec.steps;
    return whole_gang ? (struct row_range){position->repetition * position->job->tasks + position->job->first[step],
                                           position->step->task_count}
                      : (struct row_range){position->row_index, 1};
}

static void row_end_done(struct record *record, const struct position *position, int64_t at_ms)
{
    struct job *job = position->job;
    struct row_range row_range = row_range_of(position, position->step->gang != 0);
    for (int64_t row_index = row_range.from; row_index < row_range.from + row_range.n; row_index++) {
        row_set_checkpoint(&job->rows[row_index], NULL);
        if (job->rows[row_index].state != ROW_DONE)
            row_transition(record, position, &job->rows[row_index], ROW_DONE, -1, at_ms);
    }
    for (int64_t row_index = row_range.from; row_index < row_range.from + row_range.n; row_index++)
        record_notify(record, job, row_index);
    if (job->n_done == job->repetitions * job->tasks)
        job_end(record, job, JOB_DONE, at_ms);
}

/* Applies an end other than END_DONE: the row becomes WAITING again, or FAILED. END_FAILED counts as a failure; for a
 * gang, once per attempt. */
static void row_end_not_done(struct record *record, const struct position *position, const struct run_ended *end,
                             int64_t at_ms)
{
    struct job *job = position->job;
    int64_t max = JOB_EFFECTIVE_RULE(record, job, attempts_max);
    int gang = position->step->gang != 0;
    int failed = end->how == END_FAILED && !position->step->long_running &&
                 !(gang && job->last_failed_attempts[position->group] == end->attempt);
    int checkpoint = end->checkpoint && *end->checkpoint;
    struct row_range row_range = row_range_of(position, gang && (failed || checkpoint));
    for (int64_t row_index = row_range.from; row_index < row_range.from + row_range.n; row_index++) {
        job->rows[row_index].failures += failed;
        if (checkpoint)
            row_set_checkpoint(&job->rows[row_index], end->checkpoint);
    }
    if (failed)
        job->last_failed_attempts[position->group] = end->attempt;
    int over = failed && position->row->failures >= max; /* max 0 has the same effect as 1 */
    row_transition(record, position, position->row, over ? ROW_FAILED : ROW_WAITING, -1, at_ms);
    for (int64_t row_index = row_range.from; row_index < row_range.from + row_range.n; row_index++)
        record_notify(record, job, row_index);
    if (over)
        job_end(record, job, JOB_FAILED, at_ms);
}

/* Applies an end; returns 0 if it has no effect. An end applies to the attempt that is placed; END_DONE also applies to
 * the newest attempt of a row that is WAITING again. */
static int apply_ended(struct record *record, const struct run_ended *end, int64_t at_ms)
{
    struct position position;
    if (!row_find(record, end->job, end->task, &position) || end->attempt < 1 || position.row->attempt != end->attempt)
        return 0;
    int placed = position.row->state == ROW_PLACED, done = end->how == END_DONE && !position.step->long_running;
    if (!placed && !(done && position.row->state == ROW_WAITING && !job_over(position.job) &&
                     job_step_is_ready(position.job, position.repetition, task_step(end->task))))
        return 0;
    if (job_over(position.job)) {
        row_transition(record, &position, position.row, ROW_WAITING, -1, at_ms);
        record_notify(record, position.job, position.row_index);
        if (job_release(record, position.job))
            record_notify(record, position.job, -1);
    } else if (done) {
        row_end_done(record, &position, at_ms);
    } else {
        row_end_not_done(record, &position, end, at_ms);
    }
    return 1;
}

enum sagehitch_error record_apply_end(struct record *record, const struct end_op *op, int64_t at_ms)
{
    int64_t applied = 0;
    for (int64_t i = 0; i < op->n_ended; i++)
        applied += apply_ended(record, &op->ended[i], at_ms);
    return applied ? ERROR_NONE : ERROR_STALE;
}

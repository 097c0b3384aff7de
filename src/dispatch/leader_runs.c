/* Runs: the leader's view of PLACED rows, and the capacity they use. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "base/events.h"
#include "dispatch/leader_state.h"

static struct incarnation_state *incarnation_state_at(struct dispatch *dispatch, int64_t incarnation)
{
    while (dispatch->n_incarnation_states <= incarnation)
        (void)array_add(dispatch->incarnation_states, dispatch->n_incarnation_states);
    return &dispatch->incarnation_states[incarnation];
}

struct run *run_find(struct dispatch *dispatch, int64_t incarnation, const struct run_ref *ref)
{
    if (incarnation < 0 || incarnation >= dispatch->n_incarnation_states)
        return NULL;
    struct incarnation_state *state = &dispatch->incarnation_states[incarnation];
    for (int64_t i = 0; i < state->n; i++)
        if (state->runs[i].task == ref->task && state->runs[i].job->spec.id == ref->job &&
            state->runs[i].attempt == ref->attempt)
            return &state->runs[i];
    return NULL;
}

struct run *run_of_row(struct dispatch *dispatch, const struct job *job, int64_t row_index)
{
    const struct row *row = job->rows ? &job->rows[row_index] : NULL;
    if (!row || row->state != ROW_PLACED || row->incarnation >= dispatch->n_incarnation_states)
        return NULL;
    struct incarnation_state *state = &dispatch->incarnation_states[row->incarnation];
    for (int64_t i = 0; i < state->n; i++)
        if (state->runs[i].job == job && state->runs[i].row_index == row_index)
            return &state->runs[i];
    return NULL;
}

int64_t incarnation_find(const struct dispatch *dispatch, const char *name)
{
    int64_t incarnation = record_incarnation(dispatch->record, name);
    return incarnation >= 0 && dispatch->record->incarnations[incarnation].placed ? incarnation : -1;
}

static const struct step_spec *step_of(const struct job *job, int64_t row_index, int64_t *repetition, int64_t *step)
{
    int64_t index;
    job_row_position(job, row_index, repetition, step, &index);
    return &job->spec.steps[*step];
}

struct queue_demand *queue_demand(struct dispatch *dispatch, int64_t queue)
{
    while (dispatch->n_queue_demands <= queue)
        (void)array_add(dispatch->queue_demands, dispatch->n_queue_demands);
    return &dispatch->queue_demands[queue];
}

void run_count_capacity(struct dispatch *dispatch, struct run *run, int64_t sign)
{
    int64_t repetition, step;
    const struct step_spec *spec = step_of(run->job, run->row_index, &repetition, &step);
    struct incarnation_state *state = &dispatch->incarnation_states[run->incarnation];
    if (run->capacity_counted == (sign > 0))
        return;
    run->capacity_counted = sign > 0;
    state->cpu_milli += sign * spec->cpu_milli;
    state->memory_mb += sign * spec->memory_mb;
    state->gpus += sign * spec->gpus;
    queue_demand(dispatch, run->job->queue)->cpu_milli += sign * spec->cpu_milli;
}

void run_add(struct dispatch *dispatch, struct job *job, int64_t row_index)
{
    struct row *row = &job->rows[row_index];
    struct incarnation_state *state = incarnation_state_at(dispatch, row->incarnation);
    int64_t now_ms = world_ms(dispatch->world);
    if (!state->n) {
        state->cpu_milli = state->memory_mb = state->gpus = 0;
        if (state->grant_ms < now_ms)
            state->grant_ms = now_ms;
    }
    struct run *run = array_add(state->runs, state->n);
    *run = (struct run){.job = job,
                        .row_index = row_index,
                        .task = job_task(job, row_index),
                        .attempt = row->attempt,
                        .placed_ms = now_ms,
                        .percent_ms = now_ms,
                        .percent = -1,
                        .stopping = job_over(job),
                        .incarnation = row->incarnation};
    run_count_capacity(dispatch, run, 1);
    PPvoid_t at;
    JLI(at, dispatch->run_incarnations, row_key(job, row_index));
    *at = (Pvoid_t)(Word_t)row->incarnation;
    struct executor_view *view = executor_view_of_incarnation(dispatch, row->incarnation);
    if (view)
        view->dirty = 1;
}

void run_drop(struct dispatch *dispatch, struct job *job, int64_t row_index)
{
    PPvoid_t at;
    int rc;
    JLG(at, dispatch->run_incarnations, row_key(job, row_index));
    if (!at)
        return;
    struct incarnation_state *state = &dispatch->incarnation_states[(int64_t)(Word_t)*at];
    JLD(rc, dispatch->run_incarnations, row_key(job, row_index));
    (void)rc;
    for (int64_t i = 0; i < state->n; i++) {
        if (state->runs[i].job != job || state->runs[i].row_index != row_index)
            continue;
        run_count_capacity(dispatch, &state->runs[i], -1);
        step_end_settled(dispatch, &state->runs[i]);
        struct executor_view *view =
            state->runs[i].end_seq ? executor_view_of_incarnation(dispatch, state->runs[i].incarnation) : NULL;
        if (view)
            view->dirty = 1; /* acknowledging the committed end at once saves further polls */
        state->runs[i] = state->runs[--state->n];
        return;
    }
}

void run_stop(struct dispatch *dispatch, struct run *run)
{
    if (run->stopping)
        return;
    run->stopping = 1;
    run->stop_sent_ms = 0;
    struct executor_view *view = executor_view_of_incarnation(dispatch, run->job->rows[run->row_index].incarnation);
    if (view)
        view->dirty = 1;
}

void run_gang_stop(struct dispatch *dispatch, struct job *job, int64_t row_index)
{
    int64_t repetition, step;
    const struct step_spec *spec = step_of(job, row_index, &repetition, &step);
    if (!spec->gang)
        return;
    int64_t first = repetition * job->tasks + job->first[step];
    for (int64_t i = first; i < first + spec->task_count; i++) {
        struct run *run = run_of_row(dispatch, job, i);
        if (run)
            run_stop(dispatch, run);
    }
}

/* The last op of the open batch if it is an OP_END, else a new OP_END. */
static struct end_op *end_op_open(struct dispatch *dispatch)
{
    const struct record_batch *ops = dispatch->open_batch ? &dispatch->open_batch->ops : NULL;
    if (ops && ops->n && ops->ops[ops->n - 1].kind == OP_END)
        return record_op_append_end(&ops->ops[ops->n - 1]);
    return record_op_make_end(dispatch_op(dispatch));
}

void run_end(struct dispatch *dispatch, struct run *run, int64_t how, const char *checkpoint)
{
    if (run->ending)
        return;
    run->ending = 1;
    dispatch->plan_needed = 1;
    if (how == END_DONE)
        step_end_pending(dispatch, run);
    run_count_capacity(dispatch, run, -1); /* placements that use it are committed after this end */
    struct end_op *op = end_op_open(dispatch);
    *array_add(op->ended, op->n_ended) =
        (struct run_ended){.job = run->job->spec.id,
                           .task = run->task,
                           .attempt = run->attempt,
                           .how = how,
                           .checkpoint = must_dup(checkpoint && *checkpoint ? checkpoint : NULL)};
    *array_add(dispatch->open_batch->ends, dispatch->open_batch->n_ends) =
        (struct run_ref){.job = run->job->spec.id, .task = run->task, .attempt = run->attempt};
}

int64_t incarnation_lapse_runs(struct dispatch *dispatch, int64_t incarnation, int64_t orders_taken)
{
    struct incarnation_state *state = &dispatch->incarnation_states[incarnation];
    int64_t lapsed = 0;
    for (int64_t i = 0; i < state->n; i++)
        if (!state->runs[i].ending && state->runs[i].start_orders_number <= orders_taken) {
            run_end(dispatch, &state->runs[i], END_LAPSED, NULL);
            lapsed++;
        }
    return lapsed;
}

void incarnation_lapse_silent(struct dispatch *dispatch, int64_t incarnation, int64_t orders_taken)
{
    int64_t lapsed = incarnation_lapse_runs(dispatch, incarnation, orders_taken);
    if (lapsed)
        world_note(dispatch->world, EV_EXECUTOR_GONE, "runs=%lld executor=%s", (long long)lapsed,
                   dispatch->record->incarnations[incarnation].name);
}

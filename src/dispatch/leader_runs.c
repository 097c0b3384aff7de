/* Runs: the leader's view of PLACED rows, and the room they take. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
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

struct run *run_of_row(struct dispatch *dispatch, const struct job *job, int64_t no)
{
    const struct row *row = job->rows ? &job->rows[no] : NULL;
    if (!row || row->state != ROW_PLACED || row->incarnation >= dispatch->n_incarnation_states)
        return NULL;
    struct incarnation_state *state = &dispatch->incarnation_states[row->incarnation];
    for (int64_t i = 0; i < state->n; i++)
        if (state->runs[i].job == job && state->runs[i].no == no)
            return &state->runs[i];
    return NULL;
}

int64_t incarnation_find(const struct dispatch *dispatch, const char *name)
{
    int64_t incarnation = record_incarnation(dispatch->record, name);
    return incarnation >= 0 && dispatch->record->incarnations[incarnation].placed ? incarnation : -1;
}

static const struct step_spec *step_of(const struct job *job, int64_t no, int64_t *repetition, int64_t *step)
{
    int64_t index;
    job_row_position(job, no, repetition, step, &index);
    return &job->spec.steps[*step];
}

struct queue_use *queue_use(struct dispatch *dispatch, int64_t queue)
{
    while (dispatch->n_uses <= queue)
        (void)array_add(dispatch->uses, dispatch->n_uses);
    return &dispatch->uses[queue];
}

void run_room(struct dispatch *dispatch, struct run *run, int64_t sign)
{
    int64_t repetition, step;
    const struct step_spec *spec = step_of(run->job, run->no, &repetition, &step);
    struct incarnation_state *state = &dispatch->incarnation_states[run->incarnation];
    if (run->holds == (sign > 0))
        return;
    run->holds = sign > 0;
    state->cpu_milli += sign * spec->cpu_milli;
    state->memory_mb += sign * spec->memory_mb;
    state->gpus += sign * spec->gpus;
    queue_use(dispatch, run->job->queue)->cpu_milli += sign * spec->cpu_milli;
}

void run_add(struct dispatch *dispatch, struct job *job, int64_t no)
{
    struct row *row = &job->rows[no];
    struct incarnation_state *state = incarnation_state_at(dispatch, row->incarnation);
    int64_t now_ms = world_ms(dispatch->world);
    if (!state->n) {
        state->cpu_milli = state->memory_mb = state->gpus = 0;
        if (state->grant_ms < now_ms)
            state->grant_ms = now_ms;
    }
    struct run *run = array_add(state->runs, state->n);
    *run = (struct run){.job = job,
                        .no = no,
                        .task = job_task(job, no),
                        .attempt = row->attempt,
                        .placed_ms = now_ms,
                        .percent_ms = now_ms,
                        .percent = -1,
                        .stopping = job_over(job),
                        .incarnation = row->incarnation};
    run_room(dispatch, run, 1);
    PPvoid_t at;
    JLI(at, dispatch->run_incarnations, row_key(job, no));
    *at = (Pvoid_t)(Word_t)row->incarnation;
    struct executor_view *view = executor_view_of_incarnation(dispatch, row->incarnation);
    if (view)
        view->dirty = 1;
}

void run_drop(struct dispatch *dispatch, struct job *job, int64_t no)
{
    PPvoid_t at;
    int rc;
    JLG(at, dispatch->run_incarnations, row_key(job, no));
    if (!at)
        return;
    struct incarnation_state *state = &dispatch->incarnation_states[(int64_t)(Word_t)*at];
    JLD(rc, dispatch->run_incarnations, row_key(job, no));
    (void)rc;
    for (int64_t i = 0; i < state->n; i++) {
        if (state->runs[i].job != job || state->runs[i].no != no)
            continue;
        run_room(dispatch, &state->runs[i], -1);
        step_end_settled(dispatch, &state->runs[i]);
        struct executor_view *view =
            state->runs[i].end_seq ? executor_view_of_incarnation(dispatch, state->runs[i].incarnation) : NULL;
        if (view)
            view->dirty = 1; /* acknowledging the committed end at once saves polls */
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
    struct executor_view *view = executor_view_of_incarnation(dispatch, run->job->rows[run->no].incarnation);
    if (view)
        view->dirty = 1;
}

void run_gang_stop(struct dispatch *dispatch, struct job *job, int64_t no)
{
    int64_t repetition, step;
    const struct step_spec *spec = step_of(job, no, &repetition, &step);
    if (!spec->gang)
        return;
    int64_t first = repetition * job->tasks + job->first[step];
    for (int64_t i = first; i < first + spec->task_count; i++) {
        struct run *run = run_of_row(dispatch, job, i);
        if (run)
            run_stop(dispatch, run);
    }
}

/* The open batch's last op where it is one of ends, else a new one. */
static struct end_op *end_op_open(struct dispatch *dispatch)
{
    const struct record_batch *ops = dispatch->open ? &dispatch->open->ops : NULL;
    if (ops && ops->n && ops->ops[ops->n - 1].kind == OP_END)
        return record_op_append_end(&ops->ops[ops->n - 1]);
    return record_op_make_end(dispatch_op(dispatch));
}

void run_end(struct dispatch *dispatch, struct run *run, int64_t how, const char *checkpoint)
{
    if (run->ending)
        return;
    run->ending = 1;
    dispatch->plan_due = 1;
    if (how == END_DONE)
        step_end_pending(dispatch, run);
    run_room(dispatch, run, -1); /* what is placed there is committed behind this end */
    struct end_op *op = end_op_open(dispatch);
    *array_add(op->ended, op->n_ended) =
        (struct run_ended){.job = run->job->spec.id,
                           .task = run->task,
                           .attempt = run->attempt,
                           .how = how,
                           .checkpoint = must_dup(checkpoint && *checkpoint ? checkpoint : NULL)};
    *array_add(dispatch->open->ends, dispatch->open->n_ends) =
        (struct run_ref){.job = run->job->spec.id, .task = run->task, .attempt = run->attempt};
}

void incarnation_lapsed(struct dispatch *dispatch, int64_t incarnation, int64_t orders_taken)
{
    struct incarnation_state *state = &dispatch->incarnation_states[incarnation];
    for (int64_t i = 0; i < state->n; i++)
        if (!state->runs[i].ending && state->runs[i].sent_no <= orders_taken)
            run_end(dispatch, &state->runs[i], END_LAPSED, NULL);
}

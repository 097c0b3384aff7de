/* Dispatch: start and end of leadership, batches of ops and their outcome. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "dispatch/leader_state.h"

/* --- the open batch: the ops of one iteration of the event loop --------------- */

struct record_op *dispatch_op(struct dispatch *dispatch)
{
    if (!dispatch->open_batch)
        dispatch->open_batch = must_alloc(sizeof *dispatch->open_batch);
    struct record_op *op = array_add(dispatch->open_batch->ops.ops, dispatch->open_batch->ops.n);
    op->at_ms = dispatch_wall_ms(dispatch);
    return op;
}

static void batch_free(struct dispatch *dispatch, struct batch *batch)
{
    if (!batch)
        return;
    dispatch->pending_job_bytes -= batch->job_bytes;
    schema_free(&record_batch_schema, &batch->ops);
    free(batch->waiters);
    for (int64_t i = 0; i < batch->n_reservations; i++)
        free(batch->reservations[i].incarnation);
    free(batch->reservations);
    free(batch->ends);
    free(batch);
}

void dispatch_answer(struct dispatch *dispatch, int64_t ticket, int64_t kind, int error, const char *detail)
{
    struct api_response answer = api_response_error(kind, error, error_response(error)->retry_ms, detail);
    dispatch->calls.answer(dispatch->calls.arg, ticket, &answer);
}

/* --- changes of the record ---------------------------------------------------- */

static void on_changed(void *arg, struct job *job, int64_t row_index)
{
    struct dispatch *dispatch = arg;
    dispatch->plan_needed = 1;
    if (row_index < 0) {
        if (job_over(job))
            steps_forget(dispatch, job);
        if (!job_over(job) || !job->rows)
            return;
        for (int64_t i = 0; i < job->repetitions * job->tasks; i++) {
            struct run *run = run_of_row(dispatch, job, i);
            if (run)
                run_stop(dispatch, run);
        }
        return;
    }
    const struct row *row = &job->rows[row_index];
    const struct run *previous = run_of_row(dispatch, job, row_index);
    if (previous && previous->attempt == row->attempt)
        return; /* the placement is unchanged, only the checkpoint is new */
    run_drop(dispatch, job, row_index);
    if (row->state == ROW_PLACED)
        run_add(dispatch, job, row_index);
    else if (job->rows[row_index].state == ROW_WAITING)
        run_gang_stop(dispatch, job, row_index);
}

/* --- creation and leadership -------------------------------------------------- */

struct dispatch *dispatch_new(struct world *world, struct record *record, const struct dispatch_settings *settings,
                              const struct dispatch_calls *calls)
{
    struct dispatch *dispatch = must_alloc(sizeof *dispatch);
    *dispatch =
        (struct dispatch){.world = world, .record = record, .settings = *settings, .calls = *calls, .typical_pct = 100};
    dispatch->wall_offset_since_ms = world_ms(world);
    dispatch->wall_offset_ms = world->calls->wall_ms(world) - dispatch->wall_offset_since_ms;
    return dispatch;
}

void dispatch_settings_set(struct dispatch *dispatch, const struct dispatch_settings *settings)
{
    dispatch->settings = *settings;
}

void dispatch_free(struct dispatch *dispatch)
{
    dispatch_become_follower(dispatch);
    slab_end(&dispatch->batches);
    slab_end(&dispatch->pending_reads);
    free(dispatch->candidates);
    free(dispatch->headroom_cpu_milli);
    plan_free(&dispatch->plan);
    free(dispatch);
}

int dispatch_is_leader(const struct dispatch *dispatch) { return (int)dispatch->leading; }

void dispatch_become_leader(struct dispatch *dispatch, int64_t epoch)
{
    dispatch->epoch = epoch;
    dispatch->leading = 1;
    dispatch->lead_since_ms = world_ms(dispatch->world);
    dispatch->record->changed = on_changed;
    dispatch->record->arg = dispatch;
    for (struct job *job = dispatch->record->oldest; job; job = job->next)
        for (int64_t i = 0; job->rows && i < job->repetitions * job->tasks; i++)
            if (job->rows[i].state == ROW_PLACED)
                run_add(dispatch, job, i);
    /* stop the remaining members of a gang that lost a member under a former leader */
    for (struct job *job = dispatch->record->oldest; job; job = job->next)
        for (int64_t i = 0; job->rows && i < job->repetitions * job->tasks; i++)
            if (job->rows[i].state == ROW_WAITING)
                run_gang_stop(dispatch, job, i);
    for (int64_t k = 0; k < dispatch->n_incarnation_states; k++)
        dispatch->incarnation_states[k].grant_ms = dispatch->lead_since_ms + FORMER_LEADER_GRANT_MS;
    dispatch->plan_needed = 1;
    orders_announce(dispatch);
}

static void answer_waiters(struct dispatch *dispatch, const struct batch *batch, int error)
{
    for (int64_t i = 0; i < batch->n_waiters; i++)
        dispatch_answer(dispatch, batch->waiters[i].ticket, batch->waiters[i].kind, error, NULL);
}

void dispatch_become_follower(struct dispatch *dispatch)
{
    Word_t freed;
    if (!dispatch->leading)
        return;
    dispatch->leading = 0;
    dispatch->record->changed = NULL;
    if (dispatch->open_batch)
        answer_waiters(dispatch, dispatch->open_batch, ERROR_NOT_LEADER);
    batch_free(dispatch, dispatch->open_batch);
    dispatch->open_batch = NULL;
    for (int64_t i = 0; i < dispatch->batches.cap; i++) {
        int64_t tag = slab_number(&dispatch->batches, i);
        struct batch **batch = slab_at(&dispatch->batches, tag);
        if (!batch)
            continue;
        answer_waiters(dispatch, *batch, ERROR_NOT_LEADER);
        batch_free(dispatch, *batch);
        slab_free(&dispatch->batches, tag);
    }
    for (int64_t i = 0; i < dispatch->pending_reads.cap; i++) {
        int64_t tag = slab_number(&dispatch->pending_reads, i);
        struct pending_read *pending_read = slab_at(&dispatch->pending_reads, tag);
        if (!pending_read)
            continue;
        dispatch_answer(dispatch, pending_read->ticket, pending_read->request.kind, ERROR_NOT_LEADER, NULL);
        schema_free(&api_request_schema, &pending_read->request);
        slab_free(&dispatch->pending_reads, tag);
    }
    for (int64_t k = 0; k < dispatch->n_incarnation_states; k++)
        free(dispatch->incarnation_states[k].runs);
    free(dispatch->incarnation_states);
    dispatch->incarnation_states = NULL;
    dispatch->n_incarnation_states = 0;
    for (int64_t i = 0; i < dispatch->n_executor_views; i++)
        executor_view_free(dispatch->executor_views[i]);
    free(dispatch->executor_views);
    dispatch->executor_views = NULL;
    dispatch->n_executor_views = 0;
    free(dispatch->queue_demands);
    dispatch->queue_demands = NULL;
    dispatch->n_queue_demands = 0;
    steps_forget_all(dispatch);
    J1FA(freed, dispatch->busy);
    JLFA(freed, dispatch->run_incarnations);
    JLFA(freed, dispatch->agent_executor_views);
    (void)freed;
}

void dispatch_on_timer(struct dispatch *dispatch)
{
    update_wall_offset(dispatch);
    if (!dispatch->leading)
        return;
    dispatch->last_tick_ms = world_ms(dispatch->world);
    watch_on_timer(dispatch);
}

void dispatch_flush(struct dispatch *dispatch)
{
    if (!dispatch->leading)
        return;
    int64_t now_ms = world_ms(dispatch->world);
    requests_flush(dispatch);
    if (dispatch->plan_needed || now_ms >= dispatch->next_plan_ms)
        place_round(dispatch);
    for (int64_t i = 0; i < dispatch->n_executor_views; i++)
        if (dispatch->executor_views[i]->dirty)
            orders_send(dispatch, dispatch->executor_views[i], 0);
    if (!dispatch->open_batch || !dispatch->open_batch->ops.n)
        return;
    struct bytes packed = {0};
    struct batch *batch = dispatch->open_batch;
    schema_pack(&record_batch_schema, &batch->ops, &packed);
    schema_free(&record_batch_schema, &batch->ops);
    memset(&batch->ops, 0, sizeof batch->ops);
    int64_t tag = slab_take(&dispatch->batches, sizeof batch);
    *(struct batch **)slab_at(&dispatch->batches, tag) = batch;
    dispatch->open_batch = NULL;
    dispatch->calls.propose(dispatch->calls.arg, &packed, tag);
    bytes_free(&packed);
}

void dispatch_committed(struct dispatch *dispatch, int64_t tag, int error, const struct bytes *result)
{
    struct batch **entry = slab_at(&dispatch->batches, tag);
    struct record_result results = {0};
    if (!entry)
        return;
    struct batch *batch = *entry;
    slab_free(&dispatch->batches, tag);
    if (!error && (!result || schema_unpack(&record_result_schema, &results, result->at, result->len)))
        error = ERROR_OUTCOME_UNKNOWN;
    for (int64_t i = 0; i < batch->n_waiters; i++) {
        const struct waiter *waiter = &batch->waiters[i];
        int rc = error                    ? ERROR_NOT_LEADER
                 : waiter->op < results.n ? (int)results.errors[waiter->op]
                                          : ERROR_OUTCOME_UNKNOWN;
        dispatch_answer(dispatch, waiter->ticket, waiter->kind, rc, NULL);
    }
    for (int64_t i = 0; i < batch->n_reservations; i++) {
        const struct reservation *reservation = &batch->reservations[i];
        struct executor_view *view = executor_view_of(dispatch, reservation->agent);
        int rc;
        J1U(rc, dispatch->busy, row_key(reservation->job, reservation->row_index));
        (void)rc;
        if (!view->executor.incarnation || strcmp(view->executor.incarnation, reservation->incarnation))
            continue;
        view->cpu_reserved -= reservation->cpu_milli;
        view->memory_reserved -= reservation->memory_mb;
        view->gpus_reserved -= reservation->gpus;
    }
    for (int64_t i = 0; i < batch->n_ends; i++) {
        const struct job *job = record_job(dispatch->record, batch->ends[i].job);
        int64_t row_index = job ? job_row(job, batch->ends[i].task) : -1;
        struct run *run = row_index >= 0 ? run_of_row(dispatch, job, row_index) : NULL;
        if (!run || run->attempt != batch->ends[i].attempt)
            continue;
        run->ending = 0;
        step_end_settled(dispatch, run);
        run_count_capacity(dispatch, run, 1);
    }
    dispatch->plan_needed = 1;
    schema_free(&record_result_schema, &results);
    batch_free(dispatch, batch);
}

/* Periodic checks: expired leases, stalled runs, gangs whose members do not all start, and jobs past their retention
 * time. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/leader_state.h"

enum { WATCH_MS = 100, DEMAND_MEAN_MS = 5000 };

int64_t dispatch_wall_ms(const struct dispatch *dispatch)
{
    return world_ms(dispatch->world) + dispatch->wall_offset_ms;
}

/* A jump of the machine's time of day is accepted once it has lasted as long as the offset before it had lasted, but
 * after WALL_JUMP_CONFIRM_MAX_MS at the latest. So a jump that is soon undone starts no repetition early or late.
 * Followers run this too, because one of them becomes the next leader. */
void update_wall_offset(struct dispatch *dispatch)
{
    int64_t now_ms = world_ms(dispatch->world), offset_ms = dispatch->world->calls->wall_ms(dispatch->world) - now_ms;
    int64_t jump_ms = offset_ms - dispatch->wall_offset_ms;
    if (jump_ms > -WALL_JUMP_MIN_MS && jump_ms < WALL_JUMP_MIN_MS) {
        dispatch->wall_offset_ms = offset_ms;
        dispatch->wall_jump_since_ms = 0;
        return;
    }
    if (!dispatch->wall_jump_since_ms)
        dispatch->wall_jump_since_ms = now_ms;
    int64_t offset_age_ms = dispatch->wall_jump_since_ms - dispatch->wall_offset_since_ms;
    if (now_ms - dispatch->wall_jump_since_ms <=
        (offset_age_ms < WALL_JUMP_CONFIRM_MAX_MS ? offset_age_ms : WALL_JUMP_CONFIRM_MAX_MS))
        return;
    dispatch->wall_offset_ms = offset_ms;
    dispatch->wall_offset_since_ms = dispatch->wall_jump_since_ms;
    dispatch->wall_jump_since_ms = 0;
}

/* Ends runs whose lease was last renewed longer ago than its length and a margin; 2 % are added for slow clocks. */
static void watch_leases(struct dispatch *dispatch, int64_t now_ms)
{
    int64_t wait_ms = dispatch->settings.lease_ms * 102 / 100 + LEASE_MARGIN_MS;
    for (int64_t k = 0; k < dispatch->n_incarnation_states; k++)
        if (dispatch->incarnation_states[k].n && now_ms - dispatch->incarnation_states[k].grant_ms > wait_ms)
            incarnation_lapse_silent(dispatch, k, INT64_MAX);
}

static const struct step_spec *spec_of(const struct run *run)
{
    int64_t repetition, step, index;
    job_row_position(run->job, run->row_index, &repetition, &step, &index);
    return &run->job->spec.steps[step];
}

/* How long a gang may take until all its members are reported running. An executor ends a member that has waited
 * gang_timeout_ms for the others; only part of that time is used here, so that a stop order arrives before. */
static int64_t gang_start_max_ms(const struct dispatch *dispatch)
{
    int64_t part_ms = dispatch->settings.gang_timeout_ms * GANG_START_MAX_PCT / 100;
    return part_ms < GANG_START_MAX_MS ? part_ms : GANG_START_MAX_MS;
}

/* How long a run may report no progress; a run that resumes from a checkpoint reports none for restore_ms. */
static int64_t stall_timeout_ms(const struct dispatch *dispatch)
{
    int64_t restored_ms = dispatch->settings.restore_ms + RESTORE_MARGIN_MS;
    return restored_ms > STALL_TIMEOUT_MS ? restored_ms : STALL_TIMEOUT_MS;
}

static void watch_run(struct dispatch *dispatch, struct executor_view *view, struct run *run, int64_t now_ms)
{
    const struct step_spec *spec = spec_of(run);
    if (run->stopping || run->ending)
        return;
    if (spec->gang && !run->started_ms && now_ms - run->placed_ms > gang_start_max_ms(dispatch)) {
        run_gang_stop(dispatch, run->job, run->row_index);
        return;
    }
    /* not for long-running steps, whose percent has no meaning, and only while the executor answers */
    if (!spec->long_running && run->started_ms && !view->executor.silent_ms &&
        now_ms - run->seen_ms < REPORT_MAX_AGE_MS && now_ms - run->percent_ms > stall_timeout_ms(dispatch) &&
        run->percent >= 0) {
        executor_view_count_outcome(dispatch, view, 1, 2);
        run_stop(dispatch, run);
        run_gang_stop(dispatch, run->job, run->row_index);
    }
}

static void watch_runs(struct dispatch *dispatch, int64_t now_ms)
{
    for (int64_t k = 0; k < dispatch->n_incarnation_states; k++) {
        struct executor_view *view =
            dispatch->incarnation_states[k].n ? executor_view_of_incarnation(dispatch, k) : NULL;
        int resend = 0;
        for (int64_t i = 0; view && i < dispatch->incarnation_states[k].n; i++) {
            struct run *run = &dispatch->incarnation_states[k].runs[i];
            watch_run(dispatch, view, run, now_ms);
            resend |= run->stopping && now_ms - run->stop_sent_ms >= RESEND_MS;
        }
        if (resend && view && view->ready)
            view->dirty = 1;
    }
}

/* What a queue uses plus what its blocked tasks request. Use alone is too low while others occupy the capacity. */
static int64_t demand_cpu_milli(const struct dispatch *dispatch, int64_t queue)
{
    int64_t blocked = queue < dispatch->plan.cap_blocked ? dispatch->plan.blocked_cpu_milli[queue] : 0;
    return dispatch->queue_demands[queue].cpu_milli + blocked;
}

/* Updates the moving average of each queue's demand. */
static void watch_queue_demand(struct dispatch *dispatch)
{
    for (int64_t i = 0; i < dispatch->n_queue_demands; i++)
        dispatch->queue_demands[i].mean_micro_cpu +=
            (demand_cpu_milli(dispatch, i) * 1000 - dispatch->queue_demands[i].mean_micro_cpu) * WATCH_MS /
            DEMAND_MEAN_MS;
}

static void forget_expired_jobs(struct dispatch *dispatch)
{
    int64_t wall_ms = dispatch_wall_ms(dispatch);
    struct forget_op *op = NULL;
    Word_t id = 0;
    Pvoid_t *entry = JudyLFirst(dispatch->record->jobs, &id, PJE0);
    for (; entry; entry = JudyLNext(dispatch->record->jobs, &id, PJE0)) {
        const struct job *job = *entry;
        if (!job_over(job) || job->rows ||
            wall_ms - job->ended_ms < dispatch->settings.job_retention_ms + FORGET_DELAY_MS)
            continue;
        if (!op)
            op = record_op_make_forget(dispatch_op(dispatch));
        *array_add(op->jobs, op->n_jobs) = job->spec.id;
        if (op->n_jobs >= 500)
            return;
    }
}

void watch_on_timer(struct dispatch *dispatch)
{
    if (dispatch->last_tick_ms < dispatch->next_watch_ms)
        return;
    dispatch->next_watch_ms = dispatch->last_tick_ms + WATCH_MS;
    watch_leases(dispatch, dispatch->last_tick_ms);
    watch_runs(dispatch, dispatch->last_tick_ms);
    watch_queue_demand(dispatch);
    if (dispatch->last_tick_ms >= dispatch->next_forget_ms) {
        dispatch->next_forget_ms = dispatch->last_tick_ms + FORGET_DELAY_MS / 4;
        forget_expired_jobs(dispatch);
    }
}

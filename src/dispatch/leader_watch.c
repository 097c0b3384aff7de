/* Periodic checks: expired leases, stalled runs, gangs that do not come together, and jobs whose retention is over. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/leader_state.h"

enum { WATCH_MS = 100, MEAN_MS = 5000 };

int64_t dispatch_wall_ms(const struct dispatch *dispatch)
{
    return world_ms(dispatch->world) + dispatch->wall_ahead_ms;
}

/* A jump of the machine's time of day is accepted once it has lasted as long as the offset before it had, WALL_DOUBT_MS
 * at the most, so that a jump that is undone starts nothing early or late. Followers watch it too, since one of them
 * leads next. */
void watch_wall(struct dispatch *dispatch)
{
    int64_t now_ms = world_ms(dispatch->world), ahead_ms = dispatch->world->calls->wall_ms(dispatch->world) - now_ms;
    int64_t jump_ms = ahead_ms - dispatch->wall_ahead_ms;
    if (jump_ms > -WALL_JUMP_MS && jump_ms < WALL_JUMP_MS) {
        dispatch->wall_ahead_ms = ahead_ms;
        dispatch->wall_doubt_ms = 0;
        return;
    }
    if (!dispatch->wall_doubt_ms)
        dispatch->wall_doubt_ms = now_ms;
    int64_t stood_ms = dispatch->wall_doubt_ms - dispatch->wall_since_ms;
    if (now_ms - dispatch->wall_doubt_ms <= (stood_ms < WALL_DOUBT_MS ? stood_ms : WALL_DOUBT_MS))
        return;
    dispatch->wall_ahead_ms = ahead_ms;
    dispatch->wall_since_ms = dispatch->wall_doubt_ms;
    dispatch->wall_doubt_ms = 0;
}

/* Ends runs whose agent was last answered longer ago than the lease and a margin, allowing for a clock 2 % slow. */
static void watch_leases(struct dispatch *dispatch, int64_t now_ms)
{
    int64_t wait_ms = dispatch->settings.lease_ms * 102 / 100 + LAPSE_MARGIN_MS;
    for (int64_t k = 0; k < dispatch->n_incarnation_states; k++)
        if (dispatch->incarnation_states[k].n && now_ms - dispatch->incarnation_states[k].grant_ms > wait_ms)
            incarnation_lapsed(dispatch, k, INT64_MAX);
}

static const struct step_spec *spec_of(const struct run *run)
{
    int64_t repetition, step, index;
    job_row_position(run->job, run->no, &repetition, &step, &index);
    return &run->job->spec.steps[step];
}

/* How long a gang may take until all its members are reported running. An executor ends a member that has waited
 * gang_timeout_ms for the others; the remaining part of it is left for the stop order to arrive before. */
static int64_t gather_ms(const struct dispatch *dispatch)
{
    int64_t part_ms = dispatch->settings.gang_timeout_ms * GATHER_PCT / 100;
    return part_ms < GATHER_MS ? part_ms : GATHER_MS;
}

/* How long a run may report no progress; a resumed one reports none for restore_ms. */
static int64_t stall_ms(const struct dispatch *dispatch)
{
    int64_t restored_ms = dispatch->settings.restore_ms + RESTORED_MS;
    return restored_ms > STALL_MS ? restored_ms : STALL_MS;
}

static void watch_run(struct dispatch *dispatch, struct executor_view *view, struct run *run, int64_t now_ms)
{
    const struct step_spec *spec = spec_of(run);
    if (run->stopping || run->ending)
        return;
    if (spec->gang && !run->started_ms && now_ms - run->placed_ms > gather_ms(dispatch)) {
        run_gang_stop(dispatch, run->job, run->no);
        return;
    }
    /* not for lasting steps, whose percent has no meaning, and only while the executor answers */
    if (!spec->long_running && run->started_ms && !view->executor.silent_ms && now_ms - run->seen_ms < FRESH_MS &&
        now_ms - run->percent_ms > stall_ms(dispatch) && run->percent >= 0) {
        executor_view_judge(dispatch, view, 1, 2);
        run_stop(dispatch, run);
        run_gang_stop(dispatch, run->job, run->no);
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

/* What a queue uses and what its blocked tasks request: what it uses alone says little where others hold the room. */
static int64_t demand_cpu_milli(const struct dispatch *dispatch, int64_t queue)
{
    int64_t blocked = queue < dispatch->plan.cap_blocked ? dispatch->plan.blocked_cpu_milli[queue] : 0;
    return dispatch->uses[queue].cpu_milli + blocked;
}

/* Updates the moving averages of the queues' demand. */
static void watch_uses(struct dispatch *dispatch)
{
    for (int64_t i = 0; i < dispatch->n_uses; i++)
        dispatch->uses[i].mean_micro +=
            (demand_cpu_milli(dispatch, i) * 1000 - dispatch->uses[i].mean_micro) * WATCH_MS / MEAN_MS;
}

static void watch_old_jobs(struct dispatch *dispatch)
{
    int64_t wall_ms = dispatch_wall_ms(dispatch);
    struct forget_op *op = NULL;
    Word_t id = 0;
    Pvoid_t *cell = JudyLFirst(dispatch->record->jobs, &id, PJE0);
    for (; cell; cell = JudyLNext(dispatch->record->jobs, &id, PJE0)) {
        const struct job *job = *cell;
        if (!job_over(job) || job->rows || wall_ms - job->ended_ms < dispatch->settings.job_retention_ms + FORGET_MS)
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
    if (dispatch->timer_ms < dispatch->watch_ms)
        return;
    dispatch->watch_ms = dispatch->timer_ms + WATCH_MS;
    watch_leases(dispatch, dispatch->timer_ms);
    watch_runs(dispatch, dispatch->timer_ms);
    watch_uses(dispatch);
    if (dispatch->timer_ms >= dispatch->forget_ms) {
        dispatch->forget_ms = dispatch->timer_ms + FORGET_MS / 4;
        watch_old_jobs(dispatch);
    }
}

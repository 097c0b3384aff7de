/* A placement round: builds the candidates from the executor views, plans, proposes ops for the placements, and
 * preempts runs if more urgent work is blocked. */
#include <stdlib.h>
#include <string.h>

#include "dispatch/leader_state.h"

enum { HEADROOM_PCT = 220, VICTIMS_MAX = 4, PREEMPT_INTERVAL_MS = 500, PREEMPT_AFTER_MS = 6000 };

static void candidates_build(struct dispatch *dispatch)
{
    int64_t now_ms = world_ms(dispatch->world);
    dispatch->n_candidates = 0;
    dispatch->candidates =
        must_grow(dispatch->candidates, sizeof *dispatch->candidates * (size_t)(dispatch->n_executor_views + 1));
    for (int64_t i = 0; i < dispatch->n_executor_views; i++) {
        struct executor_view *view = dispatch->executor_views[i];
        if (!view->present)
            continue;
        int64_t incarnation = incarnation_find(dispatch, view->executor.incarnation);
        const struct executor_state *executor = &view->executor;
        struct candidate *candidate = &dispatch->candidates[dispatch->n_candidates++];
        *candidate =
            (struct candidate){.incarnation = executor->incarnation,
                               .service = executor->service,
                               .zone = executor->zone,
                               .rack = executor->rack,
                               .labels = executor->labels,
                               .n_labels = executor->n_labels,
                               .agent = view->agent,
                               .incarnation_no = incarnation,
                               .cpu_milli = executor->cpu_milli,
                               .memory_mb = executor->memory_mb,
                               .gpus = executor->gpus,
                               .cpu_free = executor->cpu_milli - view->cpu_reserved,
                               .memory_free = executor->memory_mb - view->memory_reserved,
                               .gpus_free = executor->gpus - view->gpus_reserved,
                               .open = executor_view_accepts_work(dispatch, view),
                               .departs_ms = executor->departure_ms > 0 ? now_ms + executor->departure_ms : INT64_MAX,
                               .duration_pct = view->duration_pct,
                               .failures = view->failure_pct / 30};
        if (incarnation < 0 || incarnation >= dispatch->n_incarnation_states)
            continue;
        candidate->cpu_free -= dispatch->incarnation_states[incarnation].cpu_milli;
        candidate->memory_free -= dispatch->incarnation_states[incarnation].memory_mb;
        candidate->gpus_free -= dispatch->incarnation_states[incarnation].gpus;
    }
}

/* Computes the CPU that each queue leaves free for more urgent queues: HEADROOM_PCT of their mean demand, less what
 * they use now, because urgent work comes in bursts. */
static void headroom_compute(struct dispatch *dispatch)
{
    const struct record *record = dispatch->record;
    dispatch->headroom_cpu_milli =
        must_grow(dispatch->headroom_cpu_milli, sizeof *dispatch->headroom_cpu_milli * (size_t)(record->n_queues + 1));
    for (int64_t i = 0; i < record->n_queues; i++) {
        const struct queue_config *own_config = &record->queues[i].config;
        dispatch->headroom_cpu_milli[i] = 0;
        for (int64_t k = 0; k < record->n_queues; k++) {
            const struct queue_config *other_config = &record->queues[k].config;
            const struct queue_demand *demand = queue_demand(dispatch, k);
            int64_t keep = demand->mean_micro_cpu / 1000 * HEADROOM_PCT / 100 - demand->cpu_milli;
            if (other_config->priority < own_config->priority && keep > 0 &&
                !strcmp(other_config->service, own_config->service))
                dispatch->headroom_cpu_milli[i] += keep;
        }
    }
}

static int is_busy(void *arg, const struct job *job, int64_t row_index)
{
    struct dispatch *dispatch = arg;
    int rc;
    J1T(rc, dispatch->busy, row_key(job, row_index));
    if (rc || job->rows[row_index].state != ROW_PLACED)
        return rc;
    const struct run *run = run_of_row(dispatch, job, row_index);
    return run && (run->stopping || run->ending);
}

static int64_t ends_pending(void *arg, const struct job *job, int64_t row_index)
{
    return step_ends_pending(arg, job, row_index);
}

/* The op for placements on this candidate among the ops of the open batch from from_op on, added if there is none: each
 * executor has one op. All ops of a gang are in one batch. */
static struct place_op *place_op_of(struct dispatch *dispatch, const struct candidate *candidate, int64_t from_op)
{
    for (int64_t i = from_op; dispatch->open_batch && i < dispatch->open_batch->ops.n; i++) {
        struct record_op *op = &dispatch->open_batch->ops.ops[i];
        if (op->kind == OP_PLACE && !strcmp(record_op_place(op)->incarnation, candidate->incarnation))
            return record_op_append_place(op);
    }
    struct place_op *place = record_op_make_place(dispatch_op(dispatch));
    place->incarnation = must_dup(candidate->incarnation);
    place->agent = candidate->agent;
    return place;
}

static void placement_propose(struct dispatch *dispatch, const struct placement *placement,
                              const struct candidate *candidate, int64_t from_op)
{
    const struct step_spec *spec = &placement->job->spec.steps[placement->step];
    struct place_op *op = place_op_of(dispatch, candidate, from_op);
    *array_add(op->runs, op->n_runs) = (struct run_ref){.job = placement->job->spec.id,
                                                        .task = job_task(placement->job, placement->row_index),
                                                        .attempt = placement->attempt};
    struct reservation *reservation =
        array_add(dispatch->open_batch->reservations, dispatch->open_batch->n_reservations);
    *reservation = (struct reservation){.job = placement->job,
                                        .row_index = placement->row_index,
                                        .agent = candidate->agent,
                                        .cpu_milli = spec->cpu_milli,
                                        .memory_mb = spec->memory_mb,
                                        .gpus = spec->gpus,
                                        .incarnation = must_dup(candidate->incarnation)};
    struct executor_view *view = executor_view_of(dispatch, candidate->agent);
    view->cpu_reserved += spec->cpu_milli;
    view->memory_reserved += spec->memory_mb;
    view->gpus_reserved += spec->gpus;
    int rc;
    J1S(rc, dispatch->busy, row_key(placement->job, placement->row_index));
    (void)rc;
}

/* Preempts the runs that lose least, a few at a time, for urgent work that has been blocked for PREEMPT_AFTER_MS.
 * Preempting many at once costs more than it gains, because the stopped runs start again and are stopped again. */
static void preempt(struct dispatch *dispatch, const struct plan_input *input, int64_t now_ms)
{
    struct victim victims[VICTIMS_MAX];
    if (!dispatch->plan.blocked || dispatch->plan.blocked_ms < PREEMPT_AFTER_MS || now_ms < dispatch->next_preempt_ms)
        return;
    dispatch->next_preempt_ms = now_ms + PREEMPT_INTERVAL_MS;
    int64_t n = plan_victims(input, victims, VICTIMS_MAX);
    for (int64_t i = 0; i < n; i++) {
        struct run *run = run_of_row(dispatch, victims[i].job, victims[i].row_index);
        if (!run || run->stopping || run->ending)
            continue;
        run_stop(dispatch, run);
        run_gang_stop(dispatch, victims[i].job, victims[i].row_index);
    }
}

void place_round(struct dispatch *dispatch)
{
    int64_t now_ms = world_ms(dispatch->world), wall_ms = dispatch_wall_ms(dispatch);
    struct plan *plan = &dispatch->plan;
    dispatch->plan_needed = 0;
    candidates_build(dispatch);
    headroom_compute(dispatch);
    struct plan_input input = {.record = dispatch->record,
                               .candidates = dispatch->candidates,
                               .n_candidates = dispatch->n_candidates,
                               .now_ms = now_ms,
                               .wall_ms = wall_ms,
                               .early_ms = dispatch->settings.early_ms,
                               .remote_data_pct = dispatch->settings.remote_data_pct,
                               .max_placements = PLACEMENTS_MAX,
                               .headroom_cpu_milli = dispatch->headroom_cpu_milli,
                               .busy = is_busy,
                               .ends_pending = ends_pending,
                               .arg = dispatch};
    plan_make(&input, plan);
    int64_t from_op = dispatch->open_batch ? dispatch->open_batch->ops.n : 0;
    for (int64_t i = 0; i < plan->n; i++)
        placement_propose(dispatch, &plan->placements[i], &dispatch->candidates[plan->placements[i].candidate],
                          from_op);
    preempt(dispatch, &input, now_ms);
    dispatch->next_plan_ms = now_ms + 250;
    if (plan->next_due_ms != INT64_MAX && plan->next_due_ms - wall_ms < 250)
        dispatch->next_plan_ms = now_ms + (plan->next_due_ms > wall_ms ? plan->next_due_ms - wall_ms : 10);
}

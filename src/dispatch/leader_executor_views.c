/* Executor views: processes agents' reports and quarantines executors on which most runs fail. */
#include <stdlib.h>
#include <string.h>

#include "base/events.h"
#include "base/error.h"
#include "dispatch/leader_state.h"

enum { QUARANTINE_MS = 4000, QUARANTINE_FAILURE_PCT = 60 };

struct executor_view *executor_view_of(struct dispatch *dispatch, int64_t agent)
{
    PPvoid_t at;
    JLI(at, dispatch->agent_executor_views, (Word_t)agent);
    if (*at)
        return *at;
    struct executor_view *view = *at = must_alloc(sizeof *view);
    *view = (struct executor_view){.agent = agent, .duration_pct = 100};
    *array_add(dispatch->executor_views, dispatch->n_executor_views) = view;
    return view;
}

struct executor_view *executor_view_of_incarnation(struct dispatch *dispatch, int64_t incarnation)
{
    const struct incarnation *recorded = &dispatch->record->incarnations[incarnation];
    PPvoid_t at;
    JLG(at, dispatch->agent_executor_views, (Word_t)recorded->agent);
    struct executor_view *view = at ? *at : NULL;
    return view && view->present && view->executor.incarnation && !strcmp(view->executor.incarnation, recorded->name)
               ? view
               : NULL;
}

static void view_lists_free(struct executor_view *view)
{
    for (int64_t i = 0; i < view->n_lost_incarnations; i++)
        free(view->lost_incarnations[i]);
    free(view->lost_incarnations);
    free(view->orphan_runs);
    free(view->absent_runs);
    view->lost_incarnations = NULL;
    view->n_lost_incarnations = 0;
    view->orphan_runs = NULL;
    view->n_orphan_runs = 0;
    view->absent_runs = NULL;
    view->n_absent_runs = 0;
}

void executor_view_free(struct executor_view *view)
{
    schema_free(&executor_state_schema, &view->executor);
    view_lists_free(view);
    free(view);
}

int executor_view_accepts_work(const struct dispatch *dispatch, const struct executor_view *view)
{
    int64_t now_ms = world_ms(dispatch->world);
    return view->present && view->ready && view->epoch == dispatch->epoch &&
           now_ms - view->received_ms < REPORT_MAX_AGE_MS && !view->executor.draining &&
           view->executor.silent_ms < EXECUTOR_SILENT_MAX_MS && now_ms >= view->quarantine_until_ms;
}

/* An executor on which most runs fail, stall or are refused is quarantined for QUARANTINE_MS. Some tasks fail on any
 * executor, so the moving average of its failures must also be high compared with the other executors. At most half of
 * the executors are quarantined. */
void executor_view_count_outcome(struct dispatch *dispatch, struct executor_view *view, int64_t failed, int64_t weight)
{
    int64_t now_ms = world_ms(dispatch->world), quarantined = 0, others_pct = 0;
    for (int64_t i = 0; i < weight; i++)
        view->failure_pct += ((failed ? 100 : 0) - view->failure_pct) / 6;
    if (view->failure_pct < QUARANTINE_FAILURE_PCT || now_ms < view->quarantine_until_ms)
        return;
    for (int64_t i = 0; i < dispatch->n_executor_views; i++) {
        quarantined += now_ms < dispatch->executor_views[i]->quarantine_until_ms;
        others_pct += dispatch->executor_views[i]->failure_pct;
    }
    if ((quarantined + 1) * 2 > dispatch->n_executor_views ||
        others_pct / dispatch->n_executor_views * 2 > view->failure_pct)
        return;
    view->quarantine_until_ms = now_ms + QUARANTINE_MS;
    view->failure_pct = QUARANTINE_FAILURE_PCT / 2;
    world_note(dispatch->world, EV_QUARANTINE, "executor=%s", view->executor.incarnation);
}

int64_t executor_view_committed_seq(const struct dispatch *dispatch, struct executor_view *view, int64_t incarnation)
{
    int64_t committed_seq = view->newest_seq;
    for (int64_t i = 0; incarnation >= 0 && i < dispatch->incarnation_states[incarnation].n; i++) {
        int64_t seq = dispatch->incarnation_states[incarnation].runs[i].end_seq;
        if (seq && seq <= committed_seq)
            committed_seq = seq - 1;
    }
    if (committed_seq > view->committed_seq)
        view->committed_seq = committed_seq;
    return view->committed_seq;
}

static void process_ends(struct dispatch *dispatch, struct executor_view *view, int64_t incarnation,
                         const struct agent_report *report)
{
    for (int64_t i = 0; i < report->n_ended; i++) {
        const struct run_ended *ended = &report->ended[i];
        struct run_ref ref = {.job = ended->job, .task = ended->task, .attempt = ended->attempt};
        struct run *run = run_find(dispatch, incarnation, &ref);
        if (ended->seq > view->newest_seq)
            view->newest_seq = ended->seq;
        if (!run) {
            if (!ended->seq)
                *array_add(view->absent_runs, view->n_absent_runs) = ref;
            continue;
        }
        run->end_seq = ended->seq;
        if (run->ending)
            continue;
        if (ended->how == END_DONE)
            step_learn_duration(dispatch, view, run);
        if (ended->how == END_DONE || ended->how == END_FAILED)
            executor_view_count_outcome(dispatch, view, ended->how == END_FAILED, 1);
        run_end(dispatch, run, ended->how, ended->checkpoint);
    }
}

static void process_active_runs(struct dispatch *dispatch, struct executor_view *view, int64_t incarnation,
                                const struct agent_report *report)
{
    int64_t now_ms = world_ms(dispatch->world);
    for (int64_t i = 0; i < report->n_active; i++) {
        const struct run_active *active = &report->active[i];
        struct run_ref ref = {.job = active->job, .task = active->task, .attempt = active->attempt};
        struct run *run = run_find(dispatch, incarnation, &ref);
        if (!run) {
            *array_add(view->orphan_runs, view->n_orphan_runs) = ref;
            continue;
        }
        if (!run->started_ms)
            run->started_ms = run->percent_ms = now_ms;
        run->seen_ms = now_ms;
        run->acknowledged = 1;
        if (active->percent != run->percent) {
            run->percent = active->percent;
            run->percent_ms = now_ms;
        }
    }
    for (int64_t i = 0; i < report->n_pending; i++) {
        struct run *run = run_find(dispatch, incarnation, &report->pending[i]);
        if (run)
            run->acknowledged = 1;
    }
    for (int64_t i = 0; i < report->n_refused; i++) {
        const struct run_refused *refused = &report->refused[i];
        struct run_ref ref = {.job = refused->job, .task = refused->task, .attempt = refused->attempt};
        struct run *run = run_find(dispatch, incarnation, &ref);
        if (!run) {
            *array_add(view->absent_runs, view->n_absent_runs) = ref;
            continue;
        }
        run->acknowledged = 1;
        if (!run->refused) {
            run->refused = 1;
            executor_view_count_outcome(dispatch, view, refused->reason == REFUSED_UNAVAILABLE, 2);
        }
        /* an earlier call for this start that got no response may still be carried out, so the run must be stopped */
        run_stop(dispatch, run);
        run_gang_stop(dispatch, run->job, run->row_index);
    }
}

static void process_lost_incarnations(struct dispatch *dispatch, struct executor_view *view,
                                      const struct agent_report *report)
{
    for (int64_t i = 0; i < report->n_lost_incarnations; i++) {
        int64_t incarnation = incarnation_find(dispatch, report->lost_incarnations[i]);
        if (incarnation >= 0 && dispatch->record->incarnations[incarnation].agent == view->agent)
            incarnation_lapse_runs(dispatch, incarnation, INT64_MAX);
        else
            *array_add(view->lost_incarnations, view->n_lost_incarnations) = must_dup(report->lost_incarnations[i]);
    }
    /* the executor is silent, and every lease that was sent to it has expired */
    int leases_expired = report->present && report->epoch == dispatch->epoch && report->executor.silent_ms &&
                         !report->executor.lease_left_ms;
    int64_t silent_incarnation = leases_expired ? incarnation_find(dispatch, report->executor.incarnation) : -1;
    if (silent_incarnation >= 0 && dispatch->record->incarnations[silent_incarnation].agent == view->agent)
        incarnation_lapse_silent(dispatch, silent_incarnation, report->orders_taken);
    /* another incarnation answers at this agent under our epoch: earlier incarnations have ended */
    for (int64_t k = 0;
         report->present && report->ready && report->epoch == dispatch->epoch && k < dispatch->n_incarnation_states;
         k++)
        if (k < dispatch->record->n_incarnations && dispatch->incarnation_states[k].n &&
            dispatch->record->incarnations[k].agent == view->agent &&
            strcmp(dispatch->record->incarnations[k].name, report->executor.incarnation))
            incarnation_lapse_runs(dispatch, k, INT64_MAX);
}

/* Adds the capacity that a batch reserves on this incarnation; it is released on commit. */
static void reservations_add(struct executor_view *view, const struct batch *batch, const char *incarnation)
{
    for (int64_t i = 0; batch && i < batch->n_reservations; i++) {
        const struct reservation *reservation = &batch->reservations[i];
        if (reservation->agent != view->agent || strcmp(reservation->incarnation, incarnation))
            continue;
        view->cpu_reserved += reservation->cpu_milli;
        view->memory_reserved += reservation->memory_mb;
        view->gpus_reserved += reservation->gpus;
    }
}

static void reservations_recompute(struct dispatch *dispatch, struct executor_view *view, const char *incarnation)
{
    view->cpu_reserved = view->memory_reserved = view->gpus_reserved = 0;
    if (!incarnation)
        return;
    reservations_add(view, dispatch->open_batch, incarnation);
    for (int64_t i = 0; i < dispatch->batches.cap; i++) {
        struct batch **batch = slab_at(&dispatch->batches, slab_number(&dispatch->batches, i));
        reservations_add(view, batch ? *batch : NULL, incarnation);
    }
}

void dispatch_report(struct dispatch *dispatch, int64_t agent, const struct agent_report *report)
{
    if (!dispatch->leading || (report->present && !report->executor.incarnation))
        return;
    struct executor_view *view = executor_view_of(dispatch, agent);
    int64_t now_ms = world_ms(dispatch->world);
    if (report->boot == view->boot && report->stamp_ms < view->stamp_ms)
        return; /* it was overtaken by a newer report, which says what holds now */
    int new_incarnation = !view->present || !report->present || !view->executor.incarnation ||
                          strcmp(view->executor.incarnation, report->executor.incarnation);
    if (new_incarnation) {
        reservations_recompute(dispatch, view, report->present ? report->executor.incarnation : NULL);
        view->committed_seq = view->newest_seq = 0;
        view->duration_pct = 100;
        view->failure_pct = view->quarantine_until_ms = 0;
        dispatch->plan_needed = 1;
    }
    if (view->ready != report->ready || view->executor.draining != report->executor.draining)
        dispatch->plan_needed = 1;
    schema_free(&executor_state_schema, &view->executor);
    view_lists_free(view);
    memset(&view->executor, 0, sizeof view->executor);
    if (report->present)
        schema_copy(&executor_state_schema, &view->executor, &report->executor);
    view->boot = report->boot;
    view->stamp_ms = report->stamp_ms;
    view->received_ms = now_ms;
    view->epoch = report->epoch;
    view->present = report->present;
    view->ready = report->ready && report->epoch == dispatch->epoch;
    process_lost_incarnations(dispatch, view, report);
    int64_t incarnation = report->present ? incarnation_find(dispatch, report->executor.incarnation) : -1;
    if (incarnation >= 0 && dispatch->record->incarnations[incarnation].agent != agent)
        incarnation = -1;
    for (int64_t i = 0; incarnation >= 0 && incarnation < dispatch->n_incarnation_states &&
                        i < dispatch->incarnation_states[incarnation].n;
         i++)
        dispatch->incarnation_states[incarnation].runs[i].acknowledged = 0;
    if (view->ready) {
        process_ends(dispatch, view, incarnation, report);
        process_active_runs(dispatch, view, incarnation, report);
    }
    orders_send(dispatch, view, report->stamp_ms);
}

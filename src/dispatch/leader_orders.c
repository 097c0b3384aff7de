/* Orders to agents, built each time from the record and the leader's views. */
#include <stdlib.h>
#include <string.h>

#include "base/error.h"
#include "dispatch/leader_state.h"

static void order_run(struct dispatch *dispatch, struct agent_orders *orders, struct run *run, int64_t now_ms)
{
    if (run->ending)
        return;
    if (run->stopping) {
        /* sent even if the agent has not reported the run: its start may still be in transit */
        if (!run->stop_sent_ms || now_ms - run->stop_sent_ms >= RESEND_MS) {
            run->stop_sent_ms = now_ms;
            *array_add(orders->stops, orders->n_stops) =
                (struct run_ref){.job = run->job->spec.id, .task = run->task, .attempt = run->attempt};
        }
        return;
    }
    if (run->acknowledged || run->ending || (run->sent_ms && now_ms - run->sent_ms < RESEND_MS))
        return;
    run->sent_ms = now_ms;
    run->start_orders_number = orders->number;
    (void)dispatch;
    *array_add(orders->starts, orders->n_starts) =
        (struct run_start){.job = run->job->spec.id,
                           .task = run->task,
                           .attempt = run->attempt,
                           .text = run->job->spec.text,
                           .checkpoint = run->job->rows[run->row_index].checkpoint};
}

void orders_send(struct dispatch *dispatch, struct executor_view *view, int64_t stamp_ms)
{
    int64_t now_ms = world_ms(dispatch->world);
    int holds_lease = dispatch->calls.holds_lease(dispatch->calls.arg);
    struct agent_orders orders = {.epoch = dispatch->epoch,
                                  .number = ++dispatch->last_orders_number,
                                  .lease_ms = dispatch->settings.lease_ms,
                                  .leader = (int64_t)dispatch->world->self,
                                  .incarnation = view->present ? view->executor.incarnation : NULL,
                                  .drain_seen = view->executor.draining,
                                  .poll_delay_ms = dispatch->plan.blocked ? POLL_DELAY_BLOCKED_MS : POLL_DELAY_IDLE_MS,
                                  .stops = view->orphan_runs,
                                  .n_stops = view->n_orphan_runs,
                                  .ends_seen = view->absent_runs,
                                  .n_ends_seen = view->n_absent_runs,
                                  .incarnations_seen = view->lost_incarnations,
                                  .n_incarnations_seen = view->n_lost_incarnations};
    int64_t incarnation = view->present ? incarnation_find(dispatch, view->executor.incarnation) : -1;
    if (incarnation >= 0 && (incarnation >= dispatch->n_incarnation_states ||
                             dispatch->record->incarnations[incarnation].agent != view->agent))
        incarnation = -1;
    view->dirty = 0;
    if (incarnation >= 0 || view->present)
        orders.seen = executor_view_committed_seq(dispatch, view, incarnation);
    view->orphan_runs = NULL;
    view->n_orphan_runs = 0;
    if (stamp_ms && holds_lease && (!view->present || view->executor.silent_ms < RENEWAL_SILENT_MAX_MS)) {
        orders.stamp_ms = stamp_ms;
        if (incarnation >= 0 && dispatch->incarnation_states[incarnation].grant_ms < now_ms)
            dispatch->incarnation_states[incarnation].grant_ms = now_ms;
    }
    if (holds_lease && view->ready)
        for (int64_t i = 0; incarnation >= 0 && i < dispatch->incarnation_states[incarnation].n; i++)
            order_run(dispatch, &orders, &dispatch->incarnation_states[incarnation].runs[i], now_ms);
    dispatch->calls.orders(dispatch->calls.arg, view->agent, &orders);
    for (int64_t i = 0; i < orders.n_starts; i++)
        orders.starts[i].text = orders.starts[i].checkpoint = NULL; /* borrowed from the record */
    free(orders.starts);
    free(orders.stops);
}

/* Agents that may have runs are told of the new leader at once. */
void orders_announce(struct dispatch *dispatch)
{
    for (int64_t k = 0; k < dispatch->record->n_incarnations; k++) {
        int64_t agent = dispatch->record->incarnations[k].agent;
        int announced = !agent;
        for (int64_t i = 0; i < k && !announced; i++)
            announced = dispatch->record->incarnations[i].agent == agent;
        struct agent_orders orders = {.epoch = dispatch->epoch,
                                      .number = ++dispatch->last_orders_number,
                                      .lease_ms = dispatch->settings.lease_ms,
                                      .leader = (int64_t)dispatch->world->self};
        if (!announced)
            dispatch->calls.orders(dispatch->calls.arg, agent, &orders);
    }
}

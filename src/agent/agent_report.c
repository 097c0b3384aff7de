/* Reports to the leader, and the orders that it sends. */
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"

/* Fills the report's lists, which are allocated for the most items they can have. Strings are borrowed. */
static void fill_lists(const struct agent *agent, struct agent_report *report)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    size_t n = (size_t)agent->n_work_items + 1;
    report->active = must_alloc(sizeof *report->active * (n + (size_t)incarnation->lists.n_active));
    report->pending = must_alloc(sizeof *report->pending * n);
    report->refused = must_alloc(sizeof *report->refused * n);
    report->ended = must_alloc(sizeof *report->ended * (n + (size_t)incarnation->lists.n_ended));
    for (int64_t i = 0; i < incarnation->lists.n_active; i++)
        report->active[report->n_active++] = incarnation->lists.active[i];
    for (int64_t i = 0; i < incarnation->lists.n_ended; i++)
        report->ended[report->n_ended++] = incarnation->lists.ended[i];
    for (int64_t i = 0; i < agent->n_work_items; i++) {
        const struct work_item *work = &agent->work_items[i];
        struct run_ref run = work_run(work);
        int is_active = run_is_active(&incarnation->lists, &run);
        if (work->state == WORK_STARTED && !is_active)
            report->active[report->n_active++] = (struct run_active){
                .job = run.job, .task = run.task, .attempt = run.attempt, .checkpoint = work->start.checkpoint};
        else if (work->state == WORK_REFUSED)
            report->refused[report->n_refused++] =
                (struct run_refused){.job = run.job, .task = run.task, .attempt = run.attempt, .reason = work->reason};
        else if (work->state == WORK_NEVER_RAN)
            report->ended[report->n_ended++] =
                (struct run_ended){.job = run.job, .task = run.task, .attempt = run.attempt, .how = END_NEVER_RAN};
        else if (work->state != WORK_STARTED && work->state != WORK_CLOSED && !is_active)
            report->pending[report->n_pending++] = run;
    }
}

void agent_report_send(struct agent *agent, int64_t to, int64_t now)
{
    struct agent_report report = {.stamp_ms = now,
                                  .boot = agent->setup.boot,
                                  .epoch = agent->epoch,
                                  .orders_taken = agent->orders_number,
                                  .present = agent->incarnation.present,
                                  .ready = agent->incarnation.ready,
                                  .lost_incarnations = agent->lost_incarnations,
                                  .n_lost_incarnations = agent->n_lost_incarnations};
    if (agent->incarnation.present) {
        report.executor = agent->incarnation.state;
        report.executor.silent_ms = agent->incarnation.silent_since_ms ? now - agent->incarnation.silent_since_ms : 0;
        report.executor.lease_left_ms = agent_lease_left_ms(agent, now);
    }
    fill_lists(agent, &report);
    struct blob *out = blob_new();
    frame_build(&out->bytes, FRAME_REPORT, agent->cluster, agent->world->self, &agent_report_schema, &report);
    agent->world->calls->send(agent->world, (uint64_t)to, out, frame_lossy(FRAME_REPORT));
    blob_drop(out);
    free(report.active);
    free(report.pending);
    free(report.refused);
    free(report.ended);
    agent->last_stamp_ms = now;
    agent->report_needed = 0;
}

/* --- orders --------------------------------------------------------------- */

static void apply_lease(struct agent *agent, const struct agent_orders *orders)
{
    /* stamp_ms must be from a report of this process, since it is on its clock. The caller has checked that the orders
     * name the current incarnation: a leader that does not know it may count its runs as lapsed before the lease ends.
     */
    if (orders->stamp_ms <= agent->lease_stamp_ms || orders->stamp_ms < agent->started_ms ||
        orders->stamp_ms > agent->last_stamp_ms)
        return;
    agent->lease_stamp_ms = orders->stamp_ms;
    if (orders->stamp_ms + orders->lease_ms > agent->lease_until_ms)
        agent->lease_until_ms = orders->stamp_ms + orders->lease_ms;
}

static void apply_seen(struct agent *agent, int64_t seen, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (seen <= incarnation->seen)
        return;
    if (incarnation->seen <= incarnation->seen_delivered)
        incarnation->seen_raised_ms = now;
    incarnation->seen = seen;
    int64_t n = 0;
    for (int64_t i = 0; i < incarnation->lists.n_ended; i++)
        if (incarnation->lists.ended[i].seq <= seen)
            schema_free(&run_ended_schema, &incarnation->lists.ended[i]);
        else
            incarnation->lists.ended[n++] = incarnation->lists.ended[i];
    incarnation->lists.n_ended = n;
}

static void drop_acknowledged_incarnations(struct agent *agent, const struct agent_orders *orders)
{
    for (int64_t i = 0; i < orders->n_incarnations_seen; i++)
        for (int64_t k = 0; k < agent->n_lost_incarnations; k++)
            if (orders->incarnations_seen[i] && !strcmp(agent->lost_incarnations[k], orders->incarnations_seen[i])) {
                free(agent->lost_incarnations[k]);
                agent->lost_incarnations[k--] = agent->lost_incarnations[--agent->n_lost_incarnations];
            }
}

void agent_orders_apply(struct agent *agent, const struct agent_orders *orders, int64_t now)
{
    if (orders->epoch < agent->epoch || orders->epoch <= 0 ||
        (orders->epoch == agent->epoch && orders->number < agent->orders_number))
        return;
    agent->orders_number = orders->number;
    if (orders->epoch > agent->epoch) {
        agent->epoch = orders->epoch;
        agent->incarnation.ready = 0;
        agent->incarnation.retry_ms = agent->incarnation.next_retry_ms = 0;
        agent->report_needed = 1;
        agent_work_items_new_epoch(agent);
    }
    agent->orders_received_ms = now;
    agent->poll_delay_ms = orders->poll_delay_ms > 0 && orders->poll_delay_ms < 1000 ? orders->poll_delay_ms : 0;
    agent_work_items_step(agent, now); /* withdraws starts whose lease has expired before the lease is renewed */
    if (orders->leader)
        directory_learn_leader(&agent->directory, orders->epoch, orders->leader);
    drop_acknowledged_incarnations(agent, orders);
    if (!agent->incarnation.present || !orders->incarnation ||
        strcmp(orders->incarnation, agent->incarnation.state.incarnation))
        return;
    apply_lease(agent, orders);
    apply_seen(agent, orders->seen, now);
    for (int64_t i = 0; i < orders->n_stops; i++)
        agent_order_stop(agent, &orders->stops[i], now);
    for (int64_t i = 0; i < orders->n_ends_seen; i++)
        agent_end_acknowledged(agent, &orders->ends_seen[i], now);
    for (int64_t i = 0; i < orders->n_starts; i++)
        agent_order_start(agent, &orders->starts[i], now);
}

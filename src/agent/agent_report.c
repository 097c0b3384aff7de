/* Reports to the leader, and its orders. */
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"

/* Fills the report's lists, allocated at their largest possible size; strings are borrowed. */
static void list_works(const struct agent *agent, struct agent_report *report)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    size_t n = (size_t)agent->n_works + 1;
    report->active = must_alloc(sizeof *report->active * (n + (size_t)incarnation->lists.n_active));
    report->pending = must_alloc(sizeof *report->pending * n);
    report->refused = must_alloc(sizeof *report->refused * n);
    report->ended = must_alloc(sizeof *report->ended * (n + (size_t)incarnation->lists.n_ended));
    for (int64_t i = 0; i < incarnation->lists.n_active; i++)
        report->active[report->n_active++] = incarnation->lists.active[i];
    for (int64_t i = 0; i < incarnation->lists.n_ended; i++)
        report->ended[report->n_ended++] = incarnation->lists.ended[i];
    for (int64_t i = 0; i < agent->n_works; i++) {
        const struct work *work = &agent->works[i];
        struct run_ref run = work_run(work);
        int is_active = run_is_active(&incarnation->lists, &run);
        if (work->state == WORK_STARTED && !is_active)
            report->active[report->n_active++] = (struct run_active){
                .job = run.job, .task = run.task, .attempt = run.attempt, .checkpoint = work->start.checkpoint};
        else if (work->state == WORK_REFUSED)
            report->refused[report->n_refused++] =
                (struct run_refused){.job = run.job, .task = run.task, .attempt = run.attempt, .reason = work->reason};
        else if (work->state == WORK_ABSENT)
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
                                  .orders_taken = agent->orders_no,
                                  .present = agent->incarnation.present,
                                  .ready = agent->incarnation.ready,
                                  .lost_incarnations = agent->lost_incarnations,
                                  .n_lost_incarnations = agent->n_lost_incarnations};
    if (agent->incarnation.present) {
        report.executor = agent->incarnation.state;
        report.executor.silent_ms = agent->incarnation.silent_since_ms ? now - agent->incarnation.silent_since_ms : 0;
        report.executor.lease_left_ms = agent_over_ms(agent, now);
    }
    list_works(agent, &report);
    struct blob *out = blob_new();
    frame_build(&out->bytes, FRAME_REPORT, agent->cluster, agent->world->self, &agent_report_schema, &report);
    agent->world->calls->send(agent->world, (uint64_t)to, out, frame_lossy(FRAME_REPORT));
    blob_drop(out);
    free(report.active);
    free(report.pending);
    free(report.refused);
    free(report.ended);
    agent->last_stamp_ms = now;
    agent->report_due = 0;
}

/* --- orders --------------------------------------------------------------- */

static void take_grant(struct agent *agent, const struct agent_orders *orders)
{
    /* Only for a report of this process, whose clock stamp_ms is on. And the leader must have known of this
     * incarnation: else it may take its runs for lapsed before the lease ends. */
    if (orders->stamp_ms <= agent->grant_stamp_ms || orders->stamp_ms < agent->started_ms ||
        orders->stamp_ms > agent->last_stamp_ms)
        return;
    agent->grant_stamp_ms = orders->stamp_ms;
    if (orders->stamp_ms + orders->lease_ms > agent->grant_until_ms)
        agent->grant_until_ms = orders->stamp_ms + orders->lease_ms;
}

static void take_seen(struct agent *agent, int64_t seen, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (seen <= incarnation->seen)
        return;
    if (incarnation->seen <= incarnation->seen_sent)
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

static void take_incarnations_seen(struct agent *agent, const struct agent_orders *orders)
{
    for (int64_t i = 0; i < orders->n_incarnations_seen; i++)
        for (int64_t k = 0; k < agent->n_lost_incarnations; k++)
            if (orders->incarnations_seen[i] && !strcmp(agent->lost_incarnations[k], orders->incarnations_seen[i])) {
                free(agent->lost_incarnations[k]);
                agent->lost_incarnations[k--] = agent->lost_incarnations[--agent->n_lost_incarnations];
            }
}

void agent_orders_take(struct agent *agent, const struct agent_orders *orders, int64_t now)
{
    if (orders->epoch < agent->epoch || orders->epoch <= 0 ||
        (orders->epoch == agent->epoch && orders->number < agent->orders_no))
        return;
    agent->orders_no = orders->number;
    if (orders->epoch > agent->epoch) {
        agent->epoch = orders->epoch;
        agent->incarnation.ready = 0;
        agent->incarnation.retry_ms = agent->incarnation.retry_due_ms = 0;
        agent->report_due = 1;
        agent_works_epoch(agent);
    }
    agent->orders_received_ms = now;
    agent->poll_delay_ms = orders->poll_delay_ms > 0 && orders->poll_delay_ms < 1000 ? orders->poll_delay_ms : 0;
    agent_works_step(agent, now); /* what the lease no longer covers is withdrawn before it is renewed */
    if (orders->leader)
        directory_learn_leader(&agent->directory, orders->epoch, orders->leader);
    take_incarnations_seen(agent, orders);
    if (!agent->incarnation.present || !orders->incarnation ||
        strcmp(orders->incarnation, agent->incarnation.state.incarnation))
        return;
    take_grant(agent, orders);
    take_seen(agent, orders->seen, now);
    for (int64_t i = 0; i < orders->n_stops; i++)
        agent_order_stop(agent, &orders->stops[i], now);
    for (int64_t i = 0; i < orders->n_ends_seen; i++)
        agent_end_seen(agent, &orders->ends_seen[i], now);
    for (int64_t i = 0; i < orders->n_starts; i++)
        agent_order_start(agent, &orders->starts[i], now);
}

/* Executors that take orders in the responses to their heartbeats and are never called. A heartbeat is handled as the
 * response to a poll that was sent with the response to the previous heartbeat. The response to a heartbeat carries the
 * starts, stops and lease that calls would carry. */
#include <stdlib.h>

#include "agent/agent_state.h"

/* Whether the executor certainly received the response to the previous heartbeat. Not certain are a late response,
 * which the executor may no longer have waited for, and heartbeats that arrive closer together than the executor sent
 * them, since this process may have been suspended meanwhile. */
static int response_was_delivered(const struct agent_heartbeat *heartbeat, int64_t clock_ms, int64_t now)
{
    if (!heartbeat->responded || heartbeat->response_ms - heartbeat->received_ms >= HEARTBEAT_PROMPT_MS)
        return 0;
    int64_t gap_ms = clock_ms - heartbeat->clock_ms;
    return gap_ms < HEARTBEAT_PROMPT_MS || now - heartbeat->received_ms >= gap_ms * 80 / 100;
}

/* Updates the orders in the response to the previous heartbeat. delivered: it was delivered, and under this epoch. */
static void count_deliveries(struct agent *agent, int delivered, int64_t now)
{
    for (int64_t i = 0; i < agent->n_work_items; i++) {
        struct work_item *work = &agent->work_items[i];
        if (work->sent && delivered) {
            work->delivered_count++;
            work->next_send_ms = work->state == WORK_START ? now + START_RESEND_MS : now;
        }
        work->sent = 0;
        if (work->state != WORK_STOP || work->delivered_count < STOP_DELIVERIES)
            continue;
        work->state = WORK_STOPPED;
        work->response_number = agent->last_call_number - 1;
        work->response_ms = now;
    }
}

static void stop_refused_starts(struct agent *agent, int64_t now)
{
    for (int64_t i = 0; i < agent->n_work_items; i++)
        if (agent->work_items[i].state == WORK_START && agent->work_items[i].delivered_count >= START_DELIVERIES)
            agent_work_stop(&agent->work_items[i], now);
}

/* How long the response to a heartbeat may wait for orders, in ms. */
static int64_t response_wait_ms(const struct agent *agent)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    if (agent->leaving)
        return 0;
    return agent->epoch && (incarnation->lists.n_active || incarnation->lists.n_ended || agent->n_work_items ||
                            incarnation->leaving)
               ? HEARTBEAT_WAIT_MS
               : HEARTBEAT_IDLE_WAIT_MS;
}

void agent_heartbeat_received(struct agent *agent, int64_t slot, struct heartbeat_report *report, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    agent_heartbeat_close(agent);
    int delivered = response_was_delivered(&incarnation->heartbeat, report->clock_ms, now);
    int whole = report->lists.n_ended < POLL_ENDS_MAX;
    int current = delivered && incarnation->heartbeat.epoch == agent->epoch;
    if (delivered && incarnation->heartbeat.seen > incarnation->seen_delivered)
        incarnation->seen_delivered = incarnation->heartbeat.seen;
    incarnation->silent_since_ms = 0;
    agent_clock_received(agent, report->clock_ms, now);
    count_deliveries(agent, current, now);
    agent_lists_update(agent, &report->lists);
    if (current && !incarnation->ready)
        incarnation->ready = agent->report_needed = 1;
    agent_work_items_settle(agent, agent->last_call_number, whole, now);
    stop_refused_starts(agent, now);
    incarnation->heartbeat = (struct agent_heartbeat){.open = 1,
                                                      .slot = slot,
                                                      .clock_ms = report->clock_ms,
                                                      .received_ms = now,
                                                      .respond_by_ms = now + response_wait_ms(agent)};
}

void agent_heartbeat_close(struct agent *agent)
{
    if (agent->incarnation.heartbeat.open)
        agent->world->calls->answer(agent->world, agent->incarnation.heartbeat.slot, 200, 0, "{}");
    agent->incarnation.heartbeat.open = 0;
}

/* --- responses -------------------------------------------------------------- */

/* The longest lease that a response may carry, in ms. It begins when the executor receives the response, and must
 * expire before the lease granted by the leader. An executor that reports no clock gets no lease, since the agent could
 * not tell when it expires. */
static int64_t max_hold_ms(const struct agent *agent, int64_t now)
{
    if (agent->incarnation.heartbeat.clock_ms < 0)
        return 0;
    int64_t latest_ms = agent->incarnation.heartbeat.received_ms + HEARTBEAT_RESPONSE_MAX_MS;
    int64_t hold_ms = (agent->lease_until_ms - (latest_ms > now ? latest_ms : now)) * CLOCK_RATE_MIN_PCT / 100;
    return hold_ms < 0 ? 0 : hold_ms < agent->setup.hold_max_ms ? hold_ms : agent->setup.hold_max_ms;
}

static int may_start(const struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    return incarnation->ready && !incarnation->state.draining && !incarnation->leaving &&
           max_hold_ms(agent, now) >= START_LEASE_MIN_MS;
}

static int is_sendable(const struct work_item *work, int64_t starts_allowed, int64_t now)
{
    return now >= work->next_send_ms && (work->state == WORK_STOP || (work->state == WORK_START && starts_allowed));
}

static int must_respond(const struct agent *agent, int64_t now)
{
    int64_t starts_allowed = may_start(agent, now);
    if (now >= agent->incarnation.heartbeat.respond_by_ms || !agent->incarnation.ready ||
        agent->incarnation.seen > agent->incarnation.seen_delivered)
        return 1;
    for (int64_t i = 0; i < agent->n_work_items; i++)
        if (is_sendable(&agent->work_items[i], starts_allowed, now))
            return 1;
    return 0;
}

static void send_response(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    struct heartbeat_orders orders = {.epoch = agent->epoch, .seen = incarnation->seen, .retry_ms = HEARTBEAT_DELAY_MS};
    const struct run_start **runs = must_alloc(sizeof *runs * 2 * ((size_t)agent->n_work_items + 1));
    int64_t starts_allowed = may_start(agent, now);
    orders.starts = runs;
    orders.stops = runs + agent->n_work_items;
    for (int64_t i = 0; i < agent->n_work_items; i++) {
        struct work_item *work = &agent->work_items[i];
        if (!is_sendable(work, starts_allowed, now))
            continue;
        work->sent = 1;
        if (work->state == WORK_STOP) {
            orders.stops[orders.n_stops++] = &work->start;
        } else {
            orders.starts[orders.n_starts++] = &work->start;
            work->start_uncertain = 1;
        }
    }
    if (!incarnation->leaving && incarnation->ready && (incarnation->lists.n_active || orders.n_starts))
        orders.hold_ms = max_hold_ms(agent, now);
    if (orders.hold_ms &&
        incarnation->heartbeat.clock_ms + HEARTBEAT_RESPONSE_MAX_MS + orders.hold_ms > incarnation->sent_expiry_ms)
        incarnation->sent_expiry_ms = incarnation->heartbeat.clock_ms + HEARTBEAT_RESPONSE_MAX_MS + orders.hold_ms;
    char *body = agent->setup.executor_codec->heartbeat_response(&orders);
    agent->last_call_number++;
    agent->world->calls->answer(agent->world, incarnation->heartbeat.slot, 200, 0, body);
    free(body);
    free(runs);
    incarnation->heartbeat.open = 0;
    incarnation->heartbeat.responded = 1;
    incarnation->heartbeat.response_ms = now;
    incarnation->heartbeat.epoch = agent->epoch;
    incarnation->heartbeat.seen = incarnation->seen;
    /* this response renews the lease for the next process of this agent, which takes over the active runs */
    if (agent->last_poll_ms && !agent->last_poll_sent) {
        agent->last_poll_sent = agent->last_call_number;
        agent->last_poll_ms = now + LAST_POLL_LINGER_MS - LAST_POLL_TIMEOUT_MS;
    }
}

void agent_heartbeat_step(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (!incarnation->present)
        return;
    const struct agent_heartbeat *heartbeat = &incarnation->heartbeat;
    if (heartbeat->open) {
        if (agent->epoch && must_respond(agent, now))
            send_response(agent, now);
        else if (now >= heartbeat->respond_by_ms)
            agent_heartbeat_close(agent);
        return;
    }
    int64_t last_ms = heartbeat->responded ? heartbeat->response_ms : heartbeat->received_ms;
    if (incarnation->leaving && !incarnation->silent_since_ms &&
        now - incarnation->leaving_ms >= HEARTBEAT_RESPONSE_MAX_MS && heartbeat->received_ms <= incarnation->leaving_ms)
        incarnation->silent_since_ms = incarnation->leaving_ms;
    if (!incarnation->silent_since_ms && heartbeat->responded &&
        now - last_ms >= HEARTBEAT_DELAY_MS + HEARTBEAT_LATE_MS)
        incarnation->silent_since_ms = last_ms;
}

/* Calls to the executor: when they are sent, and with which lease. agent_responses.c handles the responses. */
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"

const struct poll_request *request_poll(const struct executor_request *request)
{
    if (request->kind != CALL_POLL && request->kind != CALL_PROBE)
        abort();
    return &request->body.poll;
}

const struct run_ref *request_run(const struct executor_request *request)
{
    if (request->kind != CALL_START && request->kind != CALL_STOP)
        abort();
    return &request->body.run;
}

static struct executor_request *free_slot(struct agent *agent)
{
    for (int64_t i = 0; i < CALLS_MAX; i++)
        if (agent->calls[i].kind == CALL_FREE)
            return &agent->calls[i];
    return NULL;
}

/* Whether a call of this kind to this incarnation is in flight under the current epoch. Polls of a former epoch, which
 * may still wait for an end, do not count. */
static int is_in_flight(const struct agent *agent, int64_t kind, const char *incarnation)
{
    for (int64_t i = 0; i < CALLS_MAX; i++)
        if (agent->calls[i].kind == kind && agent->calls[i].epoch == agent->epoch &&
            !strcmp(agent->calls[i].incarnation, incarnation))
            return 1;
    return 0;
}

/* Sends a call. request: everything but number, epoch, sent_ms and incarnation is set; call: made by the codec, freed
 * here. */
static void send_call(struct agent *agent, struct executor_request *request, const char *incarnation,
                      struct executor_call *call, int64_t wait_ms, int64_t now)
{
    struct executor_request *slot = free_slot(agent);
    request->epoch = agent->epoch;
    request->number = ++agent->last_call_number;
    request->sent_ms = now;
    request->incarnation = must_dup(incarnation);
    *slot = *request;
    if (request->kind != CALL_PROBE && request->expires_ms > agent->incarnation.sent_expiry_ms)
        agent->incarnation.sent_expiry_ms = request->expires_ms;
    agent->world->calls->call(agent->world, &(struct http_call){.to = (uint64_t)agent->setup.executor,
                                                                .method = call->method,
                                                                .path = call->path,
                                                                .header = call->header,
                                                                .body = call->body,
                                                                .wait_ms = wait_ms,
                                                                .done = agent_call_done,
                                                                .arg = agent,
                                                                .tag = slot->number});
    schema_free(&executor_call_schema, call);
}

static void send_probe(struct agent *agent, int64_t now)
{
    const char *incarnation = agent->candidate.state.incarnation;
    if (!incarnation || now < agent->candidate_probe_ms || is_in_flight(agent, CALL_PROBE, incarnation) ||
        !free_slot(agent))
        return;
    struct executor_call call = {0};
    agent->setup.executor_codec->poll(&call, incarnation, agent->epoch, 0, 0, 0);
    send_call(agent, &(struct executor_request){.kind = CALL_PROBE}, incarnation, &call, CALL_TIMEOUT_MS, now);
}

/* Why and when the next poll is sent. busy: runs may be active; proof: a poll must show the end of a run, or that it
 * never started. */
struct poll_need {
    int64_t busy, proof, poll_ms;
};

static struct poll_need poll_need(const struct agent *agent)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    struct poll_need need = {.busy = incarnation->lists.n_active > 0};
    for (int64_t i = 0; i < agent->n_work_items; i++) {
        const struct work_item *work = &agent->work_items[i];
        if (work->state == WORK_STARTED || (work->state == WORK_START && work->start_uncertain))
            need.busy = 1;
        struct run_ref run = work_run(work);
        if (work->state == WORK_CHECK || (work->state == WORK_STOPPED && !run_is_active(&incarnation->lists, &run)))
            need.proof = 1;
    }
    int64_t paced_ms = incarnation->poll_done_ms + (agent->poll_delay_ms ? agent->poll_delay_ms : POLL_DELAY_MS);
    if (!incarnation->ready || incarnation->silent_since_ms || incarnation->next_retry_ms)
        need.poll_ms = incarnation->next_retry_ms;
    else if (need.proof)
        need.poll_ms = incarnation->proof_poll_ms > incarnation->poll_done_ms + PROOF_POLL_DELAY_MS
                           ? incarnation->proof_poll_ms
                           : incarnation->poll_done_ms + PROOF_POLL_DELAY_MS;
    else if (incarnation->leaving)
        need.poll_ms = incarnation->poll_done_ms + LEAVING_POLL_INTERVAL_MS;
    else if (need.busy)
        need.poll_ms = incarnation->lists.n_ended && paced_ms < incarnation->poll_done_ms + POLL_DELAY_UNSEEN_MS
                           ? incarnation->poll_done_ms + POLL_DELAY_UNSEEN_MS
                           : paced_ms;
    else if (incarnation->seen > incarnation->seen_delivered)
        need.poll_ms = incarnation->seen_raised_ms + SEEN_POLL_DELAY_MS;
    else
        need.poll_ms = incarnation->poll_done_ms + IDLE_POLL_INTERVAL_MS;
    return need;
}

static void send_poll(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    struct poll_need need = poll_need(agent);
    int is_last = agent->last_poll_ms && !agent->last_poll_sent;
    if (!free_slot(agent) ||
        (!is_last && (now < need.poll_ms || is_in_flight(agent, CALL_POLL, incarnation->state.incarnation))))
        return;
    int64_t clock_ms = agent_clock_ms(agent, now), max_expiry_ms = agent_max_expiry(agent, now);
    struct executor_request request = {.kind = CALL_POLL, .body.poll.seen = incarnation->seen};
    /* a silent executor's lease is not renewed: its leases must expire at a known time, and when it receives this
     * call is unknown */
    if (need.busy && !incarnation->silent_since_ms && !incarnation->leaving &&
        (max_expiry_ms >= incarnation->accepted_expiry_ms + RENEW_GAIN_MIN_MS ||
         (is_last && max_expiry_ms > incarnation->accepted_expiry_ms)))
        request.expires_ms = max_expiry_ms;
    int64_t wait_ms = 0;
    if (incarnation->ready && need.busy && !need.proof && !incarnation->silent_since_ms && !incarnation->leaving &&
        !is_last) {
        int64_t expiry_ms = request.expires_ms ? request.expires_ms : incarnation->accepted_expiry_ms;
        wait_ms = expiry_ms - clock_ms - RENEW_BEFORE_EXPIRY_MS;
        int64_t wait_max_ms = agent_poll_wait_max(incarnation, now);
        wait_ms = wait_ms < POLL_WAIT_MIN_MS ? POLL_WAIT_MIN_MS : wait_ms > wait_max_ms ? wait_max_ms : wait_ms;
    }
    struct executor_call call = {0};
    agent->setup.executor_codec->poll(&call, incarnation->state.incarnation, agent->epoch, incarnation->seen,
                                      request.expires_ms, wait_ms);
    int64_t timeout_ms =
        wait_ms ? wait_ms + agent_call_timeout(incarnation, POLL_TIMEOUT_MARGIN_MS, now) : CALL_TIMEOUT_MS;
    request.body.poll.waits = wait_ms > 0;
    if (is_last)
        agent->last_poll_sent = agent->last_call_number + 1;
    send_call(agent, &request, incarnation->state.incarnation, &call, timeout_ms, now);
}

static void send_work(struct agent *agent, struct work_item *work, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    struct executor_request request = {.kind = work->state == WORK_STOP ? CALL_STOP : CALL_START,
                                       .body.run = work_run(work)};
    struct executor_call call = {0};
    if (request.kind == CALL_STOP) {
        agent->setup.executor_codec->stop(&call, incarnation->state.incarnation, request_run(&request), agent->epoch);
    } else {
        request.expires_ms = agent_max_expiry(agent, now);
        agent->setup.executor_codec->start(&call, incarnation->state.incarnation, &work->start, request.expires_ms,
                                           agent->epoch);
    }
    work->call_number = agent->last_call_number + 1;
    int64_t wait_ms = work->retry_ms ? CALL_TIMEOUT_MS : agent_call_timeout(incarnation, CALL_TIMEOUT_MS, now);
    send_call(agent, &request, incarnation->state.incarnation, &call, wait_ms, now);
}

static void send_work_items(struct agent *agent, int64_t state, int64_t now)
{
    for (int64_t i = 0; i < agent->n_work_items; i++) {
        int64_t in_flight = 0;
        for (int64_t k = 0; k < CALLS_MAX; k++)
            in_flight += agent->calls[k].kind == CALL_START || agent->calls[k].kind == CALL_STOP;
        if (in_flight >= WORK_CALLS_MAX || !free_slot(agent))
            return;
        struct work_item *work = &agent->work_items[i];
        if (work->state == state && !work->call_number && now >= work->next_send_ms)
            send_work(agent, work, now);
    }
}

void agent_calls_step(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (agent->setup.orders_by_heartbeat) {
        agent_heartbeat_step(agent, now);
        return;
    }
    send_probe(agent, now);
    if (!incarnation->present || !agent->epoch || agent->fenced_epoch >= agent->epoch)
        return;
    send_poll(agent, now);
    if (!incarnation->ready)
        return;
    send_work_items(agent, WORK_STOP, now);
    if (incarnation->state.draining || incarnation->silent_since_ms ||
        agent_max_expiry(agent, now) < agent_clock_ms(agent, now) + START_LEASE_MIN_MS)
        return;
    send_work_items(agent, WORK_START, now);
}

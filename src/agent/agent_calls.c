/* Calls to the executor: which are due, and with which lease. agent_responses.c takes in what comes back. */
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

/* Whether a call of this kind and epoch to this incarnation is in flight; a long one of a former epoch does not block.
 */
static int under_way(const struct agent *agent, int64_t kind, const char *incarnation)
{
    for (int64_t i = 0; i < CALLS_MAX; i++)
        if (agent->calls[i].kind == kind && agent->calls[i].epoch == agent->epoch &&
            !strcmp(agent->calls[i].incarnation, incarnation))
            return 1;
    return 0;
}

/* request: all but number, epoch, time and incarnation are set; call is made by the codec and freed here. */
static void send_call(struct agent *agent, struct executor_request *request, const char *incarnation,
                      struct executor_call *call, int64_t wait_ms, int64_t now)
{
    struct executor_request *slot = free_slot(agent);
    request->epoch = agent->epoch;
    request->number = ++agent->number;
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

static void call_probe(struct agent *agent, int64_t now)
{
    const char *incarnation = agent->candidate.state.incarnation;
    if (!incarnation || now < agent->candidate_due_ms || under_way(agent, CALL_PROBE, incarnation) || !free_slot(agent))
        return;
    struct executor_call call = {0};
    agent->setup.executor_codec->poll(&call, incarnation, agent->epoch, 0, 0, 0);
    send_call(agent, &(struct executor_request){.kind = CALL_PROBE}, incarnation, &call, CALL_WAIT_MS, now);
}

/* What the next poll is for, and when it is due. */
struct poll_need {
    int64_t busy, proof, due_ms;
};

static struct poll_need poll_need(const struct agent *agent)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    struct poll_need need = {.busy = incarnation->lists.n_active > 0};
    for (int64_t i = 0; i < agent->n_works; i++) {
        const struct work *work = &agent->works[i];
        if (work->state == WORK_STARTED || (work->state == WORK_START && work->doubt))
            need.busy = 1;
        struct run_ref run = work_run(work);
        if (work->state == WORK_CHECK || (work->state == WORK_STOPPED && !run_is_active(&incarnation->lists, &run)))
            need.proof = 1;
    }
    int64_t paced = incarnation->poll_done_ms + (agent->poll_delay_ms ? agent->poll_delay_ms : PACE_MS);
    if (!incarnation->ready || incarnation->silent_since_ms || incarnation->retry_due_ms)
        need.due_ms = incarnation->retry_due_ms;
    else if (need.proof)
        need.due_ms = incarnation->prove_ms > incarnation->poll_done_ms + PROVE_MS
                          ? incarnation->prove_ms
                          : incarnation->poll_done_ms + PROVE_MS;
    else if (incarnation->left)
        need.due_ms = incarnation->poll_done_ms + LEFT_POLL_MS;
    else if (need.busy)
        need.due_ms = incarnation->lists.n_ended && paced < incarnation->poll_done_ms + UNSEEN_MS
                          ? incarnation->poll_done_ms + UNSEEN_MS
                          : paced;
    else if (incarnation->seen > incarnation->seen_sent)
        need.due_ms = incarnation->seen_raised_ms + SEEN_MS;
    else
        need.due_ms = incarnation->poll_done_ms + IDLE_POLL_MS;
    return need;
}

static void call_poll(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    struct poll_need need = poll_need(agent);
    int last = agent->last_poll_due_ms && !agent->last_poll_sent;
    if (!free_slot(agent) ||
        (!last && (now < need.due_ms || under_way(agent, CALL_POLL, incarnation->state.incarnation))))
        return;
    int64_t clock = agent_clock_ms(agent, now), best = agent_best_expiry(agent, now);
    struct executor_request request = {.kind = CALL_POLL, .body.poll.seen = incarnation->seen};
    /* a silent executor's lease is not renewed: it could not be known when what is sent there ends */
    if (need.busy && !incarnation->silent_since_ms && !incarnation->left &&
        (best >= incarnation->held_ms + RENEW_GAIN_MS || (last && best > incarnation->held_ms)))
        request.expires_ms = best;
    int64_t wait_ms = 0;
    if (incarnation->ready && need.busy && !need.proof && !incarnation->silent_since_ms && !incarnation->left &&
        !last) {
        int64_t held = request.expires_ms ? request.expires_ms : incarnation->held_ms;
        wait_ms = held - clock - RENEW_MS;
        int64_t most = agent_poll_most(incarnation, now);
        wait_ms = wait_ms < POLL_LEAST_MS ? POLL_LEAST_MS : wait_ms > most ? most : wait_ms;
    }
    struct executor_call call = {0};
    agent->setup.executor_codec->poll(&call, incarnation->state.incarnation, agent->epoch, incarnation->seen,
                                      request.expires_ms, wait_ms);
    int64_t answer_ms = wait_ms ? wait_ms + agent_call_timeout(incarnation, POLL_MARGIN_MS, now) : CALL_WAIT_MS;
    request.body.poll.waits = wait_ms > 0;
    if (last)
        agent->last_poll_sent = agent->number + 1;
    send_call(agent, &request, incarnation->state.incarnation, &call, answer_ms, now);
}

static void call_work(struct agent *agent, struct work *work, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    struct executor_request request = {.kind = work->state == WORK_STOP ? CALL_STOP : CALL_START,
                                       .body.run = work_run(work)};
    struct executor_call call = {0};
    if (request.kind == CALL_STOP) {
        agent->setup.executor_codec->stop(&call, incarnation->state.incarnation, request_run(&request), agent->epoch);
    } else {
        request.expires_ms = agent_best_expiry(agent, now);
        agent->setup.executor_codec->start(&call, incarnation->state.incarnation, &work->start, request.expires_ms,
                                           agent->epoch);
    }
    work->under_way = agent->number + 1;
    int64_t wait_ms = work->retry_ms ? CALL_WAIT_MS : agent_call_timeout(incarnation, CALL_WAIT_MS, now);
    send_call(agent, &request, incarnation->state.incarnation, &call, wait_ms, now);
}

static void call_works(struct agent *agent, int64_t state, int64_t now)
{
    for (int64_t i = 0; i < agent->n_works; i++) {
        int64_t used = 0;
        for (int64_t k = 0; k < CALLS_MAX; k++)
            used += agent->calls[k].kind == CALL_START || agent->calls[k].kind == CALL_STOP;
        if (used >= WORK_CALLS_MAX || !free_slot(agent))
            return;
        struct work *work = &agent->works[i];
        if (work->state == state && !work->under_way && now >= work->due_ms)
            call_work(agent, work, now);
    }
}

void agent_calls_step(struct agent *agent, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (agent->setup.orders_by_heartbeat) {
        agent_beat_step(agent, now);
        return;
    }
    call_probe(agent, now);
    if (!incarnation->present || !agent->epoch || agent->fenced_epoch >= agent->epoch)
        return;
    call_poll(agent, now);
    if (!incarnation->ready)
        return;
    call_works(agent, WORK_STOP, now);
    if (incarnation->state.draining || incarnation->silent_since_ms ||
        agent_best_expiry(agent, now) < agent_clock_ms(agent, now) + START_LEAST_MS)
        return;
    call_works(agent, WORK_START, now);
}

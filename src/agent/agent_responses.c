/* Responses of the executor to calls, and calls without a response. */
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"
#include "base/backoff.h"

int run_is_active(const struct run_lists *lists, const struct run_ref *run)
{
    for (int64_t i = 0; i < lists->n_active; i++) {
        const struct run_active *other = &lists->active[i];
        if (other->job == run->job && other->task == run->task && other->attempt == run->attempt)
            return 1;
    }
    return 0;
}

int run_is_ended(const struct run_lists *lists, const struct run_ref *run)
{
    for (int64_t i = 0; i < lists->n_ended; i++) {
        const struct run_ended *other = &lists->ended[i];
        if (other->job == run->job && other->task == run->task && other->attempt == run->attempt)
            return 1;
    }
    return 0;
}

/* Why the executor refused the call; REFUSED_NONE: it was accepted. */
static int64_t refusal_of(const struct executor_response *response)
{
    return response->kind == EXECUTOR_REFUSED ? executor_response_refusal(response) : REFUSED_NONE;
}

static int is_known_end(const struct agent_incarnation *incarnation, int64_t seq)
{
    for (int64_t i = incarnation->lists.n_ended - 1; i >= 0; i--)
        if (incarnation->lists.ended[i].seq == seq)
            return 1;
    return 0;
}

void agent_lists_update(struct agent *agent, struct run_lists *lists)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    struct run_lists *known = &incarnation->lists;
    struct run_active *active = known->active;
    int64_t n_active = known->n_active;
    known->active = lists->active;
    known->n_active = lists->n_active;
    lists->active = active;
    lists->n_active = n_active;
    int64_t newest = known->n_ended ? known->ended[known->n_ended - 1].seq : incarnation->seen;
    for (int64_t i = 0; i < lists->n_ended; i++) {
        struct run_ended *from = &lists->ended[i];
        if (from->seq <= incarnation->seen || (from->seq <= newest && is_known_end(incarnation, from->seq)))
            continue;
        *(struct run_ended *)array_add(known->ended, known->n_ended) = *from;
        from->checkpoint = NULL;
        newest = from->seq > newest ? from->seq : newest;
        agent->report_needed = 1;
    }
}

static void poll_responded(struct agent *agent, const struct executor_request *request,
                           struct executor_response *response, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (refusal_of(response) != REFUSED_NONE) {
        incarnation->retry_ms = backoff_next(incarnation->retry_ms, RETRY_MIN_MS, RETRY_MAX_MS);
        incarnation->next_retry_ms = now + incarnation->retry_ms;
        return;
    }
    int64_t seen = request_poll(request)->seen;
    if (seen > incarnation->seen_delivered)
        incarnation->seen_delivered = seen;
    incarnation->poll_done_ms = now;
    if (request->epoch != agent->epoch)
        return;
    struct run_lists *lists = executor_response_lists(response);
    int whole = lists->n_ended < POLL_ENDS_MAX;
    int64_t known = incarnation->lists.n_ended;
    agent_lists_update(agent, lists);
    if (incarnation->lists.n_ended > known)
        agent_count_ends(incarnation, incarnation->lists.n_ended - known, now);
    if (!incarnation->ready)
        incarnation->ready = agent->report_needed = 1;
    agent_work_items_settle(agent, request->number, whole, now);
    if (agent->last_poll_sent == request->number)
        agent->left = 1;
}

static void start_responded(struct agent *agent, struct work_item *work, const struct executor_response *response,
                            int64_t now)
{
    work->response_number = agent->last_call_number;
    work->response_ms = now;
    switch (refusal_of(response)) {
    case REFUSED_NONE:
        work->state = WORK_STARTED;
        agent_count_ends(&agent->incarnation, 0, now);
        return;
    case REFUSED_OUTDATED:
        work->state = WORK_CHECK;
        agent->incarnation.proof_poll_ms = now + PROOF_POLL_DELAY_MS;
        return;
    case REFUSED_UNAVAILABLE:
    case REFUSED_LATE:
        if (work->unavailable_retries < UNAVAILABLE_RETRIES_MAX) {
            work->unavailable_retries++;
            work->next_send_ms = now + UNAVAILABLE_RETRY_MS;
            return;
        }
    }
    /* an earlier call with this start may still be carried out: only a stop settles the run */
    if (work->start_uncertain)
        agent_work_stop(work, now);
    else
        agent_work_refused(agent, work, refusal_of(response));
}

static void stop_responded(struct agent *agent, struct work_item *work, const struct executor_response *response,
                           int64_t now)
{
    if (refusal_of(response) != REFUSED_NONE) {
        work->retry_ms = backoff_next(work->retry_ms, RETRY_STOP_MIN_MS, RETRY_STOP_MAX_MS);
        work->next_send_ms = now + work->retry_ms;
        return;
    }
    work->state = WORK_STOPPED;
    work->response_number = agent->last_call_number;
    work->response_ms = now;
    agent->incarnation.proof_poll_ms = now + PROOF_POLL_DELAY_MS;
}

static struct work_item *work_of_call(struct agent *agent, const struct executor_request *request)
{
    const struct run_ref *run = request_run(request);
    struct work_item *work = agent_work_find(agent, run->job, run->task, run->attempt);
    if (!work || work->call_number != request->number)
        return NULL;
    work->call_number = 0;
    return work;
}

/* Handles a call without a valid response, which may have been carried out or may be carried out later. failed: there
 * was a response, but not a valid one. An executor that responded to another call since this one was sent is not
 * silent; one that sends invalid responses counts as silent. */
static void call_failed(struct agent *agent, const struct executor_request *request, int failed, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    incarnation->last_timeout_ms = now;
    if (!incarnation->silent_since_ms && (failed || incarnation->response_ms < request->sent_ms))
        incarnation->silent_since_ms = request->sent_ms;
    if (request->kind == CALL_POLL) {
        incarnation->retry_ms = backoff_next(incarnation->retry_ms, RETRY_MIN_MS, RETRY_MAX_MS);
        incarnation->next_retry_ms = now + (incarnation->retry_ms == RETRY_MIN_MS ? 0 : incarnation->retry_ms);
        return;
    }
    struct work_item *work = work_of_call(agent, request);
    if (!work)
        return;
    work->start_uncertain = 1;
    work->retry_ms = request->kind == CALL_STOP
                         ? backoff_next(work->retry_ms, RETRY_STOP_MIN_MS, RETRY_STOP_MAX_MS)
                         : backoff_next(work->retry_ms, failed ? RETRY_MIN_MS : RETRY_START_MIN_MS, RETRY_MAX_MS);
    work->next_send_ms = now + work->retry_ms;
}

static void response_received(struct agent *agent, const struct executor_request *request,
                              struct executor_response *response, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    incarnation->silent_since_ms = 0;
    incarnation->response_ms = now;
    int64_t refusal = refusal_of(response);
    if (request->kind != CALL_POLL || !request_poll(request)->waits)
        agent_response_time_add(incarnation, now - request->sent_ms);
    if (refusal == REFUSED_NONE)
        incarnation->retry_ms = incarnation->next_retry_ms = 0;
    agent_clock_received(agent, response->clock_ms, now);
    int accepted_lease = refusal == REFUSED_NONE || refusal == REFUSED_OUTDATED || refusal == REFUSED_NO_CAPACITY;
    if (accepted_lease && request->expires_ms > incarnation->accepted_expiry_ms)
        incarnation->accepted_expiry_ms = request->expires_ms;
    if (refusal == REFUSED_STALE_EPOCH && request->epoch == agent->epoch) {
        agent->fenced_epoch = agent->epoch;
        incarnation->ready = 0;
        agent->report_needed = 1;
    }
    if (request->kind == CALL_POLL) {
        poll_responded(agent, request, response, now);
        return;
    }
    struct work_item *work = work_of_call(agent, request);
    if (!work || refusal == REFUSED_STALE_EPOCH)
        return;
    if (request->kind == CALL_START)
        start_responded(agent, work, response, now);
    else
        stop_responded(agent, work, response, now);
}

static void probe_responded(struct agent *agent, const struct executor_request *request,
                            struct executor_response *response, int64_t now)
{
    if (!agent->candidate.state.incarnation || strcmp(agent->candidate.state.incarnation, request->incarnation))
        return;
    if (!response || (refusal_of(response) != REFUSED_NONE && refusal_of(response) != REFUSED_STALE_EPOCH)) {
        agent->candidate_retry_ms = backoff_next(agent->candidate_retry_ms, RETRY_MIN_MS, RETRY_MAX_MS);
        agent->candidate_probe_ms = now + agent->candidate_retry_ms;
        return;
    }
    agent_candidate_confirmed(agent);
    struct executor_request poll = *request;
    poll.kind = CALL_POLL;
    /* under epoch 0 the lists are not known to be complete */
    if (agent->epoch)
        response_received(agent, &poll, response, now);
    else
        agent_clock_received(agent, response->clock_ms, now);
}

void agent_call_done(void *arg, int64_t tag, int status, const char *body, int64_t len)
{
    struct agent *agent = arg;
    struct executor_request *slot = NULL;
    for (int64_t i = 0; i < CALLS_MAX; i++)
        if (agent->calls[i].kind != CALL_FREE && agent->calls[i].number == tag)
            slot = &agent->calls[i];
    if (!slot)
        return;
    struct executor_request request = *slot;
    *slot = (struct executor_request){0};
    int64_t now = world_ms(agent->world);
    struct executor_response response = {.clock_ms = -1};
    int valid = status && !agent->setup.executor_codec->read(&response, status, body, len);
    int current = agent->incarnation.present && !strcmp(agent->incarnation.state.incarnation, request.incarnation);
    if (valid && response.kind == EXECUTOR_OTHER_INCARNATION)
        agent_incarnation_ended(agent, request.incarnation, PROOF_OTHER_RESPONDED);
    else if (request.kind == CALL_PROBE)
        probe_responded(agent, &request, valid ? &response : NULL, now);
    else if (current && valid)
        response_received(agent, &request, &response, now);
    else if (current)
        call_failed(agent, &request, status != 0, now);
    schema_free(&executor_response_schema, &response);
    free(request.incarnation);
}

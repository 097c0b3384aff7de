/* Heartbeats of the executor, and the choice of its current incarnation. */
#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"
#include "base/events.h"
#include "base/error.h"

static int is_ended(const struct agent *agent, const char *incarnation)
{
    for (int64_t i = 0; i < ENDED_INCARNATIONS_MAX; i++)
        if (agent->ended_incarnations[i] && !strcmp(agent->ended_incarnations[i], incarnation))
            return 1;
    return 0;
}

static void drop_candidate(struct agent *agent)
{
    schema_free(&executor_heartbeat_schema, &agent->candidate);
    agent->candidate = (struct executor_heartbeat){0};
    agent->candidate_probe_ms = agent->candidate_retry_ms = 0;
}

void agent_incarnation_clear(struct agent *agent)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    agent_heartbeat_close(agent);
    run_lists_free(&incarnation->lists);
    schema_free(&executor_state_schema, &incarnation->state);
    *incarnation = (struct agent_incarnation){0};
    agent->lease_until_ms = agent->lease_stamp_ms = 0;
    while (agent->n_work_items)
        agent_work_drop(agent, &agent->work_items[agent->n_work_items - 1]);
}

static const char *const proof_texts[] = {[PROOF_LEASES_EXPIRED] = "it left, and its leases have expired",
                                          [PROOF_OTHER_RESPONDED] = "another incarnation responds in its place",
                                          [PROOF_OTHER_HEARTBEAT] = "another incarnation sends heartbeats"};

void agent_incarnation_ended(struct agent *agent, const char *name, enum incarnation_proof proof)
{
    if (is_ended(agent, name))
        return;
    char *incarnation = must_dup(name); /* name may belong to the state that is freed below */
    char **slot = &agent->ended_incarnations[agent->n_ended_incarnations++ % ENDED_INCARNATIONS_MAX];
    free(*slot);
    *slot = must_dup(incarnation);
    *array_add(agent->lost_incarnations, agent->n_lost_incarnations) = must_dup(incarnation);
    world_note(agent->world, EV_INCARNATION_ENDED, "why=\"%s\" executor=%s", proof_texts[proof], incarnation);
    if (agent->incarnation.present && !strcmp(agent->incarnation.state.incarnation, incarnation))
        agent_incarnation_clear(agent);
    if (agent->candidate.state.incarnation && !strcmp(agent->candidate.state.incarnation, incarnation))
        drop_candidate(agent);
    agent->report_needed = 1;
    free(incarnation);
}

static void incarnation_begin(struct agent *agent, struct executor_heartbeat *heartbeat)
{
    agent->incarnation =
        (struct agent_incarnation){.present = 1, .heartbeat_seq = heartbeat->seq, .state = heartbeat->state};
    heartbeat->state = (struct executor_state){0};
    agent->report_needed = 1;
}

void agent_candidate_confirmed(struct agent *agent)
{
    struct executor_heartbeat heartbeat = agent->candidate;
    agent->candidate = (struct executor_heartbeat){0};
    if (agent->incarnation.present)
        agent_incarnation_ended(agent, agent->incarnation.state.incarnation, PROOF_OTHER_RESPONDED);
    incarnation_begin(agent, &heartbeat);
    schema_free(&executor_heartbeat_schema, &heartbeat);
    drop_candidate(agent);
}

static int update_state(struct agent *agent, struct executor_state *state, int64_t *seq,
                        struct executor_heartbeat *heartbeat)
{
    if (heartbeat->seq <= *seq)
        return 0;
    *seq = heartbeat->seq;
    if (state->draining != heartbeat->state.draining)
        agent->report_needed = 1;
    schema_free(&executor_state_schema, state);
    *state = heartbeat->state;
    heartbeat->state = (struct executor_state){0};
    return 1;
}

static void record_leaving(struct agent *agent, const char *incarnation, int64_t now)
{
    if (agent->candidate.state.incarnation && !strcmp(agent->candidate.state.incarnation, incarnation))
        agent->candidate.state.draining = 1;
    if (!agent->incarnation.present || strcmp(agent->incarnation.state.incarnation, incarnation) ||
        agent->incarnation.leaving)
        return;
    agent->incarnation.leaving = agent->incarnation.state.draining = agent->report_needed = 1;
    agent->incarnation.leaving_ms = now;
    world_note(agent->world, EV_EXECUTOR_LEAVING, "%s", incarnation);
}

/* Returns whether this is the newest heartbeat of the current incarnation. */
static int accept_heartbeat(struct agent *agent, struct executor_heartbeat *heartbeat, int64_t now)
{
    const char *incarnation = heartbeat->state.incarnation;
    int newest = 0;
    if (!incarnation || is_ended(agent, incarnation))
        return 0;
    if (heartbeat->kind == HEARTBEAT_LEAVING) {
        record_leaving(agent, incarnation, now);
    } else if (agent->incarnation.present && !strcmp(agent->incarnation.state.incarnation, incarnation)) {
        int64_t was_leaving = agent->incarnation.leaving;
        newest = update_state(agent, &agent->incarnation.state, &agent->incarnation.heartbeat_seq, heartbeat);
        agent->incarnation.state.draining |= was_leaving;
    } else if (agent->setup.orders_by_heartbeat ||
               (!agent->incarnation.present && !agent->candidate.state.incarnation)) {
        /* orders_by_heartbeat: no probe is needed, since only the running process of the executor sends heartbeats here
         */
        if (agent->incarnation.present)
            agent_incarnation_ended(agent, agent->incarnation.state.incarnation, PROOF_OTHER_HEARTBEAT);
        incarnation_begin(agent, heartbeat);
        newest = 1;
    } else if (agent->candidate.state.incarnation && !strcmp(agent->candidate.state.incarnation, incarnation)) {
        update_state(agent, &agent->candidate.state, &agent->candidate.seq, heartbeat);
    } else {
        drop_candidate(agent);
        agent->candidate = *heartbeat;
        *heartbeat = (struct executor_heartbeat){0};
    }
    return newest;
}

void agent_request(struct agent *agent, int64_t slot, const struct http_request *http_request)
{
    const struct api_codec *codec = agent->setup.codec;
    struct api_request request = {0};
    struct validation_error validation_error = {0};
    int64_t now = world_ms(agent->world);
    int error = codec->read(&request, http_request, &validation_error);
    if (!error && request.kind != REQUEST_HEARTBEAT)
        error = ERROR_NOT_FOUND;
    if (!error && accept_heartbeat(agent, api_request_heartbeat(&request), now) && agent->setup.orders_by_heartbeat) {
        agent_heartbeat_received(agent, slot, &api_request_heartbeat(&request)->account, now);
        schema_free(&api_request_schema, &request);
        return;
    }
    struct api_response response =
        error ? api_response_error(request.kind, error, 0, NULL) : api_response_done(request.kind);
    int status = 0;
    char *body = NULL;
    codec->write(&response, &status, &body);
    agent->world->calls->answer(agent->world, slot, status, response.retry_ms, body ? body : "");
    free(body);
    schema_free(&api_request_schema, &request);
}

/* Heartbeats of the executor, and which of its incarnations is the current one. */
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
    agent->candidate_due_ms = agent->candidate_retry_ms = 0;
}

void agent_incarnation_end(struct agent *agent)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    agent_beat_close(agent);
    run_lists_free(&incarnation->lists);
    schema_free(&executor_state_schema, &incarnation->state);
    *incarnation = (struct agent_incarnation){0};
    agent->grant_until_ms = agent->grant_stamp_ms = 0;
    while (agent->n_works)
        agent_work_drop(agent, &agent->works[agent->n_works - 1]);
}

void agent_incarnation_over(struct agent *agent, const char *name)
{
    if (is_ended(agent, name))
        return;
    char *incarnation = must_dup(name); /* name may be freed by what is dropped here */
    char **place = &agent->ended_incarnations[agent->n_ended_incarnations++ % ENDED_INCARNATIONS_MAX];
    free(*place);
    *place = must_dup(incarnation);
    *array_add(agent->lost_incarnations, agent->n_lost_incarnations) = must_dup(incarnation);
    world_note(agent->world, EV_EXECUTOR_GONE, "life %s is over", incarnation);
    if (agent->incarnation.present && !strcmp(agent->incarnation.state.incarnation, incarnation))
        agent_incarnation_end(agent);
    if (agent->candidate.state.incarnation && !strcmp(agent->candidate.state.incarnation, incarnation))
        drop_candidate(agent);
    agent->report_due = 1;
    free(incarnation);
}

static void incarnation_begin(struct agent *agent, struct executor_heartbeat *beat)
{
    agent->incarnation = (struct agent_incarnation){.present = 1, .beat_seq = beat->seq, .state = beat->state};
    beat->state = (struct executor_state){0};
    agent->report_due = 1;
}

void agent_candidate_answered(struct agent *agent)
{
    struct executor_heartbeat beat = agent->candidate;
    agent->candidate = (struct executor_heartbeat){0};
    if (agent->incarnation.present)
        agent_incarnation_over(agent, agent->incarnation.state.incarnation);
    incarnation_begin(agent, &beat);
    schema_free(&executor_heartbeat_schema, &beat);
    drop_candidate(agent);
}

static int renew_state(struct agent *agent, struct executor_state *state, int64_t *seq, struct executor_heartbeat *beat)
{
    if (beat->seq <= *seq)
        return 0;
    *seq = beat->seq;
    if (state->draining != beat->state.draining)
        agent->report_due = 1;
    schema_free(&executor_state_schema, state);
    *state = beat->state;
    beat->state = (struct executor_state){0};
    return 1;
}

static void left(struct agent *agent, const char *incarnation, int64_t now)
{
    if (agent->candidate.state.incarnation && !strcmp(agent->candidate.state.incarnation, incarnation))
        agent->candidate.state.draining = 1;
    if (!agent->incarnation.present || strcmp(agent->incarnation.state.incarnation, incarnation) ||
        agent->incarnation.left)
        return;
    agent->incarnation.left = agent->incarnation.state.draining = agent->report_due = 1;
    agent->incarnation.left_ms = now;
    world_note(agent->world, EV_EXECUTOR_LEAVING, "%s", incarnation);
}

/* Returns whether it is the newest heartbeat of the current incarnation. */
static int take_beat(struct agent *agent, struct executor_heartbeat *beat, int64_t now)
{
    const char *incarnation = beat->state.incarnation;
    int newest = 0;
    if (!incarnation || is_ended(agent, incarnation))
        return 0;
    if (beat->kind == HEARTBEAT_LEAVING) {
        left(agent, incarnation, now);
    } else if (agent->incarnation.present && !strcmp(agent->incarnation.state.incarnation, incarnation)) {
        int64_t has_left = agent->incarnation.left;
        newest = renew_state(agent, &agent->incarnation.state, &agent->incarnation.beat_seq, beat);
        agent->incarnation.state.draining |= has_left;
    } else if (agent->setup.orders_by_heartbeat ||
               (!agent->incarnation.present && !agent->candidate.state.incarnation)) {
        /* only the executor itself sends heartbeats here: an incarnation that does has taken the place */
        if (agent->incarnation.present)
            agent_incarnation_over(agent, agent->incarnation.state.incarnation);
        incarnation_begin(agent, beat);
        newest = 1;
    } else if (agent->candidate.state.incarnation && !strcmp(agent->candidate.state.incarnation, incarnation)) {
        renew_state(agent, &agent->candidate.state, &agent->candidate.seq, beat);
    } else {
        drop_candidate(agent);
        agent->candidate = *beat;
        *beat = (struct executor_heartbeat){0};
    }
    return newest;
}

void agent_request(struct agent *agent, int64_t slot, const struct http_request *web)
{
    const struct api_codec *codec = agent->setup.codec;
    struct api_request request = {0};
    struct validation_error validation_error = {0};
    int64_t now = world_ms(agent->world);
    int error = codec->read(&request, web, &validation_error);
    if (!error && request.kind != REQUEST_HEARTBEAT)
        error = ERROR_NOT_FOUND;
    if (!error && take_beat(agent, api_request_beat(&request), now) && agent->setup.orders_by_heartbeat) {
        agent_beat_taken(agent, slot, &api_request_beat(&request)->account, now);
        schema_free(&api_request_schema, &request);
        return;
    }
    struct api_response answer =
        error ? api_response_error(request.kind, error, 0, NULL) : api_response_done(request.kind);
    int status = 0;
    char *body = NULL;
    codec->write(&answer, &status, &body);
    agent->world->calls->answer(agent->world, slot, status, answer.retry_ms, body ? body : "");
    free(body);
    schema_free(&api_request_schema, &request);
}

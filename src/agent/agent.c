/* An agent: creation, timer, frames, and shutdown. */
#include "agent/agent.h"

#include <stdlib.h>
#include <string.h>

#include "agent/agent_state.h"
#include "base/events.h"

struct agent *agent_new(struct world *world, const struct agent_setup *setup)
{
    struct agent *agent = must_alloc(sizeof *agent);
    agent->world = world;
    agent->setup = *setup;
    agent->cluster = (uint32_t)hash_text(setup->cluster);
    agent->started_ms = world_ms(world);
    directory_start(&agent->directory, world, agent->cluster, setup->seeds, setup->n_seeds, 0, 0, setup->boot);
    return agent;
}

void agent_free(struct agent *agent)
{
    agent->incarnation.beat.open = 0; /* the HTTP server has ended the request */
    agent_incarnation_end(agent);
    schema_free(&executor_heartbeat_schema, &agent->candidate);
    for (int64_t i = 0; i < ENDED_INCARNATIONS_MAX; i++)
        free(agent->ended_incarnations[i]);
    for (int64_t i = 0; i < agent->n_lost_incarnations; i++)
        free(agent->lost_incarnations[i]);
    free(agent->lost_incarnations);
    for (int64_t i = 0; i < CALLS_MAX; i++)
        free(agent->calls[i].incarnation);
    free(agent->works);
    free(agent);
}

/* An executor that announced that it leaves, and is silent since or has no lease any more: nothing runs there. */
static void step_left(struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    if (!incarnation->present || !incarnation->left)
        return;
    int gone = incarnation->left_silent_ms && now - incarnation->left_silent_ms >= LEFT_MS;
    /* ends that are not committed yet are lost with it, so they get time */
    int lapsed = now - incarnation->left_ms >= LEFT_MS && !agent_over_ms(agent, now) &&
                 (incarnation->silent_since_ms || !incarnation->lists.n_ended);
    if (gone || lapsed)
        agent_incarnation_over(agent, incarnation->state.incarnation);
}

static int runs(const struct agent *agent)
{
    if (agent->incarnation.lists.n_active)
        return 1;
    for (int64_t i = 0; i < agent->n_works; i++)
        if (agent->works[i].state <= WORK_STOPPED)
            return 1;
    return 0;
}

/* The next process of this agent takes over what runs, so the last poll extends the lease as far as possible. */
static void step_leaving(struct agent *agent, int64_t now)
{
    if (!agent->leaving || agent->left)
        return;
    if (agent->incarnation.beat.open)
        agent->incarnation.beat.due_ms = now;
    if (!agent->last_poll_due_ms) {
        if (!runs(agent))
            agent->left = !agent->incarnation.beat.open;
        else if (now >= agent->leave_ms + agent->setup.grace_ms - LEAVE_SPARE_MS)
            agent->last_poll_due_ms = now;
    } else if (now >= agent->last_poll_due_ms + LAST_POLL_MS) {
        agent->left = 1;
    }
}

void agent_on_timer(struct agent *agent)
{
    int64_t now = world_ms(agent->world);
    directory_on_timer(&agent->directory);
    step_left(agent, now);
    step_leaving(agent, now);
    agent_works_step(agent, now);
    agent_calls_step(agent, now);
}

void agent_on_frame(struct agent *agent, const uint8_t *at, int64_t len)
{
    struct frame frame;
    if (frame_parse(&frame, at, len, agent->cluster)) {
        world_note(agent->world, EV_FRAME_DROPPED, "a frame that is not ours");
        return;
    }
    if (directory_on_frame(&agent->directory, &frame) || frame.kind != FRAME_ORDERS)
        return;
    struct agent_orders orders = {0};
    if (schema_unpack(&agent_orders_schema, &orders, frame.body, frame.len)) {
        world_note(agent->world, EV_FRAME_DROPPED, "orders that cannot be read");
        return;
    }
    agent_orders_take(agent, &orders, world_ms(agent->world));
    schema_free(&agent_orders_schema, &orders);
}

void agent_flush(struct agent *agent)
{
    int64_t now = world_ms(agent->world);
    agent_works_step(agent, now);
    agent_calls_step(agent, now);
    int64_t leader = directory_leader(&agent->directory);
    if (leader != agent->leader) {
        agent->leader = leader;
        agent->leader_ms = now;
        agent->report_due = 1;
    }
    int64_t quiet_since = agent->orders_received_ms > agent->leader_ms ? agent->orders_received_ms : agent->leader_ms;
    if (leader && now - quiet_since > DOUBT_MS) {
        directory_suspect_leader(&agent->directory);
        agent->leader_ms = now;
        return;
    }
    if (!leader ||
        (agent->last_stamp_ms && now < agent->last_stamp_ms + (agent->report_due ? REPORT_LEAST_MS : REPORT_MS)))
        return;
    agent_report_send(agent, leader, now);
}

void agent_leave(struct agent *agent)
{
    if (agent->leaving)
        return;
    agent->leaving = 1;
    agent->leave_ms = world_ms(agent->world);
}

int agent_left(const struct agent *agent) { return (int)agent->left; }

void agent_set_seeds(struct agent *agent, const int64_t *seeds, int64_t n_seeds)
{
    directory_set_seeds(&agent->directory, seeds, n_seeds);
}

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
    agent->incarnation.heartbeat.open = 0; /* the HTTP server has ended the request */
    agent_incarnation_clear(agent);
    schema_free(&executor_heartbeat_schema, &agent->candidate);
    for (int64_t i = 0; i < ENDED_INCARNATIONS_MAX; i++)
        free(agent->ended_incarnations[i]);
    for (int64_t i = 0; i < agent->n_lost_incarnations; i++)
        free(agent->lost_incarnations[i]);
    free(agent->lost_incarnations);
    for (int64_t i = 0; i < CALLS_MAX; i++)
        free(agent->calls[i].incarnation);
    free(agent->work_items);
    free(agent);
}

/* Ends an incarnation that announced its shutdown once every lease that was sent to it has expired. Calls without a
 * response prove nothing, because it may serve on for seconds. Its uncommitted ends would be lost with it, so they are
 * waited for as long as it responds. */
static void step_leaving_executor(struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    if (!incarnation->present || !incarnation->leaving)
        return;
    if (now - incarnation->leaving_ms < LEAVING_MIN_MS || agent_lease_left_ms(agent, now))
        return;
    if (incarnation->silent_since_ms || !incarnation->lists.n_ended)
        agent_incarnation_ended(agent, incarnation->state.incarnation, PROOF_LEASES_EXPIRED);
}

static int has_unsettled_runs(const struct agent *agent)
{
    if (agent->incarnation.lists.n_active)
        return 1;
    for (int64_t i = 0; i < agent->n_work_items; i++)
        if (agent->work_items[i].state <= WORK_STOPPED)
            return 1;
    return 0;
}

/* Delays the end of this process while runs are active: the next process of this agent takes them over, so the last
 * poll renews the lease for as long as possible. */
static void step_shutdown(struct agent *agent, int64_t now)
{
    if (!agent->leaving || agent->left)
        return;
    if (agent->incarnation.heartbeat.open)
        agent->incarnation.heartbeat.respond_by_ms = now;
    if (!agent->last_poll_ms) {
        if (!has_unsettled_runs(agent))
            agent->left = !agent->incarnation.heartbeat.open;
        else if (now >= agent->leave_ms + agent->setup.grace_ms - LEAVE_MARGIN_MS)
            agent->last_poll_ms = now;
    } else if (now >= agent->last_poll_ms + LAST_POLL_TIMEOUT_MS) {
        agent->left = 1;
    }
}

void agent_on_timer(struct agent *agent)
{
    int64_t now = world_ms(agent->world);
    directory_on_timer(&agent->directory);
    step_leaving_executor(agent, now);
    step_shutdown(agent, now);
    agent_work_items_step(agent, now);
    agent_calls_step(agent, now);
}

void agent_on_frame(struct agent *agent, const uint8_t *at, int64_t len)
{
    struct frame frame;
    if (frame_parse(&frame, at, len, agent->cluster)) {
        world_note(agent->world, EV_FRAME_DROPPED, "not a frame of this cluster");
        return;
    }
    if (directory_on_frame(&agent->directory, &frame) || frame.kind != FRAME_ORDERS)
        return;
    struct agent_orders orders = {0};
    if (schema_unpack(&agent_orders_schema, &orders, frame.body, frame.len)) {
        world_note(agent->world, EV_FRAME_DROPPED, "orders that cannot be decoded");
        return;
    }
    agent_orders_apply(agent, &orders, world_ms(agent->world));
    schema_free(&agent_orders_schema, &orders);
}

void agent_flush(struct agent *agent)
{
    int64_t now = world_ms(agent->world);
    agent_work_items_step(agent, now);
    agent_calls_step(agent, now);
    int64_t leader = directory_leader(&agent->directory);
    if (leader != agent->leader) {
        agent->leader = leader;
        agent->leader_since_ms = now;
        agent->report_needed = 1;
    }
    int64_t last_contact_ms =
        agent->orders_received_ms > agent->leader_since_ms ? agent->orders_received_ms : agent->leader_since_ms;
    if (leader && now - last_contact_ms > LEADER_SILENT_MS) {
        directory_suspect_leader(&agent->directory);
        agent->leader_since_ms = now;
        return;
    }
    if (!leader || (agent->last_stamp_ms &&
                    now < agent->last_stamp_ms + (agent->report_needed ? REPORT_INTERVAL_MIN_MS : REPORT_MS)))
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

int agent_has_left(const struct agent *agent) { return (int)agent->left; }

void agent_set_seeds(struct agent *agent, const int64_t *seeds, int64_t n_seeds)
{
    directory_set_seeds(&agent->directory, seeds, n_seeds);
}

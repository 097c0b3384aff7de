/* Leases on the executor's clock. Invariant: that clock never runs faster than the agent's and at most (100 - SLOW_PCT)
 * percent slower, and it was read before the response came. So clock_ms + SLOW_PCT% of the time since is never more
 * than what the clock shows, and an expiry SLOW_PCT% of x after clock_ms has passed x after the response was received.
 */
#include "agent/agent_state.h"

int64_t agent_clock_ms(const struct agent *agent, int64_t now)
{
    return agent->incarnation.clock_ms + (now - agent->incarnation.clock_at_ms) * SLOW_PCT / 100;
}

int64_t agent_best_expiry(const struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    if (!incarnation->clock_at_ms || agent->grant_until_ms <= now)
        return 0;
    int64_t clock = agent_clock_ms(agent, now);
    int64_t expiry = incarnation->clock_ms + (agent->grant_until_ms - incarnation->clock_at_ms) * SLOW_PCT / 100;
    int64_t most = clock + agent->setup.hold_max_ms;
    expiry = expiry < most ? expiry : most;
    return expiry > clock ? expiry : 0;
}

int64_t agent_over_ms(const struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    int64_t lease_left_ms = 0;
    if (incarnation->sent_expiry_ms) {
        int64_t left = incarnation->sent_expiry_ms - agent_clock_ms(agent, now);
        lease_left_ms = left > 0 ? left * 100 / SLOW_PCT + 1 + OVER_MARGIN_MS : 0;
    }
    /* leases sent by a former process of this agent expire at the latest the longest hold after this one began */
    int64_t taken_ms = agent->setup.orders_by_heartbeat ? HEARTBEAT_RESPONSE_MAX_MS : 0;
    int64_t inherited = agent->started_ms + taken_ms + agent->setup.hold_max_ms * 100 / SLOW_PCT + OVER_MARGIN_MS - now;
    return inherited > lease_left_ms ? inherited : lease_left_ms;
}

void agent_clock_received(struct agent *agent, int64_t clock_ms, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (clock_ms < 0 || (incarnation->clock_at_ms && clock_ms < agent_clock_ms(agent, now)))
        return;
    incarnation->clock_ms = clock_ms;
    incarnation->clock_at_ms = now;
}

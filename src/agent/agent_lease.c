/* Leases on the executor's clock. Assumption: that clock runs no faster than the agent's and at most
 * (100 - CLOCK_RATE_MIN_PCT) percent slower. A reading is taken before its response arrives. So the clock shows at
 * least clock_ms plus CLOCK_RATE_MIN_PCT percent of the time since the response, and a lease that expires
 * CLOCK_RATE_MIN_PCT percent of x after clock_ms has expired x after the response. */
#include "agent/agent_state.h"

int64_t agent_clock_ms(const struct agent *agent, int64_t now)
{
    return agent->incarnation.clock_ms + (now - agent->incarnation.clock_read_ms) * CLOCK_RATE_MIN_PCT / 100;
}

int64_t agent_max_expiry(const struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    if (!incarnation->clock_read_ms || agent->lease_until_ms <= now)
        return 0;
    int64_t clock_ms = agent_clock_ms(agent, now);
    int64_t expiry_ms =
        incarnation->clock_ms + (agent->lease_until_ms - incarnation->clock_read_ms) * CLOCK_RATE_MIN_PCT / 100;
    int64_t max_expiry_ms = clock_ms + agent->setup.hold_max_ms;
    expiry_ms = expiry_ms < max_expiry_ms ? expiry_ms : max_expiry_ms;
    return expiry_ms > clock_ms ? expiry_ms : 0;
}

int64_t agent_lease_left_ms(const struct agent *agent, int64_t now)
{
    const struct agent_incarnation *incarnation = &agent->incarnation;
    int64_t lease_left_ms = 0;
    if (incarnation->sent_expiry_ms) {
        int64_t remaining_ms = incarnation->sent_expiry_ms - agent_clock_ms(agent, now);
        lease_left_ms = remaining_ms > 0 ? remaining_ms * 100 / CLOCK_RATE_MIN_PCT + 1 + EXPIRY_MARGIN_MS : 0;
    }
    /* leases sent by a former process of this agent expire within hold_max_ms of this one's start */
    int64_t response_max_ms = agent->setup.orders_by_heartbeat ? HEARTBEAT_RESPONSE_MAX_MS : 0;
    int64_t inherited_ms = agent->started_ms + response_max_ms + agent->setup.hold_max_ms * 100 / CLOCK_RATE_MIN_PCT +
                           EXPIRY_MARGIN_MS - now;
    return inherited_ms > lease_left_ms ? inherited_ms : lease_left_ms;
}

void agent_clock_received(struct agent *agent, int64_t clock_ms, int64_t now)
{
    struct agent_incarnation *incarnation = &agent->incarnation;
    if (clock_ms < 0 || (incarnation->clock_read_ms && clock_ms < agent_clock_ms(agent, now)))
        return;
    incarnation->clock_ms = clock_ms;
    incarnation->clock_read_ms = now;
}

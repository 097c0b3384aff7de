/* Timeouts of calls. Normally long enough for a slow executor; while calls are being lost a long timeout costs much, so
 * it follows the recent duration of calls. */
#include "agent/agent_state.h"

int agent_in_doubt(const struct agent_incarnation *incarnation, int64_t now)
{
    return incarnation->unanswered_ms && now - incarnation->unanswered_ms < DOUBT_CALLS_MS;
}

int64_t agent_call_timeout(const struct agent_incarnation *incarnation, int64_t normal_ms, int64_t now)
{
    int64_t soon_ms = 3 * incarnation->took_ms > TIMEOUT_MIN_MS ? 3 * incarnation->took_ms : TIMEOUT_MIN_MS;
    return agent_in_doubt(incarnation, now) && soon_ms < normal_ms ? soon_ms : normal_ms;
}

/* An increase counts at once, a decrease gradually. */
void agent_response_time_add(struct agent_incarnation *incarnation, int64_t took_ms)
{
    incarnation->took_ms = took_ms > incarnation->took_ms ? took_ms : (incarnation->took_ms * 7 + took_ms) / 8;
}

/* A poll comes back at the first end, and one that is lost is missed only once its time is over. So it waits little
 * longer than ends usually take, and longer where nothing ends. */
int64_t agent_poll_most(const struct agent_incarnation *incarnation, int64_t now)
{
    if (agent_in_doubt(incarnation, now))
        return POLL_DOUBT_MS;
    int64_t quiet_ms = now - incarnation->stir_ms;
    int64_t gap_ms = incarnation->end_gap_ms > quiet_ms ? incarnation->end_gap_ms : quiet_ms;
    int64_t wait_ms = POLL_GAPS * gap_ms;
    return wait_ms < POLL_MS ? wait_ms : POLL_MS;
}

void agent_ends_noted(struct agent_incarnation *incarnation, int64_t n, int64_t now)
{
    if (n > 0)
        incarnation->end_gap_ms = (incarnation->end_gap_ms * 7 + (now - incarnation->stir_ms) / n) / 8;
    incarnation->stir_ms = now;
}

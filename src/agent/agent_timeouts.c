/* Timeouts of calls. They are normally long enough for a slow executor. While calls are being lost, a long timeout
 * delays each retry, so timeouts then follow the recent duration of calls. */
#include "agent/agent_state.h"

int agent_calls_unreliable(const struct agent_incarnation *incarnation, int64_t now)
{
    return incarnation->last_timeout_ms && now - incarnation->last_timeout_ms < CALLS_UNRELIABLE_MS;
}

int64_t agent_call_timeout(const struct agent_incarnation *incarnation, int64_t normal_ms, int64_t now)
{
    int64_t short_ms = 3 * incarnation->response_time_ms > CALL_TIMEOUT_MIN_MS ? 3 * incarnation->response_time_ms
                                                                               : CALL_TIMEOUT_MIN_MS;
    return agent_calls_unreliable(incarnation, now) && short_ms < normal_ms ? short_ms : normal_ms;
}

/* The estimate rises at once and falls gradually. */
void agent_response_time_add(struct agent_incarnation *incarnation, int64_t took_ms)
{
    incarnation->response_time_ms =
        took_ms > incarnation->response_time_ms ? took_ms : (incarnation->response_time_ms * 7 + took_ms) / 8;
}

/* A poll returns when a run ends, and the loss of a poll is noticed only at its timeout. So a poll waits only a few
 * times as long as the usual time between ends, and longer if no run has ended for long. */
int64_t agent_poll_wait_max(const struct agent_incarnation *incarnation, int64_t now)
{
    if (agent_calls_unreliable(incarnation, now))
        return POLL_WAIT_UNRELIABLE_MS;
    int64_t quiet_ms = now - incarnation->last_change_ms;
    int64_t gap_ms = incarnation->end_gap_ms > quiet_ms ? incarnation->end_gap_ms : quiet_ms;
    int64_t wait_ms = POLL_WAIT_GAPS * gap_ms;
    return wait_ms < POLL_WAIT_MAX_MS ? wait_ms : POLL_WAIT_MAX_MS;
}

void agent_count_ends(struct agent_incarnation *incarnation, int64_t n, int64_t now)
{
    if (n > 0)
        incarnation->end_gap_ms = (incarnation->end_gap_ms * 7 + (now - incarnation->last_change_ms) / n) / 8;
    incarnation->last_change_ms = now;
}
